"""Positions in the platform's store: an era and a revision in one ordered integer.

A store that comes back from an older copy gives revisions out again in a new era. Positions of era
0 equal the revisions, and positions are ordered over eras.
"""

REVISION_BITS = 48
REVISION_MAX = 2**REVISION_BITS - 1
# Positions fit into a signed integer of 64 bits in messages between instances.
ERA_MAX = 2 ** (63 - REVISION_BITS) - 1


def store_position(era: int, revision: int) -> int:
    """Return the position of a revision of an era.

    :raises ValueError: when one of them is out of its range.
    """
    if not (0 <= era <= ERA_MAX and 0 <= revision <= REVISION_MAX):
        raise ValueError(f"no position for era {era} and revision {revision}")
    return era << REVISION_BITS | revision


def era_of(position: int) -> int:
    """Return the era of a position; -1 for the position -1 of a reader that has read nothing."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & REVISION_MAX
