"""Followers of the store: how often they call it."""

import contextlib
import unittest
from random import Random
from unittest import mock

import gevent
from tanagerreach_core.placement import PeerTable
from tanagerreachd import _clock
from tanagerreachd.gateway import (
    HistoryGoneError,
    Listing,
    SourceError,
    StoredItem,
    _followers,
    _membership,
    _operator_items,
    store_position,
)
from tanagerreachd.gateway._followers import OperatorStateFollower, TargetFollower
from tanagerreachd.gateway._membership import Membership
from tanagerreachd.gateway._target_directory import TargetDirectory


class CountingSource:
    """Store that fails every second read."""

    def __init__(self):
        self.read_count = 0

    def read(self, *, allow_stale=False):
        self.read_count += 1
        if self.read_count % 2:
            return Listing(items=[], revision=self.read_count)
        raise SourceError("status 503")


class FollowerTest(unittest.TestCase):
    """Calls to a store by the instances of a large fleet."""

    @staticmethod
    def make_follower(source, directory, is_outage=lambda: True):
        return TargetFollower(
            platform=mock.Mock(target_items=source),
            directory=directory,
            on_change=lambda: None,
            on_availability=lambda: None,
            is_outage=is_outage,
            log=mock.Mock(),
            random=Random(1),
        )

    def test_peers_cause_few_checks(self):
        """Guards against a flood of store calls when all instances lose and regain the store."""
        source = CountingSource()
        directory = mock.Mock(spec=TargetDirectory)
        directory.__len__ = lambda _self: 1
        directory.revision = 0
        follower = self.make_follower(source, directory)
        started_s = _clock.now_s()
        with mock.patch.object(_clock, "now_s", lambda: started_s + 1.0):
            loop = gevent.spawn(lambda: [follower.run() for _ in range(1000)])
            for _ in range(100):
                follower.check()
                gevent.sleep(0.005)
            loop.kill()
        self.assertLessEqual(source.read_count, 2)

    def test_empty_list_is_read_without_a_pause(self):
        """Guards against a flood of store calls while no target has registered.

        Load pattern: a whole fleet starts before the targets do.
        """
        source = mock.Mock()
        source.read.return_value = Listing(items=[], revision=1)
        directory = TargetDirectory(decode=mock.Mock(), on_skipped=mock.Mock())
        follower = self.make_follower(source, directory)
        loop = gevent.spawn(lambda: [follower.run() for _ in range(1000)])
        gevent.sleep(1.0)
        loop.kill()
        self.assertLessEqual(source.read.call_count, 5)
        self.assertGreaterEqual(source.read.call_count, 2)

    def test_outage_that_peers_noticed_after_the_last_call(self):
        """Guards against a service without targets after an outage with a single failed call."""
        items = [StoredItem(key=f"t{number}", value=b"", revision=1) for number in range(9)]
        source = mock.Mock()
        source.read.side_effect = [
            Listing(items=items, revision=1),
            SourceError("status 503"),
            Listing(items=[], revision=30),
        ]
        directory = TargetDirectory(decode=lambda item: None, on_skipped=mock.Mock())
        lost_count = 1
        follower = self.make_follower(source, directory, lambda: lost_count > 5)
        follower.keep_current()
        follower.run()
        follower._is_following = False
        began_s = _clock.now_s()
        follower.run()
        lost_count = 9
        with mock.patch.object(_clock, "now_s", lambda: began_s + 5.0):
            follower.run()
        self.assertEqual(directory.missing_count, len(items))


