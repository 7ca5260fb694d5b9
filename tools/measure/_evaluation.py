"""Evaluation of backend server ledgers and load records, without running processes.

Times are seconds of CLOCK_BOOTTIME, the clock of both load records and ledgers.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

NOT_RUN = "not-run"
CUT_OFF_RESULTS = frozenset({"broken", "short", "timeout", "connect_failed"})


@dataclass(slots=True, kw_only=True, frozen=True)
class WindowCheck:
    """Admitted requests of one workspace, checked over all time windows.

    ``excess`` is the greatest number of requests above rate·t + burst in any window; it isn't
    positive while the limit holds. ``window_s`` is the length of that window.
    """

    requests: int
    excess: float
    window_s: float


def check_windows(starts_s: Iterable[float], rate_per_s: float, burst: float) -> WindowCheck:
    """Find the window with the most requests above rate·t + burst.

    A window from request i to request j has j - i + 1 requests. For each j, the excess is greatest
    for the i with the least i - rate·t_i up to j, so one pass over the requests suffices.
    """
    times = sorted(starts_s)
    if not times:
        return WindowCheck(requests=0, excess=-burst, window_s=0.0)
    least, least_at_s = math.inf, times[0]
    worst, window_s = -math.inf, 0.0
    for index, at_s in enumerate(times):
        offset = index - rate_per_s * at_s
        if offset < least:
            least, least_at_s = offset, at_s
        excess = offset - least + 1 - burst
        if excess > worst:
            worst, window_s = excess, at_s - least_at_s
    return WindowCheck(requests=len(times), excess=worst, window_s=window_s)


def first_starts(entries: Iterable[Mapping]) -> list[Mapping]:
    """Keep the first start of each caller's request, since its retries use the same admission."""
    first: dict[str, Mapping] = {}
    for entry in sorted(entries, key=lambda entry: entry["started_at_s"]):
        first.setdefault(entry["request_id"] or entry["caller_token"], entry)
    return list(first.values())


def count_over_limit(
    arrivals_s: Iterable[float], rate_per_s: float, burst: float, wait_s: float
) -> int:
    """Count the arrivals that one token bucket for the whole fleet would refuse.

    :param wait_s: how long a request may wait for its token.
    """
    level, last_s, refused = burst, None, 0
    for at_s in sorted(arrivals_s):
        if last_s is not None:
            level = min(burst, level + rate_per_s * (at_s - last_s))
        last_s = at_s
        if level - 1 >= -rate_per_s * wait_s:
            level -= 1
        else:
            refused += 1
    return refused


def count_over_divided_limit(
    records: Iterable[Mapping], instance_count: int, rate_per_s: float, burst: float, wait_s: float
) -> int:
    """Count the arrivals refused if each instance had an equal part of rate and burst."""
    arrivals: defaultdict[str, list[float]] = defaultdict(list)
    for record in records:
        arrivals[record["instance"]].append(record["at_s"])
    # A bucket that holds less than one token would refuse everything.
    share_burst = max(1.0, burst / instance_count)
    return sum(
        count_over_limit(times, rate_per_s / instance_count, share_burst, wait_s)
        for times in arrivals.values()
    )


def last_before_pause(
    starts_s: Iterable[float], from_s: float, until_s: float, pause_s: float
) -> float | None:
    """Return the last start before the first pause of at least ``pause_s`` in a period.

    :returns: ``from_s`` when the period begins with a pause, ``None`` when there is no pause.
    """
    last_s = from_s
    for at_s in sorted(at_s for at_s in starts_s if from_s <= at_s <= until_s):
        if at_s - last_s >= pause_s:
            return last_s
        last_s = at_s
    return last_s if until_s - last_s >= pause_s else None


def duplicate_keys(entries: Iterable[Mapping]) -> dict[str, int]:
    """Return the idempotency keys of non-idempotent requests that started more than once."""
    runs = Counter(
        entry["idempotency_key"]
        for entry in entries
        if entry["idempotency_key"] and entry["method"] == "POST"
    )
    return {key: count for key, count in runs.items() if count > 1}


def false_not_run(records: Iterable[Mapping], entries: Iterable[Mapping]) -> list[str]:
    """Return the tokens of requests that ran although every response said that they did not."""
    denied: dict[str, bool] = {}
    for record in records:
        token = record["token"]
        denied[token] = denied.get(token, True) and record["executed"] == NOT_RUN
    started = {entry["caller_token"] for entry in entries}
    return sorted(token for token, is_denied in denied.items() if is_denied and token in started)


def refused_requests(records: Iterable[Mapping]) -> list[Mapping]:
    """Keep the requests that were refused without being run."""
    return [record for record in records if record["executed"] == NOT_RUN]


def cut_requests(records: Iterable[Mapping]) -> list[Mapping]:
    """Keep the requests without a complete response: broken off, timed out, or unknown outcome."""
    return [
        record
        for record in records
        if record["result"] in CUT_OFF_RESULTS
        or record["executed"] == "unknown"
        or record["answer"] in ("garbled", "wrong")
    ]


def since_latest_s(at_s: float, earlier_s: Iterable[float]) -> float:
    """Return the time since the latest event before ``at_s``, or infinity without one."""
    return at_s - max((time_s for time_s in earlier_s if time_s <= at_s), default=-math.inf)


def failures_by_reason(records: Iterable[Mapping]) -> list[tuple[str, int]]:
    """Count failed requests by result, reason, workspace, kind and seconds since the latest stop.

    :param records: load records to which ``since_stop_s`` was added.
    """
    counts = Counter(
        f"{record['result']} {record['reason'].rpartition(':')[2]} "
        f"{record['workspace']}/{record['kind']} {record['since_stop_s']:.0f} s"
        for record in records
    )
    return counts.most_common()


def succeeded(record: Mapping) -> bool:
    """Tell whether a request got a complete successful response that belongs to it."""
    return record["result"] == "200" and record["answer"] == "whole"


def quantile(values: Sequence[float], ratio: float) -> float:
    """Return a quantile by the nearest rank, or NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(ratio * len(ordered)) - 1)]


def result_counts(records: Iterable[Mapping]) -> str:
    """Format how often each result occurred."""
    counts = Counter(
        record["result"] + (f" {record['executed']}" if record["executed"] else "")
        for record in records
    )
    return ", ".join(f"{name}: {count}" for name, count in counts.most_common())
