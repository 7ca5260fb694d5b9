"""Strict checks of request heads, and header fields in the form that pywsgi expects."""

import re
from collections.abc import Iterator
from functools import lru_cache

NAME_PATTERN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Everything but control characters other than the tab.
VALUE_PATTERN = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
TOKEN = re.compile(NAME_PATTERN + rb"\Z")
VALUE = re.compile(VALUE_PATTERN + rb"\Z")
DECIMAL = re.compile(r"[0-9]{1,15}\Z")
# Few header names occur in practice; the bound keeps made-up names from exhausting the memory.
HEADER_NAME_CACHE_SIZE = 1024


class RequestRefusedError(ValueError):
    """A request that is refused before it reaches the application.

    :param status: status code and reason phrase, such as ``400 Bad Request``.
    :param detail: description of the error and of what is allowed.
    :param retry_after_s: time after which the caller may retry, or None.
    """

    def __init__(self, status: str, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.retry_after_s = retry_after_s


class HeaderFields:
    """Headers of an HTTP message, indexed by name.

    :param items: names as sent, and values, in the order of the message.
    """

    __slots__ = ("_items", "_values")

    # pywsgi reads the parser's error message here.
    status = ""

    def __init__(self, items: list[tuple[str, str]]) -> None:
        self._items = items
        self._values: dict[str, list[str]] = {}
        for name, value in items:
            self._values.setdefault(name.lower(), []).append(value)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self._values

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]
        self._items = [pair for pair in self._items if pair[0].lower() != name.lower()]

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the values of a header, joined by commas."""
        values = self._values.get(name.lower())
        return default if values is None else ", ".join(values)

    getheader = get

    def all(self, name: str) -> list[str]:
        """Return the values of a header, given its name in lower case."""
        return self._values.get(name, [])

    def items(self) -> list[tuple[str, str]]:
        """Return names and values in the order of the message."""
        return self._items

    @property
    def typeheader(self) -> str | None:
        """Value of Content-Type."""
        return self.get("content-type")

    def environ_items(self) -> Iterator[tuple[str, str]]:
        """Yield the headers under their names in a WSGI environment.

        Names with an underscore are omitted, as they could not be told from those with a hyphen.
        """
        for name, value in self._items:
            key = environ_key(name)
            if key is not None:
                yield key, value


@lru_cache(maxsize=HEADER_NAME_CACHE_SIZE)
def environ_key(name: str) -> str | None:
    """Return the key of a header in a WSGI environment, or ``None`` for a header without one."""
    if "_" in name or name.lower() in ("content-type", "content-length"):
        return None
    return "HTTP_" + name.upper().replace("-", "_")


def check_line_end(line: bytes) -> None:
    """Refuse a line that ends with a bare LF.

    Another parser may read up to the next CR LF and see one header where this one sees two.

    :raises RequestRefusedError: when the line does not end with CR LF.
    """
    if not line.endswith(b"\r\n"):
        raise RequestRefusedError(
            "400 Bad Request", "a line of the request head does not end with CR LF"
        )


def check_header_line(line: bytes) -> None:
    """Check a header line before the library parses it.

    :raises RequestRefusedError: when the line is not of the form ``name: value``.
    """
    check_line_end(line)
    name, separator, value = line[:-2].partition(b":")
    if not separator or not TOKEN.match(name):
        raise RequestRefusedError("400 Bad Request", "a header line is not of the form name: value")
    if not VALUE.match(value):
        raise RequestRefusedError("400 Bad Request", "a header value holds a control character")


def check_framing(headers: HeaderFields) -> None:
    """Refuse requests whose body length is ambiguous.

    :raises RequestRefusedError: with the name of the offending header.
    """
    lengths = headers.all("content-length")
    encodings = headers.all("transfer-encoding")
    if lengths and encodings:
        raise RequestRefusedError(
            "400 Bad Request", "send either Content-Length or Transfer-Encoding, not both"
        )
    if len(lengths) > 1:
        raise RequestRefusedError("400 Bad Request", "send one Content-Length header")
    if lengths and not DECIMAL.match(lengths[0]):
        raise RequestRefusedError("400 Bad Request", "Content-Length is not a decimal number")
    if encodings and (len(encodings) > 1 or encodings[0].lower() != "chunked"):
        raise RequestRefusedError(
            "501 Not Implemented", "the only Transfer-Encoding accepted is chunked"
        )
    if len(headers.all("host")) > 1:
        raise RequestRefusedError("400 Bad Request", "send one Host header")
