"""State of one target at its service's home: free slots, failure probability and cost."""

from collections import deque
from dataclasses import dataclass, field

from ._expected_work import TargetWork
from ._failure_estimator import FailureEstimator
from ._outcomes import FAILURES, Outcome
from ._placement_messages import TargetNotice
from ._service_latency import ServiceLatency
from ._start_time_fair_queue import WaitingRequest
from ._target_limit import TargetLimit
from ._target_notices import PAUSE_MAX_S
from ._work_distribution import WorkDistribution

# Share of a cold target's announced rate that is used, since the target may count its requests in
# windows that begin at other times.
COLD_RATE_SHARE = 0.8
COLD_CONCURRENCY = 2
COLD_WINDOW_S = 1.0
# A home that fewer instances use leaves cold targets to others: at most two homes have more.
COLD_USER_SHARE_MIN = 1 / 3
# Share of the requests at a failing target that get no response, rather than a failure at once.
HANGING_SHARE = 0.4
# A target that served a request which started so much later than one without a response has likely
# recovered since.
RECOVERED_AFTER_S = 1.0
# Weights of the parts of a target's selection cost, in units of failure probability.
LOAD_WEIGHT = 0.15
DISTANCE_WEIGHT = 0.06
LATENCY_WEIGHT = 0.05
# Bounds on what a slow target, and the work left at one, add to its cost.
SLOWNESS_COUNTED_MAX = 4.0
WORK_LOAD_MAX = 2.0
# A target that got no request since it joined is preferred for the next retryable request, and
# after a pause for any request, so that it shares the load.
UNTRIED_PREFERENCE = 0.4
UNTRIED_PAUSE_S = 1.0
# Targets may turn cold without notice, so the cost rises as the request rate nears the rate that a
# cold target can take.
RATE_WEIGHT = 0.15
IDLE_PREFERENCE = 0.05
IDLE_FULL_S = 1.5
# An instance that cannot connect to a target gets no placements there for this long. The target
# itself counts as down only when several instances cannot connect.
UNREACHABLE_PAUSE_S = 4.0
DOWN_REQUESTERS_MIN = 2
SHED_PAUSE_S = 0.25


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementTarget:
    """A target that may take requests.

    :param slot_count: number of requests that it can run at the same time.
    :param cold_until_s: time until which it is cold, 0 when it is warm.
    :param cold_rate_per_s: requests per second that it can take while it is cold.
    :param started_ms: its start time by its own clock, 0 when unknown; distinguishes its runs.
    :param is_listed: whether the latest list of targets has it.
    :param software_version: version of its software, empty when unknown.
    """

    name: str
    address: str
    data_centre: str
    slot_count: int
    cold_until_s: float = 0.0
    cold_rate_per_s: float = 0.0
    started_ms: int = 0
    is_listed: bool = True
    software_version: str = ""


@dataclass(slots=True, kw_only=True)
class PlacedRequest:
    """A request that was placed at a target.

    :param work: distribution of its work, ``None`` while placement ignores it.
    """

    request: WaitingRequest
    target: str
    started_s: float
    work: WorkDistribution | None = None


