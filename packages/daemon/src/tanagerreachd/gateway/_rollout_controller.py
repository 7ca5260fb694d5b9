"""Roll-outs of services' versions at this instance: orders, verdicts, and status in the store.

The home of a service moves its traffic and judges the version, see :mod:`tanagerreach_core`. An
instance that knows no status reads it before it sends anything to the version that is ordered.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from tanagerreach_core.messages import RolloutProgress
from tanagerreach_core.placement import (
    Rollout,
    RolloutFacts,
    RolloutLimits,
    RolloutOrder,
    RolloutStage,
    ServiceVersions,
    Side,
    StageChange,
)

from .. import _clock
from .._logs import InstanceLog
from .._metrics import Metrics
from ._sources import (
    Platform,
    RolloutState,
    RolloutStatus,
    SourceError,
    StatusChangedError,
    StoredRolloutStatus,
)

ADVANCE_INTERVAL_S = 0.1
# The same while nothing is ordered.
IDLE_INTERVAL_S = 0.4
# An instance that got no placement request for this long is no longer the service's home and sends
# no failure digests.
HOME_ACTIVE_S = 1.0
# While a service is in use and there is no verdict, its status is read at this interval: another
# home may have written one.
STATUS_INTERVAL_S = 2.0
# The same while it is not known.
UNKNOWN_STATUS_INTERVAL_S = 0.3
# An instance that neither placed requests nor heard of the progress for this long may have missed a
# verdict.
PROGRESS_EXPIRY_S = 3.0

_FINAL_STATES = {
    RolloutStage.COMPLETED: RolloutState.COMPLETED,
    RolloutStage.ROLLED_BACK: RolloutState.ROLLED_BACK,
}
_FINAL_STAGES = {state: stage for stage, state in _FINAL_STATES.items()}


@dataclass(slots=True, kw_only=True)
class _Entry:
    """What this instance knows of a service's versions and its roll-out.

    :param status: the status in the store as last read or written, ``None`` when it is not known.
    :param used_s: time of the latest request that was placed here.
    :param homed_s: the same for requests that this instance placed as the home.
    :param progress_s: time of the latest progress that another home sent.
    """

    versions: ServiceVersions
    status: StoredRolloutStatus | None = None
    status_read_s: float = float("-inf")
    used_s: float = float("-inf")
    homed_s: float = float("-inf")
    progress_s: float = float("-inf")
    is_calling: bool = False


class RolloutController:
    """Roll-outs of all services, as far as this instance takes part in them.

    :param limits: bounds on the exposure of a version; ``None`` when versions are not
        distinguished.
    :param on_change: called with a service whose targets are to be chosen anew.
    :param facts_of: returns the state of a service that is placed here, ``None`` for others.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        limits: RolloutLimits | None,
        on_change: Callable[[str], None],
        facts_of: Callable[[str], RolloutFacts | None],
        metrics: Metrics,
        log: InstanceLog,
    ) -> None:
        self._platform = platform
        self._limits = limits
        self._on_change = on_change
        self._facts_of = facts_of
        self._log = log
        self._entries: dict[str, _Entry] = {}
        self._orders: dict[str, RolloutOrder] = {}
        self._has_orders = False
        if limits is not None:
            self._declare(metrics)

    def _declare(self, metrics: Metrics) -> None:
        metrics.gauges(
            "tanagerreach_rollout_stage",
            "Stage of a service's roll-out here: 0 unknown, 1 canary, 2 shifting, 3 draining, "
            "4 completed, 5 rolled back",
            ("service", "to_version"),
            self._stages,
        )
        metrics.gauges(
            "tanagerreach_rollout_responses",
            "Responses of both versions since the order, as this instance counted them as the home",
            ("service", "version", "result"),
            self._responses,
        )

    def versions_of(self, service: str) -> ServiceVersions | None:
        """Return the versions of a service, ``None`` when they are not distinguished."""
        return None if self._limits is None else self._entry(service).versions

    def is_ordered(self, service: str) -> bool:
        """Return whether there is an order for a service."""
        return service in self._orders

    def record_use(self, service: str, *, is_home: bool) -> None:
        """Record that a request is placed here.

        :param is_home: whether it is placed as by the home, not by an instance that decides alone.
        """
        if service in self._orders:
            entry = self._entry(service)
            now_s = _clock.now_s()
            if now_s - max(entry.used_s, entry.progress_s) > PROGRESS_EXPIRY_S:
                self._forget_stage(service, entry)
            entry.used_s = now_s
            if is_home:
                entry.homed_s = entry.used_s

    def _forget_stage(self, service: str, entry: _Entry) -> None:
        """Read the status before the version is used again, as others went on meanwhile."""
        rollout = entry.versions.rollout
        if rollout is not None and rollout.forget_stage():
            entry.status = None
            entry.status_read_s = float("-inf")
            self._log.info("rollout stage outdated", service=service)
            self._on_change(service)

    def apply_orders(self, orders: Iterable[RolloutOrder]) -> None:
        """Apply the operator's orders."""
        if self._limits is None:
            return
        wanted = {order.service: order for order in orders}
        for service in self._orders.keys() - wanted.keys():
            self._withdraw(service)
        for service, order in wanted.items():
            self._apply_order(service, order)
        self._orders = wanted
        self._has_orders = True

    def _apply_order(self, service: str, order: RolloutOrder) -> None:
        known = self._orders.get(service)
        if known == order:
            return
        entry = self._entry(service)
        rollout = entry.versions.rollout
        now_s = _clock.now_s()
        is_repeated = known is not None and order.is_repeat_of(known) and rollout is not None
        if is_repeated and (not rollout.is_final or rollout.age_s(now_s) <= order.duration_s):
            rollout.repeat(order)
        else:
            rollout = Rollout(
                order=order,
                limits=self._limits,
                ordered_s=now_s,
                is_age_known=self._has_orders,
            )
            entry.versions.rollout = rollout
        # The store may have lost the status together with an order that is written again.
        entry.status = None
        entry.status_read_s = float("-inf")
        self._log.info(
            "rollout ordered",
            service=service,
            to_version=order.to_version,
            present_version=entry.versions.base_version,
            duration_s=order.duration_s,
            revision=order.revision,
            is_repeated=is_repeated,
            is_age_known=self._has_orders,
        )
        self._on_change(service)

    def _withdraw(self, service: str) -> None:
        entry = self._entry(service)
        rollout = entry.versions.rollout
        self._log.info(
            "rollout withdrawn",
            service=service,
            stage=None if rollout is None else rollout.stage.name.lower(),
        )
        entry.versions.rollout = None
        entry.status = None
        self._on_change(service)

    # Stages

    def run(self) -> None:
        """Judge the versions that are rolled out here once, then wait for the next interval."""
        now_s = _clock.now_s()
        for service in list(self._orders):
            entry = self._entry(service)
            if now_s - entry.homed_s < HOME_ACTIVE_S:
                self._advance(service, entry, now_s)
            self._follow_status(service, entry, now_s)
        gevent.sleep(ADVANCE_INTERVAL_S if self._orders else IDLE_INTERVAL_S)

    def _advance(self, service: str, entry: _Entry, now_s: float) -> None:
        facts = self._facts_of(service)
        rollout = entry.versions.rollout
        if facts is None or rollout is None:
            return
        if rollout.stage is RolloutStage.CANARY and self._is_present(entry):
            rollout.end(RolloutStage.COMPLETED)
            self._log.info("rollout needless", service=service, to_version=rollout.order.to_version)
            self._on_change(service)
            return
        change = rollout.advance(facts, now_s)
        if change is not None:
            self._log_change(service, change)
            self._on_change(service)

    @staticmethod
    def _is_present(entry: _Entry) -> bool:
        """Return whether no target in use carries another version than the ordered one."""
        rollout = entry.versions.rollout
        return rollout is not None and entry.versions.base_version == rollout.order.to_version

    def _log_change(self, service: str, change: StageChange) -> None:
        assessment = change.assessment
        self._log.info(
            "rollout stage",
            service=service,
            stage=change.stage.name.lower(),
            reason=change.reason,
            age_s=round(change.age_s, 2),
            exposed_count=change.exposed_count,
            request_count=change.request_count,
            suspicion=round(assessment.suspicion, 2),
            confidence=round(assessment.confidence, 2),
            route=assessment.route,
            window_s=assessment.window_s,
            old_count=assessment.old_count,
            old_bad_count=assessment.old_bad_count,
            new_count=assessment.new_count,
            new_bad_count=assessment.new_bad_count,
        )

    def progress(self, now_s: float) -> list[RolloutProgress]:
        """Return the progress of the roll-outs for which this instance acts as the home."""
        return [
            entry.versions.rollout.progress(now_s)
            for service in self._orders
            if (entry := self._entry(service)).versions.rollout is not None
            and now_s - entry.homed_s < HOME_ACTIVE_S
        ]

    def adopt(self, progress: RolloutProgress) -> None:
        """Go on from the progress of the service's former or present home."""
        entry = self._entries.get(progress.service)
        if entry is None or entry.versions.rollout is None:
            return
        now_s = entry.progress_s = _clock.now_s()
        is_active = now_s - entry.homed_s < HOME_ACTIVE_S
        if entry.versions.rollout.adopt(progress, now_s, is_active=is_active):
            self._on_change(progress.service)

    # Status

    def _follow_status(self, service: str, entry: _Entry, now_s: float) -> None:
        """Read or write the status in the store, if it is time."""
        rollout = entry.versions.rollout
        if rollout is None or entry.is_calling or now_s - entry.used_s > STATUS_INTERVAL_S:
            return
        wanted = self._wanted_status(entry, now_s)
        is_known = entry.status is not None
        if rollout.stage is RolloutStage.UNKNOWN or not is_known:
            is_due = now_s - entry.status_read_s >= UNKNOWN_STATUS_INTERVAL_S
        else:
            is_due = now_s - entry.status_read_s >= STATUS_INTERVAL_S and not rollout.is_final
        if is_due or (is_known and wanted is not None and entry.status.status != wanted):
            entry.is_calling = True
            gevent.spawn(self._call, service, entry, rollout)

    @staticmethod
    def _wanted_status(entry: _Entry, now_s: float) -> RolloutStatus | None:
        """Return the status that this instance is to write, ``None`` when another one does."""
        rollout = entry.versions.rollout
        if rollout.stage is RolloutStage.UNKNOWN:
            return None
        if not rollout.is_final and now_s - entry.homed_s >= HOME_ACTIVE_S:
            return None
        state = _FINAL_STATES.get(rollout.stage, RolloutState.RUNNING)
        return RolloutStatus(state=state, to_version=rollout.order.to_version)

    def _call(self, service: str, entry: _Entry, rollout: Rollout) -> None:
        try:
            wanted = self._wanted_status(entry, _clock.now_s())
            is_written = entry.status is not None and entry.status.status == wanted
            if entry.status is None or wanted is None or is_written:
                self._read(service, entry, rollout)
            else:
                self._write(service, entry, rollout, wanted)
        except SourceError as error:
            # Whether a write was done is unknown.
            entry.status = None
            self._log.warning("rollout status unknown", service=service, reason=str(error))
        finally:
            entry.status_read_s = _clock.now_s()
            entry.is_calling = False

    def _read(self, service: str, entry: _Entry, rollout: Rollout) -> None:
        found = self._platform.rollout_status(service)
        if entry.versions.rollout is rollout:
            entry.status = found
            self._apply_status(service, entry, rollout, found)

    def _write(self, service: str, entry: _Entry, rollout: Rollout, wanted: RolloutStatus) -> None:
        try:
            revision = self._platform.write_rollout_status(
                service, wanted, expected_revision=entry.status.revision
            )
        except StatusChangedError:
            self._log.info("rollout status changed by another instance", service=service)
            self._read(service, entry, rollout)
            return
        self._log.info(
            "rollout status written",
            service=service,
            state=wanted.state.value,
            to_version=wanted.to_version,
            age_s=round(rollout.age_s(_clock.now_s()), 2),
            revision=revision,
        )
        if entry.versions.rollout is rollout:
            entry.status = StoredRolloutStatus(status=wanted, revision=revision)

    def _apply_status(
        self, service: str, entry: _Entry, rollout: Rollout, found: StoredRolloutStatus
    ) -> None:
        """Take over what another instance wrote for this order."""
        status = found.status
        is_of_order = (
            status is not None
            and status.to_version == rollout.order.to_version
            and found.revision > rollout.order.revision
        )
        before = rollout.stage
        if is_of_order and status.state in _FINAL_STAGES:
            rollout.end(_FINAL_STAGES[status.state])
        elif rollout.stage is RolloutStage.UNKNOWN:
            if self._is_present(entry):
                rollout.end(RolloutStage.COMPLETED)
            else:
                rollout.begin(is_continued=is_of_order)
        if rollout.stage is not before:
            self._log.info(
                "rollout status read",
                service=service,
                state=None if status is None else status.state.value,
                is_of_order=is_of_order,
                stage=rollout.stage.name.lower(),
            )
            self._on_change(service)

    # Metrics

    def _stages(self) -> dict[tuple[str, ...], float]:
        return {
            (service, rollout.order.to_version): int(rollout.stage)
            for service, rollout in self._rollouts()
        }

    def _responses(self) -> dict[tuple[str, ...], float]:
        found: Counter[tuple[str, ...]] = Counter()
        for service, rollout in self._rollouts():
            for side in Side:
                count, bad_count = rollout.comparison.count(side)
                found[service, side.name.lower(), "bad"] = bad_count
                found[service, side.name.lower(), "good"] = count - bad_count
        return dict(found)

    def _rollouts(self) -> list[tuple[str, Rollout]]:
        return [
            (service, entry.versions.rollout)
            for service, entry in self._entries.items()
            if entry.versions.rollout is not None
        ]

    def _entry(self, service: str) -> _Entry:
        entry = self._entries.get(service)
        if entry is None:
            entry = self._entries[service] = _Entry(versions=ServiceVersions())
        return entry
