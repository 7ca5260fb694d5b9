"""Units of quota that a workspace's home granted lately.

Load pattern: a workspace sends near its rate while targets shed its requests or have no room. A
unit that was taken by a request that has not run would be lost, and so the workspace would get less
than its rate just when most of its requests come back. The instance therefore returns the unit.
Messages may be lost or arrive twice, and a home may have restarted since: it takes back only what
it has granted, once, and grants no second unit to a request that it gets twice.
"""

from collections.abc import Hashable

# Requests of one workspace rarely take longer; a unit that is returned later is lost.
GRANT_EXPIRY_S = 5.0


class QuotaGrants:
    """Granted units by the call that took them."""

    __slots__ = ("_granted_s",)

    def __init__(self) -> None:
        # In the order of the grants.
        self._granted_s: dict[Hashable, float] = {}

    def __contains__(self, key: Hashable) -> bool:
        """Return whether a unit was granted to a call."""
        return key in self._granted_s

    def record(self, key: Hashable, now_s: float) -> None:
        """Record that a unit was granted to a call."""
        while self._granted_s:
            oldest = next(iter(self._granted_s))
            if now_s - self._granted_s[oldest] <= GRANT_EXPIRY_S:
                break
            del self._granted_s[oldest]
        self._granted_s[key] = now_s

    def take_back(self, key: Hashable, now_s: float) -> bool:
        """Take back the unit of a call.

        :returns: false when none was granted, or it was returned before or too late.
        """
        granted_s = self._granted_s.pop(key, None)
        return granted_s is not None and now_s - granted_s <= GRANT_EXPIRY_S
