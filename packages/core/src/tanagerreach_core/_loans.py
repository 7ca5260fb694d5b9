"""Quorum leases (loans) that the holders of slots grant to homes.

Each slot contributes one share of every rendezvous key. A lender never lends the share of a key to
two homes at once, and a loan ends on the borrower's clock before it ends on the lender's. Both
follow from the rules in section 2.2 of ``docs/design.md``.
"""

import math
from dataclasses import dataclass

from ._cold_start import EARLIER_PERMITS_S
from ._drift import DRIFT_MARGIN_RATIO
from ._messages import InstanceIncarnation, Loan
from ._rendezvous import home_slot
from ._slots import SlotSet

LOAN_TERM_S = 8.0
GRANT_TERM_MAX_S = 1.0
# The ledger keeps the latest borrowers that returned their loans, so that it grants no loan for an
# exchange that was sent before the return and arrives after it.
RETURNED_BORROWERS_MAX = 1024
# A lender with more earlier candidate sets than this lists none of them, to keep exchanges short.
EARLIER_CANDIDATES_MAX = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class OutstandingLoan:
    """Loan for one home slot, as its lender records it."""

    borrower: InstanceIncarnation
    home: int
    candidates: SlotSet
    ends_s: float

    def permits(self, borrower: InstanceIncarnation, home: int, candidates: SlotSet) -> bool:
        """Return whether a loan to ``home`` is compatible with this loan.

        The same home slot may borrow again only for the same borrower. Two different home slots
        must each be in the other loan's candidate set; then no rendezvous key has both as its home.
        """
        if home == self.home:
            return borrower == self.borrower
        return home in self.candidates and self.home in candidates


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferredLoan:
    """Loan in a slot handover; ``remaining_s`` is the time until it ends."""

    borrower: InstanceIncarnation
    home: int
    candidates: SlotSet
    remaining_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SlotLoans:
    """Loans in a slot handover, which let the next lease holder lend without a new quiet period.

    ``quiet_s`` is what remains of the previous holder's own quiet period.
    """

    quiet_s: float
    loans: tuple[TransferredLoan, ...]


@dataclass(slots=True)
class _LentSlot:
    lease_end_s: float
    quiet_until_s: float
    history_complete_from_s: float