class MembershipTest(unittest.TestCase):
    """Load pattern: all instances of a large fleet start at once, and each reads the members."""

    def read_count(self, *, has_news, fails=0):
        """Return the reads of the members by an instance within its first seconds."""
        platform = mock.Mock()
        platform.members.side_effect = [*[SourceError("status 503")] * fails, *[{}] * 9]
        membership = Membership(
            settings=mock.Mock(instance_name="i0", data_centre="a"),
            platform=platform,
            peer_table=PeerTable(own_name="i0", heartbeat_s=0.6),
            describe=mock.Mock(),
            on_state=mock.Mock(),
            send=mock.Mock(),
            log=mock.Mock(),
            random=Random(1),
        )
        membership._has_news = has_news
        with (
            mock.patch.object(_membership, "MEMBERS_REREAD_S", 0.05),
            mock.patch.object(_membership, "REGISTRATION_RETRY_S", 0.01),
        ):
            loop = gevent.spawn(membership.register)
            gevent.sleep(0.3)
            loop.kill()
        self.assertEqual(platform.register.call_count, 1)
        return platform.members.call_count

    def test_members_are_read_twice(self):
        """Guards against a second read of the members by each instance that peers told of them."""
        self.assertEqual(self.read_count(has_news=True), 1)
        self.assertEqual(self.read_count(has_news=True, fails=1), 2)

    def test_instance_that_hears_nothing_reads_once(self):
        """Guards against instances that start together and do not know each other."""
        self.assertEqual(self.read_count(has_news=False), 2)


class HangingSource:
    """Store that never ends a call that it got before or while it hangs.

    :param call_limit_s: timeout of a read; a watch waits for much longer.
    """

    def __init__(self, *, call_limit_s):
        self.revision = 1
        self.is_hanging = False
        self.is_damaged = False
        self.read_count = 0
        self.wait_count = 0
        self._call_limit_s = call_limit_s
        self._hang_count = 0

    def hang(self):
        self.is_hanging = True
        self._hang_count += 1

    def read(self, *, allow_stale=False):
        self.read_count += 1
        if self.is_hanging:
            gevent.sleep(self._call_limit_s)
            raise SourceError("GET /kv-range: ReadTimeoutError")
        return self._listing()

    def wait(self, after, wait_s):
        self.wait_count += 1
        ends_s = _clock.now_s() + wait_s
        hang_count = self._hang_count
        while self.is_hanging or self._hang_count > hang_count or self.revision <= after:
            if _clock.now_s() > ends_s:
                raise SourceError("GET /kv-watch: ReadTimeoutError")
            gevent.sleep(0.005)
        return self._listing()

    def _listing(self):
        value = b"" if self.is_damaged else b"{}"
        return Listing(
            items=[StoredItem(key="op/config", value=value, revision=self.revision)],
            revision=self.revision,
            is_damaged=self.is_damaged,
        )


def operator_state(listing):
    """Return a state whose configuration is numbered like the store's revision."""
    if not listing.items[0].value:
        return None
    return mock.Mock(
        version=listing.revision, configuration=mock.Mock(revision=listing.items[0].revision)
    )


class RemovalTest(unittest.TestCase):
    """An evacuation that operators took back, found by a read of the whole state."""

    def test_peers_do_not_learn_of_a_removal(self):
        """Guards against instances that keep a data centre out of service until the next change.

        They learn of changes by the version that a reader has in force.
        """
        items = [
            StoredItem(key="op/config", value=b"{}", revision=1),
            StoredItem(key="op/evacuate/dc-1", value=b"{}", revision=5),
        ]
        source = mock.Mock()
        source.read.side_effect = [
            Listing(items=items, revision=6),
            Listing(items=items[:1], revision=9),
            Listing(items=items[:1], revision=20),
        ]
        follower = OperatorStateFollower(
            platform=mock.Mock(operator_items=source, decode_operator_state=operator_state),
            on_state=lambda state: None,
            is_reader=lambda: True,
            log=mock.Mock(),
            random=Random(1),
        )
        versions = []
        for _ in range(3):
            follower.check()
            follower.run_read()
            versions.append(follower.version)
        # Other writers raise the store's revision without a change of this state.
        self.assertEqual(versions, [5, 9, 9])


