"""Retry budget of one service at one instance.

Load pattern: many targets fail at once, and a retry of every request would multiply the load on the
remaining targets. Meanwhile homes reply late, move, or decide alone. The right to retry therefore
belongs to the instance that sends the retry and is never passed on: a share of the first tries that
it received itself, and an equal part of the fleet's allowance. The instances' rights add up to the
fleet's, whichever homes place the requests.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

BUCKETS_PER_WINDOW = 10
# Retries count for this many windows, since they arrive at targets later than they are counted.
RETRY_EXPIRY_WINDOWS = 1.1


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryBudgetUse:
    """First tries and retries of a window, and the number of retries that it allows."""

    first_tries: int
    retries: int
    limit: float


class InstanceRetryBudget:
    """Bounds an instance's retries in a sliding window.

    :param ratio: retries allowed for each first try.
    :param allowance: retries that the fleet is allowed in addition, in each window.
    :param fleet_size: returns the number of instances that share the allowance.
    :param allowance_from_s: start of the instance's part of the allowance. An instance that was
        restarted may have used its part before.
    """

    __slots__ = (
        "_allowance",
        "_allowance_from_s",
        "_bucket_s",
        "_first_tries",
        "_fleet_size",
        "_ratio",
        "_reserved_count",
        "_retries_s",
        "_window_s",
    )

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_s: float,
        fleet_size: Callable[[float], int],
        allowance_from_s: float = float("-inf"),
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._fleet_size = fleet_size
        self._allowance_from_s = allowance_from_s
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        # Number of the bucket and its first tries.
        self._first_tries: deque[list[int]] = deque(maxlen=BUCKETS_PER_WINDOW)
        self._retries_s: deque[float] = deque()
        self._reserved_count = 0

    def record_first_try(self, now_s: float) -> None:
        """Count a request that may be sent to a target for the first time."""
        number = int(now_s / self._bucket_s)
        if not self._first_tries or self._first_tries[-1][0] < number:
            self._first_tries.append([number, 0])
        self._first_tries[-1][1] += 1

    def reserve(self, now_s: float) -> bool:
        """Reserve a retry, which :meth:`spend` or :meth:`release` has to follow.

        :returns: false when the budget is used up.
        """
        use = self.use(now_s)
        if use.retries + 1 > use.limit:
            return False
        self._reserved_count += 1
        return True

    def spend(self, now_s: float) -> None:
        """Count a reserved retry, which is sent now."""
        self._reserved_count -= 1
        self._retries_s.append(now_s)

    def release(self) -> None:
        """Return a reserved retry that is not sent."""
        self._reserved_count -= 1

    def use(self, now_s: float) -> RetryBudgetUse:
        """Return the counts of the window and the limit that follows from them."""
        oldest_bucket = int(now_s / self._bucket_s) - BUCKETS_PER_WINDOW
        while self._first_tries and self._first_tries[0][0] <= oldest_bucket:
            self._first_tries.popleft()
        while self._retries_s and now_s - self._retries_s[0] > (
            RETRY_EXPIRY_WINDOWS * self._window_s
        ):
            self._retries_s.popleft()
        first_tries = sum(count for _, count in self._first_tries)
        limit = self._ratio * first_tries
        if now_s >= self._allowance_from_s:
            limit += self._allowance / max(1, self._fleet_size(now_s))
        return RetryBudgetUse(
            first_tries=first_tries,
            retries=len(self._retries_s) + self._reserved_count,
            limit=limit,
        )
