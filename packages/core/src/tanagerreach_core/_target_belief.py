"""Belief about one target that is sound and failing by turns.

Load pattern: targets fail most of their requests for some seconds while their health endpoint
says that they are well. A target is modelled as a Markov chain with two states. Each outcome moves
the probability that it is failing now, and time moves it back to the long-term share. A request
that must not be repeated is best sent where a success was seen last.
"""

import math

from ._outcomes import Outcome

# Rates of the chain and likelihoods: shapes of the gray failures in the deployments' sheets
# (periods of a few seconds in which most requests fail); not fitted to any of them.
FAILING_PER_S = 0.1
RECOVERING_PER_S = 0.33
FAILS_WHEN_SOUND = 0.02
FAILS_WHEN_FAILING = 0.8
# A target whose connections cannot be opened is down for seconds rather than parts of one.
DOWN_PAUSE_MIN_S = 1.0
DOWN_PAUSE_MAX_S = 4.0
LATENCY_WEIGHT = 0.2
# Answers this much slower than those of the other targets count against a target.
SLOW_RATIO = 3.0
PROBABILITY_MIN = 0.001
PROBABILITY_MAX = 0.999

_LONG_TERM = FAILING_PER_S / (FAILING_PER_S + RECOVERING_PER_S)
_RELAXING_PER_S = FAILING_PER_S + RECOVERING_PER_S

_FAILED = frozenset(
    {
        Outcome.ERROR,
        Outcome.TIMEOUT,
        Outcome.BROKEN_BEFORE_HEAD,
        Outcome.BROKEN_AFTER_HEAD,
    }
)


class TargetBelief:
    """What the outcomes of requests say of a target at present."""

    __slots__ = ("_down_pause_s", "_failing", "_updated_s", "down_until_s", "mean_latency_s")

    def __init__(self, *, now_s: float) -> None:
        self._failing = _LONG_TERM / 2
        self._updated_s = now_s
        self._down_pause_s = DOWN_PAUSE_MIN_S
        self.down_until_s = 0.0
        self.mean_latency_s = 0.0

    def failing(self, now_s: float) -> float:
        """Return the probability that the target fails most requests now."""
        age_s = max(0.0, now_s - self._updated_s)
        kept = math.exp(-_RELAXING_PER_S * age_s)
        return _LONG_TERM + (self._failing - _LONG_TERM) * kept

    def age_s(self, now_s: float) -> float:
        """Return the time since the latest outcome."""
        return max(0.0, now_s - self._updated_s)

    def adopt(self, failing: float, age_s: float, now_s: float) -> None:
        """Take over what another home believes, unless an outcome was seen here since.

        :param failing: probability that the target fails requests now.
        :param age_s: time since the latest outcome that the other home saw.
        """
        if now_s - age_s > self._updated_s:
            self._failing = min(PROBABILITY_MAX, max(PROBABILITY_MIN, failing))
            self._updated_s = now_s

    def observe(self, outcome: Outcome, latency_s: float, usual_s: float, now_s: float) -> None:
        """Take in how a request ended.

        :param latency_s: time until the answer, or until the failure was noticed.
        :param usual_s: usual latency at the service's targets, 0 when unknown.
        """
        if outcome is Outcome.CONNECT_FAILURE:
            self.down_until_s = now_s + self._down_pause_s
            self._down_pause_s = min(DOWN_PAUSE_MAX_S, 2 * self._down_pause_s)
            return
        if outcome in (Outcome.CANCELLED, Outcome.SHED):
            return
        if outcome is Outcome.SUCCESS:
            self._down_pause_s = DOWN_PAUSE_MIN_S
            self._note_latency(latency_s)
        failed = outcome in _FAILED
        self._update(failed, now_s)
        if not failed and usual_s > 0 and self.mean_latency_s > SLOW_RATIO * usual_s:
            self._update(True, now_s)

    def _note_latency(self, latency_s: float) -> None:
        if not self.mean_latency_s:
            self.mean_latency_s = latency_s
        self.mean_latency_s += LATENCY_WEIGHT * (latency_s - self.mean_latency_s)

    def _update(self, failed: bool, now_s: float) -> None:
        prior = self.failing(now_s)
        if failed:
            when_failing, when_sound = FAILS_WHEN_FAILING, FAILS_WHEN_SOUND
        else:
            when_failing, when_sound = 1 - FAILS_WHEN_FAILING, 1 - FAILS_WHEN_SOUND
        evidence = prior * when_failing + (1 - prior) * when_sound
        posterior = prior * when_failing / evidence
        self._failing = min(PROBABILITY_MAX, max(PROBABILITY_MIN, posterior))
        self._updated_s = now_s
