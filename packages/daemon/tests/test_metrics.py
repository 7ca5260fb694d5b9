"""Tests of the metrics."""

import unittest

from tanagerreachd import _metrics
from tanagerreachd._metrics import Metrics


class MetricsTest(unittest.TestCase):
    """Operators judge the fleet by these numbers."""

    def setUp(self):
        self.metrics = Metrics()

    def test_latency_quantiles(self):
        """Guards against quantile errors above the histogram's precision."""
        latency = self.metrics.latency("request_seconds", "Total.", ("service",))
        for number in range(1, 1001):
            latency.record(number / 1000, "matcher")
        series = self.metrics.to_json()["request_seconds"]["series"][0]
        self.assertEqual(series["labels"], {"service": "matcher"})
        self.assertAlmostEqual(series["quantiles_s"]["0.5"], 0.5, delta=0.005)
        self.assertAlmostEqual(series["quantiles_s"]["0.99"], 0.99, delta=0.01)
        self.assertEqual(series["count"], 1000)

    def test_durations_outside_the_range(self):
        """Guards against errors and lost records for negative or very long durations."""
        latency = self.metrics.latency("request_seconds", "Total.")
        for duration_s in (-1, 0, 1e-9, 1e6, float("inf")):
            latency.record(duration_s)
        self.assertIn("request_seconds_count 5", self.metrics.to_prometheus())

    def test_prometheus_text(self):
        """Guards against label values that break the text format."""
        counter = self.metrics.counter("refused_total", "Refused.", ("reason",))
        counter.add(2, 'a"b\\c\nd')
        self.metrics.gauge("in_flight", "Running requests.", lambda: 3)
        text = self.metrics.to_prometheus()
        self.assertIn('refused_total{reason="a\\"b\\\\c\\nd"} 2\n', text)
        self.assertIn("# TYPE in_flight gauge\nin_flight 3\n", text)

    def test_cardinality_is_bounded(self):
        """Guards against memory use that grows with the number of label values."""
        counter = self.metrics.counter("refused_total", "Refused.", ("workspace",))
        for number in range(_metrics.COUNTER_SERIES_LIMIT * 2):
            counter.add(1, str(number))
        series = self.metrics.to_json()["refused_total"]["series"]
        self.assertEqual(len(series), _metrics.COUNTER_SERIES_LIMIT)
        self.assertEqual(sum(item["value"] for item in series), _metrics.COUNTER_SERIES_LIMIT * 2)
        self.assertGreater(counter.value(_metrics.OVERFLOW_LABEL), 1)

    def test_wrong_use_is_refused(self):
        """Guards against series with mixed label sets, and against duplicate names."""
        counter = self.metrics.counter("refused_total", "Refused.", ("reason",))
        with self.assertRaises(ValueError):
            counter.add(1)
        with self.assertRaises(ValueError):
            self.metrics.counter("refused_total", "Refused.")
        with self.assertRaises(ValueError):
            self.metrics.counter("refused total", "Refused.")
