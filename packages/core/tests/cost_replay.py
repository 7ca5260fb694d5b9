"""Replay of one service whose requests look alike and take very different times.

It plays the same requests with placement by requests in flight and by expected work. Placement is
that of the product; targets and time are simulated, messages take no time.

Run as a script, it prints a table for all load patterns.
"""

import heapq
import math
import time
from random import Random

from tanagerreach_core.messages import FailureDigest, PlacementRequest, PlacementState
from tanagerreach_core.placement import PlacementTarget, ServicePlacement
from tanagerreach_core.traffic import Outcome
from test_placement import FailingTargets, HealthyTargets

MS_PER_S = 1000.0
# As the home server: all queued requests at intervals, the first ones at a completion.
DISPATCH_INTERVAL_S = 0.02
DISPATCHED_AT_COMPLETION = 8
WORK_SPREAD = 0.5
# A target whose slots are all busy takes this share longer than an idle one.
FULL_SLOWDOWN = 0.4
# A failing target resets connections after this time.
FAILS_AFTER_S = 0.005


class WorkClass:
    """Requests with the same route, method and size.

    :param work_s: mean work of equally frequent kinds of its requests.
    :param has_shapes: whether the path's shape tells the kinds apart.
    """

    def __init__(self, number, share, work_s, objective_s, *, has_shapes=False):
        self.number = number
        self.share = share
        self.work_s = work_s
        self.objective_s = objective_s
        self.has_shapes = has_shapes

    def draw(self, random):
        """Return the shape of a request's path, and its work."""
        kind = random.randrange(len(self.work_s))
        log_mean = math.log(self.work_s[kind]) - WORK_SPREAD**2 / 2
        return kind if self.has_shapes else 0, random.lognormvariate(log_mean, WORK_SPREAD)


class Load:
    """A load pattern.

    :param usage: share of the slots that the requests need.
    :param slow_targets: number of targets that take ``slowness`` times as long.
    :param change_s: time at which all work changes by ``change``.
    :param fails_by_turns: whether targets fail most requests for some seconds, each at its times.
    :param known_mean_s: mean that a former home's digest says, 0 without a digest.
    :param measured_s: span of the arrivals whose figures count.
    """

    def __init__(
        self,
        *,
        classes,
        usage=0.6,
        slow_targets=0,
        slowness=3.0,
        change_s=math.inf,
        change=1.0,
        fails_by_turns=False,
        known_mean_s=0.0,
        measured_s=(0.0, math.inf),
    ):
        self.classes = classes
        self.usage = usage
        self.slow_targets = slow_targets
        self.slowness = slowness
        self.change_s = change_s
        self.change = change
        self.fails_by_turns = fails_by_turns
        self.known_mean_s = known_mean_s
        self.measured_s = measured_s

    @property
    def mean_work_s(self):
        total = sum(entry.share for entry in self.classes)
        means = (entry.share * sum(entry.work_s) / len(entry.work_s) for entry in self.classes)
        return sum(means) / total


def _short_and_long(long_share=0.1, **fields):
    classes = [WorkClass(1, 1 - long_share, [0.09], 0.5), WorkClass(2, long_share, [1.35], 6.0)]
    return Load(classes=classes, **fields)


def _bimodal(**fields):
    classes = [
        WorkClass(1, 0.5, [0.08, 0.08, 0.08, 1.0], 3.0, **fields),
        WorkClass(2, 0.5, [0.2], 0.8),
    ]
    return Load(classes=classes)


