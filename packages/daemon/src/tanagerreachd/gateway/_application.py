"""Request path of a gateway: checks, quota, placement, tries at targets, response."""

import secrets
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Any

from tanagerreach_core.config import Resolver, RouteMatch, Workspace
from tanagerreach_core.messages import PlacementRequest, RefusalCause
from tanagerreach_core.placement import (
    LateTry,
    LateTryObstacle,
    RetryBudgetUse,
    TargetNotice,
    TargetNotices,
    awaits_retry,
    late_try_obstacle,
    may_retry,
)
from tanagerreach_core.traffic import Outcome

from .. import _clock
from .._caller_body import CallerBody, CallerBodyError, body_refusal
from .._caller_connections import RequestRoom
from .._caller_watch import CallerDisconnectedError, CallerWatch
from .._http_head import environ_key
from .._proxy_refusals import starting
from .._refusals import Executed, RefusalError
from .._route_lookup import find_route
from .._streamed_response import StreamedResponse
from .._upstream import BODILESS_STATUSES, UpstreamClient, UpstreamRequest, UpstreamResponse
from .._upstream_errors import (
    ConnectFailedError,
    IncompleteResponseError,
    LoadShedError,
    ResponseTimeoutError,
    TryAbortedError,
    UnmarkedRefusalError,
    UpstreamError,
)
from ._dialect import Dialect
from ._late_tries import LateTrySearch, Replacement
from ._placement_client import Placement, PlacementClient
from ._request import GatewayRequest, caller_wait_s
from ._request_log import RequestLog, placement_inputs
from ._request_refusals import (
    body_broke_off,
    cut_by_stop,
    may_have_run,
    stopping,
    tries_failed,
    unavailable,
)
from ._retry_budgets import RetryBudgets
from ._sources import CallerLimits
from ._stop_refusals import StopRefusals
from ._traffic import TrafficCounts, message_bytes

