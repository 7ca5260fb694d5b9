"""State of a caller's request while the instance handles it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tanagerreach_core.config import Resolver, RouteMatch, Workspace
from tanagerreach_core.traffic import Outcome, Try, fingerprint

from ._caller_body import CallerBody
from ._claim_coordinator import Claim

MS_PER_S = 1000.0
DEADLINE_HEADER = "HTTP_REQUEST_DEADLINE_MS"
MAX_DEADLINE_DIGITS = 9
IDEMPOTENCY_HEADER = "HTTP_IDEMPOTENCY_KEY"
# Requests of routes that need no key have no workspace; they share one queue.
OPEN_WORKSPACE = ""


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """A request, its tries, and the resources to release at its end.

    :param resolver: resolver by which the key was checked.
    :param deadline_s: time by which the request has to be responded to; for a large body without a
        deadline set by the caller, the time by which it has to be sent to a target.
    :param on_end: callbacks that release resources, called with the outcome in reverse order.
    """

    environ: dict[str, Any]
    request_id: str
    arrived_s: float
    resolver: Resolver
    match: RouteMatch
    workspace: Workspace | None
    body: CallerBody
    deadline_s: float
    key_text: str | None
    computed_fingerprint: bytes | None = None
    claim: Claim | None = None
    tries: list[Try] = field(default_factory=list)
    upstream_s: float = 0.0
    on_end: list[Callable[[Outcome], None]] = field(default_factory=list)

    def end(self, outcome: Outcome) -> None:
        """Release the resources that the request holds."""
        while self.on_end:
            self.on_end.pop()(outcome)

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty on a route that needs no key."""
        return OPEN_WORKSPACE if self.workspace is None else self.workspace.name

    @property
    def method(self) -> str:
        """HTTP method of the request."""
        return self.environ["REQUEST_METHOD"]

    @property
    def idempotency_key(self) -> str | None:
        """Idempotency key that the caller sent."""
        return self.environ.get(IDEMPOTENCY_HEADER)

    @property
    def has_deadline(self) -> bool:
        """Whether the deadline includes sending the body.

        Sending a large body takes as long as its caller needs. The route's time limit then starts
        at the end of the body, and only a deadline that the caller has set includes the body.
        """
        return self.body.buffered is not None or DEADLINE_HEADER in self.environ

    @property
    def crash_fingerprint(self) -> bytes:
        """Fingerprint that identifies the request when it is sent again."""
        if self.computed_fingerprint is None:
            self.computed_fingerprint = fingerprint(
                workspace=self.workspace_name,
                route=self.match.route.name,
                method=self.method,
                path=self.environ["tanagerreach.raw_target"],
                idempotency_key=self.idempotency_key,
                body_hash=self.body.digest(),
            )
        return self.computed_fingerprint


def time_limit_s(environ: dict[str, Any], match: RouteMatch) -> float:
    """Return the route's time limit, or a shorter one that the caller requested."""
    requested = environ.get(DEADLINE_HEADER, "")
    if requested.isdecimal():
        return min(match.timeout_s, int(requested[:MAX_DEADLINE_DIGITS]) / MS_PER_S)
    return match.timeout_s
