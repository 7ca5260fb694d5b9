"""Claims that let a request with an idempotency key run at most once."""

from dataclasses import dataclass, field
from enum import IntEnum

from ._drift import DRIFT_MARGIN_RATIO
from ._messages import ClaimVote
from ._rendezvous import claim_slots

CLAIM_SLOT_COUNT = 5
CLAIM_MAJORITY = 3
CLAIM_RETENTION_S = 600.0
CLAIMS_MAX = 20_000
# A ballot older than this counts no further votes, since the retention of the first votes runs out.
BALLOT_MAX_S = 10.0


@dataclass(slots=True)
class _Claim:
    claimant: bytes
    recorded_s: float
    released: bool = False


@dataclass(slots=True, kw_only=True)
class ExportedClaim:
    """Claim in a slot handover."""

    claim_key: bytes
    claimant: bytes
    age_s: float
    released: bool = False


@dataclass(slots=True, kw_only=True)
class ClaimExport:
    """Claims of one slot in a handover, with the revision of the previous holder's lease.

    ``abstains_s`` is the rest of the previous holder's abstention, which the next one continues.
    """

    slot: int
    lease_revision: int
    abstains_s: float = 0.0
    claims: list[ExportedClaim] = field(default_factory=list)


class ClaimTable:
    """Claims recorded at one slot by its holder.

    The previous holder of the slot may have voted on claims that this one does not know. So the
    table abstains from new claims for one retention time, unless it imports the previous holder's
    claims or the slot was never held.

    :param slot: the slot number.
    :param lease_revision: revision of the holder's lease in the store.
    :param lease_end_s: end of the slot lease on this instance's clock, less the drift margin.
    :param previous_lease_revision: revision of the lease whose claims may be imported.
    :param never_held: the store shows that no instance held the slot before.
    """

    __slots__ = (
        "slot",
        "_lease_revision",
        "_lease_end_s",
        "_previous_lease_revision",
        "_retention_s",
        "_claims_max",
        "_abstains_until_s",
        "_margin_factor",
        "_claims",
        "_exported",
    )

    def __init__(
        self,
        *,
        slot: int,
        lease_revision: int,
        lease_end_s: float,
        now_s: float,
        previous_lease_revision: int | None = None,
        never_held: bool = False,
        retention_s: float = CLAIM_RETENTION_S,
        claims_max: int = CLAIMS_MAX,
        drift_margin_ratio: float = DRIFT_MARGIN_RATIO,
    ) -> None:
        self.slot = slot
        self._lease_revision = lease_revision
        self._lease_end_s = lease_end_s
        self._previous_lease_revision = previous_lease_revision
        self._retention_s = retention_s
        self._claims_max = claims_max
        self._margin_factor = 1 + drift_margin_ratio
        quiet_s = 0.0 if never_held else retention_s * self._margin_factor
        self._abstains_until_s = now_s + quiet_s
        self._claims: dict[bytes, _Claim] = {}
        self._exported = False

    def __len__(self) -> int:
        return len(self._claims)

    def extend_lease(self, lease_end_s: float, now_s: float) -> bool:
        """Record a renewed lease.

        :returns: false when the lease had already ended; the slot then needs a new table.
        """
        if now_s >= self._lease_end_s:
            return False
        self._lease_end_s = max(self._lease_end_s, lease_end_s)
        return True

    def vote(self, claim_key: bytes, claimant: bytes, now_s: float) -> ClaimVote:
        """Record a claim if its key is free, and vote on it.

        :param claimant: id of one try of one request, never used again.
        """
        if not self._may_vote(now_s):
            return ClaimVote.ABSTAIN
        known = self._claims.get(claim_key)
        if known is not None and known.claimant == claimant:
            # The claim request of a released claimant may arrive after the release.
            return ClaimVote.ABSTAIN if known.released else ClaimVote.GRANTED
        if known is not None and not known.released:
            return ClaimVote.TAKEN
        if now_s < self._abstains_until_s:
            return ClaimVote.ABSTAIN
        if known is None and len(self._claims) >= self._claims_max:
            return ClaimVote.ABSTAIN
        self._record(claim_key, _Claim(claimant, now_s))
        return ClaimVote.GRANTED

    def release(self, claim_key: bytes, claimant: bytes, now_s: float) -> None:
        """Free a key whose claimant certainly did not start its request.

        The released claimant stays recorded, so that its claim request gets no vote if it arrives
        after the release.
        """
        if not self._may_vote(now_s):
            return
        known = self._claims.get(claim_key)
        if known is not None and known.claimant == claimant:
            known.released = True
        elif known is None and len(self._claims) < self._claims_max:
            self._record(claim_key, _Claim(claimant, now_s, released=True))

    def export(self, now_s: float) -> ClaimExport:
        """Return the claims for the slot's next holder; this table abstains from now on."""
        self._exported = True
        self._expire_claims(now_s)
        claims = [
            ExportedClaim(
                claim_key=key,
                claimant=claim.claimant,
                age_s=max(0.0, now_s - claim.recorded_s),
                released=claim.released,
            )
            for key, claim in self._claims.items()
        ]
        return ClaimExport(
            slot=self.slot,
            lease_revision=self._lease_revision,
            abstains_s=max(0.0, self._abstains_until_s - now_s),
            claims=claims,
        )

    def import_claims(self, exported: ClaimExport, now_s: float) -> bool:
        """Import the previous holder's claims; its abstention replaces that of this table.

        :returns: false when the export is of another slot or lease, or was already imported.
        """
        expected = (self.slot, self._previous_lease_revision)
        if (exported.slot, exported.lease_revision) != expected:
            return False
        self._previous_lease_revision = None
        for claim in exported.claims:
            recorded_s = now_s - claim.age_s
            self._claims[claim.claim_key] = _Claim(claim.claimant, recorded_s, claim.released)
        # Claims expire in the order in which they were recorded.
        self._claims = dict(sorted(self._claims.items(), key=lambda item: item[1].recorded_s))
        # The two clocks may drift apart while the abstention runs.
        self._abstains_until_s = now_s + exported.abstains_s * self._margin_factor
        return True

    def _may_vote(self, now_s: float) -> bool:
        if self._exported or now_s >= self._lease_end_s:
            return False
        self._expire_claims(now_s)
        return True

    def _record(self, claim_key: bytes, claim: _Claim) -> None:
        # A replaced claim moves to the end, which keeps the table in the order of recording.
        self._claims.pop(claim_key, None)
        self._claims[claim_key] = claim

    def _expire_claims(self, now_s: float) -> None:
        while self._claims:
            key = next(iter(self._claims))
            if now_s - self._claims[key].recorded_s < self._retention_s:
                return
            del self._claims[key]


