"""Keeps this instance and its peers informed of each other: registration, heartbeats and news."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

import gevent
from gevent.event import Event
from tanagerreach_core.messages import Heartbeat, NewsKind, PeerNews, PeerState
from tanagerreach_core.placement import FleetNews, PeerChange, PeerTable

from .. import _clock
from .._logs import InstanceLog
from ._settings import GatewaySettings
from ._sources import Member, Platform, SourceError

# Entries of instances expire after ten minutes.
REGISTRATION_INTERVAL_S = 180.0
REGISTRATION_RETRY_S = 0.7
# Time over which the instances of a fleet register anew in a new era of the store.
REGISTRATION_SPREAD_S = 1.0
# Instances that start together may read the list before the others have registered. Of any two, the
# later one to register reads the entry of the other, and peers that reply tell of it; an instance
# without a reply reads the list again.
MEMBERS_REREAD_S = 1.5
# Peers that an instance asks for the states of all when it starts, and least time between two
# further such requests.
ASKED_PEERS = 3
ASK_INTERVAL_S = 0.3
# Least time between two heartbeats because homes did not reply.
LOST_HOME_INTERVAL_S = 0.3
MS_PER_S = 1000

Send = Callable[[str, Any], None]


class Membership:
    """Sends this instance's states, and records and passes on those of the others.

    :param describe: returns this instance's state, given its beat.
    :param on_state: called with each new state of a peer, what it changes, and its age in seconds.
    :param send: sends a message to an address.
    """

    __slots__ = (
        "_asked_s",
        "_describe",
        "_has_news",
        "_is_registered",
        "_is_leaving",
        "_latest_beat",
        "_log",
        "_lost_home_s",
        "_news",
        "_on_state",
        "_peer_table",
        "_platform",
        "_random",
        "_registration_requested",
        "_send",
        "_settings",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        platform: Platform,
        peer_table: PeerTable,
        describe: Callable[[int], PeerState],
        on_state: Callable[[PeerState, PeerChange, float], None],
        send: Send,
        log: InstanceLog,
        random: Random,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._peer_table = peer_table
        self._describe = describe
        self._on_state = on_state
        self._send = send
        self._log = log
        self._random = random
        self._news = FleetNews(
            own_name=settings.instance_name,
            own_data_centre=settings.data_centre,
            peer_table=peer_table,
            random=random,
        )
        self._latest_beat = 0
        self._has_news = False
        self._is_registered = False
        self._registration_requested = Event()
        self._is_leaving = False
        self._asked_s = float("-inf")
        self._lost_home_s = float("-inf")
        peer_table.knows_members = False

    @property
    def knows_members(self) -> bool:
        """Whether the store or a peer has told which instances there are."""
        return self._peer_table.knows_members

    @property
    def is_speaker(self) -> bool:
        """Whether this instance speaks for its group, also when it hears no other speaker."""
        return self._news.is_speaker(_clock.now_s())

    def begin_stop(self) -> None:
        """Stop to register."""
        self._is_leaving = True

    # Sending

    def send_heartbeats(self) -> None:
        """Send this instance's state to the peers of its group."""
        heartbeat = self._heartbeat()
        for peer in self._news.group_peers():
            self._send(peer.address, heartbeat)

    def run_heartbeat(self) -> None:
        """Send heartbeats once, then wait for the next ones."""
        self.send_heartbeats()
        gevent.sleep(self._peer_table.heartbeat_s * self._random.uniform(0.9, 1.0))

    def pass_on_news(self) -> None:
        """Send the states of other instances that are due."""
        for address, message in self._news.due_messages(_clock.now_s()):
            self._send(address, message)

    def report_lost_home(self, address: str) -> None:
        """Tell a home that it did not reply, and soon also the others."""
        self._send(address, self._heartbeat())
        now_s = _clock.now_s()
        if now_s - self._lost_home_s >= LOST_HOME_INTERVAL_S:
            self._lost_home_s = now_s
            self.send_heartbeats()

    def ask_for_news(self, address: str) -> None:
        """Ask a peer for the states of all instances that it knows."""
        self._asked_s = _clock.now_s()
        self._send(address, self._heartbeat(wants_news=True))

    def _heartbeat(self, *, wants_news: bool = False) -> Heartbeat:
        # Beats rise over restarts, as long as the clock is not set back.
        self._latest_beat = max(self._latest_beat + 1, int(MS_PER_S * time.time()))
        state = self._describe(self._latest_beat)
        self._news.record_own(state, _clock.now_s())
        return Heartbeat(state=state, data_centre=self._settings.data_centre, wants_news=wants_news)

    # Receiving

    def on_heartbeat(self, source: str, message: Heartbeat) -> None:
        """Record a heartbeat from an address."""
        if message.state.name == self._settings.instance_name:
            return
        now_s = _clock.now_s()
        change = self._news.record_heartbeat(message, now_s)
        if change is not None:
            self._on_state(message.state, change, 0.0)
            if change.was_silent:
                self._log.info("dependency regained", dependency="peer", peer=message.state.name)
        if message.wants_news:
            for news in self._news.complete_news(now_s):
                self._send(source, news)
        self._ask_if_needed(source, now_s)

    def on_news(self, sender: str, source: str, message: PeerNews) -> None:
        """Record the states that a peer passes on."""
        now_s = _clock.now_s()
        if message.kind is NewsKind.COMPLETE:
            self._has_news = True
            self._peer_table.knows_members = True
        found, messages = self._news.record_news(sender, message, now_s)
        for address, passed_on in messages:
            self._send(address, passed_on)
        for state, change, age_s in found:
            self._on_state(state, change, age_s)
        regained = [state.name for state, change, _ in found if change.was_silent]
        if regained:
            self._log.info("peers regained", told_by=sender, peers=regained)
        self._ask_if_needed(source, now_s)

    def _ask_if_needed(self, source: str, now_s: float) -> None:
        if not self._has_news and now_s - self._asked_s >= ASK_INTERVAL_S:
            self.ask_for_news(source)

    # Registration

    def register_again(self) -> None:
        """Register again soon, as the store may have lost the registration."""
        self._registration_requested.set()

    def register(self) -> None:
        """Register this instance and read the other members, at intervals until the stop."""
        is_first_read = True
        while not self._is_leaving:
            pause_s = REGISTRATION_RETRY_S * self._random.uniform(0.7, 1.3)
            try:
                is_read_again = self._is_registered and not is_first_read
                if not self._is_registered:
                    self._registration_requested.clear()
                    self._platform.register(
                        self._settings.instance_name,
                        Member(
                            address=f"{self._settings.host}:{self._settings.peer_udp_port}",
                            data_centre=self._settings.data_centre,
                        ),
                    )
                    self._is_registered = True
                if not (is_read_again and self._has_news):
                    self._add_members(self._platform.members())
                pause_s = MEMBERS_REREAD_S if is_first_read else REGISTRATION_INTERVAL_S
                is_first_read = False
                # After the long interval the entry is renewed before the list is read.
                self._is_registered = pause_s < REGISTRATION_INTERVAL_S
            except SourceError as error:
                self._log.debug("registration or reading of members failed", reason=str(error))
            if self._registration_requested.wait(pause_s):
                self._is_registered = False
                gevent.sleep(self._random.uniform(0, REGISTRATION_SPREAD_S))

    def _add_members(self, members: dict[str, Member]) -> None:
        now_s = _clock.now_s()
        self._peer_table.knows_members = True
        added = [
            name
            for name, member in members.items()
            if self._peer_table.add(name, member.address, now_s, data_centre=member.data_centre)
        ]
        if not added:
            return
        self.send_heartbeats()
        if not self._has_news:
            asked = self._news.group_peers() or self._peer_table.peers
            for peer in self._random.sample(asked, min(ASKED_PEERS, len(asked))):
                self.ask_for_news(peer.address)
