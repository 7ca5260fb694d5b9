"""Seeded fault simulations of the rights, and faulty variants that the checks must catch."""

import contextlib
import math
import unittest
from dataclasses import replace
from unittest import mock

from rights_harness import MARGIN, MOVE_FAULT_KINDS, Fleet, ViolationError
from tanagerreach_core.rights import (
    HeldLoans,
    HeldShare,
    LoanLedger,
    OutstandingLoan,
    SlotLoans,
    SlotSet,
    TokenCache,
)

SOUND_SEEDS = range(6)
SOUND_DURATION_S = 60.0
MOVE_SEEDS = range(100, 102)
MOVE_LOAN_SEEDS = range(200, 210)
BROKEN_SEED_COUNT = 120
BROKEN_DURATION_S = 120.0


class CountsFromReceipt(HeldLoans):
    """Counts the term of a loan from when it is received."""

    def record(self, loan, requested_at_s, now_s):
        return super().record(loan, now_s, now_s)


class ReturnsAtOnce(HeldLoans):
    """Returns loans while grants that were issued on them still run."""

    def may_return(self, now_s):
        return self._closes_s < math.inf

    def close(self, now_s):
        super().close(now_s)
        return now_s


class KeepsBurst(HeldLoans):
    """Treats shares that another home held before as if this home had always held them."""

    def share(self, rendezvous_key, home, now_s):
        share = super().share(rendezvous_key, home, now_s)
        return replace(share, counted_since_s=(-1e9,) * share.count)


class IssuesToTheEnd(HeldLoans):
    """Counts loans that end before the grants that are issued on them."""

    def share(self, rendezvous_key, home, now_s):
        live = self._live_loans(rendezvous_key, home, now_s)
        since = tuple(sorted(held.since_s for held in live.values()))
        return HeldShare(self._slot_count, since, len(live), 1.0)


def any_other_borrower(loan, borrower, home, candidates):
    """Allow a loan to another home without the disjointness rule."""
    return home != loan.home or borrower == loan.borrower


def any_same_home(loan, borrower, home, candidates):
    """Allow a loan to the same home slot at another borrower."""
    return home == loan.home or (home in loan.candidates and loan.home in candidates)


SOUND_ADD_SLOT = LoanLedger.add_slot
SOUND_RECORD = TokenCache.record


def add_slot_at_once(ledger, slot, lease_end_s, now_s, **_):
    """Lend from a slot without a quiet period."""
    SOUND_ADD_SLOT(ledger, slot, lease_end_s, now_s, never_held=True)


def count_small_sets(held, rendezvous_key, home, now_s):
    """Count loans whose lenders knew few slots, which the lenders do not keep."""
    return held.share(rendezvous_key, home, now_s).is_majority


def hand_over_no_loans(instance, slot):
    """Hand a slot over without its outstanding loans."""
    instance.ledger.hand_over_slot(slot, instance.now())
    return SlotLoans(quiet_s=0.0, loans=())


def lend_always(ledger, now_s):
    """Lend from each slot although its lease may have ended."""
    return SlotSet(slot for slot, lent in ledger._slots.items() if now_s >= lent.quiet_until_s)


def record_from_receipt(cache, reply, now_s):
    """Count the terms of a reply's grants from when it is received."""
    sent = cache._in_flight.get(reply.request_id)
    if sent is not None:
        sent.sent_s = now_s
    return SOUND_RECORD(cache, reply, now_s)


# Loans do not depend on requests; with few of them, many more runs fit into the same time.
LOANS_ONLY = {"request_rate_per_s": 0.5, "claim_rate_per_s": 0.01}
LARGE_BURST_ONLY = {
    "request_rate_per_s": 20.0,
    "weights": (0, 0, 0, 1, 0),
    "fault_kinds": ("drain",),
}
CLAIMS_ONLY = {"request_rate_per_s": 0.5, "claim_rate_per_s": 4.0}


def find_violation(first_seed, **options):
    """Return the first violation in seeded runs; ``first_seed`` is known to show one."""
    for seed in range(first_seed, first_seed + BROKEN_SEED_COUNT):
        try:
            Fleet(seed, **options).run(BROKEN_DURATION_S)
        except ViolationError as violation:
            return seed, str(violation)
    return None, "none"


class SoundRightsTest(unittest.TestCase):
    """Rights hold through message loss, delay, freezes, cuts, kills, handovers and drains."""

    def test_no_right_is_held_twice(self):
        """Guards against any fault that lends a share, a token or a claim twice."""
        claims = tokens = sole_issuer_checks = 0
        for seed in SOUND_SEEDS:
            with self.subTest(seed=seed):
                fleet = Fleet(seed)
                fleet.run(SOUND_DURATION_S)
                claims += fleet.counts["claims"]
                sole_issuer_checks += fleet.sole_issuer_count
                tokens += sum(fleet.counts.values())
        # Runs that grant few rights would show nothing.
        self.assertGreater(claims, 4 * len(SOUND_SEEDS))
        self.assertGreater(tokens, 800 * len(SOUND_SEEDS))
        self.assertGreater(sole_issuer_checks, 100 * len(SOUND_SEEDS))

    def test_moved_slots(self):
        """Guards against rights held twice when a slot moves between running instances."""
        for seed in MOVE_SEEDS:
            with self.subTest(seed=seed):
                Fleet(seed, fault_kinds=MOVE_FAULT_KINDS).run(SOUND_DURATION_S)
        for seed in MOVE_LOAN_SEEDS:
            with self.subTest(seed=seed):
                Fleet(seed, fault_kinds=MOVE_FAULT_KINDS, **LOANS_ONLY).run(SOUND_DURATION_S)

    def test_rights_are_used_without_faults(self):
        """Guards against rights that are safe only because demand within the rate is refused."""
        fleet = Fleet(1, faults=False)
        fleet.request_rate_per_s = 150
        fleet.run(30)
        offered, used = dict(fleet.offered), dict(fleet.counts)
        fleet.run(90)
        for name, (rate_per_s, _) in fleet.limits.items():
            demand = fleet.offered[name] - offered[name]
            admitted = fleet.counts[name] - used[name]
            attainable = min(demand, 60 * rate_per_s * (1 - MARGIN))
            self.assertGreater(admitted, 0.94 * attainable, name)


