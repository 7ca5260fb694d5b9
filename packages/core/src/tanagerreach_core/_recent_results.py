"""Share of a service's recent requests that were not served."""

from collections import deque

WINDOW_S = 2.0


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
