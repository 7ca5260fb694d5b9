"""Measures the time until the last request to a faulty target, with a home that ejects it.

Uses the simulated traffic of ``measure_detection.py``. In contrast to that tool, one
``ServiceHome`` replies to the reports of all views, polls for reports, and ejects targets; tries at
a hanging target end with a timeout. With ``--page``, the table's section of that page is replaced.
"""

import argparse
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from measure_detection import (
    FAULT_AT_S,
    FAULT_SCENARIOS,
    HEALTHY_SCENARIOS,
    LINK_DELAY_S,
    SERVICE_LOADS,
    STAND_IN_SERVICE_TIME_CLASSES,
    STAND_IN_SERVICE_TIME_SIGMA,
    Scenario,
    ServiceLoad,
    Simulation,
    quantile,
)
from tanagerreach_core.messages import (
    REPORT_POLL_ID,
    InstanceIncarnation,
    ServiceReply,
    ServiceReport,
)
from tanagerreach_core.traffic import Outcome, Pick, ServiceHome, ServiceSpec, TargetSpec

INSTANCE_TICK_S = 0.05
HOME_TICK_S = 0.2
TRY_TIMEOUT_S = 0.3
FAULT_RUN_S = 20.0
HEALTHY_RUN_S = 35.0
# Requests count as ended when none starts for this long, as in `make measure`.
PAUSE_S = 1.5
HEADING = "## Until the last request"


class HomeSimulation(Simulation):
    """Views that report to a home and follow its verdicts."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        targets = tuple(
            TargetSpec(target=name, slot_count=scenario.slot_count) for name in self.targets
        )
        floor = max(1, scenario.target_count // 2)
        spec = ServiceSpec(service="service", targets=targets, floor=floor)
        self.home = ServiceHome(spec=spec, now_s=0.0)
        self.senders = {
            InstanceIncarnation(instance_id=f"instance-{index}", incarnation=1): index
            for index in range(scenario.instance_count)
        }
        self.starts_s: list[float] = []
        self.ejections: list[tuple[float, str]] = []
        self.message_count = 0
        self.schedule(HOME_TICK_S, self.tick)

    def tick(self) -> None:
        """Let the home act on its due work and poll for reports."""
        self.schedule(HOME_TICK_S, self.tick)
        self.home.confirm(True, self.now_s)
        self.home.advance(self.now_s)
        self.record_events()
        self.poll_reporters()

    def poll_reporters(self) -> None:
        """Poll the instances from which the home wants a report now."""
        for sender in self.home.reporters_to_poll(self.now_s):
            self.message_count += 1
            self.schedule(LINK_DELAY_S, self.handle_poll, self.senders[sender])

    def handle_poll(self, index: int) -> None:
        """Send the report for which the home polls."""
        report_poll = ServiceReply(request_id=REPORT_POLL_ID, service="service", is_home=True)
        self.views[index].apply(report_poll, self.now_s)
        self.send_due_report(index)

    def report_periodically(self, index: int) -> None:
        """Send a report if one is due, and schedule the next check."""
        self.schedule(INSTANCE_TICK_S, self.report_periodically, index)
        self.send_due_report(index)

    def send_due_report(self, index: int) -> None:
        """Send the home a report if one is due."""
        report = self.views[index].due_report(self.now_s)
        if report is not None:
            self.message_count += 1
            self.schedule(LINK_DELAY_S, self.deliver_report, index, report)

    def deliver_report(self, index: int, report: ServiceReport) -> None:
        """Deliver a report to the home and send its reply."""
        sender = InstanceIncarnation(instance_id=f"instance-{index}", incarnation=1)
        reply = self.home.handle_report(report, sender, True, self.now_s)
        if self.record_events():
            self.poll_reporters()
        if reply is not None:
            self.message_count += 1
            self.schedule(LINK_DELAY_S, self.apply_reply, index, reply)

    def apply_reply(self, index: int, reply: ServiceReply) -> None:
        """Apply the home's reply."""
        self.views[index].apply(reply, self.now_s)

    def record_events(self) -> bool:
        """Record ejections, and tell whether the home had any events."""
        events = self.home.take_events()
        self.ejections += [
            (event.at_s, event.target) for event in events if event.action == "ejected"
        ]
        return bool(events)

    def arrive_at_target(self, index: int, pick: Pick) -> None:
        """Record starts at the target that gets the fault, and time out tries at a hanging one."""
        if pick.target == "t0":
            self.starts_s.append(self.now_s)
        super().arrive_at_target(index, pick)
        if self.fault_of(self.targets[pick.target]) == "hang":
            self.schedule(TRY_TIMEOUT_S, self.end_timed_out_try, index, pick)

    def end_timed_out_try(self, index: int, pick: Pick) -> None:
        """End a try at a hanging target, which frees its slot or its place in the queue."""
        target = self.targets[pick.target]
        if (index, pick) in target.queue:
            target.queue.remove((index, pick))
        elif target.running:
            target.running -= 1
            if target.queue:
                self.start(target, *target.queue.pop(0))
        self.complete(index, pick, Outcome.TIMEOUT)


