"""Share of a service's recent requests that were not served."""

import itertools
from collections import deque

WINDOW_S = 2.0
# Requests fail at once, as in a crash, when those of the last moment have this share of all that
# were not served in the window.
SURGE_S = 0.25
SURGE_SHARE = 1 / 3


class RecentResults:
    """Sliding window of requests, each with whether it was served or failed at a target."""

    __slots__ = ("_entries", "_failed_count", "_unserved_count")

    def __init__(self) -> None:
        self._entries: deque[tuple[float, bool, bool]] = deque()
        self._unserved_count = 0
        self._failed_count = 0

    def add_refused(self, now_s: float) -> None:
        """Count a request that was refused."""
        self._add(now_s, is_unserved=True, is_failed=False)

    def add_placed(self, now_s: float, *, is_failed: bool) -> None:
        """Count a request that a target served or failed."""
        self._add(now_s, is_unserved=is_failed, is_failed=is_failed)

    def _add(self, now_s: float, *, is_unserved: bool, is_failed: bool) -> None:
        self._entries.append((now_s, is_unserved, is_failed))
        self._unserved_count += is_unserved
        self._failed_count += is_failed

    def request_count(self, now_s: float) -> int:
        """Return the number of requests of the window."""
        self._drop_expired(now_s)
        return len(self._entries)

    def unserved_share(self, now_s: float) -> float:
        """Return the share of requests that were not served, from 0 to 1."""
        self._drop_expired(now_s)
        return self._unserved_count / max(1, len(self._entries))

    def failed_share(self, now_s: float) -> float:
        """Return the share of requests that failed at targets, from 0 to 1."""
        self._drop_expired(now_s)
        return self._failed_count / max(1, len(self._entries))

    def is_surging(self, now_s: float) -> bool:
        """Return whether many of the requests that were not served failed just now."""
        self._drop_expired(now_s)
        latest = itertools.takewhile(
            lambda entry: now_s - entry[0] <= SURGE_S, reversed(self._entries)
        )
        return sum(entry[2] for entry in latest) > SURGE_SHARE * self._unserved_count

    def _drop_expired(self, now_s: float) -> None:
        while self._entries and now_s - self._entries[0][0] > WINDOW_S:
            _, was_unserved, has_failed = self._entries.popleft()
            self._unserved_count -= was_unserved
            self._failed_count -= has_failed
