"""Command that explains one request from the log lines of the instances."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from ._command import Command
from ._errors import CommandError, ExitCode, InvalidInputError
from ._session import Session

# Related events are shown when they are at most this much older than the request's last line.
CONTEXT_PERIOD_S = 10.0
CONTEXT_EVENTS = frozenset(
    {
        "configuration in force",
        "dependency lost",
        "dependency regained",
        "instance ready",
        "instance started",
        "instance stops",
        "peer changed",
        "peers regained",
        "service homed here",
        "store history gone",
        "target outcome",
    }
)
HIDDEN_FIELDS = frozenset(
    {"instance", "level", "message_type", "request_id", "task_level", "task_uuid", "timestamp"}
)


@dataclass(slots=True, kw_only=True, frozen=True)
class LogLine:
    """One line of an instance's log."""

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]


@cappa.command(name="explain", help="Explain from log files what happened to a request, and why.")
@dataclass(kw_only=True)
class Explain(Command):
    """Shows the log lines of one request, and related events before it."""

    request_id: Annotated[str, cappa.Arg(value_name="REQUEST-ID")]
    files: Annotated[
        list[Path],
        cappa.Arg(value_name="FILE", help="Logs of the instances (default: standard input)."),
    ] = field(default_factory=list)

    def run(self, session: Session) -> ExitCode:
        """Print the log lines of the request, and related events before it."""
        lines = sorted(self._read(), key=lambda line: line.at_s)
        request_lines = [line for line in lines if line.fields.get("request_id") == self.request_id]
        if not request_lines:
            raise CommandError(
                f"no log line names request {self.request_id}; give the logs of all instances"
            )
        context = list(select_context(request_lines, lines))
        if session.is_json:
            session.print_json({"story": fields_of(request_lines), "beliefs": fields_of(context)})
            return ExitCode.OK
        for title, part in (("request", request_lines), ("related events before", context)):
            session.print(f"{title}:" if part else f"{title}: none in these logs")
            for line in part:
                session.print(f"  {format_line(line, request_lines[-1].at_s)}")
        return ExitCode.OK

    def _read(self) -> Iterator[LogLine]:
        if not self.files:
            yield from parse(sys.stdin)
            return
        for path in self.files:
            try:
                with path.open(encoding="utf-8", errors="replace") as file:
                    yield from parse(file)
            except OSError as error:
                raise InvalidInputError(f"{path}: {error.strerror}; name a log file") from error


def parse(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse JSON lines, skipping other lines and truncated ones."""
    for text in raw_lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "message_type" in fields:
            yield LogLine(
                at_s=float(fields.get("timestamp", 0.0)),
                instance=str(fields.get("instance", "")),
                event=str(fields["message_type"]),
                fields=fields,
            )


def select_context(request_lines: list[LogLine], lines: list[LogLine]) -> Iterator[LogLine]:
    """Select the earlier events that may explain a request.

    These are outcomes at its targets as seen by any home, and state changes of its own instance
    and of the home that placed it, such as dependencies lost or regained, and configurations
    adopted.
    """
    end_s = request_lines[-1].at_s
    targets = {line.fields["target"] for line in request_lines if line.fields.get("target")}
    instances = {line.instance for line in request_lines}
    instances |= {
        line.fields["placed_by"] for line in request_lines if line.fields.get("placed_by")
    }
    for line in lines:
        if not end_s - CONTEXT_PERIOD_S <= line.at_s <= end_s or line.event not in CONTEXT_EVENTS:
            continue
        target = line.fields.get("target")
        if target in targets or (target is None and line.instance in instances):
            yield line


def format_line(line: LogLine, end_s: float) -> str:
    """Format a line with its time relative to the request's end."""
    shown = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value not in ("", None)
    )
    return f"{line.at_s - end_s:+8.3f} s  {line.instance}  {line.event}: {shown}"


def fields_of(lines: list[LogLine]) -> list[dict[str, Any]]:
    """Return the fields of the lines for JSON output."""
    return [line.fields for line in lines]
