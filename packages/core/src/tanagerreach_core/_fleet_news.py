"""Which instances hear each other directly, and how the states of the others reach them.

Load pattern: hundreds of instances in several data centres, each of which has to know which of the
others are live. Heartbeats from each instance to all others grow with the square of the fleet, and
bytes between data centres are dear. Instances therefore send heartbeats only within their group:
the instances of a data centre, or a part of them. Two speakers of each group send the states of its
instances to one instance of each other group of their data centre, and to one instance of each
other data centre, which sends them to the other groups there. Who receives states of another group
passes them on within its own.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import xxhash

from ._message_parts import divide
from ._peer_table import Peer, PeerChange, PeerTable
from ._placement_messages import (
    AGE_UNKNOWN_MS,
    Heartbeat,
    NewsKind,
    PeerNews,
    PeerState,
    ReturnNotice,
)

# The group of a data centre with more instances is divided.
GROUP_SIZE_MAX = 32
SPEAKER_COUNT = 2
# A speaker that was silent for so many heartbeat intervals is replaced, before its group counts as
# silent in other groups.
SPEAKER_TIMEOUT_INTERVALS = 1.5
# Interval at which :meth:`FleetNews.due_messages` is called, which passes states on in a group.
TICK_S = 0.15
# Interval at which a speaker sends the states of its group.
GROUP_NEWS_INTERVAL_S = 0.3
# Longest time that a state usually takes from an instance to those of another group.
NEWS_DELAY_S = 0.5
# Addresses are sent with each so many states of an instance, as receivers mostly know them.
ADDRESS_INTERVAL_STATES = 8
MS_PER_S = 1000.0

_GroupKey = tuple[str, int]
_Named = tuple[str, PeerState]
Addressed = tuple[str, PeerNews | ReturnNotice]
"""Address of a peer, and the message for it."""
NewState = tuple[PeerState, PeerChange, float]
"""A state, what it changes, and its age in seconds."""


@dataclass(slots=True, kw_only=True)
class _Heard:
    """A state that was heard, with its instance's data centre."""

    data_centre: str
    state: PeerState
    heard_s: float

    def aged(self, now_s: float, *, address: str) -> _Named:
        state = self.state
        return self.data_centre, PeerState(
            name=state.name,
            beat=state.beat,
            age_ms=int(MS_PER_S * (now_s - self.heard_s)),
            address=address,
            is_leaving=state.is_leaving,
            is_serving=state.is_serving,
            store_reachable=state.store_reachable,
            configuration_version=state.configuration_version,
            suspected_names=state.suspected_names,
            crash_reports=state.crash_reports,
            started_ms=state.started_ms,
            returned_names=state.returned_names,
            is_new=state.is_new,
            is_returned=state.is_returned,
        )


