"""Tests of the configuration manager."""

import contextlib
import itertools
import threading
import unittest
from unittest import mock

import msgspec
from config_manager_model import (
    ALL_LIMIT,
    LaggingWatchStore,
    ModelError,
    Race,
    RecordingStore,
    creation,
    make_manager,
    update,
)
from fake_store import Fault
from tanagerreach_core import _changes
from tanagerreach_core.config import ChunkError, Head, Workspace, apply_changes, decode_chunk
from tanagerreachd import _commit, _config_manager, _configuration_loader
from tanagerreachd._commit import Commit, StoreBehindError, UnknownOutcomeError
from tanagerreachd._config_manager import ConfigManager
from tanagerreachd._configuration_state import (
    CHUNK_PREFIX,
    HEAD_CONTENT,
    HEAD_KEY,
    ConfigurationState,
)
from tanagerreachd._store_client import ResponseLostError, StoreConflictError

TRUE_NEXT = Head.next
SEEDS = range(120)


def race_fails():
    """Return whether the race violates a guarantee with any seed."""
    for seed in SEEDS:
        try:
            Race(seed).run()
        except ModelError:
            return True
    return False


class RaceTest(unittest.TestCase):
    """Accepted changes take effect once and are never reverted, whatever the order of events."""

    def setUp(self):
        # A short search interval makes races include the deletion of orphaned chunks.
        patch = mock.patch.object(_commit, "ORPHAN_SEARCH_INTERVAL", 2)
        patch.start()
        self.addCleanup(patch.stop)

    def test_guarantees_hold(self):
        """Guards against lost, repeated or reverted changes, and against deleting used chunks."""
        races = [Race(seed).run() for seed in SEEDS]
        committed = sum(len(race.store.transactions) for race in races)
        refused = sum(outcome.is_err() for race in races for outcome in race.outcomes.values())
        self.assertGreater(committed, 10 * len(races))
        self.assertGreater(refused, len(races))
        self.assertGreater(sum(race.unknown_count for race in races), 30)

    def test_broken_variants_are_caught(self):
        """Guards against a model that does not detect a violated guarantee."""
        variants = {
            "ignores the transaction id": mock.patch.object(
                Head, "revision_of", lambda head, transaction_id: None
            ),
            "uses a lower revision": mock.patch.object(ConfigurationState, "use", use_any_revision),
            "keeps an existing chunk's store revision": mock.patch.object(
                Commit, "_write_chunk", write_missing_chunk
            ),
            "deletes chunks before they are retired": mock.patch.object(
                Commit, "_collect_garbage", delete_before_commit
            ),
            "retires content that is referenced": mock.patch.object(
                Head, "next", next_with_referenced_content_retired
            ),
            "overwrites changed objects": mock.patch.object(
                _commit, "apply_changes", apply_without_versions
            ),
            "treats a lost response as a success": mock.patch.object(
                Commit, "_swap_head", swap_and_trust
            ),
            "treats a lost response as a failure": mock.patch.object(
                Commit, "failure", lambda commit, error: error
            ),
            "trusts the content of peers": mock.patch.object(
                _configuration_loader, "decode_chunk", lambda data, name: decode_chunk(data)
            ),
        }
        for name, variant in variants.items():
            with self.subTest(variant=name), variant:
                self.assertTrue(race_fails())

    def test_garbage_does_not_pile_up(self):
        """Guards against chunks of earlier revisions and failed commits that are never deleted."""
        race = Race(1, commits_each=25).run()
        manager = race.operators[0]
        manager.load_from_store()
        for step in range(16):
            change = update(manager.configuration, "w0", step)
            manager.commit([change], f"end-{step}", "ann").unwrap()
        self.assertGreater(len(race.store.transactions), 50)
        self.assertLessEqual(race.store.chunk_count(), 6)


def use_any_revision(state, loaded):
    """Variant: use a configuration whatever its revision."""
    state.current = loaded


def write_missing_chunk(commit, chunk):
    """Variant: do not write a chunk that exists."""
    key = CHUNK_PREFIX + chunk.hash
    while (stored := commit._store.read(key)) is None:
        with contextlib.suppress(ResponseLostError, StoreConflictError):
            commit._store.compare_and_swap(key, chunk.data, 0)
    return stored.revision


