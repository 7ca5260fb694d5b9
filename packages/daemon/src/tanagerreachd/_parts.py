"""Builds the parts of an instance from its settings and connects them."""

import time
from collections.abc import Callable
from random import Random

import gevent
from tanagerreach_core.config import Freshness, Resolver
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import InstanceIncarnation, MemberRecord, SlotSet
from tanagerreach_core.rights import (
    DRIFT_MARGIN_RATIO,
    HeldLoans,
    LoanLedger,
    TokenCache,
    TokenHome,
)
from tanagerreach_core.traffic import CrashRequestRegistry

from . import _clock
from ._caller_watch import CallerWatch
from ._claim_coordinator import ClaimCoordinator
from ._config_manager import ConfigManager
from ._configuration_provider import ManagedConfiguration
from ._data_centre_status import DataCentreStatus
from ._exchanger import Exchanger, OwnAddresses
from ._fleet_status import FleetCollector
from ._listeners import Listeners, binding
from ._logs import InstanceLog, SecretFilter
from ._loops import run_all
from ._metrics import Metrics
from ._operator_api import OperatorApi
from ._peer_codec import PeerCodec
from ._peer_http import PeerAuthenticator, PeerHttpApi, PeerHttpClient
from ._peer_link import PeerLink
from ._peer_messages import PeerMessages
from ._proxy import Proxy
from ._proxy_metrics import ProxyMetrics
from ._revision_follower import RevisionFollower
from ._service_dispatcher import ServiceDispatcher
from ._service_homes import ServiceHomes
from ._settings import Settings
from ._slot_lease_client import SlotLeaseClient, SlotRecord
from ._slot_manager import SlotManager
from ._status import InstanceView
from ._store_client import HttpStore, StoreInstance
from ._target_health import HealthClient
from ._timeline import HybridClock, Timeline
from ._token_client import TokenClient
from ._upstream import UpstreamClient

NS_PER_MS = 1_000_000
CONNECT_TIMEOUT_S = 1.0
# Number of exchange intervals without a message after which a holder is no longer a candidate.
HEARTBEAT_TIMEOUT_INTERVALS = 3.5


