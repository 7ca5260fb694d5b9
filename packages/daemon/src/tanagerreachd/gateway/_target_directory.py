"""Directory of the registered targets, as this instance last read them."""

from collections.abc import Callable
from dataclasses import dataclass

from ._sources import ListedTarget, Listing, StoredItem
from ._store_position import era_of

# Targets whose entries expired during a store outage register again within 2 s of its end.
RETURN_GRACE_S = 2.2
# Entries outlive store outages that are shorter than this.
OUTAGE_MIN_S = 2.0
# When the store itself is down, entries expire together. Fewer missing entries than the larger of
# this share and this count are targets that left meanwhile.
LAPSED_SHARE = 0.2
LAPSED_COUNT_MIN = 2
# A store that comes back from an older copy may list targets that left up to this long before. The
# copy is some seconds old.
LEFT_MEMORY_S = 60.0


@dataclass(slots=True, kw_only=True)
class _Entry:
    item: StoredItem
    target: ListedTarget | None
    cold_until_s: float
    # Whether the entry is missing but kept, since its target may register again.
    is_missing: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class _LeftEntry:
    """The last entry of a target that left, and when that was known."""

    item: StoredItem
    target: ListedTarget
    left_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class KnownTarget:
    """A target with the end of its cold phase by this instance's clock.

    :param is_listed: whether the latest list has it; otherwise it may register again soon.
    """

    target: ListedTarget
    cold_until_s: float
    is_listed: bool = True


