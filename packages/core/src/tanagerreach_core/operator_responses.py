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

__all__ = [
    "ChangesResponse",
    "FleetMember",
    "FleetStatus",
    "InstanceStatus",
    "ObjectsResponse",
    "RefusalResponse",
    "TimelineEntry",
    "TimelineResponse",
]
