"""Home of a service, which derives verdicts on its targets from the reports of all instances."""

from dataclasses import dataclass, field

from ._cold_start import EARLIER_PERMITS_S, PERMIT_TERM_S, PermitPool
from ._detection import THRESHOLD, Evidence, OutlierDetector, Suspicion
from ._drift import DRIFT_MARGIN_RATIO
from ._ejection import EJECTION_TERM_S, EjectionBudget
from ._messages import (
    InstanceIncarnation,
    ServiceReply,
    ServiceReport,
    TargetReport,
    TargetState,
    TargetVerdict,
)

# A home counts only loans that last this much longer, so its right holds for as long without
# another check.
EXCLUSIVE_GAP_S = 1.0
# Time for every instance to report once before a target's state is adopted.
ADOPTION_WINDOW_S = 1.2
ADOPTION_LIMIT_S = 10.0
EVIDENCE_AGE_S = 5.0
# Time for the instances to learn that a target is cold again before permits are issued.
RECOLD_HOLD_S = 1.2
# Announcements are ignored for this long after a target turned cold, as they may lag.
ANNOUNCEMENT_PAUSE_S = 10.0
# Stands for the health endpoint among the sources of announcements.
HEALTH_ENDPOINT = InstanceIncarnation(instance_id="", incarnation=0)
SENDER_EXPIRY_S = 30.0
SWEEP_INTERVAL_S = 1.0
# A reporter gets a full reply at least this often; other replies leave out what it knows already.
VERDICT_TERM_S = 10.0
# A reporter that was not heard for this long, longer than the usual interval, holds back successes.
QUIET_AFTER_S = 0.7
# How long to wait for polled reports before acting on suspicions without them.
POLL_WAIT_S = 0.5
# Interval of polling quiet reporters while the evidence against a target is elevated. Without it, a
# target five times slower was found 3 s later in a service that 680 instances use rarely.
POLL_INTERVAL_S = 0.7
ELEVATION_CHECK_S = 0.2
# Reporters are polled repeatedly for this long, within which each of them sends a report anyway.
POLL_LIMIT_S = 5.0
# Verdicts that were transferred with the home slot are used if the right follows within this time.
TRANSFERRED_VERDICTS_S = 2.0
# After this time no ejection by an earlier home is in force.
EARLIER_EJECTIONS_S = EJECTION_TERM_S * (1 + DRIFT_MARGIN_RATIO)


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetSpec:
    """A target as configured; a draining one gets verdicts but does not count as capacity."""

    target: str
    slot_count: int
    draining: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSpec:
    """A service as configured.

    :param floor: number of targets that ejections must leave in service.
    :param cold_concurrency: concurrent requests that a cold target can take at first.
    """

    service: str
    targets: tuple[TargetSpec, ...]
    floor: int
    cold_concurrency: int = 1


@dataclass(slots=True, kw_only=True)
class _Target:
    spec: TargetSpec
    pool: PermitPool
    listed_at_s: float
    state: TargetState = TargetState.UNKNOWN
    draining_until_s: float = 0.0
    warm_seen_at_s: float | None = None
    known_states: dict[InstanceIncarnation, TargetState] = field(default_factory=dict)
    announcers: set[InstanceIncarnation] = field(default_factory=set)
    cold_since_s: float = float("-inf")


@dataclass(slots=True, kw_only=True)
class _Sender:
    request_id: int
    reply: ServiceReply
    last_heard_s: float
    full_reply_at_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class HomeEvent:
    """A decision of a home, for the timeline."""

    at_s: float
    target: str
    action: str
    detail: str = ""


