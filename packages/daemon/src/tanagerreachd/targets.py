"""Public names for platforms that define how their targets communicate."""

from ._upstream import TargetDialect

__all__ = ["TargetDialect"]
