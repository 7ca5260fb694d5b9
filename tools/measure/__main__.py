"""Runs the fleet measurements: ``python -m measure``, or ``make measure``.

Each run starts a fleet with the objects of an example deployment. The results are written as tables
to ``docs/measurements.md``, and with all values to a JSON file.
"""

import os
import platform
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from types import ModuleType
from typing import Annotated

import cappa
from plots import share_chart, write_chart
from tanagerreach_standins.fleet import Fleet
from tanagerreach_standins.processes import ProcessGroup

from . import (
    _cost,
    _detection,
    _fairness,
    _planned_work,
    _rate,
    _replacement,
    _restart,
    _scaling,
    _whole_run,
)
from ._deployment import ROLES, read_deployment
from ._figures import Figure, Summary, goal_shares, render_tables, summarize, to_json
from ._testbed import DRAIN_NOTICE_S, FULL, TRIAL, Scale, Testbed

ROOT = Path(__file__).resolve().parent.parent.parent
# The whole-run checks come last, since they cover everything that ran before them.
DEFAULT_MEASUREMENTS: tuple[ModuleType, ...] = (
    _rate,
    _fairness,
    _detection,
    _planned_work,
    _cost,
    _whole_run,
)
# Run only when named in --only, since each takes a minute or more.
OPTIONAL_MEASUREMENTS: tuple[ModuleType, ...] = (_replacement, _restart)
# Start fleets of their own; also run only when named in --only.
STANDALONE_MEASUREMENTS: tuple[ModuleType, ...] = (_scaling,)


@cappa.command(name="measure")
@dataclass(slots=True, kw_only=True)
class Options:
    """Measure fleets with the objects and load of the example deployments."""

    only: Annotated[
        str, cappa.Arg(long=True, help="names of measurements, separated by commas")
    ] = ""
    runs: Annotated[int, cappa.Arg(long=True, help="number of runs for each deployment")] = 3
    deployment: Annotated[
        str, cappa.Arg(long=True, help="name of one deployment; all when empty")
    ] = ""
    seed: Annotated[int, cappa.Arg(long=True, help="seed of the first run")] = 1
    instances: Annotated[int, cappa.Arg(long=True, help="number of instances in the fleet")] = 32
    together: Annotated[int, cappa.Arg(long=True, help="instances restarted at a time")] = 8
    trial: Annotated[bool, cappa.Arg(long=True, help="short phases and light load")] = False
    page: Annotated[Path, cappa.Arg(long=True)] = ROOT / "docs" / "measurements.md"
    json: Annotated[Path, cappa.Arg(long=True)] = ROOT / "build" / "measurements.json"
    logs: Annotated[
        Path | None, cappa.Arg(long=True, help="directory for the log files, which are kept")
    ] = None


def run_once(name: str, modules: list[ModuleType], seed: int, options: Options) -> list[Figure]:
    """Start one fleet for a deployment and run the measurements on it."""
    scale: Scale = replace(
        TRIAL if options.trial else FULL,
        instance_count=options.instances,
        restart_group_size=options.together,
    )
    deployment = read_deployment(name, seed)
    figures: list[Figure] = []
    for module in modules:
        if module in STANDALONE_MEASUREMENTS:
            figures += run_measurement(module, module.run_standalone, deployment, scale, seed)
    if all(module in STANDALONE_MEASUREMENTS for module in modules):
        return figures
    log_directory = None
    if options.logs is not None:
        log_directory = options.logs / f"{name}-{seed}"
        log_directory.mkdir(parents=True, exist_ok=True)
    with ProcessGroup(log_directory=log_directory) as group:
        fleet = Fleet(
            group=group,
            data_centres=deployment.data_centres,
            settings={"drain_notice_s": DRAIN_NOTICE_S},
        )
        testbed = Testbed(group=group, deployment=deployment, scale=scale, seed=seed, fleet=fleet)
        print(f"{name}, seed {seed}: {testbed.start()}", file=sys.stderr, flush=True)
        for module in modules:
            if module not in STANDALONE_MEASUREMENTS:
                figures += run_measurement(module, module.run, testbed)
        return figures


