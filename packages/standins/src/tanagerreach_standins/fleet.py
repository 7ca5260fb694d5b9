"""Starts a small fleet of instances with their store."""

from ._fleet import (
    FLEET_SECRET,
    OPERATOR_CREDENTIAL,
    Fleet,
    FleetInstance,
    FleetTimeoutError,
    Response,
)

__all__ = [
    "FLEET_SECRET",
    "OPERATOR_CREDENTIAL",
    "Fleet",
    "FleetInstance",
    "FleetTimeoutError",
    "Response",
]
