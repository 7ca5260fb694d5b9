"""Placement of a service's requests at its home: grants, the queue and refusals.

Load pattern: nearly all targets of a service are busy, some of them fail most of their requests,
and most requests are not retryable. The home sees all requests of the service, hence the free
slots and the latest outcomes of all targets. It gives no target more requests than it has slots,
prefers the targets with the latest successes, and queues a request for a healthy target while the
request's latency objective allows that. It refuses at once what cannot be served in time: when
more requests arrive than the healthy targets can run, a queue that is as long as the deadlines
makes every response late.
"""

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from ._class_load import ClassLoad
from ._crash_streaks import CrashStreaks
from ._expected_work import NO_LATE_COSTS, ExpectedWork, TargetWork, late_costs
from ._failure_estimator import FailureEstimator
from ._outcomes import FAILURES, NOT_STARTED, Outcome
from ._placement_messages import (
    FailureDigest,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    RefusalCause,
    TargetNotice,
)
from ._placement_preview import PlacementPreview, candidates
from ._recent_results import RecentResults
from ._recovery_probes import RecoveryProbes
from ._refused_requests import RefusedRequests
from ._rollout import RolloutFacts
from ._service_latency import ServiceLatency
from ._service_versions import ServiceVersions
from ._start_time_fair_queue import StartTimeFairQueue, WaitingRequest
from ._target_ranking import HEALTHY_FAILURE_PROBABILITY_MAX, TargetRanking
from ._target_state import PlacedRequest, PlacementTarget, TargetState
from ._target_use import (
    HEALTHY_UNSERVED_SHARE_MAX,
    IdleTargetPlan,
    IdleTargetUse,
    idle_target_use,
)
from ._work_distribution import WorkDistribution

MS_PER_S = 1000.0
PERCENT = 100
# A target that is likely healthy gets a request without waiting. The bound on its failure
# probability rises while the request waits, to 1 for retryable requests.
NON_RETRYABLE_FAILURE_PROBABILITY_MAX = 0.7
# Longest expected wait with which a request is queued, as a share of the time that it can wait and
# still be served within its latency objective. A longer queue makes every request late and serves
# no more of them.
WAIT_SHARE_MAX = 0.6
# The same while only targets that are likely to fail have free slots: they may be healthy.
LIKELY_FAILING_WAIT_SHARE_MAX = 1.5
# A queued request is refused when less than this share of the usual latency is left.
MIN_CLASS_TIME_SHARE = 1 / 4
# Time that a request needs to probe a target, as a multiple of the usual latency: for a try that
# fails, a retry, and the wait for its placement.
PROBE_CLASS_TIMES = 3
# When more requests fail, they need the retries that probes would use.
PROBE_FAILED_SHARE_MAX = 0.1
# A placement without a completion is released this long after its request's deadline.
LOST_COMPLETION_GRACE_S = 0.5
LOST_COMPLETION_CHECK_INTERVAL_S = 0.25
RETRY_AFTER_MIN_S = 0.2
FINISHED_REPLIES_MAX = 512
DIGEST_STREAKS_MAX = 32
# Another home's notices count unless the target responded here within this time, the interval of
# two digests.
NOTICE_ADOPTION_S = 0.8
NO_RESPONSE_AGE_MS = -1


@dataclass(slots=True, kw_only=True)
class PlacementEvent:
    """A change of a target's failure probability, for the log."""

    target: str
    outcome: Outcome
    failing_before: float
    failing_after: float


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementLoad:
    """State of a service at its home, for the log.

    :param unserved_share: share of the recent requests that were not served, from 0 to 1.
    :param failed_share: share of the recent requests that failed at targets, from 0 to 1.
    :param overdue_count: queued requests that came back too late for their latency objective.
    :param awaited_count: refused requests that may come back.
    """

    waiting_count: int
    overdue_count: int
    awaited_count: int
    in_flight_count: int
    unserved_share: float
    failed_share: float
    idle_target_use: IdleTargetUse


Decision = tuple[WaitingRequest, PlacementReply]


