"""Tests of the member table's index of slot holders."""

import unittest

from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import Exchange, InstanceIncarnation, MemberRecord, SlotSet


def _record(name, slots, incarnation=1):
    return MemberRecord(
        instance_id=name,
        incarnation=incarnation,
        peer_address="127.0.0.1:1",
        data_centre="dc-1",
        slots=SlotSet(slots),
    )


def _observe(table, name, slots, *, sequence, now_s, incarnation=1):
    exchange = Exchange(sequence=sequence, peer_address="127.0.0.1:1", slots=SlotSet(slots))
    sender = InstanceIncarnation(instance_id=name, incarnation=incarnation)
    return table.observe(sender, exchange, now_s)


class MemberTableTest(unittest.TestCase):
    """Guards against an index of the holders that differs from what the members announce."""

    def setUp(self):
        self.table = MemberTable(own=_record("own", [0]))

    def _assert_candidates(self, slots, now_s):
        self.assertEqual(self.table.candidates(now_s), SlotSet(slots))

    def test_member_that_takes_and_gives_up_slots(self):
        _observe(self.table, "a", [], sequence=1, now_s=0.0)
        self._assert_candidates([0], 0.0)
        _observe(self.table, "a", [1, 2], sequence=2, now_s=1.0)
        self._assert_candidates([0, 1, 2], 1.0)
        self.assertEqual(self.table.holder_of(2, 1.0).instance_id, "a")
        _observe(self.table, "a", [], sequence=3, now_s=2.0)
        self._assert_candidates([0], 2.0)
        self.assertIsNone(self.table.holder_of(2, 2.0))

    def test_restarted_member_has_no_slots_of_its_earlier_incarnation(self):
        _observe(self.table, "a", [1], sequence=1, now_s=0.0)
        _observe(self.table, "a", [], sequence=1, now_s=1.0, incarnation=2)
        self._assert_candidates([0], 1.0)
        self.assertEqual(self.table.exchange_partners(1.0, None), [])

    def test_restarted_member_that_is_named_by_a_peer(self):
        _observe(self.table, "a", [1], sequence=1, now_s=0.0)
        self.table.learn(_record("a", [], incarnation=2), 1.0)
        self._assert_candidates([0], 1.0)
        self.assertEqual(self.table.exchange_partners(1.0, None), [])

    def test_silent_member_expires_as_a_partner(self):
        _observe(self.table, "a", [1], sequence=1, now_s=0.0)
        self.assertEqual(len(self.table.exchange_partners(59.0, None)), 1)
        self.assertEqual(self.table.exchange_partners(60.0, None), [])


if __name__ == "__main__":
    unittest.main()
