"""Planned work under load: keys, targets, data centres, configuration changes and restarts."""

import contextlib
import time
from collections.abc import Callable

from tanagerreach_standins.fleet import FleetInstance

from ._evaluation import count_over_limit, cut_requests, refused_requests, result_counts
from ._figures import Figure
from ._rate import ADMISSION_WAIT_S
from ._testbed import DRAIN_NOTICE_S, FinishedLoad, Testbed, boot_time_s

NAME = "planned-work"
IN_FORCE_GOAL_S = 2.0
OBSERVE_S = 5.0
BACK_S = 6.0
CHANGES = 5
ADOPTION_TIMEOUT_S = 20.0
# Longer than the default drain_limit_s, so that a stop that uses all of it still ends in time.
EXIT_TIMEOUT_S = 75.0
PERCENT = 100.0
LAST_EVENTS_INTERVAL_S = 0.25
# Upper bound for planning the load, which is stopped when the work is done.
LOAD_MAX_S = 400.0


def run(testbed: Testbed) -> list[Figure]:
    """Do each kind of planned work under load with uploads."""
    figures = under_load(testbed, "withdrawn key", _withdraw_key)
    figures += under_load(testbed, "leaving target", _target_leaves)
    figures += under_load(testbed, "data centre out and back", _data_centre)
    figures += under_load(testbed, "accepted change", _changes)
    figures += under_load(testbed, "rolling restart", rolling_restart)
    return figures


def under_load(
    testbed: Testbed, label: str, work: Callable[[Testbed], list[Figure]]
) -> list[Figure]:
    """Do one kind of planned work under load, and measure its impact on callers."""
    load = testbed.start_load(
        testbed.deployment.workspaces(testbed.scale.load_factor), duration_s=LOAD_MAX_S
    )
    try:
        figures = work(testbed)
    except Exception as error:
        # The other kinds of work are still measured.
        figures = [
            Figure(
                measure=NAME,
                name=f"{label} failed",
                value=None,
                goal="runs",
                no_verdict=f"{type(error).__name__}: {str(error)[:200]}",
            )
        ]
    done = load.stop()
    if work is _withdraw_key:
        withdrawn = testbed.deployment.roles.withdrawn_workspace
        done.records = [item for item in done.records if item["workspace"] != withdrawn]
    return figures + _impact_figures(testbed, label, done)


def _impact_figures(testbed: Testbed, label: str, done: FinishedLoad) -> list[Figure]:
    expected = 0
    for name, (rate_per_s, burst) in testbed.deployment.limits.items():
        arrivals_s = [record["at_s"] for record in done.records_of(name)]
        expected += count_over_limit(arrivals_s, rate_per_s, burst, ADMISSION_WAIT_S)
    total = max(1, len(done.records))
    wrongful = max(0, len(refused_requests(done.records)) - expected)
    uploads = [record for record in done.records if record["kind"] == "photo"]
    cuts = cut_requests(done.records)
    return [
        Figure(
            measure=NAME,
            name=f"requests cut, {label}",
            value=float(len(cuts)),
            unit="requests",
            goal="0",
            limit=0.0,
            note=f"of {total}, {len(uploads)} uploads; {result_counts(done.records)}",
        ),
        Figure(
            measure=NAME,
            name=f"wrongful refusals, {label}",
            value=PERCENT * wrongful / total,
            unit="%",
            goal="0.1%",
            limit=0.1,
            note=f"{wrongful} of {total}; machine {done.busy_ratio:.0%} busy",
        ),
    ]


def _last_start_figure(testbed: Testbed, name: str, at_s: float, starts_s: list[float]) -> Figure:
    until_s = boot_time_s()
    later = [start_s for start_s in starts_s if start_s >= at_s]
    last_s = max(later, default=at_s) - at_s
    return Figure(
        measure=NAME,
        name=f"last new request, {name}",
        value=last_s,
        unit="s",
        goal="2 s",
        limit=IN_FORCE_GOAL_S,
        no_verdict="" if later else "no request came after the change was sent",
        note=f"{len(later)} requests in {until_s - at_s:.1f} s after the change was sent",
    )