def delete_before_commit(commit, base):
    """Variant: delete listed chunks that the base head does not reference."""
    kept = {item.hash for item in base.chunks}
    for item in commit._find_orphans(base):
        if item.hash not in kept:
            commit._store.delete(CHUNK_PREFIX + item.hash, item.store_revision)
    return []


def next_with_referenced_content_retired(head, *, chunks, transaction_id, retired):
    """Variant: retire chunks by store revision, although their content is referenced."""
    committed = TRUE_NEXT(head, chunks=chunks, transaction_id=transaction_id, retired=retired)
    kept = set(committed.chunks)
    candidates = dict.fromkeys(item for item in (*retired, *head.chunks) if item not in kept)
    return msgspec.structs.replace(committed, retired=tuple(candidates))


def apply_without_versions(configuration, changes):
    """Variant: apply a change to any version of the object."""
    current = [configuration.of_kind(change.kind).get(change.name) for change in changes]
    rebased = [
        _changes.Change(
            kind=change.kind,
            name=change.name,
            base_version=None if item is None else item.version,
            object=change.object,
            changed_by=change.changed_by,
        )
        for change, item in zip(changes, current, strict=True)
    ]
    return apply_changes(configuration, rebased)


def swap_and_trust(commit, loaded, base_revision):
    """Variant: treat a commit as successful although its response was lost."""
    try:
        commit._store.compare_and_swap(HEAD_KEY, loaded.head_data, base_revision)
    except ResponseLostError:
        return True
    except Exception:
        return False
    return True


def wrong_outcomes():
    """Commit with each fault at each call, and return the cases with a wrong outcome."""
    wrong = []
    for fault, stays_down in itertools.product(Fault, (True, False)):
        for step in itertools.count():
            reached, correct = commit_with_fault(fault, stays_down, step)
            if not correct:
                wrong.append((fault, stays_down, step))
            if not reached:
                break
    return wrong


def commit_with_fault(fault, stays_down, step):
    """Commit with a fault at one call, then again at another instance with the store up.

    :returns: whether the commit reached that call, and whether the outcomes were right.
    """
    store = RecordingStore()
    manager, other = make_manager(store), make_manager(store)
    manager.commit([ALL_LIMIT], "setup", "ann").unwrap()
    calls = itertools.count()

    def choose_fault(method, key):
        number = next(calls)
        if number == step:
            return fault
        return Fault.DOWN if stays_down and number > step else None

    store.choose_fault = choose_fault
    changes = [creation(Workspace(name="acme", labels={"count": "1"}))]
    first = manager.commit(changes, "t1", "ann")
    store.choose_fault = lambda method, key: None
    unknown = first.is_err() and isinstance(first.err_value, UnknownOutcomeError)
    correct = unknown or first.is_ok() == ("t1" in store.transactions)
    other.load_from_store()
    second = other.commit(changes, "t1", "ann")
    store.deliver_late_writes()
    store.check_chunks()
    correct = correct and second.is_ok() and store.transactions.count("t1") == 1
    return next(calls) > step, correct


