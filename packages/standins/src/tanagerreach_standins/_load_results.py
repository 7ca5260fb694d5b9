"""Result counts and latencies of a caller load."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from ._load_client import Outcome

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class LatencyHistogram:
    """Histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, latency_s: float) -> None:
        """Record one latency."""
        self._histogram.record_value(int(latency_s * US_PER_S))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / US_PER_MS

    def summary(self) -> dict[str, float]:
        """Return the percentiles of :data:`PERCENTILES` and the maximum, in milliseconds."""
        latencies = {name: self.percentile_ms(value) for name, value in PERCENTILES.items()}
        latencies["max"] = self._histogram.get_max_value() / US_PER_MS
        return latencies


class Tally:
    """Outcome counts of a group of requests, and latencies of those that succeeded."""

    def __init__(self) -> None:
        self.succeeded = 0
        self.results: Counter[str] = Counter()
        self.executed: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self._latencies = LatencyHistogram()

    def add(self, outcome: Outcome, latency_s: float) -> None:
        """Count one request."""
        self.results[outcome.result] += 1
        if outcome.executed:
            self.executed[outcome.executed] += 1
        if outcome.answer:
            self.answers[outcome.answer] += 1
        if outcome.succeeded:
            self.succeeded += 1
            self._latencies.add(latency_s)

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self._latencies.percentile_ms(percentile)

    def summary(self) -> dict[str, object]:
        """Return the tally as JSON content."""
        sent = self.results.total()
        return {
            "sent": sent,
            "succeeded": self.succeeded,
            "success_ratio": self.succeeded / sent if sent else None,
            "results": dict(self.results),
            "executed": dict(self.executed),
            "answers": dict(self.answers),
            "latency_ms": self._latencies.summary() if self.succeeded else {},
        }


class LoadResults:
    """Tallies of a load: in total, by workspace, by kind of request and by instance."""

    def __init__(self) -> None:
        self.total = Tally()
        self.since_send = LatencyHistogram()
        self.workspaces: defaultdict[str, Tally] = defaultdict(Tally)
        self.kinds: defaultdict[str, Tally] = defaultdict(Tally)
        self.instances: defaultdict[str, Tally] = defaultdict(Tally)
        self.started = 0
        self.max_in_flight = 0
        self.max_lag_s = 0.0
        self.elapsed_s = 0.0

    def add(
        self,
        workspace: str,
        kind: str,
        instance: str,
        outcome: Outcome,
        latency_s: float,
        since_send_s: float,
    ) -> None:
        """Count one request in the total and in each of its groups.

        :param latency_s: time from the planned start to the end.
        :param since_send_s: time from the actual start to the end.
        """
        if outcome.succeeded:
            self.since_send.add(since_send_s)
        self.total.add(outcome, latency_s)
        self.workspaces[workspace].add(outcome, latency_s)
        self.kinds[kind].add(outcome, latency_s)
        self.instances[instance].add(outcome, latency_s)

    def summary(self) -> dict[str, object]:
        """Return all results as JSON content.

        ``max_lag_ms`` is the longest delay between the planned and the actual start of a request; a
        large value means that the process could not keep up with its plan. Latencies count from the
        planned start, and ``since_send_ms`` from the actual one, which excludes the 1 ms resolution
        of the event loop's timers.
        """
        return {
            "elapsed_s": round(self.elapsed_s, 3),
            "started": self.started,
            "started_per_s": round(self.started / self.elapsed_s, 1) if self.elapsed_s else 0.0,
            "max_in_flight": self.max_in_flight,
            "max_lag_ms": round(self.max_lag_s * 1000, 3),
            "total": self.total.summary(),
            "since_send_ms": self.since_send.summary() if self.total.succeeded else {},
            "workspaces": summaries(self.workspaces),
            "kinds": summaries(self.kinds),
            "instances": summaries(self.instances),
        }


def summaries(tallies: dict[str, Tally]) -> dict[str, object]:
    """Return the summaries of a group's tallies, sorted by name."""
    return {name: tallies[name].summary() for name in sorted(tallies)}
