"""Tokens that one instance holds for its workspaces, and its requests for more tokens."""

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from ._drift import DRIFT_MARGIN_RATIO
from ._messages import TokenDemand, TokenReply, TokenRequest
from ._rate import RETRY_AFTER_MAX_S, RETRY_AFTER_MIN_S
from ._rendezvous import rendezvous_order, workspace_rendezvous_key
from ._slots import SlotSet

# An instance requests tokens for the demand that it expects within this time.
DEMAND_HORIZON_S = 0.2
# Tokens are requested for the expected demand of this fraction of a grant's term, if that is less:
# a short term shows that the workspace has few tokens, so unused ones would be missing elsewhere.
HORIZON_TERM_RATIO = 0.5
# More tokens are requested when at most this fraction of the horizon's demand is left.
LOW_WATER_RATIO = 0.5
# Without a reply within this time, the demands go to the next home.
REPLY_TIMEOUT_S = 0.05
# Replies later than this are dropped, since the terms of their grants have ended.
REPLY_MAX_S = 1.0
# The report on a used-up grant with a short term waits for this fraction of the term.
SETTLE_RATIO = 0.1
# Reports on used-up grants with a longer term wait for the next demand or the end of the term: the
# tokens take up a small part of the burst, and each report costs a message.
SETTLE_TERM_MAX_S = 0.1
# Demands without a waiting request are collected for this time, to share messages.
BATCH_DELAY_S = 0.02
# A grant with unused tokens is released by this fraction of its term before its end, at most
# RELEASE_MAX_S, while its home can still issue the tokens to another instance.
RELEASE_RATIO = 0.25
RELEASE_MAX_S = 0.15
# A datagram holds about this many demands.
DEMANDS_MAX = 24
# Entries without grants, waiting requests and reports are examined four times in this period, and
# dropped once their arrival rate has decayed.
IDLE_DROP_S = 10.0
RATE_WINDOW_S = 0.2
RATE_SMOOTHING = 0.5
REQUEST_ID_BITS = 62
SETTLED_MAX = 16


@dataclass(slots=True)
class _Grant:
    grant_id: int
    home: int
    tokens: int
    remaining: int
    ends_s: float
    term_s: float


@dataclass(slots=True)
class _Report:
    """Use of a finished grant, sent until the home has replied."""

    home: int
    used: int
    report_at_s: float
    ends_s: float


@dataclass(slots=True)
class _InFlight:
    home: int
    sent_s: float
    demands: list[TokenDemand]


@dataclass(slots=True)
class _Entry:
    workspace: str
    # ``remaining`` and ``ends_s`` are those of the grant in use, copied here for the hot path.
    remaining: int = 0
    ends_s: float = 0.0
    low_water: int = 0
    arrivals: int = 0
    waiting: int = 0
    grant: _Grant | None = None
    queued: deque[_Grant] | None = None
    reports: dict[int, _Report] | None = None
    rate_per_s: float = 0.0
    rate_updated_s: float = 0.0
    horizon_s: float = DEMAND_HORIZON_S
    next_demand_s: float = 0.0
    has_retry_time: bool = False
    timer_at_s: float = math.inf
    homes: tuple[int, ...] = ()
    home_index: int = 0
    candidates: SlotSet | None = None
    is_dirty: bool = False
    # A demand is in flight, or waits for the home's reply to an earlier request.
    awaits_reply: bool = False


@dataclass(slots=True)
class _Batch:
    urgent: list[TokenDemand] = field(default_factory=list)
    other: list[TokenDemand] = field(default_factory=list)


