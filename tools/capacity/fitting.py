"""Measures a cost at several sizes and fits a line to it."""

import gc
import math
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

US_PER_S = 1_000_000
MIN_POINTS = 5
BATCHES = 5
MIN_TIMED_S = 0.01


@dataclass(slots=True, kw_only=True, frozen=True)
class Slope:
    """Line fitted to measured points; ``residual`` is the root mean square of the deviations."""

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost on the line at a size."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, per: str, points: Iterable[tuple[float, float]]) -> Slope:
    """Fit a line to points of size and cost by least squares.

    :raises ValueError: if there are fewer than ``MIN_POINTS`` points.
    """
    points = list(points)
    if len(points) < MIN_POINTS:
        raise ValueError(f"{name}: {len(points)} points; measure at least {MIN_POINTS} sizes")
    sizes = tuple(float(size) for size, _ in points)
    values = tuple(float(value) for _, value in points)
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [(value - intercept - slope * size) ** 2 for size, value in points]
    return Slope(
        name=name,
        unit=unit,
        per=per,
        sizes=sizes,
        values=values,
        slope=slope,
        intercept=intercept,
        residual=math.sqrt(statistics.fmean(squares)),
    )


def doubling(first: int, count: int = MIN_POINTS) -> tuple[int, ...]:
    """Return a series of sizes, each twice the one before."""
    return tuple(first << step for step in range(count))


def cpu_us(action: Callable[[], object]) -> float:
    """Return the CPU time of one call in microseconds, as the least mean of several batches.

    The least is used since other processes on the machine can only increase the time.
    """
    calls = 1
    while True:
        elapsed_s = _batch_s(action, calls)
        if elapsed_s >= MIN_TIMED_S:
            break
        calls *= 2
    best_s = min(elapsed_s, *(_batch_s(action, calls) for _ in range(BATCHES)))
    return best_s / calls * US_PER_S


def _batch_s(action: Callable[[], object], calls: int) -> float:
    started_s = time.process_time()
    for _ in range(calls):
        action()
    return time.process_time() - started_s


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the size of the memory allocated for the value that a function returns."""
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    value = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    del value
    return size_bytes


def measure(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    cost_of: Callable[[int], float],
) -> Slope:
    """Measure a cost at each size and fit a line."""
    return fit(name, unit, per, [(size, cost_of(size)) for size in sizes])
