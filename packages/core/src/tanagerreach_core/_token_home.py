"""Grants tokens for the workspaces whose home is this instance."""

import random
from collections.abc import Callable

from ._drift import DRIFT_MARGIN_RATIO
from ._loans import HeldLoans
from ._messages import TokenDemand, TokenGrant, TokenReply, TokenRequest
from ._rate import RETRY_AFTER_MAX_S, WorkspaceBucket, WorkspaceLimit
from ._rendezvous import workspace_rendezvous_key

GRANT_ID_BITS = 63
GRANT_ID_START_BITS = 62
DROP_BATCH = 256


class TokenHome:
    """Token buckets of the workspaces that were requested at this instance's home slots.

    :param held: loans that the instance holds.
    :param limit_of: returns rate per second and burst of a workspace, or ``None`` when there is no
        such workspace.
    :param random: source of the first grant id. Ids start at a random number, so that a report on
        a grant of an earlier incarnation of this instance settles no grant of the present one.
    :param drift_margin_ratio: fraction of the rate that is not issued, since this instance's clock
        may be fast.
    """

    __slots__ = (
        "_held",
        "_limit_of",
        "_margin_factor",
        "_buckets",
        "_keys_to_check",
        "_next_grant_id",
    )

    def __init__(
        self,
        *,
        held: HeldLoans,
        limit_of: Callable[[str], tuple[float, float] | None],
        random: random.Random,
        drift_margin_ratio: float = DRIFT_MARGIN_RATIO,
    ) -> None:
        self._held = held
        self._limit_of = limit_of
        self._margin_factor = 1 - drift_margin_ratio
        self._buckets: dict[tuple[int, str], WorkspaceBucket] = {}
        self._keys_to_check: list[tuple[int, str]] = []
        self._next_grant_id = random.getrandbits(GRANT_ID_START_BITS) + 1

    def __len__(self) -> int:
        return len(self._buckets)

    def handle(self, request: TokenRequest, instance_id: str, now_s: float) -> TokenReply:
        """Settle the reported grants of a token request, and grant tokens for its demands.

        :param instance_id: the instance that sent the request.
        """
        grants = [
            self._grant(token_demand, request.home_slot, instance_id, now_s)
            for token_demand in request.demands
        ]
        return TokenReply(request_id=request.request_id, grants=grants)

    def drop_idle(self, now_s: float, batch: int = DROP_BATCH) -> int:
        """Check the next buckets, and drop those that a new bucket would equal.

        The daemon calls this periodically.


        :returns: the number of dropped buckets.
        """
        if not self._keys_to_check:
            self._keys_to_check = list(self._buckets)
        keys, self._keys_to_check = self._keys_to_check[:batch], self._keys_to_check[batch:]
        dropped = 0
        for key in keys:
            bucket = self._buckets.get(key)
            if bucket is not None and self._may_drop(key, bucket, now_s):
                del self._buckets[key]
                dropped += 1
        return dropped

    def _may_drop(self, key: tuple[int, str], bucket: WorkspaceBucket, now_s: float) -> bool:
        home, workspace = key
        share = self._held.share(workspace_rendezvous_key(workspace), home, now_s)
        limit = self._limit(workspace)
        return bucket.may_drop(share, limit or WorkspaceLimit(0.0, 0.0), now_s)

    def _grant(
        self, token_demand: TokenDemand, home: int, instance_id: str, now_s: float
    ) -> TokenGrant:
        key = (home, token_demand.workspace)
        bucket = self._buckets.get(key)
        share = self._held.share(workspace_rendezvous_key(token_demand.workspace), home, now_s)
        if share.count == 0:
            return TokenGrant(workspace=token_demand.workspace, is_home=False)
        limit = self._limit(token_demand.workspace)
        if limit is None:
            return TokenGrant(workspace=token_demand.workspace, retry_after_s=RETRY_AFTER_MAX_S)
        if bucket is None:
            if token_demand.wanted <= 0:
                return TokenGrant(workspace=token_demand.workspace)
            bucket = self._buckets[key] = WorkspaceBucket(limit=limit)
        grant = bucket.settle_and_grant(
            token_demand,
            grant_id=self._next_grant_id,
            instance_id=instance_id,
            share=share,
            limit=limit,
            now_s=now_s,
        )
        if grant.tokens:
            self._next_grant_id = (self._next_grant_id + 1) % (1 << GRANT_ID_BITS) or 1
        return grant

    def _limit(self, workspace: str) -> WorkspaceLimit | None:
        limit = self._limit_of(workspace)
        if limit is None:
            return None
        rate_per_s, burst = limit
        return WorkspaceLimit(rate_per_s * self._margin_factor, burst)
