"""Time to detect a gray failure, and ejections of healthy targets."""

import time
from random import Random

from ._evaluation import last_before_pause, quantile
from ._figures import Figure
from ._testbed import Testbed, boot_time_s

NAME = "detection"
KINDS = ("erring", "hanging", "slow")
SLOW_FACTOR = 5.0
FAULT_S = 5.0
RECOVERY_S = 6.0
# Upper bound for planning the load, which is stopped after the last round.
ROUND_MAX_S = 30.0
# Longer than the usual gaps between Poisson arrivals at a target of the least used service.
PAUSE_S = 1.5
# Faults go to targets with recent requests; without any, a fault would seem detected at once.
TRAFFIC_WINDOW_S = 4.0
MIN_WINDOW_REQUESTS = 4
NOISE_RATIO = 0.005
SLOW_SERVICE_FACTOR = 3.0
MEDIAN_LIMIT_S = 1.0
P99_LIMIT_S = 3.0


class FaultInjection:
    """A fault given to one target, and what was observed of it."""

    def __init__(self, *, target: str, kind: str, at_s: float) -> None:
        self.target = target
        self.kind = kind
        self.at_s = at_s
        self.until_s = at_s + FAULT_S
        self.last_request_s: float | None = None
        self.ejected_s: float | None = None
        self.noticed_by_health_check = False


def run(testbed: Testbed) -> list[Figure]:
    """Inject faults in rounds, then count ejections of healthy targets."""
    rounds = testbed.scale.detection_rounds
    quiet_s = testbed.scale.phase_s
    load = testbed.start_load(
        testbed.deployment.workspaces(testbed.scale.load_factor, uploads=False),
        duration_s=rounds * ROUND_MAX_S + 4 * quiet_s,
    )
    random = Random(testbed.seed)
    injections: list[FaultInjection] = []
    time.sleep(RECOVERY_S)
    for number in range(rounds):
        injections += _round(testbed, random, number)
    figures = _detection_figures(testbed, injections)
    figures += _false_ejection_figures(testbed, quiet_s)
    done = load.stop()
    for figure in figures:
        if figure.goal and "false" not in figure.name:
            figure.no_verdict = figure.no_verdict or done.saturation()
    return figures


def _round(testbed: Testbed, random: Random, number: int) -> list[FaultInjection]:
    """Inject a fault into one target of each service, each of a different kind."""
    injections = []
    with testbed.fault():
        for offset, service in enumerate(testbed.deployment.roles.faulty_services):
            kind = KINDS[(number + offset) % len(KINDS)]
            used = testbed.targets_with_traffic(
                service, boot_time_s() - TRAFFIC_WINDOW_S, MIN_WINDOW_REQUESTS
            )
            target = random.choice(used or testbed.target_names(service))
            at_s = testbed.set_mode(target, kind, factor=SLOW_FACTOR)
            injections.append(FaultInjection(target=target, kind=kind, at_s=at_s))
        time.sleep(FAULT_S / 2)
        for injection in injections:
            injection.noticed_by_health_check = not _is_healthy(testbed, injection.target)
        time.sleep(FAULT_S / 2)
        for injection in injections:
            injection.until_s = testbed.set_mode(injection.target, "ok")
    time.sleep(RECOVERY_S)
    ledgers = testbed.ledger([injection.target for injection in injections])
    for injection in injections:
        starts_s = [entry["started_at_s"] for entry in ledgers[injection.target]]
        last_s = last_before_pause(starts_s, injection.at_s, injection.until_s, PAUSE_S)
        injection.last_request_s = None if last_s is None else last_s - injection.at_s
        _record_ejection(testbed, injection)
    return injections


def _is_healthy(testbed: Testbed, target: str) -> bool:
    try:
        testbed.backends[target].call("GET", "/healthz")
    except Exception:
        return False
    return True


def _record_ejection(testbed: Testbed, injection: FaultInjection) -> None:
    for event in testbed.ejections(injection.at_s, injection.until_s):
        if event["detail"]["target"] == injection.target:
            injection.ejected_s = event["at_s"] - injection.at_s
            return


