"""Distribution of the time that requests of one kind hold a slot.

Load pattern: most requests of a kind are short and a few take many times as long, and what they
take changes within minutes. Recent requests weigh most. A distribution with few samples is mostly
the wider one that it is a part of.
"""

import bisect
import math
from array import array
from collections.abc import Sequence

from ._service_latency import CLASS_LIMITS_S, LATE_SHARE_MIN, exponential_late_shares

# Weight of the wider distribution, in samples.
PRIOR_SAMPLES = 8.0
# Time after which a sample has half of its weight, and weight of all samples together.
HALF_LIFE_S = 20.0
SAMPLES_MAX = 400.0
# Samples change the figures that decisions use at this interval.
UPDATE_INTERVAL_S = 1.0
# A request that has run longer than all known ones is expected to take this share of its age more.
UNKNOWN_REST_SHARE = 0.25

_STEP_COUNT = len(CLASS_LIMITS_S) + 1
# Latencies that stand for the steps without samples of their own.
_STEP_MIDDLES_S = [0.9 * limit_s for limit_s in CLASS_LIMITS_S] + [1.1 * CLASS_LIMITS_S[-1]]


class WorkDistribution:
    """Latencies of requests in steps, weighted by their age.

    :param prior: the wider distribution, ``None`` for that of a whole service.
    :param mean_s: mean latency to start from when there is no wider distribution.
    """

    __slots__ = (
        "_counts",
        "_late_share_min",
        "_prior",
        "_prior_mean_s",
        "_shares",
        "_step_means_s",
        "_sums_s",
        "_updated_s",
        "late_costs",
        "late_shares",
        "mean_s",
        "rests_s",
    )

    def __init__(
        self, *, prior: "WorkDistribution | None" = None, mean_s: float = 0.0, now_s: float
    ) -> None:
        self._prior = prior
        self._prior_mean_s = mean_s
        self._counts = array("d", bytes(8 * _STEP_COUNT))
        self._sums_s = array("d", bytes(8 * _STEP_COUNT))
        # Share of the requests in each step, and their mean latency.
        self._shares = array("d", bytes(8 * _STEP_COUNT))
        self._step_means_s = array("d", _STEP_MIDDLES_S)
        self.late_shares = array("d", bytes(8 * _STEP_COUNT))
        """Share of the requests in higher steps, by step."""
        self.rests_s = array("d", bytes(8 * _STEP_COUNT))
        """How much longer a request is expected to run, by the step of its age."""
        self.late_costs: dict[int, tuple[float, ...]] = {}
        """Costs of late responses by the step of the time left, kept until the next update."""
        self._late_share_min = LATE_SHARE_MIN
        self.mean_s = mean_s
        self._updated_s = now_s
        self._update()

    def record(self, latency_s: float, now_s: float) -> None:
        """Record the latency of a request that got its response, also in the wider ones."""
        if self._prior is not None:
            self._prior.record(latency_s, now_s)
        step = bisect.bisect_left(CLASS_LIMITS_S, latency_s)
        self._counts[step] += 1.0
        self._sums_s[step] += latency_s
        if now_s - self._updated_s < UPDATE_INTERVAL_S:
            return
        kept = 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
        kept = min(kept, SAMPLES_MAX / sum(self._counts))
        for index in range(_STEP_COUNT):
            self._counts[index] *= kept
            self._sums_s[index] *= kept
        self._updated_s = now_s
        self._update()

    def late_share(self, elapsed_s: float) -> float:
        """Return the share of the requests that take longer than a time."""
        step = bisect.bisect_left(CLASS_LIMITS_S, elapsed_s)
        return 1.0 if step == 0 else max(self._late_share_min, self.late_shares[step - 1])

    def _update(self) -> None:
        """Compute the figures that decisions use."""
        prior_shares, prior_means_s = self._prior_steps()
        weight = PRIOR_SAMPLES + sum(self._counts)
        # What was not seen among so many samples may be as frequent as one of them.
        self._late_share_min = max(LATE_SHARE_MIN, 1 / weight)
        above = above_s = 0.0
        for index in reversed(range(_STEP_COUNT)):
            prior = PRIOR_SAMPLES * prior_shares[index]
            share = (self._counts[index] + prior) / weight
            share_s = (self._sums_s[index] + prior * prior_means_s[index]) / weight
            self.late_shares[index] = above
            self._shares[index] = share
            self._step_means_s[index] = share_s / share if share > 0 else _STEP_MIDDLES_S[index]
            above += share
            above_s += share_s
            age_s = _STEP_MIDDLES_S[index] if index else 0.0
            mean_s = above_s / above if above > 0 else age_s
            self.rests_s[index] = max(mean_s - age_s, UNKNOWN_REST_SHARE * age_s)
        self.mean_s = above_s
        self.late_costs.clear()

    def _prior_steps(self) -> tuple[Sequence[float], Sequence[float]]:
        """Return shares and mean latencies of the steps in the wider distribution."""
        if self._prior is not None:
            return self._prior._shares, self._prior._step_means_s
        late_shares = exponential_late_shares(self._prior_mean_s)
        bounds = [1.0, *late_shares, 0.0]
        shares = array("d", (bounds[index] - bounds[index + 1] for index in range(_STEP_COUNT)))
        mean_s = math.fsum(s * m for s, m in zip(shares, _STEP_MIDDLES_S, strict=True))
        scale = self._prior_mean_s / mean_s if mean_s > 0 else 1.0
        return shares, [scale * middle_s for middle_s in _STEP_MIDDLES_S]
