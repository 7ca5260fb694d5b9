"""Admits requests at the rate of their workspace, by tokens requested from its home."""

from collections import deque
from collections.abc import Callable

from gevent.event import AsyncResult, Event
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import TokenReply, TokenRequest
from tanagerreach_core.rights import TokenCache, TokenHome

# Token demands that are not urgent are batched for this long.
MIN_SEND_INTERVAL_S = 0.005
MAX_SEND_INTERVAL_S = 1.0


class TokenClient:
    """Takes a token for each request, which waits while there is none.

    :param cache: tokens granted to this instance.
    :param home: token buckets of the workspaces whose home this instance is.
    :param send: sends a token request to a peer's address.
    """

    __slots__ = (
        "_home",
        "_instance_id",
        "_members",
        "_now_s",
        "_send",
        "_has_urgent_demand",
        "_waiters",
        "_cache",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        cache: TokenCache,
        home: TokenHome,
        members: MemberTable,
        send: Callable[[str, TokenRequest], None],
        now_s: Callable[[], float],
    ) -> None:
        self._instance_id = instance_id
        self._cache = cache
        self._home = home
        self._members = members
        self._send = send
        self._now_s = now_s
        self._has_urgent_demand = Event()
        self._waiters: dict[str, deque[AsyncResult]] = {}

    def admit(self, workspace: str, wait_limit_s: float) -> bool:
        """Take a token, waiting for one if necessary.

        :param wait_limit_s: maximum wait.
        :returns: false when no token was granted in time.
        """
        now_s = self._now_s()
        if self._cache.take(workspace, now_s):
            return True
        self._cache.wait(workspace, now_s)
        waiter = AsyncResult()
        self._waiters.setdefault(workspace, deque()).append(waiter)
        self._has_urgent_demand.set()
        granted = False
        try:
            granted = waiter.wait(timeout=wait_limit_s) is True
        finally:
            if not granted:
                granted = waiter.ready()
                self._remove_waiter(workspace, waiter, granted=granted)
        return granted

    def retry_after_s(self, workspace: str) -> float:
        """Return the time after which a refused request may be admitted."""
        return self._cache.wait_hint_s(workspace, self._now_s())

    def run(self) -> None:
        """Send token requests when they are due, until the greenlet is killed."""
        while True:
            self.send_due_requests()
            delay_s = min(MAX_SEND_INTERVAL_S, self._cache.next_due_s() - self._now_s())
            if self._has_urgent_demand.wait(timeout=max(MIN_SEND_INTERVAL_S, delay_s)):
                self._has_urgent_demand.clear()

    def send_due_requests(self) -> None:
        """Send the token requests that are due now."""
        now_s = self._now_s()
        candidates = self._members.candidates(now_s)
        for request in self._cache.due_requests(candidates, now_s):
            holder = self._members.holder_of(request.home_slot, now_s)
            if holder is None:
                continue
            if holder.instance_id == self._instance_id:
                self.handle_reply(self._home.handle(request, self._instance_id, now_s))
            else:
                self._send(holder.peer_address, request)

    def handle_reply(self, reply: TokenReply) -> None:
        """Record granted tokens and wake the requests that wait for them."""
        now_s = self._now_s()
        for workspace in self._cache.record(reply, now_s):
            self._wake(workspace, now_s)

    def _wake(self, workspace: str, now_s: float) -> None:
        waiters = self._waiters.get(workspace)
        while waiters and self._cache.take_waiting(workspace, now_s):
            waiters.popleft().set(True)
        if not waiters:
            self._waiters.pop(workspace, None)

    def _remove_waiter(self, workspace: str, waiter: AsyncResult, *, granted: bool) -> None:
        waiters = self._waiters.get(workspace)
        if granted or waiters is None:
            return
        if waiter in waiters:
            waiters.remove(waiter)
            self._cache.stop_waiting(workspace)
        if not waiters:
            del self._waiters[workspace]
