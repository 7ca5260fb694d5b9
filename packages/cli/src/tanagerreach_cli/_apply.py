"""Command that applies configuration documents."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from tanagerreach_core.config import (
    Change,
    ConfigObject,
    Configuration,
    apply_changes,
    changes_from_objects,
    check_configuration,
    diff_configurations,
    errors_of,
)

from ._command import Command
from ._documents import read_objects
from ._errors import ExitCode, InvalidInputError
from ._object_changes import make_change, no_change
from ._render import (
    difference_json,
    difference_lines,
    pick_row,
    selector_picks,
)
from ._session import Session


@cappa.command(name="apply", help="Create and change objects from documents.")
@dataclass(kw_only=True)
class Apply(Command):
    """Creates and changes the objects that documents contain."""

    paths: Annotated[list[Path], cappa.Arg(help="Documents, or folders with documents (.toml).")]
    dry_run: Annotated[
        bool,
        cappa.Arg(long="--dry-run", help="Show what would change and what selectors would pick."),
    ] = False
    prune: Annotated[
        bool,
        cappa.Arg(
            long="--prune",
            help="Delete objects that the documents lack, of the kinds that they contain.",
        ),
    ] = False

    def run(self, session: Session) -> ExitCode:
        """Apply the documents."""
        objects = read_objects(self.paths)
        if not objects:
            raise InvalidInputError("the documents contain no objects")
        before = session.client.configuration()
        changes = changes_from_objects(before, objects, session.changed_by())
        if self.prune:
            changes += _removals(before, objects, session.changed_by())
        if not changes:
            return no_change(session, before.revision)
        if self.dry_run:
            return self._show(session, before, changes)
        revision = session.submit(changes)
        count = len(changes)
        result = {"changed": [f"{change.kind} {change.name}" for change in changes]}
        noun = "object" if count == 1 else "objects"
        return session.finish_change(revision, result, f"{count} {noun} changed")

    def _show(self, session: Session, before: Configuration, changes: list[Change]) -> ExitCode:
        outcome = apply_changes(before, changes)
        if outcome.is_err():
            raise outcome.err_value
        after = outcome.ok_value
        findings = check_configuration(after)
        errors = [str(finding) for finding in errors_of(findings)]
        if errors:
            raise InvalidInputError("\n".join(errors), errors=errors)
        session.submit(changes, dry_run=True)
        differences = diff_configurations(before, after)
        picks = selector_picks(after)
        if session.is_json:
            document = {
                "revision": before.revision,
                "dry_run": True,
                "differences": difference_json(differences),
                "selectors": picks,
                "warnings": [str(finding) for finding in findings],
            }
            session.print_json(document)
            return ExitCode.OK
        for line in difference_lines(differences):
            session.print(line)
        session.print()
        session.print_table(
            ("kind", "name", "field", "selector", "picks"), [pick_row(pick) for pick in picks]
        )
        for finding in findings:
            session.print_message(f"warning: {finding}")
        session.print(f"nothing was changed; the current revision is {before.revision}")
        return ExitCode.OK


def _removals(before: Configuration, objects: list[ConfigObject], changed_by: str) -> list[Change]:
    kept = {(item.kind, item.name) for item in objects}
    kinds = {item.kind for item in objects}
    return [
        make_change(item, None, changed_by)
        for item in before
        if item.kind in kinds and (item.kind, item.name) not in kept
    ]
