"""Follows the operators' state and the targets' entries in the platform's store.

Load pattern: each target writes its entry every heartbeat, so a watch of the entries returns all
the time, and each call has a price. Only instances that place requests follow the entries; the
others read a stale list now and then, to have one when the store is away. What operators write is
rare and is followed by all.
"""

from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event

from .. import _clock
from .._logs import InstanceLog
from ._sources import HistoryGoneError, Listing, OperatorState, Platform, SourceError, StoredItem
from ._target_directory import TargetDirectory

OPERATOR_WAIT_S = 10.0
"""Longest wait of a watch of the operators' state; peers tell of changes that it misses."""
OPERATOR_PAUSE_S = 0.25
"""Least time between two reads, which sums up configurations in quick succession."""
TARGET_WAIT_S = 0.5
CURRENT_AGE_S = 1.6
"""An instance whose last news of the targets is older than this does not place requests while
another one has newer ones."""
TARGET_PAUSE_S = 0.6
"""Time between two reads of changes; a target that leaves is avoided within a second."""
TARGET_NEED_S = 10.0
"""An instance follows the entries for this long after it last placed a request."""
CHECK_AGE_S = 0.5
"""An answer of the store that is younger than this shows well enough that it is there."""
CHECK_INTERVAL_S = 3.0
"""Least time between two looks at the store that peers bring about: a store that answers now and
then would otherwise be flooded by the whole fleet at each change."""
SPARE_LIST_INTERVAL_S = 4.0
"""Interval at which an instance that places nothing reads a stale list."""
DAY_S = 86_400.0
FAILURE_PAUSE_MIN_S = 0.25
FAILURE_PAUSE_MAX_S = 1.0


