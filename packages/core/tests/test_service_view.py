"""Tests of an instance's view of a service."""

import random
import time
import unittest

from tanagerreach_core.messages import (
    REPORT_POLL_ID,
    ServiceReply,
    TargetState,
    TargetVerdict,
)
from tanagerreach_core.traffic import LeastOutstandingOfTwo, Outcome, RoundRobin, ServiceView

NAMES = ("a", "b", "c", "d")


def reply(report, state, *, names=NAMES, permits=0, term_s=10.0, is_home=True):
    """Return a home's reply with the same verdict on each target."""
    return ServiceReply(
        request_id=report.request_id,
        service="s",
        is_home=is_home,
        verdicts=[
            TargetVerdict(
                target=name, state=state, term_s=term_s, permits=permits, permit_term_s=10.0
            )
            for name in names
        ],
    )


class ViewTest(unittest.TestCase):
    """Base class with a view whose targets are warm."""

    def setUp(self):
        self.random = random.Random(1)
        self.view = ServiceView(service="s", data_centre="dc")
        self.view.configure(NAMES, 4)
        self.view.apply(reply(self.view.build_report(0.0), TargetState.WARM), 0.0)

    def send(self, outcome, now_s, took_s=0.01):
        pick = self.view.pick(now_s, self.random)
        self.view.done(pick, outcome, now_s + took_s)
        return pick.target


class PickTest(ViewTest):
    """Which target a request goes to."""

    def test_unknown_targets_get_nothing(self):
        """Guards against a target of unknown state that is treated as warm."""
        view = ServiceView(service="s", data_centre="dc")
        view.configure(NAMES, 4)
        self.assertIsNone(view.pick(0.0, self.random))

    def test_excluded_and_removed_targets_get_nothing(self):
        """Guards against a retry at the same target, and new work after a removal."""
        held = self.view.pick(1.0, self.random)
        self.view.configure(("a", "b"), 4)
        for _ in range(6):
            self.assertEqual(self.view.pick(1.0, self.random, {"b"} | {"c"}).target, "a")
            if self.view.outstanding("a") >= 4:
                break
        self.view.done(held, Outcome.SUCCESS, 2.0)
        self.assertIsNone(self.view.pick(1.0, self.random, ("a", "b")))

    def test_target_that_is_back_waits_for_a_verdict(self):
        """Guards against full load on a target that was out while a request still ran there."""
        self.view.pick(1.0, self.random, ("b", "c", "d"))
        self.view.configure(("b", "c", "d"), 4)
        self.view.configure(NAMES, 4)
        self.assertIsNone(self.view.pick(2.0, self.random, ("b", "c", "d")))
        self.view.apply(reply(self.view.build_report(3.0), TargetState.WARM), 3.0)
        self.assertIsNotNone(self.view.pick(3.0, self.random, ("b", "c", "d")))

    def test_least_outstanding_is_preferred(self):
        """Guards against requests concentrated on one target."""
        for _ in range(8):
            self.view.pick(1.0, self.random)
        self.assertLessEqual(max(self.view.outstanding(name) for name in NAMES), 3)

    def test_sheds_lower_the_cap(self):
        """Guards against an instance that takes the few slots of a target from the others."""
        for _ in range(40):
            self.send(Outcome.SHED, 1.0)
        held = [self.view.pick(2.0, self.random) for _ in range(8)]
        self.assertEqual(sum(pick is not None for pick in held), 4)

    def test_bad_link_is_avoided_and_tried_again(self):
        """Guards against use of a link that is bad for this instance, and avoidance without end."""
        now_s = 1.0
        for _ in range(100):
            now_s += 0.01
            pick = self.view.pick(now_s, self.random)
            bad = pick.target == "a"
            self.view.done(pick, Outcome.CONNECT_FAILURE if bad else Outcome.SUCCESS, now_s)
        self.assertEqual(self.view.avoided(now_s), ["a"])
        self.assertNotIn("a", {self.send(Outcome.SUCCESS, now_s) for _ in range(50)})
        seen = set()
        for _ in range(100):
            now_s += 0.1
            seen.add(self.send(Outcome.SUCCESS, now_s))
        self.assertIn("a", seen)
        self.assertEqual(self.view.avoided(now_s), [])

    def test_hung_target_is_avoided_but_uploads_are_not(self):
        """Guards against requests sent into a hang, and targets avoided for long uploads."""
        for name in ("a", "b"):
            others = [other for other in NAMES if other != name]
            for _ in range(2):
                self.view.pick(1.0, self.random, others, sends_body=name == "b")
        self.view.pick(1.0, self.random, ("a", "b", "d"))
        self.assertEqual(self.view.avoided(2.5), ["a"])

    def test_failing_service_is_not_avoided(self):
        """Guards against an instance that refuses all requests because all its targets fail."""
        for index in range(100):
            self.send(Outcome.ERROR, 1.0 + index / 100)
        self.assertIsNotNone(self.view.pick(2.1, self.random))

    def test_round_robin_takes_turns(self):
        """Guards against a baseline that is not round robin."""
        view = ServiceView(service="s", data_centre="dc", chooser=RoundRobin())
        view.configure(NAMES, 4)
        view.apply(reply(view.build_report(0.0), TargetState.WARM), 0.0)
        taken = [view.pick(1.0, self.random).target for _ in range(8)]
        self.assertEqual(taken, list(NAMES) * 2)

    def test_least_outstanding_draws_evenly(self):
        """Guards against a chooser that prefers some of several equal candidates."""
        chooser = LeastOutstandingOfTwo()
        targets = list(self.view._targets.values())
        drawn = [chooser.choose(targets, self.random) for _ in range(8000)]
        for index in range(len(NAMES)):
            self.assertLess(abs(drawn.count(index) - 2000), 200)


