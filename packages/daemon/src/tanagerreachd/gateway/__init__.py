"""Gateway instance: homes place requests; the platform's store lists targets and members."""

from ._dialect import Dialect
from ._instance import Gateway
from ._retry_budgets import RetryAllowance
from ._settings import GatewaySettings
from ._sources import (
    CallerLimits,
    HistoryGoneError,
    ListedTarget,
    Listing,
    Member,
    OperatorState,
    Platform,
    RolloutState,
    RolloutStatus,
    Source,
    SourceError,
    StatusChangedError,
    StoredItem,
    StoredRolloutStatus,
    StoreEraError,
)
from ._store_position import ERA_MAX, REVISION_MAX, era_of, revision_of, store_position

__all__ = [
    "CallerLimits",
    "Dialect",
    "ERA_MAX",
    "Gateway",
    "GatewaySettings",
    "HistoryGoneError",
    "ListedTarget",
    "Listing",
    "Member",
    "OperatorState",
    "Platform",
    "REVISION_MAX",
    "RetryAllowance",
    "RolloutState",
    "RolloutStatus",
    "Source",
    "SourceError",
    "StoreEraError",
    "StoredItem",
    "era_of",
    "revision_of",
    "store_position",
    "StatusChangedError",
    "StoredItem",
    "StoredRolloutStatus",
]
