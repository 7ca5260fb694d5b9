"""Replays of short and long requests that share too few slots."""

import heapq
import unittest
from random import Random

from tanagerreach_core.messages import PlacementRequest, PlacementState
from tanagerreach_core.placement import PlacementTarget, ServicePlacement
from tanagerreach_core.traffic import Outcome

LOOKUP, UPLOAD = 0, 2
WORK_S = {LOOKUP: 0.09, UPLOAD: 0.27}
OBJECTIVE_MS = {LOOKUP: 580, UPLOAD: 3200}
REMAINING_MS = {LOOKUP: 1700, UPLOAD: 4300}
RATE_PER_S = {LOOKUP: 25.0, UPLOAD: 30.0}


class ClassReplay:
    """Simulates uploads that exceed what the targets can run, beside lookups that fit.

    :param is_ranked: whether requests carry the urgency of their route.
    """

    LENGTH_S = 30.0

    def __init__(self, seed, *, is_ranked):
        self.random = Random(seed)
        self.is_ranked = is_ranked
        self.placement = ServicePlacement(floor_share=0.7)
        self.placement.configure(
            [
                PlacementTarget(name=f"t{n}", address=f"a{n}", data_centre="dc", slot_count=3)
                for n in range(2)
            ],
            0.0,
        )
        self.ends = []
        self.asked = dict.fromkeys(WORK_S, 0)
        self.served_in_time = dict.fromkeys(WORK_S, 0)
        self.kinds = {}

    def run(self):
        arrivals = []
        for kind, rate_per_s in RATE_PER_S.items():
            at_s = self.random.expovariate(rate_per_s)
            while at_s < self.LENGTH_S:
                arrivals.append((at_s, kind))
                at_s += self.random.expovariate(rate_per_s)
        for number, (now_s, kind) in enumerate(sorted(arrivals)):
            while self.ends and self.ends[0][0] <= now_s:
                self.end(*heapq.heappop(self.ends))
            key = ("i", number)
            self.asked[kind] += 1
            self.kinds[key] = (kind, now_s)
            self.take(key, self.placement.place(key, self.request(number, kind), now_s), now_s)
        return self

    def request(self, number, kind):
        return PlacementRequest(
            call_id=number,
            service="s",
            workspace=f"w{number % 7}",
            priority=1,
            urgency=kind if self.is_ranked else 0,
            remaining_ms=REMAINING_MS[kind],
            objective_ms=OBJECTIVE_MS[kind],
            is_retryable=kind == LOOKUP,
            is_retry=False,
            data_centre="dc",
            fingerprint=b"",
        )

    def end(self, now_s, key, work_s):
        self.placement.complete(key, Outcome.SUCCESS, work_s, b"", now_s)
        for request, reply in self.placement.dispatch(now_s):
            self.take(request.key, reply, now_s)

    def take(self, key, reply, now_s):
        if reply.state is not PlacementState.GRANTED:
            return
        kind, arrived_s = self.kinds[key]
        work_s = WORK_S[kind] * self.random.lognormvariate(-0.18, 0.6)
        self.served_in_time[kind] += now_s + work_s - arrived_s <= OBJECTIVE_MS[kind] / 1000
        heapq.heappush(self.ends, (now_s + work_s, key, work_s))

    def share(self, kind):
        return self.served_in_time[kind] / self.asked[kind]


class WaitingByClassTest(unittest.TestCase):
    """Load pattern: a burst of uploads beside lookups whose callers wait at a counter."""

    def test_uploads_delay_urgent_lookups(self):
        """Guards against lookups that wait or are refused behind uploads with time to spare."""
        for seed in range(3):
            with self.subTest(seed=seed):
                mixed = ClassReplay(seed, is_ranked=False).run()
                ranked = ClassReplay(seed, is_ranked=True).run()
                self.assertGreater(ranked.share(LOOKUP), 0.97)
                self.assertLess(mixed.share(LOOKUP), 0.9)
                # Lookups use 2.3 of the 6 slots, so 46 % of the uploads fit.
                self.assertGreater(ranked.share(UPLOAD), 0.42)


if __name__ == "__main__":
    unittest.main()
