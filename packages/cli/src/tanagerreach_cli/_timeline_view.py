"""Timeline of the whole fleet, merged from the instances' timelines."""

import concurrent.futures
import json
import re
import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime

from tanagerreach_core.operator_responses import FleetStatus, TimelineEntry, TimelineResponse

from ._client import FleetClient
from ._errors import CommandError, InvalidInputError

CONCURRENCY = 32
MS_PER_S = 1000
_DURATION = re.compile(r"(?P<number>[0-9]{1,9}(\.[0-9]{1,3})?)(?P<unit>ms|s|m|h|d)")
_UNIT_S = {"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86400}


def parse_duration_s(text: str) -> float:
    """Parse a duration such as ``90s`` or ``10m``.

    :raises InvalidInputError: when the text is not a duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise InvalidInputError(
            f"duration {text!r} is not allowed; write a number with a unit, ms, s, m, h or d, "
            "such as 10m"
        )
    return float(match["number"]) * _UNIT_S[match["unit"]]


class FleetTimeline:
    """Reads the timelines of all instances and returns each event once.

    :param client: client of the fleet.
    :param print_message: called with messages about unreadable instances and lost events.
    """

    def __init__(self, *, client: FleetClient, print_message: Callable[[str], None]) -> None:
        self._client = client
        self._print_message = print_message
        self._last_ids: dict[str, str] = {}
        self._unreadable: set[str] = set()

    def read(self) -> list[TimelineEntry]:
        """Read the events since the last call in hybrid logical time order."""
        fleet = self._client.fleet()
        events: list[TimelineEntry] = []
        for name, response in self._read_all(fleet):
            if isinstance(response, CommandError):
                self._warn_unreadable(name, str(response))
                continue
            self._unreadable.discard(name)
            if not response.is_complete and name in self._last_ids:
                self._print_message(f"{name}: events since {self._last_ids[name]} were lost")
            if response.events:
                self._last_ids[name] = response.events[-1].id
            events += response.events
        return sorted(events, key=lambda event: (event.time, event.instance))

    def _read_all(self, fleet: FleetStatus) -> list[tuple[str, TimelineResponse | CommandError]]:
        members = [member for member in fleet.members if member.operator_address]
        with concurrent.futures.ThreadPoolExecutor(CONCURRENCY) as executor:
            responses = executor.map(
                lambda member: self._read_one(member.name, member.operator_address), members
            )
            return [
                (member.name, response) for member, response in zip(members, responses, strict=True)
            ]

    def _read_one(self, name: str, address: str) -> TimelineResponse | CommandError:
        try:
            return self._client.timeline(address, self._last_ids.get(name, ""))
        except CommandError as error:
            return error

    def _warn_unreadable(self, name: str, error: str) -> None:
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._print_message(f"{name}: its timeline can't be read ({error})")


def select_events(
    events: Sequence[TimelineEntry], *, kinds: Sequence[str], since_s: float | None
) -> list[TimelineEntry]:
    """Filter events by kind and by age; no kinds and no age mean all events."""
    oldest_ms = 0 if since_s is None else time.time() * MS_PER_S - since_s * MS_PER_S
    return [
        event
        for event in events
        if event.wall_ms >= oldest_ms and (not kinds or event.kind in kinds)
    ]


class EventFormatter:
    """Formats events, each with the kind of the event that caused it."""

    def __init__(self) -> None:
        self._kinds: dict[str, str] = {}

    def add_causes(self, events: Sequence[TimelineEntry]) -> None:
        """Add events that others may name as their cause."""
        self._kinds.update({event.id: event.kind for event in events})

    def line(self, event: TimelineEntry) -> str:
        """Format one event."""
        moment = datetime.fromtimestamp(event.wall_ms / MS_PER_S, UTC)
        clock = moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{event.wall_ms % MS_PER_S:03d}Z"
        detail = json.dumps(event.detail, ensure_ascii=True)
        text = f"{clock} {event.id} r{event.revision} {event.kind} {detail}"
        if event.cause:
            kind = self._kinds.get(event.cause, "no longer in the timeline")
            text += f" <- {event.cause} ({kind})"
        return text