def _withdraw_key(testbed: Testbed) -> list[Figure]:
    workspace = testbed.deployment.roles.withdrawn_workspace
    key = f"{workspace}-1"
    at_s = boot_time_s()
    testbed.fleet.update_object("key", key, withdrawn=True)
    time.sleep(OBSERVE_S)
    starts_s = [
        entry["started_at_s"] for entry in testbed.entries(at_s) if entry["workspace"] == workspace
    ]
    figure = _last_start_figure(testbed, "withdrawn key", at_s, starts_s)
    testbed.fleet.update_object("key", key, withdrawn=False)
    return [figure]


def _target_leaves(testbed: Testbed) -> list[Figure]:
    service = testbed.deployment.services[testbed.deployment.roles.faulty_services[0]]
    name = service["targets"][0]["name"]
    at_s = boot_time_s()
    _label_target(testbed, service["name"], name, {"state": "leaving"})
    time.sleep(OBSERVE_S)
    starts_s = [entry["started_at_s"] for entry in testbed.ledger([name])[name]]
    figure = _last_start_figure(testbed, "leaving target", at_s, starts_s)
    _label_target(testbed, service["name"], name, {})
    time.sleep(BACK_S)
    return [figure]


def _label_target(testbed: Testbed, service: str, target: str, labels: dict[str, str]) -> None:
    path = f"/v1/config?kind=service&name={service}"
    targets = testbed.fleet.operator("GET", path)["objects"][0]["targets"]
    changed = [
        {**item, "labels": {**_without_state(item), **labels}} if item["name"] == target else item
        for item in targets
    ]
    testbed.fleet.update_object("service", service, targets=changed)


def _without_state(item: dict) -> dict[str, str]:
    labels = dict(item.get("labels", {}))
    labels.pop("state", None)
    return labels


def _data_centre(testbed: Testbed) -> list[Figure]:
    centre = testbed.deployment.data_centres[0]
    current = testbed.fleet.operator("GET", f"/v1/config?kind=data-centre&name={centre}")
    labels = _without_state(current["objects"][0])
    names = [
        target["name"]
        for service in testbed.deployment.services.values()
        for target in service["targets"]
        if target["data_centre"] == centre
    ]
    at_s = boot_time_s()
    testbed.fleet.update_object("data-centre", centre, labels={**labels, "state": "out"})
    time.sleep(OBSERVE_S)
    ledgers = testbed.ledger(names)
    starts_s = [entry["started_at_s"] for name in names for entry in ledgers[name]]
    figure = _last_start_figure(testbed, "data centre out", at_s, starts_s)
    back_at_s = boot_time_s()
    testbed.fleet.update_object("data-centre", centre, labels=labels)
    time.sleep(BACK_S)
    ledgers = testbed.ledger(names)
    used = [name for name in names if _started_after(ledgers[name], back_at_s)]
    return [
        figure,
        Figure(
            measure=NAME,
            name="targets with new requests after the data centre is back",
            value=float(len(used)),
            unit=f"of {len(names)}",
            note=f"within {BACK_S:.0f} s",
        ),
    ]


def _started_after(entries: list[dict], at_s: float) -> bool:
    return any(entry["started_at_s"] > at_s for entry in entries)


def _changes(testbed: Testbed) -> list[Figure]:
    quiet = [_adoption_s(testbed, number, store_goes_down=False) for number in range(CHANGES)]
    with_outage = _adoption_s(testbed, CHANGES, store_goes_down=True)
    return [
        _adoption_figure("accepted change in force on all instances, slowest", quiet),
        _adoption_figure(
            "accepted change in force, store down right after it was accepted", [with_outage]
        ),
    ]


