"""HTTP/1.1 client for backend servers, with connection pools.

Each error states whether the backend server may have started the request. A connection is closed
and never reused after a failure, a timeout or a cancelled request, so that a late response cannot
be taken for the response to another request.
"""

import http.client
import re
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
import urllib3
from tanagerreach_core.placement import TargetNotice
from urllib3.exceptions import HTTPError

from . import _clock
from ._http_head import HeaderFields
from ._notice_headers import STATUS_SERVICE_UNAVAILABLE, NoticeHeaders, read_notice
from ._peer_link import split_address
from ._strict_response import FIRST_FINAL_STATUS, MalformedFieldError, StrictResponse
from ._upstream_connection import (
    MAX_IDLE_S,
    RECEIVE_MIN_S,
    NotSentError,
    TargetConnection,
    TargetPool,
)
from ._upstream_errors import (
    BrokenConnectionError,
    ConnectFailedError,
    HeadTimeoutError,
    IncompleteResponseError,
    InvalidResponseError,
    LoadShedError,
    ResponseTimeoutError,
    TryAbortedError,
    UnmarkedRefusalError,
    UpstreamError,
    WrongTargetError,
)

# Responses up to this size are read completely before any byte is forwarded to the caller, so that
# a truncated one becomes a refusal or a retry.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
STREAM_CHUNK_BYTES = 64 * 1024
# Longer responses, and chunked ones, are read this long after their heads before any byte is
# forwarded, so that one that breaks at once becomes a refusal or a retry too.
HELD_RESPONSE_S = 0.25
# A target that closed its side while it was sent a body may have responded before. That response
# has then already arrived, so the wait for it can be short.
EARLY_RESPONSE_WAIT_S = 1.0
LOAD_SHED_HEADER = "Load-Shed"
LOAD_SHED_NOT_STARTED = "not-started"
REQUEST_ID_HEADER = "Request-Id"
STATUS_MISDIRECTED = 421
FIRST_REDIRECT_STATUS = 300
BODILESS_STATUSES = frozenset({204, 304})

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

FORBIDDEN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
DECIMAL = re.compile(r"[0-9]{1,15}\Z")

TRANSPORT_ERRORS = (HTTPError, http.client.HTTPException, OSError)


class _DeadlineReached(BaseException):
    """Internal signal of the timer of one try."""


class _HeadTimeoutReached(BaseException):
    """Internal signal of the timer for the response head."""


class _TryAborted(BaseException):
    """Internal signal of :class:`TryAbort`."""


class TryAbort:
    """Aborts a try from another greenlet, as long as its response head has not arrived.

    :param on_head: called when the response head has arrived.
    """

    __slots__ = ("_callback", "_greenlet", "_on_head")

    def __init__(self, *, on_head: Callable[[], None] | None = None) -> None:
        self._on_head = on_head
        self._greenlet: gevent.Greenlet | None = None
        self._callback: Any = None

    def begin(self) -> None:
        """Let the try of the current greenlet be aborted."""
        self._greenlet = gevent.getcurrent()

    def end(self) -> None:
        """Let the try go on to its end."""
        self._greenlet = None
        if self._callback is not None:
            self._callback.stop()

    def record_head(self) -> None:
        """Record that the response head has arrived, which ends the time for an abort."""
        self.end()
        if self._on_head is not None:
            self._on_head()

    def abort(self) -> None:
        """Abort the try, unless it has ended or its response head has arrived."""
        if self._greenlet is not None and self._callback is None:
            loop = gevent.get_hub().loop
            self._callback = loop.run_callback(self._greenlet.throw, _TryAborted)


