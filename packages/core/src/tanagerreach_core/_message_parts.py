"""Divides messages that may exceed a datagram."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec

from ._placement_messages import CrashStreak, FailureDigest

# A datagram has 16 KiB; the rest is for the envelope and the other fields of a message.
MESSAGE_BYTES_MAX = 12_000
# Upper bound of what a list or a map adds to an entry.
ENTRY_OVERHEAD_BYTES = 8

Entry = TypeVar("Entry")


def encoded_bytes(value: Any) -> int:
    """Return the number of bytes that a value takes in a message."""
    return len(msgspec.msgpack.encode(value))


def divide(
    entries: Iterable[Entry],
    *,
    size_bytes: Callable[[Entry], int] = encoded_bytes,
    most_bytes: int = MESSAGE_BYTES_MAX,
) -> list[list[Entry]]:
    """Divide entries among parts of a limited size, in their order.

    An entry that is too large by itself gets a part of its own.

    :param most_bytes: largest size of the entries of a part.
    """
    parts: list[list[Entry]] = []
    left_bytes = 0
    for entry in entries:
        entry_bytes = size_bytes(entry) + ENTRY_OVERHEAD_BYTES
        if not parts or entry_bytes > left_bytes:
            parts.append([])
            left_bytes = most_bytes
        parts[-1].append(entry)
        left_bytes -= entry_bytes
    return parts


def digest_parts(digest: FailureDigest) -> list[FailureDigest]:
    """Divide a digest; all that it says of a target is in one part.

    :returns: at least one part.
    """
    most_bytes = MESSAGE_BYTES_MAX - encoded_bytes(digest.service)
    leaving = set(digest.leaving)

    def target_bytes(name: str) -> int:
        # The name stands once in each of the lists that have the target.
        times = 1 + (name in digest.limits_per_s) + (name in leaving)
        return times * (encoded_bytes(name) + encoded_bytes(digest.failure_probabilities[name]))

    contents: list[tuple[list[str], list[CrashStreak]]] = [
        (names, [])
        for names in divide(
            digest.failure_probabilities, size_bytes=target_bytes, most_bytes=most_bytes
        )
    ]
    contents += [([], streaks) for streaks in divide(digest.crash_streaks, most_bytes=most_bytes)]
    return [
        FailureDigest(
            service=digest.service,
            service_time_ms=digest.service_time_ms,
            failure_probabilities={name: digest.failure_probabilities[name] for name in names},
            crash_streaks=streaks,
            limits_per_s={
                name: digest.limits_per_s[name] for name in names if name in digest.limits_per_s
            },
            leaving=[name for name in names if name in leaving],
            part=number,
        )
        for number, (names, streaks) in enumerate(contents or [([], [])])
    ]
