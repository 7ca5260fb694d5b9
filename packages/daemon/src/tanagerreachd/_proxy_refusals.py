"""Builders of the refusals that a request may receive from the proxy."""

from http import HTTPStatus

from tanagerreach_core.config import RefusalReason, RouteRefusal
from tanagerreach_core.traffic import Executed as TryExecuted
from tanagerreach_core.traffic import QueueRefusal, RetryReason, Try, executed

from ._refusals import Executed, RefusalError
from ._upstream_errors import ResponseTimeoutError, UpstreamError


def starting() -> RefusalError:
    """Build the refusal of a request while the instance has no confirmed configuration."""
    return RefusalError(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind="starting",
        detail="this instance has no confirmed configuration yet; try again",
        retry_after_s=1.0,
    )


def caller_disconnected(ran: TryExecuted) -> RefusalError:
    """Build the refusal of a request whose caller has disconnected, which nobody receives."""
    return RefusalError(
        status=HTTPStatus.BAD_REQUEST,
        kind="caller-gone",
        detail="the caller closed the connection",
        executed=Executed(ran.value),
    )


def route_refusal(refusal: RouteRefusal) -> RefusalError:
    """Build the refusal of a request that matches no route."""
    if refusal.reason is RefusalReason.METHOD_NOT_ALLOWED:
        return RefusalError(
            status=HTTPStatus.METHOD_NOT_ALLOWED,
            kind="method-not-allowed",
            detail=refusal.detail,
            headers=[("Allow", ", ".join(refusal.allowed_methods))],
        )
    if refusal.reason is RefusalReason.BAD_PATH:
        return RefusalError(
            status=HTTPStatus.BAD_REQUEST, kind="path-not-valid", detail=refusal.detail
        )
    return RefusalError(status=HTTPStatus.NOT_FOUND, kind="no-route", detail=refusal.detail)


def queue_refusal(refusal: QueueRefusal) -> RefusalError:
    """Build the refusal of a request that the queue refused."""
    return RefusalError(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind=f"queue-{refusal.value}",
        detail="the service is busy and the request would not start in time; try again",
        retry_after_s=1.0,
    )


def no_target(tries: list[Try]) -> RefusalError:
    """Build the refusal of a request that no target could take."""
    return RefusalError(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind="no-target",
        detail="no target of the service could take the request in time",
        executed=Executed(executed(tries).value),
        retry_after_s=1.0,
    )


def upstream_refusal(error: UpstreamError, tries: list[Try], reason: RetryReason) -> RefusalError:
    """Build the refusal of a request whose last try failed."""
    timed_out = isinstance(error, ResponseTimeoutError)
    status = HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY
    if not error.may_have_started:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    return RefusalError(
        status=status,
        kind=f"upstream-{error.kind}",
        detail=f"{error.detail}; not tried again: {reason.value}",
        executed=Executed(executed(tries).value),
        retry_after_s=1.0,
    )


def deadline_passed(tries: list[Try]) -> RefusalError:
    """Build the refusal of a request whose deadline passed before it could be sent or retried."""
    return RefusalError(
        status=HTTPStatus.GATEWAY_TIMEOUT,
        kind="deadline-passed",
        detail="the request's deadline passed before a target could take it",
        executed=Executed(executed(tries).value),
    )


def key_in_target() -> RefusalError:
    """Build the refusal of a request whose path or query would show the key to backend servers."""
    return RefusalError(
        status=HTTPStatus.BAD_REQUEST,
        kind="key-in-target",
        detail="send the key in the header Authorization alone, not in the path or the query",
    )
