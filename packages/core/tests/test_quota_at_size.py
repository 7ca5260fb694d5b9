"""Tests of a workspace's quota with as many instances as a grown deployment has."""

import unittest
from random import Random

from tanagerreach_core.placement import PeerTable, WorkspaceQuota
from tanagerreach_core.rights import WorkspaceLimit

INSTANCE_COUNT = 136
HEARTBEAT_S = 0.8
KEY = b"w:w"
# The platform's bound on a workspace's requests.
WINDOW_S = 5.0
OVERAGE = 1.1
SLACK = 20
HOMES_TRIED = 3


class _Instance:
    """An instance with its view of the others and the quotas that it issues."""

    def __init__(self, name, started_s):
        self.name = name
        self.table = PeerTable(own_name=name, heartbeat_s=HEARTBEAT_S, now_s=started_s)
        self.quota = WorkspaceQuota()

    def hear(self, sender, suspected_names, now_s):
        """Receive a heartbeat."""
        peer, _ = self.table.record_heartbeat(sender.name, sender.name, now_s)
        peer.is_serving = True
        self.table.record_suspected(sender.name, suspected_names)

    def learn_suspected(self, sender, now_s):
        self.table.record_suspected(sender.name, sender.table.suspected_names(now_s))


class QuotaReplay:
    """Simulates a workspace that sends several times its rate while its homes fail.

    The homes reply too late to some requests for two periods, so that instances use other homes or
    decide alone. The first home is killed and comes back.
    """

    LENGTH_S = 26.0
    OVERLOADS_S = ((6.0, 9.0), (18.0, 21.0))
    # Share of the requests that the first, second and third home reply to in time.
    REPLY_SHARES = (0.3, 0.6, 1.0)
    KILLED_S, RETURNED_S = 11.0, 14.0

    def __init__(self, seed, limit, requests_per_s):
        self.random = Random(seed)
        self.limit = limit
        self.requests_per_s = requests_per_s
        self.names = names = [f"i{number}" for number in range(INSTANCE_COUNT)]
        self.instances = {name: _Instance(name, -10.0) for name in names}
        for instance in self.instances.values():
            for sender in self.instances.values():
                if sender is not instance:
                    instance.hear(sender, [], 0.0)
        for instance in self.instances.values():
            for peer in instance.table.peers:
                peer.live_since_s = -10.0
        homes = self.instances[names[0]].table.homes(KEY, 0.0, most=HOMES_TRIED)
        self.homes = [names[0] if home is None else home.name for home in homes]
        self.has_returned = False
        self.granted_s = []

    def run(self):
        heartbeats_s = {name: self.random.uniform(0, HEARTBEAT_S) for name in self.instances}
        now_s = 0.0
        while now_s < self.LENGTH_S:
            now_s += self.random.expovariate(self.requests_per_s)
            if now_s >= self.RETURNED_S and not self.has_returned:
                self.has_returned = True
                self.instances[self.homes[0]] = _Instance(self.homes[0], now_s)
                heartbeats_s[self.homes[0]] = now_s
            for name, due_s in heartbeats_s.items():
                if due_s <= now_s:
                    heartbeats_s[name] = due_s + HEARTBEAT_S
                    self.send_heartbeats(self.instances[name], now_s)
            requester = self.instances[self.random.choice(self.names)]
            if self.is_up(requester.name, now_s) and self.take(requester, now_s):
                self.granted_s.append(now_s)
        return self

    def is_up(self, name, now_s):
        return name != self.homes[0] or not self.KILLED_S <= now_s < self.RETURNED_S

    def replies(self, name, now_s):
        if not any(start_s <= now_s < end_s for start_s, end_s in self.OVERLOADS_S):
            return True
        shares = dict(zip(self.homes, self.REPLY_SHARES, strict=True))
        return self.random.random() < shares.get(name, 1.0)

    def send_heartbeats(self, sender, now_s):
        if self.is_up(sender.name, now_s):
            suspected_names = sender.table.suspected_names(now_s)
            for instance in self.instances.values():
                if instance is not sender:
                    instance.hear(sender, suspected_names, now_s)

    def take(self, requester, now_s):
        """Request one unit of the quota, as an instance does.

        :returns: whether it was granted.
        """
        for peer in requester.table.homes(KEY, now_s, most=HOMES_TRIED):
            if peer is None:
                return self.issue(requester, now_s)
            home = self.instances[peer.name]
            if self.is_up(peer.name, now_s):
                home.learn_suspected(requester, now_s)
                if self.replies(peer.name, now_s):
                    return self.issue(home, now_s)
            requester.table.suspect(peer.name, now_s)
            if self.is_up(peer.name, now_s):
                home.learn_suspected(requester, now_s)
        return self.issue(requester, now_s, own_share=1 / INSTANCE_COUNT)

    def issue(self, home, now_s, own_share=None):
        table = home.table
        wait_s = home.quota.take(
            "w",
            self.limit,
            now_s,
            fleet_share=own_share or table.fleet_share(now_s),
            lent_share=own_share or table.lent_share(KEY, now_s),
            is_disputed=table.has_competing_home(KEY, now_s),
        )
        return wait_s == 0

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
