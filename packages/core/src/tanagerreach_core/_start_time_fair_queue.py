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
    order_key: tuple[int, float, int] = field(default=(0, 0.0, 0))


class StartTimeFairQueue:
    """Requests in the order in which they get places."""

    __slots__ = ("_arrival_count", "_finish_tags", "_queue", "_virtual_time")

    def __init__(self) -> None:
        self._queue: list[WaitingRequest] = []
        self._finish_tags: dict[tuple[int, str], float] = {}
        self._virtual_time = 0.0
        self._arrival_count = 0

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._queue))

    def add(self, request: WaitingRequest) -> None:
        """Put a request in its place in the line."""
        flow = (request.placement_request.priority, request.placement_request.workspace)
        start = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = start + 1.0
        self._arrival_count += 1
        request.order_key = (request.placement_request.priority, start, self._arrival_count)
        bisect.insort(self._queue, request, key=lambda entry: entry.order_key)

    def remove(self, request: WaitingRequest, *, is_served: bool) -> None:
        """Take a request out of the line."""
        self._queue.remove(request)
        if is_served:
            self._virtual_time = max(self._virtual_time, request.order_key[1])
        if not self._queue:
            self._finish_tags.clear()

    def count_ahead_of(self, priority: int, workspace: str) -> int:
        """Count the waiting requests that a new one would let go first."""
        start = max(self._virtual_time, self._finish_tags.get((priority, workspace), 0.0))
        return bisect.bisect_right(
            self._queue,
            (priority, start, self._arrival_count + 1),
            key=lambda entry: entry.order_key,
        )
