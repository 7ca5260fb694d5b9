"""Tests of the exchanges with other instances."""

import unittest
from random import Random

from tanagerreach_core.config import Freshness
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import InstanceIncarnation, Loan, MemberRecord, SlotSet
from tanagerreach_core.rights import HeldLoans, LoanLedger
from tanagerreachd._exchanger import Exchanger, OwnAddresses

SLOT_COUNT = 4
LOAN_TERM_S = 8.0


class ReceivedLoanTest(unittest.TestCase):
    """Received loans are limited to own home slots before they are recorded."""

    def test_keeps_what_the_lender_remembers(self):
        """Guards against homes that wait although their lenders remember no earlier home."""
        exchanger = Exchanger.__new__(Exchanger)
        exchanger._home_since_s = {3: 1.0, 4: 9.0}
        loan = Loan(
            lender_slots=SlotSet([1, 2]),
            home_slots=SlotSet([3, 4, 5]),
            candidates=SlotSet(range(6)),
            term_s=8.0,
            slots_with_history=SlotSet([1]),
            earlier_candidates=[SlotSet([1, 3])],
            earlier_homes=SlotSet([3]),
        )
        kept = exchanger._limit_to_own_homes(loan, 5.0)
        self.assertEqual(kept.home_slots, SlotSet([3]))
        for name in ("slots_with_history", "earlier_candidates", "earlier_homes"):
            self.assertEqual(getattr(kept, name), getattr(loan, name), name)


class FleetOfExchangers:
    """Exchangers whose messages arrive at once, on a clock that only tests advance."""

    def __init__(self, names, slot_count=SLOT_COUNT):
        self.slot_count = slot_count
        self.now_s = 0.0
        self.exchangers = {}
        self.members = {}
        self.ledgers = {}
        for name in names:
            self._add(name, names)

    def _add(self, name, names):
        own = MemberRecord(
            instance_id=name, incarnation=1, peer_address=name, data_centre="", slots=SlotSet()
        )
        self.members[name] = MemberTable(own=own)
        self.ledgers[name] = LoanLedger(loan_term_s=LOAN_TERM_S, slot_count=self.slot_count)
        identity = InstanceIncarnation(instance_id=name, incarnation=1)

        def send(address, message):
            if address in self.exchangers:
                self.exchangers[address].handle(identity, message)

        self.exchangers[name] = Exchanger(
            identity=identity,
            addresses=OwnAddresses(peer=name, peer_http=name, operator=name),
            seeds=tuple(names),
            members=self.members[name],
            ledger=self.ledgers[name],
            held=HeldLoans(slot_count=self.slot_count),
            freshness=Freshness(slot_count=self.slot_count, freshness_limit_s=3.0),
            revision=lambda: 1,
            send=send,
            on_higher_revision=lambda address, revision: None,
            now_s=lambda: self.now_s,
            random=Random(1),
            memory_s=LOAN_TERM_S,
        )

    def exchange(self):
        """Send the periodic exchange of each instance."""
        for exchanger in self.exchangers.values():
            exchanger.exchange_with_all()

    def set_slots(self, name, *slots):
        """Change the slots of an instance, which announces them to its partners."""
        self.exchangers[name].set_own_slots(SlotSet(slots))

    def holder_of(self, slot, name):
        """Return the holder of a slot in an instance's member table."""
        record = self.members[name].holder_of(slot, self.now_s)
        return None if record is None else record.instance_id


class MovedSlotsTest(unittest.TestCase):
    """Instances must learn the new holder of a slot before waiting requests time out."""

    def test_instances_that_get_their_first_slots_together(self):
        """Guards against two new holders that do not learn of each other for 7 s.

        In a rolling restart of 12 instances, 14 of 17 refused requests needed tokens of homes that
        their instance did not know.
        """
        fleet = FleetOfExchangers(["old", "new-1", "new-2"])
        fleet.exchange()
        fleet.set_slots("old", 0)
        fleet.exchange()
        fleet.now_s = 1.0
        fleet.set_slots("new-1", 1)
        fleet.set_slots("new-2", 2)
        self.assertEqual(fleet.holder_of(2, "new-1"), "new-2")
        self.assertEqual(fleet.holder_of(1, "new-2"), "new-1")
        self.assertEqual(fleet.members["new-1"].candidates(1.0), SlotSet([0, 1, 2]))

    def test_slot_that_moves_is_told_to_instances_without_slots(self):
        """Guards against requests that wait for tokens from the former home of a moved slot."""
        fleet = FleetOfExchangers(["from", "to", "idle"])
        fleet.exchange()
        fleet.set_slots("from", 0, 1)
        fleet.set_slots("to", 2, 3)
        fleet.exchange()
        self.assertEqual(fleet.holder_of(0, "idle"), "from")
        fleet.now_s = 1.0
        fleet.set_slots("to", 0, 2, 3)
        fleet.set_slots("from", 1)
        self.assertEqual(fleet.holder_of(0, "idle"), "to")

    def test_all_holders_hear_that_an_instance_leaves(self):
        """Guards against offers of excess slots to an instance that has stopped.

        A draining instance has handed its slots over and exchanges with only a few holders.
        """
        names = [f"holder-{number}" for number in range(6)]
        fleet = FleetOfExchangers([*names, "leaving"], slot_count=6)
        fleet.exchange()
        for number, name in enumerate(names):
            fleet.set_slots(name, number)
        fleet.exchange()
        fleet.exchangers["leaving"].begin_drain()
        for name in names:
            live = [record.instance_id for record in fleet.members[name].live(fleet.now_s)]
            self.assertNotIn("leaving", live, name)


if __name__ == "__main__":
    unittest.main()
