"""Loads configurations from chunks in the store and at peers."""

import threading
from collections.abc import Callable, Iterable

from tanagerreach_core.config import (
    Chunk,
    ChunkError,
    Head,
    SelectorError,
    configuration_from_chunks,
    decode_chunk,
    decode_head,
    hash_content,
)

from ._configuration_state import (
    CHUNK_PREFIX,
    ConfigurationState,
    EventCallback,
    LoadedConfiguration,
)
from ._store_client import ConfigurationStore, StoreError, StoreUnavailableError

# Up to this many missing chunks are read from the store first. More, as at start, are fetched from
# peers first.
STORE_FIRST_MAX_CHUNKS = 4
# A load that gets no content for this long no longer blocks another one. Without the lock, the same
# content would be fetched from each peer that reports a new revision. The time counts from the
# latest content, since an instance fetches hundreds of chunks at start.
LOAD_STALL_TIMEOUT_S = 0.5

FetchChunk = Callable[[str], bytes | None]
ChunkSource = tuple[str, FetchChunk]


class MissingChunkError(Exception):
    """No source has an intact copy of a chunk that a head refers to."""


class LoadLock:
    """Lock for one load at a time, which expires when no content arrives.

    :param now_s: the instance's clock in seconds.
    """

    __slots__ = ("_latest_content_s", "_lock", "_now_s")

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._latest_content_s: float | None = None

    def try_acquire(self) -> bool:
        """Acquire the lock; return false while another load receives content."""
        now_s = self._now_s()
        with self._lock:
            latest_s = self._latest_content_s
            if latest_s is not None and now_s - latest_s < LOAD_STALL_TIMEOUT_S:
                return False
            self._latest_content_s = now_s
        return True

    def extend(self) -> None:
        """Restart the lock's timeout after content has arrived."""
        now_s = self._now_s()
        with self._lock:
            if self._latest_content_s is not None:
                self._latest_content_s = now_s

    def release(self) -> None:
        """Release the lock."""
        self._latest_content_s = None


class ConfigurationLoader:
    """Builds configurations from heads and their chunks.

    :param load_lock: extended while content arrives.
    :param fetch_chunk: fetches content by name from any peer; returns ``None`` if no peer has it.
    :param on_event: called with an event's name and its details.
    :param sleep: yields to other greenlets.
    """

    __slots__ = ("_fetch_chunk", "_on_event", "_sleep", "_state", "_store", "_load_lock")

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        state: ConfigurationState,
        load_lock: LoadLock,
        fetch_chunk: FetchChunk | None,
        on_event: EventCallback,
        sleep: Callable[[float], None],
    ) -> None:
        self._store = store
        self._state = state
        self._load_lock = load_lock
        self._fetch_chunk = fetch_chunk
        self._on_event = on_event
        self._sleep = sleep

    def adopt(self, head_data: bytes, sources: list[ChunkSource] | None = None) -> bool:
        """Load a head's configuration and use it if its revision is above the current one.

        :returns: whether the head's configuration, or a later one, is in use.
        """
        try:
            loaded = self.load(head_data, sources)
        except (ChunkError, MissingChunkError, SelectorError, StoreError) as error:
            self._state.report_problem("configuration_not_loaded", {"reason": str(error)})
            return False
        self._state.use(loaded)
        return True

    def load(
        self, head_data: bytes, sources: list[ChunkSource] | None = None
    ) -> LoadedConfiguration:
        """Decode a head and fetch its missing chunks.

        :param sources: sources of chunks in the order to try; the store and any peer by default.
        """
        current = self._state.current
        if hash_content(head_data) == current.head_hash:
            return current
        head = decode_head(head_data)
        chunks = self._chunks_of(head, current, sources)
        configuration = configuration_from_chunks(
            head.revision,
            list(chunks.values()),
            current.resolver.configuration,
            list(current.chunks.values()),
            self._pause,
        )
        return LoadedConfiguration.build(head, chunks, configuration, current.resolver, head_data)

    def sources(self, *, peers_first: bool) -> list[ChunkSource]:
        """Return the store and the peers in the order to try them.

        :param peers_first: whether to try peers before the store.
        """
        sources: list[ChunkSource] = [("store", self._read_chunk)]
        if self._fetch_chunk is not None:
            sources.insert(0 if peers_first else 1, ("peers", self._fetch_chunk))
        return sources

    def _chunks_of(
        self, head: Head, current: LoadedConfiguration, sources: list[ChunkSource] | None
    ) -> dict[str, Chunk]:
        missing = current.missing_chunks(head)
        if sources is None:
            sources = self.sources(peers_first=len(missing) > STORE_FIRST_MAX_CHUNKS)
        fetched = self._state.fetched
        for name in missing:
            if name not in fetched:
                fetched[name] = self._fetch(name, sources)
                self._load_lock.extend()
        found = {**fetched, **current.chunks}
        return {item.hash: found[item.hash] for item in head.chunks}

    def _pause(self) -> None:
        """Yield to other greenlets between the parts of a load.

        When 45 instances started at once and each decoded 51,000 workspaces without a pause, one
        of them did not respond for over 4 s.
        """
        self._load_lock.extend()
        self._sleep(0.0)

    def _read_chunk(self, name: str) -> bytes | None:
        stored = self._store.read(CHUNK_PREFIX + name)
        return None if stored is None else stored.value

    def _fetch(self, name: str, sources: Iterable[ChunkSource]) -> Chunk:
        """Fetch a chunk from the first source that has it intact.

        :raises StoreUnavailableError: when the store failed and no other source has the chunk.
        :raises MissingChunkError: when no source has the chunk.
        """
        store_error: StoreError | None = None
        for source, fetch in sources:
            try:
                data = fetch(name)
                if data is not None:
                    return decode_chunk(data, name)
            except StoreError as error:
                store_error = error
            except ChunkError as error:
                self._on_event("chunk_refused", {"source": source, "reason": str(error)})
        if store_error is not None:
            raise StoreUnavailableError(str(store_error)) from store_error
        raise MissingChunkError(f"chunk {name} is neither in the store nor at a peer")