class TokenCache:
    """Tokens that one instance holds.

    The daemon calls :meth:`due_requests` when a request starts to wait and at the time that
    :meth:`next_due_s` gives, and sends each request to the holder of its home slot.

    :param slot_count: number of slots in the fleet.
    :param random: source of the first request id. Ids start at a random number, so that a late
        reply to an earlier incarnation of this instance matches no request of the present one.
    :param drift_margin_ratio: fraction of each term that is left unused, for clock drift.
    """

    __slots__ = (
        "_slot_count",
        "_margin_factor",
        "_entries",
        "_dirty",
        "_dirty_due_s",
        "_timers",
        "_in_flight",
        "_home_requests",
        "_blocked",
        "_next_request_id",
    )

    def __init__(
        self,
        *,
        slot_count: int,
        random: random.Random,
        drift_margin_ratio: float = DRIFT_MARGIN_RATIO,
    ) -> None:
        self._slot_count = slot_count
        self._margin_factor = 1 - drift_margin_ratio
        self._entries: dict[str, _Entry] = {}
        self._dirty: list[_Entry] = []
        self._dirty_due_s = math.inf
        self._timers: list[tuple[float, str]] = []
        self._in_flight: dict[int, _InFlight] = {}
        # The latest request to each home; at most one is unanswered.
        self._home_requests: dict[int, int] = {}
        # Entries with a demand or a report for a home that has not replied yet.
        self._blocked: dict[int, list[_Entry]] = {}
        self._next_request_id = random.getrandbits(REQUEST_ID_BITS) + 1

    def __len__(self) -> int:
        return len(self._entries)

    def take(self, workspace: str, now_s: float) -> bool:
        """Take a token for a request that has just arrived.

        :returns: false when there is no token, or when earlier requests are waiting for one.
        """
        entry = self._entries.get(workspace)
        if entry is None:
            entry = self._entries[workspace] = _Entry(workspace, rate_updated_s=now_s)
        entry.arrivals += 1
        if entry.waiting:
            return False
        if entry.remaining > entry.low_water and now_s < entry.ends_s:
            entry.remaining -= 1
            return True
        return self._take_from_grants(entry, now_s)

    def wait(self, workspace: str, now_s: float) -> None:
        """Add a request that waits for a token, which makes a token request due at once."""
        entry = self._entries.get(workspace)
        if entry is None:
            entry = self._entries[workspace] = _Entry(workspace, rate_updated_s=now_s)
        entry.waiting += 1
        if not entry.awaits_reply:
            self._mark_dirty(entry, now_s)

    def take_waiting(self, workspace: str, now_s: float) -> bool:
        """Take a token for the first waiting request.

        :returns: whether there was a token; the request then no longer counts as waiting.
        """
        entry = self._entries.get(workspace)
        if entry is None or not entry.waiting or not self._take_from_grants(entry, now_s):
            return False
        entry.waiting -= 1
        return True

    def stop_waiting(self, workspace: str) -> None:
        """Remove a waiting request that gives up."""
        entry = self._entries.get(workspace)
        if entry is not None and entry.waiting:
            entry.waiting -= 1

    def wait_hint_s(self, workspace: str, now_s: float) -> float:
        """Estimate how long a request that starts to wait now would wait for a token.

        The estimate can serve as the ``Retry-After`` time of a refused request.
        """
        entry = self._entries.get(workspace)
        if entry is None or not entry.has_retry_time:
            return 0.0
        next_demand_in_s = max(0.0, entry.next_demand_s - now_s)
        if not entry.rate_per_s:
            return next_demand_in_s
        return next_demand_in_s + entry.waiting / entry.rate_per_s

    def next_due_s(self) -> float:
        """Return when to call :meth:`due_requests` next; infinity when nothing is pending."""
        times = [self._dirty_due_s]
        for request_id in self._home_requests.values():
            times.append(self._in_flight[request_id].sent_s + REPLY_TIMEOUT_S)
        if self._timers:
            times.append(self._timers[0][0])
        return min(times)

    def due_requests(self, candidates: SlotSet, now_s: float) -> list[TokenRequest]:
        """Return the requests to send now, at most one per home.

        :param candidates: slots that are homes as far as this instance knows.
        """
        self._expire_unanswered(now_s)
        if not candidates:
            for entry in self._due_entries(now_s):
                self._set_timer(entry, now_s + REPLY_TIMEOUT_S)
            return []
        batches: dict[int, _Batch] = {}
        for entry in self._due_entries(now_s):
            self._examine(entry, candidates, now_s, batches)
        return [self._build_request(home, batch, now_s) for home, batch in batches.items()]

    def record(self, reply: TokenReply, now_s: float) -> list[str]:
        """Record a reply; a second reply to the same request is ignored.

        :returns: the workspaces whose waiting requests may now get tokens.
        """
        sent = self._in_flight.pop(reply.request_id, None)
        if sent is None:
            return []
        if self._home_requests.get(sent.home) == reply.request_id:
            self._unblock(sent, now_s)
        self._drop_acknowledged_reports(sent)
        workspaces = []
        for grant in reply.grants:
            entry = self._entries.get(grant.workspace)
            if entry is None:
                continue
            if not grant.is_home:
                self._record_not_home(entry, sent.home, now_s)
            elif grant.tokens:
                ends_s = sent.sent_s + grant.term_s * self._margin_factor
                self._add_grant(entry, sent, grant.grant_id, grant.tokens, ends_s)
            elif grant.retry_after_s:
                self._record_refusal(entry, sent.home, grant.retry_after_s, now_s)
            self._mark_dirty(entry, now_s)
            if entry.waiting:
                workspaces.append(entry.workspace)
        return workspaces

    # Tokens

    def _take_from_grants(self, entry: _Entry, now_s: float) -> bool:
        if not entry.awaits_reply:
            self._mark_dirty(entry, now_s)
        while entry.remaining == 0 or now_s >= entry.ends_s:
            if not self._next_grant(entry, now_s):
                return False
        entry.remaining -= 1
        return True

    def _add_grant(
        self, entry: _Entry, sent: _InFlight, grant_id: int, tokens: int, ends_s: float
    ) -> None:
        term_s = ends_s - sent.sent_s
        grant = _Grant(grant_id, sent.home, tokens, tokens, ends_s, term_s)
        entry.horizon_s = min(DEMAND_HORIZON_S, term_s * HORIZON_TERM_RATIO)
        entry.has_retry_time = False
        entry.next_demand_s = 0.0
        if entry.queued is None:
            entry.queued = deque()
        entry.queued.append(grant)

    def _next_grant(self, entry: _Entry, now_s: float) -> bool:
        """Finish the grant in use and switch to the next one, if there is one."""
        self._finish_grant(entry, now_s)
        if not entry.queued:
            return False
        grant = entry.queued.popleft()
        if not entry.queued:
            entry.queued = None
        entry.grant = grant
        entry.remaining = grant.remaining
        entry.ends_s = grant.ends_s
        return True

    def _finish_grant(self, entry: _Entry, now_s: float) -> None:
        """Stop using the current grant, and queue a report on how many of its tokens were used."""
        grant = entry.grant
        if grant is None:
            return
        used = grant.tokens - entry.remaining
        entry.grant = None
        entry.remaining = 0
        entry.ends_s = 0.0
        if now_s >= grant.ends_s:
            return
        if entry.reports is None:
            entry.reports = {}
        # Unused tokens are missing elsewhere until they are released, so their report is due now.
        delay_s = 0.0
        if used == grant.tokens:
            is_short = grant.term_s <= SETTLE_TERM_MAX_S
            delay_s = grant.term_s * SETTLE_RATIO if is_short else math.inf
        entry.reports[grant.grant_id] = _Report(grant.home, used, now_s + delay_s, grant.ends_s)

    def _available_tokens(self, entry: _Entry) -> int:
        queued = entry.queued or ()
        return entry.remaining + sum(grant.remaining for grant in queued)

    # Demands

    def _mark_dirty(self, entry: _Entry, now_s: float) -> None:
        """Have the next call of :meth:`due_requests` examine an entry."""
        due_s = now_s if entry.waiting else now_s + BATCH_DELAY_S
        self._dirty_due_s = min(self._dirty_due_s, due_s)
        if not entry.is_dirty:
            entry.is_dirty = True
            self._dirty.append(entry)

    def _due_entries(self, now_s: float) -> list[_Entry]:
        while self._timers and self._timers[0][0] <= now_s:
            timer_at_s, workspace = heapq.heappop(self._timers)
            entry = self._entries.get(workspace)
            if entry is not None and entry.timer_at_s == timer_at_s:
                entry.timer_at_s = math.inf
                self._mark_dirty(entry, now_s)
        due, self._dirty = self._dirty, []
        self._dirty_due_s = math.inf
        for entry in due:
            entry.is_dirty = False
        # An entry may have been dropped after it was marked.
        return [entry for entry in due if self._entries.get(entry.workspace) is entry]

    def _set_timer(self, entry: _Entry, at_s: float) -> None:
        if at_s < entry.timer_at_s:
            entry.timer_at_s = at_s
            heapq.heappush(self._timers, (at_s, entry.workspace))

    def _examine(
        self, entry: _Entry, candidates: SlotSet, now_s: float, batches: dict[int, _Batch]
    ) -> None:
        self._count_arrivals(entry, now_s)
        self._release_expiring_grants(entry, now_s)
        self._choose_homes(entry, candidates)
        wanted = self._wanted(entry, now_s)
        self._drop_ended_reports(entry, now_s)
        home = entry.homes[entry.home_index]
        if wanted:
            self._add_demand(entry, home, wanted, now_s, batches)
        for home_to_report in {
            report.home for report in (entry.reports or {}).values() if report.report_at_s <= now_s
        }:
            if not wanted or home_to_report != home:
                self._add_demand(entry, home_to_report, 0, now_s, batches)
        self._schedule(entry, now_s)

    def _add_demand(
        self, entry: _Entry, home: int, wanted: int, now_s: float, batches: dict[int, _Batch]
    ) -> None:
        entry.awaits_reply = entry.awaits_reply or wanted > 0
        if home in self._home_requests:
            self._blocked.setdefault(home, []).append(entry)
            return
        settled = {
            grant_id: report.used
            for grant_id, report in list((entry.reports or {}).items())[:SETTLED_MAX]
            if report.home == home
        }
        batch = batches.setdefault(home, _Batch())
        token_demand = TokenDemand(workspace=entry.workspace, wanted=wanted, settled=settled)
        (batch.urgent if entry.waiting else batch.other).append(token_demand)

    def _build_request(self, home: int, batch: _Batch, now_s: float) -> TokenRequest:
        demands = batch.urgent + batch.other
        for token_demand in demands[DEMANDS_MAX:]:
            self._blocked.setdefault(home, []).append(self._entries[token_demand.workspace])
        demands = demands[:DEMANDS_MAX]
        request = TokenRequest(request_id=self._next_request_id, home_slot=home, demands=demands)
        self._next_request_id += 1
        self._in_flight[request.request_id] = _InFlight(home, now_s, demands)
        self._home_requests[home] = request.request_id
        return request

    def _wanted(self, entry: _Entry, now_s: float) -> int:
        if now_s < entry.next_demand_s:
            return 0
        demand = entry.rate_per_s * entry.horizon_s
        available = self._available_tokens(entry)
        entry.low_water = int(demand * LOW_WATER_RATIO)
        if entry.waiting <= available and available > entry.low_water:
            return 0
        return max(0, entry.waiting + int(demand + 0.5) - available)

    def _count_arrivals(self, entry: _Entry, now_s: float) -> None:
        elapsed_s = now_s - entry.rate_updated_s
        if elapsed_s < RATE_WINDOW_S:
            return
        # The old estimate halves with each window, also over a long time without arrivals.
        keep = RATE_SMOOTHING ** (elapsed_s / RATE_WINDOW_S)
        entry.rate_per_s = keep * entry.rate_per_s + (1 - keep) * entry.arrivals / elapsed_s
        entry.arrivals = 0
        entry.rate_updated_s = now_s

    def _release_expiring_grants(self, entry: _Entry, now_s: float) -> None:
        """Release grants shortly before their end, while the home can reissue unused tokens."""
        grant = entry.grant
        if grant is None or entry.remaining == 0:
            if entry.queued is None and grant is None:
                return
            if not self._next_grant(entry, now_s):
                return
            grant = entry.grant
        while grant is not None and now_s >= _release_at_s(grant):
            self._next_grant(entry, now_s)
            grant = entry.grant

    def _drop_ended_reports(self, entry: _Entry, now_s: float) -> None:
        if entry.reports is None:
            return
        for grant_id in [key for key, value in entry.reports.items() if value.ends_s <= now_s]:
            del entry.reports[grant_id]
        if not entry.reports:
            entry.reports = None

    def _schedule(self, entry: _Entry, now_s: float) -> None:
        """Set the time at which the entry is examined again, or drop it."""
        times = [
            min(report.report_at_s, report.ends_s) for report in (entry.reports or {}).values()
        ]
        if entry.grant is not None:
            times.append(_release_at_s(entry.grant))
        if entry.waiting:
            times.append(max(entry.next_demand_s, now_s + REPLY_TIMEOUT_S))
        if times:
            self._set_timer(entry, max(min(times), now_s + RETRY_AFTER_MIN_S))
            return
        if entry.arrivals == 0 and now_s - entry.rate_updated_s >= 0 and entry.rate_per_s < 1e-3:
            if not entry.queued and not entry.is_dirty:
                del self._entries[entry.workspace]
            return
        self._set_timer(entry, now_s + IDLE_DROP_S / 4)

    # Homes

    def _choose_homes(self, entry: _Entry, candidates: SlotSet) -> None:
        if entry.candidates == candidates:
            return
        order = rendezvous_order(workspace_rendezvous_key(entry.workspace), self._slot_count)
        first = islice((slot for slot in order if slot in candidates), 2)
        # Lenders that know more candidates may still treat the preferred slot as the home.
        homes = tuple(dict.fromkeys([*first, order[0]]))
        if entry.homes[:1] != homes[:1]:
            entry.home_index = 0
        entry.home_index = min(entry.home_index, len(homes) - 1)
        entry.homes = homes
        entry.candidates = candidates

    def _try_next_home(self, entry: _Entry, home: int) -> None:
        if entry.homes and entry.homes[entry.home_index] == home:
            entry.home_index = (entry.home_index + 1) % len(entry.homes)

    def _record_not_home(self, entry: _Entry, home: int, now_s: float) -> None:
        """Switch to the next home, and pause once none of them has proved to be the home."""
        self._try_next_home(entry, home)
        if entry.home_index == 0:
            entry.next_demand_s = now_s + REPLY_TIMEOUT_S

    def _record_refusal(self, entry: _Entry, home: int, retry_after_s: float, now_s: float) -> None:
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, retry_after_s))
        entry.next_demand_s = now_s + retry_after_s
        entry.has_retry_time = True
        if entry.home_index:
            # The first home may have the larger share again.
            entry.home_index = 0

    def _expire_unanswered(self, now_s: float) -> None:
        for request_id, sent in list(self._in_flight.items()):
            if now_s - sent.sent_s >= REPLY_MAX_S:
                del self._in_flight[request_id]
            if self._home_requests.get(sent.home) != request_id:
                continue
            if now_s - sent.sent_s >= REPLY_TIMEOUT_S:
                self._unblock(sent, now_s)
                self._skip_home(sent)

    def _skip_home(self, sent: _InFlight) -> None:
        for token_demand in sent.demands:
            entry = self._entries.get(token_demand.workspace)
            if entry is not None and token_demand.wanted:
                self._try_next_home(entry, sent.home)

    def _unblock(self, sent: _InFlight, now_s: float) -> None:
        """Mark the request's entries, and those blocked behind it, for examination."""
        del self._home_requests[sent.home]
        demanding = [self._entries.get(token_demand.workspace) for token_demand in sent.demands]
        for entry in [*demanding, *self._blocked.pop(sent.home, ())]:
            if entry is not None:
                entry.awaits_reply = False
                self._mark_dirty(entry, now_s)

    def _drop_acknowledged_reports(self, sent: _InFlight) -> None:
        for token_demand in sent.demands:
            entry = self._entries.get(token_demand.workspace)
            if entry is None or entry.reports is None:
                continue
            for grant_id in token_demand.settled:
                entry.reports.pop(grant_id, None)
            if not entry.reports:
                entry.reports = None


def _release_at_s(grant: _Grant) -> float:
    return grant.ends_s - min(RELEASE_MAX_S, grant.term_s * RELEASE_RATIO)