class ServicePlacement:
    """Targets and queued requests of one service at its home.

    :param floor_share: share of the targets that has to be in use while many requests are not
        served, from 0 to 1.
    :param crashes: requests that may crash targets, by default none that other homes know.
    :param versions: versions of the targets, ``None`` when they are not distinguished.
    """

    __slots__ = (
        "_class_load",
        "_crashes",
        "_finished_replies",
        "_floor_share",
        "_idle_plan",
        "_latency",
        "_lent_share",
        "_user_share",
        "_queued_keys",
        "_probes",
        "_ranking",
        "_refused",
        "_queue",
        "_placed",
        "_lost_checked_at_s",
        "_results",
        "_slot_count",
        "_targets",
        "_work",
        "_used_targets",
        "_versions",
    )

    def __init__(
        self,
        *,
        floor_share: float,
        crashes: CrashStreaks | None = None,
        versions: ServiceVersions | None = None,
    ) -> None:
        self._floor_share = floor_share
        self._crashes = CrashStreaks() if crashes is None else crashes
        self._queue = StartTimeFairQueue()
        self._targets: dict[str, TargetState] = {}
        self._versions = versions
        # Targets that get requests; those of another version get none, or a small share.
        self._used_targets = self._targets
        self._placed: dict[tuple[str, int], PlacedRequest] = {}
        self._queued_keys: set[tuple[str, int]] = set()
        self._ranking = TargetRanking()
        self._idle_plan: IdleTargetPlan | None = None
        # Replies by key: an instance sends its request again when a datagram was lost.
        self._finished_replies: dict[tuple[str, int], PlacementReply] = {}
        self._results = RecentResults()
        self._slot_count = 0
        self._user_share = 1.0
        self._lent_share = 1.0
        self._lost_checked_at_s = float("-inf")
        self._latency = ServiceLatency()
        # Expected work of requests, while they are placed by it.
        self._work: ExpectedWork | None = None
        self._class_load = ClassLoad()
        self._refused = RefusedRequests()
        self._probes = RecoveryProbes()

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def has_pending_decisions(self) -> bool:
        """Whether a call of :meth:`dispatch` may return decisions."""
        return len(self._queue) > 0

    @property
    def service_time_s(self) -> float:
        """Mean latency of successful requests."""
        return self._latency.mean_s

    @property
    def in_flight_count(self) -> int:
        """Number of placed requests without a completion."""
        return len(self._placed)

    def load(self, now_s: float) -> PlacementLoad:
        """Return the service's present load."""
        return PlacementLoad(
            waiting_count=len(self._queue),
            overdue_count=sum(request.is_overdue for request in self._queue),
            awaited_count=self._refused.awaited_count,
            in_flight_count=len(self._placed),
            unserved_share=self._results.unserved_share(now_s),
            failed_share=self._results.failed_share(now_s),
            idle_target_use=idle_target_use(self._results, len(self._placed), now_s),
        )

    def configure(self, targets: Iterable[PlacementTarget], now_s: float) -> None:
        """Set the targets that may take new requests."""
        wanted = {target.name: target for target in targets}
        for name, spec in wanted.items():
            known = self._targets.get(name)
            if known is None or known.spec.address != spec.address:
                self._targets[name] = TargetState(
                    spec=spec,
                    failure_estimator=FailureEstimator(now_s=now_s),
                    joined_s=now_s,
                    user_share=self._user_share,
                    lent_share=self._lent_share,
                    work=None if self._work is None else TargetWork(now_s=now_s),
                )
            else:
                if known.spec.started_ms != spec.started_ms:
                    known.forget_notices()
                known.spec = spec
        for name in set(self._targets) - set(wanted):
            del self._targets[name]
        self.select_versions()

    def select_versions(self) -> None:
        """Use the targets of the versions that may get requests now."""
        if self._versions is not None:
            self._used_targets = self._versions.select(self._targets)
        self._ranking.set_targets(self._used_targets)
        self._idle_plan = None
        self._slot_count = sum(state.spec.slot_count for state in self._used_targets.values())

    def rollout_facts(self, now_s: float) -> RolloutFacts | None:
        """Return the state of the service for its roll-out, ``None`` without versions."""
        if self._versions is None:
            return None
        return self._versions.facts(
            self._targets, user_share=self._user_share, lent_share=self._lent_share, now_s=now_s
        )

    def set_places_by_cost(self, places_by_cost: bool, now_s: float) -> None:
        """Set whether the expected work of requests decides, rather than their number."""
        if places_by_cost == (self._work is not None):
            return
        self._work = ExpectedWork(latency=self._latency, now_s=now_s) if places_by_cost else None
        for state in self._targets.values():
            state.work = TargetWork(now_s=now_s) if places_by_cost else None
        for placed in self._placed.values():
            placed.work = self._work_of(placed.request.placement_request, now_s)
        self._ranking.invalidate()

    def set_user_share(self, user_share: float) -> None:
        """Set the share of the instances that use this home, from 0 to 1."""
        if user_share == self._user_share:
            return
        self._user_share = user_share
        for state in self._targets.values():
            state.user_share = user_share
        self._ranking.invalidate()

    def set_lent_share(self, lent_share: float, now_s: float) -> None:
        """Set the share of the fleet that lends this home its part of targets' limits."""
        if lent_share == self._lent_share:
            return
        self._lent_share = lent_share
        for state in self._targets.values():
            state.set_lent_share(lent_share, now_s)

    def place(
        self, key: tuple[str, int], placement_request: PlacementRequest, now_s: float
    ) -> PlacementReply:
        """Place, queue or refuse a request.

        Requests that are already queued stay queued: no target that they would use has room.
        """
        known = self._known_reply(key)
        if known is not None:
            return known
        placement_request = self._with_tried_targets(key[0], placement_request, now_s)
        request = _waiting_request(key, placement_request, now_s)
        self._restore_objective(request, now_s)
        self._probes.record_request()
        refusal = self._refusal(request, now_s)
        if refusal is not None:
            if not placement_request.is_in_flight:
                self.record_refusal(now_s)
            return self._finish(request, refusal, now_s)
        self._release_lost(now_s)
        self._add(request)
        reply = self._try_place(request, now_s)
        if reply is not None:
            self._remove(request, is_served=reply.state is PlacementState.GRANTED)
            return self._finish(request, reply, now_s)
        return PlacementReply(call_id=placement_request.call_id, state=PlacementState.QUEUED)

    def _with_tried_targets(
        self, requester: str, placement_request: PlacementRequest, now_s: float
    ) -> PlacementRequest:
        """Let a request go again to the targets that it was sent to, when others have no room."""
        if not placement_request.tried:
            return placement_request
        if self._capacity_left(requester, placement_request, now_s) >= 1:
            return placement_request
        again = {
            name
            for name in placement_request.tried
            if name in self._used_targets and self._used_targets[name].is_up(requester, now_s)
        }
        excluded = [name for name in placement_request.excluded if name not in again]
        return msgspec.structs.replace(placement_request, excluded=excluded)

    def _capacity_left(
        self, requester: str, placement_request: PlacementRequest, now_s: float
    ) -> float:
        """Return how many requests the targets that a request may go to are likely to serve."""
        self._ranking.evaluate(self._latency, now_s)
        return sum(
            state.capacity(self.service_time_s) * (1 - self._ranking.failure_probability(name))
            for name, state in self._used_targets.items()
            if self._is_eligible(state, placement_request, now_s) and state.is_up(requester, now_s)
        )

    def _has_target(self, placement_request: PlacementRequest, now_s: float) -> bool:
        return any(
            self._is_eligible(state, placement_request, now_s)
            for state in self._used_targets.values()
        )

    def _restore_objective(self, request: WaitingRequest, now_s: float) -> None:
        """Restore the latency objective of a request whose caller comes back."""
        placement_request = request.placement_request
        if placement_request.is_in_flight:
            return
        objective_s = self._refused.take_objective_s(placement_request.fingerprint)
        if objective_s is not None and objective_s < request.objective_s:
            request.objective_s = objective_s
            request.is_overdue = objective_s < now_s + self._class_time_s(placement_request)

    def record_refusal(self, now_s: float) -> None:
        """Count a refused request."""
        self._results.add_refused(now_s)

    def withdraw(self, key: tuple[str, int]) -> None:
        """Remove a queued request whose caller disconnected."""
        if key not in self._queued_keys:
            return
        for request in self._queue:
            if request.key == key:
                self._remove(request, is_served=False)

    def complete(
        self,
        key: tuple[str, int],
        outcome: Outcome,
        latency_s: float,
        fingerprint: bytes,
        now_s: float,
    ) -> PlacementEvent | None:
        """Record the completion of a placed request; a second one for the same key is ignored."""
        placed = self._placed.pop(key, None)
        if placed is None:
            return None
        self._crashes.observe(fingerprint, key, outcome, now_s)
        if self._versions is not None:
            self._versions.record_result(key, outcome, latency_s, now_s)
        self._record_result(placed.request.placement_request, outcome, now_s)
        if outcome in NOT_STARTED:
            self._record_refused(placed.request, now_s)
        state = self._targets.get(placed.target)
        if state is None:
            return None
        state.complete(key)
        before = state.failure_estimator.failure_probability(now_s)
        if outcome is Outcome.SUCCESS:
            state.record_served(placed.started_s)
        # A timeout that is shorter than a healthy target may need says nothing about the target,
        # and one of a request that started before others were served says nothing new.
        is_conclusive = latency_s >= self._latency.try_timeout_s and not state.has_served_since(
            placed.started_s
        )
        if outcome is not Outcome.TIMEOUT or is_conclusive:
            compared_s = latency_s
            if placed.work is not None:
                compared_s *= self._latency.mean_s / placed.work.mean_s
            state.observe(key[0], outcome, compared_s, self.service_time_s, now_s)
        if outcome is Outcome.SUCCESS:
            self._record_work(placed, state, latency_s, now_s)
        self._ranking.update(state, self._latency, now_s)
        if outcome is Outcome.SUCCESS:
            self._class_load.record_served(
                placed.request.rank, latency_s, self.service_time_s, now_s
            )
            self._latency.record(latency_s)
            return None
        return PlacementEvent(
            target=placed.target,
            outcome=outcome,
            failing_before=before,
            failing_after=state.failure_estimator.failure_probability(now_s),
        )

    def _work_of(
        self, placement_request: PlacementRequest, now_s: float
    ) -> WorkDistribution | None:
        if self._work is None:
            return None
        return self._work.of(placement_request.work_class, placement_request.path_shape, now_s)

    def _record_work(
        self, placed: PlacedRequest, state: TargetState, latency_s: float, now_s: float
    ) -> None:
        """Record the latency of a request that got its response."""
        if state.work is None or placed.work is None:
            return
        state.work.record(placed.work.mean_s, latency_s, self._latency.mean_s, now_s)
        placed.work.record(latency_s, now_s)

    def record_notice(
        self, key: tuple[str, int], target: str, notice: TargetNotice, age_s: float, now_s: float
    ) -> bool:
        """Record what a target asks for in its response to a placed request.

        It has to be recorded before the request's completion.

        :param age_s: time since the instance heard the response.
        :returns: whether this changes what the target gets.
        """
        state = self._targets.get(target)
        if state is None:
            return False
        placed = self._placed.get(key)
        heard_s = now_s - age_s
        sent_s = heard_s if placed is None or age_s else placed.started_s
        is_changed = state.record_notice(
            key[0], notice, sent_s=sent_s, heard_s=heard_s, now_s=now_s
        )
        if is_changed:
            self._ranking.update(state, self._latency, now_s)
        return is_changed

    def _record_result(
        self, placement_request: PlacementRequest, outcome: Outcome, now_s: float
    ) -> None:
        """Count a request as served or not, unless its instance may retry it."""
        if outcome is Outcome.CANCELLED or awaits_retry(placement_request, outcome):
            return
        self._results.add_placed(now_s, is_failed=_is_failure(outcome))

    def digest(self, service: str, now_s: float) -> FailureDigest:
        """Return the targets' failure probabilities, for the home that may take over.

        The targets that are most likely to fail come first. A large digest has to be divided with
        :func:`digest_parts`.
        """
        estimates = sorted(
            (
                -round(state.request_failure_probability(self._latency, now_s), 3),
                int(MS_PER_S * state.failure_estimator.age_s(now_s)),
                name,
            )
            for name, state in self._targets.items()
        )
        return FailureDigest(
            service=service,
            service_time_ms=int(MS_PER_S * self.service_time_s),
            failure_probabilities={
                name: (-negative, age_ms) for negative, age_ms, name in estimates
            },
            crash_streaks=self._crashes.latest(DIGEST_STREAKS_MAX, now_s),
            limits_per_s=dict(self._limits()),
            leaving=list(self._leaving()),
        )

    def _limits(self) -> Iterator[tuple[str, float]]:
        for name, state in self._targets.items():
            if state.limit is not None:
                yield name, state.limit_per_s

    def _leaving(self) -> Iterator[str]:
        return (name for name, state in self._targets.items() if state.is_leaving)

    def adopt(self, digest: FailureDigest, now_s: float) -> None:
        """Adopt the former home's estimates of targets that have no newer outcome here."""
        for name, (failure_probability, age_ms) in digest.failure_probabilities.items():
            state = self._targets.get(name)
            if state is not None:
                state.failure_estimator.adopt(failure_probability, age_ms / MS_PER_S, now_s)
        self._adopt_notices(digest, now_s)
        self._ranking.invalidate()
        self._crashes.adopt(digest.crash_streaks, now_s)
        if not self._placed:
            self._latency.adopt(digest.service_time_ms / MS_PER_S)
            if self._work is not None:
                self._work.adopt_mean(now_s)

    def _adopt_notices(self, digest: FailureDigest, now_s: float) -> None:
        """Adopt the notices of targets that have sent no response here."""
        for name in digest.limits_per_s.keys() | digest.leaving:
            state = self._targets.get(name)
            if state is not None and state.responded_s < now_s - NOTICE_ADOPTION_S:
                notice = TargetNotice(
                    limit_per_s=digest.limits_per_s.get(name, 0.0),
                    is_leaving=name in digest.leaving,
                )
                state.record_notice("", notice, sent_s=now_s, heard_s=now_s, now_s=now_s)

    def dispatch(self, now_s: float, *, most: int | None = None) -> list[Decision]:
        """Place or refuse queued requests; the caller sends the replies to their instances.

        :param most: number of queued requests to consider, in their order; by default all.
        """
        self._release_lost(now_s)
        decisions: list[Decision] = []
        for request in itertools.islice(self._queue, most):
            reply = self._try_place(request, now_s)
            if reply is None:
                continue
            self._remove(request, is_served=reply.state is PlacementState.GRANTED)
            decisions.append((request, self._finish(request, reply, now_s)))
        return decisions

    def preview(
        self, requester: str, placement_request: PlacementRequest, now_s: float
    ) -> PlacementPreview:
        """Return what would be decided on a request, without placing it."""
        key = (requester, placement_request.call_id)
        request = _waiting_request(key, placement_request, now_s)
        self._ranking.evaluate(self._latency, now_s)
        refusal = self._refusal(request, now_s)
        highest = self._failure_probability_limit(request, now_s)
        chosen = None if refusal is not None else self._best(request, highest, now_s)
        work = self._work_of(placement_request, now_s)
        return PlacementPreview(
            service=placement_request.service,
            home="",
            home_address="",
            is_decided_here=True,
            target="" if chosen is None else chosen.spec.name,
            refused_by="" if refusal is None else refusal.cause.name.lower(),
            expected_work_ms=0 if work is None else int(MS_PER_S * work.mean_s),
            queued_count=len(self._queue),
            candidates=candidates(
                self._used_targets.values(),
                self._ranking,
                requester=requester,
                highest_failure_probability=highest,
                now_s=now_s,
            ),
        )

    # Queueing and refusing

    def _class_time_s(self, placement_request: PlacementRequest) -> float:
        """Return the mean latency of successful requests like this one."""
        return self._class_load.mean_s(placement_request.urgency, self.service_time_s)

    def _add(self, request: WaitingRequest) -> None:
        self._queue.add(request)
        self._queued_keys.add(request.key)

    def _remove(self, request: WaitingRequest, *, is_served: bool) -> None:
        self._queue.remove(request, is_served=is_served)
        self._queued_keys.discard(request.key)

    def _known_reply(self, key: tuple[str, int]) -> PlacementReply | None:
        if key in self._finished_replies:
            return self._finished_replies[key]
        if key in self._queued_keys:
            return PlacementReply(call_id=key[1], state=PlacementState.QUEUED)
        return None

    def _refusal(self, request: WaitingRequest, now_s: float) -> PlacementReply | None:
        """Return the refusal of a request that cannot be served in time, else ``None``."""
        placement_request = request.placement_request
        if self._crashes.is_refused(placement_request.fingerprint, now_s):
            return self._refuse(placement_request, RefusalCause.CRASH_REQUEST)
        if not self._has_target(placement_request, now_s):
            return self._refuse(placement_request, RefusalCause.NO_TARGET, RETRY_AFTER_MIN_S)
        wait_s = self._expected_wait_s(request, now_s)
        class_time_s = self._class_time_s(placement_request)
        if now_s + wait_s + class_time_s > request.deadline_s:
            cause = RefusalCause.NO_ROOM if wait_s else RefusalCause.DEADLINE
            return self._refuse(placement_request, cause, wait_s)
        due_s = request.deadline_s if request.is_overdue else request.objective_s
        spare_s = max(0.0, due_s - now_s - class_time_s)
        is_long = wait_s > WAIT_SHARE_MAX * spare_s
        # Whether a target has room is counted only for a request that would wait long without it.
        if is_long and (
            wait_s > LIKELY_FAILING_WAIT_SHARE_MAX * spare_s or self._usable_slot_count(now_s) <= 0
        ):
            return self._refuse(placement_request, RefusalCause.NO_ROOM, wait_s)
        return None

    def _refuse(
        self, placement_request: PlacementRequest, cause: RefusalCause, retry_after_s: float = 0.0
    ) -> PlacementReply:
        return PlacementReply(
            call_id=placement_request.call_id,
            state=PlacementState.REFUSED,
            cause=cause,
            retry_after_ms=int(MS_PER_S * max(retry_after_s, RETRY_AFTER_MIN_S)),
            waiting_count=len(self._queue),
            free_slot_count=self._free_slot_count(),
        )

    def _free_slot_count(self) -> int:
        return max(0, self._slot_count - len(self._placed))

    def _usable_slot_count(self, now_s: float) -> int:
        """Return the number of free slots without those that targets take no requests for."""
        unusable = sum(
            max(0, state.spec.slot_count - len(state.in_flight))
            for state in self._used_targets.values()
            if (state.limit is not None or state.is_leaving) and not state.has_room(now_s)
        )
        return self._free_slot_count() - unusable

    def _expected_wait_s(self, request: WaitingRequest, now_s: float) -> float:
        ahead = self._queue.ahead_of(request)
        if not ahead:
            return 0.0
        self._ranking.evaluate(self._latency, now_s)
        capacity = self._ranking.capacity
        share = self._class_load.share_left(request.rank, capacity, now_s)
        return self._work_s(ahead) / max(1.0, share * capacity)

    def _work_s(self, requests: list[WaitingRequest]) -> float:
        """Return the time for which requests are expected to use slots."""
        if not self._class_load.is_mixed:
            return len(requests) * self.service_time_s
        return sum(self._class_time_s(request.placement_request) for request in requests)

    def _try_place(self, request: WaitingRequest, now_s: float) -> PlacementReply | None:
        placement_request = request.placement_request
        class_time_s = self._class_time_s(placement_request)
        if now_s + MIN_CLASS_TIME_SHARE * class_time_s > request.deadline_s:
            return self._refuse(placement_request, RefusalCause.NO_ROOM, class_time_s)
        state = self._choose(request, now_s)
        if state is None:
            return None
        placed = PlacedRequest(
            request=request,
            target=state.spec.name,
            started_s=now_s,
            work=self._work_of(placement_request, now_s),
        )
        self._placed[request.key] = placed
        failure_probability = self._failure_probability(state, now_s)
        state.start(placed)
        work_left_s = 0.0 if state.work is None else state.work.left_s
        if self._versions is not None:
            self._versions.record_sent(request, state, now_s)
        self._ranking.update(state, self._latency, now_s)
        return PlacementReply(
            call_id=placement_request.call_id,
            state=PlacementState.GRANTED,
            target=state.spec.name,
            address=state.spec.address,
            data_centre=state.spec.data_centre,
            try_timeout_ms=int(MS_PER_S * self._latency.try_timeout_s),
            service=placement_request.service,
            failure_percent=round(PERCENT * failure_probability),
            waiting_count=len(self._queue) - 1,
            free_slot_count=self._free_slot_count(),
            response_age_ms=_age_ms(state.responded_s, now_s),
            started_ms=state.spec.started_ms,
            is_listed=state.spec.is_listed,
            expected_work_ms=0 if placed.work is None else int(MS_PER_S * placed.work.mean_s),
            work_left_ms=int(MS_PER_S * work_left_s),
        )

    def _finish(
        self, request: WaitingRequest, reply: PlacementReply, now_s: float
    ) -> PlacementReply:
        if reply.state is PlacementState.REFUSED:
            self._record_refused(request, now_s)
        self._finished_replies[request.key] = reply
        if len(self._finished_replies) > FINISHED_REPLIES_MAX:
            del self._finished_replies[next(iter(self._finished_replies))]
        return reply

    def _record_refused(self, request: WaitingRequest, now_s: float) -> None:
        placement_request = request.placement_request
        if not placement_request.is_in_flight:
            self._refused.record(
                placement_request.fingerprint,
                objective_s=request.objective_s,
                deadline_s=request.deadline_s,
                now_s=now_s,
            )

    def _release_lost(self, now_s: float) -> None:
        """Free the slots of requests whose completion was never reported."""
        if now_s - self._lost_checked_at_s < LOST_COMPLETION_CHECK_INTERVAL_S:
            return
        self._lost_checked_at_s = now_s
        for key, placed in list(self._placed.items()):
            if now_s <= placed.request.deadline_s + LOST_COMPLETION_GRACE_S:
                continue
            del self._placed[key]
            if self._versions is not None:
                self._versions.forget(key)
            state = self._targets.get(placed.target)
            if state is not None:
                state.complete(key)
                self._ranking.update(state, self._latency, now_s)

    # Choice of the target

    def _failure_probability(self, state: TargetState, now_s: float) -> float:
        if state.spec.name in self._used_targets:
            return self._ranking.failure_probability(state.spec.name)
        return state.request_failure_probability(self._latency, now_s)

    def _choose(self, request: WaitingRequest, now_s: float) -> TargetState | None:
        if self._versions is None:
            return self._choose_used(request, now_s)
        is_spread = self._results.unserved_share(now_s) > HEALTHY_UNSERVED_SHARE_MAX
        return (
            self._versions.choose_minor(request, self._may_use, now_s, is_spread=is_spread)
            or self._choose_used(request, now_s)
            or self._versions.choose_overflow(request, self._may_use, now_s)
        )

    def _choose_used(self, request: WaitingRequest, now_s: float) -> TargetState | None:
        is_evaluated = self._ranking.evaluate(self._latency, now_s)
        if not self._ranking:
            return None
        if self._results.unserved_share(now_s) <= HEALTHY_UNSERVED_SHARE_MAX:
            self._idle_plan = None
        elif not request.placement_request.is_in_flight:
            if is_evaluated or self._idle_plan is None:
                self._idle_plan = self._plan_idle_targets(now_s)
                self._find_probed_targets(now_s)
            probed = self._take_probed_target(request, now_s)
            if probed is not None:
                return probed
            idle = self._idle_plan.take(
                lambda state: self._may_use(state, request, now_s),
                is_retryable=request.placement_request.is_retryable,
                now_s=now_s,
            )
            if idle is not None:
                return idle
        return self._best(request, self._failure_probability_limit(request, now_s), now_s)

    def _best(self, request: WaitingRequest, highest: float, now_s: float) -> TargetState | None:
        """Return the target that costs least, with a failure probability up to the highest."""
        if not self._ranking.has_slow:
            return self._ranking.best(request, highest, now_s)
        work = self._work_of(request.placement_request, now_s)
        costs = NO_LATE_COSTS if work is None else late_costs(work, request.objective_s - now_s)
        return self._ranking.best(request, highest, now_s, costs)

    def _find_probed_targets(self, now_s: float) -> None:
        self._probes.evaluate(
            self._used_targets.values(),
            lambda state: self._ranking.failure_probability(state.spec.name),
            now_s,
        )

    def _take_probed_target(self, request: WaitingRequest, now_s: float) -> TargetState | None:
        """Take a target to probe for a request that loses little where it fails."""
        placement_request = request.placement_request
        if not placement_request.is_retryable or placement_request.excluded:
            return None
        if self._results.failed_share(now_s) > PROBE_FAILED_SHARE_MAX:
            return None
        needed_s = PROBE_CLASS_TIMES * self._class_time_s(placement_request)
        if now_s + needed_s > min(request.objective_s, request.deadline_s):
            return None
        return self._probes.take(lambda state: self._may_use(state, request, now_s), now_s)

    def _plan_idle_targets(self, now_s: float) -> IdleTargetPlan:
        return IdleTargetPlan(
            self._used_targets.values(),
            use=idle_target_use(self._results, len(self._placed), now_s),
            failure_probability=lambda state: self._ranking.failure_probability(state.spec.name),
            floor_share=self._floor_share,
            now_s=now_s,
        )

    @staticmethod
    def _is_eligible(state: TargetState, placement_request: PlacementRequest, now_s: float) -> bool:
        """Return whether a request may be sent to a target, once it has room.

        The instances that decide alone, and homes that few instances use, would exceed a cold
        target's rate together; the former also a limit that a target names.
        """
        if state.spec.name in placement_request.excluded or state.is_leaving:
            return False
        if placement_request.is_decided_alone:
            return state.limit is None and not state.is_cold(now_s)
        return state.may_use_cold or not state.is_cold(now_s)

    @staticmethod
    def _may_use(state: TargetState, request: WaitingRequest, now_s: float) -> bool:
        return (
            state.has_room(now_s)
            and ServicePlacement._is_eligible(state, request.placement_request, now_s)
            and state.is_reachable(request.key[0], now_s)
        )

    def _failure_probability_limit(self, request: WaitingRequest, now_s: float) -> float:
        """Return the highest failure probability to accept, which rises as the request waits.

        A request that a target is working on is not given up for a target that likely fails.
        """
        if request.placement_request.is_in_flight:
            return HEALTHY_FAILURE_PROBABILITY_MAX
        class_time_s = self._class_time_s(request.placement_request)
        latest_s = min(request.objective_s, request.deadline_s) - 2 * class_time_s
        spare_s = latest_s - request.arrived_s
        # Waiting helps only if a target that is likely healthy is merely busy.
        if spare_s <= 0 or not self._ranking.has_healthy(request.placement_request.excluded):
            return 1.0
        waited = (now_s - request.arrived_s) / spare_s
        highest = (
            1.0 if request.placement_request.is_retryable else NON_RETRYABLE_FAILURE_PROBABILITY_MAX
        )
        return min(
            highest,
            HEALTHY_FAILURE_PROBABILITY_MAX + (1 - HEALTHY_FAILURE_PROBABILITY_MAX) * waited,
        )


