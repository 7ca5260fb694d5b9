"""Requests to targets that may have recovered from a failure.

Load pattern: some requests are not served, and targets fail most of theirs for some seconds each,
at their own times, and recover without notice. A home that waits until a target's failure
probability has decayed leaves it idle for three to seven seconds, and the others carry its load. A
request that may be retried and has time for it loses some milliseconds at a target that still
fails, so a small share of these goes to idle targets early, and others follow where one was served.
"""

from collections.abc import Callable, Iterable

from ._target_ranking import HEALTHY_FAILURE_PROBABILITY_MAX
from ._target_state import TargetState

# A target that got no request for this long may have recovered.
PROBED_IDLE_S = 1.5
# Share of a service's requests that probe. Those that fail are retried, and that has to leave most
# of a retry budget of a fifth to other failures.
PROBE_SHARE = 0.1
PROBE_CREDIT_MAX = 4.0


class RecoveryProbes:
    """Idle targets that retryable requests are to try."""

    __slots__ = ("_credit", "_idle")

    def __init__(self) -> None:
        self._credit = 0.0
        # Those that were idle for longest come last.
        self._idle: list[TargetState] = []

    def evaluate(
        self,
        targets: Iterable[TargetState],
        failure_probability: Callable[[TargetState], float],
        now_s: float,
    ) -> None:
        """Find the idle targets that are likely failing by their last outcome."""
        self._idle = sorted(
            (
                state
                for state in targets
                if state.is_idle(PROBED_IDLE_S, now_s)
                and failure_probability(state) > HEALTHY_FAILURE_PROBABILITY_MAX
            ),
            key=lambda state: -state.latest_start_s,
        )

    def record_request(self) -> None:
        """Count a request of the service."""
        self._credit = min(PROBE_CREDIT_MAX, self._credit + PROBE_SHARE)

    def take(self, may_use: Callable[[TargetState], bool], now_s: float) -> TargetState | None:
        """Take the target that was idle for longest.

        :param may_use: returns whether a target has room for the request and may get it.
        :returns: ``None`` when there is none, or enough requests probe.
        """
        if self._credit < 1:
            return None
        for number in range(len(self._idle) - 1, -1, -1):
            state = self._idle[number]
            if state.is_idle(PROBED_IDLE_S, now_s) and may_use(state):
                del self._idle[number]
                self._credit -= 1
                return state
        return None
