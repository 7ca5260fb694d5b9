"""HTTP pipelining: concurrent handling of a connection's requests, with responses in order.

A caller may send further requests before the first response. Each request without a body is handled
in its own greenlet, so that a slow one does not delay those after it; its response waits for the
earlier responses. A request with a body is read and handled before the next one is read.
"""

import contextlib
from collections.abc import Iterator
from typing import Any

import gevent
from gevent.event import Event
from gevent.socket import wait_read

from .._caller_watch import CallerDisconnectedError, is_closed
from .._http_server import CallerHandler
from .._upstream_errors import IncompleteResponseError

# Requests of one connection that are handled concurrently.
MAX_IN_FLIGHT = 16
# Interval of checks for a disconnection behind requests that are not read yet.
UNREAD_CHECK_INTERVAL_S = 0.1
# A connection with so many requests in flight lets others run before it reads the next one.
IN_FLIGHT_PER_TURN = 2


class _Pipeline:
    """Requests in flight on one connection, in order of arrival."""

    __slots__ = ("broken_by", "in_flight", "is_broken", "is_closing", "newest", "waiting")

    def __init__(self) -> None:
        self.in_flight: dict[PipelinedRequest, gevent.Greenlet | None] = {}
        self.newest: PipelinedRequest | None = None
        # The handler that waits for the next request.
        self.waiting: PipelinedRequest | None = None
        self.is_closing = False
        self.is_broken = False
        # Identifier of the request whose response broke the connection.
        self.broken_by = ""

    def break_by(self, request: "PipelinedRequest") -> None:
        """Send nothing more, as a target's response to a request was cut short."""
        if not self.is_broken:
            self.is_broken = True
            self.broken_by = request.request_id

    def caller_disconnected(self) -> None:
        """Cancel the requests in flight, as nobody can get their responses."""
        for greenlet in list(self.in_flight.values()):
            if greenlet is not None:
                greenlet.kill(CallerDisconnectedError(self.broken_by), block=False)


