"""Requests that a home refused lately, so that it knows those that come back.

Load pattern: more requests arrive than the targets can run, and the callers of those that were
refused come back. Each attempt is a new request, so without this, one whose caller has waited for
most of its latency objective stands beside one that has just arrived, and most are served late. A
request that comes back is known by its fingerprint, and keeps the objective of its first attempt.
"""

from collections import deque
from dataclasses import dataclass

REFUSALS_MAX = 4000


@dataclass(slots=True, kw_only=True)
class _Refusal:
    """A refused request, until it comes back or its deadline passes."""

    fingerprint: bytes
    objective_s: float
    deadline_s: float
    is_back: bool = False


class RefusedRequests:
    """Latency objectives of requests that were refused, by fingerprint."""

    __slots__ = ("_awaited", "_awaited_count", "_refusals")

    def __init__(self) -> None:
        self._awaited: dict[bytes, deque[_Refusal]] = {}
        self._awaited_count = 0
        # In the order of the refusals, with some of those that are back.
        self._refusals: deque[_Refusal] = deque()

    @property
    def awaited_count(self) -> int:
        """Number of refused requests that may come back."""
        return self._awaited_count

    def record(
        self, fingerprint: bytes, *, objective_s: float, deadline_s: float, now_s: float
    ) -> None:
        """Record that a request was refused.

        :param objective_s: time by which a response to its first attempt meets the objective.
        """
        if not fingerprint:
            return
        refusal = _Refusal(fingerprint=fingerprint, objective_s=objective_s, deadline_s=deadline_s)
        self._awaited.setdefault(fingerprint, deque()).append(refusal)
        self._awaited_count += 1
        self._refusals.append(refusal)
        while self._refusals and self._is_needless(self._refusals[0], now_s):
            oldest = self._refusals.popleft()
            if not oldest.is_back:
                self._end(oldest.fingerprint)

    def take_objective_s(self, fingerprint: bytes) -> float | None:
        """Return the objective of a request that comes back, ``None`` for a new one.

        Of several refused requests that are alike, the first one comes back first.
        """
        if fingerprint not in self._awaited:
            return None
        return self._end(fingerprint).objective_s

    def _is_needless(self, refusal: _Refusal, now_s: float) -> bool:
        return refusal.is_back or refusal.deadline_s < now_s or self._awaited_count > REFUSALS_MAX

    def _end(self, fingerprint: bytes) -> _Refusal:
        alike = self._awaited[fingerprint]
        refusal = alike.popleft()
        refusal.is_back = True
        self._awaited_count -= 1
        if not alike:
            del self._awaited[fingerprint]
        return refusal
