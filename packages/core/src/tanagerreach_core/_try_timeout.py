"""Adaptive timeout of one try, for requests that may be retried."""

# A shorter wait would say nothing about the target.
MIN_TIMEOUT_S = 0.25
# A try timeout is at least this share of the service's timeout, as some requests take much longer
# than most.
TIMEOUT_SHARE = 0.1
# A try has a timeout only if at least as much time remains for the next one.
REMAINING_SHARE = 0.5
MEAN_WEIGHT = 1 / 32
DEVIATION_WEIGHT = 1 / 16
DEVIATIONS = 4.0
# About 1 in 1,000 requests of a mix of short and long ones exceeds four times the sum of the mean
# and four mean deviations, see test_try_timeout.
LATENCY_FACTOR = 4.0
BACKOFF_LIMIT = 1024.0


class TryTimeout:
    """Timeout for the response head of a try, from the usual latency of one service.

    Each try that reaches the timeout doubles it, and each response halves it again down to its
    usual value. One hanging target among healthy ones hardly changes it. When the service is slow
    as a whole, the timeout soon exceeds the time that requests have, and tries have no timeout.
    """

    __slots__ = ("_backoff", "_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._backoff = 1.0

    def record_response(self, head_s: float) -> None:
        """Record the time until a response head arrived."""
        self._backoff = max(1.0, self._backoff / 2)
        if self._mean_s is None:
            self._mean_s = head_s
            self._deviation_s = head_s / 2
            return
        error_s = head_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    def record_timeout(self) -> None:
        """Record that a try reached its timeout."""
        self._backoff = min(BACKOFF_LIMIT, 2 * self._backoff)

    def limit_s(self, *, timeout_s: float, remaining_s: float) -> float | None:
        """Return the timeout of a try that starts now, or ``None`` for no timeout.

        :param timeout_s: timeout of the route or service.
        :param remaining_s: time until the request's deadline.
        """
        if self._mean_s is None:
            return None
        usual_s = LATENCY_FACTOR * (self._mean_s + DEVIATIONS * self._deviation_s)
        limit_s = self._backoff * max(MIN_TIMEOUT_S, TIMEOUT_SHARE * timeout_s, usual_s)
        return limit_s if limit_s <= REMAINING_SHARE * remaining_s else None
