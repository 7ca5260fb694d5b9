"""Follows the operator state and the targets' entries in the platform's store.

Each call to the store is costly, and a watch returns at each change. Each target writes its entry
every heartbeat; therefore only instances that place requests follow the entries, and the others
read a stale list at intervals, to have one while the store is unreachable. The operator state is
followed by few instances of each group; the others learn from their peers' states that there is a
newer one, and read it from them.
"""

from collections.abc import Callable
from random import Random
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from .. import _clock
from .._logs import InstanceLog
from ._operator_items import OperatorItems
from ._sources import HistoryGoneError, Listing, OperatorState, Platform, SourceError
from ._store_position import era_of
from ._target_directory import TargetDirectory

# Longest wait of a watch of the operator state; heartbeats of peers announce changes it misses.
OPERATOR_WAIT_S = 10.0
# Least time between two reads; configurations in quick succession are read as one.
OPERATOR_PAUSE_S = 0.25
# A state that could not be put in force, or that the store returned damaged, is tried again after
# this time.
APPLY_RETRY_S = 1.0
TARGET_WAIT_S = 0.5
# An instance whose list of targets is older does not place requests while another instance has a
# newer one.
CURRENT_AGE_S = 1.6
# An instance that reads the operator state from peers waits for up to this time, so that not all
# of its group ask the first peers that have it.
PEER_READ_PAUSE_MAX_S = 0.1
# Time between two reads of changes; a draining target is avoided within a second.
TARGET_PAUSE_S = 0.6
# An instance follows the entries for this long after its last placement.
TARGET_FOLLOW_S = 10.0
# A younger response of the store is sufficient evidence that the store is reachable.
RECENT_RESPONSE_S = 0.5
# Least time between two checks of the store that heartbeats of peers cause: otherwise the whole
# fleet would flood a store that replies intermittently at each change.
CHECK_INTERVAL_S = 3.0
# Interval at which an instance that places no requests reads a stale list.
STALE_READ_INTERVAL_S = 4.0
# The same while no targets are listed.
EMPTY_READ_INTERVAL_S = 0.4
DAY_S = 86_400.0
FAILURE_PAUSE_MIN_S = 0.25
FAILURE_PAUSE_MAX_S = 1.0


class _WatchInterruptedError(Exception):
    """The watch was ended, since it may have missed a change."""


