"""Types of the operator listener's JSON responses."""

from typing import Any

import msgspec

from ._objects import AnyObject


class ObjectsResponse(msgspec.Struct, kw_only=True):
    """Response to ``GET /v1/config``."""

    revision: int
    objects: list[AnyObject]


class ChangesResponse(msgspec.Struct, kw_only=True):
    """Response to ``POST /v1/changes``."""

    revision: int
    dry_run: bool
    warnings: list[str] = []


class InstanceStatus(msgspec.Struct, kw_only=True):
    """Response to ``GET /v1/status``.

    ``state`` is ``starting``, ``live``, ``draining``, or ``out`` when the instance's data centre is
    taken out. ``revision_age_s`` is the time since the revision was last confirmed, ``None``
    before the first confirmation. ``target_states`` maps a service to its targets and their
    states.
    """

    name: str
    incarnation: int
    data_centre: str
    state: str
    revision: int = 0
    revision_age_s: float | None = None
    slots: list[int] = []
    lender_count: int = 0
    store_state: str = "unknown"
    target_states: dict[str, dict[str, str]] = {}
    in_flight_count: int = 0
    operator_address: str = ""


class FleetMember(msgspec.Struct, kw_only=True):
    """One instance in the status of the fleet; ``status`` is ``None`` when it did not respond.

    ``heard_age_s`` is the time since the responding instance last heard from it, ``None`` when it
    never did.
    """

    name: str
    operator_address: str
    heard_age_s: float | None
    status: InstanceStatus | None = None
    error: str = ""


class FleetStatus(msgspec.Struct, kw_only=True):
    """Response to ``GET /v1/fleet``: all instances that the responding one knows, ordered by name.

    Only the responding instance's status has target states, since those of all instances would
    grow with the number of instances times the number of targets.
    """

    answered_by: str
    members: list[FleetMember]


class TimelineEntry(msgspec.Struct, kw_only=True):
    """Event of a timeline; ``time`` is the packed hybrid logical time."""

    id: str
    instance: str
    incarnation: int
    time: int
    wall_ms: int
    revision: int
    kind: str
    detail: dict[str, Any]
    cause: str | None = None


class TimelineResponse(msgspec.Struct, kw_only=True):
    """Response to ``GET /v1/timeline``; it is incomplete when earlier events were lost."""

    instance: str
    is_complete: bool
    events: list[TimelineEntry]


class RefusalResponse(msgspec.Struct, kw_only=True):
    """Error response; the fields after ``errors`` belong to refused changes."""

    error: str
    errors: list[str] = []
    kind: str = ""
    name: str = ""
    changed_by: str | None = None
    base_version: int | None = None
    current_version: int | None = None
    remedy: str = ""
    may_have_taken_effect: bool = True
