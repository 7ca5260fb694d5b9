"""Tests of the computed loads on the capacity page."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from capacity.projection import (
    Size,
    claims_per_s_limit,
    holder_exchanges_per_s,
    slotless_exchanges_per_s,
    stranded,
)


class ProjectionTest(unittest.TestCase):
    """Guards against loads on the page that don't follow from the intervals and limits in use."""

    def test_exchanges(self):
        size = Size(instances=680, slots=32)
        self.assertAlmostEqual(holder_exchanges_per_s(size), 15.5)
        self.assertAlmostEqual(slotless_exchanges_per_s(size), 30.375)

    def test_fleet_with_more_slots_than_instances(self):
        size = Size(instances=16, slots=32)
        self.assertEqual(size.holders, 16)
        self.assertEqual(slotless_exchanges_per_s(size), 0)
        self.assertAlmostEqual(stranded(size)["percent_per_crash"], 6.25)

    def test_claims(self):
        self.assertAlmostEqual(claims_per_s_limit(Size(instances=680, slots=96)), 640)


if __name__ == "__main__":
    unittest.main()
