"""Tests of the roll-outs' status in the store, with a store that fails."""

import io
import unittest
from unittest import mock

import gevent
from tanagerreach_core.placement import (
    RolloutFacts,
    RolloutLimits,
    RolloutOrder,
    RolloutStage,
)
from tanagerreachd import _clock
from tanagerreachd._logs import InstanceLog
from tanagerreachd._metrics import Metrics
from tanagerreachd.gateway import (
    RolloutState,
    RolloutStatus,
    SourceError,
    StatusChangedError,
    StoredRolloutStatus,
)
from tanagerreachd.gateway._rollout_controller import RolloutController

ORDER = RolloutOrder(service="s", to_version="v2", duration_s=10.0, revision=5)
LIMITS = RolloutLimits(share=0.1, slack=50.0)
NONE = StoredRolloutStatus(status=None, revision=0)


class FakeStore:
    """The status of one service; it may be down, or lose the response of a write."""

    def __init__(self):
        self.stored = NONE
        self.revision = 10
        self.is_down = False
        self.loses_responses = False
        self.written = []

    def rollout_status(self, service):
        if self.is_down:
            raise SourceError("down")
        return self.stored

    def write_rollout_status(self, service, status, *, expected_revision):
        if self.is_down:
            raise SourceError("down")
        if expected_revision != self.stored.revision:
            raise StatusChangedError("changed")
        self.put(status)
        self.written.append(status.state)
        if self.loses_responses:
            raise SourceError("no response")
        return self.revision

    def put(self, status):
        self.revision += 1
        self.stored = StoredRolloutStatus(status=status, revision=self.revision)


