"""Permits for concurrent requests on cold targets.

A permit has one holder. The home counts a holder's permits until the holder surrenders them in a
report or their term ends at the home; the holder counts the term from before it sent the report
that the grant replies to. Each report surrenders all permits that are not in use, and a grant
applies only to the latest report, so a delayed or duplicated grant never revives permits.
"""

from collections.abc import Hashable
from dataclasses import dataclass

from ._drift import DRIFT_MARGIN_RATIO

PERMIT_TERM_S = 10.0
# The home counts a permit this much longer, until the deadline has reached the target and ended the
# request there.
PERMIT_GRACE_S = 0.5
# After this time no permit of an earlier home is in use.
EARLIER_PERMITS_S = PERMIT_TERM_S * (1 + DRIFT_MARGIN_RATIO) + PERMIT_GRACE_S
# A new request needs this much of its permit's term, as the end of the permit is its deadline.
MIN_PERMIT_REMAINING_S = 5.0
# How long a holder may reuse a permit while others wait for one.
PERMIT_REUSE_S = 0.1
# A holder whose last demand is older than this (two report intervals) no longer waits for a permit.
DEMAND_EXPIRY_S = 1.2
ALLOWANCE_STEP_S = 1.0
ALLOWANCE_STEP_MAX_BAD_RATIO = 0.1


@dataclass(slots=True, kw_only=True)
class _Holding:
    """Permits of one holder; ``load`` counts its requests and its unused permits."""

    load: int
    permits: int
    ends_at_s: float
    reuse_began_s: float


@dataclass(slots=True, kw_only=True)
class _PermitDemand:
    wanted: int
    demanded_at_s: float
    served_at_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class PermitGrant:
    """Permits that replace those which a holder had."""

    permits: int
    term_s: float = PERMIT_TERM_S


