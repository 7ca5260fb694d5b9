"""Detects callers that closed their connection, and cancels their requests."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from ._sockets import peek_input

SWEEP_INTERVAL_S = 0.1


class CallerDisconnectedError(BaseException):
    """Raised in the greenlet of a request whose caller closed the connection.

    It is not an :class:`Exception`, so that handlers of upstream errors do not catch it.

    :param broken_by: identifier of an earlier request whose response broke the connection, empty
        when the caller closed it.
    """

    def __init__(self, broken_by: str = "") -> None:
        super().__init__(broken_by)
        self.broken_by = broken_by


@dataclass(slots=True, eq=False)
class _WatchedRequest:
    connection: Any
    greenlet: gevent.Greenlet


class CallerWatch:
    """Checks the connections of all watched requests several times a second.

    A caller that half-closes its connection counts as disconnected, as in most HTTP servers.
    """

    __slots__ = ("_watched",)

    def __init__(self) -> None:
        self._watched: dict[_WatchedRequest, None] = {}

    def __len__(self) -> int:
        return len(self._watched)

    def watch(self, environ: dict[str, Any]) -> Callable[[], None]:
        """Watch the caller of the current greenlet's request, to cancel it on disconnection.

        :returns: function that ends the watch; it may be called several times.
        """
        connection = environ.get("tanagerreach.socket")
        if connection is None:
            return _no_op
        entry = _WatchedRequest(connection, gevent.getcurrent())
        self._watched[entry] = None
        return lambda: self._watched.pop(entry, None)

    def run(self) -> None:
        """Check the connections at regular intervals, until the greenlet is killed."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Cancel the requests whose callers have disconnected."""
        for entry in list(self._watched):
            if is_closed(entry.connection):
                del self._watched[entry]
                gevent.kill(entry.greenlet, CallerDisconnectedError())


def _no_op() -> None:
    """Do nothing, in place of ending a watch."""


def is_closed(connection: Any) -> bool:
    """Return whether the caller closed a connection; false while unread data precedes the end."""
    return peek_input(connection) == b""
