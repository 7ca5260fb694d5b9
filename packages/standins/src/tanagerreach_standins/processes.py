"""Process control for tests, the quick start and measurements.

:class:`ProcessGroup` is a context manager that ends the processes it started, by process id::

    with ProcessGroup() as group:
        store = group.start_standin("store", writes_per_s=300)
        store.call("PUT", "/control/state", {"mode": "down"})
"""

from ._processes import (
    ControlError,
    ProcessGroup,
    ProcessStartError,
    StartedProcess,
    free_port,
    http_json,
    standin_arguments,
)

__all__ = [
    "ControlError",
    "ProcessGroup",
    "ProcessStartError",
    "StartedProcess",
    "free_port",
    "http_json",
    "standin_arguments",
]
