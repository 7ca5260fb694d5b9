"""Budget of memory and descriptors that an instance holds for its callers.

Load pattern: a crowd of callers that send or read slowly, or stop half-way, with more memory and
descriptors in sum than the machine has, beside ordinary callers whose requests are small and quick.
"""

from dataclasses import dataclass, field
from math import exp

# Progress is forgotten with this time constant.
PROGRESS_TIME_S = 2.0
# A connection that holds no more than this takes room from any that holds more.
SMALL_BYTES = 128 * 1024


@dataclass(slots=True, kw_only=True, eq=False)
class CallerAccount:
    """What one connection holds, and how fast its caller proceeds.

    :param held_bytes: memory held for it.
    :param held_descriptors: its own descriptor, and those of targets that it keeps in use.
    :param recent_bytes: bytes that the caller sent or read, weighted by their age.
    :param serving_count: requests that wait for a target or are served by one.
    :param is_reading: whether a body is awaited.
    :param is_sending: whether the caller is awaited to read.
    :param is_evicted: whether it was chosen to be closed.
    """

    updated_s: float
    held_bytes: int = 0
    held_descriptors: int = 0
    recent_bytes: float = 0.0
    serving_count: int = 0
    is_reading: bool = False
    is_sending: bool = False
    is_evicted: bool = False

    @property
    def awaits_caller(self) -> bool:
        """Whether nothing happens on the connection unless its caller sends or reads."""
        return self.is_sending or self.is_reading or not self.serving_count

    def record_progress(self, size_bytes: int, now_s: float) -> None:
        """Record bytes that the caller sent or read."""
        self.recent_bytes = self._recent_bytes(now_s) + size_bytes
        self.updated_s = now_s

    def progress(self, now_s: float, further_bytes: int = 0) -> float:
        """Return the recent progress per byte held, if the connection held further bytes."""
        return self._recent_bytes(now_s) / max(1, self.held_bytes + further_bytes)

    def _recent_bytes(self, now_s: float) -> float:
        return self.recent_bytes * exp(min(0.0, self.updated_s - now_s) / PROGRESS_TIME_S)


@dataclass(slots=True, kw_only=True)
class BudgetDecision:
    """Decision on a request for room.

    :param evicted: connections to close, so that there is room.
    """

    is_granted: bool
    evicted: list[CallerAccount] = field(default_factory=list)


GRANTED = BudgetDecision(is_granted=True)
REFUSED = BudgetDecision(is_granted=False)


@dataclass(slots=True, kw_only=True)
class _Shortage:
    size_bytes: float
    descriptors: float

    @property
    def is_covered(self) -> bool:
        return self.size_bytes <= 0 and self.descriptors <= 0


class CallerBudget:
    """Grants room to connections, and chooses which ones give way.

    :param limit_bytes: memory for all connections.
    :param limit_descriptors: descriptors for all connections.
    """

    __slots__ = (
        "_accounts",
        "_freed_bytes",
        "_freed_descriptors",
        "held_bytes",
        "held_descriptors",
        "limit_bytes",
        "limit_descriptors",
    )

    def __init__(self, *, limit_bytes: float, limit_descriptors: float) -> None:
        self.limit_bytes = limit_bytes
        self.limit_descriptors = limit_descriptors
        self.held_bytes = 0
        self.held_descriptors = 0
        # Held by connections that were chosen to be closed and have not ended yet.
        self._freed_bytes = 0
        self._freed_descriptors = 0
        self._accounts: dict[CallerAccount, None] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def open(self, size_bytes: int, now_s: float) -> tuple[CallerAccount, BudgetDecision]:
        """Take room for a new connection, whose caller has just made progress."""
        account = CallerAccount(updated_s=now_s, recent_bytes=float(size_bytes))
        self._accounts[account] = None
        return account, self.take(account, size_bytes, now_s, descriptors=1)

    def take(
        self,
        account: CallerAccount,
        size_bytes: int,
        now_s: float,
        *,
        descriptors: int = 0,
        is_due: bool = False,
    ) -> BudgetDecision:
        """Take room for a connection.

        :param is_due: whether the room is used already, for a response that the caller may get;
            then the requester itself may have to give way, but is not refused.
        :returns: the decision; nothing is taken when it is a refusal.
        """
        if account.is_evicted or account not in self._accounts:
            return REFUSED
        shortage = _Shortage(
            size_bytes=self.held_bytes - self._freed_bytes + size_bytes - self.limit_bytes,
            descriptors=self.held_descriptors
            - self._freed_descriptors
            + descriptors
            - self.limit_descriptors,
        )
        if not descriptors:
            shortage.descriptors = 0
        chosen: list[CallerAccount] = []
        if not shortage.is_covered:
            chosen = self._choose(account, size_bytes, shortage, now_s, is_due)
            if not (shortage.is_covered or is_due):
                return REFUSED
        account.held_bytes += size_bytes
        account.held_descriptors += descriptors
        self.held_bytes += size_bytes
        self.held_descriptors += descriptors
        for evicted in chosen:
            evicted.is_evicted = True
            self._freed_bytes += evicted.held_bytes
            self._freed_descriptors += evicted.held_descriptors
        return BudgetDecision(is_granted=True, evicted=chosen) if chosen else GRANTED

    def give_back(self, account: CallerAccount, size_bytes: int, *, descriptors: int = 0) -> None:
        """Return a part of what a connection holds; no-op after it was closed."""
        if account not in self._accounts:
            return
        account.held_bytes -= size_bytes
        account.held_descriptors -= descriptors
        self.held_bytes -= size_bytes
        self.held_descriptors -= descriptors
        if account.is_evicted:
            self._freed_bytes -= size_bytes
            self._freed_descriptors -= descriptors

    def close(self, account: CallerAccount) -> None:
        """Return all that a connection holds; no-op when it was closed before."""
        self.give_back(account, account.held_bytes, descriptors=account.held_descriptors)
        self._accounts.pop(account, None)

    def _choose(
        self,
        requester: CallerAccount,
        size_bytes: int,
        shortage: _Shortage,
        now_s: float,
        is_due: bool,
    ) -> list[CallerAccount]:
        """Choose connections until the shortage is covered, the slowest per byte first."""
        own_progress = requester.progress(now_s, size_bytes)
        is_small = requester.held_bytes + size_bytes <= SMALL_BYTES
        candidates = sorted(
            (account.progress(now_s), number, account)
            for number, account in enumerate(self._accounts)
            if account.awaits_caller
            and not account.is_evicted
            and (is_due or account is not requester)
        )
        chosen = []
        for progress, _, account in candidates:
            if shortage.is_covered:
                break
            is_larger = is_small and account.held_bytes > SMALL_BYTES
            if is_due or is_larger or progress < own_progress:
                chosen.append(account)
                shortage.size_bytes -= account.held_bytes
                shortage.descriptors -= account.held_descriptors
        return chosen
