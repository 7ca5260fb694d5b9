"""Close of a caller's connection, without a reset where that could cut a response.

The kernel resets a connection that is closed while input is unread, or that gets input afterwards.
A reset discards what was sent and has not arrived, so the end of a response could be lost.
"""

import contextlib
import re
import select
import socket
import struct
from dataclasses import dataclass
from enum import Enum
from typing import Any

import gevent
from gevent.socket import wait_read

from . import _clock
from ._sockets import peek_input

# Time for a caller to close after the end of the responses. A caller that has not received the end
# may send a further request meanwhile.
LINGER_S = 1.0
READ_CHUNK_BYTES = 16 * 1024
# Interval of checks whether a caller has closed behind input that is left unread.
END_CHECK_INTERVAL_S = 0.05
# Discarded input that is kept to find requests in it.
KEPT_BYTES = 8 * 1024
# Requests that are reported for each closed connection.
MAX_REPORTED_REQUESTS = 8
# A socket that is closed with this linger time resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_REQUEST_LINE = re.compile(rb"^[A-Z]{1,20} /[^\r\n]* HTTP/1\.[01]\r\n", re.MULTILINE)
# Input that may be the first part of a request; a body that was not read may look like it.
_REQUEST_BEGINNING = re.compile(rb"(?:\r\n){0,2}[A-Z]{1,20}(?: /|\Z)")
_HEAD_END = b"\r\n\r\n"
_SHOWN_ID_BYTES = 64


class CloseCause(Enum):
    """Why the instance closes a caller's connection."""

    # The caller closed it first, or it failed.
    CALLER = "caller"
    STOP = "stop"
    IDLE_TIMEOUT = "idle-timeout"
    # A response announced the close.
    CLOSING_RESPONSE = "closing-response"
    # A response ended early.
    BROKEN_RESPONSE = "broken-response"
    # A request was refused whose head could not be read.
    REFUSED_HEAD = "refused-head"
    # A body was not read, behind a response that had not announced the close.
    UNREAD_BODY = "unread-body"
    NO_ROOM = "no-room"


@dataclass(slots=True, kw_only=True, frozen=True)
class DiscardedRequest:
    """Request that was discarded.

    :param request_id: its identifier, empty if it has none or it was not received.
    :param is_whole: whether its whole head was received.
    """

    request_id: str
    is_whole: bool


@dataclass(slots=True, kw_only=True)
class DiscardedInput:
    """Input that arrived after the last request that was handled.

    :param beginning: the first ``KEPT_BYTES`` of it.
    :param first_after_s: time from the close until the first part was noticed.
    :param is_read: whether it was read; a caller may send requests again that were not.
    """

    size_bytes: int = 0
    beginning: bytes = b""
    first_after_s: float = 0.0
    is_read: bool = True

    def add(self, data: bytes, after_s: float) -> None:
        """Count a part, and keep what belongs to the beginning."""
        if not self.size_bytes:
            self.first_after_s = after_s
        self.size_bytes += len(data)
        if len(self.beginning) < KEPT_BYTES:
            self.beginning += data[: KEPT_BYTES - len(self.beginning)]

    def requests(self, id_header: str) -> list[DiscardedRequest]:
        """Return the requests in the beginning of the input, at most ``MAX_REPORTED_REQUESTS``.

        :param id_header: name of the header with a request's identifier.
        """
        if not _REQUEST_BEGINNING.match(self.beginning):
            return []
        starts = [match.start() for match in _REQUEST_LINE.finditer(self.beginning)]
        starts = starts[:MAX_REPORTED_REQUESTS]
        if not starts:
            return [DiscardedRequest(request_id="", is_whole=False)]
        pattern = rb"^" + re.escape(id_header.encode()) + rb":[ \t]*([!-~]*)[ \t]*\r$"
        id_line = re.compile(pattern, re.IGNORECASE | re.MULTILINE)
        found = []
        for start, end in zip(starts, [*starts[1:], len(self.beginning)], strict=True):
            head, head_end, _ = self.beginning[start:end].partition(_HEAD_END)
            match = id_line.search(head + b"\r\n" if head_end else head)
            request_id = match.group(1)[:_SHOWN_ID_BYTES].decode("ascii") if match else ""
            found.append(DiscardedRequest(request_id=request_id, is_whole=bool(head_end)))
        return found


@dataclass(slots=True, kw_only=True, frozen=True)
class ClosedConnection:
    """Closed connection of a caller, with the input that was discarded."""

    cause: CloseCause
    discarded: DiscardedInput


def stop_sending(connection: Any) -> None:
    """Shut down the sending side, and the receiving side after ``LINGER_S``."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
    gevent.spawn_later(LINGER_S, _stop_reading, connection)


def stop_with_reset(connection: Any) -> None:
    """Shut down the receiving side, and let the close of the socket reset the connection.

    A body that ends with its connection would look complete after any other end.
    """
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    _stop_reading(connection)


def discard_input(
    connection: Any,
    rfile: Any,
    discarded: DiscardedInput,
    ended_s: float,
    *,
    linger_s: float = LINGER_S,
) -> None:
    """Discard input until the caller closes or the receiving side is shut down.

    :param rfile: buffered reader of the connection, which may hold input.
    :param discarded: counts the input.
    :param ended_s: monotonic time since which nothing is sent.
    :param linger_s: longest pause in the input; 0 discards only what has arrived.
    """
    with contextlib.suppress(OSError, ValueError):
        # Without a timeout, the reader returns what it holds or what has arrived.
        connection.settimeout(0.0)
        if buffered := rfile.peek(1):
            discarded.add(buffered, _clock.now_s() - ended_s)
    connection.settimeout(linger_s)
    with contextlib.suppress(OSError):
        while data := connection.recv(READ_CHUNK_BYTES):
            discarded.add(data, _clock.now_s() - ended_s)
            # gevent does not switch while input is available.
            gevent.sleep(0)


def await_end(connection: Any, ended_s: float) -> float:
    """Wait until the caller closes, for at most ``LINGER_S``, and leave its input unread.

    :param ended_s: monotonic time since which nothing is sent.
    :returns: time from the end until something arrived, or the wait was over.
    """
    arrived_s = ends_s = ended_s + LINGER_S
    with contextlib.suppress(OSError):
        wait_read(connection.fileno(), timeout=max(0.0, ends_s - _clock.now_s()))
        arrived_s = _clock.now_s()
        while (left_s := ends_s - _clock.now_s()) > 0 and not _has_closed(connection):
            gevent.sleep(min(END_CHECK_INTERVAL_S, left_s))
    return arrived_s - ended_s


def count_unread(connection: Any, discarded: DiscardedInput, after_s: float) -> None:
    """Count the input that is left unread.

    :param after_s: time from the end until it was noticed.
    """
    with contextlib.suppress(OSError):
        connection.settimeout(0.0)
        if data := connection.recv(KEPT_BYTES, socket.MSG_PEEK):
            discarded.is_read = False
            discarded.add(data, after_s)


def _has_closed(connection: Any) -> bool:
    """Return whether the caller has closed, also behind unread input."""
    if peek_input(connection) == b"":
        return True
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _stop_reading(connection: Any) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
