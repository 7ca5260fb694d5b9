"""Typed messages between instances.

Every message is sent in an envelope that names its sender, see :class:`Envelope`. The fields are
encoded by position, so a new field goes to the end and has a default. Terms are durations: the
receiver of a reply counts a term on its own clock, from before it sent the request.
"""

from enum import IntEnum

import msgspec

from ._placement_messages import (
    CompletionAck,
    FailureDigest,
    Heartbeat,
    PeerNews,
    PlacementCompletion,
    PlacementReply,
    PlacementRequest,
    QuotaHandover,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    RefusalNotice,
    ReturnNotice,
)
from ._rollout_messages import RolloutProgress, RoutedPlacementRequest
from ._slots import SlotSet


class MemberState(IntEnum):
    """Whether an instance serves as a home, or is about to stop."""

    LIVE = 0
    DRAINING = 1


class TargetState(IntEnum):
    """State of a target, as decided by the service's home."""

    UNKNOWN = 0
    COLD = 1
    WARM = 2
    EJECTED = 3


class ClaimVote(IntEnum):
    """Vote of a claim slot on a claim request."""

    GRANTED = 0
    TAKEN = 1
    ABSTAIN = 2


class InstanceIncarnation(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """One run of an instance between restarts; each incarnation is a separate borrower."""

    instance_id: str
    incarnation: int


class Loan(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Loan from the slots of one lender instance to the home slots of one borrower.

    It covers every rendezvous key whose first candidate, in the key's rendezvous order, is one of
    ``home_slots``.

    ``slots_with_history`` are the lender slots whose earlier loans the lender knows, as far back as
    rights that were issued on them may still be in use. ``earlier_candidates`` are the other
    candidate sets of these loans, and ``earlier_homes`` those of ``home_slots`` that were lent to
    another borrower.
    """

    lender_slots: SlotSet
    home_slots: SlotSet
    candidates: SlotSet
    term_s: float
    slots_with_history: SlotSet = msgspec.field(default_factory=SlotSet)
    earlier_candidates: list[SlotSet] = msgspec.field(default_factory=list)
    earlier_homes: SlotSet = msgspec.field(default_factory=SlotSet)


class MemberRecord(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Identity, address and slots of an instance, relayed so that new instances find peers."""

    instance_id: str
    incarnation: int
    peer_address: str
    data_centre: str
    slots: SlotSet


class HolderStatus(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Revision and store state that the holder of some slots reported, relayed by an instance.

    ``age_s`` is an upper bound of the time since the report.
    """

    slots: SlotSet
    revision: int
    store_unavailable: bool
    age_s: float


class Exchange(msgspec.Struct, kw_only=True, array_like=True, tag=1):
    """Periodic message between instances: heartbeat, freshness and loans.

    ``returned_homes`` are home slots that the sender gave up, so their loans have ended.
    ``holder_statuses`` are sent during an outage of the store to instances that exchange with few
    holders. ``candidates`` are the homes, for an instance without slots; ``holders_digest`` lets it
    detect that the holders have changed, and it sends back the digest of those that it knows.
    ``loan`` is the reply to the receiver's exchange with the sequence number ``echo_sequence``.
    ``revision_age_s`` is the time since the sender's last confirmation of the head revision; it is
    meaningless while ``revision`` is 0.
    """

    sequence: int
    echo_sequence: int = 0
    peer_address: str = ""
    peer_http_address: str = ""
    operator_address: str = ""
    data_centre: str = ""
    state: MemberState = MemberState.LIVE
    slots: SlotSet = msgspec.field(default_factory=SlotSet)
    revision: int = 0
    revision_age_s: float = 0.0
    store_unavailable: bool = False
    returns_loans: bool = False
    loan: Loan | None = None
    members: list[MemberRecord] = msgspec.field(default_factory=list)
    returned_homes: SlotSet = msgspec.field(default_factory=SlotSet)
    holder_statuses: list[HolderStatus] = msgspec.field(default_factory=list)
    candidates: SlotSet = msgspec.field(default_factory=SlotSet)
    holders_digest: int = 0


class TokenDemand(msgspec.Struct, kw_only=True, array_like=True):
    """Tokens that one instance wants for one workspace, with reports on earlier grants.

    ``settled`` maps the id of a finished grant to the number of its tokens that were used.
    """

    workspace: str
    wanted: int
    settled: dict[int, int] = msgspec.field(default_factory=dict)


class TokenRequest(msgspec.Struct, kw_only=True, array_like=True, tag=2):
    """Token demands of one instance for workspaces with the same home."""

    request_id: int
    home_slot: int
    demands: list[TokenDemand]


class TokenGrant(msgspec.Struct, kw_only=True, array_like=True):
    """Tokens of one workspace for a term; ``retry_after_s`` is set when none were granted.

    ``is_home`` is false when the replying instance is not the workspace's home.
    """

    workspace: str
    grant_id: int = 0
    tokens: int = 0
    term_s: float = 0.0
    retry_after_s: float = 0.0
    is_home: bool = True


class TokenReply(msgspec.Struct, kw_only=True, array_like=True, tag=3):
    """Reply to a token request."""

    request_id: int
    grants: list[TokenGrant]


class TargetReport(msgspec.Struct, kw_only=True, array_like=True):
    """Observations of one target by one instance since its last report.

    ``latency_counts`` counts requests with a response in buckets of powers of two: bucket ``i``
    holds latencies below ``2 ** i`` ms, the last bucket holds the rest.
    """

    target: str
    success_count: int = 0
    error_count: int = 0
    timeout_count: int = 0
    shed_count: int = 0
    connect_failure_count: int = 0
    latency_counts: list[int] = msgspec.field(default_factory=list)
    in_flight_count: int = 0
    oldest_in_flight_s: float = 0.0
    announced_cold: bool = False
    announced_draining: bool = False
    known_state: TargetState = TargetState.UNKNOWN
    permits_wanted: int = 0
    permits_in_use: int = 0


class ServiceReport(msgspec.Struct, kw_only=True, array_like=True, tag=4):
    """Report of one instance to the home of a service.

    ``held_ms`` is the age of the oldest response that it counts.
    """

    request_id: int
    service: str
    data_centre: str
    targets: list[TargetReport]
    held_ms: int = 0


class TargetVerdict(msgspec.Struct, kw_only=True, array_like=True):
    """State of a target for a term, and permits for concurrent requests when it is cold."""

    target: str
    state: TargetState
    term_s: float
    permits: int = 0
    permit_term_s: float = 0.0


# Request id of a service reply that is a poll: the instance shall send a report now.
REPORT_POLL_ID = 0


class ServiceReply(msgspec.Struct, kw_only=True, array_like=True, tag=5):
    """Reply of a service's home to a report; ``is_home`` is false when it is not the home.

    With the request id :data:`REPORT_POLL_ID` the home polls for a report; an instance that does
    not know this id ignores the poll.
    """

    request_id: int
    service: str
    is_home: bool
    verdicts: list[TargetVerdict] = msgspec.field(default_factory=list)


class ClaimRequest(msgspec.Struct, kw_only=True, array_like=True, tag=6):
    """Request to claim slots to record, or to release, one claimant's claim."""

    request_id: int
    claim_key: bytes
    claimant: bytes
    slots: SlotSet
    release: bool = False


class ClaimReply(msgspec.Struct, kw_only=True, array_like=True, tag=7):
    """Votes of the claim slots held by one instance."""

    request_id: int
    votes: dict[int, ClaimVote]


class CrashSuspectNotice(msgspec.Struct, kw_only=True, array_like=True, tag=8):
    """Fingerprint of a request that may crash targets: they lost connections after its start."""

    fingerprint: bytes
    targets: list[str]
    age_s: float


Message = (
    Exchange
    | TokenRequest
    | TokenReply
    | ServiceReport
    | ServiceReply
    | ClaimRequest
    | ClaimReply
    | CrashSuspectNotice
    | PlacementRequest
    | PlacementReply
    | PlacementCompletion
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
    | QuotaHandover
    | ReturnNotice
    | CompletionAck
    | Heartbeat
    | PeerNews
    | FailureDigest
    | RefusalNotice
    | RoutedPlacementRequest
    | RolloutProgress
)


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """One datagram: a message with its sender; the counter rises within an incarnation.

    ``hybrid_time`` is the sender's hybrid logical time, which orders the timelines of instances.
    """

    sender: InstanceIncarnation
    counter: int
    hybrid_time: int = 0
    message: Message
