"""Live instances of the fleet, and the home of each service and workspace among them.

Every instance learns the states of the others, see :mod:`._fleet_news`. The home of a rendezvous
key is the first live instance in the key's rendezvous order, so instances that hear the same peers
agree without a vote.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from ._placement_messages import PeerState, ReturnNotice

# A peer is live until it was silent for this many heartbeat intervals, which allows for two lost
# heartbeats and some delay.
HEARTBEAT_TIMEOUT_INTERVALS = 3.2
# A peer that was silent comes after the other homes for this long: it may have been cut off from
# the store too, and has to catch up.
PROBATION_S = 1.5
# A peer that was heard within this time may still receive requests of others as a home.
COMPETING_HOME_TIMEOUT_S = 6.0
# A peer that was silent for this long no longer counts as a part of the fleet.
PEER_EXPIRY_S = 60.0
# Keys whose order of instances is kept, which is more than a large deployment has.
PREFERENCES_MAX = 1024
# Entries of instances in the store expire after this time.
LARGEST_SIZE_EXPIRY_S = 600.0
# A peer that did not reply to a request gets no further ones for this long; the time doubles while
# the peer stays silent.
SUSPICION_MIN_S = 1.5
SUSPICION_MAX_S = 6.0
# A peer lends its part of a right only while it was heard within this many heartbeat intervals,
# fewer than those of the heartbeat timeout: after a partition it may use another home soon.
LENDER_TIMEOUT_INTERVALS = 1.25
# A peer lends its part only after it was heard for this long: its probation of this instance begins
# up to a second later than this instance hears it.
SETTLED_S = PROBATION_S + 1.0
# An instance counts as new for this long after its start, until its peers are settled.
NEW_S = SETTLED_S + 1.0
# An instance that has heard all peers but this share again lately says so of itself, rather than to
# each of them.
SETTLED_SHARE_MIN = 0.125
# Notices of returns that are sent at a time, so that the return of a data centre does not fill the
# sender's link; each is sent twice, as datagrams get lost.
RETURN_NOTICES_MAX = 16
RETURN_NOTICE_COUNT = 2
# The others may have missed an instance that sent no state for this many heartbeat intervals.
PAUSE_INTERVALS = 3.0
# An instance whose home was not heard for this long issues its own part of a right first, as the
# home does not count it yet.
OWN_PART_S = PROBATION_S
# An instance that knows no members issues nothing for this long after its start: the others may
# issue the whole right.
MEMBERS_WAIT_S = 3.0
# So many peers have to suspect a preferred home that is also silent before its part is used here.
WITNESSES_MIN = 3
# An instance that was silent for this long may return with earlier beats, since its clock may have
# been set back before a restart.
RESTART_TIMEOUT_S = 2.0
MS_PER_S = 1000.0
# Suspected peers that an instance names in its messages. A request tries three homes.
SUSPECTED_NAMES_MAX = 8


@dataclass(slots=True, kw_only=True)
class Peer:
    """State of another instance, as this instance knows it."""

    name: str
    address: str
    data_centre: str = ""
    last_heard_s: float = float("-inf")
    live_since_s: float = float("-inf")
    added_s: float = 0.0
    suspected_until_s: float = 0.0
    suspected_at_s: float = float("-inf")
    suspicion_s: float = SUSPICION_MIN_S
    is_leaving: bool = False
    is_serving: bool = False
    store_reachable: bool = True
    configuration_version: int = 0
    suspected_names: frozenset[str] = frozenset()
    """Instances that did not reply to this peer, so that it does not use them as homes."""
    is_new: bool = False
    """Whether its run has begun lately."""
    is_returned: bool = False
    """Whether it has heard nearly all others again lately."""
    returned_names: frozenset[str] = frozenset()
    """Instances that a peer of an earlier build has heard again lately."""
    returned_until_s: float = float("-inf")
    """Time until which it may not use this instance as a home, as it has heard it again lately."""
    state: PeerState | None = None
    """The latest state that was heard."""
    news_delay_s: float = 0.0
    """Longest time that its states usually take when others pass them on."""
    news_sent_s: float = float("-inf")
    """Time of the latest states of its group that it passed on to this instance."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerChange:
    """What a new state of a peer changes.

    :param was_silent: whether the peer was unknown or silent before.
    :param is_serving_changed: whether it began or ceased to serve.
    :param has_lost_store: whether it lost the store.
    :param is_notable: whether other instances should learn of the state soon.
    """

    was_silent: bool = False
    is_serving_changed: bool = False
    has_lost_store: bool = False
    is_notable: bool = False


