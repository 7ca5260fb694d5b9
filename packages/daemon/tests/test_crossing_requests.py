"""Requests that are sent before their caller can see the close of their connection.

On a narrow link, the end of a connection reaches its caller some tenths of a second late. A caller
that sends on meanwhile gets no answer, and may not repeat a request that the instance has read, as
it may have run.
"""

import contextlib
import fcntl
import sys
import termios
import time
import unittest
from unittest import mock

import gevent
import test_connection_end as ends
from gevent import socket as green_socket
from tanagerreach_standins.processes import ProcessGroup, free_port
from tanagerreachd._http_server import HttpLimits
from tanagerreachd._lingering_close import CloseCause
from tanagerreachd.gateway import _instance
from tanagerreachd.gateway._pipelined_requests import PipelinedRequest

ID_HEADER = "X-Request-Id"
# Time that data from the server takes to its caller; the other direction is immediate.
LINK_DELAY_S = 0.6
SEND_INTERVAL_S = 0.1
# A request that was sent this long before its caller saw the end of the connection counts
# (lossSlackMs of the platform).
LOSS_SLACK_S = 0.2
CONNECTION_COUNT = 4
# The end of a stop, which takes the notice time and up to LINGER_S.
STOP_LIMIT_S = 6.0


class SendingCaller:
    """Caller that sends requests on one connection until it sees the end of the connection.

    :param is_waiting: whether it sends a request only after the response to the one before.
    """

    def __init__(self, *, name, address, is_waiting):
        self.name = name
        self.is_waiting = is_waiting
        self.connection = green_socket.create_connection(address)
        self.connection.settimeout(STOP_LIMIT_S)
        self.sent_s = {}
        self.answers = []
        self.is_told_to_close = False
        self.ended_s = None
        self._reader = gevent.spawn(self._read)

    def close(self):
        """Close the connection."""
        self._reader.kill()
        self.connection.close()

    def send(self, *, is_slow=False):
        """Send one request."""
        request_id = f"{self.name}-{len(self.sent_s)}"
        path = "/slow" if is_slow else "/fast"
        with contextlib.suppress(OSError):
            self.connection.sendall(ends.get(path, f"{ID_HEADER}: {request_id}"))
            self.sent_s[request_id] = time.monotonic()

    def wait_for_answers(self):
        """Wait until all requests are answered, or the connection has ended."""
        ends_s = time.monotonic() + STOP_LIMIT_S
        while len(self.answers) < len(self.sent_s) and self.ended_s is None:
            if time.monotonic() > ends_s:
                raise TimeoutError("no answer and no end of the connection")
            gevent.sleep(0.005)

    def send_until_the_end(self):
        """Send requests until the connection has ended, or a response announces its end."""
        ends_s = time.monotonic() + STOP_LIMIT_S
        while self.ended_s is None and not self.is_told_to_close and time.monotonic() < ends_s:
            self.send()
            if self.is_waiting:
                self.wait_for_answers()
            gevent.sleep(SEND_INTERVAL_S)
        self._reader.join(STOP_LIMIT_S)

    def unanswered(self):
        """Return the requests without an answer that were sent early enough.

        A caller sends those behind a response that announces the close again elsewhere.
        """
        if self.is_told_to_close:
            return set()
        latest_s = self.ended_s - LOSS_SLACK_S
        requests = list(self.sent_s.items())[len(self.answers) :]
        return {request_id for request_id, sent_s in requests if sent_s < latest_s}

    def _read(self):
        with contextlib.suppress(OSError), self.connection.makefile("rb") as stream:
            while status_line := stream.readline():
                length = 0
                while (line := stream.readline().lower()) not in (b"\r\n", b""):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                    self.is_told_to_close |= line == b"connection: close\r\n"
                stream.read(length)
                self.answers.append(int(status_line.split(b" ")[1]))
        self.ended_s = time.monotonic()


class CrossingCase(ends.EndTest):
    """Notes the requests that the server has read and dropped."""

    handler_class = PipelinedRequest

    def setUp(self):
        super().setUp()
        # Requests whose whole heads the server read and dropped, with the cause of the close.
        self.dropped = {}
        self.server.on_closed = self.note_dropped

    def note_dropped(self, closed):
        for request in closed.discarded.requests(ID_HEADER):
            is_dropped = request.is_whole and closed.discarded.is_read
            if is_dropped and closed.cause is not CloseCause.CALLER:
                self.dropped[request.request_id] = closed.cause.value

    def use_idle_time(self, idle_time_s):
        self.server.limits = HttpLimits(
            header_bytes=2048, header_time_s=1.0, idle_time_s=idle_time_s
        )

    def caller(self, name="c", *, is_waiting=True):
        caller = SendingCaller(name=name, address=self.address, is_waiting=is_waiting)
        self.addCleanup(caller.close)
        return caller

    def lost(self, callers):
        """Return the requests that the server has read and their callers can't repeat."""
        unanswered = set().union(*(caller.unanswered() for caller in callers))
        gevent.sleep(ends.LINGER_S + ends.ARRIVAL_S)
        return {request_id: self.dropped[request_id] for request_id in unanswered & {*self.dropped}}


