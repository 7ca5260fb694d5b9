"""Simulation of several instances in one process that injects faults and checks the rights.

One seeded generator produces time, faults and messages, so a run is reproducible. The clocks drift
more than in production, which exposes a missing drift margin.
"""

import heapq
import math
import random
from collections import defaultdict, deque

import msgspec
from tanagerreach_core._cold_start import EARLIER_PERMITS_S
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    ClaimReply,
    ClaimRequest,
    Exchange,
    InstanceIncarnation,
    Loan,
    MemberRecord,
    MemberState,
    SlotSet,
    TokenReply,
    TokenRequest,
)
from tanagerreach_core.rights import (
    ClaimBallot,
    ClaimOutcome,
    ClaimTable,
    HeldLoans,
    LoanLedger,
    SlotLoans,
    TokenCache,
    TokenHome,
    WorkspaceLimit,
    capacity,
    workspace_rendezvous_key,
)

MARGIN = 0.05
CLOCK_DRIFT_MAX = 0.024
SLOT_COUNT = 8
INSTANCE_COUNT = 5
INTERVAL_S = 2.0
LEASE_S = 40.0
WAIT_S = 0.5
RETENTION_S = 60.0
# How long rights that a home issued on exclusive loans may be in use, in simulated true time.
EXCLUSIVE_USE_S = EARLIER_PERMITS_S * (1 - CLOCK_DRIFT_MAX) - 0.2
BALLOT_S = 3.0
FAULT_KINDS = ("kill", "freeze", "freeze", "cut", "heal", "drain", "hang", "store")
MOVE_FAULT_KINDS = (*FAULT_KINDS, "move", "move", "move", "move")
LIMITS = {"a": (40.0, 10.0), "b": (0.5, 1.0), "c": (6.0, 1.5), "d": (2.0, 60.0), "e": (90.0, 6.0)}
RENDEZVOUS_KEYS = [workspace_rendezvous_key(name) for name in LIMITS]


class ViolationError(AssertionError):
    """Raised when an invariant does not hold."""


