"""Replay of a roll-out at the homes of one service, without a network."""

import heapq
import math
from random import Random

from tanagerreach_core.messages import PlacementState, RoutedPlacementRequest
from tanagerreach_core.placement import (
    PlacementTarget,
    Rollout,
    RolloutLimits,
    RolloutOrder,
    RolloutStage,
    ServicePlacement,
    ServiceVersions,
)
from tanagerreach_core.traffic import Outcome

DURATION_S = 12.0
# Time of the order.
ORDERED_S = 10.0
LIMITS = RolloutLimits(share=0.1, slack=50.0)
ORDER = RolloutOrder(service="s", to_version="v2", duration_s=DURATION_S, revision=7)
ROUTES = (("a", 0.55, 0.3), ("b", 0.3, 0.24), ("c", 0.15, 0.1))
SLOT_COUNT = 4
# Both versions fail this share of their requests.
USUAL_FAILED_SHARE = 0.012
DIGEST_INTERVAL_S = 0.4
COLD_S = 3.0


class Version:
    """How targets of a version respond.

    :param failed_share: share of the requests that fail.
    :param slow_share: share of the responses that are late.
    :param from_s: time after the order from which it is bad.
    :param route: the only route on which it is bad, empty for all.
    :param busy_count: requests at a target from which it is bad.
    """

    def __init__(
        self,
        *,
        failed_share=0.0,
        slow_share=0.0,
        slow_ratio=4.0,
        from_s=0.0,
        route="",
        busy_count=0,
    ):
        self.failed_share = failed_share
        self.slow_share = slow_share
        self.slow_ratio = slow_ratio
        self.from_s = from_s
        self.route = route
        self.busy_count = busy_count

    @property
    def is_bad(self):
        return bool(self.failed_share or self.slow_share)

    def is_bad_now(self, now_s, route, busy_count):
        is_route = not self.route or route == self.route
        return now_s >= ORDERED_S + self.from_s and is_route and busy_count >= self.busy_count


class Home:
    """An instance that may place the service's requests."""

    def __init__(self, targets, now_s, *, is_age_known):
        self.versions = ServiceVersions()
        self.placement = ServicePlacement(floor_share=0.7, versions=self.versions)
        self.placement.configure(targets, now_s)
        self.is_age_known = is_age_known

    def order(self, now_s, *, is_continued=False):
        self.versions.rollout = Rollout(
            order=ORDER, limits=LIMITS, ordered_s=now_s, is_age_known=self.is_age_known
        )
        self.versions.rollout.begin(is_continued=is_continued)
        self.placement.select_versions()


