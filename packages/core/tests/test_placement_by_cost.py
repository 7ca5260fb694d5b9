"""Tests of the placement of requests by their expected work."""

import hashlib
import unittest
from unittest import mock

import test_placement
from cost_replay import LOADS, CostReplay
from tanagerreach_core.config import Configuration, Route, Service
from tanagerreach_core.messages import PlacementState
from tanagerreach_core.placement import path_shape, services_placed_by_cost, work_class
from tanagerreach_core.traffic import Outcome
from test_placement import PlacementTest, Replay, Requester, make_placement, make_targets

SHORT, LONG = 1, 2
SEEDS = range(4)
# The bound on the loss by wrong estimates.
P99_RATIO_MAX = 1.05
# Decisions of the replay below on the code before this feature, 83c8b55.
FORMER_DECISIONS = "93c015bbd24ce40222d20ce7e21ae54c429cd23d2a56d99c1fa77ff80f71d686"


def make_placement_by_cost(targets):
    placement = make_placement(targets)
    placement.set_places_by_cost(True, 0.0)
    return placement


class RulesByCostTest(PlacementTest):
    """The rules of placement hold as without the feature."""

    # Services with a cold rate are not placed by cost, for the reason that this test guards.
    test_no_target_gets_the_rate_that_a_cold_one_cannot_bear = None

    def setUp(self):
        patch = mock.patch.object(test_placement, "make_placement", make_placement_by_cost)
        patch.start()
        self.addCleanup(patch.stop)


class ByCostTest(unittest.TestCase):
    """A home that places requests by their expected work."""

    def setUp(self):
        self.placement = make_placement_by_cost(make_targets(2))
        self.requester = Requester(self.placement)
        self.now_s = 0.0

    def serve(self, work, latency_s, slowness=None):
        """Place a request alone and serve it.

        :param slowness: latencies as a multiple of ``latency_s`` by target, by default 1.
        """
        key, reply = self.requester.place(self.now_s, work_class=work, path_shape=2)
        took_s = latency_s * (slowness or {}).get(reply.target, 1.0)
        self.now_s += took_s
        self.placement.complete(key, Outcome.SUCCESS, took_s, b"", self.now_s)
        self.now_s += 0.05
        return reply

    def learn(self, count=60, **fields):
        for _ in range(count):
            self.serve(SHORT, 0.05, **fields)
            self.serve(LONG, 0.75, **fields)

    def test_long_request_counts_like_a_short_one(self):
        """Guards against a target with a long request that gets as many others as an idle one."""
        near = make_targets(4)
        self.placement.configure([near[0], near[3]], 0.0)
        self.learn()
        # Both targets have served requests lately.
        keys = [self.requester.place(self.now_s, work_class=SHORT)[0] for _ in range(8)]
        self.now_s += 0.05
        for key in keys:
            self.placement.complete(key, Outcome.SUCCESS, 0.05, b"", self.now_s)
        self.now_s += 0.05
        _, first = self.requester.place(self.now_s, work_class=LONG, path_shape=2)
        targets = [
            self.requester.place(self.now_s, work_class=SHORT, path_shape=2)[1].target
            for _ in range(2)
        ]
        self.assertNotIn(first.target, targets)

    def test_reply_tells_expected_work(self):
        """Guards against decisions that an operator cannot follow in the log."""
        self.learn()
        _, long_reply = self.requester.place(self.now_s, work_class=LONG, path_shape=2)
        self.assertAlmostEqual(long_reply.expected_work_ms, 750, delta=100)
        self.assertEqual(long_reply.work_left_ms, 0)
        _, short_reply = self.requester.place(self.now_s, work_class=SHORT, path_shape=2)
        self.assertAlmostEqual(short_reply.expected_work_ms, 50, delta=25)

    def test_few_samples_decide(self):
        """Guards against a single slow request that sets the expectation of its class."""
        self.learn()
        self.serve(3, 5.0)
        _, reply = self.requester.place(self.now_s, work_class=3, path_shape=2)
        mean_ms = 1000 * self.placement.service_time_s
        self.assertLess(reply.expected_work_ms, mean_ms + 1000)

    def test_old_samples_decide(self):
        """Guards against an expectation that a change of the work never reaches."""
        self.learn()
        for _ in range(40):
            self.serve(SHORT, 1.0)
        _, reply = self.requester.place(self.now_s, work_class=SHORT, path_shape=2)
        self.assertGreater(reply.expected_work_ms, 500)

    def test_request_that_would_be_late_goes_to_a_slow_target(self):
        """Guards against a long request at a slow target while another one is free."""
        self.learn(slowness={"t1": 3.0})
        for _ in range(3):
            _, reply = self.requester.place(self.now_s, work_class=LONG, path_shape=2)
            self.assertEqual(reply.target, "t0")

    def test_slow_target_is_used_without_a_choice(self):
        """Guards against refusals while a slow target has free slots."""
        self.learn(slowness={"t1": 3.0})
        replies = [
            self.requester.place(self.now_s, work_class=LONG, path_shape=2, remaining_ms=9000)[1]
            for _ in range(8)
        ]
        states = {reply.state for reply in replies[:4]}
        self.assertEqual(states, {PlacementState.GRANTED})
        granted = [reply for reply in replies if reply.state is PlacementState.GRANTED]
        granted += [reply for _, reply in self.placement.dispatch(self.now_s + 0.9)]
        self.assertIn("t1", {reply.target for reply in granted})

    def test_long_requests_make_targets_look_failing(self):
        """Guards against a healthy target that is avoided since it runs long requests."""
        self.learn(count=5)
        for _ in range(100):
            self.serve(SHORT, 0.05)
        for _ in range(6):
            self.serve(LONG, 0.75)
            reply = self.serve(SHORT, 0.05)
            self.assertLess(reply.failure_percent, 30)

    def test_many_classes_exhaust_memory(self):
        """Guards against a table that grows with the classes and shapes that callers send."""
        self.learn(count=1)
        for number in range(400):
            self.serve(1 + number, 0.01)
        work = self.placement._work
        self.assertLessEqual(len(work._classes), 32)
        self.assertLessEqual(len(work._shapes), 64)

    def test_switch_loses_running_requests(self):
        """Guards against requests in flight that a change of the configuration breaks."""
        key, _ = self.requester.place(0.0, work_class=SHORT)
        self.placement.set_places_by_cost(False, 0.1)
        other, reply = self.requester.place(0.1, work_class=SHORT)
        self.assertEqual((reply.expected_work_ms, reply.work_left_ms), (0, 0))
        self.placement.set_places_by_cost(True, 0.2)
        for each in (key, other):
            self.placement.complete(each, Outcome.SUCCESS, 0.2, b"", 0.3)
        self.assertEqual(self.placement.in_flight_count, 0)


