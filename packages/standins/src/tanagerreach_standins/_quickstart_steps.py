"""Steps of the quick start; each demonstrates one behaviour of the fleet and checks it."""

import math
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from ._fleet import Fleet, FleetInstance, FleetTimeoutError, Response
from ._processes import http_json
from ._quickstart_console import Console, OperatorTool, QuickstartError
from ._quickstart_fleet import (
    INSTANCE_COUNT,
    LIMITED_BURST,
    LIMITED_WORKSPACE,
    SLOT_COUNT,
    WORKSPACE,
    QuickstartFleet,
)
from ._quickstart_traffic import PATHS, Traffic, describe_counts

STEP_TIMEOUT_S = 25.0
STOP_TIMEOUT_S = 20.0
IDLE_S = 1.0
FAILING_TARGET = "catalogue-2"
LEAVING_DATA_CENTRE = "dc-3"
KEPT_KEY = f"{WORKSPACE}-1"
WITHDRAWN_KEY = f"{WORKSPACE}-2"
LIMITED_KEY = f"{LIMITED_WORKSPACE}-1"
SHOWN_KINDS = (
    "change-accepted",
    "target-ejected",
    "target-cold",
    "target-warm",
    "target-ejection-ended",
)


@dataclass(slots=True, kw_only=True)
class Steps:
    """The steps and the state that they share.

    ``keys`` has the created API keys by name, and ``failing_since_s`` the time at which
    :meth:`fail_target` made its target fail.
    """

    console: Console
    running: QuickstartFleet
    tool: OperatorTool
    keys: dict[str, str]
    failing_since_s: float = 0.0

    def start_instances(self) -> None:
        """Start the instances and wait until they hold all slots and loans."""
        fleet = self.running.fleet
        self.console.step(f"starting {INSTANCE_COUNT} instances in 3 data centres")
        fleet.start_instances(INSTANCE_COUNT)
        self.tool.environment.update(self.running.tool_environment())
        for instance in fleet.instances:
            self.console.print_lines(
                f"tanagerreachd --settings {instance.settings_path.name}  "
                f"# {instance.data_centre}, callers at {instance.callers_address}"
            )
        fleet.wait_for_live()
        took_s = fleet.wait_for_slots(SLOT_COUNT)
        self.console.print_lines(f"all {SLOT_COUNT} slots held and lent after {took_s:.1f} s")

    def configure(self) -> None:
        """Create services, workspaces, limits and keys with the operator tool."""
        self.console.step("creating services, workspaces, limits and keys")
        self.tool.show("apply", str(self.running.services_path), str(self.running.workspaces_path))
        for workspace, name in (
            (WORKSPACE, KEPT_KEY),
            (WORKSPACE, WITHDRAWN_KEY),
            (LIMITED_WORKSPACE, LIMITED_KEY),
        ):
            created = self.tool.read("key", "create", workspace, "--name", name)
            self.keys[name] = created["key"]
            self.console.print_lines(f"$ tanagerreach key create {workspace} --name {name}")
            self.console.print_lines(f"{name} {created['key'][:8]}...")

    def send_requests(self) -> None:
        """Send requests through every instance, and through two one that must run at most once."""
        self.console.step("sending requests through every instance")
        took_s = self._wait(self._all_respond, "responses of all services through all instances")
        self.console.print_lines(
            f"both services respond through all instances after {took_s:.1f} s"
        )
        counts = Counter(self._get(i).status for i in self.running.fleet.instances * 10)
        self.console.print_lines(describe_counts(counts))
        first, second = (self._reserve(i) for i in self.running.fleet.instances[:2])
        self.console.print_lines(
            f"the same reservation through two instances: {first.status}, then {second.status} "
            f"with 'Executed: {second.executed}'"
        )
        require(counts == Counter({200: counts.total()}), "not every response was 200")
        require((first.status, second.status) == (200, 409), "the reservation did not run once")

    def exceed_limit(self) -> None:
        """Send more requests than a workspace's burst, spread over all instances."""
        self.console.step(f"sending 30 requests at once with the key of {LIMITED_WORKSPACE!r}")
        instances = self.running.fleet.instances * 10
        key = self.keys[LIMITED_KEY]
        started_s = time.monotonic()
        with ThreadPoolExecutor(len(instances)) as pool:
            counts = Counter(pool.map(lambda i: self._get(i, key).status, instances))
        took_s = time.monotonic() - started_s
        self.console.print_lines(
            f"{describe_counts(counts)} (limit: burst {LIMITED_BURST}, rate 1/s)"
        )
        require(counts[200] > 0, "no request within the limit succeeded")
        require(counts[200] <= LIMITED_BURST + took_s, "more requests than the limit were admitted")
        require(counts[200] + counts[429] == counts.total(), "a response was neither 200 nor 429")

    def fail_target(self, traffic: Traffic) -> None:
        """Make a target fail while its health endpoint reports ok."""
        backend = self.running.backends[FAILING_TARGET]
        self._wait(
            lambda: self._reported_states(FAILING_TARGET) == {"warm"}, f"{FAILING_TARGET} warm"
        )
        traffic.take_counts()
        self.console.step(f"{FAILING_TARGET} returns errors; its health endpoint reports ok")
        self.failing_since_s = time.monotonic()
        backend.call("PUT", "/control/mode", {"mode": "erring"})
        health = http_json("GET", f"{backend.url}/healthz")
        self.console.print_lines(f"GET /healthz of {FAILING_TARGET}: {health['status']}")
        took_s = self._wait(
            lambda: "ejected" in self._reported_states(FAILING_TARGET), f"{FAILING_TARGET} ejected"
        )
        self.console.print_lines(f"ejected after {took_s:.1f} s; callers saw {traffic.summary()}")
        self.tool.show("status")
        self.console.step(f"{FAILING_TARGET} returns no more errors")
        backend.call("PUT", "/control/mode", {"mode": "ok"})
        took_s = self._wait(
            lambda: self._reported_states(FAILING_TARGET) == {"warm"},
            f"{FAILING_TARGET} warm again",
        )
        self.console.print_lines(f"warm after {took_s:.1f} s; callers saw {traffic.summary()}")

    def take_out_data_centre(self, traffic: Traffic) -> None:
        """Take a data centre out of service and bring it back."""
        name = LEAVING_DATA_CENTRE
        self.console.step(f"taking out {name} while requests go on")
        self.tool.show("take-out", name)
        self._wait(lambda: self._is_idle(name), f"no new request in {name}")
        self.console.print_lines(f"no new request reached {name} for {IDLE_S:.0f} s")
        self.tool.show("status")
        self.console.step(f"bringing {name} back")
        before = self.running.received_in(name)
        self.tool.show("bring-back", name)
        took_s = self._wait(
            lambda: self.running.received_in(name) > before, f"a request in {name} again"
        )
        self.console.print_lines(f"the first request reached {name} {took_s:.1f} s later")
        self.console.print_lines(f"callers saw {traffic.summary()}")

    def withdraw_key(self) -> None:
        """Withdraw a key and check that every instance refuses it."""
        self.console.step(f"withdrawing the key {WITHDRAWN_KEY}")
        key = self.keys[WITHDRAWN_KEY]
        instances = self.running.fleet.instances
        require(all(self._get(i, key).status == 200 for i in instances), "the key did not work")
        self.tool.show("key", "withdraw", WITHDRAWN_KEY)
        took_s = self._wait(
            lambda: all(self._get(i, key).status == 401 for i in instances), "401 for the key"
        )
        self.console.print_lines(
            f"every instance refuses it (401) {took_s:.1f} s after the command ended"
        )
        require(
            all(self._get(i).status == 200 for i in instances), "the other key stopped working too"
        )

    def show_timeline(self) -> None:
        """Print the merged time line of all instances."""
        self.console.step("what the instances decided since then, merged into one time line")
        kinds = [word for kind in SHOWN_KINDS for word in ("--kind", kind)]
        since_s = math.ceil(time.monotonic() - self.failing_since_s)
        events = self.tool.show("timeline", "--since", f"{since_s}s", *kinds)
        require(f'"{FAILING_TARGET}"' in events, "the time line has no event of the failing target")

    def stop(self) -> None:
        """Stop the instances gracefully."""
        self.console.step("stopping the instances (SIGTERM)")
        statuses = stop_instances(self.running.fleet)
        for name, status in statuses.items():
            self.console.print_lines(f"{name} exited with {status}")
        require(set(statuses.values()) == {0}, "an instance did not stop gracefully")

    def _all_respond(self) -> bool:
        """Tell whether both services respond through all instances.

        Requests are refused until the services' cold targets have permits.
        """
        pairs = [(i, path) for i in self.running.fleet.instances for path in PATHS]
        with ThreadPoolExecutor(len(pairs)) as pool:
            responses = pool.map(lambda pair: self._get(pair[0], path=pair[1]), pairs)
            return all(response.status == 200 for response in responses)

    def _get(self, instance: FleetInstance, key: str = "", path: str = PATHS[0]) -> Response:
        chosen = key or self.keys[KEPT_KEY]
        return self.running.fleet.request(instance, "GET", path, key=chosen)

    def _reserve(self, instance: FleetInstance) -> Response:
        return self.running.fleet.request(
            instance,
            "POST",
            "/reservations/new",
            key=self.keys[KEPT_KEY],
            headers={"Idempotency-Key": "quickstart-reservation-1"},
            body=b"{}",
        )

    def _reported_states(self, target: str) -> set[str]:
        """Return the states of a target that the instances report."""
        service = target.rpartition("-")[0]
        members = self.tool.read("status")["members"]
        states = [member["status"]["target_states"] for member in members if member["status"]]
        return {reported[service][target] for reported in states if service in reported}

    def _is_idle(self, data_centre: str) -> bool:
        before = self.running.received_in(data_centre)
        time.sleep(IDLE_S)
        return self.running.received_in(data_centre) == before

    def _wait(self, condition: Callable[[], bool], description: str) -> float:
        try:
            return self.running.fleet.wait_until(condition, description, STEP_TIMEOUT_S)
        except FleetTimeoutError as error:
            raise QuickstartError(str(error)) from error


def stop_instances(fleet: Fleet) -> dict[str, int]:
    """Stop all running instances gracefully; the store must still be running.

    :returns: the exit statuses by instance name.
    """
    processes = [instance.process for instance in fleet.running()]
    for process in processes:
        process.begin_stop()
    return {process.name: process.wait(STOP_TIMEOUT_S) for process in processes}


def require(condition: bool, problem: str) -> None:
    """Check a condition that a step must fulfil.

    :param problem: error message when the condition does not hold.
    :raises QuickstartError: when the condition does not hold.
    """
    if not condition:
        raise QuickstartError(problem)
