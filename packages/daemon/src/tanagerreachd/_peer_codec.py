"""Encodes peer messages as MessagePack with a keyed MAC.

A datagram is the MAC (16 bytes, BLAKE2s keyed with the fleet secret) followed by the encoded
:class:`Envelope`. The MAC is checked before anything is decoded.

Cap'n Proto (pycapnp) is not used since it is incompatible with gevent: an exception in its C++ code
records a stack trace, which crashes the process in a greenlet that has been switched.
"""

import hashlib
import hmac
from typing import Any

import msgspec
from tanagerreach_core.messages import Envelope, SlotSet

MAC_BYTES = 16
# Above the size of any message that is sent; bounds the input of the decoder.
MAX_DATAGRAM_BYTES = 16 * 1024
# One bit for each slot, at the maximum slot count that the settings allow.
MAX_SLOT_SET_BYTES = 128


class PeerCodecError(Exception):
    """A datagram that is not a valid message of this fleet."""


class MessageTooLargeError(PeerCodecError):
    """A message that does not fit into a datagram; it has to be divided."""


class AuthenticationError(PeerCodecError):
    """A datagram whose MAC does not match the fleet secret."""


def _encode_slots(value: Any) -> bytes:
    if isinstance(value, SlotSet):
        return value.to_bytes()
    raise NotImplementedError(f"cannot encode {type(value).__name__}")


def _decode_slots(expected: type, data: Any) -> SlotSet:
    if expected is not SlotSet or not isinstance(data, bytes) or len(data) > MAX_SLOT_SET_BYTES:
        raise ValueError("slot set must be a bit mask of limited length")
    return SlotSet.from_bytes(data)


class PeerCodec:
    """Encodes and decodes authenticated datagrams.

    :param secret: the fleet secret; every instance of the fleet has the same one.
    """

    __slots__ = ("_decoder", "_encoder", "_key")

    def __init__(self, *, secret: bytes) -> None:
        self._key = hashlib.blake2s(secret).digest()
        self._encoder = msgspec.msgpack.Encoder(enc_hook=_encode_slots)
        self._decoder = msgspec.msgpack.Decoder(Envelope, dec_hook=_decode_slots)

    def encode(self, envelope: Envelope) -> bytes:
        """Encode an envelope as one datagram.

        :returns: the MAC followed by the message.
        :raises MessageTooLargeError: when the message exceeds ``MAX_DATAGRAM_BYTES``.
        """
        payload = self._encoder.encode(envelope)
        if len(payload) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise MessageTooLargeError(
                f"{type(envelope.message).__name__} of {len(payload)} bytes exceeds the datagram"
                f" limit of {MAX_DATAGRAM_BYTES} bytes; send fewer entries per message"
            )
        return self._mac(payload) + payload

    def decode(self, datagram: bytes) -> Envelope:
        """Check and decode one datagram.

        :raises AuthenticationError: when the MAC does not match.
        :raises PeerCodecError: when the content is malformed.
        """
        if not MAC_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
            raise PeerCodecError(f"datagram has {len(datagram)} bytes, outside the size limits")
        payload = datagram[MAC_BYTES:]
        if not hmac.compare_digest(datagram[:MAC_BYTES], self._mac(payload)):
            raise AuthenticationError("MAC of the datagram does not match the fleet secret")
        try:
            return self._decoder.decode(payload)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise PeerCodecError(f"malformed message: {error}") from error

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2s(payload, key=self._key, digest_size=MAC_BYTES).digest()
