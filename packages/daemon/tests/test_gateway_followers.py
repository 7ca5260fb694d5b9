"""Followers of the store: how often they call it."""

import unittest
from random import Random
from unittest import mock

import gevent
from tanagerreachd import _clock
from tanagerreachd.gateway import Listing, SourceError
from tanagerreachd.gateway._followers import TargetFollower
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
    """Calls to a store that replies intermittently to the instances of a large fleet."""

    def test_peers_cause_few_checks(self):
        """Guards against a flood of store calls when all instances lose and regain the store."""
        source = CountingSource()
        directory = mock.Mock(spec=TargetDirectory)
        directory.__len__ = lambda _self: 1
        directory.revision = 0
        follower = TargetFollower(
            platform=mock.Mock(target_items=source),
            directory=directory,
            on_change=lambda: None,
            on_availability=lambda: None,
            log=mock.Mock(),
            random=Random(1),
        )
        started_s = _clock.now_s()
        with mock.patch.object(_clock, "now_s", lambda: started_s + 1.0):
            loop = gevent.spawn(lambda: [follower.run() for _ in range(1000)])
            for _ in range(100):
                follower.check()
                gevent.sleep(0.005)
            loop.kill()
        self.assertLessEqual(source.read_count, 2)


if __name__ == "__main__":
    unittest.main()
