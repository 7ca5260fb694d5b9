"""Tests of claim tables and ballots."""

import random
import unittest

from tanagerreach_core.messages import ClaimVote
from tanagerreach_core.rights import ClaimBallot, ClaimOutcome, ClaimTable

KEY = b"key"


def table(**options):
    """Make a table of a slot that no instance held before."""
    defaults = {"slot": 1, "lease_revision": 5, "lease_end_s": 1e6, "now_s": 0.0}
    return ClaimTable(**{**defaults, "never_held": True, **options})


def run_claims(seed, majority=3, abstains=True, table_type=ClaimTable):
    """Let tries compete for a key while slots change their holders, and count double grants.

    Each slot has its current table and that of a paused previous holder, which receives messages
    too.
    """
    rng = random.Random(seed)
    never = not abstains
    first = ClaimBallot(claim_key=KEY, claimant=b"", slot_count=32, started_s=0.0)
    make = {"retention_s": 60.0, "never_held": never}
    tables = {
        slot: [table_type(slot=slot, lease_revision=1, lease_end_s=90.0, now_s=-100.0, **make)]
        for slot in first.slots
    }
    now_s, granted_s, doubles = 0.0, -1e9, 0
    for number in range(120):
        now_s += rng.expovariate(0.5)
        slot = rng.choice(first.slots)
        old = tables[slot][-1]
        kind = rng.random()
        if kind < 0.15:
            revision = old._lease_revision
            new = table_type(
                slot=slot,
                lease_revision=revision + 1,
                lease_end_s=now_s + 90.0,
                now_s=now_s,
                previous_lease_revision=revision,
                **make,
            )
            if kind < 0.05:
                new.import_claims(old.export(now_s), now_s)
            old._lease_end_s = min(old._lease_end_s, now_s)
            tables[slot] = [old, new]
            continue
        claimant = b"%d" % number
        ballot = ClaimBallot(
            claim_key=KEY, claimant=claimant, slot_count=32, started_s=now_s, majority=majority
        )
        messages = [slot for slot in first.slots for _ in range(rng.choice((0, 1, 1, 2)))]
        rng.shuffle(messages)
        for slot in messages:
            vote = rng.choice(tables[slot]).vote(KEY, claimant, now_s + rng.random())
            ballot.record({slot: vote}, now_s + 1)
        if ballot.close() is ClaimOutcome.GRANTED:
            doubles += now_s - granted_s < 58.0
            granted_s = now_s
            if rng.random() < 0.2:
                granted_s = -1e9
                for slot in messages[:3]:
                    tables[slot][-1].release(KEY, claimant, now_s)
    return doubles


class NoLeaseEnd(ClaimTable):
    """Votes as if its lease never ended."""

    __slots__ = ()

    def _may_vote(self, now_s):
        self._expire_claims(now_s)
        return not self._exported


class ClaimRaceTest(unittest.TestCase):
    """At most one try of a key is granted within the retention."""

    def test_one_try_is_granted(self):
        """Guards against two grants while slots change their holders in any order."""
        self.assertEqual(sum(run_claims(seed) for seed in range(200)), 0)

    def test_broken_rules_are_caught(self):
        """Guards against a check that misses double grants."""
        broken = ({"majority": 2}, {"abstains": False}, {"table_type": NoLeaseEnd})
        for options in broken:
            doubles = sum(run_claims(seed, **options) for seed in range(200))
            self.assertGreater(doubles, 0, options)


