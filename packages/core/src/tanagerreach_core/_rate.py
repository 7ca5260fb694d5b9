"""Token bucket of a workspace at its home, for a fleet-wide rate and burst.

The bucket's level plus the outstanding tokens stays within the burst share of the loans that the
home holds, and grows only at the rate share. Section 2.3 of ``docs/design.md`` gives the rules.
"""

from dataclasses import dataclass

from ._loans import GRANT_TERM_MAX_S, HeldShare
from ._messages import TokenDemand, TokenGrant

# With a burst below this, a home without all shares may have room for less than one token, so only
# the home with a majority of the shares issues tokens.
SMALL_BURST = 2.0
# A shorter term would end before the instance can use the tokens.
GRANT_TERM_MIN_S = 0.05
RETRY_AFTER_MAX_S = 1.0
RETRY_AFTER_MIN_S = 0.005
# Sums of float shares may fall short of a whole token by rounding.
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True, frozen=True)
class WorkspaceLimit:
    """Rate and burst of a workspace in the whole fleet; the burst is at least one token."""

    rate_per_s: float
    burst: float


@dataclass(slots=True)
class _Outstanding:
    instance_id: str
    tokens: int
    ends_s: float


def capacity(limit: WorkspaceLimit, share_count: int, slot_count: int) -> float:
    """Return the number of tokens for which a home with some shares has room.

    With a burst below :data:`SMALL_BURST`, a home with a majority of the shares has room for at
    least one token and another home has none. So the sum over all homes never exceeds the burst.
    """
    if limit.burst >= SMALL_BURST:
        return limit.burst * share_count / slot_count
    if 2 * share_count <= slot_count:
        return 0.0
    return max(min(1.0, limit.burst), limit.burst * share_count / slot_count)


def grant_term_s(limit: WorkspaceLimit) -> float:
    """Return the term of a grant, short enough that outstanding tokens do not stop the refill."""
    if limit.burst < SMALL_BURST or limit.rate_per_s <= 0:
        return GRANT_TERM_MIN_S
    term_s = limit.burst / (2 * limit.rate_per_s)
    return min(GRANT_TERM_MAX_S, max(GRANT_TERM_MIN_S, term_s))


