"""Counters, gauges and latency histograms of one instance."""

import re
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from typing import Any

from hdrh.histogram import HdrHistogram

US_PER_S = 1_000_000
LATENCY_MIN_US = 1
LATENCY_MAX_US = 120 * US_PER_S
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PERCENT = 100
# Label values come partly from the configuration. Beyond these limits they share one series, so
# that memory stays bounded; a histogram takes about 20 KB.
COUNTER_SERIES_LIMIT = 2048
HISTOGRAM_SERIES_LIMIT = 128
OVERFLOW_LABEL = "other"
_NAME = re.compile(r"[a-z][a-z0-9_]*")


class Metric(ABC):
    """Metric with one series per combination of label values.

    :param name: Prometheus name.
    :param description: one sentence for operators.
    :param labels: names of the labels.
    :param series_limit: maximum number of series.
    :raises ValueError: when a name is not lower-case letters, digits and underscores.
    """

    prometheus_type = ""

    def __init__(
        self, *, name: str, description: str, labels: tuple[str, ...], series_limit: int
    ) -> None:
        for text in (name, *labels):
            if not _NAME.fullmatch(text):
                raise ValueError(f"metric or label name {text!r} must consist of a-z, 0-9 and _")
        self.name = name
        self.description = description
        self.labels = labels
        self._series_limit = series_limit
        self._series: dict[tuple[str, ...], Any] = {}

    def _series_key(self, values: tuple[str, ...]) -> tuple[str, ...]:
        if values in self._series:
            return values
        if len(values) != len(self.labels):
            raise ValueError(f"metric {self.name} takes the labels {self.labels}, not {values}")
        # One series is reserved for all label values beyond the limit.
        if len(self._series) >= self._series_limit - 1 and values:
            return (OVERFLOW_LABEL,) * len(values)
        return values

    def to_json(self) -> list[dict[str, Any]]:
        """Return one JSON object per series."""
        return [
            {"labels": dict(zip(self.labels, key, strict=True)), **self._json_value(value)}
            for key, value in self._current_series()
        ]

    def to_prometheus(self) -> Iterator[str]:
        """Yield lines in the Prometheus text format."""
        yield f"# HELP {self.name} {_escape(self.description)}"
        yield f"# TYPE {self.name} {self.prometheus_type}"
        for key, value in self._current_series():
            yield from self._prometheus_lines(dict(zip(self.labels, key, strict=True)), value)

    def _current_series(self) -> list[tuple[tuple[str, ...], Any]]:
        return list(self._series.items())

    @abstractmethod
    def _json_value(self, value: Any) -> dict[str, Any]: ...

    @abstractmethod
    def _prometheus_lines(self, labels: dict[str, str], value: Any) -> Iterator[str]: ...


class _SingleValueMetric(Metric):
    def _json_value(self, value: Any) -> dict[str, Any]:
        return {"value": value}

    def _prometheus_lines(self, labels: dict[str, str], value: Any) -> Iterator[str]:
        yield f"{self.name}{_label_text(labels)} {value}"


class Counter(_SingleValueMetric):
    """Counter that never decreases."""

    prometheus_type = "counter"

    def add(self, amount: float = 1, *label_values: str) -> None:
        """Increase the count of one series.

        :param label_values: one value per label, in the order of declaration.
        """
        key = self._series_key(label_values)
        self._series[key] = self._series.get(key, 0) + amount

    def value(self, *label_values: str) -> float:
        """Return the count of one series; 0 if it was never increased."""
        return self._series.get(label_values, 0)


class Gauge(_SingleValueMetric):
    """Metric whose value is read when the metrics are rendered.

    :param read: returns the current value.
    """

    prometheus_type = "gauge"

    def __init__(self, *, name: str, description: str, read: Callable[[], float]) -> None:
        super().__init__(name=name, description=description, labels=(), series_limit=1)
        self._read = read

    def _current_series(self) -> list[tuple[tuple[str, ...], Any]]:
        return [((), self._read())]