class NewEraTest(unittest.TestCase):
    """A store that comes back from a copy with an older configuration and lower revisions."""

    def setUp(self):
        self.source = mock.Mock()
        self.follower = OperatorStateFollower(
            platform=mock.Mock(
                operator_items=self.source,
                decode_operator_state=operator_state,
                may_replace=lambda known, item: item is not None and item.value >= known.value,
            ),
            on_state=lambda state: None,
            is_reader=lambda: True,
            log=mock.Mock(),
            random=Random(1),
        )

    @staticmethod
    def listing(era, revision, value):
        position = store_position(era, revision)
        item = StoredItem(key="op/config", value=value, revision=position)
        return Listing(items=[item], revision=position)

    def in_force(self):
        return {item.value for item in self.follower._items.in_force()}

    def read(self, listing):
        self.source.read.side_effect = [listing]
        self.follower.check()
        self.follower.run_read()

    def test_lower_revisions_are_ignored(self):
        """Guards against an instance that stops to follow the state, and peers that do not read."""
        self.read(self.listing(0, 90, b"2"))
        self.read(self.listing(1, 80, b"1"))
        self.assertEqual(self.follower.version, store_position(1, 80))
        self.assertEqual(self.in_force(), {b"2"})
        self.read(self.listing(1, 81, b"3"))
        self.assertEqual(self.follower.version, store_position(1, 81))
        self.assertEqual(self.in_force(), {b"3"})

    def test_instance_that_starts_reads_the_copy_only(self):
        """Guards against an older configuration at an instance that starts before its return."""
        peer = self.listing(0, 90, b"2")
        self.follower.set_peer_reader(lambda: peer)
        self.read(self.listing(1, 80, b"1"))
        self.assertEqual(self.in_force(), {b"2"})
        self.assertEqual(self.follower.version, store_position(1, 80))

    def test_peer_is_in_an_era_that_the_store_does_not_show(self):
        """Guards against a flood of store calls by followers that a peer told of another era."""
        copy, newer = self.listing(0, 90, b"2"), self.listing(1, 80, b"1")
        self.follower.set_peer_reader(lambda: newer)
        self.read(copy)
        self.follower._read_from_peer()
        self.source.read.side_effect = None
        self.source.read.return_value = copy
        self.source.wait.side_effect = HistoryGoneError("era")
        directory = TargetDirectory(decode=lambda item: None, on_skipped=mock.Mock())
        directory.replace(newer, 0.0)
        targets = FollowerTest.make_follower(self.source, directory)
        targets.keep_current()
        self.source.read.reset_mock()
        loops = [
            gevent.spawn(lambda step=step: [step() for _ in range(1000)])
            for step in (self.follower.run_watch, targets.run)
        ]
        gevent.sleep(1.0)
        gevent.killall(loops)
        self.assertLessEqual(self.source.read.call_count, 8)

    def test_released_items_wait_for_a_read(self):
        """Guards against held items that stay in force as nothing causes a read."""
        removed = StoredItem(key="op/evacuate/a", value=b"0", revision=90)
        first = self.listing(0, 90, b"2")
        self.read(Listing(items=[*first.items, removed], revision=90))
        self.follower._platform.may_replace = self.follower._items._may_replace = mock.Mock()
        with mock.patch.object(_operator_items, "OPERATOR_RETURN_S", 0.3):
            self.read(self.listing(1, 80, b"2"))
        self.assertEqual(self.in_force(), {b"2", b"0"})
        loop = gevent.spawn(lambda: [self.follower.run_read() for _ in range(9)])
        gevent.sleep(0.6)
        loop.kill()
        self.assertEqual(self.in_force(), {b"2"})


