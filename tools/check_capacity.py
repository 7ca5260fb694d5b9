"""Runs an idle fleet with a configuration of full size, and prints its control plane load as JSON.

There are no caller requests; the load is exchanges, loans, store calls and configuration changes.
"""

import argparse
import json
import os
import statistics
import sys
import time
from pathlib import Path

import msgspec
from tanagerreach_standins.fleet import Fleet, FleetTimeoutError
from tanagerreach_standins.processes import ProcessGroup

sys.path.insert(0, str(Path(__file__).parent))

import measure_configuration as full_size
from capacity import fleet as readings

OBJECTS_PER_COMMIT = 20_000
CHANGES = 3
INITIAL_INSTANCES = 3
# Default number of instances that join at once and load the configuration from the others.
JOINS_AT_ONCE = 8
JOIN_POLL_S = 0.1
START_TIMEOUT_S = 90.0


def commit_configuration(fleet: Fleet, workspace_count: int) -> int:
    """Commit a configuration with one key for each workspace in several changes.

    :returns: the last revision.
    """
    full_size.WORKSPACES = workspace_count
    order = {
        kind: number
        for number, kind in enumerate(
            ("data-centre", "limit", "workspace", "key", "service", "route")
        )
    }
    objects = sorted(full_size.make_objects(), key=lambda item: order[item.kind])
    revision = 0
    for first in range(0, len(objects), OBJECTS_PER_COMMIT):
        part = objects[first : first + OBJECTS_PER_COMMIT]
        revision = fleet.change([_creation(item) for item in part])
    return revision


def _creation(item) -> dict:
    table = msgspec.to_builtins(item)
    for name in ("version", "changed_by"):
        table.pop(name, None)
    if item.kind == "service":
        for target in table["targets"]:
            target.pop("labels", None)
    return {"kind": item.kind, "name": item.name, "base_version": None, "object": table}


def add_instances(fleet: Fleet, count: int, revision: int) -> dict[str, float]:
    """Start instances at once, and measure their loading times and the status response times.

    The longest response time shows whether an instance is blocked from other work while it loads
    the configuration or serves it to others.
    """
    loaded_before = fleet.running()
    started_s = time.monotonic()
    added = [fleet.add_instance() for _ in range(count)]
    for instance in added:
        fleet.start_instance(instance, wait=False)
    for instance in added:
        # More than 100 interpreters starting on 10 cores need longer than the usual timeout.
        instance.process.wait_ready(None, START_TIMEOUT_S)
    accepting_s = time.monotonic()
    joining = [instance for instance in fleet.running() if instance not in loaded_before]
    longest = {"loaded": 0.0, "joining": 0.0}
    waiting = list(joining)
    while waiting:
        for instance in [*waiting, *loaded_before]:
            role = "joining" if instance in joining else "loaded"
            requested_s = time.monotonic()
            status = fleet.operator("GET", "/v1/status", instance=instance)
            longest[role] = max(longest[role], time.monotonic() - requested_s)
            if status["revision"] >= revision and instance in waiting:
                waiting.remove(instance)
        time.sleep(JOIN_POLL_S)
    return {
        "instances": count,
        "accepting_s": round(accepting_s - started_s, 2),
        "all_loaded_s": round(time.monotonic() - started_s, 2),
        "longest_status_joining_s": round(longest["joining"], 2),
        "longest_status_loaded_s": round(longest["loaded"], 2),
    }


def time_change(fleet: Fleet, number: int) -> dict[str, float]:
    """Commit one change, and measure when the instances adopted it."""
    started_s = time.time()
    revision = fleet.update_object("workspace", f"workspace-{number}", labels={"tier": "gold"})
    committed_s = time.time()
    fleet.wait_for_revision(revision, START_TIMEOUT_S)
    delays = sorted(
        _adopted_at_s(fleet, instance, revision) - started_s for instance in fleet.running()
    )
    return {
        "commit_s": round(committed_s - started_s, 3),
        "in_force_median_s": round(statistics.median(delays), 3),
        "in_force_last_s": round(delays[-1], 3),
    }


