"""Reads log lines of instances and tells what happened to one request, and why."""

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

CONTEXT_S = 10.0
"""Changed beliefs are told when they are at most this much older than the request's last line."""
BELIEF_EVENTS = frozenset(
    {
        "configuration in force",
        "dependency lost",
        "dependency regained",
        "instance ready",
        "instance started",
        "instance stops",
        "peer changed",
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


@cappa.command(name="explain", help="Tell from log files what happened to a request, and why.")
@dataclass(kw_only=True)
class Explain(Command):
    """Tells the story of one request."""

    request_id: Annotated[str, cappa.Arg(value_name="REQUEST-ID")]
    files: Annotated[
        list[Path],
        cappa.Arg(value_name="FILE", help="Logs of the instances (default: standard input)."),
    ] = field(default_factory=list)

    def run(self, session: Session) -> ExitCode:
        """Print the lines that name the request, and the beliefs that were in force."""
        lines = sorted(self._read(), key=lambda line: line.at_s)
        story = [line for line in lines if line.fields.get("request_id") == self.request_id]
        if not story:
            raise CommandError(
                f"no log line names request {self.request_id}; give the logs of all instances"
            )
        beliefs = list(beliefs_of(story, lines))
        if session.is_json:
            session.print_json({"story": as_rows(story), "beliefs": as_rows(beliefs)})
            return ExitCode.OK
        for title, part in (("request", story), ("beliefs before", beliefs)):
            session.print(f"{title}:" if part else f"{title}: none in these logs")
            for line in part:
                session.print(f"  {as_text(line, story[-1].at_s)}")
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


def parse(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read JSON lines; others, and a line that was cut, are passed over."""
    for text in texts:
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


def beliefs_of(story: list[LogLine], lines: list[LogLine]) -> Iterator[LogLine]:
    """Choose the changed beliefs that bear on a request.

    These are outcomes at its targets that any home saw, and what its own instance, or the home
    that placed it, lost, regained or took in.
    """
    ends_s = story[-1].at_s
    targets = {line.fields["target"] for line in story if line.fields.get("target")}
    instances = {line.instance for line in story}
    instances |= {line.fields["placed_by"] for line in story if line.fields.get("placed_by")}
    for line in lines:
        if not ends_s - CONTEXT_S <= line.at_s <= ends_s or line.event not in BELIEF_EVENTS:
            continue
        target = line.fields.get("target")
        if target in targets or (target is None and line.instance in instances):
            yield line


def as_text(line: LogLine, ends_s: float) -> str:
    """Render a line with its age before the request's end."""
    shown = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value not in ("", None)
    )
    return f"{line.at_s - ends_s:+8.3f} s  {line.instance}  {line.event}: {shown}"


def as_rows(lines: list[LogLine]) -> list[dict[str, Any]]:
    """Return the lines for JSON output."""
    return [line.fields for line in lines]
