"""Operators that race on one store, in an order chosen by a seed.

Each operator and follower is a greenlet that yields at each call to the store. The model records
what the store accepted and checks the guarantees of the configuration manager.
"""

import random

import greenlet
from fake_store import FakeStore, Fault
from result import Ok
from tanagerreach_core.config import (
    Change,
    ConflictError,
    Freshness,
    Kind,
    Limit,
    Workspace,
    configuration_from_chunks,
    decode_chunk,
    decode_head,
)
from tanagerreachd._commit import CommitContentionError, UnknownOutcomeError
from tanagerreachd._config_manager import ConfigManager
from tanagerreachd._configuration_state import CHUNK_PREFIX, HEAD_CONTENT, HEAD_KEY
from tanagerreachd._store_client import StoreUnavailableError

INDEFINITE_OUTCOMES = (UnknownOutcomeError, StoreUnavailableError, CommitContentionError)
EXPECTED_FAILURES = (ConflictError, StoreUnavailableError, CommitContentionError)
FAULT_RATES = (0.0, 0.05, 0.15, 0.3)
OBJECT_NAMES = ("w0", "w1", "w2")


class ModelError(AssertionError):
    """A guarantee was violated."""


def make_manager(store, now_s=lambda: 0.0, **options):
    """Create a manager that does not wait and discards its events."""
    options.setdefault("on_event", lambda name, details: None)
    options.setdefault("sleep", lambda delay_s: None)
    freshness = Freshness(slot_count=4)
    return ConfigManager(store=store, now_s=now_s, freshness=freshness, **options)


def creation(item):
    """Return the change that creates an object."""
    return Change(kind=item.kind, name=item.name, base_version=None, object=item, changed_by="")


def update(configuration, name, count):
    """Return the change that sets a workspace's counter."""
    current = configuration.workspaces.get(name)
    return Change(
        kind=Kind.WORKSPACE,
        name=name,
        base_version=None if current is None else current.version,
        object=Workspace(name=name, labels={"count": str(count)}),
        changed_by="",
    )


def count_of(configuration, name):
    """Return a workspace's counter."""
    current = configuration.workspaces.get(name)
    return 0 if current is None else int(current.labels["count"])


ALL_LIMIT = creation(Limit(name="all", rate_per_s=10.0, burst=20.0))


class RecordingStore(FakeStore):
    """Store that records each revision and checks that its chunks exist."""

    def __init__(self):
        super().__init__()
        self.transactions = []
        self.configurations = {}
        self.heads = {}

    def _put(self, key, value, expected_revision):
        revision = super()._put(key, value, expected_revision)
        if key == HEAD_KEY:
            self._record_head(value)
        return revision

    def _delete(self, key, expected_revision):
        super()._delete(key, expected_revision)
        self.check_chunks()

    def _record_head(self, value):
        head = decode_head(value)
        if head.revision != len(self.transactions) + 1:
            raise ModelError(f"revision {head.revision} follows {len(self.transactions)}")
        self.transactions.append(head.transactions[-1].id)
        self.heads[head.revision] = value
        chunks = self.check_chunks()
        self.configurations[head.revision] = configuration_from_chunks(head.revision, chunks)

    def check_chunks(self):
        """Check that the head's chunks exist and are intact."""
        stored = self.values.get(HEAD_KEY)
        if stored is None:
            return []
        chunks = []
        for item in decode_head(stored.value).chunks:
            value = self.values.get(CHUNK_PREFIX + item.hash)
            if value is None:
                raise ModelError(f"the head's chunk {item.hash} was deleted")
            chunks.append(decode_chunk(value.value, item.hash))
        return chunks

    def chunk_count(self):
        """Return the number of stored chunks."""
        return sum(key.startswith(CHUNK_PREFIX) for key in self.values)


