"""Tests of the decision whether keyed requests may be served."""

import random
import unittest
from unittest import mock

from tanagerreach_core.config import Freshness
from tanagerreach_core.messages import SlotSet

LIMIT_S = 3.0
EARLIER_S = 1e-6
SLOT_COUNT = 4
STEP_S = 0.05
RUN_S = 60.0


def fresh_at(confirmed_at_s=0.0, revision=5, slot_count=SLOT_COUNT):
    """Make an instance whose revision the store confirmed at a time."""
    freshness = Freshness(slot_count=slot_count)
    freshness.adopt(revision)
    freshness.confirm_from_store(revision, confirmed_at_s)
    return freshness


def record_status(freshness, slots, as_of_s, revision=5, store_unavailable=True):
    """Record statuses of holders that have no recent confirmation."""
    freshness.confirm_from_peer(
        SlotSet(slots),
        revision=revision,
        revision_age_s=float("inf"),
        store_unavailable=store_unavailable,
        requested_at_s=as_of_s,
    )


class FreshnessTest(unittest.TestCase):
    """An instance that misses a withdrawal must stop serving the key within the stated window."""

    def test_limit_after_a_store_confirmation(self):
        """Guards against a withdrawn key served after the limit, or refused before it."""
        freshness = fresh_at(10.0)
        self.assertTrue(freshness.may_serve_keyed(10.0 + LIMIT_S))
        self.assertFalse(freshness.may_serve_keyed(10.0 + LIMIT_S + EARLIER_S))

    def test_peer_confirmation_counts_from_the_request(self):
        """Guards against transit time that makes a configuration look younger than it is."""
        freshness = fresh_at(0.0)
        freshness.confirm_from_peer(
            SlotSet([1]),
            revision=5,
            revision_age_s=1.0,
            store_unavailable=False,
            requested_at_s=4.0,
        )
        self.assertTrue(freshness.may_serve_keyed(3.0 + LIMIT_S - 0.001))
        self.assertFalse(freshness.may_serve_keyed(3.0 + LIMIT_S))

    def test_higher_revision_confirms_only_once_adopted(self):
        """Guards against a confirmation of a revision that the instance does not have."""
        freshness = fresh_at(0.0)
        freshness.confirm_from_store(6, 2.0)
        self.assertFalse(freshness.may_serve_keyed(4.0))
        freshness.adopt(6)
        self.assertTrue(freshness.may_serve_keyed(4.0))
        freshness.adopt(4)
        self.assertEqual(freshness.revision, 6)

    def test_older_confirmations_do_not_age_it(self):
        """Guards against a late response of the store that makes a fresh instance refuse."""
        freshness = fresh_at(10.0)
        freshness.confirm_from_store(5, 1.0)
        self.assertEqual(freshness.age_s(12.0), 2.0)

    def test_invalid_ages_are_ignored(self):
        """Guards against an age that would keep an instance fresh for ever."""
        for age_s in (float("nan"), float("-inf"), -5.0, float("inf")):
            freshness = fresh_at(0.0)
            freshness.confirm_from_peer(
                SlotSet([1]),
                revision=5,
                revision_age_s=age_s,
                store_unavailable=False,
                requested_at_s=1.0,
            )
            self.assertEqual(freshness.age_s(2.0), 2.0)

    def test_outage_needs_more_than_half_of_the_slots(self):
        """Guards against the smaller side of a partition that serves during a withdrawal."""
        for slots, expected in (([0, 1], False), ([0, 1, 2], True), ([0, 0, 1], False)):
            freshness = fresh_at(0.0)
            record_status(freshness, slots, 10.0)
            self.assertEqual(freshness.may_serve_keyed(10.5), expected)

    def test_limit_of_holder_statuses(self):
        """Guards against statuses that count for longer than the limit."""
        freshness = fresh_at(0.0)
        record_status(freshness, [0, 1], 10.0)
        record_status(freshness, [2], 9.0)
        self.assertTrue(freshness.may_serve_keyed(9.0 + LIMIT_S))
        self.assertFalse(freshness.may_serve_keyed(9.0 + LIMIT_S + EARLIER_S))

    def test_own_slots_count(self):
        """Guards against own slots that are not counted, or counted while the store works."""
        freshness = fresh_at(0.0)
        freshness.set_own_slots(SlotSet([2]))
        record_status(freshness, [0, 1, 2], 10.0)
        self.assertFalse(freshness.may_serve_keyed(10.0))
        freshness.set_store_unavailable(True)
        self.assertTrue(freshness.may_serve_keyed(10.0))

    def test_majority_of_one_instance(self):
        """Guards against an instance that is cut off and takes this for an outage of the store."""
        freshness = fresh_at(0.0)
        freshness.set_own_slots(SlotSet([0, 1, 2]))
        freshness.set_store_unavailable(True)
        self.assertFalse(freshness.may_serve_keyed(10.0))
        record_status(freshness, [3], 10.0)
        self.assertTrue(freshness.may_serve_keyed(10.0))
        sole_holder = fresh_at(0.0)
        sole_holder.set_own_slots(SlotSet(range(SLOT_COUNT)))
        sole_holder.set_store_unavailable(True)
        self.assertTrue(sole_holder.may_serve_keyed(10.0), "no other instance holds a slot")

    def test_a_higher_revision_ends_the_outage_rule(self):
        """Guards against serving although a holder has a later revision."""
        freshness = fresh_at(0.0)
        record_status(freshness, [0, 1, 2], 10.0)
        record_status(freshness, [3], 10.0, revision=6, store_unavailable=False)
        self.assertFalse(freshness.may_serve_keyed(10.0))
        freshness.adopt(6)
        self.assertTrue(freshness.may_serve_keyed(10.0))

    def test_a_recovered_store_ends_the_outage_rule(self):
        """Guards against an outdated status of a holder that reaches the store again."""
        freshness = fresh_at(0.0)
        record_status(freshness, [0, 1, 2], 10.0)
        record_status(freshness, [2], 11.0, store_unavailable=False)
        record_status(freshness, [2], 10.5)
        self.assertFalse(freshness.may_serve_keyed(11.0))

    def test_bootstrap(self):
        """Guards against a new instance that serves an old configuration."""
        by_store = Freshness(slot_count=SLOT_COUNT)
        by_store.confirm_from_store(5, 0.0)
        self.assertFalse(by_store.may_serve_keyed(0.1))
        by_store.adopt(4)
        self.assertFalse(by_store.may_serve_keyed(0.1))
        by_store.adopt(5)
        self.assertTrue(by_store.may_serve_keyed(0.1))
        by_peers = Freshness(slot_count=SLOT_COUNT)
        by_peers.adopt(5)
        record_status(by_peers, [0, 1], 0.0)
        self.assertFalse(by_peers.may_serve_keyed(0.1))
        record_status(by_peers, [2], 0.0, revision=6)
        self.assertFalse(by_peers.may_serve_keyed(0.1))
        by_peers.adopt(6)
        self.assertTrue(by_peers.may_serve_keyed(0.1))
        contradicted = Freshness(slot_count=SLOT_COUNT)
        contradicted.adopt(5)
        record_status(contradicted, [0, 1, 2], 0.0)
        record_status(contradicted, [3], 0.0, revision=6)
        self.assertFalse(contradicted.is_bootstrapped(0.1))
        empty = Freshness(slot_count=SLOT_COUNT)
        empty.confirm_from_store(0, 0.0)
        self.assertFalse(empty.may_serve_keyed(0.1))

    def test_majority_that_has_a_revision(self):
        """Guards against a change reported to be in force while most holders lack it."""
        freshness = fresh_at(0.0)
        record_status(freshness, [0], 0.0, revision=5)
        record_status(freshness, [1], 0.0, revision=4)
        self.assertFalse(freshness.held_by_majority(5))
        freshness.set_own_slots(SlotSet([3]))
        self.assertTrue(freshness.held_by_majority(5))
        self.assertFalse(freshness.held_by_majority(6))