class Gauges(_SingleValueMetric):
    """Metric whose values are read by their labels when the metrics are rendered.

    :param read: returns the current values by label values.
    """

    prometheus_type = "gauge"

    def __init__(
        self,
        *,
        name: str,
        description: str,
        labels: tuple[str, ...],
        read: Callable[[], dict[tuple[str, ...], float]],
    ) -> None:
        super().__init__(
            name=name, description=description, labels=labels, series_limit=COUNTER_SERIES_LIMIT
        )
        self._read = read

    def _current_series(self) -> list[tuple[tuple[str, ...], Any]]:
        return list(self._read().items())[: self._series_limit]


class _LatencySeries:
    __slots__ = ("histogram", "sum_us")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
        self.sum_us = 0

    def quantile_s(self, quantile: float) -> float:
        return self.histogram.get_value_at_percentile(quantile * PERCENT) / US_PER_S


class LatencyHistogram(Metric):
    """Distribution of durations, from 1 µs to 120 s."""

    prometheus_type = "summary"

    def record(self, duration_s: float, *label_values: str) -> None:
        """Record one duration, clamped to the range."""
        key = self._series_key(label_values)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _LatencySeries()
        duration_us = int(min(max(duration_s * US_PER_S, LATENCY_MIN_US), LATENCY_MAX_US))
        series.histogram.record_value(duration_us)
        series.sum_us += duration_us

    def _json_value(self, value: _LatencySeries) -> dict[str, Any]:
        quantiles = {str(quantile): value.quantile_s(quantile) for quantile in QUANTILES}
        return {
            "count": value.histogram.get_total_count(),
            "sum_s": value.sum_us / US_PER_S,
            "max_s": value.histogram.get_max_value() / US_PER_S,
            "quantiles_s": quantiles,
        }

    def _prometheus_lines(self, labels: dict[str, str], value: _LatencySeries) -> Iterator[str]:
        for quantile in QUANTILES:
            quantile_labels = _label_text({**labels, "quantile": str(quantile)})
            yield f"{self.name}{quantile_labels} {value.quantile_s(quantile)}"
        yield f"{self.name}_sum{_label_text(labels)} {value.sum_us / US_PER_S}"
        yield f"{self.name}_count{_label_text(labels)} {value.histogram.get_total_count()}"


class Metrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self._metrics: dict[str, Metric] = {}

    def counter(self, name: str, description: str, labels: tuple[str, ...] = ()) -> Counter:
        """Declare a counter."""
        return self._declare(
            Counter(
                name=name,
                description=description,
                labels=labels,
                series_limit=COUNTER_SERIES_LIMIT,
            )
        )

    def latency(
        self, name: str, description: str, labels: tuple[str, ...] = ()
    ) -> LatencyHistogram:
        """Declare a latency histogram; its name ends in ``_seconds`` by convention."""
        return self._declare(
            LatencyHistogram(
                name=name,
                description=description,
                labels=labels,
                series_limit=HISTOGRAM_SERIES_LIMIT,
            )
        )

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> Gauge:
        """Declare a gauge."""
        return self._declare(Gauge(name=name, description=description, read=read))

    def gauges(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...],
        read: Callable[[], dict[tuple[str, ...], float]],
    ) -> Gauges:
        """Declare a gauge with labels."""
        return self._declare(Gauges(name=name, description=description, labels=labels, read=read))

    def to_json(self) -> dict[str, Any]:
        """Return all metrics as one JSON object."""
        return {
            name: {
                "type": metric.prometheus_type,
                "description": metric.description,
                "series": metric.to_json(),
            }
            for name, metric in sorted(self._metrics.items())
        }

    def to_prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for _, metric in sorted(self._metrics.items()):
            lines.extend(metric.to_prometheus())
        return "\n".join(lines) + "\n"

    def _declare(self, metric: Any) -> Any:
        if metric.name in self._metrics:
            raise ValueError(f"metric {metric.name} is declared twice")
        self._metrics[metric.name] = metric
        return metric


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _label_text(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    parts = []
    for name, value in labels.items():
        escaped = _escape(str(value)).replace('"', '\\"')
        parts.append(f'{name}="{escaped}"')
    return "{" + ",".join(parts) + "}"
