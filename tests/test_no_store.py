"""An instance that starts while its store is not running."""

import unittest

from fleet_case import FAST_SETTINGS, SLOT_COUNT
from tanagerreach_standins.fleet import Fleet
from tanagerreach_standins.processes import ProcessGroup, free_port

RECOVERY_LIMIT_S = 15.0
DOCUMENT = """
[[workspace]]
name = "alpha"
[[limit]]
name = "default"
rate_per_s = 10
burst = 10
"""


class NoStoreTest(unittest.TestCase):
    """One instance, and a store that starts after it."""

    def test_refuses_until_the_store_appears(self):
        """Guards against an instance that exits, responds 404 to all paths, or never recovers."""
        port = free_port()
        with ProcessGroup() as group:
            fleet = Fleet(group=group, settings=FAST_SETTINGS, store_address=f"127.0.0.1:{port}")
            fleet.start_instances(1)
            instance = fleet.instances[0]
            refused = fleet.request(instance, "GET", "/catalogue", key="k" * 20)
            self.assertEqual((refused.status, refused.executed), (503, "not-run"))
            self.assertIn("Retry-After", refused.headers)
            self.assertEqual(fleet.request(instance, "GET", "/healthz").status, 503)
            status = fleet.operator("GET", "/v1/status")
            self.assertEqual((status["state"], status["store_state"]), ("starting", "unavailable"))
            fleet.start_store(port=port)
            fleet.wait_for_live(RECOVERY_LIMIT_S)
            fleet.wait_for_slots(SLOT_COUNT, RECOVERY_LIMIT_S)
            fleet.wait_for_revision(fleet.apply_document(DOCUMENT), RECOVERY_LIMIT_S)
            unrouted = fleet.request(instance, "GET", "/catalogue", key="k" * 20)
            self.assertEqual((unrouted.status, unrouted.executed), (404, "not-run"))
            self.assertIn("store unavailable", instance.process.log())
            instance.process.begin_stop()
            self.assertEqual(instance.process.wait(RECOVERY_LIMIT_S), 0)


if __name__ == "__main__":
    unittest.main()
