"""Acquires, renews and releases slot leases in the store."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec
import xxhash
from tanagerreach_core.messages import InstanceIncarnation, SlotSet

from ._store_client import (
    ConfigurationStore,
    ResponseLostError,
    StoreConflictError,
)

SLOT_KEY_PREFIX = "slots/"
# Keys without a lease, which show that a slot has been held before.
HISTORY_KEY_PREFIX = "slot-history/"


class SlotRecord(msgspec.Struct, kw_only=True):
    """Value of a slot's key in the store: the lease holder."""

    instance_id: str
    incarnation: int
    peer_address: str
    data_centre: str


@dataclass(slots=True, kw_only=True)
class SlotLease:
    """One held slot; ``end_s`` is a time of this process's clock.

    ``never_held`` is true if no instance held the slot before. ``previous_revision`` is the lease
    revision of the holder that handed the slot over, if there was a handover.
    """

    slot: int
    revision: int
    end_s: float
    never_held: bool = False
    previous_revision: int | None = None


class SlotLeaseClient:
    """Keeps this instance's slot leases.

    :param store: the configuration store.
    :param identity: incarnation of this instance.
    :param record: what the store shows of this instance as the holder.
    :param slot_count: number of slots of the fleet.
    :param lease_term_s: term of a slot lease.
    :param drift_margin_ratio: share of a term that is left unused as a margin for clock drift.
    :param now_s: clock in seconds.
    """

    __slots__ = (
        "_drift_margin_ratio",
        "_identity",
        "_lease_id",
        "_lease_term_s",
        "_leases",
        "_now_s",
        "_record",
        "_slot_count",
        "_store",
    )

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        identity: InstanceIncarnation,
        record: SlotRecord,
        slot_count: int,
        lease_term_s: float,
        drift_margin_ratio: float,
        now_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._identity = identity
        self._record = record
        self._slot_count = slot_count
        self._lease_term_s = lease_term_s
        self._drift_margin_ratio = drift_margin_ratio
        self._now_s = now_s
        self._lease_id: str | None = None
        self._leases: dict[int, SlotLease] = {}

    def held(self) -> SlotSet:
        """Return the slots whose lease has not ended by this process's clock."""
        now_s = self._now_s()
        return SlotSet(lease.slot for lease in self._leases.values() if lease.end_s > now_s)

    def lease_end_s(self, slot: int) -> float:
        """Return the end of a held slot's lease."""
        return self._leases[slot].end_s

    def renew(self) -> bool:
        """Renew the lease of all held slots.

        :returns: false if the lease has expired in the store, so that the slots are lost.
        :raises StoreError: when the store did not respond; the slots stay held until their end.
        """
        if self._lease_id is None:
            return True
        requested_at_s = self._now_s()
        if not self._store.renew_lease(self._lease_id):
            self._lease_id = None
            self._leases.clear()
            return False
        for lease in self._leases.values():
            lease.end_s = self._end_s(requested_at_s)
        return True

    def acquire(self, wanted_count: int, holders: dict[int, SlotRecord]) -> Iterator[SlotLease]:
        """Reclaim own slots, then acquire free ones until ``wanted_count`` are held.

        Own slots are those that the store shows for this incarnation and that it does not hold:
        the response to their acquisition was lost, or their lease has ended by this process's
        clock only. They are reclaimed even beyond ``wanted_count``, since no other instance can
        acquire them while the lease is renewed.

        :param holders: current result of :meth:`holders`; the store refuses a slot that another
            instance has acquired since.
        :returns: the newly held slots, one by one, so that an error does not lose earlier ones.
        :raises StoreError: when the store did not respond.
        """
        for slot in [slot for slot, record in holders.items() if self._is_own(record, slot)]:
            yield from self._acquire_slot(slot, self._own_revision(slot))
        free = [slot for slot in self._preferred_order() if slot not in holders]
        for slot in free[: max(0, wanted_count - len(self._leases))]:
            yield from self._acquire_slot(slot, 0)

    def _acquire_slot(self, slot: int, expected_revision: int | None) -> Iterator[SlotLease]:
        if expected_revision is None:
            return
        lease = self._try_acquire(slot, expected_revision)
        if lease is not None:
            lease.never_held = self._record_history(slot)
            self._leases[slot] = lease
            yield lease

    def take_over(self, slot: int, lease_revision: int) -> SlotLease | None:
        """Take over a slot from its holder, which has stopped using it.

        :param lease_revision: store revision of the holder's key.
        :returns: the lease, or None if the key is not at that revision.
        :raises StoreError: when the store did not respond.
        """
        lease = self._try_acquire(slot, lease_revision)
        if lease is not None:
            lease.previous_revision = lease_revision
            self._leases[slot] = lease
        return lease

    def drop(self, slot: int) -> SlotLease | None:
        """Stop holding a slot without a change in the store, such as after its handover."""
        return self._leases.pop(slot, None)

    def release(self, slot: int) -> None:
        """Release a slot, if held, so that other instances can acquire it.

        :raises StoreError: when the store did not respond; the slot then becomes free when its
            lease ends there.
        """
        lease = self._leases.pop(slot, None)
        if lease is not None:
            self._store.delete(_slot_key(slot), lease.revision)

    def release_all(self) -> None:
        """Release all slots by ending their lease.

        :raises StoreError: when the store did not respond.
        """
        self._leases.clear()
        if self._lease_id is not None:
            lease_id, self._lease_id = self._lease_id, None
            self._store.revoke_lease(lease_id)

    def holders(self) -> dict[int, SlotRecord]:
        """Read the holders of all slots from the store."""
        return {
            int(entry.key.removeprefix(SLOT_KEY_PREFIX)): msgspec.json.decode(
                entry.value, type=SlotRecord
            )
            for entry in self._store.list_keys(SLOT_KEY_PREFIX)
        }

    def _is_own(self, record: SlotRecord, slot: int) -> bool:
        return (
            slot not in self._leases
            and record.instance_id == self._identity.instance_id
            and record.incarnation == self._identity.incarnation
        )

    def _preferred_order(self) -> list[int]:
        # Instances that start at the same time begin at different slots: fewer conflicts.
        start = xxhash.xxh64_intdigest(self._identity.instance_id.encode()) % self._slot_count
        return [(start + offset) % self._slot_count for offset in range(self._slot_count)]

    def _record_history(self, slot: int) -> bool:
        """Record in the store that the slot has been held.

        The slot must not be used without this record, so store errors are not caught here.

        :returns: whether the slot was never held before.
        """
        try:
            self._store.compare_and_swap(f"{HISTORY_KEY_PREFIX}{slot}", b"held", 0)
        except StoreConflictError:
            return False
        return True

    def _try_acquire(self, slot: int, expected_revision: int) -> SlotLease | None:
        if self._lease_id is None:
            self._lease_id = self._store.grant_lease(self._lease_term_s)
        # The lease may be older than this slot, so each acquisition renews it.
        requested_at_s = self._now_s()
        if not self._store.renew_lease(self._lease_id):
            self._lease_id = None
            self._leases.clear()
            return None
        value = msgspec.json.encode(self._record)
        try:
            revision = self._store.compare_and_swap(
                _slot_key(slot), value, expected_revision, self._lease_id
            )
        except (StoreConflictError, ResponseLostError):
            # A conflict may also result from an earlier acquisition whose response was lost.
            revision = self._own_revision(slot)
        if revision is None:
            return None
        return SlotLease(slot=slot, revision=revision, end_s=self._end_s(requested_at_s))

    def _own_revision(self, slot: int) -> int | None:
        stored = self._store.read(_slot_key(slot))
        is_own = stored is not None and stored.value == msgspec.json.encode(self._record)
        return stored.revision if is_own else None

    def _end_s(self, requested_at_s: float) -> float:
        return requested_at_s + self._lease_term_s * (1 - self._drift_margin_ratio)


def _slot_key(slot: int) -> str:
    return f"{SLOT_KEY_PREFIX}{slot}"
