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
)

__all__ = [
    "CallerLimits",
    "Dialect",
    "Gateway",
    "GatewaySettings",
    "HistoryGoneError",
    "ListedTarget",
    "Listing",
    "Member",
    "OperatorState",
    "Platform",
    "RetryAllowance",
    "RolloutState",
    "RolloutStatus",
    "Source",
    "SourceError",
    "StatusChangedError",
    "StoredItem",
    "StoredRolloutStatus",
]
