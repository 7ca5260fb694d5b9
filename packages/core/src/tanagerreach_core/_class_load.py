"""Load of a service's slots by the priority and urgency of its requests.

Load pattern: lookups of a tenth of a second share targets with uploads and bookings that take three
times as long. By one mean for all of them, a home would refuse lookups that still fit into their
latency objective, and queue uploads for longer than they can wait. Uploads that are queued also
wait for the lookups that arrive later, which leave them only a part of the slots.
"""

import math
from dataclasses import dataclass

MEAN_WEIGHT = 0.05
LOAD_WINDOW_S = 2.0
# Share of the slots that is expected for less urgent requests at least.
LEAST_SHARE_LEFT = 0.1

Rank = tuple[int, bool, int]
"""Priority, whether the latency objective was missed, and urgency; the lower goes first."""


@dataclass(slots=True, kw_only=True)
class _Load:
    """Slots that the requests of one rank have used lately."""

    slot_count: float
    updated_s: float


class ClassLoad:
    """Mean latencies by urgency, and the slots that the requests of each rank use."""

    __slots__ = ("_loads", "_means_s")

    def __init__(self) -> None:
        self._means_s: dict[int, float] = {}
        self._loads: dict[Rank, _Load] = {}

    @property
    def is_mixed(self) -> bool:
        """Whether requests of several urgencies were served."""
        return len(self._means_s) > 1

    def mean_s(self, urgency: int, service_mean_s: float) -> float:
        """Return the mean latency of a class; the service's unless its requests differ."""
        if not self.is_mixed:
            return service_mean_s
        return self._means_s.get(urgency, service_mean_s)

    def record_served(
        self, rank: Rank, latency_s: float, service_mean_s: float, now_s: float
    ) -> None:
        """Record a request that was served.

        :param service_mean_s: mean of the whole service, from which a new class starts.
        """
        mean_s = self._means_s.get(rank[-1], service_mean_s)
        self._means_s[rank[-1]] = mean_s + MEAN_WEIGHT * (latency_s - mean_s)
        load = self._loads.setdefault(rank, _Load(slot_count=0.0, updated_s=now_s))
        load.slot_count = _decayed(load, now_s) + latency_s / LOAD_WINDOW_S
        load.updated_s = now_s

    def share_left(self, rank: Rank, slot_count: float, now_s: float) -> float:
        """Return the share of the slots that more urgent requests leave to a rank.

        :param slot_count: slots of all targets.
        """
        used = sum(_decayed(load, now_s) for other, load in self._loads.items() if other < rank)
        return max(LEAST_SHARE_LEFT, 1 - used / max(1.0, slot_count))


def _decayed(load: _Load, now_s: float) -> float:
    return load.slot_count * math.exp(-max(0.0, now_s - load.updated_s) / LOAD_WINDOW_S)
