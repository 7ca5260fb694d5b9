"""Tests of health probes and announced target states, with the backend server stand-in."""

import resource
import unittest

import gevent
from scripted_target import EndlessTarget, ScriptedTarget
from tanagerreach_core.config import Configuration, DataCentre, Resolver, Service, Target
from tanagerreach_core.messages import (
    InstanceIncarnation,
    ServiceReport,
    SlotSet,
    TargetReport,
    TargetState,
)
from tanagerreach_standins.processes import ProcessGroup
from tanagerreachd._service_homes import ServiceHomes
from tanagerreachd._target_health import HEALTH_TIMEOUT_S, HealthClient

SENDER = InstanceIncarnation(instance_id="i", incarnation=1)


class Rights:
    """This instance holds the only slot and the exclusive right, and is the sole issuer."""

    slots = SlotSet([0])

    @property
    def own(self):
        """Return the holder of the slot."""
        return self

    def candidates(self, _now_s):
        """Return the only slot."""
        return self.slots

    def holds_exclusive(self, *_):
        """Return that the right is held."""
        return True

    holds_solely = holds_exclusive


class TargetHealthTest(unittest.TestCase):
    """A home applies the states that targets announce."""

    def setUp(self):
        group = ProcessGroup()
        self.addCleanup(group.stop_all)
        self.backend = group.start_standin(
            "backend", label="a", name="a", data_centre="dc", slots=4, cold_start_s=30
        )
        targets = (
            Target(name="a", address=self.backend.address, data_centre="dc"),
            Target(name="b", address="127.0.0.1:1", data_centre="dc"),
        )
        resolver = Resolver(
            Configuration(
                services={"s": Service(name="s", targets=targets, slots_per_target=4)},
                data_centres={"dc": DataCentre(name="dc")},
            )
        )
        self.events = []
        self.polled_addresses = []
        self.now_s = 100.0
        self.homes = ServiceHomes(
            slot_count=1,
            held=Rights(),
            members=Rights(),
            resolver=lambda: resolver,
            now_s=lambda: self.now_s,
            record=lambda kind, detail: self.events.append((kind, detail["reason"])),
            poll_report=lambda address, reply: self.polled_addresses.append(address),
        )

    def report(self, number):
        """Report successes of both targets, and return their states by the home's reply.

        A reply omits the targets that are warm as reported.
        """
        targets = [
            TargetReport(target=name, success_count=9, known_state=TargetState.WARM)
            for name in ("a", "b")
        ]
        report = ServiceReport(request_id=number, service="s", data_centre="dc", targets=targets)
        reply = self.homes.handle(report, SENDER)
        reply_states = {entry.target: entry.state for entry in reply.verdicts}
        return {"a": TargetState.WARM, "b": TargetState.WARM} | reply_states

    def test_announced_cold_start(self):
        """Guards against full load on a target that announces that it is cold."""
        for number in range(1, 5):
            self.now_s += 0.5
            states = self.report(number)
        self.assertEqual(states, {"a": TargetState.WARM, "b": TargetState.WARM})
        client = HealthClient()
        for service, target, address in self.homes.targets_to_probe():
            health = client.probe(address)
            self.assertEqual(health is None, target == "b")
            if health is not None:
                self.homes.record_health(service, target, health)
        self.assertIn(("target-cold", "announced"), self.events)
        self.assertEqual(self.report(5), {"a": TargetState.COLD, "b": TargetState.WARM})

    def test_verdict_reaches_other_instances(self):
        """Guards against a verdict that other instances receive only after the home's next tick."""
        for number in range(1, 5):
            self.now_s += 0.5
            self.report(number)
            quiet = InstanceIncarnation(instance_id="quiet", incarnation=1)
            usual = ServiceReport(request_id=number, service="s", data_centre="dc", targets=[])
            self.homes.handle(usual, quiet, "127.0.0.1:2")
        self.polled_addresses.clear()
        self.now_s += 0.5
        cold = TargetReport(target="a", announced_cold=True, known_state=TargetState.WARM)
        report = ServiceReport(request_id=5, service="s", data_centre="dc", targets=[cold])
        self.homes.handle(report, SENDER)
        self.assertEqual(self.events[-1], ("target-cold", "announced"))
        self.assertEqual(self.polled_addresses, ["127.0.0.1:2"])


class EndlessHealthTest(unittest.TestCase):
    """What a target sends as its health may be cut, or not end."""

    OK = b"HTTP/1.1 200 OK\r\n"
    # An endless response has to end well before the process would be killed for its memory.
    MEMORY_LIMIT_KIB = 20 * 1024

    def test_endless_health_response_stops_the_probes(self):
        """Guards against a target whose health response ends neither by its size nor in time."""
        chunked = self.OK + b"Transfer-Encoding: chunked\r\n\r\n"
        cases = {
            "status line": (b"", b"x"),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "header lines": (self.OK, b"X: y\r\n"),
            "body": (self.OK + b"\r\n", b"x"),
            "chunks": (chunked, b"2\r\n  \r\n"),
            "trailers": (chunked + b"0\r\n", b"X: y\r\n"),
        }
        for kind, (beginning, repeated) in cases.items():
            for pause_s in (0.0, HEALTH_TIMEOUT_S / 5):
                with self.subTest(kind=kind, pause_s=pause_s):
                    target = EndlessTarget(beginning, repeated, pause_s=pause_s)
                    self.addCleanup(target.stop)
                    before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    with gevent.Timeout(2 * HEALTH_TIMEOUT_S, AssertionError("it does not end")):
                        self.assertIsNone(HealthClient().probe(target.address))
                    used_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kib
                    self.assertLess(used_kib, self.MEMORY_LIMIT_KIB)
                    gevent.sleep(2 * pause_s + 0.05)
                    self.assertTrue(target.is_closed)

    def test_health_response_that_is_cut_is_believed(self):
        """Guards against a state that is read from a response of which a part is missing."""
        response = self.OK + b'Content-Length: 16\r\n\r\n{"warming":true}'
        for length in range(len(response)):
            with self.subTest(length=length):
                target = ScriptedTarget([response[:length], None])
                self.assertIsNone(HealthClient().probe(target.address))
                target.stop()
        target = ScriptedTarget([response])
        self.addCleanup(target.stop)
        self.assertTrue(HealthClient().probe(target.address).warming)

    def test_health_response_with_a_malformed_head_is_believed(self):
        """Guards against a state from a response of which fields were skipped."""
        fields = b"Content-Length: 16\r\n"
        for line in (b"Odd Name: x\r\n", b"Odd\x01Name: x\r\n", b"From Odd: x\r\n"):
            for head in (line + fields, fields + line):
                with self.subTest(head=head):
                    target = ScriptedTarget([self.OK + head + b'\r\n{"warming":true}', None])
                    self.assertIsNone(HealthClient().probe(target.address))
                    target.stop()


if __name__ == "__main__":
    unittest.main()
