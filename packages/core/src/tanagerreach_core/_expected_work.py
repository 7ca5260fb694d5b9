"""Expected work of requests and the work left at targets, in seconds that a slot is held.

Load pattern: requests to one service look alike and hold a slot for very different times, some
targets take several times as long as others, and both change within seconds. The number of
requests in flight says little then about what a target still has to do.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Collection
from typing import Protocol

from ._service_latency import CLASS_LIMITS_S, ServiceLatency
from ._work_distribution import WorkDistribution

CLASSES_MAX = 32
SHAPES_MAX = 64
# Weight of the expectation itself in a target's slowness, in requests of the mean size.
SPEED_PRIOR_REQUESTS = 2.0
SPEED_HALF_LIFE_S = 6.0
# The slowness is computed at each response, and at this interval without one.
SLOWNESS_INTERVAL_S = 0.5
# The work left changes slowly with time alone.
EVALUATION_INTERVAL_S = 0.2
# A request counts for at most this many times its expectation in its target's slowness.
SLOWNESS_SAMPLE_MAX = 4.0
SLOWNESS_MIN = 0.25
SLOWNESS_MAX = 8.0
# Steps of slowness by which a request's chance to miss its objective is computed.
SLOWNESS_STEPS = (1.5, 2.0, 3.0, 4.0, 6.0)
# Cost of a response that is late, in units of failure probability.
LATE_WEIGHT = 0.5
# Chance to miss the objective that a request is not kept off a target for.
LATE_COST_MIN = 0.005
NO_LATE_COSTS = (0.0,) * (len(SLOWNESS_STEPS) + 1)

_ShapeKey = tuple[int, int]


class RunningRequest(Protocol):
    """A request that runs at a target; ``work`` is ``None`` when it is not known."""

    work: WorkDistribution | None
    started_s: float


class ExpectedWork:
    """Distributions of a service's requests by work class and by shape of the path.

    :param latency: latency of the service, the prior while there are few samples.
    """

    __slots__ = ("_classes", "_latency", "_service", "_shapes")

    def __init__(self, *, latency: ServiceLatency, now_s: float) -> None:
        self._latency = latency
        self._service = WorkDistribution(mean_s=latency.mean_s, now_s=now_s)
        self._classes: dict[int, WorkDistribution] = {}
        self._shapes: dict[_ShapeKey, WorkDistribution] = {}

    def adopt_mean(self, now_s: float) -> None:
        """Start from the service's mean, which another home has measured, without samples."""
        if self._classes:
            return
        self._service = WorkDistribution(mean_s=self._latency.mean_s, now_s=now_s)

    def of(self, work_class: int, path_shape: int, now_s: float) -> WorkDistribution:
        """Return the distribution of requests of a class and shape.

        :param work_class: 0 when the requester does not say it.
        """
        if not work_class:
            return self._service
        key = (work_class, path_shape)
        known = self._shapes.get(key)
        if known is None:
            known = WorkDistribution(prior=self._class(work_class, now_s), now_s=now_s)
            _drop_oldest(self._shapes, SHAPES_MAX)
            self._shapes[key] = known
        return known

    def _class(self, work_class: int, now_s: float) -> WorkDistribution:
        known = self._classes.get(work_class)
        if known is None:
            known = WorkDistribution(prior=self._service, now_s=now_s)
            _drop_oldest(self._classes, CLASSES_MAX)
            self._classes[work_class] = known
        return known


class TargetWork:
    """Slowness of one target and the work that is left there."""

    __slots__ = (
        "_evaluated_count",
        "_evaluated_s",
        "_expected_s",
        "_seen_s",
        "_updated_s",
        "left_s",
        "slowness",
        "slowness_step",
    )

    def __init__(self, *, now_s: float) -> None:
        self._expected_s = self._seen_s = 0.0
        self._updated_s = self._evaluated_s = now_s
        self._evaluated_count = 0
        self.left_s = 0.0
        """Sum of the expected rests of the requests that run there, at the latest evaluation."""
        self.slowness = 1.0
        """Latencies there as a multiple of what is expected."""
        self.slowness_step = 0
        """Step of the slowness, in the order of :func:`late_costs`."""

    def record(self, expected_s: float, latency_s: float, mean_s: float, now_s: float) -> None:
        """Record the latency of a request that was expected to take a time.

        :param mean_s: mean latency of the service.
        """
        self._expected_s += expected_s
        most_s = SLOWNESS_SAMPLE_MAX * expected_s
        self._seen_s += latency_s if latency_s < most_s else most_s
        self._update(mean_s, now_s)

    def evaluate(self, in_flight: Collection[RunningRequest], mean_s: float, now_s: float) -> None:
        """Compute the work left, if a request started or ended or the latest result is old.

        :param in_flight: requests that run at the target.
        :param mean_s: mean latency of the service.
        """
        count = len(in_flight)
        if count == self._evaluated_count and now_s - self._evaluated_s < EVALUATION_INTERVAL_S:
            return
        self._evaluated_count = count
        self._evaluated_s = now_s
        if now_s - self._updated_s >= SLOWNESS_INTERVAL_S:
            self._update(mean_s, now_s)
        slowness = self.slowness
        left_s = 0.0
        for running in in_flight:
            if running.work is not None:
                age_s = (now_s - running.started_s) / slowness
                left_s += running.work.rests_s[bisect_left(CLASS_LIMITS_S, age_s)]
        self.left_s = slowness * left_s

    def _update(self, mean_s: float, now_s: float) -> None:
        kept = 0.5 ** ((now_s - self._updated_s) / SPEED_HALF_LIFE_S)
        self._updated_s = now_s
        self._expected_s *= kept
        self._seen_s *= kept
        prior_s = SPEED_PRIOR_REQUESTS * mean_s
        slowness = (self._seen_s + prior_s) / (self._expected_s + prior_s)
        self.slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, slowness))
        self.slowness_step = bisect_right(SLOWNESS_STEPS, self.slowness)


def late_costs(distribution: WorkDistribution, left_s: float) -> tuple[float, ...]:
    """Return what a target's slowness adds to the cost of choosing it, by step of slowness.

    :param left_s: time left until the request's objective.
    """
    step = bisect_left(CLASS_LIMITS_S, left_s)
    costs = distribution.late_costs.get(step)
    if costs is None:
        costs = distribution.late_costs[step] = _late_costs(distribution, left_s)
    return costs


def _late_costs(distribution: WorkDistribution, left_s: float) -> tuple[float, ...]:
    usual = distribution.late_share(left_s)
    if distribution.late_share(left_s / SLOWNESS_STEPS[-1]) - usual < LATE_COST_MIN:
        return NO_LATE_COSTS
    shares = (distribution.late_share(left_s / slowness) for slowness in SLOWNESS_STEPS)
    return (0.0, *(LATE_WEIGHT * (share - usual) for share in shares))


def _drop_oldest(distributions: dict, most: int) -> None:
    if len(distributions) >= most:
        del distributions[next(iter(distributions))]
