"""Member table of an instance, learned from the exchanges of its peers."""

import math
import random
from dataclasses import dataclass

import msgspec
import xxhash

from ._messages import Exchange, InstanceIncarnation, MemberRecord, MemberState
from ._slots import SlotSet

EXCHANGE_INTERVAL_S = 2.0
# A holder is removed from the candidates after three lost exchanges in a row.
HEARTBEAT_TIMEOUT_S = 3.5 * EXCHANGE_INTERVAL_S
# A holder that was silent is a candidate again after this many exchanges. Each change of the
# candidates costs a new home one loan term, so a flapping link must not cause one each time.
REJOIN_EXCHANGE_COUNT = 2
MEMBER_EXPIRY_S = 60.0
SLOTLESS_PARTNER_COUNT = 3
MEMBERS_MAX = 2048
NEVER_S = -math.inf


@dataclass(slots=True)
class _Member:
    record: MemberRecord
    learned_s: float
    last_heard_s: float = NEVER_S
    state: MemberState = MemberState.LIVE
    sequence: int = 0
    # Exchanges received since the member was last silent, up to the number needed to rejoin. The
    # first exchange of a member does not end a silence.
    exchange_count: int = 0
    slots_since_s: float = NEVER_S


@dataclass(slots=True)
class _HoldersView:
    """Holders and candidates that a slot holder reported to an instance without slots."""

    holders: dict[int, MemberRecord]
    candidates: SlotSet
    digest: int
    confirmed_s: float


