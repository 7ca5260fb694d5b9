"""Runs a fleet with its targets, and collects load records, ledgers, timelines and metrics."""

import os
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import urllib3
from tanagerreach_standins.fleet import Fleet, FleetInstance
from tanagerreach_standins.load import CallerWorkspace, InstanceTarget, LoadPlan, RequestKind
from tanagerreach_standins.processes import ProcessGroup, StartedProcess

from ._deployment import PROBE_SERVICE, PROBE_SLOTS, Deployment, probe_caller, probe_kind

SLOT_COUNT = 32
SLOTS_TIMEOUT_S = 180.0
WARM_TIMEOUT_S = 90.0
WARM_MARGIN_S = 5.0
WARM_PROBE_RATE_PER_S = 20.0
LOAD_START_S = 1.0
LOAD_END_TIMEOUT_S = 60.0
SERVICE_TIME_MS = 5.0
PROBE_SERVICE_TIME_MS = 2.0
DRAIN_NOTICE_S = 2.0
# Shortly after the end of a fault, its evidence can still cause an ejection.
FAULT_MARGIN_S = 3.0
# On a busier machine, latencies and refusals depend mostly on waiting for a processor.
SATURATED_RATIO = 0.85
SKEW = 10.0
SKEW_PERIOD = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
US_PER_MS = 1_000


def boot_time_s() -> float:
    """Return the time of CLOCK_BOOTTIME in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_to_boot_s(wall_ms: float) -> float:
    """Convert wall clock milliseconds, as in timelines, to seconds of CLOCK_BOOTTIME."""
    return wall_ms / 1000 - time.time() + boot_time_s()


@dataclass(slots=True, kw_only=True, frozen=True)
class Scale:
    """Size of the fleet and of the phases; trials are short and use a light load."""

    is_trial: bool
    instance_count: int
    phase_s: float
    detection_rounds: int
    load_factor: float
    restart_group_size: int = 8


FULL = Scale(is_trial=False, instance_count=32, phase_s=12.0, detection_rounds=4, load_factor=2.0)
TRIAL = Scale(is_trial=True, instance_count=32, phase_s=8.0, detection_rounds=2, load_factor=1.0)


@dataclass(slots=True, kw_only=True)
class FinishedLoad:
    """Records and summary of one load; ``busy_ratio`` is the use of all cores of the machine."""

    records: list[dict]
    summary: dict
    from_s: float
    until_s: float
    busy_ratio: float

    def saturation(self) -> str:
        """Return why the times of this load can't be judged, or an empty text if they can."""
        if self.busy_ratio <= SATURATED_RATIO:
            return ""
        return (
            f"the machine was {self.busy_ratio:.0%} busy, so that requests waited for a processor"
        )

    def records_of(self, workspace: str) -> list[dict]:
        """Return the records of one workspace."""
        return [record for record in self.records if record["workspace"] == workspace]


