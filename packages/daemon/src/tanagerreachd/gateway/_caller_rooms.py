"""Divides the room of the machine among the listeners, with metrics and log lines."""

from collections.abc import Callable
from functools import partial
from typing import Any

from .._auxiliary_server import auxiliary_server
from .._caller_connections import CallerConnections, CallerRoom
from .._http_server import CallerServer
from .._logs import InstanceLog
from .._metrics import Metrics

# The rest is for the process itself, and for what bounds of their own limit: messages, state, and
# connections to targets, to the store and of the other listeners.
CALLERS_MEMORY_SHARE = 0.25
CALLERS_SOCKET_SHARE = 0.5
# Connections of each of the other listeners.
AUXILIARY_SOCKET_SHARE = 1 / 16
CALLERS = "callers"


class CallerRooms:
    """Rooms of an instance's listeners.

    :param memory_bytes: memory of the machine.
    :param max_sockets: sockets that the process may open.
    """

    def __init__(
        self, *, memory_bytes: float, max_sockets: float, metrics: Metrics, log: InstanceLog
    ) -> None:
        self._log = log
        self._max_sockets = max_sockets
        self._events = metrics.counter(
            "tanagerreach_room_events_total",
            "Requests refused and connections closed for lack of memory or descriptors",
            ("listener", "cause"),
        )
        self.callers = CallerConnections(
            room=CallerRoom(
                memory_bytes=int(CALLERS_MEMORY_SHARE * memory_bytes),
                descriptors=int(CALLERS_SOCKET_SHARE * max_sockets),
            ),
            on_event=partial(self._count, CALLERS),
        )
        budget = self.callers.budget
        for name, description, read in (
            ("connections", "Connections of callers", lambda: len(budget)),
            ("held_bytes", "Memory held for callers", lambda: budget.held_bytes),
            ("held_bytes_limit", "Limit of that memory", lambda: budget.limit_bytes),
            ("held_descriptors", "Descriptors for callers", lambda: budget.held_descriptors),
            ("held_descriptors_limit", "Their limit", lambda: budget.limit_descriptors),
        ):
            metrics.gauge(f"tanagerreach_callers_{name}", description, read)

    def auxiliary_server(
        self, name: str, address: tuple[str, int], application: Callable[..., Any]
    ) -> CallerServer:
        """Build the server of another listener."""
        return auxiliary_server(
            address,
            application,
            on_failure=self._log.failure,
            on_event=partial(self._count, name),
            descriptors=max(1, int(AUXILIARY_SOCKET_SHARE * self._max_sockets)),
        )

    def report(self) -> None:
        """Log the refusals and closes since the last report, if there were any."""
        events = self.callers.take_events()
        if events:
            self._log.warning(
                "callers lack room",
                **{cause.replace("-", "_"): count for cause, count in sorted(events.items())},
                connection_count=len(self.callers.budget),
                held_bytes=self.callers.budget.held_bytes,
            )

    def _count(self, listener: str, cause: str) -> None:
        self._events.add(1, listener, cause)
