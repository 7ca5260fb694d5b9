"""Response of ``http.client`` that raises errors where the library guesses or skips."""

import http.client
import re
from typing import Any

from ._http_head import NAME_PATTERN, VALUE_PATTERN

# http.client also accepts signs, more or fewer digits, and statuses beyond the classes of HTTP.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n\Z")
FIELD_LINE = re.compile(NAME_PATTERN + rb":" + VALUE_PATTERN + rb"\r?\n\Z")
# A line that continues the value of the field before it (obs-fold).
CONTINUATION_LINE = re.compile(rb"[ \t]" + VALUE_PATTERN + rb"\r?\n\Z")
STATUS_SWITCHING_PROTOCOLS = 101
FIRST_INFORMATIONAL_STATUS = 100
FIRST_FINAL_STATUS = 200


class FramingError(http.client.HTTPException):
    """The lines that frame a response are cut or do not end."""


class MalformedHeadError(http.client.HTTPException):
    """A line of a response head is not a header field."""


class _HeadReader:
    """Reader of a response head, and of the interim responses before it, that checks each line.

    The parser of ``http.client`` ends a head without an error at a line that it does not know, so
    that the fields behind that line are lost, skips other lines, and splits lines at a bare CR.

    :param reader: reader of the connection.
    """

    __slots__ = ("_field_count", "_is_in_fields", "_reader", "status_line")

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._is_in_fields = False
        self._field_count = 0
        self.status_line = b""

    def readline(self, limit: int) -> bytes:
        """Read a line.

        :raises MalformedHeadError: when it is behind the status line, and not a header field.
        """
        line = self._reader.readline(limit)
        if not self._is_in_fields:
            self._is_in_fields = True
            self._field_count = 0
            self.status_line = line
        elif FIELD_LINE.match(line) or (self._field_count and CONTINUATION_LINE.match(line)):
            self._field_count += 1
        elif line in (b"\r\n", b"\n"):
            self._is_in_fields = False
        elif len(line) < limit:
            raise MalformedHeadError("a line of the head is not a header field")
        return line

    def close(self) -> None:
        """Close the reader of the connection."""
        self._reader.close()


class StrictResponse(http.client.HTTPResponse):
    """Response that skips all interim (1xx) responses; ``http.client`` skips 100 only.

    :raises http.client.BadStatusLine: when the status is not three digits from 100 to 599.
    :raises MalformedHeadError: when a line of the head is not a header field.
    """

    def begin(self) -> None:
        """Read the head."""
        reader = self.fp
        self.fp = _HeadReader(reader)
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
