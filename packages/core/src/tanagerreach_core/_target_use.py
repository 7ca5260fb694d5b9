"""Choice of idle targets, so that a service has enough of its targets in use.

Load pattern: some of a service's requests are not served, since a workspace exceeds its quota or
targets fail, and placement by the latest successes sends the rest to few targets. These become
full, so that a crash of a few targets loses many requests at once, while others are idle that may
have recovered. Yet a request that is sent to one that still fails is lost. Idle targets that are
likely healthy are therefore chosen first, and the others get only as many requests as it takes to
have the floor's share of the targets in use.
"""

import math
from collections.abc import Callable, Collection, Iterable
from enum import IntEnum

from ._recent_results import RecentResults
from ._target_ranking import HEALTHY_FAILURE_PROBABILITY_MAX
from ._target_state import TargetState

# Above this share of requests that are not served, targets that are likely healthy must not stay
# idle.
HEALTHY_UNSERVED_SHARE_MAX = 0.02
# The same for targets that failed before; the platform allows a tenth.
UNSERVED_SHARE_MAX = 0.08
# The same for all targets that may have recovered, when requests fail at once as in a crash: what
# is left of the platform's span of 2 s may be short.
CRASH_UNSERVED_SHARE_MAX = 0.09
# The platform looks back over 2 s. If so many of the requests in flight were lost at once, a tenth
# must not be reached while too few targets are in use.
CRASH_SHARE = 0.5
UNSERVED_SHARE_ALLOWED = 0.1
# Below this share of requests that fail, more would be lost at targets that still fail than in a
# crash.
CRASH_FLOOR_FAILED_SHARE_MIN = 0.04
# Added to the floor, since the platform may count the targets at slightly different times.
FLOOR_MARGIN = 0.05
HEALTHY_IDLE_S = 1.0
# A target that got a request within this time is in use; the platform checks spans of 2 s.
IN_USE_WINDOW_S = 1.3
# The same for requests that are not retryable, so that retryable ones take the risk first.
NON_RETRYABLE_IN_USE_WINDOW_S = 1.6
# A target does not count as usable for this long after a failure, as the platform counts it.
FAILED_PAUSE_S = 2.0
# The same for a margin of less than one target, for which fewer requests are risked.
MARGIN_FAILED_PAUSE_S = 3.5
# The platform may not count a target that is in use and failed within this time: it counts one 2 s
# after a failure, and checks spans of 2 s.
UNCOUNTED_S = 4.0


class IdleTargetUse(IntEnum):
    """Which idle targets are to be used."""

    HEALTHY = 0
    """Those that are likely healthy."""
    FLOOR = 1
    """Also others, until the floor's share of the targets is in use, as the home counts it."""
    CRASH_FLOOR = 2
    """The same as the platform may count it, since a crash would require the floor."""
    ALL = 3
    """All that may have recovered."""


def idle_target_use(results: RecentResults, in_flight_count: int, now_s: float) -> IdleTargetUse:
    """Return which idle targets are to be used, from a service's recent results."""
    unserved_share = results.unserved_share(now_s)
    if unserved_share > CRASH_UNSERVED_SHARE_MAX and results.is_surging(now_s):
        return IdleTargetUse.ALL
    crash_share = CRASH_SHARE * in_flight_count / max(1, results.request_count(now_s))
    failed_share_max = max(CRASH_FLOOR_FAILED_SHARE_MIN, UNSERVED_SHARE_ALLOWED - crash_share)
    if results.failed_share(now_s) > failed_share_max:
        return IdleTargetUse.CRASH_FLOOR
    return IdleTargetUse.FLOOR if unserved_share > UNSERVED_SHARE_MAX else IdleTargetUse.HEALTHY