class WorkspaceBucket:
    """Token bucket of one workspace at its home.

    A new bucket holds the tokens that its shares have accrued since the home got them. So a bucket
    without outstanding tokens may be dropped when it is full, or when the home has no share any
    more: see :meth:`may_drop`.
    """

    __slots__ = ("_limit", "_level", "_updated_s", "_outstanding", "_outstanding_tokens")

    def __init__(self, *, limit: WorkspaceLimit) -> None:
        self._limit = limit
        self._level = 0.0
        self._updated_s = float("-inf")
        self._outstanding: dict[int, _Outstanding] | None = None
        self._outstanding_tokens = 0

    @property
    def level(self) -> float:
        """Tokens that can be granted, as of the last call."""
        return self._level

    @property
    def outstanding_tokens(self) -> int:
        """Tokens of grants that are neither settled nor ended, as of the last call."""
        return self._outstanding_tokens

    def settle_and_grant(
        self,
        token_demand: TokenDemand,
        *,
        grant_id: int,
        instance_id: str,
        share: HeldShare,
        limit: WorkspaceLimit,
        now_s: float,
    ) -> TokenGrant:
        """Settle the grants that an instance reports on, and grant whole tokens for a term.

        :param grant_id: id for the new grant, never used before by this home.
        :param share: the home's shares of the workspace as of ``now_s``.
        :param limit: the current limit; it may have changed since the last call.
        """
        self.refill(share, limit, now_s)
        if token_demand.settled and self._outstanding is not None:
            for settled_id, used in token_demand.settled.items():
                self._settle(settled_id, instance_id, used)
            self._clamp(share)
        tokens = min(max(0, token_demand.wanted), int(self._level + ROUNDING_TOLERANCE))
        if tokens == 0:
            retry_after_s = 0.0 if token_demand.wanted <= 0 else self._retry_after_s(share, now_s)
            return TokenGrant(workspace=token_demand.workspace, retry_after_s=retry_after_s)
        term_s = min(grant_term_s(limit), share.term_limit_s)
        self._level = max(0.0, self._level - tokens)
        if self._outstanding is None:
            self._outstanding = {}
        self._outstanding[grant_id] = _Outstanding(instance_id, tokens, now_s + term_s)
        self._outstanding_tokens += tokens
        return TokenGrant(
            workspace=token_demand.workspace, grant_id=grant_id, tokens=tokens, term_s=term_s
        )

    def refill(self, share: HeldShare, limit: WorkspaceLimit, now_s: float) -> None:
        """Update the level for the elapsed time, the shares and the limit."""
        # A share that the home lost in the meantime returns without its tokens.
        kept = capacity(limit, share.count_since(self._updated_s), share.slot_count)
        self._level = min(self._level, max(0.0, kept - self._outstanding_tokens))
        # It is unknown when the limit changed since the last call, so the lower rate applies.
        rate_per_s = min(limit.rate_per_s, self._limit.rate_per_s)
        self._limit = limit
        if limit.burst < SMALL_BURST:
            self._updated_s = max(self._updated_s, min(now_s, share.majority_since_s))
        # Outstanding tokens take up room until their term ends, so the level is updated to each end
        # in turn. A grant that ends before an older one keeps its room until that one ends too,
        # which is safe.
        while self._outstanding:
            grant_id, oldest = next(iter(self._outstanding.items()))
            if oldest.ends_s > now_s:
                break
            self._accrue(share, rate_per_s, oldest.ends_s)
            self._remove(grant_id)
        self._accrue(share, rate_per_s, now_s)

    def may_drop(self, share: HeldShare, limit: WorkspaceLimit, now_s: float) -> bool:
        """Return whether a new bucket, created later, would hold no more than this one."""
        self.refill(share, limit, now_s)
        if self._outstanding_tokens:
            return False
        if share.live_count == 0:
            return True
        full = capacity(limit, share.live_count, share.slot_count)
        return share.count == share.live_count and self._level >= full

    def _accrue(self, share: HeldShare, rate_per_s: float, until_s: float) -> None:
        if until_s > self._updated_s:
            share_seconds = share.share_seconds(self._updated_s, until_s)
            self._level += rate_per_s * share_seconds / share.slot_count
            self._updated_s = until_s
        self._clamp(share)

    def _clamp(self, share: HeldShare) -> None:
        room = capacity(self._limit, share.count, share.slot_count) - self._outstanding_tokens
        self._level = min(self._level, max(0.0, room))

    def _settle(self, grant_id: int, instance_id: str, used: int) -> None:
        """End a grant that its instance has finished, and return the unused tokens to the level.

        A grant whose term has ended is no longer recorded, and counts as used in full.
        """
        outstanding = None if self._outstanding is None else self._outstanding.get(grant_id)
        if outstanding is None or outstanding.instance_id != instance_id:
            return
        self._level += outstanding.tokens - min(max(0, used), outstanding.tokens)
        self._remove(grant_id)

    def _retry_after_s(self, share: HeldShare, now_s: float) -> float:
        """Estimate the time until a whole token is available."""
        rate_per_s = self._limit.rate_per_s * share.count / share.slot_count
        room = capacity(self._limit, share.count, share.slot_count)
        if rate_per_s <= 0 or room < 1:
            return RETRY_AFTER_MAX_S
        wait_s = (1 - self._level) / rate_per_s
        if room - self._outstanding_tokens < 1 and self._outstanding:
            oldest = next(iter(self._outstanding.values()))
            wait_s = max(wait_s, oldest.ends_s - now_s)
        return max(RETRY_AFTER_MIN_S, wait_s)

    def _remove(self, grant_id: int) -> None:
        if self._outstanding is None:
            return
        self._outstanding_tokens -= self._outstanding.pop(grant_id).tokens
        if not self._outstanding:
            # Most buckets are idle, and an empty dictionary would take most of their memory.
            self._outstanding = None
