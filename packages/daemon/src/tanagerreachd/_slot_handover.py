"""Message that hands a slot over from its holder to the next one."""

import msgspec
from tanagerreach_core.messages import InstanceIncarnation, SlotSet
from tanagerreach_core.rights import ClaimExport, ExportedClaim, SlotLoans, TransferredLoan


class TransferredClaim(msgspec.Struct, kw_only=True):
    """One claim in a slot handover."""

    claim_key: bytes
    claimant: bytes
    age_s: float
    released: bool


class TransferredLoanRecord(msgspec.Struct, kw_only=True):
    """One outstanding loan in a slot handover."""

    instance_id: str
    incarnation: int
    home: int
    candidates: bytes
    remaining_s: float


class TransferredVerdicts(msgspec.Struct, kw_only=True):
    """Verdicts on a service's targets by the home at the slot."""

    service: str
    warm: list[str]
    cold: list[str]


class SlotHandover(msgspec.Struct, kw_only=True):
    """Handover of a slot to the receiver, with the slot's loans, claims and verdicts.

    ``revision`` is the holder's configuration revision. The receiver needs at least the same one,
    since the revision that a slot's holder reports must never decrease.
    """

    slot: int
    lease_revision: int
    revision: int
    abstains_s: float
    quiet_s: float
    loans: list[TransferredLoanRecord]
    claims: list[TransferredClaim]
    verdicts: list[TransferredVerdicts] = []


def handover_message(
    exported: ClaimExport, lent: SlotLoans, *, revision: int, verdicts: list[TransferredVerdicts]
) -> SlotHandover:
    """Build the handover message of a slot.

    :param exported: claims of the slot.
    :param lent: outstanding loans of the slot.
    :param revision: the holder's configuration revision.
    :param verdicts: verdicts of the services whose home is at the slot.
    """
    return SlotHandover(
        slot=exported.slot,
        lease_revision=exported.lease_revision,
        revision=revision,
        abstains_s=exported.abstains_s,
        quiet_s=lent.quiet_s,
        loans=[
            TransferredLoanRecord(
                instance_id=loan.borrower.instance_id,
                incarnation=loan.borrower.incarnation,
                home=loan.home,
                candidates=loan.candidates.to_bytes(),
                remaining_s=loan.remaining_s,
            )
            for loan in lent.loans
        ],
        claims=[
            TransferredClaim(
                claim_key=claim.claim_key,
                claimant=claim.claimant,
                age_s=claim.age_s,
                released=claim.released,
            )
            for claim in exported.claims
        ],
        verdicts=verdicts,
    )


def slot_loans(handover: SlotHandover) -> SlotLoans:
    """Return the outstanding loans of a handover."""
    return SlotLoans(
        quiet_s=handover.quiet_s,
        loans=tuple(
            TransferredLoan(
                borrower=InstanceIncarnation(
                    instance_id=loan.instance_id, incarnation=loan.incarnation
                ),
                home=loan.home,
                candidates=SlotSet.from_bytes(loan.candidates),
                remaining_s=loan.remaining_s,
            )
            for loan in handover.loans
        ),
    )


def claim_export(handover: SlotHandover) -> ClaimExport:
    """Return the claims of a handover."""
    return ClaimExport(
        slot=handover.slot,
        lease_revision=handover.lease_revision,
        abstains_s=handover.abstains_s,
        claims=[
            ExportedClaim(
                claim_key=claim.claim_key,
                claimant=claim.claimant,
                age_s=claim.age_s,
                released=claim.released,
            )
            for claim in handover.claims
        ],
    )
