"""At-most-once execution of non-idempotent requests while instances and targets fail."""

import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from fault_case import FAST_SETTINGS, FaultCase, Traffic

SEED = 20261204
CRASH_MARKER = "crash-marker"
CRASH_RATIO = 0.02
CONCURRENT_RATIO = 0.5
# Enough requests to reach the one of three targets that crashes on the marker.
MAX_CRASH_REQUEST_COUNT = 40
STEP_S = 1.5
SLOT_LEASE_S = 8.0
# The frozen instance resumes after its slot leases have expired in the store.
FREEZE_S = SLOT_LEASE_S + 1.5


class AtMostOnceTest(FaultCase):
    """Four instances, one killed and one frozen; targets shed, one crashes and one hangs."""

    instance_count = 4
    settings = FAST_SETTINGS | {"slot_count": 12, "slot_lease_s": SLOT_LEASE_S}
    service_timeout_s = 1.0
    slots_per_target = 4
    rate_per_s = 2000
    burst = 2000
    backend_options = {"slots": 2, "queue": 0, "service_time_ms": 20}

    def reserve(self, random):
        """Send one reservation to two instances, concurrently or one after the other."""
        headers = {"Idempotency-Key": f"reservation-{random.getrandbits(64):x}"}
        body = CRASH_MARKER.encode() if random.random() < CRASH_RATIO else b"seats"
        instances = random.sample(self.fleet.instances, 2)

        def send_to(instance):
            self.send(instance, "POST", "/catalogue/reserve", headers=headers, body=body)

        if random.random() < CONCURRENT_RATIO:
            with ThreadPoolExecutor(2) as pool:
                list(pool.map(send_to, instances))
        else:
            for instance in instances:
                send_to(instance)

    def crash_target(self, instance):
        """Send reservations with the crash marker until one has crashed a target."""
        for number in range(MAX_CRASH_REQUEST_COUNT):
            headers = {"Idempotency-Key": f"crash-{number}"}
            body = CRASH_MARKER.encode()
            self.send(instance, "POST", "/catalogue/reserve", headers=headers, body=body)
            if self.backends["catalogue-1"].call("GET", "/control/counts").get("crashes", 0):
                return

    def test_two_tries_run_once_and_refusals_are_true(self):
        """Guards against an idempotency key that runs twice, and false "not-run" refusals."""
        self.set_mode("catalogue-1", "crash_on", marker=CRASH_MARKER)
        self.set_mode("catalogue-2", "hanging", ratio=0.05)
        _, killed, frozen, _ = self.fleet.instances
        with Traffic(self.reserve, thread_count=12, seed=SEED):
            time.sleep(STEP_S)
            self.crash_target(killed)
            killed.process.kill()
            time.sleep(STEP_S)
            frozen.process.pause()
            self.addCleanup(frozen.process.resume)
            time.sleep(FREEZE_S)
            frozen.process.resume()
            self.restart(killed)
            time.sleep(STEP_S)
        entries = self.entries()
        self.check_single_execution()
        self.check_refusals()
        self.check_faults_took_effect(entries)

    def check_faults_took_effect(self, entries):
        """Check that each injected fault affected requests, so that the test proves something."""
        summary = Counter((record.status, record.executed) for record in self.sent)
        self.assertGreater(summary[200, ""], 50, self.summary())
        self.assertGreater(summary[409, "unknown"], 10, self.summary())
        outcomes = Counter(entry["outcome"] for entry in entries)
        self.assertGreater(outcomes["crashed"], 0, outcomes)
        counts = [backend.call("GET", "/control/counts") for backend in self.backends.values()]
        self.assertGreater(sum(count.get("hung", 0) for count in counts), 0)
        self.assertGreater(sum(count.get("shed", 0) for count in counts), 0)


if __name__ == "__main__":
    unittest.main()
