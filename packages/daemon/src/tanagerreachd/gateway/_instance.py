"""A gateway instance: builds its components, runs their loops, and stops gracefully."""

import signal
import time
from collections.abc import Callable
from random import Random
from typing import Any

import gevent
from gevent.event import Event
from tanagerreach_core.config import Resolver
from tanagerreach_core.messages import (
    CompletionAck,
    FailureDigest,
    Heartbeat,
    InstanceIncarnation,
    PeerNews,
    PeerState,
    PlacementCompletion,
    PlacementReply,
    PlacementRequest,
    QuotaHandover,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    RefusalNotice,
    ReturnNotice,
    RolloutProgress,
    RoutedPlacementRequest,
)
from tanagerreach_core.placement import (
    TICK_S,
    CrashStreaks,
    PeerChange,
    PeerTable,
    services_placed_by_cost,
)
from tanagerreach_core.rights import service_rendezvous_key

from .. import _clock
from .._caller_watch import CallerWatch
from .._http_server import CallerServer, HttpLimits
from .._listeners import binding
from .._logs import InstanceLog
from .._loops import Loops, run_step
from .._metrics import Metrics
from .._peer_codec import PeerCodec
from .._peer_link import PeerLink
from .._refusals import render_failure, render_minimal
from .._timeline import HybridClock
from .._upstream import UpstreamClient
from ._application import GatewayApplication
from ._caller_rooms import CallerRooms
from ._dialect import Dialect
from ._followers import OperatorStateFollower, TargetFollower
from ._home_server import HomeServer
from ._membership import Membership
from ._peer_calls import PeerCalls
from ._peer_state import (
    OPERATOR_PATH,
    TARGET_PATH,
    PeerStateClient,
    PeerStateServer,
)
from ._pipelined_requests import PipelinedRequest
from ._placement_client import PlacementClient
from ._placement_previews import PREVIEW_PATH, PlacementPreviews
from ._request_log import RequestLog
from ._retry_budgets import RetryBudgets
from ._rollout_controller import RolloutController
from ._settings import GatewaySettings
from ._sources import CallerLimits, OperatorState, Platform
from ._store_position import era_of
from ._target_directory import TargetDirectory
from ._traffic import TrafficCounts

# A peer that sent nothing for this long may return with an earlier incarnation, since its clock may
# have been set back.
RESTART_TIMEOUT_S = 2.0
# A target in the same region accepts within a few milliseconds; the kernel retransmits a lost
# packet after 0.2 s.
CONNECT_TIMEOUT_S = 0.3
TARGET_IDLE_TIMEOUT_S = 30.0
HEARTBEAT_S = 0.6
# A home that crashes loses the failure observations of at most this time.
DIGEST_INTERVAL_S = 0.4
HANDOVER_INTERVAL_S = 0.1
# An instance that knows no members or no targets after this time, as neither a peer nor the store
# replies, reports ready nevertheless and serves alone.
STANDALONE_START_S = 3.0
# The load balancer checks each second and removes an instance after two failed checks.
DRAIN_NOTICE_S = 3.0
ACCEPT_PAUSE_S = 0.05
# Time for the last responses and the end of the process.
STOP_MARGIN_S = 0.7
SWEEP_INTERVAL_S = 2.0
LOAD_REPORT_INTERVAL_S = 1.0
TRAFFIC_REPORT_INTERVAL_S = 5.0
CLOSES_REPORT_INTERVAL_S = 2.0
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16 * 1024, body_bytes=64 * 1024 * 1024, header_time_s=3.0, idle_time_s=15.0
)


