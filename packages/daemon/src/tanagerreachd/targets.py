"""How targets of a platform are spoken to."""

from ._upstream import TargetDialect

__all__ = ["TargetDialect"]