def _adoption_s(testbed: Testbed, number: int, *, store_goes_down: bool) -> float | None:
    """Change an object and return how long the last instance took to adopt the revision.

    :returns: seconds from the acceptance; ``None`` when an instance didn't adopt it in time.
    """
    name = testbed.deployment.roles.withdrawn_workspace
    current = testbed.fleet.operator("GET", f"/v1/config?kind=workspace&name={name}")
    labels = {**current["objects"][0]["labels"], "measured": f"n{number}"}
    revision = testbed.fleet.update_object("workspace", name, labels=labels)
    accepted_at_s = boot_time_s()
    if store_goes_down:
        testbed.set_store("down")
    try:
        with contextlib.suppress(Exception):
            testbed.fleet.wait_for_revision(revision, ADOPTION_TIMEOUT_S)
            return max(0.0, _last_adoption_s(testbed, revision) - accepted_at_s)
    finally:
        if store_goes_down:
            time.sleep(1.0)
            testbed.set_store("up")
    return None


def _last_adoption_s(testbed: Testbed, revision: int) -> float:
    """Return the time at which the last instance adopted at least the given revision."""
    first: dict[str, float] = {}
    for event in testbed.events():
        if event["kind"] == "configuration-adopted" and event["revision"] >= revision:
            first.setdefault(event["instance"], event["at_s"])
    return max(first.values())


def _adoption_figure(name: str, times_s: list[float | None]) -> Figure:
    missing = sum(time_s is None for time_s in times_s)
    found = [time_s for time_s in times_s if time_s is not None]
    each = ", ".join(f"{time_s:.2f}" for time_s in found)
    return Figure(
        measure=NAME,
        name=name,
        value=ADOPTION_TIMEOUT_S if missing else max(found),
        unit="s",
        goal="2 s",
        limit=IN_FORCE_GOAL_S,
        note=f"{len(times_s)} changes, {missing} not in force within {ADOPTION_TIMEOUT_S:.0f} s; "
        f"times: {each}",
    )


def rolling_restart(testbed: Testbed) -> list[Figure]:
    """Stop and start all instances, one group after the other."""
    began_s = time.monotonic()
    statuses = []
    stops_s: list[float] = []
    instances = testbed.fleet.running()
    group_size = testbed.scale.restart_group_size
    for start in range(0, len(instances), group_size):
        stop_began_s = time.monotonic()
        statuses += _stop(testbed, instances[start : start + group_size])
        stops_s.append(time.monotonic() - stop_began_s)
        _start(testbed, instances[start : start + group_size])
    took_s = time.monotonic() - began_s
    unclean = [status for status in statuses if status != 0]
    return [
        Figure(
            measure=NAME,
            name="graceful stops that did not exit with 0",
            value=float(len(unclean)),
            goal="0",
            limit=0.0,
            note=f"{len(statuses)} instances, {group_size} at a time, in {took_s:.0f} s",
        ),
        Figure(
            measure=NAME,
            name="longest graceful stop of a group of instances",
            value=max(stops_s),
            unit="s",
            note=f"drain_notice_s is {DRAIN_NOTICE_S:g}; drain_limit_s is 60 (default)",
        ),
    ]


def _stop(testbed: Testbed, instances: list[FleetInstance]) -> list[int]:
    testbed.events()
    for instance in instances:
        instance.process.begin_stop()
    _read_last_events(testbed, instances)
    return [instance.process.wait(EXIT_TIMEOUT_S) for instance in instances]


def _read_last_events(testbed: Testbed, instances: list[FleetInstance]) -> None:
    """Read the timelines of stopping instances until their operator listeners close."""
    until_s = time.monotonic() + EXIT_TIMEOUT_S
    running = list(instances)
    while running and time.monotonic() < until_s:
        for instance in list(running):
            try:
                testbed.events([instance])
            except Exception:
                # The operator listener closes last, so the instance has ended its other work.
                running.remove(instance)
        time.sleep(LAST_EVENTS_INTERVAL_S)


def _start(testbed: Testbed, instances: list[FleetInstance]) -> None:
    for instance in instances:
        testbed.fleet.start_instance(instance, wait=False)
    for instance in instances:
        instance.process.wait_ready(None)
    testbed.fleet.wait_for_live()
