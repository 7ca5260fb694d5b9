"""Placement of requests by the homes of services and workspaces, and the roster of the fleet."""

from ._crash_streaks import CrashStreaks
from ._failure_estimator import FailureEstimator
from ._fleet_retry_budget import FleetRetryBudget
from ._placement import PlacementEvent, ServicePlacement, may_retry
from ._roster import Peer, Roster
from ._target_state import PlacementTarget
from ._waiting_line import WaitingLine, WaitingRequest
from ._workspace_quota import WorkspaceQuota

__all__ = [
    "CrashStreaks",
    "FailureEstimator",
    "FleetRetryBudget",
    "Peer",
    "PlacementEvent",
    "PlacementTarget",
    "Roster",
    "ServicePlacement",
    "WaitingLine",
    "WaitingRequest",
    "WorkspaceQuota",
    "may_retry",
]
