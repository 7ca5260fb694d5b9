"""Latency that an instance adds, and control plane costs of instances and of the store."""

import time

from tanagerreach_standins.fleet import FleetInstance
from tanagerreach_standins.load import InstanceTarget

from ._deployment import probe_caller, probe_kind
from ._evaluation import quantile, succeeded
from ._figures import Figure
from ._testbed import FinishedLoad, Testbed, process_mb, process_seconds

NAME = "cost"
RATE_PER_INSTANCE = 143.0
LOADED_INSTANCES = 2
MIN_SAMPLES_FOR_P99 = 1_000
P50_LIMIT_MS = 1.0
P99_LIMIT_MS = 3.1
CPU_LIMIT_PERCENT = 2.5
MEMORY_LIMIT_MB = 64.0
SENT_LIMIT_KB_PER_S = 4.0
ONE_CORE_GOAL_PER_S = 1_000.0
STEPS_PER_S = (200.0, 400.0, 600.0, 800.0)
STEP_S = 5.0
# On a busier machine, requests wait for a processor, which raises the latencies.
MAX_BUSY_RATIO = 0.7
MAX_LOAD_LAG_MS = 50.0
PERCENT = 100.0


class Usage:
    """Resource use of one instance since its start."""

    def __init__(self, testbed: Testbed, instance: FleetInstance) -> None:
        metrics = testbed.metrics(instance)
        self.at_s = time.monotonic()
        self.cpu_s = process_seconds(instance.process.pid)
        self.memory_mb = process_mb(instance.process.pid)
        self.sent = metrics["tanagerreach_peer_sent_bytes"][0]["value"]
        self.received = metrics["tanagerreach_peer_received_bytes"][0]["value"]

    def since(self, before: "Usage") -> dict[str, float]:
        """Return the use per second since an earlier reading."""
        elapsed_s = self.at_s - before.at_s
        return {
            "cpu_percent": PERCENT * (self.cpu_s - before.cpu_s) / elapsed_s,
            "sent_kb_per_s": (self.sent - before.sent) / elapsed_s / 1_000,
            "received_kb_per_s": (self.received - before.received) / elapsed_s / 1_000,
        }


def run(testbed: Testbed) -> list[Figure]:
    """Measure idle instances, loaded instances, and rising loads of the whole fleet."""
    figures = _idle_figures(testbed)
    figures += _loaded_figures(testbed)
    figures += _step_figures(testbed)
    return figures


def store_calls(testbed: Testbed) -> dict[str, int]:
    """Return the number of calls that the store has received, by kind."""
    return testbed.fleet.store.call("GET", "/control/counts")["calls"]


def call_rates(before: dict[str, int], after: dict[str, int], elapsed_s: float) -> dict:
    """Return the calls per second, by kind."""
    return {kind: (count - before.get(kind, 0)) / elapsed_s for kind, count in after.items()}


def describe_rates(rates: dict[str, float]) -> str:
    """Format the rates that aren't zero."""
    return ", ".join(f"{kind} {rate:.2f}" for kind, rate in rates.items() if rate)


def _idle_figures(testbed: Testbed) -> list[Figure]:
    instances = testbed.fleet.running()
    before = [Usage(testbed, instance) for instance in instances]
    calls, calls_at_s = store_calls(testbed), time.monotonic()
    time.sleep(testbed.scale.phase_s)
    rates = call_rates(calls, store_calls(testbed), time.monotonic() - calls_at_s)
    after = [Usage(testbed, instance) for instance in instances]
    used = [late.since(early) for late, early in zip(after, before, strict=True)]
    count = len(instances)
    return [
        _usage_figure("idle: processor time, median of instances", used, "cpu_percent",
                      "% of a core", CPU_LIMIT_PERCENT),
        _usage_figure("idle: sent to peers", used, "sent_kb_per_s", "KB/s", SENT_LIMIT_KB_PER_S),
        _usage_figure("idle: received from peers", used, "received_kb_per_s", "KB/s", None),
        Figure(
            measure=NAME,
            name="idle: resident memory of the whole process, median",
            value=quantile([usage.memory_mb for usage in after], 0.5),
            unit="MB",
            goal="64 MB for control",
            no_verdict="whole process with interpreter and libraries, not only the control plane",
        ),
        Figure(
            measure=NAME,
            name=f"store calls at {count} idle instances",
            value=sum(rates.values()),
            unit="1/s",
            note=describe_rates(rates),
        ),
    ]  # fmt: skip


def _usage_figure(
    name: str, used: list[dict[str, float]], field: str, unit: str, limit: float | None
) -> Figure:
    values = [item[field] for item in used]
    return Figure(
        measure=NAME,
        name=name,
        value=quantile(values, 0.5),
        unit=unit,
        goal="" if limit is None else f"{limit:g} {unit}",
        limit=limit,
        note=f"{min(values):.2f} to {max(values):.2f} over {len(values)} instances; "
        "datagram payloads only" if "kb" in field else
        f"{min(values):.2f} to {max(values):.2f} over {len(values)} instances",
    )  # fmt: skip


