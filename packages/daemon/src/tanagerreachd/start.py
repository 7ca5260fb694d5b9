"""What a program needs that starts an instance."""

from ._listeners import AddressError
from ._logs import open_log

__all__ = ["AddressError", "open_log"]