def _sheds_load(status: int, headers: HeaderFields) -> bool:
    shed = headers.get(LOAD_SHED_HEADER, "").lower() == LOAD_SHED_NOT_STARTED
    return status == STATUS_SERVICE_UNAVAILABLE and shed


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetDialect:
    """Headers and framing by which targets communicate with the client.

    :param request_id_header: response header with the identifier of its request.
    :param sheds_load: returns, by status and headers, whether the target shed the request before
        starting it.
    :param not_run_statuses: statuses that callers take for a promise that the request did not run.
        A response with one of them is not passed on unless the target shed the request.
    :param accepts_unframed: whether a response without a length may end with its connection.
    :param max_foreign_responses: maximum number of responses to other requests that are skipped
        on a connection before it is closed.
    :param requires_request_id: whether a response without an identifier belongs to no request.
    :param success_header: header without which a success status does not come from the target.
    :param accepts_encoded: whether a body may have a Content-Encoding.
    :param notices: headers by which targets ask for fewer requests.
    """

    request_id_header: str = REQUEST_ID_HEADER
    sheds_load: Callable[[int, HeaderFields], bool] = _sheds_load
    not_run_statuses: frozenset[int] = frozenset()
    accepts_unframed: bool = False
    max_foreign_responses: int = 0
    requires_request_id: bool = False
    success_header: str | None = None
    accepts_encoded: bool = True
    notices: NoticeHeaders = NoticeHeaders()


@dataclass(slots=True, kw_only=True)
class UpstreamRequest:
    """A request to a backend server.

    :param target_path: request target as the caller sent it, including the query.
    :param body: complete body, an iterator of its parts, or None.
    :param is_limited_from_start: whether the time limit includes sending the body; otherwise it
        starts after the last part.
    :param max_idle_s: maximum idle time of a connection that the request may use. A request that
        must not be retried is lost if its target is just closing the connection.
    """

    method: str
    target_path: str
    headers: dict[str, str]
    body: bytes | Iterable[bytes] | None
    request_id: str
    is_limited_from_start: bool = True
    max_idle_s: float = MAX_IDLE_S


