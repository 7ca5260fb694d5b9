"""Runs an instance that sends its peer datagrams through a relay.

The environment variable ``PEER_RELAYS`` holds a JSON object that maps each peer address to the
relay address to send to instead.
"""

import os

# The entry point is imported first, since it patches the standard library for gevent.
from tanagerreachd import __main__ as entry  # isort: skip
import msgspec
from tanagerreachd import _parts
from tanagerreachd._peer_link import PeerLink

RELAYS = msgspec.json.decode(os.environ["PEER_RELAYS"], type=dict[str, str])


class RelayedPeerLink(PeerLink):
    """Sends each datagram to the relay of its peer address."""

    __slots__ = ()

    def send(self, address, message):
        """Send one message to the relay of the address, or directly if it has none."""
        super().send(RELAYS.get(address, address), message)


if __name__ == "__main__":
    _parts.PeerLink = RelayedPeerLink
    entry.main()
