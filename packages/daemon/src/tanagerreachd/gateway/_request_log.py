"""Log lines and metrics of requests, with separate rate limits for served and failed ones."""

from typing import Any

from tanagerreach_core.placement import LateTryObstacle
from tanagerreach_core.traffic import Outcome

from .. import _clock
from .._lingering_close import ClosedConnection
from .._logs import InstanceLog
from .._metrics import Metrics
from .._refusals import RefusalError
from .._upstream_errors import UpstreamError

# Lines for served requests; lines beyond either limit are only counted.
SERVED_LINES_PER_S = 10.0
FAILED_LINES_PER_S = 100.0
MS_PER_S = 1000.0


class _LineBudget:
    __slots__ = ("_level", "_rate_per_s", "_updated_s", "dropped_count")

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._level = rate_per_s
        self._updated_s = _clock.now_s()
        self.dropped_count = 0

    def take(self) -> bool:
        now_s = _clock.now_s()
        refill = (now_s - self._updated_s) * self._rate_per_s
        self._level = min(self._rate_per_s, self._level + refill)
        self._updated_s = now_s
        if self._level < 1:
            self.dropped_count += 1
            return False
        self._level -= 1
        return True


def placement_inputs(placement: Any) -> dict[str, Any]:
    """Return the inputs of a home's placement decision, as log fields."""
    reply = placement.reply
    return {
        "placed_by": "" if placement.home is None else placement.home.name,
        "decided_alone": placement.decided_alone,
        "placement_ms": int(1000 * placement.waited_s),
        "doubt_percent": reply.failure_percent,
        "waiting_count": reply.waiting_count,
        "free_slot_count": reply.free_slot_count,
        "list_age_ms": reply.list_age_ms,
        **({} if reply.is_listed else {"is_listed": False}),
        **_work_inputs(reply),
    }


def _work_inputs(reply: Any) -> dict[str, Any]:
    """Return what a home knew of the work, nothing when requests are placed by their number."""
    if not reply.expected_work_ms:
        return {}
    return {"expected_work_ms": reply.expected_work_ms, "work_left_ms": reply.work_left_ms}