class _Instance:
    """Holder of one slot in the model."""

    def __init__(self, slot):
        self.slot = slot
        self.revision = 1
        self.freshness = fresh_at(0.0, revision=1)
        self.freshness.set_own_slots(SlotSet([slot]))
        self.store_reachable = True
        self.peers_reachable = True

    def adopt(self, revision):
        self.revision = max(self.revision, revision)
        self.freshness.adopt(revision)


class _Model:
    """Model of instances, store and messages with random cuts, delays and losses.

    Checks the window that the docstring of :class:`Freshness` states.
    """

    def __init__(self, seed):
        self.choose = random.Random(seed)
        self.now_s = 0.0
        self.instances = [_Instance(slot) for slot in range(SLOT_COUNT)]
        self.head = 1
        self.committed_at_s = {1: 0.0}
        self.half_has_at_s = {}
        self.pending = []
        self.served_in_outage = 0
        self.violations = []

    def run(self):
        """Run the model for :data:`RUN_S`."""
        while self.now_s < RUN_S:
            self.now_s += STEP_S
            self.change_cuts()
            due = [item for item in self.pending if item[0] <= self.now_s]
            self.pending = [item for item in self.pending if item[0] > self.now_s]
            for _, action in due:
                action()
            for instance in self.instances:
                self.act(instance)
            self.check()
        return self

    def change_cuts(self):
        if self.choose.random() < 0.02:
            for instance in self.instances:
                instance.store_reachable = self.choose.random() < 0.3
        if self.choose.random() < 0.02:
            for instance in self.instances:
                instance.peers_reachable = self.choose.random() < 0.7

    def act(self, instance):
        if self.choose.random() < 0.1:
            self.poll_store(instance)
        if self.choose.random() < 0.1:
            self.send_request(instance, self.choose.choice(self.instances))
        if instance.store_reachable and self.choose.random() < 0.01:
            self.head += 1
            self.committed_at_s[self.head] = self.now_s
            instance.adopt(self.head)
            instance.freshness.confirm_from_store(self.head, self.now_s)

    def poll_store(self, instance):
        requested_at_s = self.now_s
        instance.freshness.set_store_unavailable(not instance.store_reachable)
        if instance.store_reachable:
            revision = self.head
            delay_s = self.choose.choice([0.0, 0.1, 1.0])
            response = (revision, requested_at_s)
            self.later(delay_s, lambda: instance.freshness.confirm_from_store(*response))
            self.later(
                delay_s + self.choose.choice([0.0, 0.5, 9.0]), lambda: instance.adopt(revision)
            )

    def send_request(self, requester, other):
        requested_at_s = self.now_s
        if requester is not other and requester.peers_reachable and other.peers_reachable:
            delay_s = self.choose.choice([0.0, 0.2, 1.0])
            self.later(delay_s, lambda: self.reply(requester, other, requested_at_s))

    def reply(self, requester, other, requested_at_s):
        age_s = other.freshness.age_s(self.now_s)
        revision, unavailable = other.revision, other.freshness.store_unavailable

        def receive():
            requester.freshness.confirm_from_peer(
                SlotSet([other.slot]),
                revision=revision,
                revision_age_s=age_s,
                store_unavailable=unavailable,
                requested_at_s=requested_at_s,
            )
            self.later(self.choose.choice([0.0, 2.0]), lambda: requester.adopt(revision))

        self.later(self.choose.choice([0.0, 0.2, 1.0]), receive)

    def later(self, delay_s, action):
        self.pending.append((self.now_s + delay_s, action))

    def check(self):
        for revision in range(2, self.head + 1):
            holding = sum(item.revision >= revision for item in self.instances)
            if 2 * holding >= SLOT_COUNT:
                self.half_has_at_s.setdefault(revision, self.now_s)
        for instance in self.instances:
            if instance.freshness.may_serve_keyed(self.now_s):
                self.check_served(instance)

    def check_served(self, instance):
        outdated_by = instance.revision + 1
        if instance.freshness.age_s(self.now_s) > LIMIT_S:
            self.served_in_outage += 1
            end_s = self.half_has_at_s.get(outdated_by, RUN_S) + LIMIT_S
        else:
            end_s = self.committed_at_s.get(outdated_by, RUN_S) + LIMIT_S
        if self.now_s > end_s + EARLIER_S:
            self.violations.append((instance.slot, outdated_by, self.now_s))


