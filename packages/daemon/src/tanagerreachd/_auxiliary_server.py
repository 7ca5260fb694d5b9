"""HTTP server of the ports beside the callers' port: readiness, metrics and state for peers."""

from collections.abc import Callable
from typing import Any

from ._caller_connections import CallerConnections, CallerRoom
from ._caller_watch import CallerDisconnectedError
from ._http_server import CallerHandler, CallerServer, HttpLimits
from ._refusals import render_failure, render_minimal

# Few programs use such a port, with a connection each.
MAX_CONNECTIONS = 64
ROOM_BYTES = 8 * 1024 * 1024
LIMITS = HttpLimits(header_bytes=16 * 1024, header_time_s=3.0, idle_time_s=60.0)


class AuxiliaryHandler(CallerHandler):
    """Handler of a connection, whose requests may have no Host header."""

    requires_host = False

    def _sendall(self, data: bytes) -> None:
        if not self.room.take(len(data), is_due=True):
            raise CallerDisconnectedError
        super()._sendall(data)

    def _handle_requests(self) -> None:
        while (result := self.handle_one_request()) is True:
            # Requests that were sent ahead would keep the process busy.
            self.server.turns.wait()
        self._send_result(result)


def auxiliary_server(
    address: tuple[str, int],
    application: Callable[..., Any],
    *,
    on_failure: Callable[[BaseException], None],
    on_event: Callable[[str], None] | None = None,
    descriptors: float = MAX_CONNECTIONS,
) -> CallerServer:
    """Build a server; the connections in excess that proceed slowest are closed.

    :param descriptors: maximum number of connections.
    :param on_event: called with the cause of each refusal or close for lack of room.
    """
    return CallerServer(
        listener=address,
        application=application,
        limits=LIMITS,
        render_refusal=lambda error: render_minimal(
            error.status, "request-not-valid", error.detail
        ),
        on_refused=lambda _error: None,
        on_failure=on_failure,
        failure_response=render_failure(),
        handler_class=AuxiliaryHandler,
        connections=CallerConnections(
            room=CallerRoom(memory_bytes=ROOM_BYTES, descriptors=min(MAX_CONNECTIONS, descriptors)),
            on_event=on_event,
        ),
    )
