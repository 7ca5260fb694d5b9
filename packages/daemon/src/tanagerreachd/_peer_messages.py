"""Dispatches peer messages by type, and sends the replies."""

from collections.abc import Callable
from random import Random
from typing import Any

from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    ClaimReply,
    ClaimRequest,
    CrashSuspectNotice,
    Exchange,
    InstanceIncarnation,
    Message,
    ServiceReply,
    ServiceReport,
    TokenReply,
    TokenRequest,
)
from tanagerreach_core.rights import TokenHome
from tanagerreach_core.traffic import CrashRequestRegistry

from ._claim_coordinator import ClaimCoordinator
from ._exchanger import Exchanger
from ._service_dispatcher import ServiceDispatcher
from ._service_homes import ServiceHomes
from ._token_client import TokenClient

# Crash suspect notices sent in response to a peer's exchange; about 100 bytes each.
NOTICES_PER_EXCHANGE = 4


class PeerMessages:
    """Passes each message to the handler of its type.

    :param send: sends a message to a peer's address.
    :param record: records an event in the timeline.
    """

    __slots__ = (
        "_claims",
        "_crash_requests",
        "_exchanger",
        "_handlers",
        "_homes",
        "_members",
        "_now_s",
        "_random",
        "_record",
        "_send",
        "_services",
        "_token_home",
        "_tokens",
    )

    def __init__(
        self,
        *,
        exchanger: Exchanger,
        token_home: TokenHome,
        tokens: TokenClient,
        homes: ServiceHomes,
        services: ServiceDispatcher,
        claims: ClaimCoordinator,
        crash_requests: CrashRequestRegistry,
        members: MemberTable,
        send: Callable[[str, Message], None],
        record: Callable[[str, dict[str, object]], object],
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._exchanger = exchanger
        self._token_home = token_home
        self._tokens = tokens
        self._homes = homes
        self._services = services
        self._claims = claims
        self._crash_requests = crash_requests
        self._members = members
        self._send = send
        self._record = record
        self._now_s = now_s
        self._random = random
        self._handlers = self._handlers_by_type()

    def handle(
        self, sender: InstanceIncarnation, source: tuple[str, int], message: Message
    ) -> None:
        """Handle one message, and send the handler's reply if there is one."""
        address = f"{source[0]}:{source[1]}"
        if type(message) is ServiceReport:
            reply = self._homes.handle(message, sender, address)
        else:
            reply = self._handlers[type(message)](sender, message)
        if reply is not None:
            self._send(address, reply)

    def poll_report(self, address: str, report_poll: ServiceReply) -> None:
        """Poll an instance for its report.

        :param address: the instance's address, or an empty string for this instance.
        """
        if address:
            self._send(address, report_poll)
        else:
            self._services.handle_reply(report_poll)

    def announce_crash_suspect(self, notice: CrashSuspectNotice) -> None:
        """Announce a request that broke a target's connection on this instance."""
        self._record(
            "request-suspected",
            {"fingerprint": notice.fingerprint.hex(), "targets": notice.targets},
        )
        self._send_notice(notice)

    def _handlers_by_type(self) -> dict[type, Callable[[InstanceIncarnation, Any], Message | None]]:
        """Return the handlers by message type; a handler returns the reply to send, if any."""
        return {
            Exchange: self._on_exchange,
            TokenRequest: self._on_token_request,
            TokenReply: lambda _, reply: self._tokens.handle_reply(reply),
            ServiceReply: lambda _, reply: self._services.handle_reply(reply),
            ClaimRequest: self._on_claim_request,
            ClaimReply: lambda _, reply: self._claims.handle_reply(reply),
            CrashSuspectNotice: self._on_crash_suspect,
        }

    def _on_exchange(self, sender: InstanceIncarnation, exchange: Exchange) -> None:
        self._exchanger.handle(sender, exchange)
        # Datagrams may be lost, and instances without slots get notices only in this way.
        for notice in self._crash_requests.notices(self._now_s(), NOTICES_PER_EXCHANGE):
            self._send(exchange.peer_address, notice)

    def _on_token_request(self, sender: InstanceIncarnation, request: TokenRequest) -> TokenReply:
        return self._token_home.handle(request, sender.instance_id, self._now_s())

    def _on_claim_request(
        self, _sender: InstanceIncarnation, request: ClaimRequest
    ) -> ClaimReply | None:
        reply = self._claims.handle_request(request)
        return None if request.release else reply

    def _on_crash_suspect(self, _sender: InstanceIncarnation, notice: CrashSuspectNotice) -> None:
        if self._crash_requests.merge(notice, self._now_s()):
            self._send_notice(notice)

    def _send_notice(self, notice: CrashSuspectNotice) -> None:
        for partner in self._members.exchange_partners(self._now_s(), self._random):
            self._send(partner.peer_address, notice)
