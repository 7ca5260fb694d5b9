"""Ends of callers' connections: no reset, and no response or request that is lost with one."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
import unittest
from pathlib import Path
from unittest import mock

import gevent
from gevent import socket as green_socket
from gevent.socket import wait_read
from tanagerreachd import _clock, _http_server
from tanagerreachd._caller_watch import CallerDisconnectedError, CallerWatch
from tanagerreachd._http_server import CallerHandler, CallerServer, HttpLimits
from tanagerreachd._lingering_close import LINGER_S
from tanagerreachd._refusals import render_failure, render_minimal
from tanagerreachd.gateway._pipelined_requests import PipelinedRequest

IDLE_TIME_S = 0.4
# The caller reads a response of this size late, so that most of it waits in the server's buffer.
LARGE_BODY_BYTES = 400_000
CALLER_BUFFER_BYTES = 8 * 1024
READ_DELAY_S = 0.3
SERVICE_TIME_S = 0.3
# Time within which the server has read what was sent to it.
ARRIVAL_S = 0.05
# Allowance for a busy machine.
TOLERANCE_S = 0.5


def get(path, *headers):
    """Return a request in bytes."""
    return ("\r\n".join([f"GET {path} HTTP/1.1", "Host: h", *headers]) + "\r\n\r\n").encode()


def post(path):
    """Return a request with a body, which no other request of its connection overtakes."""
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx".encode()


def start_server(handler_class, application):
    """Start a server on a free port."""
    server = CallerServer(
        listener=("127.0.0.1", 0),
        application=application,
        limits=HttpLimits(header_bytes=2048, header_time_s=1.0, idle_time_s=5.0),
        render_refusal=lambda error: render_minimal(error.status, "bad-request", error.detail),
        on_refused=lambda _: None,
        on_failure=lambda _: None,
        failure_response=render_failure(),
        handler_class=handler_class,
    )
    server.start()
    return server


def respond(environ, start_response):
    """Respond to a request, late or with a large body as its path says."""
    environ["wsgi.input"].read()
    path = environ["PATH_INFO"]
    gevent.sleep(SERVICE_TIME_S if path == "/slow" else 0)
    body = b"x" * LARGE_BODY_BYTES if path == "/large" else b"x"
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def run_child(handler_class):
    """Serve in a process of its own until a line arrives, then stop and end the process."""
    server = start_server(handler_class, respond)
    print(server.address[1], flush=True)
    wait_read(sys.stdin.fileno())
    server.begin_drain()
    server.close_listener()
    server.finish_requests(_clock.now_s() + 5.0)
    os._exit(0)


class EndTest(unittest.TestCase):
    """Starts a server and connects callers to it; the subclasses choose the handler."""

    handler_class = CallerHandler

    def setUp(self):
        self.handled = []
        self.cancelled = []
        self.watch = CallerWatch()
        self.server = start_server(self.handler_class, self.application)
        self.address = self.server.address
        self.addCleanup(self.server.stop)
        sweeps = gevent.spawn(self.watch.run)
        self.addCleanup(sweeps.kill)

    def application(self, environ, start_response):
        """Respond, and record handled and cancelled requests."""
        path = environ["PATH_INFO"]
        end_watch = self.watch.watch(environ)
        try:
            body = respond(environ, start_response)
        except CallerDisconnectedError:
            self.cancelled.append(path)
            raise
        finally:
            end_watch()
        self.handled.append(path)
        return body

    def connect(self):
        """Connect a caller whose small buffer makes the server keep most of a large response."""
        connection = green_socket.socket()
        self.addCleanup(connection.close)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        connection.settimeout(LINGER_S + 3.0)
        connection.connect(self.address)
        gevent.sleep(ARRIVAL_S)
        return connection

    def kept_connection(self):
        """Connect a caller that has got a response and may send further requests."""
        connection = self.connect()
        connection.sendall(get("/first"))
        response = connection.recv(65536)
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)
        self.assertNotIn(b"Connection: close", response)
        gevent.sleep(ARRIVAL_S)
        self.handled.clear()
        return connection

    def idle_connections(self):
        """Yield a connection that was used and a new one, each in a subtest."""
        for connect in (self.connect, self.kept_connection):
            self.server.draining = False
            with self.subTest(connection=connect.__name__):
                yield connect()

    def begin_stop(self):
        """Do what an instance does when its stop begins."""
        self.server.begin_drain()
        self.server.close_idle_connections()

    def read_to_end(self, connection):
        """Read until the connection ends; a reset raises and fails the test."""
        received = b""
        while data := connection.recv(65536):
            received += data
        return received

    def assert_whole(self, received):
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
        self.assertEqual(len(body), LARGE_BODY_BYTES)

    def wait_until(self, condition, limit_s):
        ends_s = time.monotonic() + limit_s
        while not condition() and time.monotonic() < ends_s:
            gevent.sleep(0.01)
        self.assertTrue(condition())


class ClosingResponseTest(EndTest):
    """Ends after a response that announces the close."""

    def test_request_crosses_the_closing_response(self):
        """Guards against a closing response that a crossing request cuts with a reset."""
        for announce in ("caller", "drain"):
            with self.subTest(announce=announce):
                self.handled.clear()
                connection = self.connect()
                if announce == "drain":
                    self.server.begin_drain()
                headers = ["Connection: close"] if announce == "caller" else []
                connection.sendall(get("/large", *headers))
                gevent.sleep(ARRIVAL_S)
                connection.sendall(get("/crossing"))
                gevent.sleep(READ_DELAY_S)
                connection.sendall(get("/crossing"))
                received = self.read_to_end(connection)
                self.assertIn(b"Connection: close", received)
                self.assert_whole(received)
                self.assertEqual(self.handled, ["/large"])

    def test_request_crosses_a_refusal(self):
        """Guards against a refusal of a malformed request that is lost with a reset."""
        connection = self.connect()
        connection.sendall(b"GET /bad HTTP/1.1\r\n\r\n")
        gevent.sleep(ARRIVAL_S)
        with contextlib.suppress(ConnectionError):
            connection.sendall(get("/crossing"))
            gevent.sleep(ARRIVAL_S)
            connection.sendall(get("/crossing"))
        self.assertTrue(self.read_to_end(connection).startswith(b"HTTP/1.1 400 "))
        self.assertEqual(self.handled, [])

    def test_request_crosses_the_idle_timeout(self):
        """Guards against a response that is cut, as a request crosses the idle timeout."""
        limits = HttpLimits(header_bytes=2048, header_time_s=1.0, idle_time_s=IDLE_TIME_S)
        self.server.limits = limits
        connection = self.connect()
        connection.sendall(get("/large"))
        gevent.sleep(ARRIVAL_S + IDLE_TIME_S + READ_DELAY_S)
        connection.sendall(get("/crossing"))
        gevent.sleep(ARRIVAL_S)
        self.assert_whole(self.read_to_end(connection))
        self.assertEqual(self.handled, ["/large"])

    def test_caller_keeps_a_closed_connection(self):
        """Guards against a caller that keeps a connection open after its close, and sends on."""
        connection = self.connect()
        connection.sendall(get("/first", "Connection: close"))
        ends_s = time.monotonic() + LINGER_S + TOLERANCE_S
        with self.assertRaises(ConnectionError):
            while time.monotonic() < ends_s:
                connection.sendall(b"x")
                gevent.sleep(0.01)
        gevent.sleep(ARRIVAL_S)
        self.assertEqual(self.server.ending_connections, set())
        self.assertEqual(self.server.active_count, 0)


class PipelinedClosingResponseTest(ClosingResponseTest):
    """The same with the gateway's handler."""

    handler_class = PipelinedRequest