class OperatorStateFollowerTest(unittest.TestCase):
    """Configurations that are written while and after the store hangs."""

    # Time of a follower that has lost the store to read from it again after its return.
    RETRY_LIMIT_S = 1.5

    def setUp(self):
        self.source = HangingSource(call_limit_s=0.05)
        self.is_reader = True
        self.log = mock.Mock()
        self.follower = OperatorStateFollower(
            platform=mock.Mock(operator_items=self.source, decode_operator_state=operator_state),
            on_state=lambda state: None,
            is_reader=lambda: self.is_reader,
            log=self.log,
            random=Random(1),
        )
        for step in (self.follower.run_read, self.follower.run_watch):
            loop = gevent.spawn(self.repeat, step)
            self.addCleanup(loop.kill)
        self.wait_until_version(1, 1.0)
        # The watch has begun.
        gevent.sleep(0.3)

    @staticmethod
    def repeat(step):
        while True:
            with contextlib.suppress(ValueError):
                step()
            gevent.sleep(0)

    def wait_until_version(self, version, limit_s):
        ends_s = _clock.now_s() + limit_s
        while self.follower.version < version and _clock.now_s() < ends_s:
            gevent.sleep(0.01)
        self.assertGreaterEqual(self.follower.version, version)

    def lose_store(self):
        """Let the store hang until a read has failed."""
        self.source.hang()
        self.follower.check()
        gevent.sleep(0.5)
        self.assertGreater(self.source.read_count, 1)

    def test_state_that_failed_is_not_tried_again(self):
        """Guards against a state that counts as in force though it could not be built."""
        applied = []

        def apply(state):
            applied.append(state.version)
            if len(applied) == 1:
                raise ValueError("a route cannot be indexed")

        self.follower._on_state = apply
        with mock.patch.object(_followers, "APPLY_RETRY_S", 0.3):
            self.source.revision = 2
            gevent.sleep(0.1)
            self.assertEqual(self.follower.version, 1)
            self.wait_until_version(2, 2.0)
        self.assertEqual(applied, [2, 2])

    def test_damaged_item_is_not_read_again(self):
        """Guards against a version that is missed, as its value was not base64 when it was read."""
        self.source.is_damaged = True
        self.source.revision = 2
        gevent.sleep(0.3)
        self.assertEqual(self.follower.version, 1)
        self.source.is_damaged = False
        with mock.patch.object(_followers, "APPLY_RETRY_S", 0.3):
            self.wait_until_version(2, 2.0)

    def test_state_stays_old_after_the_store_hung(self):
        """Guards against a watch that hangs and keeps an old configuration in force."""
        self.lose_store()
        self.source.revision = 2
        self.source.is_hanging = False
        self.wait_until_version(2, self.RETRY_LIMIT_S)

    def test_watch_stays_deaf_after_the_store_hung(self):
        """Guards against changes after the store's return that a hanging watch never delivers."""
        self.lose_store()
        self.source.is_hanging = False
        gevent.sleep(self.RETRY_LIMIT_S)
        self.source.revision = 2
        self.wait_until_version(2, 0.5)

    def test_watch_stays_deaf_after_a_peer_had_a_newer_state(self):
        """Guards against a hanging watch when only a peer shows that it missed a change."""
        self.source.hang()
        self.source.is_hanging = False
        self.source.revision = 2
        self.follower.record_peer_version(2)
        self.wait_until_version(2, 1.0)
        gevent.sleep(0.3)
        self.source.revision = 3
        self.wait_until_version(3, 0.5)

    def test_peers_are_read_before_a_store_that_is_lost(self):
        """Guards against a state that waits for timeouts of the store while a peer has it."""
        self.lose_store()
        newer = Listing(items=[StoredItem(key="op/config", value=b"{}", revision=2)], revision=2)
        self.follower.set_peer_reader(lambda: newer)
        self.source._call_limit_s = 1.5
        self.follower.record_peer_version(2)
        self.wait_until_version(2, 1.3)

    def follow_peers(self):
        """Let the follower learn of changes by its peers only; returns the calls until now."""
        self.is_reader = False
        self.source.revision += 1
        # The watch that had begun returns.
        gevent.sleep(0.6)
        return self.source.read_count + self.source.wait_count

    def test_whole_fleet_watches_the_store(self):
        """Guards against a call of each instance to the store for each change."""
        call_count = self.follow_peers()
        for revision in (3, 4, 5):
            self.source.revision = revision
            newer = self.source._listing()
            self.follower.set_peer_reader(lambda listing=newer: listing)
            self.follower.record_peer_version(revision)
            self.wait_until_version(revision, 0.3)
        gevent.sleep(0.5)
        self.assertEqual(self.source.read_count + self.source.wait_count, call_count)

    def test_peers_that_do_not_reply_keep_the_state_old(self):
        """Guards against an old state while no peer can be read, but the store replies."""
        self.follow_peers()
        self.source.revision = 3
        self.follower.record_peer_version(3)
        self.wait_until_version(3, 0.5)

    def test_new_reader_misses_changes(self):
        """Guards against an instance that does not follow the store after its readers are gone."""
        self.follow_peers()
        self.source.revision = 3
        gevent.sleep(0.3)
        self.assertLess(self.follower.version, 3)
        self.is_reader = True
        self.wait_until_version(3, 0.5)
        self.source.revision = 4
        self.wait_until_version(4, 0.5)


if __name__ == "__main__":
    unittest.main()
