"""Runs an open-loop caller load: requests start at planned times, however many are in flight."""

import heapq
import os
import time
from random import Random
from typing import BinaryIO

import gevent
import msgspec
from gevent.pool import Group

from ._backend_ledger import boot_time_s
from ._load_client import BodyTemplate, Call, InstanceClient, Outcome
from ._load_plan import ArrivalTimes, CallerWorkspace, LoadPlan, RequestKind
from ._load_results import LoadResults

HEALTH_TIMEOUT_S = 1.0
# Requests that are still in flight this long after the longest series of resends are abandoned.
FINISH_MARGIN_S = 1.0


class Record(msgspec.Struct, kw_only=True):
    """One sent request, as a line of the records file; ``at_s`` is in seconds of CLOCK_BOOTTIME."""

    at_s: float
    latency_ms: float
    workspace: str
    kind: str
    instance: str
    token: str
    idempotency_key: str
    attempt: int
    result: str
    executed: str
    answer: str
    reason: str = ""


class Balancer:
    """Chooses instances at random by weight, without those whose health check fails."""

    def __init__(self, *, plan: LoadPlan) -> None:
        self._random = Random(f"{plan.seed}/balancer")
        self._timeout_s = plan.timeout_s
        self._weights = {target.address: target.weight for target in plan.instances}
        self._clients = {
            address: InstanceClient(address=address, timeout_s=plan.timeout_s)
            for address in self._weights
        }
        self._unhealthy: set[str] = set()
        self._is_stale = True
        self._choices: tuple[list[InstanceClient], list[float]] = ([], [])

    def set_weight(self, address: str, weight: float) -> None:
        """Set the weight of an instance, and add the instance if its address is unknown.

        An instance of weight 0 gets no requests, unless all weights are 0.
        """
        if address not in self._clients:
            client = InstanceClient(address=address, timeout_s=self._timeout_s)
            self._clients[address] = client
        self._weights[address] = weight
        self._is_stale = True

    def choose(self) -> InstanceClient:
        """Choose an instance among the healthy ones, or among all when none is healthy."""
        if self._is_stale:
            self._rebuild_choices()
        clients, weights = self._choices
        return self._random.choices(clients, weights)[0]

    def check_health_forever(self, address: str, interval_s: float) -> None:
        """Probe the health endpoint of one instance periodically."""
        body = BodyTemplate(RequestKind(name="health"))
        call = Call(method="GET", path="/healthz", token="", headers={}, body=body)
        client = InstanceClient(address=address, timeout_s=HEALTH_TIMEOUT_S)
        while True:
            self._record_health(address, client.send(call).result == "200")
            gevent.sleep(interval_s)

    def close(self) -> None:
        """Close all idle connections."""
        for client in self._clients.values():
            client.close()

    def _record_health(self, address: str, is_healthy: bool) -> None:
        if is_healthy == (address not in self._unhealthy):
            return
        self._unhealthy ^= {address}
        self._is_stale = True

    def _rebuild_choices(self) -> None:
        usable = [address for address, weight in self._weights.items() if weight > 0]
        healthy = [address for address in usable if address not in self._unhealthy]
        chosen = healthy or usable or list(self._weights)
        self._choices = (
            [self._clients[address] for address in chosen],
            [self._weights[address] or 1.0 for address in chosen],
        )
        self._is_stale = False


class Caller:
    """Generates the requests of one workspace in order of arrival."""

    def __init__(self, *, plan: LoadPlan, workspace: CallerWorkspace, run_id: str) -> None:
        random = Random(f"{plan.seed}/{workspace.name}")
        self.workspace = workspace
        self.arrivals = ArrivalTimes(workspace=workspace, arrivals=plan.arrivals, random=random)
        self._random = random
        self._run_id = run_id
        self._kinds = plan.kinds_of(workspace)
        self._weights = [kind.weight for kind in self._kinds]
        self._bodies = {kind.name: BodyTemplate(kind) for kind in self._kinds}
        self._count = 0

    def next_call(self) -> tuple[RequestKind, Call]:
        """Build the next request."""
        kind = self._random.choices(self._kinds, self._weights)[0]
        self._count += 1
        token = f"{self._run_id}-{self.workspace.name}-{self._count}"
        headers = {"Caller-Token": token, **kind.headers}
        if self.workspace.key:
            headers["Authorization"] = f"Bearer {self.workspace.key}"
        if kind.idempotency_key:
            headers["Idempotency-Key"] = token
        path = kind.path.replace("{n}", str(self._count))
        if kind.answer_bytes:
            path += f"?size={kind.answer_bytes}"
        call = Call(
            method=kind.method,
            path=path,
            token=token,
            headers=headers,
            body=self._bodies[kind.name],
        )
        return kind, call


