"""Tests of the time limit for one try."""

import math
import random
import unittest

from tanagerreach_core.traffic import TryTimeout

CLASSES = ((0.80, 0.005), (0.15, 0.020), (0.05, 0.080))
SIGMA = 0.6


class TryTimeoutTest(unittest.TestCase):
    """A try ends early at a hanging target, and not at a sound one."""

    def draw_s(self, draw):
        (median_s,) = draw.choices(
            [median_s for _, median_s in CLASSES], [share for share, _ in CLASSES]
        )
        return median_s * math.exp(draw.gauss(0.0, SIGMA))

    def test_sound_service_exceeds_no_limit(self):
        """Guards against retries of requests that are merely the longer ones of a sound service."""
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

    def test_no_limit_before_the_first_answer(self):
        """Guards against a service that answers nothing within the least limit, ever."""
        self.assertIsNone(TryTimeout().limit_s(timeout_s=5.0, remaining_s=5.0))

    def test_service_slow_as_a_whole_loses_its_limit(self):
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

    def test_one_hanging_target_keeps_the_limit(self):
        """Guards against a limit that grows away while one target of six hangs."""
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