def run_measurement(
    module: ModuleType, run: Callable[..., list[Figure]], *arguments: object
) -> list[Figure]:
    """Run one measurement; report an exception as a figure, so that the others still run."""
    began_s = time.monotonic()
    try:
        figures = run(*arguments)
    except Exception as error:
        figures = [
            Figure(
                measure=module.NAME,
                name="measure failed",
                value=None,
                goal="runs",
                no_verdict=f"{type(error).__name__}: {str(error)[:200]}",
            )
        ]
    took_s = time.monotonic() - began_s
    print(f"{module.NAME} took {took_s:.0f} s", file=sys.stderr, flush=True)
    for figure in figures:
        print(
            f"  {figure.name}: {figure.value} {figure.unit} ({figure.goal}) "
            f"{figure.verdict()} {figure.no_verdict or figure.note}",
            file=sys.stderr,
            flush=True,
        )
    return figures


def selected_measurements(only: str) -> list[ModuleType]:
    """Return the measurements with the given names, or the default ones without a name."""
    names = [name for name in only.split(",") if name]
    known = {
        module.NAME: module
        for module in (*DEFAULT_MEASUREMENTS, *OPTIONAL_MEASUREMENTS, *STANDALONE_MEASUREMENTS)
    }
    unknown = sorted(set(names) - known.keys())
    if unknown:
        sys.exit(f"measure: unknown measurement {unknown[0]!r}; use one of {', '.join(known)}")
    return [known[name] for name in known if name in names] or list(DEFAULT_MEASUREMENTS)


def main() -> None:
    """Run the measurements and write the results."""
    options = cappa.parse(Options)
    # By default, SIGTERM would end this process at once and leave the fleet's processes running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("measure: terminated by SIGTERM"))
    modules = selected_measurements(options.only)
    names = [options.deployment] if options.deployment else list(ROLES)
    if not set(names) <= set(ROLES):
        sys.exit(f"measure: unknown deployment; use one of {', '.join(ROLES)}")
    if options.runs < 1:
        sys.exit("measure: --runs must be at least 1")
    seeds = [options.seed + number for number in range(options.runs)]
    figures = {
        name: [figure for seed in seeds for figure in run_once(name, modules, seed, options)]
        for name in names
    }
    write_results(options, seeds, figures)


def write_results(options: Options, seeds: list[int], figures: dict[str, list[Figure]]) -> None:
    """Write the Markdown page and the JSON file."""
    machine = {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.machine()}",
    }
    command = " ".join(["python -m measure", *sys.argv[1:]])
    summaries = {name: summarize(items) for name, items in figures.items()}
    options.json.parent.mkdir(parents=True, exist_ok=True)
    options.json.write_bytes(
        to_json(
            {
                "command": command,
                "is_trial": options.trial,
                "seeds": seeds,
                "machine": machine,
                "deployments": summaries,
            }
        )
    )
    kind = "Trial: short phases, little load, no verdicts to rely on." if options.trial else ""
    text = (
        "# Measurements\n\n"
        "This page is written by `make measure`; the goals are those of section 1.6 of the "
        f"[design](design.md). {kind}\n\n"
        f"- Command: `{command}`; seeds {', '.join(map(str, seeds))}.\n"
        f"- Machine: {machine['cores']} cores, {machine['system']}, Python {machine['python']}. "
        "All processes share it.\n"
        f"- Runs of each deployment: {len(seeds)}. The verdict is that of the worst run.\n"
    )
    for name, items in summaries.items():
        text += f"\n## {name}\n{draw_goal_shares(options.page, name, items)}{render_tables(items)}"
    options.page.write_text(text, encoding="utf-8")


def draw_goal_shares(page: Path, name: str, items: list[Summary]) -> str:
    """Write a chart of a deployment's figures relative to their goals, and return a link to it."""
    shares = goal_shares(items)
    if not shares:
        return ""
    path = page.with_name(f"{page.stem}-{name}.svg")
    write_chart(share_chart(title=f"{name}: worst run against the goal", shares=shares), path)
    return f"\n![Share of each goal that the worst run of {name} takes up]({path.name})\n"


if __name__ == "__main__":
    main()
