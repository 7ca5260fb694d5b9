"""A caller's request at a gateway instance."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from tanagerreach_core.config import RouteMatch, Workspace
from tanagerreach_core.messages import PlacementRequest, RoutedPlacementRequest
from tanagerreach_core.placement import path_shape, work_class
from tanagerreach_core.traffic import Executed, Outcome, Try, executed, fingerprint

from .._caller_body import CallerBody
from .._upstream import HOP_BY_HOP_HEADERS
from ._dialect import Dialect
from ._late_tries import Replacement
from ._placement_client import QuotaUnit

MS_PER_S = 1000.0
# Wait of a caller that sends no deadline.
DEFAULT_CALLER_WAIT_S = 30.0
MAX_DEADLINE_DIGITS = 9
DEFAULT_MAX_TRIES = 2
OPEN_WORKSPACE = ""


@dataclass(slots=True, kw_only=True)
class GatewayRequest:
    """State of a request between its arrival and its response.

    :param caller_deadline_s: time until which the caller waits.
    :param response_deadline_s: time by which the response is due, also by the route's timeout.
    :param objective_s: time by which a response has its full value.
    :param is_repeat: whether a target received the request before, also one that rejected it.
    :param excluded_targets: targets that a home assigned but that must not get the request.
    :param late_target: target whose try is late while a replacement is searched, empty without one.
    :param replacement: what replaces the last try.
    :param quota_unit: unit of the workspace's quota that the request took, ``None`` without one.
    """

    environ: dict[str, Any]
    request_id: str
    match: RouteMatch
    workspace: Workspace | None
    key_text: str | None
    body: CallerBody
    arrived_s: float
    caller_deadline_s: float
    response_deadline_s: float
    objective_s: float
    tries: list[Try] = field(default_factory=list)
    excluded_targets: list[str] = field(default_factory=list)
    crash_fingerprint: bytes = b""
    is_repeat: bool = False
    late_target: str = ""
    replacement: Replacement | None = None
    quota_unit: QuotaUnit | None = None
    _end_watch: Callable[[], None] | None = None

    def begin_watch(self, end_watch: Callable[[], None]) -> None:
        """Record that the caller is watched, in place of a watch that was not ended.

        :param end_watch: ends the watch.
        """
        self.end_watch()
        self._end_watch = end_watch

    def end_watch(self) -> None:
        """End the watch of the caller, if there is one."""
        end_watch, self._end_watch = self._end_watch, None
        if end_watch is not None:
            end_watch()

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def raw_target(self) -> str:
        """Path and query as the caller sent them."""
        return self.environ["tanagerreach.raw_target"]

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty on an open route."""
        return OPEN_WORKSPACE if self.workspace is None else self.workspace.name

    @property
    def service_name(self) -> str:
        """Name of the service that the route sends this request to."""
        return self.match.service.name

    @property
    def max_tries(self) -> int:
        """Maximum number of targets that the request may be sent to."""
        return self.match.route.max_tries or DEFAULT_MAX_TRIES

    @property
    def sent_count(self) -> int:
        """Number of targets that the request was sent to; failed connections do not count."""
        return sum(entry.outcome is not Outcome.CONNECT_FAILURE for entry in self.tries)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have started to execute the request."""
        return executed(self.tries) is not Executed.NOT_RUN

    @property
    def priority(self) -> int:
        """Priority in a queue; 0 is the highest."""
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.match.route.priority

    def prepare(self) -> None:
        """Compute the fingerprint, which covers the body; the body has to be read first."""
        self.crash_fingerprint = fingerprint(
            workspace=self.workspace_name,
            route=self.match.route.name,
            method=self.method,
            path=self.raw_target,
            body_hash=self.body.digest(),
        )

    def placement_request(
        self,
        call_id: int,
        data_centre: str,
        now_s: float,
        *,
        accepts_stale: bool,
        tells_work: bool = False,
        names_route: bool = False,
    ) -> PlacementRequest:
        """Build the placement request.

        :param tells_work: whether the home places requests by their expected cost.
        :param names_route: whether the home is to know the request's route.
        """
        build = (
            partial(RoutedPlacementRequest, route=self.match.route.name)
            if names_route
            else PlacementRequest
        )
        return build(
            call_id=call_id,
            service=self.service_name,
            workspace=self.workspace_name,
            priority=self.priority,
            remaining_ms=int(MS_PER_S * (self.response_deadline_s - now_s)),
            objective_ms=int(MS_PER_S * (self.objective_s - now_s)),
            is_retryable=self.match.idempotent,
            is_retry=self.sent_count > 0 or bool(self.late_target),
            data_centre=data_centre,
            fingerprint=self.crash_fingerprint,
            excluded=self._excluded(),
            accepts_stale=accepts_stale,
            is_in_flight=bool(self.late_target),
            work_class=self._work_class() if tells_work else 0,
            path_shape=path_shape(self.raw_target) if tells_work else 0,
            urgency=self.match.route.priority,
            tried=[entry.target for entry in self.tries],
        )

    def _work_class(self) -> int:
        body = self.body
        body_bytes = body.content_length if body.buffered is None else len(body.buffered)
        return work_class(self.match.route.name, self.method, body_bytes)

    def _excluded(self) -> list[str]:
        excluded = [entry.target for entry in self.tries] + self.excluded_targets
        return [*excluded, self.late_target] if self.late_target else excluded

    def record_try(self, target: str, outcome: Outcome, *, has_arrived: bool) -> None:
        """Record the outcome of a try, and whether it may have reached the target."""
        self.is_repeat |= has_arrived
        self.tries.append(Try(target=target, outcome=outcome))

    def target_headers(self, dialect: Dialect, target: str, now_s: float) -> dict[str, str]:
        """Build the headers for a target, without the caller's key."""
        given = self.environ["tanagerreach.handler"].headers
        nominated = {name.strip().lower() for name in given.get("Connection", "").split(",")}
        dropped = HOP_BY_HOP_HEADERS | dialect.own_headers | nominated
        dropped |= {"content-length", "expect"}
        headers: dict[str, str] = {}
        for name, value in given.items():
            if name.lower() not in dropped:
                headers[name] = f"{headers[name]}, {value}" if name in headers else value
        headers[dialect.request_id] = self.request_id
        left_ms = int(MS_PER_S * (min(self.caller_deadline_s, self.response_deadline_s) - now_s))
        headers[dialect.deadline_ms] = str(max(1, left_ms))
        headers[dialect.expected_target] = target
        if self.workspace is not None:
            # Header values are strings of bytes, as in WSGI.
            headers[dialect.workspace] = self.workspace.name.encode().decode("latin-1")
        self._add_length(headers)
        return headers

    def _add_length(self, headers: dict[str, str]) -> None:
        body = self.body
        if body.buffered is not None:
            if body.buffered or self.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
                headers["Content-Length"] = str(len(body.buffered))
        elif body.content_length is not None:
            headers["Content-Length"] = str(body.content_length)
        else:
            headers["Transfer-Encoding"] = "chunked"


def caller_wait_s(deadline_text: str) -> float:
    """Return how long the caller waits, by its deadline header."""
    if deadline_text.isdecimal():
        return int(deadline_text[:MAX_DEADLINE_DIGITS]) / MS_PER_S
    return DEFAULT_CALLER_WAIT_S
