"""Keeps an instance's configuration current, and gives it to peers."""

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
from ._configuration_loader import FEW_CHUNKS, ConfigurationLoader, FetchChunk, LoadTurn
from ._configuration_state import (
    HEAD_CONTENT,
    HEAD_KEY,
    ConfigurationState,
    EventCallback,
    LoadedConfiguration,
)
from ._store_client import ConfigurationStore, StoredValue, StoreError

WATCH_TIMEOUT_S = 0.25
"""Time of one watch on the head. An instance without slots asks holders every 2 s, and its age
must stay below the freshness limit of 3 s although a holder's last confirmation may be as old as
two watches."""

RETRY_DELAY_S = 0.25


class StopEvent(Protocol):
    """Event that ends the watch loop, of ``threading`` or gevent."""

    def is_set(self) -> bool:
        """Tell whether to stop."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until set."""


class ConfigManager:
    """Follows the head in the store and at peers, and commits changes.

    All methods may be called from several greenlets or threads.

    :param store: the platform's store.
    :param now_s: own clock in seconds.
    :param freshness: is told each confirmation and revision.
    :param on_event: called with an event's name and its details.
    :param fetch_chunk: fetches content by name from any peer, ``None`` when no peer has it.
    :param sleep: waits a number of seconds between attempts of a commit.
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
        self._turn = LoadTurn(now_s=now_s)
        self._loader = ConfigurationLoader(
            store=store,
            state=self._state,
            turn=self._turn,
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
        """The current configuration."""
        return self._state.current.resolver.configuration

    @property
    def revision(self) -> int:
        """The current revision, 0 when there is none yet."""
        return self._state.current.head.revision

    @property
    def head_hash(self) -> str:
        """SHA-256 of the current head in hexadecimal."""
        return self._state.current.head_hash

    def content(self, name: str) -> bytes | None:
        """Give a chunk or head to a peer.

        :param name: a hash in hexadecimal, or ``head`` for the current head.
        """
        current = self._state.current
        if name in (HEAD_CONTENT, current.head_hash):
            return current.head_data if current.head.revision else None
        chunk = current.chunks.get(name)
        return None if chunk is None else chunk.data

    def load_from_store(self) -> bool:
        """Read the head from the store once, for instance at start.

        :returns: whether the instance now has the store's revision.
        """
        return self._follow(lambda: self._store.read(HEAD_KEY))

    def follow_store(self, stop_event: StopEvent) -> None:
        """Watch the head until the event is set; for holders of slots."""
        while not stop_event.is_set():
            if not self.watch_store(WATCH_TIMEOUT_S):
                stop_event.wait(RETRY_DELAY_S)

    def watch_store(self, timeout_s: float) -> bool:
        """Wait once for a change of the head.

        :returns: whether the store answered and its configuration is in force.
        """
        after_revision, seen_revision = self._state.seen_revisions()
        return self._follow(
            lambda: self._store.watch(HEAD_KEY, after_revision, timeout_s), seen_revision
        )

    def offer_peer_head(
        self, revision: int, fetch_chunk: FetchChunk, head_hash: str | None = None
    ) -> bool:
        """Take over a higher revision from a peer.

        :param revision: the revision that the peer reported.
        :param fetch_chunk: fetches content by name from this peer; the name ``head`` stands for
            its current head.
        :param head_hash: expected hash of the head, when the peer has reported it.
        :returns: whether the instance has the revision now.
        """
        if revision <= self.revision:
            return True
        if not self._turn.begin():
            return False
        try:
            return self._take_offer(revision, fetch_chunk, head_hash)
        finally:
            self._turn.end()

    def commit(
        self,
        changes: Sequence[Change],
        transaction_id: str,
        changed_by: str,
        *,
        dry_run: bool = False,
    ) -> Result[CommitReceipt, CommitFailure]:
        """Commit changes, all or none.

        After :class:`UnknownOutcomeError`, a call with the same transaction id finds out: it makes
        the changes only if they have not been made. Until the store answers, such a call may fail
        with :class:`StoreUnavailableError`, which says nothing about the earlier call.

        :param transaction_id: unique text chosen by the caller, up to 64 characters.
        :param changed_by: the operator, recorded in each changed object.
        :param dry_run: whether only to check the changes against the store's configuration.
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

    def _take_offer(self, revision: int, fetch_chunk: FetchChunk, head_hash: str | None) -> bool:
        data = fetch_chunk(head_hash or HEAD_CONTENT)
        if data is None or (head_hash is not None and hash_content(data) != head_hash):
            self._on_event("peer_head_refused", {"revision": revision})
            return False
        self._turn.extend()
        self._loader.adopt(data, [("peer", fetch_chunk), *self._loader.sources(many=False)])
        return self.revision >= revision

    def _follow(self, ask: Callable[[], StoredValue | None], unchanged_revision: int = 0) -> bool:
        """Ask the store; ``None`` means that the head still is at the unchanged revision."""
        requested_at_s = self._now_s()
        current = self._state.current
        try:
            stored = ask()
        except StoreError as error:
            self._note_unavailable(error)
            return False
        self._note_available()
        if stored is None:
            self._freshness.confirm_from_store(unchanged_revision, requested_at_s)
            return True
        return self._take_stored(stored, requested_at_s, current)

    def _take_stored(
        self, stored: StoredValue, requested_at_s: float, current: LoadedConfiguration
    ) -> bool:
        """Adopt the store's head and count it as a confirmation.

        :param current: what was in use when the store was asked; a later configuration may
            have come from a peer or a commit since then.
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
        if not self._adopt_stored(head, stored.value):
            return False
        self._state.note_seen(stored.revision, head.revision)
        return True

    def _adopt_stored(self, head: Head, head_data: bytes) -> bool:
        """Adopt the store's head, unless a load of many chunks is under way.

        A new instance hears of its first revision from the store and from peers at the same time;
        two loads would fetch and decode each chunk twice.
        """
        if len(self._state.current.missing_chunks(head)) <= FEW_CHUNKS:
            return self._loader.adopt(head_data)
        if not self._turn.begin():
            return False
        try:
            return self._loader.adopt(head_data)
        finally:
            self._turn.end()

    def _note_unavailable(self, error: Exception) -> None:
        if not self._freshness.store_unavailable:
            self._on_event("store_unavailable", {"reason": str(error)})
        self._freshness.set_store_unavailable(True)

    def _note_available(self) -> None:
        if self._freshness.store_unavailable:
            self._on_event("store_available", {})
        self._freshness.set_store_unavailable(False)