NO_CHANGE = PeerChange()


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerCounts:
    """Numbers of peers, for metrics and logs.

    :param settled: live peers that were heard for ``SETTLED_S`` without a gap.
    :param naming_own: live peers that may not use this instance as a home yet, as they have heard
        it again lately.
    """

    known: int
    live: int
    settled: int
    naming_own: int


class PeerTable:
    """Peers of one instance.

    :param own_name: this instance's name.
    :param heartbeat_s: interval of the peers' heartbeats, which grows with the fleet.
    :param now_s: start time of this instance. Instances that start together are on probation
        together, so they agree on the homes from the start.
    """

    __slots__ = (
        "_data_centres",
        "_own_live_since_s",
        "_own_name",
        "_largest_size",
        "_largest_size_at_s",
        "_peers",
        "_preferences",
        "_return_notices",
        "_suspected",
        "heartbeat_s",
        "knows_members",
        "membership_version",
        "own_store_reachable",
        "own_is_home",
    )

    def __init__(self, *, own_name: str, heartbeat_s: float, now_s: float = float("-inf")) -> None:
        self._own_live_since_s = now_s
        self._own_name = own_name
        self.heartbeat_s = heartbeat_s
        self._peers: dict[str, Peer] = {}
        # Data centres of the peers, by address.
        self._data_centres: dict[str, str] = {}
        # All known instances in a rendezvous key's order; ``None`` stands for this one.
        self._preferences: dict[bytes, list[Peer | None]] = {}
        self._suspected: list[Peer] = []
        # Peers that are to be told that this instance heard them again, and how often.
        self._return_notices: dict[str, int] = {}
        self._largest_size = 1
        self._largest_size_at_s = float("-inf")
        # Rises with each change of the known peers or their data centres.
        self.membership_version = 0
        self.own_is_home = True
        self.own_store_reachable = True
        # Whether the store or a peer has told which instances there are.
        self.knows_members = True

    @property
    def peers(self) -> list[Peer]:
        """All known peers."""
        return list(self._peers.values())

    def data_centre_of(self, address: str) -> str:
        """Return the data centre of the peer with an address, empty when it is not known."""
        return self._data_centres.get(address, "")

    def peer(self, name: str) -> Peer | None:
        """Return a known peer."""
        return self._peers.get(name)

    def add(self, name: str, address: str, now_s: float, *, data_centre: str = "") -> bool:
        """Add a peer that the platform or another peer named.

        :param data_centre: the peer's data centre, empty when it is not known.
        :returns: whether the peer is new.
        """
        if name == self._own_name:
            return False
        known = self._peers.get(name)
        if known is None:
            self._peers[name] = Peer(
                name=name, address=address, data_centre=data_centre, added_s=now_s
            )
            self._data_centres[address] = data_centre
            self._record_membership_change()
            return True
        if known.address != address and not self.is_live(known, now_s):
            known.address = address
        return False

    def record_state(
        self,
        state: PeerState,
        *,
        data_centre: str,
        heard_s: float,
        now_s: float,
        news_delay_s: float,
    ) -> PeerChange | None:
        """Record the state of a peer, as it sent it or as others passed it on.

        :param heard_s: time at which the peer sent the state.
        :param news_delay_s: longest time that the peer's states usually take on their way.
        :returns: what changed; ``None`` when a later state is known, or the address of an unknown
            peer is not given.
        """
        peer = self._peers.get(state.name)
        if peer is None:
            if not state.address or state.name == self._own_name:
                return None
            self.add(state.name, state.address, now_s, data_centre=data_centre)
            peer = self._peers[state.name]
        known = peer.state
        is_restart = now_s - peer.last_heard_s > RESTART_TIMEOUT_S
        if known is not None and state.beat <= known.beat and not is_restart:
            return None
        was_silent = not self.is_live(peer, now_s)
        # A run that replaced an earlier one within the heartbeat timeout holds none of its rights.
        is_new_run = known is not None and state.started_ms != known.started_ms
        peer.state = state
        peer.news_delay_s = news_delay_s
        peer.last_heard_s = max(peer.last_heard_s, heard_s)
        if state.address and state.address != peer.address:
            self._data_centres.pop(peer.address, None)
            peer.address = state.address
        self._set_data_centre(peer, data_centre)
        if state.suspected_names or peer.suspected_names:
            peer.suspected_names = frozenset(state.suspected_names)
        if state.returned_names or peer.returned_names:
            peer.returned_names = frozenset(state.returned_names)
        peer.is_new = state.is_new
        peer.is_returned = state.is_returned
        is_notable = known is None or state.differs_from(known)
        if (was_silent or is_new_run) and self.is_live(peer, now_s):
            self._record_return(peer, now_s)
        if not is_notable and not was_silent:
            return NO_CHANGE
        was_serving = peer.is_serving and not peer.is_leaving
        has_lost_store = peer.store_reachable and not state.store_reachable
        peer.is_leaving = state.is_leaving
        peer.is_serving = state.is_serving
        peer.store_reachable = state.store_reachable
        peer.configuration_version = state.configuration_version
        return PeerChange(
            was_silent=was_silent,
            is_serving_changed=was_serving != (state.is_serving and not state.is_leaving),
            has_lost_store=has_lost_store,
            is_notable=is_notable,
        )

    def _set_data_centre(self, peer: Peer, data_centre: str) -> None:
        self._data_centres[peer.address] = data_centre
        if peer.data_centre != data_centre:
            peer.data_centre = data_centre
            self._record_membership_change()

    def _record_membership_change(self) -> None:
        self._preferences.clear()
        self.membership_version += 1

    def suspect(self, name: str, now_s: float) -> None:
        """Treat a peer as no home for a while, because it did not reply to a request."""
        peer = self._peers.get(name)
        if peer is None or now_s < peer.suspected_until_s:
            return
        was_heard = peer.last_heard_s > peer.suspected_at_s
        peer.suspicion_s = (
            SUSPICION_MIN_S if was_heard else min(SUSPICION_MAX_S, 2 * peer.suspicion_s)
        )
        peer.suspected_at_s = now_s
        peer.suspected_until_s = now_s + peer.suspicion_s
        self._suspected = [entry for entry in self._suspected if entry is not peer] + [peer]

    def suspected_names(self, now_s: float) -> list[str]:
        """Return the names of the peers that this instance suspects, the latest last."""
        self._suspected = [peer for peer in self._suspected if now_s < peer.suspected_until_s]
        return [peer.name for peer in self._suspected[-SUSPECTED_NAMES_MAX:]]

    def _record_return(self, peer: Peer, now_s: float) -> None:
        peer.live_since_s = now_s
        # Instances that start together count each other at once, so that no notice is needed.
        if not (peer.is_new and self.own_is_new(now_s)):
            self._return_notices[peer.name] = RETURN_NOTICE_COUNT

    def own_is_returned(self, now_s: float) -> bool:
        """Return whether nearly all live peers were heard again lately, as after a pause."""
        if self.starts_with_fleet(now_s):
            return False
        counts = self.counts(now_s)
        return counts.settled < SETTLED_SHARE_MIN * counts.live

    def due_return_notices(self, now_s: float) -> list[tuple[str, ReturnNotice]]:
        """Return some notices for peers that were heard again lately, with their addresses."""
        if not self._return_notices:
            return []
        if self.own_is_returned(now_s):
            # The state tells it to all.
            return []
        notices = []
        for name in list(itertools.islice(self._return_notices, RETURN_NOTICES_MAX)):
            count = self._return_notices.pop(name)
            peer = self._peers.get(name)
            if peer is None or _is_settled(peer, now_s):
                continue
            left_ms = int(MS_PER_S * (peer.live_since_s + SETTLED_S - now_s))
            notices.append((peer.address, ReturnNotice(left_ms=left_ms)))
            if count > 1:
                self._return_notices[name] = count - 1
        return notices

    def record_return_notice(self, sender: str, notice: ReturnNotice, now_s: float) -> None:
        """Record that a peer has heard this instance again lately."""
        peer = self._peers.get(sender)
        if peer is not None:
            left_s = min(SETTLED_S, notice.left_ms / MS_PER_S)
            peer.returned_until_s = max(peer.returned_until_s, now_s + left_s)

    def counts(self, now_s: float) -> PeerCounts:
        """Return how many peers are in which state."""
        live = [peer for peer in self._peers.values() if self.is_live(peer, now_s)]
        return PeerCounts(
            known=len(self._peers),
            live=len(live),
            settled=sum(_is_settled(peer, now_s) for peer in live),
            naming_own=sum(self._may_not_use_own(peer, now_s) for peer in live),
        )

    @property
    def pause_limit_s(self) -> float:
        """Time without a state of this instance after which the others may have missed it."""
        return PAUSE_INTERVALS * self.heartbeat_s

    def record_own_pause(self, now_s: float) -> None:
        """Treat all peers as heard again, as they may have used other homes meanwhile."""
        for peer in self._peers.values():
            self._record_return(peer, now_s)

    def record_suspected(self, name: str, suspected_names: Iterable[str]) -> None:
        """Record which instances a peer suspects, by its latest message."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.suspected_names = frozenset(suspected_names)

    @property
    def heartbeat_timeout_s(self) -> float:
        """Time after which a silent peer is not live."""
        return HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_s

    def is_live(self, peer: Peer, now_s: float) -> bool:
        """Return whether a peer was heard within the heartbeat timeout."""
        return now_s - peer.last_heard_s <= self.heartbeat_timeout_s + peer.news_delay_s

    def store_reachable(self, home: Peer | None) -> bool:
        """Return whether the store is reachable for a home; ``None`` stands for this instance."""
        return self.own_store_reachable if home is None else home.store_reachable

    def homes(
        self, rendezvous_key: bytes, now_s: float, *, most: int | None = None
    ) -> list[Peer | None]:
        """Return the live instances by preference for a key; ``None`` stands for this one.

        Instances that reach the store and are not on probation come first, since the others may
        have missed changes.

        :param most: number of instances to return, by default all.
        """
        usable = (
            peer
            for peer in self._eligible_homes(rendezvous_key, now_s)
            if peer is None or now_s >= peer.suspected_until_s
        )
        return list(itertools.islice(usable, most))

    def _eligible_homes(self, rendezvous_key: bytes, now_s: float) -> Iterator[Peer | None]:
        """Iterate over the live instances by preference, including suspected ones."""
        others: list[Peer | None] = []
        probation_start_s = now_s - PROBATION_S
        for peer in self._preference(rendezvous_key):
            if peer is None:
                can_serve = self.own_is_home
                live_since_s = self._own_live_since_s
            else:
                can_serve = peer.is_serving and not peer.is_leaving and self.is_live(peer, now_s)
                live_since_s = peer.live_since_s
            if not can_serve:
                continue
            if self.store_reachable(peer) and live_since_s <= probation_start_s:
                yield peer
            else:
                others.append(peer)
        yield from others

    def _preference(self, rendezvous_key: bytes) -> list[Peer | None]:
        known = self._preferences.get(rendezvous_key)
        if known is None:
            if len(self._preferences) >= PREFERENCES_MAX:
                del self._preferences[next(iter(self._preferences))]
            instances = [None, *self._peers.values()]
            known = self._preferences[rendezvous_key] = sorted(
                instances, key=lambda peer: self._rank(rendezvous_key, peer), reverse=True
            )
        return known

    def _rank(self, rendezvous_key: bytes, peer: Peer | None) -> tuple[int, str]:
        name = self._own_name if peer is None else peer.name
        return _weight(rendezvous_key, name), name

    def has_competing_home(self, rendezvous_key: bytes, now_s: float) -> bool:
        """Return whether an instance of higher preference may also act as a key's home now."""
        preferred = itertools.takewhile(
            lambda peer: peer is not None, self._preference(rendezvous_key)
        )
        return any(
            not peer.is_leaving and now_s - peer.last_heard_s <= COMPETING_HOME_TIMEOUT_S
            for peer in preferred
        )

    def fleet_share(self, now_s: float) -> float:
        """Return the fraction of the known fleet that is live and settled, with this instance."""
        settled_count = sum(
            self.is_live(peer, now_s) and _is_settled(peer, now_s) for peer in self._peers.values()
        )
        return self._share(1 + settled_count, now_s)

    def own_share(self, now_s: float) -> float:
        """Return the fraction of a right that this instance issues when it decides alone."""
        return self._share(1, now_s)

    def lent_share(self, rendezvous_key: bytes, now_s: float, *, inherited: float = 0.0) -> float:
        """Return the fraction of the known fleet that uses this instance as a key's home.

        The others use an instance of higher preference, or do not receive this one's replies. Each
        instance counts at one home only, so the shares of all homes add up to one at most.

        :param inherited: fraction that a former home has given up in favour of this one, which
            counts also before its users are settled.
        """
        heard = self._heard_peers(now_s)
        users = self._user_count(rendezvous_key, heard, now_s)
        if inherited:
            using = self._user_count(rendezvous_key, heard, now_s, counts_unsettled=True)
            users = max(users, min(using, inherited * self._fleet_size(now_s)))
        return self._share(users, now_s)

    def starts_with_fleet(self, now_s: float) -> bool:
        """Return whether this instance is new and hears no peer that is not."""
        return self.own_is_new(now_s) and not any(
            self.is_live(peer, now_s) and not peer.is_new for peer in self._peers.values()
        )

    def own_rank(self, rendezvous_key: bytes) -> int:
        """Return how many known instances come before this one for a key."""
        return self._preference(rendezvous_key).index(None)

    def lendable_share(self, now_s: float) -> float:
        """Return the fraction that would use this instance if no other one were preferred."""
        users = 1 + sum(
            self._own_name not in peer.suspected_names and self._lends(peer, now_s)
            for peer in self._heard_peers(now_s)
        )
        return self._share(users, now_s)

    def preferred_home(self, rendezvous_key: bytes, now_s: float) -> Peer | None:
        """Return the live instance of highest preference, also a suspected one."""
        return next(self._eligible_homes(rendezvous_key, now_s), None)

    def user_share(self, rendezvous_key: bytes, now_s: float) -> float:
        """Return the fraction that uses this instance as a key's home, of those it hears."""
        heard = self._heard_peers(now_s)
        return self._user_count(rendezvous_key, heard, now_s) / (1 + len(heard))

    def uses_own_part(self, home: Peer | None, now_s: float) -> bool:
        """Return whether this instance's own part of a right is not with its home yet."""
        if home is None or (home.is_new and self.own_is_new(now_s)):
            return False
        return now_s - home.live_since_s < OWN_PART_S

    def own_is_new(self, now_s: float) -> bool:
        """Return whether this instance has started lately."""
        return now_s - self._own_live_since_s < NEW_S

    def is_settling(self, home: Peer | None, now_s: float) -> bool:
        """Return whether a home may not issue this instance's part of a right yet."""
        return home is not None and not _is_settled(home, now_s)

    def _share(self, count: float, now_s: float) -> float:
        """Return the fraction of the fleet that some instances are."""
        if not self.knows_members and now_s - self._own_live_since_s < MEMBERS_WAIT_S:
            return 0.0
        return min(1.0, count / self._fleet_size(now_s))

    def is_store_lost(self, now_s: float) -> bool:
        """Return whether most of the known fleet is live and does not reach the store."""
        lost_count = (not self.own_store_reachable) + sum(
            not peer.store_reachable and self.is_live(peer, now_s) for peer in self._peers.values()
        )
        return 2 * lost_count > self._fleet_size(now_s)

    def _live_count(self, now_s: float) -> int:
        return sum(self.is_live(peer, now_s) for peer in self._peers.values())

    def _fleet_size(self, now_s: float) -> int:
        """Return the number of instances that share a right, this one included."""
        staying = sum(not peer.is_leaving for peer in self._peers.values())
        return 1 + max(staying, self._live_count(now_s))

    def _heard_peers(self, now_s: float) -> list[Peer]:
        heard_since_s = now_s - LENDER_TIMEOUT_INTERVALS * self.heartbeat_s
        return [
            peer
            for peer in self._peers.values()
            if peer.last_heard_s + peer.news_delay_s >= heard_since_s
        ]

    def _user_count(
        self,
        rendezvous_key: bytes,
        heard: list[Peer],
        now_s: float,
        *,
        counts_unsettled: bool = False,
    ) -> int:
        heard_names = {peer.name for peer in heard}
        witnesses = Counter(name for peer in heard for name in peer.suspected_names)
        preferred = {
            peer.name
            for peer in itertools.takewhile(
                lambda peer: peer is not None, self._eligible_homes(rendezvous_key, now_s)
            )
            if peer.name in heard_names or witnesses[peer.name] < WITNESSES_MIN
        }
        return preferred.issubset(self.suspected_names(now_s)) + sum(
            self._own_name not in peer.suspected_names
            and preferred <= peer.suspected_names
            and (counts_unsettled or self._lends(peer, now_s))
            for peer in heard
        )

    def _lends(self, peer: Peer, now_s: float) -> bool:
        """Return whether a peer uses this instance where it prefers no other one.

        Instances that start together count each other at once: nobody counts them from before, and
        their buckets are empty.
        """
        if peer.is_new and self.own_is_new(now_s):
            return True
        return _is_settled(peer, now_s) and not self._may_not_use_own(peer, now_s)

    def _may_not_use_own(self, peer: Peer, now_s: float) -> bool:
        """Return whether a peer has heard this instance again too lately to use it as a home."""
        return (
            peer.is_returned
            or now_s < peer.returned_until_s
            or self._own_name in peer.returned_names
        )

    def size(self) -> int:
        """Return the number of known instances, this one included."""
        return 1 + len(self._peers)

    def largest_size(self, now_s: float) -> int:
        """Return the largest number of known instances of the last minutes.

        Instances that are cut off from this one for long may still use their part of a right.
        """
        is_outdated = now_s - self._largest_size_at_s > LARGEST_SIZE_EXPIRY_S
        if self.size() >= self._largest_size or is_outdated:
            self._largest_size = self.size()
            self._largest_size_at_s = now_s
        return self._largest_size

    def expire_silent(self, now_s: float) -> list[str]:
        """Remove silent peers after ``PEER_EXPIRY_S``, leaving ones after the heartbeat timeout.

        :returns: the names of the removed peers.
        """
        dropped = []
        for peer in list(self._peers.values()):
            silent_s = now_s - max(peer.last_heard_s, peer.added_s)
            if silent_s > (self.heartbeat_timeout_s if peer.is_leaving else PEER_EXPIRY_S):
                del self._peers[peer.name]
                self._data_centres.pop(peer.address, None)
                self._record_membership_change()
                dropped.append(peer.name)
        return dropped


def _is_settled(peer: Peer, now_s: float) -> bool:
    return now_s - peer.live_since_s >= SETTLED_S


def _weight(rendezvous_key: bytes, name: str) -> int:
    return xxhash.xxh3_64_intdigest(rendezvous_key + b"\x00" + name.encode())
