"""Memory used per configuration object, peer, loan, claim and workspace in use."""

from collections.abc import Iterator
from random import Random

from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import (
    Exchange,
    InstanceIncarnation,
    Loan,
    MemberRecord,
    SlotSet,
    TokenDemand,
    TokenRequest,
)
from tanagerreach_core.rights import (
    ClaimTable,
    HeldLoans,
    LoanLedger,
    TokenCache,
    TokenHome,
)

from . import objects
from .fitting import Slope, allocated_bytes, doubling, measure

LEASE_END_S = 1e6
LIMIT = (10.0, 20.0)


def _loaded_bytes(configuration: list[object]) -> int:
    data = objects.encoded_chunks(configuration)
    return allocated_bytes(lambda: objects.load(data))


def _workspace_bytes(count: int) -> int:
    return _loaded_bytes(objects.base_objects() + objects.workspaces(count))


def _key_bytes(count: int) -> int:
    return _loaded_bytes(
        objects.base_objects() + objects.workspaces(100) + objects.keys(count, 100)
    )


def _route_bytes(count: int) -> int:
    return _loaded_bytes([*objects.base_objects(), objects.service(1), *objects.routes(count)])


def _target_bytes(count: int) -> int:
    return _loaded_bytes([*objects.base_objects(), objects.service(count)])


def own_record(slots: SlotSet) -> MemberRecord:
    """Make the member record of the measured instance."""
    return MemberRecord(
        instance_id="instance-0",
        incarnation=1,
        peer_address="10.0.0.1:7001",
        data_centre="dc-1",
        slots=slots,
    )


def peer_exchange(number: int, slots: SlotSet, sequence: int = 1) -> Exchange:
    """Make an exchange as received from a peer."""
    return Exchange(
        sequence=sequence,
        peer_address=f"10.0.{number >> 8}.{number & 255}:7001",
        peer_http_address=f"10.0.{number >> 8}.{number & 255}:7002",
        operator_address=f"10.0.{number >> 8}.{number & 255}:7003",
        data_centre="dc-1",
        slots=slots,
        revision=1,
    )


def peer(number: int) -> InstanceIncarnation:
    """Return the identity of a peer."""
    return InstanceIncarnation(instance_id=f"instance-{number}", incarnation=1)


def member_table(peer_count: int) -> MemberTable:
    """Make a member table with heartbeats of peers without slots."""
    table = MemberTable(own=own_record(SlotSet([0])))
    for number in range(1, peer_count + 1):
        table.observe(peer(number), peer_exchange(number, SlotSet()), 0.0)
    return table


def _loan_ledger(slot_count: int) -> LoanLedger:
    ledger = LoanLedger()
    ledger.add_slot(0, LEASE_END_S, 0.0, never_held=True)
    all_slots = SlotSet(range(slot_count))
    for slot in all_slots:
        ledger.grant(peer(slot), SlotSet([slot]), all_slots, 1.0)
    return ledger


def _held_loans(slot_count: int) -> HeldLoans:
    held = HeldLoans(slot_count=slot_count)
    all_slots = SlotSet(range(slot_count))
    for slot in all_slots:
        ledger = LoanLedger()
        ledger.add_slot(slot, LEASE_END_S, 0.0, never_held=True)
        loan = ledger.grant(peer(0), SlotSet([0]), all_slots, 1.0)
        held.record(loan, 1.0, 1.0)
    return held


def home_at(home: int, slot_count: int) -> TokenHome:
    """Make the token home at one slot, with loans from all slots."""
    all_slots = SlotSet(range(slot_count))
    held = HeldLoans(slot_count=slot_count)
    for lender in all_slots:
        ledger = LoanLedger()
        ledger.add_slot(lender, LEASE_END_S, 0.0, never_held=True)
        loan = ledger.grant(peer(0), SlotSet([home]), all_slots, 1.0)
        held.record(_with_long_term(loan), 1.0, 1.0)
    return TokenHome(held=held, limit_of=lambda _: LIMIT, random=Random(home))


def _with_long_term(loan: Loan) -> Loan:
    """Return a copy of a loan with a term that outlasts any measurement."""
    return Loan(
        lender_slots=loan.lender_slots,
        home_slots=loan.home_slots,
        candidates=loan.candidates,
        term_s=LEASE_END_S,
    )


def token_home(slot_count: int = 32) -> TokenHome:
    """Make the home of all workspaces, with slot 0 as the only candidate."""
    held = HeldLoans(slot_count=slot_count)
    for lender in range(slot_count):
        ledger = LoanLedger()
        ledger.add_slot(lender, LEASE_END_S, 0.0, never_held=True)
        held.record(ledger.grant(peer(0), SlotSet([0]), SlotSet([0]), 1.0), 1.0, 1.0)
    return TokenHome(held=held, limit_of=lambda _: LIMIT, random=Random(1))


def _token_home_with_buckets(count: int) -> TokenHome:
    home = token_home()
    for number, request in enumerate(_token_requests(count)):
        home.handle(request, f"instance-{number % 8}", 2.0)
    return home


def _token_requests(count: int) -> Iterator[TokenRequest]:
    for first in range(0, count, 24):
        demands = [
            TokenDemand(workspace=f"workspace-{number}", wanted=1)
            for number in range(first, min(count, first + 24))
        ]
        yield TokenRequest(request_id=first, home_slot=0, demands=demands)


def _token_cache(count: int) -> TokenCache:
    cache = TokenCache(slot_count=32, random=Random(1))
    for number in range(count):
        cache.take(f"workspace-{number}", 2.0)
    cache.due_requests(SlotSet(range(32)), 2.0)
    return cache


def _claim_table(count: int) -> ClaimTable:
    table = ClaimTable(
        slot=0, lease_revision=1, lease_end_s=LEASE_END_S, now_s=0.0, never_held=True
    )
    for number in range(count):
        table.vote(number.to_bytes(16, "big"), number.to_bytes(16, "little"), 1.0)
    return table


def slopes() -> Iterator[Slope]:
    """Measure all memory costs."""
    unit = "bytes"
    yield measure("memory_workspace", unit, "workspace", doubling(1000), _workspace_bytes)
    yield measure("memory_key", unit, "key", doubling(1000), _key_bytes)
    yield measure("memory_route", unit, "route", doubling(100), _route_bytes)
    yield measure("memory_target", unit, "target", doubling(500), _target_bytes)
    for name, per, first, build in (
        ("memory_peer", "peer", 64, member_table),
        ("memory_loan_granted", "home slot", 32, _loan_ledger),
        ("memory_loan_held", "lender slot", 32, _held_loans),
        ("memory_bucket", "workspace in use at its home", 1000, _token_home_with_buckets),
        ("memory_token_cache_entry", "workspace in use at an instance", 1000, _token_cache),
        ("memory_claim", "claim", 1000, _claim_table),
    ):
        yield measure(
            name, unit, per, doubling(first), lambda size, build=build: _built_bytes(build, size)
        )


def _built_bytes(build, size: int) -> int:
    return allocated_bytes(lambda: build(size))