class Race:
    """Operators, followers and peers that run in an order chosen by a seed.

    The seed also chooses the probability of a fault at each call to the store.
    """

    def __init__(self, seed, *, operator_count=4, commits_each=8):
        self.choose = random.Random(seed)
        self.store = RecordingStore()
        self.fault_rate = self.choose.choice(FAULT_RATES)
        self.commits_each = commits_each
        self.outcomes = {}
        self.unknown_count = 0
        self.events = set()
        self.managers = [
            make_manager(self.store, on_event=lambda name, details: self.events.add(name))
            for _ in range(operator_count + 2)
        ]
        self.highest = [0] * len(self.managers)
        setup = self.managers[0].commit([ALL_LIMIT], "setup", "ann")
        self.outcomes["setup"] = setup
        # The first two operators use the same instance, and all instances follow the store.
        self.operators = [self.managers[0], *self.managers[: operator_count - 1]]
        self.tasks = [
            *(greenlet.greenlet(lambda n=n: self.run_operator(n)) for n in range(operator_count)),
            *(greenlet.greenlet(lambda k=k: self.follow(k)) for k in self.managers),
        ]

    def run(self):
        """Run all tasks to their end and check the outcome."""
        self.store.before_call = lambda method, key: self.switch()
        self.store.choose_fault = self.fault
        self.main = greenlet.getcurrent()
        while any(not task.dead for task in self.tasks[: len(self.operators)]):
            self.choose.choice([task for task in self.tasks if not task.dead]).switch()
            if self.choose.random() < 0.05:
                self.store.deliver_late_writes()
            self.check_revisions()
        self.store.before_call = lambda method, key: None
        self.store.choose_fault = lambda method, key: None
        self.store.deliver_late_writes()
        self.check_outcomes()
        return self

    def switch(self):
        """Yield to another task."""
        if greenlet.getcurrent() is not self.main:
            self.main.switch()

    def fault(self, method, key):
        """Choose the fault of a call, ``None`` for no fault."""
        if self.choose.random() < self.fault_rate:
            return self.choose.choice(list(Fault))
        return None

    def run_operator(self, number):
        """Commit changes to shared objects, one by one."""
        manager = self.operators[number]
        for step in range(self.commits_each):
            transaction_id = f"{number}-{step}"
            changes = [self.choose_change(manager)]
            outcome = manager.commit(changes, transaction_id, "ann")
            if outcome.is_err() and isinstance(outcome.err_value, UnknownOutcomeError):
                self.unknown_count += 1
                outcome = self.resolve_outcome(manager, changes, transaction_id)
            self.outcomes[transaction_id] = outcome
            manager.load_from_store()

    def resolve_outcome(self, manager, changes, transaction_id):
        """Repeat a commit with an unknown outcome until its outcome is known."""
        while True:
            self.switch()
            outcome = manager.commit(changes, transaction_id, "ann")
            if outcome.is_ok() or not isinstance(outcome.err_value, INDEFINITE_OUTCOMES):
                return outcome

    def choose_change(self, manager):
        """Return a change that increments or removes a workspace's counter.

        A removal restores earlier content.
        """
        configuration = manager.configuration
        name = self.choose.choice(OBJECT_NAMES)
        current = configuration.workspaces.get(name)
        if current is not None and self.choose.random() < 0.4:
            return Change(
                kind=Kind.WORKSPACE,
                name=name,
                base_version=current.version,
                object=None,
                changed_by="",
            )
        return update(configuration, name, count_of(configuration, name) + 1)

    def follow(self, manager):
        """Follow the store and peers, which may be ahead or behind."""
        while True:
            peer = self.choose.choice(self.managers)
            if self.choose.random() < 0.5:
                manager.watch_store(0.0)
            else:
                manager.offer_peer_head(peer.revision, self.unreliable_fetch(peer))
            self.switch()

    def unreliable_fetch(self, peer):
        """Return a fetch function of a peer that sometimes returns old, damaged or no content."""

        def fetch(name):
            self.switch()
            data = peer.content(name)
            chance = self.choose.random()
            if chance < 0.1:
                return None
            if name == HEAD_CONTENT and chance < 0.3 and self.store.heads:
                return self.choose.choice(list(self.store.heads.values()))
            if name != HEAD_CONTENT and chance < 0.3:
                return self.other_chunk()
            return data

        return fetch

    def other_chunk(self):
        """Return a valid chunk that may not be the requested one."""
        known = [value.value for key, value in self.store.values.items() if key != HEAD_KEY]
        return self.choose.choice(known)

    def check_revisions(self):
        """Check that no revision decreases and each configuration is the accepted one."""
        for number, manager in enumerate(self.managers):
            if manager.revision < self.highest[number]:
                raise ModelError(f"revision {manager.revision} after {self.highest[number]}")
            self.highest[number] = manager.revision
            accepted = self.store.configurations.get(manager.revision)
            if manager.revision and manager.configuration != accepted:
                raise ModelError(f"revision {manager.revision} is not the accepted one")

    def check_outcomes(self):
        """Check that each reported outcome is true and each change was committed once."""
        committed = self.store.transactions
        if len(set(committed)) != len(committed):
            raise ModelError(f"a transaction was committed twice: {committed}")
        for transaction_id, outcome in self.outcomes.items():
            if isinstance(outcome, Ok):
                revision = outcome.ok_value.revision
                if committed[revision - 1 : revision] != [transaction_id]:
                    raise ModelError(f"{transaction_id} was not committed in revision {revision}")
            elif transaction_id in committed:
                raise ModelError(f"{transaction_id} was committed, but reported: {outcome}")
            elif not isinstance(outcome.err_value, EXPECTED_FAILURES):
                raise ModelError(f"{transaction_id} failed unexpectedly: {outcome}")
        if "head_behind" in self.events:
            raise ModelError("a head was treated as older than the accepted one")
        self.check_counts()
        self.store.check_chunks()

    def check_counts(self):
        """Check that no accepted change was based on an outdated object."""
        for revision in range(2, len(self.store.transactions) + 1):
            before = self.store.configurations[revision - 1]
            after = self.store.configurations[revision]
            for name in OBJECT_NAMES:
                step = count_of(after, name) - count_of(before, name)
                if step not in (0, 1) and name in after.workspaces:
                    raise ModelError(f"revision {revision} changed {name} by {step}")


class LaggingWatchStore(RecordingStore):
    """Store whose watch sometimes returns an earlier value of the head."""

    def __init__(self, seed):
        super().__init__()
        self.choose = random.Random(seed)

    def watch(self, key, after_revision, timeout_s):
        """Return the head of any revision."""
        found = super().watch(key, after_revision, timeout_s)
        if found is None or self.choose.random() < 0.5:
            return found
        value = self.choose.choice(list(self.heads.values()))
        return type(found)(key=key, value=value, revision=found.revision)