def _waiting_request(
    key: tuple[str, int], placement_request: PlacementRequest, now_s: float
) -> WaitingRequest:
    return WaitingRequest(
        key=key,
        placement_request=placement_request,
        arrived_s=now_s,
        deadline_s=now_s + placement_request.remaining_ms / MS_PER_S,
        objective_s=now_s + placement_request.objective_ms / MS_PER_S,
    )


def _age_ms(since_s: float, now_s: float) -> int:
    return NO_RESPONSE_AGE_MS if since_s == float("-inf") else int(MS_PER_S * (now_s - since_s))


def _is_failure(outcome: Outcome) -> bool:
    return outcome in FAILURES or outcome is Outcome.SHED


def awaits_retry(placement_request: PlacementRequest, outcome: Outcome) -> bool:
    """Return whether a home counts a failed request only after its retry.

    An instance that does not retry such a request has to report it as not served.
    """
    return (
        _is_failure(outcome)
        and not placement_request.is_retry
        and may_retry(outcome, is_retryable=placement_request.is_retryable)
    )


def may_retry(outcome: Outcome, *, is_retryable: bool) -> bool:
    """Return whether a request may be sent again after a try with this outcome."""
    return outcome in NOT_STARTED or (is_retryable and outcome is not Outcome.CANCELLED)