class ResponseStream:
    """Iterator over the body of a response; closing it early closes the connection.

    It is not a generator, since closing a generator that was never started runs none of its code.

    :param responds_by_s: time from which a response that has stopped is given up.
    :param ends_s: time at which a response that goes on is given up too.
    :param held_parts: parts that were read already.
    """

    __slots__ = (
        "_connection",
        "_ends_s",
        "_held_parts",
        "_original",
        "_parts",
        "_pool",
        "_response",
        "_target",
    )

    def __init__(
        self,
        target: str,
        response: StrictResponse,
        connection: TargetConnection,
        pool: TargetPool,
        *,
        responds_by_s: float,
        ends_s: float,
        held_parts: Iterable[bytes] = (),
    ) -> None:
        connection.limit_response(responds_by_s)
        self._target = target
        self._ends_s = ends_s
        self._held_parts = deque(held_parts)
        self._original = response
        # http.client does not report a body that ends early; urllib3 does.
        self._response = urllib3.HTTPResponse(
            body=response,
            original_response=response,
            headers=dict(response.headers.items()),
            status=response.status,
            preload_content=False,
            decode_content=False,
        )
        self._connection: TargetConnection | None = connection
        self._pool = pool
        self._parts = self._read_parts()

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next part.

        :raises IncompleteResponseError: when the response ends early, or not in time.
        """
        if self._held_parts:
            return self._held_parts.popleft()
        if _clock.now_s() >= self._ends_s:
            self.close()
            raise IncompleteResponseError(self._target, "the answer did not end in time")
        # A target that sends without a pause would leave no time to other requests.
        gevent.sleep(0)
        try:
            return next(self._parts)
        except StopIteration:
            self._finish()
            raise
        except TRANSPORT_ERRORS as error:
            self.close()
            raise _incomplete(self._target, error) from error
        except BaseException:
            self.close()
            raise

    def hold(self, most_bytes: int, until_s: float) -> bytes | None:
        """Read the response before any of it is forwarded, if it is small and ends soon.

        :param until_s: time from which no further part is awaited.
        :returns: the whole body; ``None`` when it is to be forwarded in parts.
        :raises IncompleteResponseError: when the response ends early, or stops in a part.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while size_bytes <= most_bytes and self._connection.wait_for_data(until_s):
            try:
                part = next(self)
            except StopIteration:
                return b"".join(parts)
            parts.append(part)
            size_bytes += len(part)
        self._held_parts.extend(parts)
        return None

    def close(self) -> None:
        """Close the connection if the response was not read completely."""
        connection, self._connection = self._connection, None
        if connection is not None:
            # Closing a response flushes its reader, which the connection releases.
            self._response.close()
            connection.abandon()

    def _finish(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.check_in(connection)

    def _read_parts(self) -> Iterator[bytes]:
        response = self._original
        if response.chunked:
            # urllib3 would wait for the whole of each chunk.
            while part := response.read1(STREAM_CHUNK_BYTES):
                if response.chunk_left == 0:
                    # The line end behind a chunk is no sign that more of the body has arrived.
                    response.end_chunk()
                yield part
            return
        while part := self._response.read1(STREAM_CHUNK_BYTES, decode_content=False):
            yield part


@dataclass(slots=True, kw_only=True)
class UpstreamResponse:
    """Response of a backend server, with either a complete ``body`` or a ``stream`` of it.

    :param notice: what the backend server asks of its callers.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes | None
    stream: ResponseStream | None
    notice: TargetNotice


class UpstreamClient:
    """Connection pools to all targets.

    :param connect_timeout_s: timeout for opening a connection.
    :param idle_timeout_s: timeout between two parts of a response body. A streamed response that
        goes on may also end this much after its time limit.
    :param dialect: headers and framing that targets use.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_dialect",
        "_idle_timeout_s",
        "_pools",
    )

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        idle_timeout_s: float,
        dialect: TargetDialect | None = None,
    ) -> None:
        self._dialect = dialect or TargetDialect()
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._pools: dict[str, TargetPool] = {}

    def send(
        self,
        *,
        target: str,
        address: str,
        request: UpstreamRequest,
        time_limit_s: float,
        head_timeout_s: float | None = None,
        abort: TryAbort | None = None,
    ) -> UpstreamResponse:
        """Send one request and return its response.

        :param target: name of the target, for error messages.
        :param address: ``ip:port`` of the target.
        :param time_limit_s: timeout for the response head and a buffered body.
        :param head_timeout_s: shorter timeout for the response head alone.
        :param abort: may end the wait for the response head.
        :raises HeadTimeoutError: when the response head did not arrive within ``head_timeout_s``.
        :raises TryAbortedError: when the try was aborted before the response head arrived.
        :raises UpstreamError: when there is no usable response.
        """
        started_s = _clock.now_s()
        abort = abort or TryAbort()
        head_timer = gevent.Timeout(head_timeout_s, _HeadTimeoutReached)
        head_timer.start()
        timer = gevent.Timeout(max(time_limit_s, 0.0), _DeadlineReached)
        if request.is_limited_from_start:
            timer.start()
        pool = self._pool(address)
        connection = None
        # The timer of a process that was frozen expires only after it has continued for a while.
        send_by_s = started_s + time_limit_s if request.is_limited_from_start else None
        abort.begin()
        try:
            connection = _check_out(target, pool, request.max_idle_s)
            _write(connection, request, timer, send_by_s)
            responds_by_s = _clock.now_s() + time_limit_s if send_by_s is None else send_by_s
            exchange = _Exchange(
                target,
                request,
                connection,
                pool,
                self._dialect,
                responds_by_s=responds_by_s,
                ends_s=responds_by_s + self._idle_timeout_s,
            )
            return exchange.receive(head_timer, abort)
        except (_DeadlineReached, _HeadTimeoutReached, _TryAborted) as signal:
            if connection is not None:
                connection.abandon()
            raise _ended_by(signal, target, connection, _clock.now_s() - started_s) from None
        except NotSentError:
            connection.abandon()
            raise ConnectFailedError(target, "not sent before the deadline") from None
        except BaseException as error:
            if connection is not None:
                connection.abandon()
            if isinstance(error, TRANSPORT_ERRORS):
                raise _broken(target, error) from error
            raise
        finally:
            abort.end()
            head_timer.close()
            timer.close()

    def close_unlisted(self, addresses: Iterable[str]) -> None:
        """Close the pools of all other addresses, and stale idle connections."""
        for address in set(self._pools) - set(addresses):
            self._pools.pop(address).close()
        self.close_stale()

    def close_stale(self) -> None:
        """Close stale idle connections, and drop pools that are empty."""
        for address, pool in list(self._pools.items()):
            if not pool.close_stale():
                del self._pools[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.close_unlisted(())

    def _pool(self, address: str) -> TargetPool:
        pool = self._pools.get(address)
        if pool is None:
            host, port = split_address(address)
            pool = self._pools[address] = TargetPool(
                host=host,
                port=port,
                connect_timeout_s=self._connect_timeout_s,
                idle_timeout_s=self._idle_timeout_s,
            )
        return pool


def forwardable_headers(headers: HeaderFields) -> list[tuple[str, str]]:
    """Return the headers without the hop-by-hop ones."""
    dropped = HOP_BY_HOP_HEADERS
    if nominated := headers.get("connection"):
        dropped = dropped | {name.strip().lower() for name in nominated.split(",")}
    return [(name, value) for name, value in headers.items() if name.lower() not in dropped]


def _check_out(target: str, pool: TargetPool, max_idle_s: float) -> TargetConnection:
    try:
        return pool.check_out(max_idle_s)
    except OSError as error:
        raise ConnectFailedError(target, f"connection failed ({type(error).__name__})") from error


def _write(
    connection: TargetConnection,
    request: UpstreamRequest,
    timer: gevent.Timeout,
    send_by_s: float | None,
) -> None:
    """Send the request; a timer that is not yet running starts after the last part of the body."""
    body = request.body
    if not request.is_limited_from_start:
        body = _start_timer_after(body, timer)
    try:
        connection.send_request(
            request.method, request.target_path, request.headers, body, send_by_s=send_by_s
        )
    except (BrokenPipeError, ConnectionResetError):
        connection.shorten_timeout(EARLY_RESPONSE_WAIT_S)


def _start_timer_after(parts: Iterable[bytes], timer: gevent.Timeout) -> Iterator[bytes]:
    yield from parts
    timer.start()


class _Exchange:
    """Receives the response to a request that was sent on a connection."""

    __slots__ = (
        "_connection",
        "_dialect",
        "_ends_s",
        "_is_first_exchange",
        "_responds_by_s",
        "_pool",
        "_request",
        "_target",
    )

    def __init__(
        self,
        target: str,
        request: UpstreamRequest,
        connection: TargetConnection,
        pool: TargetPool,
        dialect: TargetDialect,
        *,
        responds_by_s: float,
        ends_s: float,
    ) -> None:
        self._responds_by_s = responds_by_s
        self._ends_s = ends_s
        self._is_first_exchange = connection.response_count == 0
        self._target = target
        self._request = request
        self._connection = connection
        self._pool = pool
        self._dialect = dialect

    def receive(self, head_timer: gevent.Timeout, abort: TryAbort) -> UpstreamResponse:
        """Read the response head, and the body if it is small or must be checked as a whole."""
        response, headers = self._matching_response()
        abort.record_head()
        head_timer.close()
        self._check_head(response, headers)
        body = None
        stream = None
        is_buffered = self._is_buffered(response, headers)
        if is_buffered:
            body, is_buffered = _read_up_to(self._target, response, MAX_BUFFERED_RESPONSE_BYTES)
        if is_buffered:
            self._pool.check_in(self._connection)
        else:
            stream = ResponseStream(
                self._target,
                response,
                self._connection,
                self._pool,
                responds_by_s=self._responds_by_s,
                ends_s=self._ends_s,
                held_parts=[body] if body else (),
            )
            if body:
                body = None
            else:
                # A response that goes on is delivered late rather than cut.
                until_s = min(_clock.now_s() + HELD_RESPONSE_S, self._responds_by_s - RECEIVE_MIN_S)
                body = stream.hold(MAX_BUFFERED_RESPONSE_BYTES, until_s)
            if body is not None:
                stream = None
        return UpstreamResponse(
            status=response.status,
            reason=response.reason or "",
            headers=forwardable_headers(headers),
            body=body,
            stream=stream,
            notice=self._notice(response.status, headers),
        )

    def _notice(self, status: int, headers: HeaderFields) -> TargetNotice:
        return read_notice(self._dialect.notices, status, headers)

    def _matching_response(self) -> tuple[StrictResponse, HeaderFields]:
        """Return the response to this request, skipping late responses to earlier ones.

        A response without an identifier is assumed to be the request's own, if the dialect allows.
        """
        for skipped_count in range(self._dialect.max_foreign_responses + 1):
            response = self._next_response()
            headers = _headers(response)
            response_request_id = headers.get(self._dialect.request_id_header)
            if response_request_id == self._request.request_id or self._is_anonymous(
                response.status, headers
            ):
                return response, headers
            # An unframed response extends to the end of the connection, and a response to HEAD has
            # no body to skip.
            is_last = skipped_count == self._dialect.max_foreign_responses
            if is_last or response.will_close or self._request.method == "HEAD":
                break
            if not _read_up_to(self._target, response, MAX_BUFFERED_RESPONSE_BYTES)[1]:
                break
        raise InvalidResponseError(self._target, "answered with another request's identifier")

    def _next_response(self) -> StrictResponse:
        try:
            return self._connection.next_response()
        except MalformedFieldError as error:
            raise InvalidResponseError(self._target, "answered with a malformed header") from error

    def _is_anonymous(self, status: int, headers: HeaderFields) -> bool:
        """Return whether a response without an identifier may be the request's own."""
        if headers.get(self._dialect.request_id_header) is not None:
            return False
        if self._dialect.sheds_load(status, headers):
            # On a connection that carried other requests it may be the refusal of one of them.
            return self._is_first_exchange and self._connection.response_count == 1
        return not self._dialect.requires_request_id

    def _check_success(self, status: int, headers: HeaderFields) -> None:
        dialect = self._dialect
        is_success = FIRST_FINAL_STATUS <= status < FIRST_REDIRECT_STATUS
        if is_success and dialect.success_header and dialect.success_header not in headers:
            raise InvalidResponseError(self._target, "sent a success without its mark")
        if not dialect.accepts_encoded and "content-encoding" in headers:
            raise InvalidResponseError(self._target, "sent a body with a content coding")

    def _check_head(self, response: http.client.HTTPResponse, headers: HeaderFields) -> None:
        """Reject responses that cannot be forwarded unchanged."""
        _check_fields(self._target, response, headers)
        if response.status == STATUS_MISDIRECTED and self._dialect.sheds_load(421, headers):
            raise WrongTargetError(self._target, "another target has the address")
        if self._dialect.sheds_load(response.status, headers):
            raise LoadShedError(
                self._target,
                "shed the request before starting it",
                notice=self._notice(response.status, headers),
            )
        if response.status in self._dialect.not_run_statuses:
            raise UnmarkedRefusalError(
                self._target,
                f"answered {response.status} without stating that the request did not run",
                notice=self._notice(response.status, headers),
            )
        self._check_success(response.status, headers)
        self._check_framing(response, headers)

    def _check_framing(self, response: http.client.HTTPResponse, headers: HeaderFields) -> None:
        """Accept only responses whose length is unambiguous and can be verified."""
        encoding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        if length is not None and (encoding is not None or not DECIMAL.match(length)):
            raise IncompleteResponseError(
                self._target, "announced the length of its body in several ways"
            )
        if encoding is not None and encoding.lower() != "chunked":
            raise IncompleteResponseError(
                self._target, "used a Transfer-Encoding other than chunked"
            )
        is_unframed = length is None and encoding is None
        if not is_unframed or _is_bodiless(self._request, response):
            return
        if not self._dialect.accepts_unframed:
            raise IncompleteResponseError(
                self._target, "sent a body without Content-Length or chunked encoding"
            )

    def _is_buffered(self, response: http.client.HTTPResponse, headers: HeaderFields) -> bool:
        if _is_bodiless(self._request, response):
            return True
        length = headers.get("content-length")
        if length is None:
            # Whether an unframed body is complete is known only at its end.
            return not response.chunked
        return int(length) <= MAX_BUFFERED_RESPONSE_BYTES


def _headers(response: http.client.HTTPResponse) -> HeaderFields:
    """Return the headers of a response, with folded values (obs-fold) joined to one line."""
    items = response.headers.items()
    if any("\r\n" in value for _, value in items):
        items = [(name, _unfold(value)) for name, value in items]
    return HeaderFields(items)


def _unfold(value: str) -> str:
    return " ".join(line.strip(" \t") for line in value.split("\r\n"))


def _check_fields(target: str, response: http.client.HTTPResponse, headers: HeaderFields) -> None:
    """Reject response heads that cannot be forwarded unchanged."""
    if response.status < FIRST_FINAL_STATUS or FORBIDDEN_VALUE.search(response.reason or ""):
        raise InvalidResponseError(target, f"answered with an unusable status {response.status}")
    # A value may be folded at a bare LF.
    if any(FORBIDDEN_VALUE.search(value) for _, value in headers.items()):
        raise InvalidResponseError(target, "answered with a malformed header")


def _is_bodiless(request: UpstreamRequest, response: http.client.HTTPResponse) -> bool:
    return request.method == "HEAD" or response.status in BODILESS_STATUSES


def _read_up_to(
    target: str, response: http.client.HTTPResponse, most_bytes: int
) -> tuple[bytes, bool]:
    """Read a body up to a length.

    :returns: the bytes that were read, and whether they are the whole body.
    """
    parts = []
    left = most_bytes + 1
    try:
        while left > 0 and (part := response.read(left)):
            parts.append(part)
            left -= len(part)
        if left > 0:
            # http.client does not report a body that is shorter than its length.
            if response.length:
                raise http.client.IncompleteRead(b"".join(parts), response.length)
            return b"".join(parts), True
    except TRANSPORT_ERRORS as error:
        raise _incomplete(target, error) from error
    return b"".join(parts), False


def _ended_by(
    signal: BaseException, target: str, connection: TargetConnection | None, waited_s: float
) -> UpstreamError:
    """Return the error of a try that a timer or an abort ended."""
    if connection is None:
        limit = "the deadline" if isinstance(signal, _DeadlineReached) else "the try limit"
        return ConnectFailedError(target, f"no connection before {limit}")
    if isinstance(signal, _DeadlineReached):
        return ResponseTimeoutError(target, f"no whole answer within {waited_s:.3f} s")
    detail = f"no response head within {waited_s:.3f} s"
    if isinstance(signal, _TryAborted):
        return TryAbortedError(target, detail)
    return HeadTimeoutError(target, detail)


def _incomplete(target: str, error: BaseException) -> IncompleteResponseError:
    return IncompleteResponseError(target, f"the answer ended early ({type(error).__name__})")


def _broken(target: str, error: BaseException) -> BrokenConnectionError | ResponseTimeoutError:
    if isinstance(error, TimeoutError):
        return ResponseTimeoutError(target, "neither took the request nor answered for too long")
    return BrokenConnectionError(
        target, f"connection broke before the answer ({type(error).__name__})"
    )
