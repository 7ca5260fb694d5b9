"""Replaces a try in flight that is late, once a placement for its replacement is in hand."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import get_hub
from tanagerreach_core.placement import InstanceRetryBudget

from .._upstream import TryAbort
from ._placement_client import Placement

# Pause before a replacement is asked for again; it doubles each time.
FIRST_PAUSE_S = 0.25


@dataclass(slots=True, kw_only=True, frozen=True)
class Replacement:
    """A placement that replaces a late try, and the budget that has reserved a retry for it."""

    placement: Placement
    budget: InstanceRetryBudget


class LateTrySearch:
    """Searches for a replacement of a try in flight from a time on, and then aborts the try.

    The search runs in a greenlet of its own, while the request's greenlet waits for the response.

    :param starts_after_s: time after which the search starts.
    :param ask: asks for a replacement once; returns it, or ``None``, and whether to ask again.
    :param release: gives a replacement back that is not used.
    :param on_failure: called with an unexpected exception of the search; the try then goes on.
    """

    __slots__ = (
        "_ask",
        "_greenlet",
        "_is_cancelled",
        "_on_failure",
        "_release",
        "_replacement",
        "_timer",
        "abort",
    )

    def __init__(
        self,
        *,
        starts_after_s: float,
        ask: Callable[[], tuple[Replacement | None, bool]],
        release: Callable[[Replacement], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.abort = TryAbort(on_head=self.cancel)
        self._ask = ask
        self._release = release
        self._on_failure = on_failure
        self._replacement: Replacement | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._is_cancelled = False
        self._timer = get_hub().loop.timer(max(0.0, starts_after_s))
        self._timer.start(self._start)

    def cancel(self) -> None:
        """End the search, as the try needs no replacement."""
        self._is_cancelled = True
        self._timer.close()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._release_found()

    def take(self) -> Replacement | None:
        """End the search of a try that was aborted or has failed.

        :returns: the replacement that was found. Without one, nothing is reserved any more.
        """
        self._timer.close()
        if self._greenlet is not None:
            try:
                self._greenlet.kill()
            except BaseException:
                self.cancel()
                raise
        replacement, self._replacement = self._replacement, None
        return replacement

    def _release_found(self) -> None:
        replacement, self._replacement = self._replacement, None
        if replacement is not None:
            self._release(replacement)

    def _start(self) -> None:
        self._greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                self._replacement, asks_again = self._ask()
            except Exception as error:
                self._on_failure(error)
                return
            if self._is_cancelled:
                self._release_found()
            if self._replacement is not None:
                self.abort.abort()
            if not asks_again:
                return
            gevent.sleep(pause_s)
            pause_s *= 2