class SwitchTest(unittest.TestCase):
    """What switches the feature on, and decisions without it."""

    def test_decisions_change_without_the_feature(self):
        """Guards against decisions that differ from before where the feature is off."""
        decisions = []

        class Recorded(Replay):
            LENGTH_S = 20.0

            def take(self, key, reply, now_s, arrived_s):
                decisions.append((key[1], reply.state.name, reply.target, reply.failure_percent))
                super().take(key, reply, now_s, arrived_s)

        Recorded(0, 55.0).run()
        digest = hashlib.sha256(repr(decisions).encode()).hexdigest()
        self.assertEqual(digest, FORMER_DECISIONS)

    def test_services_with_a_cold_rate_are_placed_by_cost(self):
        """Guards against a target that turns cold without notice and gets many short requests."""
        objects = [
            Service(name="mixed"),
            Service(name="single"),
            Service(name="cold", cold_rate_per_s=4.0),
            Route(name="r1", service="mixed", path_prefix="/1"),
            Route(name="r2", service="single", split={"single": 1.0, "mixed": 1.0}),
            Route(name="r3", service="cold", path_prefix="/3"),
            Route(name="r4", service="cold", path_prefix="/4"),
        ]
        configuration = Configuration.from_objects(1, objects)
        self.assertEqual(services_placed_by_cost(configuration), {"mixed"})

    def test_requests_of_one_class_differ(self):
        """Guards against classes that mix routes, methods or sizes, or depend on names in paths."""
        classes = [
            work_class("r", "GET", 0),
            work_class("r", "POST", 0),
            work_class("r2", "GET", 0),
            work_class("r", "POST", 60_000),
            work_class("r", "POST", None),
        ]
        self.assertEqual(len(set(classes)), len(classes))
        self.assertEqual(work_class("r", "POST", 40_000), work_class("r", "POST", 60_000))
        self.assertEqual(path_shape("/a/1"), path_shape("/a/2"))
        self.assertNotEqual(path_shape("/a/1"), path_shape("/a/1?all=1"))
        self.assertLess(path_shape("/" * 500 + "?"), 16)


class LoadPatternTest(unittest.TestCase):
    """Load patterns: requests that look alike and take very different times."""

    played = {}

    def play(self, name):
        """Return the replays with placement by requests in flight, and by expected work."""
        if name not in self.played:
            self.played[name] = [
                [CostReplay(LOADS[name], seed, places_by_cost=by_cost).run() for seed in SEEDS]
                for by_cost in (False, True)
            ]
        return self.played[name]

    def test_any_load_is_served_worse(self):
        """Guards against a loss by expectations, also by wrong ones or without samples."""
        for name, load in LOADS.items():
            before, after = self.play(name)
            for entry in load.classes:
                with self.subTest(load=name, number=entry.number):
                    limit_s = P99_RATIO_MAX * CostReplay.pooled_p99_s(before, entry.number)
                    self.assertLessEqual(CostReplay.pooled_p99_s(after, entry.number), limit_s)

    def test_rare_long_requests_delay_short_ones(self):
        """Guards against short requests that wait as targets with long ones look failing."""
        before, after = self.play("two classes 1:15, the long one rare")
        late = [sum(replay.late_share(SHORT) for replay in played) for played in (before, after)]
        self.assertLess(late[1], 0.5 * late[0])


if __name__ == "__main__":
    unittest.main()
