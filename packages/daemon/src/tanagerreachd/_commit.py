"""Commits configuration changes to the store, all or none."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result
from tanagerreach_core.config import (
    EMPTY_HEAD,
    MAX_TRANSACTION_ID_CHARS,
    Change,
    Chunk,
    ChunkError,
    ChunkReference,
    Configuration,
    ConflictError,
    Finding,
    Head,
    ObjectDifference,
    ValidationError,
    apply_changes,
    check_configuration,
    decode_head,
    diff_configurations,
    encode_chunks,
    errors_of,
)

from ._configuration_loader import ConfigurationLoader, MissingChunkError
from ._configuration_state import (
    CHUNK_PREFIX,
    HEAD_KEY,
    ConfigurationState,
    LoadedConfiguration,
)
from ._store_client import (
    ConfigurationStore,
    ResponseLostError,
    StoreConflictError,
    StoredValue,
    StoreError,
    StoreUnavailableError,
)

MAX_COMMIT_ATTEMPTS = 30
# No further attempt starts after this time, since the operator waits for the response.
COMMIT_TIME_LIMIT_S = 10.0
MAX_COMMIT_DELAY_S = 0.05
MAX_CHUNK_WRITE_ATTEMPTS = 5
MAX_DELETIONS_PER_COMMIT = 16
# Number of revisions between two searches for chunks that failed commits left behind.
ORPHAN_SEARCH_INTERVAL = 64


class UnknownOutcomeError(Exception):
    """The store's response was lost, and it is unknown whether the commit took effect."""


class StoreBehindError(Exception):
    """The store's head is older than this instance's configuration, or contradicts it."""


class CommitContentionError(Exception):
    """Each attempt met another commit or lost its response; nothing was changed."""


CommitFailure = (
    ConflictError
    | ValidationError
    | ChunkError
    | MissingChunkError
    | StoreUnavailableError
    | UnknownOutcomeError
    | StoreBehindError
    | CommitContentionError
)


@dataclass(slots=True, kw_only=True, frozen=True)
class CommitReceipt:
    """A commit that took effect, or, for a dry run, one that passed all checks.

    ``revision`` is the commit's revision, or the current one if nothing was written. ``repeated``
    is true if an earlier call with the same transaction id committed the changes.
    """

    revision: int
    differences: list[ObjectDifference] = field(default_factory=list)
    warnings: list[Finding] = field(default_factory=list)
    repeated: bool = False