# Bodies up to this size are read before the placement request, so that no target slot is held
# while the caller sends.
BUFFERED_BODY_BYTES = 1024 * 1024
BODY_PART_TIMEOUT_S = 5.0
# Held while a response is passed on: its first part, the current one, and what the kernel has
# received of the next.
PASSED_ON_RESPONSE_BYTES = 192 * 1024
# Time for the response to reach the caller before its deadline.
RESPONSE_MARGIN_S = 0.03
# A request that may not be retried reuses a connection only if that was idle for no longer; see
# :class:`UpstreamRequest`.
FRESH_CONNECTION_IDLE_S = 0.5
REUSED_CONNECTION_IDLE_S = 4.0
MIN_RETRY_TIME_S = 0.02
# Tries of one request, including those whose connection could not be opened.
MAX_TRIES = 5

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class GatewayApplication:
    """WSGI application of the listener for callers.

    :param own_data_centre: the instance's data centre.
    :param resolver: returns the resolver of the configuration in force, ``None`` before there is
        one.
    :param limits: returns the caller limits in force.
    :param places_by_cost: whether a service's requests are placed by their expected cost.
    :param is_rolled_out: returns whether a version of a service is to be rolled out.
    """

    def __init__(
        self,
        *,
        own_data_centre: str,
        dialect: Dialect,
        resolver: Callable[[], Resolver | None],
        limits: Callable[[], CallerLimits],
        placement_client: PlacementClient,
        retry_budgets: RetryBudgets,
        upstream: UpstreamClient,
        watch: CallerWatch,
        traffic: TrafficCounts,
        log: RequestLog,
        places_by_cost: Callable[[str], bool] = lambda service: False,
        is_rolled_out: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._places_by_cost = places_by_cost
        self._is_rolled_out = is_rolled_out
        self._traffic = traffic
        self._own_data_centre = own_data_centre
        self._dialect = dialect
        self._resolver = resolver
        self._limits = limits
        self._placement_client = placement_client
        self._retry_budgets = retry_budgets
        self._upstream = upstream
        self._watch = watch
        self._log = log
        self._notices = TargetNotices()
        self._accepts_until_s = float("inf")
        self._sends_until_s = float("inf")
        self._stop_refusals = StopRefusals()
        self._request_id_environ_key = environ_key(dialect.request_id)
        self._deadline_environ_key = environ_key(dialect.deadline_ms)
        self._key_environ_key = environ_key(dialect.key)

    def begin_stop(self, *, accepts_until_s: float, ends_s: float) -> None:
        """Send no request to a target whose response the end of this instance would cut.

        :param accepts_until_s: time from which requests that arrive are refused.
        :param ends_s: time at which responses are cut.
        """
        self._accepts_until_s = accepts_until_s
        self._sends_until_s = ends_s

    def end_requests(self) -> None:
        """Refuse the requests that wait for quota or a placement, as this instance ends.

        A request at a target is refused if a response behind it on its connection is ready, which
        would be lost otherwise. Repeated calls refuse those for which this has become so.
        """
        self._stop_refusals.refuse()

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        arrived_s = _clock.now_s()
        request_id = environ.get(self._request_id_environ_key) or secrets.token_hex(8)
        environ["tanagerreach.request_id"] = request_id
        try:
            request = self._accept(environ, request_id, arrived_s)
            response = self._serve(request)
        except RefusalError as refusal:
            return self._refuse(refusal, environ, request_id, arrived_s, start_response)
        except CallerBodyError as error:
            # The body broke off while a target received it.
            refusal = body_broke_off(error)
            return self._refuse(refusal, environ, request_id, arrived_s, start_response)
        except CallerDisconnectedError as error:
            took_s = _clock.now_s() - arrived_s
            self._log.caller_disconnected(request_id, took_s, broken_by=error.broken_by)
            raise
        self._hold_response(environ.get("tanagerreach.room"), response)
        environ["tanagerreach.on_not_sent"] = partial(
            self._log.response_not_sent, request, response.status
        )
        headers = response.headers
        if response.status in BODILESS_STATUSES:
            headers = [pair for pair in headers if pair[0].lower() != "content-length"]
        start_response(f"{response.status} {response.reason or 'Status'}", headers)
        if response.stream is not None:
            return StreamedResponse(
                stream=response.stream,
                outcome=Outcome.SUCCESS,
                on_end=partial(self._log.stream_ended, request, response.status),
            )
        return [response.body] if response.body else []

    @staticmethod
    def _hold_response(room: RequestRoom | None, response: UpstreamResponse) -> None:
        """Take room for a response until its caller has read it.

        :param room: what the request holds, ``None`` without bounds.
        :raises CallerDisconnectedError: when the caller's connection has to give way.
        """
        if room is None:
            return
        if response.stream is None:
            has_room = not response.body or room.take(len(response.body), is_due=True)
        else:
            has_room = room.take(PASSED_ON_RESPONSE_BYTES, descriptors=1, is_due=True)
        if not has_room:
            _close(response)
            raise CallerDisconnectedError

    # Checks

    def _accept(self, environ: dict[str, Any], request_id: str, arrived_s: float) -> GatewayRequest:
        resolver = self._resolver()
        if resolver is None:
            raise starting()
        if arrived_s >= self._accepts_until_s:
            raise stopping()
        match = find_route(resolver, environ)
        key_text = environ.get(self._key_environ_key)
        workspace = self._find_workspace(resolver, match, key_text)
        if match.service is None:
            raise unavailable(RefusalCause.NO_TARGET, 1.0)
        limits = self._limits()
        length = environ.get("CONTENT_LENGTH")
        body = CallerBody(
            stream=environ["wsgi.input"],
            content_length=None if length is None else int(length),
            chunked=environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked",
            limit_bytes=limits.body_bytes,
            part_time_limit_s=BODY_PART_TIMEOUT_S,
            buffered_bytes=BUFFERED_BODY_BYTES,
            room=environ.get("tanagerreach.room"),
        )
        body.check_announced_size()
        caller_deadline_s = arrived_s + caller_wait_s(environ.get(self._deadline_environ_key, ""))
        response_deadline_s = caller_deadline_s - RESPONSE_MARGIN_S
        if match.route.timeout_s is not None:
            response_deadline_s = min(response_deadline_s, arrived_s + match.route.timeout_s)
        objective_s = response_deadline_s
        if match.route.latency_objective_s is not None:
            objective_s = min(response_deadline_s, arrived_s + match.route.latency_objective_s)
        return GatewayRequest(
            environ=environ,
            request_id=request_id,
            match=match,
            workspace=workspace,
            key_text=key_text,
            body=body,
            arrived_s=arrived_s,
            caller_deadline_s=caller_deadline_s,
            response_deadline_s=response_deadline_s,
            objective_s=objective_s,
        )

    @staticmethod
    def _find_workspace(
        resolver: Resolver, match: RouteMatch, key_text: str | None
    ) -> Workspace | None:
        if match.route.open or not resolver.configuration.workspaces:
            return None
        workspace = None if key_text is None else resolver.workspace_of_key(key_text)
        if workspace is None:
            raise RefusalError(
                status=HTTPStatus.UNAUTHORIZED,
                kind="key-not-valid",
                detail="send a valid key",
            )
        return workspace

    def _recheck(self, request: GatewayRequest) -> None:
        """Refuse a request that the configuration in force no longer allows.

        A request that a target is working on keeps its service.

        :raises RefusalError: when its key was withdrawn, or no route or service is left for it.
        """
        resolver = self._resolver()
        if resolver.revision == request.environ["tanagerreach.revision"]:
            return
        match = find_route(resolver, request.environ)
        workspace = self._find_workspace(resolver, match, request.key_text)
        allowed = set(match.route.split) or {match.route.service}
        if request.service_name not in allowed:
            if request.late_target or match.service is None:
                raise unavailable(RefusalCause.NO_TARGET, 1.0)
            request.match = match
        request.workspace = workspace
        request.environ["tanagerreach.revision"] = resolver.revision

    def _read_body(self, request: GatewayRequest) -> None:
        try:
            request.body.read_first_part()
        except CallerBodyError as error:
            raise body_refusal(error, Executed.NOT_RUN) from error
        request.prepare()

    # Serving

    def _serve(self, request: GatewayRequest) -> UpstreamResponse:
        request.environ["tanagerreach.revision"] = self._resolver().revision
        self._read_body(request)
        try:
            self._begin_watch(request)
            self._retry_budgets.of(request.service_name).record_first_try(_clock.now_s())
            self._take_quota(request)
            return self._try_targets(request)
        except RefusalError as refusal:
            if self._return_quota(request):
                refusal.inputs["quota_returned"] = True
            if request.may_have_run and refusal.status in self._dialect.targets.not_run_statuses:
                # A try may have run before the request was refused.
                raise may_have_run(refusal) from refusal
            raise
        except BaseException:
            self._return_quota(request)
            raise
        finally:
            request.end_watch()

    def _return_quota(self, request: GatewayRequest) -> bool:
        """Return the unit of quota of a request that is given up and has certainly not run.

        :returns: false when it took none, or may have run.
        """
        if request.quota_unit is None or request.may_have_run:
            return False
        self._placement_client.return_quota(request.quota_unit)
        return True

    def _begin_watch(self, request: GatewayRequest) -> None:
        """Cancel the request when its caller disconnects, until the watch is ended.

        The connection's reader waits for a request with a body, so only a watch notices that the
        caller disconnected; without a body, the reader notices it.
        """
        environ = request.environ
        has_body = environ.get("CONTENT_LENGTH") or environ.get("HTTP_TRANSFER_ENCODING")
        if has_body:
            request.begin_watch(self._watch.watch(environ))

    def _take_quota(self, request: GatewayRequest) -> None:
        if request.workspace is None:
            return
        with self._stop_refusals.refusable(partial(_refused_by_stop, request)):
            unit = self._placement_client.take_quota(request.workspace_name)
        reply = unit.reply
        if reply.is_granted:
            request.quota_unit = unit
        else:
            name = request.service_name
            self._placement_client.report_refusal(name)
            raise RefusalError(
                status=HTTPStatus.TOO_MANY_REQUESTS,
                kind="rate-exceeded",
                detail="the workspace's rate is used up; try again later",
                retry_after_s=max(0.1, reply.retry_after_ms / 1000.0),
                inputs={
                    "workspace": request.workspace_name,
                    "service": name,
                    "rate_per_s": reply.rate_per_s,
                    "fleet_percent": reply.fleet_percent,
                    "revision": request.environ["tanagerreach.revision"],
                },
            )

    def _try_targets(self, request: GatewayRequest) -> UpstreamResponse:
        while True:
            self._begin_watch(request)
            if request.replacement is not None:
                placement = self._use_replacement(request)
            elif request.is_repeat:
                placement = self._acquire_for_retry(request)
            else:
                placement = self._acquire(request)
            if not request.match.idempotent:
                # After a cancellation it would be unknown whether the request ran.
                request.end_watch()
            response = self._try_target(request, placement)
            if response is not None:
                return response

    def _acquire_for_retry(self, request: GatewayRequest) -> Placement:
        """Acquire a placement for a retry, which the retry budget has to allow."""
        retry = self._reserve_retry(request)
        retry.budget.spend(_clock.now_s())
        return retry.placement

    def _reserve_retry(self, request: GatewayRequest) -> Replacement:
        """Reserve a retry and acquire a placement for it.

        :raises RefusalError: when the retry budget is used up, or there is no placement.
        """
        budget = self._retry_budgets.of(request.service_name)
        if not budget.reserve(_clock.now_s()):
            raise self._retry_refused(request, budget.use(_clock.now_s()))
        try:
            return Replacement(placement=self._acquire(request), budget=budget)
        except BaseException:
            budget.release()
            raise

    def _use_replacement(self, request: GatewayRequest) -> Placement:
        """Return the placement that replaces the request's last try.

        :raises RefusalError: when the request may not be sent there any more.
        """
        replacement, request.replacement = request.replacement, None
        try:
            self._check_placement(request, replacement.placement)
        except RefusalError:
            self._release_replacement(replacement)
            raise
        replacement.budget.spend(_clock.now_s())
        return replacement.placement

    def _release_replacement(self, replacement: Replacement) -> None:
        self._placement_client.complete(replacement.placement, Outcome.CANCELLED, 0.0)
        replacement.budget.release()

    def _acquire(self, request: GatewayRequest) -> Placement:
        """Acquire a placement at a target that may get the request.

        :raises RefusalError: when there is none.
        """
        while True:
            with self._stop_refusals.refusable(partial(_refused_by_stop, request)):
                placement = self._placement_client.acquire(
                    partial(self._placement_request, request)
                )
            self._log.placement_decided(request.service_name, placement)
            if not placement.is_granted:
                raise self._placement_refused(request, placement)
            try:
                self._check_placement(request, placement)
                is_allowed = self._resolver().is_in_service(placement.reply.data_centre)
            except BaseException:
                self._placement_client.complete(placement, Outcome.CANCELLED, 0.0)
                raise
            notice = None
            if is_allowed:
                notice = self._notices.violated_by(placement.reply, _clock.now_s())
            if is_allowed and notice is None:
                return placement
            # The home has not yet applied that the data centre was taken out of service, or does
            # not know what the target asks for.
            self._return_placement(request, placement, notice)

    def _return_placement(
        self, request: GatewayRequest, placement: Placement, notice: TargetNotice | None
    ) -> None:
        target = placement.reply.target
        age_s = 0.0 if notice is None else self._notices.age_s(target, _clock.now_s())
        self._placement_client.complete(
            placement, Outcome.CANCELLED, 0.0, notice=notice, notice_age_s=age_s
        )
        request.excluded_targets.append(target)
        if notice is not None:
            self._log.placement_returned(request, placement, notice)

    def _placement_request(
        self, request: GatewayRequest, call_id: int, accepts_stale: bool
    ) -> PlacementRequest:
        return request.placement_request(
            call_id,
            self._own_data_centre,
            _clock.now_s(),
            accepts_stale=accepts_stale,
            tells_work=self._places_by_cost(request.service_name),
            names_route=self._is_rolled_out(request.service_name),
        )

    def _check_placement(self, request: GatewayRequest, placement: Placement) -> None:
        service = request.service_name
        self._recheck(request)
        now_s = _clock.now_s()
        if request.service_name != service or now_s >= request.response_deadline_s:
            refusal = unavailable(RefusalCause.NO_TARGET, 0.2)
            raise tries_failed(request, None) if request.may_have_run else refusal
        if now_s + placement.reply.try_timeout_ms / 1000.0 > self._sends_until_s:
            raise _refused_by_stop(request)

    def _try_target(self, request: GatewayRequest, placement: Placement) -> UpstreamResponse | None:
        """Send the request to one target.

        :returns: the response to pass on; ``None`` when another target is to be tried.
        :raises RefusalError: when there is no response and no further try.
        """
        started_s = _clock.now_s()
        target = placement.reply.target
        outcome = Outcome.CANCELLED
        response = None
        failure: UpstreamError | None = None
        notice: TargetNotice | None = None
        search = self._late_try_search(request, placement)
        try:
            handler = request.environ["tanagerreach.handler"]
            with self._stop_refusals.refusable(
                cut_by_stop, is_due=lambda: handler.delays_ready_response
            ):
                response = self._send(request, placement, started_s, search)
            notice = response.notice
            outcome = Outcome.ERROR if response.status >= 500 else Outcome.SUCCESS
        except UpstreamError as error:
            failure = error
            outcome = _outcome(error)
            if isinstance(error, LoadShedError | UnmarkedRefusalError):
                notice = error.notice
        finally:
            took_s = _clock.now_s() - started_s
            request.record_try(target, outcome, has_arrived=_has_arrived(failure))
            if notice is not None:
                self._record_notice(request, placement, notice)
            self._placement_client.complete(placement, outcome, took_s, notice=notice)
            self._log.try_ended(request, placement, outcome, took_s, failure)
            self._end_search(request, search, failure, outcome)
        if response is not None and not self._is_worth_retrying(request, outcome):
            self._log.response_sent(request, placement, response.status, _clock.now_s())
            return response
        if request.replacement is not None or self._may_retry(request, outcome):
            return self._next_try(request, response)
        if awaits_retry(placement.placement_request, outcome):
            self._placement_client.report_refusal(request.service_name)
        if response is not None:
            return response
        raise tries_failed(request, failure)

    def _end_search(
        self,
        request: GatewayRequest,
        search: LateTrySearch,
        failure: UpstreamError | None,
        outcome: Outcome,
    ) -> None:
        """End the search for a replacement; keep what it has found for a request that needs it."""
        try:
            is_aborted = isinstance(failure, TryAbortedError)
            has_failed = outcome is not Outcome.SUCCESS
            if is_aborted or (has_failed and self._may_retry(request, outcome)):
                request.replacement = search.take()
            else:
                search.cancel()
        finally:
            request.late_target = ""

    def _record_notice(
        self, request: GatewayRequest, placement: Placement, notice: TargetNotice
    ) -> None:
        reply = placement.reply
        self._notices.record(reply.target, reply.started_ms, notice, _clock.now_s())
        if notice.invalid_header:
            self._log.header_ignored(request, placement, notice.invalid_header)

    def _next_try(
        self, request: GatewayRequest, response: UpstreamResponse | None
    ) -> UpstreamResponse | None:
        """Try another target; fall back to an error response when all further tries are refused."""
        if response is None:
            return None
        try:
            retried = self._try_targets(request)
        except RefusalError:
            return response
        except BaseException:
            _close(response)
            raise
        _close(response)
        return retried

    def _is_worth_retrying(self, request: GatewayRequest, outcome: Outcome) -> bool:
        return outcome is Outcome.ERROR and request.match.idempotent

    def _may_retry(self, request: GatewayRequest, outcome: Outcome) -> bool:
        if request.sent_count >= request.max_tries or len(request.tries) >= MAX_TRIES:
            return False
        if not request.body.replayable:
            return False
        if _clock.now_s() + MIN_RETRY_TIME_S >= request.response_deadline_s:
            return False
        if request.may_have_run and not request.match.idempotent:
            return False
        return may_retry(outcome, is_retryable=request.match.idempotent)

    def _late_try_search(self, request: GatewayRequest, placement: Placement) -> LateTrySearch:
        reported: list[LateTryObstacle | None] = []

        def ask() -> tuple[Replacement | None, bool]:
            request.late_target = placement.reply.target
            replacement, obstacle, inputs = self._find_replacement(request, placement)
            if reported[-1:] != [obstacle]:
                reported.append(obstacle)
                self._log.try_late(request, placement, obstacle, replacement, inputs)
            return replacement, obstacle is not None and obstacle.may_end

        return LateTrySearch(
            starts_after_s=placement.reply.try_timeout_ms / 1000.0,
            ask=ask,
            release=self._release_replacement,
            on_failure=self._log.search_failed,
        )

    def _find_replacement(
        self, request: GatewayRequest, late: Placement
    ) -> tuple[Replacement | None, LateTryObstacle | None, dict[str, Any]]:
        """Find a replacement of a late try.

        :returns: the replacement, or what is in its way and the values that led to the refusal.
        """
        obstacle = self._late_try_obstacle(request, late)
        if obstacle is not None:
            return None, obstacle, {}
        try:
            replacement = self._reserve_retry(request)
        except RefusalError as refusal:
            is_budget = refusal.inputs.get("cause") == RefusalCause.REPEAT_BUDGET.name.lower()
            obstacle = LateTryObstacle.BUDGET if is_budget else LateTryObstacle.PLACEMENT
            return None, obstacle, refusal.inputs
        # The home may have decided late, or the instance stops meanwhile.
        obstacle = self._late_try_obstacle(request, late)
        if obstacle is not None:
            self._release_replacement(replacement)
            return None, obstacle, {}
        return replacement, None, {}

    @property
    def _is_stopping(self) -> bool:
        return self._sends_until_s != float("inf")

    def _late_try_obstacle(
        self, request: GatewayRequest, late: Placement
    ) -> LateTryObstacle | None:
        tries_left = (
            request.sent_count + 1 < request.max_tries and len(request.tries) + 1 < MAX_TRIES
        )
        return late_try_obstacle(
            LateTry(
                is_retryable=request.match.idempotent,
                has_tries_left=tries_left,
                is_body_replayable=request.body.replayable,
                is_stopping=self._is_stopping,
                left_s=request.response_deadline_s - _clock.now_s(),
                usual_s=late.reply.try_timeout_ms / 1000.0,
            )
        )

    def _send(
        self, request: GatewayRequest, placement: Placement, now_s: float, search: LateTrySearch
    ) -> UpstreamResponse:
        headers = request.target_headers(self._dialect, placement.reply.target, now_s)
        self._traffic.add_request(
            placement.reply.data_centre, message_bytes(headers.items(), request.body.buffered)
        )
        is_retryable = request.match.idempotent
        response = self._upstream.send(
            target=placement.reply.target,
            address=placement.reply.address,
            request=UpstreamRequest(
                method=request.method,
                target_path=request.raw_target,
                headers=headers,
                body=_body(request.body),
                request_id=request.request_id,
                max_idle_s=REUSED_CONNECTION_IDLE_S if is_retryable else FRESH_CONNECTION_IDLE_S,
            ),
            time_limit_s=request.response_deadline_s - now_s,
            abort=search.abort,
        )
        self._traffic.add_response(
            placement.reply.data_centre, message_bytes(response.headers, response.body)
        )
        return response

    # Refusals

    def _placement_refused(self, request: GatewayRequest, placement: Placement) -> RefusalError:
        if request.tries:
            refusal = tries_failed(request, None)
        else:
            refusal = unavailable(placement.reply.cause, placement.reply.retry_after_ms / 1000.0)
        refusal.inputs |= {
            "service": request.service_name,
            "workspace": request.workspace_name,
            "cause": placement.reply.cause.name.lower(),
            **placement_inputs(placement),
        }
        return refusal

    def _retry_refused(self, request: GatewayRequest, use: RetryBudgetUse) -> RefusalError:
        if not request.late_target:
            self._placement_client.report_refusal(request.service_name)
        refusal = tries_failed(request, None)
        refusal.inputs |= {
            "service": request.service_name,
            "workspace": request.workspace_name,
            "cause": RefusalCause.REPEAT_BUDGET.name.lower(),
            "first_tries": use.first_tries,
            "retries": use.retries,
            "retry_limit": round(use.limit, 1),
        }
        return refusal

    def _refuse(
        self,
        refusal: RefusalError,
        environ: dict[str, Any],
        request_id: str,
        arrived_s: float,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self._log.refused(refusal, request_id, _clock.now_s() - arrived_s)
        body = refusal.body(request_id)
        headers = refusal.response_headers(body, in_whole_seconds=False)
        headers.append((self._dialect.request_id, request_id))
        start_response(refusal.status_line(), headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]


def _refused_by_stop(request: GatewayRequest) -> RefusalError:
    """Build the refusal of a request that no target has, and that none gets any more."""
    return tries_failed(request, None) if request.may_have_run else stopping()


def _body(body: CallerBody) -> bytes | Iterable[bytes] | None:
    if body.buffered is not None:
        return body.buffered or None
    return body.parts()


def _close(response: UpstreamResponse) -> None:
    """Close a response that is not passed on."""
    if response.stream is not None:
        response.stream.close()


def _outcome(error: UpstreamError) -> Outcome:
    if isinstance(error, LoadShedError):
        return Outcome.SHED
    if isinstance(error, UnmarkedRefusalError):
        return Outcome.ERROR
    if not error.may_have_started:
        return Outcome.CONNECT_FAILURE
    if isinstance(error, ResponseTimeoutError):
        return Outcome.TIMEOUT
    if isinstance(error, IncompleteResponseError):
        return Outcome.BROKEN_AFTER_HEAD
    return Outcome.BROKEN_BEFORE_HEAD


def _has_arrived(failure: UpstreamError | None) -> bool:
    """Return whether a try may have reached a target, which may have rejected it."""
    return not isinstance(failure, ConnectFailedError)