def _detection_figures(testbed: Testbed, injections: list[FaultInjection]) -> list[Figure]:
    figures = _time_figures("all kinds", injections)
    for kind in KINDS:
        figures += _time_figures(
            kind, [injection for injection in injections if injection.kind == kind]
        )
    for service in testbed.deployment.roles.faulty_services:
        names = testbed.target_names(service)
        found = [injection for injection in injections if injection.target in names]
        figures.append(_service_figure(service, found))
    noticed = sum(injection.noticed_by_health_check for injection in injections)
    figures.append(
        Figure(
            measure=NAME,
            name="baseline: health checks alone, faults noticed",
            value=float(noticed),
            unit=f"of {len(injections)}",
            note="GET /healthz of the faulty targets 3 s into the fault",
        )
    )
    return figures


def _time_figures(label: str, injections: list[FaultInjection]) -> list[Figure]:
    # An undetected fault counts with its whole duration.
    last_requests_s = [
        FAULT_S if injection.last_request_s is None else injection.last_request_s
        for injection in injections
    ]
    ejected_s = [injection.ejected_s for injection in injections if injection.ejected_s is not None]
    missed = sum(injection.last_request_s is None for injection in injections)
    each = ", ".join(f"{value:.2f}" for value in sorted(last_requests_s))
    note = f"{len(injections)} faults, {missed} without a pause in requests; times: {each}"
    return [
        Figure(
            measure=NAME,
            name=f"last request to the target, median, {label}",
            value=quantile(last_requests_s, 0.5),
            unit="s",
            goal="1 s",
            limit=MEDIAN_LIMIT_S,
            note=note,
        ),
        Figure(
            measure=NAME,
            name=f"last request to the target, p99 (greatest), {label}",
            value=quantile(last_requests_s, 0.99),
            unit="s",
            goal="3 s",
            limit=P99_LIMIT_S,
        ),
        Figure(
            measure=NAME,
            name=f"ejection in the time line, median, {label}",
            value=quantile(ejected_s, 0.5) if ejected_s else None,
            unit="s",
            note=f"{len(ejected_s)} of {len(injections)} ejected",
        ),
    ]


def _service_figure(service: str, injections: list[FaultInjection]) -> Figure:
    last_requests_s = [
        FAULT_S if injection.last_request_s is None else injection.last_request_s
        for injection in injections
    ]
    parts = [f"{injection.target} {injection.kind}" for injection in injections]
    return Figure(
        measure=NAME,
        name=f"last request to the target, median, service {service}",
        value=quantile(last_requests_s, 0.5) if last_requests_s else None,
        unit="s",
        note=", ".join(parts),
    )


def _false_ejection_figures(testbed: Testbed, quiet_s: float) -> list[Figure]:
    """Count ejections of targets with a few errors, and of a service that is slow as a whole."""
    names = [
        name for service in testbed.deployment.services for name in testbed.target_names(service)
    ]
    for name in names:
        testbed.set_mode(name, "erring", ratio=NOISE_RATIO)
    from_s = boot_time_s()
    time.sleep(quiet_s)
    noisy = testbed.ejections(from_s, boot_time_s())
    for name in names:
        testbed.set_mode(name, "ok")
    slow_service = testbed.deployment.roles.faulty_services[0]
    for name in testbed.target_names(slow_service):
        testbed.set_mode(name, "slow", factor=SLOW_SERVICE_FACTOR)
    from_s = boot_time_s()
    time.sleep(quiet_s)
    slow = testbed.ejections(from_s, boot_time_s())
    for name in testbed.target_names(slow_service):
        testbed.set_mode(name, "ok")
    return [
        _count_figure(
            f"false ejections, {NOISE_RATIO:.1%} errors and lognormal times", noisy, quiet_s
        ),
        _count_figure(f"false ejections, all of {slow_service} 3 times slower", slow, quiet_s),
        Figure(
            measure=NAME,
            name="false ejections, one bad link",
            value=None,
            goal="0",
            no_verdict="not measured: a target has one address for the whole fleet, so no relay "
            "can disturb the link of a single instance",
        ),
    ]


def _count_figure(name: str, ejections: list[dict], period_s: float) -> Figure:
    return Figure(
        measure=NAME,
        name=name,
        value=float(len(ejections)),
        goal="0",
        limit=0.0,
        note=f"in {period_s:.0f} s; "
        + ", ".join(
            f"{item['detail']['target']} ({item['detail']['reason']})" for item in ejections
        ),
    )
