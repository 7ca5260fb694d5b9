"""Tries of one change until its outcome is known."""

import time
from collections.abc import Callable, Sequence

import urllib3

from ._errors import CommandError, UnknownOutcomeError
from ._transport import RETRIED_STATUSES, NoAnswer, Response, error_of, send, unreachable

RETRY_DELAY_S = 0.5


class ChangeAttempts:
    """Tries of one transaction on the instances in turn.

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
        # Stays true: a later try that did not take effect says nothing about an earlier one.
        self._may_have_taken_effect = False
        self._was_answered = False
        self._is_store_unavailable = False
        self._faults: list[str] = []

    def run(self, retry_limit_s: float, on_retry: Callable[[str], None]) -> Response | None:
        """Send the transaction until an instance accepts it or refuses it for good.

        :param retry_limit_s: time after which no further round of tries is started.
        :param on_retry: told before each further round why the last one failed.
        """
        deadline_s = time.monotonic() + retry_limit_s
        while True:
            for url in self._urls:
                answer = self._try(url)
                if answer is not None:
                    return answer
            if time.monotonic() + RETRY_DELAY_S >= deadline_s:
                return None
            on_retry(self._fault_text())
            time.sleep(RETRY_DELAY_S)
            self._faults.clear()

    def failure(self, transaction_id: str, dry_run: bool) -> CommandError:
        """Make the error of a transaction that no instance accepted or refused for good."""
        faults = self._fault_text()
        if self._may_have_taken_effect and not dry_run:
            return UnknownOutcomeError(
                "the change may or may not have taken effect: its answer was lost or the store "
                f"is unavailable ({faults}); look at the objects with 'tanagerreach get' before "
                "repeating it",
                transaction_id=transaction_id,
            )
        if self._was_answered:
            remedy = (
                "; repeat it when 'tanagerreach status' shows the store as available"
                if self._is_store_unavailable
                else ""
            )
            return CommandError(f"the change has not taken effect ({faults}){remedy}")
        return unreachable(self._faults, self._urls)

    def _fault_text(self) -> str:
        return "; ".join(dict.fromkeys(self._faults))

    def _try(self, url: str) -> Response | None:
        answer = send(self._http, "POST", f"{url}/v1/changes", self._headers, self._body)
        if isinstance(answer, NoAnswer):
            self._may_have_taken_effect |= answer.was_sent
            self._faults.append(answer.fault)
            return None
        self._was_answered = True
        if answer.status not in RETRIED_STATUSES:
            return answer
        refusal = error_of(answer)
        self._may_have_taken_effect |= refusal.may_have_taken_effect
        # Only the refusal of a store that is unavailable has a remedy among the retried ones.
        self._is_store_unavailable |= bool(refusal.remedy)
        self._faults.append(refusal.error if refusal.remedy else f"{url}: {refusal.error}")
        return None