class RequestLog:
    """Logs and counts responses, refusals and tries."""

    def __init__(self, *, log: InstanceLog, metrics: Metrics) -> None:
        self._log = log
        self._served = _LineBudget(SERVED_LINES_PER_S)
        self._failed = _LineBudget(FAILED_LINES_PER_S)
        self._responses = metrics.counter(
            "tanagerreach_answers_total",
            "Answers of targets passed on",
            ("service", "status"),
        )
        self._refusals = metrics.counter(
            "tanagerreach_refusals_total",
            "Requests without an answer",
            ("reason", "status"),
        )
        self._not_sent = metrics.counter(
            "tanagerreach_responses_not_sent_total",
            "Responses of targets that did not reach their callers as a whole",
            ("service", "reason"),
        )
        self._tries = metrics.counter(
            "tanagerreach_tries_total", "Tries at targets", ("service", "outcome")
        )
        self._latency = metrics.latency(
            "tanagerreach_request_seconds", "Time from a request to its answer", ("service",)
        )
        self._late_tries = metrics.counter(
            "tanagerreach_late_tries_total",
            "Tries without a response within the usual time, replaced or why they go on",
            ("service", "reason"),
        )
        self._placements = metrics.counter(
            "tanagerreach_placements_total",
            "Decisions of homes, or of this instance when no home replied",
            ("service", "decided_by"),
        )
        self._placement_latency = metrics.latency(
            "tanagerreach_placement_seconds", "Time until a decision", ("service",)
        )
        self._expected_work = metrics.latency(
            "tanagerreach_expected_work_seconds",
            "Time that a target is expected to take for a request, when it was placed",
            ("service",),
        )
        self._work_left = metrics.latency(
            "tanagerreach_work_left_seconds",
            "Work left at the chosen target, when a request was placed",
            ("service",),
        )
        self._closed = metrics.counter(
            "tanagerreach_callers_closed_total", "Closed connections of callers", ("cause",)
        )
        self._discarded = metrics.counter(
            "tanagerreach_requests_discarded_total",
            "Requests that arrived on connections that were closing, and were not handled",
            ("cause",),
        )
        metrics.gauge(
            "tanagerreach_log_lines_dropped",
            "Log lines of requests that were not written",
            lambda: self._served.dropped_count + self._failed.dropped_count,
        )

    def head_refused(self, status: str, reason: str) -> None:
        """Log a request that was refused before its head was accepted."""
        if self._failed.take():
            self._log.info("request refused", status=status, reason=reason)

    def connection_closed(self, closed: ClosedConnection, id_header: str) -> None:
        """Record a closed connection, and the requests that arrived on it too late.

        :param id_header: name of the header with a request's identifier.
        """
        cause = closed.cause.value
        self._closed.add(1, cause)
        for request in closed.discarded.requests(id_header):
            self._discarded.add(1, cause)
            if self._failed.take():
                self._log.info(
                    "request discarded",
                    request_id=request.request_id,
                    cause=cause,
                    is_whole=request.is_whole,
                    is_read=closed.discarded.is_read,
                    discarded_bytes=closed.discarded.size_bytes,
                    after_close_ms=int(1000 * closed.discarded.first_after_s),
                )

    def failure(self, error: BaseException) -> None:
        """Log an unexpected exception."""
        if self._failed.take():
            self._log.failure(error)

    def placement_decided(self, service: str, placement: Any) -> None:
        """Count a decision on a request's placement."""
        decided_by = "alone" if placement.decided_alone else "home"
        self._placements.add(1, service, decided_by)
        self._placement_latency.record(placement.waited_s, service)
        reply = placement.reply
        if reply.expected_work_ms:
            self._expected_work.record(reply.expected_work_ms / MS_PER_S, service)
            self._work_left.record(reply.work_left_ms / MS_PER_S, service)

    def try_ended(
        self,
        request: Any,
        placement: Any,
        outcome: Outcome,
        took_s: float,
        failure: UpstreamError | None,
    ) -> None:
        """Record the outcome of one try at a target."""
        self._tries.add(1, request.service_name, outcome.name.lower())
        if outcome is Outcome.SUCCESS or not self._failed.take():
            return
        self._log.info(
            "try failed",
            request_id=request.request_id,
            service=request.service_name,
            target=placement.reply.target,
            **placement_inputs(placement),
            outcome=outcome.name.lower(),
            reason="" if failure is None else failure.detail,
            took_ms=int(1000 * took_s),
            try_number=len(request.tries),
        )

    def try_late(
        self,
        request: Any,
        late: Any,
        obstacle: LateTryObstacle | None,
        replacement: Any,
        inputs: dict[str, Any],
    ) -> None:
        """Record whether a try that is late goes on, or is replaced by one at another target.

        :param inputs: values that led to the refusal of a replacement.
        """
        reason = "replaced" if obstacle is None else obstacle.value
        self._late_tries.add(1, request.service_name, reason)
        if not self._failed.take():
            return
        fields = {
            "service": request.service_name,
            "target": late.reply.target,
            "try_timeout_ms": late.reply.try_timeout_ms,
            "reason": reason,
            "replacement": "" if replacement is None else replacement.placement.reply.target,
            "took_ms": int(1000 * (_clock.now_s() - request.arrived_s)),
        }
        self._log.info("try late", request_id=request.request_id, **{**inputs, **fields})

    def search_failed(self, error: BaseException) -> None:
        """Record an unexpected failure of the search for a replacement of a late try."""
        self._log.failure(error)

    def placement_returned(self, request: Any, placement: Any, notice: Any) -> None:
        """Record a placement at a target that asked this instance for fewer requests."""
        if not self._failed.take():
            return
        self._log.info(
            "placement returned",
            request_id=request.request_id,
            service=request.service_name,
            target=placement.reply.target,
            **placement_inputs(placement),
            limit_per_s=notice.limit_per_s,
            is_leaving=notice.is_leaving,
            pause_s=round(notice.pause_s, 2),
        )

    def header_ignored(self, request: Any, placement: Any, header: str) -> None:
        """Record a response header whose value is not valid."""
        if self._failed.take():
            self._log.warning(
                "header ignored",
                request_id=request.request_id,
                target=placement.reply.target,
                header=header,
            )

    def response_sent(self, request: Any, placement: Any, status: int, now_s: float) -> None:
        """Record a response that is passed on to the caller."""
        took_s = now_s - request.arrived_s
        self._responses.add(1, request.service_name, str(status))
        self._latency.record(took_s, request.service_name)
        if not self._served.take():
            return
        self._log.info(
            "request answered",
            request_id=request.request_id,
            route=request.match.route.name,
            workspace=request.workspace_name,
            service=request.service_name,
            target=request.tries[-1].target,
            status=status,
            took_ms=int(1000 * took_s),
            try_count=len(request.tries),
            **placement_inputs(placement),
            revision=request.environ["tanagerreach.revision"],
        )

    def stream_ended(self, request: Any, status: int, outcome: Outcome) -> None:
        """Record a response that was passed on in parts, unless it ended as a whole."""
        if outcome is Outcome.SUCCESS or not self._failed.take():
            return
        self._log.info(
            "response ended early",
            request_id=request.request_id,
            service=request.service_name,
            target=request.tries[-1].target,
            status=status,
            outcome=outcome.name.lower(),
            took_ms=int(1000 * (_clock.now_s() - request.arrived_s)),
        )

    def response_not_sent(self, request: Any, status: int, broken_by: str) -> None:
        """Record a target's response of which the caller did not get all.

        :param broken_by: identifier of the request whose response broke the connection, empty when
            the connection failed.
        """
        self._not_sent.add(1, request.service_name, "broken" if broken_by else "failed")
        if not self._failed.take():
            return
        self._log.info(
            "response not sent",
            request_id=request.request_id,
            service=request.service_name,
            target=request.tries[-1].target,
            status=status,
            broken_by=broken_by,
            took_ms=int(1000 * (_clock.now_s() - request.arrived_s)),
        )

    def refused(self, refusal: RefusalError, request_id: str, took_s: float) -> None:
        """Record a request that ends with a refusal instead of a target's response."""
        self._refusals.add(1, refusal.kind, str(refusal.status.value))
        if self._failed.take():
            self._log.info(
                "request refused",
                request_id=request_id,
                status=refusal.status.value,
                reason=refusal.kind,
                executed=refusal.executed.value,
                retry_after_s=refusal.retry_after_s,
                took_ms=int(1000 * took_s),
                **refusal.inputs,
            )

    def caller_disconnected(self, request_id: str, took_s: float, *, broken_by: str = "") -> None:
        """Record a request that was cancelled, as its connection ended.

        :param broken_by: identifier of an earlier request whose response broke the connection,
            empty when the caller closed it.
        """
        self._refusals.add(1, "connection-broken" if broken_by else "caller-gone", "0")
        if self._failed.take():
            self._log.info(
                "connection broken" if broken_by else "caller disconnected",
                request_id=request_id,
                took_ms=int(1000 * took_s),
                **({"broken_by": broken_by} if broken_by else {}),
            )
