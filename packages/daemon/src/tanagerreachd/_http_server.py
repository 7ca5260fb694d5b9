"""HTTP server for callers: gevent's pywsgi with strict request checks and timeouts.

pywsgi accepts several forms of ambiguous requests, which HTTP parsers interpret differently. The
proxy must refuse them, since the backend server could see another request than the one that was
checked (request smuggling).
"""

import contextlib
import http.client
import re
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from email.parser import HeaderParser
from functools import lru_cache
from typing import Any

import gevent
from gevent import socket as gevent_socket
from gevent.pywsgi import Input, WSGIHandler, WSGIServer, format_date_time

from . import _clock
from ._caller_connections import CallerConnection, CallerConnections, RequestRoom
from ._caller_watch import CallerDisconnectedError
from ._http_head import (
    HeaderFields,
    RequestRefusedError,
    check_framing,
    check_header_line,
    check_line_end,
)
from ._lingering_close import (
    LINGER_S,
    CloseCause,
    ClosedConnection,
    DiscardedInput,
    await_end,
    count_unread,
    discard_input,
    stop_sending,
    stop_with_reset,
)
from ._sockets import peek_input, send_all, unacknowledged_bytes
from ._turns import Turns
from ._upstream_errors import IncompleteResponseError

MAX_REQUEST_LINE_BYTES = 8 * 1024
MAX_HEADER_COUNT = 100
# Unread bodies up to this size are read and discarded, so that the caller receives the refusal
# instead of a connection reset.
MAX_DISCARDED_BYTES = 256 * 1024
DISCARD_TIME_LIMIT_S = 2.0
READ_CHUNK_BYTES = 16 * 1024
MAX_JOINED_PART_BYTES = 16 * 1024
STOP_POLL_S = 0.02
# Time for the last responses after the end of a stop. The gateway is killed 0.7 s after it.
LAST_RESPONSES_S = 0.2
# A connection lets others run after it has read this many chunks, or this much of a body.
CHUNKS_PER_TURN = 64
BYTES_PER_TURN = 256 * 1024
# Size limit of a chunk's line; also of the trailers, whose number pywsgi does not limit.
MAX_CHUNK_LINES_BYTES = 16 * 1024
# Connections that are accepted between two rounds of the event loop.
MAX_ACCEPTED_AT_ONCE = 16
# Connections in excess are closed at the end of their responses without waiting for their callers.
MAX_LINGERING = 64
# Bounds what the kernel holds of input that is not read yet.
RECEIVE_BUFFER_BYTES = 64 * 1024
NO_ROOM_RETRY_AFTER_S = 1.0

# The parser that http.client.parse_headers uses, but without parsing a message body, which makes it
# faster.
HEADER_PARSER = HeaderParser(_class=http.client.HTTPMessage)
CHUNK_LINE_CONTROLS = frozenset(bytes([code]) for code in range(128) if code < 32 or code == 127)
CHUNK_LINE_CONTROLS -= {b"\t", b"\r", b"\n"}
METHOD = re.compile(r"[A-Z]{1,20}\Z")
# Printable ASCII without space and "#"; anything else has to be percent-encoded.
REQUEST_TARGET = re.compile(r"/[\x21\x22\x24-\x7e]*\Z")
FAILURE_STATUS = 502
# Exceptions that a caller or a target causes through its connection; they are not reported as
# failures of the application.
EXPECTED_FAILURES = (
    gevent.GreenletExit,
    CallerDisconnectedError,
    IncompleteResponseError,
    ConnectionError,
    TimeoutError,
)


@dataclass(slots=True, kw_only=True, frozen=True)
class HttpLimits:
    """Limits on the size of a caller's request head, and timeouts."""

    header_bytes: int
    header_time_s: float
    idle_time_s: float


class _ChunkLineReader:
    """Reads chunk-size and trailer lines byte by byte, and rejects control characters in them.

    pywsgi ignores them in extensions and trailers, where another parser may see a line end.
    """

    __slots__ = ("_is_after_cr", "_read_bytes", "_stream")

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._is_after_cr = False
        self._read_bytes = 0

    def read(self, size_bytes: int) -> bytes:
        data = self._stream.read(size_bytes)
        self._read_bytes += size_bytes
        if self._read_bytes > MAX_CHUNK_LINES_BYTES:
            raise ValueError("a chunk line or the trailers are too long")
        if data == b"\n" and not self._is_after_cr:
            raise ValueError("a chunk line has a LF without CR")
        if data in CHUNK_LINE_CONTROLS:
            raise ValueError("a chunk line has a control character")
        self._is_after_cr = data == b"\r"
        return data


