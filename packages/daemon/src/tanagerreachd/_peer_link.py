"""Sends and receives authenticated datagrams between instances."""

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from tanagerreach_core.messages import Envelope, InstanceIncarnation, Message

from . import _clock
from ._peer_codec import (
    MAX_DATAGRAM_BYTES,
    AuthenticationError,
    MessageTooLargeError,
    PeerCodec,
    PeerCodecError,
)
from ._timeline import HybridClock, HybridTime

REPLAY_WINDOW_BITS = 128
# A fleet has hundreds of senders; the bound keeps restarted ones from accumulating.
MAX_SENDERS = 4096
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
# Datagrams handled before the loop yields to other greenlets.
RECEIVE_BATCH = 32

MessageHandler = Callable[[InstanceIncarnation, tuple[str, int], Message], None]


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into its parts."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class ReplayWindow:
    """Accepts each counter of one sender incarnation at most once."""

    __slots__ = ("_highest", "_seen", "last_heard_s", "incarnation")

    def __init__(self, *, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_heard_s = 0.0
        self._highest = 0
        self._seen = 0

    def accept(self, counter: int) -> bool:
        """Record a counter; return false if it was seen before or is older than the window."""
        if counter > self._highest:
            self._seen = (self._seen << (counter - self._highest)) & ((1 << REPLAY_WINDOW_BITS) - 1)
            self._seen |= 1
            self._highest = counter
            return True
        age = self._highest - counter
        if age >= REPLAY_WINDOW_BITS or self._seen >> age & 1:
            return False
        self._seen |= 1 << age
        return True


class ReplayGuard:
    """Replay windows of all senders; a later incarnation replaces the earlier one.

    :param restart_timeout_s: time without messages after which a lower incarnation counts as a
        restart with a clock that was set back; by default it never does.
    """

    __slots__ = ("_restart_timeout_s", "_windows")

    def __init__(self, *, restart_timeout_s: float | None = None) -> None:
        self._restart_timeout_s = restart_timeout_s
        self._windows: dict[str, ReplayWindow] = {}

    def accept(self, sender: InstanceIncarnation, counter: int) -> bool:
        """Record a datagram; return whether it is new."""
        window = self._windows.get(sender.instance_id)
        if window is None or sender.incarnation > window.incarnation:
            window = ReplayWindow(incarnation=sender.incarnation)
            self._add(sender.instance_id, window)
        elif sender.incarnation < window.incarnation:
            if not self._was_silent(window):
                return False
            window = ReplayWindow(incarnation=sender.incarnation)
            self._add(sender.instance_id, window)
        window.last_heard_s = _clock.now_s()
        return window.accept(counter)

    def _was_silent(self, window: ReplayWindow) -> bool:
        limit_s = self._restart_timeout_s
        return limit_s is not None and _clock.now_s() - window.last_heard_s > limit_s

    def _add(self, instance_id: str, window: ReplayWindow) -> None:
        if instance_id not in self._windows and len(self._windows) >= MAX_SENDERS:
            del self._windows[next(iter(self._windows))]
        self._windows[instance_id] = window


@dataclass(slots=True, kw_only=True)
class PeerLinkCounters:
    """Counts of datagrams and bytes since the start."""

    sent_count: int = 0
    sent_bytes: int = 0
    received_count: int = 0
    received_bytes: int = 0
    unauthenticated_count: int = 0
    malformed_count: int = 0
    replayed_count: int = 0
    send_failure_count: int = 0
    handler_failure_count: int = 0


class PeerLink:
    """One UDP socket that carries all messages between this instance and its peers.

    :param address: the ``ip:port`` to bind.
    :param sender: incarnation of this instance.
    :param codec: codec with the fleet secret.
    :param clock: hybrid logical clock, sent with each message and merged on receipt.
    :param restart_timeout_s: see :class:`ReplayGuard`.
    :param on_sent: called with the address, the message and the size in bytes of each datagram.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_counter",
        "_greenlet",
        "_guard",
        "_handler",
        "_on_failure",
        "_on_sent",
        "_sender",
        "_socket",
        "address",
        "counters",
    )

    def __init__(
        self,
        *,
        address: str,
        sender: InstanceIncarnation,
        codec: PeerCodec,
        clock: HybridClock,
        restart_timeout_s: float | None = None,
        on_sent: Callable[[str, Message, int], None] | None = None,
    ) -> None:
        self._on_sent = on_sent
        self._clock = clock
        self._codec = codec
        self._sender = sender
        self._counter = 0
        self._guard = ReplayGuard(restart_timeout_s=restart_timeout_s)
        self._handler: MessageHandler | None = None
        self._on_failure: Callable[[BaseException], None] | None = None
        self._greenlet: gevent.Greenlet | None = None
        self.counters = PeerLinkCounters()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(split_address(address))
        self.address = address

    def start(self, handler: MessageHandler, on_failure: Callable[[BaseException], None]) -> None:
        """Start receiving.

        :param handler: called with each message; must not block.
        :param on_failure: called with exceptions that the handler raises, and with the error of
            each message that is too large to be sent.
        """
        self._handler = handler
        self._on_failure = on_failure
        self._greenlet = gevent.spawn(self._receive_loop)

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._socket.close()

    def send(self, address: str, message: Message) -> None:
        """Send one message; errors are only counted and reported, since UDP may lose it anyway."""
        try:
            self.send_request(address, message)
        except MessageTooLargeError as error:
            self.counters.send_failure_count += 1
            if self._on_failure is not None:
                self._on_failure(error)

    def send_request(self, address: str, message: Message) -> None:
        """Send one message whose sender waits for a reply.

        :raises MessageTooLargeError: when it does not fit into a datagram, so that no reply comes.
        """
        self._counter += 1
        envelope = Envelope(
            sender=self._sender,
            counter=self._counter,
            hybrid_time=self._clock.tick().to_int(),
            message=message,
        )
        datagram = self._codec.encode(envelope)
        try:
            self._socket.sendto(datagram, split_address(address))
        except (OSError, OverflowError, ValueError):
            # A peer may have named an address that is none.
            self.counters.send_failure_count += 1
            return
        self.counters.sent_count += 1
        self.counters.sent_bytes += len(datagram)
        if self._on_sent is not None:
            self._on_sent(address, message, len(datagram))

    def _receive_loop(self) -> None:
        handled = 0
        while True:
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as error:
                # A reply from a closed port shows up as ECONNREFUSED on the next receive.
                if error.errno in (errno.ECONNREFUSED, errno.EINTR):
                    continue
                return
            self._receive(datagram, source)
            handled += 1
            if handled % RECEIVE_BATCH == 0:
                gevent.sleep(0)

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        self.counters.received_count += 1
        self.counters.received_bytes += len(datagram)
        try:
            envelope = self._codec.decode(datagram)
        except AuthenticationError:
            self.counters.unauthenticated_count += 1
            return
        except PeerCodecError:
            self.counters.malformed_count += 1
            return
        if not self._guard.accept(envelope.sender, envelope.counter):
            self.counters.replayed_count += 1
            return
        self._clock.observe(HybridTime.from_int(envelope.hybrid_time))
        try:
            self._handler(envelope.sender, source, envelope.message)
        except Exception as error:
            # A message whose handler fails must not end the receive loop.
            self.counters.handler_failure_count += 1
            self._on_failure(error)
