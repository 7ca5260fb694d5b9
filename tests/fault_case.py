"""Base class of fault-injection tests: faults of links, and recorded requests."""

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
DROP_ALL = {"drop_ratio": 1.0}
NO_FAULTS = {}
CALL_TIMEOUT_S = 4.0
JOIN_TIMEOUT_S = 15.0
LOG_TAIL_CHARACTERS = 20_000


def boot_time_s():
    """Return the time since boot, the clock of the backend servers' ledgers."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RelayedFleet(Fleet):
    """Fleet whose peer datagrams and store calls pass through a fault-injecting relay.

    The forward direction of the link ``1>2`` carries the datagrams that instance 1 sends to
    instance 2, the backward direction those that instance 2 returns.
    """

    def start_relayed(self, count):
        """Start the relay, and instances that reach the store and their peers through it."""
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
        """Start or restart the process of an instance."""
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
        """Set the faults of one link; a direction that is None keeps its faults."""
        change = {"link": link}
        if forward is not None:
            change["forward"] = forward
        if backward is not None:
            change["backward"] = backward
        self.relay.call("PUT", "/control/state", change)

    def set_sending(self, number, faults):
        """Set the faults of all datagrams from an instance to its peers."""
        for other in range(1, len(self.instances) + 1):
            if other != number:
                self.set_link(f"{number}>{other}", forward=faults)
                self.set_link(f"{other}>{number}", backward=faults)

    def set_receiving(self, number, faults):
        """Set the faults of all datagrams from its peers to an instance."""
        for other in range(1, len(self.instances) + 1):
            if other != number:
                self.set_link(f"{other}>{number}", forward=faults)
                self.set_link(f"{number}>{other}", backward=faults)

    def set_store_link(self, number, faults):
        """Set the faults of the connections from an instance to the store."""
        self.set_link(f"store-{number}", forward=faults, backward=faults)

    def heal(self):
        """Clear the faults of all links."""
        self.relay.call("PUT", "/control/state", {"forward": NO_FAULTS, "backward": NO_FAULTS})


@dataclass(slots=True, kw_only=True)
class SentRequest:
    """One request and its outcome; ``status`` is 0 without a complete response.

    ``response_token`` is the token of the request that the response body belongs to.
    """

    token: str
    instance: str
    status: int
    executed: str = ""
    kind: str = ""
    response_token: str = ""
    sent_s: float
    ended_s: float


def response_token(body):
    """Return the token in a backend server's response body, or "" for a truncated body."""
    try:
        return msgspec.json.decode(body)["token"]
    except msgspec.DecodeError:
        return ""


class Traffic:
    """Context manager that calls a function repeatedly in several threads.

    :param step: called with the random number generator of the thread.
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
            thread.join(JOIN_TIMEOUT_S)
        if self._errors:
            raise self._errors[0]

    def _run(self, random):
        try:
            while not self._stop.is_set():
                self._step(random)
        except Exception as error:
            # Raised again in the test's thread when the context ends.
            self._errors.append(error)


class FaultCase(FleetCase):
    """Fleet with a fault-injecting relay between the instances and to the store."""

    instance_count = 3

    def __init__(self, methodName="runTest"):  # noqa: N803
        super().__init__(methodName)
        self._test_method = getattr(self, methodName)
        setattr(self, methodName, self._run_printing_logs)

    def _run_printing_logs(self):
        """Run the test, and print what the instances logged if it fails, as that may not recur."""
        try:
            self._test_method()
        except Exception:
            print(f"{self.id()} failed: {self.summary()}")
            for instance in self.fleet.instances:
                print(f"-- {instance.name}\n{instance.process.log()[-LOG_TAIL_CHARACTERS:]}")
            raise

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
        """Send a request to each instance; return whether all instances see only warm targets."""
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

    def set_store_mode(self, mode):
        """Set the mode of the store, and stop it from losing responses."""
        self.fleet.store.call("PUT", "/control/state", {"mode": mode, "lose_answers": 0})

    def recover_targets(self):
        """Set all targets back to mode ok."""
        for target in self.backends:
            self.set_mode(target)

    def run_for(self, duration_s):
        """Wait while the load continues."""
        started_s = boot_time_s()
        self.fleet.wait_until(lambda: boot_time_s() - started_s > duration_s, "time has passed")

    def set_mode(self, target, mode="ok", **options):
        """Set the fault mode of a backend server."""
        self.backends[target].call("PUT", "/control/mode", {"mode": mode, **options})

    def send(self, instance, method="GET", path="/catalogue/1", *, key=KEY, headers=None, **rest):
        """Send one request and record its outcome."""
        token = f"{self.id()}-{next(self.tokens)}"
        sent_s = boot_time_s()
        record = SentRequest(
            token=token, instance=instance.name, status=0, sent_s=sent_s, ended_s=sent_s
        )
        rest.setdefault("timeout_s", CALL_TIMEOUT_S)
        try:
            response = self.fleet.request(
                instance,
                method,
                path,
                key=key,
                headers={"Caller-Token": token, **(headers or {})},
                **rest,
            )
            record.status = response.status
            record.executed = response.executed or ""
            if response.status == 200:
                record.response_token = response_token(response.body)
            elif response.body[:1] == b"{":
                record.kind = msgspec.json.decode(response.body).get("type", "")
        except urllib3.exceptions.HTTPError as error:
            record.kind = type(error).__name__
        record.ended_s = boot_time_s()
        self.sent.append(record)
        return record

    def summary(self):
        """Count the recorded requests by outcome, for assertion messages."""
        return Counter((record.status, record.kind, record.executed) for record in self.sent)

    def entries(self):
        """Return the entries of this test's requests in the ledgers of all running targets."""
        prefix = f"{self.id()}-"
        return [entry for entry in self.ledger() if entry["caller_token"].startswith(prefix)]

    def check_refusals(self):
        """Check that no target started a request that was refused as not run."""
        started = {entry["caller_token"] for entry in self.entries()}
        false_refusals = [
            record
            for record in self.sent
            if record.executed == "not-run" and record.token in started
        ]
        self.assertEqual(false_refusals, [])

    def check_response_bodies(self):
        """Check that each successful response is complete and belongs to its request."""
        mismatched = [
            record
            for record in self.sent
            if record.status == 200 and record.response_token != record.token
        ]
        self.assertEqual(mismatched[:5], [], self.summary())

    def check_single_execution(self):
        """Check that no idempotency key ran more than once."""
        run_counts = Counter(
            entry["idempotency_key"] for entry in self.entries() if entry["method"] == "POST"
        )
        self.assertEqual([key for key, count in run_counts.items() if count > 1], [])

    def home_of(self, service="catalogue"):
        """Return the instance that is the home of a service."""
        slot_holders = {}
        for instance in self.fleet.running():
            for slot in self.fleet.operator("GET", "/v1/status", instance=instance)["slots"]:
                slot_holders[slot] = instance
        slot = home_slot(
            service_rendezvous_key(service), SlotSet(slot_holders), self.settings["slot_count"]
        )
        return slot_holders[slot]

    def restart(self, instance):
        """Restart an instance and wait until all instances serve."""
        self.fleet.start_instance(instance)
        self.fleet.wait_for_live()


__all__ = [
    "DROP_ALL",
    "FAST_SETTINGS",
    "SLOT_COUNT",
    "FaultCase",
    "Traffic",
    "response_token",
    "boot_time_s",
]
