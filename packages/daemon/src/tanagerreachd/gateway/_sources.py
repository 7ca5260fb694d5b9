"""What a gateway instance learns from the platform, as the platform's adapter has to give it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from tanagerreach_core.config import Configuration


class SourceError(Exception):
    """The platform's store did not answer, or answered with something unusable.

    :param is_refusal: whether the store answered that it did nothing.
    """

    def __init__(self, detail: str, *, is_refusal: bool = False) -> None:
        super().__init__(detail)
        self.is_refusal = is_refusal


class HistoryGoneError(SourceError):
    """The store no longer has the changes that were asked for; read everything again."""


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """What callers may send and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_time_s: float
    idle_time_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class OperatorState:
    """What the operators want: the configuration, with data centres that are taken out.

    :param version: the store's revision of the newest part.
    """

    version: int
    configuration: Configuration
    caller_limits: CallerLimits


@dataclass(slots=True, kw_only=True, frozen=True)
class ListedTarget:
    """A target as it registered itself.

    :param cold_left_s: how long it stays cold after the entry was written.
    :param started_ms: time of its start by its own clock, 0 when it does not say; it tells two
        runs of one name apart.
    :param sequence: rises with each entry that one run writes.
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

    def is_older_than(self, other: "ListedTarget") -> bool:
        """Tell whether this entry was made before another one of the same name."""
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        return self.started_ms > 0 and self.sequence < other.sequence


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredItem:
    """One item of the store as it was read; ``value`` is ``None`` for one that was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """Items below one prefix, or the changes among them, up to a revision of the store."""

    items: list[StoredItem]
    revision: int


class Source(ABC):
    """One part of the store that is read and followed."""

    @abstractmethod
    def read(self, *, allow_stale: bool = False) -> Listing:
        """Read all items.

        :param allow_stale: whether an answer that is seconds old will do; it costs less.
        :raises SourceError: when there is no usable answer.
        """

    @abstractmethod
    def wait(self, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision; the listing is empty when there are none.

        :raises HistoryGoneError: when the changes are no longer known.
        :raises SourceError: when there is no usable answer.
        """


class Platform(ABC):
    """The platform as a gateway instance sees it."""

    @property
    @abstractmethod
    def operator_items(self) -> Source:
        """What operators wrote."""

    @property
    @abstractmethod
    def target_items(self) -> Source:
        """Entries of the targets."""

    @abstractmethod
    def decode_operator_state(self, listing: Listing) -> OperatorState | None:
        """Decode what operators wrote; ``None`` when there is no usable configuration."""

    @abstractmethod
    def decode_target(self, item: StoredItem) -> ListedTarget | None:
        """Decode one target's entry; ``None`` when it names no usable target."""

    @abstractmethod
    def register(self, name: str, address: str) -> None:
        """Make this instance known to others, or keep it known.

        :raises SourceError: when the store did not confirm it.
        """

    @abstractmethod
    def members(self) -> dict[str, str]:
        """Return the peers' addresses by instance.

        :raises SourceError: when there is no usable answer.
        """
