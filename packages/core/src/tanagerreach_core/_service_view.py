"""One instance's view of a service: choice of target, outcomes, reports."""

from collections.abc import Collection, Iterable
from random import Random

from ._drift import DRIFT_MARGIN_RATIO
from ._messages import REPORT_POLL_ID, ServiceReply, ServiceReport, TargetReport, TargetState
from ._outcomes import FAILURES, Outcome
from ._target_choice import LeastOutstandingOfTwo, TargetChooser
from ._viewed_target import Pick, ViewedTarget

REPORT_INTERVAL_S = 0.5
# Interval after a failure or an unusually slow response, and while a permit is wanted or used. With
# 0.2 s for responses four times slower than usual and 0.5 s for others, a target five times slower
# was found 1.3 s later at 4 requests/s per target, in simulation.
URGENT_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 5.0
# Without requests for this long there is nothing to report and little use for verdicts.
IDLE_AFTER_S = 2.0
# The interval doubles up to this while there are only successes at the usual latency.
QUIET_INTERVAL_MAX_S = 5.0
# A response or a request in flight is unusual from this many times the mean latency on, and makes a
# report due earlier.
UNUSUAL_LATENCY_RATIO = 2.0
# With this many responses a report is due after the usual interval. The home compares targets on
# the same traffic, so few successes may be missing when it receives failures.
HELD_RESPONSES_MAX = 8
LATENCY_WEIGHT = 0.02
MAX_OPEN_REPORTS = 16
LATENCY_BUCKET_COUNT = 18
# A view requests permits for this long after its last request.
PERMIT_DEMAND_S = 1.0
AVOID_AFTER_FAILURES = 3
SERVICE_FAILING_RATIO = 0.5
FAILURE_WEIGHT = 0.05
CAP_LIMIT = 64.0


