"""Follows the configuration's revision in the store and at peers, and announces changes."""

from collections.abc import Mapping

import gevent
from tanagerreach_core.config import Freshness
from tanagerreach_core.membership import MemberTable

from . import _clock
from ._config_manager import RETRY_DELAY_S, WATCH_TIMEOUT_S, ConfigManager
from ._exchanger import Exchanger
from ._logs import InstanceLog
from ._peer_http import PeerHttpClient
from ._timeline import Timeline

# Number of peers that are tried for a chunk before it counts as missing.
MAX_CHUNK_PEERS = 3
# Events that are announced to peers at once, without waiting for the exchange interval.
IMMEDIATE_EXCHANGE_EVENTS = frozenset(
    {"configuration_adopted", "store_unavailable", "store_available"}
)


class RevisionFollower:
    """Keeps the revision up to date, and logs and announces configuration events."""

    __slots__ = (
        "_exchanger",
        "_freshness",
        "_freshness_limit_s",
        "_manager",
        "_log",
        "_members",
        "_peers",
        "_timeline",
    )

    def __init__(
        self,
        *,
        manager: ConfigManager,
        freshness: Freshness,
        freshness_limit_s: float,
        members: MemberTable,
        exchanger: Exchanger,
        peers: PeerHttpClient,
        timeline: Timeline,
        log: InstanceLog,
    ) -> None:
        self._manager = manager
        self._freshness = freshness
        self._freshness_limit_s = freshness_limit_s
        self._members = members
        self._exchanger = exchanger
        self._peers = peers
        self._timeline = timeline
        self._log = log

    def step(self) -> None:
        """Watch the head if this instance holds slots, or if no peer keeps its revision fresh."""
        age_s = self._freshness.age_s(_clock.now_s())
        if self._members.own.slots or age_s > self._freshness_limit_s / 2:
            if not self._manager.watch_store(WATCH_TIMEOUT_S):
                gevent.sleep(RETRY_DELAY_S)
        else:
            gevent.sleep(WATCH_TIMEOUT_S)

    def on_event(self, name: str, details: Mapping[str, object]) -> None:
        """Log and record a configuration event, and start exchanges with peers if needed."""
        if name == "configuration_adopted":
            self._timeline.revision = details["revision"]
        if name in IMMEDIATE_EXCHANGE_EVENTS:
            gevent.spawn(self._exchanger.exchange_with_all)
        if name == "store_unavailable":
            self._log.warning("store unavailable", reason=str(details.get("reason", "")))
        elif name == "store_available":
            self._log.info("store available")
        self._timeline.record(name.replace("_", "-"), dict(details))

    def on_higher_revision(self, peer_http_address: str, revision: int) -> None:
        """Load a peer's higher revision in the background."""
        gevent.spawn(self._load_from_peer, peer_http_address, revision)

    def fetch_chunk(self, name: str) -> bytes | None:
        """Fetch a chunk from the first of a few peers that has it, ``None`` if none has."""
        for address in self._exchanger.peer_http_addresses()[:MAX_CHUNK_PEERS]:
            content = self._peers.fetch_content(address, name)
            if content is not None:
                return content
        return None

    def _load_from_peer(self, peer_http_address: str, revision: int) -> None:
        def fetch(name: str) -> bytes | None:
            return self._peers.fetch_content(peer_http_address, name)

        self._manager.offer_peer_head(revision, fetch)
