"""Rendezvous order of the slots for a workspace, a service or a claim."""

from functools import lru_cache

import xxhash

from ._slots import SlotSet

ORDER_CACHE_SIZE = 4096


def workspace_rendezvous_key(workspace: str) -> bytes:
    """Return the rendezvous key of a workspace."""
    return b"w:" + workspace.encode()


def service_rendezvous_key(service: str) -> bytes:
    """Return the rendezvous key of a service."""
    return b"s:" + service.encode()


@lru_cache(maxsize=ORDER_CACHE_SIZE)
def rendezvous_order(rendezvous_key: bytes, slot_count: int) -> tuple[int, ...]:
    """Order all slots by preference for a rendezvous key.

    :param rendezvous_key: see :func:`workspace_rendezvous_key` and
        :func:`service_rendezvous_key`.
    :param slot_count: number of slots in the fleet.
    :returns: all slot numbers, the preferred one first; every instance gets the same order.
    """
    weights = [
        (xxhash.xxh3_64_intdigest(rendezvous_key, seed=slot), slot) for slot in range(slot_count)
    ]
    weights.sort(reverse=True)
    return tuple(slot for _, slot in weights)


def home_slot(rendezvous_key: bytes, candidates: SlotSet, slot_count: int) -> int:
    """Return the first slot in the key's rendezvous order that is a candidate.

    :raises ValueError: when the candidate set has no slot below ``slot_count``.
    """
    for slot in rendezvous_order(rendezvous_key, slot_count):
        if slot in candidates:
            return slot
    raise ValueError(f"candidate set has none of the {slot_count} slots; wait for a slot holder")


def claim_slots(claim_key: bytes, slot_count: int, claim_slot_count: int = 5) -> tuple[int, ...]:
    """Return the fixed slots at which a claim is recorded."""
    return rendezvous_order(b"c:" + claim_key, slot_count)[:claim_slot_count]
