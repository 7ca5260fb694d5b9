"""A temporary outage of the store under load."""

import time
import unittest

from fleet_case import SECOND_KEY, FleetCase

OUTAGE_S = 12.0
# Goal of the brief for wrongful refusals during a store outage.
MAX_REFUSED_RATIO = 0.01
REQUEST_INTERVAL_S = 0.02
IN_FORCE_LIMIT_S = 5.0


class StoreOutageTest(FleetCase):
    """All functions but configuration changes continue during an outage of the store."""

    def set_store_mode(self, mode):
        self.fleet.store.call("PUT", "/control/state", {"mode": mode})

    def test_requests_go_on_and_keys_stop_after_the_outage(self):
        """Guards against refusals during an outage, and a lost key withdrawal after it."""
        self.set_store_mode("down")
        self.addCleanup(self.set_store_mode, "up")
        statuses = []
        ends_s = time.monotonic() + OUTAGE_S
        while time.monotonic() < ends_s:
            for instance in self.fleet.instances:
                statuses.append(self.get(instance).status)
            time.sleep(REQUEST_INTERVAL_S)
        refused = [status for status in statuses if status != 200]
        self.assertLessEqual(len(refused), MAX_REFUSED_RATIO * len(statuses), refused[:10])
        with self.assertRaises(ValueError):
            self.fleet.update_object("key", "alpha-2", withdrawn=True)
        self.set_store_mode("up")
        self.fleet.wait_until(
            lambda: self.fleet.operator("GET", "/v1/status")["store_state"] == "available",
            "the store is available again",
        )
        self.fleet.update_object("key", "alpha-2", withdrawn=True)
        self.fleet.wait_until(
            lambda: all(
                self.get(instance, key=SECOND_KEY).status == 401
                for instance in self.fleet.instances
            ),
            "the withdrawn key is refused everywhere",
            IN_FORCE_LIMIT_S,
        )


if __name__ == "__main__":
    unittest.main()