@dataclass(slots=True, kw_only=True)
class Testbed:
    """A fleet with its targets, and all that was observed of them."""

    group: ProcessGroup
    deployment: Deployment
    scale: Scale
    seed: int
    fleet: Fleet
    backends: dict[str, StartedProcess] = field(default_factory=dict)
    records: list[dict] = field(default_factory=list)
    fault_windows: list[tuple[float, float]] = field(default_factory=list)
    started_at_s: float = field(default_factory=boot_time_s)
    _entries: dict[str, list[dict]] = field(default_factory=dict)
    _events: dict[str, dict] = field(default_factory=dict)
    _load_count: int = 0
    _http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(num_pools=64, retries=False)
    )

    # Start

    def start(self) -> dict[str, float]:
        """Start all processes and wait until all slots are held and lent and targets are warm.

        :returns: duration of each step in seconds.
        """
        steps = {}
        began_s = time.monotonic()
        self._start_backends()
        self.fleet.start_store()
        self.fleet.start_instances(self.scale.instance_count)
        steps["processes_s"] = time.monotonic() - began_s
        revision = self.fleet.apply_document(self.deployment.document)
        self.fleet.wait_for_revision(revision)
        steps["slots_s"] = self.fleet.wait_for_slots(SLOT_COUNT, SLOTS_TIMEOUT_S)
        steps["warm_s"] = self._warm_up()
        return steps

    def _start_backends(self) -> None:
        document = self.group.log_directory / "configuration.toml"
        document.write_text(self.deployment.document, encoding="utf-8")
        services = {**self.deployment.services}
        for number, service in enumerate(services.values()):
            for target in service["targets"]:
                self.backends[target["name"]] = self._start_backend(
                    target["name"],
                    service["name"],
                    target["data_centre"],
                    port=int(target["address"].rsplit(":", 1)[1]),
                    slots=service["slots_per_target"],
                    service_time_ms=SERVICE_TIME_MS,
                    distribution="lognormal",
                    seed=self.seed * 100 + number,
                )
        for number, port in enumerate(self.deployment.probe_ports, 1):
            centres = self.deployment.data_centres
            name = f"measurement-{number}"
            self.backends[name] = self._start_backend(
                name,
                PROBE_SERVICE,
                centres[number % len(centres)],
                port=port,
                slots=PROBE_SLOTS,
                service_time_ms=PROBE_SERVICE_TIME_MS,
            )
        for process in self.backends.values():
            process.wait_ready(None)

    def _start_backend(
        self, name: str, service: str, data_centre: str, **options: object
    ) -> StartedProcess:
        return self.group.start_standin(
            "backend",
            label=name,
            wait=False,
            name=name,
            service=service,
            data_centre=data_centre,
            connection_cost_ms=1,
            probe_cost_ms=25,
            **options,
        )

    def _warm_up(self) -> float:
        """Send a light load until each service has a warm target, plus a margin."""
        load = self.start_load(
            [
                *self.deployment.workspaces(self.scale.load_factor),
                probe_caller(WARM_PROBE_RATE_PER_S),
            ],
            duration_s=WARM_TIMEOUT_S + WARM_MARGIN_S,
        )
        try:
            took_s = self.fleet.wait_until(
                self._is_warm, "a warm target in each service", WARM_TIMEOUT_S
            )
            time.sleep(WARM_MARGIN_S)
            return took_s
        finally:
            load.stop()

    def _is_warm(self) -> bool:
        """Tell whether each service has a warm target.

        The others may stay cold under a light load, since instances prefer warm targets.
        """
        warm: set[tuple[str, str]] = set()
        for instance in self.fleet.running():
            status = self.fleet.operator("GET", "/v1/status", instance=instance)
            for service, targets in status["target_states"].items():
                warm |= {(service, name) for name, state in targets.items() if state == "warm"}
        known = {service for service, _ in warm}
        return {*self.deployment.services, PROBE_SERVICE} <= known

    def targets_with_traffic(self, service: str, since_s: float, least: int) -> list[str]:
        """Return a service's targets that got at least ``least`` requests since a time."""
        names = self.target_names(service)
        ledgers = self.ledger(names)
        return [
            name
            for name in names
            if sum(entry["started_at_s"] >= since_s for entry in ledgers[name]) >= least
        ]

    def target_names(self, service: str) -> list[str]:
        """Return the names of a service's targets."""
        if service == PROBE_SERVICE:
            return [name for name in self.backends if name.startswith("measurement-")]
        return [target["name"] for target in self.deployment.services[service]["targets"]]

    # Loads

    def skewed_instances(self) -> list[InstanceTarget]:
        """Return all instances, every fourth with ten times the weight of the others."""
        return [
            InstanceTarget(
                address=instance.callers_address,
                weight=SKEW if number % SKEW_PERIOD == 0 else 1.0,
            )
            for number, instance in enumerate(self.fleet.running())
        ]

    def even_instances(self) -> list[InstanceTarget]:
        """Return all instances with the same weight."""
        return [
            InstanceTarget(address=instance.callers_address) for instance in self.fleet.running()
        ]

    def start_load(
        self,
        workspaces: list[CallerWorkspace],
        *,
        duration_s: float,
        instances: list[InstanceTarget] | None = None,
        kinds: list[RequestKind] | None = None,
    ) -> "StartedLoad":
        """Start a load in a separate process and wait until it sends requests."""
        self._load_count += 1
        plan = msgspec.structs.replace(
            self.deployment.plan,
            instances=instances or self.even_instances(),
            workspaces=workspaces,
            kinds=kinds or [*self.deployment.plan.kinds, probe_kind()],
            duration_s=duration_s,
            seed=self.seed * 1_000 + self._load_count,
            use_health=True,
        )
        return StartedLoad(testbed=self, plan=plan, number=self._load_count)

    def run_load(
        self,
        workspaces: list[CallerWorkspace],
        *,
        duration_s: float,
        instances: list[InstanceTarget] | None = None,
        kinds: list[RequestKind] | None = None,
    ) -> FinishedLoad:
        """Run a load to its end."""
        load = self.start_load(workspaces, duration_s=duration_s, instances=instances, kinds=kinds)
        return load.wait()

    # Faults

    @contextmanager
    def fault(self) -> Iterator[None]:
        """Record a period in which targets have faults, so that ejections are expected."""
        from_s = boot_time_s()
        try:
            yield
        finally:
            self.fault_windows.append((from_s, boot_time_s() + FAULT_MARGIN_S))

    def set_mode(self, target: str, mode: str, **parameters: object) -> float:
        """Switch a target's mode.

        :returns: time of the request.
        """
        at_s = boot_time_s()
        self.backends[target].call("PUT", "/control/mode", {"mode": mode, **parameters})
        return at_s

    def set_store(self, mode: str) -> None:
        """Switch the store's mode."""
        self.fleet.store.call("PUT", "/control/state", {"mode": mode})

    # Observation

    def ledger(self, names: list[str] | None = None) -> dict[str, list[dict]]:
        """Read what was added to the ledgers of the given targets, or of all without names.

        :returns: ledger entries by target, including targets read earlier.
        """
        for name in names or list(self.backends):
            known = self._entries.setdefault(name, [])
            # Requests that were still running at the last reading are read again.
            while known and known[-1]["ended_at_s"] is None:
                known.pop()
            process = self.backends[name]
            known += process.call("GET", f"/control/ledger?after={len(known)}")["entries"]
        return self._entries

    def entries(self, from_s: float = 0.0, until_s: float = float("inf")) -> list[dict]:
        """Return the ledger entries of all targets that started in a period."""
        return [
            entry
            for entries in self.ledger().values()
            for entry in entries
            if from_s <= entry["started_at_s"] <= until_s
        ]

    def events(self, instances: list[FleetInstance] | None = None) -> list[dict]:
        """Return the timeline events of all instances; those of ended processes as last read.

        :param instances: instances to read now; all running ones when ``None``.
        """
        for instance in self.fleet.running() if instances is None else instances:
            page = self.fleet.operator("GET", "/v1/timeline", instance=instance)
            for event in page["events"]:
                event["at_s"] = wall_to_boot_s(event["wall_ms"])
                self._events.setdefault(event["id"], event)
        return sorted(self._events.values(), key=lambda event: event["at_s"])

    def ejections(self, from_s: float = 0.0, until_s: float = float("inf")) -> list[dict]:
        """Return the ejections that service homes recorded in a period."""
        return [
            event
            for event in self.events()
            if event["kind"] == "target-ejected" and from_s <= event["at_s"] <= until_s
        ]

    def metrics(self, instance: FleetInstance) -> dict[str, list[dict]]:
        """Return the series of an instance's metrics, by metric name."""
        content = self.fleet.operator("GET", "/v1/metrics?format=json", instance=instance)
        return {name: metric["series"] for name, metric in content.items()}

    def settle(self, duration_s: float) -> None:
        """Wait, for example until token buckets are full again."""
        time.sleep(duration_s)


