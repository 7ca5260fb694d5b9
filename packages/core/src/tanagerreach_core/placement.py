"""Placement of requests by the homes of services and workspaces, and the peer table."""

from ._crash_streaks import CrashStreaks
from ._failure_estimator import FailureEstimator
from ._fleet_news import TICK_S, FleetNews
from ._instance_retry_budget import InstanceRetryBudget, RetryBudgetUse
from ._late_try import LateTry, LateTryObstacle, late_try_obstacle
from ._message_parts import digest_parts
from ._peer_table import Peer, PeerChange, PeerTable
from ._placement import PlacementEvent, ServicePlacement, awaits_retry, may_retry
from ._placement_messages import NO_NOTICE, TargetNotice
from ._quota_grants import QuotaGrants
from ._quota_home import QuotaDecision, QuotaHome
from ._rollout import (
    Rollout,
    RolloutFacts,
    RolloutLimits,
    RolloutOrder,
    RolloutStage,
    StageChange,
)
from ._service_versions import ServiceVersions
from ._start_time_fair_queue import StartTimeFairQueue, WaitingRequest
from ._target_notices import TargetNotices
from ._target_state import PlacementTarget
from ._version_comparison import Assessment, Side
from ._work_class import path_shape, services_placed_by_cost, work_class
from ._workspace_quota import WorkspaceQuota

__all__ = [
    "NO_NOTICE",
    "TICK_S",
    "Assessment",
    "CrashStreaks",
    "FailureEstimator",
    "FleetNews",
    "InstanceRetryBudget",
    "LateTry",
    "LateTryObstacle",
    "Peer",
    "PeerChange",
    "PeerTable",
    "PlacementEvent",
    "PlacementTarget",
    "RetryBudgetUse",
    "Rollout",
    "RolloutFacts",
    "RolloutLimits",
    "RolloutOrder",
    "RolloutStage",
    "ServicePlacement",
    "ServiceVersions",
    "Side",
    "StageChange",
    "StartTimeFairQueue",
    "TargetNotice",
    "TargetNotices",
    "WaitingRequest",
    "QuotaDecision",
    "QuotaGrants",
    "QuotaHome",
    "WorkspaceQuota",
    "awaits_retry",
    "digest_parts",
    "late_try_obstacle",
    "may_retry",
    "path_shape",
    "services_placed_by_cost",
    "work_class",
]
