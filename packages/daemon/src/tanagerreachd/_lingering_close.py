"""Close of a caller's connection without a reset.

The kernel resets a connection that is closed while input is unread, or that gets input afterwards.
A reset discards what was sent and has not arrived, so the end of a response could be lost.
"""

import contextlib
import socket
import struct
from typing import Any

import gevent

# Time for a caller to close after the end of the responses. A caller that has not received the end
# may send a further request meanwhile.
LINGER_S = 1.0
READ_CHUNK_BYTES = 16 * 1024
# A socket that is closed with this linger time resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def stop_sending(connection: Any) -> None:
    """Shut down the sending side, and the receiving side after ``LINGER_S``."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
    gevent.spawn_later(LINGER_S, _stop_reading, connection)


def stop_with_reset(connection: Any) -> None:
    """Shut down the receiving side, and let the close of the socket reset the connection.

    A body that ends with its connection would look complete after any other end.
    """
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    _stop_reading(connection)


def discard_input(connection: Any) -> None:
    """Discard input until the caller closes or the receiving side is shut down."""
    connection.settimeout(LINGER_S)
    with contextlib.suppress(OSError):
        while connection.recv(READ_CHUNK_BYTES):
            # gevent does not switch while input is available.
            gevent.sleep(0)


def _stop_reading(connection: Any) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
