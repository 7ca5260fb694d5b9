"""Tests of measuring costs and fitting lines."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from capacity.fitting import allocated_bytes, doubling, fit


class FittingTest(unittest.TestCase):
    """Guards against figures on the capacity page that don't follow from the measurements."""

    def test_points_on_a_line(self):
        line = fit("cost", "us", "item", [(size, 3.0 + 2.0 * size) for size in doubling(10)])
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.intercept, 3.0)
        self.assertAlmostEqual(line.residual, 0.0)
        self.assertAlmostEqual(line.at(680), 1363.0)

    def test_residual_is_the_root_mean_square(self):
        line = fit("cost", "us", "item", [(1, 1), (2, 0), (3, 0), (4, 0), (5, 1)])
        self.assertAlmostEqual(line.slope, 0.0)
        self.assertAlmostEqual(line.residual, 0.24**0.5)

    def test_too_few_sizes(self):
        with self.assertRaisesRegex(ValueError, "at least 5 sizes"):
            fit("cost", "us", "item", [(1, 1), (2, 2)])

    def test_sizes_double(self):
        self.assertEqual(doubling(3), (3, 6, 12, 24, 48))

    def test_allocated_memory_counts_what_is_kept(self):
        size_bytes = allocated_bytes(lambda: bytes(1_000_000))
        self.assertAlmostEqual(size_bytes, 1_000_000, delta=10_000)


if __name__ == "__main__":
    unittest.main()
