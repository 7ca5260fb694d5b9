"""What a service's home knows of one target: its room, and what speaks against it."""

from collections import deque
from dataclasses import dataclass, field

from ._failure_estimator import FailureEstimator
from ._outcomes import FAILURES, Outcome
from ._start_time_fair_queue import WaitingRequest

# Share of a cold target's announced rate that is used, since its own window may lie elsewhere.
COLD_RATE_SHARE = 0.8
COLD_CONCURRENCY = 2
COLD_WINDOW_S = 1.0
# A request in flight for this many times the usual latency speaks against its target.
OVERDUE_RATIO = 4.0
OVERDUE_MIN_S = 0.5
OVERDUE_FAILURE_PROBABILITY = 0.5
# Weights of what makes one target less preferable than another, against the probability that it
# fails the request.
LOAD_WEIGHT = 0.15
DISTANCE_WEIGHT = 0.06
LATENCY_WEIGHT = 0.05
# A target that was not tried since it joined takes the next repeatable request, and after a while
# any request, so that it shares the load.
UNTRIED_PREFERENCE = 0.4
UNTRIED_PAUSE_S = 1.0
# Targets may turn cold without notice, so a rate near what a cold one bears is spread.
RATE_WEIGHT = 0.15
IDLE_PREFERENCE = 0.05
IDLE_FULL_S = 1.5
# An instance that cannot connect to a target is not sent there for a while. Only when several
# instances cannot, the target itself is taken to be down.
UNREACHABLE_PAUSE_S = 4.0
DOWN_REQUESTERS_MIN = 2
SHED_PAUSE_S = 0.25


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementTarget:
    """A target that may take requests.

    :param slot_count: requests that it runs at the same time.
    :param cold_until_s: time until which it is cold, 0 when it is warm.
    :param cold_rate_per_s: requests per second that it bears while it is cold.
    """

    name: str
    address: str
    data_centre: str
    slot_count: int
    cold_until_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class PlacedRequest:
    """A request that has a place at a target."""

    request: WaitingRequest
    target: str
    started_s: float


@dataclass(slots=True, kw_only=True)
class TargetState:
    """A target with its requests, and its failure estimator."""

    spec: PlacementTarget
    failure_estimator: FailureEstimator
    joined_s: float
    in_flight: dict[tuple[str, int], PlacedRequest] = field(default_factory=dict)
    _is_untried: bool = True
    _recent_starts: deque[float] = field(default_factory=deque)
    # Time until which an instance is not sent here, by its name.
    _unreachable_until_s: dict[str, float] = field(default_factory=dict)
    _shed_until_s: float = 0.0
    _latest_start_s: float = float("-inf")
    failed_s: float = float("-inf")
    """Time of the latest request that failed here."""

    def _record_unreachable(self, requester: str, now_s: float) -> bool:
        """Note that an instance could not connect.

        :returns: whether so many could not that the target seems to be down.
        """
        self._unreachable_until_s[requester] = now_s + UNREACHABLE_PAUSE_S
        expired = [name for name, until_s in self._unreachable_until_s.items() if until_s <= now_s]
        for name in expired:
            del self._unreachable_until_s[name]
        return len(self._unreachable_until_s) >= DOWN_REQUESTERS_MIN

    def start(self, placed: PlacedRequest) -> None:
        """Take a request."""
        self.in_flight[placed.request.key] = placed
        self._recent_starts.append(placed.started_s)
        self._latest_start_s = placed.started_s
        self._is_untried = False

    def end(self, key: tuple[str, int]) -> None:
        """Give a request's slot back."""
        self.in_flight.pop(key, None)

    def observe(
        self, requester: str, outcome: Outcome, latency_s: float, usual_s: float, now_s: float
    ) -> None:
        """Take in how a request ended that an instance sent here."""
        if outcome is Outcome.CONNECT_FAILURE and not self._record_unreachable(requester, now_s):
            return
        if outcome is Outcome.SHED:
            if len(self.in_flight) < self.spec.slot_count:
                # With slots free by this home's count, it sheds for a fault of its own.
                outcome = Outcome.ERROR
            else:
                self._shed_until_s = now_s + SHED_PAUSE_S
        if outcome in FAILURES:
            self.failed_s = now_s
        self.failure_estimator.observe(outcome, latency_s, usual_s, now_s)

    def is_reachable(self, requester: str, now_s: float) -> bool:
        """Tell whether an instance may be sent here."""
        return now_s >= self._unreachable_until_s.get(requester, 0.0)

    def is_idle(self, for_s: float, now_s: float) -> bool:
        """Tell whether it is up and got no request for some time."""
        return now_s - self._latest_start_s > for_s and now_s >= self.failure_estimator.down_until_s

    @property
    def latest_start_s(self) -> float:
        """Time of its latest request."""
        return self._latest_start_s

    def request_failure_probability(self, usual_s: float, now_s: float) -> float:
        """Return how likely it fails a request now.

        :param usual_s: usual latency of the service.
        """
        if now_s < self.failure_estimator.down_until_s:
            return 1.0
        request_failure_probability = self.failure_estimator.failure_probability(now_s)
        overdue_s = max(OVERDUE_MIN_S, OVERDUE_RATIO * usual_s)
        if any(now_s - placed.started_s > overdue_s for placed in self.in_flight.values()):
            request_failure_probability += OVERDUE_FAILURE_PROBABILITY
        return min(1.0, request_failure_probability)

    def has_room(self, now_s: float) -> bool:
        """Tell whether it may take one more request."""
        if now_s < self._shed_until_s:
            return False
        started_count = self._started_count(now_s)
        if now_s >= self.spec.cold_until_s:
            return len(self.in_flight) < self.spec.slot_count
        if len(self.in_flight) >= COLD_CONCURRENCY:
            return False
        if self.spec.cold_rate_per_s <= 0:
            return True
        return started_count < max(1, int(COLD_RATE_SHARE * self.spec.cold_rate_per_s))

    def selection_cost(self, request: WaitingRequest, usual_s: float, now_s: float) -> float:
        """Return what speaks against it besides the doubt about it."""
        spec = self.spec
        load = len(self.in_flight) / max(1, spec.slot_count)
        selection_cost = LOAD_WEIGHT * load * load
        if spec.data_centre != request.placement_request.data_centre:
            selection_cost += DISTANCE_WEIGHT
        if self.failure_estimator.mean_latency_s and usual_s:
            selection_cost += LATENCY_WEIGHT * min(
                4.0, self.failure_estimator.mean_latency_s / usual_s
            )
        if now_s < spec.cold_until_s:
            selection_cost += LOAD_WEIGHT
        if spec.cold_rate_per_s > 0:
            selection_cost += RATE_WEIGHT * self._started_count(now_s) / spec.cold_rate_per_s
        may_try = request.placement_request.is_retryable or now_s - self.joined_s > UNTRIED_PAUSE_S
        if self._is_untried and may_try:
            selection_cost -= UNTRIED_PREFERENCE
        idle = min(1.0, (now_s - self._latest_start_s) / IDLE_FULL_S)
        return selection_cost - IDLE_PREFERENCE * idle

    def _started_count(self, now_s: float) -> int:
        while self._recent_starts and now_s - self._recent_starts[0] > COLD_WINDOW_S:
            self._recent_starts.popleft()
        return len(self._recent_starts)