class IdleTargetPlan:
    """Idle targets that the next requests are to use.

    :param targets: all targets of the service.
    :param failure_probability: returns the probability that a target fails a request now.
    :param floor_share: share of the targets that has to be in use, from 0 to 1.
    """

    __slots__ = ("_healthy", "_needs")

    def __init__(
        self,
        targets: Collection[TargetState],
        *,
        use: IdleTargetUse,
        failure_probability: Callable[[TargetState], float],
        floor_share: float,
        now_s: float,
    ) -> None:
        self._healthy = sorted(
            (
                state
                for state in targets
                if state.is_idle(HEALTHY_IDLE_S, now_s)
                and failure_probability(state) <= HEALTHY_FAILURE_PROBABILITY_MAX
            ),
            key=lambda state: state.latest_start_s,
        )
        self._needs: list[_Need] = []
        if not floor_share or use is IdleTargetUse.HEALTHY:
            return
        by_probability = sorted(targets, key=failure_probability)
        if use is not IdleTargetUse.FLOOR:
            share = 1.0 if use is IdleTargetUse.ALL else floor_share
            self._needs.append(
                _Need(
                    [state for state in by_probability if not _may_be_uncounted(state, now_s)],
                    lambda count: math.ceil(share * count) + int(FLOOR_MARGIN * count),
                    FAILED_PAUSE_S,
                    now_s,
                )
            )
        self._needs.append(
            _Need(
                by_probability,
                lambda count: math.ceil((floor_share + FLOOR_MARGIN) * count),
                MARGIN_FAILED_PAUSE_S,
                now_s,
            )
        )

    def take(
        self, may_use: Callable[[TargetState], bool], *, is_retryable: bool, now_s: float
    ) -> TargetState | None:
        """Take an idle target for a request.

        :param may_use: returns whether a target has room for the request and may get it.
        :returns: the target, or ``None`` when enough targets are in use.
        """
        for state in self._healthy:
            if state.is_idle(HEALTHY_IDLE_S, now_s) and may_use(state):
                self._healthy.remove(state)
                self._record_use(state)
                return state
        in_use_s = IN_USE_WINDOW_S if is_retryable else NON_RETRYABLE_IN_USE_WINDOW_S
        for need in self._needs:
            state = need.first(in_use_s, may_use, now_s)
            if state is not None:
                self._record_use(state)
                return state
        return None

    def _record_use(self, state: TargetState) -> None:
        for need in self._needs:
            need.record_use(state)


def _may_be_uncounted(state: TargetState, now_s: float) -> bool:
    is_in_use = not state.is_idle(IN_USE_WINDOW_S, now_s)
    return is_in_use and now_s - state.failed_s <= UNCOUNTED_S


class _Need:
    """Idle targets that have to be used until a share of the usable targets is in use.

    :param targets: all targets, the best first.
    :param least_count: returns how many of a number of usable targets have to be in use.
    :param failed_pause_s: time after a failure for which a target does not count as usable.
    """

    __slots__ = ("_failed_pause_s", "_idle", "_needed_counts")

    def __init__(
        self,
        targets: Iterable[TargetState],
        least_count: Callable[[int], int],
        failed_pause_s: float,
        now_s: float,
    ) -> None:
        self._failed_pause_s = failed_pause_s
        usable = [state for state in targets if now_s - state.failed_s > failed_pause_s]
        self._idle = [state for state in usable if state.is_idle(IN_USE_WINDOW_S, now_s)]
        self._needed_counts = {
            in_use_s: least_count(len(usable))
            - sum(now_s - state.latest_start_s <= in_use_s for state in usable)
            for in_use_s in (IN_USE_WINDOW_S, NON_RETRYABLE_IN_USE_WINDOW_S)
        }

    def first(
        self, in_use_s: float, may_use: Callable[[TargetState], bool], now_s: float
    ) -> TargetState | None:
        """Return the first idle target that may be used, if one is needed."""
        if self._needed_counts[in_use_s] <= 0:
            return None
        return next(
            (
                state
                for state in self._idle
                if state.is_idle(in_use_s, now_s)
                and now_s - state.failed_s > self._failed_pause_s
                and may_use(state)
            ),
            None,
        )

    def record_use(self, state: TargetState) -> None:
        """Count a target as used."""
        if state in self._idle:
            self._idle.remove(state)
            for in_use_s in self._needed_counts:
                self._needed_counts[in_use_s] -= 1