class BrokenRightsTest(unittest.TestCase):
    """The checks of the harness catch a fault in each rule."""

    def assert_caught(self, message, first_seed, *patches, **options):
        with contextlib.ExitStack() as stack:
            for target, name, replacement in patches:
                stack.enter_context(mock.patch.object(target, name, replacement))
            seed, seen = find_violation(first_seed, **options)
        self.assertRegex(seen, message)

    def test_no_drift_margin(self):
        """Guards against a check that misses a loan that outlives its lender's record."""
        self.assert_caught("held twice", 16, **LOANS_ONLY, margin=0.0)

    def test_term_counted_from_receipt(self):
        """Guards against a check that misses loans prolonged by delay."""
        self.assert_caught("held twice", 0, **LOANS_ONLY, held_type=CountsFromReceipt)

    def test_no_disjointness_rule(self):
        """Guards against a check that misses two homes for one rendezvous key."""
        self.assert_caught(
            "held twice", 0, (OutstandingLoan, "permits", any_other_borrower), **LOANS_ONLY
        )

    def test_same_home_at_another_borrower(self):
        """Guards against a check that misses two holders of one home slot."""
        self.assert_caught(
            "held twice", 27, (OutstandingLoan, "permits", any_same_home), **LOANS_ONLY
        )

    def test_no_quiet_period(self):
        """Guards against a check that misses the loans of a slot's previous holder."""
        self.assert_caught(
            "held twice", 13, (LoanLedger, "add_slot", add_slot_at_once), **LOANS_ONLY
        )

    def test_lends_past_the_slot_lease(self):
        """Guards against a check that misses loans of a holder whose lease has ended."""
        self.assert_caught(
            "held twice",
            4,
            (LoanLedger, "lendable", lend_always),
            fault_kinds=("hang", "freeze"),
            **LOANS_ONLY,
        )

    def test_burst_kept_on_take_over(self):
        """Guards against a check that misses the burst of a new home."""
        self.assert_caught("above rate", 12, **LARGE_BURST_ONLY, held_type=KeepsBurst)

    def test_loans_counted_to_their_end(self):
        """Guards against a check that misses tokens that outlive the loans behind them."""
        self.assert_caught("outlive their loans", 0, held_type=IssuesToTheEnd)

    def test_loans_returned_at_once(self):
        """Guards against a check that misses tokens that outlive a returned loan."""
        self.assert_caught("held twice", 1, **LOANS_ONLY, held_type=ReturnsAtOnce)

    def test_home_given_up_at_once(self):
        """Guards against a check that misses tokens of a home that was given up."""
        self.assert_caught("outlive the home", 0, closes_homes=False, fault_kinds=("move",))

    def test_slot_handed_over_without_its_loans(self):
        """Guards against a check that misses the loans of the holder that handed a slot over."""
        self.assert_caught(
            "held twice",
            0,
            (Fleet, "transferred_loans", staticmethod(hand_over_no_loans)),
            fault_kinds=("move", "move", "kill", "cut", "freeze", "heal"),
            **LOANS_ONLY,
        )

    def test_loan_from_before_the_slot_was_taken(self):
        """Guards against a check that misses a loan that was returned before it was received."""
        self.assert_caught(
            "held twice",
            7,
            (Fleet, "usable_loan", staticmethod(lambda _instance, loan, _requested_at_s: loan)),
            fault_kinds=("move", "move", "kill", "cut", "freeze", "heal"),
            **LOANS_ONLY,
        )

    def test_no_earlier_loans_reported(self):
        """Guards against a check that misses a home that issued before the present one."""
        self.assert_caught(
            "not the sole issuer", 0, (LoanLedger, "_earlier_loans", lambda *_: []), **LOANS_ONLY
        )

    def test_exclusive_loans_of_few_candidates(self):
        """Guards against a check that misses homes whose loans their lenders do not keep."""
        self.assert_caught(
            "not the sole issuer", 0, (HeldLoans, "holds_exclusive", count_small_sets), **LOANS_ONLY
        )

    def test_tokens_counted_from_receipt(self):
        """Guards against a check that misses tokens used after their grant has ended."""
        self.assert_caught("above rate", 18, (TokenCache, "record", record_from_receipt))

    def test_majority_of_two(self):
        """Guards against a check that misses two majorities."""
        self.assert_caught("granted twice", 6, **CLAIMS_ONLY, majority=2)
