"""Interface between a gateway instance and the platform's adapter."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from tanagerreach_core.config import Configuration
from tanagerreach_core.placement import RolloutOrder


class SourceError(Exception):
    """The platform's store gave no response, or an unusable one.

    :param is_refusal: whether the store responded that it did nothing.
    """

    def __init__(self, detail: str, *, is_refusal: bool = False) -> None:
        super().__init__(detail)
        self.is_refusal = is_refusal


class HistoryGoneError(SourceError):
    """The store no longer has the requested changes; read all items again."""


class StoreEraError(SourceError):
    """A call rests on another era of the store than its answer; read the items and decide anew."""


class StatusChangedError(SourceError):
    """A status was not written, since another instance wrote it; read it and decide anew."""


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Size and time limits for callers."""

    header_bytes: int
    body_bytes: int
    header_time_s: float
    idle_time_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class OperatorState:
    """Operator input: the configuration, including the data centres out of service.

    :param version: the store position of its newest item.
    :param rollouts: orders to move services to other versions.
    """

    version: int
    configuration: Configuration
    caller_limits: CallerLimits
    rollouts: tuple[RolloutOrder, ...] = ()


class RolloutState(Enum):
    """State of a roll-out, as operators see it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


@dataclass(slots=True, kw_only=True, frozen=True)
class RolloutStatus:
    """Status of a service's roll-out."""

    state: RolloutState
    to_version: str


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredRolloutStatus:
    """Status of a service's roll-out in the store.

    :param status: the status, ``None`` when there is none that can be read.
    :param revision: its revision, 0 when there is none.
    """

    status: RolloutStatus | None
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ListedTarget:
    """A target as registered.

    :param cold_left_s: time that it stays cold after the entry was written.
    :param started_ms: start time by its own clock, 0 when not given; distinguishes runs of targets
        of the same name.
    :param sequence: rises with each entry that one run writes.
    :param software_version: version of its software, empty when not given.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slot_count: int
    is_leaving: bool
    cold_left_s: float
    started_ms: int
    sequence: int
    software_version: str = ""

    def is_older_than(self, other: "ListedTarget") -> bool:
        """Return whether this entry is older than another one of the same name."""
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        return self.started_ms > 0 and self.sequence < other.sequence


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """A registered instance.

    :param address: its address for messages between instances, as ``ip:port``.
    """

    address: str
    data_centre: str


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredItem:
    """An item read from the store.

    :param value: ``None`` for a removed item.
    :param revision: position of its last change, ordered over the store's eras.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """Items below one prefix, or the changes among them.

    :param revision: position in the store up to which it tells, ordered over the store's eras.
    :param held_items: items that a peer has in force in place of the listed ones, after the store
        came back from an older copy; their value is ``None`` where none is in force.
    :param held_left_s: time for which the peer holds them.
    :param is_damaged: whether an item could not be read, so that it is missing or has no value.
    """

    items: list[StoredItem]
    revision: int
    held_items: list[StoredItem] = field(default_factory=list)
    held_left_s: float = 0.0
    is_damaged: bool = False


class Source(ABC):
    """A part of the store that can be read and watched."""

    @abstractmethod
    def read(self, *, allow_stale: bool = False) -> Listing:
        """Read all items.

        :param allow_stale: whether a response that is seconds old is accepted, which costs less.
        :raises SourceError: when there is no usable response.
        """

    @abstractmethod
    def wait(self, after: int, wait_s: float) -> Listing:
        """Wait for changes after a position; the listing is empty when there are none.

        :raises HistoryGoneError: when the store no longer has the changes, or is in another era.
        :raises SourceError: when there is no usable response.
        """


class Platform(ABC):
    """Access to the platform, implemented by its adapter."""

    @property
    @abstractmethod
    def operator_items(self) -> Source:
        """Source of the operator state."""

    @property
    @abstractmethod
    def target_items(self) -> Source:
        """Source of the targets' entries."""

    @abstractmethod
    def observe_calls(self, on_call: Callable[[str, str], None]) -> None:
        """Report each call to the store.

        :param on_call: called with the kind of the call and the part of the store that it is for.
        """

    @abstractmethod
    def observe_era(self, on_era: Callable[[int], None]) -> None:
        """Report each rise of the store's era after the first answer.

        :param on_era: called with the new era.
        """

    @property
    @abstractmethod
    def era(self) -> int:
        """Newest era of the store that an answer showed, -1 before the first answer."""

    @abstractmethod
    def may_replace(self, known: StoredItem, item: StoredItem | None) -> bool:
        """Return whether an item of the operator state may take effect in place of a known one.

        :param item: ``None`` when the store has no such item.
        """

    @abstractmethod
    def decode_operator_state(self, listing: Listing) -> OperatorState | None:
        """Decode the operator state; ``None`` when there is no usable configuration."""

    @abstractmethod
    def decode_target(self, item: StoredItem) -> ListedTarget | None:
        """Decode a target's entry; ``None`` when it describes no usable target."""

    @abstractmethod
    def rollout_status(self, service: str) -> StoredRolloutStatus:
        """Return the status of a service's roll-out.

        :raises SourceError: when there is no usable response.
        """

    @abstractmethod
    def write_rollout_status(
        self, service: str, status: RolloutStatus, *, expected_revision: int
    ) -> int:
        """Write the status of a service's roll-out, if it was not changed meanwhile.

        :param expected_revision: revision of the present status, 0 when there is none.
        :returns: the revision of the new status.
        :raises StatusChangedError: when another instance wrote the status.
        :raises SourceError: when the store did not confirm it; it may be written nevertheless.
        """

    @abstractmethod
    def register(self, name: str, member: Member) -> None:
        """Register this instance in the store, or renew its registration.

        :raises SourceError: when the store did not confirm it.
        """

    @abstractmethod
    def members(self) -> dict[str, Member]:
        """Return the registered instances by name.

        :raises SourceError: when there is no usable response.
        """
