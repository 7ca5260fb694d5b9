"""Keeps this instance's share of the slots, and hands them over when it stops."""

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
from ._slot_handover import (
    SlotHandover,
    TransferredVerdicts,
    claim_export,
    handover_message,
    slot_loans,
)
from ._slot_lease_client import SlotLease, SlotLeaseClient, SlotRecord
from ._store_client import ConfigurationStore, StoreError, StoreInstance

# Free slots beyond the fair share are acquired only after this delay, since the platform's list of
# instances may be out of date.
EXTRA_SLOT_DELAY_S = 10.0
RENEWALS_PER_TERM = 4
# Instances that start at the same time know each other by then, so that none acquires all slots.
FIRST_SHARE_DELAY_S = 2.0
# Number of peers that a slot is offered to before it is released in the store. Several peers may be
# stopping at the same time and refuse.
MAX_HANDOVER_TRIES = 10
RENEWAL_MAX_INTERVAL_S = 60.0
# Interval of reading the slot holders from the store while settling. Later they are known from
# exchanges.
HOLDERS_SETTLING_INTERVAL_S = 4.0
# Time after the start, and after slots were lost or acquired, in which the fair share is computed
# and the holders are read at short intervals, since two instances that acquired slots at the same
# time learn of each other from the store only. Later the intervals are long, since each scan costs
# up to two calls to the store.
SETTLING_S = 30.0
SHARE_SETTLING_INTERVAL_S = 2.0
SHARE_INTERVAL_S = 30.0
# In a large fleet, an instance without slots scans for free ones at longer intervals, so that the
# whole fleet makes about one scan per slot in 30 s. With 680 instances, the lists are half of the
# bytes that such an instance transfers.
MAX_SCAN_INTERVAL_S = 300.0
# An instance without slots exchanges with this many holders.
MIN_LIVE_PEERS = 3


def scan_interval_s(*, instance_count: int, slot_count: int, frequent: bool) -> float:
    """Return the interval of reading the store's lists of instances and slots once settled.

    :param frequent: whether to use the short interval, since the instance holds slots or has too
        few live peers to learn the holders from.
    """
    if frequent:
        return SHARE_INTERVAL_S
    scaled_s = SHARE_INTERVAL_S * instance_count / slot_count
    return min(MAX_SCAN_INTERVAL_S, max(SHARE_INTERVAL_S, scaled_s))


