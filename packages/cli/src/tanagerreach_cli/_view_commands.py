"""Commands that show the fleet and check files."""

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from tanagerreach_core.operator_responses import TimelineEntry

from ._command import Command
from ._documents import check_files
from ._errors import CommandError, ExitCode
from ._render import (
    FLEET_COLUMNS,
    fleet_rows,
    service_rows,
)
from ._session import Session
from ._timeline_view import EventFormatter, FleetTimeline, parse_duration_s, select_events

FOLLOW_INTERVAL_S = 1.0


@cappa.command(name="status", help="Show the instances and the states of targets.")
@dataclass(kw_only=True)
class Status(Command):
    """Shows the instances and the states of targets."""

    def run(self, session: Session) -> ExitCode:
        """Show the status of the fleet."""
        fleet = session.client.fleet()
        if session.is_json:
            session.print_json(fleet)
            return ExitCode.OK
        session.print_table(FLEET_COLUMNS, fleet_rows(fleet))
        rows = service_rows(fleet)
        if rows:
            session.print()
            session.print_table(("service", "targets", "states"), rows)
        session.print_message(f"fleet as seen by {fleet.answered_by}")
        return ExitCode.OK


@cappa.command(name="timeline", help="Show what instances decided, and why, in order.")
@dataclass(kw_only=True)
class ShowTimeline(Command):
    """Shows the merged timeline of all instances."""

    follow: Annotated[
        bool, cappa.Arg(long="--follow", help="Keep printing new events until interrupted.")
    ] = False
    since: Annotated[
        str, cappa.Arg(long="--since", help="Only events of this last period, such as 10m.")
    ] = ""
    kind: Annotated[
        list[str], cappa.Arg(long="--kind", help="Only events of this kind (repeatable).")
    ] = field(default_factory=list)

    def run(self, session: Session) -> ExitCode:
        """Show the timeline; JSON output has one event per line."""
        since_s = parse_duration_s(self.since) if self.since else None
        timeline = FleetTimeline(client=session.client, print_message=session.print_message)
        formatter = EventFormatter()
        self._print_events(session, formatter, timeline.read(), since_s)
        while self.follow:
            time.sleep(FOLLOW_INTERVAL_S)
            try:
                self._print_events(session, formatter, timeline.read(), None)
            except CommandError as error:
                session.print_message(f"no new events: {error}")
        return ExitCode.OK

    def _print_events(
        self,
        session: Session,
        formatter: EventFormatter,
        events: list[TimelineEntry],
        since_s: float | None,
    ) -> None:
        formatter.add_causes(events)
        for event in select_events(events, kinds=self.kind, since_s=since_s):
            if session.is_json:
                session.print(msgspec.json.encode(event).decode())
            else:
                session.print(formatter.line(event))


@cappa.command(name="check", help="Check documents or instance settings without a fleet.")
@dataclass(kw_only=True)
class Check(Command):
    """Checks documents or instance settings without a fleet."""

    paths: Annotated[list[Path], cappa.Arg(help="Files, or folders with files (.toml).")]

    def run(self, session: Session) -> ExitCode:
        """Check the files."""
        report = check_files(self.paths)
        if session.is_json:
            session.print_json({"errors": report.errors, "warnings": report.warnings})
        else:
            for warning in report.warnings:
                session.print(f"warning: {warning}")
            for error in report.errors:
                session.print(f"error: {error}")
            session.print(f"{len(report.errors)} errors, {len(report.warnings)} warnings")
        return ExitCode.INVALID if report.errors else ExitCode.OK


@cappa.command(name="metrics", help="Show the metrics of the instance that responds first.")
@dataclass(kw_only=True)
class ShowMetrics(Command):
    """Shows the metrics of one instance."""

    prometheus: Annotated[
        bool, cappa.Arg(long="--prometheus", help="Print the Prometheus text format.")
    ] = False

    def run(self, session: Session) -> ExitCode:
        """Show the metrics."""
        if self.prometheus:
            session.print(session.client.prometheus_metrics())
            return ExitCode.OK
        metrics = session.client.metrics()
        if session.is_json:
            session.print_json(metrics)
            return ExitCode.OK
        rows = [
            (name, _format_labels(series["labels"]), _metric_value(series))
            for name, metric in metrics.items()
            for series in metric["series"]
        ]
        session.print_table(("metric", "labels", "value"), rows)
        return ExitCode.OK


def _format_labels(values: dict[str, object]) -> str:
    return " ".join(f"{key}={value}" for key, value in values.items())


def _metric_value(series: dict[str, object]) -> str:
    if "value" in series:
        return str(series["value"])
    quantiles = series["quantiles_s"]
    shown = " ".join(f"p{float(key) * 100:g}={value:.6f}s" for key, value in quantiles.items())
    return f"count={series['count']} {shown}"
