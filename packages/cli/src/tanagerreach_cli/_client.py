"""Client of the instances' operator listeners."""

import re
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import msgspec
import urllib3
from tanagerreach_core.config import Change, Configuration
from tanagerreach_core.operator_responses import (
    ChangesResponse,
    FleetStatus,
    ObjectsResponse,
    TimelineResponse,
)

from ._change_attempts import ChangeAttempts
from ._errors import CommandError, InvalidInputError, UnreachableError
from ._transport import (
    RETRIED_STATUSES,
    NoResponse,
    Response,
    decode_refusal,
    decode_response,
    send,
    unreachable_error,
)

CONNECT_TIMEOUT_S = 2.0
_URL = re.compile(
    r"(http://)?(?P<authority>[A-Za-z0-9.-]+:[0-9]{1,5}|\[[0-9a-fA-F:]+\]:[0-9]{1,5})/?"
)


def parse_instance_url(text: str) -> str:
    """Normalise the address of an operator listener.

    :raises InvalidInputError: when it is not ``http://HOST:PORT`` or ``HOST:PORT``.
    """
    match = _URL.fullmatch(text.strip())
    if not match or not 1 <= int(match["authority"].rpartition(":")[2]) <= 65535:
        raise InvalidInputError(
            f"instance {text!r} is not an address; allowed: http://HOST:PORT or HOST:PORT, "
            "with a port from 1 to 65535"
        )
    return f"http://{match['authority']}"


def read_credential(path: Path) -> str:
    """Read the operator credential from a file.

    :raises InvalidInputError: when the file cannot be read or contains no credential.
    """
    try:
        text = path.read_text(encoding="ascii").strip()
    except OSError as error:
        raise InvalidInputError(
            f"credential file {path} can't be read ({error.strerror})"
        ) from error
    except UnicodeDecodeError as error:
        raise InvalidInputError(f"credential file {path} is not ASCII text") from error
    if not text or any(character.isspace() for character in text):
        raise InvalidInputError(
            f"credential file {path} must contain one line with the operator credential"
        )
    return text


class FleetClient:
    """Sends requests to the first instance that responds.

    :param urls: operator listeners in the order in which they are tried.
    :param credential: the operator credential.
    :param timeout_s: time limit for one response.
    """

    def __init__(self, *, urls: Sequence[str], credential: str, timeout_s: float) -> None:
        self._urls = [parse_instance_url(url) for url in urls]
        self._headers = {"Authorization": f"Bearer {credential}"}
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        )

    def configuration(self) -> Configuration:
        """Fetch the whole configuration."""
        response = self.objects()
        return Configuration.from_objects(response.revision, response.objects)

    def objects(self, kind: str = "", name: str = "", selector: str = "") -> ObjectsResponse:
        """Fetch objects by kind, name and selector; an empty string matches all."""
        query = {"kind": kind, "name": name, "selector": selector}
        return self._get("/v1/config", query, ObjectsResponse)

    def fleet(self, below_revision: int = 0) -> FleetStatus:
        """Fetch the status of all instances.

        :param below_revision: when above 0, the status of an instance that was recently seen with
            this revision may be some seconds old.
        """
        query = {"below_revision": str(below_revision)} if below_revision else {}
        return self._get("/v1/fleet", query, FleetStatus)

    def metrics(self) -> dict[str, Any]:
        """Fetch the metrics of the first instance that responds."""
        return self._get("/v1/metrics", {"format": "json"}, dict[str, Any])

    def prometheus_metrics(self) -> str:
        """Fetch the metrics of the first instance that responds, in Prometheus text format."""
        return self._get_response("/v1/metrics").body.decode("utf-8", "replace")

    def timeline(self, address: str, since: str = "") -> TimelineResponse:
        """Fetch the timeline of one instance.

        :param address: operator address of the instance.
        :param since: id of the last event already seen.
        """
        query = urlencode({"since": since} if since else {})
        path = f"/v1/timeline?{query}"
        response = send(self._http, "GET", parse_instance_url(address) + path, self._headers)
        if isinstance(response, NoResponse):
            raise UnreachableError(response.failure)
        return decode_response(response, TimelineResponse)

    def change(
        self,
        changes: Sequence[Change],
        *,
        transaction_id: str,
        changed_by: str,
        dry_run: bool,
        retry_limit_s: float,
        on_retry: Callable[[str], None],
    ) -> ChangesResponse:
        """Send changes, and retry until their outcome is known or the time limit has passed.

        All tries have the same transaction id, so that the changes are made at most once.

        :param retry_limit_s: time after which no further try is started.
        :param on_retry: called before each further round with the failures of the last one.
        :raises UnknownOutcomeError: when the changes may have been made.
        """
        body = msgspec.json.encode(
            {
                "transaction_id": transaction_id,
                "changed_by": changed_by,
                "dry_run": dry_run,
                "changes": [_change_body(change) for change in changes],
            }
        )
        attempts = ChangeAttempts(
            http=self._http, urls=self._urls, headers=self._headers, body=body
        )
        response = attempts.run(retry_limit_s, on_retry)
        if response is not None:
            self._prefer(response.url)
            return decode_response(response, ChangesResponse)
        raise attempts.final_error(transaction_id, dry_run)

    def _get(self, path: str, query: dict[str, str], response_type: Any) -> Any:
        given = urlencode({key: value for key, value in query.items() if value})
        return decode_response(
            self._get_response(f"{path}?{given}" if given else path), response_type
        )

    def _get_response(self, path: str) -> Response:
        """Send a request to the instances in turn until one succeeds or refuses for good."""
        failures = []
        got_response = False
        for url in list(self._urls):
            response = send(self._http, "GET", url + path, self._headers)
            if isinstance(response, NoResponse):
                failures.append(response.failure)
            elif response.status in RETRIED_STATUSES:
                got_response = True
                failures.append(f"{url}: {decode_refusal(response).error}")
            else:
                self._prefer(url)
                return response
        if got_response:
            raise CommandError("; ".join(failures), tried=self._urls)
        raise unreachable_error(failures, self._urls)

    def _prefer(self, url: str) -> None:
        """Try the instance that responded first in later requests."""
        self._urls.remove(url)
        self._urls.insert(0, url)


def _change_body(change: Change) -> dict[str, Any]:
    return {
        "kind": change.kind,
        "name": change.name,
        "base_version": change.base_version,
        "object": change.object,
    }
