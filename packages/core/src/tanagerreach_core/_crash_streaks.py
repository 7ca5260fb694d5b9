"""Requests that break the connection at every target, detected by a service's home."""

import itertools
from collections import OrderedDict
from collections.abc import Iterable

from ._outcomes import Outcome

# A request is refused after this many tries in a row broke the connection. A lower count would
# refuse requests that were placed at several failing targets by chance.
REFUSED_AFTER_BREAKS = 3
REFUSAL_S = 60.0
MAX_ENTRIES = 2000
MS_PER_S = 1000.0


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
            self._set(fingerprint, count + 1, now_s)

    def _set(self, fingerprint: bytes, count: int, latest_s: float) -> None:
        self._streaks[fingerprint] = (count, latest_s)
        if len(self._streaks) > MAX_ENTRIES:
            self._streaks.popitem(last=False)

    def latest(self, most: int, now_s: float) -> list[tuple[bytes, int, int]]:
        """Return the latest streaks, for the home that may take over.

        :returns: fingerprint, length, and milliseconds since the latest break.
        """
        latest = itertools.islice(reversed(self._streaks.items()), most)
        return [(key, count, int(MS_PER_S * (now_s - at_s))) for key, (count, at_s) in latest]

    def adopt(self, streaks: Iterable[tuple[bytes, int, int]], now_s: float) -> None:
        """Adopt another home's streaks where they are longer."""
        for fingerprint, count, age_ms in streaks:
            if count > self._streaks.get(fingerprint, (0, 0.0))[0]:
                self._set(fingerprint, count, now_s - age_ms / MS_PER_S)

    def is_refused(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request is refused, for a minute after it last broke a connection."""
        count, latest_s = self._streaks.get(fingerprint, (0, 0.0))
        return count >= REFUSED_AFTER_BREAKS and now_s - latest_s < REFUSAL_S
