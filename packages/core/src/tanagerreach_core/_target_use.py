"""Choice of an idle target, so that a service has enough of its targets in use.

Load pattern: some of a service's requests are not served, since a workspace exceeds its quota or
targets fail, and placement by the latest successes sends the rest to few targets. The other
targets may have recovered, but a request that is sent to one that still fails is lost. Idle
targets that are likely healthy are therefore chosen first, and the others get only as many requests
as it takes to have the floor's share of the targets in use.
"""

import math
from collections.abc import Callable, Iterable

from ._target_state import TargetState

# Above this share of requests that are not served, targets must not stay idle; the platform allows
# a tenth.
UNSERVED_SHARE_MAX = 0.08
# Added to the floor, since the platform may count the targets at slightly different times.
FLOOR_MARGIN = 0.05
HEALTHY_FAILURE_PROBABILITY_MAX = 0.3
HEALTHY_IDLE_S = 1.0
# A target that got a request within this time is in use; the platform checks spans of 2 s.
IN_USE_WINDOW_S = 1.3
# The same for requests that are not retryable, so that retryable ones take the risk first.
NON_RETRYABLE_IN_USE_WINDOW_S = 1.6
# A target does not count as usable for this long after a failure. The platform counts it as healthy
# 2 s after it has recovered, and then checks a span of 2 s.
FAILED_PAUSE_S = 3.5


def choose_idle_target(
    targets: Iterable[TargetState],
    reachable: list[TargetState],
    *,
    request_failure_probability: Callable[[TargetState], float],
    floor_share: float,
    is_retryable: bool,
    now_s: float,
) -> TargetState | None:
    """Choose an idle target for a request.

    :param targets: all targets of the service.
    :param reachable: the targets that may get the request now.
    :param request_failure_probability: returns the probability that a target fails a request now.
    :param floor_share: share of the targets that has to be in use, from 0 to 1.
    :returns: the target, or ``None`` when enough targets are in use.
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
