"""What a home would do with a request now, and why, without placing it."""

from collections.abc import Iterable

import msgspec

from ._target_ranking import TargetRanking
from ._target_state import TargetState


class TargetCandidate(msgspec.Struct, kw_only=True):
    """A target as a home sees it when it chooses one for a request.

    :param excluded_by: why the request may not go there now, empty when it may.
    :param failure_percent: probability that the target fails requests now.
    :param work_left_ms: expected rest of the requests that run there, 0 when they are only counted.
    :param slowness: latencies as a multiple of what is expected, 0 when it is not known.
    :param limit_per_s: requests per second that the target takes from the whole fleet, 0 without
        a limit.
    """

    target: str
    data_centre: str
    excluded_by: str
    failure_percent: int
    in_flight_count: int
    slot_count: int
    work_left_ms: int
    slowness: float
    limit_per_s: float


class PlacementPreview(msgspec.Struct, kw_only=True):
    """Decision of a service's home on a request that is not placed.

    :param home: instance that decides.
    :param home_address: address of its metrics listener.
    :param is_decided_here: whether the responding instance is the home; only then the fields below
        are known.
    :param target: target that the request would go to, empty when it would wait or be refused.
    :param refused_by: cause of the refusal, empty when it is not refused.
    :param expected_work_ms: expected work of the request, 0 when requests are only counted.
    :param queued_count: number of requests that wait.
    :param candidates: targets; those that the request may go to come first.
    """

    service: str
    home: str
    home_address: str
    is_decided_here: bool
    target: str = ""
    refused_by: str = ""
    expected_work_ms: int = 0
    queued_count: int = 0
    candidates: list[TargetCandidate] = []


def candidates(
    states: Iterable[TargetState],
    ranking: TargetRanking,
    *,
    requester: str,
    highest_failure_probability: float,
    now_s: float,
) -> list[TargetCandidate]:
    """Describe the targets of a service, those that a request may go to first.

    :param requester: instance that has the request.
    :param highest_failure_probability: bound on the target's failure probability.
    """
    found = []
    for state in states:
        probability = ranking.failure_probability(state.spec.name)
        excluded_by = _exclusion(state, requester, now_s)
        if not excluded_by and probability > highest_failure_probability:
            excluded_by = "likely failing"
        work = state.work
        found.append(
            TargetCandidate(
                target=state.spec.name,
                data_centre=state.spec.data_centre,
                excluded_by=excluded_by,
                failure_percent=round(100 * probability),
                in_flight_count=len(state.in_flight),
                slot_count=state.spec.slot_count,
                work_left_ms=0 if work is None else int(1000 * work.left_s),
                slowness=0.0 if work is None else round(work.slowness, 2),
                limit_per_s=state.limit_per_s,
            )
        )
    return sorted(found, key=lambda entry: (bool(entry.excluded_by), entry.target))


def _exclusion(state: TargetState, requester: str, now_s: float) -> str:
    """Return why a target takes no request of an instance now, empty when it does."""
    if state.is_leaving:
        return "leaving"
    if not state.is_reachable(requester, now_s):
        return "not reached by the instance, or wants a pause"
    if state.limit is not None and not state.limit.has_token(now_s):
        return "limit"
    if len(state.in_flight) >= state.spec.slot_count:
        return "busy"
    if not state.has_room(now_s):
        return "cold" if state.is_cold(now_s) else "sheds requests"
    return ""