LOADS = {
    "two classes 1:15": _short_and_long(),
    "two classes 1:15, nearly full": _short_and_long(usage=0.7),
    "two classes 1:15, the long one rare": _short_and_long(long_share=0.03),
    "bimodal cost in one route": _bimodal(),
    "bimodal cost, told by the path": _bimodal(has_shapes=True),
    "a target at a third of its speed": _short_and_long(slow_targets=1),
    "several targets at a third of their speed": Load(
        classes=[WorkClass(1, 0.6, [0.09], 0.5), WorkClass(2, 0.4, [0.28], 1.0)],
        slow_targets=4,
        usage=0.4,
    ),
    "estimates 4 times too low": _short_and_long(
        usage=0.15, change_s=15.0, change=4.0, measured_s=(15.0, math.inf)
    ),
    "estimates 4 times too high": _short_and_long(
        change_s=15.0, change=0.25, measured_s=(15.0, math.inf)
    ),
    "two classes 1:15, targets fail by turns": _short_and_long(usage=0.4, fails_by_turns=True),
    "two classes 1:4, targets fail by turns": Load(
        classes=[WorkClass(1, 0.4, [0.29], 1.5), WorkClass(2, 0.6, [1.4], 5.0)],
        usage=0.4,
        fails_by_turns=True,
    ),
    "a home has just moved": _short_and_long(known_mean_s=0.216, measured_s=(0.0, 4.0)),
}


