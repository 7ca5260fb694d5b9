"""Ejections of a service's targets, bounded by its floor."""

from collections.abc import Iterable
from dataclasses import dataclass

# Term of an ejection at an instance; the home renews it in each reply.
EJECTION_TERM_S = 2.0
INITIAL_DURATION_S = 5.0
MAX_DURATION_S = 320.0
# Each such time in service without an ejection halves the duration of the next one.
LEVEL_DECAY_S = 60.0


@dataclass(slots=True, kw_only=True)
class _History:
    """Ejections of one target so far."""

    level: int = 0
    ejected_until_s: float | None = None
    returned_at_s: float | None = None
    issued_until_s: float = 0.0


class EjectionBudget:
    """Ejected targets of one service, and whether one more may be ejected.

    The floor holds at every instance: a target counts as out of service while it is ejected, while
    an ejection verdict may still be in force at an instance, and while it is not warm.

    :param floor: number of targets that ejections must leave in service.
    """

    __slots__ = ("_histories", "floor")

    def __init__(self, *, floor: int) -> None:
        self.floor = floor
        self._histories: dict[str, _History] = {}

    def may_eject(self, target: str, in_service: Iterable[str], now_s: float) -> bool:
        """Return whether the floor holds without the target.

        :param in_service: targets that are warm and get requests.
        """
        others = [
            name
            for name in in_service
            if name != target and not self.counts_as_out_of_service(name, now_s)
        ]
        return len(others) >= self.floor

    def eject(self, target: str, in_service: Iterable[str], now_s: float) -> bool:
        """Eject a target if the floor allows it.

        Each further ejection of a target lasts twice as long.

        :returns: whether the target is ejected.
        """
        if not self.may_eject(target, in_service, now_s):
            return False
        history = self._histories.setdefault(target, _History())
        self._decay_level(history, now_s)
        duration_s = min(MAX_DURATION_S, INITIAL_DURATION_S * 2**history.level)
        history.level += 1
        history.ejected_until_s = now_s + duration_s
        return True

    def is_ejected(self, target: str) -> bool:
        """Return whether the target is ejected at present."""
        history = self._histories.get(target)
        return history is not None and history.ejected_until_s is not None

    def counts_as_out_of_service(self, target: str, now_s: float) -> bool:
        """Return whether the target is ejected or an ejection verdict may still be in force."""
        history = self._histories.get(target)
        if history is None:
            return False
        return history.ejected_until_s is not None or history.issued_until_s > now_s

    def renewals(self, now_s: float) -> list[str]:
        """Return the ejected targets, and renew their terms as of a reply that is sent now."""
        renewed = [name for name in self._histories if self.is_ejected(name)]
        for name in renewed:
            self._histories[name].issued_until_s = now_s + EJECTION_TERM_S
        return renewed

    def due_returns(self, now_s: float) -> list[str]:
        """End the ejections whose duration has passed, and return their targets."""
        returned = [
            name
            for name, history in self._histories.items()
            if history.ejected_until_s is not None and history.ejected_until_s <= now_s
        ]
        for name in returned:
            self._end(self._histories[name], now_s)
        return returned

    def end_all(self, now_s: float) -> list[str]:
        """End every ejection, as the home has lost the exclusive right."""
        ended = [name for name in self._histories if self.is_ejected(name)]
        for name in ended:
            self._end(self._histories[name], now_s)
        return ended

    def drop(self, targets: Iterable[str]) -> None:
        """Drop targets that are no longer part of the service."""
        for name in targets:
            self._histories.pop(name, None)

    @staticmethod
    def _end(history: _History, now_s: float) -> None:
        history.ejected_until_s = None
        history.returned_at_s = now_s

    @staticmethod
    def _decay_level(history: _History, now_s: float) -> None:
        if history.returned_at_s is None:
            return
        steps = int((now_s - history.returned_at_s) / LEVEL_DECAY_S)
        history.level = max(0, history.level - steps)
