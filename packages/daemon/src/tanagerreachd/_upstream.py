"""Sends requests to backend servers over pooled HTTP/1.1 connections.

Every failure says whether the backend server may have started the request. A connection that
saw a failure, a time-out or a cancelled request is closed and never reused, so that a late answer
cannot reach another request.
"""

import http.client
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import gevent
import urllib3
from urllib3.exceptions import HTTPError

from ._http_head import HeaderFields
from ._peer_link import split_address
from ._upstream_connection import MAX_IDLE_S, TargetConnection, TargetPool
from ._upstream_errors import (
    BrokenConnectionError,
    ConnectFailedError,
    HeadTimeoutError,
    IncompleteResponseError,
    LoadShedError,
    ResponseTimeoutError,
    WrongAnswerError,
    WrongTargetError,
)

# Answers up to this size are read whole before the caller sees the first byte, so that a short
# answer becomes a clean refusal or a retry.
BUFFERED_ANSWER_BYTES = 64 * 1024
STREAM_CHUNK_BYTES = 64 * 1024
# A target that closed its side while a body was sent to it may have answered before; the answer is
# then here already.
EARLY_ANSWER_S = 1.0
LOAD_SHED_HEADER = "Load-Shed"
LOAD_SHED_NOT_STARTED = "not-started"
REQUEST_ID_HEADER = "Request-Id"
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_MISDIRECTED = 421
FIRST_FINAL_STATUS = 200
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

HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
FORBIDDEN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
DECIMAL = re.compile(r"[0-9]{1,15}\Z")

TRANSPORT_ERRORS = (HTTPError, http.client.HTTPException, OSError)


class _DeadlineReached(BaseException):
    """Raised by the timer of one attempt; not an error of the application."""


class _HeadTimeoutReached(BaseException):
    """Raised by the timer of the wait for a response head; not an error of the application."""


def _sheds_load(status: int, headers: HeaderFields) -> bool:
    shed = headers.get(LOAD_SHED_HEADER, "").lower() == LOAD_SHED_NOT_STARTED
    return status == STATUS_SERVICE_UNAVAILABLE and shed


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetDialect:
    """How targets say what the client has to understand; the defaults are the product's own.

    :param request_id_header: names the request that an answer belongs to.
    :param sheds_load: tells from status and headers that the request was not started.
    :param accepts_unframed: whether an answer without a length may end with its connection.
    :param max_foreign_responses: answers to other requests that are passed over on one connection
        before it is given up.
    :param requires_request_id: whether an answer without an identifier belongs to no request.
    :param success_header: header without which a success is not the target's.
    :param accepts_encoded: whether a body may have a content coding.
    """

    request_id_header: str = REQUEST_ID_HEADER
    sheds_load: Callable[[int, HeaderFields], bool] = _sheds_load
    accepts_unframed: bool = False
    max_foreign_responses: int = 0
    requires_request_id: bool = False
    success_header: str | None = None
    accepts_encoded: bool = True


@dataclass(slots=True, kw_only=True)
class UpstreamRequest:
    """What is sent to a backend server.

    :param target_path: the request target as the caller sent it, with its query.
    :param body: whole body, an iterator of its parts, or None.
    :param is_limited_from_start: whether the time limit covers the sending of a body in parts;
        otherwise it counts from the last part.
    :param max_idle_s: longest idle time of a connection that the request may use. A request that
        must not be repeated is lost on a connection that its target is just closing.
    """

    method: str
    target_path: str
    headers: dict[str, str]
    body: bytes | Iterable[bytes] | None
    request_id: str
    is_limited_from_start: bool = True
    max_idle_s: float = MAX_IDLE_S


