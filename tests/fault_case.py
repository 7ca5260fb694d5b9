"""Base of the tests under faults: links that can be cut, and traffic that is recorded."""

import itertools
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec
import urllib3
from fleet_case import FAST_SETTINGS, KEY, SLOT_COUNT, FleetCase
from tanagerreach_core.messages import SlotSet
from tanagerreach_core.rights import home_slot, service_rendezvous_key
from tanagerreach_standins.fleet import Fleet
from tanagerreach_standins.processes import free_port

LOOPBACK = "127.0.0.1"
RELAYED_INSTANCE = Path(__file__).with_name("relayed_instance.py")
CUT = {"drop_ratio": 1.0}
WHOLE = {}
CALL_LIMIT_S = 4.0
JOIN_LIMIT_S = 15.0


def boot_time_s():
    """Return the clock of the ledgers."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RelayedFleet(Fleet):
    """A fleet in which a relay carries the datagrams and the calls to the store.

    The link ``1>2`` carries in its forward direction what instance 1 sends to instance 2, and in
    its backward direction what instance 2 answers.
    """

    def start_relayed(self, count):
        """Start the relay and the instances."""
        store_ports = [free_port() for _ in range(count)]
        for port in store_ports:
            self.add_instance(store_address=f"{LOOPBACK}:{port}")
        tcp = [
            f"store-{number}={port}:{self.store.address}"
            for number, port in enumerate(store_ports, 1)
        ]
        udp = []
        self.relays = {instance.name: {} for instance in self.instances}
        for (i, sender), (j, receiver) in itertools.permutations(enumerate(self.instances, 1), 2):
            port = free_port()
            udp.append(f"{i}>{j}={port}:{receiver.peer_udp_address}")
            self.relays[sender.name][receiver.peer_udp_address] = f"{LOOPBACK}:{port}"
        self.relay = self.group.start_standin("relay", label="relay", udp=udp, tcp=tcp)
        for instance in self.instances:
            self.start_instance(instance, wait=False)
        for instance in self.instances:
            instance.process.wait_ready(None)

    def start_instance(self, instance, *, wait=True):
        """Start, or start again, the process of an instance."""
        instance.process = self.group.start(
            instance.name,
            [sys.executable, str(RELAYED_INSTANCE), "--settings", str(instance.settings_path)],
            address=instance.callers_address,
            environment={
                "PEER_RELAYS": msgspec.json.encode(self.relays[instance.name]).decode(),
            },
        )
        if wait:
            instance.process.wait_ready(None)
        return instance.process

    def set_link(self, link, *, forward=None, backward=None):
        """Set the faults of a link's directions."""
        change = {"link": link}
        if forward is not None:
            change["forward"] = forward
        if backward is not None:
            change["backward"] = backward
        self.relay.call("PUT", "/control/state", change)

    def set_sending(self, number, faults):
        """Set the faults of everything that an instance sends to its peers."""
        for other in range(1, len(self.instances) + 1):
            if other != number:
                self.set_link(f"{number}>{other}", forward=faults)
                self.set_link(f"{other}>{number}", backward=faults)

    def set_receiving(self, number, faults):
        """Set the faults of everything that an instance's peers send to it."""
        for other in range(1, len(self.instances) + 1):
            if other != number:
                self.set_link(f"{other}>{number}", forward=faults)
                self.set_link(f"{number}>{other}", backward=faults)

    def set_store_link(self, number, faults):
        """Set the faults of an instance's calls to the store."""
        self.set_link(f"store-{number}", forward=faults, backward=faults)

    def heal(self):
        """End all faults of links."""
        self.relay.call("PUT", "/control/state", {"forward": WHOLE, "backward": WHOLE})


@dataclass(slots=True, kw_only=True)
class Sent:
    """One request and how it ended; ``status`` is 0 when no whole answer came.

    ``answered_token`` is the token of the request that the answer's body belongs to.
    """

    token: str
    instance: str
    status: int
    executed: str = ""
    kind: str = ""
    answered_token: str = ""
    sent_s: float
    ended_s: float


def answered_token(body):
    """Return the token in a backend server's answer; a body that is cut short has none."""
    try:
        return msgspec.json.decode(body)["token"]
    except msgspec.DecodeError:
        return ""


