"""Sends a request to the targets of its service, with retries."""

from collections.abc import Callable, Iterator
from typing import Any

from tanagerreach_core.config import Resolver, Target
from tanagerreach_core.traffic import (
    FULL_COST,
    Attempt,
    CrashRequestRegistry,
    Outcome,
    Pick,
    QueueRefusal,
    RetryDecision,
    Try,
    decide,
)

from ._caller_body import CallerBodyError, body_refusal
from ._proxy_metrics import ProxyMetrics
from ._proxy_refusals import deadline_passed, no_target, queue_refusal, upstream_refusal
from ._refusals import Executed, RefusalError
from ._request_context import RequestContext
from ._request_headers import forwarded_headers
from ._service_dispatcher import ServiceDispatcher, ServiceState
from ._upstream import UpstreamClient, UpstreamRequest, UpstreamResponse
from ._upstream_errors import (
    BrokenConnectionError,
    ConnectFailedError,
    HeadTimeoutError,
    IncompleteResponseError,
    InvalidResponseError,
    LoadShedError,
    ResponseTimeoutError,
    UpstreamError,
)

SERVER_ERROR_STATUS = 500
# A retry starts at once; selecting another target is its only delay.
RETRY_DELAY_S = 0.0
# Statuses by which one broken target may fail a request that another target would serve.
RETRIED_STATUSES = frozenset({500, 502, 503, 504})
# Share of a request's remaining time that it may spend in the queue. Requests that started just
# before their deadline timed out at healthy targets, and those timeouts lowered the concurrency
# limit until every request timed out.
MAX_QUEUE_TIME_SHARE = 0.5
# A timeout counts against a target only when the target had this long to respond, or half of the
# route's time limit if that is shorter, since callers may set arbitrarily short deadlines.
MIN_CONCLUSIVE_TRY_S = 0.25

_OUTCOMES: dict[type[UpstreamError], Outcome] = {
    ConnectFailedError: Outcome.CONNECT_FAILURE,
    LoadShedError: Outcome.SHED,
    ResponseTimeoutError: Outcome.TIMEOUT,
    HeadTimeoutError: Outcome.TIMEOUT,
    BrokenConnectionError: Outcome.BROKEN_BEFORE_HEAD,
    IncompleteResponseError: Outcome.BROKEN_AFTER_HEAD,
    InvalidResponseError: Outcome.ERROR,
}


