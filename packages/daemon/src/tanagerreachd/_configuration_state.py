"""The configuration that an instance uses, with the head and chunks that it was built from."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Self

from tanagerreach_core.config import (
    EMPTY_HEAD,
    Chunk,
    Configuration,
    Freshness,
    Head,
    Resolver,
    encode_head,
    hash_content,
)

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/chunk/"
# Name under which a peer fetches the current head, whose hash it does not know.
HEAD_CONTENT = "head"

EventCallback = Callable[[str, Mapping[str, object]], None]


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadedConfiguration:
    """A configuration with the head and chunks that it was built from."""

    head: Head
    head_data: bytes
    head_hash: str
    chunks: dict[str, Chunk]
    resolver: Resolver

    @classmethod
    def build(
        cls,
        head: Head,
        chunks: dict[str, Chunk],
        configuration: Configuration,
        previous: Resolver | None,
        head_data: bytes | None = None,
    ) -> Self:
        """Build the lookups, reusing those of the previous configuration.

        :param head_data: the encoded head; encoded here if omitted.
        """
        data = encode_head(head) if head_data is None else head_data
        return cls(
            head=head,
            head_data=data,
            head_hash=hash_content(data),
            chunks=chunks,
            resolver=Resolver(configuration, previous),
        )

    @classmethod
    def empty(cls) -> Self:
        """Return the configuration before the first commit."""
        return cls.build(EMPTY_HEAD, {}, Configuration(), None)

    def contradicts(self, head: Head, head_data: bytes) -> bool:
        """Return whether the store's head is older than this one, or differs at its revision."""
        if head.revision != self.head.revision:
            return head.revision < self.head.revision
        return head.revision > 0 and hash_content(head_data) != self.head_hash

    def missing_chunks(self, head: Head) -> list[str]:
        """Return the hashes of a head's chunks that this configuration does not have."""
        return [item.hash for item in head.chunks if item.hash not in self.chunks]


class ConfigurationState:
    """Holds the current configuration, whose revision never decreases.

    All methods may be called from several greenlets or threads.

    :param freshness: records each confirmation and adopted revision.
    :param on_event: called with an event's name and its details.
    """

    __slots__ = (
        "_last_problem",
        "_lock",
        "_on_event",
        "_seen_head_revision",
        "_store_revision",
        "current",
        "fetched",
        "freshness",
    )

    def __init__(self, *, freshness: Freshness, on_event: EventCallback) -> None:
        self.freshness = freshness
        self._on_event = on_event
        self._lock = threading.Lock()
        self._store_revision = 0
        self._seen_head_revision = 0
        self._last_problem: tuple[str, dict[str, object]] | None = None
        # Chunks of a head whose load was incomplete; the next load reuses them.
        self.fetched: dict[str, Chunk] = {}
        self.current = LoadedConfiguration.empty()

    def use(self, loaded: LoadedConfiguration) -> None:
        """Use a configuration if its revision is above the current one."""
        with self._lock:
            is_newer = loaded.head.revision > self.current.head.revision
            if is_newer:
                self.current = loaded
                self.fetched = {}
                self._last_problem = None
        if is_newer:
            self.freshness.adopt(loaded.head.revision)
            self._on_event("configuration_adopted", {"revision": loaded.head.revision})

    def seen_revisions(self) -> tuple[int, int]:
        """Return the latest known store revision of the head's key, and the head's revision."""
        with self._lock:
            return self._store_revision, self._seen_head_revision

    def record_seen_revisions(self, store_revision: int, head_revision: int) -> None:
        """Record the revisions of a head that the store holds."""
        with self._lock:
            self._store_revision = max(self._store_revision, store_revision)
            self._seen_head_revision = max(self._seen_head_revision, head_revision)

    def report_problem(self, name: str, details: dict[str, object]) -> None:
        """Report a problem with a head once; the watch loop finds it several times a second."""
        if self._last_problem != (name, details):
            self._last_problem = (name, details)
            self._on_event(name, details)
