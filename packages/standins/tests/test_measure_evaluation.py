"""Tests of the evaluation of ledgers and load records by ``tools/measure``."""

import unittest

from measure._evaluation import (
    check_windows,
    count_over_divided_limit,
    count_over_limit,
    duplicate_keys,
    false_not_run,
    first_starts,
    last_before_pause,
)
from measure._figures import MET, NO_VERDICT, NOT_MET, Figure, summarize

RATE_PER_S = 10.0
BURST = 5.0


def even_starts(count, rate_per_s, from_s=100.0):
    return [from_s + number / rate_per_s for number in range(count)]


def record(token, executed="", instance="a", at_s=0.0):
    return {"token": token, "executed": executed, "instance": instance, "at_s": at_s}


class WindowTest(unittest.TestCase):
    """A check that misses an excess would hide a violated rate limit."""

    def test_starts_at_the_rate_hold(self):
        """Guards against a reported excess for requests within the limit."""
        burst_then_rate = [100.0] * int(BURST) + even_starts(100, RATE_PER_S, 100.1)
        self.assertLessEqual(check_windows(burst_then_rate, RATE_PER_S, BURST).excess, 1e-6)

    def test_one_request_too_many_is_found(self):
        """Guards against a check that misses one excess request in the middle of a long run."""
        starts_s = [100.0] * int(BURST) + even_starts(100, RATE_PER_S, 100.1)
        check = check_windows([*starts_s, 104.05], RATE_PER_S, BURST)
        self.assertGreater(check.excess, 0.4)

    def test_short_excess_in_a_long_quiet_run_is_found(self):
        """Guards against a check of averages only: ten requests at once exceed the burst."""
        starts_s = even_starts(50, 1.0) + [120.5] * 10
        check = check_windows(starts_s, RATE_PER_S, BURST)
        self.assertGreater(check.excess, 4.0)
        self.assertLess(check.window_s, 1.0)

    def test_further_tries_count_once(self):
        """Guards against counting the tries of one request at several targets as requests."""
        entries = [
            {"request_id": "r1", "caller_token": "t", "started_at_s": at_s} for at_s in (2.0, 1.0)
        ]
        self.assertEqual([entry["started_at_s"] for entry in first_starts(entries)], [1.0])


class BaselineTest(unittest.TestCase):
    """An ideal limiter is the baseline that decides which refusals are wrongful."""

    def test_single_bucket(self):
        """Guards against counting rightful refusals as wrongful, and the reverse."""
        self.assertEqual(count_over_limit(even_starts(100, RATE_PER_S), RATE_PER_S, BURST, 0.0), 0)
        self.assertEqual(count_over_limit([1.0] * 10, RATE_PER_S, BURST, 0.0), 5)
        self.assertEqual(count_over_limit([1.0] * 10, RATE_PER_S, BURST, 0.3), 2)

    def test_divided_limit_refuses_skewed_load(self):
        """Guards against a baseline that shares tokens between instances."""
        records = [record("t", at_s=at_s) for at_s in even_starts(100, RATE_PER_S)]
        self.assertEqual(count_over_divided_limit(records, 1, RATE_PER_S, BURST, 0.0), 0)
        self.assertGreater(count_over_divided_limit(records, 4, RATE_PER_S, BURST, 0.0), 60)


class AtMostOnceTest(unittest.TestCase):
    """Duplicate runs and false ``not-run`` refusals must be found."""

    def test_duplicates(self):
        """Guards against missing a reservation that ran at two targets."""
        entry = {"idempotency_key": "k", "method": "POST"}
        self.assertEqual(duplicate_keys([entry, entry]), {"k": 2})
        self.assertEqual(duplicate_keys([entry, {"idempotency_key": "", "method": "POST"}]), {})

    def test_false_not_run(self):
        """Guards against missing a false refusal, and reporting one whose resend ran."""
        records = [record("ran", "not-run"), record("resent", "not-run"), record("resent")]
        entries = [{"caller_token": "ran"}, {"caller_token": "resent"}]
        self.assertEqual(false_not_run(records, entries), ["ran"])


class DetectionTest(unittest.TestCase):
    """Detection ends with the last request before a pause, not with the last request of all."""

    def test_pause(self):
        """Guards against counting probes of an ejected target, and missing an undetected fault."""
        self.assertEqual(last_before_pause([10.1, 10.4, 14.0], 10.0, 16.0, 1.5), 10.4)
        self.assertIsNone(last_before_pause([10 + n / 2 for n in range(12)], 10.0, 16.0, 1.5))
        self.assertEqual(last_before_pause([], 10.0, 16.0, 1.5), 10.0)


class VerdictTest(unittest.TestCase):
    """The worst run decides the verdict."""

    def test_one_bad_run_fails_the_goal(self):
        """Guards against a median that hides a run which missed the goal."""
        runs = [
            Figure(measure="m", name="n", value=value, goal="0", limit=0.0) for value in (0.0, 1.0)
        ]
        self.assertEqual([figure.verdict() for figure in runs], [MET, NOT_MET])
        self.assertEqual(summarize(runs)[0].verdict, NOT_MET)

    def test_run_without_value_is_not_met(self):
        """Guards against a goal that counts as met although a run has no value for it."""
        measured = Figure(measure="m", name="n", value=0.0, goal="0", limit=0.0)
        unmeasured = Figure(measure="m", name="n", value=None, goal="0", limit=0.0)
        self.assertEqual(summarize([measured, unmeasured])[0].verdict, NO_VERDICT)


if __name__ == "__main__":
    unittest.main()
