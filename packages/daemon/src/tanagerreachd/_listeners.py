"""The three HTTP listeners of an instance: for callers, operators and peers."""

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from gevent.pywsgi import WSGIServer

from . import _clock
from ._http_head import RequestRefusedError
from ._http_server import CallerServer, HttpLimits, NoDelayHandler
from ._logs import InstanceLog
from ._option_kinds import Address
from ._refusals import render_failure, render_minimal
from ._settings import Settings

BIND_REMEDIES = {
    errno.EADDRINUSE: "stop the process that uses it, or choose another address",
    errno.EADDRNOTAVAIL: "choose an address of this machine",
    errno.EACCES: "choose a port that this user may use, such as one above 1023",
}
Application = Callable[..., Any]


class AddressError(Exception):
    """An address of the settings cannot be bound.

    :param option: the settings option that holds the address.
    :param error: error of the operating system.
    """

    def __init__(self, *, option: str, address: object, error: OSError) -> None:
        remedy = BIND_REMEDIES.get(error.errno or 0, "choose another address")
        reason = os.strerror(error.errno) if error.errno else str(error)
        super().__init__(f"{option} {address}: {reason}; {remedy}")


@contextmanager
def binding(option: str, address: object) -> Iterator[None]:
    """Turn an error of binding an address into an :class:`AddressError`."""
    try:
        yield
    except OSError as error:
        raise AddressError(option=option, address=address, error=error) from error


class Listeners:
    """Starts the listeners, and stops them without interrupting requests.

    :param callers: application of the callers' listener.
    :param operators: application of the operator listener.
    :param peers: application of the peers' HTTP listener.
    """

    __slots__ = ("_callers", "_log", "_operators", "_peers", "_settings")

    def __init__(
        self,
        *,
        settings: Settings,
        log: InstanceLog,
        callers: Application,
        operators: Application,
        peers: Application,
    ) -> None:
        self._settings = settings
        self._log = log
        self._callers = CallerServer(
            listener=_bind_address(settings.callers_address),
            application=callers,
            limits=HttpLimits(
                header_bytes=settings.header_limit_bytes,
                header_time_s=settings.header_time_limit_s,
                idle_time_s=settings.idle_time_limit_s,
            ),
            render_refusal=lambda error: render_minimal(
                error.status, "request-not-valid", error.detail
            ),
            on_refused=self._on_refused_request,
            on_failure=log.failure,
            failure_response=render_failure(),
        )
        self._operators = _internal_server(settings.operator_address, operators)
        self._peers = _internal_server(settings.peer_http_address, peers)

    def start(self) -> None:
        """Open the listeners.

        The callers' listener opens last, since it shows that the instance has started.

        :raises AddressError: when an address cannot be bound.
        """
        settings = self._settings
        with binding("peer_http_address", settings.peer_http_address):
            self._peers.start()
        with binding("operator_address", settings.operator_address):
            self._operators.start()
        with binding("callers_address", settings.callers_address):
            self._callers.start()

    def begin_drain(self) -> None:
        """From now on, close callers' connections after their current response."""
        self._callers.begin_drain()

    def finish_requests(self, limit_s: float) -> int:
        """Accept no more connections, and wait until all requests are finished.

        See :meth:`CallerServer.finish_requests`.

        :param limit_s: longest wait in seconds.
        :returns: the number of requests that are not finished by then.
        """
        self._callers.close_listener()
        return self._callers.finish_requests(_clock.now_s() + limit_s)

    def stop(self) -> None:
        """Close all listeners and their connections."""
        for server in (self._callers, self._operators, self._peers):
            server.stop(timeout=0)

    def _on_refused_request(self, error: RequestRefusedError) -> None:
        self._log.debug("request refused", status=error.status, detail=error.detail)


def _internal_server(address: Address, application: Application) -> WSGIServer:
    return WSGIServer(
        _bind_address(address),
        application,
        log=None,
        error_log=None,
        handler_class=NoDelayHandler,
    )


def _bind_address(address: Address) -> tuple[str, int]:
    return (address.host, address.port)
