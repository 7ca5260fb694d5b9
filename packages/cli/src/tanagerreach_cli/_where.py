"""Command that tells where a request would go now, and why."""

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlencode

import cappa
import urllib3
from tanagerreach_core.operator_responses import PlacementPreview

from ._client import CONNECT_TIMEOUT_S, parse_instance_url
from ._command import Command
from ._errors import CommandError, ExitCode
from ._session import Session
from ._transport import NoResponse, decode_response, send, unreachable_error

PREVIEW_PATH = "/placement-preview"
COLUMNS = (
    "target",
    "data centre",
    "excluded by",
    "failing",
    "in flight",
    "work left",
    "slowness",
    "limit",
)


@cappa.command(name="where", help="Tell where a request would go now, and why, without sending it.")
@dataclass(kw_only=True)
class Where(Command):
    """Asks the homes of a route's services; ``--instance`` names a gateway's metrics listener."""

    route: Annotated[str, cappa.Arg(value_name="ROUTE")]
    method: Annotated[str, cappa.Arg(long="--method", help="HTTP method.")] = "GET"
    path: Annotated[
        str, cappa.Arg(long="--path", help="Path and query (default: the route's prefix).")
    ] = ""
    size: Annotated[int, cappa.Arg(long="--size", help="Size of the body, in bytes.")] = 0
    workspace: Annotated[
        str, cappa.Arg(long="--workspace", help="Workspace that sends the request.")
    ] = ""

    def run(self, session: Session) -> ExitCode:
        """Print the decision of each service's home."""
        http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=session.options.timeout_s),
        )
        urls = [parse_instance_url(url) for url in session.instances()]
        previews = self._ask(http, urls)
        for index, preview in enumerate(previews):
            if not preview.is_decided_here:
                previews[index] = self._ask_home(http, preview)
        if session.is_json:
            session.print_json(previews)
            return ExitCode.OK
        for preview in previews:
            _print(session, preview)
        return ExitCode.OK

    def _ask_home(self, http: urllib3.PoolManager, preview: PlacementPreview) -> PlacementPreview:
        answers = self._ask(http, [parse_instance_url(preview.home_address)])
        for answer in answers:
            if answer.service == preview.service and answer.is_decided_here:
                return answer
        raise CommandError(
            f"{preview.home} no longer decides for the service {preview.service}; run it again"
        )

    def _ask(self, http: urllib3.PoolManager, urls: list[str]) -> list[PlacementPreview]:
        query = {"route": self.route, "method": self.method, "size": str(self.size)}
        if self.path:
            query["path"] = self.path
        if self.workspace:
            query["workspace"] = self.workspace
        failures = []
        for url in urls:
            response = send(http, "GET", f"{url}{PREVIEW_PATH}?{urlencode(query)}", {})
            if not isinstance(response, NoResponse):
                return decode_response(response, list[PlacementPreview])
            failures.append(response.failure)
        raise unreachable_error(failures, urls)


def _print(session: Session, preview: PlacementPreview) -> None:
    decision = f"would go to {preview.target}"
    if preview.refused_by:
        decision = f"would be refused ({preview.refused_by})"
    elif not preview.target:
        decision = "would wait for a target"
    work = f"; expected work {preview.expected_work_ms} ms" if preview.expected_work_ms else ""
    session.print(f"{preview.service}: {decision}{work}; {preview.queued_count} wait")
    rows = [
        (
            entry.target,
            entry.data_centre,
            entry.excluded_by or "-",
            f"{entry.failure_percent} %",
            f"{entry.in_flight_count} of {entry.slot_count}",
            f"{entry.work_left_ms} ms" if preview.expected_work_ms else "-",
            entry.slowness or "-",
            f"{entry.limit_per_s:g}/s" if entry.limit_per_s else "-",
        )
        for entry in preview.candidates
    ]
    session.print_table(COLUMNS, rows)
    session.print_message(f"decided by {preview.home}")
