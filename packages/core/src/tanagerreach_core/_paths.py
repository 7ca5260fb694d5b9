"""Normalisation of request paths.

Routes are matched against one canonical form of a path, and a path that a backend server could
interpret in another way is refused. Otherwise a request could pass the check of one route and
reach a resource that another route protects.
"""

import re
from urllib.parse import unquote_to_bytes

MAX_PATH_CHARS = 8192
MAX_DECODING_ROUNDS = 5

_PLAIN = re.compile(r"(?:/[A-Za-z0-9_~!$&'()*+,=:@.-]+)*/?")
_ALLOWED = re.compile(r"[A-Za-z0-9_.~!$&'()*+,;=:@/%-]*")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
# Overlong UTF-8 encodings of a character, which some decoders accept as dots or slashes.
_OVERLONG = re.compile(rb"[\xc0\xc1]|\xe0[\x80-\x9f]|\xf0[\x80-\x8f]")
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")


class PathError(ValueError):
    """A request path is refused."""


def normalise_path(raw_path: str) -> str:
    """Check a request path and convert it to its normal form.

    Escapes of unreserved characters are decoded and the digits of other escapes are converted to
    upper case (RFC 3986, section 6.2.2). Dot segments, empty segments, encoded slashes and
    backslashes, control characters and absolute-form targets are refused, also when they are
    escaped several times or followed by path parameters.

    :param raw_path: the path as received, without the query.
    :raises PathError: when the path is refused.
    """
    if len(raw_path) > MAX_PATH_CHARS:
        raise PathError(f"the path exceeds {MAX_PATH_CHARS} characters")
    if not raw_path.startswith("/"):
        raise PathError("the request target must be a path that starts with '/'")
    if _PLAIN.fullmatch(raw_path):
        if "/." in raw_path:
            _check_segments(raw_path.encode("ascii"))
        return raw_path
    if not _ALLOWED.fullmatch(raw_path):
        raise PathError("the path has a character that must be escaped")
    if _BAD_ESCAPE.search(raw_path):
        raise PathError("the path has an incomplete escape")
    _check_decoded(raw_path)
    return _ESCAPE.sub(_normalise_escape, raw_path)


def _check_decoded(path: str) -> None:
    """Check the path after each round of repeated decoding."""
    data = path.encode("ascii")
    slashes = data.count(b"/")
    for _ in range(MAX_DECODING_ROUNDS):
        _check_segments(data)
        decoded = unquote_to_bytes(data)
        if decoded == data:
            return
        data = decoded
        if data.count(b"/") != slashes:
            raise PathError("the path has an encoded slash")
    raise PathError("the path is escaped too many times")


def _check_segments(data: bytes) -> None:
    if b"\\" in data:
        raise PathError("the path has a backslash")
    if _CONTROL.search(data):
        raise PathError("the path has a control character")
    if _OVERLONG.search(data):
        raise PathError("the path has an overlong UTF-8 sequence")
    segments = data.split(b"/")[1:]
    names = [segment.split(b";", 1)[0] for segment in segments]
    if b"." in names or b".." in names:
        raise PathError("the path has a dot segment")
    if b"" in names[:-1] or segments[-1].startswith(b";"):
        raise PathError("the path has an empty segment")


def _normalise_escape(match: re.Match[str]) -> str:
    code = int(match.group(1), 16)
    return chr(code) if code in _UNRESERVED else match.group().upper()
