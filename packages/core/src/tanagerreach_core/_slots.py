"""Immutable set of slot numbers."""

from collections.abc import Iterable, Iterator

BITS_PER_BYTE = 8


class SlotSet:
    """Set of slot numbers, stored as a bit mask.

    :param slots: the slot numbers, each zero or above.
    :raises ValueError: when a slot number is negative.
    """

    __slots__ = ("_mask",)

    def __init__(self, slots: Iterable[int] = ()) -> None:
        mask = 0
        for slot in slots:
            if slot < 0:
                raise ValueError(f"slot number {slot} is negative; use 0 or above")
            mask |= 1 << slot
        self._mask = mask

    @classmethod
    def from_bytes(cls, data: bytes) -> "SlotSet":
        """Decode a set from its little-endian bit mask."""
        result = cls()
        result._mask = int.from_bytes(data, "little")
        return result

    def to_bytes(self) -> bytes:
        """Encode the set as a little-endian bit mask without trailing zero bytes."""
        length = (self._mask.bit_length() + BITS_PER_BYTE - 1) // BITS_PER_BYTE
        return self._mask.to_bytes(length, "little")

    def __contains__(self, slot: int) -> bool:
        return slot >= 0 and bool(self._mask >> slot & 1)

    def __iter__(self) -> Iterator[int]:
        mask = self._mask
        while mask:
            lowest = mask & -mask
            yield lowest.bit_length() - 1
            mask ^= lowest

    def __len__(self) -> int:
        return self._mask.bit_count()

    def __or__(self, other: "SlotSet") -> "SlotSet":
        return self._with_mask(self._mask | other._mask)

    def __and__(self, other: "SlotSet") -> "SlotSet":
        return self._with_mask(self._mask & other._mask)

    def __sub__(self, other: "SlotSet") -> "SlotSet":
        return self._with_mask(self._mask & ~other._mask)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SlotSet) and self._mask == other._mask

    def __hash__(self) -> int:
        return hash(self._mask)

    def __repr__(self) -> str:
        return f"SlotSet({list(self)})"

    @classmethod
    def _with_mask(cls, mask: int) -> "SlotSet":
        result = cls()
        result._mask = mask
        return result
