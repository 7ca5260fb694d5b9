"""Tests of the caller load."""

import hashlib
import io
import json
import unittest
from random import Random

from tanagerreach_standins._load_client import BodyTemplate
from tanagerreach_standins._load_plan import ArrivalTimes
from tanagerreach_standins.load import (
    Call,
    CallerWorkspace,
    InstanceTarget,
    LoadPlan,
    LoadRun,
    PlanError,
    RateChange,
    RequestKind,
    check_response,
)
from tanagerreach_standins.processes import ProcessGroup, free_port


def plan_for(*addresses, **changes):
    """Build a plan of 100 requests, evenly spread over 0.5 s."""
    fields = {
        "instances": [InstanceTarget(address=address) for address in addresses],
        "workspaces": [CallerWorkspace(name="w", key="secret", rate_per_s=200)],
        # The 100th arrival is at 0.5 s, up to rounding errors of the sum.
        "duration_s": 0.502,
        "arrivals": "even",
        "timeout_s": 1.0,
    }
    return LoadPlan(**{**fields, **changes})


class CheckResponseTest(unittest.TestCase):
    """A check that accepts a wrong response would hide the worst fault of all."""

    def setUp(self):
        """Build a call and its correct response."""
        body = BodyTemplate(RequestKind(name="upload", body_bytes=100))
        self.call = Call(method="POST", path="/p?size=3", token="t", headers={}, body=body)
        self.content = {"token": "t", "path": "/p", "body_sha256": body.sha256}

    def check(self, **changes):
        """Check the correct response with changes."""
        body = json.dumps({**self.content, **changes}).encode()
        return check_response(self.call, body, hashlib.sha256(body).hexdigest())

    def test_results(self):
        """Guards against a response of another request, or a damaged one, that counts as whole."""
        self.assertEqual(self.check(), "whole")
        for changes in ({"token": "u"}, {"path": "/q"}, {"body_sha256": ""}):
            self.assertEqual(self.check(**changes), "wrong", changes)
        self.assertEqual(check_response(self.call, b"{}", None), "garbled")
        self.assertEqual(check_response(self.call, b"{}", "0" * 64), "garbled")


class ArrivalTimesTest(unittest.TestCase):
    """A load whose rate differs from the plan would make all measured ratios wrong."""

    def count(self, arrivals, workspace, until_s):
        """Count the arrivals up to a time."""
        times = ArrivalTimes(workspace=workspace, arrivals=arrivals, random=Random(1))
        count, now_s = 0, times.next_s(0.0)
        while now_s <= until_s:
            count, now_s = count + 1, times.next_s(now_s)
        return count

    def test_rates(self):
        """Guards against a wrong rate at the start, in a pause and after a change."""
        changes = [RateChange(at_s=10, rate_per_s=0), RateChange(at_s=20, rate_per_s=300)]
        workspace = CallerWorkspace(name="w", rate_per_s=100, rate_changes=changes)
        for arrivals, tolerance in (("even", 2), ("poisson", 200)):
            count = self.count(arrivals, workspace, 30.0)
            self.assertAlmostEqual(count, 4_000, delta=tolerance, msg=arrivals)

    def test_invalid_plan_is_refused(self):
        """Guards against an unknown kind of request in a plan that silently sends nothing."""
        workspaces = [CallerWorkspace(name="w", rate_per_s=1, kinds=["nope"])]
        with self.assertRaisesRegex(PlanError, "nope"):
            LoadRun(plan=plan_for("127.0.0.1:1", workspaces=workspaces))


class LoadRunTest(unittest.TestCase):
    """Loads that are sent to backend servers in place of instances."""

    @classmethod
    def setUpClass(cls):
        """Start two servers."""
        group = ProcessGroup()
        cls.addClassCleanup(group.stop_all)
        cls.backends = [
            group.start_standin("backend", slots=50, service_time_ms=2) for _ in range(2)
        ]

    def setUp(self):
        """Switch all faults off."""
        self.set_mode("ok")

    def set_mode(self, mode, **parameters):
        """Switch the first server's mode."""
        self.backends[0].call("PUT", "/control/mode", {"mode": mode, **parameters})

    def run_plan(self, *addresses, records=None, **changes):
        """Run a plan and return its results."""
        return LoadRun(plan=plan_for(*addresses, **changes), records=records).run()

    def test_outcomes(self):
        """Guards against failed requests that count as successes or do not count."""
        address = self.backends[0].address
        for mode, results, answers in (
            ("ok", {"200": 100}, {"whole": 100}),
            ("erring", {"500": 100}, {}),
            ("short_body", {"short": 100}, {}),
            ("crossed", {"200": 100}, {"wrong": 100}),
        ):
            self.set_mode(mode)
            total = self.run_plan(address).total
            self.assertEqual((dict(total.results), dict(total.answers)), (results, answers), mode)
            self.assertEqual(total.succeeded, 100 if mode == "ok" else 0, mode)

    def test_hanging_server(self):
        """Guards against requests without a response that do not count."""
        self.set_mode("hanging")
        results = self.run_plan(self.backends[0].address).total.results
        self.assertEqual(results["timeout"] + results["503"], 100)
        self.assertGreaterEqual(results["timeout"], 50)

    def test_weights_and_health(self):
        """Guards against requests to unhealthy instances, and against ignored weights."""
        unreachable = f"127.0.0.1:{free_port()}"
        healthy = self.backends[1].address
        results = self.run_plan(unreachable, healthy, use_health=True, duration_s=1.0)
        self.assertLess(results.instances[unreachable].results.total(), 20)
        self.assertGreater(results.instances[healthy].succeeded, 150)
        instances = [
            InstanceTarget(address=self.backends[0].address, weight=9),
            InstanceTarget(address=healthy, weight=1),
        ]
        results = self.run_plan(instances=instances, duration_s=1.0)
        self.assertLess(results.instances[healthy].results.total(), 50)
        refused = self.run_plan(unreachable).total
        self.assertEqual(dict(refused.results), {"connect_failed": 100})

    def test_resends_keep_the_idempotency_key(self):
        """Guards against a resend with a new key, which the fleet can't recognize."""
        self.set_mode("erring")
        kind = RequestKind(
            name="book",
            method="POST",
            path="/book/{n}",
            idempotency_key=True,
            body_bytes=200_000,
            resends=1,
            resend_delay_s=0.01,
        )
        records = io.BytesIO()
        workspaces = [CallerWorkspace(name="w", rate_per_s=20)]
        total = self.run_plan(
            self.backends[0].address, kinds=[kind], workspaces=workspaces, records=records
        ).total
        self.assertEqual(total.results, {"500": 20})
        lines = [json.loads(line) for line in records.getvalue().splitlines()]
        keys = [line["idempotency_key"] for line in lines]
        self.assertEqual(len(set(keys)), 10)
        self.assertEqual(sorted(line["attempt"] for line in lines), [1] * 10 + [2] * 10)
        received = self.backends[0].call("GET", "/control/ledger")["entries"]
        sent = [entry for entry in received if entry["idempotency_key"] in keys]
        self.assertEqual({entry["body_size_bytes"] for entry in sent}, {200_000})
        self.assertEqual(len(sent), 20)
