"""Items of the operator state over eras of the store."""

import unittest

from tanagerreachd.gateway import Listing, StoredItem, store_position
from tanagerreachd.gateway._operator_items import OPERATOR_RETURN_S, OperatorItems


def may_replace(known, item):
    """Let no configuration, whose value is its version, replace a newer one."""
    return known.key != "config" or (item is not None and item.value >= known.value)


def listing(era, revision, **values):
    items = [
        StoredItem(key=key, value=value, revision=store_position(era, revision))
        for key, value in values.items()
    ]
    return Listing(items=items, revision=store_position(era, revision))


class OperatorItemsTest(unittest.TestCase):
    """A configuration, and data centres out of service, in a store that lost its latest writes."""

    def setUp(self):
        self.items = OperatorItems(may_replace=may_replace)
        self.items.replace(listing(0, 90, config=b"5", out_a=b"{}"), 0.0)

    def in_force(self, items=None):
        return {item.key: item.value for item in (items or self.items).in_force()}

    def test_copy_takes_operators_writes_back(self):
        """Guards against a data centre that returns to service, and one that leaves it, by a copy.

        The operators had taken out the first and taken back the second since the copy.
        """
        before = self.in_force()
        self.items.replace(listing(1, 80, config=b"5", out_b=b"{}"), 1.0)
        self.assertEqual(self.in_force(), before)
        self.assertEqual(self.items.revision, store_position(1, 80))
        self.assertFalse(self.items.release(1.0 + OPERATOR_RETURN_S - 0.1))
        self.assertTrue(self.items.release(1.0 + OPERATOR_RETURN_S))
        self.assertEqual(self.in_force(), {"config": b"5", "out_b": b"{}"})

    def test_write_of_the_new_era_waits(self):
        """Guards against an operator's write after the return that takes effect late."""
        self.items.replace(listing(1, 80, config=b"4", out_b=b"{}"), 1.0)
        self.items.update(listing(1, 81, out_a=b"new"))
        self.assertEqual(self.in_force(), {"config": b"5", "out_a": b"new"})
        removed = StoredItem(key="out_b", value=None, revision=store_position(1, 82))
        self.items.update(Listing(items=[removed], revision=store_position(1, 82)))
        self.items.replace(listing(1, 83, config=b"6", out_a=b"new"), 1.5)
        self.assertEqual(self.in_force(), {"config": b"6", "out_a": b"new"})
        self.assertEqual(self.items.held_count, 0)

    def test_older_configuration_comes_into_force(self):
        """Guards against a configuration that reverts when the operators write it again late."""
        for copy in (listing(1, 80, config=b"4"), listing(2, 70)):
            self.items.replace(copy, 1.0)
            self.items.release(60.0)
            self.assertEqual(self.in_force(), {"config": b"5"})
        self.items.update(listing(2, 71, config=b"5"))
        self.assertEqual(self.items.held_count, 0)

    def test_second_return_within_the_hold(self):
        """Guards against a copy that takes effect, as the hold against the copy before it ends."""
        before = self.in_force()
        self.items.replace(listing(1, 80, config=b"5"), 1.0)
        self.items.replace(listing(2, 70, config=b"5", out_b=b"{}"), 3.0)
        self.items.release(1.0 + OPERATOR_RETURN_S)
        self.assertEqual(self.in_force(), before)

    def test_instance_that_starts_takes_the_copy(self):
        """Guards against an instance that starts during the hold and serves by the copy alone."""
        copy = listing(1, 80, config=b"4", out_b=b"{}")
        self.items.replace(copy, 1.0)
        started = OperatorItems(may_replace=may_replace)
        started.replace(self.items.listing(2.0), 2.0)
        started.replace(copy, 2.0)
        self.assertEqual(self.in_force(started), {"config": b"5", "out_a": b"{}"})
        # The hold ends when that of the peer does.
        started.release(1.0 + OPERATOR_RETURN_S)
        self.assertEqual(self.in_force(started), {"config": b"5", "out_b": b"{}"})

    def test_instance_that_was_behind_keeps_its_own_items(self):
        """Guards against a hold of items that a peer knows to be outdated."""
        behind = OperatorItems(may_replace=may_replace)
        behind.replace(listing(0, 50, config=b"3"), 0.0)
        self.items.replace(listing(1, 80, config=b"4"), 1.0)
        behind.replace(self.items.listing(1.0), 1.0)
        self.assertEqual(self.in_force(behind), {"config": b"5", "out_a": b"{}"})


if __name__ == "__main__":
    unittest.main()
