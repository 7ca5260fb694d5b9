"""Strategies that choose one of the targets that may get a request."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import Protocol


class HasOutstanding(Protocol):
    """A candidate with a number of outstanding requests."""

    outstanding: int


class TargetChooser(ABC):
    """Strategy that chooses one of several candidates."""

    @abstractmethod
    def choose(self, candidates: Sequence[HasOutstanding], random: Random) -> int:
        """Return the index of the chosen candidate; there is at least one."""


class LeastOutstandingOfTwo(TargetChooser):
    """Chooses the candidate with fewer outstanding requests of two random ones."""

    def choose(self, candidates: Sequence[HasOutstanding], random: Random) -> int:
        """Return the index of the less loaded of two candidates drawn at random."""
        count = len(candidates)
        if count == 1:
            return 0
        first = int(random.random() * count)
        second = int(random.random() * (count - 1))
        if second >= first:
            second += 1
        if candidates[second].outstanding < candidates[first].outstanding:
            return second
        return first


class RoundRobin(TargetChooser):
    """Chooses the candidates in turn; the baseline of measurements."""

    def __init__(self) -> None:
        self._turn = -1

    def choose(self, candidates: Sequence[HasOutstanding], random: Random) -> int:
        """Return the next index."""
        self._turn += 1
        return self._turn % len(candidates)
