"""Periodic exchanges with other instances: heartbeats, freshness and loans."""

import math
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec
from tanagerreach_core.config import Freshness
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    Exchange,
    HolderStatus,
    InstanceIncarnation,
    Loan,
    MemberRecord,
    MemberState,
    SlotSet,
)
from tanagerreach_core.rights import HeldLoans, LoanLedger

# Sequence numbers start at a random number, so that an echo to an earlier incarnation matches none.
SEQUENCE_START_BITS = 62
MEMBERS_PER_EXCHANGE = 128
# A draining peer is no longer listed after this time without a message.
LEAVING_PEER_EXPIRY_S = 3.0
# Instances without slots are notified at once of moved slots if they were last heard within this
# time: an exchange interval, with a margin for delays.
IMMEDIATE_NOTICE_MAX_AGE_S = 2.5


@dataclass(slots=True, kw_only=True, frozen=True)
class OwnAddresses:
    """This instance's addresses, as announced to peers."""

    peer: str
    peer_http: str
    operator: str


@dataclass(slots=True, kw_only=True)
class _PeerState:
    """State that a peer reported in its latest exchange."""

    sender: InstanceIncarnation
    sequence: int
    peer_http_address: str
    operator_address: str
    last_heard_s: float
    state: MemberState
    # Candidate set of the loan that was sent in reply to this exchange. A second loan on the same
    # terms would only withhold the share from other homes for longer.
    lent_candidates: SlotSet | None = None


