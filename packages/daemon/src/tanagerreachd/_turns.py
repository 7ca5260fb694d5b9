"""Turns of connections whose input would keep the process busy."""

import gevent
from gevent.lock import BoundedSemaphore


class Turns:
    """Line of connections with input at hand; one of them runs in each round of the event loop.

    Greenlets switch only when they wait, so that a connection whose input has arrived already
    keeps all others waiting. With ``gevent.sleep(0)`` alone, each round would run all of a crowd.
    """

    __slots__ = ("_line",)

    def __init__(self) -> None:
        self._line = BoundedSemaphore(1)

    def wait(self) -> None:
        """Let others run, and return when it is this connection's turn."""
        with self._line:
            gevent.sleep(0)
