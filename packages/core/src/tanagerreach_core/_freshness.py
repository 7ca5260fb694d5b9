"""Decides whether an instance's configuration is recent enough to check API keys with it."""

import math
from dataclasses import dataclass

from ._drift import DRIFT_MARGIN_RATIO
from ._messages import HolderStatus
from ._slots import SlotSet

FRESHNESS_LIMIT_S = 3.0
MAX_PENDING_CONFIRMATIONS = 16


@dataclass(slots=True, kw_only=True)
class _HolderStatus:
    """Latest status of a slot's holder; ``as_of_s`` is a time before the holder reported it."""

    revision: int
    store_unavailable: bool
    as_of_s: float


class Freshness:
    """Age of the configuration, and the decision whether keyed requests may be served.

    A confirmation states that at some time the store's head revision was no higher than a given
    one. The instance is fresh as of that time once its own revision is at least the given one.

    Keyed requests are served while the age is at most ``freshness_limit_s``. Beyond that they
    are served only if, by the holder statuses received in reply to exchanges that were sent within
    the last ``freshness_limit_s``,

    - the store is unavailable to the holders of more than half of the slots, the own slots
      included, and
    - no holder has a higher revision than the instance.

    **Window of a withdrawn key.** Let the commit of the withdrawal take effect in the store at
    time C, and let M be the time at which holders of at least half of the slots have the
    withdrawal's revision (M is infinite if that never happens). An instance that has this
    revision refuses the key at once. One that does not have it may serve the key up to and
    including C + ``freshness_limit_s``, and, only while holders of more than half of the slots
    report that the store is unavailable to them, up to and including M + ``freshness_limit_s``.
    The second case needs a commit that reached the store while most holders could not. Its
    bound requires that a slot is never handed over to an instance with a lower revision.

    :param slot_count: number of slots in the fleet (S).
    :param freshness_limit_s: greatest age of the last confirmation and of a status, in seconds.
    """

    __slots__ = (
        "_bootstrapped",
        "_confirmed_at_s",
        "_limit_s",
        "_own_slots",
        "_own_store_unavailable",
        "_pending",
        "_revision",
        "_slot_count",
        "_store_revision",
        "_statuses",
    )

    def __init__(self, *, slot_count: int, freshness_limit_s: float = FRESHNESS_LIMIT_S) -> None:
        self._slot_count = slot_count
        self._limit_s = freshness_limit_s
        self._revision = 0
        self._confirmed_at_s: float | None = None
        self._bootstrapped = False
        self._store_revision: int | None = None
        self._pending: dict[int, float] = {}
        self._statuses: dict[int, _HolderStatus] = {}
        self._own_slots = SlotSet()
        self._own_store_unavailable = False

    @property
    def revision(self) -> int:
        """Revision that the instance uses, 0 before it has one."""
        return self._revision

    def adopt(self, revision: int) -> None:
        """Record that the instance now uses a revision; a lower one is ignored."""
        if revision <= self._revision:
            return
        self._revision = revision
        self._bootstrap_from_store()
        for pending in [item for item in self._pending if item <= revision]:
            self._confirm(self._pending.pop(pending))

    def confirm_from_store(self, revision: int, requested_at_s: float) -> None:
        """Record the head revision that the store returned.

        :param requested_at_s: this instance's clock before it sent the request to the store.
        """
        self._store_revision = revision
        self._bootstrap_from_store()
        self._own_store_unavailable = False
        self._record_confirmation(revision, requested_at_s)

    def confirm_from_peer(
        self,
        slots: SlotSet,
        *,
        revision: int,
        revision_age_s: float,
        store_unavailable: bool,
        requested_at_s: float,
    ) -> None:
        """Record an exchange from another instance.

        :param slots: the slots that the sender holds.
        :param revision: the sender's revision; 0 means that it has none.
        :param revision_age_s: age of the sender's last confirmation when it sent the exchange,
            infinite when it has none.
        :param store_unavailable: whether the store is unavailable to the sender.
        :param requested_at_s: this instance's clock before it sent the exchange to which this one
            is the reply.
        """
        if revision <= 0:
            return
        self.record_holder_status(
            slots,
            revision=revision,
            store_unavailable=store_unavailable,
            as_of_s=requested_at_s,
        )
        if revision_age_s >= 0.0 and math.isfinite(revision_age_s):
            age_s = revision_age_s * (1.0 + DRIFT_MARGIN_RATIO)
            self._record_confirmation(revision, requested_at_s - age_s)

    def record_holder_status(
        self, slots: SlotSet, *, revision: int, store_unavailable: bool, as_of_s: float
    ) -> None:
        """Record the status of the holder of some slots, reported directly or relayed.

        :param as_of_s: time on this instance's clock, not after the holder reported the status.
        """
        for slot in slots:
            known = self._statuses.get(slot)
            if slot < self._slot_count and (known is None or known.as_of_s <= as_of_s):
                self._statuses[slot] = _HolderStatus(
                    revision=revision, store_unavailable=store_unavailable, as_of_s=as_of_s
                )

    def holder_statuses(self, now_s: float) -> list[HolderStatus]:
        """Return the recent statuses and the own one, for instances that hear few holders."""
        holder_statuses = [
            HolderStatus(
                slots=SlotSet((slot,)),
                revision=status.revision,
                store_unavailable=status.store_unavailable,
                age_s=now_s - status.as_of_s,
            )
            for slot, status in self._recent_statuses(now_s).items()
        ]
        if self._own_slots:
            holder_statuses.append(
                HolderStatus(
                    slots=self._own_slots,
                    revision=self._revision,
                    store_unavailable=self._own_store_unavailable,
                    age_s=0.0,
                )
            )
        return holder_statuses

    def record_relayed_statuses(
        self, holder_statuses: list[HolderStatus], requested_at_s: float
    ) -> None:
        """Record statuses that another instance relayed.

        :param requested_at_s: this instance's clock before it sent the exchange to which the
            statuses are the reply.
        """
        for status in holder_statuses:
            if status.age_s >= 0.0:
                self.record_holder_status(
                    status.slots,
                    revision=status.revision,
                    store_unavailable=status.store_unavailable,
                    as_of_s=requested_at_s - status.age_s * (1.0 + DRIFT_MARGIN_RATIO),
                )

    def set_own_slots(self, slots: SlotSet) -> None:
        """Record which slots the instance itself holds."""
        self._own_slots = slots

    def set_store_unavailable(self, unavailable: bool) -> None:
        """Record whether the instance's own last call to the store failed."""
        self._own_store_unavailable = unavailable

    @property
    def store_unavailable(self) -> bool:
        """Whether the instance's own last call to the store failed."""
        return self._own_store_unavailable

    def age_s(self, now_s: float) -> float:
        """Return the time since the last confirmation, infinite when there is none."""
        if self._confirmed_at_s is None:
            return float("inf")
        return max(0.0, now_s - self._confirmed_at_s)

    def is_bootstrapped(self, now_s: float) -> bool:
        """Return whether the store or a majority has confirmed the revision since the start.

        A majority confirms it when holders of more than half of the slots have recent statuses, and
        no recent status has a higher revision.
        """
        if not self._bootstrapped and self._revision > 0:
            recent = self._recent_statuses(now_s)
            confirming = [status for status in recent.values() if status.revision <= self._revision]
            self._bootstrapped = len(confirming) == len(recent) and self._is_majority(
                len(confirming)
            )
        return self._bootstrapped and self._revision > 0

    def may_serve_keyed(self, now_s: float) -> bool:
        """Return whether keyed requests may be served."""
        if not self.is_bootstrapped(now_s):
            return False
        return self.age_s(now_s) <= self._limit_s or self._majority_reports_outage(now_s)

    def held_by_majority(self, revision: int) -> bool:
        """Return whether holders of at least half of the slots have a revision, as last reported.

        From then on, an instance with a lower revision cannot get the majority of statuses that
        it needs to serve keyed requests beyond the freshness limit.
        """
        statuses = self._statuses.items()
        holding = {slot for slot, status in statuses if status.revision >= revision}
        holding.difference_update(self._own_slots)
        if self._revision >= revision:
            holding.update(self._own_slots)
        return 2 * len(holding) >= self._slot_count

    def _bootstrap_from_store(self) -> None:
        store_revision = self._store_revision
        self._bootstrapped = self._bootstrapped or (
            store_revision is not None and store_revision <= self._revision
        )

    def _majority_reports_outage(self, now_s: float) -> bool:
        recent = self._recent_statuses(now_s)
        if any(status.revision > self._revision for status in recent.values()):
            return False
        outage_slots = {slot for slot, status in recent.items() if status.store_unavailable}
        if not outage_slots and len(self._own_slots) < self._slot_count:
            # An instance with a majority of the slots cannot tell an outage of the store from being
            # cut off itself, so another holder has to report the outage as well.
            return False
        if self._own_store_unavailable:
            outage_slots.update(self._own_slots)
        return self._is_majority(len(outage_slots))

    def _recent_statuses(self, now_s: float) -> dict[int, _HolderStatus]:
        """Return the statuses within the limit, except for slots that the instance holds."""
        return {
            slot: status
            for slot, status in self._statuses.items()
            if now_s - status.as_of_s <= self._limit_s and slot not in self._own_slots
        }

    def _is_majority(self, slot_count: int) -> bool:
        return 2 * slot_count > self._slot_count

    def _record_confirmation(self, revision: int, confirmed_at_s: float) -> None:
        if revision <= self._revision:
            self._confirm(confirmed_at_s)
            return
        self._pending[revision] = max(confirmed_at_s, self._pending.get(revision, confirmed_at_s))
        if len(self._pending) > MAX_PENDING_CONFIRMATIONS:
            del self._pending[min(self._pending)]

    def _confirm(self, at_s: float) -> None:
        if self._confirmed_at_s is None or at_s > self._confirmed_at_s:
            self._confirmed_at_s = at_s