def _loaded_figures(testbed: Testbed) -> list[Figure]:
    instances = testbed.fleet.running()[-LOADED_INSTANCES:]
    rate_per_s = RATE_PER_INSTANCE * LOADED_INSTANCES
    through_to = [InstanceTarget(address=item.callers_address) for item in instances]
    direct_to = [
        InstanceTarget(address=testbed.backends[name].address)
        for name in testbed.backends
        if name.startswith("measurement-")
    ]
    before = [Usage(testbed, instance) for instance in instances]
    through_load = testbed.start_load(
        [probe_caller(rate_per_s)],
        duration_s=testbed.scale.phase_s,
        instances=through_to,
        kinds=[probe_kind()],
    )
    direct = testbed.run_load(
        [probe_caller(rate_per_s)],
        duration_s=testbed.scale.phase_s,
        instances=direct_to,
        kinds=[probe_kind()],
    )
    through = through_load.wait()
    after = [Usage(testbed, instance) for instance in instances]
    used = [late.since(early) for late, early in zip(after, before, strict=True)]
    figures = _added_figures(direct, through)
    figures += _added_time_metric_figures(testbed, instances)
    elapsed_s = after[0].at_s - before[0].at_s
    per_request_s = sum(item["cpu_percent"] for item in used) / PERCENT * elapsed_s
    per_request_s /= max(1, len(through.records))
    figures += [
        _usage_figure("loaded: processor time, with requests", used, "cpu_percent", "% of a core",
                      None),
        _usage_figure("loaded: sent to peers", used, "sent_kb_per_s", "KB/s", SENT_LIMIT_KB_PER_S),
        _usage_figure("loaded: received from peers", used, "received_kb_per_s", "KB/s", None),
        Figure(
            measure=NAME,
            name="requests/s of one instance on one core",
            value=1 / per_request_s,
            unit="1/s",
            goal="1,000",
            limit=ONE_CORE_GOAL_PER_S,
            is_floor=True,
            note=f"computed: {per_request_s * 1000:.2f} ms of processor time for each request, "
            "including the control plane",
        ),
    ]  # fmt: skip
    return figures


def _added_figures(direct: FinishedLoad, through: FinishedLoad) -> list[Figure]:
    figures = []
    for label, ratio, limit_ms in (("p50", 0.5, P50_LIMIT_MS), ("p99", 0.99, P99_LIMIT_MS)):
        direct_ms = quantile(_latencies_ms(direct), ratio)
        through_ms = quantile(_latencies_ms(through), ratio)
        has_few_samples = len(_latencies_ms(through)) < MIN_SAMPLES_FOR_P99
        figures.append(
            Figure(
                measure=NAME,
                name=f"latency added by an instance, {label}, at 143 requests/s",
                value=through_ms - direct_ms,
                unit="ms",
                goal=f"{limit_ms} ms",
                limit=limit_ms,
                no_verdict="too few successful requests"
                if has_few_samples
                else through.saturation(),
                note=f"through {through_ms:.2f} ms, direct {direct_ms:.2f} ms in the same period; "
                f"machine {through.busy_ratio:.0%} busy",
            )
        )
    return figures


def _added_time_metric_figures(testbed: Testbed, instances: list[FleetInstance]) -> list[Figure]:
    figures = []
    for label in ("0.5", "0.99"):
        values = [
            testbed.metrics(instance)["tanagerreach_added_seconds"][0]["quantiles_s"][label] * 1_000
            for instance in instances
        ]
        figures.append(
            Figure(
                measure=NAME,
                name=f"the instances' own metric of added time, quantile {label}, greatest",
                value=max(values),
                unit="ms",
                note="over all requests since the start of the instances",
            )
        )
    return figures


def _latencies_ms(done: FinishedLoad) -> list[float]:
    return [record["latency_ms"] for record in done.records if succeeded(record)]


def _step_figures(testbed: Testbed) -> list[Figure]:
    """Raise the load on the whole fleet step by step until the machine is nearly saturated."""
    figures = []
    highest_rate_per_s = 0.0
    for rate_per_s in STEPS_PER_S:
        done = testbed.run_load([probe_caller(rate_per_s)], duration_s=STEP_S, kinds=[probe_kind()])
        lag_ms = done.summary["max_lag_ms"]
        succeeded_count = sum(map(succeeded, done.records))
        p99_ms = quantile(_latencies_ms(done), 0.99)
        figures.append(
            Figure(
                measure=NAME,
                name=f"whole fleet at {rate_per_s:.0f} requests/s: p99 at the caller",
                value=p99_ms,
                unit="ms",
                note=f"{succeeded_count} of {len(done.records)} succeeded; "
                f"machine {done.busy_ratio:.0%} busy; load at most {lag_ms:.0f} ms late",
            )
        )
        if done.busy_ratio > MAX_BUSY_RATIO or lag_ms > MAX_LOAD_LAG_MS:
            break
        highest_rate_per_s = rate_per_s
    figures.append(
        Figure(
            measure=NAME,
            name="greatest step that does not saturate the machine",
            value=highest_rate_per_s,
            unit="1/s",
            note=f"machine under {MAX_BUSY_RATIO:.0%} busy, "
            f"load less than {MAX_LOAD_LAG_MS:.0f} ms late",
        )
    )
    return figures