class LoanLedger:
    """Loans that one instance grants from all its slots, also to its own home slots.

    :param loan_term_s: term of each loan, the same in the whole fleet.
    :param drift_margin_ratio: bound on the relative drift of two clocks of the fleet.
    :param slot_count: number of slots in the fleet. A loan whose candidate set has at most half of
        the slots gives no exclusive right, so it is not kept after its end.
    :param loan_retention_s: how long an ended loan is kept, as permits that were issued on it may
        still be in use.
    """

    __slots__ = (
        "_drift_margin_ratio",
        "_loan_term_s",
        "_loans",
        "_loan_retention_s",
        "_ended_loans",
        "_quiet_s",
        "_returned",
        "_slot_count",
        "_slots",
    )

    def __init__(
        self,
        *,
        loan_term_s: float = LOAN_TERM_S,
        drift_margin_ratio: float = DRIFT_MARGIN_RATIO,
        slot_count: int = 0,
        loan_retention_s: float = EARLIER_PERMITS_S,
    ) -> None:
        self._loan_term_s = loan_term_s
        self._slot_count = slot_count
        self._loan_retention_s = loan_retention_s
        self._ended_loans: dict[OutstandingLoan, None] = {}
        self._drift_margin_ratio = drift_margin_ratio
        self._quiet_s = loan_term_s * (1 + drift_margin_ratio)
        self._slots: dict[int, _LentSlot] = {}
        self._loans: dict[tuple[InstanceIncarnation, int, SlotSet], OutstandingLoan] = {}
        self._returned: dict[InstanceIncarnation, None] = {}

    @property
    def slots(self) -> SlotSet:
        """Slots that the ledger lends from, including those in their quiet period."""
        return SlotSet(self._slots)

    def add_slot(
        self, slot: int, lease_end_s: float, now_s: float, *, never_held: bool = False
    ) -> None:
        """Lend from a slot after a quiet period of one loan term.

        :param lease_end_s: end of the slot lease on this instance's clock, counted from before the
            lease request and less the drift margin.
        :param never_held: the store shows that no instance held the slot before; there are no loans
            of a previous holder to wait for, so the quiet period is left out.
        """
        quiet_until_s = now_s if never_held else now_s + self._quiet_s
        history_complete_from_s = now_s if never_held else quiet_until_s + self._loan_retention_s
        self._slots[slot] = _LentSlot(lease_end_s, quiet_until_s, history_complete_from_s)

    def hand_over_slot(self, slot: int, now_s: float) -> SlotLoans:
        """Stop lending from a slot, and return the loans for its next holder.

        :raises KeyError: when the ledger does not lend from the slot.
        """
        lent = self._slots.pop(slot)
        loans = tuple(
            TransferredLoan(
                borrower=loan.borrower,
                home=loan.home,
                candidates=loan.candidates,
                remaining_s=loan.ends_s - now_s,
            )
            for loan in self.outstanding(now_s)
        )
        return SlotLoans(quiet_s=max(0.0, lent.quiet_until_s - now_s), loans=loans)

    def take_over_slot(
        self, slot: int, lease_end_s: float, now_s: float, transferred: SlotLoans
    ) -> None:
        """Lend from a slot that its previous holder handed over.

        The transferred loans then restrict every slot of this ledger, like its own loans.
        """
        factor = 1 + self._drift_margin_ratio
        quiet_until_s = now_s + transferred.quiet_s * factor
        # The handover does not include the loans that had ended at the previous holder.
        history_complete_from_s = quiet_until_s + self._loan_retention_s
        self._slots[slot] = _LentSlot(lease_end_s, quiet_until_s, history_complete_from_s)
        for loan in transferred.loans:
            key = (loan.borrower, loan.home, loan.candidates)
            ends_s = now_s + loan.remaining_s * factor
            known = self._loans.get(key)
            if known is None or known.ends_s < ends_s:
                self._loans[key] = OutstandingLoan(
                    borrower=loan.borrower,
                    home=loan.home,
                    candidates=loan.candidates,
                    ends_s=ends_s,
                )

    def extend_slot(self, slot: int, lease_end_s: float, now_s: float) -> None:
        """Record a renewed lease of a slot.

        When the lease had ended before the renewal, another instance may have held the slot in
        between, so a new quiet period starts.

        :raises KeyError: when the ledger does not lend from the slot.
        """
        lent = self._slots[slot]
        if now_s >= lent.lease_end_s:
            self.add_slot(slot, lease_end_s, now_s)
            return
        lent.lease_end_s = max(lent.lease_end_s, lease_end_s)

    def drop_slot(self, slot: int) -> None:
        """Stop lending from a slot; call this before the slot is handed over or released."""
        self._slots.pop(slot, None)

    def lendable(self, now_s: float) -> SlotSet:
        """Return the slots that may grant a loan of a full term now."""
        return SlotSet(
            slot
            for slot, lent in self._slots.items()
            if now_s >= lent.quiet_until_s and now_s + self._loan_term_s <= lent.lease_end_s
        )

    def grant(
        self, borrower: InstanceIncarnation, homes: SlotSet, candidates: SlotSet, now_s: float
    ) -> Loan | None:
        """Lend from all lendable slots to those home slots that no outstanding loan rules out.

        :param homes: home slots that the borrower holds.
        :param candidates: the lender's candidate set.
        :returns: the loan, already recorded in the ledger, or ``None`` when nothing can be lent.
        """
        lender_slots = self.lendable(now_s)
        if not lender_slots or borrower in self._returned:
            return None
        outstanding = self.outstanding(now_s)
        granted = SlotSet(
            home
            for home in homes & candidates
            if all(loan.permits(borrower, home, candidates) for loan in outstanding)
        )
        if not granted:
            return None
        earlier = self._earlier_loans(now_s)
        ends_s = now_s + self._loan_term_s
        for home in granted:
            self._loans[borrower, home, candidates] = OutstandingLoan(
                borrower=borrower, home=home, candidates=candidates, ends_s=ends_s
            )
        other_candidates = {loan.candidates for loan in earlier} - {candidates}
        lists_all_candidates = len(other_candidates) <= EARLIER_CANDIDATES_MAX
        return Loan(
            lender_slots=lender_slots,
            home_slots=granted,
            candidates=candidates,
            term_s=self._loan_term_s,
            slots_with_history=self._slots_with_history(lender_slots, now_s)
            if lists_all_candidates
            else SlotSet(),
            earlier_candidates=list(other_candidates) if lists_all_candidates else [],
            earlier_homes=granted
            & SlotSet(loan.home for loan in earlier if loan.borrower != borrower),
        )

    def blocked_until_s(
        self, borrower: InstanceIncarnation, homes: SlotSet, candidates: SlotSet, now_s: float
    ) -> float:
        """Return when the last loan that blocks a grant ends; ``now_s`` when none blocks it.

        At that time the lender can reply to the borrower's latest exchange again, instead of
        waiting for the next one.
        """
        ends_s = [now_s]
        for loan in self.outstanding(now_s):
            if not all(loan.permits(borrower, home, candidates) for home in homes & candidates):
                ends_s.append(loan.ends_s)
        return max(ends_s)

    def return_all(self, borrower: InstanceIncarnation) -> bool:
        """End all loans to a borrower that returns them, and grant it no further loan.

        :returns: whether a loan was outstanding.
        """
        self._returned[borrower] = None
        if len(self._returned) > RETURNED_BORROWERS_MAX:
            del self._returned[next(iter(self._returned))]
        return self._end_loans([key for key in self._loans if key[0] == borrower])

    def return_homes(self, borrower: InstanceIncarnation, homes: SlotSet) -> bool:
        """End the loans to home slots that a borrower gave up.

        The borrower may still borrow for its other home slots.

        :returns: whether such a loan was outstanding.
        """
        return self._end_loans(
            [key for key in self._loans if key[0] == borrower and key[1] in homes]
        )

    def outstanding(self, now_s: float) -> list[OutstandingLoan]:
        """Return the loans that have not ended, after expiring the others."""
        self._end_loans([key for key, loan in self._loans.items() if loan.ends_s <= now_s])
        return list(self._loans.values())

    def _end_loans(self, keys: list[tuple[InstanceIncarnation, int, SlotSet]]) -> bool:
        """End loans, and keep those that may have given exclusive rights.

        A returned loan is kept with its recorded end, which is an upper bound of its real end.
        """
        for key in keys:
            loan = self._loans.pop(key)
            if 2 * len(loan.candidates) > self._slot_count:
                self._ended_loans[loan] = None
        return bool(keys)

    def _earlier_loans(self, now_s: float) -> list[OutstandingLoan]:
        """Return the loans behind exclusive rights that may still be in use."""
        for loan in [
            loan for loan in self._ended_loans if loan.ends_s + self._loan_retention_s <= now_s
        ]:
            del self._ended_loans[loan]
        current = [
            loan for loan in self._loans.values() if 2 * len(loan.candidates) > self._slot_count
        ]
        return [*self._ended_loans, *current]

    def _slots_with_history(self, lender_slots: SlotSet, now_s: float) -> SlotSet:
        return SlotSet(
            slot for slot in lender_slots if now_s >= self._slots[slot].history_complete_from_s
        )


