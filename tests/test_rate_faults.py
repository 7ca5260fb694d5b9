"""Rate limit of a workspace with excess demand while instances, links and the store fail."""

import contextlib
import time
import unittest

from fault_case import DROP_ALL, FAST_SETTINGS, FaultCase, Traffic

SEED = 97
RATE_PER_S = 40
BURST = 20
STEP_S = 1.5
THREAD_COUNT = 32
# Longer than the loan term, so that loans expire during the fault.
LOAN_EXPIRY_WAIT_S = FAST_SETTINGS["loan_term_s"] + 1.0
SLOT_LEASE_S = 8.0
MIN_DEMAND_RATIO = 3.0
MIN_CHANGES = 20


def greatest_excess(started, rate_per_s, burst):
    """Return the maximum excess of requests over rate * t + burst in any window of length t."""
    max_excess = -burst
    max_offset = float("-inf")
    for number, time_s in enumerate(sorted(started)):
        max_offset = max(max_offset, rate_per_s * time_s - number)
        max_excess = max(max_excess, number + 1 - rate_per_s * time_s + max_offset - burst)
    return max_excess


class RateFaultsTest(FaultCase):
    """Four instances that all get more requests of a workspace than its limit allows."""

    instance_count = 4
    settings = FAST_SETTINGS | {
        "slot_count": 12,
        "admission_wait_s": 0.1,
        "slot_lease_s": SLOT_LEASE_S,
    }
    slots_per_target = 8
    rate_per_s = RATE_PER_S
    burst = BURST
    backend_options = {"slots": 64, "service_time_ms": 1}

    def setUp(self):
        super().setUp()
        # Leases may have expired in the previous test, if it ended with the store down.
        self.fleet.wait_for_slots(self.settings["slot_count"])
        self.fleet.wait_until(
            lambda: all(self.get(instance).status == 200 for instance in self.fleet.running()),
            "all instances have tokens",
        )

    def send_request(self, random):
        """Send one request to a random instance."""
        self.send(random.choice(self.fleet.instances), timeout_s=1.0)

    def check_rate(self):
        """Check the rate limit in all time windows, from the ledgers of the targets."""
        started = [entry["started_at_s"] for entry in self.entries()]
        excess = greatest_excess(started, RATE_PER_S, BURST)
        self.assertLessEqual(excess, 0, f"{len(started)} of {len(self.sent)} requests admitted")
        span_s = max(started) - min(started)
        self.assertGreater(len(self.sent), MIN_DEMAND_RATIO * RATE_PER_S * span_s, self.summary())
        self.assertGreater(len(started), BURST, self.summary())

    def test_fleet_without_faults(self):
        """Guards against a rate limit that each instance enforces on its own."""
        with Traffic(self.send_request, thread_count=THREAD_COUNT, seed=SEED):
            time.sleep(2 * STEP_S)
        self.check_rate()

    def test_store_down_with_instances_frozen_and_killed(self):
        """Guards against a share used by two instances after one was replaced or resumed."""
        _, frozen, killed, _ = self.fleet.instances
        self.set_store_mode("down")
        self.addCleanup(self.set_store_mode, "up")
        with Traffic(self.send_request, thread_count=THREAD_COUNT, seed=SEED + 1):
            frozen.process.pause()
            self.addCleanup(frozen.process.resume)
            time.sleep(LOAN_EXPIRY_WAIT_S)
            frozen.process.resume()
            time.sleep(STEP_S)
        self.set_store_mode("up")
        with Traffic(self.send_request, thread_count=THREAD_COUNT, seed=SEED + 4):
            killed.process.kill()
            frozen.process.pause()
            # Both instances' slot leases expire, and the others take over the slots.
            time.sleep(SLOT_LEASE_S + STEP_S)
            frozen.process.resume()
            self.restart(killed)
            time.sleep(STEP_S)
        self.check_rate()

    def test_gray_target_and_a_limit_changed_by_racing_operators(self):
        """Guards against a token bucket that is refilled by each change of its limit."""
        self.addCleanup(
            self.fleet.update_object, "limit", "default", rate_per_s=RATE_PER_S, burst=BURST
        )
        self.addCleanup(self.recover_targets)
        revisions = []

        def change_limit(random):
            limit = {"rate_per_s": random.randint(1, RATE_PER_S), "burst": random.randint(1, BURST)}
            # A ValueError reports a conflict with a change of another operator.
            with contextlib.suppress(ValueError):
                revisions.append(self.fleet.update_object("limit", "default", **limit))

        self.set_mode("catalogue-1", "slow", factor=50)
        with (
            Traffic(self.send_request, thread_count=THREAD_COUNT, seed=SEED + 5),
            Traffic(change_limit, thread_count=3, seed=SEED + 6),
        ):
            time.sleep(LOAN_EXPIRY_WAIT_S)
            self.fleet.wait_until(lambda: len(revisions) > MIN_CHANGES, "changes were accepted")
        self.check_rate()

    def test_links_cut_one_way(self):
        """Guards against a share issued by both a cut-off instance and its replacement."""
        with Traffic(self.send_request, thread_count=THREAD_COUNT, seed=SEED + 2):
            time.sleep(STEP_S)
            self.fleet.set_sending(1, DROP_ALL)
            time.sleep(LOAN_EXPIRY_WAIT_S)
            self.fleet.heal()
            time.sleep(STEP_S)
            self.fleet.set_receiving(4, DROP_ALL)
            self.set_store_mode("down")
            self.addCleanup(self.set_store_mode, "up")
            time.sleep(LOAN_EXPIRY_WAIT_S)
            self.fleet.heal()
            time.sleep(STEP_S)
        self.check_rate()

    def test_messages_late_lost_doubled_and_out_of_order(self):
        """Guards against grants whose term starts at their arrival, or that are used twice."""
        faults = {"drop_ratio": 0.1, "delay_s": 0.05, "jitter_s": 0.2, "duplicate_ratio": 0.3}
        self.fleet.relay.call("PUT", "/control/state", {"forward": faults, "backward": faults})
        with Traffic(self.send_request, thread_count=THREAD_COUNT, seed=SEED + 3):
            time.sleep(LOAN_EXPIRY_WAIT_S)
        self.check_rate()


if __name__ == "__main__":
    unittest.main()