@dataclass(slots=True, kw_only=True)
class TargetState:
    """A target with its requests in flight and its failure estimator."""

    spec: PlacementTarget
    failure_estimator: FailureEstimator
    joined_s: float
    in_flight: dict[tuple[str, int], PlacedRequest] = field(default_factory=dict)
    _is_untried: bool = True
    _recent_starts: deque[float] = field(default_factory=deque)
    # Time until which an instance gets no placement here, by its name.
    _unreachable_until_s: dict[str, float] = field(default_factory=dict)
    # The same for instances that the target asked for a pause.
    _paused_until_s: dict[str, float] = field(default_factory=dict)
    _limited_s: float = float("-inf")
    _unlimited_s: float = float("-inf")
    _shed_until_s: float = 0.0
    _latest_start_s: float = float("-inf")
    # Latest start of a request that was served.
    _served_start_s: float = float("-inf")
    failed_s: float = float("-inf")
    """Time of the latest request that failed here."""
    user_share: float = 1.0
    """Share of the instances that use this home, and so of the rate that a cold target gets."""
    lent_share: float = 1.0
    """Share of the fleet that lends this home its part of a limit that the target names."""
    limit: TargetLimit | None = None
    is_leaving: bool = False
    """Whether the target says that it takes no new requests."""
    responded_s: float = float("-inf")
    """Time of its latest response."""
    work: TargetWork | None = None
    """Slowness and work left, ``None`` while placement ignores them."""
    slowness_step: int = 0
    """Step of the slowness in the costs of late responses."""

    def _record_unreachable(self, requester: str, now_s: float) -> bool:
        """Record that an instance could not connect.

        :returns: whether so many instances could not connect that the target counts as down.
        """
        self._unreachable_until_s[requester] = now_s + UNREACHABLE_PAUSE_S
        expired = [name for name, until_s in self._unreachable_until_s.items() if until_s <= now_s]
        for name in expired:
            del self._unreachable_until_s[name]
        return len(self._unreachable_until_s) >= DOWN_REQUESTERS_MIN

    def record_notice(
        self, requester: str, notice: TargetNotice, *, sent_s: float, heard_s: float, now_s: float
    ) -> bool:
        """Record what the target asks for in a response.

        :param requester: instance that got the response.
        :param sent_s: time at which its request was sent, or the response was heard if that is
            not known.
        :param heard_s: time at which the instance heard the response.
        :returns: whether the target now takes less, or more again.
        """
        was_leaving, was_limited = self.is_leaving, self.limit is not None
        self.is_leaving |= notice.is_leaving
        if notice.pause_s > 0:
            self._paused_until_s[requester] = now_s + min(PAUSE_MAX_S, notice.pause_s)
        if notice.limit_per_s > 0:
            if heard_s >= self._unlimited_s:
                self._set_limit(notice.limit_per_s, now_s)
        elif self.limit is not None and sent_s >= self._limited_s:
            # The target no longer named its limit to a request that was sent after one that it did.
            self.limit = None
            self._unlimited_s = heard_s
        self.responded_s = max(self.responded_s, heard_s)
        is_limited = self.limit is not None
        return was_leaving != self.is_leaving or was_limited != is_limited or notice.pause_s > 0

    @property
    def limit_per_s(self) -> float:
        """Requests per second that the target takes from the whole fleet, 0 when not limited."""
        return 0.0 if self.limit is None else self.limit.rate_per_s

    def _set_limit(self, limit_per_s: float, now_s: float) -> None:
        self._limited_s = now_s
        if self.limit is None:
            self.limit = TargetLimit(
                rate_per_s=limit_per_s, lent_share=self.lent_share, now_s=now_s
            )
        else:
            self.limit.set_rate(limit_per_s, now_s)

    def set_lent_share(self, lent_share: float, now_s: float) -> None:
        """Set the share of the fleet that lends this home its part of the target's limit."""
        self.lent_share = lent_share
        if self.limit is not None:
            self.limit.set_lent_share(lent_share, now_s)

    def forget_notices(self) -> None:
        """Forget what a former run of the target asked for."""
        self.limit = None
        self.is_leaving = False
        self._paused_until_s.clear()
        self.responded_s = self._limited_s = self._unlimited_s = float("-inf")

    def start(self, placed: PlacedRequest) -> None:
        """Add a placed request."""
        if self.limit is not None:
            self.limit.take(placed.started_s)
        self.in_flight[placed.request.key] = placed
        self._recent_starts.append(placed.started_s)
        self._latest_start_s = placed.started_s
        self._is_untried = False

    def complete(self, key: tuple[str, int]) -> None:
        """Release the slot of a request."""
        self.in_flight.pop(key, None)

    def record_served(self, started_s: float) -> None:
        """Record that a request was served that started at a time."""
        self._served_start_s = max(self._served_start_s, started_s)

    def has_served_since(self, started_s: float) -> bool:
        """Return whether a request was served that started later than a time."""
        return self._served_start_s > started_s

    def observe(
        self, requester: str, outcome: Outcome, latency_s: float, usual_s: float, now_s: float
    ) -> None:
        """Record the outcome of a request that an instance sent to this target."""
        if outcome is Outcome.CONNECT_FAILURE and not self._record_unreachable(requester, now_s):
            return
        if outcome is Outcome.SHED:
            if len(self.in_flight) < self.spec.slot_count:
                # Slots are free by this home's count, so the target sheds because of a fault.
                outcome = Outcome.ERROR
            else:
                self._shed_until_s = now_s + SHED_PAUSE_S
        if outcome in FAILURES:
            self.failed_s = now_s
        self.failure_estimator.observe(outcome, latency_s, usual_s, now_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is cold."""
        return now_s < self.spec.cold_until_s

    def is_reachable(self, requester: str, now_s: float) -> bool:
        """Return whether an instance may get placements here."""
        if not self._unreachable_until_s and not self._paused_until_s:
            return True
        until_s = max(
            self._unreachable_until_s.get(requester, 0.0), self._paused_until_s.get(requester, 0.0)
        )
        return now_s >= until_s

    def is_up(self, requester: str, now_s: float) -> bool:
        """Return whether an instance could connect at its latest try."""
        return self.is_reachable(requester, now_s) and now_s >= self.failure_estimator.down_until_s

    def is_idle(self, for_s: float, now_s: float) -> bool:
        """Return whether the target is up and got no request for longer than ``for_s``."""
        return now_s - self._latest_start_s > for_s and now_s >= self.failure_estimator.down_until_s

    @property
    def latest_start_s(self) -> float:
        """Time of its latest request."""
        return self._latest_start_s

    def request_failure_probability(self, latency: ServiceLatency, now_s: float) -> float:
        """Return the probability that a request sent now fails.

        It adds failed connections, and requests without a response, to what the failure estimator
        says: the longer they take, the more likely the target is failing.

        :param latency: latency of the service.
        """
        if now_s < self.failure_estimator.down_until_s:
            return 1.0
        probability = self.failure_estimator.failure_probability(now_s)
        for placed in self.in_flight.values():
            elapsed_s = now_s - placed.started_s
            recovered_s = placed.started_s + RECOVERED_AFTER_S
            usual = placed.work or latency
            if elapsed_s <= usual.mean_s or self.has_served_since(recovered_s):
                continue
            late_share = usual.late_share(elapsed_s)
            when_failing = probability * (HANGING_SHARE + (1 - HANGING_SHARE) * late_share)
            probability = when_failing / (when_failing + (1 - probability) * late_share)
        return probability

    def has_room(self, now_s: float) -> bool:
        """Return whether the target may get one more request."""
        if now_s < self._shed_until_s or self.is_leaving:
            return False
        if self.limit is not None and not self.limit.has_token(now_s):
            return False
        started_count = self._started_count(now_s)
        if not self.is_cold(now_s):
            return len(self.in_flight) < self.spec.slot_count
        if len(self.in_flight) >= COLD_CONCURRENCY or not self.may_use_cold:
            return False
        if self.spec.cold_rate_per_s <= 0:
            return True
        most = int(COLD_RATE_SHARE * self.spec.cold_rate_per_s)
        return started_count < max(1, round(self.user_share * most))

    def capacity(self, usual_s: float) -> float:
        """Return how many requests the target can run at the same time.

        :param usual_s: mean latency of the service.
        """
        if self.is_leaving:
            return 0.0
        if self.limit is None:
            return self.spec.slot_count
        return min(self.spec.slot_count, usual_s * self.limit.usable_rate_per_s)

    @property
    def may_use_cold(self) -> bool:
        """Whether enough instances use this home for requests to targets while they are cold."""
        return self.user_share > COLD_USER_SHARE_MIN

    @property
    def is_untried(self) -> bool:
        """Whether the target got no request since it joined."""
        return self._is_untried

    def may_try_first(self, request: WaitingRequest, now_s: float) -> bool:
        """Return whether a request may be the target's first one."""
        return request.placement_request.is_retryable or now_s - self.joined_s > UNTRIED_PAUSE_S

    def selection_cost(self, usual_s: float, now_s: float) -> float:
        """Return the part of the cost of choosing the target that no request changes.

        :param usual_s: mean latency of the service.
        """
        spec = self.spec
        work = self.work
        load = len(self.in_flight) / max(1, spec.slot_count)
        if work is None:
            slowness = self.failure_estimator.mean_latency_s / usual_s if usual_s else 0.0
        else:
            work.evaluate(self.in_flight.values(), usual_s, now_s)
            slowness, self.slowness_step = work.slowness, work.slowness_step
            # Requests that are nearly done still hold their slots, and fail with their target.
            left = work.left_s / (max(1, spec.slot_count) * usual_s)
            if left > load:
                load = min(WORK_LOAD_MAX, left)
        cost = LOAD_WEIGHT * load * load + LATENCY_WEIGHT * min(SLOWNESS_COUNTED_MAX, slowness)
        if self.is_cold(now_s):
            cost += LOAD_WEIGHT
        if spec.cold_rate_per_s > 0:
            cost += RATE_WEIGHT * self._started_count(now_s) / spec.cold_rate_per_s
        idle = min(1.0, (now_s - self._latest_start_s) / IDLE_FULL_S)
        return cost - IDLE_PREFERENCE * idle

    def _started_count(self, now_s: float) -> int:
        while self._recent_starts and now_s - self._recent_starts[0] > COLD_WINDOW_S:
            self._recent_starts.popleft()
        return len(self._recent_starts)
