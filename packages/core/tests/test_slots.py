"""Tests of the slot set."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from tanagerreach_core.messages import SlotSet

slot_lists = st.lists(st.integers(min_value=0, max_value=200))


class SlotSetTest(unittest.TestCase):
    """A slot lost or added in transit would let two homes hold the same right."""

    @given(slot_lists)
    def test_bytes_round_trip(self, slots):
        """Guards against slots lost or added by the encoding."""
        decoded = SlotSet.from_bytes(SlotSet(slots).to_bytes())
        self.assertEqual(set(decoded), set(slots))

    @given(slot_lists, slot_lists)
    def test_operators_agree_with_sets(self, left, right):
        """Guards against wrong set arithmetic on the bit mask."""
        self.assertEqual(set(SlotSet(left) | SlotSet(right)), set(left) | set(right))
        self.assertEqual(set(SlotSet(left) & SlotSet(right)), set(left) & set(right))
        self.assertEqual(set(SlotSet(left) - SlotSet(right)), set(left) - set(right))
        self.assertEqual(len(SlotSet(left)), len(set(left)))

    def test_negative_slot_is_refused(self):
        """Guards against a negative shift that corrupts the bit mask."""
        with self.assertRaises(ValueError):
            SlotSet([-1])
