"""Requests to operator listeners, and conversion of their responses to errors."""

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
    """Response of the operator listener at ``url``."""

    status: int
    body: bytes
    url: str


@dataclass(slots=True, kw_only=True)
class NoResponse:
    """Request without a response; ``was_sent`` is false when it certainly was not received."""

    failure: str
    was_sent: bool


def send(
    http: urllib3.PoolManager,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None = None,
) -> Response | NoResponse:
    """Send one request and read the whole response; the caller decides about retries."""
    origin = url.partition("/v1/")[0]
    try:
        response = http.request(method, url, body=body, headers=headers, redirect=False)
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as error:
        return NoResponse(failure=f"{origin}: {_failure_text(error)}", was_sent=False)
    except urllib3.exceptions.HTTPError as error:
        return NoResponse(failure=f"{origin}: {_failure_text(error)}", was_sent=True)
    return Response(status=response.status, body=response.data, url=origin)


def decode_response(response: Response, response_type: Any) -> Any:
    """Decode a response.

    :raises CommandError: when it is a refusal or of another type.
    """
    if response.status != 200:
        raise _refusal_error(response)
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CommandError(
            f"{response.url} responded with an unexpected document ({error}); "
            "check that this is the address of an operator listener"
        ) from error


def unreachable_error(failures: Sequence[str], urls: Sequence[str]) -> UnreachableError:
    """Build the error of a request to which no instance responded."""
    return UnreachableError(
        f"no instance responded ({'; '.join(failures)}); name others with --instance",
        tried=list(urls),
    )


def _failure_text(error: Exception) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "connection refused or no route"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no response within the time limit"
    return f"no complete response ({type(error).__name__})"


def decode_refusal(response: Response) -> RefusalResponse:
    """Decode a refusal, which may come from a server that is no operator listener."""
    try:
        return msgspec.json.decode(response.body, type=RefusalResponse)
    except (msgspec.DecodeError, RecursionError):
        return RefusalResponse(error=f"responded with status {response.status}")


def _refusal_error(response: Response) -> CommandError:
    error = decode_refusal(response)
    if response.status == 409:
        return ChangeConflictError(
            error.error,
            kind=error.kind,
            name=error.name,
            changed_by=error.changed_by,
            base_version=error.base_version,
            current_version=error.current_version,
            remedy=error.remedy,
        )
    if response.status in (400, 413, 422):
        return InvalidInputError("\n".join(error.errors) or error.error, errors=error.errors)
    if response.status == 404:
        return CommandError(
            f"{response.url} has no such resource; "
            "check that this is the address of an operator listener"
        )
    return CommandError(f"{response.url}: {error.error}", status=response.status)
