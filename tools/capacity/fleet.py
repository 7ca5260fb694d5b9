"""Store calls, CPU time and bytes sent of instance processes in small idle fleets."""

import os
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tanagerreach_standins.fleet import Fleet, FleetInstance
from tanagerreach_standins.processes import ProcessGroup

from .fitting import Slope, fit

# Each fleet has more instances than slots; the number of instances without slots doubles.
SIZES = (6, 7, 9, 13, 21)
# Few slots, so that a small fleet has instances with and without slots.
SLOT_COUNT = 5
# Instances compute their fair share of slots often in the first 30 s; rates are steady afterwards.
SETTLE_S = 36.0
# One interval of the least frequent store calls.
WINDOW_S = 30.0
COUNTERS = (("cpu_s", "core"), ("sent_bytes", "bytes/s"), ("received_bytes", "bytes/s"))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True, kw_only=True, frozen=True)
class Reading:
    """Counters of one instance process at one time."""

    cpu_s: float
    sent_bytes: float
    received_bytes: float
    sent_messages: float
    resident_bytes: int


def cpu_s(pid: int) -> float:
    """Return the CPU time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def read_counters(fleet: Fleet, instance: FleetInstance) -> Reading:
    """Read the counters of an instance."""
    metrics = fleet.operator("GET", "/v1/metrics?format=json", instance=instance)
    values = gauges(metrics)
    return Reading(
        cpu_s=cpu_s(instance.process.pid),
        sent_bytes=values["tanagerreach_peer_sent_bytes"],
        received_bytes=values["tanagerreach_peer_received_bytes"],
        sent_messages=values["tanagerreach_peer_sent_messages"],
        resident_bytes=resident_bytes(instance.process.pid),
    )


def gauges(metrics: dict) -> dict[str, float]:
    """Return the metrics that have a single value."""
    return {
        name: entry["series"][0]["value"]
        for name, entry in metrics.items()
        if entry["series"] and "value" in entry["series"][0]
    }


def store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the number of calls that the store has received, by kind."""
    return dict(fleet.store.call("GET", "/control/counts")["calls"])


@dataclass(slots=True, kw_only=True)
class Window:
    """Readings of a fleet at the start and at the end of a period.

    ``holders`` are the instances with a slot, ``others`` those without.
    """

    duration_s: float
    calls_per_s: dict[str, float]
    holders: list[tuple[Reading, Reading]]
    others: list[tuple[Reading, Reading]]

    def mean_rate(self, role: str, counter: str) -> float:
        """Return the mean rate of a counter over the instances of a role, or 0 without any."""
        pairs = getattr(self, role)
        if not pairs:
            return 0.0
        total = sum(getattr(after, counter) - getattr(before, counter) for before, after in pairs)
        return total / len(pairs) / self.duration_s

    def max_rate(self, counter: str) -> float:
        """Return the highest rate of a counter over all instances."""
        pairs = self.holders + self.others
        return max(
            (getattr(after, counter) - getattr(before, counter)) / self.duration_s
            for before, after in pairs
        )


def observe(fleet: Fleet, duration_s: float) -> Window:
    """Read all counters at the start and at the end of a period."""
    instances = fleet.running()
    calls_before = store_calls(fleet)
    started_s = time.monotonic()
    before = [read_counters(fleet, instance) for instance in instances]
    time.sleep(duration_s)
    after = [read_counters(fleet, instance) for instance in instances]
    elapsed_s = time.monotonic() - started_s
    calls_after = store_calls(fleet)
    window = Window(
        duration_s=elapsed_s,
        calls_per_s={
            kind: round((count - calls_before.get(kind, 0)) / elapsed_s, 3)
            for kind, count in calls_after.items()
        },
        holders=[],
        others=[],
    )
    for instance, first, last in zip(instances, before, after, strict=True):
        status = fleet.operator("GET", "/v1/status", instance=instance)
        role = window.holders if status["slots"] else window.others
        role.append((first, last))
    return window


def slopes() -> Iterator[Slope]:
    """Measure idle fleets of several sizes, which run at the same time."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size, window in _windows():
        for kind in ("watch", "kv_list", "instances_get", "lease_renew"):
            calls = window.calls_per_s.get(kind, 0.0)
            points.setdefault((f"store_{kind}_fleet", "calls/s"), []).append((size, calls))
        for role in ("holders", "others"):
            if not getattr(window, role):
                continue
            for counter, unit in COUNTERS:
                value = window.mean_rate(role, counter)
                points.setdefault((f"idle_{counter}_{role}", unit), []).append((size, value))
    for (name, unit), values in points.items():
        yield fit(name, unit, "instance", values)


def _windows() -> Iterator[tuple[int, Window]]:
    with ProcessGroup() as group:
        fleets = [_start(group, size) for size in SIZES]
        time.sleep(SETTLE_S)
        with ThreadPoolExecutor(max_workers=len(fleets)) as pool:
            windows = list(pool.map(lambda fleet: observe(fleet, WINDOW_S), fleets))
    yield from zip(SIZES, windows, strict=True)


def _start(group: ProcessGroup, size: int) -> Fleet:
    # Process and file names repeat in each fleet, so each fleet has its own directory.
    directory = group.log_directory / f"fleet-{size}"
    directory.mkdir()
    part = ProcessGroup(log_directory=directory)
    part.processes = group.processes
    fleet = Fleet(group=part, settings={"slot_count": SLOT_COUNT})
    fleet.start_store()
    fleet.start_instances(size)
    return fleet
