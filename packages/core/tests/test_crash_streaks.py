"""Tests of crash requests that reach a fleet through several homes of their service."""

import heapq
import itertools
import unittest
from random import Random

from tanagerreach_core.messages import PlacementRequest, PlacementState
from tanagerreach_core.placement import CrashStreaks, PlacementTarget, ServicePlacement
from tanagerreach_core.traffic import Outcome

INSTANCE_COUNT = 136
TARGET_COUNT = 30
HEARTBEAT_S = 0.8
LOST_SHARE = 0.05
MAX_TRIES = 3
BREAK_AFTER_S = 0.05
FINGERPRINT = b"f"
# The platform's bound: so many retries later than this time after the third crash.
RETRIES_MAX = 3
CONTACT_S = 3.0


class _Instance:
    """An instance with its placement of the service, as a home or for itself."""

    def __init__(self, number):
        self.name = f"i{number}"
        self.crashes = CrashStreaks(own_name=self.name)
        self.home = ServicePlacement(floor_share=0.7, crashes=self.crashes)
        self.home.configure([make_target(number) for number in range(TARGET_COUNT)], 0.0)


def make_target(number):
    return PlacementTarget(
        name=f"t{number}", address=f"10.0.0.{number}:80", data_centre="a", slot_count=4
    )


class CrashRequestReplay:
    """Simulates callers that send one retryable request again and again, through any instance.

    Each try is placed by one of the homes at random.

    :param home_count: homes in use; ``None`` when each instance decides by itself.
    :param break_share: share of the tries that break the connection.
    """

    LENGTH_S = 15.0

    def __init__(self, seed, *, home_count, requests_per_s, break_share=1.0):
        self.random = Random(seed)
        self.home_count = home_count
        self.requests_per_s = requests_per_s
        self.break_share = break_share
        self.instances = [_Instance(number) for number in range(INSTANCE_COUNT)]
        self.call_count = self.refused_count = 0
        self.events = []
        self.event_count = 0
        self.breaks_s = []
        self.retries_s = []

    def run(self):
        for instance in self.instances:
            self.at(self.random.uniform(0, HEARTBEAT_S), self.send_heartbeats, instance)
        self.at(0.0, self.arrive)
        while self.events[0][0] < self.LENGTH_S:
            now_s, _, handle, arguments = heapq.heappop(self.events)
            handle(now_s, *arguments)
        return self

    def at(self, at_s, handle, *arguments):
        self.event_count += 1
        heapq.heappush(self.events, (at_s, self.event_count, handle, arguments))

    def send_heartbeats(self, now_s, sender):
        reports = sender.crashes.reports(now_s)
        for peer in self.instances:
            if peer is not sender and self.random.random() >= LOST_SHARE:
                peer.crashes.merge(sender.name, reports, now_s)
        self.at(now_s + HEARTBEAT_S, self.send_heartbeats, sender)

    def arrive(self, now_s):
        self.at(now_s + self.random.expovariate(self.requests_per_s), self.arrive)
        self.send(now_s, self.random.choice(self.instances), ())

    def send(self, now_s, instance, excluded):
        home = instance
        if self.home_count is not None:
            home = self.instances[self.random.randrange(self.home_count)]
        self.call_count += 1
        key = (instance.name, self.call_count)
        reply = home.home.place(key, self.placement_request(excluded), now_s)
        if reply.state is not PlacementState.GRANTED:
            self.refused_count += 1
            return
        if excluded:
            self.retries_s.append(now_s)
        self.at(now_s + BREAK_AFTER_S, self.end, instance, home, key, (*excluded, reply.target))

    def end(self, now_s, instance, home, key, excluded):
        is_broken = self.random.random() < self.break_share
        outcome = Outcome.BROKEN_BEFORE_HEAD if is_broken else Outcome.SUCCESS
        instance.crashes.observe_own(FINGERPRINT, key[1], outcome, now_s, is_retryable=True)
        home.home.complete(key, outcome, BREAK_AFTER_S, FINGERPRINT, now_s)
        if is_broken:
            self.breaks_s.append(now_s)
            if len(excluded) < MAX_TRIES:
                self.send(now_s, instance, excluded)

    def placement_request(self, excluded):
        return PlacementRequest(
            call_id=self.call_count,
            service="s",
            workspace="w",
            priority=1,
            remaining_ms=5000,
            objective_ms=1500,
            is_retryable=True,
            is_retry=bool(excluded),
            data_centre="a",
            fingerprint=FINGERPRINT,
            excluded=list(excluded),
        )

    def late_retry_count(self):
        """Return the retries later than the bound allows any number of them."""
        return sum(at_s > self.breaks_s[2] + CONTACT_S for at_s in self.retries_s)


