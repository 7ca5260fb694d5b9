"""Metrics of callers' requests."""

from typing import TYPE_CHECKING

from tanagerreach_core.traffic import Outcome

from ._metrics import Metrics
from ._refusals import RefusalError

if TYPE_CHECKING:
    from ._request_context import RequestContext

STATUS_CLASS_DIVISOR = 100


class ProxyMetrics:
    """Counters and latencies of requests.

    :param metrics: the instance's metrics.
    """

    __slots__ = ("_added", "_responses", "_failed_tries", "_refusals", "_total")

    def __init__(self, *, metrics: Metrics) -> None:
        self._responses = metrics.counter(
            "tanagerreach_answers_total",
            "Answers of backend servers that were passed on.",
            ("service", "status_class"),
        )
        self._refusals = metrics.counter(
            "tanagerreach_refusals_total", "Refused requests.", ("kind", "executed")
        )
        self._failed_tries = metrics.counter(
            "tanagerreach_failed_tries_total",
            "Tries at targets that gave no usable answer.",
            ("service", "outcome"),
        )
        self._total = metrics.latency(
            "tanagerreach_request_seconds", "Time from a request's head to its answer."
        )
        self._added = metrics.latency(
            "tanagerreach_added_seconds", "Time of a request that was not spent at targets."
        )

    def record_response(self, context: "RequestContext", status: int, now_s: float) -> None:
        """Count a forwarded response and its latency."""
        self._responses.add(1, context.match.service.name, f"{status // STATUS_CLASS_DIVISOR}xx")
        total_s = now_s - context.arrived_s
        self._total.record(total_s)
        self._added.record(max(0.0, total_s - context.upstream_s))

    def record_refusal(self, refusal: RefusalError) -> None:
        """Count a refusal."""
        self._refusals.add(1, refusal.kind, refusal.executed.value)

    def record_failed_try(self, context: "RequestContext", outcome: Outcome | None) -> None:
        """Count a try that failed."""
        name = "unknown" if outcome is None else outcome.name.lower()
        self._failed_tries.add(1, context.match.service.name, name)
