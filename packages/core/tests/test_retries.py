"""Tests of retry decisions and of the ``Executed`` value of refusals."""

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from tanagerreach_core import _retries
from tanagerreach_core.traffic import (
    Attempt,
    Executed,
    Outcome,
    RetryBudget,
    RetryReason,
    Try,
    decide,
    executed,
    is_idempotent,
)

# Whether a request may have run at its target, by the outcome that the instance recorded.
MAY_HAVE_RUN = {
    Outcome.SUCCESS: True,
    Outcome.ERROR: True,
    Outcome.TIMEOUT: True,
    Outcome.SHED: False,
    Outcome.CONNECT_FAILURE: False,
    Outcome.BROKEN_BEFORE_HEAD: True,
    Outcome.BROKEN_AFTER_HEAD: True,
    Outcome.CANCELLED: True,
    None: True,
}
outcomes = st.sampled_from(list(MAY_HAVE_RUN))


def attempt(*seen, idempotent=True, body_replayable=True, late_s=0.0, remaining_s=1.0):
    """Build an attempt whose tries ended as given."""
    tries = [Try(target=f"t{index}", outcome=outcome) for index, outcome in enumerate(seen)]
    return Attempt(
        idempotent=idempotent,
        tries=tries,
        body_replayable=body_replayable,
        deadline_s=10.0 + remaining_s,
        due_s=10.0 - late_s,
        now_s=10.0,
    )


def greatest_runs(seed):
    """Return how often a non-idempotent request may have run, at most, following decisions."""
    draw = random.Random(seed)
    seen = []
    while True:
        seen.append(draw.choice(list(Outcome)))
        if not decide(attempt(*seen, idempotent=False), RetryBudget()).retry:
            return sum(MAY_HAVE_RUN[outcome] for outcome in seen)


def false_refusals():
    """Return the outcomes after which a refusal says "not run" although the request may have."""
    return [
        outcome
        for outcome, may_have_run in MAY_HAVE_RUN.items()
        if may_have_run and executed([Try(target="t", outcome=outcome)]) is Executed.NOT_RUN
    ]


class TrueRefusalTest(unittest.TestCase):
    """P7: a refusal that says "not run" is true; P8: a non-idempotent request runs once at most."""

    @given(st.lists(outcomes, max_size=4))
    def test_not_run_is_true(self, seen):
        """Guards against "not run" after a try that may have run, and a needless "unknown"."""
        tries = [Try(target="t", outcome=outcome) for outcome in seen]
        is_not_run = executed(tries) is Executed.NOT_RUN
        self.assertEqual(is_not_run, not any(MAY_HAVE_RUN[outcome] for outcome in seen))

    def test_non_idempotent_runs_once_at_most(self):
        """Guards against a retry of a reservation or a charge that may have run."""
        self.assertLessEqual(max(greatest_runs(seed) for seed in range(2000)), 1)

    def test_checks_notice_broken_rules(self):
        """The checks must notice a timeout that counts as a request that did not start."""
        self.assertEqual(false_refusals(), [])
        broken = _retries.NOT_STARTED | {Outcome.TIMEOUT}
        with mock.patch.object(_retries, "NOT_STARTED", broken):
            self.assertEqual(false_refusals(), [Outcome.TIMEOUT])
            self.assertGreater(max(greatest_runs(seed) for seed in range(2000)), 1)

    def test_method_and_route_decide_idempotency(self):
        """Guards against a retried POST, and against a route's setting that is ignored."""
        self.assertTrue(is_idempotent("put"))
        self.assertFalse(is_idempotent("POST"))
        self.assertFalse(is_idempotent("PATCH"))
        self.assertFalse(is_idempotent("GET", route_idempotent=False))


class DecisionTest(unittest.TestCase):
    """When a request is retried."""

    def check(self, reason, *seen, **changes):
        decision = decide(attempt(*seen, **changes), RetryBudget())
        self.assertIs(decision.reason, reason)
        self.assertEqual(decision.retry, reason is RetryReason.RETRY)

    def test_reasons(self):
        """Guards against retries that are unsafe, useless or too late."""
        self.check(RetryReason.RETRY, Outcome.ERROR)
        self.check(RetryReason.RETRY, Outcome.SHED, idempotent=False)
        self.check(RetryReason.NOT_IDEMPOTENT, Outcome.TIMEOUT, idempotent=False)
        self.check(RetryReason.FINAL, Outcome.SUCCESS)
        self.check(RetryReason.FINAL, Outcome.CANCELLED)
        self.check(RetryReason.RESPONSE_STARTED, Outcome.BROKEN_AFTER_HEAD)
        self.check(RetryReason.BODY_CONSUMED, Outcome.ERROR, body_replayable=False)
        self.check(RetryReason.TRIES_USED, Outcome.ERROR, Outcome.ERROR, Outcome.ERROR)
        self.check(RetryReason.DEADLINE, Outcome.ERROR, remaining_s=0.001)
        self.check(RetryReason.INSTANCE_LATE, Outcome.TIMEOUT, late_s=0.5)

    def test_tried_targets_are_left_out(self):
        """Guards against a retry at the target that just failed."""
        decision = decide(attempt(Outcome.ERROR, Outcome.ERROR), RetryBudget())
        self.assertEqual(decision.exclude, ("t0", "t1"))

    def test_budget_bounds_retries(self):
        """Guards against a retry storm when every request fails."""
        budget = RetryBudget()
        retries = 0
        for index in range(2000):
            budget.add_request()
            now_s = index / 100
            failed = attempt(Outcome.ERROR)
            failed = Attempt(
                idempotent=True,
                tries=failed.tries,
                body_replayable=True,
                deadline_s=now_s + 1,
                due_s=now_s,
                now_s=now_s,
            )
            retries += decide(failed, budget).retry
        self.assertLess(retries, 0.1 * 2000 + 20 + 20)
        self.assertGreater(retries, 0.1 * 2000)
