"""Tests of the placement of requests under loads that leave few free slots."""

import heapq
import unittest
from random import Random

from tanagerreach_core.messages import PlacementRequest, PlacementState, RefusalCause
from tanagerreach_core.placement import PlacementTarget, ServicePlacement
from tanagerreach_core.traffic import Outcome

SERVICE_TIME_S = 0.2
# A later refusal wastes its caller's time: an eighth of the latency objective of 1 s.
PROMPT_S = 0.125


def make_targets(count, **fields):
    return [
        PlacementTarget(
            name=f"t{number}",
            address=f"10.0.0.{number}:80",
            data_centre=f"dc-{number % 3}",
            slot_count=4,
            **fields,
        )
        for number in range(count)
    ]


def make_placement(targets):
    placement = ServicePlacement(floor_share=0.7)
    placement.configure(targets, 0.0)
    return placement


def make_placement_request(call_id, **fields):
    values = {
        "call_id": call_id,
        "service": "s",
        "workspace": "w",
        "priority": 1,
        "remaining_ms": 3000,
        "objective_ms": 1000,
        "is_retryable": False,
        "is_retry": False,
        "data_centre": "dc-0",
        "fingerprint": b"",
        **fields,
    }
    return PlacementRequest(**values)


class Requester:
    """Sends placement requests with new call ids."""

    def __init__(self, placement):
        self.placement = placement
        self.request_count = 0

    def place(self, now_s, **fields):
        self.request_count += 1
        key = ("i", self.request_count)
        return key, self.placement.place(
            key, make_placement_request(self.request_count, **fields), now_s
        )


