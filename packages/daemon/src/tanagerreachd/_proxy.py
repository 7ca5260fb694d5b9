"""WSGI application that checks, admits and proxies callers' requests to targets."""

import secrets
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from tanagerreach_core.config import Freshness, Resolver, RouteMatch, Workspace
from tanagerreach_core.traffic import CrashRequestRegistry, Outcome, executed
from tanagerreach_core.traffic import Executed as TryExecuted

from ._caller_body import CallerBody, CallerBodyError, body_refusal
from ._caller_watch import CallerDisconnectedError, CallerWatch
from ._claim_coordinator import Claim, ClaimCoordinator, ClaimOutcome, claim_key
from ._proxy_metrics import ProxyMetrics
from ._proxy_refusals import caller_disconnected, key_in_target, starting
from ._refusals import Executed, RefusalError
from ._request_context import RequestContext, time_limit_s
from ._request_headers import bearer_key, response_headers
from ._route_lookup import find_route
from ._service_dispatcher import ServiceDispatcher
from ._streamed_response import StreamedResponse
from ._target_tries import TargetTries, response_outcome
from ._token_client import TokenClient
from ._upstream import ResponseStream, UpstreamClient, UpstreamResponse

HEALTH_PATH = "/healthz"
REQUEST_ID_BYTES = 12
MAX_IDEMPOTENCY_KEY_CHARS = 200

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Proxy:
    """WSGI application of the callers' listener.

    :param resolver: returns the resolver of the current configuration.
    :param body_limit_bytes: maximum body size of routes that set no limit of their own.
    :param body_part_time_s: timeout for each part of a caller's body.
    :param admission_wait_s: maximum wait of a request that exceeds its workspace's rate.
    :param on_crash_suspect: called with the notice of a request that may have crashed a target.
    :param is_ready: whether the load balancer may send requests.
    """

    def __init__(
        self,
        *,
        resolver: Callable[[], Resolver],
        freshness: Freshness,
        tokens: TokenClient,
        services: ServiceDispatcher,
        claims: ClaimCoordinator,
        crash_requests: CrashRequestRegistry,
        upstream: UpstreamClient,
        watch: CallerWatch,
        metrics: ProxyMetrics,
        body_limit_bytes: int,
        body_part_time_s: float,
        admission_wait_s: float,
        on_crash_suspect: Callable[[Any], None],
        is_ready: Callable[[], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._resolver = resolver
        self._freshness = freshness
        self._tokens = tokens
        self._claims = claims
        self._tries = TargetTries(
            resolver=resolver,
            services=services,
            crash_requests=crash_requests,
            upstream=upstream,
            metrics=metrics,
            on_crash_suspect=on_crash_suspect,
            now_s=now_s,
        )
        self._watch = watch
        self._metrics = metrics
        self._body_limit_bytes = body_limit_bytes
        self._body_part_time_s = body_part_time_s
        self._admission_wait_s = admission_wait_s
        self._is_ready = is_ready
        self._now_s = now_s
        self.in_flight_count = 0

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        if environ["PATH_INFO"] == HEALTH_PATH:
            return self._health(start_response)
        self.in_flight_count += 1
        streamed = None
        is_response_started = False
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        try:
            response, context = self._handle(environ, request_id)
            if response.stream is not None:
                streamed = self._streamed(response.stream, context, response_outcome(response))
            self._metrics.record_response(context, response.status, self._now_s())
            headers = response_headers(response.status, response.headers, request_id)
            start_response(f"{response.status} {response.reason or 'Status'}", headers)
            is_response_started = True
            if streamed is not None:
                return streamed
            return [response.body] if response.body else []
        except RefusalError as refusal:
            return self._refuse(refusal, environ, request_id, start_response)
        finally:
            if streamed is None:
                self.in_flight_count -= 1
            elif not is_response_started:
                streamed.close()

    def _streamed(
        self, stream: ResponseStream, context: RequestContext, outcome: Outcome
    ) -> StreamedResponse:
        def end(ended: Outcome) -> None:
            self.in_flight_count -= 1
            context.end(ended)

        return StreamedResponse(stream=stream, outcome=outcome, on_end=end)

    def _handle(
        self, environ: dict[str, Any], request_id: str
    ) -> tuple[UpstreamResponse, RequestContext]:
        context = self._accept(environ, request_id)
        try:
            context.body.read_first_part()
        except CallerBodyError as error:
            raise body_refusal(error, Executed.NOT_RUN) from error
        self._refuse_crash_request(context)
        self._admit(context)
        self._acquire_claim(context)
        if context.match.idempotent:
            # A non-idempotent request is not cancelled midway, as it would be unknown whether it
            # ran.
            end_watch = self._watch.watch(environ)
            context.on_end.append(lambda _: end_watch())
        response = None
        outcome = Outcome.CANCELLED
        try:
            response = self._tries.run(context, self._recheck)
            self._check_forwardable(context, response)
            outcome = response_outcome(response)
        except CallerDisconnectedError:
            raise caller_disconnected(executed(context.tries)) from None
        finally:
            if response is None or response.stream is None:
                context.end(outcome)
            if response is None:
                self._release_claim(context)
        return response, context

    @staticmethod
    def _check_forwardable(context: RequestContext, response: UpstreamResponse) -> None:
        """Refuse a chunked response to an HTTP/1.0 caller, who could not detect truncation."""
        if response.stream is None or context.environ["SERVER_PROTOCOL"] != "HTTP/1.0":
            return
        if any(name.lower() == "content-length" for name, _ in response.headers):
            return
        response.stream.close()
        context.end(Outcome.CANCELLED)
        raise RefusalError(
            status=HTTPStatus.BAD_GATEWAY,
            kind="answer-not-delimited",
            detail="the answer has no announced length; use HTTP/1.1",
            executed=Executed.UNKNOWN,
        )

    # Checks

    def _accept(self, environ: dict[str, Any], request_id: str) -> RequestContext:
        now_s = self._now_s()
        resolver = self._resolver()
        if not self._freshness.is_bootstrapped(now_s):
            # Before the routes are loaded, every path would be refused as unknown.
            raise starting()
        match = find_route(resolver, environ)
        key_text = bearer_key(environ)
        workspace = None
        if not match.route.open:
            workspace = self._check_key(resolver, match, key_text, now_s)
        if key_text and _contains_key(environ["tanagerreach.raw_target"], key_text):
            raise key_in_target()
        if match.service is None:
            raise RefusalError(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                kind="no-service",
                detail="the route has no service at present",
                retry_after_s=1.0,
            )
        body = self._body(environ, match)
        body.check_announced_size()
        return RequestContext(
            environ=environ,
            request_id=request_id,
            arrived_s=now_s,
            resolver=resolver,
            match=match,
            workspace=workspace,
            body=body,
            deadline_s=now_s + time_limit_s(environ, match),
            key_text=key_text,
        )

    def _check_freshness(self, now_s: float) -> None:
        if self._freshness.may_serve_keyed(now_s):
            return
        if not self._freshness.is_bootstrapped(now_s):
            raise starting()
        raise RefusalError(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            kind="configuration-stale",
            detail="this instance cannot confirm that keys are still valid; try again",
            retry_after_s=1.0,
        )

    def _check_key(
        self, resolver: Resolver, match: RouteMatch, key_text: str | None, now_s: float
    ) -> Workspace:
        self._check_freshness(now_s)
        workspace = None if key_text is None else resolver.workspace_of_key(key_text)
        if workspace is None:
            raise RefusalError(
                status=HTTPStatus.UNAUTHORIZED,
                kind="key-not-valid",
                detail="send a valid key in the header Authorization: Bearer <key>",
                headers=[("WWW-Authenticate", "Bearer")],
            )
        if not resolver.may_use(match.route, workspace):
            raise RefusalError(
                status=HTTPStatus.FORBIDDEN,
                kind="route-not-allowed",
                detail="this workspace may not use the route; ask its operators",
            )
        return workspace

    def _body(self, environ: dict[str, Any], match: RouteMatch) -> CallerBody:
        limit_bytes = match.route.max_body_bytes
        length = environ.get("CONTENT_LENGTH")
        return CallerBody(
            stream=environ["wsgi.input"],
            content_length=None if length is None else int(length),
            chunked=environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked",
            limit_bytes=self._body_limit_bytes if limit_bytes is None else limit_bytes,
            part_time_limit_s=self._body_part_time_s,
        )

    def _refuse_crash_request(self, context: RequestContext) -> None:
        if self._tries.is_crash_request(context):
            raise RefusalError(
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
                kind="crash-request",
                detail="this request broke the connections of several targets; it is not sent",
                retry_after_s=60.0,
            )

    def _admit(self, context: RequestContext) -> None:
        if context.workspace is None:
            return
        wait_limit_s = min(self._admission_wait_s, context.deadline_s - self._now_s())
        if not self._tokens.admit(context.workspace.name, wait_limit_s):
            raise RefusalError(
                status=HTTPStatus.TOO_MANY_REQUESTS,
                kind="rate-exceeded",
                detail="the workspace's rate is used up; try again later",
                retry_after_s=self._tokens.retry_after_s(context.workspace.name),
            )

    def _acquire_claim(self, context: RequestContext) -> None:
        key = context.idempotency_key
        if context.match.idempotent or key is None:
            return
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
            raise RefusalError(
                status=HTTPStatus.BAD_REQUEST,
                kind="idempotency-key-not-valid",
                detail=f"Idempotency-Key has 1 to {MAX_IDEMPOTENCY_KEY_CHARS} characters",
            )
        found = self._claims.acquire(
            claim_key(context.workspace_name, context.match.route.name, key)
        )
        if found is ClaimOutcome.TAKEN:
            raise RefusalError(
                status=HTTPStatus.CONFLICT,
                kind="idempotency-key-used",
                detail="a request with this Idempotency-Key was started before and may have run",
                executed=Executed.UNKNOWN,
            )
        if not isinstance(found, Claim):
            raise RefusalError(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                kind="claim-not-recorded",
                detail="the Idempotency-Key could not be recorded; try again",
                retry_after_s=1.0,
            )
        context.claim = found

    def _release_claim(self, context: RequestContext) -> None:
        if context.claim is not None and executed(context.tries) is TryExecuted.NOT_RUN:
            self._claims.release(context.claim)

    def _recheck(self, context: RequestContext) -> None:
        """Repeat the checks whose result may have changed while the request was queued."""
        self._refuse_crash_request(context)
        self._recheck_key(context)

    def _recheck_key(self, context: RequestContext) -> None:
        """Refuse a request whose key was withdrawn while it was queued."""
        if context.workspace is None:
            return
        now_s = self._now_s()
        resolver = self._resolver()
        if resolver is context.resolver:
            # The key was found valid by this same configuration.
            self._check_freshness(now_s)
        else:
            self._check_key(resolver, context.match, context.key_text, now_s)

    # Responses

    def _health(self, start_response: StartResponse) -> Iterable[bytes]:
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        body = b'{"status":"ok"}' if ready else b'{"status":"unavailable"}'
        start_response(
            f"{status.value} {status.phrase}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _refuse(
        self,
        refusal: RefusalError,
        environ: dict[str, Any],
        request_id: str,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self._metrics.record_refusal(refusal)
        body = refusal.body(request_id)
        headers = refusal.response_headers(body)
        headers.append(("Request-Id", request_id))
        start_response(refusal.status_line(), headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]


def _contains_key(raw_target: str, key_text: str) -> bool:
    return key_text in raw_target or ("%" in raw_target and key_text in unquote(raw_target))
