"""Mean and high quantile of one service's latency, and the try timeout that follows from them.

Load pattern: a few requests take many times as long as most, and short ones are mixed with long
ones. A timeout at a multiple of the mean would cut off responses that are about to arrive, so it
follows the 99th percentile.
"""

INITIAL_MEAN_S = 0.2
MEAN_WEIGHT = 0.05
INITIAL_HIGH_RATIO = 4.0
HIGH_QUANTILE = 0.99
# Step of the quantile's estimate, as a share of the mean.
HIGH_STEP_RATIO = 0.5
TRY_TIMEOUT_RATIO = 1.3
TRY_TIMEOUT_MIN_S = 0.4


class ServiceLatency:
    """Mean and high quantile of the latency of successful requests."""

    __slots__ = ("_high_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_MEAN_S
        self._high_s = INITIAL_HIGH_RATIO * INITIAL_MEAN_S

    @property
    def try_timeout_s(self) -> float:
        """Time within which a healthy target nearly always responds."""
        return max(TRY_TIMEOUT_MIN_S, TRY_TIMEOUT_RATIO * self._high_s)

    def record(self, latency_s: float) -> None:
        """Record the latency of a successful request."""
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