class AnswerStream:
    """Body of an answer in parts, as they arrive; unless it is read whole, closing breaks it off.

    It is no generator, since closing a generator that was not started runs none of its code.
    """

    __slots__ = ("_connection", "_parts", "_pool", "_response", "_target")

    def __init__(
        self,
        target: str,
        response: http.client.HTTPResponse,
        connection: TargetConnection,
        pool: TargetPool,
    ) -> None:
        self._target = target
        # http.client reads a body that ends early without an error; urllib3 notices it.
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

        :raises IncompleteResponseError: when the answer ends early.
        """
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

    def close(self) -> None:
        """Break the answer off when it was not read whole."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abandon()
            self._response.close()

    def _finish(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.check_in(connection)

    def _read_parts(self) -> Iterator[bytes]:
        response = self._response
        if response.chunked:
            yield from response.read_chunked(STREAM_CHUNK_BYTES, decode_content=False)
            return
        while part := response.read1(STREAM_CHUNK_BYTES, decode_content=False):
            yield part


@dataclass(slots=True, kw_only=True)
class UpstreamResponse:
    """Answer of a backend server; ``body`` is whole, or ``stream`` yields it in parts."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes | None
    stream: AnswerStream | None


class UpstreamClient:
    """Connection pools to all targets.

    :param connect_timeout_s: time allowed for opening a connection.
    :param idle_timeout_s: time allowed between two parts of an answer's body.
    :param dialect: how targets name requests and shed load.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_dialect",
        "_has_head_timeouts",
        "_head_timers",
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
        self._head_timers: set[gevent.Timeout] = set()
        self._has_head_timeouts = True

    def disable_head_timeouts(self) -> None:
        """Break off no answer before its request's deadline from now on.

        An instance that stops may not find another place for a request that it breaks off.
        """
        self._has_head_timeouts = False
        for timer in self._head_timers:
            timer.close()

    def send(
        self,
        *,
        target: str,
        address: str,
        request: UpstreamRequest,
        time_limit_s: float,
        head_timeout_s: float | None = None,
    ) -> UpstreamResponse:
        """Send one request and wait for its answer.

        :param target: the target's name, for errors.
        :param address: the target's ``ip:port``.
        :param time_limit_s: time until the head of the answer, and a buffered body, has to be here.
        :param head_timeout_s: time until the head of the answer has to be here, if that is shorter.
        :raises HeadTimeoutError: when the answer's head is not here within ``head_timeout_s``.
        :raises UpstreamError: when there is no usable answer.
        """
        head_timer = gevent.Timeout(
            head_timeout_s if self._has_head_timeouts else None, _HeadTimeoutReached
        )
        head_timer.start()
        self._head_timers.add(head_timer)
        timer = gevent.Timeout(max(time_limit_s, 0.0), _DeadlineReached)
        if request.is_limited_from_start:
            timer.start()
        pool = self._pool(address)
        connection = None
        try:
            connection = _take(target, pool, request.max_idle_s)
            _write(connection, request, timer)
            exchange = _Exchange(target, request, connection, pool, self._dialect)
            return exchange.receive(head_timer)
        except _HeadTimeoutReached:
            if connection is None:
                raise ConnectFailedError(target, "no connection within the try limit") from None
            connection.abandon()
            raise HeadTimeoutError(
                target, f"no response head within {head_timeout_s:.3f} s"
            ) from None
        except _DeadlineReached:
            if connection is None:
                raise ConnectFailedError(target, "no connection before the deadline") from None
            connection.abandon()
            raise ResponseTimeoutError(
                target, f"no whole answer within {time_limit_s:.3f} s"
            ) from None
        except BaseException as error:
            if connection is not None:
                connection.abandon()
            if isinstance(error, TRANSPORT_ERRORS):
                raise _broken(target, error) from error
            raise
        finally:
            self._head_timers.discard(head_timer)
            head_timer.close()
            timer.close()

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Close the pools of targets that are no longer configured, and old idle connections."""
        for address in set(self._pools) - set(addresses):
            self._pools.pop(address).close()
        self.drop_old()

    def drop_old(self) -> None:
        """Close old idle connections, and forget targets without any."""
        for address, pool in list(self._pools.items()):
            if not pool.drop_old():
                del self._pools[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(())

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
    """Drop the headers that concern one connection only."""
    dropped = HOP_BY_HOP_HEADERS
    if nominated := headers.get("connection"):
        dropped = dropped | {name.strip().lower() for name in nominated.split(",")}
    return [(name, value) for name, value in headers.items() if name.lower() not in dropped]


def _take(target: str, pool: TargetPool, max_idle_s: float) -> TargetConnection:
    try:
        return pool.take(max_idle_s)
    except OSError as error:
        raise ConnectFailedError(target, f"connection failed ({type(error).__name__})") from error


def _write(connection: TargetConnection, request: UpstreamRequest, timer: gevent.Timeout) -> None:
    """Send the request; a time limit that does not run yet starts after the body's last part."""
    body = request.body
    if not request.is_limited_from_start:
        body = _start_after(body, timer)
    try:
        connection.send_request(request.method, request.target_path, request.headers, body)
    except (BrokenPipeError, ConnectionResetError):
        connection.shorten_timeout(EARLY_ANSWER_S)


def _start_after(parts: Iterable[bytes], timer: gevent.Timeout) -> Iterator[bytes]:
    yield from parts
    timer.start()


class _Exchange:
    """Receives the answer to one request that was sent on a connection."""

    __slots__ = ("_connection", "_dialect", "_pool", "_request", "_target")

    def __init__(
        self,
        target: str,
        request: UpstreamRequest,
        connection: TargetConnection,
        pool: TargetPool,
        dialect: TargetDialect,
    ) -> None:
        self._target = target
        self._request = request
        self._connection = connection
        self._pool = pool
        self._dialect = dialect

    def receive(self, head_timer: gevent.Timeout) -> UpstreamResponse:
        """Read the answer's head, and its body when that is small."""
        response, headers = self._own_answer()
        head_timer.close()
        self._check_head(response, headers)
        body = None
        stream = None
        if self._is_buffered(response, headers):
            body = _read_whole(self._target, response)
            self._pool.check_in(self._connection)
        else:
            stream = AnswerStream(self._target, response, self._connection, self._pool)
        return UpstreamResponse(
            status=response.status,
            reason=response.reason or "",
            headers=forwardable_headers(headers),
            body=body,
            stream=stream,
        )

    def _own_answer(self) -> tuple[http.client.HTTPResponse, HeaderFields]:
        """Return the answer with this request's identifier, after others that came late.

        An answer without an identifier is taken for the request's own.
        """
        for passed_over in range(self._dialect.max_foreign_responses + 1):
            response = self._connection.next_response()
            headers = _headers(response)
            answered_id = headers.get(self._dialect.request_id_header)
            if answered_id == self._request.request_id or self._is_anonymous(
                response.status, headers
            ):
                return response, headers
            # An unframed answer takes all that follows, and one to HEAD has no body to pass over.
            is_last = passed_over == self._dialect.max_foreign_responses
            if is_last or response.will_close or self._request.method == "HEAD":
                break
            _read_whole(self._target, response)
        raise WrongAnswerError(self._target, "answered with another request's identifier")

    def _is_anonymous(self, status: int, headers: HeaderFields) -> bool:
        """Tell whether an answer without an identifier may be the request's own."""
        if headers.get(self._dialect.request_id_header) is not None:
            return False
        return not self._dialect.requires_request_id or self._dialect.sheds_load(status, headers)

    def _check_success(self, status: int, headers: HeaderFields) -> None:
        dialect = self._dialect
        is_success = FIRST_FINAL_STATUS <= status < FIRST_REDIRECT_STATUS
        if is_success and dialect.success_header and dialect.success_header not in headers:
            raise WrongAnswerError(self._target, "sent a success without its mark")
        if not dialect.accepts_encoded and "content-encoding" in headers:
            raise WrongAnswerError(self._target, "sent a body with a content coding")

    def _check_head(self, response: http.client.HTTPResponse, headers: HeaderFields) -> None:
        """Refuse answers that cannot be passed on as they are."""
        _check_fields(self._target, response, headers)
        if response.status == STATUS_MISDIRECTED and self._dialect.sheds_load(421, headers):
            raise WrongTargetError(self._target, "another target has the address")
        if self._dialect.sheds_load(response.status, headers):
            raise LoadShedError(self._target, "shed the request before starting it")
        self._check_success(response.status, headers)
        self._check_framing(response, headers)

    def _check_framing(self, response: http.client.HTTPResponse, headers: HeaderFields) -> None:
        """Accept only answers whose end can be checked, and in one way."""
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
            # The end of an unframed body shows only when it is here.
            return not response.chunked
        return int(length) <= BUFFERED_ANSWER_BYTES


def _headers(response: http.client.HTTPResponse) -> HeaderFields:
    """Return the headers of an answer; a value on several lines (obs-fold) becomes one line."""
    items = response.headers.items()
    if any("\r\n" in value for _, value in items):
        items = [(name, _unfold(value)) for name, value in items]
    return HeaderFields(items)


def _unfold(value: str) -> str:
    return " ".join(line.strip(" \t") for line in value.split("\r\n"))


def _check_fields(target: str, response: http.client.HTTPResponse, headers: HeaderFields) -> None:
    """Refuse heads that cannot be passed on as they are."""
    if response.status < FIRST_FINAL_STATUS or FORBIDDEN_VALUE.search(response.reason or ""):
        raise WrongAnswerError(target, f"answered with an unusable status {response.status}")
    for name, value in headers.items():
        if not HEADER_NAME.match(name) or FORBIDDEN_VALUE.search(value):
            raise WrongAnswerError(target, "answered with a malformed header")


def _is_bodiless(request: UpstreamRequest, response: http.client.HTTPResponse) -> bool:
    return request.method == "HEAD" or response.status in BODILESS_STATUSES


def _read_whole(target: str, response: http.client.HTTPResponse) -> bytes:
    try:
        return response.read()
    except TRANSPORT_ERRORS as error:
        raise _incomplete(target, error) from error


def _incomplete(target: str, error: BaseException) -> IncompleteResponseError:
    return IncompleteResponseError(target, f"the answer ended early ({type(error).__name__})")


def _broken(target: str, error: BaseException) -> BrokenConnectionError | ResponseTimeoutError:
    if isinstance(error, TimeoutError):
        return ResponseTimeoutError(target, "neither took the request nor answered for too long")
    return BrokenConnectionError(
        target, f"connection broke before the answer ({type(error).__name__})"
    )
