"""Fleet-wide budget of repeated requests to one service, kept by the service's home.

Load pattern: many targets fail at once and every caller's request wants a second try, which would
multiply the load on the targets that are left.
"""

from collections import deque

BUCKETS_PER_WINDOW = 10
FIRST_ALLOWANCE_SHARE = 0.3
"""Part of the allowance that a new home uses at first, as it does not know what the former home
has allowed in the same window."""


class RepeatBudget:
    """Bounds repeats in a sliding window to a share of the first tries and an allowance.

    :param ratio: repeats allowed for each first try.
    :param allowance: repeats allowed besides, in each window.
    """

    __slots__ = ("_allowance", "_bucket_s", "_buckets", "_ratio", "_started_s", "_window_s")

    def __init__(self, *, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_s: float | None = None
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        # Number of the bucket, first tries, repeats.
        self._buckets: deque[list[int]] = deque(maxlen=BUCKETS_PER_WINDOW + 1)

    def note_first(self, now_s: float) -> None:
        """Count a request's first try."""
        self._bucket(now_s)[1] += 1

    def note_repeat(self, now_s: float) -> None:
        """Count a repeat."""
        self._bucket(now_s)[2] += 1

    def allows(self, now_s: float) -> bool:
        """Tell whether one more repeat fits in the window."""
        current = self._bucket(now_s)[0]
        live = [entry for entry in self._buckets if current - entry[0] <= BUCKETS_PER_WINDOW]
        firsts = sum(entry[1] for entry in live)
        repeats = sum(entry[2] for entry in live)
        return repeats + 1 <= self._ratio * firsts + self._allowance_now(now_s)

    def _allowance_now(self, now_s: float) -> float:
        age = 0.0 if self._started_s is None else (now_s - self._started_s) / self._window_s
        share = FIRST_ALLOWANCE_SHARE + (1 - FIRST_ALLOWANCE_SHARE) * age
        return self._allowance * min(1.0, share)

    def _bucket(self, now_s: float) -> list[int]:
        if self._started_s is None:
            self._started_s = now_s
        number = int(now_s / self._bucket_s)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