class RolloutControllerTest(unittest.TestCase):
    """One instance that places the service's requests."""

    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(_clock, "now_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = FakeStore()
        self.changes = []
        self.controller = self.make_controller()
        self.controller.apply_orders([])
        self.controller.apply_orders([ORDER])

    def make_controller(self, limits=LIMITS):
        return RolloutController(
            platform=self.store,
            limits=limits,
            on_change=self.changes.append,
            facts_of=lambda service: RolloutFacts(),
            metrics=Metrics(),
            log=InstanceLog(stream=io.StringIO(), level="info", secrets=(), fields={}),
        )

    def rollout(self, controller=None):
        return (controller or self.controller).versions_of("s").rollout

    def run_for(self, for_s, *, controller=None, is_home=True):
        ends_s = self.now_s + for_s
        controller = controller or self.controller
        while self.now_s < ends_s:
            controller.record_use("s", is_home=is_home)
            with mock.patch.object(gevent, "sleep"):
                controller.run()
            gevent.idle()
            self.now_s += 0.1

    def test_status_is_written_late(self):
        """Guards against a canary without a status, and writes that change nothing."""
        self.run_for(1.0)
        self.assertIs(self.rollout().stage, RolloutStage.CANARY)
        self.run_for(3.0)
        self.assertEqual(self.store.written, [RolloutState.RUNNING])

    def test_version_is_used_while_the_status_is_unknown(self):
        """Guards against a second canary of a version that was rolled back, without a store."""
        self.store.is_down = True
        self.run_for(2.0)
        self.assertIs(self.rollout().stage, RolloutStage.UNKNOWN)
        self.store.is_down = False
        self.store.put(RolloutStatus(state=RolloutState.ROLLED_BACK, to_version="v2"))
        self.run_for(1.0)
        self.assertIs(self.rollout().stage, RolloutStage.ROLLED_BACK)
        self.assertEqual(self.store.written, [])

    def test_status_of_an_earlier_order_ends_a_rollout(self):
        """Guards against an order that is repeated after a verdict and not carried out."""
        self.store.stored = StoredRolloutStatus(
            status=RolloutStatus(state=RolloutState.ROLLED_BACK, to_version="v2"), revision=4
        )
        self.run_for(1.0)
        self.assertIs(self.rollout().stage, RolloutStage.CANARY)
        self.assertEqual(self.store.written, [RolloutState.RUNNING])

    def test_verdict_of_another_home_is_overwritten(self):
        """Guards against two verdicts of homes on both sides of a partition."""
        self.run_for(1.0)
        self.store.put(RolloutStatus(state=RolloutState.ROLLED_BACK, to_version="v2"))
        self.rollout().end(RolloutStage.COMPLETED)
        self.run_for(1.0)
        self.assertIs(self.rollout().stage, RolloutStage.ROLLED_BACK)
        self.assertIs(self.store.stored.status.state, RolloutState.ROLLED_BACK)

    def test_lost_response_repeats_a_write(self):
        """Guards against a status that is written twice, or not at all."""
        self.store.loses_responses = True
        self.run_for(1.0)
        self.assertEqual(self.store.written, [RolloutState.RUNNING])
        self.rollout().end(RolloutStage.ROLLED_BACK)
        self.store.is_down = True
        self.run_for(1.0)
        self.store.is_down = False
        self.run_for(1.0)
        self.assertEqual(self.store.written, [RolloutState.RUNNING, RolloutState.ROLLED_BACK])

    def test_repeated_order_starts_anew(self):
        """Guards against a second trial when the operator writes the same order again."""
        self.run_for(1.0)
        rollout = self.rollout()
        rollout.end(RolloutStage.ROLLED_BACK)
        self.run_for(1.0)
        repeated = RolloutOrder(service="s", to_version="v2", duration_s=10.0, revision=20)
        self.store.stored = NONE
        self.controller.apply_orders([repeated])
        self.assertIs(self.rollout(), rollout)
        self.run_for(1.0)
        self.assertIs(self.store.stored.status.state, RolloutState.ROLLED_BACK)

    def test_changed_order_keeps_the_former_version(self):
        """Guards against a verdict on one version that is used for another."""
        self.run_for(1.0)
        former = self.rollout()
        changed = RolloutOrder(service="s", to_version="v3", duration_s=10.0, revision=20)
        self.controller.apply_orders([changed])
        self.assertIsNot(self.rollout(), former)
        self.run_for(1.0)
        self.assertEqual(self.store.stored.status.to_version, "v3")
        self.controller.apply_orders([])
        self.assertIsNone(self.rollout())

    def test_next_home_starts_without_the_progress(self):
        """Guards against a home that judges anew what the former one has judged."""
        self.run_for(1.0)
        self.rollout().end(RolloutStage.DRAINING)
        other = self.make_controller()
        other.apply_orders([ORDER])
        for progress in self.controller.progress(self.now_s):
            other.adopt(progress)
        self.assertIs(self.rollout(other).stage, RolloutStage.DRAINING)
        age_s = self.rollout().age_s(self.now_s)
        # Ages are sent in milliseconds.
        self.assertAlmostEqual(self.rollout(other).age_s(self.now_s), age_s, delta=0.001)

    def test_home_that_returns_uses_an_outdated_stage(self):
        """Guards against requests to a version that was rolled back meanwhile."""
        self.run_for(1.0)
        self.store.put(RolloutStatus(state=RolloutState.ROLLED_BACK, to_version="v2"))
        self.now_s += 4.0
        self.controller.record_use("s", is_home=True)
        self.assertIs(self.rollout().stage, RolloutStage.UNKNOWN)
        self.run_for(0.5)
        self.assertIs(self.rollout().stage, RolloutStage.ROLLED_BACK)

    def test_present_version_is_rolled_back(self):
        """Guards against a verdict without evidence on a version that all targets carry."""
        self.controller.versions_of("s").base_version = "v2"
        self.run_for(1.0)
        self.assertEqual(self.store.written, [RolloutState.COMPLETED])

    def test_instance_alone_writes_a_status(self):
        """Guards against a status by an instance that sees a part of the requests."""
        self.run_for(3.0, is_home=False)
        self.assertEqual(self.store.written, [])

    def test_orders_matter_where_no_bound_is_set(self):
        """Guards against roll-outs in deployments that do not ask for them."""
        controller = self.make_controller(limits=None)
        controller.apply_orders([ORDER])
        self.assertFalse(controller.is_ordered("s"))
        self.assertIsNone(controller.versions_of("s"))


if __name__ == "__main__":
    unittest.main()
