"""Keeps an instance's configuration up to date and serves it to peers."""

import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from result import Result
from tanagerreach_core.config import (
    Change,
    ChunkError,
    Configuration,
    Freshness,
    Head,
    Resolver,
    decode_head,
    hash_content,
)

from ._commit import Commit, CommitFailure, CommitReceipt
from ._configuration_loader import STORE_FIRST_MAX_CHUNKS, ConfigurationLoader, FetchChunk, LoadLock
from ._configuration_state import (
    HEAD_CONTENT,
    HEAD_KEY,
    ConfigurationState,
    EventCallback,
    LoadedConfiguration,
)
from ._store_client import ConfigurationStore, StoredValue, StoreError

# An instance without slots gets a confirmation from the slot holders every 2 s, and a holder's own
# may be as old as two watches. The age of the confirmation must stay below the limit of 3 s.
WATCH_TIMEOUT_S = 0.25
RETRY_DELAY_S = 0.25


class StopEvent(Protocol):
    """Event that ends the watch loop: an ``Event`` of ``threading`` or gevent."""

    def is_set(self) -> bool:
        """Return whether to stop."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the event is set or the timeout has passed."""


class ConfigManager:
    """Follows the configuration head in the store and at peers, and commits changes.

    All methods may be called from several greenlets or threads.

    :param store: the platform's store.
    :param now_s: the instance's clock in seconds.
    :param freshness: records each confirmation and adopted revision.
    :param on_event: called with an event's name and its details.
    :param fetch_chunk: fetches content by name from any peer; returns ``None`` if no peer has it.
    :param sleep: waits a number of seconds between the attempts of a commit.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        now_s: Callable[[], float],
        freshness: Freshness,
        on_event: EventCallback,
        fetch_chunk: FetchChunk | None = None,
        sleep: Callable[[float], None] | None = None,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._now_s = now_s
        self._freshness = freshness
        self._on_event = on_event
        self._sleep = sleep or time.sleep
        self._random = random or Random()
        self._state = ConfigurationState(freshness=freshness, on_event=on_event)
        self._load_lock = LoadLock(now_s=now_s)
        self._loader = ConfigurationLoader(
            store=store,
            state=self._state,
            load_lock=self._load_lock,
            fetch_chunk=fetch_chunk,
            on_event=on_event,
            sleep=self._sleep,
        )

    @property
    def resolver(self) -> Resolver:
        """Lookups over the current configuration."""
        return self._state.current.resolver

    @property
    def configuration(self) -> Configuration:
        """Current configuration."""
        return self._state.current.resolver.configuration

    @property
    def revision(self) -> int:
        """Current revision; 0 before the first one."""
        return self._state.current.head.revision

    @property
    def head_hash(self) -> str:
        """Hexadecimal SHA-256 of the current head."""
        return self._state.current.head_hash

    def content(self, name: str) -> bytes | None:
        """Return a chunk or head for a peer, or ``None`` if this instance does not have it.

        :param name: a hexadecimal hash, or ``head`` for the current head.
        """
        current = self._state.current
        if name in (HEAD_CONTENT, current.head_hash):
            return current.head_data if current.head.revision else None
        chunk = current.chunks.get(name)
        return None if chunk is None else chunk.data

    def load_from_store(self) -> bool:
        """Read the head from the store once, such as at start.

        :returns: whether the store's revision is now in use.
        """
        return self._refresh_from_store(lambda: self._store.read(HEAD_KEY))

    def follow_store(self, stop_event: StopEvent) -> None:
        """Watch the head until the event is set. Used by instances that hold slots."""
        while not stop_event.is_set():
            if not self.watch_store(WATCH_TIMEOUT_S):
                stop_event.wait(RETRY_DELAY_S)

    def watch_store(self, timeout_s: float) -> bool:
        """Wait once for a change of the head.

        :returns: whether the store responded and its configuration is in use.
        """
        after_revision, seen_revision = self._state.seen_revisions()
        return self._refresh_from_store(
            lambda: self._store.watch(HEAD_KEY, after_revision, timeout_s), seen_revision
        )

    def offer_peer_head(
        self, revision: int, fetch_chunk: FetchChunk, head_hash: str | None = None
    ) -> bool:
        """Load a higher revision from a peer.

        :param revision: the revision that the peer reported.
        :param fetch_chunk: fetches content by name from this peer; the name ``head`` returns the
            peer's current head.
        :param head_hash: expected hash of the head, if the peer reported it.
        :returns: whether this instance has the revision now.
        """
        if revision <= self.revision:
            return True
        if not self._load_lock.try_acquire():
            return False
        try:
            return self._load_offered_head(revision, fetch_chunk, head_hash)
        finally:
            self._load_lock.release()

    def commit(
        self,
        changes: Sequence[Change],
        transaction_id: str,
        changed_by: str,
        *,
        dry_run: bool = False,
    ) -> Result[CommitReceipt, CommitFailure]:
        """Commit changes, all or none.

        After :class:`UnknownOutcomeError`, a call with the same transaction id resolves the
        outcome: it commits the changes only if the earlier call did not. While the store is
        unreachable, such a call may fail with :class:`StoreUnavailableError`, which does not tell
        the outcome of the earlier call.

        :param transaction_id: unique text chosen by the caller, up to 64 characters.
        :param changed_by: the operator, recorded in each changed object.
        :param dry_run: only check the changes against the store's configuration.
        """
        return Commit(
            store=self._store,
            state=self._state,
            loader=self._loader,
            changes=changes,
            transaction_id=transaction_id,
            changed_by=changed_by,
            dry_run=dry_run,
            now_s=self._now_s,
            sleep=self._sleep,
            random=self._random,
        ).run()

    def _load_offered_head(
        self, revision: int, fetch_chunk: FetchChunk, head_hash: str | None
    ) -> bool:
        data = fetch_chunk(head_hash or HEAD_CONTENT)
        if data is None or (head_hash is not None and hash_content(data) != head_hash):
            self._on_event("peer_head_refused", {"revision": revision})
            return False
        self._load_lock.extend()
        self._loader.adopt(data, [("peer", fetch_chunk), *self._loader.sources(peers_first=False)])
        return self.revision >= revision

    def _refresh_from_store(
        self, call_store: Callable[[], StoredValue | None], unchanged_revision: int = 0
    ) -> bool:
        """Get the head from the store and adopt it.

        :param call_store: returns the head, or ``None`` if it is still at the unchanged revision.
        """
        requested_at_s = self._now_s()
        current = self._state.current
        try:
            stored = call_store()
        except StoreError as error:
            self._record_store_unavailable(error)
            return False
        self._record_store_available()
        if stored is None:
            self._freshness.confirm_from_store(unchanged_revision, requested_at_s)
            return True
        return self._accept_stored_head(stored, requested_at_s, current)

    def _accept_stored_head(
        self, stored: StoredValue, requested_at_s: float, current: LoadedConfiguration
    ) -> bool:
        """Adopt the store's head and record it as a confirmation.

        :param current: the configuration in use when the store was called; a peer or a commit may
            have supplied a later one since then.
        """
        try:
            head = decode_head(stored.value)
        except ChunkError as error:
            self._state.report_problem("head_refused", {"reason": str(error)})
            return False
        if current.contradicts(head, stored.value):
            details = {"store_revision": head.revision, "revision": current.head.revision}
            self._state.report_problem("head_behind", details)
            return False
        self._freshness.confirm_from_store(head.revision, requested_at_s)
        if not self._adopt_stored_head(head, stored.value):
            return False
        self._state.record_seen_revisions(stored.revision, head.revision)
        return True

    def _adopt_stored_head(self, head: Head, head_data: bytes) -> bool:
        """Adopt the store's head, unless another load of many chunks is in progress.

        A new instance learns its first revision from the store and from peers at the same time.
        Two concurrent loads would fetch and decode each chunk twice.
        """
        if len(self._state.current.missing_chunks(head)) <= STORE_FIRST_MAX_CHUNKS:
            return self._loader.adopt(head_data)
        if not self._load_lock.try_acquire():
            return False
        try:
            return self._loader.adopt(head_data)
        finally:
            self._load_lock.release()

    def _record_store_unavailable(self, error: Exception) -> None:
        if not self._freshness.store_unavailable:
            self._on_event("store_unavailable", {"reason": str(error)})
        self._freshness.set_store_unavailable(True)

    def _record_store_available(self) -> None:
        if self._freshness.store_unavailable:
            self._on_event("store_available", {})
        self._freshness.set_store_unavailable(False)
