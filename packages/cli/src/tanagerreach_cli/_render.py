"""Formatting of objects, differences and the fleet's status."""

import json
from collections.abc import Sequence
from typing import Any

import msgspec
from tanagerreach_core.config import (
    ConfigObject,
    Configuration,
    DifferenceType,
    FieldDifference,
    LabelIndex,
    Limit,
    ObjectDifference,
    Route,
    Selector,
    Service,
    Target,
)
from tanagerreach_core.operator_responses import FleetMember, FleetStatus

MAX_SHOWN_NAMES = 8
MAX_SHOWN_VALUE_CHARS = 60
OBJECT_COLUMNS = ("kind", "name", "labels", "fields", "version", "changed by")
FLEET_COLUMNS = (
    "instance",
    "data centre",
    "state",
    "revision",
    "age",
    "slots",
    "lenders",
    "store",
    "in flight",
)
TARGETS = "targets"
_COMMON_FIELDS = {"kind", "name", "labels", "version", "changed_by", TARGETS}


def object_row(item: ConfigObject) -> tuple[object, ...]:
    """Return an object's cells, see :data:`OBJECT_COLUMNS`."""
    fields = {
        key: value for key, value in msgspec.to_builtins(item).items() if key not in _COMMON_FIELDS
    }
    if isinstance(item, Service):
        fields[TARGETS] = len(item.targets)
    return (
        item.kind,
        item.name,
        _format_pairs(item.labels),
        _format_pairs(fields),
        item.version,
        item.changed_by,
    )


def difference_lines(differences: Sequence[ObjectDifference]) -> list[str]:
    """Describe differences, one line per field."""
    lines = []
    for item in differences:
        lines.append(f"{item.type.value} {item.kind} {item.name}")
        if item.type is not DifferenceType.REMOVED:
            for entry in item.fields:
                lines += _field_lines(entry)
    return lines


def _field_lines(entry: FieldDifference) -> list[str]:
    if entry.before is None and entry.after in ("", (), {}, None):
        return []
    if entry.field == TARGETS:
        return _target_lines(entry.before or (), entry.after or ())
    before = "" if entry.before is None else f"{_format_value(entry.before)} -> "
    return [f"  {entry.field}: {before}{_format_value(entry.after)}"]


def _target_lines(before: Sequence[Target], after: Sequence[Target]) -> list[str]:
    old = {target.name: _target_text(target) for target in before}
    new = {target.name: _target_text(target) for target in after}
    lines = [f"  target {name} removed" for name in old if name not in new]
    for name, text in new.items():
        if name not in old:
            lines.append(f"  target {name}: {text}")
        elif old[name] != text:
            lines.append(f"  target {name}: {old[name]} -> {text}")
    return lines or ["  targets: in another order"]


def _target_text(target: Target) -> str:
    return _format_pairs(
        {"address": target.address, "data_centre": target.data_centre, **target.labels}
    )


def difference_json(differences: Sequence[ObjectDifference]) -> list[dict[str, Any]]:
    """Return differences as JSON objects."""
    return [
        {
            "kind": str(item.kind),
            "name": item.name,
            "type": item.type.value,
            "fields": {
                entry.field: {
                    "before": msgspec.to_builtins(entry.before),
                    "after": msgspec.to_builtins(entry.after),
                }
                for entry in item.fields
            },
        }
        for item in differences
    ]


def selector_picks(configuration: Configuration) -> list[dict[str, Any]]:
    """List the objects that each selector picks."""
    workspaces = LabelIndex(configuration.workspaces)
    services = LabelIndex(configuration.services)
    data_centres = LabelIndex(configuration.data_centres)
    picks = []
    for item in configuration:
        if isinstance(item, Service):
            picks.append(_pick(item, "data_centres", item.data_centres, data_centres))
        elif isinstance(item, Limit):
            picks.append(_limit_pick(item, workspaces))
        elif isinstance(item, Route):
            if not item.open:
                picks.append(_pick(item, "workspaces", item.workspaces, workspaces))
            if item.service not in configuration.services:
                picks.append(_pick(item, "service", item.service, services))
    return picks


def pick_row(pick: dict[str, Any]) -> tuple[object, ...]:
    """Return the table cells of one selector and its picks."""
    names = ", ".join(pick["picks"][:MAX_SHOWN_NAMES])
    if pick["count"] > MAX_SHOWN_NAMES:
        names += f" and {pick['count'] - MAX_SHOWN_NAMES} more"
    selector = pick["selector"] or "(all)"
    return pick["kind"], pick["name"], pick["field"], selector, names or "nothing"


def fleet_rows(fleet: FleetStatus) -> list[tuple[object, ...]]:
    """Return one row per instance, see :data:`FLEET_COLUMNS`."""
    return [_fleet_row(member) for member in fleet.members]


def service_rows(fleet: FleetStatus) -> list[tuple[object, ...]]:
    """Return one row per service, with its target states as the responding instance sees them."""
    rows = []
    for member in fleet.members:
        states = member.status.target_states if member.status else {}
        for service, targets in sorted(states.items()):
            groups: dict[str, list[str]] = {}
            for target, state in sorted(targets.items()):
                groups.setdefault(state, []).append(target)
            rows.append((service, len(targets), _state_text(groups)))
    return rows


def _state_text(groups: dict[str, list[str]]) -> str:
    parts = []
    for state, names in sorted(groups.items()):
        shown = "" if state == "warm" else f" ({', '.join(names[:MAX_SHOWN_NAMES])})"
        parts.append(f"{state} {len(names)}{shown}")
    return ", ".join(parts)


def _fleet_row(member: FleetMember) -> tuple[object, ...]:
    status = member.status
    if status is None:
        heard = "never heard"
        if member.heard_age_s is not None:
            heard = f"last heard {member.heard_age_s:.0f} s ago"
        return (member.name, "", f"{heard}; {member.error}", *[""] * 6)
    age = "not confirmed" if status.revision_age_s is None else f"{status.revision_age_s:.1f} s"
    return (
        member.name,
        status.data_centre,
        status.state,
        status.revision,
        age,
        len(status.slots),
        status.lender_count,
        status.store_state,
        status.in_flight_count,
    )


def _limit_pick(limit: Limit, index: LabelIndex) -> dict[str, Any]:
    if limit.workspace is None:
        return _pick(limit, "workspaces", limit.workspaces, index)
    return _pick(limit, "workspace", limit.workspace, index, limit.selector())


def _pick(
    item: ConfigObject,
    field: str,
    text: str,
    index: LabelIndex,
    selector: Selector | None = None,
) -> dict[str, Any]:
    """Return what a field's selector picks; by default that is its text."""
    selector = selector or Selector.parse(text)
    names = sorted(picked.name for picked in index.picked(selector))
    return {
        "kind": str(item.kind),
        "name": item.name,
        "field": field,
        "selector": text,
        "count": len(names),
        "picks": names,
    }


def _format_pairs(values: dict[str, Any]) -> str:
    return " ".join(f"{key}={_format_value(value)}" for key, value in values.items())


def _format_value(value: Any) -> str:
    plain = msgspec.to_builtins(value)
    text = plain if isinstance(plain, str) and plain else json.dumps(plain)
    return text if len(text) <= MAX_SHOWN_VALUE_CHARS else text[:MAX_SHOWN_VALUE_CHARS] + "..."
