"""Fast sending on gevent sockets."""

from typing import Any


def send_all(connection: Any, data: bytes) -> None:
    """Send all data, in one system call if the socket accepts it at once.

    gevent's ``sendall`` queries the size of the send buffer before each call.

    :raises OSError: when the connection fails or accepts nothing within the socket's timeout.
    """
    sent_bytes = connection.send(data)
    if sent_bytes < len(data):
        connection.sendall(memoryview(data)[sent_bytes:])