class VerdictTest(ViewTest):
    """Effects of a home's verdicts, and the state while the home is silent."""

    def test_ejection_ends_when_the_home_is_silent(self):
        """Guards against an ejection that outlives its home, counted from before the report."""
        report = self.view.build_report(10.0)
        self.view.apply(reply(report, TargetState.EJECTED, names=("a",), term_s=2.0), 11.0)
        self.assertIs(self.view.state_of("a", 11.9), TargetState.EJECTED)
        self.assertIs(self.view.state_of("a", 12.0), TargetState.WARM)

    def test_warm_holds_when_the_home_is_silent(self):
        """Guards against a service that stops because its home failed."""
        self.assertIsNotNone(self.view.pick(10_000.0, self.random))

    def test_replies_of_others_and_older_ones_are_ignored(self):
        """Guards against verdicts of an instance that is not the home, and reordered ones."""
        old = self.view.build_report(1.0)
        new = self.view.build_report(1.5)
        self.assertFalse(self.view.apply(reply(new, TargetState.COLD, is_home=False), 1.6))
        newest = self.view.build_report(2.0)
        self.assertTrue(self.view.apply(reply(newest, TargetState.WARM), 2.1))
        self.assertFalse(self.view.apply(reply(old, TargetState.COLD), 2.2))
        self.assertFalse(self.view.apply(reply(newest, TargetState.COLD), 2.3))
        self.assertIs(self.view.state_of("a", 2.4), TargetState.WARM)

    def test_cold_target_takes_requests_on_permits_only(self):
        """Guards against requests on a cold target without a permit or past its end."""
        report = self.view.build_report(10.0)
        self.view.apply(reply(report, TargetState.COLD, permits=1), 10.1)
        picks = [self.view.pick(10.2, self.random) for _ in range(6)]
        self.assertEqual(sum(pick is not None for pick in picks), 4)
        pick = picks[0]
        self.assertTrue(self.view.may_send(pick, 19.9))
        self.assertFalse(self.view.may_send(pick, 20.0))
        self.view.done(pick, Outcome.SUCCESS, 10.3)
        self.assertIsNone(self.view.pick(16.0, self.random))

    def test_renewal_moves_the_deadline(self):
        """Guards against a long request that is cut off although its permit was renewed."""
        self.view.apply(reply(self.view.build_report(10.0), TargetState.COLD, permits=1), 10.1)
        pick = self.view.pick(10.2, self.random)
        self.view.apply(reply(self.view.build_report(15.0), TargetState.COLD, permits=1), 15.1)
        self.assertGreater(self.view.deadline_s(pick), 24.9)


