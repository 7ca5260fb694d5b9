"""Tests of the evaluation of load records."""

import math
import unittest

from measure._evaluation import failures_by_reason, since_latest_s


class FailuresTest(unittest.TestCase):
    """Classification of failed requests by cause."""

    def test_since_latest(self):
        """Guards against counting the time since a stop that came after the request."""
        self.assertEqual(since_latest_s(5.0, [1.0, 4.0, 6.0]), 1.0)
        self.assertEqual(since_latest_s(5.0, [6.0]), math.inf)

    def test_failures_are_counted_by_reason(self):
        """Guards against adding up failures with different causes."""
        refusal = {"result": "429", "reason": "urn:tanagerreach:rate-exceeded"}
        request = {"workspace": "w", "kind": "page"}
        early = refusal | request | {"since_stop_s": 0.8}
        cut = request | {"result": "broken", "reason": "", "since_stop_s": 2.0}
        found = failures_by_reason([early, early, cut])
        self.assertEqual(found, [("429 rate-exceeded w/page 1 s", 2), ("broken  w/page 2 s", 1)])


if __name__ == "__main__":
    unittest.main()
