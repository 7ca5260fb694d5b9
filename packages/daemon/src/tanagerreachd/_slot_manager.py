"""Keeps this instance's share of the slots and hands them over when it leaves."""

import math
from collections.abc import Callable
from functools import partial
from random import Random

from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import MemberRecord, MemberState, SlotSet
from tanagerreach_core.rights import ClaimTable, LoanLedger

from ._claim_coordinator import ClaimCoordinator
from ._data_centre_status import DataCentreStatus
from ._peer_http import PeerHttpError
from ._slot_hand_over import (
    SlotHandOver,
    TransferredVerdicts,
    claim_export,
    hand_over_message,
    slot_loans,
)
from ._slot_lease_client import SlotLease, SlotLeaseClient, SlotRecord
from ._store_client import ConfigurationStore, StoreError, StoreInstance

# The platform's list lags; free slots are taken beyond the fair share only after this long.
EXTRA_SLOT_DELAY_S = 10.0
RENEWALS_PER_TERM = 4
# Instances that start together know of each other by then, so that none takes all slots.
FIRST_SHARE_DELAY_S = 2.0
# Peers that a slot is offered to before it is released in the store. Several instances may stop
# at the same time and refuse.
SUCCESSOR_TRIES = 10
RENEWAL_MAX_INTERVAL_S = 60.0
# Slots are read from the store this often at first; holders are otherwise known from exchanges.
HOLDERS_SETTLING_INTERVAL_S = 4.0
# The fair share is worked out and the holders are read often after the start, and after slots were
# lost or acquired, since two instances that took slots at the same time know of each other from the
# store only. Later both are done seldom, since each time costs up to two calls to the store.
SETTLING_S = 30.0
SHARE_SETTLING_INTERVAL_S = 2.0
SHARE_INTERVAL_S = 30.0
# An instance without slots looks for free ones less often in a large fleet, so that the looks of
# the whole fleet stay at about one for each slot in 30 s. The lists are half of its bytes at 680.
LOOK_MAX_INTERVAL_S = 300.0
# An instance without slots exchanges with three holders.
FEW_PEERS = 3


def look_interval_s(*, instance_count: int, slot_count: int, often: bool) -> float:
    """Return how often to read the store's lists of instances and of slots once settled.

    :param often: that the instance holds slots, or hears so few peers that it needs the lists.
    """
    if often:
        return SHARE_INTERVAL_S
    scaled_s = SHARE_INTERVAL_S * instance_count / slot_count
    return min(LOOK_MAX_INTERVAL_S, max(SHARE_INTERVAL_S, scaled_s))


