"""Queue of the requests that wait for a target of one service.

Load pattern: more requests arrive than the targets can run, most of them from one workspace, and
requests whose callers wait for half a second share the targets with uploads that may take seconds.
The more urgent priority is served first, and within it the more urgent route. Within these,
start-time fair queueing shares the targets among the workspaces, so that only a workspace that
sends more than its share waits longer. A request that comes back too late for its objective waits
until no other of its priority does.
"""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._class_load import Rank
from ._placement_messages import PlacementRequest


@dataclass(slots=True, kw_only=True, eq=False)
class WaitingRequest:
    """A request that is queued or placed.

    :param key: instance that sent the request, and its call id.
    :param deadline_s: time by which the caller needs the response.
    :param objective_s: time by which a response meets the latency objective.
    :param is_overdue: whether it comes back too late to meet its latency objective.
    :param order_key: rank, virtual start time and number of arrival.
    """

    key: tuple[str, int]
    placement_request: PlacementRequest
    arrived_s: float
    deadline_s: float
    objective_s: float
    is_overdue: bool = False
    order_key: tuple[Rank, float, int] = field(default=((0, False, 0), 0.0, 0))

    @property
    def rank(self) -> Rank:
        """Rank in the queue."""
        placement_request = self.placement_request
        return (placement_request.priority, self.is_overdue, placement_request.urgency)


class StartTimeFairQueue:
    """Queued requests in the order in which they are placed."""

    __slots__ = ("_arrival_count", "_finish_tags", "_queue", "_virtual_time")

    def __init__(self) -> None:
        self._queue: list[WaitingRequest] = []
        self._finish_tags: dict[tuple[Rank, str], float] = {}
        self._virtual_time = 0.0
        self._arrival_count = 0

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._queue))

    def add(self, request: WaitingRequest) -> None:
        """Insert a request by its priority, its urgency and its virtual start time."""
        self._arrival_count += 1
        request.order_key = self._order_key(request)
        self._finish_tags[_flow(request)] = request.order_key[1] + 1.0
        bisect.insort(self._queue, request, key=lambda entry: entry.order_key)

    def remove(self, request: WaitingRequest, *, is_served: bool) -> None:
        """Remove a request, and advance the virtual time if it was placed."""
        self._queue.remove(request)
        if is_served:
            self._virtual_time = max(self._virtual_time, request.order_key[1])
        if not self._queue:
            self._finish_tags.clear()

    def ahead_of(self, request: WaitingRequest) -> list[WaitingRequest]:
        """Return the queued requests that would be placed before a new one."""
        number = bisect.bisect_right(
            self._queue, self._order_key(request), key=lambda entry: entry.order_key
        )
        return self._queue[:number]

    def _order_key(self, request: WaitingRequest) -> tuple[Rank, float, int]:
        start = max(self._virtual_time, self._finish_tags.get(_flow(request), 0.0))
        return (request.rank, start, self._arrival_count)


def _flow(request: WaitingRequest) -> tuple[Rank, str]:
    return (request.rank, request.placement_request.workspace)
