"""Requests placements and quota from the homes of services and workspaces."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.queue import Empty, Queue
from tanagerreach_core.messages import (
    PlacementCompletion,
    PlacementReply,
    PlacementRequest,
    PlacementState,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    RefusalNotice,
)
from tanagerreach_core.placement import CrashStreaks, Peer, PeerTable, TargetNotice
from tanagerreach_core.rights import service_rendezvous_key, workspace_rendezvous_key
from tanagerreach_core.traffic import Outcome

from .. import _clock
from .._logs import InstanceLog
from .._peer_codec import MessageTooLargeError
from ._home_server import HomeServer
from ._peer_calls import PeerCalls

# Homes that are tried before the instance decides by itself.
MAX_HOMES_TRIED = 3
# Interval at which the placement request of a queued request is sent again, as the reply may have
# been lost.
QUEUE_CHECK_INTERVAL_S = 0.4


@dataclass(slots=True, kw_only=True)
class Placement:
    """Reply to a placement request.

    :param home: the peer that decided, ``None`` for this instance.
    :param decided_alone: whether this instance decided because no home replied.
    :param waited_s: time until the reply.
    """

    placement_request: PlacementRequest
    reply: PlacementReply
    home: Peer | None
    decided_alone: bool = False
    waited_s: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the request may be sent to the target of the reply."""
        return self.reply.state is PlacementState.GRANTED


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaUnit:
    """Reply to a quota request.

    :param home: the peer that replied, ``None`` for this instance.
    """

    reply: QuotaReply
    workspace: str
    home: Peer | None


