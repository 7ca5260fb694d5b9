"""Queue of the requests that wait for a target of one service.

Load pattern: more requests arrive than the targets can run, most of them from one workspace. The
more urgent priority is served first. Within a priority, start-time fair queueing shares the targets
among the workspaces, so that only a workspace that sends more than its share waits longer.
"""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._placement_messages import PlacementRequest


@dataclass(slots=True, kw_only=True, eq=False)
class WaitingRequest:
    """A request that is queued or placed.

    :param key: instance that sent the request, and its call id.
    :param deadline_s: time by which the caller needs the response.
    :param objective_s: time by which a response meets the latency objective.
    :param order_key: priority, virtual start time and number of arrival.
    """

    key: tuple[str, int]
    placement_request: PlacementRequest
    arrived_s: float
    deadline_s: float
    objective_s: float
    order_key: tuple[int, float, int] = field(default=(0, 0.0, 0))


class StartTimeFairQueue:
    """Queued requests in the order in which they are placed."""

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
        """Insert a request by its priority and its virtual start time."""
        flow = (request.placement_request.priority, request.placement_request.workspace)
        start = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = start + 1.0
        self._arrival_count += 1
        request.order_key = (request.placement_request.priority, start, self._arrival_count)
        bisect.insort(self._queue, request, key=lambda entry: entry.order_key)

    def remove(self, request: WaitingRequest, *, is_served: bool) -> None:
        """Remove a request, and advance the virtual time if it was placed."""
        self._queue.remove(request)
        if is_served:
            self._virtual_time = max(self._virtual_time, request.order_key[1])
        if not self._queue:
            self._finish_tags.clear()

    def count_ahead_of(self, priority: int, workspace: str) -> int:
        """Return how many queued requests would be placed before a new one."""
        start = max(self._virtual_time, self._finish_tags.get((priority, workspace), 0.0))
        return bisect.bisect_right(
            self._queue,
            (priority, start, self._arrival_count + 1),
            key=lambda entry: entry.order_key,
        )