class CostReplay:
    """Plays a load pattern on the targets of one home."""

    LENGTH_S = 30.0
    TARGET_COUNT = 16
    SLOT_COUNT = 4

    def __init__(self, load, seed, *, places_by_cost):
        self.load = load
        self.random = Random(seed)
        self.home = ServicePlacement(floor_share=0.7)
        self.home.configure([self._target(number) for number in range(self.TARGET_COUNT)], 0.0)
        self.home.set_places_by_cost(places_by_cost, 0.0)
        if load.known_mean_s:
            self.home.adopt(
                FailureDigest(
                    service="s",
                    service_time_ms=int(MS_PER_S * load.known_mean_s),
                    failure_probabilities={},
                ),
                0.0,
            )
        slots = self.TARGET_COUNT * self.SLOT_COUNT
        self.rate_per_s = load.usage * slots / load.mean_work_s
        self.failing = HealthyTargets()
        if load.fails_by_turns:
            self.failing = FailingTargets(self.TARGET_COUNT, Random(seed + 1), self.LENGTH_S)
        self.failed = dict.fromkeys((entry.number for entry in load.classes), 0)
        self.running = dict.fromkeys((f"t{number}" for number in range(self.TARGET_COUNT)), 0)
        self.ends = []
        self.requests = {}
        self.latencies_s = {entry.number: [] for entry in load.classes}
        self.late = dict.fromkeys(self.latencies_s, 0)
        self.decision_s = 0.0

    def _target(self, number):
        return PlacementTarget(
            name=f"t{number}",
            address=f"10.0.0.{number}:80",
            data_centre=f"dc-{number % 3}",
            slot_count=self.SLOT_COUNT,
        )

    def run(self):
        arrival_s = dispatch_s = 0.0
        while arrival_s < self.LENGTH_S or self.ends:
            next_end_s = self.ends[0][0] if self.ends else math.inf
            now_s = min(arrival_s, dispatch_s, next_end_s)
            if now_s == next_end_s:
                self._complete(heapq.heappop(self.ends), now_s)
            elif now_s == arrival_s:
                self._arrive(now_s)
                arrival_s += self.random.expovariate(self.rate_per_s)
                if arrival_s >= self.LENGTH_S:
                    arrival_s = math.inf
            else:
                self._dispatch(now_s, None)
                dispatch_s = now_s + DISPATCH_INTERVAL_S
            if arrival_s == math.inf and not self.ends:
                break
        return self

    @staticmethod
    def pooled_p99_s(replays, number):
        """Return the 99th percentile of the latencies of a class's requests that are served."""
        latencies_s = (latency_s for replay in replays for latency_s in replay.latencies_s[number])
        ordered = sorted(filter(math.isfinite, latencies_s))
        return ordered[int(0.99 * (len(ordered) - 1))]

    def failed_share(self, number):
        """Return the share of a class's requests that failed at targets."""
        return self.failed[number] / (self.failed[number] + len(self.latencies_s[number]))

    def late_share(self, number):
        """Return the share of a class's requests that are late or refused."""
        return self.late[number] / len(self.latencies_s[number])

    def _arrive(self, now_s):
        # All draws are made here, so that both designs play the same requests.
        classes = self.load.classes
        work_class = self.random.choices(classes, [entry.share for entry in classes])[0]
        path_shape, work_s = work_class.draw(self.random)
        if now_s >= self.load.change_s:
            work_s *= self.load.change
        data_centre = f"dc-{self.random.randrange(3)}"
        call_id = len(self.requests) + 1
        key = ("i", call_id)
        self.requests[key] = (work_class, work_s, now_s)
        request = PlacementRequest(
            call_id=call_id,
            service="s",
            workspace="w",
            priority=1,
            remaining_ms=int(3 * MS_PER_S * work_class.objective_s),
            objective_ms=int(MS_PER_S * work_class.objective_s),
            is_retryable=False,
            is_retry=False,
            data_centre=data_centre,
            fingerprint=b"",
            work_class=work_class.number,
            path_shape=path_shape,
        )
        started_s = time.process_time()
        reply = self.home.place(key, request, now_s)
        self.decision_s += time.process_time() - started_s
        self._take(key, reply, now_s)

    def _dispatch(self, now_s, most):
        started_s = time.process_time()
        decisions = self.home.dispatch(now_s, most=most)
        self.decision_s += time.process_time() - started_s
        for request, reply in decisions:
            self._take(request.key, reply, now_s)

    def _take(self, key, reply, now_s):
        if reply.state is PlacementState.QUEUED:
            return
        if reply.state is PlacementState.REFUSED:
            self._count(key, math.inf)
            return
        _, work_s, _ = self.requests[key]
        self.running[reply.target] += 1
        if self.failing.fails(reply.target, now_s, self.random):
            heapq.heappush(self.ends, (now_s + FAILS_AFTER_S, key, reply.target, now_s, False))
            return
        took_s = work_s * (1 + FULL_SLOWDOWN * (self.running[reply.target] / self.SLOT_COUNT) ** 2)
        if int(reply.target[1:]) < self.load.slow_targets:
            took_s *= self.load.slowness
        heapq.heappush(self.ends, (now_s + took_s, key, reply.target, now_s, True))

    def _complete(self, end, now_s):
        _, key, target, started_s, is_served = end
        self.running[target] -= 1
        outcome = Outcome.SUCCESS
        if is_served:
            self._count(key, now_s - self.requests[key][2])
        else:
            outcome = Outcome.BROKEN_BEFORE_HEAD
            self.failed[self.requests[key][0].number] += 1
        before_s = time.process_time()
        self.home.complete(key, outcome, now_s - started_s, b"", now_s)
        self.decision_s += time.process_time() - before_s
        self._dispatch(now_s, DISPATCHED_AT_COMPLETION)

    def _count(self, key, latency_s):
        work_class, _, arrived_s = self.requests[key]
        starts_s, ends_s = self.load.measured_s
        if starts_s <= arrived_s < ends_s:
            self.latencies_s[work_class.number].append(latency_s)
            self.late[work_class.number] += latency_s > work_class.objective_s


def print_table(seeds):
    """Print p99 and late share of each class over all seeds, before and after."""
    for name, load in LOADS.items():
        before = [CostReplay(load, seed, places_by_cost=False).run() for seed in seeds]
        after = [CostReplay(load, seed, places_by_cost=True).run() for seed in seeds]
        times = [sum(replay.decision_s for replay in played) for played in (before, after)]
        print(f"{name}: {times[1] / times[0]:.2f} times the processor time")
        for entry in load.classes:
            cells = []
            for played in (before, after):
                p99_s = CostReplay.pooled_p99_s(played, entry.number)
                late = sum(replay.late_share(entry.number) for replay in played) / len(seeds)
                failed = sum(replay.failed_share(entry.number) for replay in played) / len(seeds)
                text = f"p99 {p99_s:.3f} s, late {100 * late:.2f} %"
                cells.append(text + (f", failed {100 * failed:.2f} %" if failed else ""))
            print(f"  class {entry.number}: {cells[0]} -> {cells[1]}")


if __name__ == "__main__":
    print_table(range(4))
