"""Sends requests to an instance and checks that each response is complete and its own."""

import contextlib
import hashlib
import http.client
import select
import time
from collections.abc import Iterator
from random import Random
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

import gevent
import msgspec
from gevent.socket import create_connection

from ._load_plan import RequestKind

UPLOAD_CHUNK_BYTES = 64 * 1024
BODY_PATTERN_BYTES = 64 * 1024
# Below the usual keep-alive timeout of servers, so that a connection is rarely reused at the moment
# at which the server closes it.
MAX_IDLE_S = 30.0
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class BodyTemplate:
    """Body that all requests of one kind send."""

    def __init__(self, kind: RequestKind) -> None:
        pattern = Random(kind.name).randbytes(min(kind.body_bytes, BODY_PATTERN_BYTES))
        pattern_count = kind.body_bytes // max(1, len(pattern)) + 1
        self.content = (pattern * pattern_count)[: kind.body_bytes]
        self.sha256 = hashlib.sha256(self.content).hexdigest()
        self._duration_s = kind.body_duration_s

    def chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks, spread evenly over ``body_duration_s``."""
        count = max(1, -(-len(self.content) // UPLOAD_CHUNK_BYTES))
        for start in range(0, len(self.content), UPLOAD_CHUNK_BYTES):
            yield self.content[start : start + UPLOAD_CHUNK_BYTES]
            gevent.sleep(self._duration_s / count)


class Call(msgspec.Struct, kw_only=True):
    """A request to send."""

    method: str
    path: str
    token: str
    headers: dict[str, str]
    body: BodyTemplate


class Outcome(msgspec.Struct, kw_only=True):
    """Outcome of one call.

    ``result`` is the status code, or connect_failed, timeout, broken (no response head) or short
    (the body ended early). ``answer`` is the check of a 200 response: whole, garbled (invalid, or
    it does not match its ``Body-Sha256``) or wrong (it belongs to another request). For other
    statuses, ``reason`` is the type of the problem document.
    """

    result: str
    executed: str = ""
    answer: str = ""
    reason: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the caller got the complete response to its own request."""
        return self.result == "200" and self.answer == "whole"


class ResponseBody(msgspec.Struct):
    """Fields of a backend server's response that are checked."""

    token: str
    path: str
    body_sha256: str


class ProblemBody(msgspec.Struct):
    """Field of a problem document that is recorded."""

    type: str


_response_decoder = msgspec.json.Decoder(ResponseBody)
_problem_decoder = msgspec.json.Decoder(ProblemBody)


def check_response(call: Call, body: bytes, body_sha256: str | None) -> str:
    """Check the body of a 200 response.

    :returns: whole, garbled or wrong, see :class:`Outcome`.
    """
    if body_sha256 is not None and hashlib.sha256(body).hexdigest() != body_sha256:
        return "garbled"
    try:
        content = _response_decoder.decode(body)
    except msgspec.MsgspecError:
        return "garbled"
    expected = (call.token, call.path.partition("?")[0], call.body.sha256)
    return "whole" if (content.token, content.path, content.body_sha256) == expected else "wrong"


def problem_type(body: bytes) -> str:
    """Return the type of a problem document, empty when the body is not such a document."""
    try:
        return _problem_decoder.decode(body).type
    except msgspec.MsgspecError:
        return ""


class Connection:
    """One connection to an instance.

    The request head is formatted here, since ``http.client`` needs a fifth of a request's CPU time
    to build it; ``http.client`` parses the response.
    """

    __slots__ = ("_host_header", "_socket", "idle_since_s")

    def __init__(self, *, address: str, timeout_s: float) -> None:
        host, port = address.rsplit(":", 1)
        self._host_header = f"Host: {address}\r\n"
        self._socket = create_connection((host, int(port)), timeout=timeout_s)
        self._socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.idle_since_s = 0.0

    def send(self, call: Call) -> None:
        """Send a request with its whole body.

        :raises OSError: when the connection breaks before the head is sent.
        """
        content = call.body.content
        host_header = "" if "Host" in call.headers else self._host_header
        head = f"{call.method} {call.path} HTTP/1.1\r\n{host_header}"
        for name, value in call.headers.items():
            head += f"{name}: {value}\r\n"
        if content or call.method in METHODS_WITH_BODY:
            head += f"Content-Length: {len(content)}\r\n"
        self._socket.sendall(f"{head}\r\n".encode("latin-1"))
        # The instance may refuse the request and close before it has read the whole body.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            for chunk in call.body.chunks():
                self._socket.sendall(chunk)

    def receive(self, method: str) -> http.client.HTTPResponse:
        """Receive the head of the response."""
        response = http.client.HTTPResponse(self._socket, method=method)
        response.begin()
        return response

    def is_readable(self) -> bool:
        """Tell whether the server has closed an idle connection or has sent unexpected data."""
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the connection."""
        # An incomplete response keeps the file descriptor open after close; the shutdown still
        # notifies the server at once.
        with contextlib.suppress(OSError):
            self._socket.shutdown(SHUT_RDWR)
        self._socket.close()


class InstanceClient:
    """Client of one instance that reuses idle connections.

    :param address: ``host:port`` of the callers' listener.
    :param timeout_s: timeout of one request, from connecting to the last byte of the response.
    """

    def __init__(self, *, address: str, timeout_s: float) -> None:
        self.address = address
        self._timeout_s = timeout_s
        self._idle: list[Connection] = []

    def send(self, call: Call) -> Outcome:
        """Send a call and wait for the complete response."""
        timeout = gevent.Timeout.start_new(self._timeout_s)
        try:
            try:
                connection = self._check_out()
            except OSError:
                return Outcome(result="connect_failed")
            return self._exchange(connection, call)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            return Outcome(result="timeout")
        finally:
            timeout.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _exchange(self, connection: Connection, call: Call) -> Outcome:
        is_reusable = False
        try:
            connection.send(call)
            response = connection.receive(call.method)
            body = response.read()
            is_reusable = not response.will_close
        except http.client.IncompleteRead:
            return Outcome(result="short")
        except (OSError, http.client.HTTPException):
            return Outcome(result="broken")
        finally:
            if is_reusable:
                connection.idle_since_s = time.monotonic()
                self._idle.append(connection)
            else:
                connection.close()
        outcome = Outcome(
            result=str(response.status),
            executed=response.getheader("Executed") or "",
        )
        if response.status == 200:
            outcome.answer = check_response(call, body, response.getheader("Body-Sha256"))
        else:
            outcome.reason = problem_type(body)
        return outcome

    def _check_out(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            is_fresh = time.monotonic() - connection.idle_since_s < MAX_IDLE_S
            if is_fresh and not connection.is_readable():
                return connection
            connection.close()
        return Connection(address=self.address, timeout_s=self._timeout_s)
