"""CPU time and size of the messages between instances."""

from collections.abc import Callable, Iterator
from itertools import count
from random import Random

import msgspec
from tanagerreach_core.config import Freshness, Service
from tanagerreach_core.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimVote,
    Envelope,
    Exchange,
    InstanceIncarnation,
    Loan,
    MemberState,
    Message,
    ServiceReply,
    ServiceReport,
    SlotSet,
    TargetReport,
    TargetState,
    TokenDemand,
    TokenRequest,
)
from tanagerreach_core.rights import ClaimTable, HeldLoans, LoanLedger, TokenCache
from tanagerreach_core.traffic import (
    Outcome,
    ServiceHome,
    ServiceSpec,
    ServiceView,
    TargetSpec,
)
from tanagerreachd._exchanger import Exchanger, OwnAddresses
from tanagerreachd._peer_codec import PeerCodec
from tanagerreachd._service_dispatcher import ServiceDispatcher

from . import memory, objects
from .fitting import Slope, cpu_us, doubling, fit, measure

SECRET = b"a-secret-of-the-measured-fleet-0123"
CODEC = PeerCodec(secret=SECRET)
SENDER = InstanceIncarnation(instance_id="instance-677", incarnation=1_764_800_000_000)
SLOT_COUNTS = (32, 64, 128, 256, 512)
LEASE_TERM_S = 14_400.0


def encoded(message: Message) -> bytes:
    """Encode a message as a datagram."""
    envelope = Envelope(
        sender=SENDER, counter=100_000, hybrid_time=1_764_800_000_000 << 16, message=message
    )
    return CODEC.encode(envelope)


