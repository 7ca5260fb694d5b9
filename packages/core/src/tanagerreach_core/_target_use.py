"""Choice of idle targets, so that a service has enough of its targets in use.

Load pattern: some of a service's requests are not served, since a workspace exceeds its quota or
targets fail, and placement by the latest successes sends the rest to few targets. The other
targets may have recovered, but a request that is sent to one that still fails is lost. Idle
targets that are likely healthy are therefore chosen first, and the others get only as many requests
as it takes to have the floor's share of the targets in use.
"""

import math
from collections.abc import Callable, Iterable

from ._target_ranking import HEALTHY_FAILURE_PROBABILITY_MAX
from ._target_state import TargetState

# Above this share of requests that are not served, targets must not stay idle; the platform allows
# a tenth.
UNSERVED_SHARE_MAX = 0.08
# Added to the floor, since the platform may count the targets at slightly different times.
FLOOR_MARGIN = 0.05
HEALTHY_IDLE_S = 1.0
# A target that got a request within this time is in use; the platform checks spans of 2 s.
IN_USE_WINDOW_S = 1.3
# The same for requests that are not retryable, so that retryable ones take the risk first.
NON_RETRYABLE_IN_USE_WINDOW_S = 1.6
# A target does not count as usable for this long after a failure. The platform counts it as healthy
# 2 s after it has recovered, and then checks a span of 2 s.
FAILED_PAUSE_S = 3.5


class IdleTargetPlan:
    """Idle targets that the next requests are to use.

    :param targets: all targets of the service.
    :param failure_probability: returns the probability that a target fails a request now.
    :param floor_share: share of the targets that has to be in use, from 0 to 1.
    """

    __slots__ = ("_healthy", "_idle", "_needed_counts")

    def __init__(
        self,
        targets: Iterable[TargetState],
        *,
        failure_probability: Callable[[TargetState], float],
        floor_share: float,
        now_s: float,
    ) -> None:
        states = list(targets)
        self._healthy = sorted(
            (
                state
                for state in states
                if state.is_idle(HEALTHY_IDLE_S, now_s)
                and failure_probability(state) <= HEALTHY_FAILURE_PROBABILITY_MAX
            ),
            key=lambda state: state.latest_start_s,
        )
        usable = [state for state in states if now_s - state.failed_s > FAILED_PAUSE_S]
        least_count = math.ceil((floor_share + FLOOR_MARGIN) * len(usable))
        self._needed_counts = {
            in_use_s: least_count
            - sum(now_s - state.latest_start_s <= in_use_s for state in usable)
            for in_use_s in (IN_USE_WINDOW_S, NON_RETRYABLE_IN_USE_WINDOW_S)
        }
        self._idle = sorted(
            (state for state in usable if state.is_idle(IN_USE_WINDOW_S, now_s)),
            key=failure_probability,
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
                return state
        in_use_s = IN_USE_WINDOW_S if is_retryable else NON_RETRYABLE_IN_USE_WINDOW_S
        if self._needed_counts[in_use_s] <= 0:
            return None
        for state in self._idle:
            if (
                state.is_idle(in_use_s, now_s)
                and now_s - state.failed_s > FAILED_PAUSE_S
                and may_use(state)
            ):
                self._idle.remove(state)
                for window_s in self._needed_counts:
                    self._needed_counts[window_s] -= 1
                return state
        return None