@dataclass(slots=True, frozen=True)
class _EarlierLoans:
    """Earlier loans that a lender reported; ``homes`` were lent to other borrowers."""

    candidates: tuple[SlotSet, ...]
    homes: SlotSet

    def restricts_less_than(self, other: "_EarlierLoans | None") -> bool:
        """Return whether this report lists fewer earlier loans than another one.

        ``None`` stands for an unknown history, which restricts the most.
        """
        if other is None:
            return True
        count = len(self.candidates) + len(self.homes)
        return count < len(other.candidates) + len(other.homes)


@dataclass(slots=True)
class _HeldLoan:
    """Loan of one slot; ``earlier`` is ``None`` when the slot's earlier loans are unknown."""

    ends_s: float
    since_s: float
    earlier: _EarlierLoans | None = None


@dataclass(slots=True, frozen=True)
class HeldShare:
    """Shares of one rendezvous key that a home holds.

    The home issues nothing for longer than ``term_limit_s``, and counts the shares that last longer
    than that: ``counted_since_s`` lists, in ascending order, since when it has held each of them.
    ``live_count`` includes the shares that end sooner.
    """

    slot_count: int
    counted_since_s: tuple[float, ...] = ()
    live_count: int = 0
    term_limit_s: float = 0.0

    @property
    def count(self) -> int:
        """Number of counted shares."""
        return len(self.counted_since_s)

    @property
    def is_majority(self) -> bool:
        """Whether the counted shares are more than half of all shares."""
        return 2 * self.count > self.slot_count

    @property
    def majority_since_s(self) -> float:
        """Time since which the counted shares are a majority; infinity when they are not."""
        if not self.is_majority:
            return math.inf
        return self.counted_since_s[self.slot_count // 2]

    def count_since(self, time_s: float) -> int:
        """Return how many counted shares have been held continuously since ``time_s``."""
        since = self.counted_since_s
        if since and since[-1] <= time_s:
            return len(since)
        return sum(1 for since_s in since if since_s <= time_s)

    def share_seconds(self, from_s: float, now_s: float) -> float:
        """Return the sum, over the counted shares, of the time held between two times."""
        since = self.counted_since_s
        if not since:
            return 0.0
        if since[-1] <= from_s:
            return len(since) * (now_s - from_s)
        return sum(max(0.0, now_s - max(from_s, since_s)) for since_s in since)


class HeldLoans:
    """Loans that one instance holds for its home slots.

    :param slot_count: number of slots in the fleet.
    :param drift_margin_ratio: fraction of each term that is left unused, for clock drift.
    :param grant_term_max_s: longest term of a grant or permit that a home issues.
    """

    __slots__ = (
        "_slot_count",
        "_margin_factor",
        "_grant_term_max_s",
        "_loans_by_home",
        "_closes_s",
        "_home_closes_s",
    )

    def __init__(
        self,
        *,
        slot_count: int,
        drift_margin_ratio: float = DRIFT_MARGIN_RATIO,
        grant_term_max_s: float = GRANT_TERM_MAX_S,
    ) -> None:
        self._slot_count = slot_count
        self._margin_factor = 1 - drift_margin_ratio
        self._grant_term_max_s = grant_term_max_s
        self._loans_by_home: dict[int, dict[SlotSet, dict[int, _HeldLoan]]] = {}
        self._closes_s = math.inf
        # Closing times of the home slots that are being given up.
        self._home_closes_s: dict[int, float] = {}

    @property
    def slot_count(self) -> int:
        """Number of slots in the fleet."""
        return self._slot_count

    @property
    def homes(self) -> SlotSet:
        """Home slots with loans, some of which may have ended."""
        return SlotSet(self._loans_by_home)

    def record(self, loan: Loan, requested_at_s: float, now_s: float) -> bool:
        """Record a received loan.

        :param requested_at_s: time before the exchange was sent to which the loan is the reply.
        :param now_s: time of receipt. The share counts as held from then on, since another home
            may have held it until the lender granted the loan.
        :returns: false when the loan has ended or :meth:`close` was called.
        """
        ends_s = requested_at_s + loan.term_s * self._margin_factor
        if self._closes_s < math.inf or ends_s <= now_s:
            return False
        earlier_loans = _EarlierLoans(tuple(loan.earlier_candidates), loan.earlier_homes)
        for home in loan.home_slots:
            if home in self._home_closes_s:
                continue
            groups = self._loans_by_home.setdefault(home, {})
            lenders = groups.setdefault(loan.candidates, {})
            for lender in loan.lender_slots:
                earlier = earlier_loans if lender in loan.slots_with_history else None
                held = lenders.get(lender)
                if held is None or held.ends_s <= now_s:
                    lenders[lender] = _HeldLoan(ends_s, now_s, earlier)
                    continue
                held.ends_s = max(held.ends_s, ends_s)
                # A report stays valid while the loan lasts, as the lender lends to no other home.
                if earlier is not None and earlier.restricts_less_than(held.earlier):
                    held.earlier = earlier
        self._expire_loans(now_s)
        return True

    def share(self, rendezvous_key: bytes, home: int, now_s: float) -> HeldShare:
        """Return the shares of a rendezvous key on which a home slot may issue rights."""
        term_limit_s = self.home_term_limit_s(home, now_s)
        live = self._live_loans(rendezvous_key, home, now_s)
        if not live or term_limit_s <= 0:
            return HeldShare(self._slot_count, (), len(live), 0.0)
        counted_from_s = now_s + term_limit_s
        counted = [held.since_s for held in live.values() if held.ends_s > counted_from_s]
        counted.sort()
        return HeldShare(self._slot_count, tuple(counted), len(live), term_limit_s)

    def lender_count(
        self,
        rendezvous_key: bytes,
        home: int,
        now_s: float,
        min_remaining_s: float = GRANT_TERM_MAX_S,
    ) -> int:
        """Count the slots whose loan of a key's share lasts longer than ``min_remaining_s``."""
        if self.home_term_limit_s(home, now_s) <= 0:
            return 0
        live = self._live_loans(rendezvous_key, home, now_s)
        return sum(1 for held in live.values() if held.ends_s - now_s > min_remaining_s)

    def lenders(self, rendezvous_key: bytes, home: int, now_s: float) -> SlotSet:
        """Return the slots that lend a rendezvous key's share to a home slot now."""
        is_open = self.home_term_limit_s(home, now_s) > 0
        return SlotSet(self._live_loans(rendezvous_key, home, now_s)) if is_open else SlotSet()

    def holds_exclusive(self, rendezvous_key: bytes, home: int, now_s: float) -> bool:
        """Return whether a home slot may issue exclusive rights on a rendezvous key.

        Only loans with more than half of the slots as candidates count, so that a lender need not
        keep the loans that it granted while it knew few slots.
        """
        if not self.share(rendezvous_key, home, now_s).is_majority:
            return False
        return 2 * len(self._exclusive_lenders(rendezvous_key, home, now_s)) > self._slot_count

    def holds_solely(self, rendezvous_key: bytes, home: int, now_s: float) -> bool:
        """Return whether no other home can have issued exclusive rights that are still in use.

        Issuing them takes loans from more than half of the slots. So no other home issued any if
        more than half of the slots report that they lent the key to no other home recently enough.
        """
        sole_lenders = [
            held
            for held in self._exclusive_lenders(rendezvous_key, home, now_s)
            if held.earlier is not None
            and home not in held.earlier.homes
            and all(
                home_slot(rendezvous_key, candidates, self._slot_count) == home
                for candidates in held.earlier.candidates
            )
        ]
        return 2 * len(sole_lenders) > self._slot_count

    def _exclusive_lenders(self, rendezvous_key: bytes, home: int, now_s: float) -> list[_HeldLoan]:
        """Return one loan for each lender slot, preferably one with known earlier loans."""
        min_ends_s = now_s + self.home_term_limit_s(home, now_s)
        found: dict[int, _HeldLoan] = {}
        for candidates, lenders in self._loans_by_home.get(home, {}).items():
            if 2 * len(candidates) <= self._slot_count:
                continue
            if home_slot(rendezvous_key, candidates, self._slot_count) != home:
                continue
            for lender, held in lenders.items():
                known = found.get(lender)
                if held.ends_s > min_ends_s and (known is None or known.earlier is None):
                    found[lender] = held
        return list(found.values())

    def term_limit_s(self, now_s: float) -> float:
        """Return the longest term of a grant issued now; zero from the closing time on."""
        return max(0.0, min(self._grant_term_max_s, self._closes_s - now_s))

    def home_term_limit_s(self, home: int, now_s: float) -> float:
        """Return the longest term of a grant that one home slot issues now."""
        limit_s = self.term_limit_s(now_s)
        closes_s = self._home_closes_s.get(home)
        return limit_s if closes_s is None else max(0.0, min(limit_s, closes_s - now_s))

    def close_home(self, home: int, now_s: float) -> float:
        """Set a closing time for one home slot, as :meth:`close` does for all.

        :returns: the closing time; the home's loans may be returned from then on.
        """
        closes_s = now_s + self._grant_term_max_s
        return self._home_closes_s.setdefault(home, closes_s)

    def may_return_home(self, home: int, now_s: float) -> bool:
        """Return whether an exchange may announce the return of one home slot's loans."""
        return now_s >= min(self._closes_s, self._home_closes_s.get(home, math.inf))

    def drop_home(self, home: int) -> None:
        """Drop the loans of a home slot that was given up; it may be acquired again later."""
        self._home_closes_s.pop(home, None)
        self._loans_by_home.pop(home, None)

    def close(self, now_s: float) -> float:
        """Accept no further loans, and limit the terms of new grants to a closing time.

        :returns: the closing time. The loans must not be returned earlier, since grants that were
            already issued last until then.
        """
        self._closes_s = min(self._closes_s, now_s + self._grant_term_max_s)
        return self._closes_s

    def may_return(self, now_s: float) -> bool:
        """Return whether an exchange may announce the return of all loans."""
        return now_s >= self._closes_s

    def _live_loans(self, rendezvous_key: bytes, home: int, now_s: float) -> dict[int, _HeldLoan]:
        """Return the loans of a rendezvous key's share that have not ended, by lender slot."""
        live: dict[int, _HeldLoan] = {}
        for candidates, lenders in self._loans_by_home.get(home, {}).items():
            if home_slot(rendezvous_key, candidates, self._slot_count) != home:
                continue
            found = {lender: held for lender, held in lenders.items() if held.ends_s > now_s}
            # A lender may have lent with several candidate sets.
            for lender in live.keys() & found.keys():
                known, held = live[lender], found[lender]
                found[lender] = _HeldLoan(
                    max(known.ends_s, held.ends_s), min(known.since_s, held.since_s)
                )
            live = live | found if live else found
        return live

    def _expire_loans(self, now_s: float) -> None:
        for home in list(self._loans_by_home):
            groups = self._loans_by_home[home]
            for candidates in list(groups):
                if all(held.ends_s <= now_s for held in groups[candidates].values()):
                    del groups[candidates]
            if not groups:
                del self._loans_by_home[home]
