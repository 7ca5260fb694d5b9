"""Tests of the adaptive timeout of one try."""

import math
import random
import unittest

from tanagerreach_core.traffic import TryTimeout

CLASSES = ((0.80, 0.005), (0.15, 0.020), (0.05, 0.080))
SIGMA = 0.6


class TryTimeoutTest(unittest.TestCase):
    """A try times out early at a hanging target, and not at a healthy one."""

    def draw_s(self, draw):
        (median_s,) = draw.choices(
            [median_s for _, median_s in CLASSES], [share for share, _ in CLASSES]
        )
        return median_s * math.exp(draw.gauss(0.0, SIGMA))

    def test_healthy_service_exceeds_no_timeout(self):
        """Guards against retries of the longer requests of a healthy service."""
        draw = random.Random(1)
        limit = TryTimeout()
        exceeded = 0
        for _ in range(20_000):
            limit_s = limit.limit_s(timeout_s=0.5, remaining_s=100.0)
            head_s = self.draw_s(draw)
            if limit_s is not None and head_s > limit_s:
                exceeded += 1
                limit.record_timeout()
            else:
                limit.record_response(head_s)
        self.assertLess(exceeded, 20_000 / 500)

    def test_no_timeout_before_the_first_response(self):
        """Guards against a service that never responds within the minimum timeout."""
        self.assertIsNone(TryTimeout().limit_s(timeout_s=5.0, remaining_s=5.0))

    def test_service_slow_as_a_whole_loses_its_timeout(self):
        """Guards against retries of every request once all targets are slow."""
        limit = TryTimeout()
        for _ in range(100):
            limit.record_response(0.01)
        exceeded = 0
        for _ in range(100):
            if limit.limit_s(timeout_s=5.0, remaining_s=5.0) is None:
                limit.record_response(4.0)
            else:
                exceeded += 1
                limit.record_timeout()
        self.assertLess(exceeded, 10)

    def test_one_hanging_target_keeps_the_timeout(self):
        """Guards against a timeout that grows too long while one target of six hangs."""
        draw = random.Random(1)
        limit = TryTimeout()
        limited = 0
        for _ in range(600):
            limited += limit.limit_s(timeout_s=5.0, remaining_s=5.0) is not None
            if draw.random() < 1 / 6:
                limit.record_timeout()
            else:
                limit.record_response(self.draw_s(draw))
        self.assertGreater(limited, 0.95 * 600)


if __name__ == "__main__":
    unittest.main()
