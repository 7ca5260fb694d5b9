"""Targets of a service that have room, ordered by the cost of choosing them.

Load pattern: hundreds of targets and requests per second at one home. An evaluation of all targets
for each request would take more processor time than the home has, above all while targets fail and
requests are queued. All targets are therefore evaluated at intervals, and a single one when a
request starts or ends there.
"""

import bisect
from collections.abc import Iterable

from ._expected_work import NO_LATE_COSTS
from ._service_latency import ServiceLatency
from ._start_time_fair_queue import WaitingRequest
from ._target_state import DISTANCE_WEIGHT, UNTRIED_PREFERENCE, TargetState

# Costs change slowly with time alone.
EVALUATION_INTERVAL_S = 0.05
# Failure probability up to which a target counts as likely healthy.
HEALTHY_FAILURE_PROBABILITY_MAX = 0.3

# Lower bound of the cost, number of the target, failure probability, target.
_Entry = tuple[float, int, float, TargetState]


class TargetRanking:
    """Failure probabilities and costs of a service's targets, evaluated at intervals."""

    __slots__ = (
        "_capacity",
        "_entries",
        "_evaluated_s",
        "_has_slow",
        "_healthy",
        "_numbers",
        "_probabilities",
        "_ranked",
        "_ranked_probabilities",
        "_targets",
    )

    def __init__(self) -> None:
        self._targets: dict[str, TargetState] = {}
        self._numbers: dict[str, int] = {}
        self._entries: list[_Entry] = []
        self._ranked: dict[str, _Entry] = {}
        self._probabilities: dict[str, float] = {}
        self._healthy: set[str] = set()
        self._has_slow = False
        self._capacity = 0.0
        # Failure probabilities of the targets that have room, in order.
        self._ranked_probabilities: list[float] = []
        self._evaluated_s = float("-inf")

    def set_targets(self, targets: dict[str, TargetState]) -> None:
        """Set the targets to rank; they are evaluated anew at the next use."""
        self._targets = targets
        self._numbers = {name: number for number, name in enumerate(targets)}
        self.invalidate()

    def invalidate(self) -> None:
        """Evaluate all targets anew at the next use."""
        self._evaluated_s = float("-inf")

    def evaluate(self, latency: ServiceLatency, now_s: float) -> bool:
        """Evaluate all targets, if the last evaluation is too old.

        :param latency: latency of the service.
        :returns: whether they were evaluated.
        """
        if now_s - self._evaluated_s < EVALUATION_INTERVAL_S:
            return False
        self._evaluated_s = now_s
        self._capacity = 0.0
        self._healthy.clear()
        self._ranked.clear()
        self._probabilities.clear()
        for name, state in self._targets.items():
            entry = self._assess(name, state, latency, now_s)
            self._capacity += state.capacity(latency.mean_s) * (1 - entry[2])
            if state.has_room(now_s):
                self._ranked[name] = entry
        self._entries = sorted(self._ranked.values())
        self._has_slow = any(entry[3].slowness_step for entry in self._entries)
        self._ranked_probabilities = sorted(entry[2] for entry in self._entries)
        return True

    def update(self, state: TargetState, latency: ServiceLatency, now_s: float) -> None:
        """Evaluate one target, at which a request started or ended."""
        name = state.spec.name
        if self._targets.get(name) is not state or self._evaluated_s == float("-inf"):
            return
        former = self._ranked.pop(name, None)
        if former is not None:
            del self._entries[bisect.bisect_left(self._entries, former)]
            del self._ranked_probabilities[
                bisect.bisect_left(self._ranked_probabilities, former[2])
            ]
        entry = self._assess(name, state, latency, now_s)
        if state.has_room(now_s):
            self._ranked[name] = entry
            bisect.insort(self._entries, entry)
            bisect.insort(self._ranked_probabilities, entry[2])

    def __bool__(self) -> bool:
        """Return whether any target has room."""
        return bool(self._entries)

    @property
    def capacity(self) -> float:
        """Slots of all targets; one that is likely to fail counts for a part of its slots."""
        return self._capacity

    def failure_probability(self, name: str) -> float:
        """Return the failure probability of a target at its last evaluation."""
        return self._probabilities[name]

    @property
    def has_slow(self) -> bool:
        """Whether a target with room was slower than expected at the last evaluation."""
        return self._has_slow

    def has_healthy(self, excluded: Iterable[str]) -> bool:
        """Return whether a target that is not excluded is likely healthy, even if it is busy."""
        return len(self._healthy.difference(excluded)) > 0

    def best(
        self,
        request: WaitingRequest,
        highest_failure_probability: float,
        now_s: float,
        late_costs: tuple[float, ...] = NO_LATE_COSTS,
    ) -> TargetState | None:
        """Return the target with room that costs least for a request.

        :param highest_failure_probability: bound on the target's failure probability.
        :param late_costs: what the chance of a late response adds, by the target's slowness.
        """
        probabilities = self._ranked_probabilities
        if not probabilities or highest_failure_probability < probabilities[0]:
            return None
        excluded = request.placement_request.excluded
        data_centre = request.placement_request.data_centre
        requester = request.key[0]
        is_decided_alone = request.placement_request.is_decided_alone
        best: TargetState | None = None
        best_cost = float("inf")
        for lower_bound, _, failure_probability, state in self._entries:
            if lower_bound >= best_cost:
                break
            if failure_probability > highest_failure_probability:
                continue
            cost = lower_bound + late_costs[state.slowness_step]
            if state.spec.data_centre != data_centre:
                cost += DISTANCE_WEIGHT
            if state.is_untried and not state.may_try_first(request, now_s):
                cost += UNTRIED_PREFERENCE
            if cost >= best_cost:
                continue
            if state.spec.name in excluded or not state.is_reachable(requester, now_s):
                continue
            if is_decided_alone and (state.is_cold(now_s) or state.limit is not None):
                continue
            best, best_cost = state, cost
        return best

    def _assess(
        self, name: str, state: TargetState, latency: ServiceLatency, now_s: float
    ) -> _Entry:
        probability = state.request_failure_probability(latency, now_s)
        self._probabilities[name] = probability
        if probability <= HEALTHY_FAILURE_PROBABILITY_MAX:
            self._healthy.add(name)
        else:
            self._healthy.discard(name)
        lower_bound = probability + state.selection_cost(latency.mean_s, now_s)
        if state.is_untried:
            lower_bound -= UNTRIED_PREFERENCE
        return (lower_bound, self._numbers[name], probability, state)