class PlacementClient:
    """Gets placements and quota from the homes, or from this instance when no home replies.

    :param own_name: this instance's name.
    :param crashes: requests that may crash targets, as this instance knows them.
    :param on_home_lost: called when a home did not reply, to tell it that it is no longer used.
    """

    def __init__(
        self,
        *,
        own_name: str,
        peer_table: PeerTable,
        calls: PeerCalls,
        homes: HomeServer,
        crashes: CrashStreaks,
        on_home_lost: Callable[[Peer], None],
        log: InstanceLog,
    ) -> None:
        self._on_home_lost = on_home_lost
        self._own_name = own_name
        self._peer_table = peer_table
        self._calls = calls
        self._homes = homes
        self._crashes = crashes
        self._log = log
        # Call ids of the grants that requests use.
        self._in_use: set[int] = set()

    def acquire(self, make_request: Callable[[int, bool], PlacementRequest]) -> Placement:
        """Wait for a placement at a target, or for a refusal.

        :param make_request: builds the placement request from a call id and from whether a list of
            targets that may be out of date is accepted; called anew for each home, since the
            remaining time shrinks.
        """
        started_s = _clock.now_s()
        placement = self._acquire(make_request)
        placement.waited_s = _clock.now_s() - started_s
        if placement.is_granted:
            self._in_use.add(placement.placement_request.call_id)
        return placement

    def _acquire(self, make_request: Callable[[int, bool], PlacementRequest]) -> Placement:
        first = make_request(self._calls.next_id(), False)
        homes = self._homes_of(service_rendezvous_key(first.service))
        # When no home has a current list of targets, the first that replies decides by a stale one.
        for accepts_stale in (False, True):
            if not accepts_stale and homes and not self._peer_table.store_reachable(homes[0]):
                continue
            for home in list(homes):
                placement_request = make_request(self._calls.next_id(), accepts_stale)
                try:
                    reply = self._request_placement(home, placement_request)
                except MessageTooLargeError as error:
                    homes.remove(home)
                    self._log.failure(error)
                    continue
                if reply is None:
                    homes.remove(home)
                    self._record_lost_home(home, placement_request.service)
                elif reply.state is not PlacementState.NOT_CURRENT:
                    return Placement(placement_request=placement_request, reply=reply, home=home)
        placement_request = make_request(self._calls.next_id(), True)
        placement_request.is_decided_alone = True
        return Placement(
            placement_request=placement_request,
            reply=self._request_placement(None, placement_request),
            home=None,
            decided_alone=True,
        )

    def complete(
        self,
        placement: Placement,
        outcome: Outcome,
        latency_s: float,
        *,
        notice: TargetNotice | None = None,
        notice_age_s: float = 0.0,
    ) -> None:
        """Report the completion of a request to the home that placed it.

        :param notice: what the target asked for in a response, ``None`` without one.
        :param notice_age_s: time since that response.
        """
        placement_request = placement.placement_request
        self._in_use.discard(placement_request.call_id)
        self._crashes.observe_own(
            placement_request.fingerprint,
            placement_request.call_id,
            outcome,
            _clock.now_s(),
            is_retryable=placement_request.is_retryable,
        )
        self._report_completion(
            placement.home,
            PlacementCompletion(
                call_id=placement_request.call_id,
                service=placement_request.service,
                target=placement.reply.target,
                outcome=outcome,
                latency_ms=int(1000 * latency_s),
                fingerprint=placement_request.fingerprint,
                notice=notice,
                notice_age_ms=int(1000 * notice_age_s),
            ),
        )

    def take_quota(self, workspace: str) -> QuotaUnit:
        """Take one unit of a workspace's quota."""
        homes = self._homes_of(workspace_rendezvous_key(workspace))
        if homes and self._peer_table.uses_own_part(homes[0], _clock.now_s()):
            unit = self._take_own_part(workspace)
            if unit.reply.is_granted:
                return unit
        refused: QuotaUnit | None = None
        for home in homes:
            quota_request = QuotaRequest(
                call_id=self._calls.next_id(),
                workspace=workspace,
                suspected_names=self._peer_table.suspected_names(_clock.now_s()),
            )
            if home is None:
                reply = self._homes.take_quota(quota_request)
                unit = QuotaUnit(reply=reply, workspace=workspace, home=None)
                return unit if reply.is_granted else refused or unit
            queue = self._calls.open(quota_request.call_id)
            try:
                reply = self._calls.call(home.address, quota_request, queue)
            except MessageTooLargeError as error:
                self._log.failure(error)
                continue
            finally:
                self._calls.close(quota_request.call_id)
            if reply is None:
                self._record_lost_home(home, workspace)
                continue
            unit = QuotaUnit(reply=reply, workspace=workspace, home=home)
            if reply.is_granted:
                return unit
            refused = refused or unit
            if not self._peer_table.is_settling(home, _clock.now_s()):
                return refused
            # The home before may still hold the right.
        return refused or self._take_own_part(workspace)

    def _take_own_part(self, workspace: str) -> QuotaUnit:
        """Take one unit of this instance's own part of a workspace's quota."""
        quota_request = QuotaRequest(call_id=self._calls.next_id(), workspace=workspace)
        reply = self._homes.take_quota(quota_request, is_own_part=True)
        return QuotaUnit(reply=reply, workspace=workspace, home=None)

    def return_quota(self, unit: QuotaUnit) -> None:
        """Return a unit of quota whose request did not run."""
        message = QuotaReturn(call_id=unit.reply.call_id, workspace=unit.workspace)
        if unit.home is None:
            self._homes.take_back_quota(message)
        else:
            self._calls.send(unit.home.address, message)

    def report_refusal(self, service: str) -> None:
        """Report to a service's home that a request was refused without a placement request."""
        homes = self._homes_of(service_rendezvous_key(service))
        if not homes or homes[0] is None:
            self._homes.record_refusal(service)
        else:
            self._calls.send(homes[0].address, RefusalNotice(service=service))

    def release_late(self, source: str, reply: PlacementReply) -> None:
        """Release a placement that was granted too late for its request.

        A grant that a request uses or has used arrives again when its home got the placement
        request twice; it is not released, since the request reports its own outcome.
        """
        is_repeated = reply.call_id in self._in_use or self._calls.is_unconfirmed(reply.call_id)
        if reply.state is not PlacementState.GRANTED or is_repeated:
            return
        completion = PlacementCompletion(
            call_id=reply.call_id,
            service=reply.service,
            target=reply.target,
            outcome=Outcome.CANCELLED,
            latency_ms=0,
        )
        self._calls.send_until_confirmed(source, completion)

    def _homes_of(self, rendezvous_key: bytes) -> list[Peer | None]:
        return self._peer_table.homes(rendezvous_key, _clock.now_s(), most=MAX_HOMES_TRIED)

    def _record_lost_home(self, home: Peer, resource: str) -> None:
        now_s = _clock.now_s()
        is_new = now_s >= home.suspected_until_s
        self._peer_table.suspect(home.name, now_s)
        if is_new:
            self._on_home_lost(home)
        self._log.warning("dependency lost", dependency="peer", peer=home.name, thing=resource)

    def _request_placement(
        self, home: Peer | None, placement_request: PlacementRequest
    ) -> PlacementReply | None:
        """Request a placement from one home until it decides.

        :returns: the reply, ``None`` when the home does not reply.
        """
        queue = self._calls.open(placement_request.call_id)
        reply = None
        try:
            reply = self._call(home, placement_request, queue)
            while reply is not None and reply.state is PlacementState.QUEUED:
                try:
                    reply = queue.get(timeout=QUEUE_CHECK_INTERVAL_S)
                except Empty:
                    reply = self._call(home, placement_request, queue)
            return reply
        except BaseException:
            self._withdraw(home, placement_request, queue)
            raise
        finally:
            self._calls.close(placement_request.call_id)

    def _call(
        self, home: Peer | None, placement_request: PlacementRequest, queue: Queue
    ) -> Any | None:
        if home is None:
            self._homes.place(self._own_name, placement_request, queue.put)
            return queue.get()
        return self._calls.call(home.address, placement_request, queue)

    def _withdraw(
        self, home: Peer | None, placement_request: PlacementRequest, queue: Queue
    ) -> None:
        """Withdraw a cancelled request from its home's queue and release its placement."""
        target = ""
        while not queue.empty():
            reply = queue.get()
            if reply.state is PlacementState.GRANTED:
                target = reply.target
        self._report_completion(
            home,
            PlacementCompletion(
                call_id=placement_request.call_id,
                service=placement_request.service,
                target=target,
                outcome=Outcome.CANCELLED,
                latency_ms=0,
            ),
        )

    def _report_completion(self, home: Peer | None, message: PlacementCompletion) -> None:
        if home is None:
            self._homes.complete(self._own_name, message)
        else:
            self._calls.send_until_confirmed(home.address, message)
