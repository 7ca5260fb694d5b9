"""Rate and burst of workspaces, enforced by each workspace's home.

Guards against a workspace that sends many times its rate through all instances. Each instance owns
an equal part of the rate and lends it to the home that it uses. A home refills its buckets by the
part of the fleet that uses it, so several homes, also on the two sides of a partition, together
issue no more than the rate.
"""

from ._rate import WorkspaceLimit

# A new home does not know what the former home issued, so its buckets start partly filled.
INITIAL_LEVEL_SHARE = 0.5
INITIAL_LEVEL_MAX = 10.0
# Rate that a home issues at least while another home may be active, since it learns only later
# which instances use it. The excess stays below what the platform tolerates (20 requests).
DISPUTED_RATE_MIN_PER_S = 2.0
# Wait at an instance that issues nothing, as the right is about to move.
NO_RATE_WAIT_S = 0.3


class _Bucket:
    __slots__ = ("is_disputed", "level", "limit", "rate_per_s", "updated_s")

    def __init__(self, limit: WorkspaceLimit, initial_share: float, now_s: float) -> None:
        self.limit = limit
        self.updated_s = now_s
        self.is_disputed = False
        self.rate_per_s = 0.0
        self.level = min(INITIAL_LEVEL_MAX, min(INITIAL_LEVEL_SHARE, initial_share) * limit.burst)

    def record_dispute(self, is_disputed: bool) -> None:
        if is_disputed and not self.is_disputed:
            self.level = min(self.level, INITIAL_LEVEL_MAX, INITIAL_LEVEL_SHARE * self.limit.burst)
        self.is_disputed = is_disputed


class WorkspaceQuota:
    """Token buckets of the workspaces whose home is this instance."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self,
        workspace: str,
        limit: WorkspaceLimit,
        now_s: float,
        *,
        fleet_share: float,
        lent_share: float,
        is_disputed: bool,
        initial_share: float | None = None,
    ) -> float:
        """Take one request from a workspace's quota.

        :param limit: the current limit.
        :param fleet_share: live share of the fleet, as this home sees it, from 0 to 1.
        :param lent_share: share of the fleet that uses this home, from 0 to 1.
        :param is_disputed: whether another instance may act as the home at the same time.
        :param initial_share: share of the burst that limits the level of a new bucket; by default
            ``fleet_share``.
        :returns: 0 when the request is granted, otherwise the seconds until a token is available.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            initial_share = fleet_share if initial_share is None else initial_share
            bucket = self._buckets[workspace] = _Bucket(limit, initial_share, now_s)
        bucket.record_dispute(is_disputed)
        rate_per_s = limit.rate_per_s * lent_share
        if is_disputed:
            least_per_s = min(limit.rate_per_s * fleet_share, DISPUTED_RATE_MIN_PER_S)
            rate_per_s = max(least_per_s, rate_per_s)
        # A part of the rate that was lent since then may have been used at another home before.
        accrued = max(0.0, now_s - bucket.updated_s) * min(rate_per_s, bucket.rate_per_s)
        room = max(1.0, limit.burst * lent_share, min(bucket.level, limit.burst))
        bucket.level = min(room, bucket.level + accrued)
        bucket.updated_s = now_s
        bucket.rate_per_s = rate_per_s
        bucket.limit = limit
        if bucket.level >= 1:
            bucket.level -= 1
            return 0.0
        return (1 - bucket.level) / rate_per_s if rate_per_s > 0 else NO_RATE_WAIT_S

    def give_back(self, workspace: str) -> None:
        """Take back one unit that was granted to a request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(bucket.limit.burst, bucket.level + 1)

    def take_level(self, workspace: str) -> float:
        """Empty a workspace's bucket.

        :returns: the units that were in it.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0.0
        level, bucket.level = bucket.level, 0.0
        return level

    def add_level(self, workspace: str, level: float) -> None:
        """Add units to a workspace's bucket, as far as there is one and it has room."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(bucket.limit.burst, bucket.level + level)

    def drop_all_except(self, workspaces: set[str]) -> None:
        """Drop the buckets of workspaces that no longer exist."""
        for name in set(self._buckets) - workspaces:
            del self._buckets[name]
