"""Messages between an instance and the homes of services and workspaces.

Each request carries a call id of its sender, so that it can be sent again when a datagram is lost:
a home sends the same reply to a request that it gets twice.
"""

from enum import IntEnum

import msgspec

from ._outcomes import Outcome

AGE_UNKNOWN_MS = -1
"""Age of the state of an instance that was not heard yet, or of a list that is not known."""
RESPONDED = 0
"""Call id of a :data:`CrashReport` that a target responded to the request."""

BrokenTry = tuple[str, int]
"""Instance that sent a try whose connection broke, and the call id of its placement."""
CrashStreak = tuple[bytes, list[BrokenTry], int]
"""Fingerprint of a request, its tries that broke in a row, milliseconds since the latest one."""
CrashReport = tuple[bytes, int, int]
"""Fingerprint of a request, call id of a try that broke or ``RESPONDED``, milliseconds since."""


class TargetNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """What a target asks of its callers in a response.

    :param limit_per_s: requests per second that it takes from the whole fleet, 0 when not limited.
    :param is_leaving: whether it leaves and takes no new requests.
    :param pause_s: time for which it takes none from the instance that got the response.
    :param invalid_header: name of a header that was ignored, as its value is not valid.
    """

    limit_per_s: float = 0.0
    is_leaving: bool = False
    pause_s: float = 0.0
    invalid_header: str = ""


NO_NOTICE = TargetNotice()


class PlacementState(IntEnum):
    """State of a request, in the reply of a service's home."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    NOT_CURRENT = 3
    """The home's list of targets may be out of date; the requester tries another instance."""


class RefusalCause(IntEnum):
    """Why a home refuses a request."""

    NONE = 0
    NO_TARGET = 1
    NO_ROOM = 2
    DEADLINE = 3
    REPEAT_BUDGET = 4
    CRASH_REQUEST = 5


class PlacementRequest(msgspec.Struct, kw_only=True, array_like=True, tag=20):
    """Requests the placement of a request at a target from the service's home.

    ``remaining_ms`` is the time until the request's deadline, ``objective_ms`` the time left
    within which a response meets the latency objective. ``excluded`` are targets it was sent to
    before; ``is_retry`` states whether it was sent to one. ``accepts_stale`` allows a placement
    also when the home's list of targets may be out of date. ``is_decided_alone`` is set by an
    instance that places the request itself because no home replied. ``is_in_flight`` states that a
    target is still working on the request, so that a refusal does not leave it unserved. Of the
    requests of one ``priority``, those of the lower ``urgency`` go first. ``tried`` are those
    ``excluded`` targets that may get the request again when no other target is likely to serve it.
    ``work_class`` and ``path_shape`` tell requests apart that likely take different times; both
    are 0 when the requester does not say it.
    """

    call_id: int
    service: str
    workspace: str
    priority: int
    remaining_ms: int
    objective_ms: int
    is_retryable: bool
    is_retry: bool
    data_centre: str
    fingerprint: bytes
    excluded: list[str] = msgspec.field(default_factory=list)
    accepts_stale: bool = False
    is_decided_alone: bool = False
    is_in_flight: bool = False
    urgency: int = 0
    tried: list[str] = msgspec.field(default_factory=list)
    work_class: int = 0
    path_shape: int = 0


class PlacementReply(msgspec.Struct, kw_only=True, array_like=True, tag=21):
    """Reply to a :class:`PlacementRequest`.

    ``try_timeout_ms`` is the longest time that a response usually takes, ``response_age_ms`` the
    time since the target's latest response that the home knows of (negative: none), ``started_ms``
    the target's start time. Some fields explain the decision in logs: ``failure_percent`` is the
    probability that the target fails requests now, ``waiting_count`` the length of the queue,
    ``free_slot_count`` the number of the targets' free slots, ``list_age_ms`` the age of the latest
    list of targets that has the target, ``is_listed`` whether that is the home's latest one,
    ``expected_work_ms`` how long the request is expected to run and ``work_left_ms`` the sum of
    what ran at the target before it; both are 0 when requests are placed by their number.
    """

    call_id: int
    state: PlacementState
    cause: RefusalCause = RefusalCause.NONE
    target: str = ""
    address: str = ""
    try_timeout_ms: int = 0
    retry_after_ms: int = 0
    service: str = ""
    failure_percent: int = 0
    waiting_count: int = 0
    free_slot_count: int = 0
    list_age_ms: int = AGE_UNKNOWN_MS
    data_centre: str = ""
    response_age_ms: int = -1
    started_ms: int = 0
    is_listed: bool = True
    expected_work_ms: int = 0
    work_left_ms: int = 0


class PlacementCompletion(msgspec.Struct, kw_only=True, array_like=True, tag=22):
    """Reports to a service's home the end of a placed request, or a queued one's withdrawal.

    ``notice`` is what the target asked for in its response of ``notice_age_ms`` ago, ``None`` when
    there was none.
    """

    call_id: int
    service: str
    target: str
    outcome: Outcome
    latency_ms: int
    fingerprint: bytes = b""
    notice: TargetNotice | None = None
    notice_age_ms: int = 0


class QuotaRequest(msgspec.Struct, kw_only=True, array_like=True, tag=23):
    """Requests one unit of a workspace's quota from the workspace's home.

    ``suspected_names`` are instances that did not reply to the sender.
    """

    call_id: int
    workspace: str
    suspected_names: list[str] = msgspec.field(default_factory=list)


