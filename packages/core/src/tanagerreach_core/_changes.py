"""Changes to a configuration, and differences between two configurations."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec
from result import Err, Ok, Result

from ._objects import ConfigObject, Configuration, Kind


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """Creation, replacement or removal of one object.

    ``base_version`` is the version of the object that the change was based on, ``None`` for a
    creation. ``object`` is the new object, ``None`` for a removal; its ``version`` and
    ``changed_by`` are replaced when the change is applied.
    """

    kind: Kind
    name: str
    base_version: int | None
    object: ConfigObject | None
    changed_by: str


class ConflictError(Exception):
    """An object is no longer at the version that a change was based on.

    :param change: the refused change.
    :param current: the current object, ``None`` when it does not exist.
    """

    def __init__(self, change: Change, current: ConfigObject | None) -> None:
        super().__init__(_conflict_text(change, current))
        self.change = change
        self.current = current


def _conflict_text(change: Change, current: ConfigObject | None) -> str:
    label = f"{change.kind} {change.name}"
    remedy = "read the object again and repeat the change on its current version"
    if current is None:
        return f"{label}: removed since version {change.base_version}; create it anew or drop it"
    changed = f"changed by {current.changed_by or 'unknown'} in revision {current.version}"
    if change.base_version is None:
        return f"{label}: already exists ({changed}); {remedy}"
    return f"{label}: {changed}, the change is based on version {change.base_version}; {remedy}"


def apply_changes(
    configuration: Configuration, changes: Sequence[Change]
) -> Result[Configuration, ConflictError]:
    """Apply all changes, or none of them when one conflicts.

    The result has the next revision, which is also the version of each changed object.

    :returns: the new configuration, or the first conflict.
    :raises ValueError: when the kind of a change's object is not the kind of the change.
    """
    revision = configuration.revision + 1
    objects: dict[Kind, dict[str, ConfigObject]] = {}
    for change in changes:
        if change.object is not None and change.object.kind is not change.kind:
            raise ValueError(f"the change of {change.kind} {change.name} has another kind's object")
        if change.kind not in objects:
            objects[change.kind] = dict(configuration.of_kind(change.kind))
        mapping = objects[change.kind]
        current = mapping.get(change.name)
        if (None if current is None else current.version) != change.base_version:
            return Err(ConflictError(change, current))
        if change.object is None:
            mapping.pop(change.name, None)
            continue
        mapping[change.name] = msgspec.structs.replace(
            change.object, name=change.name, version=revision, changed_by=change.changed_by
        )
    return Ok(configuration.with_objects(revision, objects))


class DifferenceType(Enum):
    """How an object differs between two configurations."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(slots=True, kw_only=True, frozen=True)
class FieldDifference:
    """A field whose value differs; ``None`` stands for an absent object or value."""

    field: str
    before: object
    after: object


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectDifference:
    """One object that differs between two configurations."""

    kind: Kind
    name: str
    type: DifferenceType
    fields: tuple[FieldDifference, ...]


IGNORED_FIELDS = frozenset({"name", "version", "changed_by"})


def diff_configurations(before: Configuration, after: Configuration) -> list[ObjectDifference]:
    """List the differing objects by kind and name, ignoring versions and authors."""
    found = []
    for kind in Kind:
        old, new = before.of_kind(kind), after.of_kind(kind)
        changed = {name for name, item in new.items() if old.get(name) is not item}
        changed.update(name for name in old if name not in new)
        for name in sorted(changed):
            difference = _compare_objects(kind, name, old.get(name), new.get(name))
            if difference is not None:
                found.append(difference)
    return found


def _compare_objects(
    kind: Kind, name: str, old: ConfigObject | None, new: ConfigObject | None
) -> ObjectDifference | None:
    names = [item for item in (new or old).__struct_fields__ if item not in IGNORED_FIELDS]
    fields = tuple(
        FieldDifference(field=item, before=getattr(old, item, None), after=getattr(new, item, None))
        for item in names
        if getattr(old, item, None) != getattr(new, item, None)
    )
    if old is not None and new is not None and not fields:
        return None
    if old is None:
        return ObjectDifference(kind=kind, name=name, type=DifferenceType.ADDED, fields=fields)
    if new is None:
        return ObjectDifference(kind=kind, name=name, type=DifferenceType.REMOVED, fields=fields)
    return ObjectDifference(kind=kind, name=name, type=DifferenceType.CHANGED, fields=fields)


def changes_from_objects(
    configuration: Configuration, objects: Iterable[ConfigObject], changed_by: str
) -> list[Change]:
    """Compute the changes that create or replace the given objects.

    An object equal to the current one in all compared fields needs no change. Objects that are
    not given stay as they are. A change is based on the given object's version, or on the current
    version when the given one is 0.
    """
    changes = []
    for item in objects:
        current = configuration.of_kind(item.kind).get(item.name)
        if current is not None and _compare_objects(item.kind, item.name, current, item) is None:
            continue
        version = None if current is None else current.version
        changes.append(
            Change(
                kind=item.kind,
                name=item.name,
                base_version=item.version or version,
                object=item,
                changed_by=changed_by,
            )
        )
    return changes