class CommitTest(unittest.TestCase):
    """A commit must take effect once, or not at all and report that."""

    def setUp(self):
        self.store = RecordingStore()
        self.manager = make_manager(self.store)
        self.manager.commit([ALL_LIMIT], "setup", "ann").unwrap()

    def test_store_down_at_every_step(self):
        """Guards against wrong outcomes of commits during which the store fails."""
        self.assertEqual(wrong_outcomes(), [])
        for variant in (
            mock.patch.object(Commit, "_swap_head", swap_and_trust),
            mock.patch.object(Commit, "failure", lambda commit, error: error),
            mock.patch.object(Head, "revision_of", lambda head, transaction_id: None),
        ):
            with variant:
                self.assertTrue(wrong_outcomes())

    def test_changes_to_other_objects_are_replayed(self):
        """Guards against a conflict between unrelated changes."""
        other = make_manager(self.store)
        other.commit([creation(Workspace(name="w1"))], "t1", "ben").unwrap()
        receipt = self.manager.commit([creation(Workspace(name="w2"))], "t2", "ann").unwrap()
        self.assertEqual(receipt.revision, 3)
        self.assertEqual(self.manager.configuration.workspaces.keys(), {"w1", "w2"})
        self.assertEqual(self.manager.configuration.workspaces["w1"].changed_by, "ben")

    def test_conflict_names_the_other_change(self):
        """Guards against an operator who overwrites another one's change."""
        change = creation(Workspace(name="w1"))
        make_manager(self.store).commit([change], "t1", "ben").unwrap()
        error = self.manager.commit([change], "t2", "ann").err_value
        self.assertIn("workspace w1: already exists (changed by ben in revision 2)", str(error))

    def test_invalid_changes_and_dry_runs_write_nothing(self):
        """Guards against a refused change or a dry run that writes to the store."""
        before = dict(self.store.values)
        bad = creation(Workspace(name="bad name"))
        self.assertIn("bad name", str(self.manager.commit([bad], "t1", "ann").err_value))
        good = creation(Workspace(name="w1"))
        receipt = self.manager.commit([good], "t1", "ann", dry_run=True).unwrap()
        self.assertEqual([item.name for item in receipt.differences], ["w1"])
        self.assertEqual(self.manager.commit([], "t1", "ann").unwrap().revision, 1)
        self.assertEqual(self.store.values, before)

    def test_a_store_that_lost_its_head_is_refused(self):
        """Guards against assigning a revision a second time to other content."""
        old = self.store.values[HEAD_KEY]
        self.manager.commit([creation(Workspace(name="w1"))], "t1", "ann").unwrap()
        self.store.values[HEAD_KEY] = old
        self.assertFalse(self.manager.load_from_store())
        error = self.manager.commit([creation(Workspace(name="w2"))], "t2", "ann").err_value
        self.assertIsInstance(error, StoreBehindError)
        behind = make_manager(self.store)
        behind.load_from_store()
        with mock.patch.object(self.store, "_record_head"):
            behind.commit([creation(Workspace(name="w3"))], "t3", "ann").unwrap()
        self.assertFalse(self.manager.load_from_store())
        self.assertEqual(self.manager.configuration.workspaces.keys(), {"w1"})
        error = self.manager.commit([creation(Workspace(name="w2"))], "t2", "ann").err_value
        self.assertIsInstance(error, StoreBehindError)


def falls_with_lagging_watch():
    """Follow a store whose watch lags, and return whether the revision ever decreased."""
    store = LaggingWatchStore(seed=2)
    first, second = make_manager(store), make_manager(store)
    first.commit([ALL_LIMIT], "setup", "ann").unwrap()
    revisions = []
    for step in range(60):
        if step % 3 == 0:
            first.commit([creation(Workspace(name=f"w{step}"))], f"t{step}", "ann")
        second.watch_store(0.0)
        revisions.append(second.revision)
        if second.revision and second.configuration != store.configurations[second.revision]:
            return True
    return revisions != sorted(revisions) or revisions[-1] < 10


def accept_stored_unchecked(manager, stored, requested_at_s, current):
    """Variant: adopt any head of the store."""
    return manager._loader.adopt(stored.value)


