"""Tests of the store stand-in's state."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from tanagerreach_standins._store_state import RevisionConflictError, StoreState

writes = st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 4)))


class StoreStateTest(unittest.TestCase):
    """Rules of the store, without its HTTP interface."""

    @given(writes)
    def test_revision_rises_with_each_effect(self, steps):
        """Guards against a revision that is used twice, and a conflict that changes the state."""
        state = StoreState(clock=lambda: 0.0, on_change=lambda: None)
        for key, is_delete, expected in steps:
            before, entry = state.revision, state.get(key)
            current = entry.revision if entry else 0
            try:
                if is_delete:
                    state.delete(key, expected)
                else:
                    state.put(key, "", expected, None)
            except RevisionConflictError:
                self.assertNotEqual(current, expected)
                self.assertEqual(state.revision, before)
                continue
            self.assertEqual(current, expected)
            has_effect = not is_delete or current > 0
            self.assertEqual(state.revision, before + has_effect)
            self.assertEqual(state.changed_after(key, before), has_effect)

    def test_loaded_instances_are_visible_at_once(self):
        """Guards against a fleet that must wait for the lag before it can see its instances."""
        state = StoreState(clock=lambda: 10.0, on_change=lambda: None)
        state.load_instances([{"name": "i1", "peer_address": "127.0.0.1:1"}])
        self.assertEqual([item["state"] for item in state.instances(5.0)], ["live"])