class PlacementTest(unittest.TestCase):
    """Placement by the home of one service."""

    def test_targets_run_no_more_than_their_slots(self):
        """Guards against queues at targets, where requests have no fair order."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        replies = [requester.place(0.0)[1] for _ in range(10)]
        granted = [reply for reply in replies if reply.state is PlacementState.GRANTED]
        self.assertEqual(len(granted), 8)
        self.assertEqual({reply.target for reply in granted}, {"t0", "t1"})
        self.assertEqual(len(placement), 2)

    def test_free_slot_goes_to_a_queued_request(self):
        """Guards against a slot that stays free while a request is queued."""
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        keys = [requester.place(0.0)[0] for _ in range(5)]
        placement.complete(keys[0], Outcome.SUCCESS, SERVICE_TIME_S, b"", 0.2)
        decisions = placement.dispatch(0.2)
        self.assertEqual([request.key for request, _ in decisions], [keys[4]])
        self.assertIs(decisions[0][1].state, PlacementState.GRANTED)

    def test_duplicated_request_gets_the_same_reply(self):
        """Guards against two placements for one request whose first reply was lost."""
        placement = make_placement(make_targets(3))
        placement_request = make_placement_request(1)
        first = placement.place(("i", 1), placement_request, 0.0)
        self.assertEqual(placement.place(("i", 1), placement_request, 0.1), first)
        self.assertEqual(placement.in_flight_count, 1)

    def test_failed_target_is_avoided(self):
        """Guards against the next requests of all instances failing at the same target."""
        placement = make_placement(make_targets(4))
        requester = Requester(placement)
        key, reply = requester.place(0.0)
        placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 0.01)
        chosen = {requester.place(0.02)[1].target for _ in range(12)}
        self.assertNotIn(reply.target, chosen)

    def test_non_retryable_request_waits_for_a_healthy_target(self):
        """Guards against a charge that fails at an unreliable target as a healthy one is busy."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        key, reply = requester.place(0.0)
        placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 0.01)
        keys = [requester.place(0.02)[0] for _ in range(4)]
        waiting, queued = requester.place(0.03)
        self.assertIs(queued.state, PlacementState.QUEUED)
        placement.complete(keys[0], Outcome.SUCCESS, SERVICE_TIME_S, b"", 0.2)
        decided = dict((request.key, found) for request, found in placement.dispatch(0.2))
        self.assertNotEqual(decided[waiting].target, reply.target)

    def test_likely_failing_target_is_used_before_the_objective_passes(self):
        """Guards against waiting without end for a target that stays busy."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        key, reply = requester.place(0.0)
        placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 0.01)
        for _ in range(4):
            requester.place(0.02)
        requester.place(0.03)
        decisions = placement.dispatch(0.9)
        self.assertEqual([found.target for _, found in decisions], [reply.target])

    def test_likely_failing_targets_still_serve(self):
        """Guards against a service that places nothing because every target failed recently."""
        placement = make_placement(make_targets(3))
        requester = Requester(placement)
        for _ in range(6):
            key, _ = requester.place(0.0)
            placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 0.0)
        self.assertIs(requester.place(0.1)[1].state, PlacementState.GRANTED)

    def test_request_in_flight_counts_as_refused(self):
        """Guards against idle targets that are used as requests at work found no second target."""
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        for is_in_flight, expected in ((True, 0.0), (False, 1.0)):
            for _ in range(20):
                fields = {"excluded": ["t0"], "is_in_flight": is_in_flight}
                reply = requester.place(0.0, is_retry=True, **fields)[1]
                self.assertIs(reply.state, PlacementState.REFUSED)
            self.assertEqual(placement.load(0.0).unserved_share, expected)

    def test_request_at_work_moves_to_a_failing_target(self):
        """Guards against a target's work that is given up for a target that likely fails."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        for _ in range(3):
            key, reply = requester.place(0.0, excluded=["t0"], is_retryable=True)
            if reply.state is PlacementState.GRANTED:
                placement.complete(key, Outcome.ERROR, 0.1, b"", 0.1)
        fields = {"excluded": ["t0"], "is_retryable": True, "is_retry": True}
        self.assertIs(
            requester.place(0.2, is_in_flight=True, **fields)[1].state, PlacementState.QUEUED
        )
        self.assertFalse(
            any(
                reply.state is PlacementState.GRANTED
                for number in range(1, 6)
                for _, reply in placement.dispatch(0.2 + 0.1 * number)
            )
        )

    def test_request_is_given_up_as_its_only_target_failed_it(self):
        """Guards against callers that get an error at once while their retry would be served.

        Load pattern: all targets of a small service but one have gone, and that one sheds requests
        by turns. One that the instance cannot connect to, or must not use, is not tried again.
        """
        for outcome, hard, expected in (
            (Outcome.SHED, [], PlacementState.GRANTED),
            (Outcome.BROKEN_BEFORE_HEAD, [], PlacementState.GRANTED),
            (Outcome.CONNECT_FAILURE, [], PlacementState.REFUSED),
            (Outcome.SHED, ["t1"], PlacementState.GRANTED),
            (Outcome.SHED, ["t0"], PlacementState.REFUSED),
        ):
            with self.subTest(outcome=outcome, hard=hard):
                placement = make_placement(make_targets(1 + ("t1" in hard)))
                requester = Requester(placement)
                key, _ = requester.place(0.0, excluded=hard if "t1" in hard else [])
                placement.complete(key, outcome, 0.01, b"", 0.01)
                tried = [] if "t0" in hard else ["t0"]
                fields = {"is_retry": True, "is_retryable": True, "tried": tried}
                reply = requester.place(0.02, excluded=[*hard, *tried], **fields)[1]
                self.assertIs(reply.state, expected)
                if expected is PlacementState.GRANTED:
                    self.assertEqual(reply.target, "t0")

    def test_retry_waits_for_targets_that_hang(self):
        """Guards against a retry that waits until its deadline for targets that do not respond.

        Load pattern: one target resets most requests at once, and the other one hangs.
        """
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        for _ in range(6):
            key, _ = requester.place(0.0, excluded=["t1"])
            placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 0.01)
        for _ in range(4):
            requester.place(0.0, excluded=["t0"])
        fields = {"is_retry": True, "is_retryable": True, "tried": ["t0"]}
        reply = requester.place(2.0, excluded=["t0"], **fields)[1]
        self.assertEqual((reply.state, reply.target), (PlacementState.GRANTED, "t0"))

    def test_other_target_goes_before_a_tried_one(self):
        """Guards against a retry at the target that has failed the request."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        key, reply = requester.place(0.0)
        placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 0.01)
        fields = {"is_retry": True, "is_retryable": True, "tried": [reply.target]}
        self.assertNotEqual(
            requester.place(0.02, excluded=[reply.target], **fields)[1].target, reply.target
        )

    def test_impossible_request_is_refused_at_once(self):
        """Guards against a caller that waits although its deadline cannot be met."""
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        _, reply = requester.place(0.0, remaining_ms=20)
        self.assertIs(reply.cause, RefusalCause.DEADLINE)
        for _ in range(4):
            requester.place(0.0)
        replies = [requester.place(0.0, remaining_ms=1000)[1] for _ in range(40)]
        refused = [reply for reply in replies if reply.cause is RefusalCause.NO_ROOM]
        self.assertGreater(len(refused), 15)
        self.assertTrue(all(reply.retry_after_ms >= 200 for reply in refused))

    def test_urgent_requests_go_first(self):
        """Guards against urgent requests that wait behind less urgent ones."""
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        keys = [requester.place(0.0)[0] for _ in range(4)]
        requester.place(0.0, priority=2)
        urgent, _ = requester.place(0.0, priority=0)
        placement.complete(keys[0], Outcome.SUCCESS, SERVICE_TIME_S, b"", 0.1)
        self.assertEqual([request.key for request, _ in placement.dispatch(0.1)], [urgent])

    def test_greedy_workspace_waits_behind_others(self):
        """Guards against one workspace's burst that takes all slots for the next second."""
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        running = [requester.place(0.0)[0] for _ in range(4)]
        for _ in range(8):
            requester.place(0.0, workspace="greedy")
        modest = [requester.place(0.01, workspace=f"w{number}")[0] for number in range(3)]
        order = []
        for key in running:
            placement.complete(key, Outcome.SUCCESS, SERVICE_TIME_S, b"", 0.1)
            order += [request.key for request, _ in placement.dispatch(0.1)]
        self.assertTrue(set(modest) <= set(order))

    def test_cold_target_gets_no_more_than_it_bears(self):
        """Guards against a cold target that is overloaded by a burst."""
        placement = make_placement(make_targets(1, cold_until_s=100.0, cold_rate_per_s=7.0))
        requester = Requester(placement)
        starts = []
        now_s = 0.0
        while now_s < 10.0:
            key, reply = requester.place(now_s, remaining_ms=300, objective_ms=300)
            if reply.state is PlacementState.GRANTED:
                starts.append(now_s)
                placement.complete(key, Outcome.SUCCESS, 0.01, b"", now_s)
            for request, found in placement.dispatch(now_s):
                if found.state is PlacementState.GRANTED:
                    starts.append(now_s)
                    placement.complete(request.key, Outcome.SUCCESS, 0.01, b"", now_s)
            now_s += 0.01
        self.assertGreater(len(starts), 30)
        for first in starts:
            self.assertLessEqual(sum(first <= start < first + 1.0 for start in starts), 7)

    def test_unserved_requests_spread_the_load(self):
        """Guards against targets that stay idle while callers are refused, also after failures.

        Load pattern: a workspace exceeds its quota, and some targets failed recently or fail all
        the time. In each span of 2 s, the platform's floor of 0.7 of the targets has to get
        requests, not counting those that fail or have failed less than 2 s before.
        """
        for failing_until_s in (1.0, 20.0):
            with self.subTest(failing_until_s=failing_until_s):
                starts, failures = self.play_refusals(failing_until_s)
                for begin_s in range(2, 18):
                    ends_s = begin_s + 2.0
                    failed = {name for name, at_s in failures if begin_s - 2.0 <= at_s < ends_s}
                    if begin_s < failing_until_s:
                        failed |= {"t1", "t2"}
                    usable = set(starts) - failed
                    used = {
                        name
                        for name in usable
                        if any(begin_s <= at_s < ends_s for at_s in starts[name])
                    }
                    self.assertGreaterEqual(len(used), 0.7 * len(usable), f"at {begin_s} s")

    @staticmethod
    def play_refusals(failing_until_s, length_s=20.0):
        """Refuse each second request while two of six targets fail for a time."""
        placement = make_placement(make_targets(6))
        requester = Requester(placement)
        starts = {f"t{number}": [] for number in range(6)}
        failures = []
        for number in range(int(10 * length_s)):
            now_s = number * 0.1
            placement.record_refusal(now_s)
            key, reply = requester.place(now_s)
            outcome = Outcome.SUCCESS
            if reply.target in ("t1", "t2") and now_s < failing_until_s:
                outcome = Outcome.BROKEN_BEFORE_HEAD
                failures.append((reply.target, now_s))
            placement.complete(key, outcome, 0.05, b"", now_s + 0.05)
            starts[reply.target].append(now_s)
        return starts, failures

    def test_refusals_send_few_requests_to_failing_targets(self):
        """Guards against requests that fail at failing targets because others were refused.

        Load pattern: a workspace exceeds its quota while 4 of 14 targets fail. The healthy targets
        satisfy the floor, and its margin needs one more; a target that failed counts as usable
        again after 3.5 s.
        """
        placement = make_placement(make_targets(14))
        requester = Requester(placement)
        failing = {"t3", "t6", "t9", "t12"}
        length_s = 20.0
        failed_count = 0
        for number in range(int(40 * length_s)):
            now_s = number / 40.0
            if number % 10 == 0:
                placement.record_refusal(now_s)
                continue
            key, reply = requester.place(now_s)
            is_failing = reply.target in failing
            failed_count += is_failing
            outcome = Outcome.BROKEN_BEFORE_HEAD if is_failing else Outcome.SUCCESS
            placement.complete(key, outcome, 0.01, b"", now_s + 0.01)
        self.assertLessEqual(failed_count, len(failing) + length_s / 3.5)

    def test_target_without_a_response_gets_further_requests(self):
        """Guards against requests to a target that hangs, until its first request times out.

        Load pattern: responses take 0.2 s, and a target has not responded for twice that time.
        """
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        for number in range(300):
            key, _ = requester.place(0.1 * number)
            placement.complete(key, Outcome.SUCCESS, SERVICE_TIME_S, b"", 0.1 * number + 0.2)
        _, hanging = requester.place(31.0)
        digest = placement.digest("s", 31.4)
        self.assertGreater(digest.failure_probabilities[hanging.target][0], 0.5)

    def test_old_timeout_counts_against_a_target_that_serves(self):
        """Guards against a target that is avoided for a fault which ended before it served others.

        Load pattern: a request hangs until its deadline, while the target has recovered.
        """
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        hanging, _ = requester.place(0.0)
        for number in range(1, 6):
            key, _ = requester.place(0.5 * number)
            placement.complete(key, Outcome.SUCCESS, SERVICE_TIME_S, b"", 0.5 * number + 0.2)
        placement.complete(hanging, Outcome.TIMEOUT, 3.0, b"", 3.0)
        self.assertLess(placement.digest("s", 3.0).failure_probabilities["t0"][0], 0.3)

    def test_short_route_limits_do_not_count_against_a_target(self):
        """Guards against healthy targets that are avoided because a route has a short timeout.

        Load pattern: requests of a route whose timeout is below the usual latency.
        """
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        for number in range(5):
            key, _ = requester.place(0.5 * number)
            placement.complete(key, Outcome.TIMEOUT, 0.3, b"", 0.5 * number + 0.3)
        self.assertLess(placement.digest("s", 3.0).failure_probabilities["t0"][0], 0.3)

    def test_try_timeout_covers_the_slow_requests(self):
        """Guards against long requests that reach the try timeout at a healthy target.

        Load pattern: short requests and long ones, one in a hundred of which takes three times as
        long as usual.
        """
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        random = Random(1)
        timed_out = responded = 0
        for number in range(2000):
            now_s = number * 2.0
            key, reply = requester.place(now_s)
            work_s = 0.01 if number % 3 else random.lognormvariate(-1.26, 0.5)
            if random.random() < 0.01:
                work_s *= 3.0
            if work_s > reply.try_timeout_ms / 1000.0:
                timed_out += 1
                placement.complete(
                    key, Outcome.TIMEOUT, reply.try_timeout_ms / 1000.0, b"", now_s + 1.5
                )
            else:
                responded += 1
                placement.complete(key, Outcome.SUCCESS, work_s, b"", now_s + work_s)
        self.assertLess(timed_out / (timed_out + responded), 0.01)

    def test_full_count_of_shedding_targets_stays_in_use(self):
        """Guards against queued requests although targets have free slots, as the targets shed.

        Load pattern: all targets of a service shed half of the requests for some seconds.
        """
        placement = make_placement(make_targets(4))
        requester = Requester(placement)
        waits = []
        for number in range(100):
            now_s = number * 0.05
            key, reply = requester.place(now_s)
            waits.append(reply.state is PlacementState.QUEUED)
            if reply.state is PlacementState.GRANTED:
                placement.complete(key, Outcome.SHED, 0.005, b"", now_s + 0.005)
        self.assertFalse(any(waits))

    def test_failures_alone_send_nothing_to_failing_targets(self):
        """Guards against requests to failing targets that cause further failures."""
        placement = make_placement(make_targets(6))
        requester = Requester(placement)
        failed = 0
        for number in range(200):
            now_s = number * 0.05
            key, reply = requester.place(now_s)
            is_failing = reply.target in ("t1", "t2", "t3")
            failed += is_failing
            outcome = Outcome.BROKEN_BEFORE_HEAD if is_failing else Outcome.SUCCESS
            placement.complete(key, outcome, 0.05, b"", now_s + 0.04)
        self.assertLess(failed, 20)

    def test_bad_path_is_avoided_by_its_instance_only(self):
        """Guards against a healthy target unused by all because one instance cannot reach it."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        key, reply = requester.place(0.0)
        placement.complete(key, Outcome.CONNECT_FAILURE, 0.3, b"", 0.3)
        own = {requester.place(0.3)[1].target for _ in range(4)}
        self.assertNotIn(reply.target, own)
        other = placement.place(("other", 1), make_placement_request(1), 0.4)
        self.assertEqual(other.target, reply.target)

    def test_target_that_nobody_reaches_is_down(self):
        """Guards against each instance having to find out by itself that a target is down."""
        placement = make_placement(make_targets(3))
        for name in ("a", "b"):
            replies = [
                placement.place((name, n), make_placement_request(n), 0.0) for n in range(1, 7)
            ]
            for number, reply in enumerate(replies, 1):
                is_lost = reply.target == "t0"
                outcome = Outcome.CONNECT_FAILURE if is_lost else Outcome.SUCCESS
                placement.complete((name, number), outcome, 0.2, b"", 0.2)
        chosen = {
            placement.place(("c", n), make_placement_request(n), 0.3).target for n in range(1, 7)
        }
        self.assertNotIn("t0", chosen)

    def test_target_that_sheds_with_free_slots_is_avoided(self):
        """Guards against tries, and the retry budget, spent on targets that shed most requests."""
        placement = make_placement(make_targets(3))
        requester = Requester(placement)
        key, reply = requester.place(0.0)
        placement.complete(key, Outcome.SHED, 0.01, b"", 0.01)
        chosen = {requester.place(0.5)[1].target for _ in range(6)}
        self.assertNotIn(reply.target, chosen)

    def test_joining_target_gets_its_share(self):
        """Guards against targets that join a service with little load and stay idle."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        for number in range(20):
            key, _ = requester.place(number * 0.1)
            placement.complete(key, Outcome.SUCCESS, 0.05, b"", number * 0.1 + 0.05)
        placement.configure(make_targets(4), 2.0)
        chosen = set()
        for number in range(20):
            now_s = 2.0 + number * 0.1
            key, reply = requester.place(now_s)
            chosen.add(reply.target)
            placement.complete(key, Outcome.SUCCESS, 0.05, b"", now_s + 0.05)
        self.assertLessEqual({"t2", "t3"}, chosen)

    def test_no_target_gets_the_rate_that_a_cold_one_cannot_bear(self):
        """Guards against a target that is overloaded when it turns cold without notice.

        Load pattern: short requests, all of which the slots of one target could run.
        """
        placement = make_placement(make_targets(6, cold_rate_per_s=10.0))
        requester = Requester(placement)
        starts = {}
        for number in range(165):
            now_s = number / 33.0
            key, reply = requester.place(now_s)
            starts.setdefault(reply.target, []).append(now_s)
            placement.complete(key, Outcome.SUCCESS, 0.02, b"", now_s + 0.02)
        for times in starts.values():
            for first in times:
                self.assertLessEqual(sum(first <= at_s < first + 1.0 for at_s in times), 10)

    def test_next_home_knows_what_failed(self):
        """Guards against a new home that loses a request at each failing target again.

        Load pattern: all instances are restarted one after the other while targets fail in turn.
        """
        former = make_placement(make_targets(4))
        requester = Requester(former)
        for _ in range(3):
            key, reply = requester.place(1.0)
            former.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 1.0)
        likely_failing = {
            name
            for name, (failing, _) in former.digest("s", 1.1).failure_probabilities.items()
            if failing > 0.3
        }
        self.assertTrue(likely_failing)
        next_home = make_placement(make_targets(4))
        next_home.adopt(former.digest("s", 1.1), 1.1)
        other = Requester(next_home)
        chosen = {other.place(1.2)[1].target for _ in range(4 * (4 - len(likely_failing)))}
        self.assertEqual(chosen & likely_failing, set())

    def test_digest_of_a_fast_service_is_adopted(self):
        """Guards against a mean latency that is rounded to 0 ms in the digest."""
        former = make_placement(make_targets(1))
        requester = Requester(former)
        for number in range(200):
            key, _ = requester.place(0.01 * number)
            former.complete(key, Outcome.SUCCESS, 0.0002, b"", 0.01 * number)
        digest = former.digest("s", 2.0)
        self.assertEqual(digest.service_time_ms, 0)
        next_home = make_placement(make_targets(1))
        next_home.adopt(digest, 2.0)
        next_home.adopt(digest, 2.1)
        self.assertGreater(next_home.service_time_s, 0.0)

    def test_newer_own_estimate_is_kept(self):
        """Guards against an adopted estimate that replaces one with a newer outcome."""
        placement = make_placement(make_targets(1))
        older = placement.digest("s", 0.5)
        requester = Requester(placement)
        key, _ = requester.place(1.0)
        placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"", 1.0)
        before = placement.digest("s", 1.1).failure_probabilities["t0"][0]
        placement.adopt(older, 1.1)
        self.assertEqual(placement.digest("s", 1.1).failure_probabilities["t0"][0], before)

    def test_leaving_target_gets_nothing(self):
        """Guards against requests to a target that was removed from the service."""
        placement = make_placement(make_targets(2))
        placement.configure(make_targets(1), 1.0)
        requester = Requester(placement)
        self.assertEqual({requester.place(1.0)[1].target for _ in range(4)}, {"t0"})

    def test_crash_request_is_refused(self):
        """Guards against a request that crashes one target after the other."""
        placement = make_placement(make_targets(8))
        requester = Requester(placement)
        for _ in range(3):
            key, reply = requester.place(0.0, fingerprint=b"f")
            self.assertIs(reply.state, PlacementState.GRANTED)
            placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"f", 0.0)
        self.assertIs(requester.place(0.1, fingerprint=b"f")[1].cause, RefusalCause.CRASH_REQUEST)
        self.assertIs(requester.place(0.1, fingerprint=b"g")[1].state, PlacementState.GRANTED)

    def test_next_home_refuses_a_crash_request(self):
        """Guards against a crash request that breaks three more targets at each new home."""
        former = make_placement(make_targets(8))
        requester = Requester(former)
        for _ in range(3):
            key, _ = requester.place(0.0, fingerprint=b"f")
            former.complete(key, Outcome.BROKEN_BEFORE_HEAD, 0.01, b"f", 0.0)
        next_home = make_placement(make_targets(8))
        next_home.adopt(former.digest("s", 5.0), 5.0)
        other = Requester(next_home)
        self.assertIs(other.place(5.1, fingerprint=b"f")[1].cause, RefusalCause.CRASH_REQUEST)
        self.assertIs(other.place(61.0, fingerprint=b"f")[1].state, PlacementState.GRANTED)

    def test_share_counts_requests_of_an_earlier_time(self):
        """Guards against targets that failed being used since many requests failed long ago."""
        placement = make_placement(make_targets(2))
        requester = Requester(placement)
        for number in range(50):
            placement.record_refusal(0.01 * number)
            key, _ = requester.place(0.01 * number, is_retryable=False)
            placement.complete(key, Outcome.ERROR, 0.01, b"", 0.01 * number)
        load = placement.load(10.0)
        self.assertEqual((load.unserved_share, load.failed_share), (0.0, 0.0))
        self.assertEqual(load.idle_target_use.name, "HEALTHY")

    def test_placement_without_a_completion_is_released(self):
        """Guards against slots that stay occupied after the instance that used them failed."""
        placement = make_placement(make_targets(1))
        requester = Requester(placement)
        for _ in range(4):
            requester.place(0.0, remaining_ms=1000)
        requester.place(1.2, remaining_ms=2000)
        decisions = placement.dispatch(1.6)
        self.assertEqual([reply.state for _, reply in decisions], [PlacementState.GRANTED])


