"""Order of the requests that wait for a target of one service.

Load pattern: more requests arrive than the targets take, most of them of one workspace. The more
urgent priority goes first. Within a priority each workspace gets its turn (start-time fair
queueing), so that a workspace which sends more waits longer, and nobody else does.
"""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._placement_messages import PlacementRequest


@dataclass(slots=True, kw_only=True, eq=False)
class WaitingRequest:
    """One request of an instance that waits for a place, or has one.

    :param key: the asking instance and its question's id.
    :param deadline_s: time by which it has to be answered.
    :param objective_s: time by which an answer earns its full value.
    """

    key: tuple[str, int]
    placement_request: PlacementRequest
    arrived_s: float
    deadline_s: float
    objective_s: float
    rank: tuple[int, float, int] = field(default=(0, 0.0, 0))


class StartTimeFairQueue:
    """Requests in the order in which they get places."""

    __slots__ = ("_arrivals", "_finish", "_line", "_virtual_time")

    def __init__(self) -> None:
        self._line: list[WaitingRequest] = []
        self._finish: dict[tuple[int, str], float] = {}
        self._virtual_time = 0.0
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._line)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._line))

    def add(self, request: WaitingRequest) -> None:
        """Put a request in its place in the line."""
        flow = (request.placement_request.priority, request.placement_request.workspace)
        start = max(self._virtual_time, self._finish.get(flow, 0.0))
        self._finish[flow] = start + 1.0
        self._arrivals += 1
        request.rank = (request.placement_request.priority, start, self._arrivals)
        bisect.insort(self._line, request, key=lambda entry: entry.rank)

    def remove(self, request: WaitingRequest, *, is_served: bool) -> None:
        """Take a request out of the line."""
        self._line.remove(request)
        if is_served:
            self._virtual_time = max(self._virtual_time, request.rank[1])
        if not self._line:
            self._finish.clear()

    def ahead_of(self, priority: int, workspace: str) -> int:
        """Count the waiting requests that a new one would let go first."""
        start = max(self._virtual_time, self._finish.get((priority, workspace), 0.0))
        return bisect.bisect_right(
            self._line, (priority, start, self._arrivals + 1), key=lambda entry: entry.rank
        )
