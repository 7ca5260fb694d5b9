"""Tests of the peer table and of the workspace quota in a divided fleet."""

import unittest

from peer_states import hear
from tanagerreach_core.placement import PeerTable, WorkspaceQuota
from tanagerreach_core.rights import WorkspaceLimit

NAMES = [f"i{number}" for number in range(12)]


def make_peer_table(own, heard, now_s, known=NAMES):
    peer_table = PeerTable(own_name=own, heartbeat_s=0.8)
    for name in known:
        peer_table.add(name, f"{name}:1", 0.0)
    for name in heard:
        if name != own:
            hear(peer_table, name, now_s).live_since_s = -100.0
    return peer_table


def home_name(peer_table, own, rendezvous_key, now_s):
    home = peer_table.homes(rendezvous_key, now_s)[0]
    return own if home is None else home.name


class PeerTableTest(unittest.TestCase):
    """Instances that hear the same heartbeats must agree on live and suitable homes."""

    def test_instances_agree_on_homes(self):
        """Guards against two homes for one rendezvous key in a fleet without faults."""
        for rendezvous_key in (b"s:catalogue", b"w:kranfind", b"s:intake"):
            homes = {
                home_name(make_peer_table(own, NAMES, 1.0), own, rendezvous_key, 1.5)
                for own in NAMES
            }
            self.assertEqual(len(homes), 1)

    def test_own_cut_looks_like_a_store_outage(self):
        """Guards against an instance that takes its own cut, or its zone's, for a store outage."""
        for cut_count, is_heard, expected in (
            (1, True, False),
            (1, False, False),
            (4, True, False),
            (7, True, True),
            (12, True, True),
        ):
            with self.subTest(cut_count=cut_count, is_heard=is_heard):
                peer_table = make_peer_table("i0", NAMES if is_heard else [], 1.0)
                peer_table.own_store_reachable = False
                for name in NAMES[1:cut_count]:
                    peer_table.peer(name).store_reachable = False
                self.assertIs(peer_table.is_store_lost(1.5), expected)

    def test_silent_home_is_replaced(self):
        """Guards against requests to an instance that has died."""
        peer_table = make_peer_table("i0", NAMES, 1.0)
        first = home_name(peer_table, "i0", b"s:a", 1.5)
        for name in NAMES:
            if name not in (first, "i0"):
                hear(peer_table, name, 4.0)
        self.assertNotEqual(home_name(peer_table, "i0", b"s:a", 4.1), first)

    def test_suspected_leaving_and_starting_peers_are_no_homes(self):
        """Guards against requests to peers that cannot reply to them."""
        peer_table = make_peer_table("i0", NAMES, 1.0)
        for change in ("suspect", "leave", "start"):
            home = peer_table.homes(b"s:a", 1.1)[0]
            if home is None:
                break
            if change == "suspect":
                peer_table.suspect(home.name, 1.1)
            elif change == "leave":
                home.is_leaving = True
            else:
                home.is_serving = False
            with self.subTest(change=change):
                self.assertIsNot(peer_table.homes(b"s:a", 1.1)[0], home)

    def test_instances_that_reach_the_store_come_first(self):
        """Guards against a home that cannot learn which targets leave."""
        peer_table = make_peer_table("i0", NAMES, 1.0)
        first = peer_table.homes(b"s:a", 1.1)[0]
        first.store_reachable = False
        homes = peer_table.homes(b"s:a", 1.1)
        self.assertIsNot(homes[0], first)
        self.assertIs(homes[-1], first)

    def test_instances_that_start_together_agree(self):
        """Guards against each instance being its own home after all have restarted."""
        homes = set()
        for own in NAMES:
            peer_table = PeerTable(own_name=own, heartbeat_s=0.8, now_s=0.0)
            for name in NAMES:
                if name != own:
                    hear(peer_table, name, 0.3)
            homes.add(home_name(peer_table, own, b"s:a", 0.4))
        self.assertEqual(len(homes), 1)

    def test_returning_peer_is_on_probation(self):
        """Guards against a home that was cut off and does not know yet what has changed.

        Seen in the evacuation (EVAC) and drain (DRAIN) scenarios.
        """
        peer_table = make_peer_table("i0", NAMES, 1.0)
        peer_table.own_is_home = False
        first = peer_table.homes(b"s:a", 1.1)[0]
        for at_s in (8.0, 8.8, 9.6, 10.4):
            for name in NAMES[1:]:
                if name != first.name or at_s > 8.5:
                    peer = hear(peer_table, name, at_s)
                    if name != first.name:
                        peer.live_since_s = -100.0
        self.assertIsNot(peer_table.homes(b"s:a", 9.7)[0], first)
        self.assertIs(peer_table.homes(b"s:a", 10.5)[0], first)

    def test_instance_that_knows_no_members_is_the_whole_fleet(self):
        """Guards against instances that start together and each issue a whole right."""
        peer_table = PeerTable(own_name="i0", heartbeat_s=0.8, now_s=10.0)
        peer_table.knows_members = False
        self.assertEqual(peer_table.lent_share(b"w:w", 10.5), 0.0)
        self.assertEqual(peer_table.own_share(10.5), 0.0)
        # Neither the store nor a peer replies, so that it serves alone.
        self.assertEqual(peer_table.lent_share(b"w:w", 13.5), 1.0)
        for name in NAMES[1:]:
            peer_table.add(name, f"{name}:1", 10.6)
        peer_table.knows_members = True
        self.assertAlmostEqual(peer_table.lent_share(b"w:w", 10.7), 1 / len(NAMES))

    def test_new_run_lends_what_its_earlier_run_lent(self):
        """Guards against a part that is used by an instance that started and by its home too."""
        own = home_name(make_peer_table("i0", NAMES, 0.0), "i0", b"w:w", 0.1)
        peer_table = make_peer_table(own, NAMES, 20.0)
        self.assertEqual(peer_table.lent_share(b"w:w", 20.1), 1.0)
        other = next(name for name in NAMES if name != own)
        hear(peer_table, other, 20.2, started_ms=20_100)
        self.assertAlmostEqual(peer_table.lent_share(b"w:w", 20.3), 1 - 1 / len(NAMES))
        for at_s in (20.8, 21.4, 22.0, 22.6):
            for name in NAMES:
                if name != own:
                    hear(peer_table, name, at_s, started_ms=20_100 if name == other else 0)
        self.assertEqual(peer_table.lent_share(b"w:w", 22.8), 1.0)

    def test_peer_that_was_just_named_is_kept(self):
        """Guards against a peer that expires before its first heartbeat."""
        peer_table = PeerTable(own_name="i0", heartbeat_s=0.8)
        peer_table.add("i1", "i1:1", 100.0)
        self.assertEqual(peer_table.expire_silent(101.0), [])
        self.assertEqual(peer_table.expire_silent(200.0), ["i1"])


