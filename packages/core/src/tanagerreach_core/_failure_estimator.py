"""Estimate of the probability that a target fails its requests now.

Load pattern: targets fail most of their requests for some seconds while their health endpoints
report no fault. A target is modelled as a Markov chain with two states, healthy and failing. Each
outcome updates the probability of the failing state, which relaxes to its long-term share over
time. A request that is not retryable is best sent to the target with the latest success.
"""

import math
from dataclasses import dataclass

from ._outcomes import Outcome

# Transition rates of the chain: targets fail for several seconds at a time, and a quarter of them
# are failing at any time.
FAILING_PER_S = 0.05
RECOVERING_PER_S = 0.15
# A target that refuses connections is usually down for seconds rather than fractions of one.
DOWN_PAUSE_MIN_S = 1.0
DOWN_PAUSE_MAX_S = 4.0
LATENCY_WEIGHT = 0.2
# A target whose mean latency exceeds the service's by this factor counts as failing.
SLOW_RATIO = 3.0
PROBABILITY_MIN = 0.001
PROBABILITY_MAX = 0.999

_LONG_TERM_FAILING_SHARE = FAILING_PER_S / (FAILING_PER_S + RECOVERING_PER_S)
_RELAXATION_PER_S = FAILING_PER_S + RECOVERING_PER_S


@dataclass(slots=True, kw_only=True, frozen=True)
class _Likelihood:
    """Probability of an outcome at a healthy target and at a failing one."""

    when_healthy: float
    when_failing: float


# A healthy target responds to about one request in a hundred with an error that the request itself
# causes, but rarely breaks a connection or leaves a request without a response.
_FAILURE_LIKELIHOOD = _Likelihood(when_healthy=0.01, when_failing=0.8)
_LIKELIHOODS = {
    Outcome.SUCCESS: _Likelihood(when_healthy=0.98, when_failing=0.2),
    Outcome.ERROR: _Likelihood(when_healthy=0.03, when_failing=0.3),
    Outcome.TIMEOUT: _FAILURE_LIKELIHOOD,
    Outcome.BROKEN_BEFORE_HEAD: _FAILURE_LIKELIHOOD,
    Outcome.BROKEN_AFTER_HEAD: _FAILURE_LIKELIHOOD,
}


class FailureEstimator:
    """Failure probability of one target, from the outcomes of its requests."""

    __slots__ = (
        "_down_pause_s",
        "_failure_probability",
        "_updated_s",
        "down_until_s",
        "mean_latency_s",
    )

    def __init__(self, *, now_s: float) -> None:
        self._failure_probability = _LONG_TERM_FAILING_SHARE / 2
        self._updated_s = now_s
        self._down_pause_s = DOWN_PAUSE_MIN_S
        self.down_until_s = 0.0
        self.mean_latency_s = 0.0

    def failure_probability(self, now_s: float) -> float:
        """Return the probability that the target fails most requests now."""
        age_s = max(0.0, now_s - self._updated_s)
        kept = math.exp(-_RELAXATION_PER_S * age_s)
        return (
            _LONG_TERM_FAILING_SHARE + (self._failure_probability - _LONG_TERM_FAILING_SHARE) * kept
        )

    def age_s(self, now_s: float) -> float:
        """Return the time since the latest outcome."""
        return max(0.0, now_s - self._updated_s)

    def adopt(self, failure_probability: float, age_s: float, now_s: float) -> None:
        """Adopt the estimate of another home, unless a later outcome was seen here.

        :param failure_probability: probability that the target fails requests now.
        :param age_s: time since the latest outcome that the other home saw.
        """
        if now_s - age_s > self._updated_s:
            self._failure_probability = min(
                PROBABILITY_MAX, max(PROBABILITY_MIN, failure_probability)
            )
            self._updated_s = now_s

    def observe(self, outcome: Outcome, latency_s: float, usual_s: float, now_s: float) -> None:
        """Update the estimate with the outcome of a request.

        :param latency_s: time until the response, or until the failure was detected.
        :param usual_s: mean latency at the service's targets, 0 when unknown.
        """
        if outcome is Outcome.CONNECT_FAILURE:
            self.down_until_s = now_s + self._down_pause_s
            self._down_pause_s = min(DOWN_PAUSE_MAX_S, 2 * self._down_pause_s)
            return
        likelihood = _LIKELIHOODS.get(outcome)
        if likelihood is None:
            return
        if outcome is Outcome.SUCCESS:
            self._down_pause_s = DOWN_PAUSE_MIN_S
            self._record_latency(latency_s)
            if usual_s > 0 and self.mean_latency_s > SLOW_RATIO * usual_s:
                likelihood = _FAILURE_LIKELIHOOD
        self._update(likelihood, now_s)

    def _record_latency(self, latency_s: float) -> None:
        if not self.mean_latency_s:
            self.mean_latency_s = latency_s
        self.mean_latency_s += LATENCY_WEIGHT * (latency_s - self.mean_latency_s)

    def _update(self, likelihood: _Likelihood, now_s: float) -> None:
        prior = self.failure_probability(now_s)
        failure_probability = prior * likelihood.when_failing
        posterior = failure_probability / (
            failure_probability + (1 - prior) * likelihood.when_healthy
        )
        self._failure_probability = min(PROBABILITY_MAX, max(PROBABILITY_MIN, posterior))
        self._updated_s = now_s
