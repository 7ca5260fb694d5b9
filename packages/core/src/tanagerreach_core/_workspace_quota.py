"""Rate and burst of workspaces, kept by each workspace's home over the live instances.

Load pattern: one workspace sends many times its rate through all instances. A home refills its
buckets by the share of the fleet that it hears, so that two homes on the two sides of a partition
issue no more than the rate together. Until the silence of the other side shows, a home that has
just taken over counts only the instances that ask it.
"""

from ._rate import WorkspaceLimit

# A home that has just taken over does not know what the former home issued.
FIRST_LEVEL_SHARE = 0.5
FIRST_LEVEL_MAX = 15.0
TAKE_OVER_S = 6.0
"""Time after which the former home's silence, and what it issued, no longer matter: longer than the
silence after which an instance is taken for dead, and than the window that a quota is judged by."""


class _Bucket:
    __slots__ = ("askers", "is_first", "level", "limit", "taken_over_s", "updated_s")

    def __init__(self, limit: WorkspaceLimit, now_s: float) -> None:
        self.limit = limit
        self.updated_s = now_s
        self.is_first = False
        self.level = 0.0
        self.taken_over_s = now_s
        self.askers: dict[str, float] = {}
        self.take_over(now_s)
        self.level = min(FIRST_LEVEL_MAX, FIRST_LEVEL_SHARE * limit.burst)

    def take_over(self, now_s: float) -> None:
        self.taken_over_s = now_s
        self.level = min(self.level, FIRST_LEVEL_MAX, FIRST_LEVEL_SHARE * self.limit.burst)

    def heard_share(self, asker: str, fleet_size: int, now_s: float) -> float:
        self.askers[asker] = now_s
        silent = [name for name, at_s in self.askers.items() if now_s - at_s > TAKE_OVER_S]
        for name in silent:
            del self.askers[name]
        return len(self.askers) / max(1, fleet_size)


class WorkspaceQuota:
    """Token buckets of the workspaces that are homed at one instance."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self,
        workspace: str,
        limit: WorkspaceLimit,
        now_s: float,
        *,
        asker: str,
        fleet_share: float,
        fleet_size: int,
        is_first: bool,
    ) -> float:
        """Take one request from a workspace's quota.

        :param limit: the limit in force.
        :param asker: the instance that asks.
        :param fleet_share: part of the fleet that this home hears, from 0 to 1.
        :param fleet_size: instances that are known.
        :param is_first: whether this home comes first for the workspace, as far as it knows.
        :returns: 0 when it is granted, otherwise the time until a token will be there.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(limit, now_s)
        elif is_first and not bucket.is_first:
            bucket.take_over(now_s)
        bucket.is_first = is_first
        heard_share = bucket.heard_share(asker, fleet_size, now_s)
        if not is_first or now_s - bucket.taken_over_s < TAKE_OVER_S:
            fleet_share = min(fleet_share, heard_share)
        rate_per_s = limit.rate_per_s * fleet_share
        grown = max(0.0, now_s - bucket.updated_s) * min(rate_per_s, bucket.limit.rate_per_s)
        room = max(1.0, limit.burst * fleet_share, min(bucket.level, limit.burst))
        bucket.level = min(room, bucket.level + grown)
        bucket.updated_s = now_s
        bucket.limit = limit
        if bucket.level >= 1:
            bucket.level -= 1
            return 0.0
        return (1 - bucket.level) / rate_per_s if rate_per_s > 0 else 1.0

    def keep_only(self, workspaces: set[str]) -> None:
        """Forget buckets of workspaces that no longer exist."""
        for name in set(self._buckets) - workspaces:
            del self._buckets[name]
