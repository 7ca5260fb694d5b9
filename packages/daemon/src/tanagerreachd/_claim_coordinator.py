"""Claims of non-idempotent requests: votes of this instance's slots, and its own ballots."""

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import ClaimReply, ClaimRequest, ClaimVote, SlotSet
from tanagerreach_core.rights import ClaimBallot, ClaimOutcome, ClaimTable

CLAIM_KEY_BYTES = 16
CLAIMANT_BYTES = 16
REQUEST_ID_BITS = 62
# A claim slot that has not voted within this time is sent the request again.
RESEND_INTERVAL_S = 0.05


def claim_key(workspace: str, route: str, idempotency_key: str) -> bytes:
    """Return the hash that identifies a non-idempotent request across its retries."""
    digest = hashlib.blake2s(digest_size=CLAIM_KEY_BYTES)
    for part in (workspace, route, idempotency_key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    return digest.digest()


@dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """A granted claim, which may be released only if the request certainly did not start."""

    key: bytes
    claimant: bytes
    slots: tuple[int, ...]


class ClaimCoordinator:
    """Holds the claim tables of this instance's slots, and runs ballots.

    :param send: sends a claim request to a peer's address.
    """

    __slots__ = (
        "_ballots",
        "_instance_id",
        "_members",
        "_now_s",
        "_send",
        "_slot_count",
        "_tables",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        slot_count: int,
        members: MemberTable,
        send: Callable[[str, ClaimRequest], None],
        now_s: Callable[[], float],
    ) -> None:
        self._instance_id = instance_id
        self._slot_count = slot_count
        self._members = members
        self._send = send
        self._now_s = now_s
        self._tables: dict[int, ClaimTable] = {}
        self._ballots: dict[int, tuple[ClaimBallot, Event]] = {}

    def add_table(self, table: ClaimTable) -> None:
        """Start voting for a slot."""
        self._tables[table.slot] = table

    def table(self, slot: int) -> ClaimTable | None:
        """Return the claim table of a slot, or ``None`` if this instance does not hold it."""
        return self._tables.get(slot)

    def drop_table(self, slot: int) -> ClaimTable | None:
        """Stop voting for a slot and return its table."""
        return self._tables.pop(slot, None)

    def acquire(self, key: bytes) -> Claim | ClaimOutcome:
        """Record a claim at a majority of its slots.

        :returns: the claim, or why there is none.
        """
        ballot = ClaimBallot(
            claim_key=key,
            claimant=secrets.token_bytes(CLAIMANT_BYTES),
            slot_count=self._slot_count,
            started_s=self._now_s(),
        )
        outcome = self._run(ballot)
        if outcome is ClaimOutcome.GRANTED:
            return Claim(key=key, claimant=ballot.claimant, slots=ballot.slots)
        self._release(ballot.claim_key, ballot.claimant, ballot.slots)
        return outcome

    def release(self, claim: Claim) -> None:
        """Release a claim whose request certainly did not start."""
        self._release(claim.key, claim.claimant, claim.slots)

    def handle_request(self, request: ClaimRequest) -> ClaimReply:
        """Vote for, or release, a claim at this instance's slots."""
        now_s = self._now_s()
        votes = {}
        for slot in request.slots:
            table = self._tables.get(slot)
            if table is None:
                continue
            if request.release:
                table.release(request.claim_key, request.claimant, now_s)
            else:
                votes[slot] = table.vote(request.claim_key, request.claimant, now_s)
        return ClaimReply(request_id=request.request_id, votes=votes)

    def handle_reply(self, reply: ClaimReply) -> None:
        """Count the votes in a reply."""
        running = self._ballots.get(reply.request_id)
        if running is None:
            return
        ballot, event = running
        if ballot.record(reply.votes, self._now_s()) is not ClaimOutcome.PENDING:
            event.set()

    def _run(self, ballot: ClaimBallot) -> ClaimOutcome:
        request_id = secrets.randbits(REQUEST_ID_BITS)
        event = Event()
        self._ballots[request_id] = (ballot, event)
        try:
            while (outcome := ballot.outcome(self._now_s())) is ClaimOutcome.PENDING:
                self._send_to_holders(
                    request_id, ballot.claim_key, ballot.claimant, ballot.missing_slots()
                )
                event.wait(timeout=RESEND_INTERVAL_S)
            return outcome
        finally:
            del self._ballots[request_id]

    def _release(self, key: bytes, claimant: bytes, slots: tuple[int, ...]) -> None:
        self._send_to_holders(0, key, claimant, slots, release=True)

    def _send_to_holders(
        self,
        request_id: int,
        key: bytes,
        claimant: bytes,
        slots: tuple[int, ...],
        *,
        release: bool = False,
    ) -> None:
        """Send one request to each holder of the slots; this instance's slots vote immediately."""
        by_holder: dict[str, tuple[str, list[int]]] = {}
        now_s = self._now_s()
        for slot in slots:
            holder = self._members.holder_of(slot, now_s)
            if holder is not None:
                entry = by_holder.setdefault(holder.instance_id, (holder.peer_address, []))
                entry[1].append(slot)
        for instance_id, (address, held) in by_holder.items():
            request = ClaimRequest(
                request_id=request_id,
                claim_key=key,
                claimant=claimant,
                slots=SlotSet(held),
                release=release,
            )
            if instance_id == self._instance_id:
                self.handle_reply(self.handle_request(request))
            else:
                self._send(address, request)


__all__ = ["Claim", "ClaimCoordinator", "ClaimOutcome", "ClaimVote", "claim_key"]
