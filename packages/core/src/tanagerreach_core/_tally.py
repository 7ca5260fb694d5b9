"""Counts of responses for outlier detection."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from operator import add, mul, sub

from ._messages import TargetReport

BUCKET_COUNT = 18
TICK_PRIOR_COUNT = 8.0
# Weight of the recent baseline in the present one, which has few responses at low traffic.
PRIOR_COUNT = 20.0
# Usual time from a bad response to the tick that evaluates it.
REPORTING_DELAY_S = 0.1


class Evidence(Enum):
    """Kind of evidence against a target."""

    FAILURES = "failures"
    SLOWNESS = "slowness"
    SHEDDING = "shedding"


@dataclass(slots=True)
class Tally:
    """Counts of one target's responses; counts of a baseline decay."""

    good: float = 0.0
    bad: float = 0.0
    shed: float = 0.0
    latency: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)

    @classmethod
    def sum_of(cls, tallies: Iterable["Tally"]) -> "Tally":
        """Return the sum of tallies."""
        result = cls()
        for tally in tallies:
            result.add(tally)
        return result

    def add(self, other: "Tally", weight: float = 1.0) -> None:
        """Add another tally's counts."""
        self.good += weight * other.good
        self.bad += weight * other.bad
        self.shed += weight * other.shed
        if weight == 1.0:
            self.latency = list(map(add, self.latency, other.latency))
        else:
            pairs = zip(self.latency, other.latency, strict=True)
            self.latency = [count + weight * added for count, added in pairs]

    def without(self, other: "Tally") -> "Tally":
        """Return this sum less one of its parts."""
        return Tally(
            max(0.0, self.good - other.good),
            max(0.0, self.bad - other.bad),
            max(0.0, self.shed - other.shed),
            [max(0.0, left) for left in map(sub, self.latency, other.latency)],
        )

    def request_count(self) -> float:
        """Return the number of requests, including those that were shed."""
        return self.good + self.bad + self.shed

    def decay(self, factor: float) -> None:
        """Reduce all counts by a factor."""
        self.good *= factor
        self.bad *= factor
        self.shed *= factor
        self.latency = [count * factor for count in self.latency]


class Pending:
    """Counts that one group of instances reported of a target since the last tick.

    A report can hold successes that are seconds old. Those from before the evidence against the
    target began to rise count in the baselines, but not against that evidence: with them, a slow
    target was found up to 0.8 s later in simulation.
    """

    __slots__ = ("_earlier_good", "_earlier_latency", "tally")

    def __init__(self) -> None:
        self.tally = Tally()
        self._earlier_good: dict[Evidence, float] = {}
        self._earlier_latency: list[float] | None = None

    def add_report(
        self, report: TargetReport, held_s: float, rising_s: Mapping[Evidence, float]
    ) -> None:
        """Add a report's counts.

        :param held_s: age of the oldest response in the report.
        :param rising_s: for how long there has been evidence against the target, by kind.
        """
        tally = self.tally
        tally.good += report.success_count
        tally.bad += report.error_count + report.timeout_count + report.connect_failure_count
        tally.shed += report.shed_count
        for index, count in enumerate(report.latency_counts):
            tally.latency[min(index, BUCKET_COUNT - 1)] += count
        if held_s > REPORTING_DELAY_S:
            self._record_earlier(report, held_s, rising_s)

    def good_against(self, evidence: Evidence) -> float:
        """Return the number of successes that count against the evidence."""
        return self.tally.good - self._earlier_good.get(evidence, 0.0)

    def latency_against(self, scores: list[float]) -> list[float]:
        """Return the latency counts, less earlier ones with scores against slowness."""
        if self._earlier_latency is None:
            return self.tally.latency
        return [
            count - earlier if score < 0 else count
            for count, earlier, score in zip(
                self.tally.latency, self._earlier_latency, scores, strict=True
            )
        ]

    def _record_earlier(
        self, report: TargetReport, held_s: float, rising_s: Mapping[Evidence, float]
    ) -> None:
        """Count earlier successes, as if the responses were spread evenly over the held time."""
        for evidence in (Evidence.FAILURES, Evidence.SHEDDING):
            share = _earlier_share(held_s, rising_s.get(evidence, 0.0))
            earlier = self._earlier_good.get(evidence, 0.0)
            self._earlier_good[evidence] = earlier + share * report.success_count
        share = _earlier_share(held_s, rising_s.get(Evidence.SLOWNESS, 0.0))
        latency = self._earlier_latency or [0.0] * BUCKET_COUNT
        for index, count in enumerate(report.latency_counts):
            latency[min(index, BUCKET_COUNT - 1)] += share * count
        self._earlier_latency = latency


def _earlier_share(held_s: float, rising_s: float) -> float:
    return 1 - min(1.0, (rising_s + REPORTING_DELAY_S) / held_s)


def mean_bucket(counts: list[float]) -> float:
    """Return the mean logarithm of the latency, in buckets."""
    total = sum(counts)
    return sum(map(mul, counts, range(BUCKET_COUNT))) / total if total else 0.0