class IdleCloseTest(EndTest):
    """Closes of idle connections when an instance stops."""

    def test_arrived_request_is_lost(self):
        """Guards against a request that is lost, as its connection is closed before it is read."""
        for connection in self.idle_connections():
            self.handled.clear()
            connection.sendall(get("/late"))
            self.begin_stop()
            received = self.read_to_end(connection)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
            self.assertIn(b"Connection: close", received)
            self.assertEqual(self.handled, ["/late"])

    def test_request_after_the_close_is_reset(self):
        """Guards against a reset of a request that crosses the close of its idle connection."""
        for connection in self.idle_connections():
            self.handled.clear()
            self.begin_stop()
            for request in (get("/late"), get("/late")[:7], get("/late")[7:]):
                connection.sendall(request)
                gevent.sleep(ARRIVAL_S)
                self.assertEqual(self.server.active_count, 0)
            self.assertEqual(self.read_to_end(connection), b"")
            self.assertEqual(self.handled, [])

    def test_request_late_in_the_linger_time_is_reset(self):
        """Guards against a connection that lingers for less than ``LINGER_S``."""
        for connection in self.idle_connections():
            self.begin_stop()
            gevent.sleep(0.7 * LINGER_S)
            connection.sendall(get("/late"))
            gevent.sleep(ARRIVAL_S)
            self.assertEqual(self.read_to_end(connection), b"")

    def test_response_before_the_close_is_cut(self):
        """Guards against a response that is cut, as its connection is closed as an idle one."""
        for crosses in (False, True):
            with self.subTest(crosses=crosses):
                self.server.draining = False
                connection = self.connect()
                connection.sendall(get("/large"))
                gevent.sleep(ARRIVAL_S)
                self.wait_until(lambda: self.server.idle_handlers, 1.0)
                self.begin_stop()
                if crosses:
                    connection.sendall(get("/late"))
                gevent.sleep(READ_DELAY_S)
                if crosses:
                    connection.sendall(get("/late"))
                self.assert_whole(self.read_to_end(connection))

    def test_response_that_is_read_after_the_linger_time_is_cut(self):
        """Guards against a reset by a request left unread, before its caller has the response."""
        for most_lingering in (_http_server.MAX_LINGERING, 0):
            patched = mock.patch.object(_http_server, "MAX_LINGERING", most_lingering)
            with self.subTest(most_lingering=most_lingering), patched:
                self.server.draining = False
                connection = self.connect()
                connection.sendall(get("/large"))
                gevent.sleep(ARRIVAL_S)
                self.wait_until(lambda: self.server.idle_handlers, 1.0)
                self.begin_stop()
                connection.sendall(get("/late"))
                gevent.sleep(LINGER_S + READ_DELAY_S)
                self.assert_whole(self.read_to_end(connection))

    def test_idle_connection_stays_open(self):
        """Guards against callers that do nothing and hold a connection of a stopping instance."""
        connections = [self.connect(), self.kept_connection()]
        self.begin_stop()
        self.assertEqual(len(self.server.ending_connections), len(connections))
        self.wait_until(lambda: not self.server.ending_connections, LINGER_S + TOLERANCE_S)
        for connection in connections:
            self.assertEqual(connection.recv(1), b"")
            with self.assertRaises(ConnectionError):
                # The first byte shows that the connection is closed.
                connection.sendall(b"x")
                gevent.sleep(ARRIVAL_S)
                connection.sendall(b"x")

    def test_request_in_flight_is_cancelled_by_the_stop(self):
        """Guards against an end of the connection that looks as if the caller had disconnected."""
        for request in (get("/slow"), post("/slow")):
            with self.subTest(request=request):
                self.server.draining = False
                connection = self.kept_connection()
                connection.sendall(request)
                gevent.sleep(ARRIVAL_S)
                self.begin_stop()
                gevent.sleep(ARRIVAL_S)
                self.server.close_idle_connections()
                received = self.read_to_end(connection)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
                self.assertEqual((self.handled, self.cancelled), (["/slow"], []))

    def test_begun_request_is_lost(self):
        """Guards against a request that is lost, as its connection counts as idle.

        The caller has sent a part of its request line when the request before it ends.
        """
        for request in (get("/slow"), post("/slow")):
            with self.subTest(request=request):
                self.server.draining = False
                connection = self.kept_connection()
                connection.sendall(get("/slow") + request[:7])
                self.assertTrue(connection.recv(65536).startswith(b"HTTP/1.1 200 "))
                connection.sendall(request[7:])
                gevent.sleep(ARRIVAL_S)
                self.begin_stop()
                received = self.read_to_end(connection)
                self.assertEqual((self.handled, self.cancelled), (["/slow", "/slow"], []))
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
                self.assertIn(b"Connection: close", received)


