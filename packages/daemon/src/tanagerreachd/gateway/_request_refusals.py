"""Refusals of a gateway after its checks, and whether they may promise that nothing ran."""

from http import HTTPStatus

from tanagerreach_core.messages import RefusalCause

from .._caller_body import CallerBodyError
from .._refusals import Executed, RefusalError
from .._upstream_errors import ResponseTimeoutError, UpstreamError
from ._request import GatewayRequest

# Another instance takes the request at once.
STOPPING_RETRY_AFTER_S = 0.1
RETRY_AFTER_MIN_S = 0.1
NOT_STARTED_RETRY_AFTER_S = 0.3

_REFUSALS = {
    RefusalCause.NO_TARGET: ("no-target", "no target of the service may take requests now"),
    RefusalCause.NO_ROOM: ("no-room", "the service's targets are busy; try again later"),
    RefusalCause.DEADLINE: ("deadline", "too little time is left to serve the request"),
    RefusalCause.REPEAT_BUDGET: ("repeat-budget", "too many requests are repeated at present"),
    RefusalCause.CRASH_REQUEST: ("crash-request", "the request broke several targets"),
}


def unavailable(cause: RefusalCause, retry_after_s: float) -> RefusalError:
    """Build the refusal of a request that was sent to no target."""
    kind, detail = _REFUSALS[cause]
    return RefusalError(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind=kind,
        detail=detail,
        retry_after_s=max(RETRY_AFTER_MIN_S, retry_after_s),
    )


def stopping() -> RefusalError:
    """Build the refusal of a request that the end of this instance would cut."""
    return RefusalError(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind="stopping",
        detail="this instance stops; send the request on a new connection",
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )


def cut_by_stop() -> RefusalError:
    """Build the refusal of a request at a target whose response this instance cannot await."""
    return RefusalError(
        status=HTTPStatus.BAD_GATEWAY,
        kind="upstream-stopping",
        detail="this instance stops while a target works on the request",
        executed=Executed.UNKNOWN,
    )


def body_broke_off(error: CallerBodyError) -> RefusalError:
    """Build the refusal of a request whose body ended early while a target received it."""
    return RefusalError(
        status=HTTPStatus.BAD_GATEWAY,
        kind="body-broke-off",
        detail=str(error),
        executed=Executed.UNKNOWN,
    )


def may_have_run(refusal: RefusalError) -> RefusalError:
    """Build a refusal in place of one whose status would say that the request did not run."""
    return RefusalError(
        status=HTTPStatus.BAD_GATEWAY,
        kind="upstream-failed",
        detail="the request was sent to a target and may have run there",
        executed=Executed.UNKNOWN,
        inputs={**refusal.inputs, "refused_as": refusal.kind},
    )


def tries_failed(request: GatewayRequest, failure: UpstreamError | None) -> RefusalError:
    """Build the refusal of a request whose tries all failed."""
    if not request.may_have_run:
        return unavailable(RefusalCause.NO_ROOM, NOT_STARTED_RETRY_AFTER_S)
    is_late = isinstance(failure, ResponseTimeoutError)
    return RefusalError(
        status=HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY,
        kind="upstream-failed" if failure is None else f"upstream-{failure.kind}",
        detail="the request was sent to a target and may have run there",
        executed=Executed.UNKNOWN,
    )