class Traffic:
    """Threads that call a function again and again until the context is left.

    :param step: called with the thread's own random numbers.
    """

    def __init__(self, step, *, thread_count, seed):
        self._step = step
        self._stop = threading.Event()
        self._errors = []
        self._threads = [
            threading.Thread(target=self._run, args=(Random(f"{seed}/{number}"),), daemon=True)
            for number in range(thread_count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self._stop.set()
        for thread in self._threads:
            thread.join(JOIN_LIMIT_S)
        if self._errors:
            raise self._errors[0]

    def _run(self, random):
        try:
            while not self._stop.is_set():
                self._step(random)
        except Exception as error:
            # The test's own thread raises it again.
            self._errors.append(error)


class FaultCase(FleetCase):
    """A fleet with a relay on the links between instances and to the store."""

    instance_count = 3

    @classmethod
    def make_fleet(cls):
        return RelayedFleet(group=cls.group, settings=cls.settings)

    @classmethod
    def start_instances(cls):
        cls.fleet.start_relayed(cls.instance_count)

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        for service in cls.services:
            cls.fleet.wait_until(
                lambda service=service: cls.is_warm(service),
                f"all targets of {service} are warm",
            )

    @classmethod
    def is_warm(cls, service):
        """Send a request through each instance, and tell whether all see warm targets only."""
        states = []
        for instance in cls.fleet.running():
            cls.get(instance, path=f"/{service}/1")
            status = cls.fleet.operator("GET", "/v1/status", instance=instance)
            states.extend(status["target_states"][service].values())
        return set(states) == {"warm"}

    def setUp(self):
        self.tokens = itertools.count(1)
        self.sent = []
        self.addCleanup(self.fleet.heal)

    def set_store(self, mode):
        """Set the mode of the store, and let it lose no more answers."""
        self.fleet.store.call("PUT", "/control/state", {"mode": mode, "lose_answers": 0})

    def recover_targets(self):
        """End the faults of all targets."""
        for target in self.backends:
            self.set_mode(target)

    def wait_s(self, duration_s):
        """Let the load go on for a while."""
        started_s = boot_time_s()
        self.fleet.wait_until(lambda: boot_time_s() - started_s > duration_s, "time has passed")

    def set_mode(self, target, mode="ok", **options):
        """Set the mode of a backend server."""
        self.backends[target].call("PUT", "/control/mode", {"mode": mode, **options})

    def send(self, instance, method="GET", path="/catalogue/1", *, key=KEY, headers=None, **rest):
        """Send one request and record how it ended."""
        token = f"{self.id()}-{next(self.tokens)}"
        sent_s = boot_time_s()
        record = Sent(token=token, instance=instance.name, status=0, sent_s=sent_s, ended_s=sent_s)
        rest.setdefault("timeout_s", CALL_LIMIT_S)
        try:
            answer = self.fleet.request(
                instance,
                method,
                path,
                key=key,
                headers={"Caller-Token": token, **(headers or {})},
                **rest,
            )
            record.status = answer.status
            record.executed = answer.executed or ""
            if answer.status == 200:
                record.answered_token = answered_token(answer.body)
            elif answer.body[:1] == b"{":
                record.kind = msgspec.json.decode(answer.body).get("type", "")
        except urllib3.exceptions.HTTPError as error:
            record.kind = type(error).__name__
        record.ended_s = boot_time_s()
        self.sent.append(record)
        return record

    def summary(self):
        """Count the recorded requests by how they ended, for messages."""
        return Counter((record.status, record.kind, record.executed) for record in self.sent)

    def entries(self):
        """Return what the targets ran of this test's requests."""
        prefix = f"{self.id()}-"
        return [entry for entry in self.ledger() if entry["caller_token"].startswith(prefix)]

    def check_refusals(self):
        """Check that no request ran that was refused as not run."""
        started = {entry["caller_token"] for entry in self.entries()}
        false = [
            record
            for record in self.sent
            if record.executed == "not-run" and record.token in started
        ]
        self.assertEqual(false, [])

    def check_answers(self):
        """Check that each answer given as whole is whole and the request's own."""
        wrong = [
            record
            for record in self.sent
            if record.status == 200 and record.answered_token != record.token
        ]
        self.assertEqual(wrong[:5], [], self.summary())

    def check_runs(self):
        """Check that no idempotency key ran twice."""
        runs = Counter(
            entry["idempotency_key"] for entry in self.entries() if entry["method"] == "POST"
        )
        self.assertEqual([key for key, count in runs.items() if count > 1], [])

    def home_of(self, service="catalogue"):
        """Return the instance that is the home of a service."""
        held = {}
        for instance in self.fleet.running():
            for slot in self.fleet.operator("GET", "/v1/status", instance=instance)["slots"]:
                held[slot] = instance
        slot = home_slot(
            service_rendezvous_key(service), SlotSet(held), self.settings["slot_count"]
        )
        return held[slot]

    def restart(self, instance):
        """Start an instance again and wait until it serves."""
        self.fleet.start_instance(instance)
        self.fleet.wait_for_live()


__all__ = [
    "CUT",
    "FAST_SETTINGS",
    "SLOT_COUNT",
    "FaultCase",
    "Traffic",
    "answered_token",
    "boot_time_s",
]