class PipelinedIdleCloseTest(IdleCloseTest):
    """The same with the gateway's handler."""

    handler_class = PipelinedRequest

    def test_handler_of_a_timed_out_connection_stays_idle(self):
        """Guards against a handler that is kept as idle after its connection has closed."""
        limits = HttpLimits(header_bytes=2048, header_time_s=1.0, idle_time_s=SERVICE_TIME_S / 2)
        self.server.limits = limits
        connection = self.connect()
        connection.sendall(get("/slow"))
        self.assertTrue(self.read_to_end(connection).startswith(b"HTTP/1.1 200 "))
        gevent.sleep(ARRIVAL_S)
        self.assertEqual(self.server.idle_handlers, set())


class FinishTest(EndTest):
    """The end of a stop, after which the process ends and its connections are reset."""

    def finish(self, limit_s):
        """Finish the requests; return the unfinished ones and how long it took."""
        started_s = _clock.now_s()
        unfinished_count = self.server.finish_requests(started_s + limit_s)
        return unfinished_count, _clock.now_s() - started_s

    def read_and_close(self, connection):
        with connection:
            connection.sendall(get("/crossing"))
            return self.read_to_end(connection)

    def test_stop_takes_longer(self):
        """Guards against a stop that waits for callers that do nothing, or beyond its end."""
        for limit_s, linger_s in ((5.0, LINGER_S), (0.3, 0.3)):
            with self.subTest(limit_s=limit_s):
                self.server.draining = False
                connection = self.kept_connection()
                self.server.begin_drain()
                unfinished_count, took_s = self.finish(limit_s)
                self.assertEqual(unfinished_count, 0)
                self.assertLess(took_s, linger_s + TOLERANCE_S)
                connection.close()
                gevent.sleep(ARRIVAL_S)

    def test_stop_waits_for_callers_that_have_closed(self):
        """Guards against a stop that waits although each caller has closed its connection."""
        connection = self.kept_connection()
        reader = gevent.spawn_later(ARRIVAL_S, self.read_and_close, connection)
        self.server.begin_drain()
        unfinished_count, took_s = self.finish(5.0)
        self.assertEqual((unfinished_count, reader.get()), (0, b""))
        self.assertLess(took_s, LINGER_S / 2)

    def test_unfinished_requests_are_not_counted(self):
        """Guards against a log that hides requests that the end of a stop cuts."""
        connection = self.connect()
        connection.sendall(get("/slow"))
        gevent.sleep(ARRIVAL_S)
        self.server.begin_drain()
        self.assertEqual(self.finish(ARRIVAL_S)[0], 1)
        self.read_to_end(connection)


