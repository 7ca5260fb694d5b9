"""Rights of instances: slots, loans, tokens, rates and claims."""

from ._claims import ClaimBallot, ClaimExport, ClaimOutcome, ClaimTable, ExportedClaim
from ._drift import DRIFT_MARGIN_RATIO
from ._loans import (
    GRANT_TERM_MAX_S,
    LOAN_TERM_S,
    HeldLoans,
    HeldShare,
    LoanLedger,
    OutstandingLoan,
    SlotLoans,
    TransferredLoan,
)
from ._rate import WorkspaceBucket, WorkspaceLimit, capacity
from ._rendezvous import (
    claim_slots,
    home_slot,
    rendezvous_order,
    service_rendezvous_key,
    workspace_rendezvous_key,
)
from ._slots import SlotSet
from ._token_cache import TokenCache
from ._token_home import TokenHome

__all__ = [
    "DRIFT_MARGIN_RATIO",
    "GRANT_TERM_MAX_S",
    "LOAN_TERM_S",
    "ClaimBallot",
    "ClaimExport",
    "ClaimOutcome",
    "ClaimTable",
    "ExportedClaim",
    "HeldLoans",
    "HeldShare",
    "LoanLedger",
    "OutstandingLoan",
    "SlotLoans",
    "SlotSet",
    "TokenCache",
    "TokenHome",
    "TransferredLoan",
    "WorkspaceBucket",
    "WorkspaceLimit",
    "capacity",
    "claim_slots",
    "home_slot",
    "rendezvous_order",
    "service_rendezvous_key",
    "workspace_rendezvous_key",
]