class PermitPool:
    """Permits of one cold target at its service's home.

    :param initial_allowance: concurrent requests allowed at first.
    :param full_allowance: the target's number of slots; the target is warm when the allowance
        reaches it.
    :param earlier_permits_until_s: until then permits of an earlier home may be in use, and only
        permits that were reported to this pool are renewed or granted again.
    """

    __slots__ = (
        "_adopted",
        "_allowance",
        "_bad",
        "_demands",
        "_earlier_permits_until_s",
        "_full",
        "_good",
        "_holdings",
        "_issue_after_s",
        "_initial",
        "_step_began_s",
    )

    def __init__(
        self,
        *,
        initial_allowance: int,
        full_allowance: int,
        now_s: float,
        earlier_permits_until_s: float = 0.0,
    ) -> None:
        self._initial = max(1, initial_allowance)
        self._full = max(self._initial, full_allowance)
        self._allowance = self._initial
        self._adopted = 0
        self._good = 0
        self._bad = 0
        self._step_began_s = now_s
        self._issue_after_s = float("-inf")
        self._earlier_permits_until_s = earlier_permits_until_s
        self._holdings: dict[Hashable, _Holding] = {}
        self._demands: dict[Hashable, _PermitDemand] = {}

    @property
    def allowance(self) -> int:
        """Number of concurrent requests that the target may have at present."""
        return self._allowance

    def has_holder(self, holder: Hashable) -> bool:
        """Return whether anything is counted for a holder."""
        return holder in self._holdings

    def outstanding(self, now_s: float) -> int:
        """Return the number of requests that may run on the target, with unused permits."""
        self._expire_holdings(now_s)
        return sum(holding.load for holding in self._holdings.values())

    def record_results(self, good: int, bad: int, now_s: float) -> bool:
        """Count results and adjust the allowance once a second.

        The allowance doubles after a second in which at most 10% of the results were bad, is halved
        after a second with more, and stays after a second without results.

        :returns: whether the target has become warm.
        """
        self._good += good
        self._bad += bad
        if now_s - self._step_began_s < ALLOWANCE_STEP_S or self._is_paused(now_s):
            return False
        if not self._good and not self._bad:
            return False
        went_well = self._bad <= ALLOWANCE_STEP_MAX_BAD_RATIO * (self._good + self._bad)
        is_warm = went_well and self._allowance >= self._full
        changed = self._allowance * 2 if went_well else self._allowance // 2
        self._allowance = min(self._full, max(self._initial, changed))
        self._good = self._bad = 0
        self._step_began_s = now_s
        return is_warm

    def restart(self, now_s: float, issue_after_s: float) -> None:
        """Restart with the initial allowance; permits issued before still count."""
        self._allowance = self._initial
        self._good = self._bad = 0
        self._step_began_s = now_s
        self._issue_after_s = max(self._issue_after_s, issue_after_s)

    def pause_until(self, earlier_permits_until_s: float) -> None:
        """Issue no new permits before a time, as another home may have issued some."""
        self._earlier_permits_until_s = max(self._earlier_permits_until_s, earlier_permits_until_s)
        self._adopted = 0
        for holding in self._holdings.values():
            holding.permits = 0

    def end_pause(self, now_s: float) -> None:
        """Issue permits from now on, as no other home can have issued any."""
        self._earlier_permits_until_s = min(self._earlier_permits_until_s, now_s)

    def record_load(
        self, holder: Hashable, *, in_flight: int, permits_in_use: int, now_s: float
    ) -> None:
        """Record a holder's load without granting permits."""
        self._expire_holdings(now_s)
        load = max(in_flight, permits_in_use)
        holding = self._holdings.get(holder)
        if load == 0:
            self._holdings.pop(holder, None)
            return
        if holding is None:
            holding = self._holdings[holder] = _Holding(
                load=0,
                permits=0,
                ends_at_s=now_s + PERMIT_TERM_S + PERMIT_GRACE_S,
                reuse_began_s=now_s,
            )
        holding.load = load

    def assign(
        self,
        holder: Hashable,
        *,
        in_flight: int,
        permits_in_use: int,
        wanted: int,
        now_s: float,
    ) -> PermitGrant:
        """Replace a holder's permits, after a report that surrendered those not in use.

        :param in_flight: all of the holder's requests on the target, with or without permits.
        :param wanted: concurrent requests that the holder would send if it could.
        """
        previous = self._holdings.get(holder)
        known = previous.permits if previous else 0
        self._adopted += max(0, permits_in_use - known)
        self.record_load(holder, in_flight=in_flight, permits_in_use=permits_in_use, now_s=now_s)
        self._record_demand(holder, wanted, now_s)
        permits = self._permits_for(holder, in_flight, permits_in_use, wanted, now_s)
        self._hold(holder, max(in_flight, permits_in_use), permits, permits_in_use, now_s)
        return PermitGrant(permits=permits)

    def _limit(self, now_s: float) -> int:
        return self._adopted if self._is_paused(now_s) else self._allowance

    def _is_paused(self, now_s: float) -> bool:
        return now_s < max(self._issue_after_s, self._earlier_permits_until_s)

    def _permits_for(
        self, holder: Hashable, in_flight: int, permits_in_use: int, wanted: int, now_s: float
    ) -> int:
        load = max(in_flight, permits_in_use)
        limit = self._limit(now_s)
        others = self.outstanding(now_s) - load
        keep = min(permits_in_use, max(0, limit - others))
        free = limit - others - load if wanted > 0 else 0
        if not keep and free <= 0:
            return 0
        waiting = self._waiting(now_s)
        if keep and self._must_yield(holder, waiting, now_s):
            return 0
        if free <= 0 or not self._is_due(holder, waiting, free):
            return keep
        share = max(1, limit // max(1, len(waiting | {holder})))
        return max(keep, min(keep + free, wanted, share))

    def _hold(
        self, holder: Hashable, load: int, permits: int, permits_in_use: int, now_s: float
    ) -> None:
        demand = self._demands.get(holder)
        if permits > 0:
            holding = self._holdings.get(holder)
            began_s = holding.reuse_began_s if holding and permits_in_use else now_s
            self._holdings[holder] = _Holding(
                load=max(load, permits),
                permits=permits,
                ends_at_s=now_s + PERMIT_TERM_S + PERMIT_GRACE_S,
                reuse_began_s=began_s,
            )
            if demand is not None:
                demand.served_at_s = now_s
        elif holder in self._holdings:
            self._holdings[holder].permits = permits_in_use

    def _record_demand(self, holder: Hashable, wanted: int, now_s: float) -> None:
        if wanted <= 0:
            self._demands.pop(holder, None)
            return
        demand = self._demands.get(holder)
        if demand is None:
            self._demands[holder] = _PermitDemand(
                wanted=wanted, demanded_at_s=now_s, served_at_s=now_s
            )
            return
        demand.wanted = wanted
        demand.demanded_at_s = now_s

    def _waiting(self, now_s: float) -> set[Hashable]:
        """Return the holders with unexpired demand and no permit."""
        for key in [
            holder
            for holder, demand in self._demands.items()
            if now_s - demand.demanded_at_s > DEMAND_EXPIRY_S
        ]:
            del self._demands[key]
        return {
            key
            for key in self._demands
            if key not in self._holdings or not self._holdings[key].permits
        }

    def _must_yield(self, holder: Hashable, waiting: set[Hashable], now_s: float) -> bool:
        others_wait = bool(waiting - {holder})
        holding = self._holdings.get(holder)
        if not others_wait or holding is None:
            return False
        return now_s - holding.reuse_began_s >= PERMIT_REUSE_S

    def _is_due(self, holder: Hashable, waiting: set[Hashable], free: int) -> bool:
        """Return whether a holder is in the quarter that has waited longest, if permits are scarce.

        Serving only the holder that has waited longest would leave a permit idle until its next
        report.
        """
        if len(waiting) <= free:
            return True
        served = sorted(self._demands[key].served_at_s for key in waiting)
        return self._demands[holder].served_at_s <= served[len(served) // 4]

    def _expire_holdings(self, now_s: float) -> None:
        ended = [key for key, held in self._holdings.items() if held.ends_at_s <= now_s]
        for key in ended:
            del self._holdings[key]


class PermitCache:
    """Permits of one cold target at an instance."""

    __slots__ = ("_ends_at_s", "_held", "_in_use")

    def __init__(self) -> None:
        self._held = 0
        self._in_use = 0
        self._ends_at_s = 0.0

    @property
    def in_use(self) -> int:
        """Number of requests that run on permits."""
        return self._in_use

    def free(self, now_s: float) -> int:
        """Return how many more requests may start now."""
        if self._ends_at_s - now_s < MIN_PERMIT_REMAINING_S:
            return 0
        return max(0, self._held - self._in_use)

    def take(self, now_s: float) -> float | None:
        """Use a permit.

        :returns: the time at which the request must have ended, or ``None`` without a permit.
        """
        if not self.free(now_s):
            return None
        self._in_use += 1
        return self._ends_at_s

    def release(self) -> None:
        """Record that a request on a permit has ended."""
        self._in_use -= 1

    def surrender_unused(self) -> None:
        """Surrender the permits that are not in use; call it while a report is being built."""
        self._held = min(self._held, self._in_use)

    def deadline_s(self, taken_until_s: float) -> float:
        """Return the present end of a request's permit, which later grants may have extended."""
        return max(taken_until_s, self._ends_at_s)

    def record(self, permits: int, term_s: float, requested_at_s: float) -> None:
        """Apply the grant in the reply to the latest report.

        :param requested_at_s: time before the report was built, from which the term counts.
        """
        ends_at_s = requested_at_s + term_s * (1 - DRIFT_MARGIN_RATIO)
        if permits >= self._in_use:
            self._ends_at_s = max(self._ends_at_s, ends_at_s)
        self._held = permits
