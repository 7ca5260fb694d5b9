"""Per-service request queues, target selection, and reports to the service homes."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

from gevent.event import AsyncResult, Event
from tanagerreach_core.config import Resolver
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    REPORT_POLL_ID,
    ServiceReply,
    ServiceReport,
    TargetState,
)
from tanagerreach_core.rights import home_slot, service_rendezvous_key
from tanagerreach_core.traffic import (
    ConcurrencyLimit,
    DeficitRoundRobin,
    Outcome,
    Pick,
    QueueRefusal,
    RetryBudget,
    ServiceView,
    Ticket,
    TryTimeout,
)

TICK_S = 0.05
INITIAL_LIMIT = 16.0
# A service without new requests for this long sends no reports. While older requests still run or
# wait, it does: the home detects hanging targets by them, and renews their permits.
ACTIVE_S = 5.0


@dataclass(slots=True, kw_only=True)
class ServiceState:
    """State of one service on this instance.

    :param timed_try_count: tries in flight that have a try timeout.
    """

    name: str
    view: ServiceView
    queue: DeficitRoundRobin
    budget: RetryBudget
    try_timeout: TryTimeout = field(default_factory=TryTimeout)
    timed_try_count: int = 0
    changed: Event = field(default_factory=Event)
    last_request_s: float = float("-inf")
    targets: tuple[object, ...] | None = None

    @property
    def has_requests(self) -> bool:
        """Whether requests of the service are running or queued."""
        return self.queue.limit.running > 0 or len(self.queue) > 0

    def announce_change(self) -> None:
        """Wake the requests that wait for a target.

        Each change gets a new event. If a greenlet sets a gevent event and then waits on it while
        it is still set, the other waiters never wake up, whatever their timeout.
        """
        changed, self.changed = self.changed, Event()
        changed.set()


class ServiceDispatcher:
    """Queues requests per service and selects a target for each.

    :param instance_id: name of this instance.
    :param resolver: returns the resolver of the current configuration.
    :param send: sends a report to a peer's address.
    :param handle_own: handles a report when this instance is the service's home itself.
    """

    __slots__ = (
        "_data_centre",
        "_handle_own",
        "_instance_id",
        "_members",
        "_now_s",
        "_random",
        "_resolver",
        "_send",
        "_services",
        "_slot_count",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        data_centre: str,
        slot_count: int,
        resolver: Callable[[], Resolver],
        members: MemberTable,
        send: Callable[[str, ServiceReport], None],
        handle_own: Callable[[ServiceReport], ServiceReply | None],
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._slot_count = slot_count
        self._resolver = resolver
        self._members = members
        self._send = send
        self._handle_own = handle_own
        self._now_s = now_s
        self._random = random
        self._services: dict[str, ServiceState] = {}

    def state(self, service_name: str) -> ServiceState:
        """Return a service's state, updated to the current configuration."""
        state = self._services.get(service_name)
        if state is None:
            state = ServiceState(
                name=service_name,
                view=ServiceView(service=service_name, data_centre=self._data_centre),
                queue=DeficitRoundRobin(
                    limit=ConcurrencyLimit(initial_limit=self._initial_limit(service_name))
                ),
                budget=RetryBudget(),
            )
            self._services[service_name] = state
        self._configure(state)
        return state

    def _initial_limit(self, service_name: str) -> float:
        """Return the initial concurrency limit: the total slots of the service's targets.

        Each target's own initial cap still applies. With a small initial limit, an instance that
        starts under load spends its time on refusals, which alone slows its requests down, and the
        limit rises too slowly to recover.
        """
        resolver = self._resolver()
        service = resolver.configuration.services.get(service_name)
        if service is None:
            return INITIAL_LIMIT
        target_count = len(resolver.eligible_targets(service_name))
        return max(INITIAL_LIMIT, float(target_count * service.slots_per_target))

    def enter(
        self, state: ServiceState, workspace: str, *, start_by_s: float
    ) -> Ticket | QueueRefusal:
        """Wait in the queue until the request may start; release its ticket with :meth:`leave`."""
        now_s = self._now_s()
        state.last_request_s = now_s
        running = state.queue.start_at_once(workspace, deadline_s=start_by_s, now_s=now_s)
        if running is not None:
            return running
        waiter = AsyncResult()
        ticket = state.queue.offer(workspace, deadline_s=start_by_s, now_s=now_s, context=waiter)
        if ticket.refusal is not None:
            return ticket.refusal
        self._start_queued(state, now_s)
        try:
            waiter.get()
        except BaseException:
            self._cancel_wait(state, ticket)
            raise
        return ticket if ticket.refusal is None else ticket.refusal

    def leave(self, state: ServiceState, ticket: Ticket, outcome: Outcome) -> None:
        """Release a ticket, so that the next queued request can start."""
        now_s = self._now_s()
        state.queue.finished(ticket, outcome, now_s)
        self._start_queued(state, now_s)

    def pick(
        self, state: ServiceState, *, exclude: Collection[str], wait_until_s: float
    ) -> Pick | None:
        """Select a target, waiting until one may take the request.

        :returns: ``None`` when none could by ``wait_until_s``, or all are excluded.
        """
        while True:
            now_s = self._now_s()
            changed = state.changed
            pick = state.view.pick(now_s, self._random, exclude)
            if pick is not None or now_s >= wait_until_s:
                return pick
            if exclude and not self._has_other_target(state, exclude):
                return None
            self._report_if_due(state, now_s)
            if state.changed is changed:
                changed.wait(timeout=min(TICK_S, wait_until_s - now_s))

    def done(
        self, state: ServiceState, pick: Pick, outcome: Outcome, latency_s: float | None = None
    ) -> None:
        """Record the outcome of a try."""
        state.view.done(pick, outcome, self._now_s(), latency_s)
        state.announce_change()

    def has_other_warm_target(self, state: ServiceState, target: str) -> bool:
        """Return whether a warm target other than the given one exists."""
        now_s = self._now_s()
        return any(
            other.name != target and state.view.state_of(other.name, now_s) is TargetState.WARM
            for other in state.targets or ()
        )

    def handle_reply(self, reply: ServiceReply) -> None:
        """Apply a home's verdicts, or send the report that it polls for."""
        state = self._services.get(reply.service)
        if state is None:
            return
        now_s = self._now_s()
        if reply.request_id == REPORT_POLL_ID:
            state.view.apply(reply, now_s)
            self._report_if_due(state, now_s)
        elif state.view.apply(reply, now_s):
            state.announce_change()

    def tick(self) -> None:
        """Send due reports, and refuse queued requests that are past their deadline."""
        now_s = self._now_s()
        for state in list(self._services.values()):
            if now_s - state.last_request_s > ACTIVE_S and not state.has_requests:
                continue
            self._configure(state)
            self._report_if_due(state, now_s)
            self._start_queued(state, now_s)

    def target_states(self) -> dict[str, dict[str, str]]:
        """Return the target states of the services that this instance has used."""
        now_s = self._now_s()
        states = {}
        for name, state in self._services.items():
            self._configure(state)
            states[name] = {
                target.name: state.view.state_of(target.name, now_s).name.lower()
                for target in state.targets or ()
            }
        return states

    def _configure(self, state: ServiceState) -> None:
        resolver = self._resolver()
        targets = resolver.eligible_targets(state.name)
        if targets is state.targets:
            return
        state.targets = targets
        service = resolver.configuration.services.get(state.name)
        slot_count = 1 if service is None else service.slots_per_target
        state.view.configure([target.name for target in targets], slot_count)
        state.announce_change()

    def _has_other_target(self, state: ServiceState, exclude: Collection[str]) -> bool:
        return any(target.name not in exclude for target in state.targets or ())

    def _start_queued(self, state: ServiceState, now_s: float) -> None:
        while (ticket := state.queue.next(now_s)) is not None:
            ticket.context.set(True)
        for ticket in state.queue.take_refused(now_s):
            ticket.context.set(False)

    def _cancel_wait(self, state: ServiceState, ticket: Ticket) -> None:
        state.queue.cancel(ticket)
        self.leave(state, ticket, Outcome.CANCELLED)

    def _report_if_due(self, state: ServiceState, now_s: float) -> None:
        report = state.view.due_report(now_s)
        if report is None:
            return
        candidates = self._members.candidates(now_s)
        if not candidates:
            return
        slot = home_slot(service_rendezvous_key(state.name), candidates, self._slot_count)
        holder = self._members.holder_of(slot, now_s)
        if holder is None:
            return
        if holder.instance_id != self._instance_id:
            self._send(holder.peer_address, report)
            return
        reply = self._handle_own(report)
        if reply is not None:
            self.handle_reply(reply)
