"""Refusals as callers receive them: status, problem document, and whether the request ran."""

from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any

import msgspec

PROBLEM_CONTENT_TYPE = "application/problem+json"
EXECUTED_HEADER = "Executed"


class Executed(Enum):
    """Whether a refused request ran at a backend server."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class RefusalError(Exception):
    """Raised to refuse a request, which then gets no response of a backend server.

    :param kind: short stable name of the reason, part of the problem document's type.
    :param detail: description of what happened and what the caller can do.
    :param retry_after_s: time after which the caller may retry, or None.
    :param inputs: values that led to the refusal, for the log only.
    """

    status: HTTPStatus
    kind: str
    detail: str
    executed: Executed = Executed.NOT_RUN
    retry_after_s: float | None = None
    headers: list[tuple[str, str]] = field(default_factory=list)
    inputs: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        return f"{self.status.value} {self.kind}: {self.detail}"

    def status_line(self) -> str:
        """Return the HTTP status line without the version."""
        return f"{self.status.value} {self.status.phrase}"

    def body(self, request_id: str) -> bytes:
        """Return the problem document as JSON."""
        return msgspec.json.encode(
            {
                "type": f"urn:tanagerreach:{self.kind}",
                "title": self.status.phrase,
                "status": self.status.value,
                "detail": self.detail,
                "executed": self.executed.value,
                "request_id": request_id,
            }
        )

    def response_headers(
        self, body: bytes, *, in_whole_seconds: bool = True
    ) -> list[tuple[str, str]]:
        """Return the headers of the response.

        :param in_whole_seconds: whether ``Retry-After`` is rounded, as HTTP requires; some callers
            accept fractions.
        """
        headers = [
            ("Content-Type", PROBLEM_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            (EXECUTED_HEADER, self.executed.value),
            ("Cache-Control", "no-store"),
            *self.headers,
        ]
        if self.retry_after_s is not None:
            # 0 would cause an immediate retry.
            text = str(max(1, round(self.retry_after_s)))
            if not in_whole_seconds:
                text = f"{self.retry_after_s:.2f}"
            headers.append(("Retry-After", text))
        return headers


def render_failure() -> bytes:
    """Return the complete response to a request whose handling failed and which may have run."""
    return render_minimal(
        "502 Bad Gateway",
        "request-failed",
        "the answer could not be passed on",
        Executed.UNKNOWN,
    )


def render_minimal(
    status_line: str,
    kind: str,
    detail: str,
    executed: Executed = Executed.NOT_RUN,
    retry_after_s: float | None = None,
) -> bytes:
    """Return the complete response to a request that is refused outside the application."""
    code = int(status_line.split(" ", 1)[0])
    body = msgspec.json.encode(
        {
            "type": f"urn:tanagerreach:{kind}",
            "title": status_line.split(" ", 1)[1],
            "status": code,
            "detail": detail,
            "executed": executed.value,
        }
    )
    retry_after = "" if retry_after_s is None else f"Retry-After: {retry_after_s:g}\r\n"
    head = (
        f"HTTP/1.1 {status_line}\r\n"
        f"Content-Type: {PROBLEM_CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{EXECUTED_HEADER}: {executed.value}\r\n"
        f"{retry_after}"
        "Connection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
