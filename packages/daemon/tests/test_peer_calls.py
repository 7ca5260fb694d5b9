"""Calls between instances across restarts, repeats and lost replies."""

import unittest
from unittest import mock

import gevent
from tanagerreach_core.config import Configuration, Resolver, Service
from tanagerreach_core.messages import (
    PeerState,
    PlacementCompletion,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    QuotaReply,
)
from tanagerreach_core.placement import CrashStreaks, PeerTable
from tanagerreach_core.rights import workspace_rendezvous_key
from tanagerreach_core.traffic import Outcome
from tanagerreachd import _clock
from tanagerreachd._peer_codec import MessageTooLargeError
from tanagerreachd.gateway import ListedTarget, Listing, StoredItem
from tanagerreachd.gateway._home_server import HomeServer
from tanagerreachd.gateway._peer_calls import COMPLETION_RETRY_S, PeerCalls
from tanagerreachd.gateway._placement_client import PlacementClient
from tanagerreachd.gateway._target_directory import TargetDirectory

HOME_ADDRESS = "10.0.0.9:7100"
SERVICES = ("s1", "s2")


def decoded(item):
    service, state = item.value.decode().split(" ")
    return ListedTarget(
        name=item.key,
        service=service,
        address="10.0.0.1:80",
        data_centre="a",
        slot_count=1,
        is_leaving=state == "leaving",
        cold_left_s=0.0,
        started_ms=0,
        sequence=0,
    )


def hear(peer_table, name, now_s):
    """Let a peer table hear a peer that serves; return the peer."""
    state = PeerState(name=name, beat=1, address=f"{name}:1", is_serving=True)
    peer_table.record_state(state, data_centre="a", heard_s=now_s, now_s=now_s, news_delay_s=0.0)
    return peer_table.peer(name)


def acquire(client, service):
    """Acquire a placement for a request that may run once."""
    return client.acquire(
        lambda call_id, accepts_stale: PlacementRequest(
            call_id=call_id,
            service=service,
            workspace="w",
            priority=1,
            remaining_ms=3000,
            objective_ms=3000,
            is_retryable=False,
            is_retry=False,
            data_centre="a",
            fingerprint=b"",
            accepts_stale=accepts_stale,
        )
    )


class InstanceRun:
    """One run of the instance i1, whose messages reach the home at once."""

    def __init__(self, home):
        self.calls = PeerCalls(send=self.send)
        self.client = PlacementClient(
            own_name="i1",
            peer_table=mock.Mock(homes=lambda *_arguments, **_named: [mock.Mock(address="h")]),
            calls=self.calls,
            homes=mock.Mock(),
            crashes=CrashStreaks(),
            on_home_lost=mock.Mock(),
            log=mock.Mock(),
        )
        self.home = home
        home.run = self
        self.is_killed = False

    def send(self, _address, message):
        if not self.is_killed:
            self.home.receive(message)

    def receive(self, reply):
        """Handle a reply as the instance does."""
        if not self.calls.deliver(reply):
            self.client.release_late(HOME_ADDRESS, reply)

    def acquire(self, service):
        return acquire(self.client, service)

    def acquire_later(self, service):
        """Acquire a placement in a greenlet, and let it begin."""
        greenlet = gevent.spawn(self.acquire, service)
        gevent.sleep(0.01)
        return greenlet


class Home:
    """The home of two services; its replies reach the instance's latest run."""

    def __init__(self):
        self.run = None
        self.outcomes = []
        self.directory = TargetDirectory(decode=decoded, on_skipped=mock.Mock())
        configuration = Configuration.from_objects(1, [Service(name=name) for name in SERVICES])
        resolver = Resolver(configuration)
        self.server = HomeServer(
            resolver=lambda: resolver,
            peer_table=PeerTable(own_name="i0", heartbeat_s=0.8),
            directory=self.directory,
            keep_targets_current=lambda: None,
            is_current=lambda: True,
            list_age_ms=lambda: 0,
            floor_share=0.7,
            heartbeat_s=1.5,
            crashes=CrashStreaks(),
            log=mock.Mock(),
        )
        self._revision = 0

    def set_targets(self, **values):
        self._revision += 1
        items = [
            StoredItem(key=name, value=value.encode(), revision=self._revision)
            for name, value in values.items()
        ]
        self.directory.replace(Listing(items=items, revision=self._revision), 0.0)
        self.server.targets_changed()

    def complete(self, placement):
        """Record that a placed request succeeded."""
        completion = PlacementCompletion(
            call_id=placement.placement_request.call_id,
            service=placement.reply.service,
            target=placement.reply.target,
            outcome=Outcome.SUCCESS,
            latency_ms=5,
        )
        self.server.complete("i1", completion)

    def receive(self, message):
        if isinstance(message, PlacementRequest):
            self.server.place("i1", message, lambda reply: self.run.receive(reply))
        else:
            self.outcomes.append(message.outcome)
            self.server.complete("i1", message)
            self.run.calls.record_ack(message.call_id)


