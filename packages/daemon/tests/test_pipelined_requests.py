"""Requests of a caller that closes its connection before they are answered."""

import contextlib
import socket
import struct
import unittest

import gevent
from gevent import socket as green_socket
from tanagerreachd._caller_watch import CallerDisconnectedError, CallerWatch
from tanagerreachd._http_server import CallerServer, HttpLimits
from tanagerreachd._refusals import render_failure, render_minimal
from tanagerreachd._upstream_errors import IncompleteResponseError
from tanagerreachd.gateway._pipelined_requests import MAX_IN_FLIGHT, PipelinedRequest

LIMITS = HttpLimits(header_bytes=2048, header_time_s=0.3, idle_time_s=5.0)
# Time that a request takes at its target, longer than any caller waits here.
TARGET_TIME_S = 3.0
SHORT_TARGET_TIME_S = 0.2
TARGET_TIMES_S = {
    "/fast": 0.0,
    "/large": 0.0,
    "/huge": 0.0,
    "/parts": 0.0,
    "/breaks": 0.0,
    "/unframed": 0.0,
    "/unframed-breaks": 0.0,
    "/soon": SHORT_TARGET_TIME_S,
}
LARGE_BODY_BYTES = 1_000_000
SIZES_BYTES = {"/large": LARGE_BODY_BYTES, "/huge": 40 * LARGE_BODY_BYTES}
# A target still at work this long after its caller left breaks the platform's rule GONE.
CANCEL_LIMIT_S = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def get(path, *headers):
    lines = [f"GET {path} HTTP/1.1", "Host: h", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def post(path):
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx".encode()


class PipelinedRequestTest(unittest.TestCase):
    """A request without a waiting caller keeps a slot of its target from other callers."""

    def setUp(self):
        self.started = []
        self.ended = []
        # Paths of responses that were not sent, each with what broke the connection.
        self.not_sent = []
        self.failures = []
        self.watch = CallerWatch()
        self.server = CallerServer(
            listener=("127.0.0.1", 0),
            application=self.application,
            limits=LIMITS,
            render_refusal=lambda error: render_minimal(error.status, "bad-request", error.detail),
            on_refused=self.failures.append,
            on_failure=self.failures.append,
            failure_response=render_failure(),
            handler_class=PipelinedRequest,
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        sweeps = gevent.spawn(self.watch.run)
        self.addCleanup(sweeps.kill)

    def application(self, environ, start_response):
        """Respond late, watch callers with a body as the gateway does, and record cancellations."""
        path = environ["PATH_INFO"]
        environ["tanagerreach.request_id"] = path
        environ["tanagerreach.on_not_sent"] = lambda by: self.not_sent.append((path, by))
        end_watch = self.watch.watch(environ) if environ["REQUEST_METHOD"] == "POST" else None
        self.started.append(path)
        try:
            gevent.sleep(TARGET_TIMES_S.get(path, TARGET_TIME_S))
        except CallerDisconnectedError as error:
            self.ended.append(path)
            self.broken_by = error.broken_by
            raise
        finally:
            if end_watch is not None:
                end_watch()
        if path in ("/unframed", "/unframed-breaks"):
            start_response("200 OK", [])
            return self.parts() if path == "/unframed" else self.broken_parts()
        if path in ("/parts", "/breaks"):
            start_response("200 OK", [("Content-Length", "4")])
            return self.parts() if path == "/parts" else self.broken_parts()
        body = b"x" * SIZES_BYTES.get(path, 0)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body] if body else []

    @staticmethod
    def parts():
        yield b"ab"
        gevent.sleep(SHORT_TARGET_TIME_S)
        yield b"cd"

    @staticmethod
    def broken_parts():
        yield b"ab"
        gevent.sleep(SHORT_TARGET_TIME_S)
        raise IncompleteResponseError("t", "the answer ended early")

    def read_to_the_end(self, request):
        """Return what the server sends until it ends the connection."""
        received = b""
        with contextlib.closing(green_socket.create_connection(self.server.address)) as connection:
            connection.sendall(request)
            with gevent.Timeout(SHORT_TARGET_TIME_S + CANCEL_LIMIT_S):
                while data := connection.recv(65536):
                    received += data
        return received

    def test_broken_response_to_an_old_caller_looks_whole(self):
        """The body of a response to HTTP/1.0 without a length ends with its connection."""
        for version, whole_end in (("1.0", b"abcd"), ("1.1", b"0\r\n\r\n")):
            headers = f"HTTP/{version}\r\nHost: h\r\nConnection: close\r\n\r\n"
            with self.subTest(version=version, path="/unframed"):
                received = self.read_to_the_end(f"GET /unframed {headers}".encode())
                self.assertTrue(received.endswith(whole_end), received)
            with self.subTest(version=version, path="/unframed-breaks"):
                request = f"GET /unframed-breaks {headers}".encode()
                if version == "1.0":
                    with self.assertRaises(ConnectionResetError):
                        self.read_to_the_end(request)
                else:
                    self.assertFalse(self.read_to_the_end(request).endswith(whole_end))

    def assert_cancelled(self, *requests, reset=False, before_close=lambda: None):
        """Send requests, close the connection, and expect that all which run are cancelled."""
        connection = green_socket.create_connection(self.server.address)
        with contextlib.closing(connection):
            for request in requests:
                connection.sendall(request)
            with gevent.Timeout(1.0):
                while len(self.started) < len(requests):
                    gevent.sleep(0.01)
            before_close()
            if reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        gevent.sleep(CANCEL_LIMIT_S)
        expected = sorted(path for path in self.started if path != "/fast")
        self.assertEqual(sorted(self.ended), expected)
        self.assertEqual(self.failures, [])
        self.assertEqual(self.server.active_count, 0)

    def test_request_goes_on_after_its_caller_left(self):
        """Guards against a request that runs on after its caller closed the connection."""
        self.assert_cancelled(get("/a"))

    def test_request_goes_on_after_a_reset(self):
        """Guards against a request that runs on after its caller reset the connection."""
        self.assert_cancelled(get("/a"), reset=True)

    def test_request_on_a_closing_connection_goes_on(self):
        """Guards against a caller that nobody watches, as its request said Connection: close."""
        self.assert_cancelled(get("/a", "Connection: close"))

    def test_request_goes_on_while_the_instance_stops(self):
        """Guards against a caller that nobody watches while the instance stops."""
        self.assert_cancelled(get("/a"), before_close=self.server.begin_drain)

    def test_later_requests_of_a_connection_go_on(self):
        """Guards against pipelined requests that run on, some behind a served one."""
        self.assert_cancelled(get("/fast"), get("/a"), get("/b"))

    def test_requests_of_a_full_pipeline_go_on(self):
        """Guards against a caller that nobody watches, as its connection has many requests."""
        self.assert_cancelled(*(get(f"/{number}") for number in range(MAX_IN_FLIGHT)))

    def test_requests_before_one_with_a_body_go_on(self):
        """Guards against pipelined requests that run on while one with a body is cancelled."""
        self.assert_cancelled(get("/a"), post("/b"))

    def test_idle_timeout_ends_a_request_that_runs(self):
        """Guards against a request that is cancelled, as its connection is idle meanwhile."""
        self.server.limits = HttpLimits(header_bytes=2048, header_time_s=0.3, idle_time_s=0.5)
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(TARGET_TIME_S + 1.0)
            connection.sendall(get("/a"))
            self.assertTrue(connection.recv(65536).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.ended, [])

    def send_behind_closing_response(self, first, later):
        """Send a request behind a response that closes the connection, as if they crossed.

        :returns: what the caller receives.
        """
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(2.0)
            connection.sendall(first)
            received = connection.recv(65536)
            self.assertIn(b"Connection: close", received)
            for part in later:
                connection.sendall(part)
                gevent.sleep(0.05)
            with contextlib.suppress(ConnectionError):
                while data := connection.recv(65536):
                    received += data
        gevent.sleep(0.05)
        self.assertEqual(self.server.active_count, 0)
        return received

    def test_request_behind_a_closing_response_runs(self):
        """Guards against a request that runs although its caller can get no response.

        The caller had not received the closing response when it sent the request, and sends it
        again elsewhere.
        """
        self.server.begin_drain()
        whole = get("/late")
        for later in ([whole], [whole[:7], whole[7:]], [whole[:-2], whole[-2:]], [post("/late")]):
            with self.subTest(later=later):
                received = self.send_behind_closing_response(get("/fast"), later)
                self.assertEqual(received.count(b"HTTP/1.1 200 "), 1)
                self.assertEqual(set(self.started), {"/fast"})

    def test_request_behind_a_refusal_runs(self):
        """Guards against a request that runs behind a refusal that closes the connection."""
        refused = b"GET /bad HTTP/1.1\r\n\r\n"
        received = self.send_behind_closing_response(refused, [get("/late")])
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received)
        self.assertEqual(self.started, [])

    def test_request_line_begun_before_a_closing_response_runs(self):
        """Guards against a request of which a part was read when the connection was closed."""
        whole = get("/late")
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(2.0)
            connection.sendall(get("/soon") + whole[:7])
            gevent.sleep(0.1)
            self.server.begin_drain()
            self.assertIn(b"Connection: close", connection.recv(65536))
            connection.sendall(whole[7:])
            self.assertEqual(connection.recv(65536), b"")
            gevent.sleep(0.05)
        self.assertEqual(self.started, ["/soon"])

    def test_accepted_requests_of_a_closing_connection_are_lost(self):
        """Guards against a closing response before those of requests that were read."""
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(2.0)
            connection.sendall(get("/soon") + get("/fast") + get("/soon"))
            gevent.sleep(0.05)
            self.server.begin_drain()
            received = b""
            while data := connection.recv(65536):
                received += data
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 3)
        self.assertEqual(received.count(b"Connection: close"), 1)

    def test_lost_response_leaves_no_trace(self):
        """Guards against a ready response that is lost without a report, or blamed on the caller.

        The response before it breaks off, so that the connection has to close.
        """
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(2.0)
            connection.sendall(get("/breaks") + get("/fast") + get("/slow"))
            while connection.recv(65536):
                pass
            gevent.sleep(0.05)
        # The gateway logs the end of the broken response itself.
        expected = [("/fast", "/breaks"), ("/slow", "/breaks")]
        self.assertEqual(sorted(self.not_sent), expected)
        self.assertEqual((self.ended, self.broken_by), (["/slow"], "/breaks"))

    def test_whole_response_is_reset_with_a_broken_one(self):
        """Guards against a whole response that is lost, as the one behind it breaks off.

        The caller reads late, and its next requests cross the end of the connection.
        """
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(2.0)
            connection.sendall(get("/large") + get("/breaks"))
            gevent.sleep(2 * SHORT_TARGET_TIME_S)
            with contextlib.suppress(OSError):
                for _ in range(2):
                    connection.sendall(get("/late"))
                    gevent.sleep(0.05)
            received = b""
            while data := connection.recv(65536):
                received += data
        self.assertEqual(received.count(b"x"), LARGE_BODY_BYTES)
        self.assertNotIn("/late", self.started)

    def test_caller_that_stops_reading_looks_like_a_broken_response(self):
        """Guards against a lost response that is blamed on one that was not cut short."""
        self.server.limits = HttpLimits(header_bytes=2048, header_time_s=0.3, idle_time_s=0.3)
        with green_socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect(self.server.address)
            connection.sendall(get("/huge") + get("/fast"))
            gevent.sleep(1.0)
        self.assertEqual(sorted(self.not_sent), [("/fast", ""), ("/huge", "")])

    def test_caller_that_left_looks_like_a_broken_response(self):
        """Guards against a lost response that is blamed on a request of the same caller."""
        self.assert_cancelled(get("/a"), get("/fast"))
        self.assertEqual(sorted(self.not_sent), [("/a", ""), ("/fast", "")])

    def test_connection_closes_after_a_response_that_keeps_it(self):
        """Guards against a stop that resets a connection whose response did not announce it.

        The response's head is sent before the stop begins, and its body ends afterwards.
        """
        with green_socket.create_connection(self.server.address) as connection:
            connection.settimeout(2.0)
            connection.sendall(post("/parts"))
            received = connection.recv(65536)
            self.assertNotIn(b"Connection: close", received)
            self.server.begin_drain()
            connection.sendall(get("/fast"))
            while data := connection.recv(65536):
                received += data
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 2)
        self.assertIn(b"Connection: close", received)


if __name__ == "__main__":
    unittest.main()