def exchange(slot_count: int, *, with_loan: bool, slots: SlotSet | None = None) -> Exchange:
    """Make an exchange as a slot holder sends it."""
    all_slots = SlotSet(range(slot_count))
    loan = Loan(
        lender_slots=SlotSet([slot_count - 1]),
        home_slots=SlotSet([slot_count // 2]),
        candidates=all_slots,
        term_s=8.0,
    )
    message = memory.peer_exchange(677, SlotSet([slot_count - 1]) if slots is None else slots)
    message.sequence = 2_000_000_000_000_000_000
    message.echo_sequence = 3_000_000_000_000_000_000
    message.revision = 50_000
    message.revision_age_s = 0.137
    message.state = MemberState.LIVE
    message.loan = loan if with_loan else None
    return message


def _codec_slopes(name: str, per: str, sizes, make: Callable[[int], Message]) -> Iterator[Slope]:
    messages = {size: encoded(make(size)) for size in sizes}
    yield fit(f"bytes_{name}", "bytes", per, [(size, len(messages[size])) for size in sizes])
    yield measure(f"cpu_encode_{name}", "us", per, sizes, lambda size: cpu_us(_encoder(make(size))))
    yield measure(
        f"cpu_decode_{name}",
        "us",
        per,
        sizes,
        lambda size: cpu_us(lambda: CODEC.decode(messages[size])),
    )


def _encoder(message: Message) -> Callable[[], bytes]:
    return lambda: encoded(message)


def exchanger(slot_count: int, peer_count: int) -> Exchanger:
    """Make a slot holder that exchanges with all other holders and some peers without slots."""
    identity = InstanceIncarnation(instance_id="instance-0", incarnation=1)
    members = memory.member_table(0)
    ledger = LoanLedger()
    ledger.add_slot(0, LEASE_TERM_S, 0.0, never_held=True)
    holder = Exchanger(
        identity=identity,
        addresses=OwnAddresses(
            peer="10.0.0.1:7001", peer_http="10.0.0.1:7002", operator="10.0.0.1:7003"
        ),
        seeds=(),
        members=members,
        ledger=ledger,
        held=HeldLoans(slot_count=slot_count),
        freshness=Freshness(slot_count=slot_count),
        revision=lambda: 1,
        send=lambda _address, _message: None,
        on_higher_revision=lambda _address, _revision: None,
        now_s=lambda: 1.0,
        random=Random(1),
        memory_s=8.0,
    )
    holder.set_own_slots(SlotSet([0]))
    for number in range(1, slot_count + peer_count):
        slots = SlotSet([number]) if number < slot_count else SlotSet()
        message = memory.peer_exchange(number, slots)
        message.echo_sequence = 1
        holder.handle(memory.peer(number), message)
    return holder


def _handle_cost(slot_count: int, peer_count: int, *, sender: int, expects_reply: bool) -> float:
    """Measure handling one exchange, with the reply or loan that it causes."""
    holder = exchanger(slot_count, peer_count)
    slots = SlotSet([sender]) if sender < slot_count else SlotSet()
    sequences = count(2)

    def handle() -> None:
        message = memory.peer_exchange(sender, slots, next(sequences))
        message.echo_sequence = 0 if expects_reply else 1
        holder.handle(memory.peer(sender), message)

    return cpu_us(handle)


def _ledger_grant_cost(slot_count: int) -> float:
    ledger = LoanLedger()
    ledger.add_slot(0, LEASE_TERM_S, 0.0, never_held=True)
    all_slots = SlotSet(range(slot_count))
    for slot in all_slots:
        ledger.grant(memory.peer(slot), SlotSet([slot]), all_slots, 1.0)
    return cpu_us(lambda: ledger.grant(memory.peer(1), SlotSet([1]), all_slots, 1.0))


def _held_record_cost(slot_count: int) -> float:
    held = HeldLoans(slot_count=slot_count)
    all_slots = SlotSet(range(slot_count))
    loans = [
        Loan(
            lender_slots=SlotSet([slot]),
            home_slots=SlotSet([0]),
            candidates=all_slots,
            term_s=8.0,
        )
        for slot in all_slots
    ]
    for loan in loans:
        held.record(loan, 1.0, 1.0)
    return cpu_us(lambda: held.record(loans[1], 1.0, 1.0))


def _candidates_cost(peer_count: int) -> float:
    table = memory.member_table(peer_count)
    return cpu_us(lambda: table.candidates(1.0))


def exchange_slopes() -> Iterator[Slope]:
    """Measure exchanges in the codec, the exchanger and the loan ledger."""
    for with_loan in (False, True):
        name = "exchange_with_loan" if with_loan else "exchange"
        yield from _codec_slopes(
            name,
            "slot",
            SLOT_COUNTS,
            lambda size, loan=with_loan: exchange(size, with_loan=loan),
        )
    yield measure("cpu_ledger_grant", "us", "slot", SLOT_COUNTS, _ledger_grant_cost)
    yield measure("cpu_held_record", "us", "slot", SLOT_COUNTS, _held_record_cost)
    yield measure(
        "cpu_exchanger_handle_holder",
        "us",
        "slot",
        SLOT_COUNTS,
        lambda size: _handle_cost(size, 0, sender=1, expects_reply=False),
    )
    yield measure(
        "cpu_exchanger_answer_slotless",
        "us",
        "peer heard by a holder",
        doubling(20),
        lambda size: _handle_cost(32, size, sender=32, expects_reply=False),
    )
    yield measure(
        "cpu_exchange_with_all",
        "us",
        "slot",
        SLOT_COUNTS,
        lambda size: cpu_us(exchanger(size, 0).exchange_with_all),
    )
    yield measure(
        "cpu_exchange_with_all_by_peers",
        "us",
        "peer without slots heard by a holder, 32 slots",
        doubling(40),
        lambda size: cpu_us(exchanger(32, size).exchange_with_all),
    )
    yield measure(
        "cpu_candidates",
        "us",
        "peer heard",
        doubling(32),
        _candidates_cost,
    )


def _token_request(demands: int, settled: bool = True) -> TokenRequest:
    return TokenRequest(
        request_id=2_000_000_000_000_000_000,
        home_slot=31,
        demands=[
            TokenDemand(
                workspace=f"workspace-{number + 40_000}",
                wanted=1,
                settled={3_000_000_000_000_000_000 + number: 1} if settled else {},
            )
            for number in range(demands)
        ],
    )


def _home_cost(demands: int) -> float:
    home = memory.token_home()
    request = _token_request(demands, settled=False)
    return cpu_us(lambda: home.handle(request, "instance-1", 2.0))


def _token_cache_cost(workspaces: int) -> float:
    """Measure the token cache with its home, for requests of workspaces not yet cached."""
    candidates = SlotSet([0])
    home = memory.token_home()
    numbers = count()

    def request_tokens() -> None:
        cache = TokenCache(slot_count=32, random=Random(1))
        base = next(numbers)
        for number in range(workspaces):
            name = f"workspace-{base}-{number}"
            cache.take(name, 2.0)
            cache.wait(name, 2.0)
        for request in cache.due_requests(candidates, 2.0):
            cache.record(home.handle(request, "instance-1", 2.0), 2.0)

    return cpu_us(request_tokens)


def token_slopes() -> Iterator[Slope]:
    """Measure token requests and replies by the number of demands in a message."""
    sizes = (1, 2, 4, 8, 16, 24)
    yield from _codec_slopes("token_request", "ask", sizes, _token_request)
    home = memory.token_home()
    yield from _codec_slopes(
        "token_reply",
        "ask",
        sizes,
        lambda size: home.handle(_token_request(size, settled=False), "instance-1", 2.0),
    )
    yield measure("cpu_token_home", "us", "ask", sizes, _home_cost)
    yield measure("cpu_token_cache_and_home", "us", "ask", sizes, _token_cache_cost)


def _target_report(number: int) -> TargetReport:
    return TargetReport(
        target=f"target-{number + 6000}",
        success_count=3,
        latency_counts=[0, 0, 0, 1, 2],
        in_flight_count=1,
        oldest_in_flight_s=0.012,
        known_state=TargetState.WARM,
    )


def service_report(targets: int, request_id: int = 5000) -> ServiceReport:
    """Make a report on some targets."""
    return ServiceReport(
        request_id=request_id,
        service="service-377",
        data_centre="dc-1",
        targets=[_target_report(number) for number in range(targets)],
    )


def service_home(targets: int) -> ServiceHome:
    """Make the home of a service."""
    spec = ServiceSpec(
        service="service-377",
        targets=tuple(
            TargetSpec(target=f"target-{number + 6000}", slot_count=4) for number in range(targets)
        ),
        floor=1,
    )
    return ServiceHome(spec=spec, now_s=0.0)


def warm_home(targets: int) -> ServiceHome:
    """Make the home of a service, with the exclusive right and warm targets."""
    home = service_home(targets)
    home.confirm(True, 0.0)
    for target in home._targets.values():
        target.state = TargetState.WARM
    return home


def _later_reply(targets: int) -> ServiceReply:
    """Make the reply to a reporter that already has the verdicts."""
    home = warm_home(targets)
    home.handle_report(service_report(1), memory.peer(1), True, 0.1)
    return home.handle_report(service_report(1, 5001), memory.peer(1), True, 0.2)


def _report_cost(targets: int, reported: int, senders: int = 1) -> float:
    home = warm_home(targets)
    numbers = count(1)

    def handle() -> None:
        number = next(numbers)
        home.handle_report(
            service_report(reported, number), memory.peer(number % senders), True, number * 1e-6
        )

    return cpu_us(handle)


def _view_cost(targets: int) -> float:
    view = ServiceView(service="service-377", data_centre="dc-1")
    view.configure([f"target-{number + 6000}" for number in range(targets)], 4)
    home = service_home(targets)
    reply = home.handle_report(service_report(targets, 1), memory.peer(1), True, 1.0)
    for verdict in reply.verdicts:
        verdict.state = TargetState.WARM
    report = view.build_report(1.0)
    reply.request_id = report.request_id
    view.apply(reply, 1.0)
    random = Random(1)

    def cycle() -> None:
        for _ in range(targets):
            view.done(view.pick(2.0, random), Outcome.SUCCESS, 2.01)
        built = view.build_report(2.02)
        reply.request_id = built.request_id
        view.apply(reply, 2.03)

    return cpu_us(cycle)


def _dispatcher_tick_cost(services: int) -> float:
    """Measure a tick of the service dispatcher with services in use but no due reports."""
    configuration = [*objects.base_objects()]
    names = [f"service-{number}" for number in range(services)]
    for name in names:
        configuration.append(_service_named(name))
    _, resolver = objects.load(objects.encoded_chunks(configuration))
    dispatcher = ServiceDispatcher(
        instance_id="instance-0",
        data_centre="dc-0",
        slot_count=32,
        resolver=lambda: resolver,
        members=memory.member_table(31),
        send=lambda _address, _report: None,
        handle_own=lambda _report: None,
        now_s=lambda: 1.0,
        random=Random(1),
    )
    for name in names:
        dispatcher.state(name).last_request_s = 1.0
    dispatcher.tick()
    return cpu_us(dispatcher.tick)


def _service_named(name: str) -> Service:
    return msgspec.structs.replace(objects.service(19), name=name)


def service_slopes() -> Iterator[Slope]:
    """Measure reports and replies by the number of targets."""
    sizes = (2, 4, 8, 16, 32)
    yield from _codec_slopes("service_report", "target reported", sizes, service_report)
    yield from _codec_slopes(
        "service_reply",
        "target of the service",
        sizes,
        lambda size: service_home(size).handle_report(
            service_report(size), memory.peer(1), True, 1.0
        ),
    )
    yield from _codec_slopes("service_reply_later", "target of the service", sizes, _later_reply)
    yield measure(
        "cpu_service_home", "us", "target of the service", sizes, lambda n: _report_cost(n, 1)
    )
    yield measure(
        "cpu_service_home_by_senders",
        "us",
        "reporting instance",
        doubling(42),
        lambda n: _report_cost(19, 1, n),
    )
    yield measure("cpu_service_view", "us", "target, with one request each", sizes, _view_cost)
    yield measure(
        "cpu_service_dispatcher_tick", "us", "service in use", doubling(24), _dispatcher_tick_cost
    )


def _claim_cost(claims: int) -> float:
    table = ClaimTable(slot=0, lease_revision=1, lease_end_s=1e6, now_s=0.0, never_held=True)
    for number in range(claims):
        table.vote(number.to_bytes(16, "big"), b"first", 1.0)
    key, claimant = (0).to_bytes(16, "big"), b"first"
    return cpu_us(lambda: table.vote(key, claimant, 1.0))


def claim_slopes() -> Iterator[Slope]:
    """Measure claim requests and votes."""
    sizes = (1, 2, 3, 4, 5)
    yield from _codec_slopes(
        "claim_request",
        "claim slot held by one instance",
        sizes,
        lambda size: ClaimRequest(
            request_id=2_000_000_000_000_000_000,
            claim_key=bytes(16),
            claimant=bytes(16),
            slots=SlotSet(range(27, 27 + size)),
        ),
    )
    yield from _codec_slopes(
        "claim_reply",
        "claim slot held by one instance",
        sizes,
        lambda size: ClaimReply(
            request_id=2_000_000_000_000_000_000,
            votes={slot: ClaimVote.GRANTED for slot in range(size)},
        ),
    )
    yield measure("cpu_claim_vote", "us", "claim in the table", doubling(1000), _claim_cost)


def slopes() -> Iterator[Slope]:
    """Measure all kinds of messages."""
    yield from exchange_slopes()
    yield from token_slopes()
    yield from service_slopes()
    yield from claim_slopes()
