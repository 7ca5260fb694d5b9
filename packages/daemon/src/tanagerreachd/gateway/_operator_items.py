"""Items of the operator state, as the store lists them and as they are in force.

The first listing of a new era of the store may be older than what was read before. Where it
differs, the items in force are held until the operators' writes are back.
"""

from collections.abc import Callable

from ._sources import Listing, StoredItem
from ._store_position import era_of

# Operators and targets write again within 2 s of the store's return; a data centre that was taken
# out meanwhile is out of use later by this time, which its bound of 5 s allows.
OPERATOR_RETURN_S = 2.2

MayReplace = Callable[[StoredItem, StoredItem | None], bool]


class OperatorItems:
    """Items by key, with those that are held against the listing of a new era.

    :param may_replace: returns whether a listed item, ``None`` for a missing one, may take effect
        in place of a held one.
    """

    __slots__ = ("_held", "_held_until_s", "_listed", "_may_replace", "revision")

    def __init__(self, *, may_replace: MayReplace) -> None:
        self._may_replace = may_replace
        self._listed: dict[str, StoredItem] = {}
        # The value of a held item is ``None`` when the item was not there.
        self._held: dict[str, StoredItem] = {}
        # Time at which the held items are released, ``None`` when that is not to come or is over.
        self._held_until_s: float | None = None
        self.revision = -1

    @property
    def held_count(self) -> int:
        """Number of items in force that the store lists otherwise."""
        return len(self._held)

    @property
    def newest_revision(self) -> int:
        """Revision of the newest listed item, -1 without items."""
        return max((item.revision for item in self._listed.values()), default=-1)

    def in_force(self) -> list[StoredItem]:
        """Return the present items in force."""
        items = {**self._listed, **self._held}
        return [item for item in items.values() if item.value is not None]

    def listing(self, now_s: float) -> Listing:
        """Return the items for a peer."""
        return Listing(
            items=list(self._listed.values()),
            revision=self.revision,
            held_items=list(self._held.values()),
            held_left_s=self.held_left_s(now_s) or 0.0,
        )

    def replace(self, listing: Listing, now_s: float) -> bool:
        """Replace the listed items.

        :returns: whether an item was removed, which the revisions of the others do not tell.
        """
        listed = {item.key: item for item in listing.items}
        known, self._listed = self._listed, listed
        if era_of(listing.revision) > era_of(self.revision):
            self._hold(known, listing, now_s)
        else:
            self._release_changed(known, listed)
        self.revision = listing.revision
        return not {key for key, item in known.items() if item.value is not None} <= listed.keys()

    def update(self, changes: Listing) -> bool:
        """Apply changes; return whether there are items among them."""
        known = dict(self._listed)
        for item in changes.items:
            before = known.get(item.key)
            if before is None or before.revision < item.revision:
                self._listed[item.key] = item
        self._release_changed(known, self._listed)
        self.revision = max(self.revision, changes.revision)
        return bool(changes.items)

    def held_left_s(self, now_s: float) -> float | None:
        """Return the time until held items are released, ``None`` when none is to be."""
        return None if self._held_until_s is None else max(0.0, self._held_until_s - now_s)

    def release(self, now_s: float) -> bool:
        """Release the held items when their time is over; return whether there were any."""
        if self._held_until_s is None or now_s < self._held_until_s:
            return False
        self._held_until_s = None
        return self._release(set(self._held))

    def _hold(self, known: dict[str, StoredItem], listing: Listing, now_s: float) -> None:
        in_force = {**known, **self._held}
        held: dict[str, StoredItem] = {}
        held_s = listing.held_left_s
        if self.revision >= 0:
            held_s = OPERATOR_RETURN_S
            for key in in_force.keys() | self._listed.keys():
                absent = StoredItem(key=key, value=None, revision=self.revision)
                item = in_force.get(key, absent)
                if item.value != _value(self._listed.get(key)):
                    held[key] = item
        for item in listing.held_items:
            before = in_force.get(item.key)
            if before is None or before.revision < item.revision:
                held[item.key] = item
        self._held = held
        self._held_until_s = now_s + held_s if held else None

    def _release_changed(self, known: dict[str, StoredItem], listed: dict[str, StoredItem]) -> None:
        if not self._held:
            return
        changed = {key for key in self._held if _revision(known, key) != _revision(listed, key)}
        self._release(changed)

    def _release(self, keys: set[str]) -> bool:
        released = [key for key in keys if self._may_replace(self._held[key], self._present(key))]
        for key in released:
            del self._held[key]
        return bool(released)

    def _present(self, key: str) -> StoredItem | None:
        item = self._listed.get(key)
        return None if item is None or item.value is None else item


def _value(item: StoredItem | None) -> bytes | None:
    return None if item is None else item.value


def _revision(items: dict[str, StoredItem], key: str) -> int:
    return items[key].revision if key in items else -1