class RestartedInstanceTest(unittest.TestCase):
    """Peers know an instance by its name, and hold what its earlier run asked for."""

    def setUp(self):
        self.home = Home()

    def start_run(self):
        return InstanceRun(self.home)

    def test_grant_to_an_earlier_run_is_used(self):
        """Guards against a grant to a killed run that sends a request to another service."""
        self.home.set_targets(t1="s1 ready", t2="s2 ready")
        earlier = self.start_run()
        running = earlier.acquire("s1")
        earlier.acquire_later("s1")
        earlier.is_killed = True
        later = self.start_run()
        later.acquire("s2")
        waiting = later.acquire_later("s2")
        # The target ends the killed run's request, and the home places the queued one.
        self.home.complete(running)
        gevent.sleep(0.01)
        self.assertFalse(waiting.ready(), waiting.value)
        # The placement that no request uses is released.
        self.assertIs(later.acquire("s1").reply.state, PlacementState.GRANTED)
        waiting.kill()

    def test_kept_grant_is_given_to_a_later_run(self):
        """Guards against a restarted instance that gets its earlier run's grants again.

        Their target has left since.
        """
        self.home.set_targets(t1="s1 ready")
        earlier = self.start_run()
        placement = earlier.acquire("s1")
        earlier.client.complete(placement, Outcome.SUCCESS, 0.01)
        self.home.set_targets(t1="s1 leaving", t2="s1 ready")
        self.assertEqual(self.start_run().acquire("s1").reply.target, "t2")

    def test_repeated_grant_releases_a_placement_in_use(self):
        """Guards against more requests at a target than it has slots.

        A placement request that was sent again arrives when its first grant is in use already.
        """
        self.home.set_targets(t1="s1 ready")
        run = self.start_run()
        placement = run.acquire("s1")
        self.home.receive(placement.placement_request)
        waiting = run.acquire_later("s1")
        self.assertFalse(waiting.ready(), waiting.value)
        run.client.complete(placement, Outcome.SUCCESS, 0.01)
        gevent.sleep(0.01)
        self.assertIs(waiting.value.reply.state, PlacementState.GRANTED)

    def test_repeated_grant_replaces_the_outcome_of_its_request(self):
        """Guards against a target's failure that its home never learns of.

        The report of the outcome is lost once, and the repeated grant arrives before it.
        """
        self.home.set_targets(t1="s1 ready")
        run = self.start_run()
        placement = run.acquire("s1")
        with mock.patch.object(run, "is_killed", True):
            run.client.complete(placement, Outcome.BROKEN_AFTER_HEAD, 0.01)
        self.home.receive(placement.placement_request)
        gevent.sleep(2 * COMPLETION_RETRY_S)
        self.assertEqual(self.home.outcomes, [Outcome.BROKEN_AFTER_HEAD])


class QuotaClientTest(unittest.TestCase):
    """An instance that requests a workspace's quota from two homes, or decides alone."""

    def setUp(self):
        self.now_s = _clock.now_s()
        self.peer_table = PeerTable(own_name="own", heartbeat_s=100.0)
        for name in ("h1", "h2"):
            hear(self.peer_table, name, self.now_s).live_since_s = self.now_s - 100.0
        self.peer_table.own_is_home = False
        granted = PlacementReply(call_id=1, state=PlacementState.GRANTED)
        self.homes = mock.Mock(place=lambda _name, _message, send_reply: send_reply(granted))
        self.homes.take_quota.side_effect = self.own_reply
        self.is_own_granted = False
        # Replies of the homes by address; an error is raised at the send.
        self.replies = {}
        self.asked = []
        self.calls = PeerCalls(send=mock.Mock(), send_request=self.send_request)
        self.client = PlacementClient(
            own_name="own",
            peer_table=self.peer_table,
            calls=self.calls,
            homes=self.homes,
            crashes=CrashStreaks(),
            on_home_lost=mock.Mock(),
            log=mock.Mock(),
        )

    def own_reply(self, message, *, is_own_part=False):
        self.asked.append("own part" if is_own_part else "own")
        return QuotaReply(call_id=message.call_id, is_granted=self.is_own_granted)

    def send_request(self, address, message):
        self.asked.append(address)
        is_granted = self.replies[address]
        if is_granted is None:
            raise MessageTooLargeError("QuotaRequest of 20000 bytes exceeds the datagram limit")
        self.calls.deliver(QuotaReply(call_id=message.call_id, is_granted=is_granted))

    def first_home(self):
        home = self.peer_table.homes(workspace_rendezvous_key("w"), self.now_s)[0]
        other = next(peer for peer in self.peer_table.peers if peer is not home)
        return home, other

    def test_refusal_of_a_settled_home_is_final(self):
        """Guards against requests beyond the quota that ask several homes each."""
        home, other = self.first_home()
        self.replies = {home.address: False, other.address: True}
        self.assertFalse(self.client.take_quota("w").reply.is_granted)
        self.assertEqual(self.asked, [home.address])

    def test_home_before_is_not_asked(self):
        """Guards against refusals within the quota by a home that does not hold it yet."""
        home, other = self.first_home()
        home.live_since_s = _clock.now_s() - 2.0
        self.replies = {home.address: False, other.address: True}
        self.assertTrue(self.client.take_quota("w").reply.is_granted)
        self.assertEqual(self.asked, [home.address, other.address])

    def test_own_part_is_not_used_after_a_return(self):
        """Guards against refusals while the home does not count this instance's part yet."""
        for peer in self.peer_table.peers:
            peer.live_since_s = _clock.now_s()
        home = self.peer_table.homes(workspace_rendezvous_key("w"), self.now_s)[0]
        self.replies = dict.fromkeys(("h1:1", "h2:1"), True)
        self.is_own_granted = True
        self.assertTrue(self.client.take_quota("w").reply.is_granted)
        self.is_own_granted = False
        self.assertTrue(self.client.take_quota("w").reply.is_granted)
        self.assertEqual(self.asked, ["own part", "own part", home.address])

    def test_request_that_is_too_large_blames_the_homes(self):
        """Guards against sound homes that are suspected as a request could not be sent to them."""
        self.replies = dict.fromkeys(("h1:1", "h2:1"))
        self.assertFalse(self.client.take_quota("w").reply.is_granted)
        self.assertEqual(self.asked[-1], "own part")
        placement = acquire(self.client, "s1")
        self.assertTrue(placement.decided_alone)
        self.assertEqual(self.peer_table.suspected_names(_clock.now_s()), [])


if __name__ == "__main__":
    unittest.main()