class HealthyTargets:
    """Targets that fail no request."""

    def fails(self, target, now_s, random):
        return False


class FailingTargets:
    """Targets that fail most requests for some seconds, each at its own times."""

    def __init__(self, count, random, length_s):
        self.periods = {}
        for number in range(count):
            periods = []
            at_s = random.expovariate(1 / 6.0)
            while at_s < length_s:
                ends_s = at_s + random.uniform(1.5, 4.0)
                periods.append((at_s, ends_s))
                at_s = ends_s + random.expovariate(1 / 6.0)
            self.periods[f"t{number}"] = periods

    def fails(self, target, now_s, random):
        is_failing = any(start <= now_s < end for start, end in self.periods[target])
        return random.random() < (0.85 if is_failing else 0.01)


class Replay:
    """Simulates requests that are not retryable on targets that fail in turn."""

    LENGTH_S = 60.0

    def __init__(self, seed, rate_per_s, choose=None, target_count=14, failing=None):
        self.random = Random(seed)
        self.failing = failing or FailingTargets(target_count, self.random, self.LENGTH_S)
        self.placement = make_placement(make_targets(target_count))
        self.requester = Requester(self.placement)
        self.rate_per_s = rate_per_s
        self.choose = choose
        self.events = []
        self.served = self.failed = self.refused = self.late = self.refused_late = 0
        self.started = {}

    def run(self):
        now_s = 0.0
        arrival_s = 0.0
        while now_s < self.LENGTH_S:
            if self.events and self.events[0][0] <= arrival_s:
                now_s, key, outcome = heapq.heappop(self.events)
                took_s = now_s - self.started[key]
                self.placement.complete(key, outcome, took_s, b"", now_s)
            else:
                now_s = arrival_s
                arrival_s += self.random.expovariate(self.rate_per_s)
                key, reply = self.requester.place(now_s)
                self.take(key, reply, now_s, now_s)
            for request, reply in self.placement.dispatch(now_s):
                self.take(request.key, reply, now_s, request.arrived_s)
        return self

    def take(self, key, reply, now_s, arrived_s):
        if reply.state is PlacementState.REFUSED:
            self.refused += 1
            self.refused_late += now_s - arrived_s > PROMPT_S
        elif reply.state is PlacementState.GRANTED:
            target = self.choose(self.random) if self.choose else reply.target
            self.started[key] = now_s
            if self.failing.fails(target, now_s, self.random):
                self.failed += 1
                heapq.heappush(self.events, (now_s + 0.005, key, Outcome.BROKEN_BEFORE_HEAD))
                return
            self.served += 1
            work_s = self.random.lognormvariate(-1.6, 0.6)
            self.late += now_s + work_s - arrived_s > 1.0
            heapq.heappush(self.events, (now_s + work_s, key, Outcome.SUCCESS))

    @property
    def failed_share(self):
        return self.failed / (self.failed + self.served)


