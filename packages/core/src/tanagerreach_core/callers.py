"""Budgets for the connections of callers."""

from ._caller_budget import BudgetDecision, CallerAccount, CallerBudget

__all__ = ["BudgetDecision", "CallerAccount", "CallerBudget"]
