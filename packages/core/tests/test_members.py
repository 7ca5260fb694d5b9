"""Tests of the member table."""

import random
import unittest

from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    Exchange,
    InstanceIncarnation,
    MemberRecord,
    MemberState,
    SlotSet,
)


def record(name, slots=(), incarnation=1):
    """Make a member record."""
    return MemberRecord(
        instance_id=name,
        incarnation=incarnation,
        peer_address=f"address-{name}",
        data_centre="",
        slots=SlotSet(slots),
    )


def observe(table, name, sequence, now_s, slots=(1,), incarnation=1, **fields):
    """Let a table observe one exchange."""
    exchange = Exchange(
        sequence=sequence, peer_address=f"address-{name}", slots=SlotSet(slots), **fields
    )
    return table.observe(
        InstanceIncarnation(instance_id=name, incarnation=incarnation), exchange, now_s
    )


class MemberTableTest(unittest.TestCase):
    """The candidates must be the slots of live holders, without flapping."""

    def setUp(self):
        self.table = MemberTable(own=record("own", [0]))

    def test_lost_messages_change_nothing(self):
        """Guards against candidates that change with one or two lost exchanges."""
        observe(self.table, "a", 1, 0.0)
        self.assertEqual(self.table.candidates(6.9), SlotSet([0, 1]))
        self.assertEqual(self.table.candidates(7.0), SlotSet([0]))

    def test_silent_holder_rejoins_after_two_exchanges(self):
        """Guards against a flapping link that changes the candidates with each message."""
        observe(self.table, "a", 1, 0.0)
        observe(self.table, "a", 2, 20.0)
        self.assertEqual(self.table.candidates(20.0), SlotSet([0]))
        observe(self.table, "a", 3, 22.0)
        self.assertEqual(self.table.candidates(22.0), SlotSet([0, 1]))

    def test_overtaken_exchange_is_ignored(self):
        """Guards against reordered or replayed exchanges that restore old slots."""
        observe(self.table, "a", 5, 0.0, slots=[2])
        self.assertFalse(observe(self.table, "a", 4, 0.1, slots=[3]))
        self.assertTrue(observe(self.table, "a", 1, 0.2, slots=[4], incarnation=2))
        self.assertFalse(observe(self.table, "a", 6, 0.3, slots=[2]))
        self.assertEqual(self.table.candidates(1.0), SlotSet([0, 4]))

    def test_latest_announcement_names_the_holder(self):
        """Guards against requests that are sent to the previous holder of a slot."""
        observe(self.table, "a", 1, 0.0, slots=[2])
        observe(self.table, "b", 1, 1.0, slots=[2])
        observe(self.table, "a", 2, 2.0, slots=[2])
        self.assertEqual(self.table.holder_of(2, 2.0).peer_address, "address-b")
        self.assertIsNone(self.table.holder_of(9, 2.0))

    def test_draining_holder_is_no_candidate(self):
        """Guards against new work for an instance that stops."""
        observe(self.table, "a", 1, 0.0, state=MemberState.DRAINING)
        self.assertEqual(self.table.candidates(0.0), SlotSet([0]))

    def test_slotless_instance_keeps_three_partners(self):
        """Guards against load on all slot holders by instances without slots."""
        table = MemberTable(own=record("own"))
        for number in range(6):
            table.learn(record(f"h{number}", [number]), 0.0)
        first = table.exchange_partners(0.0, random.Random(1))
        self.assertEqual(len(first), 3)
        self.assertEqual(table.exchange_partners(1.0, random.Random(2)), first)
        self.assertEqual(table.candidates(1.0), SlotSet())

    def test_slotless_instance_knows_all_homes(self):
        """Guards against an instance without slots that only reaches the homes of its partners."""
        table = MemberTable(own=record("own"))
        holder = MemberTable(own=record("h0", [0]))
        for number in range(1, 6):
            observe(holder, f"h{number}", 1, 0.0, slots=[number])
        exchange = Exchange(
            sequence=1,
            slots=SlotSet([0]),
            members=holder.records(0.0),
            candidates=holder.candidates(0.0),
            holders_digest=holder.holders_digest(0.0),
        )
        table.adopt_view(exchange, 0.0)
        self.assertEqual(table.candidates(1.0), SlotSet(range(6)))
        self.assertEqual(table.holder_of(5, 1.0).instance_id, "h5")
        self.assertEqual(table.view_digest, holder.holders_digest(1.0))
        observe(holder, "h6", 1, 2.0, slots=[6])
        self.assertNotEqual(table.view_digest, holder.holders_digest(2.0))
        self.assertEqual(table.candidates(7.0), SlotSet())

    def test_slot_that_moves_is_named_at_its_new_holder(self):
        """Guards against instances without slots that send requests to the former holder."""
        observe(self.table, "b", 1, 0.0, slots=[3])
        observe(self.table, "a", 1, 1.0, slots=[2])
        observe(self.table, "b", 2, 2.0, slots=[2, 3])
        exchange = Exchange(sequence=1, members=self.table.records(2.0), holders_digest=1)
        table = MemberTable(own=record("idle"))
        table.adopt_view(exchange, 2.0)
        self.assertEqual(table.holder_of(2, 2.0).instance_id, "b")

    def test_member_named_with_slots_becomes_a_partner(self):
        """Guards against a holder left out because it was heard before it had slots."""
        observe(self.table, "a", 1, 0.0, slots=[])
        self.table.learn(record("a", [1]), 1.0)
        partners = self.table.exchange_partners(1.0, random.Random(1))
        self.assertEqual([partner.instance_id for partner in partners], ["a"])
        self.assertEqual(
            [named.instance_id for named in self.table.take_newly_named_holders()], ["a"]
        )
        self.assertEqual(self.table.take_newly_named_holders(), [])

    def test_member_named_with_slots_counts_only_once_heard(self):
        """Guards against outdated records of peers that assign a slot to its former holder."""
        observe(self.table, "a", 1, 0.0, slots=[])
        self.table.learn(record("a", [1]), 1.0)
        self.assertEqual(self.table.candidates(1.0), SlotSet([0]))
        self.assertEqual([own.instance_id for own in self.table.records(1.0)], ["own"])
        observe(self.table, "a", 2, 2.0, slots=[])
        self.assertEqual(self.table.exchange_partners(2.0, random.Random(1)), [])

    def test_silent_member_expires(self):
        """Guards against a stopped member that its peers name to each other without end."""
        observe(self.table, "a", 1, 0.0)
        self.assertEqual(len(self.table.records(10.0)), 1)
        self.assertEqual(len(self.table.exchange_partners(59.0, random.Random(1))), 1)
        self.assertEqual(self.table.exchange_partners(61.0, random.Random(1)), [])
