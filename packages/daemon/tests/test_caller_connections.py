"""Tests of the server for callers when its connections use up their room."""

import unittest

import gevent
from gevent import socket as green_socket
from tanagerreachd._caller_body import CallerBody
from tanagerreachd._caller_connections import CallerConnections, CallerRoom
from tanagerreachd._http_server import CallerServer, HttpLimits
from tanagerreachd._refusals import RefusalError, render_failure, render_minimal

KIB = 1024
LIMIT_BYTES = 1024 * KIB
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
RECEIVE_TIMEOUT_S = 3.0


def read_application(environ, start_response):
    """Read the body within the room of the request, and respond with its length."""
    body = CallerBody(
        stream=environ["wsgi.input"],
        content_length=int(environ.get("CONTENT_LENGTH") or 0),
        chunked=False,
        limit_bytes=LIMIT_BYTES,
        part_time_limit_s=RECEIVE_TIMEOUT_S,
        buffered_bytes=LIMIT_BYTES,
        room=environ["tanagerreach.room"],
    )
    try:
        body.read_first_part()
        status, text = "200 OK", str(body.read_bytes)
    except RefusalError as refusal:
        status, text = refusal.status_line(), refusal.executed.value
    start_response(status, [("Content-Length", str(len(text)))])
    return [text.encode()]


class CallerConnectionsTest(unittest.TestCase):
    """Guards against connections that exceed their room, or keep it after their end."""

    def start(self, **room):
        self.events = []
        self.connections = CallerConnections(room=CallerRoom(**room), on_event=self.events.append)
        self.server = CallerServer(
            listener=("127.0.0.1", 0),
            application=read_application,
            limits=HttpLimits(header_bytes=2048, header_time_s=3.0, idle_time_s=5.0),
            render_refusal=lambda error: render_minimal(
                error.status, "refused", error.detail, retry_after_s=error.retry_after_s
            ),
            on_refused=lambda error: None,
            on_failure=lambda error: self.events.append(repr(error)),
            failure_response=render_failure(),
            connections=self.connections,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def connect(self, data):
        connection = green_socket.create_connection(self.server.address)
        self.addCleanup(connection.close)
        connection.settimeout(RECEIVE_TIMEOUT_S)
        connection.sendall(data)
        gevent.sleep(0.05)
        return connection

    def test_stopped_body_keeps_its_room(self):
        self.start(memory_bytes=960 * KIB)
        stopped = self.connect(HEAD % (800 * KIB) + b"x" * (790 * KIB))
        gevent.sleep(0.2)
        small = self.connect(HEAD % (30 * KIB) + b"x" * (30 * KIB))
        self.assertIn(b"200 OK", small.recv(4096))
        refusal = stopped.recv(4096)
        self.assertIn(b"503 Service Unavailable", refusal)
        self.assertIn(b"not-run", refusal + stopped.recv(4096))
        self.assertEqual(self.events, ["body-closed"])

    def test_half_heads_use_up_the_connections(self):
        self.start(descriptors=10)
        for _ in range(30):
            self.connect(b"GET / HTTP/1.1\r\nHost: a\r\n")
        self.assertLessEqual(len(self.connections.budget), 11)
        self.assertEqual(self.events, ["connection-closed"] * 20)
        self.assertIn(b"200 OK", self.connect(HEAD % 0).recv(4096))

    def test_room_is_kept_after_the_end(self):
        self.start(memory_bytes=1024 * KIB)
        ends = [HEAD % 10 + b"x", HEAD % 0, b"GET / HTTP/1.1\r\n", b"", b"nonsense\r\n\r\n"]
        for connection in [self.connect(data) for data in ends]:
            connection.close()
        gevent.sleep(0.2)
        self.assertEqual(self.connections.budget.held_bytes, 0)
        self.assertEqual(self.connections.budget.held_descriptors, 0)


if __name__ == "__main__":
    unittest.main()