class FailingByTurnsTest(unittest.TestCase):
    """Load pattern: targets fail in turn while requests are not retryable."""

    def test_few_requests_meet_a_failing_target(self):
        """Guards against requests to targets whose failures the home knows."""
        for seed in range(4):
            with self.subTest(seed=seed):
                blind = Replay(seed, 55.0, lambda random: f"t{random.randrange(14)}").run()
                placed = Replay(seed, 55.0).run()
                self.assertLess(placed.failed_share, 0.3 * blind.failed_share)
                self.assertEqual(placed.refused, 0)

    def test_burst_is_served(self):
        """Guards against requests that are refused or late although the targets have free slots."""
        for seed in range(4):
            with self.subTest(seed=seed):
                replay = Replay(seed, 110.0).run()
                request_count = replay.served + replay.failed + replay.refused
                self.assertLess(replay.refused / request_count, 0.005)
                self.assertLess(replay.late / request_count, 0.05)


class HangingReplay(Replay):
    """The same with targets whose failing requests get no response until their deadline."""

    FAILING_S = 3.0

    def take(self, key, reply, now_s, arrived_s):
        if reply.state is not PlacementState.GRANTED:
            self.refused += reply.state is PlacementState.REFUSED
            return
        target = self.choose(self.random) if self.choose else reply.target
        self.started[key] = now_s
        if self.failing.fails(target, now_s, self.random):
            self.failed += 1
            heapq.heappush(self.events, (now_s + self.FAILING_S, key, Outcome.TIMEOUT))
            return
        self.served += 1
        ends_s = now_s + self.random.lognormvariate(-1.6, 0.6)
        heapq.heappush(self.events, (ends_s, key, Outcome.SUCCESS))