class MemberTable:
    """Members of the fleet as one instance knows them.

    :param own: record of the instance itself; see :meth:`set_own_slots`.
    :param heartbeat_timeout_s: time after which a silent holder is not live and no candidate.
    :param member_expiry_s: time after which a silent member is removed.
    """

    __slots__ = (
        "_own",
        "_members",
        "_holders",
        "_newly_named",
        "_heartbeat_timeout_s",
        "_member_expiry_s",
        "_partners",
        "_view",
        "_candidates",
        "_candidates_until_s",
    )

    def __init__(
        self,
        *,
        own: MemberRecord,
        heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S,
        member_expiry_s: float = MEMBER_EXPIRY_S,
    ) -> None:
        self._own = own
        self._members: dict[str, _Member] = {}
        # The members with slots, and those that a peer named with slots since they were last heard.
        # This index avoids a scan of all members, most of which have no slots, for each message.
        self._holders: dict[str, _Member] = {}
        self._newly_named: list[str] = []
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._member_expiry_s = member_expiry_s
        self._partners: list[str] = []
        # Needed for each batch of token requests, so cached until a member changes.
        self._candidates = SlotSet()
        self._candidates_until_s = NEVER_S
        self._view: _HoldersView | None = None

    def __len__(self) -> int:
        return len(self._members)

    @property
    def own(self) -> MemberRecord:
        """Record of the instance itself."""
        return self._own

    def set_own_slots(self, slots: SlotSet) -> None:
        """Record which slots the instance holds."""
        self._own = _with_slots(self._own, slots)
        self._candidates_until_s = NEVER_S

    def observe(self, sender: InstanceIncarnation, exchange: Exchange, now_s: float) -> bool:
        """Record an exchange and the members that it names.

        :returns: false when the exchange is ignored: it is from an earlier incarnation of the
            sender, or a later exchange arrived before it.
        """
        if sender.instance_id == self._own.instance_id:
            return False
        member = self._members.get(sender.instance_id)
        if member is not None and not _is_newer(sender, exchange, member):
            return False
        record = MemberRecord(
            instance_id=sender.instance_id,
            incarnation=sender.incarnation,
            peer_address=exchange.peer_address,
            data_centre=exchange.data_centre,
            slots=exchange.slots,
        )
        if member is None or member.record.incarnation != sender.incarnation:
            member = _Member(record, now_s)
            self._members[sender.instance_id] = member
            self._holders.pop(sender.instance_id, None)
        self._count_exchange(member, now_s)
        if exchange.slots - member.record.slots or member.slots_since_s == NEVER_S:
            member.slots_since_s = now_s
        self._candidates_until_s = NEVER_S
        member.record = record
        member.state = exchange.state
        member.sequence = exchange.sequence
        self._update_holders(member)
        for named in exchange.members:
            self.learn(named, now_s)
        self._expire_silent(now_s)
        return True

    def learn(self, record: MemberRecord, now_s: float) -> None:
        """Record a member named by a peer or the platform; it is live once it is heard."""
        if record.instance_id == self._own.instance_id:
            return
        known = self._members.get(record.instance_id)
        if known is not None and known.record.incarnation >= record.incarnation:
            self._learn_slots(known, record, now_s)
            return
        if known is None and len(self._members) >= MEMBERS_MAX:
            return
        self._members[record.instance_id] = _Member(record, now_s)
        self._candidates_until_s = NEVER_S
        self._update_holders(self._members[record.instance_id])
        if record.slots:
            self._newly_named.append(record.instance_id)

    def take_newly_named_holders(self) -> list[MemberRecord]:
        """Return the holders that peers named since the last call, before their own exchange."""
        named, self._newly_named = self._newly_named, []
        return [self._holders[name].record for name in named if name in self._holders]

    def _learn_slots(self, known: _Member, record: MemberRecord, now_s: float) -> None:
        """Record the slots that a peer named for a member without slots.

        Such a member is no exchange partner, so its own exchanges would never announce the slots.
        While it is live, its own announcement counts, as those of other members may be older.
        """
        if known.record.incarnation != record.incarnation or not record.slots:
            return
        if now_s - known.last_heard_s >= self._heartbeat_timeout_s:
            known.record = record
            known.learned_s = now_s
            self._update_holders(known)
        elif record.instance_id not in self._holders:
            self._holders[record.instance_id] = known
            self._newly_named.append(record.instance_id)

    def _update_holders(self, member: _Member) -> None:
        """Update the index of holders after a change of a member's slots."""
        name = member.record.instance_id
        if member.record.slots:
            self._holders[name] = member
        else:
            self._holders.pop(name, None)

    def candidates(self, now_s: float) -> SlotSet:
        """Return the own slots and those of the live holders."""
        view = self._fresh_view(now_s)
        if view is not None:
            return view.candidates
        if now_s >= self._candidates_until_s:
            live_holders = [
                member for member in self._holders.values() if self._is_candidate(member, now_s)
            ]
            ends_s = [member.last_heard_s + self._heartbeat_timeout_s for member in live_holders]
            self._candidates_until_s = min(ends_s, default=math.inf)
            self._candidates = self._own.slots
            for member in live_holders:
                self._candidates = self._candidates | member.record.slots
        return self._candidates

    def holder_of(self, slot: int, now_s: float) -> MemberRecord | None:
        """Return the holder of a slot; of several, the one that announced new slots last."""
        if slot in self._own.slots:
            return self._own
        view = self._fresh_view(now_s)
        if view is not None and slot in view.holders:
            return view.holders[slot]
        holders = [
            member
            for member in self._holders.values()
            if slot in member.record.slots
            and now_s - member.last_heard_s < self._heartbeat_timeout_s
        ]
        if not holders:
            return None
        return max(holders, key=lambda member: member.slots_since_s).record

    def member(self, instance_id: str) -> MemberRecord | None:
        """Return the record of one member."""
        known = self._members.get(instance_id)
        return None if known is None else known.record

    def exchange_partners(self, now_s: float, random: random.Random) -> list[MemberRecord]:
        """Return the members to send the periodic exchange to, which all hold slots.

        A slot holder exchanges with all holders, also with silent ones until they expire, so that
        interrupted connections recover. An instance without slots exchanges with a few holders,
        which it keeps while they are live, and with one random holder of several slots, which can
        hand one over.
        """
        self._expire_silent(now_s)
        if self._own.slots:
            return self.holders()
        holders = list(self._holders.values())
        names = {member.record.instance_id: member for member in holders}
        kept = [
            name
            for name in self._partners
            if name in names and self._may_stay_partner(names[name], now_s)
        ]
        others = [name for name, member in names.items() if name not in kept and _is_live(member)]
        missing = max(0, SLOTLESS_PARTNER_COUNT - len(kept))
        self._partners = kept + random.sample(others, min(missing, len(others)))
        multi_slot_names = [name for name, member in names.items() if len(member.record.slots) > 1]
        extra = [random.choice(multi_slot_names)] if multi_slot_names else []
        return [names[name].record for name in dict.fromkeys([*self._partners, *extra])]

    def holders(self) -> list[MemberRecord]:
        """Return the members that announced slots, or were named with slots by a peer."""
        return [member.record for member in self._holders.values()]

    def live(self, now_s: float) -> list[MemberRecord]:
        """Return the members that are live and not draining."""
        return [
            member.record
            for member in self._members.values()
            if _is_live(member) and now_s - member.last_heard_s < self._heartbeat_timeout_s
        ]

    def holders_digest(self, now_s: float) -> int:
        """Return a digest of the slot holders that :meth:`records` returns."""
        records = sorted(self.records(now_s), key=lambda record: record.instance_id)
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(records, enc_hook=SlotSet.to_bytes))

    @property
    def view_digest(self) -> int:
        """Digest of the adopted view of the holders; 0 when there is none."""
        return 0 if self._view is None else self._view.digest

    def adopt_view(self, exchange: Exchange, now_s: float) -> None:
        """Adopt a holder's view of the holders; used while this instance has no slots.

        An instance without slots exchanges with few holders, so it would know few homes itself.
        """
        if not exchange.holders_digest:
            return
        if exchange.members:
            holders = {slot: record for record in exchange.members for slot in record.slots}
            self._view = _HoldersView(holders, exchange.candidates, exchange.holders_digest, now_s)
        elif self._view is not None and self._view.digest == exchange.holders_digest:
            self._view.candidates = exchange.candidates
            self._view.confirmed_s = now_s

    def _fresh_view(self, now_s: float) -> _HoldersView | None:
        if self._own.slots or self._view is None:
            return None
        is_fresh = now_s - self._view.confirmed_s < self._heartbeat_timeout_s
        return self._view if is_fresh else None

    def records(self, now_s: float) -> list[MemberRecord]:
        """Return the slot holders to name to instances that may not know them.

        Only holders that this instance hears itself are included, so that silent ones expire in
        the whole fleet. During a handover two holders may announce the slot; the latest comes last.
        """
        holders = [
            member
            for member in self._holders.values()
            if member.record.slots and now_s - member.last_heard_s < self._heartbeat_timeout_s
        ]
        holders.sort(key=lambda member: member.slots_since_s)
        records = [member.record for member in holders]
        return [*records, self._own] if self._own.slots else records

    def _is_candidate(self, member: _Member, now_s: float) -> bool:
        return (
            _is_live(member)
            and member.exchange_count >= REJOIN_EXCHANGE_COUNT
            and now_s - member.last_heard_s < self._heartbeat_timeout_s
        )

    def _may_stay_partner(self, member: _Member, now_s: float) -> bool:
        last_s = max(member.last_heard_s, member.learned_s)
        return _is_live(member) and now_s - last_s < self._heartbeat_timeout_s

    def _count_exchange(self, member: _Member, now_s: float) -> None:
        if member.last_heard_s == NEVER_S:
            member.exchange_count = REJOIN_EXCHANGE_COUNT
        elif now_s - member.last_heard_s >= self._heartbeat_timeout_s:
            member.exchange_count = 1
        else:
            member.exchange_count = min(REJOIN_EXCHANGE_COUNT, member.exchange_count + 1)
        member.last_heard_s = now_s

    def _expire_silent(self, now_s: float) -> None:
        silent = [
            name
            for name, member in self._members.items()
            if now_s - max(member.last_heard_s, member.learned_s) >= self._member_expiry_s
        ]
        for name in silent:
            del self._members[name]
            self._candidates_until_s = NEVER_S
            self._holders.pop(name, None)


def _is_live(member: _Member) -> bool:
    return member.state is MemberState.LIVE


def _is_newer(sender: InstanceIncarnation, exchange: Exchange, member: _Member) -> bool:
    if sender.incarnation != member.record.incarnation:
        return sender.incarnation > member.record.incarnation
    return exchange.sequence > member.sequence


def _with_slots(record: MemberRecord, slots: SlotSet) -> MemberRecord:
    return MemberRecord(
        instance_id=record.instance_id,
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        data_centre=record.data_centre,
        slots=slots,
    )
