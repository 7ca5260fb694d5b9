"""Requests that arrive on a closing connection: what the instance counts and logs of them."""

import io
import json
import unittest

import gevent

# Not "test_connection_end.EndTest": the loader would run the imported cases again.
import test_connection_end as ends
from gevent import socket as green_socket
from hypothesis import given
from hypothesis import strategies as st
from tanagerreachd._http_server import MAX_LINGERING, HttpLimits
from tanagerreachd._lingering_close import (
    KEPT_BYTES,
    MAX_REPORTED_REQUESTS,
    CloseCause,
    ClosedConnection,
    DiscardedInput,
    DiscardedRequest,
)
from tanagerreachd._logs import InstanceLog
from tanagerreachd._metrics import Metrics
from tanagerreachd.gateway._pipelined_requests import PipelinedRequest
from tanagerreachd.gateway._request_log import FAILED_LINES_PER_S, RequestLog

ID_HEADER = "X-Request-Id"


def identified(request_id, path="/late"):
    return ends.get(path, f"x-request-id: {request_id}")


def discarded(data):
    result = DiscardedInput()
    result.add(data, 0.5)
    return result


class DiscardedInputTest(unittest.TestCase):
    """Finds the requests in discarded input."""

    def assert_found(self, data, *expected):
        found = discarded(data).requests(ID_HEADER)
        self.assertEqual([(item.request_id, item.is_whole) for item in found], list(expected))

    def test_discarded_request_has_no_name(self):
        """Guards against requests without their identifiers, and identifiers of other requests."""
        whole = identified("r1")
        self.assert_found(whole, ("r1", True))
        self.assert_found(b"\r\n" + whole, ("r1", True))
        self.assert_found(whole[:-2], ("r1", False))
        self.assert_found(whole[:-5], ("", False))
        self.assert_found(b"GET", ("", False))
        self.assert_found(ends.get("/a") + identified("r2"), ("", True), ("r2", True))
        self.assert_found(identified("r1") + b"POST /x", ("r1", True))
        body = b"POST /a HTTP/1.1\r\nContent-Length: 18\r\n\r\nX-Request-Id: no\r\n"
        self.assert_found(body + identified("r3"), ("", True), ("r3", True))

    def test_body_looks_like_a_request(self):
        """Guards against counts of requests where the rest of a body is discarded."""
        for data in (b"", b"xxxx", b"\x00\xff" * 9, b"ABC" * 9, b"A B C", b"x" + identified("r1")):
            self.assert_found(data)

    def test_report_grows_with_the_input(self):
        """Guards against memory and lines without a bound, as a caller sends on after a close."""
        result = DiscardedInput()
        for _ in range(100):
            result.add(identified("r" * 1000), 0.0)
        self.assertEqual(len(result.beginning), KEPT_BYTES)
        self.assertEqual(result.size_bytes, 100 * len(identified("r" * 1000)))
        short = discarded(ends.get("/") * 100).requests(ID_HEADER)
        self.assertEqual(len(short), MAX_REPORTED_REQUESTS)
        self.assertLess(len(result.requests(ID_HEADER)[0].request_id), 100)

    @given(st.binary(max_size=200))
    def test_odd_bytes_raise(self, data):
        """Guards against an exception at the end of a connection with malformed input."""
        for prefix in (b"", b"GET / HTTP/1.1\r\nX-Request-Id: "):
            for item in discarded(prefix + data).requests(ID_HEADER):
                self.assertIsInstance(item, DiscardedRequest)


class RequestLogTest(unittest.TestCase):
    """Counts and logs discarded requests."""

    def setUp(self):
        self.stream = io.StringIO()
        log = InstanceLog(stream=self.stream, secrets=[], fields={"instance": "i"})
        self.addCleanup(log.close)
        self.metrics = Metrics()
        self.log = RequestLog(log=log, metrics=self.metrics)

    def count(self, name, cause):
        series = self.metrics.to_json()[name]["series"]
        return sum(item["value"] for item in series if item["labels"] == {"cause": cause})

    def close(self, data, cause=CloseCause.STOP):
        self.log.connection_closed(
            ClosedConnection(cause=cause, discarded=discarded(data)), ID_HEADER
        )

    def test_discarded_request_leaves_no_trace(self):
        """Guards against a request that nobody finds by its identifier."""
        self.close(identified("r1") + identified("r2"))
        lines = [json.loads(line) for line in self.stream.getvalue().splitlines()]
        self.assertEqual([line["request_id"] for line in lines], ["r1", "r2"])
        self.assertEqual({line["message_type"] for line in lines}, {"request discarded"})
        self.assertEqual((lines[0]["cause"], lines[0]["after_close_ms"]), ("stop", 500))
        self.assertEqual(self.count("tanagerreach_requests_discarded_total", "stop"), 2)
        self.assertEqual(self.count("tanagerreach_callers_closed_total", "stop"), 1)

    def test_crowd_of_closes_fills_the_log(self):
        """Guards against a line for each of any number of requests, and requests not counted."""
        count = int(3 * FAILED_LINES_PER_S)
        for _ in range(count):
            self.close(identified("r1"), CloseCause.IDLE_TIMEOUT)
        self.assertLess(len(self.stream.getvalue().splitlines()), 2 * FAILED_LINES_PER_S)
        name = "tanagerreach_requests_discarded_total"
        self.assertEqual(self.count(name, "idle-timeout"), count)

    def test_close_without_input_is_a_lost_request(self):
        """Guards against lines for connections that close without a request."""
        self.close(b"", CloseCause.CALLER)
        self.assertEqual(self.stream.getvalue(), "")
        self.assertEqual(self.count("tanagerreach_callers_closed_total", "caller"), 1)