class ClaimOutcome(IntEnum):
    """Result of the votes on a claim."""

    PENDING = 0
    GRANTED = 1
    TAKEN = 2
    NO_MAJORITY = 3


class ClaimBallot:
    """Counts the votes on one try's claim.

    :param claim_key: hash of workspace, route and idempotency key.
    :param claimant: id of this try, never used again.
    :param started_s: time before the first claim request was sent.
    """

    __slots__ = ("claim_key", "claimant", "slots", "_majority", "_ends_s", "_votes", "_outcome")

    def __init__(
        self,
        *,
        claim_key: bytes,
        claimant: bytes,
        slot_count: int,
        started_s: float,
        ballot_max_s: float = BALLOT_MAX_S,
        majority: int = CLAIM_MAJORITY,
    ) -> None:
        self.claim_key = claim_key
        self.claimant = claimant
        self.slots = claim_slots(claim_key, slot_count, CLAIM_SLOT_COUNT)
        self._majority = majority
        self._ends_s = started_s + ballot_max_s
        self._votes: dict[int, ClaimVote] = {}
        self._outcome = ClaimOutcome.PENDING

    def missing_slots(self) -> tuple[int, ...]:
        """Return the claim slots without a vote."""
        return tuple(slot for slot in self.slots if slot not in self._votes)

    def record(self, votes: dict[int, ClaimVote], now_s: float) -> ClaimOutcome:
        """Count votes; only the first vote of a slot counts, and none after the outcome.

        :returns: the outcome so far, which is final unless it is pending.
        """
        if self.outcome(now_s) is not ClaimOutcome.PENDING:
            return self._outcome
        for slot, vote in votes.items():
            if slot in self.slots:
                self._votes.setdefault(slot, ClaimVote(vote))
        self._outcome = self._count()
        return self._outcome

    def outcome(self, now_s: float) -> ClaimOutcome:
        """Return the outcome; a ballot that is still pending when it expires is decided then."""
        if self._outcome is ClaimOutcome.PENDING and now_s >= self._ends_s:
            self._outcome = self._final_outcome()
        return self._outcome

    def close(self) -> ClaimOutcome:
        """End the ballot early, because the request cannot wait any longer."""
        if self._outcome is ClaimOutcome.PENDING:
            self._outcome = self._final_outcome()
        return self._outcome

    def _count(self) -> ClaimOutcome:
        votes = list(self._votes.values())
        if votes.count(ClaimVote.GRANTED) >= self._majority:
            return ClaimOutcome.GRANTED
        if votes.count(ClaimVote.TAKEN) >= self._majority:
            return ClaimOutcome.TAKEN
        if len(votes) == len(self.slots):
            return self._final_outcome()
        return ClaimOutcome.PENDING

    def _final_outcome(self) -> ClaimOutcome:
        # A single TAKEN vote shows that another try may have run.
        if ClaimVote.TAKEN in self._votes.values():
            return ClaimOutcome.TAKEN
        return ClaimOutcome.NO_MAJORITY
