"""Evidence of slowness: scores of responses by latency, and a bound on what one pause adds."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import floor, log

from ._tally import BUCKET_COUNT, PRIOR_COUNT, TICK_PRIOR_COUNT, Tally, mean_bucket

# Data centre and group of instances that evidence comes from.
Source = tuple[str, int]
MIN_BASELINE_COUNT = 5.0
# When the other targets are this much slower than usual, a target's slowness is no evidence: under
# overload small differences in speed become large.
SERVICE_SLOW_BUCKETS = 0.8
# Five times slower, in buckets of powers of two.
SLOW_SHIFT_BUCKETS = 2.32
LATENCY_SMOOTHING = 0.005
# Bounds of one response's evidence for and against slowness.
MAX_SLOW_SCORE = 5.0
MAX_USUAL_SCORE = 3.0
# A paused target sends all delayed responses when the pause ends, and they are reported within this
# time, whatever the pause's length. Without a bound on their sum, one pause would be enough for a
# suspicion.
BURST_S = 0.25


@dataclass(slots=True, kw_only=True)
class OtherTargets:
    """The other targets of the service, over several periods."""

    tick: Tally
    fast: Tally
    slow: Tally
    long: Tally
    saturated: bool

    def periods(self) -> tuple[Tally, Tally, Tally]:
        """Return the tallies of the last seconds, the last second and the last tick."""
        return self.slow, self.fast, self.tick


class BurstLimit:
    """Bound on the evidence of slowness that one target can gain in :data:`BURST_S`."""

    __slots__ = ("_gains",)

    def __init__(self) -> None:
        self._gains: list[tuple[float, float]] = []

    def apply(
        self, scores: Mapping[Source, tuple[float, float]], age_s: float, limit: float
    ) -> dict[Source, float]:
        """Return one tick's scores by source, reduced to stay within the bound.

        :param scores: score for and score against slowness, by source.
        :param age_s: time on a steady clock.
        :param limit: greatest gain in :data:`BURST_S`.
        """
        slow_total = sum(slow for slow, _ in scores.values())
        net = slow_total + sum(usual for _, usual in scores.values())
        part = 1.0
        if net > 0:
            left = max(0.0, limit - self._gained(age_s))
            counted = min(net, left)
            self._gains.append((age_s, counted))
            part = 1 - (net - counted) / slow_total
        return {key: part * slow + usual for key, (slow, usual) in scores.items()}

    def _gained(self, age_s: float) -> float:
        self._gains = [(at_s, gain) for at_s, gain in self._gains if age_s - at_s < BURST_S]
        return sum(gain for _, gain in self._gains)


def latency_scores(others: OtherTargets, speed_shift: float) -> list[float]:
    """Return the score of a response by latency bucket; positive scores indicate slowness.

    :param speed_shift: the target's usual latency relative to the others, in buckets.
    """
    slow_sum = sum(others.slow.latency)
    if slow_sum < MIN_BASELINE_COUNT:
        return [0.0] * BUCKET_COUNT
    recent = [count / slow_sum for count in others.slow.latency]
    present = _blend(others.fast.latency, recent, PRIOR_COUNT)
    latest = _blend(others.tick.latency, recent, TICK_PRIOR_COUNT)
    slowest = max((recent, present, latest), key=mean_bucket)
    expected = _smoothed(_shifted(slowest, speed_shift))
    worse = _smoothed(_shifted(slowest, speed_shift + SLOW_SHIFT_BUCKETS))
    service_is_slow = mean_bucket(present) - mean_bucket(others.long.latency) > SERVICE_SLOW_BUCKETS
    ceiling = 0.0 if others.saturated or service_is_slow else MAX_SLOW_SCORE
    return [
        max(-MAX_USUAL_SCORE, min(ceiling, log(b / a)))
        for a, b in zip(expected, worse, strict=True)
    ]


def split_score(counts: list[float], scores: list[float]) -> tuple[float, float]:
    """Return the sums of the positive and of the negative scores of responses."""
    slow = usual = 0.0
    for count, score in zip(counts, scores, strict=True):
        if score > 0:
            slow += count * score
        else:
            usual += count * score
    return slow, usual


def _shifted(shares: list[float], shift: float) -> list[float]:
    """Move a distribution over buckets towards slower ones by a fraction of a bucket."""
    whole = floor(shift)
    part = shift - whole
    result = [0.0] * BUCKET_COUNT
    for index, share in enumerate(shares):
        if share:
            lower = max(0, min(BUCKET_COUNT - 1, index + whole))
            upper = max(0, min(BUCKET_COUNT - 1, index + whole + 1))
            result[lower] += share * (1 - part)
            result[upper] += share * part
    return result


def _smoothed(shares: list[float]) -> list[float]:
    rest = LATENCY_SMOOTHING / BUCKET_COUNT
    return [share * (1 - LATENCY_SMOOTHING) + rest for share in shares]


def _blend(counts: list[float], prior: list[float], prior_count: float) -> list[float]:
    """Return the shares of a few counts, smoothed towards a prior distribution."""
    total = sum(counts) + prior_count
    return [
        (count + prior_count * share) / total for count, share in zip(counts, prior, strict=True)
    ]
