"""Service homes of an instance, which decide on ejection and cold start of targets."""

from collections.abc import Callable

from tanagerreach_core.config import Resolver
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    REPORT_POLL_ID,
    InstanceIncarnation,
    ServiceReply,
    ServiceReport,
    TargetState,
)
from tanagerreach_core.rights import HeldLoans, home_slot, service_rendezvous_key
from tanagerreach_core.traffic import ServiceHome, ServiceSpec, TargetSpec

from ._slot_handover import TransferredVerdicts
from ._target_health import TargetHealth

# A home that received no report for this long expires.
HOME_EXPIRY_S = 60.0


class _Entry:
    """A service home and the resolver that it was configured from."""

    __slots__ = ("addresses", "home", "last_report_s", "resolver")

    def __init__(self, home: ServiceHome, resolver: Resolver, now_s: float) -> None:
        self.home = home
        self.resolver = resolver
        self.last_report_s = now_s
        # Address that each instance's latest report came from; empty for this instance.
        self.addresses: dict[str, str] = {}


class ServiceHomes:
    """Handles the reports for services whose home this instance is.

    :param held: loans that this instance holds.
    :param resolver: returns the resolver of the current configuration.
    :param record: records a timeline event.
    :param poll_report: sends a poll for a report to an address, which is empty for this
        instance.
    """

    __slots__ = (
        "_poll_report",
        "_entries",
        "_held",
        "_members",
        "_now_s",
        "_record",
        "_resolver",
        "_slot_count",
    )

    def __init__(
        self,
        *,
        slot_count: int,
        held: HeldLoans,
        members: MemberTable,
        resolver: Callable[[], Resolver],
        now_s: Callable[[], float],
        record: Callable[[str, dict[str, object]], object],
        poll_report: Callable[[str, ServiceReply], None],
    ) -> None:
        self._slot_count = slot_count
        self._held = held
        self._members = members
        self._resolver = resolver
        self._now_s = now_s
        self._record = record
        self._poll_report = poll_report
        self._entries: dict[str, _Entry] = {}

    def handle(
        self, report: ServiceReport, sender: InstanceIncarnation, address: str = ""
    ) -> ServiceReply | None:
        """Handle a report and return the reply to it.

        :param address: address that the report came from; empty for this instance.
        :returns: ``None`` when the service is not configured.
        """
        now_s = self._now_s()
        slot = self._own_home_slot(report.service, now_s)
        if slot is None:
            return ServiceReply(request_id=report.request_id, service=report.service, is_home=False)
        entry = self._entry(report.service, now_s)
        if entry is None:
            return None
        entry.last_report_s = now_s
        entry.addresses[sender.instance_id] = address
        exclusive = self._confirm(report.service, entry, slot, now_s)
        reply = entry.home.handle_report(report, sender, exclusive, now_s)
        if self._record_events(report.service, entry):
            # The other instances receive the verdict in the reply to their next report.
            self._poll_reporters(report.service, entry, now_s)
        return reply

    def tick(self) -> None:
        """Confirm the exclusive rights and run due actions; called five times a second."""
        now_s = self._now_s()
        for name, entry in list(self._entries.items()):
            if now_s - entry.last_report_s > HOME_EXPIRY_S:
                del self._entries[name]
                continue
            slot = self._own_home_slot(name, now_s)
            self._confirm(name, entry, slot, now_s)
            self._update_configuration(name, entry, now_s)
            entry.home.advance(now_s)
            self._record_events(name, entry)
            if slot is not None:
                self._poll_reporters(name, entry, now_s)

    def _poll_reporters(self, name: str, entry: _Entry, now_s: float) -> None:
        report_poll = ServiceReply(request_id=REPORT_POLL_ID, service=name, is_home=True)
        for sender in entry.home.reporters_to_poll(now_s):
            self._poll_report(entry.addresses[sender.instance_id], report_poll)

    def targets_to_probe(self) -> list[tuple[str, str, str]]:
        """Return service, name and address of the targets whose services have their home here."""
        now_s = self._now_s()
        services = self._resolver().configuration.services
        return [
            (name, target.name, target.address)
            for name in self._entries
            if name in services and self._own_home_slot(name, now_s) is not None
            for target in services[name].targets
        ]

    def export_verdicts(self, slot: int) -> list[TransferredVerdicts]:
        """Return the verdicts of the services whose home slot this is, for its next holder."""
        now_s = self._now_s()
        exported = []
        for name, entry in self._entries.items():
            if self._own_home_slot(name, now_s) != slot:
                continue
            verdicts = entry.home.export_verdicts(now_s)
            warm = [target for target, state in verdicts.items() if state is TargetState.WARM]
            cold = [target for target, state in verdicts.items() if state is TargetState.COLD]
            if verdicts:
                exported.append(TransferredVerdicts(service=name, warm=warm, cold=cold))
        return exported

    def import_verdicts(self, transferred: list[TransferredVerdicts]) -> None:
        """Import the verdicts that were transferred with a slot."""
        now_s = self._now_s()
        for verdicts in transferred:
            entry = self._entry(verdicts.service, now_s)
            if entry is not None:
                states = dict.fromkeys(verdicts.warm, TargetState.WARM)
                states |= dict.fromkeys(verdicts.cold, TargetState.COLD)
                entry.home.import_verdicts(states, now_s)

    def record_health(self, service_name: str, target: str, health: TargetHealth) -> None:
        """Store the result of a health probe."""
        entry = self._entries.get(service_name)
        if entry is None:
            return
        entry.home.record_health(
            target, cold=health.warming, draining=health.draining, now_s=self._now_s()
        )
        self._record_events(service_name, entry)

    def _confirm(self, service_name: str, entry: _Entry, slot: int | None, now_s: float) -> bool:
        """Update whether a home holds the exclusive right, and whether it is the sole issuer.

        :returns: whether it holds the exclusive right.
        """
        rendezvous_key = service_rendezvous_key(service_name)
        exclusive = slot is not None and self._held.holds_exclusive(rendezvous_key, slot, now_s)
        is_sole_issuer = (
            exclusive
            and entry.home.needs_sole_issuer_check(now_s)
            and self._held.holds_solely(rendezvous_key, slot, now_s)
        )
        had_right = entry.home.has_right
        entry.home.confirm(exclusive, now_s, is_sole_issuer=is_sole_issuer)
        if exclusive != had_right:
            kind = "service-right-gained" if exclusive else "service-right-lost"
            reason = "no earlier home" if is_sole_issuer else ""
            self._record(kind, {"service": service_name, "slot": slot, "reason": reason})
        return exclusive

    def _own_home_slot(self, service_name: str, now_s: float) -> int | None:
        candidates = self._members.candidates(now_s)
        if not candidates:
            return None
        slot = home_slot(service_rendezvous_key(service_name), candidates, self._slot_count)
        return slot if slot in self._members.own.slots else None

    def _entry(self, service_name: str, now_s: float) -> _Entry | None:
        entry = self._entries.get(service_name)
        if entry is not None:
            self._update_configuration(service_name, entry, now_s)
            return entry
        resolver = self._resolver()
        spec = service_spec(resolver, service_name)
        if spec is None:
            return None
        entry = _Entry(ServiceHome(spec=spec, now_s=now_s), resolver, now_s)
        self._entries[service_name] = entry
        return entry

    def _update_configuration(self, service_name: str, entry: _Entry, now_s: float) -> None:
        resolver = self._resolver()
        if resolver is entry.resolver:
            return
        entry.resolver = resolver
        # The home of a removed service is kept until it expires, as its permits may be in use.
        spec = service_spec(resolver, service_name) or ServiceSpec(
            service=service_name, targets=(), floor=0
        )
        entry.home.configure(spec, now_s)

    def _record_events(self, service_name: str, entry: _Entry) -> bool:
        """Record a home's decisions in the timeline.

        :returns: whether there were any.
        """
        events = entry.home.take_events()
        for event in events:
            self._record(
                f"target-{event.action.replace(' ', '-')}",
                {"service": service_name, "target": event.target, "reason": event.detail},
            )
        return bool(events)


def service_spec(resolver: Resolver, service_name: str) -> ServiceSpec | None:
    """Build the specification of a service for its home, or ``None`` if it is not configured."""
    service = resolver.configuration.services.get(service_name)
    if service is None:
        return None
    eligible = {target.name for target in resolver.eligible_targets(service_name)}
    targets = tuple(
        TargetSpec(
            target=target.name,
            slot_count=service.slots_per_target,
            draining=target.name not in eligible,
        )
        for target in service.targets
    )
    return ServiceSpec(
        service=service_name,
        targets=targets,
        floor=service.floor,
        cold_concurrency=service.cold_concurrency,
    )
