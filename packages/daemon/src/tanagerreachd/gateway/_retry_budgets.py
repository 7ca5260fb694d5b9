"""Retry budgets of the services at this instance."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tanagerreach_core.placement import InstanceRetryBudget


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryAllowance:
    """Bound on retries of requests to one service over all instances.

    :param ratio: retries for each first try.
    :param allowance: further retries in each window.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryBudgets:
    """This instance's retry budget of each service.

    :param fleet_size: returns the number of instances that share the allowance.
    :param started_s: start of this instance.
    """

    __slots__ = ("_allowance", "_budgets", "_fleet_size", "_started_s")

    def __init__(
        self,
        *,
        allowance: RetryAllowance,
        fleet_size: Callable[[float], int],
        started_s: float,
    ) -> None:
        self._allowance = allowance
        self._fleet_size = fleet_size
        self._started_s = started_s
        self._budgets: dict[str, InstanceRetryBudget] = {}

    def of(self, service: str) -> InstanceRetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = InstanceRetryBudget(
                ratio=self._allowance.ratio,
                allowance=self._allowance.allowance,
                window_s=self._allowance.window_s,
                fleet_size=self._fleet_size,
                allowance_from_s=self._started_s + self._allowance.window_s,
            )
        return budget

    def drop_all_except(self, services: Iterable[str]) -> None:
        """Drop the budgets of services that no longer exist."""
        for name in set(self._budgets) - set(services):
            del self._budgets[name]