class SlotManager:
    """Decides how many slots this instance holds, and acquires, renews and hands them over.

    :param record: records an event in the timeline.
    :param hand_over: hands a slot over to the peer at an HTTP address.
    :param http_address_of: returns the HTTP address of a peer.
    :param close_home: stops a home slot from issuing; returns the time at which all that it
        issued has expired.
    :param revision: returns the revision of this instance's configuration.
    :param data_centres: tracks where slots may move.
    :param on_slots: called with the held slots when they change.
    :param export_verdicts: returns the verdicts of the services whose home is at a slot.
    :param import_verdicts: adopts the verdicts of a slot handover.
    :param run_all: runs steps concurrently and returns when all have ended.
    """

    __slots__ = (
        "_claims",
        "_close_home",
        "_data_centres",
        "_export_verdicts",
        "_extra_since_s",
        "_hand_over",
        "_holders_read_at_s",
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
        "_last_renewal_s",
        "_revision",
        "_run_all",
        "_settling_until_s",
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
        hand_over: Callable[[str, SlotHandover], None],
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
        self._last_renewal_s = now_s()
        self._holders_read_at_s = -math.inf
        self._extra_since_s: float | None = None
        self._settling_until_s = now_s() + SETTLING_S
        self._next_share_s = now_s() + FIRST_SHARE_DELAY_S
        self._share = slot_count
        self._instance_count = 1
        self._stopped = False

    def register(self) -> None:
        """Add this instance to the platform's list.

        :raises StoreError: when the store did not respond.
        """
        self._store.register_instance(self._own)

    def step(self) -> None:
        """Renew, acquire or drop slots; call it about once a second.

        :raises StoreError: when the store did not respond.
        """
        if self._stopped:
            return
        now_s = self._now_s()
        self._drop_expired()
        if now_s - self._last_renewal_s >= self._renew_interval_s:
            self._renew(now_s)
        settling = now_s < self._settling_until_s
        settled_scan_interval_s = scan_interval_s(
            instance_count=self._instance_count,
            slot_count=self._slot_count,
            frequent=bool(self._slots.held()) or len(self._members.live(now_s)) < MIN_LIVE_PEERS,
        )
        holder_scan_interval_s = (
            HOLDERS_SETTLING_INTERVAL_S if settling else settled_scan_interval_s
        )
        share_due = now_s >= self._next_share_s
        if share_due or now_s - self._holders_read_at_s >= holder_scan_interval_s:
            holders = self._read_holders(now_s)
        if share_due:
            self._next_share_s = now_s + SHARE_SETTLING_INTERVAL_S
            self._share = self._wanted_count(now_s, len(holders))
            self._acquire(self._share, holders)
            # After an error, or if other instances acquired the free slots, the next scan is soon.
            has_share = len(self._slots.held()) >= self._share
            if not settling and (has_share or len(holders) >= self._slot_count):
                self._next_share_s = now_s + settled_scan_interval_s
        self._data_centres.update()
        # Remaining slots would be unusable until their lease ends if the data centre is shut down.
        hands_over_all = self._data_centres.must_hand_over_slots()
        if len(self._slots.held()) > (0 if hands_over_all else self._share):
            self._hand_over_one(
                now_s, below_count=self._slot_count if hands_over_all else self._share
            )

    def take_over(self, handover: SlotHandover) -> bool:
        """Take over a slot from a peer, with its loans, claims and verdicts."""
        if self._stopped or handover.revision > self._revision():
            return False
        try:
            lease = self._slots.take_over(handover.slot, handover.lease_revision)
        except StoreError:
            # The store may show the slot as this instance's, which the next scan finds.
            self._next_share_s = self._now_s()
            return False
        if lease is None:
            return False
        self._start_using(lease, handover)
        return True

    def leave(self) -> None:
        """Hand all slots over to peers; release those that no peer accepts."""
        self._stopped = True
        held = self._slots.held()
        closes_s = max((self._close_home(slot) for slot in held), default=self._now_s())
        self._sleep(max(0.0, closes_s - self._now_s()))
        # An excess slot may have been handed over meanwhile, or a lease may have ended. All homes
        # are closed now, so slots are handed over concurrently.
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
        self._hand_over_or_release(slot, self._successors(self._slot_count))

    def _wanted_count(self, now_s: float, taken_count: int) -> int:
        if self._data_centres.is_own_out_of_service():
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
            self._drop_slots(lost, "the lease lapsed in the store")
            return
        self._last_renewal_s = now_s
        for slot in self._slots.held():
            end_s = self._slots.lease_end_s(slot)
            self._ledger.extend_slot(slot, end_s, now_s)
            table = self._claims.table(slot)
            if table is None or not table.extend_lease(end_s, now_s):
                self._add_table(slot, end_s, now_s)

    def _read_holders(self, now_s: float) -> dict[int, SlotRecord]:
        """Read the holders of all slots from the store and record them in the member table."""
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
        self._holders_read_at_s = now_s
        return holders

    def _acquire(self, wanted_count: int, holders: dict[int, SlotRecord]) -> None:
        for lease in self._slots.acquire(wanted_count, holders):
            self._start_using(lease, None)
            self._settling_until_s = self._now_s() + SETTLING_S

    def _start_using(self, lease: SlotLease, handover: SlotHandover | None) -> None:
        now_s = self._now_s()
        if handover is None:
            self._ledger.add_slot(lease.slot, lease.end_s, now_s, never_held=lease.never_held)
        else:
            loans = slot_loans(handover)
            self._ledger.take_over_slot(lease.slot, lease.end_s, now_s, loans)
        table = ClaimTable(
            slot=lease.slot,
            lease_revision=lease.revision,
            lease_end_s=lease.end_s,
            now_s=now_s,
            previous_lease_revision=lease.previous_revision,
            never_held=lease.never_held,
        )
        if handover is not None:
            table.import_claims(claim_export(handover), now_s)
            self._import_verdicts(handover.verdicts)
        self._claims.add_table(table)
        self._on_slots(self._slots.held())
        self._record("slot-acquired", {"slot": lease.slot, "handed_over": handover is not None})

    def _add_table(self, slot: int, end_s: float, now_s: float) -> None:
        self._claims.add_table(
            ClaimTable(slot=slot, lease_revision=0, lease_end_s=end_s, now_s=now_s)
        )

    def _drop_expired(self) -> None:
        held = self._slots.held()
        ended = self._members.own.slots - held
        if ended:
            self._drop_slots(ended, "the lease ended")

    def _drop_slots(self, slots: SlotSet, reason: str) -> None:
        for slot in slots:
            # A later renewal must not extend a slot that no longer lends.
            self._slots.drop(slot)
            self._ledger.drop_slot(slot)
            self._claims.drop_table(slot)
        # Other instances scan for free slots only every 30 s or more; until then nobody would lend
        # from these slots.
        self._next_share_s = self._now_s()
        self._settling_until_s = self._now_s() + SETTLING_S
        self._on_slots(self._slots.held())
        self._record("slots-lost", {"slots": list(slots), "reason": reason})

    def _hand_over_one(self, now_s: float, *, below_count: int) -> None:
        """Hand one slot over to a peer that holds fewer than ``below_count``."""
        successors = self._successors(below_count)
        if not successors:
            return
        # Raises while the store is down, when neither could a peer take the slot over nor this
        # instance reclaim it.
        self._read_holders(now_s)
        slot = max(self._slots.held())
        closes_s = self._close_home(slot)
        self._sleep(max(0.0, closes_s - self._now_s()))
        if slot in self._slots.held():
            self._hand_over_or_release(slot, successors)

    def _hand_over_or_release(self, slot: int, successors: list[str]) -> None:
        message = self._stop_using(slot)
        is_handed_over = message is not None and self._offer_to_peers(message, successors)
        if not is_handed_over and (message is None or self._stopped):
            self._release(slot)
        elif not is_handed_over:
            self._reclaim(message)
        self._on_slots(self._slots.held())

    def _stop_using(self, slot: int) -> SlotHandover | None:
        """Stop using a slot, and return its handover message."""
        table = self._claims.drop_table(slot)
        if table is None:
            self._ledger.drop_slot(slot)
            return None
        now_s = self._now_s()
        return handover_message(
            table.export(now_s),
            self._ledger.hand_over_slot(slot, now_s),
            revision=self._revision(),
            verdicts=self._export_verdicts(slot),
        )

    def _offer_to_peers(self, message: SlotHandover, successors: list[str]) -> bool:
        """Offer a slot to peers in turn; return whether one accepted it."""
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

    def _reclaim(self, message: SlotHandover) -> None:
        """Use a slot again that no peer has accepted.

        A released slot would lend nothing for a loan term at its next holder. The store refuses
        the slot if a peer took it over and its response was lost.
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
        """Return the HTTP addresses of live peers with fewer than ``below_count`` slots.

        The order is random. Peers with the fewest slots are not preferred, since peers that are
        stopping have just handed theirs over. Peers in data centres that are, or recently were,
        out of service would hand the slot over again; only an instance that stops offers slots to
        them, and only if there are no others.
        """
        peers = [
            record
            for record in self._members.live(self._now_s())
            if len(record.slots) < below_count
        ]
        preferred = [
            record for record in peers if self._data_centres.accepts_slots(record.data_centre)
        ]
        chosen = preferred if preferred or not self._stopped else peers
        self._random.shuffle(chosen)
        addresses = [self._http_address_of(record.instance_id) for record in chosen]
        return [address for address in addresses if address is not None][:MAX_HANDOVER_TRIES]
