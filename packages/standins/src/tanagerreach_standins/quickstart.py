"""Quick start: takes a small fleet through failures and planned work, and prints what happens.

Run it with ``make quickstart`` or ``python -m tanagerreach_standins.quickstart``. All processes run
on 127.0.0.1. When a step fails or is not done in time, the quick start prints a message, keeps the
logs and exits with 1.
"""

import shutil
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn

import cappa
import urllib3

from ._fleet import FleetTimeoutError
from ._processes import ControlError, ProcessGroup, ProcessStartError
from ._quickstart_console import Console, OperatorTool, QuickstartError
from ._quickstart_fleet import prepare_fleet
from ._quickstart_steps import FAILING_TARGET, KEPT_KEY, LEAVING_DATA_CENTRE, Steps, stop_instances
from ._quickstart_traffic import Traffic

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
FAILURES = (
    ControlError,
    FleetTimeoutError,
    OSError,
    ProcessStartError,
    QuickstartError,
    ValueError,
    subprocess.TimeoutExpired,
    urllib3.exceptions.HTTPError,
)


@cappa.command(name="quickstart")
@dataclass(slots=True, kw_only=True)
class QuickstartOptions:
    """Run a small fleet through failures."""

    keep: Annotated[bool, cappa.Arg(long=True, help="keep the fleet running until Ctrl-C")] = False


def main() -> None:
    """Parse the command line, run the quick start and exit with its status."""
    options = cappa.parse(QuickstartOptions, completion=False)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _interrupt)
    directory = Path(tempfile.mkdtemp(prefix="tanagerreach-quickstart-"))
    status = run(directory, keep=options.keep)
    if status == EXIT_FAILED:
        print(f"quickstart: logs and settings are kept in {directory}", file=sys.stderr)
    else:
        shutil.rmtree(directory)
    sys.exit(status)


def run(directory: Path, *, keep: bool) -> int:
    """Run all steps and stop all processes.

    :param directory: directory for settings, documents and logs.
    :param keep: keep the fleet running after the steps until Ctrl-C.
    :returns: the exit status.
    """
    console = Console()
    try:
        with ProcessGroup(log_directory=directory, own_process_group=True) as group:
            _run_steps(console, group, keep=keep)
    except KeyboardInterrupt:
        print("quickstart: interrupted; all processes are stopped", file=sys.stderr)
        return EXIT_INTERRUPTED
    except FAILURES as error:
        print(f"quickstart: failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    console.step("done; all steps succeeded")
    return 0


def _run_steps(console: Console, group: ProcessGroup, *, keep: bool) -> None:
    console.step("starting the store stand-in and 9 backend servers")
    running = prepare_fleet(group)
    console.print_lines(f"store at {running.fleet.store_address}; files in {running.directory}")
    tool = OperatorTool(console=console, environment={})
    steps = Steps(console=console, running=running, tool=tool, keys={})
    try:
        _demonstrate(steps)
        if keep:
            _wait_for_interrupt(console, steps)
        steps.stop()
    finally:
        # Stop the instances before the store also after a failed step, so that they stop
        # gracefully.
        stop_instances(running.fleet)


def _demonstrate(steps: Steps) -> None:
    steps.start_instances()
    steps.configure()
    steps.send_requests()
    steps.exceed_limit()
    with Traffic(fleet=steps.running.fleet, key=steps.keys[KEPT_KEY]) as traffic:
        steps.fail_target(traffic)
        steps.take_out_data_centre(traffic)
        steps.withdraw_key()
    steps.show_timeline()


def _wait_for_interrupt(console: Console, steps: Steps) -> None:
    console.step("the fleet keeps running; press Ctrl-C to stop it")
    console.print_lines(example_commands(steps))
    try:
        signal.pause()
    except KeyboardInterrupt:
        console.print_lines("")


def example_commands(steps: Steps) -> str:
    """Return example command lines for the running fleet."""
    running = steps.running
    variables = [f"export {key}={value}" for key, value in steps.tool.environment.items()]
    callers = running.fleet.instances[0].callers_address
    backend = running.backends[FAILING_TARGET].url
    key = steps.keys[KEPT_KEY]
    return "\n".join(
        [
            f'curl -i -H "Authorization: Bearer {key}" http://{callers}/catalogue/items',
            f'curl -i -H "Authorization: Bearer {key}" -H "Idempotency-Key: order-1" -d {{}} '
            f"http://{callers}/reservations/new",
            f'curl -X PUT -d \'{{"mode":"slow"}}\' {backend}/control/mode',
            f'curl -X PUT -d \'{{"mode":"ok"}}\' {backend}/control/mode',
            *variables,
            f"export PATH={Path(sys.executable).parent}:$PATH",
            "tanagerreach status",
            "tanagerreach get workspace",
            f"tanagerreach take-out {LEAVING_DATA_CENTRE}",
            f"tanagerreach bring-back {LEAVING_DATA_CENTRE}",
            "tanagerreach timeline --follow",
        ]
    )


def _interrupt(number: int, frame: object) -> NoReturn:
    raise KeyboardInterrupt


if __name__ == "__main__":
    main()
