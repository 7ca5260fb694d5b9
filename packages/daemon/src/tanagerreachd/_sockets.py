"""Operations on gevent sockets that gevent lacks or does slowly."""

import fcntl
import socket
import struct
import termios
from typing import Any


def send_all(connection: Any, data: bytes) -> None:
    """Send all data, in one system call if the socket accepts it at once.

    gevent's ``sendall`` queries the size of the send buffer before each call.

    :raises OSError: when the connection fails or accepts nothing within the socket's timeout.
    """
    sent_bytes = connection.send(data)
    if sent_bytes < len(data):
        connection.sendall(memoryview(data)[sent_bytes:])


def peek_input(connection: Any) -> bytes | None:
    """Return the first unread byte without waiting, and leave it unread.

    :returns: an empty string at the end of the input or after a failure of the connection, and
        ``None`` while nothing has arrived.
    """
    try:
        return connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except (OSError, AttributeError):
        return b""


def unacknowledged_bytes(connection: Any) -> int | None:
    """Return how many sent bytes the other side has not acknowledged; ``None`` if unknown."""
    try:
        answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return None
    return struct.unpack("i", answer)[0]
