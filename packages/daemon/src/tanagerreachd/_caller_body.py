"""Reads callers' request bodies: small ones completely, larger ones in parts.

The first part of every body is read before the request takes a token or enters the queue, so that
a slow caller with a small body occupies no shared resource. Larger bodies are not buffered, since
an instance has no disk and little memory: such a request holds its queue ticket and its place at a
target while the body is sent, and each part has to arrive within the time limit.
"""

import hashlib
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import gevent

from ._caller_connections import RequestRoom
from ._refusals import Executed, RefusalError

# Bodies up to this size are read before a target is selected: a slow caller then occupies no
# target, the request can be retried, and its fingerprint covers the whole body.
BUFFERED_BODY_BYTES = 64 * 1024
READ_CHUNK_BYTES = 64 * 1024
# Held while a body is passed on: the current part, and what the kernel has received of the next.
PASSED_ON_BYTES = 2 * READ_CHUNK_BYTES
NO_ROOM_RETRY_AFTER_S = 1.0


class CallerBodyError(Exception):
    """The caller's connection failed, or its body framing is malformed."""


class CallerBodyStalledError(CallerBodyError):
    """The caller's body arrived too slowly."""


class CallerBody:
    """Body of one request.

    :param stream: the WSGI input stream.
    :param content_length: value of Content-Length in bytes, or None.
    :param chunked: whether the body has chunked encoding.
    :param limit_bytes: maximum size.
    :param part_time_limit_s: timeout for each part of 64 KiB.
    :param buffered_bytes: maximum size of a body that is buffered before it is sent to a target.
    :param room: what the request holds, ``None`` without bounds.
    """

    __slots__ = (
        "_buffered_bytes",
        "_chunked",
        "_first_part",
        "_is_interrupted",
        "_limit_bytes",
        "_part_time_limit_s",
        "_room",
        "_stream",
        "buffered",
        "content_length",
        "read_bytes",
    )

    def __init__(
        self,
        *,
        stream: Any,
        content_length: int | None,
        chunked: bool,
        limit_bytes: int,
        part_time_limit_s: float,
        buffered_bytes: int = BUFFERED_BODY_BYTES,
        room: RequestRoom | None = None,
    ) -> None:
        self._stream = stream
        self._buffered_bytes = buffered_bytes
        self._room = room
        self._chunked = chunked
        self._limit_bytes = limit_bytes
        self._part_time_limit_s = part_time_limit_s
        self._first_part = b""
        # Whether a read did not end, so that an unknown part of the body was read.
        self._is_interrupted = False
        self.content_length = content_length
        self.read_bytes = 0
        self.buffered: bytes | None = None

    def check_announced_size(self) -> None:
        """Refuse a body whose Content-Length exceeds the limit.

        :raises RefusalError: with status 413.
        """
        if self.content_length is not None and self.content_length > self._limit_bytes:
            raise self._too_large()

    def read_first_part(self) -> None:
        """Read the first part, and set ``buffered`` if it is the whole body.

        :raises CallerBodyError: when the body ends early, stalls or is malformed.
        :raises RefusalError: when a chunked body exceeds the limit, or there is no room for it.
        """
        if not self._chunked and not self.content_length:
            self.buffered = b""
            return
        if self._chunked:
            # One byte more shows whether the body is longer than the first part.
            part = self._read_buffered(self._buffered_bytes + 1)
            is_whole = len(part) <= self._buffered_bytes
        else:
            part = self._read_buffered(min(self._buffered_bytes, self.content_length))
            is_whole = len(part) == self.content_length
        if is_whole:
            self.buffered = part
        else:
            self._first_part = part
            self._take_room(PASSED_ON_BYTES)

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent in a retry."""
        if self.buffered is not None:
            return True
        return not self._is_interrupted and self.read_bytes == len(self._first_part)

    @property
    def complete(self) -> bool:
        """Whether the body is known to be read completely."""
        if self.buffered is not None:
            return True
        return not self._chunked and self.read_bytes == self.content_length

    def digest(self) -> bytes:
        """Return the SHA-256 of a buffered body, or of a larger one's length and first part."""
        if self.buffered is not None:
            return hashlib.sha256(self.buffered).digest() if self.buffered else b""
        length = str(self.content_length).encode()
        return hashlib.sha256(length + b":" + self._first_part).digest()

    def parts(self) -> Iterator[bytes]:
        """Yield the body in parts as they arrive.

        :raises CallerBodyError: when the body ends early, stalls or is malformed.
        :raises RefusalError: when a chunked body exceeds the limit.
        """
        yield self._first_part
        while part := self._read(READ_CHUNK_BYTES):
            yield part

    def _read_buffered(self, size_bytes: int) -> bytes:
        """Read the first part, as far as there is room for it."""
        pieces = []
        left = size_bytes
        while left > 0:
            wanted = min(READ_CHUNK_BYTES, left)
            self._take_room(wanted)
            try:
                piece = self._read(wanted)
            except CallerBodyError as error:
                if self._room is not None and self._room.is_evicted:
                    raise self._no_room() from error
                raise
            pieces.append(piece)
            left -= len(piece)
            if len(piece) < wanted:
                if self._room is not None:
                    self._room.give_back(wanted - len(piece))
                break
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _take_room(self, size_bytes: int) -> None:
        if self._room is not None and not self._room.take(size_bytes):
            raise self._no_room()

    def _read(self, size_bytes: int) -> bytes:
        if self._room is None:
            return self._read_in_time(size_bytes)
        with self._room.reading():
            data = self._read_in_time(size_bytes)
        self._room.record_progress(len(data))
        return data

    def _read_in_time(self, size_bytes: int) -> bytes:
        timer = gevent.Timeout.start_new(self._part_time_limit_s)
        self._is_interrupted = True
        try:
            data = self._stream.read(size_bytes)
            self._is_interrupted = False
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            raise self._stalled() from None
        except TimeoutError:
            raise self._stalled() from None
        except (OSError, ValueError) as error:
            raise CallerBodyError(self._fault_text()) from error
        finally:
            timer.close()
        self.read_bytes += len(data)
        if self.read_bytes > self._limit_bytes:
            raise self._too_large()
        return data

    def _fault_text(self) -> str:
        if self._chunked:
            return "the request body ended early, or its chunks are malformed"
        return "the request body ended before its Content-Length"

    def _stalled(self) -> CallerBodyStalledError:
        return CallerBodyStalledError(
            "the request body arrived too slowly; send at least"
            f" {READ_CHUNK_BYTES} bytes in {self._part_time_limit_s:g} s"
        )

    @staticmethod
    def _no_room() -> RefusalError:
        return RefusalError(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            kind="no-room-for-body",
            detail="the instance has no room for the request's body; try again later",
            retry_after_s=NO_ROOM_RETRY_AFTER_S,
        )

    def _too_large(self) -> RefusalError:
        return RefusalError(
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            kind="body-too-large",
            detail=f"this route accepts bodies up to {self._limit_bytes} bytes",
        )


def body_refusal(error: CallerBodyError, executed: Executed) -> RefusalError:
    """Build the refusal of a request whose body could not be read."""
    if isinstance(error, CallerBodyStalledError):
        return RefusalError(
            status=HTTPStatus.REQUEST_TIMEOUT,
            kind="body-stalled",
            detail=str(error),
            executed=executed,
        )
    return RefusalError(
        status=HTTPStatus.BAD_REQUEST,
        kind="body-not-valid",
        detail=str(error),
        executed=executed,
    )