class ProcessEndTest(EndTest):
    """The end of a process, which resets the connections that are still open."""

    def setUp(self):
        super().setUp()
        self.start_child()
        self.addCleanup(self.end_child)

    def start_child(self):
        name = self.handler_class.__name__
        self.child = subprocess.Popen(
            [sys.executable, "-c", f"import {Path(__file__).stem} as t; t.run_child(t.{name})"],
            cwd=Path(__file__).parent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.address = ("127.0.0.1", int(self.child.stdout.readline()))

    def end_child(self):
        self.child.kill()
        self.child.communicate()

    def stop_child(self):
        self.child.stdin.write(b"\n")
        self.child.stdin.flush()

    def assert_whole_after_process_end(self, request):
        """Stop the process before the caller reads, and let a further request cross the end."""
        connection = self.connect()
        connection.sendall(request)
        gevent.sleep(ARRIVAL_S)
        self.stop_child()
        gevent.sleep(READ_DELAY_S)
        connection.sendall(get("/crossing"))
        gevent.sleep(ARRIVAL_S)
        self.assert_whole(self.read_to_end(connection))

    def test_response_is_cut_by_the_end_of_the_process(self):
        """Guards against a process that ends while a caller reads the newest response."""
        self.assert_whole_after_process_end(get("/large"))

    def test_response_that_is_read_after_the_end_of_the_process_is_cut(self):
        """Guards against a process that ends with a request unread behind a response."""
        for delay_s in (0.0, 0.02, 0.04):
            with self.subTest(delay_s=delay_s):
                self.end_child()
                self.start_child()
                connection = self.connect()
                connection.sendall(get("/large"))
                gevent.sleep(READ_DELAY_S)
                self.stop_child()
                gevent.sleep(ARRIVAL_S + delay_s)
                connection.sendall(get("/late"))
                self.child.wait(LINGER_S + 5.0)
                self.assert_whole(self.read_to_end(connection))

    def test_closing_response_is_cut_by_the_end_of_the_process(self):
        """Guards against a process that ends while a caller reads the closing response."""
        self.assert_whole_after_process_end(get("/large", "Connection: close"))

    def test_arrived_request_is_cut_by_the_end_of_the_process(self):
        """Guards against a process that ends before it has read a request that arrived.

        A response before it shows that the process has accepted the connection.
        """
        connection = self.kept_connection()
        # The process reads neither while it is stopped, and finds both when it goes on.
        self.child.send_signal(signal.SIGSTOP)
        connection.sendall(get("/slow"))
        self.stop_child()
        self.child.send_signal(signal.SIGCONT)
        self.assertTrue(self.read_to_end(connection).startswith(b"HTTP/1.1 200 "))


class PipelinedProcessEndTest(ProcessEndTest):
    """The same with the gateway's handler."""

    handler_class = PipelinedRequest


class PipelinedFinishTest(FinishTest):
    """The same with the gateway's handler."""

    handler_class = PipelinedRequest


if __name__ == "__main__":
    unittest.main()
