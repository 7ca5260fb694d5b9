"""Success and latency of workspaces within their limits while another one exceeds its limit."""

from ._evaluation import quantile, result_counts, succeeded
from ._figures import Figure
from ._testbed import FinishedLoad, Testbed

NAME = "fairness"
OVER_LIMIT_FACTOR = 10.0
MIN_SAMPLES_FOR_SUCCESS = 1_000
MIN_SAMPLES_FOR_P99 = 500
P99 = 0.99
SETTLE_S = 3.0
PERCENT = 100.0


def run(testbed: Testbed) -> list[Figure]:
    """Compare a run within all limits with one in which a workspace sends ten times its rate."""
    roles = testbed.deployment.roles
    over_limit = roles.over_limit_in_trial if testbed.scale.is_trial else roles.over_limit
    others = [
        workspace
        for workspace in testbed.deployment.workspaces(testbed.scale.load_factor, uploads=False)
        if workspace.name != over_limit[0]
    ]
    rate_per_s = testbed.deployment.limit(over_limit[0])[0]
    quiet = _run(testbed, others, testbed.deployment.caller(over_limit, rate_per_s / 2))
    testbed.settle(SETTLE_S)
    busy = _run(
        testbed, others, testbed.deployment.caller(over_limit, rate_per_s * OVER_LIMIT_FACTOR)
    )
    names = [workspace.name for workspace in others]
    return [
        _success_figure(names, busy),
        *_latency_figures(names, quiet, busy),
        Figure(
            measure=NAME,
            name="requests/s of the loud run",
            value=busy.summary["started_per_s"],
            unit="1/s",
            note=f"loud: {over_limit[0]}: {result_counts(busy.records_of(over_limit[0]))}; "
            f"machine {busy.busy_ratio:.0%} busy, quiet {quiet.busy_ratio:.0%}; "
            f"load at most {busy.summary['max_lag_ms']:.0f} ms late",
        ),
    ]


def _run(testbed: Testbed, others: list, compared) -> FinishedLoad:
    # A separate load process keeps the requests of this workspace from delaying the others'.
    compared_load = testbed.start_load([compared], duration_s=testbed.scale.phase_s)
    done = testbed.run_load(others, duration_s=testbed.scale.phase_s)
    compared_done = compared_load.wait()
    done.records += compared_done.records
    done.summary["started_per_s"] += compared_done.summary["started_per_s"]
    return done


def _success_figure(names: list[str], done: FinishedLoad) -> Figure:
    ratios = {}
    for name in names:
        records = done.records_of(name)
        if records:
            ratios[name] = sum(map(succeeded, records)) / len(records)
    worst = min(ratios, key=ratios.get)
    records = done.records_of(worst)
    has_few_samples = len(records) < MIN_SAMPLES_FOR_SUCCESS and ratios[worst] == 1
    total = sum(len(done.records_of(name)) for name in names)
    no_verdict = (
        f"all of {total} succeeded, but each workspace sent too few to judge 99.9%"
        if has_few_samples
        else ""
    )
    return Figure(
        measure=NAME,
        name="success of the worst-served workspace within its limits",
        value=PERCENT * ratios[worst],
        unit="%",
        goal="at least 99.9%",
        limit=99.9,
        is_floor=True,
        no_verdict=no_verdict if total < MIN_SAMPLES_FOR_SUCCESS else done.saturation(),
        note=f"{worst}: {result_counts(records)}; {total} requests of all workspaces",
    )


def _latency_figures(names: list[str], quiet: FinishedLoad, busy: FinishedLoad) -> list[Figure]:
    ratios = {}
    for name in names:
        before, after = _latencies_ms(quiet, name), _latencies_ms(busy, name)
        if min(len(before), len(after)) >= MIN_SAMPLES_FOR_P99:
            ratios[name] = (quantile(after, P99) / quantile(before, P99), before, after)
    pooled = [
        [latency for name in names for latency in _latencies_ms(done, name)]
        for done in (quiet, busy)
    ]
    p99_ms = [quantile(values, P99) for values in pooled]
    figures = [
        Figure(
            measure=NAME,
            name="p99 of all workspaces within limits, against the quiet run",
            value=p99_ms[1] / p99_ms[0],
            unit="times",
            goal="1.5 times",
            limit=1.5,
            no_verdict=busy.saturation(),
            note=f"quiet {p99_ms[0]:.1f} ms, loud {p99_ms[1]:.1f} ms",
        )
    ]
    if not ratios:
        return figures
    worst = max(ratios, key=lambda name: ratios[name][0])
    ratio, before, after = ratios[worst]
    figures.append(
        Figure(
            measure=NAME,
            name="p99 of the worst-served workspace, against the quiet run",
            value=ratio,
            unit="times",
            goal="1.5 times",
            limit=1.5,
            no_verdict=busy.saturation(),
            note=f"{worst}: quiet {quantile(before, P99):.1f} ms, loud "
            f"{quantile(after, P99):.1f} ms; of {len(ratios)} workspaces with at least "
            f"{MIN_SAMPLES_FOR_P99} successful requests",
        )
    )
    return figures


def _latencies_ms(done: FinishedLoad, name: str) -> list[float]:
    return [record["latency_ms"] for record in done.records_of(name) if succeeded(record)]