class Gateway:
    """One instance.

    :param dialect: header names that callers and targets use.
    :param platform: access to the platform's store.
    :raises AddressError: when an address cannot be bound.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        platform: Platform,
        dialect: Dialect,
        log: InstanceLog,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._log = log
        self._random = Random()
        self._stopping = Event()
        self._is_leaving = False
        self._is_ready_logged = False
        self._started_s = _clock.now_s()
        self._started_ms = int(time.time() * 1000)
        self._resolver: Resolver | None = None
        self._placed_by_cost: frozenset[str] = frozenset()
        self._decodes_paths = dialect.decodes_paths
        self._limits = DEFAULT_LIMITS
        self._loops = Loops(on_failure=log.failure)
        self._metrics = Metrics()
        self._peer_table = PeerTable(
            own_name=settings.instance_name, heartbeat_s=HEARTBEAT_S, now_s=self._started_s
        )
        self._peer_table.own_is_home = False
        self._metrics.gauges(
            "tanagerreach_peers",
            "Peers by what this instance knows of them",
            ("state",),
            self._peer_counts,
        )
        self._traffic = TrafficCounts(
            own_data_centre=settings.data_centre,
            peer_data_centre=self._peer_table.data_centre_of,
            metrics=self._metrics,
            log=log,
        )
        platform.observe_calls(self._traffic.add_call)
        platform.observe_era(self._on_era)
        self._metrics.gauge(
            "tanagerreach_store_era",
            "Era of the platform's store, which rises when it comes back from an older copy",
            lambda: platform.era,
        )
        self._build_peers()
        self._build_store()
        self._build_homes()
        self._build_message_handlers()
        self._build_listeners(dialect)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        :raises AddressError: when an address cannot be bound.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._on_reload)
        self._start()
        self._stopping.wait()
        self._stop()

    # Components

    def _build_peers(self) -> None:
        settings = self._settings
        with binding("peer_udp_port", settings.peer_udp_port):
            self._link = PeerLink(
                address=self._peer_address(settings.host),
                sender=InstanceIncarnation(
                    instance_id=settings.instance_name, incarnation=self._started_ms
                ),
                codec=PeerCodec(secret=settings.fleet_secret.encode()),
                clock=HybridClock(),
                restart_timeout_s=RESTART_TIMEOUT_S,
                on_sent=self._traffic.add_message,
            )
        self._calls = PeerCalls(send=self._link.send, send_request=self._link.send_request)
        self._membership = Membership(
            settings=settings,
            platform=self._platform,
            peer_table=self._peer_table,
            describe=self._state,
            on_state=self._on_peer_state,
            send=self._link.send,
            log=self._log,
            random=self._random,
        )
        self._peer_states = PeerStateClient(addresses=self._state_addresses, log=self._log)

    def _build_store(self) -> None:
        self._operators = OperatorStateFollower(
            platform=self._platform,
            on_state=self._apply_state,
            is_reader=lambda: self._membership.is_speaker,
            log=self._log,
            random=self._random,
        )
        self._operators.set_peer_reader(lambda: self._peer_states.read(OPERATOR_PATH))
        self._directory = TargetDirectory(
            decode=self._platform.decode_target,
            on_skipped=lambda item: self._log.warning(
                "entry skipped", entry=item.key, reason="no usable target", revision=item.revision
            ),
        )
        self._targets = TargetFollower(
            platform=self._platform,
            directory=self._directory,
            on_change=lambda: self._homes.targets_changed(),
            on_availability=self._on_availability,
            is_outage=lambda: self._peer_table.is_store_lost(_clock.now_s()),
            log=self._log,
            random=self._random,
        )
        self._targets.set_peer_reader(lambda: self._peer_states.read(TARGET_PATH))
        self._metrics.gauge(
            "tanagerreach_target_list_age_seconds",
            "Age of the list of targets that placements of this instance rest on",
            lambda: self._targets.age_ms / 1000.0,
        )

    def _build_homes(self) -> None:
        self._crashes = CrashStreaks(own_name=self._settings.instance_name)
        self._rollouts = RolloutController(
            platform=self._platform,
            limits=self._settings.rollout_limits,
            on_change=lambda service: self._homes.select_versions(service),
            facts_of=lambda service: self._homes.rollout_facts(service),
            metrics=self._metrics,
            log=self._log,
        )
        self._homes = HomeServer(
            resolver=lambda: self._resolver,
            peer_table=self._peer_table,
            directory=self._directory,
            keep_targets_current=self._targets.keep_current,
            is_current=lambda: self._targets.is_current,
            list_age_ms=lambda: self._targets.age_ms,
            floor_share=self._settings.floor_share,
            heartbeat_s=self._settings.target_heartbeat_s,
            crashes=self._crashes,
            log=self._log,
            places_by_cost=lambda service: service in self._placed_by_cost,
            rollouts=self._rollouts,
        )
        self._retry_budgets = RetryBudgets(
            allowance=self._settings.retry_allowance,
            fleet_size=self._peer_table.largest_size,
            started_s=self._started_s,
        )
        self._placement_client = PlacementClient(
            own_name=self._settings.instance_name,
            peer_table=self._peer_table,
            calls=self._calls,
            homes=self._homes,
            crashes=self._crashes,
            on_home_lost=lambda home: self._membership.report_lost_home(home.address),
            log=self._log,
        )

    def _build_listeners(self, dialect: Dialect) -> None:
        settings = self._settings
        self._watch = CallerWatch()
        request_log = RequestLog(log=self._log, metrics=self._metrics)
        self._rooms = CallerRooms(
            memory_bytes=settings.memory_bytes,
            max_sockets=settings.max_sockets,
            metrics=self._metrics,
            log=self._log,
        )
        self._upstream = UpstreamClient(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=TARGET_IDLE_TIMEOUT_S,
            dialect=dialect.targets,
        )
        self._application = GatewayApplication(
            own_data_centre=settings.data_centre,
            dialect=dialect,
            resolver=lambda: self._resolver,
            limits=lambda: self._limits,
            placement_client=self._placement_client,
            retry_budgets=self._retry_budgets,
            upstream=self._upstream,
            watch=self._watch,
            traffic=self._traffic,
            log=request_log,
            places_by_cost=lambda service: service in self._placed_by_cost,
            is_rolled_out=self._rollouts.is_ordered,
        )
        self._callers = CallerServer(
            listener=(settings.callers_address.host, settings.callers_address.port),
            application=self._application,
            limits=_http_limits(DEFAULT_LIMITS),
            render_refusal=lambda error: render_minimal(
                error.status,
                "request-not-valid",
                error.detail,
                retry_after_s=error.retry_after_s,
            ),
            on_refused=lambda error: request_log.head_refused(error.status, error.detail),
            on_failure=request_log.failure,
            failure_response=render_failure(),
            handler_class=PipelinedRequest,
            connections=self._rooms.callers,
            on_closed=lambda closed: request_log.connection_closed(closed, dialect.request_id),
        )
        self._ready_server = self._rooms.auxiliary_server(
            "ready",
            (settings.ready_address.host, settings.ready_address.port),
            self._serve_ready,
        )
        self._previews = PlacementPreviews(
            own_name=settings.instance_name,
            data_centre=settings.data_centre,
            host=settings.host,
            metrics_port=settings.metrics_port,
            resolver=lambda: self._resolver,
            peer_table=self._peer_table,
            homes=self._homes,
            places_by_cost=lambda service: service in self._placed_by_cost,
        )
        self._metrics_server = self._rooms.auxiliary_server(
            "metrics", (settings.host, settings.metrics_port), self._serve_metrics
        )
        self._state_server = PeerStateServer(
            address=(settings.host, settings.peer_http_port),
            listings={
                OPERATOR_PATH: self._operators.listing,
                TARGET_PATH: self._directory.listing,
            },
            rooms=self._rooms,
        )

    # Start and stop

    def _start(self) -> None:
        settings = self._settings
        with binding("peer_http_port", settings.peer_http_port):
            self._state_server.start()
        with binding("metrics_port", settings.metrics_port):
            self._metrics_server.start()
        with binding("callers_address", settings.callers_address):
            self._callers.start()
        with binding("ready_address", settings.ready_address):
            self._ready_server.start()
        self._link.start(self._on_message, self._log.failure)
        now_s = _clock.now_s()
        for host in settings.peer_seed_hosts:
            if host != settings.host:
                self._membership.ask_for_news(self._peer_address(host))
        self._log.info("instance started", data_centre=settings.data_centre, started_s=now_s)
        self._loops.start(self._operators.run_read)
        self._loops.start(self._operators.run_watch)
        self._loops.start(self._targets.run)
        self._loops.start(self._homes.run)
        if settings.rollout_limits is not None:
            self._loops.start(self._rollouts.run)
        self._loops.start(self._homes.report_load, LOAD_REPORT_INTERVAL_S)
        self._loops.start(self._traffic.report, TRAFFIC_REPORT_INTERVAL_S)
        self._loops.start(self._membership.run_heartbeat)
        self._loops.start(self._membership.pass_on_news, TICK_S)
        self._loops.start(self._send_digests, DIGEST_INTERVAL_S)
        self._loops.start(self._send_handovers, HANDOVER_INTERVAL_S)
        self._loops.start(self._watch.run)
        self._loops.start(self._sweep, SWEEP_INTERVAL_S)
        self._loops.start(self._rooms.report, CLOSES_REPORT_INTERVAL_S)
        gevent.spawn(self._membership.register)

    def _stop(self) -> None:
        stopped_s = _clock.now_s()
        ends_s = stopped_s + self._settings.stop_limit_s - STOP_MARGIN_S
        self._is_leaving = True
        self._membership.begin_stop()
        self._application.begin_stop(accepts_until_s=stopped_s + DRAIN_NOTICE_S, ends_s=ends_s)
        self._peer_table.own_is_home = False
        self._log.info("instance stops", active_count=self._callers.active_count)
        for step in (
            self._membership.send_heartbeats,
            self._send_handovers,
            self._send_digests,
            self._callers.begin_drain,
            self._callers.close_idle_connections,
        ):
            run_step(step, self._log.failure)
        gevent.sleep(DRAIN_NOTICE_S)
        run_step(self._membership.send_heartbeats, self._log.failure)
        # After a pause of the process, connections may wait to be accepted; closing resets them.
        gevent.sleep(ACCEPT_PAUSE_S)
        run_step(self._callers.close_listener, self._log.failure)
        unfinished_count = self._callers.finish_requests(ends_s, self._application.end_requests)
        self._log.info("instance stopped", unfinished_count=unfinished_count)
        self._loops.stop()
        self._link.stop()

    def _on_reload(self) -> None:
        # No setting can change while an instance runs; caller limits are part of the configuration.
        self._log.info("settings reload ignored", reason="no setting can change at run time")

    # Peers

    def _peer_address(self, host: str) -> str:
        return f"{host}:{self._settings.peer_udp_port}"

    def _peer_counts(self) -> dict[tuple[str, ...], float]:
        counts = self._peer_table.counts(_clock.now_s())
        return {
            ("known",): counts.known,
            ("live",): counts.live,
            ("settled",): counts.settled,
            ("naming_own",): counts.naming_own,
        }

    def _state_addresses(self) -> list[str]:
        now_s = _clock.now_s()
        peers = [peer for peer in self._peer_table.peers if self._peer_table.is_live(peer, now_s)]
        self._random.shuffle(peers)
        own_data_centre = self._settings.data_centre
        peers.sort(
            key=lambda peer: (-peer.configuration_version, peer.data_centre != own_data_centre)
        )
        hosts = [peer.address.rpartition(":")[0] for peer in peers]
        hosts += [host for host in self._settings.peer_seed_hosts if host not in hosts]
        own = self._settings.host
        return [f"{host}:{self._settings.peer_http_port}" for host in hosts if host != own]

    def _send_digests(self) -> None:
        """Send what the next home of each service homed here needs to take over."""
        now_s = _clock.now_s()
        for digest in [*self._homes.digests(now_s), *self._rollouts.progress(now_s)]:
            homes = self._peer_table.homes(service_rendezvous_key(digest.service), now_s)
            next_home = next((home for home in homes if home is not None), None)
            if next_home is not None:
                self._link.send(next_home.address, digest)

    def _send_handovers(self) -> None:
        """Send the quotas that have another home by now to that home."""
        for address, handover in self._homes.quota_handovers():
            self._link.send(address, handover)

    def _state(self, beat: int) -> PeerState:
        now_s = _clock.now_s()
        return PeerState(
            name=self._settings.instance_name,
            beat=beat,
            address=self._peer_address(self._settings.host),
            is_leaving=self._is_leaving,
            is_serving=self._resolver is not None,
            store_reachable=self._targets.store_reachable,
            configuration_version=self._operators.version,
            suspected_names=self._peer_table.suspected_names(now_s),
            crash_reports=self._crashes.reports(now_s),
            started_ms=self._started_ms,
            is_returned=self._peer_table.own_is_returned(now_s),
            is_new=self._peer_table.own_is_new(now_s),
        )

    def _on_message(
        self, sender: InstanceIncarnation, source: tuple[str, int], message: Any
    ) -> None:
        handle = self._message_handlers.get(type(message))
        if handle is not None:
            handle(sender.instance_id, f"{source[0]}:{source[1]}", message)

    def _build_message_handlers(self) -> None:
        """Set what handles each type of message, given the sender's name and its address."""
        calls, homes, send = self._calls, self._homes, self._link.send
        self._message_handlers: dict[type, Callable[[str, str, Any], None]] = {
            Heartbeat: lambda _, address, message: self._membership.on_heartbeat(address, message),
            PeerNews: self._membership.on_news,
            ReturnNotice: lambda name, _, message: self._peer_table.record_return_notice(
                name, message, _clock.now_s()
            ),
            PlacementRequest: lambda name, address, message: homes.place(
                name, message, lambda reply: send(address, reply)
            ),
            RoutedPlacementRequest: lambda name, address, message: homes.place(
                name, message, lambda reply: send(address, reply)
            ),
            PlacementReply: self._on_placement_reply,
            PlacementCompletion: self._on_placement_completion,
            CompletionAck: lambda _name, _, message: calls.record_ack(message.call_id),
            QuotaRequest: self._on_quota_request,
            QuotaReply: lambda _name, _, message: calls.deliver(message),
            QuotaReturn: lambda name, _, message: homes.take_back_quota(message, requester=name),
            QuotaHandover: lambda name, _, message: homes.adopt_quota(name, message),
            RefusalNotice: lambda _name, _, message: homes.record_refusal(message.service),
            FailureDigest: lambda _name, _, message: homes.adopt_digest(message),
            RolloutProgress: lambda _name, _, message: self._rollouts.adopt(message),
        }

    def _on_placement_reply(self, _name: str, address: str, message: PlacementReply) -> None:
        if not self._calls.deliver(message):
            self._placement_client.release_late(address, message)

    def _on_placement_completion(
        self, name: str, address: str, message: PlacementCompletion
    ) -> None:
        self._link.send(address, CompletionAck(call_id=message.call_id))
        self._homes.complete(name, message)

    def _on_quota_request(self, name: str, address: str, message: QuotaRequest) -> None:
        self._peer_table.record_suspected(name, message.suspected_names)
        self._link.send(address, self._homes.take_quota(message, requester=name))

    def _on_peer_state(self, state: PeerState, change: PeerChange, age_s: float) -> None:
        if change.has_lost_store:
            self._targets.check()
        self._crashes.merge(state.name, state.crash_reports, _clock.now_s() - age_s)
        self._operators.record_peer_version(state.configuration_version)
        if 0 <= self._platform.era < era_of(state.configuration_version):
            # The store came back from an older copy since its latest answer.
            self._targets.check()
        if change.is_serving_changed and not change.was_silent:
            is_serving = state.is_serving and not state.is_leaving
            self._log.info("peer changed", peer=state.name, is_serving=is_serving)

    # State

    def _apply_state(self, state: OperatorState) -> None:
        # What may fail comes before the first change, so that a state is in force whole or not.
        resolver = Resolver(state.configuration, self._resolver, decodes_paths=self._decodes_paths)
        placed_by_cost = self._placed_by_cost
        if self._settings.places_by_cost:
            placed_by_cost = services_placed_by_cost(state.configuration)
        limits = state.caller_limits
        # After a change, callers may still rely on the longer idle time for a while.
        idle_time_s = max(limits.idle_time_s, self._limits.idle_time_s)
        self._resolver = resolver
        self._placed_by_cost = placed_by_cost
        self._limits = CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_time_s=limits.header_time_s,
            idle_time_s=idle_time_s,
        )
        self._callers.limits = _http_limits(self._limits)
        self._peer_table.own_is_home = not self._is_leaving
        self._rollouts.apply_orders(
            order for order in state.rollouts if order.service in state.configuration.services
        )
        self._homes.apply_configuration(state.configuration)
        self._retry_budgets.drop_all_except(state.configuration.services)
        self._log.info(
            "configuration in force",
            revision=state.configuration.revision,
            version=state.version,
            placed_by_cost=sorted(self._placed_by_cost),
            data_centres_out=sorted(
                name for name, item in state.configuration.data_centres.items() if item.out
            ),
        )
        self._membership.send_heartbeats()

    def _on_era(self, era: int) -> None:
        """Read the operator state and register again, as the store lost its latest writes."""
        self._log.warning("store came back from an older copy", era=era)
        self._operators.check()
        self._membership.register_again()

    def _on_availability(self) -> None:
        """Tell peers that the store became unreachable or reachable, so that homes move."""
        self._peer_table.own_store_reachable = self._targets.store_reachable
        # A watch that began before the store was lost may never return.
        self._operators.check()
        self._membership.send_heartbeats()

    def _sweep(self) -> None:
        now_s = _clock.now_s()
        for name in self._peer_table.expire_silent(now_s):
            self._log.info("silent peer removed", peer=name)
        self._upstream.close_stale()

    # Readiness and metrics listeners

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this instance."""
        if self._is_leaving or self._resolver is None:
            return False
        if self._membership.knows_members and len(self._directory):
            return True
        return _clock.now_s() - self._started_s > STANDALONE_START_S

    def _serve_ready(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        status = "200 OK" if self.is_ready else "503 Service Unavailable"
        if self.is_ready and not self._is_ready_logged:
            self._is_ready_logged = True
            self._log.info("instance ready", after_s=round(_clock.now_s() - self._started_s, 2))
        start_response(status, [("Content-Length", "0")])
        return []

    def _serve_metrics(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        if environ["PATH_INFO"] == PREVIEW_PATH:
            return self._previews(environ, start_response)
        body = self._metrics.to_prometheus().encode()
        start_response(
            "200 OK", [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        )
        return [body]


def _http_limits(limits: CallerLimits) -> HttpLimits:
    return HttpLimits(
        header_bytes=limits.header_bytes,
        header_time_s=limits.header_time_s,
        idle_time_s=limits.idle_time_s,
    )
