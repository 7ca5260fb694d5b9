"""Backend server on plain sockets and threads that records the requests it receives."""

import contextlib
import socketserver
import threading

PART_BYTES = 64 * 1024
ZEROS = bytes(PART_BYTES)


class PlainTarget(socketserver.ThreadingTCPServer):
    """Responds to ``/plain/large`` with ``large_bytes`` zeros and to other paths with two.

    ``heads`` holds the received request heads, and ``received_bytes`` counts the body bytes.
    """

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, large_bytes):
        super().__init__(("127.0.0.1", 0), _Connection)
        self.large_bytes = large_bytes
        self.heads = []
        self.received_bytes = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        """Address of the listener."""
        return f"127.0.0.1:{self.server_address[1]}"


class _Connection(socketserver.StreamRequestHandler):
    def handle(self):
        with contextlib.suppress(OSError):
            while head := self._read_head():
                self.server.heads.append(head)
                self._read_body(head)
                self._respond(head)

    def _read_head(self):
        lines = []
        while (line := self.rfile.readline()) not in (b"", b"\r\n"):
            lines.append(line)
        return b"".join(lines)

    def _read_body(self, head):
        fields = {}
        for line in head.split(b"\r\n")[1:-1]:
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
        if b"transfer-encoding" in fields:
            while size := int(self.rfile.readline(), 16):
                self._skip(size)
                self.rfile.readline()
            self.rfile.readline()
        else:
            self._skip(int(fields.get(b"content-length", b"0")))

    def _skip(self, size):
        while size:
            data = self.rfile.read1(min(size, PART_BYTES))
            if not data:
                raise ConnectionError
            size -= len(data)
            self.server.received_bytes += len(data)

    def _respond(self, head):
        size = self.server.large_bytes if b" /plain/large" in head.split(b"\r\n")[0] else 2
        self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        while size:
            part = ZEROS[: min(size, PART_BYTES)]
            self.wfile.write(part)
            size -= len(part)
