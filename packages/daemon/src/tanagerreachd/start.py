"""Public interface for programs that start an instance."""

from ._line_stream import LineStream
from ._listeners import AddressError
from ._logs import InstanceLog

__all__ = ["AddressError", "InstanceLog", "LineStream"]
