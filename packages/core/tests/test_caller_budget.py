"""Tests of the budget for callers' connections, by a replay of a crowd beside ordinary callers."""

import unittest

from tanagerreach_core.callers import CallerBudget

KIB = 1024
MIB = 1024 * KIB


class CallerBudgetTest(unittest.TestCase):
    """Guards against a crowd that keeps ordinary callers out, or holds more than the limit."""

    def setUp(self):
        self.budget = CallerBudget(limit_bytes=20 * MIB, limit_descriptors=100)

    def open(self, now_s, size_bytes=32 * KIB):
        account, decision = self.budget.open(size_bytes, now_s)
        self.assertTrue(decision.is_granted)
        return account, decision.evicted

    def end_evicted(self, evicted):
        for account in evicted:
            self.budget.close(account)

    def test_crowd_of_stopped_bodies_keeps_small_requests_out(self):
        for number in range(64):
            account, evicted = self.open(number / 100)
            self.end_evicted(evicted)
            for part in range(16):
                now_s = number / 100 + part / 1000
                decision = self.budget.take(account, 64 * KIB, now_s)
                self.end_evicted(decision.evicted)
                if not decision.is_granted:
                    break
                account.record_progress(64 * KIB, now_s)
            self.assertLessEqual(self.budget.held_bytes, 20 * MIB)
        for number in range(50):
            now_s = 5 + number / 10
            account, evicted = self.open(now_s)
            self.end_evicted(evicted)
            account.record_progress(500, now_s)
            decision = self.budget.take(account, 40 * KIB, now_s)
            self.assertTrue(decision.is_granted)
            self.end_evicted(decision.evicted)
            self.budget.close(account)

    def test_connections_exhaust_the_descriptors(self):
        for number in range(300):
            _, evicted = self.open(number / 10)
            self.end_evicted(evicted)
            self.assertLessEqual(self.budget.held_descriptors, 100)

    def test_request_at_a_target_is_closed(self):
        """A request that a target works on shows no progress, and may have run."""
        served, _ = self.open(0.0, 10 * MIB)
        served.serving_count = 1
        newer, _ = self.open(5.0, 9 * MIB)
        newer.record_progress(9 * MIB, 5.0)
        _, evicted = self.open(9.0, 2 * MIB)
        self.assertEqual(evicted, [newer])

    def test_slowest_requester_closes_others(self):
        stopped, _ = self.open(0.0, 10 * MIB)
        quick, _ = self.open(5.0, 9 * MIB)
        quick.record_progress(9 * MIB, 8.0)
        decision = self.budget.take(stopped, 5 * MIB, 8.0)
        self.assertFalse(decision.is_granted)
        self.assertEqual(decision.evicted, [])
        self.assertFalse(quick.is_evicted)

    def test_evicted_connection_is_counted_twice(self):
        evicted_before = []
        for number in range(200):
            account, evicted = self.open(float(number))
            account.record_progress(100, float(number))
            evicted_before += evicted
        for account in [*evicted_before, *evicted_before]:
            self.budget.close(account)
        self.assertEqual(len(self.budget), 100)
        self.assertEqual(self.budget.held_descriptors, 100)
        self.assertEqual(self.budget.held_bytes, 100 * 32 * KIB)


if __name__ == "__main__":
    unittest.main()