class _Pause:
    """Growing pause with jitter after failures, so that a store that returns is not flooded."""

    __slots__ = ("_pause_s", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pause_s = FAILURE_PAUSE_MIN_S

    def reset(self) -> None:
        self._pause_s = FAILURE_PAUSE_MIN_S

    def next_s(self) -> float:
        pause_s = self._pause_s
        self._pause_s = min(FAILURE_PAUSE_MAX_S, 2 * pause_s)
        return pause_s * self._random.uniform(0.5, 1.0)


class _Availability:
    """Logs once when a part of the store is lost, and once when it is regained."""

    __slots__ = ("_log", "_part", "_pause", "is_lost")

    def __init__(self, *, part: str, log: InstanceLog, random: Random) -> None:
        self._part = part
        self._log = log
        self._pause = _Pause(random)
        self.is_lost = False

    def answered(self) -> bool:
        """Note an answer; returns whether the store was lost before."""
        self._pause.reset()
        was_lost, self.is_lost = self.is_lost, False
        if was_lost:
            self._log.info("dependency regained", dependency="store", part=self._part)
        return was_lost

    def failed(self, error: SourceError) -> float:
        if not self.is_lost:
            self.is_lost = True
            self._log.warning(
                "dependency lost", dependency="store", part=self._part, reason=str(error)
            )
        return self._pause.next_s()


class OperatorStateFollower:
    """Keeps the operators' state in force; it never goes back to an older one.

    :param on_state: called with each new state.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        on_state: Callable[[OperatorState], None],
        log: InstanceLog,
        random: Random,
    ) -> None:
        self._platform = platform
        self._source = platform.operator_items
        self._on_state = on_state
        self._log = log
        self._availability = _Availability(part="operator state", log=log, random=random)
        self._items: dict[str, StoredItem] = {}
        self._revision = -1
        self._version_told = -1
        self._is_doubted = False
        self._told = Event()
        self._peer_listing: Callable[[], Listing | None] = lambda: None
        self.state: OperatorState | None = None

    def read_from_peers_by(self, read: Callable[[], Listing | None]) -> None:
        """Set how to read the state from a peer while the store does not answer."""
        self._peer_listing = read

    @property
    def version(self) -> int:
        """Version of the state in force, -1 before there is one."""
        return -1 if self.state is None else self.state.version

    def told_of(self, version: int) -> None:
        """Note that a peer has a state of this version in force."""
        if version > max(self.version, self._version_told):
            self._version_told = version
            self._told.set()

    def check(self) -> None:
        """Read the state again, as connections to the store seem to have gone silent."""
        self._is_doubted = True
        self._told.set()

    def listing(self) -> Listing:
        """Return what is known, for a peer."""
        return Listing(items=list(self._items.values()), revision=self._revision)

    def run_read(self) -> None:
        """Read the state once at start and whenever a peer has a newer one."""
        if self._revision >= 0:
            self._told.wait()
            self._told.clear()
            # A watch may bring it in the same moment.
            gevent.sleep(OPERATOR_PAUSE_S)
            if self._version_told <= self.version and not self._is_doubted:
                return
        self._is_doubted = False
        try:
            self._replace(self._source.read())
            self._availability.answered()
        except SourceError as error:
            pause_s = self._availability.failed(error)
            listing = self._peer_listing()
            if listing is not None:
                self._replace(listing)
            gevent.sleep(pause_s)
            if self._version_told > self.version:
                self._told.set()

    def run_watch(self) -> None:
        """Wait for one change."""
        if self._revision < 0:
            gevent.sleep(OPERATOR_PAUSE_S)
            return
        try:
            changes = self._source.wait(self._revision, OPERATOR_WAIT_S)
        except HistoryGoneError:
            self._log.info("store history gone", part="operator state", revision=self._revision)
            self._reread()
            return
        except SourceError as error:
            gevent.sleep(self._availability.failed(error))
            self._reread()
            return
        self._availability.answered()
        if changes.items:
            self._update(changes)
        self._revision = max(self._revision, changes.revision)
        gevent.sleep(OPERATOR_PAUSE_S)

    def _reread(self) -> None:
        """Read everything, since a watch that failed may have missed changes."""
        try:
            self._replace(self._source.read())
            self._availability.answered()
        except SourceError as error:
            gevent.sleep(self._availability.failed(error))

    def _replace(self, listing: Listing) -> None:
        if listing.revision < self._revision:
            return
        self._items = {item.key: item for item in listing.items}
        self._revision = listing.revision
        self._apply()

    def _update(self, changes: Listing) -> None:
        for item in changes.items:
            known = self._items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self._items[item.key] = item
        self._apply(max(item.revision for item in changes.items))

    def _apply(self, version: int = -1) -> None:
        present = [item for item in self._items.values() if item.value is not None]
        version = max([version, *(item.revision for item in self._items.values())])
        state = self._platform.decode_operator_state(Listing(items=present, revision=version))
        if state is None:
            self._log.warning("operator state not usable", revision=version)
            return
        current = self.state
        if current is not None:
            if state.configuration.revision < current.configuration.revision:
                return
            if state == current:
                return
        self.state = state
        self._on_state(state)


class TargetFollower:
    """Keeps the directory of targets current while this instance places requests.

    :param on_change: called after each change of the directory.
    :param on_availability: called when the store is lost or regained.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        directory: TargetDirectory,
        on_change: Callable[[], None],
        on_availability: Callable[[], None],
        log: InstanceLog,
        random: Random,
    ) -> None:
        self._source = platform.target_items
        self._directory = directory
        self._on_change = on_change
        self._on_availability = on_availability
        self._log = log
        self._random = random
        self._availability = _Availability(part="targets", log=log, random=random)
        self._needed_until_s = float("-inf")
        self._wake = Event()
        self._checked_s = float("-inf")
        self._is_following = False
        self._answered_s = float("-inf")
        self._peer_listing: Callable[[], Listing | None] = lambda: None

    def read_from_peers_by(self, read: Callable[[], Listing | None]) -> None:
        """Set how to read the entries from a peer while the store does not answer."""
        self._peer_listing = read

    @property
    def is_current(self) -> bool:
        """Whether the directory is as the store had it a moment ago."""
        return self._is_following and _clock.now_s() - self._answered_s <= CURRENT_AGE_S

    @property
    def age_ms(self) -> int:
        """Age of the latest news of the targets, at most a day."""
        return int(1000 * min(DAY_S, _clock.now_s() - self._answered_s))

    @property
    def store_reachable(self) -> bool:
        """Whether the store answered the last call."""
        return not self._availability.is_lost

    def need(self) -> None:
        """Note that this instance places requests now."""
        was_needed = self._is_needed
        self._needed_until_s = _clock.now_s() + TARGET_NEED_S
        if not was_needed:
            self._wake.set()

    def check(self) -> None:
        """Find out whether the store answers this instance, as it does not answer a peer."""
        now_s = _clock.now_s()
        is_due = now_s - self._checked_s > CHECK_INTERVAL_S
        if is_due and self.store_reachable and now_s - self._answered_s > CHECK_AGE_S:
            self._checked_s = now_s
            self._wake.set()

    @property
    def _is_needed(self) -> bool:
        return _clock.now_s() < self._needed_until_s

    def run(self) -> None:
        """Make one step: follow changes while that is needed, else refresh a spare list."""
        if not self._is_needed:
            self._is_following = False
            if len(self._directory):
                self._wake.wait(SPARE_LIST_INTERVAL_S * self._random.uniform(0.8, 1.2))
        self._wake.clear()
        is_needed = self._is_needed
        try:
            if is_needed and self._is_following:
                self._follow()
            else:
                self._read(allow_stale=not is_needed)
                self._is_following = is_needed
        except HistoryGoneError:
            self._log.info("store history gone", part="targets", revision=self._directory.revision)
            self._is_following = False
        except SourceError as error:
            self._fail(error)
        if self._directory.drop_missing(_clock.now_s()):
            self._on_change()

    def _follow(self) -> None:
        changes = self._source.wait(self._directory.revision, TARGET_WAIT_S)
        self._note_answer()
        if self._directory.update(changes, _clock.now_s()):
            self._on_change()
        gevent.sleep(TARGET_PAUSE_S)

    def _read(self, *, allow_stale: bool) -> None:
        listing = self._source.read(allow_stale=allow_stale)
        self._note_answer()
        if self._directory.replace(listing, _clock.now_s()):
            self._on_change()

    def _note_answer(self) -> None:
        self._answered_s = _clock.now_s()
        if self._availability.answered():
            self._on_availability()

    def _fail(self, error: SourceError) -> None:
        self._directory.store_failed()
        was_lost = self._availability.is_lost
        pause_s = self._availability.failed(error)
        if not was_lost:
            self._on_availability()
        if not len(self._directory):
            listing = self._peer_listing()
            if listing is not None and self._directory.replace(listing, _clock.now_s()):
                # What a peer knows is no answer of the store.
                self._directory.store_failed()
                self._on_change()
        self._is_following = False
        gevent.sleep(pause_s)