class FreshnessWindowTest(unittest.TestCase):
    """The stated window must hold in any order of events."""

    SEEDS = range(12)

    def violations(self):
        """Run the model with all seeds."""
        return [found for seed in self.SEEDS for found in _Model(seed).run().violations]

    def test_window(self):
        """Guards against a withdrawn key that is served after its window."""
        models = [_Model(seed).run() for seed in self.SEEDS]
        self.assertEqual([model.violations for model in models], [[] for _ in models])
        self.assertGreater(sum(model.served_in_outage for model in models), 100)

    def test_broken_variants_are_caught(self):
        """Guards against a model that does not detect violations."""
        record = Freshness._record_confirmation
        variants = {
            "confirms a revision that it doesn't have": mock.patch.object(
                Freshness, "_record_confirmation", lambda self, revision, at_s: self._confirm(at_s)
            ),
            "counts the age from the reply": mock.patch.object(
                Freshness,
                "_record_confirmation",
                lambda self, revision, at_s: record(self, revision, at_s + 1.5),
            ),
            "accepts half of the slots as a majority": mock.patch.object(
                Freshness, "_is_majority", lambda self, count: 2 * count >= SLOT_COUNT
            ),
            "ignores the revisions of statuses": mock.patch.object(
                Freshness, "_majority_reports_outage", _majority_ignoring_revisions
            ),
        }
        for name, variant in variants.items():
            with self.subTest(variant=name), variant:
                self.assertTrue(self.violations())


def _majority_ignoring_revisions(freshness, now_s):
    statuses = freshness._recent_statuses(now_s).values()
    outage_count = (
        sum(status.store_unavailable for status in statuses) + freshness.store_unavailable
    )
    return 2 * outage_count > SLOT_COUNT
