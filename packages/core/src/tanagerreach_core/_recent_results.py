"""Share of a service's recent requests that were not served."""

import itertools
from collections import deque

WINDOW_S = 2.0
# Requests are lost at once, as in a crash, when the last ones of the window have this share of its
# unserved requests.
SURGE_S = 0.25
SURGE_SHARE = 1 / 3


class RecentResults:
    """Sliding window of requests, each with whether it was served."""

    __slots__ = ("_entries", "_unserved_count")

    def __init__(self) -> None:
        self._entries: deque[tuple[float, bool]] = deque()
        self._unserved_count = 0

    def add(self, now_s: float, *, is_unserved: bool) -> None:
        """Count a request."""
        self._entries.append((now_s, is_unserved))
        self._unserved_count += is_unserved

    def unserved_share(self, now_s: float) -> float:
        """Return the share of requests that were not served, from 0 to 1."""
        while self._entries and now_s - self._entries[0][0] > WINDOW_S:
            self._unserved_count -= self._entries.popleft()[1]
        return self._unserved_count / max(1, len(self._entries))

    def is_surging(self, now_s: float) -> bool:
        """Return whether many of the unserved requests were lost just now."""
        latest = itertools.takewhile(
            lambda entry: now_s - entry[0] <= SURGE_S, reversed(self._entries)
        )
        return sum(entry[1] for entry in latest) > SURGE_SHARE * self._unserved_count