class TargetTries:
    """Queues a request, then sends it to one target after another until a try succeeds.

    :param resolver: returns the resolver of the current configuration.
    :param on_crash_suspect: called with the notice of a request that may have crashed a target.
    """

    __slots__ = (
        "_crash_requests",
        "_metrics",
        "_now_s",
        "_on_crash_suspect",
        "_resolver",
        "_services",
        "_upstream",
    )

    def __init__(
        self,
        *,
        resolver: Callable[[], Resolver],
        services: ServiceDispatcher,
        crash_requests: CrashRequestRegistry,
        upstream: UpstreamClient,
        metrics: ProxyMetrics,
        on_crash_suspect: Callable[[Any], None],
        now_s: Callable[[], float],
    ) -> None:
        self._resolver = resolver
        self._services = services
        self._crash_requests = crash_requests
        self._upstream = upstream
        self._metrics = metrics
        self._on_crash_suspect = on_crash_suspect
        self._now_s = now_s

    def run(
        self, context: RequestContext, recheck: Callable[[RequestContext], None]
    ) -> UpstreamResponse:
        """Return the response of a target.

        :param recheck: raises a refusal when the request may no longer run after its wait in
            the queue.
        :raises RefusalError: when there is no response.
        """
        state = self._services.state(context.match.service.name)
        state.budget.add_request()
        now_s = self._now_s()
        start_by_s = now_s + MAX_QUEUE_TIME_SHARE * (context.deadline_s - now_s)
        ticket = self._services.enter(state, context.workspace_name, start_by_s=start_by_s)
        if isinstance(ticket, QueueRefusal):
            raise queue_refusal(ticket)
        context.on_end.append(lambda outcome: self._services.leave(state, ticket, outcome))
        recheck(context)
        return self._try_targets(context, state)

    def _try_targets(self, context: RequestContext, state: ServiceState) -> UpstreamResponse:
        exclude: tuple[str, ...] = ()
        response = None
        while True:
            # With an error response to fall back on, a retry does not wait for a target.
            wait_until_s = context.deadline_s if response is None else self._now_s()
            pick = self._services.pick(state, exclude=exclude, wait_until_s=wait_until_s)
            if pick is None:
                if response is not None:
                    return response
                raise no_target(context.tries)
            if self._now_s() >= context.deadline_s:
                self._services.done(state, pick, Outcome.CANCELLED)
                if response is not None:
                    return response
                raise deadline_passed(context.tries)
            error = None
            try:
                response = self._try_target(context, state, pick)
                if not self._is_retried_response(context, response):
                    return response
            except UpstreamError as failure:
                error = failure
            decision = self._decide(context, state)
            if not decision.retry or self.is_crash_request(context):
                if response is not None:
                    return response
                raise upstream_refusal(error, context.tries, decision.reason) from error
            exclude = decision.exclude

    def is_crash_request(self, context: RequestContext) -> bool:
        """Return whether the request is known, here or from peers, to break target connections."""
        return len(self._crash_requests) > 0 and self._crash_requests.is_refused(
            context.crash_fingerprint, self._now_s()
        )

    @staticmethod
    def _is_retried_response(context: RequestContext, response: UpstreamResponse) -> bool:
        return (
            response.status in RETRIED_STATUSES
            and response.stream is None
            and context.match.idempotent
        )

    def _decide(self, context: RequestContext, state: ServiceState) -> RetryDecision:
        now_s = self._now_s()
        self._metrics.record_failed_try(context, context.tries[-1].outcome)
        return decide(
            Attempt(
                idempotent=context.match.idempotent,
                tries=[_as_seen_by_caller(entry) for entry in context.tries],
                body_replayable=context.body.replayable,
                deadline_s=context.deadline_s,
                due_s=now_s + RETRY_DELAY_S,
                now_s=now_s,
            ),
            state.budget,
        )

    def _try_target(
        self, context: RequestContext, state: ServiceState, pick: Pick
    ) -> UpstreamResponse:
        started_s = self._now_s()
        outcome = Outcome.CANCELLED
        response = None
        context.tries.append(Try(target=pick.target))
        try:
            response = self._send_with_try_timeout(context, state, pick, started_s)
            outcome = response_outcome(response)
            if outcome is Outcome.SUCCESS:
                state.try_timeout.record_response(self._now_s() - started_s)
            return response
        except UpstreamError as error:
            outcome = _OUTCOMES[type(error)]
            if outcome is Outcome.TIMEOUT and not self._is_timeout_conclusive(context, started_s):
                outcome = Outcome.CANCELLED
            if outcome is Outcome.BROKEN_BEFORE_HEAD:
                self._record_break(context, pick.target)
            raise
        except CallerBodyError as error:
            raise body_refusal(error, Executed.UNKNOWN) from error
        except RefusalError as refusal:
            # The size limit was exceeded after a part of the body was sent.
            refusal.executed = Executed.UNKNOWN
            raise
        finally:
            context.tries[-1] = Try(target=pick.target, outcome=outcome)
            ended_s = self._now_s()
            context.upstream_s += ended_s - started_s
            if response is None or response.stream is None:
                self._services.done(state, pick, outcome)
            else:
                head_s = ended_s - started_s
                context.on_end.append(lambda end: self._services.done(state, pick, end, head_s))

    def _is_timeout_conclusive(self, context: RequestContext, started_s: float) -> bool:
        min_conclusive_s = min(MIN_CONCLUSIVE_TRY_S, context.match.timeout_s / 2)
        return self._now_s() - started_s >= min_conclusive_s

    def _send_with_try_timeout(
        self, context: RequestContext, state: ServiceState, pick: Pick, now_s: float
    ) -> UpstreamResponse:
        """Send the request, with the adaptive try timeout if it applies."""
        limit_s = self._try_timeout_s(context, state, pick, now_s)
        if limit_s is None:
            return self._send(context, state, pick, now_s, None)
        state.timed_try_count += 1
        try:
            return self._send(context, state, pick, now_s, limit_s)
        except HeadTimeoutError:
            state.try_timeout.record_timeout()
            raise
        finally:
            state.timed_try_count -= 1

    def _try_timeout_s(
        self, context: RequestContext, state: ServiceState, pick: Pick, now_s: float
    ) -> float | None:
        """Return the timeout for the response head of a try, or ``None`` when it has none.

        Only the first try has one, so that a request that takes long at every target still gets
        its response. The retry budget has to cover the retries of all tries in flight that have a
        timeout; otherwise a try would be aborted and the request not retried.
        """
        is_retryable = context.match.idempotent and context.body.replayable
        if len(context.tries) > 1 or not is_retryable or pick.deadline_s is not None:
            return None
        limit_s = state.try_timeout.limit_s(
            timeout_s=context.match.timeout_s, remaining_s=context.deadline_s - now_s
        )
        if limit_s is None or not self._services.has_other_warm_target(state, pick.target):
            return None
        cost = FULL_COST * (state.timed_try_count + 1)
        return limit_s if state.budget.covers(cost, now_s) else None

    def _send(
        self,
        context: RequestContext,
        state: ServiceState,
        pick: Pick,
        now_s: float,
        head_timeout_s: float | None,
    ) -> UpstreamResponse:
        target = self._target(context, pick)
        if target is None or not state.view.may_send(pick, now_s):
            raise ConnectFailedError(pick.target, "the target was withdrawn before sending")
        limit_s = min(context.deadline_s, state.view.deadline_s(pick)) - now_s
        query = context.environ["QUERY_STRING"]
        response = self._upstream.send(
            target=target.name,
            address=target.address,
            request=UpstreamRequest(
                method=context.method,
                target_path=f"{context.match.path}?{query}" if query else context.match.path,
                headers=forwarded_headers(context, limit_s),
                body=self._upstream_body(context, state, pick),
                request_id=context.request_id,
                is_limited_from_start=context.has_deadline,
            ),
            time_limit_s=limit_s,
            head_timeout_s=head_timeout_s,
        )
        self._record_announcements(state, pick.target, response)
        if self._crash_requests and context.computed_fingerprint is not None:
            self._crash_requests.record_response(context.computed_fingerprint)
        return response

    def _upstream_body(
        self, context: RequestContext, state: ServiceState, pick: Pick
    ) -> bytes | Iterator[bytes] | None:
        if context.body.buffered is not None:
            return context.body.buffered or None
        return self._permitted_parts(context.body.parts(), state, pick)

    def _permitted_parts(
        self, parts: Iterator[bytes], state: ServiceState, pick: Pick
    ) -> Iterator[bytes]:
        """Yield the parts of a body as long as the request's permit at a cold target is valid."""
        for part in parts:
            if not state.view.may_send(pick, self._now_s()):
                raise ResponseTimeoutError(pick.target, "its permit ended while the body was sent")
            yield part

    @staticmethod
    def _record_announcements(state: ServiceState, target: str, response: UpstreamResponse) -> None:
        for name, value in response.headers:
            if name.lower() == "draining":
                state.view.record_announcement(target, draining=value.lower() == "true")

    def _target(self, context: RequestContext, pick: Pick) -> Target | None:
        for target in self._resolver().eligible_targets(context.match.service.name):
            if target.name == pick.target:
                return target
        return None

    def _record_break(self, context: RequestContext, target: str) -> None:
        notice = self._crash_requests.record_break(context.crash_fingerprint, target, self._now_s())
        self._on_crash_suspect(notice)


def response_outcome(response: UpstreamResponse) -> Outcome:
    """Return the outcome that a response counts as for its target."""
    return Outcome.ERROR if response.status >= SERVER_ERROR_STATUS else Outcome.SUCCESS


def _as_seen_by_caller(entry: Try) -> Try:
    """Replace the outcome of a response that broke before any of it was forwarded.

    The retry rules assume that a response which broke after its head has partly reached the caller.
    """
    if entry.outcome is Outcome.BROKEN_AFTER_HEAD:
        return Try(target=entry.target, outcome=Outcome.ERROR)
    return entry
