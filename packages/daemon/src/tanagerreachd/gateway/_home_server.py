"""Places requests and counts quotas for the services and workspaces homed at this instance."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from tanagerreach_core.config import Configuration, Resolver
from tanagerreach_core.messages import (
    AGE_UNKNOWN_MS,
    FailureDigest,
    PlacementCompletion,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    QuotaHandover,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)
from tanagerreach_core.operator_responses import PlacementPreview
from tanagerreach_core.placement import (
    CrashStreaks,
    PeerTable,
    PlacementTarget,
    QuotaGrants,
    QuotaHome,
    RolloutFacts,
    ServicePlacement,
    TargetNotice,
    digest_parts,
)
from tanagerreach_core.rights import WorkspaceLimit, service_rendezvous_key

from .. import _clock
from .._logs import InstanceLog
from ._rollout_controller import HOME_ACTIVE_S, RolloutController
from ._target_directory import KnownTarget, TargetDirectory

MS_PER_S = 1000.0
# Queued requests are dispatched at this interval, and the first ones at each completion.
DISPATCH_INTERVAL_S = 0.02
DISPATCHED_AT_COMPLETION_MAX = 8
USER_SHARE_INTERVAL_S = 0.2
# Added to a target heartbeat: targets of a data centre that returns to service may be cold, and
# their entries show that only after a heartbeat. Until then they get no more than cold targets.
RETURNED_DATA_CENTRE_COLD_S = 1.0
# An older failure digest of a former home is no better than none.
DIGEST_EXPIRY_S = 3.0
# Longest wait for the first list of targets after this instance became a home.
DIRECTORY_WAIT_S = 0.15

ReplyCallback = Callable[[PlacementReply], None]


@dataclass(slots=True, kw_only=True)
class _Work:
    """Placement requests of one service since the last report, and the time they took."""

    request_count: int = 0
    decision_s: float = 0.0


class HomeServer:
    """Places requests and counts quotas for the whole fleet.

    :param resolver: returns the resolver of the configuration in force, ``None`` before there is
        one.
    :param keep_targets_current: called at each placement request, so that the directory is kept
        current.
    :param is_current: whether the directory is current.
    :param list_age_ms: age of the directory, for logs.
    :param floor_share: minimum share of a service's targets to keep in use, from 0 to 1.
    :param crashes: requests that may crash targets, as this instance knows them.
    :param places_by_cost: whether a service's requests are placed by their expected cost.
    :param rollouts: roll-outs of services' versions, ``None`` when versions are not distinguished.
    """

    def __init__(
        self,
        *,
        resolver: Callable[[], Resolver | None],
        peer_table: PeerTable,
        directory: TargetDirectory,
        keep_targets_current: Callable[[], None],
        is_current: Callable[[], bool],
        list_age_ms: Callable[[], int],
        floor_share: float,
        heartbeat_s: float,
        crashes: CrashStreaks,
        log: InstanceLog,
        places_by_cost: Callable[[str], bool] = lambda service: False,
        rollouts: RolloutController | None = None,
    ) -> None:
        self._places_by_cost = places_by_cost
        self._rollouts = rollouts
        self._crashes = crashes
        self._resolver = resolver
        self._peer_table = peer_table
        self._directory = directory
        self._keep_targets_current = keep_targets_current
        self._is_current = is_current
        self._floor_share = floor_share
        self._heartbeat_s = heartbeat_s
        self._log = log
        self._services: dict[str, ServicePlacement] = {}
        self._waiting: dict[str, dict[tuple[str, int], ReplyCallback]] = {}
        self._quota = QuotaHome(peer_table=peer_table)
        self._quota_grants = QuotaGrants()
        self._list_age_ms = list_age_ms
        self._last_request_s: dict[str, float] = {}
        self._work: dict[str, _Work] = {}
        # Latest digests of other homes and their times, by service and part.
        self._received_digests: dict[str, dict[int, tuple[FailureDigest, float]]] = {}
        self._returned_s: dict[str, float] = {}
        self._out_data_centres: frozenset[str] = frozenset()
        self._user_shares_updated_s = float("-inf")

    def place(
        self, requester: str, placement_request: PlacementRequest, send_reply: ReplyCallback
    ) -> None:
        """Reply to a placement request, and again when a queued request is placed."""
        self._keep_targets_current()
        if placement_request.accepts_stale or self._is_current():
            self._place(requester, placement_request, send_reply)
        elif self._peer_table.own_store_reachable:
            gevent.spawn(self._place_when_current, requester, placement_request, send_reply)
        else:
            send_reply(
                PlacementReply(call_id=placement_request.call_id, state=PlacementState.NOT_CURRENT)
            )

    def complete(self, requester: str, message: PlacementCompletion) -> None:
        """Record the completion of a placed request, or withdraw a queued one."""
        service = self._services.get(message.service)
        if service is None:
            return
        key = (requester, message.call_id)
        now_s = _clock.now_s()
        if not message.target:
            service.withdraw(key)
            self._waiting[message.service].pop(key, None)
            return
        if message.notice is not None:
            self._record_notice(key, service, message, message.notice, now_s)
        event = service.complete(
            key, message.outcome, message.latency_ms / 1000.0, message.fingerprint, now_s
        )
        if event is not None:
            self._log.info(
                "target outcome",
                service=message.service,
                target=event.target,
                outcome=event.outcome.name.lower(),
                failing_before=round(event.failing_before, 3),
                failing_after=round(event.failing_after, 3),
            )
        self._dispatch_waiting(message.service, service, now_s, most=DISPATCHED_AT_COMPLETION_MAX)

    def _record_notice(
        self,
        key: tuple[str, int],
        service: ServicePlacement,
        message: PlacementCompletion,
        notice: TargetNotice,
        now_s: float,
    ) -> None:
        age_s = message.notice_age_ms / 1000.0
        if service.record_notice(key, message.target, notice, age_s, now_s):
            self._log.info(
                "target notice",
                service=message.service,
                target=message.target,
                requester=key[0],
                limit_per_s=notice.limit_per_s,
                is_leaving=notice.is_leaving,
                pause_s=notice.pause_s,
            )

    def preview(self, requester: str, placement_request: PlacementRequest) -> PlacementPreview:
        """Return what would be decided on a request to a service that is homed here."""
        self._keep_targets_current()
        now_s = _clock.now_s()
        service = self._services.get(placement_request.service)
        if service is None:
            service = self._add_service(placement_request.service, now_s)
        return service.preview(requester, placement_request, now_s)

    def record_refusal(self, name: str) -> None:
        """Record that an instance refused a request to a service without a placement request."""
        service = self._services.get(name)
        if service is not None:
            service.record_refusal(_clock.now_s())

    def take_quota(
        self,
        quota_request: QuotaRequest,
        *,
        requester: str = "",
        is_own_part: bool = False,
    ) -> QuotaReply:
        """Reply to a request for one unit of a workspace's quota.

        :param requester: instance that requests it, empty for this one.
        :param is_own_part: whether this instance issues its own part of the rate only.
        """
        workspace = quota_request.workspace
        resolver = self._resolver()
        limit = None if resolver is None else resolver.limit_of(workspace)
        if limit is None:
            return QuotaReply(call_id=quota_request.call_id, is_granted=True)
        key = (requester, quota_request.call_id)
        if key in self._quota_grants:
            return QuotaReply(call_id=quota_request.call_id, is_granted=True)
        now_s = _clock.now_s()
        decision = self._quota.take(
            workspace,
            WorkspaceLimit(rate_per_s=limit.rate_per_s, burst=limit.burst),
            now_s,
            is_own_part=is_own_part,
        )
        is_granted = decision.wait_s == 0
        if is_granted:
            self._quota_grants.record(key, now_s)
        return QuotaReply(
            call_id=quota_request.call_id,
            is_granted=is_granted,
            retry_after_ms=int(1000 * decision.wait_s),
            rate_per_s=limit.rate_per_s,
            fleet_percent=round(100 * decision.lent_share),
        )

    def quota_handovers(self) -> list[tuple[str, QuotaHandover]]:
        """Give up the quotas that have another home by now.

        :returns: the addresses of the new homes, and the messages for them.
        """
        return self._quota.handovers(_clock.now_s())

    def adopt_quota(self, sender: str, message: QuotaHandover) -> None:
        """Adopt the quota of a workspace's former home."""
        is_adopted = self._quota.adopt(sender, message, _clock.now_s())
        self._log.info(
            "quota handed over",
            workspace=message.workspace,
            former_home=sender,
            fleet_percent=round(100 * message.lent_share),
            unit_count=round(message.level, 1),
            is_adopted=is_adopted,
        )

    def take_back_quota(self, message: QuotaReturn, *, requester: str = "") -> None:
        """Take back a unit of a workspace's quota whose request did not run."""
        if self._quota_grants.take_back((requester, message.call_id), _clock.now_s()):
            self._quota.give_back(message.workspace)

    def digests(self, now_s: float) -> list[FailureDigest]:
        """Return the failure digests, in parts, of the services whose home is this instance."""
        return [
            part
            for name, requested_s in self._last_request_s.items()
            if now_s - requested_s < HOME_ACTIVE_S and name in self._services
            for part in digest_parts(self._services[name].digest(name, now_s))
        ]

    def adopt_digest(self, digest: FailureDigest) -> None:
        """Adopt the failure digest of a service's former or present home."""
        now_s = _clock.now_s()
        self._received_digests.setdefault(digest.service, {})[digest.part] = (digest, now_s)
        service = self._services.get(digest.service)
        if service is not None:
            service.adopt(digest, now_s)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        out = frozenset(name for name, item in configuration.data_centres.items() if item.out)
        for name in self._out_data_centres - out:
            self._returned_s[name] = _clock.now_s()
        self._out_data_centres = out
        self._quota.drop_all_except(set(configuration.workspaces))
        for name in set(self._services) - set(configuration.services):
            del self._services[name]
            self._last_request_s.pop(name, None)
            self._received_digests.pop(name, None)
        now_s = _clock.now_s()
        for name, service in self._services.items():
            service.set_places_by_cost(self._places_by_cost(name), now_s)
        self.targets_changed()

    def targets_changed(self) -> None:
        """Apply the directory's targets to all services homed here."""
        now_s = _clock.now_s()
        for name, service in self._services.items():
            service.configure(self._targets(name, now_s), now_s)
            self._dispatch_waiting(name, service, now_s)

    def select_versions(self, name: str) -> None:
        """Use the targets of the versions of a service that may get requests now."""
        service = self._services.get(name)
        if service is not None:
            service.select_versions()
            self._dispatch_waiting(name, service, _clock.now_s())

    def rollout_facts(self, name: str) -> RolloutFacts | None:
        """Return the state of a service for its roll-out, ``None`` if it is not placed here."""
        service = self._services.get(name)
        return None if service is None else service.rollout_facts(_clock.now_s())

    def run(self) -> None:
        """Dispatch queued requests once, then wait for the next interval."""
        now_s = _clock.now_s()
        if now_s - self._user_shares_updated_s >= USER_SHARE_INTERVAL_S:
            self._update_user_shares(now_s)
        for name, service in list(self._services.items()):
            if service.has_pending_decisions:
                self._dispatch_waiting(name, service, now_s)
        gevent.sleep(DISPATCH_INTERVAL_S)

    def _update_user_shares(self, now_s: float) -> None:
        """Update which part of the fleet uses this instance, for each service that it places."""
        self._user_shares_updated_s = now_s
        for name, requested_s in self._last_request_s.items():
            if now_s - requested_s < HOME_ACTIVE_S:
                self._set_shares(name, self._services[name], now_s)

    def _set_shares(self, name: str, service: ServicePlacement, now_s: float) -> None:
        rendezvous_key = service_rendezvous_key(name)
        service.set_user_share(self._peer_table.user_share(rendezvous_key, now_s))
        service.set_lent_share(self._peer_table.lent_share(rendezvous_key, now_s), now_s)

    def report_load(self) -> None:
        """Log the load of each service that was homed here since the last report."""
        now_s = _clock.now_s()
        reported, self._work = self._work, {}
        for name, work in reported.items():
            service = self._services.get(name)
            if service is None or not work.request_count:
                continue
            load = service.load(now_s)
            self._log.info(
                "home load",
                service=name,
                request_count=work.request_count,
                decision_ms=int(1000 * work.decision_s),
                waiting_count=load.waiting_count,
                overdue_count=load.overdue_count,
                awaited_count=load.awaited_count,
                in_flight_count=load.in_flight_count,
                unserved_percent=round(100 * load.unserved_share),
                failed_percent=round(100 * load.failed_share),
                idle_target_use=load.idle_target_use.name.lower(),
                fleet_percent=round(100 * self._peer_table.fleet_share(now_s)),
            )

    def _place_when_current(
        self, requester: str, placement_request: PlacementRequest, send_reply: ReplyCallback
    ) -> None:
        ends_s = _clock.now_s() + DIRECTORY_WAIT_S
        while not self._is_current() and _clock.now_s() < ends_s:
            gevent.sleep(DISPATCH_INTERVAL_S / 4)
        if self._is_current():
            self._place(requester, placement_request, send_reply)
        else:
            send_reply(
                PlacementReply(call_id=placement_request.call_id, state=PlacementState.NOT_CURRENT)
            )

    def _place(
        self, requester: str, placement_request: PlacementRequest, send_reply: ReplyCallback
    ) -> None:
        now_s = _clock.now_s()
        service = self._services.get(placement_request.service)
        if service is None:
            service = self._add_service(placement_request.service, now_s)
        self._last_request_s[placement_request.service] = now_s
        if self._rollouts is not None:
            self._rollouts.record_use(
                placement_request.service, is_home=not placement_request.is_decided_alone
            )
        key = (requester, placement_request.call_id)
        work = self._work.setdefault(placement_request.service, _Work())
        work.request_count += 1
        reply = service.place(key, placement_request, now_s)
        work.decision_s += _clock.now_s() - now_s
        waiting = self._waiting[placement_request.service]
        if reply.state is PlacementState.QUEUED:
            waiting[key] = send_reply
        else:
            waiting.pop(key, None)
        self._set_list_age(reply, now_s)
        send_reply(reply)

    def _set_list_age(self, reply: PlacementReply, now_s: float) -> None:
        """Set the age of the list that a decision rests on, unless the reply is a kept one."""
        if reply.list_age_ms != AGE_UNKNOWN_MS:
            return
        if reply.is_listed:
            reply.list_age_ms = self._list_age_ms()
        else:
            reply.list_age_ms = int(MS_PER_S * self._directory.outage_age_s(now_s))

    def _add_service(self, name: str, now_s: float) -> ServicePlacement:
        service = self._services[name] = ServicePlacement(
            floor_share=self._floor_share,
            crashes=self._crashes,
            versions=None if self._rollouts is None else self._rollouts.versions_of(name),
        )
        self._waiting[name] = {}
        self._set_shares(name, service, now_s)
        service.set_places_by_cost(self._places_by_cost(name), now_s)
        service.configure(self._targets(name, now_s), now_s)
        digest_age_s = None
        for digest, received_s in self._received_digests.get(name, {}).values():
            age_s = now_s - received_s
            digest_age_s = age_s if digest_age_s is None else min(digest_age_s, age_s)
            if age_s < DIGEST_EXPIRY_S:
                service.adopt(digest, now_s)
        self._log.info(
            "service homed here",
            service=name,
            target_count=len(self._directory),
            digest_age_s=None if digest_age_s is None else round(digest_age_s, 2),
            by_cost=self._places_by_cost(name),
        )
        return service

    def _dispatch_waiting(
        self, name: str, service: ServicePlacement, now_s: float, *, most: int | None = None
    ) -> None:
        if not service.has_pending_decisions:
            return
        decisions = service.dispatch(now_s, most=most)
        self._work.setdefault(name, _Work()).decision_s += _clock.now_s() - now_s
        for request, reply in decisions:
            send_reply = self._waiting[name].pop(request.key, None)
            if send_reply is not None:
                self._set_list_age(reply, now_s)
                send_reply(reply)

    def _targets(self, service: str, now_s: float) -> list[PlacementTarget]:
        resolver = self._resolver()
        if resolver is None:
            return []
        configured = resolver.configuration.services.get(service)
        cold_rate_per_s = 0.0 if configured is None else configured.cold_rate_per_s
        return [
            PlacementTarget(
                name=known.target.name,
                address=known.target.address,
                data_centre=known.target.data_centre,
                slot_count=known.target.slot_count,
                cold_until_s=self._cold_until_s(known, now_s),
                cold_rate_per_s=cold_rate_per_s,
                started_ms=known.target.started_ms,
                is_listed=known.is_listed,
                software_version=known.target.software_version,
            )
            for known in self._directory.of_service(service)
            if known.target.data_centre not in self._out_data_centres
        ]

    def _cold_until_s(self, known: KnownTarget, now_s: float) -> float:
        returned_s = self._returned_s.get(known.target.data_centre)
        if returned_s is None:
            return known.cold_until_s
        return max(known.cold_until_s, returned_s + self._heartbeat_s + RETURNED_DATA_CENTRE_COLD_S)
