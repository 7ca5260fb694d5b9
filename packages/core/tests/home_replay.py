"""Replay of a fleet whose homes reply late, are killed and come back."""

import heapq
from abc import ABC, abstractmethod
from random import Random

from tanagerreach_core.messages import Heartbeat, NewsKind, PeerNews, PeerState, ReturnNotice
from tanagerreach_core.placement import TICK_S, FleetNews, PeerTable

INSTANCE_COUNT = 136
HEARTBEAT_S = 0.6
HOMES_TRIED = 3
DATA_CENTRES = ("dc-0", "dc-1", "dc-2", "dc-3", "dc-4")
MS_PER_S = 1000.0


class Instance:
    """An instance with its view of the others.

    :param data_centre_count: number of data centres over which the fleet is spread.
    """

    def __init__(self, name, started_s, data_centre_count=3):
        number = int(name.removeprefix("i"))
        self.name = name
        self.data_centre = DATA_CENTRES[number % data_centre_count]
        self.table = PeerTable(own_name=name, heartbeat_s=HEARTBEAT_S, now_s=started_s)
        self.news = FleetNews(
            own_name=name,
            own_data_centre=self.data_centre,
            peer_table=self.table,
            random=Random(number),
        )
        self.is_leaving = False
        # Times of a replay may be negative.
        self.started_ms = int(MS_PER_S * (started_s + 1000.0))

    def state(self, now_s):
        return PeerState(
            name=self.name,
            # Times of a replay may be negative.
            beat=int(MS_PER_S * (now_s + 1000.0)),
            address=self.name,
            is_leaving=self.is_leaving,
            is_serving=True,
            suspected_names=self.table.suspected_names(now_s),
            started_ms=self.started_ms,
            is_returned=self.table.own_is_returned(now_s),
            is_new=self.table.own_is_new(now_s),
        )

    def heartbeat(self, now_s):
        """Return a heartbeat, which the instance is about to send to its group."""
        state = self.state(now_s)
        self.news.record_own(state, now_s)
        return Heartbeat(state=state, data_centre=self.data_centre)

    def receive(self, sender, message, now_s):
        """Receive a message.

        :returns: the messages to send at once, with their addresses.
        """
        if isinstance(message, Heartbeat):
            self.news.record_heartbeat(message, now_s)
            return []
        if isinstance(message, ReturnNotice):
            self.table.record_return_notice(sender, message, now_s)
            return []
        return self.news.record_news(sender, message, now_s)[1]

    def learn_suspected(self, sender, now_s):
        self.table.record_suspected(sender.name, sender.table.suspected_names(now_s))


