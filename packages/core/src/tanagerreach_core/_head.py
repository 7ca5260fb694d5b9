"""The head: the stored value that lists the chunks of the current revision.

A chunk that no head references is garbage, but a concurrent commit may be about to reference it.
Chunks are therefore deleted in two steps. First, a commit lists the chunk, with the store's
revision of its key, as retired in the new head. Once that head is in force, the key may be deleted
at any time, but only at the listed store revision. Commits based on an earlier head fail, and a
commit that needs the same content again rewrites the key, which gives it another store revision.
This needs no clock, but requires that the store never gives a key the same revision twice.
"""

import hashlib
import zlib
from collections.abc import Iterable

import msgspec

from ._documents import ChunkError, decompress

MAX_HEAD_BYTES = 1_000_000
# The head lists this many transactions. One that is retried after as many later commits is refused
# as a conflict, since the versions of its objects have changed.
MAX_TRANSACTIONS = 128
MAX_RETIRED_CHUNKS = 512
MAX_TRANSACTION_ID_CHARS = 64
DIGEST_BYTES = hashlib.sha256().digest_size


class ChunkReference(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A chunk's hash in hexadecimal, and the store's revision of its key."""

    hash: str
    store_revision: int


class TransactionRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A recent transaction and the revision that it created."""

    id: str
    revision: int


class Head(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Content of the head; the latest transaction is the last in ``transactions``."""

    revision: int
    chunks: tuple[ChunkReference, ...]
    transactions: tuple[TransactionRecord, ...] = ()
    retired: tuple[ChunkReference, ...] = ()

    def revision_of(self, transaction_id: str) -> int | None:
        """Find the revision that a transaction created, or ``None`` when it is not listed."""
        found = (item.revision for item in self.transactions if item.id == transaction_id)
        return next(found, None)

    def next(
        self,
        *,
        chunks: Iterable[ChunkReference],
        transaction_id: str,
        retired: Iterable[ChunkReference],
    ) -> "Head":
        """Build the head of the next revision.

        Content that the new head references is never listed as retired, whatever its store
        revision: another commit may have written the same key after this one did.

        :param retired: unreferenced chunks, and chunks retired earlier that still exist.
        """
        revision = self.revision + 1
        references = tuple(chunks)
        kept = {item.hash for item in references}
        candidates = (*retired, *self.chunks)
        all_retired = dict.fromkeys(item for item in candidates if item.hash not in kept)
        record = TransactionRecord(transaction_id, revision)
        return Head(
            revision=revision,
            chunks=references,
            transactions=(*self.transactions, record)[-MAX_TRANSACTIONS:],
            retired=tuple(all_retired)[-MAX_RETIRED_CHUNKS:],
        )


EMPTY_HEAD = Head(revision=0, chunks=())

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Head)


def encode_head(head: Head) -> bytes:
    """Encode a head, preceded by the SHA-256 of its compressed content."""
    content = zlib.compress(_encoder.encode(head))
    return hashlib.sha256(content).digest() + content


def decode_head(data: bytes) -> Head:
    """Decode a head.

    :raises ChunkError: when the data is corrupt or too large.
    """
    digest, content = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if len(data) > MAX_HEAD_BYTES or hashlib.sha256(content).digest() != digest:
        raise ChunkError(f"the head is corrupt or exceeds {MAX_HEAD_BYTES} bytes")
    try:
        head = _decoder.decode(decompress(content, MAX_HEAD_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise ChunkError(f"the head can't be decoded: {error}") from error
    if head.revision < 0:
        raise ChunkError(f"the head has the revision {head.revision}")
    return head
