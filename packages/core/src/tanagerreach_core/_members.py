"""What an instance knows of the others, learned from their exchanges."""

import math
import random
from dataclasses import dataclass

import msgspec
import xxhash

from ._messages import Exchange, InstanceIncarnation, MemberRecord, MemberState
from ._slots import SlotSet

EXCHANGE_INTERVAL_S = 2.0
# Three exchanges in a row must be lost before a holder leaves the candidates.
HEARTBEAT_TIMEOUT_S = 3.5 * EXCHANGE_INTERVAL_S
# A holder that was silent joins again after this many exchanges. Each change of the candidates
# costs a new home one loan term, so that a flapping link must not change them each time.
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
    # Exchanges heard since the last silence; a member heard for the first time was not silent.
    heard_count: int = 0
    slots_since_s: float = NEVER_S


@dataclass(slots=True)
class _View:
    """Holders and candidates as a holder told them, for an instance that hears few holders."""

    holders: dict[int, MemberRecord]
    candidates: SlotSet
    digest: int
    confirmed_s: float


class MemberTable:
    """Peers of one instance.

    :param own: the instance itself; see :meth:`set_own_slots`.
    :param heartbeat_timeout_s: a holder that was not heard for this time is no candidate.
    """

    __slots__ = (
        "_own",
        "_members",
        "_holders",
        "_named",
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
        # The members with slots, and those that were named with slots since they were heard. The
        # candidates are asked for with each message, and most peers that a holder hears have no
        # slots.
        self._holders: dict[str, _Member] = {}
        self._named: list[str] = []
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._member_expiry_s = member_expiry_s
        self._partners: list[str] = []
        # Asked for with each batch of token requests, so kept until a member changes.
        self._candidates = SlotSet()
        self._candidates_until_s = NEVER_S
        self._view: _View | None = None

    def __len__(self) -> int:
        return len(self._members)

    @property
    def own(self) -> MemberRecord:
        """Return the record of the instance itself."""
        return self._own

    def set_own_slots(self, slots: SlotSet) -> None:
        """Record which slots the instance holds."""
        self._own = _with_slots(self._own, slots)
        self._candidates_until_s = NEVER_S

    def observe(self, sender: InstanceIncarnation, exchange: Exchange, now_s: float) -> bool:
        """Record an exchange and the members it names.

        :returns: false for an exchange of an earlier run of the sender, or one that was overtaken
            by a later exchange; neither changes anything.
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
        self._count_heard(member, now_s)
        if exchange.slots - member.record.slots or member.slots_since_s == NEVER_S:
            member.slots_since_s = now_s
        self._candidates_until_s = NEVER_S
        member.record = record
        member.state = exchange.state
        member.sequence = exchange.sequence
        self._index(member)
        for named in exchange.members:
            self.learn(named, now_s)
        self._expire_silent(now_s)
        return True

    def learn(self, record: MemberRecord, now_s: float) -> None:
        """Record a member named by a peer or by the platform; it counts once it is heard."""
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
        self._index(self._members[record.instance_id])
        if record.slots:
            self._named.append(record.instance_id)

    def take_named(self) -> list[MemberRecord]:
        """Return the members that were named as holders since the last call, but not yet heard."""
        named, self._named = self._named, []
        return [self._holders[name].record for name in named if name in self._holders]

    def _learn_slots(self, known: _Member, record: MemberRecord, now_s: float) -> None:
        """Take note of the slots of a member that was heard before it had them.

        Such a member is no exchange partner, so that its own exchanges would never tell of them.
        While it is heard, what it said itself counts, as the word of others may be older.
        """
        if known.record.incarnation != record.incarnation or not record.slots:
            return
        if now_s - known.last_heard_s >= self._heartbeat_timeout_s:
            known.record = record
            known.learned_s = now_s
            self._index(known)
        elif record.instance_id not in self._holders:
            self._holders[record.instance_id] = known
            self._named.append(record.instance_id)

    def _index(self, member: _Member) -> None:
        """Follow a change of a member's slots."""
        name = member.record.instance_id
        if member.record.slots:
            self._holders[name] = member
        else:
            self._holders.pop(name, None)

    def candidates(self, now_s: float) -> SlotSet:
        """Return the own slots, and those of live holders that were heard lately."""
        view = self._fresh_view(now_s)
        if view is not None:
            return view.candidates
        if now_s >= self._candidates_until_s:
            heard = [
                member for member in self._holders.values() if self._is_candidate(member, now_s)
            ]
            ends_s = [member.last_heard_s + self._heartbeat_timeout_s for member in heard]
            self._candidates_until_s = min(ends_s, default=math.inf)
            self._candidates = self._own.slots
            for member in heard:
                self._candidates = self._candidates | member.record.slots
        return self._candidates

    def holder_of(self, slot: int, now_s: float) -> MemberRecord | None:
        """Return the holder of a slot: of several, the one that announced the slot last."""
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
        """Return whom to send the periodic exchange to.

        A slot holder exchanges with all holders, also with silent ones until they are forgotten,
        so that cut connections come back. Another instance exchanges with a few holders and keeps
        them while they are heard; one more is a holder of several slots, which can give one away.
        Instances without slots are not among the partners.
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
        rich = [name for name, member in names.items() if len(member.record.slots) > 1]
        extra = [random.choice(rich)] if rich else []
        return [names[name].record for name in dict.fromkeys([*self._partners, *extra])]

    def holders(self) -> list[MemberRecord]:
        """Return all members with slots, and those named with slots since they were heard."""
        return [member.record for member in self._holders.values()]

    def live(self, now_s: float) -> list[MemberRecord]:
        """Return the members that were heard lately and do not leave."""
        return [
            member.record
            for member in self._members.values()
            if _is_live(member) and now_s - member.last_heard_s < self._heartbeat_timeout_s
        ]

    def holders_digest(self, now_s: float) -> int:
        """Return a digest of the slot holders that :meth:`records` names."""
        records = sorted(self.records(now_s), key=lambda record: record.instance_id)
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(records, enc_hook=SlotSet.to_bytes))

    @property
    def view_digest(self) -> int:
        """Digest of the holders that this instance was named, 0 when there are none."""
        return 0 if self._view is None else self._view.digest

    def adopt_view(self, exchange: Exchange, now_s: float) -> None:
        """Take over a holder's view of the holders; used while the instance has no slots.

        An instance without slots exchanges with a few holders only, so it would know few homes.
        """
        if not exchange.holders_digest:
            return
        if exchange.members:
            holders = {slot: record for record in exchange.members for slot in record.slots}
            self._view = _View(holders, exchange.candidates, exchange.holders_digest, now_s)
        elif self._view is not None and self._view.digest == exchange.holders_digest:
            self._view.candidates = exchange.candidates
            self._view.confirmed_s = now_s

    def _fresh_view(self, now_s: float) -> _View | None:
        if self._own.slots or self._view is None:
            return None
        is_fresh = now_s - self._view.confirmed_s < self._heartbeat_timeout_s
        return self._view if is_fresh else None

    def records(self, now_s: float) -> list[MemberRecord]:
        """Return the slot holders to name in the exchanges to new instances.

        Only holders that this instance hears itself are named, so that a dead one is forgotten.
        While a slot moves, two name it as theirs; the one that did so last comes last.
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
            and member.heard_count >= REJOIN_EXCHANGE_COUNT
            and now_s - member.last_heard_s < self._heartbeat_timeout_s
        )

    def _may_stay_partner(self, member: _Member, now_s: float) -> bool:
        last_s = max(member.last_heard_s, member.learned_s)
        return _is_live(member) and now_s - last_s < self._heartbeat_timeout_s

    def _count_heard(self, member: _Member, now_s: float) -> None:
        if member.last_heard_s == NEVER_S:
            member.heard_count = REJOIN_EXCHANGE_COUNT
        elif now_s - member.last_heard_s >= self._heartbeat_timeout_s:
            member.heard_count = 1
        else:
            member.heard_count = min(REJOIN_EXCHANGE_COUNT, member.heard_count + 1)
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