class FollowTest(unittest.TestCase):
    """Each instance must get the accepted revision, and no other, from any available source."""

    def setUp(self):
        self.store = RecordingStore()
        self.first = make_manager(self.store)
        self.first.commit([ALL_LIMIT], "setup", "ann").unwrap()
        self.events = []
        self.now_s = 0.0
        self.second = make_manager(
            self.store,
            now_s=lambda: self.now_s,
            on_event=lambda name, details: self.events.append(name),
            fetch_chunk=self.first.content,
        )

    def commit(self, number):
        """Commit one more workspace."""
        change = creation(Workspace(name=f"w{number}"))
        self.first.commit([change], f"t{number}", "ann").unwrap()

    def test_lagging_watch(self):
        """Guards against a lagging watch that returns an instance to an earlier revision."""
        self.assertFalse(falls_with_lagging_watch())
        with (
            mock.patch.object(ConfigurationState, "use", use_any_revision),
            mock.patch.object(ConfigManager, "_accept_stored_head", accept_stored_unchecked),
        ):
            self.assertTrue(falls_with_lagging_watch())

    def test_store_down_right_after_the_change(self):
        """Guards against an accepted change that does not spread during a store outage."""
        self.second.load_from_store()
        self.commit(1)
        self.store.choose_fault = lambda method, key: Fault.DOWN
        self.assertFalse(self.second.watch_store(0.0))
        self.assertTrue(self.second.offer_peer_head(2, self.first.content))
        self.assertEqual(self.second.configuration, self.first.configuration)
        self.assertEqual(self.second.content(HEAD_CONTENT), self.first.content(HEAD_CONTENT))
        self.assertFalse(self.second.watch_store(0.0))
        self.assertEqual(self.events.count("store_unavailable"), 1)
        self.store.choose_fault = lambda method, key: None
        self.assertTrue(self.second.watch_store(0.0))
        self.assertEqual(self.events.count("store_available"), 1)

    def test_lasting_problem_is_reported_once(self):
        """Guards against a watch loop that floods the timeline with one problem."""
        self.second.load_from_store()
        stored = self.store.values[HEAD_KEY]
        damaged = type(stored)(key=HEAD_KEY, value=b"x", revision=stored.revision + 1)
        self.store.values[HEAD_KEY] = damaged
        for _ in range(3):
            self.assertFalse(self.second.watch_store(0.0))
        self.assertEqual(self.events.count("head_refused"), 1)

    def test_chunks_come_from_peers_when_the_store_fails_in_between(self):
        """Guards against a head that was read but whose chunks cannot be loaded."""
        self.commit(1)
        self.store.choose_fault = lambda method, key: (
            Fault.DOWN if key.startswith(CHUNK_PREFIX) else None
        )
        self.assertTrue(self.second.load_from_store())
        self.assertEqual(self.second.revision, 2)

    def test_damaged_content_of_peers_is_refused(self):
        """Guards against using a peer's content that differs from what was accepted."""
        self.second.load_from_store()
        self.commit(1)
        self.store.choose_fault = lambda method, key: Fault.DOWN
        head = self.first.content(HEAD_CONTENT)
        chunk = next(iter(self.first._state.current.chunks.values())).data
        for content in (None, b"", head[:-1], head + b"x", chunk):
            self.assertFalse(self.second.offer_peer_head(2, lambda name, c=content: c))
        self.second._loader._fetch_chunk = None
        for content in (None, b"", chunk[:-1], chunk + b"x"):
            contents = {HEAD_CONTENT: head}
            fetch = lambda name, c=contents, d=content: c.get(name, d)  # noqa: E731
            self.assertFalse(self.second.offer_peer_head(2, fetch))
        self.assertFalse(self.second.offer_peer_head(2, self.first.content, "0" * 64))
        self.assertEqual(self.second.revision, 1)
        self.assertTrue(self.second.offer_peer_head(2, self.first.content, self.first.head_hash))

    def test_older_peers_are_ignored(self):
        """Guards against adopting an older revision, or one below what the peer reported."""
        old = make_manager(self.store)
        old.load_from_store()
        self.commit(1)
        self.second.load_from_store()
        for revision in (1, 2, 3):
            self.second.offer_peer_head(revision, old.content)
            self.assertEqual(self.second.revision, 2)
        self.second.offer_peer_head(2, lambda name: self.fail("fetched a known revision"))

    def test_one_offer_at_a_time(self):
        """Guards against fetching the same revision from several peers at once."""
        self.second.load_from_store()
        self.commit(1)
        requested = []

        def fetch(name):
            requested.append(name)
            self.second.offer_peer_head(2, fetch)
            return self.first.content(name)

        self.assertTrue(self.second.offer_peer_head(2, fetch))
        self.assertEqual(requested.count(HEAD_CONTENT), 1)
        self.commit(2)
        self.assertTrue(self.second.offer_peer_head(3, self.first.content))

    def test_long_load_is_one_offer(self):
        """Guards against fetching each chunk once per peer that reports a revision at start."""
        for number in range(1, 4):
            self.commit(number)
        now_s = 0.0
        second = make_manager(self.store, lambda: now_s)
        requested = []

        def fetch(name):
            nonlocal now_s
            now_s += 0.4
            requested.append(name)
            second.offer_peer_head(4, fetch)
            return self.first.content(name)

        self.assertTrue(second.offer_peer_head(4, fetch))
        self.assertGreater(now_s, 2 * _configuration_loader.LOAD_STALL_TIMEOUT_S)
        self.assertEqual(len(requested), len(set(requested)))

    def test_one_load_at_start(self):
        """Guards against loading all chunks twice at start: a peer's head and the store's.

        With 51,000 workspaces, each load takes 252 chunks. A new instance made two loads at once.
        """
        self.first.commit(
            [creation(Workspace(name=f"many-{number}")) for number in range(4000)], "many", "ann"
        ).unwrap()
        revision = self.first.revision
        requested = []

        def fetch(name):
            requested.append(name)
            if name != HEAD_CONTENT:
                self.assertFalse(self.second.load_from_store())
            return self.first.content(name)

        self.assertTrue(self.second.offer_peer_head(revision, fetch))
        self.assertGreater(len(requested), _configuration_loader.STORE_FIRST_MAX_CHUNKS)
        self.assertEqual(len(requested), len(set(requested)))
        self.second = make_manager(self.store, fetch_chunk=fetch)
        self.assertTrue(self.second.load_from_store(), "the store's head alone is loaded")

    def test_incomplete_load_goes_on(self):
        """Guards against fetching all chunks again after a load in which one was missing."""
        self.commit(1)
        names = []

        def fetch(name):
            names.append(name)
            return self.first.content(name) if len(names) != 2 else None

        self.store.choose_fault = lambda method, key: Fault.DOWN
        self.second._loader._fetch_chunk = None
        self.assertFalse(self.second.offer_peer_head(2, fetch))
        self.assertTrue(self.second.offer_peer_head(2, fetch))
        chunk_names = [name for name in names if name != HEAD_CONTENT]
        self.assertEqual(len(chunk_names), len(self.first._state.current.chunks) + 1)

    def test_freshness_counts_from_before_the_call(self):
        """Guards against counting a slow response as a confirmation at its arrival."""
        freshness = self.second._freshness

        def respond_late(method, key):
            self.now_s += 2.0

        self.store.before_call = respond_late
        self.second.load_from_store()
        self.assertEqual(freshness.age_s(self.now_s), self.now_s)
        self.assertTrue(self.second.watch_store(0.0))
        self.assertEqual(freshness.age_s(self.now_s), 2.0)
        self.store.before_call = lambda method, key: None
        self.store.choose_fault = lambda method, key: Fault.DOWN
        self.now_s += 1.5
        self.assertFalse(self.second.watch_store(0.0))
        self.assertFalse(freshness.may_serve_keyed(self.now_s))

    def test_unknown_content_is_not_served(self):
        """Guards against responses to peers for content that the instance does not have."""
        self.assertIsNone(self.second.content(HEAD_CONTENT))
        self.assertIsNone(self.second.content("0" * 64))
        self.second.load_from_store()
        for item in Race(0).store.values:
            self.assertIsNone(self.second.content(item))
        for name in self.second._state.current.chunks:
            self.assertEqual(decode_chunk(self.second.content(name), name).hash, name)
        with self.assertRaises(ChunkError):
            decode_chunk(self.second.content(HEAD_CONTENT))

    def test_follow_loop(self):
        """Guards against a loop that does not end, or that ends at the first store error."""
        stop = threading.Event()
        calls = itertools.count()

        def choose_fault(method, key):
            if next(calls) == 5:
                stop.set()
            return Fault.DOWN if method == "watch" else None

        self.store.choose_fault = choose_fault
        with mock.patch.object(_config_manager, "RETRY_DELAY_S", 0.001):
            self.second.follow_store(stop)
        self.assertGreaterEqual(next(calls), 6)
