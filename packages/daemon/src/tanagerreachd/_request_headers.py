"""Headers that are forwarded to backend servers and to callers."""

from typing import TYPE_CHECKING, Any

from ._upstream import BODILESS_STATUSES, HOP_BY_HOP_HEADERS, REQUEST_ID_HEADER

if TYPE_CHECKING:
    from ._request_context import RequestContext

BEARER_PREFIX = "bearer "
MS_PER_S = 1000
# Headers that the instance sets itself or that do not concern a backend server.
REPLACED_HEADERS = frozenset(
    {
        "authorization",
        "expect",
        "request-deadline-ms",
        "request-id",
        "workspace",
        "x-forwarded-for",
    }
)

# Response headers that backend servers address to the instance. Callers rely on Executed, so only
# the instance may set it.
INSTANCE_HEADERS = frozenset({"draining", "executed", "load-shed", "request-id"})


def bearer_key(environ: dict[str, Any]) -> str | None:
    """Return the caller's key, or ``None`` if there is no bearer token."""
    value = environ.get("HTTP_AUTHORIZATION", "")
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    return value[len(BEARER_PREFIX) :].strip()


def forwarded_headers(context: "RequestContext", time_limit_s: float) -> dict[str, str]:
    """Build the headers of the request to a backend server; none of them contains the key.

    Names with an underscore are omitted, since some servers treat it as a hyphen.
    """
    given = context.environ["tanagerreach.handler"].headers
    nominated = {name.strip().lower() for name in given.get("Connection", "").split(",")}
    dropped = HOP_BY_HOP_HEADERS | REPLACED_HEADERS | nominated
    headers: dict[str, str] = {}
    for name, value in given.items():
        lower_name = name.lower()
        if lower_name in dropped or "_" in name or lower_name == "content-length":
            continue
        if context.key_text and (context.key_text in value or context.key_text in name):
            continue
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    _set_own_headers(headers, context, time_limit_s)
    return headers


def _set_own_headers(
    headers: dict[str, str], context: "RequestContext", time_limit_s: float
) -> None:
    headers[REQUEST_ID_HEADER] = context.request_id
    if context.has_deadline:
        headers["Request-Deadline-Ms"] = str(max(0, int(time_limit_s * MS_PER_S)))
    headers["X-Forwarded-For"] = context.environ.get("REMOTE_ADDR", "")
    if context.workspace is not None:
        headers["Workspace"] = context.workspace.name
    length = context.body.content_length
    if context.body.buffered is not None:
        length = len(context.body.buffered)
    if length:
        headers["Content-Length"] = str(length)
    elif context.body.buffered is None:
        headers["Transfer-Encoding"] = "chunked"


def response_headers(
    status: int, headers: list[tuple[str, str]], request_id: str
) -> list[tuple[str, str]]:
    """Build the headers of the response to the caller."""
    dropped = set(INSTANCE_HEADERS)
    if status in BODILESS_STATUSES:
        dropped.add("content-length")
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    kept.append((REQUEST_ID_HEADER, request_id))
    return kept