class LoadRun:
    """One run of a load plan.

    It may run in any thread, since gevent has a separate event loop for each thread, and needs no
    monkey patching.

    :param plan: load to send.
    :param records: file to which one JSON line for each sent request is written, if any.
    :param run_id: prefix of all tokens and idempotency keys; random by default.
    """

    def __init__(
        self, *, plan: LoadPlan, records: BinaryIO | None = None, run_id: str | None = None
    ) -> None:
        plan.check()
        self.plan = plan
        self.results = LoadResults()
        self.balancer = Balancer(plan=plan)
        self._records = records
        self._is_stopped = False
        run_id = run_id or os.urandom(4).hex()
        self._callers = [
            Caller(plan=plan, workspace=workspace, run_id=run_id) for workspace in plan.workspaces
        ]
        self._requests = Group()

    def run(self) -> LoadResults:
        """Send the whole load and wait for the responses."""
        checks = self._start_health_checks()
        started_at_s = time.monotonic()
        try:
            self._start_requests(started_at_s)
            self.results.elapsed_s = time.monotonic() - started_at_s
            self._requests.join(timeout=self._longest_request_s())
        finally:
            self._requests.kill()
            checks.kill()
            self.balancer.close()
        return self.results

    def stop(self) -> None:
        """Start no more requests; :meth:`run` returns when those in flight have ended."""
        self._is_stopped = True

    def _start_health_checks(self) -> Group:
        checks = Group()
        if self.plan.use_health:
            for target in self.plan.instances:
                interval_s = self.plan.health_interval_s
                checks.spawn(self.balancer.check_health_forever, target.address, interval_s)
        return checks

    def _longest_request_s(self) -> float:
        longest_s = self.plan.timeout_s
        for kind in self.plan.kinds:
            attempts_s = (kind.resends + 1) * (self.plan.timeout_s + kind.resend_delay_s)
            longest_s = max(longest_s, attempts_s)
        return longest_s + FINISH_MARGIN_S

    def _start_requests(self, started_at_s: float) -> None:
        queue = [(caller.arrivals.next_s(0.0), index) for index, caller in enumerate(self._callers)]
        heapq.heapify(queue)
        while not self._is_stopped and queue[0][0] <= self.plan.duration_s:
            due_s, index = queue[0]
            caller = self._callers[index]
            heapq.heapreplace(queue, (caller.arrivals.next_s(due_s), index))
            self._wait_until(started_at_s + due_s)
            self._start_request(caller, started_at_s + due_s)

    def _wait_until(self, due_at_s: float) -> None:
        """Wait until a time; yields to the requests in flight even when that time has passed."""
        gevent.sleep(max(0.0, due_at_s - time.monotonic()))

    def _start_request(self, caller: Caller, due_at_s: float) -> None:
        results = self.results
        results.started += 1
        results.max_lag_s = max(results.max_lag_s, time.monotonic() - due_at_s)
        self._requests.spawn(self._send, caller, due_at_s)
        results.max_in_flight = max(results.max_in_flight, len(self._requests))

    def _send(self, caller: Caller, due_at_s: float) -> None:
        kind, call = caller.next_call()
        # Latency counts from the planned time, so that a stalled load does not hide how long the
        # caller would have waited (coordinated omission).
        planned_at_s = due_at_s
        for attempt in range(1, kind.resends + 2):
            client = self.balancer.choose()
            started_at_s = time.monotonic()
            outcome = client.send(call)
            ended_at_s = time.monotonic()
            self.results.add(
                workspace=caller.workspace.name,
                kind=kind.name,
                instance=client.address,
                outcome=outcome,
                latency_s=ended_at_s - planned_at_s,
                since_send_s=ended_at_s - started_at_s,
            )
            latency_s = ended_at_s - planned_at_s
            self._record(caller, kind, call, client.address, attempt, outcome, latency_s)
            if is_final(outcome) or attempt > kind.resends:
                return
            gevent.sleep(kind.resend_delay_s)
            planned_at_s = time.monotonic()

    def _record(
        self,
        caller: Caller,
        kind: RequestKind,
        call: Call,
        instance: str,
        attempt: int,
        outcome: Outcome,
        latency_s: float,
    ) -> None:
        if self._records is None:
            return
        record = Record(
            at_s=boot_time_s() - latency_s,
            latency_ms=latency_s * 1000,
            workspace=caller.workspace.name,
            kind=kind.name,
            instance=instance,
            token=call.token,
            idempotency_key=call.headers.get("Idempotency-Key", ""),
            attempt=attempt,
            result=outcome.result,
            executed=outcome.executed,
            answer=outcome.answer,
            reason=outcome.reason,
        )
        self._records.write(msgspec.json.encode(record) + b"\n")


def is_final(outcome: Outcome) -> bool:
    """Tell whether a caller accepts the outcome instead of sending the request again."""
    return outcome.result.isdecimal() and not outcome.result.startswith("5")
