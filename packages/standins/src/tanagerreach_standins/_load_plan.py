"""Plan of a caller load: instances, workspaces and kinds of request."""

import math
from pathlib import Path
from random import Random
from typing import Any

import msgspec

ARRIVALS = ("poisson", "even")


class PlanError(ValueError):
    """The load plan is not valid; the message names the field and the allowed values."""


class InstanceTarget(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An instance; ``weight`` is its share of the requests, relative to the other weights."""

    address: str
    weight: float = 1.0


class RequestKind(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One kind of request in the mix.

    ``{n}`` in the path is replaced by the request's number. With ``idempotency_key``, each request
    has its own ``Idempotency-Key``. ``body_duration_s`` spreads the upload of the body over time.
    ``answer_bytes`` is the size of the padding that the backend server adds to its response.
    ``resends`` is how often the caller sends the same request again after an error or a 5xx
    response, with a pause of ``resend_delay_s``.
    """

    name: str
    method: str = "GET"
    path: str = "/"
    weight: float = 1.0
    idempotency_key: bool = False
    body_bytes: int = 0
    body_duration_s: float = 0.0
    answer_bytes: int = 0
    headers: dict[str, str] = {}
    resends: int = 0
    resend_delay_s: float = 0.2


class RateChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """New rate of a workspace, from ``at_s`` seconds after the start."""

    at_s: float
    rate_per_s: float


class CallerWorkspace(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Callers of one workspace; ``kinds`` names the kinds of request they send, empty for all."""

    name: str
    key: str = ""
    rate_per_s: float
    rate_changes: list[RateChange] = []
    kinds: list[str] = []

    def rate_at(self, elapsed_s: float) -> float:
        """Return the rate ``elapsed_s`` after the start."""
        rate_per_s = self.rate_per_s
        for change in self.rate_changes:
            if change.at_s <= elapsed_s:
                rate_per_s = change.rate_per_s
        return rate_per_s

    def next_change_s(self, elapsed_s: float) -> float:
        """Return the time of the next rate change, infinity when there is none."""
        later = (change.at_s for change in self.rate_changes if change.at_s > elapsed_s)
        return min(later, default=math.inf)


class LoadPlan(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Plan of a whole load.

    ``use_health`` leaves out instances whose ``GET /healthz`` does not return 200, as the
    platform's load balancer does. ``timeout_s`` is the timeout of one request, from connecting to
    the last byte of the response.
    """

    instances: list[InstanceTarget]
    workspaces: list[CallerWorkspace]
    kinds: list[RequestKind] = msgspec.field(default_factory=lambda: [RequestKind(name="get")])
    duration_s: float = 10.0
    arrivals: str = "poisson"
    seed: int = 0
    timeout_s: float = 10.0
    use_health: bool = False
    health_interval_s: float = 0.5

    def check(self) -> None:
        """Validate the plan.

        :raises PlanError: when a field is not valid.
        """
        if not self.instances or not self.workspaces or not self.kinds:
            raise PlanError("instances, workspaces and kinds need at least one item each")
        if self.arrivals not in ARRIVALS:
            raise PlanError(f"arrivals is {self.arrivals!r}; use one of {', '.join(ARRIVALS)}")
        names = {kind.name for kind in self.kinds}
        for workspace in self.workspaces:
            unknown = sorted(set(workspace.kinds) - names)
            if unknown:
                message = f"kinds of workspace {workspace.name!r} has {unknown[0]!r}"
                raise PlanError(f"{message}; use one of {', '.join(sorted(names))}")

    def kinds_of(self, workspace: CallerWorkspace) -> list[RequestKind]:
        """Return the kinds of request that a workspace sends."""
        if not workspace.kinds:
            return self.kinds
        return [kind for kind in self.kinds if kind.name in workspace.kinds]


class ArrivalTimes:
    """Generates the arrival times of one workspace's requests.

    :param arrivals: poisson or even.
    """

    def __init__(self, *, workspace: CallerWorkspace, arrivals: str, random: Random) -> None:
        self._workspace = workspace
        self._is_even = arrivals == "even"
        self._random = random

    def next_s(self, after_s: float) -> float:
        """Return the first arrival after ``after_s``, infinity when there is none."""
        while after_s < math.inf:
            change_s = self._workspace.next_change_s(after_s)
            arrival_s = after_s + self._interval_s(self._workspace.rate_at(after_s))
            # The interval was drawn for the old rate; from the rate change on, draw it again.
            if arrival_s <= change_s:
                return arrival_s
            after_s = change_s
        return math.inf

    def _interval_s(self, rate_per_s: float) -> float:
        if rate_per_s <= 0:
            return math.inf
        return 1 / rate_per_s if self._is_even else self._random.expovariate(rate_per_s)


def read_plan(path: Path, **overrides: Any) -> LoadPlan:
    """Read a plan from a TOML file.

    :param overrides: fields that replace those of the file, unless they are ``None``.
    :raises PlanError: when the plan is not valid.
    """
    given = {name: value for name, value in overrides.items() if value is not None}
    try:
        content = msgspec.toml.decode(path.read_bytes())
        plan = msgspec.convert({**content, **given}, LoadPlan)
    except (ValueError, msgspec.MsgspecError) as error:
        raise PlanError(f"{path}: {error}") from error
    plan.check()
    return plan
