"""Connections to one target, kept open between requests."""

import contextlib
import http.client
import socket
import time
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

import gevent.socket

from ._sockets import send_all

MAX_IDLE_CONNECTIONS = 64
# Many servers close connections that were idle for 5 s. A request sent just then breaks, and a
# non-idempotent one must not be sent again, so idle connections are given up earlier.
MAX_IDLE_S = 4.0
STATUS_SWITCHING_PROTOCOLS = 101
FIRST_INFORMATIONAL_STATUS = 100
FIRST_FINAL_STATUS = 200
# For other methods, servers expect a length even when there is no body.
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "TRACE", "OPTIONS", "CONNECT"})


class _SharedReader:
    """Buffered bytes of one connection, read by one response after the other.

    A response of ``http.client`` closes its reader at its end, and what had arrived behind it
    would be lost without notice.
    """

    __slots__ = ("_reader", "_socket")

    def __init__(self, opened: Any) -> None:
        self._socket = opened
        self._reader = opened.makefile("rb")

    def makefile(self, _mode: str) -> "_SharedReader":
        """Return the reader itself, in place of a new one for each response."""
        return self

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def close(self) -> None:
        """Leave the reader open for the next response."""

    def release(self) -> None:
        """Close the reader."""
        self._reader.close()

    def has_surplus(self) -> bool:
        """Tell whether bytes wait that belong to no response, without waiting for any."""
        timeout_s = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return bool(self._reader.peek(1))
        except OSError:
            return False
        finally:
            self._socket.settimeout(timeout_s)


class _Response(http.client.HTTPResponse):
    """Response that skips all interim answers; ``http.client`` itself skips 100 only."""

    def _read_status(self) -> tuple[str, int, str]:
        while True:
            version, status, reason = super()._read_status()
            is_interim = FIRST_INFORMATIONAL_STATUS < status < FIRST_FINAL_STATUS
            if not is_interim or status == STATUS_SWITCHING_PROTOCOLS:
                return version, status, reason
            http.client.parse_headers(self.fp)


class TargetConnection(http.client.HTTPConnection):
    """One connection, whose socket can be shut down at any time.

    :param connect_timeout_s: time allowed for opening the connection.
    :param idle_timeout_s: time allowed for each send and between two parts of an answer.
    """

    # A closed connection is never opened again under a request.
    auto_open = 0

    def __init__(
        self, host: str, port: int, *, connect_timeout_s: float, idle_timeout_s: float
    ) -> None:
        # An IPv6 address has brackets in the configuration.
        super().__init__(host.strip("[]"), port, timeout=idle_timeout_s)
        self._connect_timeout_s = connect_timeout_s
        self._opened: Any = None
        self._reader: _SharedReader | None = None
        self._method = ""
        self.idle_since_s = 0.0
        self._is_awaiting_first = False

    def connect(self) -> None:
        """Open the connection.

        :raises OSError: when it cannot be opened in time.
        """
        # Not create_connection: it asks gevent's resolver threads also for an IP address, and the
        # thread waits for the interpreter lock for up to 5 ms.
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        opened = gevent.socket.socket(family, socket.SOCK_STREAM)
        opened.settimeout(self._connect_timeout_s)
        try:
            opened.connect((self.host, self.port))
        except BaseException:
            opened.close()
            raise
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.settimeout(self.timeout)
        self.sock = self._opened = opened
        reader = self._reader = _SharedReader(opened)
        self.response_class = lambda _socket, **options: _Response(reader, **options)

    def next_response(self) -> http.client.HTTPResponse:
        """Read the head of the next response, whichever request it belongs to.

        :raises OSError: when the connection fails.
        :raises http.client.HTTPException: when the bytes are no response.
        """
        if self._is_awaiting_first:
            self._is_awaiting_first = False
            return self.getresponse()
        response = _Response(self._reader, method=self._method)
        response.begin()
        if response.will_close:
            self.close()
        return response

    def has_surplus(self) -> bool:
        """Tell whether bytes have arrived that belong to no response."""
        return self._reader is not None and self._reader.has_surplus()

    def send_request(
        self,
        method: str,
        target_path: str,
        headers: Mapping[str, str],
        body: bytes | Iterable[bytes] | None,
    ) -> None:
        """Send a request with the given headers; a missing Host and body length are added."""
        names = {name.lower() for name in headers}
        self._method = method
        self._is_awaiting_first = True
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
        """
        if self.sock is None:
            raise http.client.NotConnected
        send_all(self.sock, data)

    def _put_body_length(self, method: str, body: bytes | Iterable[bytes] | None) -> bool:
        """Announce the body's length; returns whether it is sent in chunks instead."""
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
        """Set the time allowed between two parts of an answer from now on."""
        self.sock.settimeout(timeout_s)

    def abandon(self) -> None:
        """Close the connection for good, so that the target notices at once.

        An unfinished answer holds the socket open after a plain close, and the target would go on
        with a request that nobody waits for.
        """
        opened, self._opened = self._opened, None
        if opened is not None:
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
        # A response that is open flushes the reader when it is closed.
        self.close()
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.release()

    def is_reusable(self, max_idle_s: float = MAX_IDLE_S) -> bool:
        """Tell whether an idle connection is still open and has no unexpected data.

        :param max_idle_s: longest time since its last answer.
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
    """Idle connections of one target; the one used last is taken first."""

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

    def take(self, max_idle_s: float = MAX_IDLE_S) -> TargetConnection:
        """Return an open connection.

        :param max_idle_s: longest idle time of a connection that is used again.
        :raises OSError: when none can be opened.
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
        """Keep a connection on which a whole answer was received, and nothing behind it."""
        is_full = self._is_closed or len(self._idle) >= MAX_IDLE_CONNECTIONS
        if is_full or connection.sock is None or connection.has_surplus():
            connection.abandon()
            return
        connection.idle_since_s = time.monotonic()
        self._idle.append(connection)

    def drop_old(self) -> bool:
        """Close connections that were idle for too long or that the target has closed.

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
        """Close all idle connections, and the others when they are given back."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().abandon()
