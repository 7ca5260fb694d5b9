"""Unit tests of the loan ledger and the held loans; the fault runs are in other modules."""

import unittest

from tanagerreach_core.messages import InstanceIncarnation, SlotSet
from tanagerreach_core.rights import HeldLoans, LoanLedger, home_slot

SLOT_COUNT = 8
ALL = SlotSet(range(SLOT_COUNT))
ONE = InstanceIncarnation(instance_id="one", incarnation=1)
TWO = InstanceIncarnation(instance_id="two", incarnation=1)


class LoanLedgerTest(unittest.TestCase):
    """A lender must lend each share to one home, within its own lease."""

    def setUp(self):
        self.ledger = LoanLedger()
        self.ledger.add_slot(0, 100.0, 0.0, never_held=True)

    def test_quiet_after_a_take_over(self):
        """Guards against lending while loans of the previous holder are outstanding."""
        self.ledger.add_slot(1, 100.0, 0.0)
        self.assertEqual(self.ledger.lendable(8.0), SlotSet([0]))
        self.assertEqual(self.ledger.lendable(8.01), SlotSet([0, 1]))

    def test_loans_end_within_the_slot_lease(self):
        """Guards against loans that overlap those of the next holder, also after a late renewal."""
        self.assertIsNotNone(self.ledger.grant(ONE, ALL, ALL, 92.0))
        self.assertIsNone(self.ledger.grant(ONE, ALL, ALL, 92.1))
        self.ledger.extend_slot(0, 300.0, 99.0)
        self.assertIsNotNone(self.ledger.grant(ONE, ALL, ALL, 99.0))
        self.ledger.extend_slot(0, 500.0, 301.0)
        self.assertIsNone(self.ledger.grant(ONE, ALL, ALL, 302.0))

    def test_home_slot_changes_its_holder(self):
        """Guards against two holders of a home slot, and against a wait after a return."""
        home = SlotSet([3])
        self.assertIsNotNone(self.ledger.grant(ONE, home, ALL, 10.0))
        self.assertIsNone(self.ledger.grant(TWO, home, ALL, 11.0))
        self.assertEqual(self.ledger.blocked_until_s(TWO, home, ALL, 11.0), 18.0)
        self.assertTrue(self.ledger.return_all(ONE))
        self.assertIsNotNone(self.ledger.grant(TWO, home, ALL, 11.0))
        self.assertIsNone(self.ledger.grant(ONE, SlotSet([4]), ALL, 12.0))

    def test_candidates_change_after_the_loans_of_the_old_ones(self):
        """Guards against two homes for a rendezvous key whose home changes with the candidates."""
        old, new = ALL - SlotSet([5]), ALL
        self.assertIsNotNone(self.ledger.grant(ONE, SlotSet([3]), old, 10.0))
        self.assertIsNone(self.ledger.grant(TWO, SlotSet([5]), new, 11.0))
        self.assertIsNotNone(self.ledger.grant(ONE, SlotSet([3]), new, 11.0))
        self.assertIsNotNone(self.ledger.grant(TWO, SlotSet([5]), new, 18.0))


class EarlierLoansTest(unittest.TestCase):
    """A home must know whether another one issued exclusive rights before it."""

    def setUp(self):
        self.ledger = LoanLedger(slot_count=SLOT_COUNT, loan_retention_s=10.0)
        self.ledger.add_slot(0, 100.0, 0.0, never_held=True)

    def test_new_slot_has_no_past(self):
        """Guards against a new fleet that waits for rights of homes that never existed."""
        few = SlotSet([0, 3])
        self.ledger.grant(ONE, SlotSet([0]), few, 0.0)
        loan = self.ledger.grant(TWO, SlotSet([3]), ALL, 1.0)
        self.assertEqual(loan.slots_with_history, SlotSet([0]))
        self.assertEqual((loan.earlier_candidates, loan.earlier_homes), ([], SlotSet()))

    def test_past_of_another_holder_is_unknown(self):
        """Guards against overlooked permits of a home that borrowed from the previous holder."""
        self.ledger.add_slot(1, 100.0, 0.0)
        transferred = self.ledger.hand_over_slot(0, 0.0)
        self.ledger.take_over_slot(0, 100.0, 0.0, transferred)
        for now_s, known in ((9.9, []), (10.1, [0]), (17.9, [0]), (18.1, [0, 1])):
            loan = self.ledger.grant(ONE, ALL, ALL, now_s)
            self.assertEqual(loan.slots_with_history, SlotSet(known), now_s)

    def test_returned_and_ended_loans_are_reported(self):
        """Guards against permits that overlap those of a home that returned its loans."""
        old = ALL - SlotSet([5])
        self.ledger.grant(ONE, SlotSet([3]), old, 0.0)
        self.ledger.return_all(ONE)
        loan = self.ledger.grant(TWO, SlotSet([3]), ALL, 17.0)
        self.assertEqual((loan.earlier_candidates, loan.earlier_homes), ([old], SlotSet([3])))
        loan = self.ledger.grant(TWO, SlotSet([3]), ALL, 18.1)
        self.assertEqual((loan.earlier_candidates, loan.earlier_homes), ([], SlotSet()))


class HeldLoansTest(unittest.TestCase):
    """A home must stop using a loan before its lender lends to another home."""

    def setUp(self):
        ledger = LoanLedger()
        ledger.add_slot(0, 100.0, 0.0, never_held=True)
        self.loan = ledger.grant(ONE, ALL, ALL, 0.0)
        self.held = HeldLoans(slot_count=SLOT_COUNT)
        self.home = home_slot(b"thing", ALL, SLOT_COUNT)

    def test_term_counts_from_the_request(self):
        """Guards against a delayed loan that is used after its lender's record has ended."""
        self.assertTrue(self.held.record(self.loan, 0.0, 5.0))
        self.assertEqual(self.held.share(b"thing", self.home, 6.9).count, 1)
        self.assertEqual(self.held.share(b"thing", self.home, 7.0).count, 0)
        self.assertFalse(self.held.record(self.loan, 0.0, 7.995))

    def test_share_is_held_from_receipt(self):
        """Guards against tokens accrued for a time in which another home held the share."""
        self.held.record(self.loan, 0.0, 5.0)
        self.assertEqual(self.held.share(b"thing", self.home, 6.0).counted_since_s, (5.0,))

    def test_closing_limits_terms_and_precedes_the_return(self):
        """Guards against a loan that is returned while its tokens are still in use."""
        self.held.record(self.loan, 0.0, 1.0)
        self.assertEqual(self.held.close(2.0), 3.0)
        self.assertAlmostEqual(self.held.share(b"thing", self.home, 2.6).term_limit_s, 0.4)
        self.assertFalse(self.held.may_return(2.9))
        self.assertFalse(self.held.record(self.loan, 2.0, 2.1))
        self.assertTrue(self.held.may_return(3.0))
        self.assertEqual(self.held.share(b"thing", self.home, 3.0).count, 0)