class Instance:
    """One instance, which calls the core's classes in the order in which a daemon does."""

    def __init__(self, fleet: "Fleet", number: int, incarnation: int) -> None:
        self.fleet = fleet
        self.number = number
        self.borrower = InstanceIncarnation(instance_id=str(number), incarnation=incarnation)
        self.drift = fleet.random.uniform(-CLOCK_DRIFT_MAX, CLOCK_DRIFT_MAX)
        self.offset = fleet.random.uniform(1, 1e6)
        self.ledger = LoanLedger(drift_margin_ratio=MARGIN, slot_count=SLOT_COUNT)
        self.held = fleet.held_type(slot_count=SLOT_COUNT, drift_margin_ratio=fleet.margin)
        self.home = TokenHome(
            held=self.held,
            limit_of=fleet.limits.get,
            random=fleet.random,
            drift_margin_ratio=MARGIN,
        )
        self.cache = TokenCache(
            slot_count=SLOT_COUNT, random=fleet.random, drift_margin_ratio=MARGIN
        )
        own = MemberRecord(
            instance_id=str(number),
            incarnation=incarnation,
            peer_address=str(number),
            data_centre="",
            slots=SlotSet(),
        )
        self.members = MemberTable(own=own)
        for peer in range(INSTANCE_COUNT):
            self.members.learn(self._unheard(peer), self.now())
        self.leases: dict[int, float] = {}
        self.home_since_s: dict[int, float] = {}
        self.returned_homes = SlotSet()
        self.tables: dict[int, ClaimTable] = {}
        self.sequence = fleet.random.getrandbits(40)
        self.sent_s: dict[int, float] = {}
        self.last_exchanges: dict[str, tuple[InstanceIncarnation, Exchange]] = {}
        self.ballots: dict[bytes, ClaimBallot] = {}
        self.frozen_until = 0.0
        self.store_cut_until = 0.0
        self.draining = False
        self.next_token_request_s = math.inf
        self.waiting: dict[str, deque[object]] = defaultdict(deque)

    @staticmethod
    def _unheard(peer: int) -> MemberRecord:
        return MemberRecord(
            instance_id=str(peer),
            incarnation=-1,
            peer_address=str(peer),
            data_centre="",
            slots=SlotSet(),
        )

    def now(self) -> float:
        """Return the time of this instance's clock."""
        return self.offset + self.fleet.time * (1 + self.drift)

    def tick(self) -> None:
        """Exchange with all peers, and renew leases."""
        self.home.drop_idle(self.now())
        for peer in range(INSTANCE_COUNT):
            self.exchange(str(peer))
        if self.draining and self.held.may_return(self.now()):
            self.fleet.hand_over(self)
        # The leases come last, so that a process that resumes after a freeze lends before it checks
        # whether they have ended.
        self.fleet.keep_slots(self)

    def exchange(self, peer: str, pushed: bool = False) -> None:
        """Send an exchange, with a loan in reply to the peer's last one."""
        now_s = self.now()
        if peer == self.borrower.instance_id:
            loan = self.ledger.grant(
                self.borrower, SlotSet(self.leases), self.members.candidates(now_s), now_s
            )
            if loan is not None:
                self.held.record(loan, now_s, now_s)
                self.fleet.loans_changed = True
            return
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        message = Exchange(
            sequence=self.sequence,
            peer_address=self.borrower.instance_id,
            slots=SlotSet(self.leases),
            state=MemberState.DRAINING if self.draining else MemberState.LIVE,
            returns_loans=self.held.may_return(now_s),
            returned_homes=self.returned_homes - SlotSet(self.leases),
        )
        if peer in self.last_exchanges:
            borrower, last = self.last_exchanges[peer]
            candidates = self.members.candidates(now_s)
            message.echo_sequence = last.sequence
            message.loan = self.ledger.grant(borrower, last.slots, candidates, now_s)
            at_s = self.ledger.blocked_until_s(borrower, last.slots, candidates, now_s)
            if at_s > now_s and not pushed:
                delay_s = (at_s - now_s) / (1 + self.drift)
                self.fleet.after(delay_s + 1e-6, self, lambda: self.exchange(peer, True))
        self.fleet.send(self, peer, message)

    def receive(self, sender: InstanceIncarnation, message: object) -> None:
        """Handle one message."""
        now_s = self.now()
        if isinstance(message, Exchange):
            self.receive_exchange(sender, message, now_s)
        elif isinstance(message, TokenRequest):
            reply = self.home.handle(message, sender.instance_id, now_s)
            self.fleet.check_grants(self, message.home_slot, reply)
            self.fleet.send(self, sender.instance_id, reply)
        elif isinstance(message, TokenReply):
            self.receive_tokens(message, now_s)
        elif isinstance(message, ClaimRequest):
            self.vote(sender, message, now_s)
        elif isinstance(message, ClaimReply):
            for ballot in self.ballots.values():
                if ballot.claimant == b"%d" % message.request_id:
                    before = ballot.outcome(now_s)
                    after = ballot.record(message.votes, now_s)
                    if before is ClaimOutcome.PENDING and after is ClaimOutcome.GRANTED:
                        self.fleet.record_granted(self, ballot)

    def receive_tokens(self, message: TokenReply, now_s: float) -> None:
        """Admit waiting requests."""
        for workspace in self.cache.record(message, now_s):
            while self.cache.take_waiting(workspace, now_s):
                self.waiting[workspace].popleft()
                self.fleet.use_token(workspace)
        self.send_token_requests()

    def receive_exchange(
        self, sender: InstanceIncarnation, message: Exchange, now_s: float
    ) -> None:
        """Process the returned loans, the loan and the members of an exchange."""
        if message.returns_loans and self.ledger.return_all(sender):
            for peer in list(self.last_exchanges):
                self.exchange(peer, pushed=True)
        if message.loan is not None and message.echo_sequence in self.sent_s:
            requested_at_s = self.sent_s[message.echo_sequence]
            loan = self.fleet.usable_loan(self, message.loan, requested_at_s)
            self.held.record(loan, requested_at_s, now_s)
            self.fleet.loans_changed = True
        if self.members.observe(sender, message, now_s):
            self.last_exchanges[sender.instance_id] = (sender, message)
            if self.ledger.return_homes(sender, message.returned_homes):
                for peer in list(self.last_exchanges):
                    self.exchange(peer, pushed=True)

    def request(self, workspace: str) -> None:
        """Admit one request, or queue it."""
        if self.cache.take(workspace, self.now()):
            self.fleet.use_token(workspace)
        else:
            self.cache.wait(workspace, self.now())
            waiter = object()
            self.waiting[workspace].append(waiter)
            self.fleet.after(WAIT_S, self, lambda: self.refuse(workspace, waiter))
        self.send_token_requests()

    def refuse(self, workspace: str, waiter: object) -> None:
        """Refuse a request that has waited too long."""
        if waiter in self.waiting[workspace]:
            self.waiting[workspace].remove(waiter)
            self.cache.stop_waiting(workspace)

    def send_token_requests(self) -> None:
        """Send the token requests that are due, and set a timer for the next ones."""
        now_s = self.now()
        for request in self.cache.due_requests(self.members.candidates(now_s), now_s):
            holder = self.members.holder_of(request.home_slot, now_s)
            if holder is not None:
                self.fleet.send(self, holder.instance_id, request)
        due_s = max(self.cache.next_due_s(), now_s + 0.005)
        if due_s < self.next_token_request_s or self.next_token_request_s <= now_s:
            self.next_token_request_s = due_s
            delay_s = (due_s - now_s) / (1 + self.drift)
            self.fleet.after(delay_s + 1e-6, self, lambda: self.send_token_requests_if_due(due_s))

    def send_token_requests_if_due(self, due_s: float) -> None:
        """Send token requests unless an earlier timer has done so."""
        if due_s == self.next_token_request_s:
            self.next_token_request_s = math.inf
            self.send_token_requests()

    def claim(self, claim_key: bytes) -> None:
        """Send the claim of one try of a non-idempotent request."""
        number = self.fleet.next_claimant()
        ballot = ClaimBallot(
            claim_key=claim_key,
            claimant=b"%d" % number,
            slot_count=SLOT_COUNT,
            started_s=self.now(),
            ballot_max_s=BALLOT_S,
            majority=self.fleet.majority,
        )
        self.ballots[ballot.claimant] = ballot
        self.send_claim(ballot, release=False)
        self.fleet.after(0.2, self, lambda: self.send_claim(ballot, release=False))

    def send_claim(self, ballot: ClaimBallot, release: bool) -> None:
        """Send the claim, or its release, to all holders."""
        slots = ballot.slots if release else ballot.missing_slots()
        message = ClaimRequest(
            request_id=int(ballot.claimant),
            claim_key=ballot.claim_key,
            claimant=ballot.claimant,
            slots=SlotSet(slots),
            release=release,
        )
        for peer in range(INSTANCE_COUNT):
            self.fleet.send(self, str(peer), message)

    def vote(self, sender: InstanceIncarnation, message: ClaimRequest, now_s: float) -> None:
        """Vote for the claim slots that the instance holds."""
        tables = [self.tables[slot] for slot in message.slots if slot in self.tables]
        if message.release:
            for table in tables:
                table.release(message.claim_key, message.claimant, now_s)
            return
        votes = {
            table.slot: table.vote(message.claim_key, message.claimant, now_s) for table in tables
        }
        reply = ClaimReply(request_id=message.request_id, votes=votes)
        self.fleet.send(self, sender.instance_id, reply)