class HangingByTurnsTest(unittest.TestCase):
    """Load pattern: targets hang in turn while requests are not retryable."""

    def test_few_requests_meet_a_hanging_target(self):
        """Guards against requests to targets whose requests in flight show that they hang."""
        blind_share = placed_share = 0.0
        for seed in range(4):
            blind = HangingReplay(seed, 55.0, lambda random: f"t{random.randrange(14)}").run()
            placed = HangingReplay(seed, 55.0).run()
            blind_share += blind.failed_share
            placed_share += placed.failed_share
            self.assertEqual(placed.refused, 0)
        self.assertLess(placed_share, 0.3 * blind_share)


class OverloadTest(unittest.TestCase):
    """Load pattern: more requests arrive for many seconds than the targets can run."""

    def test_what_targets_can_run_is_served_in_time(self):
        """Guards against a queue in which every request waits until its response is late."""
        # 32 slots and 0.242 s of work: 132 requests/s.
        for rate_per_s in (145.0, 198.0):
            with self.subTest(rate_per_s=rate_per_s):
                replay = Replay(1, rate_per_s, target_count=8, failing=HealthyTargets()).run()
                in_time_per_s = (replay.served - replay.late) / Replay.LENGTH_S
                self.assertGreater(in_time_per_s, 0.9 * 132.0)
                self.assertLess(replay.refused_late, 0.05 * replay.refused)


if __name__ == "__main__":
    unittest.main()
