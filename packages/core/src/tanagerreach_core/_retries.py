"""Retry decisions, and whether a refused request may have run."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ._outcomes import NOT_STARTED, Outcome

RETRY_RATIO = 0.1
BUDGET_CAPACITY = 20.0
BUDGET_REFILL_PER_S = 1.0
# A try that was shed or could not connect caused no work at a target, so its retry costs a fifth of
# a full one.
NOT_STARTED_COST = 0.2
FULL_COST = 1.0
MAX_TRIES = 3
# A retry that starts later than this after it was due shows that the instance itself is late.
LATE_LIMIT_S = 0.1
MIN_REMAINING_S = 0.005
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class Executed(Enum):
    """Value of the ``Executed`` header of a refusal."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RetryReason(Enum):
    """Why a request is, or is not, retried."""

    RETRY = "retry"
    FINAL = "final"
    NOT_IDEMPOTENT = "not-idempotent"
    RESPONSE_STARTED = "response-started"
    BODY_CONSUMED = "body-consumed"
    TRIES_USED = "tries-used"
    DEADLINE = "deadline"
    INSTANCE_LATE = "instance-late"
    BUDGET = "budget"


@dataclass(slots=True, kw_only=True, frozen=True)
class Try:
    """One send of a request to one target, also one that could not connect.

    ``outcome`` is ``None`` while the try is in flight or when its end was not observed.
    """

    target: str
    outcome: Outcome | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Attempt:
    """A request after its latest try failed.

    ``due_s`` is the time at which the retry was due: the time at which the try's end was to be
    detected (its timeout, or the arrival of its response) plus the pause before a retry.
    """

    idempotent: bool
    tries: Sequence[Try]
    body_replayable: bool
    deadline_s: float
    due_s: float
    now_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryDecision:
    """Whether to retry, and the targets to exclude."""

    retry: bool
    reason: RetryReason
    exclude: tuple[str, ...] = ()


class RetryBudget:
    """Bounds retries to a share of the requests of one service on one instance.

    :param ratio: retries added to the budget for each request.
    """

    __slots__ = ("_level", "_ratio", "_refilled_at_s")

    def __init__(self, *, ratio: float = RETRY_RATIO) -> None:
        self._ratio = ratio
        self._level = BUDGET_CAPACITY / 2
        self._refilled_at_s: float | None = None

    def add_request(self) -> None:
        """Count a first try."""
        self._level = min(BUDGET_CAPACITY, self._level + self._ratio)

    def spend(self, cost: float, now_s: float) -> bool:
        """Take a retry's cost from the budget; return false when the budget is used up."""
        self._refill(now_s)
        if self._level < cost:
            return False
        self._level -= cost
        return True

    def covers(self, cost: float, now_s: float) -> bool:
        """Return whether the budget has this much left, without taking it."""
        self._refill(now_s)
        return self._level >= cost

    def _refill(self, now_s: float) -> None:
        last_s = now_s if self._refilled_at_s is None else self._refilled_at_s
        refill = max(0.0, now_s - last_s) * BUDGET_REFILL_PER_S
        self._level = min(BUDGET_CAPACITY, self._level + refill)
        self._refilled_at_s = now_s


def is_idempotent(method: str, route_idempotent: bool = True) -> bool:
    """Return whether a request may run twice, by its method and its route."""
    return route_idempotent and method.upper() in IDEMPOTENT_METHODS


def executed(tries: Sequence[Try]) -> Executed:
    """Return the ``Executed`` value: ``not-run`` only if no try can have started at a target."""
    if all(entry.outcome in NOT_STARTED for entry in tries):
        return Executed.NOT_RUN
    return Executed.UNKNOWN


def decide(attempt: Attempt, budget: RetryBudget) -> RetryDecision:
    """Decide whether a request is retried on another target.

    :param budget: charged only when the decision is to retry.
    """
    reason = _obstacle(attempt)
    if reason is None:
        not_started = attempt.tries[-1].outcome in NOT_STARTED
        cost = NOT_STARTED_COST if not_started else FULL_COST
        reason = RetryReason.RETRY if budget.spend(cost, attempt.now_s) else RetryReason.BUDGET
    return RetryDecision(
        retry=reason is RetryReason.RETRY,
        reason=reason,
        exclude=tuple(entry.target for entry in attempt.tries),
    )


def _obstacle(attempt: Attempt) -> RetryReason | None:
    """Return the first reason against a retry, or ``None``."""
    last = attempt.tries[-1].outcome if attempt.tries else None
    if last in (None, Outcome.SUCCESS, Outcome.CANCELLED):
        return RetryReason.FINAL
    if last is Outcome.BROKEN_AFTER_HEAD:
        return RetryReason.RESPONSE_STARTED
    if not attempt.idempotent and executed(attempt.tries) is not Executed.NOT_RUN:
        return RetryReason.NOT_IDEMPOTENT
    if not attempt.body_replayable:
        return RetryReason.BODY_CONSUMED
    if len(attempt.tries) >= MAX_TRIES:
        return RetryReason.TRIES_USED
    if attempt.deadline_s - attempt.now_s < MIN_REMAINING_S:
        return RetryReason.DEADLINE
    if attempt.now_s - attempt.due_s > LATE_LIMIT_S:
        return RetryReason.INSTANCE_LATE
    return None
