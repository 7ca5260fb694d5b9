"""Rate and burst of workspaces, kept by each workspace's home over the live instances.

Load pattern: one workspace sends many times its rate through all instances. A home refills its
buckets by the share of the fleet that it hears, so that two homes on the two sides of a partition
never issue more than the rate together.
"""

from ._rate import WorkspaceLimit

# A home that has just taken over does not know what the former home issued.
FIRST_LEVEL_SHARE = 0.5
FIRST_LEVEL_MAX = 15.0


class _Bucket:
    __slots__ = ("level", "limit", "updated_s")

    def __init__(self, limit: WorkspaceLimit, now_s: float) -> None:
        self.limit = limit
        self.level = min(FIRST_LEVEL_MAX, FIRST_LEVEL_SHARE * limit.burst)
        self.updated_s = now_s


class WorkspaceQuota:
    """Token buckets of the workspaces that are homed at one instance."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, workspace: str, limit: WorkspaceLimit, fleet_share: float, now_s: float
    ) -> float:
        """Take one request from a workspace's quota.

        :param limit: the limit in force.
        :param fleet_share: part of the fleet that this home hears, from 0 to 1.
        :returns: 0 when it is granted, otherwise the time until a token will be there.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(limit, now_s)
        rate_per_s = limit.rate_per_s * fleet_share
        grown = max(0.0, now_s - bucket.updated_s) * min(rate_per_s, bucket.limit.rate_per_s)
        bucket.level = min(max(1.0, limit.burst * fleet_share), bucket.level + grown)
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
