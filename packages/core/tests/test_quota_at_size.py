"""Tests of a workspace's quota with as many instances as a grown deployment has."""

import unittest

from home_replay import HomeReplay
from quota_client import HANDOVER_INTERVAL_S, KEY, QuotaInstance
from tanagerreach_core.rights import WorkspaceLimit

# The platform's bound on a workspace's requests.
WINDOW_S = 5.0
OVERAGE = 1.1
SLACK = 20


class QuotaReplay(HomeReplay):
    """Simulates a workspace that sends several times its rate while its homes fail."""

    def __init__(self, seed, limit, requests_per_s):
        super().__init__(seed, KEY, requests_per_s)
        self.limit = limit
        self.granted_s = []
        self.handed_over_s = 0.0

    def make_instance(self, name, started_s):
        return QuotaInstance(name, started_s)

    def advance(self, now_s):
        """Hand quotas over; a quota is issued at once."""
        if now_s - self.handed_over_s < HANDOVER_INTERVAL_S:
            return
        self.handed_over_s = now_s
        for name, instance in self.instances.items():
            if not self.is_up(name, now_s):
                continue
            for address, handover in instance.quota.handovers(now_s):
                if self.is_up(address, now_s):
                    self.instances[address].quota.adopt(name, handover, now_s)

    def request(self, requester, now_s):
        if self.take(requester, now_s):
            self.granted_s.append(now_s)

    def take(self, requester, now_s):
        """Request one unit of the quota, as an instance does.

        :returns: whether it was granted.
        """

        def ask(peer):
            home = self.instances[peer.name]
            if self.is_up(peer.name, now_s):
                home.learn_suspected(requester, now_s)
                if self.replies(peer.name, now_s):
                    return home.issue(self.limit, now_s)
            requester.table.suspect(peer.name, now_s)
            if self.is_up(peer.name, now_s):
                home.learn_suspected(requester, now_s)
            return None

        return requester.take(self.limit, now_s, ask=ask)

    def count(self, start_s, length_s):
        return sum(start_s <= at_s < start_s + length_s for at_s in self.granted_s)


class QuotaAtSizeTest(unittest.TestCase):
    """Load pattern: a workspace exceeds its rate while instances disagree on its home."""

    def test_several_homes_exceed_a_quota(self):
        """Guards against homes that each issue the whole rate, or none of it."""
        for rate_per_s, burst in ((20.0, 20.0), (60.0, 60.0), (200.0, 100.0)):
            for seed in range(2):
                with self.subTest(rate_per_s=rate_per_s, seed=seed):
                    limit = WorkspaceLimit(rate_per_s=rate_per_s, burst=burst)
                    replay = QuotaReplay(seed, limit, min(400.0, 4 * rate_per_s)).run()
                    most = (rate_per_s * WINDOW_S + burst) * OVERAGE + SLACK
                    starts_s = [step / 4 for step in range(int(4 * replay.LENGTH_S))]
                    self.assertLessEqual(
                        max(replay.count(start_s, WINDOW_S) for start_s in starts_s), most
                    )
                    for calm_s in (2.0, 15.5, 23.0):
                        self.assertGreaterEqual(replay.count(calm_s, 2.0), 0.9 * 2.0 * rate_per_s)
                    for start_s in range(2, int(replay.LENGTH_S) - 2):
                        self.assertGreaterEqual(replay.count(start_s, 2.0), rate_per_s)


if __name__ == "__main__":
    unittest.main()
