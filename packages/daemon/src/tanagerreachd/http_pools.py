"""Public connection pools for platforms that call services over HTTP."""

from ._strict_pool import StrictPoolManager

__all__ = ["StrictPoolManager"]
