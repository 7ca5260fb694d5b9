"""Tests of the token cache; the test replies as the home."""

import random
import unittest

from tanagerreach_core.messages import SlotSet, TokenGrant, TokenReply
from tanagerreach_core.rights import TokenCache, home_slot, workspace_rendezvous_key

SLOT_COUNT = 8
ALL = SlotSet(range(SLOT_COUNT))
HOME = home_slot(workspace_rendezvous_key("w"), ALL, SLOT_COUNT)


def reply(request, **fields):
    """Make the reply to a request with one demand."""
    grant = TokenGrant(workspace="w", **fields)
    return TokenReply(request_id=request.request_id, grants=[grant])


class TokenCacheTest(unittest.TestCase):
    """A cache must use no token twice or late, and leave no request waiting needlessly."""

    def setUp(self):
        self.cache = TokenCache(slot_count=SLOT_COUNT, random=random.Random(1))

    def request_token(self, now_s):
        if not self.cache.take("w", now_s):
            self.cache.wait("w", now_s)
        return self.cache.due_requests(ALL, now_s)

    def test_waiting_request_sends_a_demand_at_once(self):
        """Guards against a wait for the next timer, and against two requests in flight."""
        (request,) = self.request_token(1.0)
        self.assertEqual((request.home_slot, request.demands[0].wanted), (HOME, 1))
        self.assertEqual(self.request_token(1.01), [])
        self.assertEqual(
            self.cache.record(reply(request, grant_id=7, tokens=1, term_s=1), 1.02), ["w"]
        )
        self.assertTrue(self.cache.take_waiting("w", 1.02))
        self.assertFalse(self.cache.take_waiting("w", 1.02))
        (request,) = self.cache.due_requests(ALL, 1.03)
        self.assertEqual(request.demands[0].wanted, 1)

    def test_term_counts_from_the_request(self):
        """Guards against tokens used after the home has counted them as ended."""
        (request,) = self.request_token(1.0)
        self.cache.record(reply(request, grant_id=7, tokens=5, term_s=0.5), 1.4)
        self.assertTrue(self.cache.take_waiting("w", 1.499))
        self.assertFalse(self.cache.take("w", 1.4996))

    def test_repeated_reply_is_ignored(self):
        """Guards against a duplicated datagram that doubles the tokens."""
        (request,) = self.request_token(1.0)
        repeated = reply(request, grant_id=7, tokens=1, term_s=1)
        self.cache.record(repeated, 1.01)
        self.assertTrue(self.cache.take_waiting("w", 1.01))
        self.assertEqual(self.cache.record(repeated, 1.02), [])
        self.assertFalse(self.cache.take("w", 1.02))

    def test_silent_home_is_passed_over(self):
        """Guards against requests that wait for a home that does not reply."""
        (request,) = self.request_token(1.0)
        self.assertAlmostEqual(self.cache.next_due_s(), 1.05)
        (second,) = self.cache.due_requests(ALL, 1.051)
        self.assertNotEqual(second.home_slot, HOME)
        self.cache.record(reply(second, is_home=False), 1.052)
        (third,) = self.cache.due_requests(ALL, 1.103)
        self.assertEqual(third.home_slot, HOME)

    def test_unused_tokens_are_released(self):
        """Guards against tokens that expire unused, and against their use after the report."""
        (request,) = self.request_token(1.0)
        self.cache.record(reply(request, grant_id=7, tokens=5, term_s=1), 1.01)
        self.assertTrue(self.cache.take_waiting("w", 1.01))
        self.assertEqual(self.cache.due_requests(ALL, 1.5), [])
        (report,) = self.cache.due_requests(ALL, 1.86)
        self.assertEqual(report.demands[0].settled, {7: 1})
        self.assertFalse(self.cache.take("w", 1.87))
        # The report is sent again until the home replies.
        (again,) = self.cache.due_requests(ALL, 1.92)
        self.assertEqual(again.demands[0].settled, {7: 1})

    def test_refusal_sets_the_hint(self):
        """Guards against a new request to a home before it can have a token."""
        (request,) = self.request_token(1.0)
        self.cache.record(reply(request, retry_after_s=0.4), 1.0)
        self.assertAlmostEqual(self.cache.wait_hint_s("w", 1.1), 0.3, delta=0.05)
        self.assertEqual(self.cache.due_requests(ALL, 1.2), [])
        self.assertEqual(len(self.cache.due_requests(ALL, 1.41)), 1)

    def test_idle_entry_is_dropped(self):
        """Guards against entries kept for every workspace that ever had a request."""
        (request,) = self.request_token(1.0)
        self.cache.stop_waiting("w")
        self.cache.record(reply(request, grant_id=7, tokens=1, term_s=1), 1.01)
        for step in range(100):
            for request in self.cache.due_requests(ALL, 1.1 + step):
                self.cache.record(reply(request), 1.1 + step)
        self.assertEqual(len(self.cache), 0)
