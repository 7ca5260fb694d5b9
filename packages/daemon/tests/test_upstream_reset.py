"""Tests of the upstream client against targets that reset a connection, or send odd statuses."""

import contextlib
import socket
import struct
import unittest

import gevent
from gevent.server import StreamServer
from scripted_target import ScriptedTarget
from tanagerreachd._upstream import TargetDialect, UpstreamClient, UpstreamRequest
from tanagerreachd._upstream_connection import TargetConnection
from tanagerreachd._upstream_errors import UpstreamError

SEAL = b"Seal: x\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + SEAL + b"\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + SEAL + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + SEAL + b"Content-Length: 200000\r\n\r\n"
TIME_LIMIT_S = 4.0
# More than the socket buffers of both sides take.
LONG_UPLOAD_BYTES = 24 * 1024 * 1024
SHORT_UPLOAD_BYTES = 1000
PART_BYTES = 64 * 1024
# A close with this linger time discards what is unsent, and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EarlyTarget:
    """Responds as soon as it has read a head, and then ends the connection.

    :param response: bytes that it sends.
    :param pause_s: time until it ends the connection.
    :param resets: whether it resets the connection; otherwise it ends its side, and reads on.
    """

    def __init__(self, response, *, pause_s, resets):
        self._response = response
        self._pause_s = pause_s
        self._resets = resets
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        """Close the listener."""
        self._server.stop(timeout=0)

    def _serve(self, connection, _address):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(1024)
        with contextlib.suppress(OSError):
            connection.sendall(self._response)
            gevent.sleep(self._pause_s)
            if self._resets:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                connection.close()
                return
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(PART_BYTES):
                pass


def _parts(size_bytes):
    for _ in range(size_bytes // PART_BYTES):
        gevent.sleep(0)
        yield b"u" * PART_BYTES


def _upload(size_bytes, *, is_chunked):
    headers = {"Host": "x"}
    if not is_chunked:
        headers["Content-Length"] = str(size_bytes)
    is_long = size_bytes > PART_BYTES
    body = _parts(size_bytes) if is_long else b"u" * size_bytes
    return UpstreamRequest(
        method="POST", target_path="/", headers=headers, body=body, request_id="r1"
    )


class ResetConnectionTest(unittest.TestCase):
    """A body that ends with its connection is whole only if the connection ended in order."""

    def send(self, response, request, *, pause_s=0.0, resets=True):
        """Return the body of a response that was taken for whole."""
        target = EarlyTarget(response, pause_s=pause_s, resets=resets)
        self.addCleanup(target.stop)
        client = UpstreamClient(
            connect_timeout_s=1.0,
            idle_timeout_s=2.0,
            dialect=TargetDialect(
                accepts_unframed=True, requires_request_id=True, success_header="Seal"
            ),
        )
        self.addCleanup(client.close)
        response = client.send(
            target="t1", address=target.address, request=request, time_limit_s=TIME_LIMIT_S
        )
        return response.body if response.stream is None else b"".join(response.stream)

    def test_reset_during_an_upload_looks_like_the_end_of_the_body(self):
        for is_chunked in (False, True):
            for size_bytes in (0, 5, 2000, 100_000):
                for pause_s in (0.0, 0.05, 0.5):
                    with self.subTest(chunked=is_chunked, size=size_bytes, pause_s=pause_s):
                        request = _upload(LONG_UPLOAD_BYTES, is_chunked=is_chunked)
                        with self.assertRaises(UpstreamError):
                            self.send(UNFRAMED + b"d" * size_bytes, request, pause_s=pause_s)

    def test_reset_after_an_upload_looks_like_the_end_of_the_body(self):
        for size_bytes in (0, 5, 100_000):
            for pause_s in (0.0, 0.05, 0.3):
                with self.subTest(size=size_bytes, pause_s=pause_s):
                    request = _upload(SHORT_UPLOAD_BYTES, is_chunked=False)
                    with self.assertRaises(UpstreamError):
                        self.send(UNFRAMED + b"d" * size_bytes, request, pause_s=pause_s)

    def test_reset_that_another_call_was_told_of_looks_like_the_end(self):
        """The kernel reports a reset once, to whichever call asks first."""
        for resets in (False, True):
            with self.subTest(resets=resets):
                target = EarlyTarget(b"part", pause_s=0.05, resets=resets)
                self.addCleanup(target.stop)
                host, port = target.address.split(":")
                connection = TargetConnection(
                    host, int(port), connect_timeout_s=1.0, idle_timeout_s=2.0
                )
                connection.connect()
                self.addCleanup(connection.abandon)
                connection.send(b"GET / HTTP/1.1\r\n\r\n")
                open_socket = connection.sock
                reader = connection.response_class(open_socket).fp
                gevent.sleep(0.2)
                open_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if resets:
                    with self.assertRaises(ConnectionResetError):
                        reader.read()
                else:
                    self.assertEqual(reader.read(), b"part")

    def test_reset_of_a_framed_response_looks_like_its_end(self):
        for head in (LENGTH, CHUNKED):
            for upload_bytes in (SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES):
                with self.subTest(head=head, upload_bytes=upload_bytes):
                    request = _upload(upload_bytes, is_chunked=False)
                    with self.assertRaises(UpstreamError):
                        self.send(head + b"5\r\nabcde\r\n", request, pause_s=0.05)

    def test_end_in_order_during_an_upload_looks_like_a_reset(self):
        for size_bytes in (5, 2000, 100_000):
            with self.subTest(size=size_bytes):
                request = _upload(LONG_UPLOAD_BYTES, is_chunked=False)
                body = self.send(UNFRAMED + b"d" * size_bytes, request, resets=False)
                self.assertEqual(body, b"d" * size_bytes)


class StatusTest(unittest.TestCase):
    """A status that is not three digits from 100 to 599 makes no response."""

    def status(self, status_line):
        """Return the status with which a response was accepted."""
        response = status_line + b"\r\nRequest-Id: r1\r\n" + SEAL + b"Content-Length: 0\r\n\r\n"
        target = ScriptedTarget([response])
        self.addCleanup(target.stop)
        client = UpstreamClient(connect_timeout_s=1.0, idle_timeout_s=2.0)
        self.addCleanup(client.close)
        request = UpstreamRequest(
            method="GET", target_path="/", headers={"Host": "x"}, body=None, request_id="r1"
        )
        return client.send(
            target="t1", address=target.address, request=request, time_limit_s=TIME_LIMIT_S
        ).status

    def test_odd_status_is_passed_on(self):
        odd = (
            *(b"000", b"099", b"600", b"999", b"20", b"2000", b"+200", b"-200", b"20x"),
            *(b"0200", b"2_00", b"", b"-1", b"101", b"\xb2\xb0\xb0"),
        )
        for status in odd:
            with self.subTest(status=status), self.assertRaises(UpstreamError):
                self.status(b"HTTP/1.1 " + status + b" Odd")

    def test_odd_version_is_passed_on(self):
        for line in (b"HTTP/2.0 200 OK", b"ICY 200 OK", b"HTTP/1.1\t200 OK", b"200 OK"):
            with self.subTest(line=line), self.assertRaises(UpstreamError):
                self.status(line)

    def test_usual_status_is_refused(self):
        for status in (200, 299, 304, 404, 500, 599):
            for reason in (b" Text", b" ", b""):
                with self.subTest(status=status, reason=reason):
                    self.assertEqual(self.status(b"HTTP/1.1 %d" % status + reason), status)
