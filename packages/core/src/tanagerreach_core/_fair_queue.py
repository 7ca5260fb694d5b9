"""Fair queue of one service's requests at one instance, and its concurrency limit."""

import heapq
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ._outcomes import Outcome

TIMEOUT_WEIGHT = 0.05
# A smaller share of timeouts comes from single targets rather than from overload.
OVERLOAD_RATIO = 0.2
QUANTUM = 1.0
COMPACTION_SLACK = 32
MAX_QUEUED_PER_WORKSPACE = 200
MAX_QUEUED_TOTAL = 2000
SERVICE_TIME_WEIGHT = 0.05
INITIAL_SERVICE_TIME_S = 0.02
INITIAL_LIMIT = 16.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1000.0
DECREASE_FACTOR = 0.8
# One decrease covers the overload signals of all requests that were sent before it took effect.
DECREASE_PAUSE_S = 0.1


class QueueRefusal(Enum):
    """Why a request that was never sent is refused."""

    WAIT_TOO_LONG = "wait-too-long"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"


class TicketState(Enum):
    """Stage of a request."""

    QUEUED = 0
    RUNNING = 1
    ENDED = 2


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """A queued or running request; ``context`` is not used by the queue."""

    workspace: str
    deadline_s: float
    offered_at_s: float
    cost: float = 1.0
    context: Any = None
    state: TicketState = TicketState.QUEUED
    started_at_s: float = 0.0
    refusal: QueueRefusal | None = None


class ConcurrencyLimit:
    """Adaptive limit on a service's concurrent requests from this instance (AIMD).

    Additive increase with multiplicative decrease is used rather than a latency gradient, because
    targets signal explicitly when they are full (load shedding), while latency also changes with
    the mix of requests and with a single slow target, which a gradient would take for congestion.
    """

    __slots__ = ("_decreased_at_s", "_limit", "_running", "_timeout_ratio")

    def __init__(self, *, initial_limit: float = INITIAL_LIMIT) -> None:
        self._limit = initial_limit
        self._running = 0
        self._timeout_ratio = 0.0
        self._decreased_at_s = float("-inf")

    @property
    def limit(self) -> int:
        """Number of concurrent requests allowed at present."""
        return int(self._limit)

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    @property
    def has_room(self) -> bool:
        """Whether another request may start."""
        return self._running < self.limit

    def start(self) -> None:
        """Count a request that starts."""
        self._running += 1

    def finish(self, outcome: Outcome, now_s: float) -> None:
        """Count a request that ended, and adapt the limit."""
        was_full = self._running >= self.limit
        self._running -= 1
        timed_out = outcome is Outcome.TIMEOUT
        self._timeout_ratio += TIMEOUT_WEIGHT * (timed_out - self._timeout_ratio)
        if outcome is Outcome.SHED or (timed_out and self._timeout_ratio > OVERLOAD_RATIO):
            if now_s - self._decreased_at_s >= DECREASE_PAUSE_S:
                self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
                self._decreased_at_s = now_s
        elif outcome is Outcome.SUCCESS and was_full:
            self._limit = min(MAX_LIMIT, self._limit + 1 / self._limit)


@dataclass(slots=True)
class _WorkspaceQueue:
    tickets: deque[Ticket] = field(default_factory=deque)
    waiting: int = 0
    deficit: float = 0.0


