"""Notices callers that closed their connection, and cancels their requests."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

SWEEP_INTERVAL_S = 0.1


class CallerDisconnectedError(BaseException):
    """Raised in the greenlet of a request whose caller closed the connection.

    It is no :class:`Exception`, so that handlers of upstream errors do not take it for one.
    """


@dataclass(slots=True, eq=False)
class _Watched:
    connection: Any
    greenlet: gevent.Greenlet


class CallerWatch:
    """Looks at the connections of all requests in flight, several times a second.

    A caller that half-closes its connection counts as gone, as with most HTTP servers.
    """

    __slots__ = ("_watched",)

    def __init__(self) -> None:
        self._watched: dict[_Watched, None] = {}

    def __len__(self) -> int:
        return len(self._watched)

    def watch(self, environ: dict[str, Any]) -> Callable[[], None]:
        """Cancel the current greenlet's request when its caller leaves.

        :returns: ends the watch; it may be called several times.
        """
        connection = environ.get("tanagerreach.socket")
        if connection is None:
            return _nothing
        entry = _Watched(connection, gevent.getcurrent())
        self._watched[entry] = None
        return lambda: self._watched.pop(entry, None)

    def run(self) -> None:
        """Sweep until killed."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Cancel the requests whose callers are gone."""
        for entry in list(self._watched):
            if _is_closed(entry.connection):
                del self._watched[entry]
                gevent.kill(entry.greenlet, CallerDisconnectedError())


def _nothing() -> None:
    """End no watch."""


def _is_closed(connection: Any) -> bool:
    try:
        data = connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except (OSError, AttributeError):
        return True
    return not data