class CrashRequestTest(unittest.TestCase):
    """Load pattern: a request crashes each target while instances disagree on the home."""

    def test_several_homes_retry_a_crash_request(self):
        """Guards against homes, and instances that decide alone, that each retry it anew."""
        for home_count, seed, requests_per_s in itertools.product(
            (1, 3, 6, None), range(3), (0.6, 4.0)
        ):
            with self.subTest(home_count=home_count, seed=seed, requests_per_s=requests_per_s):
                replay = CrashRequestReplay(
                    seed, home_count=home_count, requests_per_s=requests_per_s
                ).run()
                self.assertGreaterEqual(len(replay.breaks_s), 3)
                self.assertLessEqual(replay.late_retry_count(), RETRIES_MAX)

    def test_request_that_is_served_elsewhere_is_refused(self):
        """Guards against breaks by chance that add up over homes, despite responses meanwhile."""
        for home_count in (1, 3, 6, None):
            with self.subTest(home_count=home_count):
                replay = CrashRequestReplay(
                    1, home_count=home_count, requests_per_s=100.0, break_share=0.03
                )
                replay.run()
                self.assertGreater(len(replay.breaks_s), 30)
                self.assertEqual(replay.refused_count, 0)

    def test_break_that_arrives_twice_counts_twice(self):
        """Guards against a refusal after fewer breaks than allowed, as one has several reports."""
        own, peer = CrashStreaks(own_name="a"), CrashStreaks(own_name="b")
        own.observe_own(FINGERPRINT, 1, Outcome.BROKEN_BEFORE_HEAD, 0.0, is_retryable=True)
        own.observe_own(FINGERPRINT, 2, Outcome.BROKEN_BEFORE_HEAD, 0.1, is_retryable=True)
        for now_s in (0.2, 1.0, 1.8):
            peer.merge("a", own.reports(now_s), now_s)
            peer.adopt(own.latest(10, now_s), now_s)
            peer.observe(FINGERPRINT, ("a", 2), Outcome.BROKEN_BEFORE_HEAD, now_s)
        self.assertFalse(peer.is_refused(FINGERPRINT, 1.8))
        peer.observe(FINGERPRINT, ("c", 1), Outcome.BROKEN_BEFORE_HEAD, 1.8)
        self.assertTrue(peer.is_refused(FINGERPRINT, 1.8))

    def test_report_of_a_break_outlives_the_response(self):
        """Guards against a streak that a late report of an earlier break brings back."""
        own, peer = CrashStreaks(own_name="a"), CrashStreaks(own_name="b")
        for call_id in (1, 2, 3):
            own.observe_own(
                FINGERPRINT, call_id, Outcome.BROKEN_BEFORE_HEAD, 0.0, is_retryable=True
            )
        late = own.reports(0.1)
        peer.merge("a", late, 0.1)
        self.assertTrue(peer.is_refused(FINGERPRINT, 0.1))
        own.observe_own(FINGERPRINT, 4, Outcome.SUCCESS, 0.2, is_retryable=True)
        peer.merge("a", own.reports(0.3), 0.3)
        self.assertFalse(peer.is_refused(FINGERPRINT, 0.3))
        peer.merge("a", [(key, call_id, age_ms + 300) for key, call_id, age_ms in late], 0.4)
        self.assertFalse(peer.is_refused(FINGERPRINT, 0.4))


if __name__ == "__main__":
    unittest.main()
