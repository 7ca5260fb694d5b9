"""Measures one instance: requests/s at saturation, and the latency that it adds at a low rate.

Starts a store, one instance, backend servers and the caller load, and compares requests sent
directly to a backend server with requests sent through the instance at the same time. Prints JSON.
"""

import argparse
import hashlib
import json
import subprocess
import sys
import time
from pathlib import Path

from tanagerreach_standins.fleet import Fleet, FleetInstance
from tanagerreach_standins.processes import ProcessGroup, StartedProcess

KEY = "measured-key-0123456789abcdef"
SLOT_COUNT = 5
BACKEND_COUNT = 6
BACKEND_OPTIONS = {"slots": 64, "queue": 256, "service_time_ms": 0, "max_connections": 1000}
FIRST_RESPONSE_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = 100
DOCUMENT_HEAD = f"""
[[data-centre]]
name = "dc-1"
[[workspace]]
name = "alpha"
[[key]]
name = "alpha-1"
workspace = "alpha"
key_hash = "{hashlib.sha256(KEY.encode()).hexdigest()}"
[[limit]]
name = "default"
rate_per_s = 20000
burst = 20000
[[route]]
name = "catalogue"
path_prefix = "/catalogue"
service = "catalogue"
[[service]]
name = "catalogue"
floor = 1
slots_per_target = 64
timeout_s = 5.0
"""


def start_fleet(group: ProcessGroup) -> tuple[Fleet, list[StartedProcess]]:
    """Start the store, one instance and the backend servers, and wait for the first response."""
    fleet = Fleet(group=group, data_centres=("dc-1",), settings={"slot_count": SLOT_COUNT})
    fleet.start_store()
    document = DOCUMENT_HEAD
    backends = []
    for number in range(BACKEND_COUNT):
        name = f"catalogue-{number}"
        backend = group.start_standin("backend", name=name, data_centre="dc-1", **BACKEND_OPTIONS)
        backends.append(backend)
        document += f'[[service.targets]]\nname = "{name}"\naddress = "{backend.address}"\n'
        document += 'data_centre = "dc-1"\n'
    fleet.start_instances(1)
    fleet.wait_for_revision(fleet.apply_document(document))
    fleet.wait_for_slots(SLOT_COUNT)
    fleet.wait_until(
        lambda: fleet.request(fleet.instances[0], "GET", "/catalogue/1", key=KEY).status == 200,
        "first response",
        FIRST_RESPONSE_TIMEOUT_S,
    )
    return fleet, backends


def start_load(address: str, rate_per_s: float, duration_s: float) -> subprocess.Popen:
    """Start a process that sends caller load to an address."""
    command = [sys.executable, "-m", "tanagerreach_standins.load", "--path", "/catalogue/1"]
    command += ["--instance", address, "--workspace", f"alpha={KEY}={rate_per_s}"]
    command += ["--duration-s", str(duration_s)]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def wait_for_results(loads: list[subprocess.Popen]) -> list[dict]:
    """Wait for loads and return their summaries."""
    return [json.loads(load.communicate()[0]) for load in loads]


def cpu_s(process: StartedProcess) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_S


def added_latency(
    instance: FleetInstance, backend: StartedProcess, rate_per_s: float, duration_s: float
) -> dict[str, float]:
    """Compare the latency of direct requests with that of requests through the instance."""
    loads = [start_load(to, rate_per_s, duration_s) for to in (backend.address, _address(instance))]
    direct, through = (result["since_send_ms"] for result in wait_for_results(loads))
    figures = {}
    for name in ("p50", "p99"):
        figures[f"direct_{name}_ms"] = direct[name]
        figures[f"through_{name}_ms"] = through[name]
        figures[f"added_{name}_ms"] = round(through[name] - direct[name], 3)
    return figures


def saturation(
    instance: FleetInstance, rate_per_s: float, duration_s: float, load_count: int
) -> dict[str, float]:
    """Offer a rate through the instance and measure successes and processor time."""
    started_cpu_s = cpu_s(instance.process)
    started_s = time.monotonic()
    address = _address(instance)
    loads = [start_load(address, rate_per_s / load_count, duration_s) for _ in range(load_count)]
    results = wait_for_results(loads)
    elapsed_s = time.monotonic() - started_s
    used_s = cpu_s(instance.process) - started_cpu_s
    succeeded = sum(result["total"]["succeeded"] for result in results)
    counts: dict[str, int] = {}
    for result in results:
        for name, count in result["total"]["results"].items():
            counts[name] = counts.get(name, 0) + count
    return {
        "offered_per_s": rate_per_s,
        "succeeded_per_s": round(succeeded / max(result["elapsed_s"] for result in results), 1),
        "results": counts,
        "cpu_us_per_request": round(1e6 * used_s / max(1, sum(counts.values())), 1),
        "core_share": round(used_s / elapsed_s, 2),
        "p50_ms": max(result["since_send_ms"].get("p50", 0.0) for result in results),
    }


def _address(instance: FleetInstance) -> str:
    return instance.callers_address


def main() -> None:
    """Run both measurements and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--rate", type=float, default=143.0, help="requests/s when measuring latency"
    )
    parser.add_argument("--offered", type=float, default=1500.0, help="requests/s at saturation")
    parser.add_argument(
        "--duration-s", type=float, default=10.0, help="duration of each measurement"
    )
    parser.add_argument("--loads", type=int, default=2, help="load processes at saturation")
    options = parser.parse_args()
    with ProcessGroup() as group:
        fleet, backends = start_fleet(group)
        instance = fleet.instances[0]
        print(
            f"instance process {instance.process.pid} operator {instance.operator_address}",
            file=sys.stderr,
            flush=True,
        )
        figures = {
            "added": added_latency(instance, backends[0], options.rate, options.duration_s),
            "saturation": saturation(instance, options.offered, options.duration_s, options.loads),
        }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