class Parts:
    """All parts of one instance. Building them starts nothing but binds the peers' UDP socket.

    :param is_ready: returns whether the load balancer should send requests.
    :param is_draining: returns whether the instance is stopping.
    :raises AddressError: when the address of the peers' datagrams cannot be bound.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        log: InstanceLog,
        is_ready: Callable[[], bool],
        is_draining: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._log = log
        self._random = Random()
        # A restarted instance has a higher incarnation.
        self.identity = InstanceIncarnation(
            instance_id=settings.instance_name, incarnation=time.time_ns() // NS_PER_MS
        )
        self._clock = HybridClock()
        self.timeline = Timeline(
            instance=settings.instance_name,
            incarnation=self.identity.incarnation,
            event_limit=settings.timeline_event_limit,
            clock=self._clock,
            secret_filter=SecretFilter(
                secrets=(settings.fleet_secret, settings.operator_credential)
            ),
        )
        self._metrics = Metrics()
        self._build_rights()
        self._build_configuration()
        self._build_slots()
        self._build_admission()
        self._build_proxy(is_ready)
        self._build_listeners(is_draining)

    def _build_rights(self) -> None:
        settings = self._settings
        self.members = MemberTable(
            own=MemberRecord(
                instance_id=settings.instance_name,
                incarnation=self.identity.incarnation,
                peer_address=str(settings.peer_udp_address),
                data_centre=settings.data_centre,
                slots=SlotSet(),
            ),
            heartbeat_timeout_s=HEARTBEAT_TIMEOUT_INTERVALS * settings.exchange_interval_s,
        )
        self._ledger = LoanLedger(
            loan_term_s=settings.loan_term_s,
            drift_margin_ratio=DRIFT_MARGIN_RATIO,
            slot_count=settings.slot_count,
        )
        self.held = HeldLoans(slot_count=settings.slot_count)
        self.freshness = Freshness(
            slot_count=settings.slot_count, freshness_limit_s=settings.freshness_limit_s
        )
        with binding("peer_udp_address", settings.peer_udp_address):
            self.link = PeerLink(
                address=str(settings.peer_udp_address),
                sender=self.identity,
                codec=PeerCodec(secret=settings.fleet_secret.encode()),
                clock=self._clock,
            )

    def _build_configuration(self) -> None:
        settings = self._settings
        self._store = HttpStore(
            base_url=f"http://{settings.store_address}", response_timeout_s=settings.store_timeout_s
        )
        self._authenticator = PeerAuthenticator(secret=settings.fleet_secret.encode())
        self._peer_client = PeerHttpClient(
            identity=self.identity, authenticator=self._authenticator
        )
        # The configuration manager, the exchanger and the follower refer to each other, so some
        # callbacks look the others up when called.
        self.config_manager = ConfigManager(
            store=self._store,
            now_s=_clock.now_s,
            freshness=self.freshness,
            on_event=lambda name, details: self.follower.on_event(name, details),
            fetch_chunk=lambda name: self.follower.fetch_chunk(name),
            sleep=gevent.sleep,
            random=self._random,
        )
        self.exchanger = Exchanger(
            identity=self.identity,
            addresses=OwnAddresses(
                peer=str(settings.peer_udp_address),
                peer_http=str(settings.peer_http_address),
                operator=str(settings.operator_address),
            ),
            seeds=tuple(str(seed) for seed in settings.peer_seeds),
            members=self.members,
            ledger=self._ledger,
            held=self.held,
            freshness=self.freshness,
            revision=self._revision,
            send=self.link.send,
            on_higher_revision=lambda address, revision: self.follower.on_higher_revision(
                address, revision
            ),
            now_s=_clock.now_s,
            random=self._random,
            memory_s=settings.loan_term_s,
        )
        self.follower = RevisionFollower(
            manager=self.config_manager,
            freshness=self.freshness,
            freshness_limit_s=settings.freshness_limit_s,
            members=self.members,
            exchanger=self.exchanger,
            peers=self._peer_client,
            timeline=self.timeline,
            log=self._log,
        )

    def _build_slots(self) -> None:
        settings = self._settings
        peer_address = str(settings.peer_udp_address)
        self._claims = ClaimCoordinator(
            instance_id=settings.instance_name,
            slot_count=settings.slot_count,
            members=self.members,
            send=self.link.send,
            now_s=_clock.now_s,
        )
        slots = SlotLeaseClient(
            store=self._store,
            identity=self.identity,
            record=SlotRecord(
                instance_id=settings.instance_name,
                incarnation=self.identity.incarnation,
                peer_address=peer_address,
                data_centre=settings.data_centre,
            ),
            slot_count=settings.slot_count,
            lease_term_s=settings.slot_lease_s,
            drift_margin_ratio=DRIFT_MARGIN_RATIO,
            now_s=_clock.now_s,
        )
        self.data_centres = DataCentreStatus(
            members=self.members,
            in_service=lambda name: self.config_manager.resolver.is_in_service(name),
            now_s=_clock.now_s,
        )
        self.slot_manager = SlotManager(
            own=StoreInstance(name=settings.instance_name, peer_address=peer_address, state="live"),
            store=self._store,
            slots=slots,
            members=self.members,
            ledger=self._ledger,
            claims=self._claims,
            slot_count=settings.slot_count,
            lease_term_s=settings.slot_lease_s,
            http_address_of=self.exchanger.http_address_of,
            on_slots=self.exchanger.set_own_slots,
            run_all=run_all,
            export_verdicts=lambda slot: self.homes.export_verdicts(slot),
            import_verdicts=lambda transferred: self.homes.import_verdicts(transferred),
            hand_over=self._peer_client.hand_over,
            close_home=lambda slot: self.held.close_home(slot, _clock.now_s()),
            revision=self._revision,
            data_centres=self.data_centres,
            sleep=gevent.sleep,
            record=self.timeline.record,
            now_s=_clock.now_s,
            random=self._random,
        )

    def _build_admission(self) -> None:
        settings = self._settings
        self.token_home = TokenHome(held=self.held, limit_of=self._limit_of, random=self._random)
        self.tokens = TokenClient(
            instance_id=settings.instance_name,
            cache=TokenCache(slot_count=settings.slot_count, random=self._random),
            home=self.token_home,
            members=self.members,
            send=self.link.send,
            now_s=_clock.now_s,
        )
        self.homes = ServiceHomes(
            slot_count=settings.slot_count,
            held=self.held,
            members=self.members,
            resolver=self._resolver,
            now_s=_clock.now_s,
            record=self.timeline.record,
            poll_report=lambda address, report_poll: self.messages.poll_report(
                address, report_poll
            ),
        )
        self.health = HealthClient()
        self.services = ServiceDispatcher(
            instance_id=settings.instance_name,
            data_centre=settings.data_centre,
            slot_count=settings.slot_count,
            resolver=self._resolver,
            members=self.members,
            send=self.link.send,
            handle_own=lambda report: self.homes.handle(report, self.identity),
            now_s=_clock.now_s,
            random=self._random,
        )
        self._crash_requests = CrashRequestRegistry()
        self.messages = PeerMessages(
            exchanger=self.exchanger,
            token_home=self.token_home,
            tokens=self.tokens,
            homes=self.homes,
            services=self.services,
            claims=self._claims,
            crash_requests=self._crash_requests,
            members=self.members,
            send=self.link.send,
            record=self.timeline.record,
            now_s=_clock.now_s,
            random=self._random,
        )

    def _build_proxy(self, is_ready: Callable[[], bool]) -> None:
        settings = self._settings
        self.watch = CallerWatch()
        self.upstream = UpstreamClient(
            connect_timeout_s=CONNECT_TIMEOUT_S, idle_timeout_s=settings.idle_time_limit_s
        )
        self.proxy = Proxy(
            resolver=self._resolver,
            freshness=self.freshness,
            tokens=self.tokens,
            services=self.services,
            claims=self._claims,
            crash_requests=self._crash_requests,
            upstream=self.upstream,
            watch=self.watch,
            metrics=ProxyMetrics(metrics=self._metrics),
            body_limit_bytes=settings.body_limit_bytes,
            body_part_time_s=settings.idle_time_limit_s,
            admission_wait_s=settings.admission_wait_s,
            on_crash_suspect=self.messages.announce_crash_suspect,
            is_ready=is_ready,
            now_s=_clock.now_s,
        )

    def _build_listeners(self, is_draining: Callable[[], bool]) -> None:
        settings = self._settings
        view = InstanceView(
            settings=settings,
            identity=self.identity,
            manager=self.config_manager,
            freshness=self.freshness,
            members=self.members,
            held=self.held,
            exchanger=self.exchanger,
            services=self.services,
            proxy=self.proxy,
            is_draining=is_draining,
            is_out_of_service=self.data_centres.is_own_out_of_service,
            now_s=_clock.now_s,
        )
        view.declare_metrics(self._metrics, self.link)
        operator_api = OperatorApi(
            credential=settings.operator_credential,
            configuration=ManagedConfiguration(
                manager=self.config_manager,
                held_by_majority=self.freshness.held_by_majority,
                sleep=gevent.sleep,
            ),
            instance=view,
            fleet=FleetCollector(provider=view, credential=settings.operator_credential),
            timeline=self.timeline,
            metrics=self._metrics,
        )
        peer_api = PeerHttpApi(
            authenticator=self._authenticator,
            content=self.config_manager.content,
            accept_slot=self.slot_manager.take_over,
        )
        self.listeners = Listeners(
            settings=settings,
            log=self._log,
            callers=self.proxy,
            operators=operator_api.application(),
            peers=peer_api.application(),
        )

    def _revision(self) -> int:
        return self.config_manager.revision

    def _resolver(self) -> Resolver:
        return self.config_manager.resolver

    def _limit_of(self, workspace: str) -> tuple[float, float] | None:
        limit = self.config_manager.resolver.limit_of(workspace)
        return None if limit is None else (limit.rate_per_s, limit.burst)
