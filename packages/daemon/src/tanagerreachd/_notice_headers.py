"""Reads what a target asks of its callers from the headers of a response."""

import re
from dataclasses import dataclass

from tanagerreach_core.placement import NO_NOTICE, TargetNotice

from ._http_head import HeaderFields

STATUS_SERVICE_UNAVAILABLE = 503
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")
# A lower limit is raised to this one: only a response shows that the limit has ended.
LIMIT_MIN_PER_S = 0.1
TRUE = "1"


@dataclass(slots=True, kw_only=True, frozen=True)
class NoticeHeaders:
    """Names of the headers by which targets ask for fewer requests, ``None`` for one not used.

    :param limit_per_s: requests per second that the target takes from the whole fleet.
    :param leaving: set to 1 by a target that takes no new requests.
    :param pause_s: with status 503, time for which the target takes none from this instance.
    """

    limit_per_s: str | None = None
    leaving: str | None = None
    pause_s: str | None = None


def read_notice(names: NoticeHeaders, status: int, headers: HeaderFields) -> TargetNotice:
    """Read the notice of a response; a value that is not valid is ignored."""
    limit_text = headers.get(names.limit_per_s) if names.limit_per_s else None
    pause_text = headers.get(names.pause_s) if names.pause_s else None
    if status != STATUS_SERVICE_UNAVAILABLE:
        pause_text = None
    leaving_text = headers.get(names.leaving) if names.leaving else None
    if limit_text is None and pause_text is None and leaving_text is None:
        return NO_NOTICE
    limit_per_s = _decimal(limit_text)
    pause_s = _decimal(pause_text)
    invalid_header = ""
    if limit_text is not None and limit_per_s is None:
        invalid_header = names.limit_per_s or ""
    elif pause_text is not None and pause_s is None:
        invalid_header = names.pause_s or ""
    return TargetNotice(
        limit_per_s=0.0 if limit_per_s is None else max(LIMIT_MIN_PER_S, limit_per_s),
        is_leaving=leaving_text == TRUE,
        pause_s=pause_s or 0.0,
        invalid_header=invalid_header,
    )


def _decimal(text: str | None) -> float | None:
    if text is None or not DECIMAL.match(text.strip()):
        return None
    return float(text)
