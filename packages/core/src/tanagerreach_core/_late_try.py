"""Decision about a try whose target has not responded within the usual time.

Load pattern: when a service is slow, many tries are late at once, and neither the retry budget nor
the other targets have room for all of them. A try that is given up without a replacement loses work
that would have been answered in time, so it goes on until one is in hand.
"""

from dataclasses import dataclass
from enum import Enum

# Share of the usual time that has to be left for the replacement of a try.
REPLACEMENT_TIME_SHARE = 0.5


class LateTryObstacle(Enum):
    """Why a late try goes on."""

    NOT_RETRYABLE = "not_retryable"
    TRIES_USED = "tries_used"
    BODY_CONSUMED = "body_consumed"
    STOPPING = "stopping"
    TIME = "time"
    BUDGET = "budget"
    PLACEMENT = "placement"

    @property
    def may_end(self) -> bool:
        """Whether a replacement may be possible later."""
        return self in (LateTryObstacle.BUDGET, LateTryObstacle.PLACEMENT)


@dataclass(slots=True, kw_only=True, frozen=True)
class LateTry:
    """A try that is in flight beyond the usual time.

    :param is_retryable: whether the request may run more than once.
    :param has_tries_left: whether a further target may get the request.
    :param is_body_replayable: whether the request's body can be sent again.
    :param is_stopping: whether the instance stops, so that it may not see the replacement's end.
    :param left_s: time until the response is due.
    :param usual_s: time within which a healthy target nearly always responds.
    """

    is_retryable: bool
    has_tries_left: bool
    is_body_replayable: bool
    is_stopping: bool
    left_s: float
    usual_s: float


def late_try_obstacle(late_try: LateTry) -> LateTryObstacle | None:
    """Return why a late try may not be replaced, ``None`` if it may.

    The replacement needs a right to a retry and a placement besides, see
    :attr:`LateTryObstacle.BUDGET` and :attr:`LateTryObstacle.PLACEMENT`.
    """
    if not late_try.is_retryable:
        return LateTryObstacle.NOT_RETRYABLE
    if not late_try.has_tries_left:
        return LateTryObstacle.TRIES_USED
    if not late_try.is_body_replayable:
        return LateTryObstacle.BODY_CONSUMED
    if late_try.is_stopping:
        return LateTryObstacle.STOPPING
    if late_try.left_s <= REPLACEMENT_TIME_SHARE * late_try.usual_s:
        return LateTryObstacle.TIME
    return None