def last_start_s(starts_s: list[float], end_s: float) -> float:
    """Return the start of the last request before the first pause, relative to the fault."""
    last_s = FAULT_AT_S
    for at_s in [*(at_s for at_s in starts_s if at_s >= FAULT_AT_S), end_s]:
        if at_s - last_s >= PAUSE_S:
            return last_s - FAULT_AT_S
        last_s = at_s
    return end_s - FAULT_AT_S


def run(scenario: Scenario) -> dict:
    """Run a scenario and return times since the fault, false ejections and message rate."""
    simulation = HomeSimulation(scenario)
    simulation.run()
    detection_delays_s = [
        at_s - FAULT_AT_S
        for at_s, name in simulation.ejections
        if scenario.name in FAULT_SCENARIOS and name == "t0" and at_s >= FAULT_AT_S
    ]
    return {
        "scenario": scenario.name,
        "last_s": last_start_s(simulation.starts_s, scenario.duration_s),
        "ejected_s": detection_delays_s[0] if detection_delays_s else None,
        "false": len(simulation.ejections) - len(detection_delays_s),
        "messages_per_s": simulation.message_count / scenario.duration_s,
    }


def scenarios(load: ServiceLoad, seeds: range) -> Iterator[Scenario]:
    """Yield the scenarios of one service, with and without a faulty target."""
    for seed in seeds:
        for name in FAULT_SCENARIOS + HEALTHY_SCENARIOS:
            yield Scenario(
                name=name,
                seed=seed,
                duration_s=FAULT_AT_S + FAULT_RUN_S if name in FAULT_SCENARIOS else HEALTHY_RUN_S,
                target_count=load.target_count,
                slot_count=load.slot_count,
                rate_per_target_per_s=load.rate_per_target_per_s,
                thresholds=(),
                service_time_classes=STAND_IN_SERVICE_TIME_CLASSES,
                service_time_sigma=STAND_IN_SERVICE_TIME_SIGMA,
            )


def rows(load: ServiceLoad, results: list[dict]) -> Iterator[str]:
    """Yield a table row for each scenario."""
    for name in FAULT_SCENARIOS + HEALTHY_SCENARIOS:
        runs = [result for result in results if result["scenario"] == name]
        ejected_s = [result["ejected_s"] for result in runs if result["ejected_s"] is not None]
        cells = [load.name, f"{load.rate_per_target_per_s:g}", name]
        if name in FAULT_SCENARIOS:
            last_requests_s = [result["last_s"] for result in runs]
            cells.append(f"{quantile(last_requests_s, 0.5):.2f} s, {max(last_requests_s):.2f} s")
            times = f"{quantile(ejected_s, 0.5):.2f} s, {max(ejected_s):.2f} s" if ejected_s else ""
            cells.append(f"{times} ({len(ejected_s)} of {len(runs)})")
        else:
            cells += ["", ""]
        cells.append(str(sum(result["false"] for result in runs)))
        cells.append(f"{sum(result['messages_per_s'] for result in runs) / len(runs):.0f}")
        yield f"| {' | '.join(cells)} |"


def main() -> int:
    """Run the measurement, print the section, and write it to the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first-seed", type=int, default=101)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--services", nargs="*", default=[load.name for load in SERVICE_LOADS])
    parser.add_argument("--page", type=Path)
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    lines = [
        HEADING,
        "",
        "This section is written by `tools/measure_home.py --page docs/detection.md`. One home "
        "replies to the reports of the 32 views, and ejects. Times are from the start of the "
        f"fault; median and greatest of seeds {seeds[0]} to {seeds[-1]}, in runs of "
        f"{FAULT_RUN_S:g} s with the fault. Requests have ended when none starts for "
        f"{PAUSE_S:g} s, which at 1.4 requests/s also happens by chance. Messages are reports, "
        "replies and the home's polls.",
        "",
        "| service | requests/s per target | scenario | last request | ejection (found) "
        "| false ejections | messages/s |",
        "|---" * 7 + "|",
    ]
    with ProcessPoolExecutor(max_workers=arguments.workers) as pool:
        for load in SERVICE_LOADS:
            if load.name in arguments.services:
                lines += rows(load, list(pool.map(run, scenarios(load, seeds))))
    print("\n".join(lines))
    if arguments.page is not None:
        before = arguments.page.read_text(encoding="utf-8").partition(HEADING)[0].rstrip()
        text = before + "\n\n" + "\n".join(lines) + "\n"
        arguments.page.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
