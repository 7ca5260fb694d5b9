"""One running instance: starts its parts, runs their loops and stops them gracefully."""

import signal

import gevent
from gevent.event import Event

from . import _clock
from ._logs import InstanceLog
from ._loops import Loops, run_step
from ._parts import Parts
from ._service_dispatcher import TICK_S
from ._settings import Settings
from ._store_client import StoreError
from ._target_health import HEALTH_INTERVAL_S

HOME_TICK_S = 0.2
SLOT_STEP_INTERVAL_S = 1.0
CLEANUP_INTERVAL_S = 5.0
PEER_EXPIRY_S = 120.0
# After this time, an instance is ready even if it knows the holders of less than half of the slots.
READY_TIMEOUT_S = 10.0


class Daemon:
    """One instance.

    :param settings: validated settings.
    :param log: log of the instance.
    :raises AddressError: when the address of the peers' datagrams cannot be bound.
    """

    def __init__(self, *, settings: Settings, log: InstanceLog) -> None:
        self._settings = settings
        self._log = log
        self._draining = False
        self._needs_registration = True
        self._started_s = _clock.now_s()
        self._stopping = Event()
        self._loops = Loops(on_failure=log.failure)
        self._parts = Parts(
            settings=settings,
            log=log,
            is_ready=self._is_ready,
            is_draining=lambda: self._draining,
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        :raises AddressError: when an address cannot be bound.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self._stopping.set)
        self._start()
        self._stopping.wait()
        self._stop()

    # Start and stop

    def _start(self) -> None:
        parts = self._parts
        parts.listeners.start()
        parts.link.start(parts.messages.handle, self._log.failure)
        self._loops.start(parts.follower.step)
        self._loops.start(self._slot_step, SLOT_STEP_INTERVAL_S)
        self._loops.start(self._exchange_and_wait)
        self._loops.start(parts.tokens.run)
        self._loops.start(parts.services.tick, TICK_S)
        self._loops.start(parts.homes.tick, HOME_TICK_S)
        self._loops.start(self._probe_targets)
        self._loops.start(parts.watch.run)
        self._loops.start(self._clean_up, CLEANUP_INTERVAL_S)
        self._log.info(
            "instance started",
            incarnation=parts.identity.incarnation,
            data_centre=self._settings.data_centre,
            callers_address=str(self._settings.callers_address),
        )
        parts.timeline.record("instance-started", {"data_centre": self._settings.data_centre})

    def _stop(self) -> None:
        parts = self._parts
        self._draining = True
        self._log.info("instance drains", in_flight_count=parts.proxy.in_flight_count)
        parts.timeline.record("instance-drains", {})
        parts.listeners.begin_drain()
        notice_ends_s = _clock.now_s() + self._settings.drain_notice_s
        run_step(self._give_up_rights, self._log.failure)
        gevent.sleep(max(0.0, notice_ends_s - _clock.now_s()))
        unfinished = parts.listeners.finish_requests(self._settings.drain_limit_s)
        self._log.info("instance stops", unfinished_request_count=unfinished)
        self._loops.stop()
        parts.link.stop()
        parts.listeners.stop()
        parts.upstream.close()

    def _give_up_rights(self) -> None:
        """Hand the slots over and return the loans, while requests are still served.

        The drain is announced to peers after the handover: a candidate set that first loses the
        slots and then gets them back with another holder would cost two loan terms.
        """
        parts = self._parts
        parts.slot_manager.leave()
        closes_s = parts.held.close(_clock.now_s())
        parts.exchanger.begin_drain()
        gevent.sleep(max(0.0, closes_s - _clock.now_s()))
        parts.exchanger.return_loans()

    # Steps of the loops

    def _slot_step(self) -> None:
        try:
            if self._needs_registration:
                self._parts.slot_manager.register()
                self._needs_registration = False
            self._parts.slot_manager.step()
        except StoreError as error:
            self._log.debug("slot check failed", reason=str(error))

    def _exchange_and_wait(self) -> None:
        self._parts.exchanger.exchange_with_all()
        interval_s = self._settings.exchange_interval_s
        if self._parts.freshness.store_unavailable:
            # A holder status of the store counts for the freshness limit after the exchange that
            # it replies to, so two intervals have to fit into that limit.
            interval_s = min(interval_s, self._settings.freshness_limit_s / 3)
        gevent.sleep(interval_s)

    def _probe_targets(self) -> None:
        """Probe the targets whose home is this instance, spread over one interval."""
        homes = self._parts.homes
        targets = homes.targets_to_probe()
        pause_s = HEALTH_INTERVAL_S / max(1, len(targets))
        for service, target, address in targets:
            health = self._parts.health.probe(address)
            if health is not None:
                homes.record_health(service, target, health)
            gevent.sleep(pause_s)
        if not targets:
            gevent.sleep(pause_s)

    def _clean_up(self) -> None:
        parts = self._parts
        parts.token_home.drop_idle(_clock.now_s())
        parts.exchanger.expire_silent(PEER_EXPIRY_S)
        parts.upstream.close_unlisted(
            target.address
            for service in parts.config_manager.configuration.services.values()
            for target in service.targets
        )

    def _is_ready(self) -> bool:
        """Return whether the load balancer should send requests.

        A new instance that does not know the homes yet gets no tokens and would refuse requests.
        One whose data centre is out of service still serves the requests that it receives.
        """
        now_s = _clock.now_s()
        if self._draining or not self._parts.freshness.is_bootstrapped(now_s):
            return False
        if self._parts.data_centres.is_own_out_of_service():
            return False
        candidates = self._parts.members.candidates(now_s)
        knows_homes = 2 * len(candidates) > self._settings.slot_count
        return knows_homes or now_s - self._started_s > READY_TIMEOUT_S
