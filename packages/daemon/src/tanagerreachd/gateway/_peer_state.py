"""Serves the listings that an instance read from the store to peers that cannot reach the store.

The store may be down, or refuse some instances, while instances start or operators change the
configuration. Peers that have the state serve it over HTTP.
"""

import zlib
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import urllib3

from .._logs import InstanceLog
from .._strict_pool import StrictPoolManager
from ._caller_rooms import CallerRooms
from ._sources import Listing, StoredItem

OPERATOR_PATH = "/operator-items"
TARGET_PATH = "/target-items"
TIMEOUT_S = 0.5
MAX_PEERS_TRIED = 3
STATUS_OK = 200
# Many instances read a new configuration at once from the few that have it; documents shrink to a
# small part already at the lowest level.
COMPRESSION = "deflate"
COMPRESSION_LEVEL = 1


class _Item(msgspec.Struct, array_like=True):
    key: str
    value: bytes | None
    revision: int


class _Items(msgspec.Struct, array_like=True):
    items: list[_Item]
    revision: int
    held_items: list[_Item] = []
    held_left_s: float = 0.0


class PeerStateServer:
    """Serves this instance's listings to peers.

    :param listings: functions that return the known listings, by path.
    :param rooms: bounds what the connections of peers hold.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        listings: dict[str, Callable[[], Listing]],
        rooms: CallerRooms,
    ) -> None:
        self._listings = listings
        # The latest body of each path, and the same compressed.
        self._compressed: dict[str, tuple[bytes, bytes]] = {}
        self._server = rooms.auxiliary_server("peers", address, self._serve)

    def start(self) -> None:
        """Open the listener.

        :raises OSError: when the address cannot be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop(timeout=0)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        read = self._listings.get(environ["PATH_INFO"])
        listing = None if read is None else read()
        if listing is None or listing.revision < 0:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        body = msgspec.msgpack.encode(_fields(listing))
        headers = []
        if COMPRESSION in environ.get("HTTP_ACCEPT_ENCODING", ""):
            headers.append(("Content-Encoding", COMPRESSION))
            body = self._compress(environ["PATH_INFO"], body)
        start_response("200 OK", [*headers, ("Content-Length", str(len(body)))])
        return [body]

    def _compress(self, path: str, body: bytes) -> bytes:
        known = self._compressed.get(path)
        if known is None or known[0] != body:
            known = self._compressed[path] = (body, zlib.compress(body, COMPRESSION_LEVEL))
        return known[1]


class PeerStateClient:
    """Reads listings from peers.

    :param addresses: returns addresses of live peers' state servers, best first.
    """

    def __init__(self, *, addresses: Callable[[], list[str]], log: InstanceLog) -> None:
        self._addresses = addresses
        self._log = log
        self._pool = StrictPoolManager(maxsize=1, retries=False)

    def read(self, path: str) -> Listing | None:
        """Read a listing from the first peer that has one."""
        for address in self._addresses()[:MAX_PEERS_TRIED]:
            try:
                response = self._pool.request(
                    "GET",
                    f"http://{address}{path}",
                    headers={"Accept-Encoding": COMPRESSION},
                    timeout=TIMEOUT_S,
                    retries=False,
                )
                if response.status != STATUS_OK:
                    continue
                found = msgspec.msgpack.decode(response.data, type=_Items)
            except (
                urllib3.exceptions.HTTPError,
                msgspec.DecodeError,
                RecursionError,
                ValueError,
            ) as error:
                self._log.info(
                    "no usable state from peer", peer=address, path=path, reason=str(error)
                )
                continue
            self._log.info("state read from a peer", peer=address, path=path)
            return Listing(
                items=_stored(found.items),
                revision=found.revision,
                held_items=_stored(found.held_items),
                held_left_s=found.held_left_s,
            )
        return None


def _fields(listing: Listing) -> list[Any]:
    """Return the fields of :class:`_Items`, without those of held items when there are none."""
    fields: list[Any] = [_encodable(listing.items), listing.revision]
    if listing.held_items:
        fields += [_encodable(listing.held_items), listing.held_left_s]
    return fields


def _encodable(items: list[StoredItem]) -> list[_Item]:
    return [_Item(item.key, item.value, item.revision) for item in items]


def _stored(items: list[_Item]) -> list[StoredItem]:
    return [StoredItem(key=item.key, value=item.value, revision=item.revision) for item in items]
