"""Asks the homes of services and workspaces on behalf of this instance's requests."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.queue import Empty, Queue
from tanagerreach_core.messages import (
    PlacementAsk,
    PlacementEnd,
    PlacementReply,
    PlacementState,
    QuotaAsk,
    QuotaReply,
    RefusalNotice,
)
from tanagerreach_core.placement import Peer, Roster
from tanagerreach_core.rights import service_thing, workspace_thing
from tanagerreach_core.traffic import Outcome

from .. import _clock
from .._logs import InstanceLog
from ._home_server import HomeServer
from ._peer_calls import PeerCalls

MAX_HOMES = 3
"""Homes that are asked before the instance decides by itself."""
QUEUE_CHECK_S = 0.4
"""Interval at which a waiting request asks its home again, as its place may have got lost."""


@dataclass(slots=True, kw_only=True)
class Place:
    """Answer to a request for a place.

    :param home: the peer that gave it, ``None`` for this instance.
    """

    ask: PlacementAsk
    reply: PlacementReply
    home: Peer | None

    @property
    def is_granted(self) -> bool:
        """Whether the request may be sent to the target of the reply."""
        return self.reply.state is PlacementState.GRANTED


class PlacementClient:
    """Gets places and quota from the homes, or from this instance when no home answers.

    :param own_name: this instance's name.
    """

    def __init__(
        self,
        *,
        own_name: str,
        roster: Roster,
        calls: PeerCalls,
        homes: HomeServer,
        log: InstanceLog,
    ) -> None:
        self._own_name = own_name
        self._roster = roster
        self._calls = calls
        self._homes = homes
        self._log = log

    def acquire(self, make_ask: Callable[[int, bool], PlacementAsk]) -> Place:
        """Wait for a place at a target, or for a refusal.

        :param make_ask: builds the question for an id, and whether a place by a list of targets
            that may be out of date will do; it is called for each home, as time has passed.
        """
        first = make_ask(self._calls.next_id(), False)
        homes = self._homes_of(service_thing(first.service))
        # When no home is sure of its targets, the first one that answers decides by what it has.
        for accepts_stale in (False, True):
            if not accepts_stale and homes and not self._roster.has_store(homes[0]):
                continue
            for home in list(homes):
                ask = make_ask(self._calls.next_id(), accepts_stale)
                reply = self._converse(home, ask)
                if reply is None:
                    homes.remove(home)
                    self._lose(home, ask.service)
                elif reply.state is not PlacementState.NOT_CURRENT:
                    return Place(ask=ask, reply=reply, home=home)
        ask = make_ask(self._calls.next_id(), True)
        return Place(ask=ask, reply=self._converse(None, ask), home=None)

    def end(self, place: Place, outcome: Outcome, latency_s: float) -> None:
        """Tell the home how the request ended."""
        self._tell_end(
            place.home,
            PlacementEnd(
                ask_id=place.ask.ask_id,
                service=place.ask.service,
                target=place.reply.target,
                outcome=outcome,
                latency_ms=int(1000 * latency_s),
                fingerprint=place.ask.fingerprint,
            ),
        )

    def take_quota(self, workspace: str) -> QuotaReply:
        """Take one request of a workspace's quota."""
        for home in self._homes_of(workspace_thing(workspace)):
            ask = QuotaAsk(ask_id=self._calls.next_id(), workspace=workspace)
            if home is None:
                return self._homes.take_quota(self._own_name, ask)
            queue = self._calls.open(ask.ask_id)
            try:
                reply = self._calls.ask(home.address, ask, queue)
            finally:
                self._calls.close(ask.ask_id)
            if reply is not None:
                return reply
            self._lose(home, workspace)
        ask = QuotaAsk(ask_id=self._calls.next_id(), workspace=workspace)
        return self._homes.take_quota(self._own_name, ask, 1 / self._roster.size())

    def tell_refusal(self, service: str) -> None:
        """Tell a service's home that a request was refused before it was asked."""
        homes = self._homes_of(service_thing(service))
        if not homes or homes[0] is None:
            self._homes.note_refusal(service)
        else:
            self._calls.send(homes[0].address, RefusalNotice(service=service))

    def discard(self, source: str, reply: PlacementReply) -> None:
        """Give back a place that came too late for its request."""
        if reply.state is not PlacementState.GRANTED:
            return
        end = PlacementEnd(
            ask_id=reply.ask_id,
            service=reply.service,
            target=reply.target,
            outcome=Outcome.CANCELLED,
            latency_ms=0,
        )
        self._calls.send_until_confirmed(source, end)

    def _homes_of(self, thing: bytes) -> list[Peer | None]:
        return self._roster.homes(thing, _clock.now_s())[:MAX_HOMES]

    def _lose(self, home: Peer, thing: str) -> None:
        self._roster.suspect(home.name, _clock.now_s())
        self._log.warning("dependency lost", dependency="peer", peer=home.name, thing=thing)

    def _converse(self, home: Peer | None, ask: PlacementAsk) -> PlacementReply | None:
        """Ask one home until it decides; ``None`` when it does not answer."""
        queue = self._calls.open(ask.ask_id)
        reply = None
        try:
            reply = self._ask(home, ask, queue)
            while reply is not None and reply.state is PlacementState.QUEUED:
                try:
                    reply = queue.get(timeout=QUEUE_CHECK_S)
                except Empty:
                    reply = self._ask(home, ask, queue)
            return reply
        except BaseException:
            self._leave(home, ask, queue)
            raise
        finally:
            self._calls.close(ask.ask_id)

    def _ask(self, home: Peer | None, ask: PlacementAsk, queue: Queue) -> Any | None:
        if home is None:
            self._homes.place(self._own_name, ask, queue.put)
            return queue.get()
        return self._calls.ask(home.address, ask, queue)

    def _leave(self, home: Peer | None, ask: PlacementAsk, queue: Queue) -> None:
        """Take a request whose caller left out of its home's line, and give back its place."""
        target = ""
        while not queue.empty():
            reply = queue.get()
            if reply.state is PlacementState.GRANTED:
                target = reply.target
        self._tell_end(
            home,
            PlacementEnd(
                ask_id=ask.ask_id,
                service=ask.service,
                target=target,
                outcome=Outcome.CANCELLED,
                latency_ms=0,
            ),
        )

    def _tell_end(self, home: Peer | None, message: PlacementEnd) -> None:
        if home is None:
            self._homes.end(self._own_name, message)
        else:
            self._calls.send_until_confirmed(home.address, message)
