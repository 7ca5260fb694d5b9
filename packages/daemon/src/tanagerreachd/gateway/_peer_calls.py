"""Questions to peers over datagrams that may get lost, and the waiting for their answers."""

import itertools
from collections.abc import Callable
from typing import Any

import gevent
from gevent.queue import Empty, Queue

REPLY_TIMEOUT_S = 0.05
"""First wait for an answer: a few round trips between data centres. It doubles each time."""
SEND_COUNT = 3
END_RETRY_S = 0.1
END_SEND_COUNT = 4

Send = Callable[[str, Any], None]


class PeerCalls:
    """Sends questions, repeats them, and gives each answer to who asked.

    :param send: sends a message to an address.
    """

    __slots__ = ("_ids", "_unconfirmed", "_waiting", "send")

    def __init__(self, *, send: Send) -> None:
        self.send = send
        self._ids = itertools.count(1)
        self._waiting: dict[int, Queue] = {}
        self._unconfirmed: dict[int, tuple[str, Any]] = {}

    def next_id(self) -> int:
        """Return an id for a question."""
        return next(self._ids)

    def open(self, call_id: int) -> Queue:
        """Start to collect the answers to a question."""
        queue = self._waiting[call_id] = Queue()
        return queue

    def close(self, call_id: int) -> None:
        """Stop to collect answers."""
        self._waiting.pop(call_id, None)

    def call(self, address: str, message: Any, queue: Queue) -> Any | None:
        """Send a question up to its first answer.

        :param queue: what :meth:`open` returned for the question's id.
        :returns: the answer, or ``None`` when there is none.
        """
        timeout_s = REPLY_TIMEOUT_S
        for _ in range(SEND_COUNT):
            self.send(address, message)
            try:
                return queue.get(timeout=timeout_s)
            except Empty:
                timeout_s *= 2
        return None

    def deliver(self, reply: Any) -> bool:
        """Give an answer to who asked.

        :returns: false when nobody waits for it.
        """
        queue = self._waiting.get(reply.call_id)
        if queue is None:
            return False
        queue.put(reply)
        return True

    def send_until_confirmed(self, address: str, message: Any) -> None:
        """Send a message some times until the peer confirms it, without waiting."""
        self._unconfirmed[message.call_id] = (address, message)
        self.send(address, message)
        gevent.spawn_later(END_RETRY_S, self._repeat, message.call_id, 1)

    def confirmed(self, call_id: int) -> None:
        """Note that a peer has received a message."""
        self._unconfirmed.pop(call_id, None)

    def _repeat(self, call_id: int, sent_count: int) -> None:
        if call_id not in self._unconfirmed:
            return
        address, message = self._unconfirmed[call_id]
        if sent_count >= END_SEND_COUNT:
            del self._unconfirmed[call_id]
            return
        self.send(address, message)
        gevent.spawn_later(END_RETRY_S * 2**sent_count, self._repeat, call_id, sent_count + 1)