class _Backoff:
    """Exponential backoff with jitter, so that a store that recovers is not flooded."""

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
    """Logs once when a part of the store becomes unreachable, and once when it is back.

    :param regained_fields: returns further fields of the log line when it is back.
    """

    __slots__ = (
        "_backoff",
        "_failed_count",
        "_log",
        "_lost_s",
        "_part",
        "_regained_fields",
        "is_lost",
    )

    def __init__(
        self,
        *,
        part: str,
        log: InstanceLog,
        random: Random,
        regained_fields: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        self._part = part
        self._regained_fields = regained_fields
        self._log = log
        self._backoff = _Backoff(random)
        self._failed_count = 0
        self._lost_s = 0.0
        self.is_lost = False

    def record_success(self) -> bool:
        """Record a response; return whether the store was unreachable before."""
        self._backoff.reset()
        was_lost, self.is_lost = self.is_lost, False
        if was_lost:
            self._log.info(
                "dependency regained",
                dependency="store",
                part=self._part,
                lost_s=round(_clock.now_s() - self._lost_s, 2),
                failed_count=self._failed_count,
                **self._regained_fields(),
            )
        return was_lost

    def record_failure(self, error: SourceError) -> float:
        if not self.is_lost:
            self.is_lost = True
            self._failed_count = 0
            self._lost_s = _clock.now_s()
            self._log.warning(
                "dependency lost", dependency="store", part=self._part, reason=str(error)
            )
        self._failed_count += 1
        return self._backoff.next_s()


class OperatorStateFollower:
    """Keeps the newest operator state in force; never returns to an older one.

    :param on_state: called with each new state; an exception means that it is not in force.
    :param is_reader: returns whether this instance follows the state in the store.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        on_state: Callable[[OperatorState], None],
        is_reader: Callable[[], bool],
        log: InstanceLog,
        random: Random,
    ) -> None:
        self._platform = platform
        self._source = platform.operator_items
        self._is_reader = is_reader
        self._random = random
        self._on_state = on_state
        self._log = log
        self._availability = _Availability(part="operator state", log=log, random=random)
        self._items = OperatorItems(may_replace=platform.may_replace)
        self._peer_version = -1
        self._needs_read = False
        self._needs_apply = False
        self._is_damaged = False
        self._read_requested = Event()
        self._peer_listing: Callable[[], Listing | None] = lambda: None
        # Result of the watch, while it waits.
        self._watch: AsyncResult | None = None
        self.state: OperatorState | None = None

    def set_peer_reader(self, read: Callable[[], Listing | None]) -> None:
        """Set how to read the state from a peer while the store is unreachable."""
        self._peer_listing = read

    @property
    def version(self) -> int:
        """Version of the state in force, -1 before there is one."""
        return -1 if self.state is None else self.state.version

    def record_peer_version(self, version: int) -> None:
        """Record that a peer has a state of this version in force."""
        if version > max(self.version, self._peer_version):
            self._peer_version = version
            self._read_requested.set()

    def check(self) -> None:
        """Read the state again, as connections to the store may be dead."""
        self._needs_read = True
        self._read_requested.set()

    def listing(self) -> Listing:
        """Return the items as they were read, for a peer."""
        return self._items.listing(_clock.now_s())

    @property
    def _revision(self) -> int:
        return self._items.revision

    def run_read(self) -> None:
        """Read the state once at start, whenever a peer has a newer one, and after a failure."""
        if self._revision < 0:
            self._read()
            return
        is_requested = self._read_requested.wait(self._next_apply_s())
        if not is_requested:
            self._try_again()
        if self._items.release(_clock.now_s()):
            self._log.info("held operator state released", kept_count=self._items.held_count)
            self._apply()
        if not is_requested:
            return
        self._read_requested.clear()
        is_reader = self._is_reader()
        if is_reader:
            # The watch may return the newer state meanwhile.
            gevent.sleep(OPERATOR_PAUSE_S)
        else:
            self._needs_read = False
            gevent.sleep(self._random.uniform(0, PEER_READ_PAUSE_MAX_S))
        if not (self._is_behind or self._needs_read):
            return
        if self._is_behind and (not is_reader or self._availability.is_lost):
            self._read_from_peer()
        if not is_reader and not self._is_behind:
            return
        if self._read():
            # A watch that missed a change, or began before the store was lost, may never return.
            self._interrupt_watch()

    def _try_again(self) -> None:
        """Read or apply again what was damaged or could not be put in force."""
        if self._is_damaged:
            self._read()
        elif self._needs_apply:
            self._apply()

    def _next_apply_s(self) -> float | None:
        """Return the time until items are applied, or read, again without a change of theirs."""
        held_left_s = self._items.held_left_s(_clock.now_s())
        if not (self._needs_apply or self._is_damaged):
            return held_left_s
        return APPLY_RETRY_S if held_left_s is None else min(APPLY_RETRY_S, held_left_s)

    @property
    def _is_behind(self) -> bool:
        return self._peer_version > max(self.version, self._revision)

    def _read(self) -> bool:
        """Read all items from the store, or from a peer when the store does not respond.

        After a failure a further read is requested, so that the state is not as old as the pause
        until something else shows that the store responds again.

        :returns: whether the store responded.
        """
        self._needs_read = False
        try:
            listing = self._source.read()
        except SourceError as error:
            pause_s = self._availability.record_failure(error)
            if self._revision < 0 or self._is_behind:
                self._read_from_peer()
            gevent.sleep(pause_s)
            self.check()
            return False
        self._availability.record_success()
        if self._revision < 0 and era_of(listing.revision) > 0:
            # The store's copy may be older than what the peers have in force.
            self._read_from_peer()
        self._is_damaged = False
        self._record_damage(listing)
        self._replace(listing)
        return True

    def _record_damage(self, listing: Listing) -> None:
        """Let the items be read again when some of them were damaged on their way."""
        if listing.is_damaged:
            self._is_damaged = True
            self._read_requested.set()

    def _read_from_peer(self) -> None:
        listing = self._peer_listing()
        if listing is not None:
            self._replace(listing)

    def run_watch(self) -> None:
        """Wait for changes once and apply them."""
        if self._revision < 0 or self._availability.is_lost or not self._is_reader():
            # Reads probe the store until it responds.
            gevent.sleep(OPERATOR_PAUSE_S)
            return
        try:
            changes = self._wait()
        except _WatchInterruptedError:
            return
        except HistoryGoneError:
            revision = self._revision
            self._log.info("store history gone", part="operator state", revision=revision)
            if self._read() and self._revision == revision:
                # A peer's state is of an era that the store has not shown here yet.
                gevent.sleep(OPERATOR_PAUSE_S)
            return
        except SourceError as error:
            gevent.sleep(self._availability.record_failure(error))
            # The failed watch may have missed changes.
            self.check()
            return
        self._availability.record_success()
        self._record_damage(changes)
        if self._items.update(changes):
            self._apply(max(item.revision for item in changes.items))
        gevent.sleep(OPERATOR_PAUSE_S)

    def _wait(self) -> Listing:
        """Wait for changes until :meth:`_interrupt_watch` is called.

        :raises _WatchInterruptedError: when it was called.
        """
        result = self._watch = AsyncResult()
        call = gevent.spawn(self._call_wait, result)
        try:
            return result.get()
        finally:
            self._watch = None
            call.kill(block=False)

    def _call_wait(self, result: AsyncResult) -> None:
        try:
            result.set(self._source.wait(self._revision, OPERATOR_WAIT_S))
        except Exception as error:
            # Raised again by the greenlet that waits for the result.
            result.set_exception(error)

    def _interrupt_watch(self) -> None:
        if self._watch is not None:
            self._log.info("watch interrupted", part="operator state", revision=self._revision)
            self._watch.set_exception(_WatchInterruptedError())

    def _replace(self, listing: Listing) -> None:
        if listing.revision < self._revision:
            return
        is_new_era = era_of(listing.revision) > era_of(self._revision)
        has_removed = self._items.replace(listing, _clock.now_s())
        if is_new_era and self._items.held_count:
            self._log.info(
                "operator state held",
                held_count=self._items.held_count,
                era=era_of(listing.revision),
            )
            # The loop of reads releases the items.
            self._read_requested.set()
        self._apply(listing.revision if has_removed else -1)

    def _apply(self, version: int = -1) -> None:
        version = max(version, self.version, self._items.newest_revision)
        state = self._platform.decode_operator_state(
            Listing(items=self._items.in_force(), revision=version)
        )
        if state is None:
            self._log.warning("operator state cannot be decoded", revision=version)
            return
        current = self.state
        if current is not None:
            if state.configuration.revision < current.configuration.revision:
                return
            if state == current:
                return
        self.state = state
        self._needs_apply = False
        try:
            self._on_state(state)
        except Exception:
            # The state before stays in force, and this one is tried again.
            self.state = current
            self._needs_apply = True
            self._read_requested.set()
            raise


class TargetFollower:
    """Keeps the directory of targets current while this instance places requests.

    :param on_change: called after each change of the directory.
    :param on_availability: called when the store becomes unreachable or reachable.
    :param is_outage: returns whether most of the fleet does not reach the store either.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        directory: TargetDirectory,
        on_change: Callable[[], None],
        on_availability: Callable[[], None],
        is_outage: Callable[[], bool],
        log: InstanceLog,
        random: Random,
    ) -> None:
        self._is_outage = is_outage
        self._source = platform.target_items
        self._directory = directory
        self._on_change = on_change
        self._on_availability = on_availability
        self._log = log
        self._random = random
        self._availability = _Availability(
            part="targets",
            log=log,
            random=random,
            regained_fields=lambda: {"kept_count": directory.missing_count},
        )
        self._follow_until_s = float("-inf")
        self._wake = Event()
        self._checked_s = float("-inf")
        self._is_following = False
        self._last_response_s = float("-inf")
        self._peer_listing: Callable[[], Listing | None] = lambda: None

    def set_peer_reader(self, read: Callable[[], Listing | None]) -> None:
        """Set how to read the entries from a peer while the store is unreachable."""
        self._peer_listing = read

    @property
    def is_current(self) -> bool:
        """Whether the directory reflects a recent response of the store."""
        return self._is_following and _clock.now_s() - self._last_response_s <= CURRENT_AGE_S

    @property
    def age_ms(self) -> int:
        """Age of the latest response with targets, at most a day."""
        return int(1000 * min(DAY_S, _clock.now_s() - self._last_response_s))

    @property
    def store_reachable(self) -> bool:
        """Whether the last call to the store succeeded."""
        return not self._availability.is_lost

    def keep_current(self) -> None:
        """Follow the targets' entries for a while, as this instance places requests."""
        was_needed = self._is_needed
        self._follow_until_s = _clock.now_s() + TARGET_FOLLOW_S
        if not was_needed:
            self._wake.set()

    def check(self) -> None:
        """Check whether the store is reachable from here, as it is not from a peer."""
        now_s = _clock.now_s()
        is_due = now_s - self._checked_s > CHECK_INTERVAL_S
        if is_due and self.store_reachable and now_s - self._last_response_s > RECENT_RESPONSE_S:
            self._checked_s = now_s
            self._wake.set()

    @property
    def _is_needed(self) -> bool:
        return _clock.now_s() < self._follow_until_s

    def run(self) -> None:
        """Follow changes once while that is needed; otherwise refresh the stale list."""
        if not self._is_needed:
            self._is_following = False
            if self._has_read:
                pause_s = STALE_READ_INTERVAL_S if len(self._directory) else EMPTY_READ_INTERVAL_S
                self._wake.wait(pause_s * self._random.uniform(0.8, 1.2))
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
            self._handle_failure(error)
        if self._directory.drop_missing(_clock.now_s()):
            self._on_change()

    def _follow(self) -> None:
        changes = self._source.wait(self._directory.revision, TARGET_WAIT_S)
        is_changed = self._directory.update(changes, _clock.now_s())
        self._record_response()
        if is_changed:
            self._on_change()
        gevent.sleep(TARGET_PAUSE_S)

    def _read(self, *, allow_stale: bool) -> None:
        listing = self._source.read(allow_stale=allow_stale)
        if self._availability.is_lost:
            # Peers may have lost the store since the latest failed call.
            self._directory.record_store_failure(is_outage=self._is_outage())
        is_changed = self._directory.replace(listing, _clock.now_s())
        self._record_response()
        if is_changed:
            self._on_change()
        elif not allow_stale:
            # A peer's listing is of an era that the store has not shown here yet.
            gevent.sleep(TARGET_PAUSE_S)

    @property
    def _has_read(self) -> bool:
        return self._last_response_s > float("-inf")

    def _record_response(self) -> None:
        self._last_response_s = _clock.now_s()
        if self._availability.record_success():
            self._on_availability()

    def _handle_failure(self, error: SourceError) -> None:
        was_lost = self._availability.is_lost
        pause_s = self._availability.record_failure(error)
        if not was_lost:
            self._on_availability()
        self._directory.record_store_failure(is_outage=self._is_outage())
        if not len(self._directory):
            listing = self._peer_listing()
            if listing is not None and self._directory.replace(listing, _clock.now_s()):
                # A listing from a peer does not show that the store is reachable.
                self._directory.record_store_failure(is_outage=self._is_outage())
                self._on_change()
        self._is_following = False
        gevent.sleep(pause_s)