class TargetDirectory:
    """Entries of all targets by store key.

    :param decode: decodes an entry.
    :param on_skipped: called with an entry that describes no usable target, unless the entry before
        it under the same key did not either.
    """

    __slots__ = (
        "_last_response_s",
        "_decode",
        "_entries",
        "_left",
        "_store_restored_s",
        "_is_outage",
        "_is_store_unreachable",
        "_on_skipped",
        "_outage_began_s",
        "revision",
    )

    def __init__(
        self,
        *,
        decode: Callable[[StoredItem], ListedTarget | None],
        on_skipped: Callable[[StoredItem], None],
    ) -> None:
        self._decode = decode
        self._on_skipped = on_skipped
        self._entries: dict[str, _Entry] = {}
        self._left: dict[str, _LeftEntry] = {}
        self._is_store_unreachable = False
        self._is_outage = False
        self._store_restored_s = float("-inf")
        self._last_response_s = float("-inf")
        # Time of the last list before the latest outage.
        self._outage_began_s = float("-inf")
        self.revision = -1

    def record_store_failure(self, *, is_outage: bool = True) -> None:
        """Record a failed call to the store.

        :param is_outage: whether the store may be down. Otherwise only this instance does not reach
            it, and a target whose entry is missing afterwards has left.
        """
        self._is_store_unreachable = True
        self._is_outage |= is_outage

    def replace(self, listing: Listing, now_s: float) -> bool:
        """Replace all entries, unless the listing is older than the known entries.

        :returns: whether the targets may have changed.
        """
        if listing.revision < self.revision:
            self._record_response(0, now_s)
            return False
        listed = {item.key for item in listing.items}
        is_new_era = self.revision >= 0 and era_of(listing.revision) > era_of(self.revision)
        missing_count = len(set(self._entries) - listed)
        self._record_response(missing_count, now_s, has_lost_writes=is_new_era)
        for item in listing.items:
            self._put(item, now_s)
        for key in set(self._entries) - listed:
            self._remove(key, now_s)
        self.revision = listing.revision
        return True

    def update(self, listing: Listing, now_s: float) -> bool:
        """Apply changes.

        :returns: whether the targets may have changed.
        """
        latest = {item.key: item.value for item in listing.items}
        missing = [key for key, value in latest.items() if value is None and key in self._entries]
        self._record_response(len(missing), now_s)
        for item in listing.items:
            if item.value is None:
                known = self._entries.get(item.key)
                if known is not None and known.item.revision < item.revision:
                    self._remove(item.key, now_s)
            else:
                self._put(item, now_s)
        self.revision = max(self.revision, listing.revision)
        return bool(listing.items)

    def drop_missing(self, now_s: float) -> bool:
        """Drop missing entries whose targets did not register again in time.

        :returns: whether an entry was dropped.
        """
        if self._is_store_unreachable or now_s - self._store_restored_s < RETURN_GRACE_S:
            return False
        late = [key for key, entry in self._entries.items() if entry.is_missing]
        for key in late:
            self._forget(key, now_s)
        return bool(late)

    def of_service(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that are not draining."""
        return [
            KnownTarget(
                target=entry.target,
                cold_until_s=entry.cold_until_s,
                is_listed=not entry.is_missing,
            )
            for entry in self._entries.values()
            if entry.target is not None
            and entry.target.service == service
            and not entry.target.is_leaving
        ]

    @property
    def missing_count(self) -> int:
        """Number of entries that are kept although the latest list does not have them."""
        return sum(entry.is_missing for entry in self._entries.values())

    def outage_age_s(self, now_s: float) -> float:
        """Return the age of the last list that had the missing entries."""
        return now_s - self._outage_began_s

    def listing(self) -> Listing:
        """Return the entries as they were read, for a peer."""
        return Listing(
            items=[entry.item for entry in self._entries.values()], revision=self.revision
        )

    def __len__(self) -> int:
        return len(self._entries)

    def _record_response(
        self, missing_count: int, now_s: float, *, has_lost_writes: bool = False
    ) -> None:
        lapsed_count = max(LAPSED_COUNT_MIN, LAPSED_SHARE * len(self._entries))
        was_outage = self._is_outage and now_s - self._last_response_s >= OUTAGE_MIN_S
        if has_lost_writes or (was_outage and missing_count >= lapsed_count):
            self._store_restored_s = now_s
            self._outage_began_s = self._last_response_s
        self._is_store_unreachable = self._is_outage = False
        self._last_response_s = now_s

    def _put(self, item: StoredItem, now_s: float) -> None:
        known = self._entries.get(item.key)
        if known is not None and known.item.revision >= item.revision:
            known.is_missing = False
            return
        target = self._decode(item)
        if target is not None and self._is_of_older_copy(item, target, known):
            return
        if target is None and (known is None or known.target is not None):
            self._on_skipped(item)
        if _is_outdated(target, known):
            # An earlier heartbeat that was written late.
            known.item = item
            return
        cold_until_s = 0.0
        if target is not None and target.cold_left_s > 0:
            cold_until_s = now_s + target.cold_left_s
        self._entries[item.key] = _Entry(item=item, target=target, cold_until_s=cold_until_s)
        self._left.pop(item.key, None)

    def _is_of_older_copy(
        self, item: StoredItem, target: ListedTarget, known: _Entry | None
    ) -> bool:
        """Return whether an entry of a new era tells nothing newer than was known before it."""
        if known is not None:
            if target != known.target or era_of(item.revision) == era_of(known.item.revision):
                return False
            # The end of the cold phase counts from the write that is known.
            known.item = item
            known.is_missing = False
            return True
        left = self._left.get(item.key)
        if left is None or era_of(item.revision) == era_of(left.item.revision):
            return False
        return target.started_ms > 0 and not left.target.is_older_than(target)

    def _remove(self, key: str, now_s: float) -> None:
        """Remove an entry at once, or mark it missing shortly after a store outage."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if now_s - self._store_restored_s < RETURN_GRACE_S:
            entry.is_missing = True
        else:
            self._forget(key, now_s)

    def _forget(self, key: str, now_s: float) -> None:
        entry = self._entries.pop(key)
        expired_s = now_s - LEFT_MEMORY_S
        for name in [name for name, left in self._left.items() if left.left_s < expired_s]:
            del self._left[name]
        if entry.target is not None:
            self._left[key] = _LeftEntry(item=entry.item, target=entry.target, left_s=now_s)


def _is_outdated(target: ListedTarget | None, known: _Entry | None) -> bool:
    if target is None or known is None or known.target is None:
        return False
    return target.is_older_than(known.target)
