"""Responses of the operator listener, which instances send and the operator tool reads."""

from ._operator_responses import (
    ChangesResponse,
    FleetMember,
    FleetStatus,
    InstanceStatus,
    ObjectsResponse,
    RefusalResponse,
    TimelineEntry,
    TimelineResponse,
)
from ._placement_preview import PlacementPreview, TargetCandidate

__all__ = [
    "ChangesResponse",
    "FleetMember",
    "FleetStatus",
    "InstanceStatus",
    "ObjectsResponse",
    "PlacementPreview",
    "RefusalResponse",
    "TargetCandidate",
    "TimelineEntry",
    "TimelineResponse",
]
