"""Tests of the workspace bucket at one home, and of the sum over several homes."""

import random
import unittest
from unittest import mock

from tanagerreach_core import _rate
from tanagerreach_core.messages import TokenDemand
from tanagerreach_core.rights import HeldShare, WorkspaceBucket, WorkspaceLimit, capacity

SLOT_COUNT = 8
SOUND_REFILL = WorkspaceBucket.refill
LIMITS = [(0.5, 1.0), (6.0, 1.5), (20.0, 10.0), (2.0, 30.0), (200.0, 5.0)]


def full_share(since_s=0.0, count=SLOT_COUNT):
    """Make a home's share, held since one time."""
    return HeldShare(SLOT_COUNT, (since_s,) * count, count, 1.0)


def partitions(total, largest):
    """Yield the ways to split a number of shares among homes."""
    if total == 0:
        yield ()
    for part in range(min(total, largest), 0, -1):
        for rest in partitions(total - part, part):
            yield (part, *rest)


def window_excess(limit, uses):
    """Return by how much uses exceed rate and burst in the worst time window."""
    level, last_s, excess = limit.burst, 0.0, 0.0
    for at_s in sorted(uses):
        level = min(limit.burst, level + limit.rate_per_s * (at_s - last_s)) - 1
        last_s = at_s
        excess = max(excess, -level)
    return excess


def run_bucket(seed, limit):
    """Use the tokens of one home as late as their terms allow, with idle times and drops.

    :returns: the excess over rate and burst, and the used fraction of the rate.
    """
    rng = random.Random(seed)
    bucket = WorkspaceBucket(limit=limit)
    now_s, uses, open_grants = 1.0, [], {}
    for grant_id in range(400):
        now_s += rng.choice((rng.expovariate(limit.rate_per_s), rng.random(), 0.01))
        ended = [key for key, (_, ends_s) in open_grants.items() if ends_s <= now_s]
        for key in ended:
            tokens, ends_s = open_grants.pop(key)
            uses += [ends_s - 1e-9] * tokens
        settled = {}
        for key in [key for key in open_grants if rng.random() < 0.3]:
            tokens, _ = open_grants.pop(key)
            settled[key] = rng.randint(0, tokens)
            uses += [now_s] * settled[key]
        if rng.random() < 0.2 and not settled and bucket.may_drop(full_share(), limit, now_s):
            bucket = WorkspaceBucket(limit=limit)
        token_demand = TokenDemand(workspace="w", wanted=rng.choice((0, 1, 3, 50)), settled=settled)
        grant = bucket.settle_and_grant(
            token_demand,
            grant_id=grant_id,
            instance_id="i",
            share=full_share(),
            limit=limit,
            now_s=now_s,
        )
        if grant.tokens:
            open_grants[grant_id] = (grant.tokens, now_s + grant.term_s)
    return window_excess(limit, uses), len(uses) / (now_s * limit.rate_per_s)


def worst_excess():
    """Return the largest excess of the seeded runs."""
    return max(
        run_bucket(seed, WorkspaceLimit(*limit))[0] for limit in LIMITS for seed in range(30)
    )


def free_room_first(bucket, share, limit, now_s):
    """Refill as if ended grants had taken up no room since the last call."""
    for grant_id, grant in list((bucket._outstanding or {}).items()):
        if grant.ends_s <= now_s:
            bucket._remove(grant_id)
    SOUND_REFILL(bucket, share, limit, now_s)


def start_full(bucket, share, limit, now_s):
    """Refill as if the bucket were new in each call."""
    bucket._updated_s = float("-inf")
    SOUND_REFILL(bucket, share, limit, now_s)


def one_token_everywhere(limit, share_count, slot_count):
    """Return a capacity of at least a token, with or without a majority of the shares."""
    return max(min(1.0, limit.burst), limit.burst * share_count / slot_count)


class WorkspaceBucketTest(unittest.TestCase):
    """A bucket must keep to rate and burst in every window, whenever its tokens are used."""

    def test_no_window_exceeds_rate_and_burst(self):
        """Guards against refills, returned tokens or drops that let a window exceed its bound."""
        self.assertLess(worst_excess(), 1e-6)

    def test_broken_buckets_are_caught(self):
        """Guards against a window check that misses faults."""
        for broken in (free_room_first, start_full):
            with mock.patch.object(WorkspaceBucket, "refill", broken):
                self.assertGreater(worst_excess(), 0.01, broken.__name__)

    def test_bursts_of_all_homes_add_up(self):
        """Guards against a burst issued by several homes, also one below two tokens."""
        for burst in (1.0, 1.5, 1.99, 2.0, 7.5):
            limit = WorkspaceLimit(1.0, burst)
            sums = [
                sum(capacity(limit, count, SLOT_COUNT) for count in parts)
                for parts in partitions(SLOT_COUNT, SLOT_COUNT)
            ]
            self.assertLessEqual(max(sums), burst + 1e-9)
            self.assertGreaterEqual(capacity(limit, SLOT_COUNT // 2 + 1, SLOT_COUNT), 1.0)
            broken = [
                sum(one_token_everywhere(limit, count, SLOT_COUNT) for count in parts)
                for parts in partitions(SLOT_COUNT, SLOT_COUNT)
            ]
            self.assertGreater(max(broken), burst)

    def test_share_that_was_lost_returns_without_tokens(self):
        """Guards against a full bucket at a home whose loans had ended in between."""
        limit = WorkspaceLimit(1.0, 40.0)
        bucket = WorkspaceBucket(limit=limit)
        bucket.refill(full_share(since_s=0.0), limit, 100.0)
        self.assertEqual(bucket.level, 40.0)
        bucket.refill(full_share(since_s=108.0), limit, 110.0)
        self.assertAlmostEqual(bucket.level, 2.0)

    def test_lower_limit_applies_at_once(self):
        """Guards against tokens of an old burst, and refills at an old rate, after a change."""
        high, low = WorkspaceLimit(100.0, 50.0), WorkspaceLimit(1.0, 5.0)
        bucket = WorkspaceBucket(limit=high)
        bucket.refill(full_share(), high, 10.0)
        bucket.refill(full_share(), low, 11.0)
        self.assertEqual(bucket.level, 5.0)
        bucket.refill(full_share(), high, 12.0)
        self.assertAlmostEqual(bucket.level, 6.0)

    def test_bucket_with_grants_is_kept(self):
        """Guards against a dropped bucket whose successor would issue the same tokens."""
        limit = WorkspaceLimit(1.0, 5.0)
        bucket = WorkspaceBucket(limit=limit)
        token_demand = TokenDemand(workspace="w", wanted=2)
        bucket.settle_and_grant(
            token_demand, grant_id=1, instance_id="i", share=full_share(), limit=limit, now_s=10.0
        )
        self.assertFalse(bucket.may_drop(full_share(), limit, 10.5))
        self.assertFalse(bucket.may_drop(full_share(), limit, 12.0))
        self.assertTrue(bucket.may_drop(full_share(), limit, 13.5))
        self.assertEqual(_rate.grant_term_s(limit), 1.0)
