"""Fault switches and rate limiter of the store stand-in."""

import time

import msgspec

MODES = ("up", "down", "hang", "slow")


class StoreFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Fault switches of the store.

    ``lose_answers`` as an integer is the number of following writes whose response is lost after
    the write took effect; as a floating-point number it is the probability of that. ``lag_s`` is
    the lag of the list of instances. A rate of 0 means no limit.
    """

    mode: str = "up"
    delay_s: float = 0.5
    lose_answers: int | float = 0
    lag_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class RateLimiter:
    """Token bucket with a capacity of one second of calls."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._filled_at_s = float("-inf")

    def allows(self, rate_per_s: float) -> bool:
        """Take a token and tell whether the call is within the rate; 0 means no limit."""
        if rate_per_s <= 0:
            return True
        now_s = time.monotonic()
        refill = (now_s - self._filled_at_s) * rate_per_s
        self._tokens = min(max(rate_per_s, 1.0), self._tokens + refill)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
