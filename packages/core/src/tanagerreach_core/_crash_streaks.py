"""Requests that break the connection at every target, detected by a service's home."""

from collections import OrderedDict

from ._outcomes import Outcome

# A request is refused after this many tries in a row broke the connection. A lower count would
# refuse requests that were placed at several failing targets by chance.
REFUSED_AFTER_BREAKS = 3
REFUSAL_S = 60.0
MAX_ENTRIES = 2000


class CrashStreaks:
    """Counts of connections that broke in a row, by the request's fingerprint."""

    __slots__ = ("_streaks",)

    def __init__(self) -> None:
        self._streaks: OrderedDict[bytes, tuple[int, float]] = OrderedDict()

    def observe(self, fingerprint: bytes, outcome: Outcome, now_s: float) -> None:
        """Record the outcome of a try; a response ends the request's streak."""
        if not fingerprint:
            return
        if outcome in (Outcome.SUCCESS, Outcome.ERROR):
            self._streaks.pop(fingerprint, None)
        elif outcome is Outcome.BROKEN_BEFORE_HEAD:
            count, _ = self._streaks.pop(fingerprint, (0, 0.0))
            self._streaks[fingerprint] = (count + 1, now_s)
            if len(self._streaks) > MAX_ENTRIES:
                self._streaks.popitem(last=False)

    def is_refused(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request is refused, for a minute after it last broke a connection."""
        count, latest_s = self._streaks.get(fingerprint, (0, 0.0))
        return count >= REFUSED_AFTER_BREAKS and now_s - latest_s < REFUSAL_S