class RolloutReplay:
    """Simulates requests to a service while a version is rolled out.

    :param version: the new version.
    :param disturbances: functions of time and version name that return what is added to the share
        of requests that fail, and the factor of the latencies.
    :param move_s: time at which the home moves to another instance.
    :param moves_with_progress: whether the other instance knows the progress.
    :param faulty_share: share of the targets of both versions that fail most requests at times.
    """

    def __init__(
        self,
        seed,
        version,
        *,
        requests_per_s=120.0,
        target_count=30,
        disturbance=None,
        move_s=math.inf,
        moves_with_progress=True,
        faulty_share=0.3,
        burst=None,
    ):
        self.random = Random(seed)
        self.version = version
        self.requests_per_s = requests_per_s
        self.disturbance = disturbance or (lambda now_s, name: (0.0, 1.0))
        self.burst = burst or (lambda now_s: 1.0)
        self.move_s = move_s
        self.moves_with_progress = moves_with_progress
        self.targets = self._make_targets(target_count, "v1", "o", 0.0)
        self.new_targets = self._make_targets(target_count, "v2", "n", ORDERED_S + COLD_S)
        self.faulty_s = {
            target.name: self.random.uniform(0, 9)
            for target in self.targets + self.new_targets
            if self.random.random() < faulty_share
        }
        self.home = Home(self.targets, ORDERED_S - 2.0, is_age_known=True)
        self.changes = []
        self.sent = {"v1": 0, "v2": 0}
        self.bad_count = 0
        self.sent_late = 0
        self.after_verdict = {"v1": 0, "v2": 0}
        self.refused_count = 0
        self.cut_count = 0
        self.fifty_bad_s = math.inf
        self.last_new_s = -math.inf
        self._events = []
        self._running = {}
        self._call_id = 0

    def _make_targets(self, count, version, prefix, cold_until_s):
        return [
            PlacementTarget(
                name=f"{prefix}{number}",
                address=f"10.0.{prefix}.{number}:80",
                data_centre=f"dc-{number % 3}",
                slot_count=SLOT_COUNT,
                cold_until_s=cold_until_s,
                cold_rate_per_s=7.3,
                started_ms=1 if version == "v1" else 2,
                software_version=version,
            )
            for number in range(count)
        ]

    @property
    def rollout(self):
        return self.home.versions.rollout

    @property
    def verdict(self):
        return self.rollout.stage

    @property
    def verdict_s(self):
        final = [now_s for now_s, change in self.changes if change.stage.value >= 4]
        return final[0] - ORDERED_S if final else math.inf

    @property
    def exposure_share(self):
        """Exposure of the version, as a share of what the operator allows."""
        return self.sent["v2"] / (LIMITS.share * sum(self.sent.values()) + LIMITS.slack)

    def run(self, until_s=ORDERED_S + DURATION_S):
        now_s, joined, ordered, digest, digest_s = ORDERED_S - 2.0, False, False, None, -math.inf
        while now_s < until_s:
            now_s += self.random.expovariate(self.requests_per_s * self.burst(now_s - ORDERED_S))
            while self._events and self._events[0][0] <= now_s:
                self._complete(heapq.heappop(self._events))
            if now_s >= ORDERED_S - 0.3 and not joined:
                joined = True
                self.home.placement.configure(self.targets + self.new_targets, now_s)
            if now_s >= ORDERED_S and not ordered:
                ordered = True
                self.home.order(now_s)
            if ordered:
                self._advance(now_s)
                if now_s - digest_s >= DIGEST_INTERVAL_S:
                    digest, digest_s = self.rollout.progress(now_s), now_s
                if now_s >= ORDERED_S + self.move_s:
                    self.move_s = math.inf
                    self._move(digest, now_s)
            self._send(now_s)
        return self

    def _advance(self, now_s):
        placement = self.home.placement
        change = self.rollout.advance(placement.rollout_facts(now_s), now_s)
        if change is not None:
            self.changes.append((now_s, change))
            placement.select_versions()
            if change.stage is RolloutStage.COMPLETED:
                old = [call for call in self._running.values() if call[0].startswith("o")]
                self.cut_count = len(old)

    def _move(self, digest, now_s):
        self.home = Home(self.targets + self.new_targets, now_s, is_age_known=False)
        self.home.order(now_s, is_continued=True)
        self._running.clear()
        if self.moves_with_progress:
            self.rollout.adopt(digest, now_s, is_active=False)
            self.home.placement.select_versions()

    def _send(self, now_s):
        self._call_id += 1
        key = ("i", self._call_id)
        route, _, work_s = self.random.choices(ROUTES, [entry[1] for entry in ROUTES])[0]
        request = RoutedPlacementRequest(
            call_id=self._call_id,
            service="s",
            workspace="w",
            priority=1,
            remaining_ms=5000,
            objective_ms=1200,
            is_retryable=route != "b",
            is_retry=False,
            data_centre="dc-0",
            fingerprint=b"",
            route=route,
        )
        reply = self.home.placement.place(key, request, now_s)
        if reply.state is PlacementState.GRANTED:
            self._start(key, reply.target, route, work_s, now_s)
        elif reply.state is PlacementState.REFUSED:
            self.refused_count += 1

    def _start(self, key, target, route, work_s, now_s):
        version = "v2" if target.startswith("n") else "v1"
        if now_s >= ORDERED_S:
            self.sent[version] += 1
            if self.rollout is not None and self.rollout.is_final:
                self.after_verdict[version] += 1
        if version == "v2":
            self.last_new_s = now_s
        added, ratio = self.disturbance(now_s - ORDERED_S, version)
        took_s = self.random.lognormvariate(math.log(work_s), 0.6) * ratio
        failed_share = USUAL_FAILED_SHARE + added
        busy_count = sum(call[0] == target for call in self._running.values())
        is_bad = False
        if version == "v2" and self.version.is_bad_now(now_s, route, busy_count):
            if self.random.random() < self.version.slow_share:
                took_s *= self.version.slow_ratio
                is_bad = True
            is_failed = self.random.random() < self.version.failed_share
            is_bad |= is_failed
            failed_share = max(failed_share, float(is_failed))
        faulty_s = self.faulty_s.get(target)
        if faulty_s is not None and (now_s - faulty_s) % 9.0 < 1.0:
            failed_share = max(failed_share, 0.85)
        if version == "v2" and now_s < ORDERED_S + COLD_S:
            took_s *= 2
        is_failed = self.random.random() < failed_share
        outcome = Outcome.ERROR if is_failed else Outcome.SUCCESS
        self._running[key] = (target, now_s)
        heapq.heappush(self._events, (now_s + took_s, key, outcome, now_s, is_bad))

    def _complete(self, event):
        now_s, key, outcome, started_s, is_bad = event
        self._running.pop(key, None)
        if is_bad:
            self.bad_count += 1
            if self.bad_count == 50:
                self.fifty_bad_s = now_s
        self.home.placement.complete(key, outcome, now_s - started_s, b"", now_s)
        for request, reply in self.home.placement.dispatch(now_s, most=8):
            if reply.state is PlacementState.GRANTED:
                route = request.placement_request.route
                work_s = next(entry[2] for entry in ROUTES if entry[0] == route)
                self._start(request.key, reply.target, route, work_s, now_s)
            elif reply.state is PlacementState.REFUSED:
                self.refused_count += 1
