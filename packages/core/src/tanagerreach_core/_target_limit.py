"""Rate limit that a target named, enforced by its service's home.

Load pattern: most targets of a service name a limit far below what they usually take, while homes
move. Each instance lends its part of the limit to the home that it uses, so a home refills by the
part of the fleet that uses it. It starts empty, as another home may just have used the limit up.
"""

# Most requests that a target gets at once, in seconds of its limit.
BURST_S = 1.0


class TargetLimit:
    """Token bucket of one target at one home.

    :param rate_per_s: requests per second that the target takes from the whole fleet.
    :param lent_share: share of the fleet that lends its part to this home, from 0 to 1.
    """

    __slots__ = ("_lent_share", "_level", "_updated_s", "rate_per_s")

    def __init__(self, *, rate_per_s: float, lent_share: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._lent_share = lent_share
        self._level = 0.0
        self._updated_s = now_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Set the limit that the target named last."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s

    def set_lent_share(self, lent_share: float, now_s: float) -> None:
        """Set the share of the fleet that lends its part to this home."""
        # A part that was lent since the last refill may have been used at another home before.
        self._lent_share = min(self._lent_share, lent_share)
        self._refill(now_s)
        self._lent_share = lent_share

    def has_token(self, now_s: float) -> bool:
        """Return whether the target may get a request now."""
        self._refill(now_s)
        return self._level >= 1

    def take(self, now_s: float) -> None:
        """Count a request that the target gets."""
        self._refill(now_s)
        self._level -= 1

    @property
    def usable_rate_per_s(self) -> float:
        """Requests per second that this home may send to the target."""
        return self.rate_per_s * self._lent_share

    def _refill(self, now_s: float) -> None:
        rate_per_s = self.usable_rate_per_s
        most = max(1.0, BURST_S * rate_per_s)
        accrued = max(0.0, now_s - self._updated_s) * rate_per_s
        self._level = min(most, self._level + accrued)
        self._updated_s = now_s
