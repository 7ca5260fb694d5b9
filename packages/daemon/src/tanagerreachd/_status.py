"""Status of this instance, as shown to operators."""

import itertools
import math
from collections.abc import Callable
from functools import lru_cache

from tanagerreach_core.config import Freshness
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import InstanceIncarnation, SlotSet
from tanagerreach_core.operator_responses import InstanceStatus
from tanagerreach_core.rights import HeldLoans, home_slot

from ._config_manager import ConfigManager
from ._exchanger import Exchanger
from ._fleet_status import InstanceProvider, KnownInstance
from ._metrics import Metrics
from ._peer_link import PeerLink
from ._proxy import Proxy
from ._service_dispatcher import ServiceDispatcher
from ._settings import Settings

STARTING = "starting"
LIVE = "live"
DRAINING = "draining"
OUT = "out"
RENDEZVOUS_KEY_CACHE_SIZE = 256


class InstanceView(InstanceProvider):
    """Builds the status and metrics of an instance from its parts."""

    def __init__(
        self,
        *,
        settings: Settings,
        identity: InstanceIncarnation,
        manager: ConfigManager,
        freshness: Freshness,
        members: MemberTable,
        held: HeldLoans,
        exchanger: Exchanger,
        services: ServiceDispatcher,
        proxy: Proxy,
        is_draining: Callable[[], bool],
        is_out_of_service: Callable[[], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._manager = manager
        self._freshness = freshness
        self._members = members
        self._held = held
        self._exchanger = exchanger
        self._services = services
        self._proxy = proxy
        self._is_draining = is_draining
        self._is_out_of_service = is_out_of_service
        self._now_s = now_s

    def status(self) -> InstanceStatus:
        """Return the status of this instance."""
        now_s = self._now_s()
        age_s = self._freshness.age_s(now_s)
        unavailable = self._freshness.store_unavailable
        return InstanceStatus(
            name=self._settings.instance_name,
            incarnation=self._identity.incarnation,
            data_centre=self._settings.data_centre,
            state=self._state(now_s),
            revision=self._manager.revision,
            revision_age_s=age_s if math.isfinite(age_s) else None,
            slots=list(self._members.own.slots),
            lender_count=self._lender_count(now_s),
            store_state="unavailable" if unavailable else "available",
            target_states=self._services.target_states(),
            in_flight_count=self._proxy.in_flight_count,
            operator_address=str(self._settings.operator_address),
        )

    def known_instances(self) -> list[KnownInstance]:
        """Return the other instances that have sent an exchange to this one."""
        now_s = self._now_s()
        return [
            KnownInstance(name=name, operator_address=address, heard_age_s=now_s - last_heard_s)
            for name, address, last_heard_s in self._exchanger.known_addresses()
        ]

    def declare_metrics(self, metrics: Metrics, link: PeerLink) -> None:
        """Declare the gauges of this instance."""
        counters = link.counters
        metrics.gauge(
            "tanagerreach_requests_in_flight",
            "Requests being handled.",
            lambda: self._proxy.in_flight_count,
        )
        metrics.gauge(
            "tanagerreach_revision", "Configuration revision.", lambda: self._manager.revision
        )
        metrics.gauge(
            "tanagerreach_peer_sent_bytes",
            "Bytes of datagrams sent to peers.",
            lambda: counters.sent_bytes,
        )
        metrics.gauge(
            "tanagerreach_peer_received_bytes",
            "Bytes of datagrams received from peers.",
            lambda: counters.received_bytes,
        )
        metrics.gauge(
            "tanagerreach_peer_sent_messages",
            "Datagrams sent to peers.",
            lambda: counters.sent_count,
        )
        metrics.gauge(
            "tanagerreach_peer_refused_messages",
            "Datagrams that were forged, malformed or replayed.",
            lambda: (
                counters.unauthenticated_count + counters.malformed_count + counters.replayed_count
            ),
        )

    def _state(self, now_s: float) -> str:
        if self._is_draining():
            return DRAINING
        # Before the first commit the store confirms that there is no configuration.
        is_empty = self._manager.revision == 0 and math.isfinite(self._freshness.age_s(now_s))
        if not is_empty and not self._freshness.is_bootstrapped(now_s):
            return STARTING
        return OUT if self._is_out_of_service() else LIVE

    def _lender_count(self, now_s: float) -> int:
        """Return the minimum number of slots that lend to one of the own home slots."""
        candidates = self._members.candidates(now_s)
        counts = [
            self._held.lender_count(
                _rendezvous_key_for(slot, candidates, self._settings.slot_count), slot, now_s
            )
            for slot in self._members.own.slots
        ]
        return min(counts, default=0)


@lru_cache(maxsize=RENDEZVOUS_KEY_CACHE_SIZE)
def _rendezvous_key_for(slot: int, candidates: SlotSet, slot_count: int) -> bytes:
    """Return a rendezvous key whose home is at a slot, to look up the loans of that home."""
    rendezvous_keys = (b"probe:%d" % number for number in itertools.count())
    return next(
        rendezvous_key
        for rendezvous_key in rendezvous_keys
        if home_slot(rendezvous_key, candidates, slot_count) == slot
    )