class FleetNews:
    """Decides which peers get this instance's heartbeats, and what it passes on to whom.

    :param peer_table: records the states of the other instances.
    :param random: chooses a receiver in a group of which no instance is heard.
    """

    __slots__ = (
        "_group_count",
        "_groups",
        "_groups_version",
        "_is_urgent",
        "_own",
        "_own_data_centre",
        "_own_name",
        "_peer_table",
        "_random",
        "_sent",
        "_sent_s",
        "_to_pass_on",
        "_turn",
    )

    def __init__(
        self, *, own_name: str, own_data_centre: str, peer_table: PeerTable, random: Random
    ) -> None:
        self._own_name = own_name
        self._own_data_centre = own_data_centre
        self._peer_table = peer_table
        self._random = random
        self._own: _Heard | None = None
        self._groups: dict[_GroupKey, list[Peer]] = {}
        self._groups_version = -1
        self._group_count = 1
        # Beat that was sent last, and number of states sent, by instance of the own group.
        self._sent: dict[str, tuple[int, int]] = {}
        self._sent_s = float("-inf")
        self._is_urgent = False
        self._to_pass_on: dict[str, _Heard] = {}
        self._turn = 0

    # Groups

    def group_peers(self) -> list[Peer]:
        """Return the peers of the own group, which get this instance's heartbeats."""
        return self._group(self._own_key)

    def is_in_group(self, name: str, data_centre: str) -> bool:
        """Return whether an instance belongs to the own group."""
        self._update_groups()
        return (
            data_centre == self._own_data_centre
            and _order(name) % self._group_count == self._own_key[1]
        )

    def is_speaker(self, now_s: float) -> bool:
        """Return whether this instance passes on the states of its group."""
        return self._speaker_number(now_s) is not None

    @property
    def _own_key(self) -> _GroupKey:
        self._update_groups()
        return self._own_data_centre, _order(self._own_name) % self._group_count

    def _group(self, key: _GroupKey) -> list[Peer]:
        self._update_groups()
        return self._groups.get(key, [])

    def _update_groups(self) -> None:
        if self._groups_version == self._peer_table.membership_version:
            return
        self._groups_version = self._peer_table.membership_version
        by_data_centre: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._peer_table.peers:
            by_data_centre[peer.data_centre].append(peer)
        self._group_count = _group_count(len(by_data_centre[self._own_data_centre]) + 1)
        self._groups = defaultdict(list)
        for data_centre, peers in by_data_centre.items():
            is_own = data_centre == self._own_data_centre
            count = self._group_count if is_own else _group_count(len(peers))
            for peer in peers:
                self._groups[data_centre, _order(peer.name) % count].append(peer)

    def _speaker_number(self, now_s: float) -> int | None:
        """Return this instance's number among the speakers of its group, if it is one."""
        own = self._own
        if own is None or own.state.is_leaving:
            return None
        own_rank = _speaker_rank(own.state, self._own_name)
        before = sum(
            _speaker_rank(peer, peer.name) < own_rank
            for peer in self._group(self._own_key)
            if self._may_speak(peer, now_s)
        )
        return before if before < SPEAKER_COUNT else None

    def _may_speak(self, peer: Peer, now_s: float) -> bool:
        silent_s = now_s - peer.last_heard_s - peer.news_delay_s
        limit_s = SPEAKER_TIMEOUT_INTERVALS * self._peer_table.heartbeat_s
        return not peer.is_leaving and silent_s <= limit_s

    def _receivers_here(self, now_s: float, number: int = 0) -> list[Peer]:
        """Return an instance of each other group of the own data centre."""
        own_key = self._own_key
        return [
            self._receiver(group, number, now_s)
            for key, group in self._groups.items()
            if key[0] == own_key[0] and key != own_key
        ]

    def _receivers_elsewhere(self, now_s: float, number: int) -> list[Peer]:
        """Return an instance of each other data centre; its group changes from call to call."""
        self._update_groups()
        self._turn += 1
        groups: dict[str, list[list[Peer]]] = defaultdict(list)
        for (data_centre, _), group in self._groups.items():
            if data_centre != self._own_data_centre:
                groups[data_centre].append(group)
        return [
            self._receiver(found[(self._turn + number) % len(found)], number, now_s)
            for found in groups.values()
        ]

    def _receiver(self, group: list[Peer], number: int, now_s: float) -> Peer:
        """Return the instance of another group that gets the states from a speaker.

        Instances that sent their group's states lately come first: they have replaced speakers that
        are down, which this instance may not know yet.
        """
        limit_s = SPEAKER_TIMEOUT_INTERVALS * self._peer_table.heartbeat_s
        heard = sorted(
            (peer for peer in group if self._may_speak(peer, now_s)),
            key=lambda peer: (
                now_s - peer.news_sent_s > limit_s,
                _speaker_rank(peer, peer.name),
            ),
        )[:SPEAKER_COUNT]
        return heard[number % len(heard)] if heard else self._random.choice(group)

    # Receiving

    def record_own(self, state: PeerState, now_s: float) -> None:
        """Record the state that this instance sends in its heartbeats now."""
        known = self._own
        if known is not None and now_s - known.heard_s > self._peer_table.pause_limit_s:
            self._peer_table.record_own_pause(now_s)
        self._own = _Heard(data_centre=self._own_data_centre, state=state, heard_s=now_s)
        self._is_urgent |= known is None or state.differs_from(known.state)

    def record_heartbeat(self, message: Heartbeat, now_s: float) -> PeerChange | None:
        """Record a heartbeat.

        :returns: what changed, ``None`` when a later state is known.
        """
        is_in_group = self.is_in_group(message.state.name, message.data_centre)
        change = self._peer_table.record_state(
            message.state,
            data_centre=message.data_centre,
            heard_s=now_s,
            now_s=now_s,
            news_delay_s=0.0 if is_in_group else NEWS_DELAY_S,
        )
        self._is_urgent |= is_in_group and change is not None and change.is_notable
        return change

    def record_news(
        self, sender: str, message: PeerNews, now_s: float
    ) -> tuple[list[NewState], list[Addressed]]:
        """Record the states that a peer passes on.

        :returns: the states that are new here, and the messages to send at once.
        """
        if message.kind in (NewsKind.FOR_DATA_CENTRE, NewsKind.FOR_GROUP):
            peer = self._peer_table.peer(sender)
            if peer is not None:
                peer.news_sent_s = now_s
        found: list[NewState] = []
        heard: list[_Heard] = []
        for data_centre, states in message.states.items():
            for state in states:
                if state.age_ms == AGE_UNKNOWN_MS:
                    self._add_unheard(state, data_centre, now_s)
                    continue
                heard_s = now_s - state.age_ms / MS_PER_S
                change = self._peer_table.record_state(
                    state,
                    data_centre=data_centre,
                    heard_s=heard_s,
                    now_s=now_s,
                    news_delay_s=NEWS_DELAY_S,
                )
                if change is not None:
                    found.append((state, change, now_s - heard_s))
                    heard.append(_Heard(data_centre=data_centre, state=state, heard_s=heard_s))
        return found, self._pass_on(message.kind, heard, now_s)

    def _add_unheard(self, state: PeerState, data_centre: str, now_s: float) -> None:
        if state.address:
            self._peer_table.add(state.name, state.address, now_s, data_centre=data_centre)

    def _pass_on(self, kind: NewsKind, heard: list[_Heard], now_s: float) -> list[Addressed]:
        """Pass on states later within the own group, and at once to the other groups here."""
        if kind not in (NewsKind.FOR_DATA_CENTRE, NewsKind.FOR_GROUP):
            return []
        self._to_pass_on.update({entry.state.name: entry for entry in heard})
        if kind is NewsKind.FOR_GROUP:
            return []
        states = [entry.aged(now_s, address=entry.state.address) for entry in heard]
        messages = _messages(NewsKind.FOR_GROUP, states)
        return [
            (receiver.address, message)
            for receiver in self._receivers_here(now_s)
            for message in messages
        ]

    # Sending

    def due_messages(self, now_s: float) -> list[Addressed]:
        """Return the states to pass on now, and notices; to be called each ``TICK_S``."""
        messages: list[Addressed] = [
            *self._peer_table.due_return_notices(now_s),
            *self._messages_within_group(now_s),
        ]
        number = self._speaker_number(now_s)
        is_due = self._is_urgent or now_s - self._sent_s >= GROUP_NEWS_INTERVAL_S - TICK_S / 2
        if number is None or not is_due:
            return messages
        self._sent_s = now_s
        self._is_urgent = False
        states = self._unsent_states(now_s)
        for kind, receivers in (
            (NewsKind.FOR_GROUP, self._receivers_here(now_s, number)),
            (NewsKind.FOR_DATA_CENTRE, self._receivers_elsewhere(now_s, number)),
        ):
            found = _messages(kind, states)
            messages += [(peer.address, message) for peer in receivers for message in found]
        return messages

    def complete_news(self, now_s: float) -> list[PeerNews]:
        """Return the states of all known instances, for an instance that starts."""
        states = []
        if self._own is not None:
            states.append(self._own.aged(now_s, address=self._own.state.address))
        for peer in self._peer_table.peers:
            if peer.state is None:
                state = PeerState(
                    name=peer.name, beat=0, age_ms=AGE_UNKNOWN_MS, address=peer.address
                )
                states.append((peer.data_centre, state))
            else:
                states.append(_heard(peer).aged(now_s, address=peer.address))
        return _messages(NewsKind.COMPLETE, states)

    def _messages_within_group(self, now_s: float) -> list[Addressed]:
        if not self._to_pass_on:
            return []
        states = [
            heard.aged(now_s, address=heard.state.address) for heard in self._to_pass_on.values()
        ]
        self._to_pass_on.clear()
        messages = _messages(NewsKind.PASSED_ON, states)
        return [(peer.address, message) for peer in self.group_peers() for message in messages]

    def _unsent_states(self, now_s: float) -> list[_Named]:
        """Return the states of the own group that were not sent to other groups yet."""
        group = self.group_peers()
        heard = [
            _heard(peer)
            for peer in group
            if peer.state is not None and self._peer_table.is_live(peer, now_s)
        ]
        if self._own is not None:
            heard.append(self._own)
        unsent = []
        sent: dict[str, tuple[int, int]] = {}
        for entry in heard:
            name = entry.state.name
            beat, count = self._sent.get(name, (None, 0))
            if entry.state.beat == beat:
                sent[name] = (beat, count)
                continue
            address = entry.state.address if count % ADDRESS_INTERVAL_STATES == 0 else ""
            unsent.append(entry.aged(now_s, address=address))
            sent[name] = (entry.state.beat, count + 1)
        self._sent = sent
        return unsent


def _heard(peer: Peer) -> _Heard:
    return _Heard(data_centre=peer.data_centre, state=peer.state, heard_s=peer.last_heard_s)


def _group_count(size: int) -> int:
    """Return the number of groups of a data centre, a power of two that changes rarely."""
    count = 1
    while size > count * GROUP_SIZE_MAX:
        count *= 2
    return count


def _order(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _speaker_rank(subject: Peer | PeerState, name: str) -> tuple[bool, bool, int]:
    """Return the rank by which speakers are chosen; those that reach the store come first."""
    return not subject.is_serving, not subject.store_reachable, _order(name)


def _messages(kind: NewsKind, states: Iterable[_Named]) -> list[PeerNews]:
    """Divide states among messages that fit into a datagram."""
    messages: list[PeerNews] = []
    for part in divide(states):
        news = PeerNews(kind=kind, states={})
        for data_centre, state in part:
            news.states.setdefault(data_centre, []).append(state)
        messages.append(news)
    return messages
