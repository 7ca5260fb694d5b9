"""Client, output and waiting for changes, shared by all commands."""

import getpass
import json
import os
import re
import sys
import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text
from tanagerreach_core.config import Change
from tanagerreach_core.operator_responses import FleetMember

from ._client import FleetClient, read_credential
from ._errors import CommandError, ExitCode, InvalidInputError
from ._in_force import InForceReport, in_force_report
from ._progress import Progress

INSTANCES_VARIABLE = "TANAGERREACH_INSTANCES"
CREDENTIAL_VARIABLE = "TANAGERREACH_CREDENTIAL"
CREDENTIAL_FILE_VARIABLE = "TANAGERREACH_CREDENTIAL_FILE"
OPERATOR_VARIABLE = "TANAGERREACH_OPERATOR"
POLL_INTERVAL_S = 0.2
# Wide enough that tables in pipes and files are not truncated.
PIPE_WIDTH = 240
_OPERATOR = re.compile(r"[\x21-\x7e]([\x20-\x7e]{0,61}[\x21-\x7e])?")


@dataclass(slots=True, kw_only=True)
class Options:
    """Options of all commands."""

    instances: list[str] = field(default_factory=list)
    credential_file: Path | None = None
    changed_by: str = ""
    timeout_s: float = 10.0
    wait_s: float = 30.0
    json: bool = False


class Session:
    """One run of the tool.

    :param options: options of all commands.
    :param output: console for results.
    :param messages: console for progress, warnings and other messages.
    """

    def __init__(
        self,
        *,
        options: Options,
        output: Console | None = None,
        messages: Console | None = None,
    ) -> None:
        self.options = options
        self.output = output or make_console(sys.stdout)
        self.messages = messages or make_console(sys.stderr)
        self._client: FleetClient | None = None

    @property
    def is_json(self) -> bool:
        """Whether results are printed as JSON."""
        return self.options.json

    @property
    def client(self) -> FleetClient:
        """Client of the fleet, created on first use."""
        if self._client is None:
            self._client = FleetClient(
                urls=self.instances(),
                credential=self._credential(),
                timeout_s=self.options.timeout_s,
            )
        return self._client

    def changed_by(self) -> str:
        """Return the operator's name, which is recorded in changed objects."""
        name = self.options.changed_by or os.environ.get(OPERATOR_VARIABLE, "") or _login_name()
        if not _OPERATOR.fullmatch(name):
            raise InvalidInputError(
                f"operator name {name!r} is not allowed; set --changed-by or {OPERATOR_VARIABLE} "
                "to 1 to 63 printable ASCII characters"
            )
        return name

    def print(self, text: str = "") -> None:
        """Print a result without markup."""
        _print_plain(self.output, text)

    def print_json(self, value: Any) -> None:
        """Print a result as JSON."""
        text = json.dumps(msgspec.to_builtins(value, str_keys=True, enc_hook=str), indent=2)
        self.print(text)

    def print_table(self, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print rows as a table, without markup in the cells."""
        table = Table(box=None, pad_edge=False)
        for column in columns:
            table.add_column(column)
        for row in rows:
            table.add_row(*(Text(str(cell)) for cell in row))
        self.output.print(table)

    def print_message(self, text: str) -> None:
        """Print a message that is not part of the result."""
        _print_plain(self.messages, text)

    def submit(self, changes: Sequence[Change], *, dry_run: bool = False) -> int:
        """Send changes as one transaction.

        :returns: the revision that holds the changes.
        """
        with Progress(console=self.messages, text="sending the change") as progress:
            response = self.client.change(
                changes,
                transaction_id=uuid.uuid4().hex,
                changed_by=self.changed_by(),
                dry_run=dry_run,
                retry_limit_s=self.options.wait_s,
                on_retry=lambda failure: progress.update(f"sending the change again: {failure}"),
            )
        for warning in response.warnings:
            self.print_message(f"warning: {warning}")
        return response.revision

    def wait_in_force(self, revision: int) -> InForceReport:
        """Wait until a revision is in force on all instances that can be reached."""
        started_s = time.monotonic()
        report = self._report(revision, started_s)
        try:
            with Progress(console=self.messages) as progress:
                while not report.is_settled and report.after_s < self.options.wait_s:
                    progress.update(str(report))
                    time.sleep(POLL_INTERVAL_S)
                    report = self._report(revision, started_s)
        except KeyboardInterrupt:
            self.print_message("stopped waiting; the change stays accepted")
        return report

    def _report(self, revision: int, started_s: float) -> InForceReport:
        try:
            fleet = self.client.fleet(below_revision=revision)
        except CommandError as error:
            return InForceReport(
                revision=revision,
                in_force_count=0,
                instance_count=0,
                after_s=time.monotonic() - started_s,
                not_yet=[_placeholder_member(str(error))],
                is_settled=False,
            )
        return in_force_report(fleet, revision, time.monotonic() - started_s)

    def finish_change(self, revision: int, result: dict[str, Any], text: str) -> ExitCode:
        """Wait until a change is in force and print its result.

        :param result: fields of the JSON output.
        :param text: message for the operator.
        """
        if not self.is_json:
            self.print(text)
        report = self.wait_in_force(revision)
        if self.is_json:
            self.print_json({**result, **report.to_json()})
        else:
            self.print(str(report))
        return ExitCode.OK if report.is_settled else ExitCode.FAILED

    def instances(self) -> list[str]:
        variable = os.environ.get(INSTANCES_VARIABLE, "")
        urls = self.options.instances or [text for text in variable.split(",") if text.strip()]
        if not urls:
            raise InvalidInputError(
                f"no instance given; set --instance URL or the variable {INSTANCES_VARIABLE}"
            )
        return urls

    def _credential(self) -> str:
        credential_file = os.environ.get(CREDENTIAL_FILE_VARIABLE, "")
        if self.options.credential_file is not None:
            return read_credential(self.options.credential_file)
        if os.environ.get(CREDENTIAL_VARIABLE):
            return os.environ[CREDENTIAL_VARIABLE]
        if credential_file:
            return read_credential(Path(credential_file))
        raise InvalidInputError(
            "no operator credential given; set --credential-file FILE or one of the variables "
            f"{CREDENTIAL_VARIABLE} and {CREDENTIAL_FILE_VARIABLE}"
        )


def make_console(stream: Any) -> Console:
    """Create a console that does not truncate tables when its output is not a terminal."""
    return Console(file=stream, width=None if stream.isatty() else PIPE_WIDTH)


def _print_plain(console: Console, text: str) -> None:
    """Print text literally, without markup, emoji codes or highlighting."""
    console.print(text, markup=False, emoji=False, highlight=False, soft_wrap=True)


def _placeholder_member(error: str) -> FleetMember:
    return FleetMember(name="fleet", operator_address="", heard_age_s=0.0, error=error)


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
