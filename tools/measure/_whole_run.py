"""Checks over a whole run, including all its faults."""

from ._evaluation import duplicate_keys, false_not_run
from ._figures import Figure
from ._rate import check_workspace_windows, window_figure
from ._testbed import Testbed, boot_time_s

NAME = "whole-run"


def run(testbed: Testbed) -> list[Figure]:
    """Check ledgers, load records and timelines since the start of the fleet."""
    entries = testbed.entries()
    keyed = [record for record in testbed.records if record["idempotency_key"]]
    duplicates = duplicate_keys(entries)
    wrong_not_run = false_not_run(testbed.records, entries)
    mixed = [record for record in testbed.records if record["answer"] in ("garbled", "wrong")]
    return [
        _zero_goal_figure("non-idempotent requests run twice", duplicates, f"of {len(keyed)} keys"),
        _zero_goal_figure(
            '"not run" requests that ran', wrong_not_run, f"of {len(testbed.records)} requests"
        ),
        _zero_goal_figure("mixed or short answers passed on as whole", mixed, ""),
        _worst_window(testbed),
        _cold_figure(testbed),
        _false_ejections(testbed),
    ]


def _zero_goal_figure(name: str, found, note: str) -> Figure:
    return Figure(
        measure=NAME,
        name=name,
        value=float(len(found)),
        goal="0",
        limit=0.0,
        no_verdict="" if note != "of 0 keys" else "no request with a key was sent",
        note=note,
    )


def _worst_window(testbed: Testbed) -> Figure:
    checks = {
        name: check_workspace_windows(testbed, name, testbed.started_at_s, boot_time_s())
        for name in testbed.deployment.limits
    }
    worst = max(checks, key=lambda name: checks[name].excess)
    return window_figure(
        "requests above rate·t + burst, worst workspace", checks[worst], worst, NAME
    )


def _cold_figure(testbed: Testbed) -> Figure:
    overloads = {
        name: process.call("GET", "/control/counts")["cold_overloads"]
        for name, process in testbed.backends.items()
    }
    return Figure(
        measure=NAME,
        name="overloads of cold targets",
        value=float(sum(overloads.values())),
        goal="0",
        limit=0.0,
        no_verdict="the targets of these runs start warm, so that no cold target can be overloaded",
    )


def _false_ejections(testbed: Testbed) -> Figure:
    found = [
        event
        for event in testbed.ejections()
        if not any(from_s <= event["at_s"] <= until_s for from_s, until_s in testbed.fault_windows)
    ]
    return Figure(
        measure=NAME,
        name="ejections while no target had a fault",
        value=float(len(found)),
        goal="0",
        limit=0.0,
        note=", ".join(
            f"{event['detail']['target']} ({event['detail']['reason']})" for event in found[:5]
        ),
    )