class FleetReplay:
    """Instances that send each other their heartbeats and news; messages arrive at once.

    :param make_instance: builds an instance from its name and start.
    """

    def __init__(self, seed, instance_count, make_instance):
        self.random = Random(seed)
        self.make_instance = make_instance
        self.names = [self.name_of(number) for number in range(instance_count)]
        self.instances = {name: make_instance(name, -10.0) for name in self.names}
        self.down = set()
        self.sent_count = 0
        # Times of the next heartbeats and ticks: time, instance, whether it is a heartbeat.
        self._due = [(self.random.uniform(0, TICK_S), name, False) for name in self.names]
        self._due += [(self.random.uniform(0, HEARTBEAT_S), name, True) for name in self.names]
        heapq.heapify(self._due)
        states = {}
        for instance in self.instances.values():
            instance.news.record_own(instance.state(0.0), 0.0)
            states.setdefault(instance.data_centre, []).append(instance.state(0.0))
        complete = PeerNews(kind=NewsKind.COMPLETE, states=states)
        for instance in self.instances.values():
            instance.news.record_news("", complete, 0.0)
            for peer in instance.table.peers:
                peer.live_since_s = -10.0

    def name_of(self, number):
        """Return the name of an instance."""
        return f"i{number}"

    def is_lost(self, sender, receiver):
        """Return whether a message between two instances is lost."""
        return sender in self.down or receiver in self.down or self.is_cut(sender, receiver)

    def on_sent(self, sender, receiver, message):
        """Observe a message that is sent."""

    def is_cut(self, sender, receiver):
        """Return whether the path between two instances loses a message."""
        return False

    def restart(self, name, now_s):
        """Start an instance anew, which asks an instance of its group for all states."""
        self.down.discard(name)
        instance = self.instances[name] = self.make_instance(name, now_s)
        group = [peer for peer in self.instances.values() if peer is not instance]
        asked = next(
            peer
            for peer in group
            if peer.data_centre == instance.data_centre and not self.is_lost(peer.name, name)
        )
        for news in asked.news.complete_news(now_s):
            instance.receive(asked.name, news, now_s)
        self.send_heartbeats(name, now_s)

    def advance(self, now_s):
        """Send what is due."""
        while self._due[0][0] <= now_s:
            due_s, name, is_heartbeat = self._due[0]
            pause_s = HEARTBEAT_S * self.random.uniform(0.9, 1.0) if is_heartbeat else TICK_S
            heapq.heapreplace(self._due, (due_s + pause_s, name, is_heartbeat))
            if name in self.down:
                continue
            if is_heartbeat:
                self.send_heartbeats(name, due_s)
            else:
                for address, message in self.instances[name].news.due_messages(due_s):
                    self.send(name, address, message, due_s)

    def send_heartbeats(self, name, now_s):
        heartbeat = self.instances[name].heartbeat(now_s)
        for peer in self.instances[name].news.group_peers():
            self.send(name, peer.address, heartbeat, now_s)

    def send(self, sender, receiver, message, now_s):
        self.sent_count += 1
        self.on_sent(sender, receiver, message)
        if not self.is_lost(sender, receiver):
            for address, passed_on in self.instances[receiver].receive(sender, message, now_s):
                self.send(receiver, address, passed_on, now_s)


class HomeReplay(ABC):
    """Simulates the requests for one right while its homes fail.

    The homes reply too late to some requests for two periods, so that instances use other homes or
    decide alone. The first home is killed and comes back.

    :param key: rendezvous key of the right.
    """

    LENGTH_S = 26.0
    OVERLOADS_S = ((6.0, 9.0), (18.0, 21.0))
    # Share of the requests that the first, second and third home reply to in time.
    REPLY_SHARES = (0.3, 0.6, 1.0)
    KILLED_S, RETURNED_S = 11.0, 14.0

    def __init__(self, seed, key, requests_per_s, instance_count=INSTANCE_COUNT):
        self.random = Random(seed)
        self.key = key
        self.requests_per_s = requests_per_s
        self.fleet = FleetReplay(seed, instance_count, self.make_instance)
        self.names = names = self.fleet.names
        homes = self.instances[names[0]].table.homes(key, 0.0, most=HOMES_TRIED)
        self.homes = [names[0] if home is None else home.name for home in homes]

    @property
    def instances(self):
        return self.fleet.instances

    @abstractmethod
    def make_instance(self, name, started_s):
        """Return an instance that starts."""

    @abstractmethod
    def request(self, requester, now_s):
        """Make one request at an instance that is up."""

    @abstractmethod
    def advance(self, now_s):
        """Do what is due before a request."""

    def run(self):
        now_s = 0.0
        has_returned = False
        while now_s < self.LENGTH_S:
            now_s += self.random.expovariate(self.requests_per_s)
            if self.KILLED_S <= now_s < self.RETURNED_S:
                self.fleet.down.add(self.homes[0])
            elif now_s >= self.RETURNED_S and not has_returned:
                has_returned = True
                self.fleet.restart(self.homes[0], now_s)
            self.fleet.advance(now_s)
            self.advance(now_s)
            requester = self.instances[self.random.choice(self.names)]
            if self.is_up(requester.name, now_s):
                self.request(requester, now_s)
        return self

    def is_up(self, name, now_s):
        return name not in self.fleet.down

    def replies(self, name, now_s):
        if not any(start_s <= now_s < end_s for start_s, end_s in self.OVERLOADS_S):
            return True
        shares = dict(zip(self.homes, self.REPLY_SHARES, strict=True))
        return self.random.random() < shares.get(name, 1.0)
