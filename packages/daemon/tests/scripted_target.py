"""Targets that send scripted or endless bytes, for tests of the clients of targets."""

import contextlib
import time

import gevent
from gevent.server import StreamServer

READ_BYTES = 64 * 1024


class ScriptedTarget:
    """Responds to each request with the next script; the last script is repeated.

    :param scripts: lists of steps: bytes are sent, numbers are pauses in seconds, and ``None``
        closes the connection. ``{id}`` in bytes is replaced by the request's identifier.
    """

    def __init__(self, *scripts, host="127.0.0.1"):
        self.scripts = list(scripts)
        self.heads = []
        self.connection_count = 0
        self.closed_at_s = []
        self.body_bytes = 0
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()
        shown_host = f"[{host}]" if ":" in host else host
        self.address = f"{shown_host}:{self._server.server_port}"

    def stop(self):
        """Close the listener and all connections."""
        self._server.stop(timeout=0)

    def _serve(self, connection, _address):
        self.connection_count += 1
        received = b""
        with contextlib.suppress(OSError):
            while data := connection.recv(READ_BYTES):
                received += data
                while b"\r\n\r\n" in received:
                    head, _, received = received.partition(b"\r\n\r\n")
                    self.heads.append(head)
                    received = self._skip_body(connection, head, received)
                    if self._play(connection, head) is None:
                        return
        self.closed_at_s.append(time.monotonic())

    def _skip_body(self, connection, head, received):
        length = self.header(head, b"content-length")
        if length is None and self.header(head, b"transfer-encoding") is None:
            return received
        while True:
            if length is not None and len(received) >= int(length):
                self.body_bytes += int(length)
                return received[int(length) :]
            if length is None and received.endswith(b"0\r\n\r\n"):
                return b""
            data = connection.recv(READ_BYTES)
            if not data:
                raise ConnectionError
            received += data

    def _play(self, connection, head):
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        for step in script:
            if step is None:
                connection.close()
                return None
            if isinstance(step, bytes):
                connection.sendall(step.replace(b"{id}", self.header(head, b"request-id") or b""))
            else:
                gevent.sleep(step)
        return True

    @staticmethod
    def header(head, name):
        """Return the value of a header in a received head, or None."""
        for line in head.split(b"\r\n")[1:]:
            found, _, value = line.partition(b": ")
            if found.lower() == name:
                return value
        return None


class EndlessTarget:
    """Sends a beginning once, and then the same bytes until the client closes.

    :param pause_s: pause after each repetition; without one, many repetitions are sent at once.
    """

    def __init__(self, beginning, repeated, *, pause_s=0.0):
        self.is_closed = False
        self._beginning, self._repeated = beginning, repeated
        self._pause_s = pause_s
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        """Close the listener."""
        self._server.stop(timeout=0)

    def _serve(self, connection, _address):
        connection.recv(READ_BYTES)
        part = self._repeated
        if not self._pause_s:
            part *= 1 + READ_BYTES // len(self._repeated)
        try:
            connection.sendall(self._beginning)
            while True:
                connection.sendall(part)
                gevent.sleep(self._pause_s)
        except OSError:
            self.is_closed = True
