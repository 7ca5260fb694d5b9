"""Outcome of one try of a request at a target."""

from enum import IntEnum


class Outcome(IntEnum):
    """How a try ended.

    ``SHED`` is the target's explicit response ``503`` with ``Load-Shed: not-started``; any other
    response of 500 or above is an ``ERROR``. ``CONNECT_FAILURE`` means that no byte of the request
    was sent. ``CANCELLED`` means that the caller disconnected; it says nothing about the target.
    """

    SUCCESS = 0
    ERROR = 1
    TIMEOUT = 2
    SHED = 3
    CONNECT_FAILURE = 4
    BROKEN_BEFORE_HEAD = 5
    BROKEN_AFTER_HEAD = 6
    CANCELLED = 7


# Outcomes that count as evidence against a target or the link to it.
FAILURES = frozenset(
    {
        Outcome.ERROR,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILURE,
        Outcome.BROKEN_BEFORE_HEAD,
        Outcome.BROKEN_AFTER_HEAD,
    }
)

# Outcomes after which the request certainly did not start at the target.
NOT_STARTED = frozenset({Outcome.SHED, Outcome.CONNECT_FAILURE})
