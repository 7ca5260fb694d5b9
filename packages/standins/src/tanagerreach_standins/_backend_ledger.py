"""Ledger of the requests that a backend server stand-in started."""

import time
from collections import Counter

import msgspec

from ._http import Environ

HEADER_PREFIX = "HTTP_"


class LedgerEntry(msgspec.Struct, kw_only=True):
    """One request that started; times are in seconds of CLOCK_BOOTTIME.

    ``outcome`` is empty while the request runs, then finished, failed (error response), cancelled
    (the connection closed), deadline (stopped after its deadline) or crashed.
    """

    number: int
    request_id: str
    caller_token: str
    idempotency_key: str
    workspace: str
    method: str
    path: str
    header_names: tuple[str, ...]
    had_authorization: bool
    deadline_ms: str
    started_at_s: float
    ended_at_s: float | None = None
    outcome: str = ""
    was_cold: bool = False
    body_size_bytes: int = 0


def boot_time_s() -> float:
    """Return the time of CLOCK_BOOTTIME, which is the same for all processes of a machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def header_names(environ: Environ) -> tuple[str, ...]:
    """Return the sorted names of the received headers in lower case."""
    names = [
        key[len(HEADER_PREFIX) :].replace("_", "-").lower()
        for key in environ
        if key.startswith(HEADER_PREFIX)
    ]
    if environ.get("CONTENT_LENGTH"):
        names.append("content-length")
    if environ.get("CONTENT_TYPE"):
        names.append("content-type")
    return tuple(sorted(names))


class Ledger:
    """Entries of the started requests in order, and counts of all requests and connections."""

    def __init__(self) -> None:
        self.entries: list[LedgerEntry] = []
        self.counts: Counter[str] = Counter()
        # Most requests have the same headers; sharing the tuples keeps a long ledger small.
        self._known_names: dict[tuple[str, ...], tuple[str, ...]] = {}

    def start(self, environ: Environ, *, was_cold: bool) -> LedgerEntry:
        """Record that a request starts."""
        names = header_names(environ)
        entry = LedgerEntry(
            number=len(self.entries),
            request_id=environ.get("HTTP_REQUEST_ID", ""),
            caller_token=environ.get("HTTP_CALLER_TOKEN", ""),
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            workspace=environ.get("HTTP_WORKSPACE", ""),
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            header_names=self._known_names.setdefault(names, names),
            had_authorization="HTTP_AUTHORIZATION" in environ,
            deadline_ms=environ.get("HTTP_REQUEST_DEADLINE_MS", ""),
            started_at_s=boot_time_s(),
            was_cold=was_cold,
        )
        self.entries.append(entry)
        self.counts["started"] += 1
        return entry

    def end(self, entry: LedgerEntry, outcome: str) -> None:
        """Record the end and the outcome of a request."""
        entry.ended_at_s = boot_time_s()
        entry.outcome = outcome
        self.counts[outcome] += 1
