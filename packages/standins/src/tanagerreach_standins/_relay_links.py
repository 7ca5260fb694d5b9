"""Links of the relay: TCP and UDP forwarding with fault injection in either direction."""

import contextlib
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from socket import AF_INET, IPPROTO_TCP, SHUT_WR, SOCK_DGRAM, TCP_NODELAY
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.queue import Queue
from gevent.server import DatagramServer, StreamServer
from gevent.socket import create_connection, socket

from ._http import LISTEN_BACKLOG, LOOPBACK

TCP_CHUNK_BYTES = 64 * 1024
MAX_DATAGRAM_BYTES = 65_535
# Limits the memory of a held or delayed connection to 64 MB for each direction; beyond that, the
# sender is blocked by TCP flow control.
MAX_QUEUED_CHUNKS = 1024
CONNECT_TIMEOUT_S = 5.0

Address = tuple[str, int]


class DirectionFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of one direction.

    ``drop_ratio`` is the probability that a datagram or a chunk of TCP data is dropped; after a
    dropped chunk the TCP connection delivers nothing more in this direction, but stays open.
    ``delay_s`` delays the delivery; for UDP, a random delay of up to ``jitter_s`` is added, so that
    datagrams are reordered. ``duplicate_ratio`` is the share of datagrams delivered twice (UDP
    only). ``hold`` keeps all data back until it is switched off.
    """

    drop_ratio: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    duplicate_ratio: float = 0.0
    hold: bool = False


class Direction:
    """Faults and counts of one direction of a link."""

    def __init__(self, *, random: Random) -> None:
        self.faults = DirectionFaults()
        self.counts: Counter[str] = Counter()
        self._random = random
        self._released = Event()
        self._released.set()

    def set_faults(self, faults: DirectionFaults) -> None:
        """Replace the faults of the direction."""
        self.faults = faults
        if faults.hold:
            self._released.clear()
        else:
            self._released.set()

    def wait_released(self) -> None:
        """Wait until the direction is not held."""
        self._released.wait()

    def draw_drop(self) -> bool:
        """Draw at random whether the next datagram or chunk is dropped, and count it."""
        is_lost = self._random.random() < self.faults.drop_ratio
        self.counts["dropped" if is_lost else "passed"] += 1
        return is_lost

    def forward_datagram(self, send: Callable[[], Any]) -> None:
        """Deliver a datagram with the configured faults.

        :param send: sends the datagram once.
        """
        if self.draw_drop():
            return
        is_duplicate = self._random.random() < self.faults.duplicate_ratio
        self.counts["duplicated"] += is_duplicate
        for _ in range(2 if is_duplicate else 1):
            delay_s = self.faults.delay_s + self._random.random() * self.faults.jitter_s
            if delay_s > 0 or self.faults.hold:
                gevent.spawn(self._send_later, delay_s, send)
            else:
                send()

    def _send_later(self, delay_s: float, send: Callable[[], Any]) -> None:
        gevent.sleep(delay_s)
        self.wait_released()
        send()


class Link:
    """A listening address and the destination that it forwards to.

    ``forward`` is the direction towards the destination.
    """

    def __init__(self, *, name: str, destination: Address, seed: int) -> None:
        self.name = name
        self.destination = destination
        self.forward = Direction(random=Random(f"{seed}/{name}/forward"))
        self.backward = Direction(random=Random(f"{seed}/{name}/backward"))

    def state(self) -> dict[str, object]:
        """Return the faults and counts of both directions as JSON content."""
        return {
            "name": self.name,
            "forward": {"faults": self.forward.faults, "counts": self.forward.counts},
            "backward": {"faults": self.backward.faults, "counts": self.backward.counts},
        }


class UdpLink(Link):
    """Forwards datagrams, with a separate socket towards the destination for each sender.

    Datagrams that arrive on such a socket are sent to its sender from the listening address.
    """

    def __init__(self, *, name: str, port: int, destination: Address, seed: int) -> None:
        super().__init__(name=name, destination=destination, seed=seed)
        self._server = DatagramServer((LOOPBACK, port), self._receive)
        self._sender_sockets: dict[Address, socket] = {}

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def _receive(self, data: bytes, sender: Address) -> None:
        destination_socket = self._sender_sockets.get(sender) or self._open_socket(sender)
        self.forward.forward_datagram(
            lambda: send_datagram(destination_socket, data, self.destination)
        )

    def _open_socket(self, sender: Address) -> socket:
        destination_socket = socket(AF_INET, SOCK_DGRAM)
        destination_socket.bind((LOOPBACK, 0))
        self._sender_sockets[sender] = destination_socket
        gevent.spawn(self._forward_replies, destination_socket, sender)
        return destination_socket

    def _forward_replies(self, destination_socket: socket, sender: Address) -> None:
        while True:
            self._forward_reply(destination_socket.recv(MAX_DATAGRAM_BYTES), sender)

    def _forward_reply(self, data: bytes, sender: Address) -> None:
        self.backward.forward_datagram(lambda: send_datagram(self._server.socket, data, sender))


class TcpLink(Link):
    """Forwards TCP connections."""

    def __init__(self, *, name: str, port: int, destination: Address, seed: int) -> None:
        super().__init__(name=name, destination=destination, seed=seed)
        self._server = StreamServer((LOOPBACK, port), self._serve, backlog=LISTEN_BACKLOG)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def _serve(self, client: socket, _address: Address) -> None:
        try:
            server = create_connection(self.destination, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            self.forward.counts["connect_failed"] += 1
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        copiers = [
            gevent.spawn(copy_direction, self.forward, client, server),
            gevent.spawn(copy_direction, self.backward, server, client),
        ]
        gevent.joinall(copiers)
        server.close()


def copy_direction(direction: Direction, source: socket, sink: socket) -> None:
    """Copy the data of one direction of a connection until its end."""
    queue: Queue = Queue(maxsize=MAX_QUEUED_CHUNKS)
    writer = gevent.spawn(write_delayed, direction, queue, sink)
    is_lost = False
    with contextlib.suppress(OSError):
        while data := source.recv(TCP_CHUNK_BYTES):
            # TCP never delivers a stream with a gap, so nothing is passed on after a dropped chunk.
            is_lost = is_lost or direction.draw_drop()
            if not is_lost:
                queue.put((time.monotonic() + direction.faults.delay_s, data))
    if is_lost:
        writer.kill()
        return
    queue.put((time.monotonic() + direction.faults.delay_s, b""))
    writer.join()


def write_delayed(direction: Direction, queue: Queue, sink: socket) -> None:
    """Write queued chunks when they are due; an empty chunk ends the stream."""
    with contextlib.suppress(OSError):
        while True:
            due_at_s, data = queue.get()
            gevent.sleep(max(0.0, due_at_s - time.monotonic()))
            direction.wait_released()
            if not data:
                sink.shutdown(SHUT_WR)
                return
            sink.sendall(data)


def send_datagram(sender: socket, data: bytes, address: Address) -> None:
    """Send a datagram; an error, such as an unreachable receiver, counts as a lost datagram."""
    with contextlib.suppress(OSError):
        sender.sendto(data, address)
