"""Outlier detection among a service's targets, to find gray failures.

For each target and kind of evidence, CUSUMs of log-likelihood ratios test "like the other targets"
against "clearly worse". One CUSUM takes all evidence; the others leave out the evidence of one data
centre or of one group of instances. A target is suspected only if the first exceeds the threshold
and each of the others a fixed part of it, since evidence from only one instance or one data centre
points to a bad link. The baseline is the worst of the other targets' present and recent values, so
no target is suspected when the service fails as a whole.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp, log

from ._messages import TargetReport
from ._slowness import (
    MIN_BASELINE_COUNT,
    SERVICE_SLOW_BUCKETS,
    BurstLimit,
    OtherTargets,
    Source,
    latency_scores,
    split_score,
)
from ._tally import (
    PRIOR_COUNT,
    TICK_PRIOR_COUNT,
    Evidence,
    Pending,
    Tally,
    mean_bucket,
)

# See tools/measure_detection.py for detection time and false ejections by threshold.
THRESHOLD = 16.0
TICK_S = 0.1
GROUP_COUNT = 8
MAX_GROUPED_INSTANCES = 4096
ALL_SOURCES = ("all", "")
FAST_DECAY_S = 0.7
SLOW_DECAY_S = 8.0
EVIDENCE_DECAY_S = 30.0
ERROR_FLOOR = 0.01
# A target is worse by errors when this share of the responses that should succeed fails.
ERROR_STEP = 0.3
SHED_FLOOR = 0.03
SHED_STEP = 0.4
# Share of the threshold that the evidence must reach without any one source; with three equal data
# centres two thirds of the evidence remain.
LEAVE_ONE_OUT_RATIO = 0.6
# Share of the threshold that the responses delayed by one pause of a target may reach.
PAUSE_EVIDENCE_RATIO = 0.6
# When more than half of the targets score this share of the threshold, the service as a whole is
# getting worse and no target is suspected.
ELEVATED_RATIO = 0.25
BUSY_DECAY_S = 1.0
INSTANCE_EXPIRY_S = 2.0
# Above this share of busy slots at the other targets slowness is no evidence: small differences in
# speed become large there, and the service has no capacity to spare.
SATURATED_RATIO = 0.6
# A target that sheds with a smaller share of busy slots is cold rather than full.
COLD_SHED_RATIO = 0.75
LONG_DECAY_S = 120.0
# Relative speed at which the long-term baseline adapts while the service is slow as a whole.
SLOW_SERVICE_LEARNING_RATE = 0.1
SPEED_LEARNING_S = 20.0
# Lasting differences in speed up to this, in either direction, count as the target's own speed.
MAX_SPEED_SHIFT_BUCKETS = 1.5
MIN_HANG_S = 0.25
HANG_QUANTILE = 0.99


@dataclass(slots=True, kw_only=True, frozen=True)
class Suspicion:
    """A target that performs worse than the others of its service."""

    target: str
    evidence: Evidence
    score: float


@dataclass(slots=True)
class _TargetRecord:
    """Evidence for and against one target."""

    pending: dict[Source, Pending] = field(default_factory=dict)
    fast: Tally = field(default_factory=Tally)
    slow: Tally = field(default_factory=Tally)
    long: Tally = field(default_factory=Tally)
    cusums: dict[Evidence, dict[tuple[str, object], float]] = field(
        default_factory=lambda: {evidence: {} for evidence in Evidence}
    )
    slot_count: int = 1
    in_flight: dict[str, int] = field(default_factory=dict)
    busy_slots: float = 0.0
    hang_stages: dict[str, int] = field(default_factory=dict)
    speed_shift: float = 0.0
    burst_limit: BurstLimit = field(default_factory=BurstLimit)
    rising_since_s: dict[Evidence, float] = field(default_factory=dict)


def _ratio_scores(
    periods: list[tuple[float, float]], floor: float, step: float
) -> tuple[float, float]:
    """Return the scores of a bad and of a good response.

    :param periods: bad and all responses of the other targets in the last seconds, the last second
        and the last tick; the worst share is what a healthy target may show.
    """
    (bad, total), *later = periods
    recent = max(floor, (bad + floor * PRIOR_COUNT) / (total + PRIOR_COUNT))
    shares = [recent]
    for (bad, total), prior in zip(later, (PRIOR_COUNT, TICK_PRIOR_COUNT), strict=True):
        shares.append((bad + recent * prior) / (total + prior))
    expected = min(0.99, max(shares))
    worse = expected + (1 - expected) * step
    return log(worse / expected), log((1 - worse) / (1 - expected))


class OutlierDetector:
    """Sequential outlier detection among the targets of one service.

    :param threshold: score at which a target is suspected; a higher one detects later, with fewer
        false suspicions.
    """

    __slots__ = (
        "_age_s",
        "_records",
        "_suspicions",
        "_groups",
        "_hang_limit_s",
        "_last_heard_s",
        "_service_is_slow",
        "_threshold",
        "_ticked_at_s",
    )

    def __init__(self, *, threshold: float = THRESHOLD) -> None:
        self._threshold = threshold
        self._age_s = 0.0
        self._records: dict[str, _TargetRecord] = {}
        self._suspicions: list[Suspicion] = []
        self._service_is_slow = False
        self._groups: dict[str, int] = {}
        self._last_heard_s: dict[str, float] = {}
        self._hang_limit_s = MIN_HANG_S
        self._ticked_at_s: float | None = None

    def set_targets(self, slot_counts: Mapping[str, int]) -> None:
        """Set the targets to compare.

        :param slot_counts: number of slots by target.
        """
        for name in self._records.keys() - slot_counts.keys():
            del self._records[name]
        self._suspicions = [entry for entry in self._suspicions if entry.target in slot_counts]
        for name, slot_count in slot_counts.items():
            self._records.setdefault(name, _TargetRecord()).slot_count = max(1, slot_count)

    def reset(self, target: str) -> None:
        """Drop the evidence against a target after it was acted on."""
        record = self._records[target]
        record.cusums = {evidence: {} for evidence in Evidence}
        record.rising_since_s = {}
        record.pending = {}
        record.fast = Tally()
        self._suspicions = [entry for entry in self._suspicions if entry.target != target]

    def observe(
        self,
        instance: str,
        data_centre: str,
        reports: Iterable[TargetReport],
        now_s: float,
        held_s: float = 0.0,
    ) -> None:
        """Add an instance's reports on targets; unknown targets are ignored.

        :param held_s: age of the oldest response in the reports.
        """
        source = (data_centre, self._group_of(instance))
        self._last_heard_s[instance] = now_s
        unreported = set(self._records)
        for report in reports:
            record = self._records.get(report.target)
            if record is not None:
                unreported.discard(report.target)
                pending = record.pending.setdefault(source, Pending())
                pending.add_report(report, held_s, self._rising_s(record, now_s))
                pending.tally.bad += self._new_hangs(record, instance, report)
                if report.in_flight_count:
                    record.in_flight[instance] = report.in_flight_count
                else:
                    record.in_flight.pop(instance, None)
        for name in unreported:
            self._records[name].in_flight.pop(instance, None)

    def suspected(self, now_s: float) -> list[Suspicion]:
        """Evaluate the evidence of the last tick and return suspected targets, worst first."""
        if self._ticked_at_s is None:
            self._ticked_at_s = now_s
        elapsed_s = now_s - self._ticked_at_s
        if elapsed_s >= TICK_S:
            self._expire_instances(now_s)
            self._tick(elapsed_s)
            self._ticked_at_s = now_s
            suspicions = [entry for evidence in Evidence for entry in self._suspected_by(evidence)]
            self._suspicions = sorted(suspicions, key=lambda suspicion: -suspicion.score)
        return list(self._suspicions)

    def score(self, target: str, evidence: Evidence) -> float:
        """Return the score that is compared with the threshold to suspect a target."""
        cusums = self._records[target].cusums[evidence]
        parts = [value for key, value in cusums.items() if key != ALL_SOURCES]
        total = cusums.get(ALL_SOURCES, 0.0)
        return min(total, min(parts, default=0.0) / LEAVE_ONE_OUT_RATIO)

    def is_elevated(self) -> bool:
        """Return whether a target's score reaches :data:`ELEVATED_RATIO` of the threshold."""
        limit = ELEVATED_RATIO * self._threshold
        return any(
            self.score(name, evidence) >= limit for name in self._records for evidence in Evidence
        )

    def _suspected_by(self, evidence: Evidence) -> list[Suspicion]:
        scores = {name: self.score(name, evidence) for name in self._records}
        elevated = sum(score >= ELEVATED_RATIO * self._threshold for score in scores.values())
        if elevated > len(scores) // 2:
            return []
        return [
            Suspicion(target=name, evidence=evidence, score=score)
            for name, score in scores.items()
            if score >= self._threshold
        ]

    def _new_hangs(self, record: _TargetRecord, instance: str, report: TargetReport) -> int:
        """Count one failure each time the oldest request's age doubles beyond the limit."""
        limit_s = self._hang_limit_s
        stage = 0
        while report.oldest_in_flight_s >= limit_s * 2**stage and stage < 5:
            stage += 1
        before = record.hang_stages.pop(instance, 0)
        if stage:
            record.hang_stages[instance] = stage
        return max(0, stage - before)

    @staticmethod
    def _rising_s(record: _TargetRecord, now_s: float) -> dict[Evidence, float]:
        return {evidence: now_s - since_s for evidence, since_s in record.rising_since_s.items()}

    def _group_of(self, instance: str) -> int:
        """Return an instance's group; groups fill evenly in the order of the first reports."""
        if instance not in self._groups:
            if len(self._groups) >= MAX_GROUPED_INSTANCES:
                self._groups.clear()
            self._groups[instance] = len(self._groups) % GROUP_COUNT
        return self._groups[instance]

    @staticmethod
    def _hang_limit(latency: list[float]) -> float:
        wanted = sum(latency) * HANG_QUANTILE
        seen = 0.0
        for index, count in enumerate(latency):
            seen += count
            if count and seen >= wanted:
                return max(MIN_HANG_S, 2**index / 1000)
        return MIN_HANG_S

    def _expire_instances(self, now_s: float) -> None:
        """Drop the requests in flight of instances that stopped reporting."""
        silent = [
            key for key, at_s in self._last_heard_s.items() if now_s - at_s > INSTANCE_EXPIRY_S
        ]
        for instance in silent:
            del self._last_heard_s[instance]
            for record in self._records.values():
                record.in_flight.pop(instance, None)
                record.hang_stages.pop(instance, None)

    def _tick(self, elapsed_s: float) -> None:
        self._age_s += elapsed_s
        sums = self._add_pending(elapsed_s)
        records = self._records.values()
        tick = Tally.sum_of(sums.values())
        fast = Tally.sum_of(record.fast for record in records)
        slow = Tally.sum_of(record.slow for record in records)
        long = Tally.sum_of(record.long for record in records)
        slower_by = mean_bucket(fast.latency) - mean_bucket(long.latency)
        self._service_is_slow = slower_by > SERVICE_SLOW_BUCKETS
        busy_slots = sum(record.busy_slots for record in records)
        slots = sum(record.slot_count for record in records)
        saturated = busy_slots > SATURATED_RATIO * slots
        self._hang_limit_s = self._hang_limit(slow.latency) * (1 + saturated)
        for name, record in self._records.items():
            if record.pending:
                other_slots = slots - record.slot_count
                others = OtherTargets(
                    tick=tick.without(sums[name]),
                    fast=fast.without(record.fast),
                    slow=slow.without(record.slow),
                    long=long.without(record.long),
                    saturated=busy_slots - record.busy_slots > SATURATED_RATIO * other_slots,
                )
                self._update_cusums(record, others)
                self._learn_speed(record, sums[name], others.slow)
            self._decay_cusums(record, elapsed_s)
            record.pending = {}

    def _add_pending(self, elapsed_s: float) -> dict[str, Tally]:
        sums = {}
        learning_rate = SLOW_SERVICE_LEARNING_RATE if self._service_is_slow else 1.0
        for name, record in self._records.items():
            record.fast.decay(exp(-elapsed_s / FAST_DECAY_S))
            weight = 1 - exp(-elapsed_s / BUSY_DECAY_S)
            record.busy_slots += weight * (sum(record.in_flight.values()) - record.busy_slots)
            record.slow.decay(exp(-elapsed_s / SLOW_DECAY_S))
            record.long.decay(exp(-learning_rate * elapsed_s / LONG_DECAY_S))
            total = sums[name] = Tally.sum_of(pending.tally for pending in record.pending.values())
            record.fast.add(total)
            record.slow.add(total)
            record.long.add(total, learning_rate)
        return sums

    @staticmethod
    def _decay_cusums(record: _TargetRecord, elapsed_s: float) -> None:
        factor = exp(-elapsed_s / EVIDENCE_DECAY_S)
        for cusums in record.cusums.values():
            if any(cusums.values()):
                for key in cusums:
                    cusums[key] *= factor

    def _update_cusums(self, record: _TargetRecord, others: OtherTargets) -> None:
        slow_scores = latency_scores(others, record.speed_shift)
        changes: dict[Evidence, dict[Source, float]] = {
            Evidence.FAILURES: self._failure_changes(record, others),
            Evidence.SHEDDING: self._shedding_changes(record, others),
            Evidence.SLOWNESS: record.burst_limit.apply(
                {
                    source: split_score(pending.latency_against(slow_scores), slow_scores)
                    for source, pending in record.pending.items()
                },
                self._age_s,
                PAUSE_EVIDENCE_RATIO * self._threshold,
            ),
        }
        for evidence, by_source in changes.items():
            cusums = record.cusums[evidence]
            # Most healthy targets have no evidence against them, so there is nothing to update.
            if max(by_source.values()) > 0 or any(cusums.values()):
                self._add_scores(cusums, by_source)
                self._record_rise(record, evidence)

    @staticmethod
    def _failure_changes(record: _TargetRecord, others: OtherTargets) -> dict[Source, float]:
        periods = [(tally.bad, tally.bad + tally.good) for tally in others.periods()]
        bad_score, good_score = _ratio_scores(periods, ERROR_FLOOR, ERROR_STEP)
        return {
            source: pending.tally.bad * bad_score
            + pending.good_against(Evidence.FAILURES) * good_score
            for source, pending in record.pending.items()
        }

    @staticmethod
    def _shedding_changes(record: _TargetRecord, others: OtherTargets) -> dict[Source, float]:
        periods = [(tally.shed, tally.request_count()) for tally in others.periods()]
        shed_score, response_score = _ratio_scores(periods, SHED_FLOOR, SHED_STEP)
        if record.busy_slots >= COLD_SHED_RATIO * record.slot_count:
            shed_score = 0.0
        return {
            source: pending.tally.shed * shed_score
            + (pending.tally.bad + pending.good_against(Evidence.SHEDDING)) * response_score
            for source, pending in record.pending.items()
        }

    def _record_rise(self, record: _TargetRecord, evidence: Evidence) -> None:
        """Record the time since which there has been evidence against a target without a gap."""
        if record.cusums[evidence][ALL_SOURCES]:
            record.rising_since_s.setdefault(evidence, self._ticked_at_s)
        else:
            record.rising_since_s.pop(evidence, None)

    def _add_scores(
        self, cusums: dict[tuple[str, object], float], by_source: dict[Source, float]
    ) -> None:
        """Add one tick's scores to each CUSUM that does not leave their source out."""
        total = sum(by_source.values())
        left_out: dict[tuple[str, object], float] = {}
        for (data_centre, group), score in by_source.items():
            for key in (("data centre", data_centre), ("group", group)):
                left_out[key] = left_out.get(key, 0.0) + score
        everything = cusums.setdefault(ALL_SOURCES, 0.0)
        for key in left_out.keys() - cusums.keys():
            # This source gave no evidence so far, so leaving it out changes nothing.
            cusums[key] = everything
        limit = 2 * self._threshold
        for key, value in cusums.items():
            cusums[key] = min(limit, max(0.0, value + total - left_out.get(key, 0.0)))

    def _learn_speed(self, record: _TargetRecord, seen: Tally, others: Tally) -> None:
        """Adapt to lasting differences in speed, but not while the target looks slow."""
        count, other_count = sum(seen.latency), sum(others.latency)
        slowness = max(record.cusums[Evidence.SLOWNESS].values(), default=0.0)
        if not count or other_count < MIN_BASELINE_COUNT or slowness > self._threshold / 4:
            return
        weight = count / (count + max(1.0, other_count / len(self._records)))
        weight *= TICK_S / SPEED_LEARNING_S
        shift = record.speed_shift + weight * (
            mean_bucket(seen.latency) - mean_bucket(others.latency) - record.speed_shift
        )
        record.speed_shift = max(-MAX_SPEED_SHIFT_BUCKETS, min(MAX_SPEED_SHIFT_BUCKETS, shift))
