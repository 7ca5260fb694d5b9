"""Which targets of a service are used, by the versions that they carry.

Load pattern: targets of another version join beside those in use, before or after an order to move
to it; a version without an order must get no requests, and one without a verdict few.
"""

import math
from collections import Counter
from collections.abc import Callable

from ._outcomes import Outcome
from ._placement_messages import PlacementRequest
from ._rollout import (
    CANARY_TARGET_SHARE,
    CANARY_TARGETS_MIN,
    Rollout,
    RolloutFacts,
    RolloutStage,
)
from ._rollout_messages import RoutedPlacementRequest
from ._start_time_fair_queue import WaitingRequest
from ._target_ranking import HEALTHY_FAILURE_PROBABILITY_MAX
from ._target_state import TargetState
from ._version_comparison import RequestKey, Side

Targets = dict[str, TargetState]

# Share of its slots up to which the canary loads a target; some targets are slow when full.
CANARY_LOAD_MAX = 0.6
# Time for which the canary loads a target first.
CANARY_TURN_S = 0.8


class ServiceVersions:
    """The present version of a service, and the roll-out of another one, if there is an order."""

    __slots__ = ("_all_new", "_minor", "_sent_counts", "base_version", "rollout")

    def __init__(self) -> None:
        self.base_version: str | None = None
        self.rollout: Rollout | None = None
        self._minor: list[TargetState] = []
        # Targets of the ordered version while there is a canary, which uses some of them.
        self._all_new: list[TargetState] = []
        # Requests that went to a target as one of the minor version.
        self._sent_counts: Counter[str] = Counter()

    def select(self, targets: Targets) -> Targets:
        """Return the targets that get requests, besides those of the minor version."""
        self._update_base(targets)
        old = _of_version(targets, self.base_version)
        rollout = self.rollout
        self._minor = []
        if rollout is None or rollout.order.to_version == self.base_version:
            return old
        new = _of_version(targets, rollout.order.to_version)
        rollout.comparison.target_count = len(new)
        if rollout.stage is RolloutStage.CANARY:
            self._minor = _canary_targets(new)
            self._all_new = list(new.values())
        elif rollout.stage is RolloutStage.SHIFTING and rollout.new_share <= 0.5:
            self._minor = list(new.values())
        elif rollout.new_share > 0 and new:
            if rollout.stage is RolloutStage.SHIFTING:
                self._minor = list(old.values())
            return new
        return old

    def _update_base(self, targets: Targets) -> None:
        """Keep the present version while a target carries it, else choose it anew.

        It is the one whose targets started first, of those that many targets carry.
        """
        rollout = self.rollout
        to_version = None if rollout is None else rollout.order.to_version
        if rollout is not None and rollout.stage is RolloutStage.COMPLETED:
            if _of_version(targets, to_version):
                self.base_version = to_version
            return
        carried = {state.spec.software_version for state in targets.values()}
        if self.base_version in carried or not carried:
            return
        if rollout is not None and carried != {to_version}:
            carried.discard(to_version)
        groups = {version: _of_version(targets, version).values() for version in sorted(carried)}
        least = max(len(group) for group in groups.values()) / 2
        # Targets that start ahead of an order may be as many as those in use.
        self.base_version = min(
            (version for version, group in groups.items() if len(group) >= least),
            key=lambda version: min(state.spec.started_ms for state in groups[version]),
        )

    def choose_minor(
        self,
        request: WaitingRequest,
        may_use: Callable[[TargetState, WaitingRequest, float], bool],
        now_s: float,
        *,
        is_spread: bool = False,
    ) -> TargetState | None:
        """Return a target of the minor version, if it is its turn and one has room.

        :param is_spread: whether no target should stay idle, as many requests are not served.
        """
        placement_request = request.placement_request
        if self.rollout is None or not self._minor or not _is_first_try(placement_request):
            return None
        is_cold = all(state.is_cold(now_s) for state in self._minor)
        if not self.rollout.is_for_minor(_route(placement_request), now_s, is_cold=is_cold):
            return None
        if self.rollout.stage is RolloutStage.CANARY:
            if is_spread:
                usable = self._usable(self._all_new, request, may_use, now_s)
                return min(usable, key=lambda state: state.latest_start_s, default=None)
            return self._most_loaded(request, may_use, now_s)
        return self._least_used(request, may_use, now_s)

    def choose_overflow(
        self,
        request: WaitingRequest,
        may_use: Callable[[TargetState, WaitingRequest, float], bool],
        now_s: float,
    ) -> TargetState | None:
        """Return a target of the minor version for a request that no other target has room for."""
        is_shifting = self.rollout is not None and self.rollout.stage is RolloutStage.SHIFTING
        if not is_shifting or request.placement_request.is_decided_alone:
            return None
        return self._least_used(request, may_use, now_s)

    @staticmethod
    def _usable(
        targets: list[TargetState],
        request: WaitingRequest,
        may_use: Callable[[TargetState, WaitingRequest, float], bool],
        now_s: float,
    ) -> list[TargetState]:
        """Return the targets that may get the request.

        As for the other version, targets that are likely to fail get requests only when no others
        have room, so that both versions are treated alike.
        """
        usable = [
            state
            for state in targets
            if now_s >= state.failure_estimator.down_until_s and may_use(state, request, now_s)
        ]
        healthy = [
            state
            for state in usable
            if state.failure_estimator.failure_probability(now_s) <= HEALTHY_FAILURE_PROBABILITY_MAX
        ]
        return healthy or usable

    def _most_loaded(
        self,
        request: WaitingRequest,
        may_use: Callable[[TargetState, WaitingRequest, float], bool],
        now_s: float,
    ) -> TargetState | None:
        """Return the target that bears the canary's load at present, if it has room.

        The few requests of the canary go to one target after the other, so that each bears for a
        while what it would bear after the roll-out.
        """
        usable = self._usable(self._minor, request, may_use, now_s)
        if not usable:
            return None
        turn = int(now_s / CANARY_TURN_S) % len(self._minor)
        in_turn = self._minor[turn:] + self._minor[:turn]
        loaded = [
            state
            for state in in_turn
            if len(state.in_flight) < math.ceil(CANARY_LOAD_MAX * state.spec.slot_count)
        ]
        return next((state for state in loaded if state in usable), None)

    def _least_used(
        self,
        request: WaitingRequest,
        may_use: Callable[[TargetState, WaitingRequest, float], bool],
        now_s: float,
    ) -> TargetState | None:
        usable = self._usable(self._minor, request, may_use, now_s)
        return min(
            usable,
            key=lambda state: (
                len(state.in_flight) / state.spec.slot_count,
                self._sent_counts[state.spec.name],
            ),
            default=None,
        )

    def record_sent(self, request: WaitingRequest, state: TargetState, now_s: float) -> None:
        """Count a request that is sent to a target."""
        rollout = self.rollout
        if rollout is None or rollout.is_final:
            return
        self._sent_counts[state.spec.name] += 1
        rollout.record_sent(
            request.key,
            self._side(state),
            state.spec.name,
            _route(request.placement_request),
            now_s,
            counts_latency=not state.is_cold(now_s),
        )

    def record_result(
        self, key: RequestKey, outcome: Outcome, latency_s: float, now_s: float
    ) -> None:
        """Record the end of a request."""
        if self.rollout is not None:
            self.rollout.record_result(key, outcome, latency_s, now_s)

    def forget(self, key: RequestKey) -> None:
        """Forget a request whose end was never reported."""
        if self.rollout is not None:
            self.rollout.comparison.forget(key)

    def facts(
        self, targets: Targets, *, user_share: float, lent_share: float, now_s: float
    ) -> RolloutFacts:
        """Return the state of the service for the roll-out."""
        facts = RolloutFacts(user_share=user_share, lent_share=lent_share)
        for state in targets.values():
            facts.in_flight_count += len(state.in_flight)
            if self._side(state) is Side.OLD:
                facts.old_in_flight_count += len(state.in_flight)
            elif not state.is_cold(now_s):
                facts.new_slot_count += state.spec.slot_count
        return facts

    def _side(self, state: TargetState) -> Side:
        is_new = (
            self.rollout is not None
            and state.spec.software_version == self.rollout.order.to_version
            and self.base_version != self.rollout.order.to_version
        )
        return Side.NEW if is_new else Side.OLD


def _of_version(targets: Targets, version: str | None) -> Targets:
    return {
        name: state for name, state in targets.items() if state.spec.software_version == version
    }


def _canary_targets(new: Targets) -> list[TargetState]:
    count = max(CANARY_TARGETS_MIN, round(CANARY_TARGET_SHARE * len(new)))
    # The order by name does not depend on which targets joined first, so homes agree.
    usable = sorted(
        (state for state in new.values() if not state.is_leaving), key=lambda state: state.spec.name
    )
    return usable[:count]


def _is_first_try(placement_request: PlacementRequest) -> bool:
    return not (
        placement_request.is_retry
        or placement_request.is_in_flight
        or placement_request.is_decided_alone
    )


def _route(placement_request: PlacementRequest) -> str:
    return placement_request.route if isinstance(placement_request, RoutedPlacementRequest) else ""
