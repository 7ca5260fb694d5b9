"""Runs the periodic steps of an instance, each in its own greenlet."""

from collections.abc import Callable

import gevent

FAILURE_PAUSE_S = 0.5


class Loops:
    """Repeats steps until they are stopped.

    :param on_failure: called with each exception of a step.
    """

    __slots__ = ("_greenlets", "_on_failure")

    def __init__(self, *, on_failure: Callable[[BaseException], None]) -> None:
        self._on_failure = on_failure
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, step: Callable[[], None], interval_s: float = 0.0) -> None:
        """Repeat a step, with a pause of ``interval_s`` after each run."""
        self._greenlets.append(gevent.spawn(self._repeat, step, interval_s))

    def stop(self) -> None:
        """End all loops, also within a step."""
        gevent.killall(self._greenlets)

    def _repeat(self, step: Callable[[], None], interval_s: float) -> None:
        while True:
            try:
                step()
            except Exception as error:
                # A failed step must not end its loop: it is reported and repeated.
                self._on_failure(error)
                gevent.sleep(FAILURE_PAUSE_S)
            gevent.sleep(interval_s)


def run_all(steps: list[Callable[[], None]]) -> None:
    """Run steps concurrently until all have ended."""
    gevent.joinall([gevent.spawn(step) for step in steps], raise_error=True)


def run_step(step: Callable[[], None], on_failure: Callable[[BaseException], None]) -> None:
    """Run one step of a sequence that goes on when the step fails.

    :param on_failure: called with the exception of the step.
    """
    try:
        step()
    except Exception as error:
        on_failure(error)
