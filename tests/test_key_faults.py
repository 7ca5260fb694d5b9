"""Withdrawal of keys with connected callers and with cut-off or frozen instances."""

import http.client
import threading
import unittest

from fault_case import DROP_ALL, FAST_SETTINGS, FaultCase, Traffic, boot_time_s
from fleet_case import KEY, SECOND_KEY, SLOT_COUNT

SEED = 11
STOP_LIMIT_S = 2.0
STOP_WITH_FAULTS_LIMIT_S = 5.0
# An instance whose configuration stays unconfirmed for freshness_limit_s (3 s) refuses keyed
# requests; this limits its recovery after the link faults end.
RECOVERY_LIMIT_S = 5.0
AFTER_LIMIT_S = 0.5


class KeyFaultsTest(FaultCase):
    """Three instances; each test withdraws the second key and restores it afterwards."""

    settings = FAST_SETTINGS | {"slot_count": SLOT_COUNT}
    rate_per_s = 2000
    burst = 2000

    def setUp(self):
        super().setUp()
        self.connections = threading.local()
        self.addCleanup(self.set_withdrawn, False)

    def set_withdrawn(self, withdrawn):
        """Withdraw or restore the second key, and return when the change was accepted."""
        self.fleet.update_object("key", "alpha-2", withdrawn=withdrawn)
        accepted_s = boot_time_s()
        if not withdrawn:
            self.fleet.wait_until(
                lambda: all(
                    self.get(instance, key=SECOND_KEY).status == 200
                    for instance in self.fleet.running()
                ),
                "the key is valid again",
            )
        return accepted_s

    def send_on_persistent_connection(self, random):
        """Send one request on the persistent connection of this thread."""
        local = self.connections
        if not hasattr(local, "connection"):
            instance = random.choice(self.fleet.instances)
            local.connection = http.client.HTTPConnection(instance.callers_address, timeout=5)
            local.connection.connect()
            self.addCleanup(local.connection.close)
        headers = {"Authorization": f"Bearer {SECOND_KEY}", "Caller-Token": f"{self.id()}-kept"}
        connection = local.connection
        connection.request("GET", "/catalogue/kept", headers=headers)
        response = connection.getresponse()
        response.read()
        self.persistent_statuses.append(response.status)
        if connection.sock is None:
            connection.connect()

    def last_start_s(self):
        """Return the latest start at a target of a request with the second key."""
        return max(
            entry["started_at_s"] for entry in self.entries() if entry["path"] == "/catalogue/kept"
        )

    def withdraw_under_load(self, limit_s):
        """Withdraw the key under load, and return how long after that requests still started."""
        self.persistent_statuses = []
        with Traffic(self.send_on_persistent_connection, thread_count=9, seed=SEED):
            self.fleet.wait_until(
                lambda: self.persistent_statuses.count(200) > 100, "requests succeed"
            )
            accepted_s = self.set_withdrawn(True)
            self.fleet.wait_until(
                lambda: boot_time_s() - accepted_s > limit_s + AFTER_LIMIT_S,
                "the limit has passed",
            )
        return self.last_start_s() - accepted_s

    def test_withdrawn_key_stops_on_kept_connections(self):
        """Guards against an instance that checks the key only once per connection."""
        self.assertLessEqual(self.withdraw_under_load(STOP_LIMIT_S), STOP_LIMIT_S)
        self.assertEqual(self.persistent_statuses[-1], 401)

    def test_instance_that_hears_nothing_stops_too(self):
        """Guards against an instance that serves a key whose withdrawal it cannot receive."""
        self.fleet.set_store_link(3, DROP_ALL)
        self.fleet.set_receiving(3, DROP_ALL)
        lasted_s = self.withdraw_under_load(STOP_WITH_FAULTS_LIMIT_S)
        self.assertLessEqual(lasted_s, STOP_WITH_FAULTS_LIMIT_S)
        self.check_cut_off(self.fleet.instances[2])

    def test_instance_that_is_cut_off_stops_too(self):
        """Guards against an instance that serves a key while cut off from store and peers."""
        self.fleet.set_store_link(3, DROP_ALL)
        self.fleet.set_receiving(3, DROP_ALL)
        self.fleet.set_sending(3, DROP_ALL)
        lasted_s = self.withdraw_under_load(STOP_WITH_FAULTS_LIMIT_S)
        self.assertLessEqual(lasted_s, STOP_WITH_FAULTS_LIMIT_S)
        self.check_cut_off(self.fleet.instances[2])

    def check_cut_off(self, instance):
        """Check that a cut-off instance refuses all keys, and serves valid ones once recovered."""
        for key in (KEY, SECOND_KEY):
            record = self.send(instance, key=key)
            self.assertEqual((record.status, record.executed), (503, "not-run"), record)
        self.check_refusals()
        self.fleet.heal()
        self.fleet.wait_until(
            lambda: self.get(instance).status == 200, "the instance serves again", RECOVERY_LIMIT_S
        )
        self.assertEqual(self.get(instance, key=SECOND_KEY).status, 401)

    def test_frozen_instance_does_not_serve_the_key_when_it_wakes(self):
        """Guards against a resumed instance that trusts its outdated configuration."""
        frozen = self.fleet.instances[1]
        self.fleet.set_store_link(2, DROP_ALL)
        self.addCleanup(frozen.process.resume)
        frozen.process.pause()
        accepted_s = self.set_withdrawn(True)
        self.fleet.wait_until(
            lambda: boot_time_s() - accepted_s > STOP_WITH_FAULTS_LIMIT_S, "the limit has passed"
        )
        connection = http.client.HTTPConnection(frozen.callers_address, timeout=5)
        self.addCleanup(connection.close)
        connection.request(
            "GET", "/catalogue/woken", headers={"Authorization": f"Bearer {SECOND_KEY}"}
        )
        frozen.process.resume()
        self.assertIn(connection.getresponse().status, (401, 503))
        self.assertFalse([entry for entry in self.ledger() if entry["path"] == "/catalogue/woken"])


if __name__ == "__main__":
    unittest.main()
