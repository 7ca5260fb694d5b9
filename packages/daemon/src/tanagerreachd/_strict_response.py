"""Response of ``http.client`` that raises errors where the library would guess or skip."""

import http.client
import re
from typing import Any

from ._http_head import NAME_PATTERN, VALUE_PATTERN

# http.client also accepts signs, more or fewer digits, and statuses beyond the classes of HTTP.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n\Z")
FIELD_LINE = re.compile(NAME_PATTERN + rb":" + VALUE_PATTERN + rb"\r?\n\Z")
# A line that continues the value of the field before it (obs-fold).
CONTINUATION_LINE = re.compile(rb"[ \t]" + VALUE_PATTERN + rb"\r?\n\Z")
# int() also accepts signs, prefixes, underscores and several kinds of blanks.
CHUNK_SIZE_LINE = re.compile(rb"(0*[0-9A-Fa-f]{1,15})[ \t]*(?:;" + VALUE_PATTERN + rb")?\r?\n\Z")
LINE_ENDS = (b"\r\n", b"\n")
# The limit of http.client.
MAX_LINE_BYTES = 65536
STATUS_SWITCHING_PROTOCOLS = 101
FIRST_INFORMATIONAL_STATUS = 100
FIRST_FINAL_STATUS = 200


class FramingError(http.client.HTTPException):
    """The lines that frame a response, or its chunks, are malformed, cut or do not end."""


class MalformedFieldError(http.client.HTTPException):
    """A line of a response head, or of its trailer section, is not a header field."""


class _FieldReader:
    """Reader of the lines of a response that checks those which have to be header fields.

    The parser of ``http.client`` ends a head without an error at a line that it does not know, so
    that the fields behind that line are lost, skips other lines, and splits lines at a bare CR.

    :param reader: reader of the connection.
    :param is_in_fields: whether the next line is a field; otherwise it is a status line.
    """

    __slots__ = ("_field_count", "_is_in_fields", "_reader", "status_line")

    def __init__(self, reader: Any, *, is_in_fields: bool = False) -> None:
        self._reader = reader
        self._is_in_fields = is_in_fields
        self._field_count = 0
        self.status_line = b""

    def readline(self, limit: int) -> bytes:
        """Read a line.

        :raises MalformedFieldError: when it is behind the status line, and not a header field.
        """
        line = self._reader.readline(limit)
        if not self._is_in_fields:
            self._is_in_fields = True
            self._field_count = 0
            self.status_line = line
        elif FIELD_LINE.match(line) or (self._field_count and CONTINUATION_LINE.match(line)):
            self._field_count += 1
        elif line in LINE_ENDS:
            self._is_in_fields = False
        else:
            raise MalformedFieldError("a line is not a header field")
        return line

    def close(self) -> None:
        """Close the reader of the connection."""
        self._reader.close()


class StrictResponse(http.client.HTTPResponse):
    """Response of which each line of the head, the chunks and the trailer section is checked.

    It skips all interim (1xx) responses; ``http.client`` skips 100 only. Reading a chunked body
    raises :class:`FramingError` and :class:`MalformedFieldError`.
    """

    def begin(self) -> None:
        """Read the head.

        :raises http.client.BadStatusLine: when the status is not three digits from 100 to 599.
        :raises MalformedFieldError: when a line of the head is not a header field.
        """
        reader = self.fp
        self.fp = _FieldReader(reader)
        try:
            super().begin()
        finally:
            # After a bad status line, http.client has closed the reader.
            if self.fp is not None:
                self.fp = reader

    def _read_status(self) -> tuple[str, int, str]:
        while True:
            version, status, reason = super()._read_status()
            if not STATUS_LINE.match(self.fp.status_line):
                raise http.client.BadStatusLine(repr(self.fp.status_line))
            is_interim = FIRST_INFORMATIONAL_STATUS < status < FIRST_FINAL_STATUS
            if not is_interim or status == STATUS_SWITCHING_PROTOCOLS:
                return version, status, reason
            http.client.parse_headers(self.fp)

    def end_chunk(self) -> None:
        """Read the line end behind the data of a chunk, of which nothing is left.

        :raises FramingError: when the chunk goes on beyond its size.
        """
        if self._safe_read(len(b"\r\n")) != b"\r\n":
            raise FramingError("a chunk is longer than its size")
        self.chunk_left = None

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            self.end_chunk()
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        found = CHUNK_SIZE_LINE.match(self.fp.readline(MAX_LINE_BYTES + 1))
        if found is None:
            raise FramingError("a chunk's size is not a hexadecimal number")
        return int(found[1], 16)

    def _read_and_discard_trailer(self) -> None:
        reader = _FieldReader(self.fp, is_in_fields=True)
        while reader.readline(MAX_LINE_BYTES + 1) not in LINE_ENDS:
            pass
