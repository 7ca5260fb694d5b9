"""Retries of one change until its outcome is known."""

import time
from collections.abc import Callable, Sequence

import urllib3

from ._errors import CommandError, UnknownOutcomeError
from ._transport import (
    RETRIED_STATUSES,
    NoResponse,
    Response,
    decode_refusal,
    send,
    unreachable_error,
)

RETRY_DELAY_S = 0.5


class ChangeAttempts:
    """Sends one transaction to the instances in turn until one gives a final response.

    :param http: connections to the operator listeners.
    :param urls: operator listeners in the order in which they are tried.
    :param headers: headers of each try, with the credential.
    :param body: the transaction, the same in all tries.
    """

    def __init__(
        self,
        *,
        http: urllib3.PoolManager,
        urls: Sequence[str],
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self._http = http
        self._urls = list(urls)
        self._headers = {**headers, "Content-Type": "application/json"}
        self._body = body
        # Never reset: a later try without effect does not rule out that an earlier one had one.
        self._may_have_taken_effect = False
        self._got_response = False
        self._is_store_unavailable = False
        self._failures: list[str] = []

    def run(self, retry_limit_s: float, on_retry: Callable[[str], None]) -> Response | None:
        """Send the transaction until an instance accepts it or refuses it for good.

        :param retry_limit_s: time after which no further round of tries is started.
        :param on_retry: called before each further round with the failures of the last one.
        """
        deadline_s = time.monotonic() + retry_limit_s
        while True:
            for url in self._urls:
                response = self._try(url)
                if response is not None:
                    return response
            if time.monotonic() + RETRY_DELAY_S >= deadline_s:
                return None
            on_retry(self._failure_text())
            time.sleep(RETRY_DELAY_S)
            self._failures.clear()

    def final_error(self, transaction_id: str, dry_run: bool) -> CommandError:
        """Build the error of a transaction that no instance accepted or refused for good."""
        failures = self._failure_text()
        if self._may_have_taken_effect and not dry_run:
            return UnknownOutcomeError(
                "the change may or may not have taken effect: its response was lost or the "
                f"store is unavailable ({failures}); look at the objects with 'tanagerreach get' "
                "before repeating it",
                transaction_id=transaction_id,
            )
        if self._got_response:
            remedy = (
                "; repeat it when 'tanagerreach status' shows the store as available"
                if self._is_store_unavailable
                else ""
            )
            return CommandError(f"the change has not taken effect ({failures}){remedy}")
        return unreachable_error(self._failures, self._urls)

    def _failure_text(self) -> str:
        return "; ".join(dict.fromkeys(self._failures))

    def _try(self, url: str) -> Response | None:
        response = send(self._http, "POST", f"{url}/v1/changes", self._headers, self._body)
        if isinstance(response, NoResponse):
            self._may_have_taken_effect |= response.was_sent
            self._failures.append(response.failure)
            return None
        self._got_response = True
        if response.status not in RETRIED_STATUSES:
            return response
        refusal = decode_refusal(response)
        self._may_have_taken_effect |= refusal.may_have_taken_effect
        # Among the retried refusals, only that of an unavailable store has a remedy.
        self._is_store_unavailable |= bool(refusal.remedy)
        self._failures.append(refusal.error if refusal.remedy else f"{url}: {refusal.error}")
        return None
