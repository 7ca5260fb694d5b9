"""Replay of a fleet whose instances send over links of limited rate."""

import heapq
import itertools

import msgspec
from home_replay import HEARTBEAT_S, FleetReplay
from tanagerreach_core.messages import Envelope, InstanceIncarnation
from tanagerreach_core.placement import TICK_S

BITS_PER_BYTE = 8
# Headers of Ethernet, IP and UDP, and the MAC that the daemon puts before each message.
DATAGRAM_OVERHEAD_BYTES = 42 + 16
# Time in which a packet passes a link besides the time in its queues.
DELAY_S = 0.002
# Datagrams that would wait for longer in the queue of a link are dropped.
QUEUE_S = 0.1


class _Link:
    __slots__ = ("byte_count", "dropped_count", "free_s")

    def __init__(self):
        self.free_s = 0.0
        self.byte_count = 0
        self.dropped_count = 0

    def pass_on(self, size_bytes, bytes_per_s, now_s):
        """Return the time at which a datagram has passed, ``None`` when it is dropped."""
        start_s = max(self.free_s, now_s)
        if start_s - now_s > QUEUE_S:
            self.dropped_count += 1
            return None
        self.byte_count += size_bytes
        self.free_s = start_s + size_bytes / bytes_per_s
        return self.free_s


class LinkedFleet(FleetReplay):
    """Instances that start within a short time; each has a link out and a link in.

    :param spread_s: time within which the instances start.
    """

    def __init__(self, seed, instance_count, make_instance, *, link_mbit_per_s, spread_s):
        super().__init__(seed, instance_count, make_instance)
        self.bytes_per_s = link_mbit_per_s * 1e6 / BITS_PER_BYTE
        self.out_links = {name: _Link() for name in self.names}
        self.in_links = {name: _Link() for name in self.names}
        self._in_flight = []
        self._number = itertools.count()
        self._encoder = msgspec.msgpack.Encoder()
        # The latest message and its size, as it goes to several receivers in a row.
        self._measured = (None, 0)
        self.start_s = {name: self.random.uniform(0.0, spread_s) for name in self.names}
        self.instances = {name: make_instance(name, self.start_s[name]) for name in self.names}
        for instance in self.instances.values():
            for other in self.instances.values():
                instance.table.add(other.name, other.name, 0.0, data_centre=other.data_centre)
        self._due = [
            (self.start_s[name] + pause_s, name, is_heartbeat)
            for name in self.names
            for pause_s, is_heartbeat in (
                (self.random.uniform(0, TICK_S), False),
                (self.random.uniform(0, HEARTBEAT_S / 10), True),
            )
        ]
        heapq.heapify(self._due)

    def name_of(self, number):
        # As long as names and addresses of deployments are.
        return f"i{number:019}"

    def size_bytes(self, sender, message):
        """Return the size of a message on the link."""
        measured, size = self._measured
        if measured is not message:
            envelope = Envelope(
                sender=InstanceIncarnation(instance_id=sender, incarnation=1_800_000_000_000),
                counter=100_000,
                hybrid_time=1 << 60,
                message=message,
            )
            size = DATAGRAM_OVERHEAD_BYTES + len(self._encoder.encode(envelope))
            self._measured = (message, size)
        return size

    def send(self, sender, receiver, message, now_s):
        self.sent_count += 1
        self.on_sent(sender, receiver, message)
        size = self.size_bytes(sender, message)
        sent_s = self.out_links[sender].pass_on(size, self.bytes_per_s, now_s)
        if sent_s is not None and not self.is_lost(sender, receiver):
            arrives_s = sent_s + DELAY_S
            number = next(self._number)
            heapq.heappush(
                self._in_flight, (arrives_s, number, sender, receiver, message, size, False)
            )

    def advance(self, now_s):
        while True:
            due_s = self._due[0][0]
            arrives_s = self._in_flight[0][0] if self._in_flight else float("inf")
            if min(due_s, arrives_s) > now_s:
                return
            if due_s <= arrives_s:
                self._send_due()
            else:
                self._arrive(*heapq.heappop(self._in_flight))

    def _send_due(self):
        due_s, name, is_heartbeat = self._due[0]
        pause_s = HEARTBEAT_S * self.random.uniform(0.9, 1.0) if is_heartbeat else TICK_S
        heapq.heapreplace(self._due, (due_s + pause_s, name, is_heartbeat))
        if is_heartbeat:
            self.send_heartbeats(name, due_s)
            return
        for address, message in self.instances[name].news.due_messages(due_s):
            self.send(name, address, message, due_s)

    def _arrive(self, now_s, _, sender, receiver, message, size, has_passed):
        if not has_passed:
            # The link in has a queue as well.
            passed_s = self.in_links[receiver].pass_on(size, self.bytes_per_s, now_s)
            if passed_s is not None:
                entry = (passed_s, next(self._number), sender, receiver, message, size, True)
                heapq.heappush(self._in_flight, entry)
        elif now_s >= self.start_s[receiver]:
            for address, passed_on in self.instances[receiver].receive(sender, message, now_s):
                self.send(receiver, address, passed_on, now_s)
