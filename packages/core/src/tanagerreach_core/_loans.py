"""Loans of slot shares from lenders to homes.

A lender never lends one rendezvous key's share to two homes, and a borrower's view of a loan always
ends before the lender's. Both follow from the rules in section 2.2 of ``docs/design.md``.
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
# Borrowers that returned their loans are remembered, so that an exchange which was sent before
# the return and arrives after it gets no loan.
RETURNED_BORROWERS_MAX = 1024
# A lender that has lent on more candidate sets of late does not name them, to keep exchanges short.
EARLIER_CANDIDATES_MAX = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class OutstandingLoan:
    """Loan for one home slot as its lender records it."""

    borrower: InstanceIncarnation
    home: int
    candidates: SlotSet
    ends_s: float

    def permits(self, borrower: InstanceIncarnation, home: int, candidates: SlotSet) -> bool:
        """Tell whether a loan to ``home`` can cover nothing that this loan covers.

        The same home slot may borrow again only for the same borrower. Different homes need
        each other in their candidate sets, which makes the covers disjoint.
        """
        if home == self.home:
            return borrower == self.borrower
        return home in self.candidates and self.home in candidates


@dataclass(slots=True, kw_only=True, frozen=True)
class TransferredLoan:
    """Loan on its way to the next holder of a lender slot; ``remaining_s`` is a duration."""

    borrower: InstanceIncarnation
    home: int
    candidates: SlotSet
    remaining_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SlotLoans:
    """What a lender slot's holder hands over, so that the next one may lend at once.

    ``quiet_s`` is the rest of the holder's own quiet period.
    """

    quiet_s: float
    loans: tuple[TransferredLoan, ...]


@dataclass(slots=True)
class _LentSlot:
    lease_end_s: float
    quiet_until_s: float
    remembers_from_s: float


class LoanLedger:
    """Loans granted by one instance from all its slots.

    Loans to the instance's own home slots go through the ledger too.

    :param loan_term_s: term of each loan, the same in the whole fleet.
    :param drift_margin_ratio: bound on the relative drift of two clocks of the fleet.
    :param slot_count: number of slots in the fleet; loans on half of the slots or fewer as
        candidates give no exclusive right, and are not remembered.
    :param memory_s: how long a loan is remembered after its end, since permits that were issued on
        it may be in use.
    """

    __slots__ = (
        "_drift_margin_ratio",
        "_loan_term_s",
        "_loans",
        "_memory_s",
        "_past",
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
        memory_s: float = EARLIER_PERMITS_S,
    ) -> None:
        self._loan_term_s = loan_term_s
        self._slot_count = slot_count
        self._memory_s = memory_s
        self._past: dict[OutstandingLoan, None] = {}
        self._drift_margin_ratio = drift_margin_ratio
        self._quiet_s = loan_term_s * (1 + drift_margin_ratio)
        self._slots: dict[int, _LentSlot] = {}
        self._loans: dict[tuple[InstanceIncarnation, int, SlotSet], OutstandingLoan] = {}
        self._returned: dict[InstanceIncarnation, None] = {}

    @property
    def slots(self) -> SlotSet:
        """Return the slots that the ledger lends from, with those that do not lend yet."""
        return SlotSet(self._slots)

    def add_slot(
        self, slot: int, lease_end_s: float, now_s: float, *, never_held: bool = False
    ) -> None:
        """Lend from a slot after a quiet period of one loan term.

        :param lease_end_s: end of the slot lease on the own clock, counted from before the lease
            request and less the drift margin.
        :param never_held: the store shows that no instance held the slot before, so no loan of a
            previous holder can run on and the quiet period is left out.
        """
        quiet_until_s = now_s if never_held else now_s + self._quiet_s
        remembers_from_s = now_s if never_held else quiet_until_s + self._memory_s
        self._slots[slot] = _LentSlot(lease_end_s, quiet_until_s, remembers_from_s)

    def hand_over_slot(self, slot: int, now_s: float) -> SlotLoans:
        """Stop lending from a slot, and return what its next holder has to know.

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
        """Lend from a slot that its holder handed over.

        The loans of the previous holder count as this ledger's own, for all of its slots.
        """
        factor = 1 + self._drift_margin_ratio
        quiet_until_s = now_s + transferred.quiet_s * factor
        # The loans that ended at the previous holder are not known.
        remembers_from_s = quiet_until_s + self._memory_s
        self._slots[slot] = _LentSlot(lease_end_s, quiet_until_s, remembers_from_s)
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

        A slot whose lease ended before the renewal may have had another holder and is quiet
        again.

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
        """Return the slots that may lend for a whole loan term from now on."""
        return SlotSet(
            slot
            for slot, lent in self._slots.items()
            if now_s >= lent.quiet_until_s and now_s + self._loan_term_s <= lent.lease_end_s
        )

    def grant(
        self, borrower: InstanceIncarnation, homes: SlotSet, candidates: SlotSet, now_s: float
    ) -> Loan | None:
        """Lend all lendable slots to those of a borrower's home slots that the rule allows.

        :param homes: home slots that the borrower holds.
        :param candidates: the lender's candidate set.
        :returns: the loan, which is recorded before it is returned, or ``None``.
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
        earlier = self._earlier(now_s)
        ends_s = now_s + self._loan_term_s
        for home in granted:
            self._loans[borrower, home, candidates] = OutstandingLoan(
                borrower=borrower, home=home, candidates=candidates, ends_s=ends_s
            )
        others = {loan.candidates for loan in earlier} - {candidates}
        names_all = len(others) <= EARLIER_CANDIDATES_MAX
        return Loan(
            lender_slots=lender_slots,
            home_slots=granted,
            candidates=candidates,
            term_s=self._loan_term_s,
            remembering_slots=self._remembering(lender_slots, now_s) if names_all else SlotSet(),
            earlier_candidates=list(others) if names_all else [],
            earlier_homes=granted
            & SlotSet(loan.home for loan in earlier if loan.borrower != borrower),
        )

    def blocked_until_s(
        self, borrower: InstanceIncarnation, homes: SlotSet, candidates: SlotSet, now_s: float
    ) -> float:
        """Return when the last loan that blocks a grant ends; ``now_s`` when none does.

        The lender can then answer the borrower's latest exchange again without waiting for the
        next one.
        """
        ends_s = [now_s]
        for loan in self.outstanding(now_s):
            if not all(loan.permits(borrower, home, candidates) for home in homes & candidates):
                ends_s.append(loan.ends_s)
        return max(ends_s)

    def return_all(self, borrower: InstanceIncarnation) -> bool:
        """End all loans to a borrower that returns them; it gets no further loan.

        :returns: whether a loan was outstanding.
        """
        self._returned[borrower] = None
        if len(self._returned) > RETURNED_BORROWERS_MAX:
            del self._returned[next(iter(self._returned))]
        return self._end_loans([key for key in self._loans if key[0] == borrower])

    def return_homes(self, borrower: InstanceIncarnation, homes: SlotSet) -> bool:
        """End the loans to home slots that a borrower gave up; it may borrow for others.

        :returns: whether such a loan was outstanding.
        """
        return self._end_loans(
            [key for key in self._loans if key[0] == borrower and key[1] in homes]
        )

    def outstanding(self, now_s: float) -> list[OutstandingLoan]:
        """Return the loans that have not ended, and forget the others."""
        self._end_loans([key for key, loan in self._loans.items() if loan.ends_s <= now_s])
        return list(self._loans.values())

    def _end_loans(self, keys: list[tuple[InstanceIncarnation, int, SlotSet]]) -> bool:
        """End loans; their end as recorded counts, as a returned loan ended no later."""
        for key in keys:
            loan = self._loans.pop(key)
            if 2 * len(loan.candidates) > self._slot_count:
                self._past[loan] = None
        return bool(keys)

    def _earlier(self, now_s: float) -> list[OutstandingLoan]:
        """Return the loans on which exclusive rights that are still in use may be based."""
        for loan in [loan for loan in self._past if loan.ends_s + self._memory_s <= now_s]:
            del self._past[loan]
        current = [
            loan for loan in self._loans.values() if 2 * len(loan.candidates) > self._slot_count
        ]
        return [*self._past, *current]

    def _remembering(self, lender_slots: SlotSet, now_s: float) -> SlotSet:
        return SlotSet(slot for slot in lender_slots if now_s >= self._slots[slot].remembers_from_s)


@dataclass(slots=True, frozen=True)
class _Earlier:
    """What a lender says of its earlier loans; ``homes`` had other borrowers."""

    candidates: tuple[SlotSet, ...]
    homes: SlotSet

    def restricts_less_than(self, other: "_Earlier | None") -> bool:
        if other is None:
            return True
        count = len(self.candidates) + len(self.homes)
        return count < len(other.candidates) + len(other.homes)


@dataclass(slots=True)
class _HeldLoan:
    """Loan of one slot; ``earlier`` is ``None`` when its lender does not know its past."""

    ends_s: float
    since_s: float
    earlier: _Earlier | None = None


@dataclass(slots=True, frozen=True)
class HeldShare:
    """Shares of one rendezvous key that a home holds, by the time since which it has held each.

    ``counted_since_s`` lists, in rising order, the shares that last longer than ``term_limit_s``;
    whatever the home issues ends within ``term_limit_s``. ``live_count`` also counts the shares
    that end sooner.
    """

    slot_count: int
    counted_since_s: tuple[float, ...] = ()
    live_count: int = 0
    term_limit_s: float = 0.0

    @property
    def count(self) -> int:
        """Return the number of counted shares."""
        return len(self.counted_since_s)

    @property
    def is_majority(self) -> bool:
        """Tell whether the counted shares are more than half of all shares."""
        return 2 * self.count > self.slot_count

    @property
    def majority_since_s(self) -> float:
        """Return since when the counted shares have been a majority; infinity when they are not."""
        if not self.is_majority:
            return math.inf
        return self.counted_since_s[self.slot_count // 2]

    def count_since(self, time_s: float) -> int:
        """Return how many counted shares have been held without a gap since ``time_s``."""
        since = self.counted_since_s
        if since and since[-1] <= time_s:
            return len(since)
        return sum(1 for since_s in since if since_s <= time_s)

    def share_seconds(self, from_s: float, now_s: float) -> float:
        """Add up the time that each counted share has been held between two times."""
        since = self.counted_since_s
        if not since:
            return 0.0
        if since[-1] <= from_s:
            return len(since) * (now_s - from_s)
        return sum(max(0.0, now_s - max(from_s, since_s)) for since_s in since)


class HeldLoans:
    """Loans that one instance holds for its home slots.

    :param slot_count: number of slots in the fleet.
    :param drift_margin_ratio: part of each term that is not used, for clock drift.
    :param grant_term_max_s: longest term of what a home issues.
    """

    __slots__ = (
        "_slot_count",
        "_margin_factor",
        "_grant_term_max_s",
        "_groups",
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
        self._groups: dict[int, dict[SlotSet, dict[int, _HeldLoan]]] = {}
        self._closes_s = math.inf
        # Homes that are being given up, with their closing times.
        self._home_closes_s: dict[int, float] = {}

    @property
    def slot_count(self) -> int:
        """Return the number of slots in the fleet."""
        return self._slot_count

    @property
    def homes(self) -> SlotSet:
        """Return the home slots with loans, some of which may have ended."""
        return SlotSet(self._groups)

    def record(self, loan: Loan, requested_at_s: float, now_s: float) -> bool:
        """Record a loan that was received.

        :param requested_at_s: time before the exchange that the loan answers was sent.
        :param now_s: time of receipt; a share counts as held from here on, since it may have
            been another home's until the lender granted the loan.
        :returns: whether the loan is used; a closed or ended loan is not.
        """
        ends_s = requested_at_s + loan.term_s * self._margin_factor
        if self._closes_s < math.inf or ends_s <= now_s:
            return False
        past = _Earlier(tuple(loan.earlier_candidates), loan.earlier_homes)
        for home in loan.home_slots:
            if home in self._home_closes_s:
                continue
            groups = self._groups.setdefault(home, {})
            lenders = groups.setdefault(loan.candidates, {})
            for lender in loan.lender_slots:
                earlier = past if lender in loan.remembering_slots else None
                held = lenders.get(lender)
                if held is None or held.ends_s <= now_s:
                    lenders[lender] = _HeldLoan(ends_s, now_s, earlier)
                    continue
                held.ends_s = max(held.ends_s, ends_s)
                # What a lender said holds on while its loan lasts, as it lends to no other home.
                if earlier is not None and earlier.restricts_less_than(held.earlier):
                    held.earlier = earlier
        self._forget_ended(now_s)
        return True

    def share(self, rendezvous_key: bytes, home: int, now_s: float) -> HeldShare:
        """Return the shares of a rendezvous key that a home slot may issue rights from."""
        term_limit_s = self.home_term_limit_s(home, now_s)
        live = self._live(rendezvous_key, home, now_s)
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
        """Count the slots that lend a key's share to a home slot for longer than a time."""
        if self.home_term_limit_s(home, now_s) <= 0:
            return 0
        live = self._live(rendezvous_key, home, now_s)
        return sum(1 for held in live.values() if held.ends_s - now_s > min_remaining_s)

    def lenders(self, rendezvous_key: bytes, home: int, now_s: float) -> SlotSet:
        """Return the slots whose loans on a rendezvous key to a home slot have not ended."""
        is_open = self.home_term_limit_s(home, now_s) > 0
        return SlotSet(self._live(rendezvous_key, home, now_s)) if is_open else SlotSet()

    def holds_exclusive(self, rendezvous_key: bytes, home: int, now_s: float) -> bool:
        """Tell whether a home slot may issue exclusive rights on a rendezvous key.

        Only loans with more than half of the slots as candidates count, so that a lender need not
        remember those that it granted while it knew few slots.
        """
        if not self.share(rendezvous_key, home, now_s).is_majority:
            return False
        return 2 * len(self._exclusive_lenders(rendezvous_key, home, now_s)) > self._slot_count

    def holds_solely(self, rendezvous_key: bytes, home: int, now_s: float) -> bool:
        """Tell whether no other home can have issued exclusive rights that are still in use.

        Each home that issued them had loans from more than half of the slots. So there was none
        if more than half of the slots lent the rendezvous key to no other home within that time.
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
        """Return one loan for each lender slot, the one whose past is known if there is one."""
        min_ends_s = now_s + self.home_term_limit_s(home, now_s)
        found: dict[int, _HeldLoan] = {}
        for candidates, lenders in self._groups.get(home, {}).items():
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
        """Return the longest term of what is issued now; zero from the closing time on."""
        return max(0.0, min(self._grant_term_max_s, self._closes_s - now_s))

    def home_term_limit_s(self, home: int, now_s: float) -> float:
        """Return the longest term of what one home issues now."""
        limit_s = self.term_limit_s(now_s)
        closes_s = self._home_closes_s.get(home)
        return limit_s if closes_s is None else max(0.0, min(limit_s, closes_s - now_s))

    def close_home(self, home: int, now_s: float) -> float:
        """Let everything that one home slot issued end by a closing time, as with :meth:`close`.

        :returns: the closing time; the home's loans may be returned from then on.
        """
        closes_s = now_s + self._grant_term_max_s
        return self._home_closes_s.setdefault(home, closes_s)

    def may_return_home(self, home: int, now_s: float) -> bool:
        """Tell whether an exchange may say that one home's loans are returned."""
        return now_s >= min(self._closes_s, self._home_closes_s.get(home, math.inf))

    def drop_home(self, home: int) -> None:
        """Drop the loans of a home slot that was given up; it may be taken again later."""
        self._home_closes_s.pop(home, None)
        self._groups.pop(home, None)

    def close(self, now_s: float) -> float:
        """Accept no further loans, and let everything issued end by a closing time.

        :returns: the closing time. The loans may be returned from then on and not before, since
            what was issued earlier runs until then.
        """
        self._closes_s = min(self._closes_s, now_s + self._grant_term_max_s)
        return self._closes_s

    def may_return(self, now_s: float) -> bool:
        """Tell whether an exchange may say that the loans are returned."""
        return now_s >= self._closes_s

    def _live(self, rendezvous_key: bytes, home: int, now_s: float) -> dict[int, _HeldLoan]:
        """Map the lender slots of a rendezvous key to their loans that have not ended."""
        live: dict[int, _HeldLoan] = {}
        for candidates, lenders in self._groups.get(home, {}).items():
            if home_slot(rendezvous_key, candidates, self._slot_count) != home:
                continue
            found = {lender: held for lender, held in lenders.items() if held.ends_s > now_s}
            # The same lender may have lent with several candidate sets.
            for lender in live.keys() & found.keys():
                known, held = live[lender], found[lender]
                found[lender] = _HeldLoan(
                    max(known.ends_s, held.ends_s), min(known.since_s, held.since_s)
                )
            live = live | found if live else found
        return live

    def _forget_ended(self, now_s: float) -> None:
        for home in list(self._groups):
            groups = self._groups[home]
            for candidates in list(groups):
                if all(held.ends_s <= now_s for held in groups[candidates].values()):
                    del groups[candidates]
            if not groups:
                del self._groups[home]
