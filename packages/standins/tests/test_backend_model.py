"""Tests of the backend server stand-in's model."""

import unittest
from random import Random

from tanagerreach_standins._backend_model import ColdStart, Mode, ServiceTimes


class ColdStartTest(unittest.TestCase):
    """Cold start with a simulated clock."""

    def setUp(self):
        """Create a cold start of 2 s with 4 slots."""
        self.now_s = 100.0
        self.cold_start = ColdStart(
            slots=4,
            cold_start_s=2.0,
            cold_concurrency=1,
            ramp="doubling",
            clock=lambda: self.now_s,
        )

    def test_doubling_ramp(self):
        """Guards against a limit that differs from the ramp of section 2.7 of the design."""
        limits = []
        for self.now_s in (100.0, 100.9, 101.0, 101.9, 102.0):
            limits.append(self.cold_start.concurrency_limit())
        self.assertEqual(limits, [1, 1, 2, 2, 4])

    def test_overload_restarts_cold_start(self):
        """Guards against an overload that does not restart the cold start."""
        self.now_s = 101.5
        self.assertTrue(self.cold_start.admit(2))
        self.assertFalse(self.cold_start.admit(3))
        self.assertEqual((self.cold_start.concurrency_limit(), self.cold_start.overloads), (1, 1))
        self.assertEqual(self.cold_start.max_concurrency_cold, 3)
        self.now_s = 103.6
        self.assertFalse(self.cold_start.is_cold())


class ModeTest(unittest.TestCase):
    """Failure modes and service times."""

    def test_flapping_alternates(self):
        """Guards against a flapping server that stays in one mode."""
        mode = Mode(mode="flapping", flap_to="slow", period_s=2.0)
        modes = [mode.at(elapsed_s) for elapsed_s in (0.0, 0.9, 1.1, 1.9, 2.1)]
        self.assertEqual(modes, ["slow", "slow", "ok", "ok", "slow"])

    def test_service_times_have_their_mean(self):
        """Guards against a distribution whose mean is not the configured one."""
        for distribution in ("fixed", "exponential", "lognormal"):
            times = ServiceTimes(distribution=distribution, mean_s=0.02, random=Random(1))
            mean_s = sum(times.draw_s() for _ in range(20_000)) / 20_000
            self.assertAlmostEqual(mean_s, 0.02, delta=0.001, msg=distribution)
