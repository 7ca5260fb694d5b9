"""Traffic decisions: choice of targets, outlier detection, cold start, fair queues, retries."""

from ._cold_start import PermitCache, PermitGrant, PermitPool
from ._crash_requests import CrashRequestRegistry, fingerprint
from ._detection import Evidence, OutlierDetector, Suspicion
from ._ejection import EjectionBudget
from ._fair_queue import (
    ConcurrencyLimit,
    DeficitRoundRobin,
    QueueRefusal,
    Ticket,
    TicketState,
)
from ._outcomes import FAILURES, NOT_STARTED, Outcome
from ._retries import (
    FULL_COST,
    Attempt,
    Executed,
    RetryBudget,
    RetryDecision,
    RetryReason,
    Try,
    decide,
    executed,
    is_idempotent,
)
from ._service_home import HomeEvent, ServiceHome, ServiceSpec, TargetSpec
from ._service_view import Pick, ServiceView
from ._target_choice import LeastOutstandingOfTwo, RoundRobin, TargetChooser
from ._try_timeout import TryTimeout

__all__ = [
    "FAILURES",
    "FULL_COST",
    "NOT_STARTED",
    "Attempt",
    "ConcurrencyLimit",
    "CrashRequestRegistry",
    "DeficitRoundRobin",
    "EjectionBudget",
    "Evidence",
    "Executed",
    "HomeEvent",
    "LeastOutstandingOfTwo",
    "Outcome",
    "OutlierDetector",
    "PermitCache",
    "PermitGrant",
    "PermitPool",
    "Pick",
    "QueueRefusal",
    "RetryBudget",
    "RetryDecision",
    "RetryReason",
    "RoundRobin",
    "ServiceHome",
    "ServiceSpec",
    "ServiceView",
    "Suspicion",
    "TargetChooser",
    "TargetSpec",
    "Ticket",
    "TicketState",
    "Try",
    "TryTimeout",
    "decide",
    "executed",
    "fingerprint",
    "is_idempotent",
]