class DeficitRoundRobin:
    """Queues of one service by workspace, served by deficit round robin.

    Nothing blocks: a request starts with :meth:`start_at_once`, or waits after :meth:`offer`. After
    each call of :meth:`offer` and :meth:`finished`, call :meth:`next` until it returns ``None`` and
    start the request of each ticket it returned; then refuse the requests of the tickets that
    :meth:`take_refused` returns.

    :param limit: the service's concurrency limit.
    """

    def __init__(
        self,
        *,
        limit: ConcurrencyLimit,
        max_queued_per_workspace: int = MAX_QUEUED_PER_WORKSPACE,
        max_queued_total: int = MAX_QUEUED_TOTAL,
    ) -> None:
        self.limit = limit
        self._max_per_workspace = max_queued_per_workspace
        self._max_total = max_queued_total
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._round: deque[str] = deque()
        self._waiting = 0
        self._refused: list[Ticket] = []
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._offer_count = 0
        self._service_time_s = INITIAL_SERVICE_TIME_S

    def __len__(self) -> int:
        return self._waiting

    def start_at_once(self, workspace: str, *, deadline_s: float, now_s: float) -> Ticket | None:
        """Start a request without queueing it, if none is queued and the limit has room.

        The order is that of :meth:`offer` followed by :meth:`next`.

        :param deadline_s: the time by which the request must have started.
        :returns: the running ticket, or ``None`` when the request has to be offered.
        """
        if self._waiting or now_s >= deadline_s or not self.limit.has_room:
            return None
        self.limit.start()
        return Ticket(
            workspace=workspace,
            deadline_s=deadline_s,
            offered_at_s=now_s,
            state=TicketState.RUNNING,
            started_at_s=now_s,
        )

    def offer(
        self,
        workspace: str,
        *,
        deadline_s: float,
        now_s: float,
        cost: float = 1.0,
        context: Any = None,
    ) -> Ticket:
        """Queue a request.

        :param deadline_s: the time by which the request must have started.
        :param cost: share of the workspace's turn that the request takes.
        :returns: the ticket; its ``refusal`` is set if the request was refused at once.
        """
        ticket = Ticket(
            workspace=workspace,
            deadline_s=deadline_s,
            offered_at_s=now_s,
            cost=cost,
            context=context,
        )
        queue = self._queues.get(workspace)
        waiting = queue.waiting if queue else 0
        if now_s >= deadline_s:
            return self._refuse(ticket, QueueRefusal.DEADLINE)
        if waiting >= self._max_per_workspace:
            return self._refuse(ticket, QueueRefusal.QUEUE_FULL)
        if now_s + self.expected_wait_s(workspace) > deadline_s:
            return self._refuse(ticket, QueueRefusal.WAIT_TOO_LONG)
        if self._waiting >= self._max_total and not self._displace(waiting):
            return self._refuse(ticket, QueueRefusal.QUEUE_FULL)
        self._append(ticket)
        return ticket

    def next(self, now_s: float) -> Ticket | None:
        """Return the next request to start, or ``None`` when there is none or no room.

        The request counts against the limit until :meth:`finished` is called for it.
        """
        while self.limit.has_room and self._round:
            ticket = self._take_turn(now_s)
            if ticket is not None:
                ticket.state = TicketState.RUNNING
                ticket.started_at_s = now_s
                self.limit.start()
                return ticket
        return None

    def finished(self, ticket: Ticket, outcome: Outcome, now_s: float) -> None:
        """Record the end of a request that :meth:`next` returned; later calls are ignored."""
        if ticket.state is not TicketState.RUNNING:
            return
        ticket.state = TicketState.ENDED
        self.limit.finish(outcome, now_s)
        if outcome in (Outcome.SUCCESS, Outcome.ERROR, Outcome.TIMEOUT):
            took_s = now_s - ticket.started_at_s
            self._service_time_s += SERVICE_TIME_WEIGHT * (took_s - self._service_time_s)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a queued request whose caller disconnected."""
        if ticket.state is TicketState.QUEUED and ticket.refusal is None:
            self._remove(ticket)

    def take_refused(self, now_s: float) -> list[Ticket]:
        """Return queued requests that were refused: past their deadline, or displaced."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            ticket = heapq.heappop(self._deadlines)[2]
            self._drop(ticket, QueueRefusal.DEADLINE)
        refused, self._refused = self._refused, []
        return refused

    def expected_wait_s(self, workspace: str) -> float:
        """Estimate how long a request offered now would wait for its turn."""
        if self.limit.has_room and not self._waiting:
            return 0.0
        queue = self._queues.get(workspace)
        own = queue.waiting if queue else 0
        ahead = sum(min(other.waiting, own + 1) for other in self._queues.values())
        return (ahead + 1) * self._service_time_s / max(1, self.limit.limit)

    @staticmethod
    def _refuse(ticket: Ticket, cause: QueueRefusal) -> Ticket:
        ticket.refusal = cause
        ticket.state = TicketState.ENDED
        return ticket

    def _append(self, ticket: Ticket) -> None:
        queue = self._queues.get(ticket.workspace)
        if queue is None:
            queue = self._queues[ticket.workspace] = _WorkspaceQueue()
            self._round.append(ticket.workspace)
        queue.tickets.append(ticket)
        self._offer_count += 1
        heapq.heappush(self._deadlines, (ticket.deadline_s, self._offer_count, ticket))
        queue.waiting += 1
        self._waiting += 1

    def _take_turn(self, now_s: float) -> Ticket | None:
        """Return the first queue's next ticket, or rotate the round."""
        workspace = self._round[0]
        queue = self._queues[workspace]
        for ticket in self._skip_ended(queue, now_s):
            if queue.deficit < ticket.cost:
                queue.deficit += QUANTUM
                self._round.rotate(-1)
                return None
            queue.deficit -= ticket.cost
            queue.tickets.popleft()
            queue.waiting -= 1
            self._waiting -= 1
            return ticket
        self._round.popleft()
        del self._queues[workspace]
        return None

    def _skip_ended(self, queue: _WorkspaceQueue, now_s: float) -> Iterator[Ticket]:
        """Yield the first ticket that is still queued, after dropping those before it."""
        while queue.tickets:
            ticket = queue.tickets[0]
            if ticket.state is TicketState.QUEUED and ticket.deadline_s > now_s:
                yield ticket
                return
            queue.tickets.popleft()
            self._drop(ticket, QueueRefusal.DEADLINE)

    def _drop(self, ticket: Ticket, cause: QueueRefusal) -> None:
        if ticket.state is TicketState.QUEUED:
            self._remove(ticket)
            self._refuse(ticket, cause)
            self._refused.append(ticket)

    def _remove(self, ticket: Ticket) -> None:
        """Remove a ticket from the counts; its queue is compacted from time to time."""
        queue = self._queues[ticket.workspace]
        ticket.state = TicketState.ENDED
        queue.waiting -= 1
        self._waiting -= 1
        if len(queue.tickets) > 2 * queue.waiting + COMPACTION_SLACK:
            live = (entry for entry in queue.tickets if entry.state is TicketState.QUEUED)
            queue.tickets = deque(live)

    def _displace(self, waiting: int) -> bool:
        """Refuse the newest request of the longest queue, to make room for a shorter one.

        :param waiting: length of the queue of the workspace that offers a request.
        :returns: whether there is room now.
        """
        longest = max(self._queues.values(), key=lambda queue: queue.waiting)
        if longest.waiting <= waiting + 1:
            return False
        for ticket in reversed(longest.tickets):
            if ticket.state is TicketState.QUEUED:
                self._drop(ticket, QueueRefusal.QUEUE_FULL)
                return True
        return False
