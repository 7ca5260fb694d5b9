"""Requests that break the connection at every target.

Load pattern: a request crashes each target that runs it, and reaches the fleet through many
instances and several homes of its service. Each of these sees few of the breaks, so the breaks are
identified by the instance that saw them and its call id: the same break may arrive from a
completion, a heartbeat and a digest, and counts once.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ._outcomes import Outcome
from ._placement_messages import RESPONDED, BrokenTry, CrashReport, CrashStreak

# A request is refused after this many tries in a row broke the connection. A lower count would
# refuse requests that were placed at several failing targets by chance.
REFUSED_AFTER_BREAKS = 3
REFUSAL_S = 60.0
MAX_ENTRIES = 2000
# An observation is reported in all heartbeats of this time, as a datagram may be lost.
REPORTED_S = 2.5
REPORTS_MAX = 16
# Reports of breaks that are older than a response to the request are ignored for this long.
LATE_REPORT_S = 4.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True)
class _Streak:
    broken_tries: set[BrokenTry] = field(default_factory=set)
    latest_s: float
    is_known_elsewhere: bool = False


class CrashStreaks:
    """Connections that broke in a row, by the request's fingerprint, as one instance knows them.

    :param own_name: this instance's name.
    """

    __slots__ = ("_own_name", "_reports", "_responded_s", "_streaks")

    def __init__(self, *, own_name: str = "") -> None:
        self._own_name = own_name
        self._streaks: OrderedDict[bytes, _Streak] = OrderedDict()
        self._responded_s: OrderedDict[bytes, float] = OrderedDict()
        # Times of this instance's own observations, by fingerprint and call id or RESPONDED.
        self._reports: OrderedDict[tuple[bytes, int], float] = OrderedDict()

    def observe(self, fingerprint: bytes, key: BrokenTry, outcome: Outcome, now_s: float) -> None:
        """Record the outcome of a try; a response ends the request's streak.

        :param key: the instance that sent the try, and its call id.
        """
        if not fingerprint:
            return
        if outcome in (Outcome.SUCCESS, Outcome.ERROR):
            self._end(fingerprint, now_s)
        elif outcome is Outcome.BROKEN_BEFORE_HEAD:
            self._add(fingerprint, [key], now_s)

    def observe_own(
        self,
        fingerprint: bytes,
        call_id: int,
        outcome: Outcome,
        now_s: float,
        *,
        is_retryable: bool,
    ) -> None:
        """Record the outcome of a try that this instance sent, and report it to peers.

        Breaks of requests that are not retryable are not reported, since no instance retries them.
        """
        streak = self._streaks.get(fingerprint)
        self.observe(fingerprint, (self._own_name, call_id), outcome, now_s)
        if streak is not None and fingerprint not in self._streaks:
            for _, broken_id in streak.broken_tries:
                self._reports.pop((fingerprint, broken_id), None)
            if streak.is_known_elsewhere:
                self._report(fingerprint, RESPONDED, now_s)
        elif fingerprint and outcome is Outcome.BROKEN_BEFORE_HEAD and is_retryable:
            self._report(fingerprint, call_id, now_s)

    def reports(self, now_s: float) -> list[CrashReport]:
        """Return this instance's latest observations, for its heartbeats."""
        _drop_older(self._reports, now_s - REPORTED_S)
        reports = []
        for (fingerprint, call_id), at_s in itertools.islice(
            reversed(self._reports.items()), REPORTS_MAX
        ):
            streak = self._streaks.get(fingerprint)
            if streak is not None:
                streak.is_known_elsewhere = True
            reports.append((fingerprint, call_id, int(MS_PER_S * (now_s - at_s))))
        return reports

    def merge(self, sender: str, reports: Iterable[CrashReport], now_s: float) -> None:
        """Add the observations of a peer's heartbeat."""
        for fingerprint, call_id, age_ms in reports:
            at_s = now_s - age_ms / MS_PER_S
            if call_id != RESPONDED:
                self._add(fingerprint, [(sender, call_id)], at_s, is_known_elsewhere=True)
            elif at_s > self._responded_s.get(fingerprint, float("-inf")):
                self._end(fingerprint, at_s)

    def latest(self, most: int, now_s: float) -> list[CrashStreak]:
        """Return the latest streaks, for the home that may take over."""
        latest = itertools.islice(reversed(self._streaks.items()), most)
        return [
            (fingerprint, sorted(streak.broken_tries), int(MS_PER_S * (now_s - streak.latest_s)))
            for fingerprint, streak in latest
        ]

    def adopt(self, streaks: Iterable[CrashStreak], now_s: float) -> None:
        """Add another home's streaks."""
        for fingerprint, broken_tries, age_ms in streaks:
            at_s = now_s - age_ms / MS_PER_S
            self._add(fingerprint, broken_tries, at_s, is_known_elsewhere=True)

    def is_refused(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request is refused, for a minute after it last broke a connection."""
        streak = self._streaks.get(fingerprint)
        return (
            streak is not None
            and len(streak.broken_tries) >= REFUSED_AFTER_BREAKS
            and now_s - streak.latest_s < REFUSAL_S
        )

    def _add(
        self,
        fingerprint: bytes,
        broken_tries: Iterable[BrokenTry],
        at_s: float,
        *,
        is_known_elsewhere: bool = False,
    ) -> None:
        # A report may arrive after the response that ended its streak.
        if at_s <= self._responded_s.get(fingerprint, float("-inf")):
            return
        streak = self._streaks.get(fingerprint)
        if streak is None:
            streak = self._streaks[fingerprint] = _Streak(latest_s=at_s)
            _limit(self._streaks)
        for key in broken_tries:
            if len(streak.broken_tries) < REFUSED_AFTER_BREAKS:
                streak.broken_tries.add(key)
        streak.latest_s = max(streak.latest_s, at_s)
        streak.is_known_elsewhere |= is_known_elsewhere
        self._streaks.move_to_end(fingerprint)

    def _end(self, fingerprint: bytes, at_s: float) -> None:
        self._responded_s[fingerprint] = at_s
        self._responded_s.move_to_end(fingerprint)
        _drop_older(self._responded_s, at_s - LATE_REPORT_S)
        streak = self._streaks.get(fingerprint)
        if streak is not None and streak.latest_s <= at_s:
            del self._streaks[fingerprint]

    def _report(self, fingerprint: bytes, call_id: int, now_s: float) -> None:
        self._reports[fingerprint, call_id] = now_s
        self._reports.move_to_end((fingerprint, call_id))
        _limit(self._reports)


def _drop_older(times_s: OrderedDict[Any, float], limit_s: float) -> None:
    """Remove the entries before a time, of entries in the order of their times."""
    while times_s:
        oldest = next(iter(times_s))
        if times_s[oldest] >= limit_s:
            break
        del times_s[oldest]


def _limit(entries: OrderedDict) -> None:
    if len(entries) > MAX_ENTRIES:
        entries.popitem(last=False)
