"""The clock that measures terms and intervals."""

import time


def now_s() -> float:
    """Return CLOCK_BOOTTIME in seconds, which also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