class UnreadInputTest(CrossingCase):
    """Input behind the end of an idle connection."""

    def test_request_behind_the_end_is_read(self):
        """Guards against a request that its caller may not repeat, as it was read and dropped."""
        closed = []
        self.server.on_closed = closed.append
        for cause in (CloseCause.STOP, CloseCause.IDLE_TIMEOUT):
            with self.subTest(cause=cause):
                self.server.draining = False
                self.use_idle_time(ends.IDLE_TIME_S)
                connection = self.kept_connection()
                if cause is CloseCause.STOP:
                    self.begin_stop()
                self.wait_until(lambda: self.server.ending_connections, 2 * ends.IDLE_TIME_S)
                [socket_at_server] = self.server.ending_connections
                request = ends.get("/late", f"{ID_HEADER}: late")
                connection.sendall(request)
                gevent.sleep(3 * ends.ARRIVAL_S)
                unread = fcntl.ioctl(socket_at_server.fileno(), termios.FIONREAD, bytes(4))
                self.assertEqual(int.from_bytes(unread, sys.byteorder), len(request))
                connection.close()
                # The end of its caller is seen behind the input.
                self.wait_until(lambda: closed, ends.LINGER_S / 2)
                [found] = closed
                closed.clear()
                self.assertEqual((found.cause, found.discarded.is_read), (cause, False))
                self.assertLess(found.discarded.first_after_s, ends.LINGER_S / 2)
                self.assertEqual(
                    [item.request_id for item in found.discarded.requests(ID_HEADER)], ["late"]
                )


class DelayedEndTest(CrossingCase):
    """Ends that reach the callers late."""

    def setUp(self):
        super().setUp()
        group = ProcessGroup()
        self.addCleanup(group.stop_all)
        port = free_port()
        host, server_port = self.server.address
        relay = group.start_standin("relay", tcp=[f"callers={port}:{host}:{server_port}"])
        relay.call("PUT", "/control/state", {"backward": {"delay_s": LINK_DELAY_S}})
        self.address = ("127.0.0.1", port)

    def stop(self):
        """Stop as an instance does, with everything but its server for callers replaced."""
        gateway = _instance.Gateway.__new__(_instance.Gateway)
        parts = mock.MagicMock()
        for name in ("settings", "membership", "application", "peer_table", "log"):
            setattr(gateway, f"_{name}", getattr(parts, name))
        for name in ("loops", "link", "send_digests", "send_handovers"):
            setattr(gateway, f"_{name}", getattr(parts, name))
        gateway._callers = self.server
        gateway._settings.stop_limit_s = STOP_LIMIT_S
        gateway._stop()

    def kept_callers(self, *, is_waiting):
        """Connect callers that have got a response and are idle."""
        callers = [
            self.caller(f"c{number}", is_waiting=is_waiting) for number in range(CONNECTION_COUNT)
        ]
        for caller in callers:
            caller.send()
        for caller in callers:
            caller.wait_for_answers()
        gevent.sleep(ends.ARRIVAL_S)
        return callers

    def assert_stop_loses_nothing(self, *, is_waiting, idle_s=0.0):
        callers = self.kept_callers(is_waiting=is_waiting)
        stop = gevent.spawn(self.stop)
        gevent.sleep(ends.ARRIVAL_S + idle_s)
        gevent.joinall([gevent.spawn(caller.send_until_the_end) for caller in callers])
        self.assertEqual(self.lost(callers), {})
        stop.get(timeout=STOP_LIMIT_S)

    def test_stop_drops_requests_of_idle_connections(self):
        """Guards against requests that a stopping instance reads on idle connections and drops."""
        self.assert_stop_loses_nothing(is_waiting=True)

    def test_stop_drops_pipelined_requests_of_idle_connections(self):
        """Guards against several requests of one connection that are dropped by a stop."""
        self.assert_stop_loses_nothing(is_waiting=False)

    def test_end_of_the_notice_time_drops_requests(self):
        """Guards against a stop that drops requests of callers that sent nothing until its end."""
        idle_s = _instance.DRAIN_NOTICE_S + _instance.ACCEPT_PAUSE_S
        self.assert_stop_loses_nothing(is_waiting=True, idle_s=idle_s)

    def test_begun_request_is_dropped_by_a_stop(self):
        """Guards against a request that is dropped, as only a part of its head came before."""
        [caller, *_] = self.kept_callers(is_waiting=True)
        request = ends.get("/fast", f"{ID_HEADER}: begun")
        caller.connection.sendall(request[:20])
        gevent.sleep(ends.ARRIVAL_S)
        stop = gevent.spawn(self.stop)
        gevent.sleep(ends.ARRIVAL_S)
        caller.connection.sendall(request[20:])
        caller.sent_s["begun"] = time.monotonic()
        caller.wait_for_answers()
        self.assertEqual(caller.answers, [200, 200])
        self.assertTrue(caller.is_told_to_close)
        stop.get(timeout=STOP_LIMIT_S)

    def test_idle_timeout_drops_a_request(self):
        """Guards against an idle time that ends sooner for the server than for its callers.

        The caller reuses a connection that it has seen idle for less than four fifths of the time.
        """
        idle_time_s = 2 * LINK_DELAY_S
        self.use_idle_time(idle_time_s)
        callers = self.kept_callers(is_waiting=True)
        gevent.sleep(0.7 * idle_time_s - ends.ARRIVAL_S)
        gevent.joinall([gevent.spawn(caller.send_until_the_end) for caller in callers])
        self.assertEqual(self.lost(callers), {})


