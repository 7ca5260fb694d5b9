"""Counts of bytes between data centres and of calls to the store."""

import unittest
from unittest import mock

from tanagerreach_core.messages import CompletionAck
from tanagerreachd._metrics import Metrics
from tanagerreachd.gateway._traffic import TrafficCounts, message_bytes


class TrafficCountsTest(unittest.TestCase):
    """Operators find in these counts what the fleet's traffic and its store calls are for."""

    def setUp(self):
        self.metrics = Metrics()
        self.log = mock.Mock()
        self.traffic = TrafficCounts(
            own_data_centre="dc-1",
            peer_data_centre={"10.0.0.1:7100": "dc-1", "10.0.0.2:7100": "dc-2"}.get,
            metrics=self.metrics,
            log=self.log,
        )

    def test_bytes_in_the_own_data_centre_count_as_crossing(self):
        """Guards against a report of traffic that never left the data centre."""
        ack = CompletionAck(call_id=1)
        self.traffic.add_message("10.0.0.1:7100", ack, 70)
        self.traffic.add_message("10.0.0.2:7100", ack, 80)
        self.traffic.add_request("dc-2", 300)
        self.traffic.add_response("dc-1", 5000)
        self.traffic.report()
        self.log.info.assert_called_once_with(
            "traffic", data_centre_bytes={"CompletionAck": 80, "requests": 300}, store_calls={}
        )

    def test_report_repeats_former_traffic(self):
        """Guards against sums that count bytes or calls of an earlier report again."""
        self.traffic.add_call("kv-watch", "op/")
        self.traffic.report()
        self.traffic.report()
        self.log.info.assert_called_once_with(
            "traffic", data_centre_bytes={}, store_calls={"kv-watch op/": 1}
        )
        self.assertIn(
            'tanagerreach_store_calls_total{kind="kv-watch",part="op/"} 1',
            self.metrics.to_prometheus(),
        )

    def test_size_of_a_message(self):
        """Guards against header fields that are left out of the bytes."""
        headers = [("Content-Length", "5"), ("Deadline-Ms", "100")]
        head = b"Content-Length: 5\r\nDeadline-Ms: 100\r\n"
        self.assertEqual(message_bytes(headers, b"abcde"), len(head) + 5)
        self.assertEqual(message_bytes([], None), 0)


if __name__ == "__main__":
    unittest.main()
