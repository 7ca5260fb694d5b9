"""Replays of an overload whose refused callers come back."""

import heapq
import unittest
from random import Random

from tanagerreach_core.messages import PlacementRequest, PlacementState
from tanagerreach_core.placement import PlacementTarget, ServicePlacement
from tanagerreach_core.traffic import Outcome

# 32 slots and 0.242 s of work: 132 requests/s.
TARGET_COUNT, SLOT_COUNT = 8, 4
CAPACITY_PER_S = 132.0
OBJECTIVE_S, DEADLINE_S = 1.0, 2.5
# Callers wait for no more than this share of their remaining time.
WAIT_SHARE_MAX = 1 / 3
LEAST_LEFT_S = 0.1
LENGTH_S = 12.0


class ReturningReplay:
    """Simulates requests whose callers come back after ``Retry-After`` until their deadline.

    :param is_known: whether a caller that comes back sends the same request.
    """

    def __init__(self, seed, rate_per_s, *, is_known=True):
        self.random = Random(seed)
        self.is_known = is_known
        self.placement = ServicePlacement(floor_share=0.7)
        self.placement.configure(
            [
                PlacementTarget(
                    name=f"t{n}", address=f"a{n}", data_centre="dc", slot_count=SLOT_COUNT
                )
                for n in range(TARGET_COUNT)
            ],
            0.0,
        )
        self.events = []
        self.first_s = {}
        self.asked = self.in_time = self.late = 0
        self.arrive(rate_per_s)

    def arrive(self, rate_per_s):
        at_s = self.random.expovariate(rate_per_s)
        while at_s < LENGTH_S:
            self.asked += 1
            self.events.append((at_s, self.asked, None, at_s))
            at_s += self.random.expovariate(rate_per_s)

    def run(self):
        number = self.asked
        while self.events:
            now_s, _, key, value = heapq.heappop(self.events)
            if key is None:
                number += 1
                self.ask(("i", number), value, now_s)
            else:
                self.placement.complete(key, Outcome.SUCCESS, value, b"", now_s)
            for request, reply in self.placement.dispatch(now_s):
                self.take(request.key, reply, now_s)
        return self

    def ask(self, key, first_s, now_s):
        self.first_s[key] = first_s
        left_ms = int(1000 * (first_s + DEADLINE_S - now_s))
        identity = first_s if self.is_known else key
        placement_request = PlacementRequest(
            call_id=key[1],
            service="s",
            workspace=f"w{key[1] % 9}",
            priority=1,
            remaining_ms=left_ms,
            objective_ms=min(left_ms, int(1000 * OBJECTIVE_S)),
            is_retryable=False,
            is_retry=False,
            data_centre="dc",
            fingerprint=str(identity).encode(),
        )
        self.take(key, self.placement.place(key, placement_request, now_s), now_s)

    def take(self, key, reply, now_s):
        first_s = self.first_s[key]
        if reply.state is PlacementState.GRANTED:
            work_s = self.random.lognormvariate(-1.6, 0.6)
            waited_s = now_s + work_s - first_s
            self.in_time += waited_s <= OBJECTIVE_S
            self.late += OBJECTIVE_S < waited_s <= DEADLINE_S
            heapq.heappush(self.events, (now_s + work_s, key[1], key, work_s))
        elif reply.state is PlacementState.REFUSED:
            left_s = first_s + DEADLINE_S - now_s
            if left_s > LEAST_LEFT_S:
                wait_s = min(reply.retry_after_ms / 1000, WAIT_SHARE_MAX * left_s)
                heapq.heappush(self.events, (now_s + wait_s, key[1], None, first_s))

    @property
    def in_time_per_s(self):
        return self.in_time / LENGTH_S


class ReturningCallersTest(unittest.TestCase):
    """Load pattern: more requests arrive than the targets run, and refused callers come back."""

    def test_callers_that_waited_make_the_others_late(self):
        """Guards against slots that go to callers whose objective has passed, before new ones."""
        for overload in (1.5, 3.0, 10.0):
            with self.subTest(overload=overload):
                replay = ReturningReplay(1, overload * CAPACITY_PER_S).run()
                self.assertGreater(replay.in_time_per_s, 0.9 * CAPACITY_PER_S)

    def test_callers_are_served_late_when_there_is_room(self):
        """Guards against callers that are refused for good as their objective has passed."""
        replay = ReturningReplay(1, 0.5 * CAPACITY_PER_S)
        for number in range(200):
            replay.events.append((4.0, -number, None, 4.0))
            replay.asked += 1
        heapq.heapify(replay.events)
        replay.run()
        self.assertGreater((replay.in_time + replay.late) / replay.asked, 0.98)


if __name__ == "__main__":
    unittest.main()
