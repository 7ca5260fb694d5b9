"""Requests admitted above the limit in any time window, and refusals below the rate."""

import time
from random import Random

from ._evaluation import (
    WindowCheck,
    check_windows,
    count_over_divided_limit,
    count_over_limit,
    cut_requests,
    first_starts,
    refused_requests,
    result_counts,
)
from ._figures import Figure
from ._testbed import FinishedLoad, Testbed

NAME = "rate"
WITHIN_LIMIT_RATIO = 0.95
OVER_LIMIT_FACTOR = 3.0
# Value of the instances' setting admission_wait_s.
ADMISSION_WAIT_S = 0.5
FAULT_AT_S = 2.0
STORE_BACK_TIMEOUT_S = 30.0
PERCENT = 100.0


def run(testbed: Testbed) -> list[Figure]:
    """Measure without a fault, with the store down, and with one instance killed."""
    figures = _phase(testbed, "no fault", 0.1, _no_fault)
    figures += _phase(testbed, "store down", 1.0, _store_down)
    figures += _phase(testbed, "one instance killed", 1.0, _kill_instance)
    return figures


def _no_fault(testbed: Testbed) -> None:
    pass


def _store_down(testbed: Testbed) -> None:
    testbed.set_store("down")


def _kill_instance(testbed: Testbed) -> None:
    # It isn't restarted in this run; the measurement "replacement" covers its successor.
    victim = Random(testbed.seed).choice(testbed.fleet.running())
    victim.process.kill()


def _phase(testbed: Testbed, label: str, limit_percent: float, fault) -> list[Figure]:
    within_limit, over_limit = (
        testbed.deployment.roles.within_limit,
        testbed.deployment.roles.over_limit,
    )
    within_limit_rate = testbed.deployment.limit(within_limit[0])[0] * WITHIN_LIMIT_RATIO
    over_limit_rate = testbed.deployment.limit(over_limit[0])[0] * OVER_LIMIT_FACTOR
    load = testbed.start_load(
        [
            testbed.deployment.caller(within_limit, within_limit_rate),
            testbed.deployment.caller(over_limit, over_limit_rate),
        ],
        duration_s=testbed.scale.phase_s,
        instances=testbed.skewed_instances(),
    )
    time.sleep(FAULT_AT_S)
    fault(testbed)
    done = load.wait()
    _end_fault(testbed, label)
    return [
        _window_figure(testbed, label, over_limit[0], done),
        *_refusal_figures(testbed, label, within_limit[0], done, limit_percent),
        _utilization_figure(testbed, label, over_limit[0], done),
    ]


def _end_fault(testbed: Testbed, label: str) -> None:
    if label == "store down":
        testbed.set_store("up")
        testbed.fleet.wait_until(
            lambda: all(
                testbed.fleet.operator("GET", "/v1/status", instance=instance)["store_state"]
                == "available"
                for instance in testbed.fleet.running()
            ),
            "all instances see the store",
            STORE_BACK_TIMEOUT_S,
        )


def check_workspace_windows(
    testbed: Testbed, workspace: str, from_s: float, until_s: float
) -> WindowCheck:
    """Check the admitted requests of a workspace in the ledgers against its limit."""
    rate_per_s, burst = testbed.deployment.limit(workspace)
    entries = [
        entry for entry in testbed.entries(from_s, until_s) if entry["workspace"] == workspace
    ]
    starts_s = [entry["started_at_s"] for entry in first_starts(entries)]
    return check_windows(starts_s, rate_per_s, burst)


def _window_figure(testbed: Testbed, label: str, workspace: str, done: FinishedLoad) -> Figure:
    check = check_workspace_windows(testbed, workspace, done.from_s - 1, done.until_s)
    return window_figure(f"requests above rate·t + burst, {label}", check, workspace, NAME)


def window_figure(name: str, check: WindowCheck, workspace: str, measure: str) -> Figure:
    """Build the figure of a window check."""
    note = f"{workspace}: {check.requests} requests; worst window {check.window_s:.2f} s"
    return Figure(
        measure=measure,
        name=name,
        value=check.excess,
        unit="requests",
        goal="never above 0",
        limit=0.0,
        no_verdict="" if check.requests else "no request was admitted",
        note=note,
    )


def _refusal_figures(
    testbed: Testbed, label: str, workspace: str, done: FinishedLoad, limit_percent: float
) -> list[Figure]:
    records = done.records_of(workspace)
    rate_per_s, burst = testbed.deployment.limit(workspace)
    arrivals_s = [record["at_s"] for record in records]
    expected = count_over_limit(arrivals_s, rate_per_s, burst, ADMISSION_WAIT_S)
    wrongful = max(0, len(refused_requests(records)) - expected)
    divided = count_over_divided_limit(
        records, len(testbed.fleet.instances), rate_per_s, burst, ADMISSION_WAIT_S
    )
    total = max(1, len(records))
    return [
        Figure(
            measure=NAME,
            name=f"wrongful refusals at 95% of the rate, {label}",
            value=PERCENT * wrongful / total,
            unit="%",
            goal=f"{limit_percent}%",
            limit=limit_percent,
            no_verdict=done.saturation() if wrongful else "",
            note=f"{workspace}: {result_counts(records)}; {len(cut_requests(records))} cut",
        ),
        Figure(
            measure=NAME,
            name=f"baseline: rate divided evenly, refusals, {label}",
            value=PERCENT * divided / total,
            unit="%",
            note="computed from the arrivals of the same run: one token bucket for each instance, "
            "with 1/N of rate and burst and the same wait",
        ),
    ]


def _utilization_figure(testbed: Testbed, label: str, workspace: str, done: FinishedLoad) -> Figure:
    rate_per_s, burst = testbed.deployment.limit(workspace)
    records = done.records_of(workspace)
    admitted = len(records) - len(refused_requests(records))
    times_s = [record["at_s"] for record in records]
    duration_s = max(times_s) - min(times_s) + ADMISSION_WAIT_S
    allowed = min(len(records), rate_per_s * duration_s + burst)
    return Figure(
        measure=NAME,
        name=f"admitted of what the limit allows, at 3 times the rate, {label}",
        value=PERCENT * admitted / max(1.0, allowed),
        unit="%",
        note=f"{workspace}: {result_counts(records)}; machine {done.busy_ratio:.0%} busy; "
        f"load at most {done.summary['max_lag_ms']:.0f} ms late",
    )
