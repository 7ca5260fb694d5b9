"""Requests to operator listeners, and the errors that their answers stand for."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3
from tanagerreach_core.operator_responses import RefusalResponse

from ._errors import ChangeConflictError, CommandError, InvalidInputError, UnreachableError

# Statuses after which another instance may still succeed.
RETRIED_STATUSES = (500, 502, 503, 504)


@dataclass(slots=True, kw_only=True)
class Response:
    """Answer of the operator listener at ``url``."""

    status: int
    body: bytes
    url: str


@dataclass(slots=True, kw_only=True)
class NoAnswer:
    """Request without an answer; ``was_sent`` is false when it certainly did not arrive."""

    fault: str
    was_sent: bool


def send(
    http: urllib3.PoolManager,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None = None,
) -> Response | NoAnswer:
    """Send one request and read the whole answer; the caller decides about further tries."""
    origin = url.partition("/v1/")[0]
    try:
        response = http.request(method, url, body=body, headers=headers, redirect=False)
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as error:
        return NoAnswer(fault=f"{origin}: {_fault_text(error)}", was_sent=False)
    except urllib3.exceptions.HTTPError as error:
        return NoAnswer(fault=f"{origin}: {_fault_text(error)}", was_sent=True)
    return Response(status=response.status, body=response.data, url=origin)


def decode_answer(answer: Response, response_type: Any) -> Any:
    """Decode an answer.

    :raises CommandError: when it is a refusal or of another type.
    """
    if answer.status != 200:
        raise _refusal(answer)
    try:
        return msgspec.json.decode(answer.body, type=response_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CommandError(
            f"{answer.url} answered with another kind of document ({error}); "
            "check that this is the address of an operator listener"
        ) from error


def unreachable(faults: Sequence[str], urls: Sequence[str]) -> UnreachableError:
    """Make the error of a request that no instance answered."""
    return UnreachableError(
        f"no instance answered ({'; '.join(faults)}); name others with --instance",
        tried=list(urls),
    )


def _fault_text(error: Exception) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "connection refused or no route"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no answer within the time limit"
    return f"no complete answer ({type(error).__name__})"


def error_of(answer: Response) -> RefusalResponse:
    """Decode a refusal, also one that did not come from an operator listener."""
    try:
        return msgspec.json.decode(answer.body, type=RefusalResponse)
    except (msgspec.DecodeError, RecursionError):
        return RefusalResponse(error=f"answered with status {answer.status}")


def _refusal(answer: Response) -> CommandError:
    error = error_of(answer)
    if answer.status == 409:
        return ChangeConflictError(
            error.error,
            kind=error.kind,
            name=error.name,
            changed_by=error.changed_by,
            base_version=error.base_version,
            current_version=error.current_version,
            remedy=error.remedy,
        )
    if answer.status in (400, 413, 422):
        return InvalidInputError("\n".join(error.errors) or error.error, errors=error.errors)
    if answer.status == 404:
        return CommandError(
            f"{answer.url} has no such resource; "
            "check that this is the address of an operator listener"
        )
    return CommandError(f"{answer.url}: {error.error}", status=answer.status)
