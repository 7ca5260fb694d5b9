"""Callers' connections within the budget of the instance."""

import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from tanagerreach_core.callers import BudgetDecision, CallerAccount, CallerBudget

from . import _clock
from ._lingering_close import CloseCause

# Greenlet, handler, read buffer and socket of a connection that waits for a request.
CONNECTION_BYTES = 32 * 1024
# Head, environment, handler and greenlet of a request.
REQUEST_BYTES = 40 * 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerRoom:
    """Memory and descriptors for all connections of a listener.

    :param descriptors: number of connections, and of targets' connections used for responses that
        are passed on in parts.
    """

    memory_bytes: float = float("inf")
    descriptors: float = float("inf")


class CallerConnection:
    """One connection, with what it holds.

    ``close_cause`` is why it has to close, as far as is known yet; ``ended_s``, the monotonic time
    since which nothing more is sent on it; ``dropped_input``, the beginning of a request that was
    read after that; ``leaves_input_unread``, whether what arrives after that is not read.
    """

    __slots__ = (
        "_connections",
        "account",
        "close_cause",
        "dropped_input",
        "ended_s",
        "leaves_input_unread",
        "socket",
    )

    def __init__(self, connections: "CallerConnections", sock: Any, account: CallerAccount) -> None:
        self._connections = connections
        self.socket = sock
        self.account = account
        self.close_cause = CloseCause.CALLER
        self.ended_s = 0.0
        self.dropped_input = b""
        self.leaves_input_unread = False

    @property
    def is_evicted(self) -> bool:
        """Whether the connection has to give way to others."""
        return self.account.is_evicted

    def take(self, size_bytes: int, *, descriptors: int = 0, is_due: bool = False) -> bool:
        """Take room.

        :param is_due: see :meth:`CallerBudget.take`.
        :returns: whether there is room; not granted when the connection itself gives way.
        """
        return self._connections.take(self, size_bytes, descriptors, is_due)

    def give_back(self, size_bytes: int, *, descriptors: int = 0) -> None:
        """Return room."""
        self._connections.budget.give_back(self.account, size_bytes, descriptors=descriptors)

    def record_progress(self, size_bytes: int) -> None:
        """Record bytes that the caller sent or read."""
        self.account.record_progress(size_bytes, _clock.now_s())


class RequestRoom:
    """What one request holds of its connection's room, returned at once at its end."""

    __slots__ = ("_connection", "_held_bytes", "_held_descriptors")

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._held_bytes = 0
        self._held_descriptors = 0

    @property
    def is_evicted(self) -> bool:
        """Whether the connection has to give way to others."""
        return self._connection.is_evicted

    def begin(self) -> bool:
        """Take room for a request whose first bytes arrived."""
        account = self._connection.account
        if not account.serving_count:
            # Requests sent ahead are no progress, as their caller may not read.
            self._connection.record_progress(REQUEST_BYTES)
        return self.take(REQUEST_BYTES)

    def take(self, size_bytes: int, *, descriptors: int = 0, is_due: bool = False) -> bool:
        """Take room; see :meth:`CallerConnection.take`."""
        if not self._connection.take(size_bytes, descriptors=descriptors, is_due=is_due):
            return False
        self._held_bytes += size_bytes
        self._held_descriptors += descriptors
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return a part of the memory."""
        self._held_bytes -= size_bytes
        self._connection.give_back(size_bytes)

    def release(self) -> None:
        """Return everything."""
        if self._held_bytes or self._held_descriptors:
            self._connection.give_back(self._held_bytes, descriptors=self._held_descriptors)
            self._held_bytes = self._held_descriptors = 0

    @contextlib.contextmanager
    def reading(self) -> Iterator[None]:
        """Mark that a part of the body is awaited from the caller."""
        account = self._connection.account
        account.is_reading = True
        try:
            yield
        finally:
            account.is_reading = False

    def record_progress(self, size_bytes: int) -> None:
        """Record bytes of the body."""
        self._connection.record_progress(size_bytes)


class CallerConnections:
    """All connections of a listener.

    :param room: what they may hold together.
    :param on_event: called with the cause of each refusal or close for lack of room.
    """

    def __init__(
        self, *, room: CallerRoom | None = None, on_event: Callable[[str], None] | None = None
    ) -> None:
        room = room or CallerRoom()
        self.budget = CallerBudget(
            limit_bytes=room.memory_bytes, limit_descriptors=room.descriptors
        )
        self._on_event = on_event
        self._by_account: dict[CallerAccount, CallerConnection] = {}
        self._events: Counter[str] = Counter()

    def open(self, sock: Any) -> CallerConnection | None:
        """Take room for a new connection; ``None`` when it has to be closed."""
        account, decision = self.budget.open(CONNECTION_BYTES, _clock.now_s())
        if not decision.is_granted:
            self.budget.close(account)
            self._record("connection-refused")
            return None
        connection = self._by_account[account] = CallerConnection(self, sock, account)
        self._evict(decision)
        return connection

    def close(self, connection: CallerConnection) -> None:
        """Return all that a connection holds."""
        self.budget.close(connection.account)
        self._by_account.pop(connection.account, None)

    def take(
        self, connection: CallerConnection, size_bytes: int, descriptors: int, is_due: bool
    ) -> bool:
        """Take room for a connection; see :meth:`CallerConnection.take`."""
        decision = self.budget.take(
            connection.account,
            size_bytes,
            _clock.now_s(),
            descriptors=descriptors,
            is_due=is_due,
        )
        self._evict(decision)
        if not (decision.is_granted or connection.is_evicted):
            self._record("request-refused")
        return decision.is_granted and not connection.is_evicted

    def take_events(self) -> Counter[str]:
        """Return the number of refusals and closes by cause since the last call."""
        events, self._events = self._events, Counter()
        return events

    def _evict(self, decision: BudgetDecision) -> None:
        """Wake the handlers of the connections that have to give way.

        A handler that reads ends its request with a refusal if nothing ran.
        """
        for account in decision.evicted:
            connection = self._by_account[account]
            how = socket.SHUT_RDWR if account.is_sending else socket.SHUT_RD
            with contextlib.suppress(OSError):
                connection.socket.shutdown(how)
            if account.is_sending:
                self._record("response-closed")
            elif account.is_reading:
                self._record("body-closed")
            else:
                self._record("connection-closed")

    def _record(self, cause: str) -> None:
        self._events[cause] += 1
        if self._on_event is not None:
            self._on_event(cause)