class ClaimTableTest(unittest.TestCase):
    """A slot must vote for one claimant of a key only."""

    def test_second_claimant_is_refused(self):
        """Guards against two granted claimants, also when messages are duplicated."""
        slot = table()
        self.assertEqual(slot.vote(KEY, b"a", 1.0), ClaimVote.GRANTED)
        self.assertEqual(slot.vote(KEY, b"b", 2.0), ClaimVote.TAKEN)
        self.assertEqual(slot.vote(KEY, b"a", 3.0), ClaimVote.GRANTED)
        self.assertEqual(slot.vote(KEY, b"b", 602.0), ClaimVote.GRANTED)

    def test_no_vote_after_the_lease(self):
        """Guards against a paused holder that votes beside the next holder."""
        slot = table(lease_end_s=10.0)
        self.assertEqual(slot.vote(KEY, b"a", 10.0), ClaimVote.ABSTAIN)
        self.assertFalse(slot.extend_lease(100.0, 11.0))
        self.assertEqual(slot.vote(KEY, b"a", 12.0), ClaimVote.ABSTAIN)

    def test_abstains_after_a_take_over(self):
        """Guards against votes that contradict those of the previous holder."""
        slot = table(never_held=False)
        self.assertEqual(slot.vote(KEY, b"a", 600.0), ClaimVote.ABSTAIN)
        self.assertEqual(slot.vote(KEY, b"a", 601.0), ClaimVote.GRANTED)

    def test_hand_over_carries_the_claims(self):
        """Guards against claims lost, or voted on by two holders, in a handover."""
        old = table()
        old.vote(KEY, b"a", 100.0)
        exported = old.export(110.0)
        self.assertEqual(old.vote(b"other", b"a", 111.0), ClaimVote.ABSTAIN)
        new = table(never_held=False, previous_lease_revision=5, lease_revision=6, now_s=5.0)
        self.assertTrue(new.import_claims(exported, 5.0))
        self.assertEqual(new.vote(KEY, b"b", 6.0), ClaimVote.TAKEN)
        self.assertEqual(new.vote(b"other", b"b", 6.0), ClaimVote.GRANTED)
        self.assertEqual(new.vote(KEY, b"b", 596.0), ClaimVote.GRANTED)

    def test_late_hand_over_is_refused(self):
        """Guards against an abstention that is ended by the export of an earlier lease."""
        exported = table(lease_revision=4).export(0.0)
        new = table(never_held=False, previous_lease_revision=5)
        self.assertFalse(new.import_claims(exported, 1.0))
        self.assertEqual(new.vote(KEY, b"a", 2.0), ClaimVote.ABSTAIN)

    def test_full_table_abstains(self):
        """Guards against unbounded memory, and against dropping claims to bound it."""
        slot = table(claims_max=2)
        for key in (b"1", b"2"):
            self.assertEqual(slot.vote(key, b"a", 1.0), ClaimVote.GRANTED)
        self.assertEqual(slot.vote(b"3", b"a", 2.0), ClaimVote.ABSTAIN)
        self.assertEqual(slot.vote(b"1", b"b", 2.0), ClaimVote.TAKEN)
        self.assertEqual(slot.vote(b"3", b"a", 602.0), ClaimVote.GRANTED)

    def test_release_in_any_order(self):
        """Guards against a claim that is recorded by a message older than its release."""
        slot = table()
        slot.release(KEY, b"a", 1.0)
        self.assertEqual(slot.vote(KEY, b"a", 2.0), ClaimVote.ABSTAIN)
        self.assertEqual(slot.vote(KEY, b"b", 3.0), ClaimVote.GRANTED)
        slot.release(KEY, b"a", 4.0)
        self.assertEqual(slot.vote(KEY, b"c", 5.0), ClaimVote.TAKEN)


class ClaimBallotTest(unittest.TestCase):
    """An outcome must be final, since the instance acts on it."""

    def ballot(self):
        return ClaimBallot(claim_key=KEY, claimant=b"a", slot_count=32, started_s=0.0)

    def test_votes_of_other_slots_and_duplicates_do_not_count(self):
        """Guards against a majority of fewer than three slots."""
        ballot = self.ballot()
        first, second, *_ = ballot.slots
        other = next(slot for slot in range(32) if slot not in ballot.slots)
        votes = {first: ClaimVote.GRANTED, second: ClaimVote.GRANTED, other: ClaimVote.GRANTED}
        for now_s in (0.1, 0.2):
            self.assertEqual(ballot.record(votes, now_s), ClaimOutcome.PENDING)
        self.assertEqual(len(ballot.missing_slots()), 3)

    def test_late_votes_do_not_change_the_outcome(self):
        """Guards against running a request after its refusal said that it was not run."""
        ballot = self.ballot()
        self.assertEqual(ballot.close(), ClaimOutcome.NO_MAJORITY)
        votes = dict.fromkeys(ballot.slots, ClaimVote.GRANTED)
        self.assertEqual(ballot.record(votes, 0.1), ClaimOutcome.NO_MAJORITY)

    def test_old_ballot_counts_no_votes(self):
        """Guards against a majority of votes whose retention ends at different times."""
        ballot = self.ballot()
        votes = dict.fromkeys(ballot.slots, ClaimVote.GRANTED)
        self.assertEqual(ballot.record(votes, 10.0), ClaimOutcome.NO_MAJORITY)
