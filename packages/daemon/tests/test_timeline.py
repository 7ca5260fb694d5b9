"""Tests of the timeline and its hybrid logical clock."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from tanagerreachd._timeline import MAX_AHEAD_MS, HybridClock, HybridTime, Timeline

walls = st.lists(st.integers(min_value=0, max_value=1 << 47), min_size=1)


class FakeWallClock:
    """Wall clock set by the test."""

    def __init__(self):
        self.now_ms = 1_000_000

    def __call__(self):
        return self.now_ms


class TimelineTest(unittest.TestCase):
    """Event times must order causes before their effects, for operators who read them."""

    def setUp(self):
        self.wall = FakeWallClock()
        self.timeline = self.make("i-01")

    def make(self, instance, event_limit=3):
        clock = HybridClock(wall_clock_ms=self.wall)
        return Timeline(instance=instance, incarnation=7, event_limit=event_limit, clock=clock)

    def test_event_carries_cause_and_revision(self):
        """Guards against events that cannot be traced to their cause, or that contain a key."""
        self.timeline.revision = 4
        cause = self.timeline.record("store-unavailable", {"seen": "Bearer k3y-0123456789"})
        self.assertNotIn("k3y", str(self.timeline.since().events))
        effect = self.timeline.record("service-degraded", {"service": "matcher"}, cause)
        event = self.timeline.since(cause).events[0].to_entry()
        self.assertEqual((event.id, event.cause), (effect, cause))
        self.assertEqual((event.revision, event.instance), (4, "i-01"))

    def test_ring_is_bounded_and_reports_loss(self):
        """Guards against unbounded memory use, and against gaps that readers cannot detect."""
        ids = [self.timeline.record("tick", {"number": number}) for number in range(6)]
        page = self.timeline.since(ids[4])
        self.assertEqual([event.id for event in page.events], ids[5:])
        self.assertTrue(page.is_complete)
        self.assertTrue(self.timeline.since(ids[2]).is_complete)
        page = self.timeline.since(ids[1])
        self.assertEqual([event.id for event in page.events], ids[3:])
        self.assertFalse(page.is_complete)
        self.assertFalse(self.timeline.since().is_complete)

    def test_unknown_id_gives_all_kept_events(self):
        """Guards against a reader that gets no events after the instance was restarted."""
        self.timeline.record("start", {})
        for event_id in ("i-01/6/99", "i-02/7/0", "", "x", "i-01/7/", "i-01/7/-1", "i-01/7/²"):
            with self.subTest(event_id=event_id):
                self.assertEqual(len(self.timeline.since(event_id).events), 1)
        self.assertEqual(self.timeline.since("i-01/7/99").events, [])

    def test_effect_on_slow_clock_comes_after_its_cause(self):
        """Guards against an effect before its cause when wall clocks differ."""
        cause_id = self.timeline.record("cause", {})
        cause = self.timeline.since().events[0]
        self.wall.now_ms -= 5000
        other = self.make("i-02")
        self.assertTrue(other.observe(cause.time))
        other.record("effect", {}, cause_id)
        self.assertGreater(other.since().events[0].time, cause.time)

    def test_wrong_clock_of_a_peer_is_ignored(self):
        """Guards against one wrong wall clock that advances the whole fleet's time."""
        ahead = HybridTime(self.wall.now_ms + MAX_AHEAD_MS + 1, 0)
        self.assertFalse(self.timeline.observe(ahead))
        self.timeline.record("tick", {})
        self.assertLess(self.timeline.since().events[0].time, ahead)

    @given(walls)
    def test_clock_always_rises(self, readings):
        """Guards against events reordered by a wall clock that is set back."""
        remaining = iter(readings)
        clock = HybridClock(wall_clock_ms=lambda: next(remaining))
        times = [clock.tick() for _ in readings]
        self.assertEqual(times, sorted(set(times)))

    @given(st.integers(0, 1 << 47), st.integers(0, 0xFFFF))
    def test_time_round_trip(self, wall_ms, logical):
        """Guards against times that are altered by packing."""
        time = HybridTime(wall_ms, logical)
        self.assertEqual(HybridTime.from_int(time.to_int()), time)
        self.assertGreater(time.next(), time)