class IdleTimeTest(CrossingCase):
    """Idle timeouts of connections that are not idle, without any delay."""

    def test_idle_time_ends_while_a_request_runs(self):
        """Guards against a response that keeps its connection, which closes right behind it."""
        self.use_idle_time(ends.SERVICE_TIME_S / 2)
        caller = self.caller()
        caller.send(is_slow=True)
        caller.wait_for_answers()
        self.assertFalse(caller.is_told_to_close)
        caller.send()
        caller.wait_for_answers()
        self.assertEqual(caller.answers, [200, 200], self.dropped)

    def test_pipelined_request_is_dropped_by_the_idle_time(self):
        """Guards against a request that is not read, as the one before ran for the idle time."""
        self.use_idle_time(ends.SERVICE_TIME_S / 2)
        caller = self.caller()
        caller.send(is_slow=True)
        gevent.sleep(0.7 * ends.SERVICE_TIME_S)
        caller.send()
        caller.wait_for_answers()
        self.assertEqual(caller.answers, [200, 200], self.dropped)

    def test_idle_timer_overtakes_a_request(self):
        """Guards against a request that arrived in time, and waits while the process is busy."""
        self.use_idle_time(ends.IDLE_TIME_S)
        caller = self.caller()
        caller.send()
        caller.wait_for_answers()
        gevent.sleep(0.6 * ends.IDLE_TIME_S)
        caller.send()
        # Blocks the event loop across the timeout.
        time.sleep(ends.IDLE_TIME_S)
        caller.wait_for_answers()
        self.assertEqual(caller.answers, [200, 200], self.dropped)

    def test_idle_timeout_drops_a_request_that_has_arrived(self):
        """Guards against a close although a request has arrived, as before a stop's closes.

        It arrives after the idle time, while the due timer waits for a busy handler.
        """
        self.use_idle_time(ends.IDLE_TIME_S)
        caller = self.caller()
        caller.send()
        caller.wait_for_answers()
        busy_s = 0.5 * ends.IDLE_TIME_S
        other, source = green_socket.socketpair()
        self.addCleanup(other.close)
        self.addCleanup(source.close)

        def keep_busy():
            other.recv(1)
            caller.send()
            time.sleep(busy_s)

        busy = gevent.spawn(keep_busy)
        gevent.sleep(0.8 * ends.IDLE_TIME_S)
        # The same round of the event loop finds this input and the timer due.
        source.sendall(b"x")
        time.sleep(busy_s)
        busy.join()
        caller.wait_for_answers()
        self.assertEqual(caller.answers, [200, 200], self.dropped)

    def test_longer_idle_time_does_not_hold(self):
        """Guards against a longer idle time that callers rely on and a waiting connection lacks."""
        self.use_idle_time(ends.IDLE_TIME_S)
        caller = self.caller()
        caller.send()
        caller.wait_for_answers()
        gevent.sleep(ends.ARRIVAL_S)
        self.use_idle_time(10 * ends.IDLE_TIME_S)
        gevent.sleep(2 * ends.IDLE_TIME_S)
        caller.send()
        caller.wait_for_answers()
        self.assertEqual(caller.answers, [200, 200], self.dropped)


if __name__ == "__main__":
    unittest.main()