class SlotManager:
    """Decides how many slots this instance holds, and tells the parts that use them.

    :param record: records an event of the time line.
    :param hand_over: gives a slot to the peer with an HTTP address.
    :param http_address_of: returns the HTTP address of a peer.
    :param close_home: lets everything that a home slot issued end; returns by when.
    :param revision: returns the revision of the own configuration.
    :param data_centres: tells where slots may be.
    :param on_slots: called with the held slots when they change.
    :param export_verdicts: returns the verdicts of the services whose home a slot is.
    :param import_verdicts: takes over the verdicts that came with a slot.
    :param run_all: runs steps beside each other and returns when all have ended.
    """

    __slots__ = (
        "_claims",
        "_close_home",
        "_data_centres",
        "_export_verdicts",
        "_extra_since_s",
        "_hand_over",
        "_holders_read_s",
        "_http_address_of",
        "_import_verdicts",
        "_instance_count",
        "_ledger",
        "_members",
        "_next_share_s",
        "_now_s",
        "_on_slots",
        "_own",
        "_random",
        "_record",
        "_renew_interval_s",
        "_renewed_s",
        "_revision",
        "_run_all",
        "_settles_until_s",
        "_share",
        "_sleep",
        "_slot_count",
        "_slots",
        "_store",
        "_stopped",
    )

    def __init__(
        self,
        *,
        own: StoreInstance,
        store: ConfigurationStore,
        slots: SlotLeaseClient,
        members: MemberTable,
        ledger: LoanLedger,
        claims: ClaimCoordinator,
        slot_count: int,
        lease_term_s: float,
        http_address_of: Callable[[str], str | None],
        close_home: Callable[[int], float],
        revision: Callable[[], int],
        data_centres: DataCentreStatus,
        sleep: Callable[[float], None],
        on_slots: Callable[[SlotSet], None],
        run_all: Callable[[list[Callable[[], None]]], None],
        export_verdicts: Callable[[int], list[TransferredVerdicts]],
        import_verdicts: Callable[[list[TransferredVerdicts]], None],
        hand_over: Callable[[str, SlotHandOver], None],
        record: Callable[[str, dict[str, object]], object],
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._own = own
        self._store = store
        self._slots = slots
        self._members = members
        self._ledger = ledger
        self._claims = claims
        self._slot_count = slot_count
        self._renew_interval_s = min(RENEWAL_MAX_INTERVAL_S, lease_term_s / RENEWALS_PER_TERM)
        self._http_address_of = http_address_of
        self._close_home = close_home
        self._revision = revision
        self._data_centres = data_centres
        self._sleep = sleep
        self._on_slots = on_slots
        self._run_all = run_all
        self._export_verdicts = export_verdicts
        self._import_verdicts = import_verdicts
        self._hand_over = hand_over
        self._record = record
        self._now_s = now_s
        self._random = random
        self._renewed_s = now_s()
        self._holders_read_s = -math.inf
        self._extra_since_s: float | None = None
        self._settles_until_s = now_s() + SETTLING_S
        self._next_share_s = now_s() + FIRST_SHARE_DELAY_S
        self._share = slot_count
        self._instance_count = 1
        self._stopped = False

    def register(self) -> None:
        """Enter this instance in the platform's list.

        :raises StoreError: when the store did not answer.
        """
        self._store.register_instance(self._own)

    def step(self) -> None:
        """Renew, acquire or drop slots; call it about once a second.

        :raises StoreError: when the store did not answer.
        """
        if self._stopped:
            return
        now_s = self._now_s()
        self._drop_ended()
        if now_s - self._renewed_s >= self._renew_interval_s:
            self._renew(now_s)
        settling = now_s < self._settles_until_s
        look_s = look_interval_s(
            instance_count=self._instance_count,
            slot_count=self._slot_count,
            often=bool(self._slots.held()) or len(self._members.live(now_s)) < FEW_PEERS,
        )
        holders_interval_s = HOLDERS_SETTLING_INTERVAL_S if settling else look_s
        share_due = now_s >= self._next_share_s
        if share_due or now_s - self._holders_read_s >= holders_interval_s:
            holders = self._read_holders(now_s)
        if share_due:
            self._next_share_s = now_s + SHARE_SETTLING_INTERVAL_S
            self._share = self._wanted_count(now_s, len(holders))
            self._acquire(self._share, holders)
            # A look that failed, or that lost free slots to other instances, is made again soon.
            has_share = len(self._slots.held()) >= self._share
            if not settling and (has_share or len(holders) >= self._slot_count):
                self._next_share_s = now_s + look_s
        self._data_centres.follow()
        # Slots that stay are stranded when the data centre is switched off.
        gives_all = self._data_centres.gives_slots_away()
        if len(self._slots.held()) > (0 if gives_all else self._share):
            self._give_one(now_s, below_count=self._slot_count if gives_all else self._share)

    def take_over(self, hand_over: SlotHandOver) -> bool:
        """Take over a slot from a peer, with its claims."""
        if self._stopped or hand_over.revision > self._revision():
            return False
        try:
            lease = self._slots.take_over(hand_over.slot, hand_over.lease_revision)
        except StoreError:
            # The slot may be this instance's in the store, which the next look finds.
            self._next_share_s = self._now_s()
            return False
        if lease is None:
            return False
        self._use(lease, hand_over)
        return True

    def leave(self) -> None:
        """Hand all slots to peers; those that no peer takes are released in the store."""
        self._stopped = True
        held = self._slots.held()
        closes_s = max((self._close_home(slot) for slot in held), default=self._now_s())
        self._sleep(max(0.0, closes_s - self._now_s()))
        # A slot may have been given away as excess, or its lease may have ended, meanwhile. All
        # homes are closed now, so that a slot must not wait for the others.
        self._run_all([partial(self._leave_slot, slot) for slot in held & self._slots.held()])
        try:
            self._store.register_instance(
                StoreInstance(
                    name=self._own.name, peer_address=self._own.peer_address, state="leaving"
                )
            )
            self._slots.release_all()
        except StoreError as error:
            self._record("slots-not-released", {"reason": str(error)})

    def _leave_slot(self, slot: int) -> None:
        self._give_or_release(slot, self._successors(self._slot_count))

    def _wanted_count(self, now_s: float, taken_count: int) -> int:
        if self._data_centres.own_is_out():
            return len(self._slots.held())
        listed = self._store.list_instances()
        live = [entry for entry in listed if entry.state == MemberState.LIVE.name.lower()]
        self._instance_count = max(1, len(live), len(self._members.live(now_s)) + 1)
        share = math.ceil(self._slot_count / self._instance_count)
        if len(self._slots.held()) < share or taken_count >= self._slot_count:
            self._extra_since_s = None
            return share
        if self._extra_since_s is None:
            self._extra_since_s = now_s
        if now_s - self._extra_since_s < EXTRA_SLOT_DELAY_S:
            return share
        self._extra_since_s = now_s
        return len(self._slots.held()) + 1

    def _renew(self, now_s: float) -> None:
        lost = self._slots.held()
        if not self._slots.renew():
            self._forget(lost, "the lease lapsed in the store")
            return
        self._renewed_s = now_s
        for slot in self._slots.held():
            end_s = self._slots.lease_end_s(slot)
            self._ledger.extend_slot(slot, end_s, now_s)
            table = self._claims.table(slot)
            if table is None or not table.extend_lease(end_s, now_s):
                self._add_table(slot, end_s, now_s)

    def _read_holders(self, now_s: float) -> dict[int, SlotRecord]:
        """Read the holders of all slots from the store and enter them among the members."""
        by_instance: dict[str, list[int]] = {}
        records = {}
        holders = self._slots.holders()
        for slot, record in holders.items():
            by_instance.setdefault(record.instance_id, []).append(slot)
            records[record.instance_id] = record
        for instance_id, slots in by_instance.items():
            record = records[instance_id]
            self._members.learn(
                MemberRecord(
                    instance_id=instance_id,
                    incarnation=record.incarnation,
                    peer_address=record.peer_address,
                    data_centre=record.data_centre,
                    slots=SlotSet(slots),
                ),
                now_s,
            )
        self._holders_read_s = now_s
        return holders

    def _acquire(self, wanted_count: int, holders: dict[int, SlotRecord]) -> None:
        for lease in self._slots.acquire(wanted_count, holders):
            self._use(lease, None)
            self._settles_until_s = self._now_s() + SETTLING_S

    def _use(self, lease: SlotLease, hand_over: SlotHandOver | None) -> None:
        now_s = self._now_s()
        if hand_over is None:
            self._ledger.add_slot(lease.slot, lease.end_s, now_s, never_held=lease.never_held)
        else:
            loans = slot_loans(hand_over)
            self._ledger.take_over_slot(lease.slot, lease.end_s, now_s, loans)
        table = ClaimTable(
            slot=lease.slot,
            lease_revision=lease.revision,
            lease_end_s=lease.end_s,
            now_s=now_s,
            previous_lease_revision=lease.previous_revision,
            never_held=lease.never_held,
        )
        if hand_over is not None:
            table.import_(claim_export(hand_over), now_s)
            self._import_verdicts(hand_over.verdicts)
        self._claims.add_table(table)
        self._on_slots(self._slots.held())
        self._record("slot-acquired", {"slot": lease.slot, "handed_over": hand_over is not None})

    def _add_table(self, slot: int, end_s: float, now_s: float) -> None:
        self._claims.add_table(
            ClaimTable(slot=slot, lease_revision=0, lease_end_s=end_s, now_s=now_s)
        )

    def _drop_ended(self) -> None:
        held = self._slots.held()
        ended = self._members.own.slots - held
        if ended:
            self._forget(ended, "the lease ended")

    def _forget(self, slots: SlotSet, reason: str) -> None:
        for slot in slots:
            # A later renewal must not revive a slot that is no longer lent from.
            self._slots.drop(slot)
            self._ledger.drop_slot(slot)
            self._claims.drop_table(slot)
        # Others look for free slots every 30 s or more; the fleet would lend nothing for as long.
        self._next_share_s = self._now_s()
        self._settles_until_s = self._now_s() + SETTLING_S
        self._on_slots(self._slots.held())
        self._record("slots-lost", {"slots": list(slots), "reason": reason})

    def _give_one(self, now_s: float, *, below_count: int) -> None:
        """Hand one slot to a peer that has fewer than a count."""
        successors = self._successors(below_count)
        if not successors:
            return
        # Raises while the store is down: no peer could take the slot, nor this instance back.
        self._read_holders(now_s)
        slot = max(self._slots.held())
        closes_s = self._close_home(slot)
        self._sleep(max(0.0, closes_s - self._now_s()))
        if slot in self._slots.held():
            self._give_or_release(slot, successors)

    def _give_or_release(self, slot: int, successors: list[str]) -> None:
        message = self._end_use(slot)
        is_handed = message is not None and self._hand_to(message, successors)
        if not is_handed and (message is None or self._stopped):
            self._release(slot)
        elif not is_handed:
            self._take_back(message)
        self._on_slots(self._slots.held())

    def _end_use(self, slot: int) -> SlotHandOver | None:
        """Stop using a slot, and return what its next holder has to know."""
        table = self._claims.drop_table(slot)
        if table is None:
            self._ledger.drop_slot(slot)
            return None
        now_s = self._now_s()
        return hand_over_message(
            table.export(now_s),
            self._ledger.hand_over_slot(slot, now_s),
            revision=self._revision(),
            verdicts=self._export_verdicts(slot),
        )

    def _hand_to(self, message: SlotHandOver, successors: list[str]) -> bool:
        """Hand one slot to the first peer that takes it."""
        slot = message.slot
        for address in successors:
            try:
                self._hand_over(address, message)
            except PeerHttpError as error:
                self._record("slot-hand-over-failed", {"slot": slot, "reason": str(error)})
                continue
            self._slots.drop(slot)
            self._record("slot-handed-over", {"slot": slot, "to": address})
            return True
        return False

    def _take_back(self, message: SlotHandOver) -> None:
        """Use a slot again that no peer has taken.

        A released slot lends nothing for a loan term at its next holder. The store refuses the slot
        if a peer took it and its answer was lost.
        """
        self._slots.drop(message.slot)
        self._on_slots(self._slots.held())
        self.take_over(message)

    def _release(self, slot: int) -> None:
        try:
            self._slots.release(slot)
        except StoreError as error:
            self._record("slot-not-released", {"slot": slot, "reason": str(error)})
        else:
            self._record("slot-released", {"slot": slot})

    def _successors(self, below_count: int) -> list[str]:
        """HTTP addresses of live peers with fewer slots than a count, in random order.

        Those with fewest slots do not go first: peers that stop too have just given theirs away.
        Peers in data centres that are or were just taken out are asked only by an instance that
        stops, when there are no others; they would give the slot away again.
        """
        peers = [
            record
            for record in self._members.live(self._now_s())
            if len(record.slots) < below_count
        ]
        preferred = [
            record for record in peers if self._data_centres.takes_slots(record.data_centre)
        ]
        chosen = preferred if preferred or not self._stopped else peers
        self._random.shuffle(chosen)
        addresses = [self._http_address_of(record.instance_id) for record in chosen]
        return [address for address in addresses if address is not None][:SUCCESSOR_TRIES]
