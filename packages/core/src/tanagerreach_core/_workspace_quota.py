"""Rate and burst of workspaces, enforced by each workspace's home.

Guards against a workspace that sends many times its rate through all instances. A home scales the
refill of its buckets by the share of the fleet from which it receives heartbeats, so two homes on
the two sides of a partition together issue no more than the rate. While another instance may act as
the home too, this one counts only the instances that send it requests.
"""

from ._rate import WorkspaceLimit

# A new home does not know what the former home issued, so its buckets start partly filled.
INITIAL_LEVEL_SHARE = 0.5
INITIAL_LEVEL_MAX = 10.0
REQUESTER_EXPIRY_S = 6.0
# Rate that a home issues at least while another home may be active: few instances send requests of
# a workspace with a low rate, and over that time the excess stays below what the platform tolerates
# (20 requests).
DISPUTED_RATE_MIN_PER_S = 2.0


class _Bucket:
    __slots__ = ("requesters", "is_disputed", "level", "limit", "updated_s")

    def __init__(self, limit: WorkspaceLimit, fleet_share: float, now_s: float) -> None:
        self.limit = limit
        self.updated_s = now_s
        self.is_disputed = False
        self.level = min(INITIAL_LEVEL_MAX, min(INITIAL_LEVEL_SHARE, fleet_share) * limit.burst)
        self.requesters: dict[str, float] = {}

    def record_dispute(self, is_disputed: bool) -> None:
        if is_disputed and not self.is_disputed:
            self.level = min(self.level, INITIAL_LEVEL_MAX, INITIAL_LEVEL_SHARE * self.limit.burst)
        self.is_disputed = is_disputed

    def requester_share(self, requester: str, fleet_size: int, now_s: float) -> float:
        self.requesters[requester] = now_s
        silent = [
            name for name, at_s in self.requesters.items() if now_s - at_s > REQUESTER_EXPIRY_S
        ]
        for name in silent:
            del self.requesters[name]
        return len(self.requesters) / max(1, fleet_size)


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
        requester: str,
        fleet_share: float,
        fleet_size: int,
        is_disputed: bool,
    ) -> float:
        """Take one request from a workspace's quota.

        :param limit: the current limit.
        :param requester: the instance that sent the request.
        :param fleet_share: live share of the fleet, as this home sees it, from 0 to 1.
        :param fleet_size: number of known instances.
        :param is_disputed: whether another instance may act as the home at the same time.
        :returns: 0 when the request is granted, otherwise the seconds until a token is available.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(limit, fleet_share, now_s)
        bucket.record_dispute(is_disputed)
        requester_share = bucket.requester_share(requester, fleet_size, now_s)
        rate_per_s = limit.rate_per_s * fleet_share
        if is_disputed:
            fleet_share = min(fleet_share, requester_share)
            min_rate_per_s = min(rate_per_s, DISPUTED_RATE_MIN_PER_S)
            rate_per_s = max(min_rate_per_s, limit.rate_per_s * fleet_share)
        accrued = max(0.0, now_s - bucket.updated_s) * min(rate_per_s, bucket.limit.rate_per_s)
        room = max(1.0, limit.burst * fleet_share, min(bucket.level, limit.burst))
        bucket.level = min(room, bucket.level + accrued)
        bucket.updated_s = now_s
        bucket.limit = limit
        if bucket.level >= 1:
            bucket.level -= 1
            return 0.0
        return (1 - bucket.level) / rate_per_s if rate_per_s > 0 else 1.0

    def drop_all_except(self, workspaces: set[str]) -> None:
        """Drop the buckets of workspaces that no longer exist."""
        for name in set(self._buckets) - workspaces:
            del self._buckets[name]
