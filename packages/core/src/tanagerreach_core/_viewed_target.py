"""State of one target as one instance sees it: requests in flight, outcomes and avoidance."""

from dataclasses import dataclass

from ._cold_start import PermitCache
from ._messages import TargetState
from ._outcomes import Outcome

# Pause between single requests to an avoided target, while its home may still lack evidence.
AVOID_INITIAL_S = 0.25
# After this time each pause is twice as long as the one before. Until then requests stay frequent,
# since instances that avoid a target give its home little evidence: with pauses of 1, 2 and 4 s the
# score of an erring target in a small fleet stayed just below the ejection threshold.
AVOID_CONSTANT_FOR_S = 4.0
AVOID_MAX_S = 16.0
# A target is avoided while this many requests have waited this long and it sends no response; a
# single one may only take long.
HUNG_AFTER_S = 1.0
HUNG_REQUEST_COUNT = 2


@dataclass(slots=True, eq=False)
class Pick:
    """A request that was assigned to a target; end it with :meth:`ServiceView.done`.

    ``deadline_s`` is set when the request runs on a permit, and no byte may be sent after it.
    ``waits_since_s`` is ``None`` while the request's body is being sent.
    """

    target: str
    waits_since_s: float | None
    deadline_s: float | None


class ViewedTarget:
    """State of one target at this instance."""

    __slots__ = (
        "announced_cold",
        "announced_draining",
        "responded_at_s",
        "avoid_s",
        "avoid_until_s",
        "avoided_since_s",
        "base_state",
        "cap",
        "counts",
        "ejected_until_s",
        "eligible",
        "failures_in_a_row",
        "home_lacks_verdict",
        "latency",
        "name",
        "open_picks",
        "outstanding",
        "permit_untried",
        "permit_cache",
    )

    def __init__(self, name: str, cap: float) -> None:
        self.name = name
        self.eligible = True
        self.base_state = TargetState.UNKNOWN
        self.ejected_until_s = 0.0
        self.outstanding = 0
        self.cap = cap
        self.open_picks: dict[Pick, None] = {}
        self.permit_cache = PermitCache()
        self.permit_untried = False
        self.responded_at_s = float("-inf")
        self.failures_in_a_row = 0
        self.home_lacks_verdict = False
        self.end_avoidance()
        self.announced_cold = False
        self.announced_draining = False
        self.clear_counts()

    def clear_counts(self) -> None:
        self.counts = [0] * len(Outcome)
        self.latency: list[int] = []

    def end_avoidance(self) -> None:
        self.avoid_s = 0.0
        self.avoid_until_s = 0.0
        self.avoided_since_s: float | None = None

    def avoid(self, now_s: float) -> None:
        """Start a pause after a failed request."""
        if self.avoided_since_s is None:
            self.avoided_since_s = now_s
        if now_s - self.avoided_since_s < AVOID_CONSTANT_FOR_S:
            self.avoid_s = AVOID_INITIAL_S
        else:
            self.avoid_s = min(AVOID_MAX_S, 2 * self.avoid_s)
        self.avoid_until_s = now_s + self.avoid_s

    def record_home_verdict(self, state: TargetState) -> None:
        """End the avoidance of a target when its home no longer has a verdict on it.

        A home without a verdict is new and lacks the earlier evidence, so it needs new outcomes.
        """
        lacks_verdict = state is TargetState.UNKNOWN
        if lacks_verdict and not self.home_lacks_verdict:
            self.end_avoidance()
        self.home_lacks_verdict = lacks_verdict

    def oldest_s(self, now_s: float) -> float:
        """Return the age of the oldest request in flight."""
        for pick in self.open_picks:
            if pick.waits_since_s is not None:
                return now_s - pick.waits_since_s
        return 0.0

    def is_hung(self, now_s: float) -> bool:
        """Return whether two or more requests have waited for long, with no response meanwhile."""
        limit_s = now_s - HUNG_AFTER_S
        if self.outstanding < HUNG_REQUEST_COUNT or self.responded_at_s > limit_s:
            return False
        waiting = 0
        for pick in self.open_picks:
            waiting += pick.waits_since_s is not None and pick.waits_since_s < limit_s
        return waiting >= HUNG_REQUEST_COUNT
