"""Fleet-wide retry budget of one service, kept by the service's home.

Load pattern: many targets fail at once, and a retry of every request would multiply the load on the
remaining targets. Meanwhile the home moves, or a network partition leaves a home on each side. A
home adopts the counts of the former one, and uses only the share of the allowance that corresponds
to the share of the fleet from which it receives heartbeats.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

BUCKETS_PER_WINDOW = 10
# Share of the allowance that a new home uses at first, unless it knows what the former home has
# allowed in the same window.
INITIAL_ALLOWANCE_SHARE = 0.3

# Age in buckets, first tries and retries, for each bucket of the window.
RetryCounts = list[tuple[int, int, int]]


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryBudgetUse:
    """First tries and retries of a window, and the number of retries that it allows."""

    first_tries: int
    retries: int
    limit: float


class FleetRetryBudget:
    """Bounds retries in a sliding window to a share of the first tries and an allowance.

    :param ratio: retries allowed for each first try.
    :param allowance: retries allowed in addition, in each window.
    :param fleet_share: returns the live share of the fleet, as this home sees it, from 0 to 1.
    """

    __slots__ = (
        "_allowance",
        "_bucket_s",
        "_buckets",
        "_fleet_share",
        "_ratio",
        "_started_s",
        "_window_s",
    )

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_s: float,
        fleet_share: Callable[[float], float] = lambda now_s: 1.0,
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._fleet_share = fleet_share
        self._started_s: float | None = None
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        # Number of the bucket, first tries and retries.
        self._buckets: deque[list[int]] = deque(maxlen=BUCKETS_PER_WINDOW + 1)

    def record_first_try(self, now_s: float) -> None:
        """Count the first try of a request."""
        self._bucket(now_s)[1] += 1

    def record_retry(self, now_s: float) -> None:
        """Count a retry."""
        self._bucket(now_s)[2] += 1

    def allows(self, now_s: float) -> bool:
        """Return whether one more retry fits in the window."""
        use = self.use(now_s)
        return use.retries + 1 <= use.limit

    def use(self, now_s: float) -> RetryBudgetUse:
        """Return the counts of the window and the limit that follows from them."""
        counts = self.counts(now_s)
        first_tries = sum(entry[1] for entry in counts)
        return RetryBudgetUse(
            first_tries=first_tries,
            retries=sum(entry[2] for entry in counts),
            limit=self._ratio * first_tries + self._allowance_now(now_s),
        )

    def counts(self, now_s: float) -> RetryCounts:
        """Return the counts of the window, for the home that may take over."""
        current = self._bucket(now_s)[0]
        return [
            (current - number, first_tries, retries)
            for number, first_tries, retries in self._buckets
            if current - number <= BUCKETS_PER_WINDOW
        ]

    def adopt(self, counts: RetryCounts, now_s: float) -> None:
        """Merge the counts of the former home, or of a home that still acts beside this one."""
        if not counts:
            return
        current = self._bucket(now_s)[0]
        known = {entry[0]: entry for entry in self._buckets}
        for age, first_tries, retries in counts:
            entry = known.setdefault(current - age, [current - age, 0, 0])
            entry[1:] = max(entry[1], first_tries), max(entry[2], retries)
        self._buckets.clear()
        self._buckets.extend(known[number] for number in sorted(known))
        self._started_s = min(self._started_s, now_s - self._window_s)

    def _allowance_now(self, now_s: float) -> float:
        age = 0.0 if self._started_s is None else (now_s - self._started_s) / self._window_s
        share = INITIAL_ALLOWANCE_SHARE + (1 - INITIAL_ALLOWANCE_SHARE) * age
        return self._allowance * min(1.0, share) * self._fleet_share(now_s)

    def _bucket(self, now_s: float) -> list[int]:
        if self._started_s is None:
            self._started_s = now_s
        number = int(now_s / self._bucket_s)
        if not self._buckets or self._buckets[-1][0] < number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