class Commit:
    """One commit, made in one or more attempts.

    :param state: holds the configuration in use, which a successful commit replaces.
    :param loader: loads the configuration that the changes are applied to.
    :param transaction_id: unique text chosen by the caller, up to 64 characters.
    :param changed_by: the operator, recorded in each changed object.
    :param dry_run: only check the changes against the store's configuration.
    :param sleep: waits a number of seconds between attempts.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        state: ConfigurationState,
        loader: ConfigurationLoader,
        changes: Sequence[Change],
        transaction_id: str,
        changed_by: str,
        dry_run: bool,
        now_s: Callable[[], float],
        sleep: Callable[[float], None],
        random: Random,
    ) -> None:
        if not 0 < len(transaction_id) <= MAX_TRANSACTION_ID_CHARS:
            raise ValueError(f"a transaction id has 1 to {MAX_TRANSACTION_ID_CHARS} characters")
        self._store = store
        self._state = state
        self._loader = loader
        self._changes = [_with_author(change, changed_by) for change in changes]
        self._transaction_id = transaction_id
        self._dry_run = dry_run
        self._now_s = now_s
        self._sleep = sleep
        self._random = random
        # Store revision that a compare-and-swap without a response was based on.
        self._uncertain_base_revision: int | None = None

    def run(self) -> Result[CommitReceipt, CommitFailure]:
        """Attempt the commit until its outcome is known or the time limit has passed."""
        ends_at_s = self._now_s() + COMMIT_TIME_LIMIT_S
        last_error: Exception = CommitContentionError(
            "other commits or lost answers prevented it; repeat it"
        )
        for _ in range(MAX_COMMIT_ATTEMPTS):
            if self._now_s() > ends_at_s:
                break
            try:
                receipt = self.attempt()
            except StoreUnavailableError as error:
                return Err(self.failure(error))
            except ResponseLostError as error:
                return Err(self.failure(StoreUnavailableError(str(error))))
            except (ConflictError, ValidationError) as error:
                return Err(error)
            except MissingChunkError as error:
                # A later commit may have deleted chunks of the head that was read.
                last_error = error
                receipt = None
            except (ChunkError, StoreBehindError) as error:
                return Err(self.failure(error))
            if receipt is not None:
                return Ok(receipt)
            self._sleep(self._random.uniform(0.0, MAX_COMMIT_DELAY_S))
        return Err(self.failure(last_error))

    def failure(self, error: Exception) -> Exception:
        """Return the error to report: ``UnknownOutcomeError`` if the outcome is unknown."""
        if self._uncertain_base_revision is None:
            return error
        return UnknownOutcomeError(
            f"the commit may have taken effect ({error}); repeat it with the same transaction id"
        )

    def attempt(self) -> CommitReceipt | None:
        """Attempt the commit once.

        :returns: the receipt, or ``None`` if another attempt is needed.
        """
        current = self._state.current
        stored = self._store.read(HEAD_KEY)
        base_revision = 0 if stored is None else stored.revision
        head = EMPTY_HEAD if stored is None else decode_head(stored.value)
        if current.contradicts(head, b"" if stored is None else stored.value):
            raise StoreBehindError(
                f"the store's head is at revision {head.revision}, but this instance has accepted "
                f"revision {current.head.revision} with other content; restore the store's head"
            )
        committed_revision = head.revision_of(self._transaction_id)
        if committed_revision is not None:
            self._uncertain_base_revision = None
            self._loader.adopt(stored.value)
            return CommitReceipt(revision=committed_revision, repeated=True)
        if self._uncertain_base_revision not in (None, base_revision):
            # The head has changed, so a delayed compare-and-swap on the earlier one must fail.
            self._uncertain_base_revision = None
        return self._apply_and_write(self._load_base(stored), base_revision)

    def _apply_and_write(
        self, base: LoadedConfiguration, base_revision: int
    ) -> CommitReceipt | None:
        """Apply the changes to the base, and write the result unless this is a dry run."""
        before = base.resolver.configuration
        after, warnings = self._changed_configuration(before)
        differences = diff_configurations(before, after)
        revision = before.revision
        if self._changes and not self._dry_run:
            loaded = self._write_chunks(base, after)
            if not self._swap_head(loaded, base_revision):
                return None
            revision = loaded.head.revision
        return CommitReceipt(revision=revision, warnings=warnings, differences=differences)

    def _load_base(self, stored: StoredValue | None) -> LoadedConfiguration:
        if stored is None:
            return LoadedConfiguration.empty()
        return self._loader.load(stored.value)

    def _changed_configuration(self, before: Configuration) -> tuple[Configuration, list[Finding]]:
        applied = apply_changes(before, self._changes)
        if isinstance(applied, Err):
            raise applied.err_value
        after = applied.ok_value
        # Yields to request handling in between: checking 51,000 workspaces takes over 0.1 s.
        findings = check_configuration(after, before, lambda: self._sleep(0.0))
        self._sleep(0.0)
        errors = errors_of(findings)
        if errors:
            raise ValidationError(errors)
        return after, findings

    def _write_chunks(
        self, base: LoadedConfiguration, configuration: Configuration
    ) -> LoadedConfiguration:
        """Write the new chunks and build the next head."""
        before = base.resolver.configuration
        chunks = encode_chunks(configuration, list(base.chunks.values()), before)
        references = {item.hash: item for item in base.head.chunks}
        for chunk in chunks:
            if chunk.hash not in references:
                revision = self._write_chunk(chunk)
                references[chunk.hash] = ChunkReference(chunk.hash, revision)
        head = base.head.next(
            chunks=[references[chunk.hash] for chunk in chunks],
            transaction_id=self._transaction_id,
            retired=self._collect_garbage(base.head),
        )
        by_hash = {chunk.hash: chunk for chunk in chunks}
        return LoadedConfiguration.build(head, by_hash, configuration, self._state.current.resolver)

    def _write_chunk(self, chunk: Chunk) -> int:
        """Write a chunk, also if it exists, so that its key gets a new store revision.

        A deletion that an earlier head allows at the former store revision then fails, see
        ``tanagerreach_core._head``.
        """
        key = CHUNK_PREFIX + chunk.hash
        expected_revision = 0
        for _ in range(MAX_CHUNK_WRITE_ATTEMPTS):
            try:
                return self._store.compare_and_swap(key, chunk.data, expected_revision)
            except (ResponseLostError, StoreConflictError):
                stored = self._store.read(key)
                expected_revision = 0 if stored is None else stored.revision
        raise StoreUnavailableError(f"store key {key} can't be written; repeat the commit")

    def _swap_head(self, loaded: LoadedConfiguration, base_revision: int) -> bool:
        requested_at_s = self._now_s()
        try:
            store_revision = self._store.compare_and_swap(HEAD_KEY, loaded.head_data, base_revision)
        except StoreConflictError:
            return False
        except ResponseLostError:
            self._uncertain_base_revision = base_revision
            return False
        self._uncertain_base_revision = None
        self._state.use(loaded)
        self._state.freshness.confirm_from_store(loaded.head.revision, requested_at_s)
        self._state.record_seen_revisions(store_revision, loaded.head.revision)
        return True

    def _collect_garbage(self, base: Head) -> list[ChunkReference]:
        """Delete retired chunks; return those that remain, and orphaned chunks.

        Deletion is safe since the base head is committed and lists the chunks as retired. A failed
        deletion only costs space, and a later commit retries it.
        """
        retired = list(base.retired)
        remaining = retired[MAX_DELETIONS_PER_COMMIT:]
        for item in retired[:MAX_DELETIONS_PER_COMMIT]:
            try:
                self._store.delete(CHUNK_PREFIX + item.hash, item.store_revision)
            except StoreConflictError:
                continue
            except StoreError:
                remaining.append(item)
        if (base.revision + 1) % ORPHAN_SEARCH_INTERVAL == 0:
            remaining.extend(self._find_orphans(base))
        return remaining

    def _find_orphans(self, base: Head) -> list[ChunkReference]:
        try:
            stored = self._store.list_keys(CHUNK_PREFIX)
        except StoreError:
            return []
        found = (
            ChunkReference(item.key.removeprefix(CHUNK_PREFIX), item.revision) for item in stored
        )
        known = {*base.chunks, *base.retired}
        return [item for item in found if item not in known]


def _with_author(change: Change, changed_by: str) -> Change:
    return Change(
        kind=change.kind,
        name=change.name,
        base_version=change.base_version,
        object=change.object,
        changed_by=changed_by,
    )