class QuotaReply(msgspec.Struct, kw_only=True, array_like=True, tag=24):
    """Reply to a :class:`QuotaRequest`.

    ``rate_per_s`` and ``fleet_percent`` explain the decision in logs: the rate in force and the
    share of the fleet that uses this home.
    """

    call_id: int
    is_granted: bool
    retry_after_ms: int = 0
    rate_per_s: float = 0.0
    fleet_percent: int = 100


class QuotaReturn(msgspec.Struct, kw_only=True, array_like=True, tag=31):
    """Returns the unit of a :class:`QuotaRequest` whose request did not run.

    It is not acknowledged: when it is lost, the unit is lost.

    :param call_id: call id of the quota request.
    """

    call_id: int
    workspace: str


class QuotaHandover(msgspec.Struct, kw_only=True, array_like=True, tag=32):
    """Hands a workspace's quota over to its new home, as the sender no longer issues it.

    It is not acknowledged: when it is lost, the new home issues the part of each instance once that
    instance has certainly come to use it.

    :param lent_share: share of the fleet that used the sender, from 0 to 1.
    :param level: units that the sender has not issued.
    """

    workspace: str
    lent_share: float
    level: float


class CompletionAck(msgspec.Struct, kw_only=True, array_like=True, tag=25):
    """Acknowledges a :class:`PlacementCompletion`."""

    call_id: int


class PeerState(msgspec.Struct, kw_only=True, array_like=True):
    """What an instance says of itself.

    ``beat`` rises with each state of an instance, also over its restarts. ``age_ms`` is the time
    since the instance sent the state, or ``AGE_UNKNOWN_MS``. ``address`` is empty in most states
    that are passed on. ``store_reachable`` states whether the store replies to the instance.
    ``configuration_version`` is the store's position of the operators' state that it has in force.
    ``suspected_names`` are instances that did not reply to it. ``crash_reports`` are its latest
    observations of requests that may crash targets. ``started_ms`` is the start of its run, by
    which the runs of an instance are told apart. ``returned_names`` are instances that it has heard
    again lately, as earlier builds tell all others of them; this one sends :class:`ReturnNotice`
    instead, since a state goes to the whole fleet. ``is_new`` states that its run has begun
    lately, so that no home counts it from before. ``is_returned`` states that it has heard nearly
    all others again lately, as after a pause, so that it may use none of them as its home.
    """

    name: str
    beat: int
    age_ms: int = 0
    address: str = ""
    is_leaving: bool = False
    is_serving: bool = False
    store_reachable: bool = True
    configuration_version: int = -1
    suspected_names: list[str] = msgspec.field(default_factory=list)
    crash_reports: list[CrashReport] = msgspec.field(default_factory=list)
    started_ms: int = 0
    returned_names: list[str] = msgspec.field(default_factory=list)
    is_new: bool = False
    is_returned: bool = False

    def differs_from(self, other: "PeerState") -> bool:
        """Return whether this state says more of its instance than that it is live."""
        return (
            self.is_leaving != other.is_leaving
            or self.is_serving != other.is_serving
            or self.store_reachable != other.store_reachable
            or self.configuration_version != other.configuration_version
            or sorted(self.suspected_names) != sorted(other.suspected_names)
        )


class Heartbeat(msgspec.Struct, kw_only=True, array_like=True, tag=29):
    """Reports to the peers of the sender's group that it is live.

    ``wants_news`` asks for the states of all instances that the receiver knows.
    """

    state: PeerState
    data_centre: str
    wants_news: bool = False


class ReturnNotice(msgspec.Struct, kw_only=True, array_like=True, tag=33):
    """Tells an instance that the sender has heard it again lately.

    The sender may not use it as a home yet, so that it must not count the sender. It is sent twice
    and not acknowledged.

    :param left_ms: time for which the receiver does not count the sender.
    """

    left_ms: int


class NewsKind(IntEnum):
    """What a receiver of :class:`PeerNews` does with it."""

    FOR_DATA_CENTRE = 0
    """States of the sender's group, for all groups of the receiver's data centre."""
    FOR_GROUP = 1
    """States of another group, for the receiver and its group."""
    PASSED_ON = 2
    """States of other groups, for the receiver only."""
    COMPLETE = 3
    """All instances that the sender knows, as the receiver asked for them."""


class PeerNews(msgspec.Struct, kw_only=True, array_like=True, tag=30):
    """Passes on the latest states of instances, by their data centre."""

    kind: NewsKind
    states: dict[str, list[PeerState]]


class FailureDigest(msgspec.Struct, kw_only=True, array_like=True, tag=27):
    """Sends a home's estimates to the instance that would be the service's next home.

    ``failure_probabilities`` has, by target, the probability that it fails requests now, and the
    milliseconds since its latest outcome. ``crash_streaks`` are the latest requests that broke
    connections. ``limits_per_s`` has the limits that targets named, ``leaving`` the targets that
    take no new requests. A digest that exceeds a datagram is sent in parts, which count from 0 and
    have different targets and streaks.
    """

    service: str
    service_time_ms: int
    failure_probabilities: dict[str, tuple[float, int]]
    crash_streaks: list[CrashStreak] = msgspec.field(default_factory=list)
    limits_per_s: dict[str, float] = msgspec.field(default_factory=dict)
    leaving: list[str] = msgspec.field(default_factory=list)
    part: int = 0


class RefusalNotice(msgspec.Struct, kw_only=True, array_like=True, tag=28):
    """Reports to a service's home that a request was refused before its placement."""

    service: str
