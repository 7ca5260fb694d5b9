"""Which idle target takes a request so that a service uses enough of its targets.

Load pattern: a part of a service's requests is not served, as a workspace is beyond its quota or
some targets fail, and the latest successes draw the rest to few targets. The others may be sound
again by now, but each request that finds out that one still fails is lost. So idle targets that
are believed sound go first, and doubtful ones get only as many requests as are needed to have
the floor's share of the targets in use.
"""

import math
from collections.abc import Callable, Iterable

from ._target_state import TargetState

UNSERVED_SHARE_MAX = 0.08
"""Above this part of requests that are not served, targets must not stay idle; the platform allows
a tenth."""
FLOOR_MARGIN = 0.05
"""Added to the floor, since others may count the targets at slightly other times."""
HEALTHY_FAILURE_PROBABILITY_MAX = 0.3
HEALTHY_IDLE_S = 1.0
IN_USE_WINDOW_S = 1.3
"""A target that got a request within this time is in use; the platform looks at spans of 2 s."""
NON_RETRYABLE_IN_USE_WINDOW_S = 1.6
"""The same for requests that must not be repeated, so that others take the risk first."""
FAILED_PAUSE_S = 3.5
"""A target that failed this short a time ago does not count as one that could be used. The platform
takes it for sound 2 s after it has recovered, and then looks at a span of 2 s."""


def choose_idle_target(
    targets: Iterable[TargetState],
    reachable: list[TargetState],
    *,
    request_failure_probability: Callable[[TargetState], float],
    floor_share: float,
    is_retryable: bool,
    now_s: float,
) -> TargetState | None:
    """Choose a target that has to be used again.

    :param targets: all targets of the service.
    :param reachable: those that have room for the request.
    :param doubt: returns how likely a target fails a request now, from 0 to 1.
    :param floor_share: part of the targets that has to be in use, from 0 to 1.
    :returns: ``None`` when enough targets are in use.
    """
    healthy = [
        state
        for state in reachable
        if state.is_idle(HEALTHY_IDLE_S, now_s)
        and request_failure_probability(state) <= HEALTHY_FAILURE_PROBABILITY_MAX
    ]
    if healthy:
        return min(healthy, key=lambda state: state.latest_start_s)
    usable = [state for state in targets if now_s - state.failed_s > FAILED_PAUSE_S]
    in_use_s = IN_USE_WINDOW_S if is_retryable else NON_RETRYABLE_IN_USE_WINDOW_S
    used_count = sum(now_s - state.latest_start_s <= in_use_s for state in usable)
    if used_count >= math.ceil((floor_share + FLOOR_MARGIN) * len(usable)):
        return None
    idle = [
        state
        for state in reachable
        if state.is_idle(in_use_s, now_s) and now_s - state.failed_s > FAILED_PAUSE_S
    ]
    return min(idle, key=request_failure_probability, default=None)
