"""Tests of the listings that instances read from each other."""

import http.client
import json
import unittest
from unittest import mock

import gevent
from tanagerreachd._metrics import Metrics
from tanagerreachd.gateway._caller_rooms import CallerRooms
from tanagerreachd.gateway._peer_state import (
    MAX_PEERS_TRIED,
    OPERATOR_PATH,
    TIMEOUT_S,
    PeerStateClient,
    PeerStateServer,
)
from tanagerreachd.gateway._sources import Listing, StoredItem

# A large deployment: routes and workspaces, instances of a data centre, and an instance's link.
ROUTE_COUNT = 3400
WORKSPACE_COUNT = 1700
READER_COUNT = 45
LINK_BYTES_PER_S = 200e6 / 8


def large_listing(revision=48):
    """Return a configuration of a large deployment, with names that do not repeat."""
    routes = {
        f"r-{number * 7919 % 99991:05x}": {
            "host": f"host{number % 40}.example",
            "pathPrefix": f"/{number * 104729 % 999983:06x}/",
            "kind": "safe",
            "service": f"service-{number % 12}",
            "timeoutMs": 2500,
            "sloLatencyMs": 1000,
            "maxAttempts": 2,
            "priority": number % 3,
        }
        for number in range(ROUTE_COUNT)
    }
    workspaces = {
        f"w-{number}": {
            "apiKeys": [f"{number * 15485863 % 32452843:020x}"],
            "ratePerS": number % 50,
        }
        for number in range(WORKSPACE_COUNT)
    }
    value = json.dumps({"version": revision, "routes": routes, "tenants": workspaces}).encode()
    item = StoredItem(key="op/config", value=value, revision=revision)
    return Listing(items=[item], revision=revision)


def in_thread(function, *arguments):
    """Call a function that blocks, while the server runs in this thread."""
    return gevent.get_hub().threadpool.apply(function, arguments)


class PeerStateTest(unittest.TestCase):
    """Load pattern: all instances of a data centre read a new configuration from one peer."""

    def setUp(self):
        self.listing = large_listing()
        self.server = PeerStateServer(
            address=("127.0.0.1", 0),
            listings={OPERATOR_PATH: lambda: self.listing},
            rooms=CallerRooms(
                memory_bytes=300e6, max_sockets=3900, metrics=Metrics(), log=mock.Mock()
            ),
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.address = f"127.0.0.1:{self.server._server.server_port}"

    def get(self, headers):
        connection = http.client.HTTPConnection(self.address, timeout=5)
        self.addCleanup(connection.close)
        in_thread(connection.request, "GET", OPERATOR_PATH, None, headers)
        return in_thread(lambda: connection.getresponse().read())

    def test_readers_of_a_large_configuration_time_out(self):
        """Guards against reads that fill the link of a peer until all of them time out."""
        size_bytes = len(self.get({"Accept-Encoding": "deflate"}))
        self.assertLess(READER_COUNT * size_bytes / LINK_BYTES_PER_S, TIMEOUT_S)
        # Without compression they would.
        plain_bytes = len(self.get({}))
        self.assertGreater(READER_COUNT * plain_bytes / LINK_BYTES_PER_S, TIMEOUT_S)

    def test_listing_changes_on_its_way(self):
        """Guards against a listing that is not the peer's present one."""
        client = PeerStateClient(addresses=lambda: [self.address], log=mock.Mock())
        for revision in (48, 50):
            self.listing = large_listing(revision)
            for _ in range(2):
                self.assertEqual(in_thread(client.read, OPERATOR_PATH), self.listing)

    def test_held_items_are_lost_on_their_way(self):
        """Guards against an instance that starts and takes an older copy of the store for new."""
        item = StoredItem(key="op/evacuate/dc-1", value=None, revision=40)
        self.listing = Listing(items=[], revision=48, held_items=[item], held_left_s=1.5)
        client = PeerStateClient(addresses=lambda: [self.address], log=mock.Mock())
        self.assertEqual(in_thread(client.read, OPERATOR_PATH), self.listing)

    def test_damaged_listing_is_read(self):
        """Guards against a reader that stops at a body which cannot be decompressed."""
        log = mock.Mock()
        client = PeerStateClient(addresses=lambda: [self.address] * MAX_PEERS_TRIED, log=log)
        with mock.patch.object(self.server, "_compress", lambda _path, _body: b"not compressed"):
            self.assertIsNone(in_thread(client.read, OPERATOR_PATH))
        self.assertEqual(log.info.call_count, MAX_PEERS_TRIED)


if __name__ == "__main__":
    unittest.main()
