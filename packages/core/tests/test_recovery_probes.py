"""Replay of targets that fail by turns while callers are refused for other reasons."""

import heapq
import unittest
from random import Random

from tanagerreach_core.messages import PlacementRequest, PlacementState
from tanagerreach_core.placement import PlacementTarget, ServicePlacement
from tanagerreach_core.traffic import Outcome

TARGET_COUNT, SLOT_COUNT = 19, 3
WORK_S, FAILED_AFTER_S, RETRY_AFTER_S = 0.27, 0.004, 0.004
OBJECTIVE_S, DEADLINE_S = 1.09, 2.5
# Each target fails most requests for this share of each cycle, at its own times.
CYCLE_S, FAILING_SHARE = 9.0, 0.3
FAILS_SHARE, FAILS_WHEN_HEALTHY_SHARE = 0.85, 0.01
RETRYABLE_SHARE, RETRY_RATIO, OVER_QUOTA_SHARE = 0.25, 0.2, 0.14
LOAD, LENGTH_S = 0.45, 30.0
# The platform's floor, over spans of 2 s; a target is sound again 2 s after a failure.
FLOOR_SHARE, SPAN_S, SUBSET_SIZE, SUBSETS_PER_SPAN = 0.7, 2.0, 6, 20


class ProbeReplay:
    """Simulates requests, a quarter of them retryable, beside others that exceed a quota."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.placement = ServicePlacement(floor_share=FLOOR_SHARE)
        names = [f"t{number}" for number in range(TARGET_COUNT)]
        self.placement.configure(
            [
                PlacementTarget(name=name, address=name, data_centre="dc", slot_count=SLOT_COUNT)
                for name in names
            ],
            0.0,
        )
        self.offsets_s = {name: self.random.uniform(0, CYCLE_S) for name in names}
        self.starts_s = {name: [] for name in names}
        self.failures_s = {name: [] for name in names}
        self.events = []
        self.requests = {}
        self.call_id = self.asked = self.served_in_time = 0
        self.retry_budget = 0.0
        rate_per_s = LOAD * TARGET_COUNT * SLOT_COUNT * (1 - FAILING_SHARE) / WORK_S
        at_s = 0.0
        while at_s < LENGTH_S:
            at_s += self.random.expovariate(rate_per_s)
            is_retryable = self.random.random() < RETRYABLE_SHARE
            self.push(at_s, self.ask, at_s, is_retryable, [])
            self.asked += 1

    def push(self, at_s, handle, *arguments):
        self.call_id += 1
        heapq.heappush(self.events, (at_s, self.call_id, handle, arguments))

    def run(self):
        while self.events:
            now_s, _, handle, arguments = heapq.heappop(self.events)
            handle(now_s, *arguments)
            for request, reply in self.placement.dispatch(now_s):
                self.take(now_s, request.key, reply)
        return self

    def ask(self, now_s, first_s, is_retryable, excluded):
        if not excluded:
            self.retry_budget += RETRY_RATIO
            if self.random.random() < OVER_QUOTA_SHARE:
                self.placement.record_refusal(now_s)
        self.call_id += 1
        key = ("i", self.call_id)
        self.requests[key] = (first_s, is_retryable, excluded)
        placement_request = PlacementRequest(
            call_id=self.call_id,
            service="s",
            workspace=f"w{self.call_id % 9}",
            priority=1,
            remaining_ms=int(1000 * (first_s + DEADLINE_S - now_s)),
            objective_ms=int(1000 * (first_s + OBJECTIVE_S - now_s)),
            is_retryable=is_retryable,
            is_retry=bool(excluded),
            data_centre="dc",
            fingerprint=b"",
            excluded=excluded,
        )
        self.take(now_s, key, self.placement.place(key, placement_request, now_s))

    def take(self, now_s, key, reply):
        if reply.state is not PlacementState.GRANTED:
            return
        self.starts_s[reply.target].append(now_s)
        phase = (now_s + self.offsets_s[reply.target]) % CYCLE_S / CYCLE_S
        fails_share = FAILS_SHARE if phase < FAILING_SHARE else FAILS_WHEN_HEALTHY_SHARE
        if self.random.random() < fails_share:
            self.push(now_s + FAILED_AFTER_S, self.fail, key, reply.target)
            return
        work_s = self.random.lognormvariate(-1.5, 0.6)
        self.served_in_time += now_s + work_s - self.requests[key][0] <= OBJECTIVE_S
        self.push(now_s + work_s, self.serve, key, work_s)

    def serve(self, now_s, key, work_s):
        self.placement.complete(key, Outcome.SUCCESS, work_s, b"", now_s)

    def fail(self, now_s, key, target):
        self.failures_s[target].append(now_s)
        self.placement.complete(key, Outcome.BROKEN_BEFORE_HEAD, FAILED_AFTER_S, b"", now_s)
        first_s, is_retryable, excluded = self.requests[key]
        if is_retryable and not excluded and self.retry_budget >= 1:
            self.retry_budget -= 1
            self.push(now_s + RETRY_AFTER_S, self.ask, first_s, True, [target])

    def subsets_below_floor(self):
        """Return how many subsets of sound targets had too few in use in some span.

        The others of a service may not count for reasons that its home cannot see.
        """
        random = Random(1)
        count = 0
        for begin_s in range(4, int(LENGTH_S), int(SPAN_S)):
            span = (begin_s, begin_s + SPAN_S)
            sound = [
                name
                for name, failures_s in self.failures_s.items()
                if not any(span[0] - SPAN_S <= at_s < span[1] for at_s in failures_s)
            ]
            size = min(SUBSET_SIZE, len(sound))
            for _ in range(SUBSETS_PER_SPAN):
                subset = random.sample(sound, size)
                used = sum(
                    any(span[0] <= at_s < span[1] for at_s in self.starts_s[name])
                    for name in subset
                )
                count += 0 < used < FLOOR_SHARE * size
        return count


class RecoveryProbesTest(unittest.TestCase):
    """Load pattern: a workspace exceeds its quota while targets fail by turns."""

    def test_recovered_targets_stay_idle(self):
        """Guards against targets that stay idle for seconds after they have recovered."""
        for seed in range(3):
            with self.subTest(seed=seed):
                replay = ProbeReplay(seed).run()
                self.assertEqual(replay.subsets_below_floor(), 0)


if __name__ == "__main__":
    unittest.main()
