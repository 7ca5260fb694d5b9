"""Tests of the HTTP server for callers: ambiguous requests, limits and draining."""

import contextlib
import re
import socket
import struct
import time
import unittest

import gevent
from gevent import socket as green_socket
from gevent.pywsgi import WSGIServer
from tanagerreachd._http_server import CallerServer, HttpLimits, NoDelayHandler
from tanagerreachd._refusals import render_failure, render_minimal

LIMITS = HttpLimits(header_bytes=2048, header_time_s=0.3, idle_time_s=2.0)
RESPONSE_TIMEOUT_S = 3.0


def echo_application(environ, start_response):
    """Respond with the method, the raw request target and the body length."""
    body = environ["wsgi.input"].read() if environ["REQUEST_METHOD"] == "POST" else b""
    if environ["PATH_INFO"] == "/unread":
        body = b""
    text = f"{environ['REQUEST_METHOD']} {environ['tanagerreach.raw_target']} {len(body)}"
    start_response("200 OK", [("Content-Length", str(len(text)))])
    return [text.encode()]


class HttpServerTest(unittest.TestCase):
    """A refused form could reach a backend server as another request than was checked."""

    def setUp(self):
        self.refused = []
        self.failures = []
        self.server = CallerServer(
            listener=("127.0.0.1", 0),
            application=echo_application,
            limits=LIMITS,
            render_refusal=lambda error: render_minimal(error.status, "bad-request", error.detail),
            on_refused=self.refused.append,
            on_failure=self.failures.append,
            failure_response=render_failure(),
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def send(self, *parts, pause_s=0.0):
        """Send raw bytes; return all received bytes until the connection closes."""
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(RESPONSE_TIMEOUT_S)
            # If the server closes first, its response can still be read.
            with contextlib.suppress(OSError):
                for part in parts:
                    connection.sendall(part)
                    gevent.sleep(pause_s)
                connection.shutdown(socket.SHUT_WR)
            received = b""
            while data := connection.recv(65536):
                received += data
        return received

    def assert_refused(self, request, status):
        response = self.send(request)
        self.assertTrue(response.startswith(b"HTTP/1.1 " + status), response)
        self.assertIn(b"Executed: not-run", response)
        responses = re.findall(rb"HTTP/1\.1 \d{3} ", response)
        self.assertEqual(len(responses), 1, "a second request was read")

    def test_plain_and_pipelined_requests(self):
        """Guards against pipelined requests that are lost or responded to out of order."""
        response = self.send(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
            b"GET /b?q=%2F HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        self.assertIn(b"POST /a 3", response)
        self.assertIn(b"GET /b?q=%2F 0", response)
        self.assertLess(response.index(b"POST /a 3"), response.index(b"GET /b?q=%2F 0"))

    def test_ambiguous_body_length(self):
        """Guards against request smuggling through an ambiguous body length."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\n"
        tail = b"\r\n5\r\nhello\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        for lines, status in (
            (b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", b"400"),
            (b"Content-Length: 5\r\nContent-Length: 6\r\n", b"400"),
            (b"Content-Length: 5\r\nContent-Length: 5\r\n", b"400"),
            (b"Content-Length: +5\r\n", b"400"),
            (b"Content-Length: 0x5\r\n", b"400"),
            (b"Content-Length: -1\r\n", b"400"),
            (b"Transfer-Encoding: xchunked\r\n", b"501"),
            (b"Transfer-Encoding: gzip, chunked\r\n", b"501"),
            (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", b"501"),
            (b"Transfer-Encoding : chunked\r\n", b"400"),
            (b"X: a\r\n Content-Length: 5\r\n", b"400"),
            (b"Transfer-Encoding:\x0bchunked\r\n", b"400"),
        ):
            with self.subTest(lines=lines):
                self.assert_refused(head + lines + tail, status)

    def test_malformed_chunks(self):
        """Guards against malformed chunks that a backend server could interpret differently."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for body in (
            b"-5\r\nhello\r\n0\r\n\r\n",
            b"5 \r\nhello\r\n0\r\n\r\n",
            b"5\r\nhelloXX0\r\n\r\n",
            b"5\nhello\n0\n\n",
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b"\r\nhello\r\n0\r\n\r\n",
            b"5;a\nb\r\nhello\r\n0\r\n\r\n",
            b"5\r\nhello\r\n0\r\nX: a\nb\r\n\r\n",
            b"5;a\x00b\r\nhello\r\n0\r\n\r\n",
            b"5;a\x0bb\r\nhello\r\n0\r\n\r\n",
            b"5;a=\x7f\r\nhello\r\n0\r\n\r\n",
        ):
            with self.subTest(body=body):
                response = self.send(head + body + b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
                self.assertNotIn(b"/smuggled", response)
                self.assertNotIn(b" 200 ", response.split(b"\r\n", 1)[0])

    def test_request_line_forms(self):
        """Guards against request targets that are checked in one form and run in another."""
        for line, status in (
            (b"GET http://elsewhere/a HTTP/1.1", b"400"),
            (b"GET a HTTP/1.1", b"400"),
            (b"CONNECT h:80 HTTP/1.1", b"400"),
            (b"get / HTTP/1.1", b"400"),
            (b"GET /a\x00b HTTP/1.1", b"400"),
            (b"GET /a\xe9 HTTP/1.1", b"400"),
            (b"GET / HTTP/2.0", b"400"),
            (b"GET /", b"505"),
            (b"GET / HTTP/1.1\nX: a", b"400"),
        ):
            with self.subTest(line=line):
                self.assert_refused(line + b"\r\nHost: h\r\n\r\n", status)

    def test_headers(self):
        """Guards against header injection, and missing or duplicate Host headers."""
        for lines in (
            b"",
            b"Host: h\r\nHost: g\r\n",
            b"Host: h\r\nBad Name: v\r\n",
            b"Host: h\r\nnocolon\r\n",
            b"Host: h\r\nX: a\nContent-Length: 5\r\n",
            b"Host: h\r\nX: a\rY: b\r\n",
            b"Host: h\r\nX: a\r\r\n",
            b"Host: h\r\nX: a\x00b\r\n",
        ):
            with self.subTest(lines=lines):
                self.assert_refused(b"GET / HTTP/1.1\r\n" + lines + b"\r\n", b"400")

    def test_chunk_extension_and_trailer(self):
        """Guards against refusing chunk extensions and trailers, which HTTP allows."""
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        response = self.send(head + b'5;a="b"\r\nhello\r\n0\r\nX: a\r\n\r\n')
        self.assertIn(b"POST /a 5", response)

    def test_head_too_large(self):
        """Guards against memory exhaustion by unlimited request heads."""
        line = b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assert_refused(line, b"414")
        request = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 4000 + b"\r\n\r\n"
        self.assert_refused(request, b"431")
        many = b"GET / HTTP/1.1\r\nHost: h\r\n" + b"X: a\r\n" * 150 + b"\r\n"
        self.assert_refused(many, b"431")

    def test_slow_head(self):
        """Guards against callers that hold a connection by sending a head byte by byte."""
        started = time.monotonic()
        response = self.send(b"GET / HTTP/1.1\r\nHost:", b" h\r\n", pause_s=0.5)
        self.assertTrue(response.startswith(b"HTTP/1.1 408"), response)
        self.assertLess(time.monotonic() - started, RESPONSE_TIMEOUT_S)

    def test_slow_request_line(self):
        """Guards against callers that send the request line byte by byte."""
        response = self.send(b"G", b"E", b"T", b" / HTTP/1.1\r\nHost: h\r\n\r\n", pause_s=0.2)
        self.assertNotIn(b"200 OK", response)

    def test_body_cut_midway(self):
        """Guards against a truncated body that is taken for a complete one."""
        response = self.send(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
        self.assertNotIn(b"200 OK", response)

    def test_reset_connection_does_not_stop_the_drain(self):
        """Guards against a drain that fails because a caller has reset its idle connection."""
        linger_reset = struct.pack("ii", 1, 0)
        connection = green_socket.create_connection(self.server.address)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"200 OK", connection.recv(65536))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_reset)
        gevent.sleep(0.05)
        self.assertEqual(len(self.server.idle_handlers), 1)
        connection.close()
        time.sleep(0.05)
        self.server.close_idle_connections()

    def test_idle_connections_close_on_drain(self):
        """Guards against a drain that waits for callers with idle connections."""
        with green_socket.create_connection(self.server.address) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b"200 OK", connection.recv(65536))
            gevent.sleep(0.05)
            self.server.begin_drain()
            self.server.close_idle_connections()
            connection.settimeout(RESPONSE_TIMEOUT_S)
            self.assertEqual(connection.recv(1), b"")


class NoDelayHandlerTest(unittest.TestCase):
    """Guards against responses that wait 40 ms for a delayed acknowledgement."""

    def test_connection_sends_without_delay(self):
        options = []

        class Recorder(NoDelayHandler):
            def handle_one_request(self):
                options.append(self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
                return super().handle_one_request()

        server = WSGIServer(
            ("127.0.0.1", 0),
            lambda environ, start_response: start_response("204 No Content", []) and [],
            log=None,
            handler_class=Recorder,
        )
        server.start()
        self.addCleanup(server.stop, 0)
        with green_socket.create_connection(server.address, RESPONSE_TIMEOUT_S) as connection:
            connection.sendall(b"GET / HTTP/1.0\r\n\r\n")
            self.assertIn(b"204", connection.recv(100))
        self.assertTrue(options)
        self.assertTrue(all(options))


if __name__ == "__main__":
    unittest.main()
