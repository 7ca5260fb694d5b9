"""Response integrity, truthful refusals and at-most-once runs while two faults coincide."""

import time
import unittest

import urllib3
from fault_case import DROP_ALL, FAST_SETTINGS, FaultCase, Traffic, response_token
from fleet_case import KEY, SECOND_KEY, SLOT_COUNT

SEED = 83
PHASE_S = 1.5
CRASH_MARKER = "crash-marker"
CRASH_RATIO = 0.1
RESERVATION_RATIO = 0.3
SECOND_KEY_RATIO = 0.3
FREEZE_S = 3.0
GRAY_RATIO = 0.2
# With hardly any request served, the other checks would pass without proving anything.
MIN_SERVED_COUNT = 50


class AnswersUnderFaultsTest(FaultCase):
    """Three instances; three of six targets send truncated, swapped or late responses."""

    settings = FAST_SETTINGS | {"slot_count": SLOT_COUNT}
    targets_per_service = 6
    slots_per_target = 8
    floor = 3
    rate_per_s = 5000
    burst = 5000
    service_timeout_s = 0.6
    backend_options = {"slots": 16, "service_time_ms": 10}

    def setUp(self):
        super().setUp()
        self.addCleanup(self.recover)
        self.set_mode("catalogue-1", "short_body", ratio=GRAY_RATIO)
        self.set_mode("catalogue-2", "crossed", ratio=GRAY_RATIO)
        self.set_mode("catalogue-3", "late", ratio=GRAY_RATIO)

    def recover(self):
        """Clear the faults of the targets and of the store."""
        self.set_store_mode("up")
        self.recover_targets()

    def send_request(self, random):
        """Send one request, or one reservation to each of two instances."""
        key = SECOND_KEY if random.random() < SECOND_KEY_RATIO else KEY
        body = CRASH_MARKER.encode() if random.random() < CRASH_RATIO else b"seats"
        first, second = random.sample(self.fleet.instances, 2)
        if random.random() > RESERVATION_RATIO:
            self.send(first, "PUT", "/catalogue/1", key=key, body=body)
            return
        headers = {"Idempotency-Key": f"reservation-{random.getrandbits(64):x}"}
        for instance in (first, second):
            self.send(instance, "POST", "/catalogue/reserve", key=key, headers=headers, body=body)

    def check_under_fault(self, start_fault, end_fault=lambda: None, fault_duration_s=PHASE_S):
        """Send load before, during and after a fault, and check all requests."""
        with Traffic(self.send_request, thread_count=9, seed=SEED):
            time.sleep(PHASE_S)
            start_fault()
            time.sleep(fault_duration_s)
            end_fault()
            time.sleep(PHASE_S)
        served = [record for record in self.sent if record.status == 200]
        self.assertGreater(len(served), MIN_SERVED_COUNT, self.summary())
        self.assertLess(len(served), len(self.sent), "no request failed at a gray target")
        self.check_response_bodies()
        self.check_refusals()
        self.check_single_execution()

    def test_flapping_targets(self):
        """Guards against passing on truncated responses of a target that fails periodically."""
        self.check_under_fault(
            lambda: self.set_mode("catalogue-4", "flapping", flap_to="short_body", period_s=0.5)
        )

    def test_targets_turn_cold_and_crash(self):
        """Guards against a second run of a request after a target crash, beside a cold target."""

        def start_faults():
            self.set_mode("catalogue-4", "crash_on", marker=CRASH_MARKER)
            self.set_mode("catalogue-5", "cold_again", announced=False)

        self.check_under_fault(start_faults)

    def test_one_way_cut(self):
        """Guards against wrong claims and refusals of an instance that receives nothing."""
        self.check_under_fault(lambda: self.fleet.set_receiving(3, DROP_ALL), self.fleet.heal)

    def test_two_way_cut(self):
        """Guards against wrong claims and refusals of an instance cut off from its peers."""

        def cut():
            self.fleet.set_receiving(3, DROP_ALL)
            self.fleet.set_sending(3, DROP_ALL)

        self.check_under_fault(cut, self.fleet.heal)

    def test_store_down(self):
        """Guards against claims that depend on the store."""
        self.check_under_fault(lambda: self.set_store_mode("down"))

    def test_store_slow_with_lost_answers(self):
        """Guards against rights that expire because the store is slow or loses responses."""
        faults = {"mode": "slow", "delay_s": 0.5, "lose_answers": 2}
        self.check_under_fault(lambda: self.fleet.store.call("PUT", "/control/state", faults))

    def test_key_withdrawn(self):
        """Guards against a key withdrawal that breaks or reruns requests of connected callers."""
        self.addCleanup(self.fleet.update_object, "key", "alpha-2", withdrawn=False)
        self.check_under_fault(lambda: self.fleet.update_object("key", "alpha-2", withdrawn=True))

    def test_killed_instance(self):
        """Guards against a second run of a request that a caller resends after a kill."""
        killed = self.fleet.instances[2]
        self.check_under_fault(killed.process.kill, lambda: self.restart(killed))

    def test_frozen_instance(self):
        """Guards against a resumed instance that uses an outdated response or claim."""
        frozen = self.fleet.instances[2]
        self.addCleanup(frozen.process.resume)
        self.check_under_fault(frozen.process.pause, frozen.process.resume, FREEZE_S)

    def test_check_notices_crossed_answers(self):
        """Guards against a check that cannot fail: the target itself sends swapped responses."""
        self.set_mode("catalogue-2", "crossed")
        with urllib3.PoolManager() as pool:
            tokens = [
                response_token(
                    pool.request(
                        "GET",
                        f"http://{self.backends['catalogue-2'].address}/catalogue/1",
                        headers={"Caller-Token": f"direct-{number}"},
                    ).data
                )
                for number in range(4)
            ]
        self.assertNotEqual(tokens, [f"direct-{number}" for number in range(4)])
        self.assertEqual(response_token(b'{"token": "direct-1", "padd'), "")


if __name__ == "__main__":
    unittest.main()
