"""Requests to peers over datagrams that may be lost, with retransmission and reply matching."""

import itertools
import secrets
from collections.abc import Callable
from typing import Any

import gevent
from gevent.queue import Empty, Queue

# Initial wait for a reply: a few round trips between data centres. Doubles with each send.
REPLY_TIMEOUT_S = 0.05
SEND_COUNT = 3
COMPLETION_RETRY_S = 0.1
COMPLETION_SEND_COUNT = 4
# Call ids start at a random number of this size, which leaves room below the 64 bits of a message.
FIRST_CALL_ID_BITS = 62

Send = Callable[[str, Any], None]


class PeerCalls:
    """Sends requests, retransmits them, and passes each reply to the greenlet that waits for it.

    Peers know an instance by its name and may still hold calls of its earlier run. The ids of each
    run therefore start at a random number, so that no run uses an id of another.

    :param send: sends a message to an address.
    :param send_request: the same for a message whose reply is awaited; raises
        ``MessageTooLargeError`` when that is not possible. By default it is ``send``.
    """

    __slots__ = ("_ids", "_send_request", "_unconfirmed", "_waiting", "send")

    def __init__(self, *, send: Send, send_request: Send | None = None) -> None:
        self.send = send
        self._send_request = send_request or send
        # Zero is the id of no call; see ``RESPONDED``.
        self._ids = itertools.count(secrets.randbits(FIRST_CALL_ID_BITS) + 1)
        self._waiting: dict[int, Queue] = {}
        self._unconfirmed: dict[int, tuple[str, Any]] = {}

    def next_id(self) -> int:
        """Return a new call id."""
        return next(self._ids)

    def open(self, call_id: int) -> Queue:
        """Start to collect the replies to a request."""
        queue = self._waiting[call_id] = Queue()
        return queue

    def close(self, call_id: int) -> None:
        """Stop collecting replies."""
        self._waiting.pop(call_id, None)

    def call(self, address: str, message: Any, queue: Queue) -> Any | None:
        """Send a request until its first reply.

        :param queue: the queue that :meth:`open` returned for the call id.
        :returns: the reply, ``None`` when there is none.
        :raises MessageTooLargeError: when the request does not fit into a datagram.
        """
        timeout_s = REPLY_TIMEOUT_S
        for _ in range(SEND_COUNT):
            self._send_request(address, message)
            try:
                return queue.get(timeout=timeout_s)
            except Empty:
                timeout_s *= 2
        return None

    def deliver(self, reply: Any) -> bool:
        """Pass a reply to the greenlet that waits for it.

        :returns: false when none waits.
        """
        queue = self._waiting.get(reply.call_id)
        if queue is None:
            return False
        queue.put(reply)
        return True

    def send_until_confirmed(self, address: str, message: Any) -> None:
        """Send a message and retransmit it in the background until the peer acknowledges it.

        Gives up after ``COMPLETION_SEND_COUNT`` sends.
        """
        self._unconfirmed[message.call_id] = (address, message)
        self.send(address, message)
        gevent.spawn_later(COMPLETION_RETRY_S, self._resend, message.call_id, 1)

    def record_ack(self, call_id: int) -> None:
        """Record that a peer acknowledged a message."""
        self._unconfirmed.pop(call_id, None)

    def is_unconfirmed(self, call_id: int) -> bool:
        """Return whether a message with this call id is sent until a peer acknowledges it."""
        return call_id in self._unconfirmed

    def _resend(self, call_id: int, sent_count: int) -> None:
        if call_id not in self._unconfirmed:
            return
        address, message = self._unconfirmed[call_id]
        if sent_count >= COMPLETION_SEND_COUNT:
            del self._unconfirmed[call_id]
            return
        self.send(address, message)
        gevent.spawn_later(
            COMPLETION_RETRY_S * 2**sent_count, self._resend, call_id, sent_count + 1
        )
