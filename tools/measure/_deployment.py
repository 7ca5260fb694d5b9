"""Deployments from ``examples``: their objects, limits and regular load."""

import hashlib
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tanagerreach_core.config import Selector
from tanagerreach_standins.load import CallerWorkspace, LoadPlan, RequestKind, read_plan
from tanagerreach_standins.processes import free_port

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"
# Bodies of 2 MB would take too much processor time on loopback for 32 instances on one machine.
UPLOAD_BYTES = 200_000
PROBE_KEY = "measurement-key-0123456789abcdef"
PROBE_WORKSPACE = "measurement"
PROBE_SERVICE = "measurement"
PROBE_TARGET_COUNT = 4
PROBE_SLOTS = 64
PROBE_RATE_PER_S = 4_000


@dataclass(slots=True, kw_only=True, frozen=True)
class MeasurementRoles:
    """Workspaces and services of one deployment that have a part in the measurements.

    :param within_limit: large workspace that stays within its rate, and its request kind.
    :param over_limit: large workspace that exceeds its rate, and its request kind.
    :param over_limit_in_trial: standard workspace that replaces ``over_limit`` in trials.
    :param faulty_services: services whose targets get faults, by descending traffic per target.
    :param withdrawn_workspace: workspace whose key is withdrawn.
    """

    within_limit: tuple[str, str]
    over_limit: tuple[str, str]
    over_limit_in_trial: tuple[str, str]
    faulty_services: tuple[str, ...]
    withdrawn_workspace: str


ROLES = {
    "kranfind": MeasurementRoles(
        within_limit=("web-catalogue", "page"),
        over_limit=("counter-sofia", "match"),
        over_limit_in_trial=("counter-plovdiv", "match"),
        faulty_services=("catalogue", "matcher", "reservations"),
        withdrawn_workspace="counter-varna",
    ),
    "lakeshore": MeasurementRoles(
        within_limit=("chicago-loop", "stock"),
        over_limit=("detroit-riverfront", "map"),
        over_limit_in_trial=("milwaukee-third-ward", "map"),
        faulty_services=("stockboard", "rooftopmap", "tillhouse"),
        withdrawn_workspace="cleveland-flats",
    ),
}


@dataclass(slots=True, kw_only=True)
class Deployment:
    """Objects of a deployment, with the targets moved to free ports.

    A probe workspace, service and targets with a fixed service time are added, so that the latency
    that an instance adds is measured without the varying service times of the other targets.
    """

    name: str
    document: str
    plan: LoadPlan
    roles: MeasurementRoles
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    services: dict[str, dict] = field(default_factory=dict)
    data_centres: list[str] = field(default_factory=list)
    probe_ports: list[int] = field(default_factory=list)

    def workspaces(self, factor: float, *, uploads: bool = True) -> list[CallerWorkspace]:
        """Return the regular load of all workspaces, with their rates multiplied by a factor.

        :param uploads: whether to include request kinds with a body sent over time.
        """
        uploading = {kind.name for kind in self.plan.kinds if kind.body_duration_s}
        found = []
        for workspace in self.plan.workspaces:
            kinds = [name for name in workspace.kinds if uploads or name not in uploading]
            if kinds:
                rate_per_s = workspace.rate_per_s * factor
                found.append(msgspec.structs.replace(workspace, rate_per_s=rate_per_s, kinds=kinds))
        return found

    def caller(self, sender: tuple[str, str], rate_per_s: float) -> CallerWorkspace:
        """Return a workspace at the given rate.

        :param sender: name of the workspace, and the one request kind that it sends.
        """
        name, kind = sender
        workspace = next(item for item in self.plan.workspaces if item.name == name)
        return msgspec.structs.replace(workspace, rate_per_s=rate_per_s, kinds=[kind])

    def limit(self, workspace: str) -> tuple[float, float]:
        """Return the rate and burst of a workspace's limit."""
        return self.limits[workspace]


def read_deployment(name: str, seed: int) -> Deployment:
    """Read the deployment in ``examples/<name>``."""
    directory = EXAMPLES / name
    text = (directory / "configuration.toml").read_text(encoding="utf-8")
    text = re.sub(
        r'^address = "127\.0\.0\.1:\d+"',
        lambda _: f'address = "127.0.0.1:{free_port()}"',
        text,
        flags=re.MULTILINE,
    )
    plan = read_plan(directory / "load.toml", seed=seed)
    for kind in plan.kinds:
        kind.body_bytes = min(kind.body_bytes, UPLOAD_BYTES)
    parsed = tomllib.loads(text)
    deployment = Deployment(name=name, document=text, plan=plan, roles=ROLES[name])
    deployment.data_centres = [item["name"] for item in parsed["data-centre"]]
    deployment.services = {item["name"]: item for item in parsed["service"]}
    deployment.limits = _limits(parsed)
    deployment.probe_ports = [free_port() for _ in range(PROBE_TARGET_COUNT)]
    deployment.document += _probe_tables(deployment)
    return deployment


def _limits(parsed: dict) -> dict[str, tuple[float, float]]:
    limits = sorted(parsed["limit"], key=lambda item: -item["priority"])
    found = {}
    for workspace in parsed["workspace"]:
        labels = workspace.get("labels", {})
        chosen = next(item for item in limits if Selector.parse(item["workspaces"]).matches(labels))
        found[workspace["name"]] = (chosen["rate_per_s"], chosen["burst"])
    return found


def _probe_tables(deployment: Deployment) -> str:
    digest = hashlib.sha256(PROBE_KEY.encode()).hexdigest()
    text = (
        f'\n[[workspace]]\nname = "{PROBE_WORKSPACE}"\nlabels = {{ purpose = "measurement" }}\n'
        f'[[key]]\nname = "{PROBE_WORKSPACE}-1"\nworkspace = "{PROBE_WORKSPACE}"\n'
        f'key_hash = "{digest}"\n'
        f'[[limit]]\nname = "measurement"\nworkspaces = "purpose=measurement"\n'
        f"rate_per_s = {PROBE_RATE_PER_S}\nburst = {PROBE_RATE_PER_S}\npriority = 100\n"
        f'[[route]]\nname = "measurement"\npath_prefix = "/measurement"\nmethods = ["GET"]\n'
        f'service = "{PROBE_SERVICE}"\nworkspaces = "purpose=measurement"\n'
        f'[[service]]\nname = "{PROBE_SERVICE}"\nfloor = 1\nslots_per_target = {PROBE_SLOTS}\n'
        f"cold_concurrency = {PROBE_SLOTS}\ntimeout_s = 5.0\n"
    )
    for number, port in enumerate(deployment.probe_ports, 1):
        data_centre = deployment.data_centres[number % len(deployment.data_centres)]
        text += (
            f'[[service.targets]]\nname = "measurement-{number}"\n'
            f'address = "127.0.0.1:{port}"\ndata_centre = "{data_centre}"\n'
        )
    return text


def probe_kind() -> RequestKind:
    """Return the request kind of the probe service."""
    return RequestKind(name="probe", path="/measurement/{n}")


def probe_caller(rate_per_s: float) -> CallerWorkspace:
    """Return the probe workspace, sending at the given rate."""
    return CallerWorkspace(
        name=PROBE_WORKSPACE, key=PROBE_KEY, rate_per_s=rate_per_s, kinds=["probe"]
    )