class ServiceHome:
    """Outlier detection, ejection and cold start of one service's targets.

    :param spec: the service as configured.
    :param now_s: the time at which this instance became the service's home.
    """

    def __init__(
        self,
        *,
        spec: ServiceSpec,
        now_s: float,
        threshold: float = THRESHOLD,
    ) -> None:
        self._outlier_detector = OutlierDetector(threshold=threshold)
        self._budget = EjectionBudget(floor=spec.floor)
        self._targets: dict[str, _Target] = {}
        self._issue_after_s = float("-inf")
        self._senders: dict[InstanceIncarnation, _Sender] = {}
        self._poll_from_s = float("-inf")
        self._evidence_polled_at_s = float("-inf")
        self._elevation_checked_at_s = float("-inf")
        self._removed_at_s: dict[str, float] = {}
        self._swept_at_s = now_s
        self._confirmed_at_s: float | None = None
        self._exclusive_since_s: float | None = None
        self._had_right_at_s = float("-inf")
        # Targets whose ejection ended when the right was lost; they have had no verdict since.
        self._formerly_ejected: list[str] = []
        self._transferred: dict[str, TargetState] = {}
        self._transferred_at_s = float("-inf")
        self._events: list[HomeEvent] = []
        self.configure(spec, now_s)

    def configure(self, spec: ServiceSpec, now_s: float) -> None:
        """Apply a changed configuration; targets that are added later start cold."""
        self._spec = spec
        self._budget.floor = spec.floor
        removed = self._targets.keys() - {entry.target for entry in spec.targets}
        for name in removed:
            del self._targets[name]
            self._removed_at_s[name] = now_s
        self._budget.drop(removed)
        self._outlier_detector.set_targets(
            {entry.target: entry.slot_count for entry in spec.targets}
        )
        for entry in spec.targets:
            known = self._targets.get(entry.target)
            if known is None:
                self._targets[entry.target] = self._new_target(entry, now_s)
                if self._was_home_throughout(now_s):
                    self._make_cold(self._targets[entry.target], "newly listed", now_s)
            else:
                was_draining, known.spec = known.spec.draining, entry
                if entry.draining != was_draining:
                    # It may be out for any time, and an instance may learn of its return earlier.
                    reason = "taken out" if entry.draining else "back in service"
                    self._make_cold(known, reason, now_s)

    @property
    def has_right(self) -> bool:
        """Whether the exclusive right was held when :meth:`confirm` was last called."""
        return self._exclusive_since_s is not None

    def confirm(self, exclusive: bool, now_s: float, *, is_sole_issuer: bool = False) -> None:
        """Record whether the exclusive right is held.

        Call it at least twice a second, also without reports: after a longer gap another home may
        have held the right, and this one waits until the permits of that home have expired.

        :param is_sole_issuer: whether no other home can have issued permits that are still in use.
        """
        last_s = self._confirmed_at_s
        gap = last_s is None or now_s - last_s > EXCLUSIVE_GAP_S
        if not exclusive or gap:
            self._lose_right(now_s)
        if not exclusive:
            self._confirmed_at_s = None
            return
        self._confirmed_at_s = now_s
        if self._exclusive_since_s is None:
            self._gain_right(is_sole_issuer, now_s)
        elif is_sole_issuer and now_s < self._issue_after_s:
            self._end_pause(now_s)
        self._had_right_at_s = now_s

    def export_verdicts(self, now_s: float) -> dict[str, TargetState]:
        """Return the verdicts for the next home, after this one has released its slot.

        A home keeps the right until its closing time, so verdicts of a home that has been without
        the right for longer are outdated, and none are exported.
        """
        if now_s - self._had_right_at_s > EXCLUSIVE_GAP_S:
            return {}
        return {
            name: target.state
            for name, target in self._targets.items()
            if target.state in (TargetState.WARM, TargetState.COLD)
            and not target.spec.draining
            and not self._budget.is_ejected(name)
            and name not in self._formerly_ejected
        }

    def import_verdicts(self, verdicts: dict[str, TargetState], now_s: float) -> None:
        """Store the verdicts that the former home transferred in a slot handover.

        They apply once this home has the right. It still waits for earlier permits to expire.
        """
        self._transferred = verdicts
        self._transferred_at_s = now_s

    def needs_sole_issuer_check(self, now_s: float) -> bool:
        """Return whether :meth:`confirm` needs to know if this home is the sole issuer."""
        return self._exclusive_since_s is None or now_s < self._issue_after_s

    def handle_report(
        self, report: ServiceReport, sender: InstanceIncarnation, exclusive: bool, now_s: float
    ) -> ServiceReply | None:
        """Process a report and return the reply.

        :param exclusive: whether this home holds the exclusive right to the service now.
        :returns: the reply, or ``None`` for a report older than the sender's latest.
        """
        self.confirm(exclusive, now_s)
        known = self._senders.get(sender)
        if known is not None and report.request_id <= known.request_id:
            return known.reply if report.request_id == known.request_id else None
        held_s = report.held_ms / 1000
        self._outlier_detector.observe(
            sender.instance_id, report.data_centre, report.targets, now_s, held_s
        )
        reported = {entry.target: entry for entry in report.targets}
        for name, target in self._targets.items():
            entry = reported.get(name)
            if entry is not None or not self._is_settled(target, sender):
                self._record_entry(target, entry or TargetReport(target=name), sender, now_s)
        self.advance(now_s)
        verdicts = self._verdicts(reported, sender, now_s)
        full_reply_at_s = now_s
        if known is not None and now_s - known.full_reply_at_s < VERDICT_TERM_S:
            full_reply_at_s = known.full_reply_at_s
            verdicts = [entry for entry in verdicts if not _is_known(entry, reported)]
        reply = ServiceReply(
            request_id=report.request_id,
            service=report.service,
            is_home=True,
            verdicts=verdicts,
        )
        self._senders[sender] = _Sender(
            request_id=report.request_id,
            reply=reply,
            last_heard_s=now_s,
            full_reply_at_s=full_reply_at_s,
        )
        return reply

    def record_health(self, target: str, *, cold: bool, draining: bool, now_s: float) -> None:
        """Record what a target announces at its health endpoint.

        An announcement may lag or be wrong: it ends no ejection, makes no target warm, and is
        ignored where fewer warm targets than the floor would be left.
        """
        known = self._targets.get(target)
        if known is None or self._exclusive_since_s is None:
            return
        if draining:
            known.draining_until_s = now_s + VERDICT_TERM_S
        others = [name for name in self._in_service(now_s) if name != target]
        if cold and len(others) < self._spec.floor:
            return
        entry = TargetReport(target=target, announced_cold=cold)
        self._record_announcement(known, entry, HEALTH_ENDPOINT, now_s)

    def advance(self, now_s: float) -> None:
        """Act on what is due: adoption, returns from ejection, suspicions."""
        for target in self._targets.values():
            if target.state is TargetState.UNKNOWN:
                self._adopt(target, now_s)
        suspicions = self._outlier_detector.suspected(now_s)
        self._poll_for_evidence(now_s)
        if self._exclusive_since_s is not None:
            for name in self._budget.due_returns(now_s):
                self._make_cold(self._targets[name], "returned", now_s, hold_s=EJECTION_TERM_S)
            for suspicion in suspicions:
                # A shedding target may be cold, so its load is reduced without waiting for all
                # evidence.
                sheds = suspicion.evidence is Evidence.SHEDDING
                if sheds or self._has_all_evidence(now_s):
                    self._act_on(suspicion, now_s)
        self._expire_senders(now_s)

    def reporters_to_poll(self, now_s: float) -> list[InstanceIncarnation]:
        """Return the reporters to poll now; call it as often as :meth:`confirm`.

        They are those that may not know a verdict yet, or hold back successes while there is
        evidence against a target.
        """
        if now_s - self._poll_from_s > POLL_LIMIT_S:
            return []
        return [
            key for key, sender in self._senders.items() if sender.last_heard_s < self._poll_from_s
        ]

    def _has_all_evidence(self, now_s: float) -> bool:
        """Return whether to act on suspicions, as no reporter holds back successes.

        Failures are reported at once and successes late, so a healthy target could look faulty.
        """
        ages_s = [now_s - sender.last_heard_s for sender in self._senders.values()]
        if not any(QUIET_AFTER_S < age_s < POLL_LIMIT_S + QUIET_AFTER_S for age_s in ages_s):
            return True
        if now_s - self._evidence_polled_at_s > 2 * POLL_INTERVAL_S:
            # The evidence came in one report, so no reporter was polled before.
            self._poll_quiet_reporters(now_s)
        return now_s - self._evidence_polled_at_s >= POLL_WAIT_S

    def _poll_for_evidence(self, now_s: float) -> None:
        """Poll quiet reporters while the evidence against some target is elevated."""
        if now_s - self._elevation_checked_at_s < ELEVATION_CHECK_S:
            return
        self._elevation_checked_at_s = now_s
        if (
            now_s - self._evidence_polled_at_s >= POLL_INTERVAL_S
            and self._outlier_detector.is_elevated()
        ):
            self._poll_quiet_reporters(now_s)

    def _poll_quiet_reporters(self, now_s: float) -> None:
        self._evidence_polled_at_s = self._poll_from_s = now_s

    def take_events(self) -> list[HomeEvent]:
        """Return the decisions made since the last call."""
        events, self._events = self._events, []
        return events

    def state_of(self, target: str) -> TargetState:
        """Return the home's verdict on a target."""
        if self._budget.is_ejected(target):
            return TargetState.EJECTED
        return self._targets[target].state

    def allowance_of(self, target: str) -> int:
        """Return the concurrent requests that a cold target is allowed at present."""
        return self._targets[target].pool.allowance

    def _new_target(self, spec: TargetSpec, now_s: float) -> _Target:
        pool = PermitPool(
            initial_allowance=self._spec.cold_concurrency,
            full_allowance=spec.slot_count,
            now_s=now_s,
            earlier_permits_until_s=self._issue_after_s,
        )
        removed_at_s = self._removed_at_s.pop(spec.target, float("-inf"))
        # Permits that were issued before the target was removed may still be in use.
        pool.restart(now_s, removed_at_s + EARLIER_PERMITS_S)
        return _Target(spec=spec, pool=pool, listed_at_s=now_s)

    def _was_home_throughout(self, now_s: float) -> bool:
        since_s = self._exclusive_since_s
        return since_s is not None and now_s >= self._issue_after_s

    def _gain_right(self, is_sole_issuer: bool, now_s: float) -> None:
        self._exclusive_since_s = now_s
        if not is_sole_issuer:
            self._issue_after_s = now_s + EARLIER_PERMITS_S
            for target in self._targets.values():
                target.pool.pause_until(self._issue_after_s)
        elif now_s < self._issue_after_s:
            self._end_pause(now_s)
        # Being the sole issuer rules out other homes for no longer than the term of a permit.
        keeps_states = is_sole_issuer and now_s - self._had_right_at_s <= PERMIT_TERM_S
        for target in self._targets.values():
            if not keeps_states or target.state is TargetState.UNKNOWN:
                # Another home may have reached a verdict on the target in the meantime.
                target.state = TargetState.UNKNOWN
                target.listed_at_s = now_s
                target.known_states.clear()
        self._formerly_ejected = []
        self._apply_transferred(now_s)

    def _apply_transferred(self, now_s: float) -> None:
        transferred, self._transferred = self._transferred, {}
        if now_s - self._transferred_at_s > TRANSFERRED_VERDICTS_S:
            return
        for name, state in transferred.items():
            target = self._targets.get(name)
            if target is None or target.spec.draining or target.state is not TargetState.UNKNOWN:
                continue
            if state is TargetState.COLD:
                self._make_cold(target, "handed over", now_s)
                continue
            target.state = TargetState.WARM
            self._log(now_s, name, "adopted warm", "handed over")

    def _end_pause(self, now_s: float) -> None:
        self._issue_after_s = now_s
        for target in self._targets.values():
            target.pool.end_pause(now_s)

    def _lose_right(self, now_s: float) -> None:
        if self._exclusive_since_s is None:
            return
        self._exclusive_since_s = None
        self._formerly_ejected = list(self._budget.end_all(now_s))
        for name in self._formerly_ejected:
            self._log(now_s, name, "ejection ended", "exclusive right lost")

    @staticmethod
    def _is_settled(target: _Target, sender: InstanceIncarnation) -> bool:
        """Return whether a report without the target changes nothing."""
        if target.state is not TargetState.WARM or sender in target.announcers:
            return False
        return not target.pool.has_holder(sender)

    def _record_entry(
        self, target: _Target, entry: TargetReport, sender: InstanceIncarnation, now_s: float
    ) -> None:
        self._record_known_state(target, entry, sender, now_s)
        if entry.announced_draining:
            target.draining_until_s = now_s + VERDICT_TERM_S
        self._record_announcement(target, entry, sender, now_s)
        if target.state is not TargetState.COLD or self._budget.is_ejected(target.spec.target):
            in_flight = entry.permits_in_use
        else:
            in_flight = entry.in_flight_count
        target.pool.record_load(
            sender, in_flight=in_flight, permits_in_use=entry.permits_in_use, now_s=now_s
        )
        if self._is_ramping_up(target):
            bad = entry.error_count + entry.timeout_count + entry.shed_count
            bad += entry.connect_failure_count
            if target.pool.record_results(entry.success_count, bad, now_s):
                target.state = TargetState.WARM
                self._outlier_detector.reset(target.spec.target)
                self._log(now_s, target.spec.target, "warm")

    def _is_ramping_up(self, target: _Target) -> bool:
        return (
            target.state is TargetState.COLD
            and not target.spec.draining
            and self._exclusive_since_s is not None
            and not self._budget.is_ejected(target.spec.target)
        )

    def _record_known_state(
        self, target: _Target, entry: TargetReport, sender: InstanceIncarnation, now_s: float
    ) -> None:
        if entry.known_state is TargetState.WARM and entry.success_count:
            target.warm_seen_at_s = now_s
        is_unknown = target.state is TargetState.UNKNOWN
        if is_unknown and entry.known_state is not TargetState.UNKNOWN:
            target.known_states[sender] = entry.known_state

    def _adopt(self, target: _Target, now_s: float) -> None:
        """Set the state of an unknown target from the states that the instances report."""
        if target.spec.draining:
            return
        age_s = now_s - target.listed_at_s
        if age_s < ADOPTION_WINDOW_S:
            return
        if self._was_home_throughout(now_s) and not target.known_states:
            self._make_cold(target, "no earlier home", now_s)
            return
        known_states = list(target.known_states.values())
        warm = known_states.count(TargetState.WARM)
        seen = target.warm_seen_at_s
        if seen is not None and now_s - seen <= EVIDENCE_AGE_S and 2 * warm > len(known_states):
            target.state = TargetState.WARM
            self._log(now_s, target.spec.target, "adopted warm", f"{warm} of {len(known_states)}")
        elif (known_states and not warm) or age_s >= ADOPTION_LIMIT_S:
            self._make_cold(target, "nothing known", now_s)
        if target.state is not TargetState.UNKNOWN:
            target.known_states.clear()

    def _record_announcement(
        self, target: _Target, entry: TargetReport, sender: InstanceIncarnation, now_s: float
    ) -> None:
        if not entry.announced_cold:
            target.announcers.discard(sender)
            return
        is_new = sender not in target.announcers
        target.announcers.add(sender)
        lagging = now_s - target.cold_since_s < ANNOUNCEMENT_PAUSE_S
        if is_new and target.state is TargetState.WARM and not lagging:
            self._make_cold(target, "announced", now_s, hold_s=RECOLD_HOLD_S)

    def _make_cold(self, target: _Target, reason: str, now_s: float, hold_s: float = 0.0) -> None:
        target.state = TargetState.COLD
        target.cold_since_s = now_s
        self._poll_from_s = now_s
        target.pool.restart(now_s, now_s + hold_s)
        self._outlier_detector.reset(target.spec.target)
        self._log(now_s, target.spec.target, "cold", reason)

    def _act_on(self, suspicion: Suspicion, now_s: float) -> None:
        name = suspicion.target
        target = self._targets[name]
        if self._budget.is_ejected(name):
            return
        if suspicion.evidence is Evidence.SHEDDING:
            if target.state is TargetState.WARM:
                self._make_cold(target, "sheds", now_s, hold_s=RECOLD_HOLD_S)
            return
        if suspicion.evidence is Evidence.SLOWNESS and target.state is TargetState.COLD:
            return
        since_right_s = now_s - (self._exclusive_since_s or now_s)
        if since_right_s < EARLIER_EJECTIONS_S:
            return
        if self._budget.eject(name, self._in_service(now_s), now_s):
            self._outlier_detector.reset(name)
            self._poll_from_s = now_s
            self._log(now_s, name, "ejected", suspicion.evidence.value)

    def _in_service(self, now_s: float) -> list[str]:
        return [
            name
            for name, target in self._targets.items()
            if target.state is TargetState.WARM
            and not target.spec.draining
            and target.draining_until_s <= now_s
        ]

    def _verdicts(
        self, reported: dict[str, TargetReport], sender: InstanceIncarnation, now_s: float
    ) -> list[TargetVerdict]:
        if self._exclusive_since_s is None:
            return self._verdicts_without_right(reported, now_s)
        renewed = set(self._budget.renewals(now_s))
        return [
            self._verdict(target, reported, sender, name in renewed, now_s)
            for name, target in self._targets.items()
        ]

    def _verdict(
        self,
        target: _Target,
        reported: dict[str, TargetReport],
        sender: InstanceIncarnation,
        ejected: bool,
        now_s: float,
    ) -> TargetVerdict:
        name = target.spec.target
        if ejected:
            return TargetVerdict(target=name, state=TargetState.EJECTED, term_s=EJECTION_TERM_S)
        if target.state is not TargetState.COLD:
            return TargetVerdict(target=name, state=target.state, term_s=VERDICT_TERM_S)
        entry = reported.get(name) or TargetReport(target=name)
        grant = target.pool.assign(
            sender,
            in_flight=entry.in_flight_count,
            permits_in_use=entry.permits_in_use,
            wanted=entry.permits_wanted,
            now_s=now_s,
        )
        return TargetVerdict(
            target=name,
            state=TargetState.COLD,
            term_s=VERDICT_TERM_S,
            permits=grant.permits,
            permit_term_s=grant.term_s,
        )

    def _verdicts_without_right(
        self, reported: dict[str, TargetReport], now_s: float
    ) -> list[TargetVerdict]:
        """Return warm for each warm target whose state the reporter does not know, else unknown.

        A state that the reporter knows stays: another home may hold the right and may have found a
        target cold.
        """
        verdicts = []
        for name, target in self._targets.items():
            entry = reported.get(name)
            knows_state = entry is not None and entry.known_state is not TargetState.UNKNOWN
            state = TargetState.UNKNOWN
            seen_s = target.warm_seen_at_s
            is_fresh = seen_s is not None and now_s - seen_s <= EVIDENCE_AGE_S
            if target.state is TargetState.WARM and is_fresh and not knows_state:
                state = TargetState.WARM
            verdicts.append(TargetVerdict(target=name, state=state, term_s=VERDICT_TERM_S))
        return verdicts

    def _expire_senders(self, now_s: float) -> None:
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        for name, at_s in list(self._removed_at_s.items()):
            if now_s - at_s > EARLIER_PERMITS_S:
                del self._removed_at_s[name]
        old = [
            key
            for key, sender in self._senders.items()
            if now_s - sender.last_heard_s > SENDER_EXPIRY_S
        ]
        for key in old:
            del self._senders[key]
            for target in self._targets.values():
                target.announcers.discard(key)

    def _log(self, now_s: float, target: str, action: str, detail: str = "") -> None:
        self._events.append(HomeEvent(at_s=now_s, target=target, action=action, detail=detail))


def _is_known(verdict: TargetVerdict, reported: dict[str, TargetReport]) -> bool:
    """Return whether the reporter already uses the verdict that the target is warm.

    A report leaves out only targets that the reporter knows as warm. This compares with the state
    that the reporter uses, not with earlier replies, so a lost reply does no harm.
    """
    entry = reported.get(verdict.target)
    reports_warm = entry is None or entry.known_state is TargetState.WARM
    return reports_warm and verdict.state is TargetState.WARM