class ServiceView:
    """One instance's view of a service: state of its targets, requests in flight and reports.

    :param service: the service's name.
    :param data_centre: this instance's data centre.
    :param chooser: strategy among the candidates; least outstanding of two by default.
    """

    def __init__(
        self, *, service: str, data_centre: str, chooser: TargetChooser | None = None
    ) -> None:
        self._service = service
        self._data_centre = data_centre
        self._chooser = chooser or LeastOutstandingOfTwo()
        self._targets: dict[str, ViewedTarget] = {}
        self._in_service: list[ViewedTarget] = []
        self._next_request_id = 1
        self._latest_report: tuple[int, float] | None = None
        self._open_reports: dict[int, float] = {}
        self._reported_at_s = float("-inf")
        self._replied = True
        self._failed_since_report = False
        self._slow_since_report = False
        self._unusual_since_report = False
        self._polled = False
        # Nothing is in flight and all targets are warm, so only an event makes a report due before
        # the quiet interval has passed.
        self._waits_for_event = False
        self._held_response_count = 0
        self._held_since_s = 0.0
        self._quiet_interval_s = REPORT_INTERVAL_S
        self._mean_latency_ms = 0.0
        self._latency_count = 0
        self._last_request_s = float("-inf")
        self._pick_failed = False
        self._failure_ratio = 0.0

    def configure(self, targets: Iterable[str], slot_count: int) -> None:
        """Set the eligible targets.

        A target that is no longer eligible gets no new request; requests in flight are still
        reported.

        :param targets: targets that may take requests: neither removed, nor in a data centre that
            is out of service, nor draining.
        :param slot_count: slots of each target, the initial cap on this instance's requests there.
        """
        self._waits_for_event = False
        wanted = dict.fromkeys(targets)
        for name in wanted:
            if name not in self._targets:
                self._targets[name] = ViewedTarget(name, float(max(1, slot_count)))
        for name, target in list(self._targets.items()):
            if name in wanted and not target.eligible:
                # The target may have turned cold meanwhile, so it waits for its home's verdict.
                target.base_state = TargetState.UNKNOWN
            target.eligible = name in wanted
            if not target.eligible and not target.outstanding:
                del self._targets[name]
        self._in_service = [target for target in self._targets.values() if target.eligible]

    def pick(
        self,
        now_s: float,
        random: Random,
        exclude: Collection[str] = (),
        *,
        sends_body: bool = False,
    ) -> Pick | None:
        """Choose a target and count the request there.

        :param exclude: targets the request was already sent to.
        :param sends_body: whether the request has a large body; its latency and its age count from
            :meth:`body_sent`, as the time before says little about the target.
        :returns: the pick, or ``None`` when no target may get the request now.
        """
        self._last_request_s = now_s
        self._waits_for_event = False
        target = self._choose(now_s, random, exclude)
        if target is None:
            self._pick_failed = True
            return None
        deadline_s = None
        if self._state(target, now_s) is TargetState.COLD:
            deadline_s = target.permit_cache.take(now_s)
            target.permit_untried = False
        pick = Pick(target.name, None if sends_body else now_s, deadline_s)
        target.open_picks[pick] = None
        target.outstanding += 1
        return pick

    def may_send(self, pick: Pick, now_s: float) -> bool:
        """Return whether the request may still be sent; check again after every pause."""
        return pick.deadline_s is None or now_s < self.deadline_s(pick)

    def deadline_s(self, pick: Pick) -> float:
        """Return the time by which a request must have ended; permit renewals extend it."""
        if pick.deadline_s is None:
            return float("inf")
        target = self._targets.get(pick.target)
        if target is None or pick not in target.open_picks:
            return pick.deadline_s
        return target.permit_cache.deadline_s(pick.deadline_s)

    def body_sent(self, pick: Pick, now_s: float) -> None:
        """Record that a large body was sent, from when on the request's latency counts."""
        target = self._targets.get(pick.target)
        if target is not None and pick in target.open_picks:
            del target.open_picks[pick]
            pick.waits_since_s = now_s
            target.open_picks[pick] = None

    def done(
        self, pick: Pick, outcome: Outcome, now_s: float, latency_s: float | None = None
    ) -> None:
        """Record how a request ended; a second call for the same pick is ignored.

        :param latency_s: time to the response head; the time since the pick, or since its body
            was sent, by default. Pass it when the response takes long to pass on.
        """
        target = self._targets.get(pick.target)
        if target is None or pick not in target.open_picks:
            return
        self._waits_for_event = False
        del target.open_picks[pick]
        target.outstanding -= 1
        if pick.deadline_s is not None:
            target.permit_cache.release()
        target.counts[outcome] += 1
        if not self._held_response_count:
            self._held_since_s = now_s
        self._held_response_count += 1
        self._unusual_since_report |= outcome is not Outcome.SUCCESS
        if outcome is Outcome.CANCELLED:
            return
        if outcome is Outcome.SUCCESS or outcome is Outcome.ERROR:
            target.responded_at_s = now_s
            if latency_s is None and pick.waits_since_s is not None:
                latency_s = now_s - pick.waits_since_s
            if latency_s is not None:
                self._record_latency(target, latency_s)
        self._adapt_cap(target, outcome)
        self._record_failure(target, outcome in FAILURES, now_s)

    def record_announcement(
        self,
        target: str,
        *,
        cold: bool | None = None,
        draining: bool | None = None,
    ) -> None:
        """Record what a target announces in its responses or at its health endpoint."""
        known = self._targets.get(target)
        if known is None:
            return
        self._waits_for_event = False
        if cold is not None:
            self._failed_since_report |= cold and not known.announced_cold
            known.announced_cold = cold
        if draining is not None:
            known.announced_draining = draining

    def is_draining(self, target: str) -> bool:
        """Return whether the target announced that it is draining."""
        known = self._targets.get(target)
        return known is not None and known.announced_draining

    def due_report(self, now_s: float) -> ServiceReport | None:
        """Return a report when one is due.

        Reports are due each 500 ms, and after 100 ms when there was a failure or an unusually slow
        response, while permits are wanted or used, or when the home polls. The interval grows to
        5 s while there are only a few successes at the usual latency at warm targets. Without
        requests reports are due each 5 s, once the state of every target is known.

        While the latest report has no reply, the next one waits for the longer interval, since a
        newer report would invalidate a slow reply's permits.
        """
        since_s = now_s - self._reported_at_s
        if since_s < URGENT_INTERVAL_S or (
            self._waits_for_event and since_s < self._quiet_interval_s
        ):
            return None
        if since_s < (self._interval_s(now_s) if self._replied else REPORT_INTERVAL_S):
            self._waits_for_event = self._replied and self._has_nothing_running(now_s)
            return None
        return self.build_report(now_s)

    def _has_nothing_running(self, now_s: float) -> bool:
        if self._held_response_count >= HELD_RESPONSES_MAX:
            return False
        if any(target.outstanding for target in self._targets.values()):
            return False
        return self._is_quiet(now_s)

    def build_report(self, now_s: float) -> ServiceReport:
        """Build a report, which surrenders the permits that are not in use."""
        if self._is_quiet(now_s):
            self._quiet_interval_s = min(QUIET_INTERVAL_MAX_S, 2 * self._quiet_interval_s)
        else:
            self._quiet_interval_s = REPORT_INTERVAL_S
        held_s = max(0.0, now_s - self._held_since_s) if self._held_response_count else 0.0
        request_id = self._next_request_id
        self._next_request_id += 1
        self._latest_report = (request_id, now_s)
        self._open_reports[request_id] = now_s
        while len(self._open_reports) > MAX_OPEN_REPORTS:
            del self._open_reports[next(iter(self._open_reports))]
        targets = [
            self._target_report(target, now_s)
            for target in self._targets.values()
            if self._must_report(target, now_s)
        ]
        for target in self._targets.values():
            target.permit_cache.surrender_unused()
            target.clear_counts()
        self._reported_at_s = now_s
        self._replied = False
        self._failed_since_report = False
        self._slow_since_report = False
        self._unusual_since_report = False
        self._polled = False
        self._held_response_count = 0
        self._pick_failed = False
        return ServiceReport(
            request_id=request_id,
            service=self._service,
            data_centre=self._data_centre,
            targets=targets,
            held_ms=int(1000 * held_s),
        )

    def apply(self, reply: ServiceReply, now_s: float) -> bool:
        """Apply a home's reply.

        Terms count from before the report was sent. Permits are taken only from the reply to the
        latest report, as each report surrenders the permits of those before it. An older reply is
        ignored once a newer one was applied.

        :returns: whether the reply was applied.
        """
        self._waits_for_event = False
        if reply.request_id == REPORT_POLL_ID:
            self._polled = True
            return False
        requested_at_s = self._open_reports.get(reply.request_id)
        if requested_at_s is None or reply.service != self._service:
            return False
        for request_id in [key for key in self._open_reports if key <= reply.request_id]:
            del self._open_reports[request_id]
        is_latest = self._latest_report == (reply.request_id, requested_at_s)
        self._replied |= is_latest
        if not reply.is_home:
            return False
        for verdict in reply.verdicts:
            target = self._targets.get(verdict.target)
            if target is None:
                continue
            target.record_home_verdict(verdict.state)
            if verdict.state is TargetState.EJECTED:
                target.ejected_until_s = requested_at_s + verdict.term_s * (1 - DRIFT_MARGIN_RATIO)
            elif verdict.state is not TargetState.UNKNOWN:
                target.ejected_until_s = 0.0
                target.base_state = verdict.state
            if is_latest and verdict.state is TargetState.COLD:
                target.permit_cache.record(verdict.permits, verdict.permit_term_s, requested_at_s)
                target.permit_untried = verdict.permits > target.permit_cache.in_use
        return True

    def state_of(self, target: str, now_s: float) -> TargetState:
        """Return the verdict in force on a target."""
        return self._state(self._targets[target], now_s)

    def outstanding(self, target: str) -> int:
        """Return the number of this instance's requests in flight at a target."""
        known = self._targets.get(target)
        return known.outstanding if known else 0

    def avoided(self, now_s: float) -> list[str]:
        """Return the targets that this instance avoids because of its own outcomes."""
        return [target.name for target in self._in_service if self._is_avoided(target, now_s)]

    @staticmethod
    def _state(target: ViewedTarget, now_s: float) -> TargetState:
        if target.ejected_until_s > now_s:
            return TargetState.EJECTED
        return target.base_state

    def _choose(
        self, now_s: float, random: Random, exclude: Collection[str]
    ) -> ViewedTarget | None:
        candidates = []
        avoided = []
        for target in self._in_service:
            if target.ejected_until_s > now_s or target.name in exclude:
                continue
            if target.base_state is TargetState.WARM:
                if target.outstanding >= int(target.cap):
                    continue
            elif target.base_state is not TargetState.COLD or not target.permit_cache.free(now_s):
                continue
            elif target.permit_untried:
                return target
            if self._is_avoided(target, now_s):
                avoided.append(target)
            else:
                candidates.append(target)
        candidates = self._without_avoided(candidates, avoided)
        if not candidates:
            return None
        return candidates[self._chooser.choose(candidates, random)]

    def _without_avoided(
        self, candidates: list[ViewedTarget], avoided: list[ViewedTarget]
    ) -> list[ViewedTarget]:
        """Ignore avoidance when it affects most targets, as single links are not the fault then."""
        if len(avoided) > len(candidates):
            return candidates + avoided
        return candidates

    def _is_avoided(self, target: ViewedTarget, now_s: float) -> bool:
        if target.avoid_until_s > now_s:
            return True
        if target.failures_in_a_row >= AVOID_AFTER_FAILURES:
            # After the pause a single request tries the target again.
            return target.outstanding > 0
        return target.is_hung(now_s)

    def _record_latency(self, target: ViewedTarget, latency_s: float) -> None:
        latency_ms = 1000 * latency_s
        index = min(LATENCY_BUCKET_COUNT - 1, max(0, int(latency_ms)).bit_length())
        latency = target.latency
        while len(latency) <= index:
            latency.append(0)
        latency[index] += 1
        mean_ms = self._mean_latency_ms
        is_slow = latency_ms > UNUSUAL_LATENCY_RATIO * mean_ms
        self._unusual_since_report |= is_slow
        self._slow_since_report |= is_slow and mean_ms > 0
        # A plain mean at first: with a moving average from zero, hundreds of responses would look
        # slow.
        self._latency_count += 1
        weight = max(LATENCY_WEIGHT, 1 / self._latency_count)
        self._mean_latency_ms = mean_ms + weight * (latency_ms - mean_ms)

    @staticmethod
    def _adapt_cap(target: ViewedTarget, outcome: Outcome) -> None:
        """Raise the cap by one per round of successes at the cap, and halve it after a shed."""
        if outcome is Outcome.SHED:
            target.cap = max(1.0, min(target.cap, target.outstanding + 1) / 2)
        elif outcome is Outcome.SUCCESS and target.outstanding + 1 >= int(target.cap):
            target.cap = min(CAP_LIMIT, target.cap + 1 / target.cap)

    def _record_failure(self, target: ViewedTarget, failed: bool, now_s: float) -> None:
        self._failure_ratio += FAILURE_WEIGHT * (failed - self._failure_ratio)
        if not failed:
            target.failures_in_a_row = 0
            target.end_avoidance()
            return
        self._failed_since_report = True
        target.failures_in_a_row += 1
        if target.failures_in_a_row < AVOID_AFTER_FAILURES:
            return
        if self._failure_ratio < SERVICE_FAILING_RATIO and target.avoid_until_s <= now_s:
            target.avoid(now_s)

    def _wants_permits(self, now_s: float) -> bool:
        return now_s - self._last_request_s <= PERMIT_DEMAND_S

    def _interval_s(self, now_s: float) -> float:
        if self._is_urgent(now_s):
            return URGENT_INTERVAL_S
        if self._is_idle(now_s):
            return IDLE_INTERVAL_S
        holds_few = self._held_response_count < HELD_RESPONSES_MAX
        return self._quiet_interval_s if holds_few and self._is_quiet(now_s) else REPORT_INTERVAL_S

    def _is_quiet(self, now_s: float) -> bool:
        """Return whether a report would hold nothing but successes at the usual latency."""
        if self._failed_since_report or self._slow_since_report or self._unusual_since_report:
            return False
        if self._pick_failed:
            return False
        usual_s = UNUSUAL_LATENCY_RATIO * self._mean_latency_ms / 1000
        return not any(
            self._state(target, now_s) is not TargetState.WARM
            or target.announced_cold
            or target.announced_draining
            or target.oldest_s(now_s) > usual_s
            for target in self._targets.values()
        )

    def _is_idle(self, now_s: float) -> bool:
        if now_s - self._last_request_s < IDLE_AFTER_S:
            return False
        return not any(
            target.outstanding or self._state(target, now_s) is TargetState.UNKNOWN
            for target in self._targets.values()
        )

    def _is_urgent(self, now_s: float) -> bool:
        if self._failed_since_report or self._slow_since_report or self._polled:
            return True
        return any(
            target.base_state is TargetState.COLD
            and (self._pick_failed or target.permit_cache.in_use or target.permit_cache.free(now_s))
            for target in self._targets.values()
        )

    def _must_report(self, target: ViewedTarget, now_s: float) -> bool:
        """Return whether a report must include the target.

        A report leaves out only targets that are warm by the instance's known state and have no
        traffic; the home relies on this when it leaves verdicts out.
        """
        if any(target.counts) or target.outstanding:
            return True
        if target.announced_cold or target.announced_draining:
            return True
        return self._state(target, now_s) is not TargetState.WARM

    def _target_report(self, target: ViewedTarget, now_s: float) -> TargetReport:
        counts = target.counts
        broken = counts[Outcome.BROKEN_BEFORE_HEAD] + counts[Outcome.BROKEN_AFTER_HEAD]
        state = self._state(target, now_s)
        wanted = 0
        if state is TargetState.COLD and target.eligible and self._wants_permits(now_s):
            in_flight = sum(other.outstanding for other in self._in_service)
            wanted = 1 + in_flight // max(1, len(self._in_service))
        return TargetReport(
            target=target.name,
            success_count=counts[Outcome.SUCCESS],
            error_count=counts[Outcome.ERROR] + broken,
            timeout_count=counts[Outcome.TIMEOUT],
            shed_count=counts[Outcome.SHED],
            connect_failure_count=counts[Outcome.CONNECT_FAILURE],
            latency_counts=target.latency,
            in_flight_count=target.outstanding,
            oldest_in_flight_s=target.oldest_s(now_s),
            announced_cold=target.announced_cold,
            announced_draining=target.announced_draining,
            known_state=state,
            permits_wanted=wanted,
            permits_in_use=target.permit_cache.in_use,
        )