class BoundedInput(Input):
    """Request body that discards at most a bounded rest that the application did not read.

    ``abandoned`` is set when no further request can be read from the connection: the body was
    malformed or stalled, was not read completely, or its caller waits for ``100 Continue``.
    """

    __slots__ = ("_turn_share", "_turns", "abandoned")

    def __init__(self, *arguments: Any, turns: Turns | None = None, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.abandoned = False
        self._turns = turns or Turns()
        self._turn_share = 0.0

    def read(self, length: int | None = None) -> bytes:
        """Read a part of the body."""
        try:
            data = super().read(length)
            self._use_turn(len(data) / BYTES_PER_TURN)
        except BaseException:
            self.abandoned = True
            raise
        return data

    def _use_turn(self, share: float) -> None:
        """Let others run after a while, as input that has arrived is read without a switch."""
        self._turn_share += share
        if self._turn_share >= 1.0:
            self._turn_share = 0.0
            self._turns.wait()

    def _Input__read_chunk_length(self, rfile: Any) -> int:  # noqa: N802 (pywsgi's own method)
        self._use_turn(1 / CHUNKS_PER_TURN)
        return super()._Input__read_chunk_length(_ChunkLineReader(rfile))

    @property
    def ends_connection(self) -> bool:
        """Whether, as far as is known yet, the connection cannot carry another request."""
        return self.abandoned or (self._is_unread() and self.socket is not None)

    def _is_unread(self) -> bool:
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        if self.abandoned or not self._is_unread():
            return
        if self.socket is not None:
            # The caller waits for "100 Continue" and may send the body or not, so the next bytes on
            # the connection may be the body or another request.
            self.abandoned = True
            return
        discarded_bytes = 0
        try:
            with gevent.Timeout(DISCARD_TIME_LIMIT_S, False):
                while discarded_bytes < MAX_DISCARDED_BYTES:
                    data = self.read(READ_CHUNK_BYTES)
                    if not data:
                        return
                    discarded_bytes += len(data)
        except (OSError, ValueError):
            return
        self.abandoned = True


@lru_cache(maxsize=1)
def date_value(now_s: int) -> bytes:
    """Return the value of the Date header."""
    return format_date_time(now_s)


class NoDelayHandler(WSGIHandler):
    """Connection handler that disables Nagle's algorithm."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        # pywsgi sends head and body separately. With Nagle's algorithm, the body would wait for the
        # delayed acknowledgement of the head, about 40 ms for each response.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _sendall(self, data: bytes) -> None:
        send_all(self.socket, data)
        self.response_length += len(data)


class CallerHandler(NoDelayHandler):
    """Handler of a caller's connection."""

    server: "CallerServer"
    head_timer: gevent.Timeout | None = None
    is_active = False
    # Whether a response was cut whose end only the end of the connection shows.
    is_cut_at_end = False
    requires_host = True
    connection: CallerConnection
    # What the current request holds.
    room: RequestRoom
    _idle_since_s = 0.0

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.socket.settimeout(self.server.limits.idle_time_s)

    def handle(self) -> None:
        """Handle the requests of the connection, then close it."""
        connection, rfile = self.socket, self.rfile
        try:
            self._handle_requests()
            self._linger()
        finally:
            self._close(connection, rfile)

    def attach(self, connection: CallerConnection) -> None:
        """Set the connection whose room the requests use."""
        self.connection = connection
        self.room = RequestRoom(connection)

    def _linger(self) -> None:
        """End the connection, and wait for the caller to close it unless many others wait."""
        self.end_connection()
        is_short = len(self.server.ending_connections) > MAX_LINGERING
        connection = self.connection
        discarded = DiscardedInput()
        if connection.dropped_input:
            discarded.add(connection.dropped_input, _clock.now_s() - connection.ended_s)
        cause = connection.close_cause
        if connection.is_evicted:
            cause = CloseCause.NO_ROOM
        elif connection.leaves_input_unread:
            after_s = 0.0 if is_short else await_end(self.socket, connection.ended_s)
            count_unread(self.socket, discarded, after_s)
        else:
            linger_s = 0.0 if is_short else LINGER_S
            discard_input(self.socket, self.rfile, discarded, connection.ended_s, linger_s=linger_s)
        self.server.on_closed(ClosedConnection(cause=cause, discarded=discarded))

    def _handle_requests(self) -> None:
        while (result := self.handle_one_request()) is True:
            pass
        self._send_result(result)

    def _send_result(self, result: tuple[str, bytes] | None) -> None:
        if result is not None:
            with contextlib.suppress(OSError):
                self.socket.sendall(result[1])

    def _close(self, connection: Any, rfile: Any) -> None:
        self.server.ending_connections.discard(connection)
        for item in (connection, rfile):
            with contextlib.suppress(OSError):
                item.close()

    @property
    def is_ending(self) -> bool:
        """Whether nothing more is sent on the connection, and no further request is handled."""
        return self.socket in self.server.ending_connections

    def end_connection(self) -> None:
        """Send nothing more; the connection closes when the caller closes, or after ``LINGER_S``.

        No request may be in flight on the connection: after ``LINGER_S`` it would look as if the
        caller had disconnected.
        """
        if self.is_ending:
            return
        self.server.ending_connections.add(self.socket)
        self.connection.ended_s = _clock.now_s()
        if self.is_cut_at_end:
            stop_with_reset(self.socket)
        else:
            stop_sending(self.socket)

    def close_idle(self) -> None:
        """End the connection, unless a request has arrived that the handler is about to read."""
        if peek_input(self.socket) is None:
            self.server.idle_handlers.discard(self)
            self._mark_ended_idle(CloseCause.STOP)
            self.end_connection()

    def _mark_ended_idle(self, cause: CloseCause) -> None:
        """Record why the connection is about to end, and whether its input is left unread.

        A request that crosses the end has then not been read, so that its caller may send it again.
        A close with unread input resets the connection, which would cut a response that has not
        been acknowledged.
        """
        self.connection.close_cause = cause
        unacknowledged = unacknowledged_bytes(self.socket)
        if unacknowledged is None:
            is_delivered = _clock.now_s() - self._idle_since_s >= LINGER_S
        else:
            is_delivered = unacknowledged == 0
        self.connection.leaves_input_unread = is_delivered

    def handle_one_request(self) -> Any:
        """Wait for one request and handle it."""
        self.mark_idle()
        try:
            return super().handle_one_request()
        except RequestRefusedError as error:
            return self._handle_client_error(error)
        except CallerDisconnectedError:
            # The caller disconnected while its response was being completed.
            return None
        finally:
            self._stop_head_timer()
            self.server.idle_handlers.discard(self)
            self._release_room()
            if self.is_active:
                self.is_active = False
                self.server.active_count -= 1

    def _release_room(self) -> None:
        """Return what the request holds, unless it is still handled."""
        self.room.release()

    def mark_idle(self) -> None:
        """Register the connection as one that may be closed without interrupting a request."""
        self._idle_since_s = _clock.now_s()
        self.server.idle_handlers.add(self)

    def idle_left_s(self) -> float:
        """Return how long the connection may still wait for a request."""
        return self._idle_since_s + self.server.limits.idle_time_s - _clock.now_s()

    def must_close(self) -> bool:
        """Return whether the connection has to close after this response."""
        return self.server.draining or self.wsgi_input.ends_connection

    def read_requestline(self) -> str:
        """Wait for a request up to the idle timeout, then read its request line."""
        received = self._peek_request()
        if self.is_ending:
            # Does not read from the socket, as the reader holds it.
            self.connection.dropped_input = self.rfile.read(len(received))
        if not received or self.is_ending:
            return ""
        self.server.idle_handlers.discard(self)
        self.is_active = True
        self.server.active_count += 1
        if not self.room.begin():
            raise RequestRefusedError(
                "503 Service Unavailable",
                "the instance has no room for the request; try again later",
                NO_ROOM_RETRY_AFTER_S,
            )
        if b"\r\n\r\n" not in received:
            self._start_head_timer()
        line = self.rfile.readline(MAX_REQUEST_LINE_BYTES)
        if len(line) >= MAX_REQUEST_LINE_BYTES:
            raise RequestRefusedError(
                "414 URI Too Long",
                f"send a request line of less than {MAX_REQUEST_LINE_BYTES} bytes",
            )
        if line.endswith(b"\n"):
            check_line_end(line)
        return line.decode("latin-1")

    def _peek_request(self) -> bytes:
        """Wait for the first bytes of a request, and leave them in the buffer.

        :returns: an empty string at the end of the connection. What arrives after this side has
            ended it is not read.
        :raises TimeoutError: when the connection was idle for too long.
        """
        received = self._peek_received()
        if not received:
            self._wait_for_input()
            if not self.is_ending:
                received = self.rfile.peek(1)
        return received

    def _peek_received(self) -> bytes:
        """Return what has been received, without waiting."""
        timeout_s = self.socket.gettimeout()
        self.socket.settimeout(0.0)
        try:
            return self.rfile.peek(1)
        finally:
            self.socket.settimeout(timeout_s)

    def _wait_for_input(self) -> None:
        while True:
            try:
                # The socket's own watcher takes no system call of its own.
                gevent_socket.wait(self.socket._read_event, timeout=max(0.0, self.idle_left_s()))
                return
            except TimeoutError:
                # The timer of a busy process may expire before its input is noticed.
                gevent.sleep(0)
                if self.is_ending or peek_input(self.socket) is not None:
                    return
                if self.idle_left_s() <= 0:
                    self._mark_ended_idle(CloseCause.IDLE_TIMEOUT)
                    raise

    def _start_head_timer(self) -> None:
        limit_s = self.server.limits.header_time_s
        refusal = RequestRefusedError(
            "408 Request Timeout", f"the request head took more than {limit_s:g} s"
        )
        self.head_timer = gevent.Timeout.start_new(limit_s, refusal)

    def _stop_head_timer(self) -> None:
        timer, self.head_timer = self.head_timer, None
        if timer is not None:
            timer.close()

    def read_request(self, raw_requestline: str) -> bool:
        """Read and check the request head."""
        try:
            result = super().read_request(raw_requestline)
        finally:
            self._stop_head_timer()
        if self.request_version == "HTTP/0.9":
            raise RequestRefusedError("505 HTTP Version Not Supported", "use HTTP/1.1 or HTTP/1.0")
        if not METHOD.match(self.command):
            raise RequestRefusedError("400 Bad Request", "the method is not in upper-case letters")
        if not REQUEST_TARGET.match(self.path):
            raise RequestRefusedError(
                "400 Bad Request", "the request target has to be a path that starts with /"
            )
        if self.requires_host and self.request_version == "HTTP/1.1" and "Host" not in self.headers:
            raise RequestRefusedError("400 Bad Request", "an HTTP/1.1 request needs a Host header")
        connection = self.headers.get("connection")
        if connection and "close" in connection.lower().replace(" ", "").split(","):
            self.close_connection = True
        return result

    def MessageClass(self, *_arguments: Any) -> Any:  # noqa: N802 (name given by pywsgi)
        """Read, check and parse the header lines; called by pywsgi in place of a message class."""
        limit_bytes = self.server.limits.header_bytes
        lines: list[bytes] = []
        size_bytes = 0
        while True:
            line = self.rfile.readline(limit_bytes + 1)
            size_bytes += len(line)
            if size_bytes > limit_bytes or len(lines) > MAX_HEADER_COUNT:
                raise RequestRefusedError(
                    "431 Request Header Fields Too Large",
                    f"send at most {limit_bytes} bytes and {MAX_HEADER_COUNT} header lines",
                )
            if not line.endswith(b"\n") and self.connection.is_evicted:
                raise RequestRefusedError(
                    "408 Request Timeout", "the request head arrived too slowly"
                )
            if not line.endswith(b"\n"):
                raise RequestRefusedError("400 Bad Request", "the request head is cut short")
            lines.append(line)
            if line == b"\r\n":
                break
            check_header_line(line)
        found = HeaderFields(HEADER_PARSER.parsestr(b"".join(lines).decode("latin-1")).items())
        check_framing(found)
        return found

    def _headers(self) -> Iterator[tuple[str, str]]:
        return self.headers.environ_items()

    def get_environ(self) -> dict[str, Any]:
        """Add the raw request target, the socket and the handler to the WSGI environment."""
        environ = super().get_environ()
        environ["tanagerreach.raw_target"] = self.path
        environ["tanagerreach.socket"] = self.socket
        environ["tanagerreach.handler"] = self
        environ["tanagerreach.room"] = self.room
        given = self.wsgi_input or environ["wsgi.input"]
        bounded = BoundedInput(
            given.rfile,
            given.content_length,
            socket=given.socket,
            chunked_input=given.chunked_input,
            turns=self.server.turns,
        )
        environ["wsgi.input"] = bounded
        self.wsgi_input = bounded
        return environ

    def handle_one_response(self) -> None:
        """Run the application; close the connection if it cannot be reused."""
        account = self.connection.account
        account.serving_count += 1
        try:
            super().handle_one_response()
        finally:
            account.serving_count -= 1
        # A head that was sent before a drain began may have announced that the connection stays.
        if self.wsgi_input.ends_connection and not self.close_connection:
            self.connection.close_cause = CloseCause.UNREAD_BODY
            self.close_connection = True

    def finalize_headers(self) -> None:
        """Add Connection and Date headers, and no length to a HEAD response without one."""
        if self.must_close():
            self.close_connection = True
        if self.close_connection:
            self.response_headers = [
                (name, value)
                for name, value in self.response_headers
                if name.lower() != b"connection"
            ]
            self.response_headers.append((b"Connection", b"close"))
            self.connection.close_cause = CloseCause.CLOSING_RESPONSE
        if self.command == "HEAD" and self.provided_content_length is None:
            # The target gave no length, and pywsgi would announce that of the absent body.
            self.provided_content_length = ""
        if self.provided_date is None:
            self.provided_date = ""
            self.response_headers.append((b"Date", date_value(int(time.time()))))
        super().finalize_headers()

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head and a small first part together, which halves the system calls."""
        if len(data) > MAX_JOINED_PART_BYTES:
            super()._write_with_headers(data)
            return
        self.headers_sent = True
        self.finalize_headers()
        head = [b"HTTP/1.1 ", self.status, b"\r\n"]
        for name, value in self.response_headers:
            head += (name, b": ", value, b"\r\n")
        head.append(b"\r\n")
        if data and self.response_use_chunked:
            head += (b"%x\r\n" % len(data), data, b"\r\n")
        else:
            head.append(data)
        self._sendall(b"".join(head))

    def _sendall(self, data: bytes) -> None:
        account = self.connection.account
        account.is_sending = True
        try:
            super()._sendall(data)
        finally:
            account.is_sending = False
        self.connection.record_progress(len(data))

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if not isinstance(ex, RequestRefusedError):
            ex = RequestRefusedError("400 Bad Request", "the request head is malformed")
        self.connection.close_cause = CloseCause.REFUSED_HEAD
        self.server.on_refused(ex)
        return ex.status.split(" ", 1)[0], self.server.render_refusal(ex)

    def log_request(self) -> None:
        """Do nothing, as the application logs requests."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Report an application failure, and close the connection.

        After the head was sent, a truncated response is the only signal of a failure to the caller.
        """
        if not issubclass(t, EXPECTED_FAILURES):
            self.server.on_failure(v)
        self.close_connection = True
        if not issubclass(t, (gevent.GreenletExit, CallerDisconnectedError)):
            self.connection.close_cause = CloseCause.BROKEN_RESPONSE
        if self.headers_sent and self.provided_content_length is None:
            self.is_cut_at_end = not self.response_use_chunked
        if not issubclass(t, (gevent.GreenletExit, CallerDisconnectedError)):
            self._send_error_response_if_possible(FAILURE_STATUS)

    def _send_error_response_if_possible(self, error_code: int) -> None:
        """Send the failure response (the request may have run), unless a head was sent."""
        self.close_connection = True
        if self.headers_sent:
            return
        self.headers_sent = True
        self.connection.close_cause = CloseCause.CLOSING_RESPONSE
        with contextlib.suppress(OSError):
            self.socket.sendall(self.server.failure_response)


class CallerServer(WSGIServer):
    """HTTP server that listens for callers.

    :param limits: limits on request heads and idle connections.
    :param render_refusal: returns the complete response to a refused request, in bytes.
    :param on_refused: called with each request that is refused before the application runs.
    :param on_failure: called with each unexpected exception of the application.
    :param failure_response: complete response to a request whose application failed.
    :param handler_class: class of the connection handlers.
    :param connections: the connections and what they may hold, by default without bounds.
    :param on_closed: called with each closed connection.
    """

    max_accept = MAX_ACCEPTED_AT_ONCE

    def __init__(
        self,
        *,
        listener: Any,
        application: Callable[..., Any],
        limits: HttpLimits,
        render_refusal: Callable[[RequestRefusedError], bytes],
        on_refused: Callable[[RequestRefusedError], None],
        on_failure: Callable[[BaseException], None],
        failure_response: bytes,
        handler_class: type[CallerHandler] = CallerHandler,
        connections: CallerConnections | None = None,
        on_closed: Callable[[ClosedConnection], None] = lambda _closed: None,
    ) -> None:
        super().__init__(
            listener, application, log=None, error_log=None, handler_class=handler_class
        )
        self.limits = limits
        self.render_refusal = render_refusal
        self.on_refused = on_refused
        self.on_failure = on_failure
        self.failure_response = failure_response
        self.on_closed = on_closed
        self.connections = connections or CallerConnections()
        self.turns = Turns()
        self.draining = False
        self.idle_handlers: set[CallerHandler] = set()
        # A request counts from the first byte of its head to the last byte of its response.
        self.active_count = 0
        # Connections on which nothing more is sent, until they are closed.
        self.ending_connections: set[Any] = set()

    def init_socket(self) -> None:
        """Open the listener, whose connections have its receive buffer."""
        super().init_socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def handle(self, sock: Any, address: Any) -> None:
        """Handle a connection, if there is room for it."""
        connection = self.connections.open(sock)
        if connection is None:
            sock.close()
            return
        try:
            handler = self.handler_class(sock, address, self)
            handler.attach(connection)
            handler.handle()
        finally:
            self.connections.close(connection)

    def begin_drain(self) -> None:
        """Start closing each connection after its current response."""
        self.draining = True

    def close_listener(self) -> None:
        """Close the listening socket; open connections stay open."""
        self.close()

    def close_idle_connections(self) -> None:
        """Close the connections that wait for their next request.

        A request that has arrived is handled; during a drain, its response closes the connection.
        """
        for handler in list(self.idle_handlers):
            handler.close_idle()

    def finish_requests(self, ends_s: float, end_requests: Callable[[], None] | None = None) -> int:
        """During a drain, wait until all requests are finished and their callers have closed.

        Callers get at most ``LINGER_S`` to close, since the end of the process would reset a
        connection on which a further request arrives.

        :param ends_s: monotonic time at which the wait ends, but for the last responses.
        :param end_requests: called repeatedly from that time on if requests are not finished, to
            have responses of this instance for some of them; the wait then goes on for
            ``LAST_RESPONSES_S``.
        :returns: the number of requests that are not finished by then.
        """
        if not self._wait_for_requests(ends_s) and end_requests is not None:
            # A process that was frozen continues later than planned.
            ends_s = _clock.now_s() + LAST_RESPONSES_S
            self._wait_for_requests(ends_s, end_requests)
        unfinished_count = self.active_count
        ends_s = min(ends_s, _clock.now_s() + LINGER_S)
        while self.ending_connections and _clock.now_s() < ends_s:
            gevent.sleep(STOP_POLL_S)
        return unfinished_count

    def _wait_for_requests(
        self, ends_s: float, end_requests: Callable[[], None] = lambda: None
    ) -> bool:
        """Wait until all requests are finished, or until a time; return whether they are.

        :param end_requests: called repeatedly.
        """
        while True:
            end_requests()
            self.close_idle_connections()
            gevent.sleep(STOP_POLL_S)
            # A handler that is still idle has input to read.
            if not (self.active_count or self.idle_handlers):
                return True
            if _clock.now_s() >= ends_s:
                return False