class ReportTest(ViewTest):
    """What the instance reports, and when."""

    def test_intervals(self):
        """Guards against failures reported late, and idle instances that flood the home."""
        report = self.view.build_report(10.0)
        self.view.apply(reply(report, TargetState.WARM), 10.01)
        self.send(Outcome.SUCCESS, 10.05)
        self.assertIsNone(self.view.due_report(10.09))
        self.assertIsNone(self.view.due_report(10.45))
        self.send(Outcome.ERROR, 10.46)
        report = self.view.due_report(10.48)
        self.assertEqual(sum(entry.error_count for entry in report.targets), 1)
        self.send(Outcome.ERROR, 10.5)
        self.assertIsNone(self.view.due_report(10.9))
        self.assertIsNotNone(self.view.due_report(10.99))

    def quiet(self, until_s):
        """Send a request each half second, and return when reports were sent."""
        sent_s = []
        for step in range(int(until_s / 0.05)):
            now_s = step * 0.05
            if step % 10 == 0:
                self.send(Outcome.SUCCESS, now_s)
            report = self.view.due_report(now_s)
            if report is not None:
                sent_s.append(now_s)
                self.view.apply(reply(report, TargetState.WARM), now_s + 0.01)
        return sent_s

    def test_quiet_view_reports_rarely(self):
        """Guards against an instance that uses 328 services a little and sends 660 reports/s."""
        sent_s = self.quiet(60.0)
        self.assertLessEqual(max(b - a for a, b in zip(sent_s, sent_s[1:], strict=False)), 5.06)
        self.assertLess(len(sent_s), 20)

    def test_event_ends_the_quiet_interval(self):
        """Guards against a fault, a hang, traffic or a poll that is reported 5 s late."""
        for event in ("failure", "shed", "slow", "hang", "traffic", "poll"):
            with self.subTest(event):
                self.setUp()
                now_s = self.quiet(30.0)[-1] + 0.55
                if event in ("failure", "shed"):
                    self.send(Outcome.ERROR if event == "failure" else Outcome.SHED, now_s)
                elif event == "slow":
                    self.send(Outcome.SUCCESS, now_s, took_s=0.025)
                elif event == "hang":
                    self.view.pick(now_s - 0.1, self.random)
                elif event == "traffic":
                    for _ in range(8):
                        self.send(Outcome.SUCCESS, now_s)
                else:
                    report_poll = ServiceReply(request_id=REPORT_POLL_ID, service="s", is_home=True)
                    self.view.apply(report_poll, now_s)
                self.assertIsNotNone(self.view.due_report(now_s + 0.01))

    def test_quiet_view_with_a_cold_target(self):
        """Guards against a cold or ejected target whose verdict is renewed too late."""
        for state in (TargetState.COLD, TargetState.EJECTED):
            self.setUp()
            self.quiet(30.0)
            last_s = 30.5
            report = self.view.build_report(last_s)
            self.send(Outcome.SUCCESS, last_s)
            self.view.apply(reply(report, state, names=("a",)), last_s)
            self.assertIsNotNone(self.view.due_report(last_s + 0.51))

    def test_idle_view_reports_rarely(self):
        """Guards against control traffic for services without requests, and a stale first pick."""
        self.view.apply(reply(self.view.build_report(10.0), TargetState.WARM), 10.01)
        self.assertIsNone(self.view.due_report(14.9))
        self.send(Outcome.SUCCESS, 14.95)
        self.assertIsNotNone(self.view.due_report(14.97))

    def test_age_of_the_oldest_response(self):
        """Guards against held successes that count as present ones at the home."""
        self.send(Outcome.SUCCESS, 1.0)
        self.send(Outcome.SUCCESS, 3.0)
        self.assertAlmostEqual(self.view.build_report(4.01).held_ms, 3000, delta=1)
        self.send(Outcome.SUCCESS, 5.0)
        self.assertAlmostEqual(self.view.build_report(5.21).held_ms, 200, delta=1)
        self.assertEqual(self.view.build_report(6.0).held_ms, 0)

    def test_slow_response_is_reported_at_once(self):
        """Guards against evidence of slowness that is reported only after the usual interval."""
        last_s = self.quiet(30.0)[-1]
        self.send(Outcome.SUCCESS, last_s + 0.05, took_s=0.025)
        self.assertIsNotNone(self.view.due_report(last_s + 0.11))

    def test_counts_are_reported_once(self):
        """Guards against evidence counted twice or lost."""
        for index in range(30):
            self.send(Outcome.SUCCESS, 1 + index / 10)
        first = self.view.build_report(5.0)
        self.assertEqual(sum(entry.success_count for entry in first.targets), 30)
        self.assertEqual(sum(sum(entry.latency_counts) for entry in first.targets), 30)
        self.assertEqual(self.view.build_report(5.5).targets, [])

    def test_unknown_targets_are_reported(self):
        """Guards against a reply without the target whose state the instance does not know."""
        self.view.configure((*NAMES, "new"), 4)
        self.assertEqual([entry.target for entry in self.view.build_report(1.0).targets], ["new"])

    def test_late_and_repeated_ends_are_ignored(self):
        """Guards against wrong counts of outstanding requests after a second end."""
        pick = self.view.pick(1.0, self.random)
        self.view.done(pick, Outcome.SUCCESS, 1.1)
        self.view.done(pick, Outcome.ERROR, 1.2)
        self.assertEqual(self.view.outstanding(pick.target), 0)

    def test_oldest_in_flight(self):
        """Guards against a hang that is missing from the report."""
        pick = self.view.pick(1.0, self.random)
        report = self.view.build_report(3.5)
        entry = next(entry for entry in report.targets if entry.target == pick.target)
        self.assertEqual((entry.in_flight_count, entry.oldest_in_flight_s), (1, 2.5))

    def test_upload_counts_from_the_end_of_its_body(self):
        """Guards against slow callers that make a healthy target look slow or hung."""
        pick = self.view.pick(1.0, self.random, sends_body=True)
        self.assertEqual(self.view.build_report(5.0).targets[0].oldest_in_flight_s, 0.0)
        self.view.body_sent(pick, 9.0)
        self.view.done(pick, Outcome.SUCCESS, 9.003)
        self.assertEqual(sum(self.view.build_report(9.1).targets[0].latency_counts[:4]), 1)

    def test_pick_and_done_are_cheap(self):
        """Guards against a hot path that takes a tenth of a core at 1,000 requests/s."""
        view = ServiceView(service="s", data_centre="dc")
        names = [f"t{index}" for index in range(14)]
        view.configure(names, 4)
        view.apply(reply(view.build_report(0.0), TargetState.WARM, names=names), 0.0)
        began_s = time.process_time()
        for index in range(5000):
            view.done(view.pick(1.0, self.random), Outcome.SUCCESS, 1.0 + index / 1e6)
        self.assertLess((time.process_time() - began_s) / 5000, 100e-6)