def _adopted_at_s(fleet: Fleet, instance, revision: int) -> float:
    events = fleet.operator("GET", "/v1/timeline", instance=instance)["events"]
    return next(
        event["wall_ms"] / 1000
        for event in reversed(events)
        if event["kind"] == "configuration-adopted" and event["detail"]["revision"] >= revision
    )


def role_figures(window: readings.Window, role: str) -> dict[str, float]:
    """Return the mean rates and the memory of the instances of a role."""
    pairs = getattr(window, role)
    if not pairs:
        return {"instances": 0}
    resident = [after.resident_bytes for _, after in pairs]
    return {
        "instances": len(pairs),
        "cpu_percent": round(window.mean_rate(role, "cpu_s") * 100, 2),
        "sent_bytes_per_s": round(window.mean_rate(role, "sent_bytes")),
        "received_bytes_per_s": round(window.mean_rate(role, "received_bytes")),
        "sent_messages_per_s": round(window.mean_rate(role, "sent_messages"), 2),
        "resident_mb_mean": round(statistics.fmean(resident) / 1e6, 1),
        "resident_mb_max": round(max(resident) / 1e6, 1),
    }


def run(arguments: argparse.Namespace) -> dict[str, object]:
    """Start the fleet, commit the configuration, add instances, and observe the idle fleet."""
    figures: dict[str, object] = {"load_average_before": os.getloadavg()[0]}
    with ProcessGroup() as group:
        settings = {"slot_count": arguments.slots, "store_timeout_s": arguments.store_timeout}
        fleet = Fleet(group=group, settings=settings)
        fleet.start_store()
        fleet.start_instances(INITIAL_INSTANCES)
        fleet.wait_for_live()
        started_s = time.monotonic()
        revision = commit_configuration(fleet, arguments.workspaces)
        fleet.wait_for_revision(revision, START_TIMEOUT_S)
        print(f"committed in {time.monotonic() - started_s:.1f} s", file=sys.stderr)
        figures["configuration_committed_s"] = round(time.monotonic() - started_s, 2)
        figures["empty_to_loaded_resident_mb"] = round(
            readings.resident_bytes(fleet.instances[0].process.pid) / 1e6, 1
        )
        started_s = time.monotonic()
        figures["joins"] = []
        for first in range(INITIAL_INSTANCES, arguments.instances, arguments.at_once):
            count = min(arguments.at_once, arguments.instances - first)
            figures["joins"].append(add_instances(fleet, count, revision))
            print(json.dumps(figures["joins"][-1]), file=sys.stderr)
        fleet.wait_for_revision(revision, START_TIMEOUT_S)
        print(f"joined in {time.monotonic() - started_s:.1f} s", file=sys.stderr)
        figures["all_joined_s"] = round(time.monotonic() - started_s, 2)
        try:
            fleet.wait_for_slots(arguments.slots, arguments.settle)
            figures["all_lent_s"] = round(time.monotonic() - started_s, 2)
        except FleetTimeoutError:
            figures["all_lent_s"] = None
        time.sleep(max(0.0, arguments.settle - (time.monotonic() - started_s)))
        figures["load_average_window_start"] = os.getloadavg()[0]
        window = readings.observe(fleet, arguments.window)
        figures["load_average_window_end"] = os.getloadavg()[0]
        figures["window_s"] = round(window.duration_s, 1)
        figures["holders"] = role_figures(window, "holders")
        figures["others"] = role_figures(window, "others")
        figures["store_calls_per_s"] = window.calls_per_s
        print(json.dumps(figures), file=sys.stderr)
        figures["changes"] = [time_change(fleet, number) for number in range(CHANGES)]
        figures["load_average_after"] = os.getloadavg()[0]
    return figures


def main() -> int:
    """Run the check and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=16)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--workspaces", type=int, default=full_size.WORKSPACES)
    parser.add_argument(
        "--at-once", type=int, default=JOINS_AT_ONCE, help="instances that join at once"
    )
    parser.add_argument(
        "--settle",
        type=float,
        default=40.0,
        help="seconds from the start of the joins to the observation",
    )
    parser.add_argument("--window", type=float, default=30.0, help="seconds of observation")
    parser.add_argument("--store-timeout", type=float, default=1.0)
    arguments = parser.parse_args()
    print(json.dumps(run(arguments), indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
