"""WSGI application of the store stand-in: fault injection, call counts and watches."""

import time
from collections import Counter
from random import Random
from typing import Any

import bottle
import gevent
from gevent.event import Event

from ._http import Application, ConnectionDroppedError, Environ, StartResponse
from ._store_faults import RateLimiter, StoreFaults
from ._store_routes import MAX_WATCH_S, build_routes, json_response
from ._store_state import StoreState

LEASE_CHECK_INTERVAL_S = 0.05
READ_KINDS = frozenset({"kv_get", "kv_list", "watch", "instances_get"})


class StoreApplication:
    """WSGI application that adds faults, rate limits and call counts to the bottle routes.

    :param faults: initial fault switches.
    :param seed: seed of the random draws for ``lose_answers``.
    """

    def __init__(self, *, faults: StoreFaults, seed: int) -> None:
        self.faults = faults
        self.state = StoreState(clock=time.monotonic, on_change=self._wake_watches)
        self.calls: Counter[str] = Counter()
        self.unanswered: Counter[str] = Counter()
        self._random = Random(seed)
        self._changed = Event()
        self._limiters = {"read": RateLimiter(), "write": RateLimiter()}
        self._routes: Application = build_routes(self)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Any:
        """Handle one request; ``/control`` works in every mode."""
        if environ["PATH_INFO"].startswith("/control/"):
            return self._routes(environ, start_response)
        if self.faults.mode == "down":
            self._drop_connection("down")
        if self.faults.mode == "hang":
            self._wait_while_hanging()
            self._drop_connection("hang")
        delay_s = self.faults.delay_s / 2 if self.faults.mode == "slow" else 0.0
        # Half of the delay passes before the call takes effect and half after it, so that a client
        # that times out can't tell whether its write was made.
        gevent.sleep(delay_s)
        result = self._routes(environ, start_response)
        gevent.sleep(delay_s)
        if environ.get("tanagerreach.lost"):
            self._drop_connection("lost_answer")
        return result

    def watch(self, key: str, after: int, timeout_s: float) -> bool:
        """Wait until a key changes after a revision, or until the timeout.

        :returns: whether the key changed.
        """
        ends_at_s = time.monotonic() + min(timeout_s, MAX_WATCH_S)
        while not self.state.changed_after(key, after):
            remaining_s = ends_at_s - time.monotonic()
            if remaining_s <= 0:
                return False
            self._changed.wait(remaining_s)
            self._apply_outage_to_watch()
        return True

    def admit_call(self, kind: str) -> None:
        """Count a call and apply the rate limits.

        :raises bottle.HTTPResponse: 429 when the call exceeds the rate limit.
        """
        self.calls[kind] += 1
        is_read = kind in READ_KINDS
        rate_per_s = self.faults.reads_per_s if is_read else self.faults.writes_per_s
        if not self._limiters["read" if is_read else "write"].allows(rate_per_s):
            self.calls["rate_limited"] += 1
            raise json_response({"error": f"over the rate of {rate_per_s}/s; try later"}, 429)

    def mark_lost_response(self) -> None:
        """Mark the response to a completed write as lost, if ``lose_answers`` says so."""
        if self._draw_lost_response():
            bottle.request.environ["tanagerreach.lost"] = True

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the fault switches; waiting watches check for an outage at once."""
        self.faults = faults
        self._wake_watches()

    def expire_leases_forever(self) -> None:
        """Expire leases periodically, so that watches see the deletion of their keys in time."""
        while True:
            gevent.sleep(LEASE_CHECK_INTERVAL_S)
            self.state.expire_leases()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _drop_connection(self, reason: str) -> None:
        self.unanswered[reason] += 1
        raise ConnectionDroppedError

    def _wait_while_hanging(self) -> None:
        while self.faults.mode == "hang":
            self._changed.wait()

    def _apply_outage_to_watch(self) -> None:
        if self.faults.mode == "hang":
            self._wait_while_hanging()
            bottle.request.environ["tanagerreach.lost"] = True
        if self.faults.mode == "down":
            bottle.request.environ["tanagerreach.lost"] = True

    def _draw_lost_response(self) -> bool:
        losses = self.faults.lose_answers
        if isinstance(losses, float):
            return self._random.random() < losses
        if losses > 0:
            self.faults.lose_answers = losses - 1
            return True
        return False