class DividedFleetTest(unittest.TestCase):
    """A workspace that sends many times its rate to both sides of a partition gets one rate."""

    LIMIT = WorkspaceLimit(rate_per_s=40.0, burst=40.0)

    def issue(self, quota, peer_table, now_s):
        return (
            quota.take(
                "w",
                self.LIMIT,
                now_s,
                fleet_share=peer_table.fleet_share(now_s),
                lent_share=peer_table.lent_share(b"w:w", now_s),
                is_disputed=peer_table.has_competing_home(b"w:w", now_s),
            )
            == 0
        )

    def test_two_homes_issue_no_more_than_the_rate(self):
        """Guards against a rate that doubles when the fleet is divided.

        The bound is the platform's: rate and burst over 5 s, plus 10 % and 20 requests. Each side
        counts the other as live until the heartbeat timeout.
        """
        cut_s = 10.0
        for size in (2, 4, 6):
            first = home_name(make_peer_table("i0", NAMES, 0.0), "i0", b"w:w", 0.1)
            others = [name for name in NAMES if name != first]
            far = others[size - 1 :]
            second = home_name(make_peer_table(far[0], far, 0.0), far[0], b"w:w", 0.1)
            far.remove(second)
            sides = ([first, *others[: size - 1]], [second, *far])
            issued = []
            for side in sides:
                has_home = side[0] == first
                quota = WorkspaceQuota()
                now_s = 0.0 if has_home else cut_s
                last_heard_s = -1.0
                peer_table = None
                while now_s < cut_s + 15.0:
                    if now_s - last_heard_s > 0.5:
                        peer_table = make_peer_table(side[0], NAMES, min(now_s, cut_s))
                        for name in side[1:]:
                            hear(peer_table, name, now_s)
                            if not has_home:
                                peer_table.record_suspected(name, [first])
                        if not has_home:
                            peer_table.suspect(first, now_s)
                        last_heard_s = now_s
                    if self.issue(quota, peer_table, now_s):
                        issued.append(now_s)
                    now_s += 0.004
            allowed = (5 * self.LIMIT.rate_per_s + self.LIMIT.burst) * 1.1 + 20
            for start in range(8, 80):
                count = sum(start / 4 <= at_s < start / 4 + 5 for at_s in issued)
                with self.subTest(size=size, start_s=start / 4):
                    self.assertLessEqual(count, allowed)

    def test_small_workspace_is_served_while_its_home_moves(self):
        """Guards against refusals within a low rate, whose requests come from few instances."""
        quota = WorkspaceQuota()
        limit = WorkspaceLimit(rate_per_s=2.0, burst=4.0)
        granted = [
            quota.take(
                "w",
                limit,
                number * 0.7,
                fleet_share=1.0,
                lent_share=2 / 32,
                is_disputed=True,
            )
            for number in range(12)
        ]
        self.assertEqual(granted, [0.0] * 12)

    def test_fleet_without_faults_gets_the_whole_rate(self):
        """Guards against refusals of requests within the rate, also at the start."""
        quota = WorkspaceQuota()
        own = home_name(make_peer_table("i0", NAMES, 0.0), "i0", b"w:w", 0.1)
        peer_table = make_peer_table(own, NAMES, 0.0)
        peer_table.heartbeat_s = 100.0
        granted = sum(self.issue(quota, peer_table, number / 38.0) for number in range(380))
        self.assertGreaterEqual(granted, 378)


if __name__ == "__main__":
    unittest.main()
