"""Bounded record of an instance's events, ordered across instances by hybrid logical time."""

import itertools
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tanagerreach_core.operator_responses import TimelineEntry

from ._logs import SecretFilter

LOGICAL_BITS = 16
LOGICAL_MAX = (1 << LOGICAL_BITS) - 1
# A peer whose wall clock is further ahead must not advance the whole fleet's time.
MAX_AHEAD_MS = 60_000


@dataclass(slots=True, frozen=True, order=True)
class HybridTime:
    """Hybrid logical time: wall clock in milliseconds since the Unix epoch, and a counter."""

    wall_ms: int = 0
    logical: int = 0

    def to_int(self) -> int:
        """Pack into one 64-bit integer, which orders like the time itself."""
        return self.wall_ms << LOGICAL_BITS | self.logical

    @classmethod
    def from_int(cls, value: int) -> "HybridTime":
        """Unpack a number made by :meth:`to_int`."""
        return cls(value >> LOGICAL_BITS, value & LOGICAL_MAX)

    def next(self) -> "HybridTime":
        """Return the smallest later time."""
        return HybridTime.from_int(self.to_int() + 1)


class HybridClock:
    """Hybrid logical clock of one instance.

    :param wall_clock_ms: returns the wall clock time in milliseconds.
    """

    def __init__(self, *, wall_clock_ms: Callable[[], int] | None = None) -> None:
        self._wall_clock_ms = wall_clock_ms or _wall_clock_ms
        self._last = HybridTime()

    def tick(self) -> HybridTime:
        """Return a time later than all times returned or observed so far."""
        self._last = max(self._last.next(), HybridTime(self._wall_clock_ms()))
        return self._last

    def observe(self, remote: HybridTime) -> bool:
        """Merge the time of a peer's message.

        :returns: false if the time was ignored as too far ahead of the wall clock.
        """
        if remote.wall_ms > self._wall_clock_ms() + MAX_AHEAD_MS:
            return False
        self._last = max(self._last, remote)
        return True


@dataclass(slots=True, kw_only=True, frozen=True)
class TimelineEvent:
    """One event; ``cause`` is the id of the event that caused it."""

    id: str
    instance: str
    incarnation: int
    time: HybridTime
    revision: int
    kind: str
    detail: dict[str, Any]
    cause: str | None

    def to_entry(self) -> TimelineEntry:
        """Return the event in the form of the operator API."""
        return TimelineEntry(
            id=self.id,
            instance=self.instance,
            incarnation=self.incarnation,
            time=self.time.to_int(),
            wall_ms=self.time.wall_ms,
            revision=self.revision,
            kind=self.kind,
            detail=self.detail,
            cause=self.cause,
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class TimelinePage:
    """Events after a given one; ``is_complete`` is false if some of them were discarded."""

    events: list[TimelineEvent] = field(default_factory=list)
    is_complete: bool = True


class Timeline:
    """Ring buffer of the most recent events of one instance.

    :param instance: name of the instance.
    :param incarnation: incarnation of the instance.
    :param event_limit: number of events kept.
    :param clock: the instance's hybrid logical clock.
    :param secret_filter: replaces keys and secrets in details.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        event_limit: int,
        clock: HybridClock | None = None,
        secret_filter: SecretFilter | None = None,
    ) -> None:
        self.clock = clock or HybridClock()
        self.revision = 0
        self._instance = instance
        self._incarnation = incarnation
        self._event_limit = event_limit
        self._events: deque[TimelineEvent] = deque(maxlen=event_limit)
        self._next_sequence = 0
        self._secret_filter = secret_filter or SecretFilter()

    def record(self, kind: str, detail: dict[str, Any], cause: str | None = None) -> str:
        """Add an event at the current revision.

        :param kind: what happened, such as ``target-ejected``.
        :param detail: JSON-like fields.
        :param cause: id of the event, of this or another instance, that caused this one.
        :returns: the event's id.
        """
        event_id = f"{self._instance}/{self._incarnation}/{self._next_sequence}"
        self._next_sequence += 1
        event = TimelineEvent(
            id=event_id,
            instance=self._instance,
            incarnation=self._incarnation,
            time=self.clock.tick(),
            revision=self.revision,
            kind=kind,
            detail=self._secret_filter.clean(detail),
            cause=cause,
        )
        self._events.append(event)
        return event_id

    def observe(self, remote: HybridTime) -> bool:
        """Merge the time of a peer's message into the clock, see :meth:`HybridClock.observe`."""
        return self.clock.observe(remote)

    def since(self, event_id: str | None = None) -> TimelinePage:
        """Return the events recorded after the given one.

        :param event_id: id of the last event already seen; ``None`` for all kept events. An id of
            another instance or incarnation also returns all kept events.
        """
        first_kept = self._next_sequence - len(self._events)
        wanted = self._sequence_after(event_id)
        skipped = max(0, wanted - first_kept)
        return TimelinePage(
            events=list(itertools.islice(self._events, skipped, None)),
            is_complete=first_kept <= wanted,
        )

    def _sequence_after(self, event_id: str | None) -> int:
        if event_id is None:
            return 0
        prefix, _, sequence = event_id.rpartition("/")
        if prefix != f"{self._instance}/{self._incarnation}" or not sequence.isdecimal():
            return 0
        return int(sequence) + 1


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000
