"""Messages between the instances of large fleets, on links of limited rate.

Load pattern: all instances start within 0.3 s and all is calm. States that grow, or that few
instances pass on, fill the senders' links; what is lost makes peers count as silent and return, and
workspaces get a part of their rate only.
"""

import unittest

from link_replay import LinkedFleet
from quota_client import KEY, QuotaInstance

DATA_CENTRE_COUNT = 4
LINK_MBIT_PER_S = 10.0
SPREAD_S = 0.3
# Requests and responses need the rest of a link: three quarters at the size of today's deployments,
# and half at the size to design for.
LINK_SHARE_MAX = {132: 0.25, 680: 0.5}
# A tenant usually sends its rate divided by 1.6, and homes need some of the rest for bursts.
LENT_SHARE_MIN = 0.9
CLOCK_MS = 1_800_000_000_000
VERSION = 1 << 50


class _LinkedInstance(QuotaInstance):
    """An instance whose states have numbers as large as real ones."""

    def __init__(self, name, started_s):
        super().__init__(name, started_s, DATA_CENTRE_COUNT)
        self.started_ms += CLOCK_MS

    def state(self, now_s):
        state = super().state(now_s)
        state.beat += CLOCK_MS
        state.configuration_version = VERSION
        return state


def made_fleet(size):
    return LinkedFleet(1, size, _LinkedInstance, link_mbit_per_s=LINK_MBIT_PER_S, spread_s=SPREAD_S)


class NewsAtSizeTest(unittest.TestCase):
    """Guards against a fleet that refuses its usual load as its own messages fill its links."""

    def play(self, size, length_s):
        """Play a fleet and check what lasts from its start.

        :returns: the fleet.
        """
        fleet = made_fleet(size)
        fleet.advance(length_s)
        silent = [
            (instance.name, peer.name)
            for instance in fleet.instances.values()
            for peer in instance.table.peers
            if not instance.table.is_live(peer, length_s)
        ]
        self.assertEqual(len(silent), 0, silent[:3])
        most_bytes = LINK_SHARE_MAX[size] * fleet.bytes_per_s * length_s
        for links in (fleet.out_links, fleet.in_links):
            self.assertLessEqual(max(link.byte_count for link in links.values()), most_bytes)
        self.assert_lent(fleet, length_s)
        return fleet

    def assert_lent(self, fleet, now_s):
        lent = sum(instance.table.lent_share(KEY, now_s) for instance in fleet.instances.values())
        self.assertGreaterEqual(lent, LENT_SHARE_MIN)
        self.assertLessEqual(lent, 1.0 + 1e-9)

    def test_fleet_refuses_its_usual_load_after_a_start(self):
        """Guards against news that grow with the peers that were heard again lately."""
        length_s = 5.0
        fleet = self.play(132, length_s)
        for instance in fleet.instances.values():
            counts = instance.table.counts(length_s)
            self.assertEqual((counts.live, counts.settled), (131, 131))
        for step in range(4):
            now_s = length_s + 0.3 * (1 + step)
            fleet.advance(now_s)
            self.assert_lent(fleet, now_s)
        dropped_count = sum(link.dropped_count for link in fleet.out_links.values())
        self.assertEqual(dropped_count, 0)

    def test_speakers_of_a_large_fleet_fill_their_links(self):
        """Guards against two instances of a group that pass on all states to all the others."""
        self.play(680, 2.0)

    def test_states_grow_with_returned_peers(self):
        """Guards against a loop: lost messages, returned peers, larger messages, lost messages.

        Guards also against a home that counts a peer which has heard it again lately.
        """
        fleet = made_fleet(132)
        fleet.advance(5.0)
        observer, home = (fleet.instances[name] for name in fleet.names[:2])
        size_bytes = fleet.size_bytes("", observer.state(5.0))
        returned = [peer for peer in observer.table.peers if peer.name != home.name][:50]
        returned.append(observer.table.peer(home.name))
        now_s = 9.0
        for peer in observer.table.peers:
            peer.last_heard_s = now_s
        for peer in returned:
            peer.last_heard_s = 0.0
            state = fleet.instances[peer.name].state(now_s)
            observer.table.record_state(
                state, data_centre=peer.data_centre, heard_s=now_s, now_s=now_s, news_delay_s=0.5
            )
        self.assertLessEqual(fleet.size_bytes("", observer.state(now_s)), size_bytes)
        notices = {}
        for _ in range(8):
            notices.update(observer.table.due_return_notices(now_s))
        self.assertEqual(notices.keys(), {peer.address for peer in returned})
        home.receive(observer.name, notices[home.name], now_s)
        self.assertEqual(home.table.counts(now_s).naming_own, 0)
        home.table.peer(observer.name).last_heard_s = now_s
        self.assertEqual(home.table.counts(now_s).naming_own, 1)
        self.assertEqual(home.table.counts(now_s + 2.6).naming_own, 0)
        # After a pause of its own, the state says it to all.
        self.assertFalse(observer.table.own_is_returned(now_s))
        observer.table.record_own_pause(now_s)
        self.assertEqual(observer.table.due_return_notices(now_s), [])
        later_s = now_s + 2.7
        home.receive("", observer.heartbeat(now_s), later_s)
        self.assertEqual(home.table.counts(later_s).naming_own, 1)


if __name__ == "__main__":
    unittest.main()
