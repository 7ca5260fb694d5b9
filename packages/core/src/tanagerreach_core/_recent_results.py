"""Share of a service's requests that were refused of late."""

from collections import deque

WINDOW_S = 2.0


class RecentResults:
    """Requests that were given a place, and that were refused, in the last seconds."""

    __slots__ = ("_entries", "_refused_count")

    def __init__(self) -> None:
        self._entries: deque[tuple[float, bool]] = deque()
        self._refused_count = 0

    def add(self, now_s: float, *, is_refused: bool) -> None:
        """Count a request."""
        self._entries.append((now_s, is_refused))
        self._refused_count += is_refused

    def refused_share(self, now_s: float) -> float:
        """Return the part that was refused, from 0 to 1."""
        while self._entries and now_s - self._entries[0][0] > WINDOW_S:
            self._refused_count -= self._entries.popleft()[1]
        return self._refused_count / max(1, len(self._entries))
