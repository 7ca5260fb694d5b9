"""Sequential comparison of the responses of two versions of a service.

Load pattern: the new version gets a few responses per second, spread over several routes, while
targets of both versions fail for a while by themselves, links lose packets and callers arrive in
bursts. The comparison therefore takes the old version's responses of the same route and the same
time as its base, and bounds what a single target can contribute.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from ._outcomes import FAILURES, Outcome

# Additional share of bad answers that makes a version bad.
BAD_SHARE_DIFFERENCE = 0.2
BAD_SHARE_MAX = 0.95
# Log-likelihood ratio from which the new version counts as bad: one good version in 400 by one
# comparison. Several windows and routes are compared, but each only a few times independently.
BAD_LOG_RATIO = 6.0
# The same for a good version.
GOOD_LOG_RATIO = 5.0
# A verdict against the version needs evidence from this many of its targets, if it has them; more
# in a short window, which a target that fails for a second fills.
BLAMED_TARGETS_MIN = 3
SHORT_WINDOW_S = 1.5
SHORT_WINDOW_BLAMED_TARGETS_MIN = 4
# Bound on what a target contributes in favour of the version.
TARGET_FAVOUR_MAX = 2.0
# A response that takes longer than this multiple of the old version's third quartile is late.
LATE_QUARTILE_RATIO = 2.0
LATE_AFTER_MIN_S = 0.1
# Responses of a route from which its quartile is known.
QUARTILE_RESPONSES_MIN = 12
LATENCIES_MAX = 160
LATENCY_UPDATE_INTERVAL_S = 0.5
# Responses are counted by intervals of this length.
SLOT_S = 0.5
# Windows, and by how much more evidence each needs, as it is looked at more often independently.
WINDOWS_S = {SHORT_WINDOW_S: 1.35, 4.0: 1.1}
# Routes with a smaller share of the service's requests need no responses for a good verdict.
ROUTE_SHARE_MIN = 0.05
ROUTE_RESPONSES_MIN = 16
# A route needs at least so much evidence for the version, here negative, for a good verdict.
ROUTE_DOUBT_MAX = -1.0
# Added to the route of responses of which only failures are judged, as their targets are cold. They
# are compared with the failures of the old version; as good answers of the route they would hide
# late ones.
FAILURES_ONLY = " (cold)"
# Weight, in responses, of the share of bad answers on all routes in the share on one of them.
PRIOR_COUNT = 20.0
PRIOR_SHARE = 0.05
PRIOR_SHARE_MIN = 0.02
PRIOR_SHARE_MAX = 0.3

RequestKey = tuple[str, int]


class Side(IntEnum):
    """Which version a target carries."""

    OLD = 0
    NEW = 1


@dataclass(slots=True, kw_only=True)
class Assessment:
    """What the responses say of the new version.

    :param suspicion: evidence that it is bad; from 1 on it counts as bad.
    :param confidence: evidence that it is good on each route; from 1 on it counts as good.
    :param overall_confidence: the same for all routes together.
    :param route: route with the most evidence, empty for all routes together.
    :param window_s: time over which the evidence was gathered, 0 for all of it.
    """

    suspicion: float = 0.0
    confidence: float = 0.0
    overall_confidence: float = 0.0
    route: str = ""
    window_s: float = 0.0
    old_count: int = 0
    old_bad_count: int = 0
    new_count: int = 0
    new_bad_count: int = 0


@dataclass(slots=True, kw_only=True)
class _Sent:
    side: Side
    target: str
    route: str
    sent_s: float
    counts_latency: bool
    is_counted: bool = False


class _Counts:
    """Numbers of responses and of bad ones: old by route, new by target and route."""

    __slots__ = ("new", "old")

    def __init__(self) -> None:
        self.old: dict[str, list[int]] = {}
        self.new: dict[str, dict[str, list[int]]] = {}

    def add(self, side: Side, target: str, route: str, count: int, bad_count: int) -> None:
        by_route = self.old if side is Side.OLD else self.new.setdefault(target, {})
        entry = by_route.setdefault(route, [0, 0])
        entry[0] += count
        entry[1] += bad_count

    def add_all(self, other: "_Counts") -> None:
        for route, (count, bad_count) in other.old.items():
            self.add(Side.OLD, "", route, count, bad_count)
        for target, by_route in other.new.items():
            for route, (count, bad_count) in by_route.items():
                self.add(Side.NEW, target, route, count, bad_count)


class VersionComparison:
    """Responses of the old and of the new version of one service."""

    __slots__ = (
        "_late_after_s",
        "_late_updated_s",
        "_latencies_s",
        "_slots",
        "_total",
        "_under_way",
        "_warm_counts",
        "target_count",
    )

    def __init__(self) -> None:
        # Number of targets that carry the new version.
        self.target_count = 1
        self._under_way: dict[RequestKey, _Sent] = {}
        self._total = _Counts()
        self._slots: deque[tuple[int, _Counts]] = deque()
        self._latencies_s: dict[str, deque[float]] = {}
        self._late_after_s: dict[str, float] = {}
        self._late_updated_s = float("-inf")
        # Responses of the new version whose latency counts, by route.
        self._warm_counts: Counter[str] = Counter()

    def record_sent(
        self,
        key: RequestKey,
        side: Side,
        target: str,
        route: str,
        now_s: float,
        *,
        counts_latency: bool = True,
    ) -> None:
        """Record that a request is sent.

        :param counts_latency: whether a late response says something about the version.
        """
        self._under_way[key] = _Sent(
            side=side, target=target, route=route, sent_s=now_s, counts_latency=counts_latency
        )

    def record_result(
        self, key: RequestKey, outcome: Outcome, latency_s: float, now_s: float
    ) -> None:
        """Record the end of a request."""
        sent = self._under_way.pop(key, None)
        if sent is None:
            return
        if outcome is Outcome.SUCCESS and sent.side is Side.OLD:
            latencies_s = self._latencies_s.setdefault(sent.route, deque(maxlen=LATENCIES_MAX))
            latencies_s.append(latency_s)
        if sent.is_counted or outcome in (Outcome.SHED, Outcome.CONNECT_FAILURE):
            return
        is_late = sent.counts_latency and latency_s > self._late_limit_s(sent.route)
        if outcome is Outcome.CANCELLED and not is_late:
            return
        self._count(sent, now_s, is_failed=outcome in FAILURES, is_late=is_late)

    def forget(self, key: RequestKey) -> None:
        """Forget a request whose end was never reported."""
        self._under_way.pop(key, None)

    def count(self, side: Side) -> tuple[int, int]:
        """Return the numbers of responses and of bad ones."""
        return _sums(self._total, side, "")

    def assess(self, now_s: float) -> Assessment:
        """Compare the versions."""
        self._update(now_s)
        overall = -self._evidence(self._total, "", favour_max=math.inf) / GOOD_LOG_RATIO
        found = Assessment(confidence=self._confidence(overall), overall_confidence=overall)
        routes = ["", *self._total.old]
        windows = {0.0: self._total}
        windows |= {window_s: self._window(window_s, now_s) for window_s in WINDOWS_S}
        for window_s, counts in windows.items():
            needed = BAD_LOG_RATIO * WINDOWS_S.get(window_s, 1.0)
            for route in routes:
                evidence = self._evidence(counts, route, is_short=window_s == SHORT_WINDOW_S)
                suspicion = evidence / needed
                if suspicion > found.suspicion:
                    found.suspicion = suspicion
                    found.route, found.window_s = route, window_s
        counts = windows[found.window_s]
        found.old_count, found.old_bad_count = _sums(counts, Side.OLD, found.route)
        found.new_count, found.new_bad_count = _sums(counts, Side.NEW, found.route)
        return found

    def _confidence(self, overall: float) -> float:
        """Return the evidence that the version is good on all routes that are in use."""
        confidence = overall
        total_count = sum(entry[0] for entry in self._total.old.values())
        for route, (old_count, _) in self._total.old.items():
            if old_count < ROUTE_SHARE_MIN * total_count or route.endswith(FAILURES_ONLY):
                continue
            confidence = min(confidence, self._warm_counts[route] / ROUTE_RESPONSES_MIN)
            if self._evidence(self._total, route) > ROUTE_DOUBT_MAX:
                confidence = min(confidence, 0.0)
        return confidence

    def old_counts(self) -> list[tuple[str, int, int]]:
        """Return route, responses and bad ones of the old version, the most first."""
        found = [(route, *entry) for route, entry in self._total.old.items()]
        return sorted(found, key=lambda entry: -entry[1])

    def new_counts(self) -> list[tuple[str, str, int, int]]:
        """Return target, route, responses and bad ones of the new version, the most first."""
        found = [
            (target, route, *entry)
            for target, by_route in self._total.new.items()
            for route, entry in by_route.items()
        ]
        return sorted(found, key=lambda entry: -entry[2])

    def late_after_max_s(self) -> float:
        """Return the time after which a response of any route is known to be late."""
        return max(self._late_after_s.values(), default=0.0)

    def late_after_ms(self) -> dict[str, int]:
        """Return the latency from which a response is late, by route."""
        return {route: int(1000 * limit_s) for route, limit_s in self._late_after_s.items()}

    def adopt(
        self,
        old_counts: Iterable[tuple[str, int, int]],
        new_counts: Iterable[tuple[str, str, int, int]],
        late_after_ms: dict[str, int],
    ) -> None:
        """Take over the responses that another home counted, instead of the own ones."""
        self._total = _Counts()
        self._warm_counts.clear()
        for route, count, bad_count in old_counts:
            self._total.add(Side.OLD, "", route, count, bad_count)
        for target, route, count, bad_count in new_counts:
            self._total.add(Side.NEW, target, route, count, bad_count)
            if not route.endswith(FAILURES_ONLY):
                self._warm_counts[route] += count
        for route, limit_ms in late_after_ms.items():
            self._late_after_s.setdefault(route, limit_ms / 1000.0)

    def _late_limit_s(self, route: str) -> float:
        return self._late_after_s.get(route, float("inf"))

    def _count(self, sent: _Sent, now_s: float, *, is_failed: bool, is_late: bool) -> None:
        if sent.side is Side.NEW and sent.counts_latency:
            self._warm_counts[sent.route] += 1
        number = int(now_s / SLOT_S)
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append((number, _Counts()))
        # Responses of the old version from before the first of the new one would compare different
        # times.
        is_compared = sent.counts_latency and bool(self._warm_counts)
        for counts in (self._total, self._slots[-1][1]):
            if is_compared:
                counts.add(sent.side, sent.target, sent.route, 1, int(is_failed or is_late))
            if not sent.counts_latency or sent.side is Side.OLD:
                route = sent.route + FAILURES_ONLY
                counts.add(sent.side, sent.target, route, 1, int(is_failed))

    def _update(self, now_s: float) -> None:
        oldest = int((now_s - max(WINDOWS_S)) / SLOT_S)
        while self._slots and self._slots[0][0] < oldest:
            self._slots.popleft()
        if now_s - self._late_updated_s >= LATENCY_UPDATE_INTERVAL_S:
            self._late_updated_s = now_s
            for route, latencies_s in self._latencies_s.items():
                if len(latencies_s) >= QUARTILE_RESPONSES_MIN:
                    quartile_s = sorted(latencies_s)[3 * len(latencies_s) // 4]
                    limit_s = LATE_QUARTILE_RATIO * quartile_s
                    self._late_after_s[route] = max(LATE_AFTER_MIN_S, limit_s)
        for sent in self._under_way.values():
            is_late = now_s - sent.sent_s > self._late_limit_s(sent.route)
            if is_late and sent.counts_latency and not sent.is_counted:
                sent.is_counted = True
                self._count(sent, now_s, is_failed=False, is_late=True)

    def _window(self, window_s: float, now_s: float) -> _Counts:
        found = _Counts()
        oldest = int((now_s - window_s) / SLOT_S)
        for number, counts in self._slots:
            if number >= oldest:
                found.add_all(counts)
        return found

    def _evidence(
        self,
        counts: _Counts,
        route: str,
        *,
        favour_max: float = TARGET_FAVOUR_MAX,
        is_short: bool = False,
    ) -> float:
        """Return the log-likelihood ratio of a bad version to one like the old version.

        :param route: the route to look at, empty for all routes.
        :param is_short: whether the counts are those of the short window.
        :param favour_max: bound on what a target contributes in favour of the version.
        """
        by_target = [
            (wanted, by_route)
            for by_route in counts.new.values()
            if (wanted := [route] if route else list(by_route))
            and any(name in by_route for name in wanted)
        ]
        blamed_count = SHORT_WINDOW_BLAMED_TARGETS_MIN if is_short else BLAMED_TARGETS_MIN
        blame_max = BAD_LOG_RATIO / min(blamed_count, max(1, self.target_count))
        weights: dict[str, tuple[float, float]] = {}
        evidence = 0.0
        for wanted, by_route in by_target:
            ratio = 0.0
            for name in wanted:
                if name not in by_route:
                    continue
                if name not in weights:
                    weights[name] = self._weights(counts, name)
                count, bad_count = by_route[name]
                bad_weight, good_weight = weights[name]
                ratio += bad_count * bad_weight + (count - bad_count) * good_weight
            evidence += max(-favour_max, min(blame_max, ratio))
        return evidence

    def _weights(self, counts: _Counts, route: str) -> tuple[float, float]:
        """Return the log-likelihood ratios of a bad and of a good answer on a route."""
        is_failures_only = route.endswith(FAILURES_ONLY)
        total_count = total_bad_count = 0
        for name, entry in counts.old.items():
            if name.endswith(FAILURES_ONLY) == is_failures_only:
                total_count += entry[0]
                total_bad_count += entry[1]
        prior = (total_bad_count + PRIOR_COUNT * PRIOR_SHARE) / (total_count + PRIOR_COUNT)
        prior = max(PRIOR_SHARE_MIN, min(PRIOR_SHARE_MAX, prior))
        count, bad_count = counts.old.get(route, (0, 0))
        usual = (bad_count + PRIOR_COUNT * prior) / (count + PRIOR_COUNT)
        usual = min(usual, BAD_SHARE_MAX - BAD_SHARE_DIFFERENCE)
        bad = usual + BAD_SHARE_DIFFERENCE
        return math.log(bad / usual), math.log((1 - bad) / (1 - usual))


def _sums(counts: _Counts, side: Side, route: str) -> tuple[int, int]:
    sources = [counts.old] if side is Side.OLD else list(counts.new.values())
    entries = [
        entry
        for by_route in sources
        for name, entry in by_route.items()
        if name == route or (not route and (side is Side.NEW or not name.endswith(FAILURES_ONLY)))
    ]
    return sum(entry[0] for entry in entries), sum(entry[1] for entry in entries)
