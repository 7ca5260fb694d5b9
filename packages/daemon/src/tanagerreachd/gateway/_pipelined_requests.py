"""Callers' connections on which requests are handled beside each other, answered in order.

A caller may send further requests before the first one is answered. Requests without a body are
handled in greenlets of their own, so that a slow one does not delay those behind it; their
responses wait for their turn. A request with a body is read and handled before the next one.
"""

import contextlib
import socket
from typing import Any

import gevent
from gevent.event import Event

from .._caller_watch import CallerDisconnectedError
from .._http_server import CallerHandler

MAX_IN_FLIGHT = 16
"""Requests of one connection that are handled beside each other."""
LINGER_S = 1.0
"""Time for a caller to close after the last response; closing at once would reset the connection
when a further request has arrived, and the response could get lost."""


class _Line:
    """Requests of one connection in their order."""

    __slots__ = ("in_flight", "is_broken", "is_closing", "newest", "waiting")

    def __init__(self) -> None:
        self.in_flight: dict[PipelinedRequest, gevent.Greenlet | None] = {}
        self.newest: PipelinedRequest | None = None
        # The handler that waits for the next request.
        self.waiting: PipelinedRequest | None = None
        self.is_closing = False
        self.is_broken = False

    def caller_disconnected(self) -> None:
        """End the requests whose caller has left."""
        for greenlet in list(self.in_flight.values()):
            if greenlet is not None:
                gevent.kill(greenlet, CallerDisconnectedError(), block=False)


class PipelinedRequest(CallerHandler):
    """One request of a connection, with the handler state that pywsgi keeps for it."""

    def __init__(
        self, sock: Any, address: Any, server: Any, rfile: Any = None, line: _Line | None = None
    ) -> None:
        super().__init__(sock, address, server, rfile)
        self._line = line or _Line()
        self._previous: PipelinedRequest | None = None
        self._done = Event()

    def handle(self) -> None:
        """Handle the connection; the first handler of a connection handles all of it."""
        connection = self.socket
        try:
            self._handle_requests()
            self._wait_for_responses()
            if self._line.is_closing and not self._line.is_broken:
                _linger(connection)
        finally:
            with contextlib.suppress(OSError):
                connection.close()
            with contextlib.suppress(OSError):
                self.rfile.close()

    def _handle_requests(self) -> None:
        line = self._line
        while not (line.is_closing or line.is_broken):
            request = PipelinedRequest(
                self.socket, self.client_address, self.server, self.rfile, line
            )
            result = request.handle_one_request()
            if result is True:
                continue
            if result is not None:
                request.refuse(result[1])
            elif not line.is_closing and not request.was_read:
                line.caller_disconnected()
            return

    def _wait_for_responses(self) -> None:
        while self._line.in_flight:
            last = next(reversed(self._line.in_flight))
            last.wait_done()

    # One request

    was_read = False

    def wait_done(self) -> None:
        """Wait until the response is sent or given up."""
        self._done.wait()

    def mark_idle(self) -> None:
        """Count the connection as idle unless earlier requests are in flight."""
        self._line.waiting = self
        if not self._line.in_flight:
            super().mark_idle()

    def must_close(self) -> bool:
        """Tell whether the connection ends here: never before a request that was accepted."""
        return super().must_close() and self._line.newest is self

    def read_request(self, raw_requestline: str) -> bool:
        """Read and check the request head, and take a place in the line of responses."""
        line = self._line
        line.waiting = None
        self._previous, line.newest = line.newest, self
        line.in_flight[self] = None
        self.was_read = True
        return super().read_request(raw_requestline)

    def handle_one_response(self) -> None:
        """Handle the request; beside others when it has no body."""
        if self.environ.get("CONTENT_LENGTH") or self.environ.get("HTTP_TRANSFER_ENCODING"):
            self._respond()
            return
        # The greenlet ends the count of active requests.
        self.is_active = False
        greenlet = gevent.spawn(self._respond)
        # A link runs also for a greenlet that is killed before it has begun.
        greenlet.link(self._ended_beside)
        self._line.in_flight[self] = greenlet
        if len(self._line.in_flight) >= MAX_IN_FLIGHT:
            next(iter(self._line.in_flight)).wait_done()

    def refuse(self, response: bytes) -> None:
        """Send the response to a request that was refused while it was read."""
        self._line.is_closing = True
        if self._previous is None and self._line.newest is not self:
            self._previous = self._line.newest
        with contextlib.suppress(OSError, CallerDisconnectedError):
            self._wait_for_turn()
            self.socket.sendall(response)
        self._finish()

    def finalize_headers(self) -> None:
        """Wait for the responses before this one, then complete the head."""
        self._wait_for_turn()
        super().finalize_headers()
        if self.close_connection:
            self._line.is_closing = True

    def _sendall(self, data: bytes) -> None:
        self._wait_for_turn()
        super()._sendall(data)

    def _send_error_response_if_possible(self, error_code: int) -> None:
        with contextlib.suppress(CallerDisconnectedError):
            self._wait_for_turn()
            super()._send_error_response_if_possible(error_code)
        self._line.is_broken = True

    def _ended_beside(self, _greenlet: gevent.Greenlet) -> None:
        self.server.active_count -= 1
        if not self._done.is_set():
            self._line.is_broken = True
            self._finish()

    def _respond(self) -> None:
        try:
            super().handle_one_response()
        except CallerDisconnectedError:
            self._line.is_broken = True
        finally:
            self._finish()

    def _finish(self) -> None:
        line = self._line
        line.in_flight.pop(self, None)
        self._previous = None
        if line.is_broken:
            # What was sent must not look whole, and nothing may follow it.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
        elif line.is_closing and not line.in_flight:
            _stop_sending(self.socket)
        elif not line.in_flight and line.waiting is not None:
            line.waiting.mark_idle()
        self._done.set()

    def _wait_for_turn(self) -> None:
        previous = self._previous
        if previous is not None:
            previous.wait_done()
            self._previous = None
        if self._line.is_broken:
            raise CallerDisconnectedError


def _stop_sending(connection: Any) -> None:
    """Tell the caller that nothing follows, and read on for a while."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
    gevent.spawn_later(LINGER_S, _stop_reading, connection)


def _stop_reading(connection: Any) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)


def _linger(connection: Any) -> None:
    """Read what the caller still sends, until it closes or the time is over."""
    connection.settimeout(LINGER_S)
    with contextlib.suppress(OSError):
        while connection.recv(16 * 1024):
            pass
