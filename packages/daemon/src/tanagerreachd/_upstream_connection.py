"""Persistent connections to a target, and their pool."""

import contextlib
import http.client
import io
import socket
import time
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

import gevent.socket
from gevent.socket import wait_read

from . import _clock
from ._sockets import send_all
from ._strict_response import FramingError, StrictResponse

MAX_IDLE_CONNECTIONS = 64
# Longest head of a response with its interim responses, and longest trailer section.
MAX_FRAMING_BYTES = 64 * 1024
# Many servers close connections that were idle for 5 s. A request sent just then fails, and a
# non-idempotent one must not be retried, so idle connections are closed earlier.
MAX_IDLE_S = 4.0
# A response from which nothing arrived for this long has stopped.
STOPPED_AFTER_S = 0.25
# Least time to take what has arrived already, when the caller was slow to read the part before.
RECEIVE_MIN_S = 0.02
# First byte of the kernel's information on a connection that is closed in both directions.
TCP_STATE_CLOSED = b"\x07"
# Servers expect a Content-Length from other methods even without a body.
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "TRACE", "OPTIONS", "CONNECT"})


class NotSentError(Exception):
    """The time until which a request may be sent has passed, and nothing of it was sent."""


class _ReceivingIO(io.RawIOBase):
    """Raw reader of a socket that ends responses that have stopped.

    ``responds_by_s`` is the time from which a response that has stopped is given up, ``None`` for
    the timeout of the socket. ``failure`` is the first failure of the connection in either
    direction. The kernel reports a reset only once, to a send, a receipt or a peek; the next
    receipt then looks like the end of the connection in order.
    """

    def __init__(self, open_socket: Any) -> None:
        self._socket = open_socket
        # The socket counts its readers, and closes after the last one.
        open_socket._io_refs += 1
        self.responds_by_s: float | None = None
        self.failure: OSError | None = None
        self._received_s = _clock.now_s()

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receive into a buffer.

        :returns: the number of bytes, ``None`` when there are none and the socket does not block.
        :raises TimeoutError: when the response has stopped.
        :raises OSError: when the connection has failed, and all that arrived before was received.
        """
        if self.responds_by_s is not None:
            gives_up_s = max(self.responds_by_s, self._received_s + STOPPED_AFTER_S)
            self._socket.settimeout(max(RECEIVE_MIN_S, gives_up_s - _clock.now_s()))
        try:
            size_bytes = self._socket.recv_into(buffer)
        except BlockingIOError:
            return None
        except ConnectionError as error:
            self.failure = self.failure or error
            raise
        if not size_bytes and (self.failure is not None or self._is_reset()):
            raise ConnectionResetError("the connection failed before its end") from self.failure
        self._received_s = _clock.now_s()
        return size_bytes

    def _is_reset(self) -> bool:
        """Return whether the connection was reset, whichever call the kernel told of it.

        After an end in order, this side is still open.
        """
        try:
            state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            # Only the failures that were seen count then.
            return False
        return state == TCP_STATE_CLOSED

    def close(self) -> None:
        """Close the reader, and the socket if it has no other."""
        if not self.closed:
            super().close()
            self._socket._decref_socketios()


class _SharedReader:
    """Buffered reader of a connection that successive responses share.

    A response of ``http.client`` closes its reader at its end, which would silently discard bytes
    that arrived after it. ``http.client`` and urllib3 also take the end of a connection for the end
    of a head, and read some lines without a limit; this reader raises :class:`FramingError`.
    """

    __slots__ = ("_framing_bytes", "_raw", "_reader", "_socket", "_timeout_s")

    def __init__(self, open_socket: Any) -> None:
        self._socket = open_socket
        self._timeout_s = open_socket.gettimeout()
        self._raw = _ReceivingIO(open_socket)
        self._reader = io.BufferedReader(self._raw)
        # Bytes of lines since the last part of a body, or since the start of the response.
        self._framing_bytes = 0

    def begin_response(self) -> None:
        """Expect the head of a response, or the end of the connection."""
        self._framing_bytes = 0

    def record_failure(self, error: OSError) -> None:
        """Record that the connection has failed, so that its end completes no body."""
        self._raw.failure = self._raw.failure or error

    def limit_response(self, responds_by_s: float | None) -> None:
        """Set the time from which a response that has stopped is given up, ``None`` for no limit.

        :meth:`read` and the others then raise :class:`TimeoutError`.
        """
        if responds_by_s is None and self._raw.responds_by_s is not None:
            self._socket.settimeout(self._timeout_s)
        self._raw.responds_by_s = responds_by_s

    def readline(self, limit: int = -1) -> bytes:
        """Read a line of a head, or one that frames a chunk.

        :raises FramingError: when the connection ends within the line or before a further one, or
            when the lines without a part of a body in between are too long.
        """
        left = MAX_FRAMING_BYTES - self._framing_bytes
        line = self._reader.readline(left if limit < 0 else min(limit, left))
        is_whole = line.endswith(b"\n")
        if not is_whole and len(line) == left:
            raise FramingError(f"the head or a chunk's line exceeds {MAX_FRAMING_BYTES} bytes")
        if not is_whole and len(line) != limit and (line or self._framing_bytes):
            raise FramingError("the connection ended within a head or a chunk's line")
        self._framing_bytes += len(line)
        return line

    def read(self, size: int = -1) -> bytes:
        """Read a part of a body."""
        self._framing_bytes = 0
        return self._reader.read(size)

    def read1(self, size: int = -1) -> bytes:
        """Read what has arrived of a body."""
        self._framing_bytes = 0
        return self._reader.read1(size)

    def readinto(self, buffer: Any) -> int:
        """Read a part of a body into a buffer."""
        self._framing_bytes = 0
        return self._reader.readinto(buffer)

    def makefile(self, _mode: str) -> "_SharedReader":
        """Return the shared reader instead of a new one."""
        return self

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def close(self) -> None:
        """Do nothing, as the next response needs the reader."""

    def release(self) -> None:
        """Close the reader."""
        self._reader.close()

    def wait_for_data(self, until_s: float) -> bool:
        """Wait until bytes have arrived, or the end of the connection.

        :returns: false when neither has arrived in time.
        """
        if self._has_buffered_data():
            return True
        try:
            wait_read(self._socket.fileno(), max(0.0, until_s - _clock.now_s()))
        except TimeoutError:
            return False
        return True

    def has_unread_data(self) -> bool:
        """Return, without blocking, whether bytes have arrived that belong to no response.

        This ends the limit of the response before.
        """
        self.limit_response(None)
        return self._has_buffered_data()

    def _has_buffered_data(self) -> bool:
        # The limit of a response would replace the timeout of the socket.
        responds_by_s, self._raw.responds_by_s = self._raw.responds_by_s, None
        timeout_s = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return bool(self._reader.peek(1))
        except OSError:
            return False
        finally:
            self._socket.settimeout(timeout_s)
            self._raw.responds_by_s = responds_by_s


class TargetConnection(http.client.HTTPConnection):
    """Connection whose socket can be shut down at any time.

    :param connect_timeout_s: timeout for opening the connection.
    :param idle_timeout_s: timeout for each send and between two parts of a response.
    """

    # http.client must not reopen a closed connection while it sends a request.
    auto_open = 0

    def __init__(
        self, host: str, port: int, *, connect_timeout_s: float, idle_timeout_s: float
    ) -> None:
        # IPv6 addresses have brackets in the configuration.
        super().__init__(host.strip("[]"), port, timeout=idle_timeout_s)
        self._connect_timeout_s = connect_timeout_s
        self._open_socket: Any = None
        self._reader: _SharedReader | None = None
        self._method = ""
        self._response_count = 0
        self.idle_since_s = 0.0
        self._is_first_response_pending = False
        self._send_by_s: float | None = None

    def connect(self) -> None:
        """Open the connection.

        :raises OSError: when it cannot be opened in time.
        """
        # create_connection would call gevent's resolver threads even for an IP address, and such a
        # thread waits up to 5 ms for the interpreter lock.
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        open_socket = gevent.socket.socket(family, socket.SOCK_STREAM)
        open_socket.settimeout(self._connect_timeout_s)
        try:
            open_socket.connect((self.host, self.port))
        except BaseException:
            open_socket.close()
            raise
        open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        open_socket.settimeout(self.timeout)
        self.sock = self._open_socket = open_socket
        reader = self._reader = _SharedReader(open_socket)
        self.response_class = lambda _socket, **options: StrictResponse(reader, **options)

    def limit_response(self, responds_by_s: float) -> None:
        """Give up the present response if it stops, from a time on.

        A response that goes on is read beyond that time.
        """
        if self._reader is not None:
            self._reader.limit_response(responds_by_s)

    def wait_for_data(self, until_s: float) -> bool:
        """Wait until more of the present response has arrived, or the connection's end.

        :returns: false when neither has arrived in time.
        """
        return self._reader is not None and self._reader.wait_for_data(until_s)

    def next_response(self) -> StrictResponse:
        """Read the head of the next response, which may belong to an earlier request.

        :raises OSError: when the connection fails.
        :raises MalformedFieldError: when a line of the head is malformed.
        :raises http.client.HTTPException: when the received bytes are not an HTTP response.
        """
        if self._reader is not None:
            self._reader.begin_response()
        self._response_count += 1
        if self._is_first_response_pending:
            self._is_first_response_pending = False
            return self.getresponse()
        response = StrictResponse(self._reader, method=self._method)
        response.begin()
        if response.will_close:
            self.close()
        return response

    @property
    def response_count(self) -> int:
        """Number of responses whose heads were read, or begun to be read."""
        return self._response_count

    def has_unread_data(self) -> bool:
        """Return whether bytes have arrived that belong to no response."""
        return self._reader is not None and self._reader.has_unread_data()

    def send_request(
        self,
        method: str,
        target_path: str,
        headers: Mapping[str, str],
        body: bytes | Iterable[bytes] | None,
        *,
        send_by_s: float | None = None,
    ) -> None:
        """Send a request; a missing Host header and body framing are added.

        :param send_by_s: latest time of the first byte.
        :raises NotSentError: when that time has passed.
        """
        self._send_by_s = send_by_s
        names = {name.lower() for name in headers}
        self._method = method
        self._is_first_response_pending = True
        self.putrequest(method, target_path, skip_host="host" in names, skip_accept_encoding=True)
        is_chunked = "transfer-encoding" in names
        if not is_chunked and "content-length" not in names:
            is_chunked = self._put_body_length(method, body)
        for name, value in headers.items():
            self.putheader(name, value)
        self.endheaders(body, encode_chunked=is_chunked)

    def send(self, data: bytes) -> None:
        """Send a part of a request.

        :raises OSError: when the connection fails or takes nothing for too long.
        :raises NotSentError: when it is too late for the first part.
        """
        if self.sock is None:
            raise http.client.NotConnected
        send_by_s, self._send_by_s = self._send_by_s, None
        if send_by_s is not None and _clock.now_s() >= send_by_s:
            raise NotSentError
        try:
            send_all(self.sock, data)
        except ConnectionError as error:
            self._reader.record_failure(error)
            raise

    def _put_body_length(self, method: str, body: bytes | Iterable[bytes] | None) -> bool:
        """Add the body framing header.

        :returns: whether the body is sent in chunks.
        """
        if body is None:
            if method not in METHODS_WITHOUT_BODY:
                self.putheader("Content-Length", "0")
            return False
        if isinstance(body, bytes):
            self.putheader("Content-Length", str(len(body)))
            return False
        self.putheader("Transfer-Encoding", "chunked")
        return True

    def shorten_timeout(self, timeout_s: float) -> None:
        """Set the timeout between two parts of a response from now on."""
        self.sock.settimeout(timeout_s)

    def abandon(self) -> None:
        """Shut the connection down, so that the target notices immediately.

        After a plain close, an unfinished response keeps the socket open, and the target would
        continue a request that nobody waits for.
        """
        open_socket, self._open_socket = self._open_socket, None
        if open_socket is not None:
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)
        # Closing an open response flushes the reader, so the reader is released afterwards.
        self.close()
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.release()

    def is_reusable(self, max_idle_s: float = MAX_IDLE_S) -> bool:
        """Return whether an idle connection is still open and has no unexpected data.

        :param max_idle_s: maximum time since its last response.
        """
        if self.sock is None or time.monotonic() - self.idle_since_s > max_idle_s:
            return False
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class TargetPool:
    """Pool of idle connections to a target; the most recently used is reused first."""

    __slots__ = ("_connect_timeout_s", "_host", "_idle", "_idle_timeout_s", "_is_closed", "_port")

    def __init__(
        self, *, host: str, port: int, connect_timeout_s: float, idle_timeout_s: float
    ) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._idle: deque[TargetConnection] = deque()
        self._is_closed = False

    def check_out(self, max_idle_s: float = MAX_IDLE_S) -> TargetConnection:
        """Return an idle connection or open a new one.

        :param max_idle_s: maximum idle time of a connection that is reused.
        :raises OSError: when no connection can be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(max_idle_s):
                return connection
            connection.abandon()
        connection = TargetConnection(
            self._host,
            self._port,
            connect_timeout_s=self._connect_timeout_s,
            idle_timeout_s=self._idle_timeout_s,
        )
        connection.connect()
        return connection

    def check_in(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete response; close it if unusable."""
        is_full = self._is_closed or len(self._idle) >= MAX_IDLE_CONNECTIONS
        if is_full or connection.sock is None or connection.has_unread_data():
            connection.abandon()
            return
        connection.idle_since_s = time.monotonic()
        self._idle.append(connection)

    def close_stale(self) -> bool:
        """Close connections that were idle for too long or were closed by the target.

        :returns: whether any idle connection is left.
        """
        for _ in range(len(self._idle)):
            connection = self._idle.popleft()
            if connection.is_reusable():
                self._idle.append(connection)
            else:
                connection.abandon()
        return bool(self._idle)

    def close(self) -> None:
        """Close all idle connections, and the others when they are checked in."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().abandon()
