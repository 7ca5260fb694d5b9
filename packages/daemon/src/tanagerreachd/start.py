"""What a program needs that starts an instance."""

from ._line_stream import LineStream
from ._listeners import AddressError
from ._logs import InstanceLog

__all__ = ["AddressError", "InstanceLog", "LineStream"]
