"""Commands that show, label and delete objects."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec
from cappa.parse import parse_literal
from tanagerreach_core.config import (
    Kind,
    Selector,
    SelectorError,
    Service,
    write_document,
)

from ._command import Command
from ._errors import CommandError, ExitCode, InvalidInputError
from ._object_changes import change_object, get_object, make_change
from ._render import (
    OBJECT_COLUMNS,
    object_row,
)
from ._session import Session

TARGET = "target"
KindName = Literal["workspace", "key", "service", "data-centre", "route", "limit"]
LabelledName = Literal["workspace", "key", "service", "data-centre", "route", "limit", "target"]


@cappa.command(name="get", help="Show objects.")
@dataclass(kw_only=True)
class Get(Command):
    """Shows objects."""

    # Without this parser, the error about an unknown kind would show the union of types.
    kind: Annotated[
        KindName | None, cappa.Arg(help="Kind of the objects.", parse=parse_literal(KindName))
    ] = None
    name: Annotated[str | None, cappa.Arg(help="Name of one object.")] = None
    selector: Annotated[
        str, cappa.Arg(long="--selector", help="Labels, such as tier=gold,!legacy.")
    ] = ""
    output: Annotated[
        Literal["table", "json", "toml"], cappa.Arg(long="--output", help="Output format.")
    ] = "table"

    def run(self, session: Session) -> ExitCode:
        """Show the objects."""
        _check_selector(self.selector)
        response = session.client.objects(self.kind or "", self.name or "", self.selector)
        if self.name and not response.objects:
            raise CommandError(
                f"{self.kind} {self.name} doesn't exist"
                + (" or the selector doesn't pick it" if self.selector else "")
                + f"; list the names with 'tanagerreach get {self.kind}'"
            )
        if session.is_json or self.output == "json":
            session.print_json(response)
        elif self.output == "toml":
            session.print(write_document(response.objects))
        else:
            session.print_table(OBJECT_COLUMNS, [object_row(item) for item in response.objects])
            noun = "object" if len(response.objects) == 1 else "objects"
            session.print_message(f"{len(response.objects)} {noun} at revision {response.revision}")
        return ExitCode.OK


@cappa.command(name="label", help="Set and remove labels of an object or of a target.")
@dataclass(kw_only=True)
class Label(Command):
    """Sets and removes labels."""

    kind: Annotated[LabelledName, cappa.Arg(help="Kind of the object, or target.")]
    name: Annotated[str, cappa.Arg(help="Name of the object; SERVICE/TARGET for a target.")]
    labels: Annotated[
        list[str], cappa.Arg(help="key=value sets a label, key- removes it.", required=True)
    ]

    def run(self, session: Session) -> ExitCode:
        """Change the labels."""
        edit = _make_label_edit(self.labels)
        if self.kind == TARGET:
            service_name, _, target_name = self.name.partition("/")
            if not service_name or not target_name:
                raise InvalidInputError(f"target {self.name!r}: write SERVICE/TARGET")
            item = get_object(session, Kind.SERVICE, service_name)
            new = _with_target_labels(item, target_name, edit)
        else:
            item = get_object(session, Kind(self.kind), self.name)
            new = msgspec.structs.replace(item, labels=edit(item.labels))
        return change_object(session, item, new, f"labels of {self.kind} {self.name} changed")


@cappa.command(name="delete", help="Delete an object.")
@dataclass(kw_only=True)
class Delete(Command):
    """Deletes an object."""

    kind: Annotated[KindName, cappa.Arg(help="Kind of the object.")]
    name: Annotated[str, cappa.Arg(help="Name of the object.")]

    def run(self, session: Session) -> ExitCode:
        """Delete the object."""
        item = get_object(session, Kind(self.kind), self.name)
        revision = session.submit([make_change(item, None, session.changed_by())])
        text = f"{self.kind} {self.name} deleted"
        return session.finish_change(revision, {"deleted": f"{self.kind} {self.name}"}, text)


def _check_selector(text: str) -> None:
    try:
        Selector.parse(text)
    except SelectorError as error:
        raise InvalidInputError(str(error)) from error


def _make_label_edit(assignments: list[str]) -> Callable[[dict[str, str]], dict[str, str]]:
    """Build a function that applies the assignments to labels."""
    if not assignments:
        raise InvalidInputError("no labels given; write key=value to set and key- to remove one")
    added: dict[str, str] = {}
    removed: set[str] = set()
    for assignment in assignments:
        key, separator, value = assignment.partition("=")
        if separator and key and value:
            added[key] = value
        elif not separator and len(assignment) > 1 and assignment.endswith("-"):
            removed.add(assignment[:-1])
        else:
            raise InvalidInputError(
                f"label {assignment!r} is not allowed; "
                "write key=value to set and key- to remove one"
            )
    if len(added) + len(removed) != len(assignments) or added.keys() & removed:
        raise InvalidInputError("a label is given twice; give each label once")

    def edit(labels: dict[str, str]) -> dict[str, str]:
        kept = {key: value for key, value in labels.items() if key not in removed}
        return {**kept, **added}

    return edit


def _with_target_labels(
    service: Service, target_name: str, edit: Callable[[dict[str, str]], dict[str, str]]
) -> Service:
    if all(target.name != target_name for target in service.targets):
        known = ", ".join(target.name for target in service.targets)
        raise CommandError(f"service {service.name} has no target {target_name}; it has {known}")
    targets = tuple(
        msgspec.structs.replace(target, labels=edit(target.labels))
        if target.name == target_name
        else target
        for target in service.targets
    )
    return msgspec.structs.replace(service, targets=targets)