class Exchanger:
    """Sends periodic exchanges and handles those of peers.

    :param identity: incarnation of this instance.
    :param addresses: addresses of this instance.
    :param send: sends an exchange to a peer's address.
    :param on_higher_revision: called with a peer's HTTP address and the revision it reported.
    :param memory_s: time for which the send times of exchanges are kept; no loan lasts longer.
    """

    __slots__ = (
        "_addresses",
        "_draining",
        "_freshness",
        "_peer_states",
        "_held",
        "_home_since_s",
        "_identity",
        "_ledger",
        "_members",
        "_sent_expiry_s",
        "_now_s",
        "_on_higher_revision",
        "_random",
        "_returned_homes",
        "_returns_loans",
        "_revision",
        "_seeds",
        "_send",
        "_sent_at_s",
        "_sequence",
    )

    def __init__(
        self,
        *,
        identity: InstanceIncarnation,
        addresses: OwnAddresses,
        seeds: tuple[str, ...],
        members: MemberTable,
        ledger: LoanLedger,
        held: HeldLoans,
        freshness: Freshness,
        revision: Callable[[], int],
        send: Callable[[str, Exchange], None],
        on_higher_revision: Callable[[str, int], None],
        now_s: Callable[[], float],
        random: Random,
        memory_s: float,
    ) -> None:
        self._identity = identity
        self._addresses = addresses
        self._seeds = tuple(seed for seed in seeds if seed != addresses.peer)
        self._members = members
        self._ledger = ledger
        self._held = held
        self._freshness = freshness
        self._revision = revision
        self._send = send
        self._on_higher_revision = on_higher_revision
        self._now_s = now_s
        self._random = random
        self._sent_expiry_s = memory_s
        self._sequence = secrets.randbits(SEQUENCE_START_BITS)
        self._sent_at_s: dict[int, float] = {}
        self._peer_states: dict[str, _PeerState] = {}
        self._home_since_s: dict[int, float] = {}
        self._returned_homes = SlotSet()
        self._draining = False
        self._returns_loans = False

    def exchange_with_all(self) -> None:
        """Send an exchange to each partner, or to the seeds while there is none."""
        now_s = self._now_s()
        self._expire_sent(now_s)
        self._lend_to_self(now_s)
        partners = self._members.exchange_partners(now_s, self._random)
        for partner in partners:
            self._exchange_with(partner, now_s)
        if not partners:
            for address in self._seeds:
                self._send(address, self._build(None, now_s, loan=None))

    def begin_drain(self) -> None:
        """Announce that this instance is draining."""
        self._draining = True
        self._exchange_with_holders()

    def return_loans(self) -> None:
        """Return all loans; everything that this instance issued must have expired."""
        self._returns_loans = True
        self._exchange_with_holders()

    def _exchange_with_holders(self) -> None:
        """Send an exchange to all holders, even if this instance has no slots any more.

        A holder that does not know that this instance leaves offers excess slots to it until the
        heartbeat timeout, and closes the home at the offered slot each time.
        """
        now_s = self._now_s()
        for record in self._members.holders():
            self._exchange_with(record, now_s)

    def handle(self, sender: InstanceIncarnation, message: Exchange) -> None:
        """Handle a peer's exchange."""
        now_s = self._now_s()
        previous = self._members.member(sender.instance_id)
        if not self._members.observe(sender, message, now_s):
            return
        self._peer_states[sender.instance_id] = _PeerState(
            sender=sender,
            sequence=message.sequence,
            peer_http_address=message.peer_http_address,
            operator_address=message.operator_address,
            last_heard_s=now_s,
            state=message.state,
        )
        self._members.adopt_view(message, now_s)
        self._record_reply(message, now_s)
        if message.revision > self._revision():
            self._on_higher_revision(message.peer_http_address, message.revision)
        has_new_slots = _has_new_slots(previous, message)
        if message.returns_loans and self._ledger.return_all(sender):
            # The returned shares can now be lent to the next homes.
            self.exchange_with_all()
        elif self._needs_reply(message) or has_new_slots:
            self._reply(sender, message, now_s, previous)
        if message.returned_homes:
            self._end_returned_loans(sender, message.returned_homes, now_s)
        self._exchange_with_named_holders(now_s)
        if has_new_slots:
            self._notify_instances_without_slots(now_s)

    def set_own_slots(self, slots: SlotSet) -> None:
        """Apply a change of the slots that this instance holds, and announce it to peers."""
        now_s = self._now_s()
        before = self._members.own.slots
        lost = before - slots
        # What a home issued may still be valid after its slot's lease has expired, so only homes
        # that were closed are returned.
        closed = SlotSet(slot for slot in lost if self._held.may_return_home(slot, now_s))
        self._returned_homes = (self._returned_homes | closed) - slots
        for slot in lost:
            self._home_since_s.pop(slot, None)
            self._held.drop_home(slot)
        for slot in slots - before:
            self._home_since_s[slot] = now_s
        self._members.set_own_slots(slots)
        self._freshness.set_own_slots(slots)
        self.exchange_with_all()
        if slots != before:
            self._notify_instances_without_slots(now_s)

    def known_addresses(self) -> list[tuple[str, str, float]]:
        """Return name, operator address and time of the latest exchange of all known peers."""
        oldest_leaving_s = self._now_s() - LEAVING_PEER_EXPIRY_S
        return [
            (name, peer_state.operator_address, peer_state.last_heard_s)
            for name, peer_state in self._peer_states.items()
            if peer_state.state is MemberState.LIVE or peer_state.last_heard_s >= oldest_leaving_s
        ]

    def peer_http_addresses(self) -> list[str]:
        """Return the HTTP addresses of peers, the most recently heard first."""
        latest_first = sorted(
            self._peer_states.values(), key=lambda entry: entry.last_heard_s, reverse=True
        )
        return [entry.peer_http_address for entry in latest_first]

    def http_address_of(self, instance_id: str) -> str | None:
        """Return the HTTP address of a peer, ``None`` if it is unknown."""
        peer_state = self._peer_states.get(instance_id)
        return None if peer_state is None else peer_state.peer_http_address

    def expire_silent(self, older_than_s: float) -> None:
        """Remove peers that were last heard longer ago than this."""
        oldest_s = self._now_s() - older_than_s
        for name in [
            name
            for name, peer_state in self._peer_states.items()
            if peer_state.last_heard_s < oldest_s
        ]:
            del self._peer_states[name]

    def _record_reply(self, message: Exchange, now_s: float) -> None:
        requested_at_s = self._sent_at_s.get(message.echo_sequence)
        if requested_at_s is None:
            return
        self._freshness.confirm_from_peer(
            message.slots,
            revision=message.revision,
            revision_age_s=message.revision_age_s,
            store_unavailable=message.store_unavailable,
            requested_at_s=requested_at_s,
        )
        self._freshness.record_relayed_statuses(message.holder_statuses, requested_at_s)
        if message.loan is not None:
            loan = self._limit_to_own_homes(message.loan, requested_at_s)
            self._held.record(loan, requested_at_s, now_s)

    def _limit_to_own_homes(self, loan: Loan, requested_at_s: float) -> Loan:
        """Remove home slots that this instance does not hold, or acquired after its request.

        A loan that was requested earlier may have been returned when the slot was given up.
        """
        homes = SlotSet(
            slot
            for slot in loan.home_slots
            if self._home_since_s.get(slot, math.inf) <= requested_at_s
        )
        return msgspec.structs.replace(loan, home_slots=homes)

    def _end_returned_loans(
        self, sender: InstanceIncarnation, homes: SlotSet, now_s: float
    ) -> None:
        """End loans to home slots that were given up, and lend to their new holders."""
        if not self._ledger.return_homes(sender, homes):
            return
        for slot in homes:
            holder = self._members.holder_of(slot, now_s)
            if holder is not None and holder.instance_id != self._identity.instance_id:
                self._exchange_with(holder, now_s)
        self._lend_to_self(now_s)

    def _exchange_with_named_holders(self, now_s: float) -> None:
        """Exchange at once with holders that another peer has listed."""
        named = self._members.take_newly_named_holders()
        if self._members.own.slots:
            for record in named:
                self._exchange_with(record, now_s)

    def _notify_instances_without_slots(self, now_s: float) -> None:
        """Send the holders to instances without slots after a slot has moved.

        Until its next exchange, such an instance would request tokens from the former holder, and
        its callers' requests wait for a token for less than the exchange interval.
        """
        if not self._members.own.slots:
            return
        for record in self._members.live(now_s):
            peer_state = self._peer_states.get(record.instance_id)
            if (
                not record.slots
                and peer_state is not None
                and now_s - peer_state.last_heard_s < IMMEDIATE_NOTICE_MAX_AGE_S
            ):
                self._exchange_with(record, now_s, names_members=True)

    def _needs_reply(self, message: Exchange) -> bool:
        """Return whether an exchange needs a separate reply.

        Holders send periodic exchanges to each other anyway. A reply always carries an echo, so
        two instances never reply to each other's replies.
        """
        if message.echo_sequence == 0:
            return True
        return bool(self._members.own.slots) and not message.slots

    def _reply(
        self,
        sender: InstanceIncarnation,
        message: Exchange,
        now_s: float,
        previous: MemberRecord | None,
    ) -> None:
        record = MemberRecord(
            instance_id=sender.instance_id,
            incarnation=sender.incarnation,
            peer_address=message.peer_address,
            data_centre=message.data_centre,
            slots=message.slots,
        )
        if message.slots:
            # Two instances that get their first slots at the same time may not know each other.
            names_members = previous is not None and not previous.slots
        else:
            names_members = message.holders_digest != self._members.holders_digest(now_s)
        names_members = names_members or message.echo_sequence == 0
        self._exchange_with(record, now_s, names_members=names_members)

    def _exchange_with(
        self, partner: MemberRecord, now_s: float, *, names_members: bool = False
    ) -> None:
        exchange = self._build(partner, now_s, loan=self._loan_for(partner, now_s))
        if names_members:
            exchange.members = self._members.records(now_s)[:MEMBERS_PER_EXCHANGE]
        self._send(partner.peer_address, exchange)

    def _loan_for(self, partner: MemberRecord, now_s: float) -> Loan | None:
        peer_state = self._peer_states.get(partner.instance_id)
        if peer_state is None or not partner.slots:
            return None
        candidates = self._members.candidates(now_s)
        if peer_state.lent_candidates == candidates:
            return None
        loan = self._ledger.grant(peer_state.sender, partner.slots, candidates, now_s)
        if loan is not None and loan.home_slots == partner.slots & candidates:
            peer_state.lent_candidates = candidates
        return loan

    def _lend_to_self(self, now_s: float) -> None:
        if self._returns_loans:
            return
        own_slots = self._members.own.slots
        candidates = self._members.candidates(now_s)
        loan = self._ledger.grant(self._identity, own_slots, candidates, now_s)
        if loan is not None:
            self._held.record(loan, now_s, now_s)

    def _build(self, partner: MemberRecord | None, now_s: float, *, loan: Loan | None) -> Exchange:
        self._sequence += 1
        self._sent_at_s[self._sequence] = now_s
        peer_state = None if partner is None else self._peer_states.get(partner.instance_id)
        own = self._members.own
        omits_candidates = partner is None or partner.slots or not own.slots
        return Exchange(
            sequence=self._sequence,
            echo_sequence=0 if peer_state is None else peer_state.sequence,
            peer_address=self._addresses.peer,
            peer_http_address=self._addresses.peer_http,
            operator_address=self._addresses.operator,
            data_centre=own.data_centre,
            state=MemberState.DRAINING if self._draining else MemberState.LIVE,
            slots=SlotSet() if self._returns_loans else own.slots,
            revision=self._revision(),
            revision_age_s=self._freshness.age_s(now_s),
            store_unavailable=self._freshness.store_unavailable,
            returns_loans=self._returns_loans,
            loan=loan,
            returned_homes=self._returned_homes,
            holder_statuses=self._statuses_for(partner, now_s),
            candidates=SlotSet() if omits_candidates else self._members.candidates(now_s),
            holders_digest=self._digest_for(partner, now_s),
        )

    def _digest_for(self, partner: MemberRecord | None, now_s: float) -> int:
        """Return the own digest for an instance without slots, or the one that a holder sent."""
        if not self._members.own.slots:
            return self._members.view_digest
        if partner is None or partner.slots:
            return 0
        return self._members.holders_digest(now_s)

    def _statuses_for(self, partner: MemberRecord | None, now_s: float) -> list[HolderStatus]:
        if partner is None or partner.slots or not self._freshness.store_unavailable:
            return []
        return self._freshness.holder_statuses(now_s)

    def _expire_sent(self, now_s: float) -> None:
        oldest_s = now_s - self._sent_expiry_s
        for sequence in list(self._sent_at_s):
            if self._sent_at_s[sequence] >= oldest_s:
                break
            del self._sent_at_s[sequence]


def _has_new_slots(previous: MemberRecord | None, message: Exchange) -> bool:
    """Return whether a peer acquired slots, so that it needs loans at once."""
    return bool(message.slots - previous.slots) if previous is not None else bool(message.slots)