class PipelinedRequest(CallerHandler):
    """Handler of one request of a connection, with the state that pywsgi keeps for it."""

    def __init__(
        self,
        sock: Any,
        address: Any,
        server: Any,
        rfile: Any = None,
        pipeline: _Pipeline | None = None,
    ) -> None:
        super().__init__(sock, address, server, rfile)
        self._pipeline = pipeline or _Pipeline()
        self._previous: PipelinedRequest | None = None
        self._done = Event()

    def handle(self) -> None:
        """Handle the connection; the first handler of a connection handles all of it."""
        try:
            self._handle_requests()
            self._wait_for_responses()
            self._linger()
        finally:
            self._close(self.socket, self.rfile)

    def _handle_requests(self) -> None:
        pipeline = self._pipeline
        while not (pipeline.is_closing or pipeline.is_broken):
            request = PipelinedRequest(
                self.socket, self.client_address, self.server, self.rfile, pipeline
            )
            request.attach(self.connection)
            result = request.handle_one_request()
            pipeline.waiting = None
            if result is True:
                if len(pipeline.in_flight) >= IN_FLIGHT_PER_TURN:
                    self.server.turns.wait()
                continue
            if result is not None:
                request.refuse(result[1])
            elif not (pipeline.is_closing or request.was_read or request.has_timed_out):
                pipeline.caller_disconnected()
            return

    def _wait_for_responses(self) -> None:
        if not self._pipeline.in_flight:
            return
        with self._watching_caller():
            while self._pipeline.in_flight:
                last = next(reversed(self._pipeline.in_flight))
                last.wait_done()

    @contextlib.contextmanager
    def _watching_caller(self) -> Iterator[None]:
        """Cancel the requests in flight if the caller disconnects while no request is read."""
        watcher = gevent.spawn(self._cancel_on_disconnection)
        try:
            yield
        finally:
            watcher.kill(block=False)

    def _cancel_on_disconnection(self) -> None:
        connection = self.socket
        with contextlib.suppress(OSError):
            wait_read(connection.fileno())
            while not is_closed(connection):
                gevent.sleep(UNREAD_CHECK_INTERVAL_S)
        self._pipeline.caller_disconnected()

    # One request

    was_read = False
    has_timed_out = False
    is_sent = False
    # Whether the response, or its first part, waits for the earlier responses or has been sent.
    is_ready = False
    _is_cut_short = False

    @property
    def request_id(self) -> str:
        """The request's identifier, empty while the application does not know it."""
        environ = self.environ or {}
        return environ.get("tanagerreach.request_id", "")

    @property
    def delays_ready_response(self) -> bool:
        """Whether a response behind this one on the connection is ready."""
        later = iter(self._pipeline.in_flight)
        for request in later:
            if request is self:
                break
        return any(request.is_ready for request in later)

    def wait_done(self) -> None:
        """Wait until the response is sent or abandoned."""
        self._done.wait()

    def mark_idle(self) -> None:
        """Mark the connection as idle unless a request is in flight or begun."""
        self._pipeline.waiting = self
        if not (self._pipeline.in_flight or self.is_active):
            super().mark_idle()

    def idle_left_s(self) -> float:
        """Return how long the connection may still wait; it is not idle with requests in flight."""
        if self._pipeline.in_flight:
            return self.server.limits.idle_time_s
        return super().idle_left_s()

    def end_connection(self) -> None:
        """Send nothing more, and handle no further request."""
        self._pipeline.is_closing = True
        super().end_connection()

    def must_close(self) -> bool:
        """Return whether the connection closes after this request.

        Only the newest request may close it, so that every accepted request is handled.
        """
        return super().must_close() and self._pipeline.newest is self

    def read_requestline(self) -> str:
        """Wait for a request; note when the connection was idle for too long instead.

        :returns: the request line, or an empty string at the end of the requests. A caller sends
            what follows a response that closes the connection again elsewhere, so it must not run.
        """
        try:
            line = super().read_requestline()
        except TimeoutError:
            self.has_timed_out = True
            raise
        if line and self._pipeline.is_closing:
            self.connection.dropped_input = line.encode("latin-1")
            return ""
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read and check the request head, and append the request to the pipeline."""
        pipeline = self._pipeline
        pipeline.waiting = None
        self._previous, pipeline.newest = pipeline.newest, self
        pipeline.in_flight[self] = None
        self.was_read = True
        return super().read_request(raw_requestline)

    def handle_one_response(self) -> None:
        """Handle the request, concurrently with others when it has no body."""
        if self.environ.get("CONTENT_LENGTH") or self.environ.get("HTTP_TRANSFER_ENCODING"):
            self._respond()
            return
        # The end of the greenlet decrements the count of active requests instead.
        self.is_active = False
        greenlet = gevent.spawn(self._respond)
        # A link also runs for a greenlet that is killed before it starts.
        greenlet.link(self._on_greenlet_end)
        self._pipeline.in_flight[self] = greenlet
        if len(self._pipeline.in_flight) >= MAX_IN_FLIGHT:
            with self._watching_caller():
                next(iter(self._pipeline.in_flight)).wait_done()

    def _release_room(self) -> None:
        """Return what the request holds, unless it is in flight."""
        if not self.was_read:
            super()._release_room()

    def refuse(self, response: bytes) -> None:
        """Send the response to a request that was refused while it was read."""
        self._pipeline.is_closing = True
        if self._previous is None and self._pipeline.newest is not self:
            self._previous = self._pipeline.newest
        with contextlib.suppress(OSError, CallerDisconnectedError):
            self._wait_for_turn()
            self.socket.sendall(response)
        self._finish()

    def finalize_headers(self) -> None:
        """Wait for the earlier responses, then complete the head."""
        self._wait_for_turn()
        super().finalize_headers()
        if self.close_connection:
            self._pipeline.is_closing = True

    def _sendall(self, data: bytes) -> None:
        self._wait_for_turn()
        super()._sendall(data)

    def process_result(self) -> None:
        """Send the response, and note that all of it was sent."""
        super().process_result()
        self.is_sent = True

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Report a failure, and note whether the target's response was cut short."""
        self._is_cut_short = issubclass(t, IncompleteResponseError)
        super().handle_error(t, v, tb)

    def _send_error_response_if_possible(self, error_code: int) -> None:
        with contextlib.suppress(CallerDisconnectedError):
            self._wait_for_turn()
            super()._send_error_response_if_possible(error_code)
        if self._is_cut_short:
            self._pipeline.break_by(self)
        self._pipeline.is_broken = True

    def _on_greenlet_end(self, _greenlet: gevent.Greenlet) -> None:
        self.server.active_count -= 1
        if not self._done.is_set():
            self._pipeline.is_broken = True
            self._finish()

    def _respond(self) -> None:
        try:
            super().handle_one_response()
        except CallerDisconnectedError:
            self._pipeline.is_broken = True
        finally:
            on_not_sent = self.environ.get("tanagerreach.on_not_sent")
            # A response that broke off itself has a line of its own.
            is_own = self._pipeline.broken_by == self.request_id != ""
            if on_not_sent is not None and not (self.is_sent or is_own):
                on_not_sent(self._pipeline.broken_by)
            self._finish()

    def _finish(self) -> None:
        pipeline = self._pipeline
        pipeline.in_flight.pop(self, None)
        self._previous = None
        self.room.release()
        if pipeline.is_broken:
            # A response cut short must not look complete, and nothing may follow it.
            pipeline.caller_disconnected()
            self.end_connection()
        elif pipeline.is_closing and not pipeline.in_flight:
            self.end_connection()
        elif not pipeline.in_flight and pipeline.waiting is not None:
            pipeline.waiting.mark_idle()
        self._done.set()

    def _wait_for_turn(self) -> None:
        self.is_ready = True
        previous = self._previous
        if previous is not None:
            previous.wait_done()
            self._previous = None
        if self._pipeline.is_broken:
            raise CallerDisconnectedError
