"""Distribution of one service's latency, and the try timeout that follows from it.

Load pattern: a few requests take many times as long as most, and short ones are mixed with long
ones. A timeout at a multiple of the mean would cut off responses that are about to arrive, so it
follows the 99th percentile. How many of the successful requests take longer than a time tells how
much a request without a response says against its target.
"""

import bisect
import math

INITIAL_MEAN_S = 0.2
MEAN_WEIGHT = 0.05
INITIAL_HIGH_RATIO = 4.0
HIGH_QUANTILE = 0.99
# Step of the quantile's estimate, as a share of the mean.
HIGH_STEP_RATIO = 0.5
TRY_TIMEOUT_RATIO = 1.3
TRY_TIMEOUT_MIN_S = 0.4
# Upper limits of the classes of latencies whose shares are kept, 5 ms to 20 s.
CLASS_LIMITS_S = [0.005 * 1.25**number for number in range(38)]
# Weight of the latest latency in the shares of the classes.
CLASS_WEIGHT = 0.01
LATE_SHARE_MIN = 0.002


class ServiceLatency:
    """Mean, high quantile and classes of the latency of successful requests."""

    __slots__ = ("_high_s", "_late_shares", "mean_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_MEAN_S
        # Share of requests that take longer than each class's limit.
        self._late_shares = exponential_late_shares(INITIAL_MEAN_S)
        self._high_s = INITIAL_HIGH_RATIO * INITIAL_MEAN_S

    @property
    def try_timeout_s(self) -> float:
        """Time within which a healthy target nearly always responds."""
        return max(TRY_TIMEOUT_MIN_S, TRY_TIMEOUT_RATIO * self._high_s)

    def late_share(self, elapsed_s: float) -> float:
        """Return the share of successful requests that take longer than a time."""
        number = bisect.bisect_left(CLASS_LIMITS_S, elapsed_s)
        if number == 0:
            return 1.0
        return max(LATE_SHARE_MIN, self._late_shares[number - 1])

    def record(self, latency_s: float) -> None:
        """Record the latency of a successful request."""
        number = bisect.bisect_left(CLASS_LIMITS_S, latency_s)
        shares = self._late_shares
        self._late_shares = [
            *[share + CLASS_WEIGHT * (1 - share) for share in shares[:number]],
            *[share + CLASS_WEIGHT * (0 - share) for share in shares[number:]],
        ]
        self.mean_s += MEAN_WEIGHT * (latency_s - self.mean_s)
        step_s = HIGH_STEP_RATIO * self.mean_s
        if latency_s > self._high_s:
            self._high_s += step_s * HIGH_QUANTILE
        else:
            self._high_s = max(self.mean_s, self._high_s - step_s * (1 - HIGH_QUANTILE))

    def adopt(self, mean_s: float) -> None:
        """Start from the mean that another home has measured, unless it is 0."""
        if mean_s <= 0:
            return
        self._high_s *= mean_s / self.mean_s
        self.mean_s = mean_s
        self._late_shares = exponential_late_shares(mean_s)


def exponential_late_shares(mean_s: float) -> list[float]:
    """Return the late shares of an exponential distribution, until latencies are known."""
    return [math.exp(-limit_s / mean_s) for limit_s in CLASS_LIMITS_S]
