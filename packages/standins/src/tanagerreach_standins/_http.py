"""HTTP helpers of the stand-ins: loopback servers, JSON responses, dropped connections."""

import errno
from collections.abc import Callable, Iterable
from http import HTTPStatus
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 1024
SOCKET_KEY = "tanagerreach.socket"

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class ConnectionDroppedError(ConnectionResetError):
    """Raised by an application to close the connection without the rest of the response.

    The WSGI server handles it like a connection reset by the client: it logs nothing and sends no
    error response.
    """

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "connection dropped by the stand-in")


class SocketHandler(WSGIHandler):
    """Request handler that passes the connection's socket to the application."""

    def handle(self) -> None:
        """Serve the requests of one connection."""
        # The head and the body of a response are sent separately; with Nagle's algorithm, the body
        # would wait for the client's delayed acknowledgement of the head (40 ms).
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> Environ:
        """Build the WSGI environment of one request."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def make_server(
    application: Application, port: int, handler_class: type[SocketHandler] = SocketHandler
) -> WSGIServer:
    """Create a server on 127.0.0.1 without starting it.

    :param port: port to listen on; 0 selects a free one.
    """
    return WSGIServer(
        (LOOPBACK, port),
        application,
        backlog=LISTEN_BACKLOG,
        log=None,
        handler_class=handler_class,
    )


def status_line(code: int) -> str:
    """Format a status code with its reason phrase."""
    return f"{code} {HTTPStatus(code).phrase}"


def respond_json(
    start_response: StartResponse,
    code: int,
    content: object,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send a response with a JSON body."""
    body = msgspec.json.encode(content)
    start_response(
        status_line(code),
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def read_body(environ: Environ, limit_bytes: int) -> bytes:
    """Read at most ``limit_bytes`` + 1 bytes of a request body, so that an excess shows."""
    return environ["wsgi.input"].read(limit_bytes + 1)
