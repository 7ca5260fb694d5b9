"""Tests of the retry budget of one service at one instance."""

import unittest

from peer_states import hear
from tanagerreach_core.placement import InstanceRetryBudget, PeerTable

RATIO = 0.2
WINDOW_S = 10.0


def make_budget(*, allowance, fleet_size=1, **fields):
    return InstanceRetryBudget(
        ratio=RATIO,
        allowance=allowance,
        window_s=WINDOW_S,
        fleet_size=lambda now_s: fleet_size,
        **fields,
    )


def retry(budget, now_s):
    """Return whether a retry was allowed, and spend it."""
    is_allowed = budget.reserve(now_s)
    if is_allowed:
        budget.spend(now_s)
    return is_allowed


class InstanceRetryBudgetTest(unittest.TestCase):
    """Retries that the budgets of a service allow."""

    def test_retries_stay_within_the_budget(self):
        """Guards against a retry storm when all targets of a service fail."""
        budget = make_budget(allowance=5.0)
        retries = 0
        for number in range(200):
            budget.record_first_try(number * 0.02)
            retries += retry(budget, number * 0.02)
        self.assertGreater(retries, 10)
        self.assertLessEqual(retries, RATIO * 200 + 5)

    def test_any_window_stays_within_the_budget(self):
        """Guards against a window that spans two periods of the count.

        Load pattern: first tries stop after some time, and each second a retry is wanted at once.
        """
        budget = make_budget(allowance=20.0)
        first_tries, retries = [], []
        for number in range(4000):
            now_s = number * 0.01
            if now_s < 15.0:
                budget.record_first_try(now_s)
                first_tries.append(now_s)
            if retry(budget, now_s):
                retries.append(now_s)
        for step in range(300):
            start_s = step * 0.1
            sent = sum(start_s <= at_s < start_s + WINDOW_S for at_s in retries)
            counted = max(
                sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in first_tries)
                for begin_s in (start_s, start_s - WINDOW_S / 2, start_s - WINDOW_S)
            )
            self.assertLessEqual(sent, RATIO * counted + 20.0, f"from {start_s:.1f} s")

    def test_cut_off_instances_share_the_allowance(self):
        """Guards against isolated instances that each allow the retries of the whole fleet."""
        budgets = [make_budget(allowance=56.0, fleet_size=16) for _ in range(16)]
        retries = sum(retry(budget, number * 0.05) for budget in budgets for number in range(200))
        self.assertGreater(retries, 40)
        self.assertLessEqual(retries, 56)

    def test_restarted_instance_has_no_allowance_at_first(self):
        """Guards against an instance that uses its part of the allowance again after a restart."""
        budget = make_budget(allowance=56.0, fleet_size=2, allowance_from_s=WINDOW_S)
        self.assertFalse(retry(budget, WINDOW_S - 0.1))
        self.assertTrue(retry(budget, WINDOW_S))

    def test_reserved_retries_count(self):
        """Guards against many retries that wait for a placement and are all sent in the end."""
        budget = make_budget(allowance=3.0)
        self.assertEqual([budget.reserve(0.0) for _ in range(5)], [True] * 3 + [False] * 2)
        budget.release()
        self.assertTrue(budget.reserve(0.0))

    def test_cut_off_instance_counts_the_others(self):
        """Guards against an instance that takes the whole allowance once its peers are forgotten.

        Load pattern: an instance is cut off from its peers for longer than they stay in its table.
        """
        table = PeerTable(own_name="i0", heartbeat_s=0.8, now_s=0.0)
        for number in range(1, 16):
            hear(table, f"i{number}", 0.0)
        self.assertEqual(table.largest_size(0.0), 16)
        table.expire_silent(100.0)
        self.assertEqual(table.size(), 1)
        self.assertEqual(table.largest_size(100.0), 16)


if __name__ == "__main__":
    unittest.main()