class CloseCauseTest(ends.EndTest):
    """The cause that is reported with the end of a connection, and the input behind it."""

    def setUp(self):
        super().setUp()
        self.closed = []
        self.server.on_closed = self.closed.append

    def use_idle_time(self, idle_time_s):
        self.server.limits = HttpLimits(
            header_bytes=2048, header_time_s=1.0, idle_time_s=idle_time_s
        )

    def assert_closed(self, connection, cause, *request_ids):
        """Let the caller close, and expect the cause and the requests that were discarded."""
        connection.close()
        self.wait_until(lambda: self.closed, ends.LINGER_S + ends.TOLERANCE_S)
        self.assertEqual([closed.cause for closed in self.closed], [cause])
        found = self.closed.pop().discarded.requests(ID_HEADER)
        self.assertEqual([item.request_id for item in found], list(request_ids))

    def test_stop(self):
        """Guards against a stop that hides the requests that it discards."""
        for connection in self.idle_connections():
            self.begin_stop()
            gevent.sleep(ends.ARRIVAL_S)
            connection.sendall(identified("r1"))
            gevent.sleep(ends.ARRIVAL_S)
            connection.sendall(identified("r2"))
            gevent.sleep(ends.ARRIVAL_S)
            self.assert_closed(connection, CloseCause.STOP, "r1", "r2")

    def test_idle_timeout(self):
        """Guards against an idle timeout that hides the request that it discards."""
        self.use_idle_time(ends.IDLE_TIME_S)
        connection = self.kept_connection()
        gevent.sleep(ends.IDLE_TIME_S + ends.ARRIVAL_S)
        connection.sendall(identified("r1"))
        gevent.sleep(ends.ARRIVAL_S)
        self.assert_closed(connection, CloseCause.IDLE_TIMEOUT, "r1")

    def test_closing_response(self):
        """Guards against requests behind a closing response that look like lost ones."""
        for behind in ("arrived", "later"):
            with self.subTest(behind=behind):
                connection = self.connect()
                request = ends.get("/first", "Connection: close")
                connection.sendall(request + (identified("r1") if behind == "arrived" else b""))
                gevent.sleep(ends.ARRIVAL_S)
                if behind == "later":
                    connection.sendall(identified("r1"))
                    gevent.sleep(ends.ARRIVAL_S)
                self.assert_closed(connection, CloseCause.CLOSING_RESPONSE, "r1")

    def test_begun_request_behind_a_closing_response(self):
        """Guards against a request that has no name, as the reader held its beginning."""
        connection = self.connect()
        request = identified("r1")
        connection.sendall(ends.get("/slow", "Connection: close") + request[:6])
        gevent.sleep(ends.ARRIVAL_S)
        connection.sendall(request[6:])
        gevent.sleep(ends.SERVICE_TIME_S + ends.ARRIVAL_S)
        self.assert_closed(connection, CloseCause.CLOSING_RESPONSE, "r1")

    def test_stop_with_many_connections(self):
        """Guards against requests without a trace where too many connections linger."""
        count = MAX_LINGERING + 6
        connections = [green_socket.create_connection(self.address) for _ in range(count)]
        gevent.sleep(4 * ends.ARRIVAL_S)
        self.begin_stop()
        for number, connection in enumerate(connections):
            connection.sendall(identified(f"r{number}"))
        gevent.sleep(4 * ends.ARRIVAL_S)
        for connection in connections:
            connection.close()
        self.wait_until(lambda: len(self.closed) == count, ends.LINGER_S + ends.TOLERANCE_S)
        found = [item for closed in self.closed for item in closed.discarded.requests(ID_HEADER)]
        self.assertEqual({item.request_id for item in found}, {f"r{n}" for n in range(count)})
        self.assertEqual({closed.cause for closed in self.closed}, {CloseCause.STOP})

    def test_refused_head(self):
        """Guards against a refusal of a head whose close looks like another one."""
        connection = self.connect()
        connection.sendall(b"GET /bad HTTP/1.1\r\n\r\n" + identified("r1"))
        gevent.sleep(ends.ARRIVAL_S)
        self.assert_closed(connection, CloseCause.REFUSED_HEAD, "r1")

    def test_broken_response(self):
        """Guards against a broken response whose close looks like another one."""

        def broken(_environ, start_response):
            start_response("200 OK", [("Content-Length", "4")])
            yield b"ab"
            raise ConnectionError("the target broke off")

        self.server.application = broken
        connection = self.connect()
        connection.sendall(ends.get("/first"))
        gevent.sleep(ends.ARRIVAL_S)
        connection.sendall(identified("r1"))
        gevent.sleep(ends.ARRIVAL_S)
        self.assert_closed(connection, CloseCause.BROKEN_RESPONSE, "r1")

    def test_caller(self):
        """Guards against closes by callers that count as the instance's own."""
        for connect in (self.connect, self.kept_connection):
            with self.subTest(connection=connect.__name__):
                self.assert_closed(connect(), CloseCause.CALLER)


class PipelinedCloseCauseTest(CloseCauseTest):
    """The same with the gateway's handler."""

    handler_class = PipelinedRequest


if __name__ == "__main__":
    unittest.main()
