"""Command line of the operator tool."""

import math
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from rich.console import Console
from tanagerreach_core.config import ConflictError

from ._apply import Apply
from ._command import Command
from ._data_centre_commands import BringBack, TakeOut
from ._errors import ChangeConflictError, CommandError, ExitCode, InvalidInputError
from ._explain import Explain
from ._key_commands import Key
from ._object_commands import Delete, Get, Label
from ._session import (
    CREDENTIAL_FILE_VARIABLE,
    INSTANCES_VARIABLE,
    OPERATOR_VARIABLE,
    Options,
    Session,
)
from ._view_commands import Check, ShowMetrics, ShowTimeline, Status
from ._where import Where

EXIT_INTERRUPTED = 130
MAX_TIME_LIMIT_S = 3600.0


@cappa.command(name="tanagerreach", help="Operate a tanagerreach fleet.")
@dataclass(kw_only=True)
class Tanagerreach:
    """Operates a fleet."""

    command: cappa.Subcommands[
        Apply
        | Get
        | Label
        | Key
        | TakeOut
        | BringBack
        | Delete
        | Status
        | ShowTimeline
        | Check
        | ShowMetrics
        | Explain
        | Where
    ]
    instance: Annotated[
        list[str],
        cappa.Arg(
            long="--instance",
            value_name="URL",
            propagate=True,
            help="Operator listener; repeat it to name others to try when one doesn't respond "
            f"(default: {INSTANCES_VARIABLE}, separated by commas).",
        ),
    ] = field(default_factory=list)
    credential_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--credential-file",
            value_name="FILE",
            propagate=True,
            help=f"File that holds the operator credential (default: {CREDENTIAL_FILE_VARIABLE}).",
        ),
    ] = None
    changed_by: Annotated[
        str,
        cappa.Arg(
            long="--changed-by",
            value_name="NAME",
            propagate=True,
            help=f"Your name, recorded with changes (default: {OPERATOR_VARIABLE}, login name).",
        ),
    ] = ""
    timeout_s: Annotated[
        float,
        cappa.Arg(
            long="--timeout-s", propagate=True, help="Time limit for one response, in seconds."
        ),
    ] = 10.0
    wait_s: Annotated[
        float,
        cappa.Arg(
            long="--wait-s",
            propagate=True,
            help="Time limit for retries, and for a change to be in force, in seconds.",
        ),
    ] = 30.0
    json: Annotated[bool, cappa.Arg(long="--json", propagate=True, help="Print JSON.")] = False


def run(
    arguments: list[str], *, output: Console | None = None, messages: Console | None = None
) -> int:
    """Run the tool.

    :param arguments: command line arguments without the program's name.
    :returns: the exit code.
    """
    try:
        parsed = cappa.parse(Tanagerreach, argv=arguments, completion=False)
    except cappa.Exit as error:
        if error.code and "--json" in arguments:
            session = Session(options=Options(json=True), output=output, messages=messages)
            return _print_error(session, InvalidInputError(str(error.message)))
        raise
    options = Options(
        instances=parsed.instance,
        credential_file=parsed.credential_file,
        changed_by=parsed.changed_by,
        timeout_s=parsed.timeout_s,
        wait_s=parsed.wait_s,
        json=parsed.json,
    )
    session = Session(options=options, output=output, messages=messages)
    command = parsed.command.command if isinstance(parsed.command, Key) else parsed.command
    try:
        return _run_command(command, session)
    except CommandError as error:
        return _print_error(session, error)
    except ConflictError as error:
        return _print_error(session, _conflict_error(error))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run_command(command: Command, session: Session) -> int:
    for name, value in (
        ("--timeout-s", session.options.timeout_s),
        ("--wait-s", session.options.wait_s),
    ):
        if math.isnan(value) or not 0 < value <= MAX_TIME_LIMIT_S:
            raise InvalidInputError(
                f"{name} {value:g}: allowed are above 0 to {MAX_TIME_LIMIT_S:g}"
            )
    return int(command.run(session))


def _print_error(session: Session, error: CommandError) -> int:
    if session.is_json:
        session.print_json(
            {"error": str(error), "exit_code": int(error.exit_code), **error.details}
        )
    else:
        session.print_message(f"error: {error}")
    return int(error.exit_code)


def _conflict_error(error: ConflictError) -> ChangeConflictError:
    change, current = error.change, error.current
    return ChangeConflictError(
        str(error),
        kind=change.kind,
        name=change.name,
        base_version=change.base_version,
        changed_by=None if current is None else current.changed_by,
        current_version=None if current is None else current.version,
    )


def main() -> None:
    """Run the tool and exit."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe; closing stderr avoids a second error on exit.
        sys.stderr.close()
        code = int(ExitCode.FAILED)
    sys.exit(code)


if __name__ == "__main__":
    main()
