"""Share of a service's requests that were not served of late."""

from collections import deque

WINDOW_S = 3.0


class RecentResults:
    """Requests that were served, and that were not, in the last seconds."""

    __slots__ = ("_entries", "_served", "_unserved")

    def __init__(self) -> None:
        self._entries: deque[tuple[float, int, int]] = deque()
        self._served = 0
        self._unserved = 0

    def add(self, served: int, unserved: int, now_s: float) -> None:
        """Count requests."""
        if served or unserved:
            self._entries.append((now_s, served, unserved))
            self._served += served
            self._unserved += unserved

    def unserved_share(self, now_s: float) -> float:
        """Return the part that was not served, from 0 to 1."""
        while self._entries and now_s - self._entries[0][0] > WINDOW_S:
            _, served, unserved = self._entries.popleft()
            self._served -= served
            self._unserved -= unserved
        return self._unserved / max(1, self._served + self._unserved)
