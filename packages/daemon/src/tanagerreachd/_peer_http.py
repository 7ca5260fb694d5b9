"""Bulk transfers between instances over HTTP: configuration chunks and slot handovers.

Each request carries a keyed MAC of sender, incarnation, counter, method, path and body. A response
carries a MAC of its body and the request's MAC.
"""

import hashlib
import hmac
from collections.abc import Callable
from contextlib import suppress

import bottle
import msgspec
import urllib3
from tanagerreach_core.messages import InstanceIncarnation

from ._peer_link import ReplayGuard
from ._slot_handover import SlotHandover
from ._strict_pool import StrictPoolManager

MAC_HEADER = "Peer-Mac"
SENDER_HEADER = "Peer-Sender"
INCARNATION_HEADER = "Peer-Incarnation"
COUNTER_HEADER = "Peer-Counter"
CALL_TIMEOUT_S = 1.5
MAX_BODY_BYTES = 64 * 1024 * 1024
CONFIG_PATH = "/config/"
SLOTS_PATH = "/slots"


class PeerHttpError(Exception):
    """A call to a peer failed."""


class PeerAuthenticator:
    """Computes the MACs of peer HTTP messages.

    :param secret: the fleet secret.
    """

    __slots__ = ("_key",)

    def __init__(self, *, secret: bytes) -> None:
        self._key = hashlib.blake2s(b"peer-http:" + secret).digest()

    def mac(self, *parts: bytes) -> str:
        """Return the MAC of the parts, each prefixed with its length."""
        digest = hashlib.blake2s(key=self._key)
        for part in parts:
            digest.update(len(part).to_bytes(8, "little"))
            digest.update(part)
        return digest.hexdigest()


class PeerHttpClient:
    """Calls peers.

    :param identity: incarnation of this instance.
    """

    __slots__ = ("_authenticator", "_counter", "_identity", "_pools")

    def __init__(self, *, identity: InstanceIncarnation, authenticator: PeerAuthenticator) -> None:
        self._identity = identity
        self._authenticator = authenticator
        self._counter = 0
        self._pools = StrictPoolManager(num_pools=16, retries=False, timeout=CALL_TIMEOUT_S)

    def fetch_content(self, address: str, name: str) -> bytes | None:
        """Fetch the configuration head or a chunk; return ``None`` if the call fails."""
        with suppress(PeerHttpError):
            return self._call("GET", address, CONFIG_PATH + name, b"")
        return None

    def hand_over(self, address: str, handover: SlotHandover) -> None:
        """Hand a slot over to a peer.

        :raises PeerHttpError: when the peer did not confirm that it holds the slot.
        """
        self._call("POST", address, SLOTS_PATH, msgspec.msgpack.encode(handover))

    def _call(self, method: str, address: str, path: str, body: bytes) -> bytes:
        self._counter += 1
        sender = self._identity.instance_id
        incarnation = str(self._identity.incarnation)
        counter = str(self._counter)
        mac = self._authenticator.mac(
            *(text.encode() for text in (sender, incarnation, counter, method, path)), body
        )
        headers = {
            SENDER_HEADER: sender,
            INCARNATION_HEADER: incarnation,
            COUNTER_HEADER: counter,
            MAC_HEADER: mac,
        }
        try:
            response = self._pools.request(
                method, f"http://{address}{path}", body=body, headers=headers, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise PeerHttpError(f"peer {address} did not answer: {error}") from error
        if response.status != 200:
            raise PeerHttpError(f"peer {address} answered {response.status}")
        expected = self._authenticator.mac(mac.encode(), response.data)
        if not hmac.compare_digest(expected, response.headers.get(MAC_HEADER, "")):
            raise PeerHttpError(f"peer {address} sent an answer with a wrong MAC")
        return response.data


class PeerHttpApi:
    """WSGI application of the peers' HTTP listener.

    :param content: returns the configuration head or a chunk by name.
    :param accept_slot: takes over a slot; returns false if that failed.
    """

    def __init__(
        self,
        *,
        authenticator: PeerAuthenticator,
        content: Callable[[str], bytes | None],
        accept_slot: Callable[[SlotHandover], bool],
    ) -> None:
        self._authenticator = authenticator
        self._content = content
        self._accept_slot = accept_slot
        self._guard = ReplayGuard()

    def application(self) -> bottle.Bottle:
        """Build the WSGI application."""
        app = bottle.Bottle()
        app.route(f"{CONFIG_PATH}<name>", "GET", self._get_content)
        app.route(SLOTS_PATH, "POST", self._post_slot)
        return app

    def _get_content(self, name: str) -> bytes:
        mac = self._authenticate(b"")
        content = self._content(name)
        if content is None:
            raise bottle.HTTPResponse(status=404)
        return self._sign_response(mac, content)

    def _post_slot(self) -> bytes:
        if bottle.request.content_length > MAX_BODY_BYTES:
            raise bottle.HTTPResponse(status=413)
        body = bottle.request.body.read(MAX_BODY_BYTES)
        mac = self._authenticate(body)
        try:
            handover = msgspec.msgpack.decode(body, type=SlotHandover)
        except (msgspec.DecodeError, RecursionError) as error:
            raise bottle.HTTPResponse(status=400) from error
        if not self._accept_slot(handover):
            raise bottle.HTTPResponse(status=409)
        return self._sign_response(mac, b"")

    def _authenticate(self, body: bytes) -> str:
        get = bottle.request.get_header
        sender, incarnation, counter = (
            get(name, "") for name in (SENDER_HEADER, INCARNATION_HEADER, COUNTER_HEADER)
        )
        texts = (sender, incarnation, counter, bottle.request.method, bottle.request.path)
        expected = self._authenticator.mac(*(text.encode() for text in texts), body)
        given = get(MAC_HEADER, "")
        if not hmac.compare_digest(expected.encode(), given.encode()):
            raise bottle.HTTPResponse(status=401)
        identity = InstanceIncarnation(instance_id=sender, incarnation=int(incarnation))
        if not self._guard.accept(identity, int(counter)):
            raise bottle.HTTPResponse(status=401)
        return given

    def _sign_response(self, request_mac: str, body: bytes) -> bytes:
        bottle.response.content_type = "application/octet-stream"
        bottle.response.set_header(MAC_HEADER, self._authenticator.mac(request_mac.encode(), body))
        return body