@dataclass(slots=True, kw_only=True)
class StartedLoad:
    """A load that runs in a separate process."""

    testbed: Testbed
    plan: LoadPlan
    number: int
    path: Path = field(init=False)
    process: StartedProcess = field(init=False)
    _from_s: float = 0.0
    _start_ticks: tuple[float, float] = (0.0, 0.0)

    def __post_init__(self) -> None:
        self.path = self.testbed.group.log_directory / f"load-{self.number}.plan"
        self.path.write_bytes(msgspec.json.encode(self.plan))
        self.process = self.testbed.group.start(
            f"load-{self.number}", [sys.executable, "-m", "measure._load_process", str(self.path)]
        )
        time.sleep(LOAD_START_S)
        self._from_s = boot_time_s()
        self._start_ticks = _machine_ticks()

    def stop(self) -> FinishedLoad:
        """Stop sending requests and wait for the outstanding responses."""
        self.process.begin_stop()
        return self.wait()

    def wait(self) -> FinishedLoad:
        """Wait for the end of the load and collect its results."""
        self.process.wait(self.plan.duration_s + LOAD_END_TIMEOUT_S)
        busy, total = _machine_ticks()
        lines = self.path.with_suffix(".records").read_bytes().splitlines()
        records = [msgspec.json.decode(line) for line in lines]
        self.testbed.records += records
        summary = msgspec.json.decode(self.path.with_suffix(".summary").read_bytes())
        return FinishedLoad(
            records=records,
            summary=summary,
            from_s=self._from_s,
            until_s=boot_time_s(),
            busy_ratio=(busy - self._start_ticks[0]) / max(1.0, total - self._start_ticks[1]),
        )


def _machine_ticks() -> tuple[float, float]:
    """Return the machine's busy and total processor time in ticks."""
    fields = Path("/proc/stat").read_text(encoding="ascii").splitlines()[0].split()[1:9]
    values = [float(value) for value in fields]
    idle = values[3] + values[4]
    return sum(values) - idle, sum(values)


def process_seconds(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def process_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
