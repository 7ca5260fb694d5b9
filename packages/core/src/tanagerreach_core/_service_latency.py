"""Usual and unusually long latencies of one service's answers.

Load pattern: a few requests take many times as long as most, and short ones are mixed with long
ones. A multiple of the mean would give up answers that are on their way, so the time that is
waited for a target follows the slowest answers in a hundred.
"""

INITIAL_MEAN_S = 0.2
MEAN_WEIGHT = 0.05
INITIAL_HIGH_RATIO = 4.0
HIGH_QUANTILE = 0.99
HIGH_STEP_RATIO = 0.5
"""Step of the quantile's estimate, as a part of the mean."""
TRY_TIMEOUT_RATIO = 1.3
TRY_TIMEOUT_MIN_S = 0.4


class ServiceLatency:
    """Mean and high quantile of the latency of successful answers."""

    __slots__ = ("_high_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = INITIAL_MEAN_S
        self._high_s = INITIAL_HIGH_RATIO * INITIAL_MEAN_S

    @property
    def try_timeout_s(self) -> float:
        """Time within which a sound target answers nearly always."""
        return max(TRY_TIMEOUT_MIN_S, TRY_TIMEOUT_RATIO * self._high_s)

    def record(self, latency_s: float) -> None:
        """Take in the latency of a successful answer."""
        self.mean_s += MEAN_WEIGHT * (latency_s - self.mean_s)
        step_s = HIGH_STEP_RATIO * self.mean_s
        if latency_s > self._high_s:
            self._high_s += step_s * HIGH_QUANTILE
        else:
            self._high_s = max(self.mean_s, self._high_s - step_s * (1 - HIGH_QUANTILE))

    def adopt(self, mean_s: float) -> None:
        """Start from the mean that another home has seen; 0 says nothing."""
        if mean_s <= 0:
            return
        self._high_s *= mean_s / self.mean_s
        self.mean_s = mean_s
