"""The path of a caller's request at a gateway: checks, quota, places at targets, answer."""

import secrets
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Any

from tanagerreach_core.config import Resolver, RouteMatch, Workspace
from tanagerreach_core.messages import PlacementRequest, RefusalCause
from tanagerreach_core.placement import may_retry
from tanagerreach_core.traffic import Outcome

from .. import _clock
from .._caller_body import CallerBody, CallerBodyError, body_refusal
from .._caller_watch import CallerDisconnectedError, CallerWatch
from .._http_head import environ_key
from .._proxy_refusals import starting
from .._refusals import Executed, RefusalError
from .._route_lookup import find_route
from .._streamed_response import StreamedResponse
from .._upstream import BODILESS_STATUSES, UpstreamClient, UpstreamRequest, UpstreamResponse
from .._upstream_errors import (
    HeadTimeoutError,
    IncompleteResponseError,
    LoadShedError,
    ResponseTimeoutError,
    UpstreamError,
)
from ._dialect import Dialect
from ._placement_client import Place, PlacementClient
from ._request import GatewayRequest, caller_wait_s
from ._request_log import RequestLog, placement_inputs
from ._sources import CallerLimits

BUFFERED_BODY_BYTES = 1024 * 1024
"""Bodies up to this size are read before a place is asked for, so that none is held meanwhile."""
BODY_PART_TIME_S = 5.0
ANSWER_MARGIN_S = 0.03
"""Time for a last answer to reach its caller before the caller's deadline."""
FRESH_CONNECTION_S = 0.5
"""A request that must not be repeated uses a connection only if it was just used; see
:class:`UpstreamRequest`."""
REUSED_CONNECTION_S = 4.0
MIN_RETRY_TIME_S = 0.02
MAX_TRIES = 5
"""Targets that are tried for one request, those included that no connection could be opened to."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_REFUSALS = {
    RefusalCause.NO_TARGET: ("no-target", "no target of the service may take requests now"),
    RefusalCause.NO_ROOM: ("no-room", "the service's targets are busy; try again later"),
    RefusalCause.DEADLINE: ("deadline", "too little time is left to serve the request"),
    RefusalCause.REPEAT_BUDGET: ("repeat-budget", "too many requests are repeated at present"),
    RefusalCause.CRASH_REQUEST: ("crash-request", "the request broke several targets"),
}


class GatewayApplication:
    """WSGI application of a gateway's callers' listener.

    :param own_data_centre: the instance's data centre.
    :param resolver: returns the current lookups, ``None`` before there is a configuration.
    :param limits: returns the callers' limits in force.
    """

    def __init__(
        self,
        *,
        own_data_centre: str,
        dialect: Dialect,
        resolver: Callable[[], Resolver | None],
        limits: Callable[[], CallerLimits],
        places: PlacementClient,
        upstream: UpstreamClient,
        watch: CallerWatch,
        log: RequestLog,
    ) -> None:
        self._own_data_centre = own_data_centre
        self._dialect = dialect
        self._resolver = resolver
        self._limits = limits
        self._places = places
        self._upstream = upstream
        self._watch = watch
        self._log = log
        self._id_key = environ_key(dialect.request_id)
        self._deadline_key = environ_key(dialect.deadline_ms)
        self._key_key = environ_key(dialect.key)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        arrived_s = _clock.now_s()
        request_id = environ.get(self._id_key) or secrets.token_hex(8)
        try:
            request = self._accept(environ, request_id, arrived_s)
            answer = self._serve(request)
        except RefusalError as refusal:
            return self._refuse(refusal, environ, request_id, arrived_s, start_response)
        except CallerDisconnectedError:
            self._log.gone(request_id, _clock.now_s() - arrived_s)
            raise
        headers = answer.headers
        if answer.status in BODILESS_STATUSES:
            headers = [pair for pair in headers if pair[0].lower() != "content-length"]
        start_response(f"{answer.status} {answer.reason or 'Status'}", headers)
        if answer.stream is not None:
            return StreamedResponse(
                stream=answer.stream, outcome=Outcome.SUCCESS, on_end=lambda _outcome: None
            )
        return [answer.body] if answer.body else []

    # Checks

    def _accept(self, environ: dict[str, Any], request_id: str, arrived_s: float) -> GatewayRequest:
        resolver = self._resolver()
        if resolver is None:
            raise starting()
        match = find_route(resolver, environ)
        key_text = environ.get(self._key_key)
        workspace = self._find_workspace(resolver, match, key_text)
        if match.service is None:
            raise _unavailable(RefusalCause.NO_TARGET, 1.0)
        limits = self._limits()
        length = environ.get("CONTENT_LENGTH")
        body = CallerBody(
            stream=environ["wsgi.input"],
            content_length=None if length is None else int(length),
            chunked=environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked",
            limit_bytes=limits.body_bytes,
            part_time_limit_s=BODY_PART_TIME_S,
            buffered_bytes=BUFFERED_BODY_BYTES,
        )
        body.check_announced_size()
        caller_deadline_s = arrived_s + caller_wait_s(environ.get(self._deadline_key, ""))
        answer_by_s = caller_deadline_s - ANSWER_MARGIN_S
        if match.route.timeout_s is not None:
            answer_by_s = min(answer_by_s, arrived_s + match.route.timeout_s)
        objective_s = answer_by_s
        if match.route.latency_objective_s is not None:
            objective_s = min(answer_by_s, arrived_s + match.route.latency_objective_s)
        return GatewayRequest(
            environ=environ,
            request_id=request_id,
            match=match,
            workspace=workspace,
            key_text=key_text,
            body=body,
            arrived_s=arrived_s,
            caller_deadline_s=caller_deadline_s,
            answer_by_s=answer_by_s,
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

    def _check_again(self, request: GatewayRequest) -> None:
        """Refuse a request that the configuration in force no longer allows.

        :raises RefusalError: when its key was withdrawn, or its route leads elsewhere, meanwhile.
        """
        resolver = self._resolver()
        if resolver.revision == request.environ["tanagerreach.revision"]:
            return
        match = find_route(resolver, request.environ)
        workspace = self._find_workspace(resolver, match, request.key_text)
        allowed = set(match.route.split) or {match.route.service}
        if request.service_name not in allowed:
            request.match = match
            if match.service is None:
                raise _unavailable(RefusalCause.NO_TARGET, 1.0)
        request.workspace = workspace
        request.environ["tanagerreach.revision"] = resolver.revision

    def _read_body(self, request: GatewayRequest) -> None:
        try:
            request.body.read_ahead()
        except CallerBodyError as error:
            raise body_refusal(error, Executed.NOT_RUN) from error
        request.prepare()

    # Serving

    def _serve(self, request: GatewayRequest) -> UpstreamResponse:
        request.environ["tanagerreach.revision"] = self._resolver().revision
        self._read_body(request)
        end_watch = self._watch.watch(request.environ) if self._has_body(request) else _nothing
        try:
            self._take_quota(request)
            return self._try_targets(request, end_watch)
        finally:
            end_watch()

    @staticmethod
    def _has_body(request: GatewayRequest) -> bool:
        """Tell whether the connection's reader waits for this request; else it sees the end."""
        environ = request.environ
        return bool(environ.get("CONTENT_LENGTH") or environ.get("HTTP_TRANSFER_ENCODING"))

    def _take_quota(self, request: GatewayRequest) -> None:
        if request.workspace is None:
            return
        reply = self._places.take_quota(request.workspace_name)
        if not reply.is_granted:
            name = request.service_name
            self._places.tell_refusal(name)
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

    def _try_targets(
        self, request: GatewayRequest, end_watch: Callable[[], None]
    ) -> UpstreamResponse:
        while True:
            place = self._places.acquire(partial(self._placement_request, request))
            if not place.is_granted:
                raise self._no_place(request, place)
            try:
                self._check_place(request, place)
                is_allowed = self._resolver().is_in_service(place.reply.data_centre)
            except BaseException:
                self._places.end(place, Outcome.CANCELLED, 0.0)
                raise
            if not is_allowed:
                # The home does not know yet that the data centre was taken out.
                self._places.end(place, Outcome.CANCELLED, 0.0)
                request.barred_targets.append(place.reply.target)
                continue
            if not request.match.idempotent:
                # Breaking it off would leave open whether it ran; it is let finish.
                end_watch()
            answer = self._try_target(request, place)
            if answer is not None:
                return answer

    def _placement_request(
        self, request: GatewayRequest, call_id: int, accepts_stale: bool
    ) -> PlacementRequest:
        return request.placement_request(
            call_id,
            self._own_data_centre,
            _clock.now_s(),
            accepts_stale=accepts_stale,
        )

    def _check_place(self, request: GatewayRequest, place: Place) -> None:
        service = request.service_name
        self._check_again(request)
        if request.service_name != service or _clock.now_s() >= request.answer_by_s:
            raise _unavailable(RefusalCause.NO_TARGET, 0.2)

    def _try_target(self, request: GatewayRequest, place: Place) -> UpstreamResponse | None:
        """Send the request to one target.

        :returns: the answer to pass on; ``None`` when the request goes to another target.
        :raises RefusalError: when there is no answer and no other try.
        """
        started_s = _clock.now_s()
        target = place.reply.target
        outcome = Outcome.CANCELLED
        answer = None
        failure: UpstreamError | None = None
        try:
            answer = self._send(request, place, started_s)
            outcome = Outcome.ERROR if answer.status >= 500 else Outcome.SUCCESS
        except UpstreamError as error:
            failure = error
            outcome = _outcome(error)
        finally:
            took_s = _clock.now_s() - started_s
            request.note_try(target, outcome)
            self._places.end(place, outcome, took_s)
            self._log.tried(request, place, outcome, took_s, failure)
        if answer is not None and not self._is_worth_repeating(request, outcome):
            self._log.answered(request, place, answer.status, _clock.now_s())
            return answer
        if self._may_try_again(request, outcome):
            return self._next_try(request, answer)
        if answer is not None:
            return answer
        raise self._failed(request, failure)

    def _next_try(
        self, request: GatewayRequest, answer: UpstreamResponse | None
    ) -> UpstreamResponse | None:
        """Try another target, keeping a failure that may be passed on if there is none."""
        if answer is None:
            return None
        try:
            return self._try_targets(request, _nothing)
        except RefusalError:
            return answer

    def _is_worth_repeating(self, request: GatewayRequest, outcome: Outcome) -> bool:
        return outcome is Outcome.ERROR and request.match.idempotent

    def _may_try_again(self, request: GatewayRequest, outcome: Outcome) -> bool:
        if request.sent_count >= request.max_tries or len(request.tries) >= MAX_TRIES:
            return False
        if not request.body.replayable:
            return False
        if _clock.now_s() + MIN_RETRY_TIME_S >= request.answer_by_s:
            return False
        if request.may_have_run and not request.match.idempotent:
            return False
        return may_retry(outcome, is_retryable=request.match.idempotent)

    def _send(self, request: GatewayRequest, place: Place, now_s: float) -> UpstreamResponse:
        is_retryable = request.match.idempotent
        left_s = request.answer_by_s - now_s
        head_timeout_s = None
        if is_retryable and request.sent_count + 1 < request.max_tries:
            try_timeout_s = place.reply.try_timeout_ms / 1000.0
            if left_s > 1.5 * try_timeout_s:
                head_timeout_s = try_timeout_s
        return self._upstream.send(
            target=place.reply.target,
            address=place.reply.address,
            request=UpstreamRequest(
                method=request.method,
                target_path=request.raw_target,
                headers=request.target_headers(self._dialect, place.reply.target, now_s),
                body=_body(request.body),
                request_id=request.request_id,
                max_idle_s=REUSED_CONNECTION_S if is_retryable else FRESH_CONNECTION_S,
            ),
            time_limit_s=left_s,
            head_timeout_s=head_timeout_s,
        )

    # Refusals

    def _no_place(self, request: GatewayRequest, place: Place) -> RefusalError:
        if request.tries:
            refusal = self._failed(request, None)
        else:
            refusal = _unavailable(place.reply.cause, place.reply.retry_after_ms / 1000.0)
        refusal.inputs |= {
            "service": request.service_name,
            "workspace": request.workspace_name,
            "cause": place.reply.cause.name.lower(),
            **placement_inputs(place),
        }
        return refusal

    @staticmethod
    def _failed(request: GatewayRequest, failure: UpstreamError | None) -> RefusalError:
        """Build the last answer to a request whose tries all failed."""
        if not request.may_have_run:
            return _unavailable(RefusalCause.NO_ROOM, 0.3)
        is_late = isinstance(failure, ResponseTimeoutError)
        return RefusalError(
            status=HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY,
            kind="upstream-failed" if failure is None else f"upstream-{failure.kind}",
            detail="the request was sent to a target and may have run there",
            executed=Executed.UNKNOWN,
        )

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


def _body(body: CallerBody) -> bytes | Iterable[bytes] | None:
    if body.buffered is not None:
        return body.buffered or None
    return body.parts()


def _outcome(error: UpstreamError) -> Outcome:
    if isinstance(error, LoadShedError):
        return Outcome.SHED
    if not error.may_have_started:
        return Outcome.CONNECT_FAILURE
    if isinstance(error, HeadTimeoutError | ResponseTimeoutError):
        return Outcome.TIMEOUT
    if isinstance(error, IncompleteResponseError):
        return Outcome.BROKEN_AFTER_HEAD
    return Outcome.BROKEN_BEFORE_HEAD


def _unavailable(cause: RefusalCause, retry_after_s: float) -> RefusalError:
    kind, detail = _REFUSALS[cause]
    return RefusalError(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind=kind,
        detail=detail,
        retry_after_s=max(0.1, retry_after_s),
    )


def _nothing() -> None:
    """End no watch."""