class Fleet:
    """Instances, their network and the store's slot leases, on one simulated timeline."""

    instance_type = Instance

    def __init__(
        self,
        seed: int,
        *,
        held_type: type[HeldLoans] = HeldLoans,
        margin: float = MARGIN,
        majority: int = 3,
        never_held: bool = False,
        closes_homes: bool = True,
        faults: bool = True,
        request_rate_per_s: float = 70.0,
        claim_rate_per_s: float = 2.0,
        weights: tuple[int, ...] = (3, 1, 2, 2, 4),
        fault_kinds: tuple[str, ...] = FAULT_KINDS,
    ) -> None:
        self.fault_kinds = fault_kinds
        self.weights = weights
        self.faults = faults
        self.request_rate_per_s = request_rate_per_s
        self.claim_rate_per_s = claim_rate_per_s
        self.random = random.Random(seed)
        self.held_type = held_type
        self.margin = margin
        self.majority = majority
        self.never_held = never_held
        self.closes_homes = closes_homes
        self.limits = dict(LIMITS)
        self.time = 0.0
        self.events: list[tuple[float, int, object]] = []
        self.event_count = 0
        self.used: dict[str, tuple[float, float]] = {}
        self.counts: dict[str, int] = defaultdict(int)
        self.loans_changed = False
        # Time at which each incarnation last held each rendezvous key exclusively.
        self.exclusive_at_s: dict[tuple[bytes, InstanceIncarnation], float] = {}
        self.sole_issuer_count = 0
        self.offered: dict[str, int] = defaultdict(int)
        self.granted: dict[bytes, float] = {}
        self.claimant = 0
        # The store's view of a slot: holder, end of its lease, revision of the lease.
        self.slots = {slot: (None, 0.0, 0) for slot in range(SLOT_COUNT)}
        self.cuts: set[tuple[int, int]] = set()
        self.slow_until = 0.0
        self.instances = {n: self.instance_type(self, n, 1) for n in range(INSTANCE_COUNT)}
        for instance in list(self.instances.values()):
            self.start(instance)
        self.after(0.0, None, self.traffic)
        self.after(0.0, None, self.claims)
        if faults:
            self.after(15.0, None, self.fault)

    # Events

    def after(self, delay_s: float, instance: Instance | None, action: object) -> None:
        """Schedule an action, which is skipped if its instance no longer runs by then."""
        self.event_count += 1
        entry = (self.time + delay_s, self.event_count, instance, action)
        heapq.heappush(self.events, entry)

    def start(self, instance: Instance) -> None:
        """Start the periodic exchanges of an instance."""

        def tick() -> None:
            instance.tick()
            self.after(INTERVAL_S * self.random.uniform(0.95, 1.05), instance, tick)

        self.after(self.random.uniform(0, INTERVAL_S), instance, tick)

    def run(self, duration_s: float) -> None:
        """Run requests, claims and faults up to a simulated time, with the checks."""
        while self.events and self.events[0][0] < duration_s:
            at, _, instance, action = heapq.heappop(self.events)
            self.time = max(self.time, at)
            if instance is not None and self.instances.get(instance.number) is not instance:
                continue
            if instance is not None and self.time < instance.frozen_until:
                # The event is handled late, when the frozen process resumes.
                self.after(instance.frozen_until - self.time, instance, action)
                continue
            action()
            if self.loans_changed:
                # Loans only end as time passes, so a new overlap can only come from a new loan.
                self.loans_changed = False
                self.check_shares()

    def send(self, source: Instance, peer: str, message: object) -> None:
        """Deliver a message with loss, delay, duplication and reordering."""
        copies = self.random.choices((0, 1, 2), (5, 90, 5))[0] if self.faults else 1
        for _ in range(copies):
            delay_s = self.random.uniform(0.0003, 0.003)
            if self.faults and self.random.random() < 0.03:
                delay_s = self.random.uniform(0, 9)
            self.after(delay_s, None, lambda: self.deliver(source, int(peer), message))

    def deliver(self, source: Instance, peer: int, message: object) -> None:
        """Pass a message to the instance that runs at the address now."""
        target = self.instances.get(peer)
        if target is None or (source.number, peer) in self.cuts:
            return
        self.after(0.0, target, lambda: target.receive(source.borrower, message))

    def traffic(self) -> None:
        """Send one request to some instance."""
        self.after(self.random.expovariate(self.request_rate_per_s), None, self.traffic)
        instance = self.awake_instance()
        if instance is not None:
            workspace = self.random.choices(list(LIMITS), self.weights)[0]
            self.offered[workspace] += 1
            instance.request(workspace)

    def claims(self) -> None:
        """Have some instance claim one of the keys of the current 30 seconds."""
        self.after(self.random.expovariate(self.claim_rate_per_s), None, self.claims)
        instance = self.awake_instance()
        if instance is not None:
            instance.claim(b"key%d" % (self.time // 30 * 3 + self.claimant % 3))

    def awake_instance(self) -> Instance | None:
        """Choose an instance that takes requests."""
        instance = self.instances.get(self.random.randrange(INSTANCE_COUNT))
        return None if instance is None or self.time < instance.frozen_until else instance

    # Faults

    def fault(self) -> None:
        """Inject one fault."""
        self.after(self.random.uniform(1, 6), None, self.fault)
        number = self.random.randrange(INSTANCE_COUNT)
        kind = self.random.choice(self.fault_kinds)
        instance = self.instances.get(number)
        if instance is None:
            return
        if kind == "kill":
            self.stop(instance)
        elif kind in ("freeze", "hang"):
            long_s = LEASE_S * 1.5 if kind == "hang" else 12
            instance.frozen_until = self.time + self.random.uniform(0.5, long_s)
        elif kind == "cut":
            self.cuts.add((number, self.random.randrange(INSTANCE_COUNT)))
        elif kind == "store":
            instance.store_cut_until = self.time + LEASE_S * 1.5
        elif kind == "heal":
            self.cuts.clear()
        elif kind == "drain" and not instance.draining:
            self.drain(instance)
        elif kind == "move" and instance.leases and not instance.draining:
            self.move_slot(instance)

    def move_slot(self, instance: Instance) -> None:
        """Move one slot to another instance while this one keeps running."""
        slot = self.random.choice(list(instance.leases))
        delay_s = 0.0
        if self.closes_homes:
            closes_s = instance.held.close_home(slot, instance.now())
            delay_s = (closes_s - instance.now()) / (1 + instance.drift)
        self.after(delay_s + 1e-6, instance, lambda: self.move_closed_slot(instance, slot))

    def move_closed_slot(self, instance: Instance, slot: int) -> None:
        """Transfer a closed home slot, unless its lease has ended meanwhile."""
        if slot in instance.leases and slot not in instance.returned_homes:
            self.check_nothing_issued(instance, slot)
            others = [other for other in self.instances.values() if other is not instance]
            self.transfer_slot(instance, slot, others)
            instance.returned_homes |= SlotSet((slot,))
            instance.held.drop_home(slot)
            for peer in list(instance.last_exchanges):
                instance.exchange(peer, pushed=True)

    @staticmethod
    def usable_loan(instance: Instance, loan: Loan, requested_at_s: float) -> Loan:
        """Leave out home slots that the instance acquired after it had requested the loan."""
        homes = SlotSet(
            slot
            for slot in loan.home_slots
            if instance.home_since_s.get(slot, math.inf) <= requested_at_s
        )
        return msgspec.structs.replace(loan, home_slots=homes)

    def drain(self, instance: Instance) -> None:
        """Stop an instance gracefully."""
        instance.draining = True
        closes_s = instance.held.close(instance.now())
        delay_s = (closes_s - instance.now()) / (1 + instance.drift)
        self.after(delay_s + 1e-6, instance, instance.tick)

    def stop(self, instance: Instance) -> None:
        """Kill an instance and restart it later."""
        if self.instances.get(instance.number) is not instance:
            return
        del self.instances[instance.number]
        incarnation = instance.borrower.incarnation + 1

        def restart() -> None:
            started = self.instance_type(self, instance.number, incarnation)
            self.instances[instance.number] = started
            self.start(started)

        self.after(self.random.uniform(0.01, 15), None, restart)

    # Slot leases

    def keep_slots(self, instance: Instance) -> None:
        """Renew, drop and acquire slots as the daemon's slot lease client does."""
        now_s = instance.now()
        for slot in [slot for slot, end_s in instance.leases.items() if now_s >= end_s]:
            self.drop_slot(instance, slot)
        if self.time < instance.store_cut_until:
            return
        for slot in list(instance.leases):
            if instance.leases[slot] - now_s < LEASE_S / 2 and self.random.random() < 0.7:
                self.lease(instance, slot, renew=True)
        for slot, (_, end, _) in self.slots.items():
            is_free = self.time >= end
            if is_free and len(instance.leases) < 2 and not instance.draining:
                self.lease(instance, slot, renew=False)

    def lease(
        self,
        instance: Instance,
        slot: int,
        renew: bool,
        handover: object = None,
        loans: SlotLoans | None = None,
    ) -> None:
        """Acquire or renew a slot lease, and update what depends on it."""
        holder, end, revision = self.slots[slot]
        if renew and (holder is not instance or self.time >= end):
            return
        now_s = instance.now()
        end_s = now_s + LEASE_S * (1 - MARGIN)
        previous, revision = revision, revision + 1 - renew
        self.slots[slot] = (instance, self.time + LEASE_S, revision)
        instance.leases[slot] = end_s
        if renew:
            instance.ledger.extend_slot(slot, end_s, now_s)
            instance.tables[slot].extend_lease(end_s, now_s)
            return
        instance.home_since_s[slot] = now_s
        instance.returned_homes -= SlotSet((slot,))
        instance.held.drop_home(slot)
        never_held = previous == 0 or self.never_held
        if loans is not None:
            instance.ledger.take_over_slot(slot, end_s, now_s, loans)
        else:
            instance.ledger.add_slot(slot, end_s, now_s, never_held=never_held)
        instance.tables[slot] = ClaimTable(
            slot=slot,
            lease_revision=revision,
            lease_end_s=end_s,
            now_s=now_s,
            previous_lease_revision=previous,
            never_held=never_held,
            retention_s=RETENTION_S,
            drift_margin_ratio=MARGIN,
        )
        if handover is not None:
            instance.tables[slot].import_claims(handover, now_s)
        instance.members.set_own_slots(SlotSet(instance.leases))

    def drop_slot(self, instance: Instance, slot: int) -> None:
        """Stop using a slot."""
        instance.ledger.drop_slot(slot)
        del instance.leases[slot]
        del instance.tables[slot]
        instance.home_since_s.pop(slot, None)
        instance.members.set_own_slots(SlotSet(instance.leases))

    def hand_over(self, instance: Instance) -> None:
        """Transfer all slots with their claims to other instances, and stop."""
        others = [other for other in self.instances.values() if other is not instance]
        for slot in list(instance.leases):
            self.transfer_slot(instance, slot, others)
        self.after(self.random.uniform(0, 3), instance, lambda: self.stop(instance))

    def transfer_slot(self, instance: Instance, slot: int, others: list[Instance]) -> None:
        """Transfer a slot with its claims and loans to another instance, or free it."""
        exported = instance.tables[slot].export(instance.now())
        loans = self.transferred_loans(instance, slot)
        self.drop_slot(instance, slot)
        holder, end, revision = self.slots[slot]
        if holder is not instance or self.time >= end:
            return
        self.slots[slot] = (None, self.time, revision)
        other = self.random.choice(others) if others else instance
        if self.time >= other.frozen_until and not other.draining:
            self.lease(other, slot, renew=False, handover=exported, loans=loans)

    @staticmethod
    def transferred_loans(instance: Instance, slot: int) -> SlotLoans:
        """Return the loans of a slot handover."""
        return instance.ledger.hand_over_slot(slot, instance.now())

    # Checks

    def check_shares(self) -> None:
        """Check that no share of a key is held twice, and no key exclusively by two homes."""
        for rendezvous_key in RENDEZVOUS_KEYS:
            taken = SlotSet()
            exclusive = 0
            for instance in self.instances.values():
                now_s = instance.now()
                for home in instance.held.homes:
                    lenders = instance.held.lenders(rendezvous_key, home, now_s)
                    if not lenders:
                        continue
                    if lenders & taken:
                        raise ViolationError(f"{rendezvous_key!r}: share held twice at {self.time}")
                    taken |= lenders
                    if instance.held.holds_exclusive(rendezvous_key, home, now_s):
                        exclusive += 1
                        self.exclusive_at_s[rendezvous_key, instance.borrower] = self.time
                        self.check_sole_issuer(rendezvous_key, instance, home)
            if exclusive > 1:
                raise ViolationError(f"{rendezvous_key!r}: exclusive at two homes at {self.time}")

    def check_sole_issuer(self, rendezvous_key: bytes, instance: Instance, home: int) -> None:
        """Check a home that claims to be a key's sole issuer: no other one held it of late."""
        if not instance.held.holds_solely(rendezvous_key, home, instance.now()):
            return
        self.sole_issuer_count += 1
        for (other, borrower), at_s in self.exclusive_at_s.items():
            is_other = other == rendezvous_key and borrower != instance.borrower
            if is_other and self.time - at_s < EXCLUSIVE_USE_S:
                raise ViolationError(f"{rendezvous_key!r}: not the sole issuer at {self.time}")

    def check_grants(self, instance: Instance, home: int, reply: TokenReply) -> None:
        """Check that the loans that outlast a grant cover all tokens that the home issued."""
        for grant in reply.grants:
            if not grant.tokens:
                continue
            rendezvous_key, now_s = workspace_rendezvous_key(grant.workspace), instance.now()
            count = instance.held.lender_count(rendezvous_key, home, now_s, grant.term_s - 1e-9)
            bucket = instance.home._buckets[home, grant.workspace]
            room = capacity(WorkspaceLimit(*self.limits[grant.workspace]), count, SLOT_COUNT)
            if bucket.level + bucket.outstanding_tokens > room + 1e-6:
                raise ViolationError(
                    f"{grant.workspace}: grants outlive their loans at {self.time}"
                )

    @staticmethod
    def check_nothing_issued(instance: Instance, home: int) -> None:
        """Check that all grants of a home that is given up have ended."""
        now_s = instance.now()
        for (issuer, workspace), bucket in instance.home._buckets.items():
            grants = (bucket._outstanding or {}).values() if issuer == home else ()
            if any(grant.ends_s > now_s for grant in grants):
                raise ViolationError(f"{workspace}: grants outlive the home that was given up")

    def use_token(self, workspace: str) -> None:
        """Take a used token from a bucket with the fleet-wide limit, which bounds each window."""
        rate_per_s, burst = self.limits[workspace]
        self.counts[workspace] += 1
        level, last = self.used.get(workspace, (burst, 0.0))
        level = min(burst, level + rate_per_s * (self.time - last)) - 1
        self.used[workspace] = (level, self.time)
        if level < -1e-6:
            raise ViolationError(f"{workspace}: above rate and burst at {self.time} by {-level}")

    def next_claimant(self) -> int:
        """Return a new claimant number."""
        self.claimant += 1
        return self.claimant

    def record_granted(self, instance: Instance, ballot: ClaimBallot) -> None:
        """Count a granted claim; some granted tries release it, as if they had not started."""
        since = self.granted.get(ballot.claim_key, -1e9)
        # The retention of a claim starts with the first vote, which precedes the outcome.
        if self.time - since < (RETENTION_S - BALLOT_S) * (1 - MARGIN):
            raise ViolationError(f"{ballot.claim_key!r}: granted twice at {self.time}")
        self.granted[ballot.claim_key] = self.time
        self.counts["claims"] += 1
        if self.random.random() < 0.3:
            del self.granted[ballot.claim_key]
            instance.send_claim(ballot, release=True)
