"""Answers of the operator listener, as instances send them and the operator tool reads them."""

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
