"""Messages caused by the requests of one instance, from its token cache and service views.

The cache and the views run in virtual time.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from tanagerreach_core.messages import SlotSet
from tanagerreach_core.rights import TokenCache, home_slot, rendezvous_order, service_rendezvous_key
from tanagerreach_core.traffic import Outcome, ServiceView
from tanagerreachd._peer_link import PeerLink
from tanagerreachd._service_dispatcher import ACTIVE_S, TICK_S
from tanagerreachd._timeline import HybridClock

from . import memory, messages
from .fitting import Slope, cpu_us, doubling, measure

REQUESTS_PER_S = 143
STEP_S = 0.005
ROUND_TRIP_S = 0.003
TOKENS_WARM_UP_S = 5.0
TOKENS_END_S = 25.0
TARGETS_PER_SERVICE = 19
MEDIAN_SERVICE_TIME_S = 0.02
# Standard deviation of the logarithm of the service time, as in tools/measure_detection.py.
SERVICE_TIME_SIGMA = 0.6
# Time in which the report intervals of services with little traffic grow to their final length.
REPORTS_WARM_UP_S = 15.0
REPORTS_END_S = 40.0


@dataclass(slots=True, kw_only=True)
class Traffic:
    """Counts of the messages of one instance and of their replies."""

    messages: int = 0
    entries: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def add(self, *, entries: int, sent_bytes: int, received_bytes: int) -> None:
        """Count one message and its reply."""
        self.messages += 1
        self.entries += entries
        self.sent_bytes += sent_bytes
        self.received_bytes += received_bytes

    def per_s(self, duration_s: float = TOKENS_END_S - TOKENS_WARM_UP_S) -> dict[str, float]:
        """Return all counts per second."""
        return {
            name: round(getattr(self, name) / duration_s, 1)
            for name in ("messages", "entries", "sent_bytes", "received_bytes")
        }


def token_traffic(workspaces: int, slot_count: int = 32) -> Traffic:
    """Run a token cache for requests that are spread evenly over some workspaces."""
    random = Random(1)
    candidates = SlotSet(range(slot_count))
    cache = TokenCache(slot_count=slot_count, random=Random(2))
    homes = [memory.home_at(slot, slot_count) for slot in range(slot_count)]
    replies: list[tuple[float, object]] = []
    traffic = Traffic()
    now_s = 2.0
    while now_s < 2.0 + TOKENS_END_S:
        while replies and replies[0][0] <= now_s:
            for name in cache.record(replies.pop(0)[1], now_s):
                while cache.take_waiting(name, now_s):
                    pass
        if random.random() < REQUESTS_PER_S * STEP_S:
            name = f"workspace-{random.randrange(workspaces)}"
            if not cache.take(name, now_s):
                cache.wait(name, now_s)
        for request in cache.due_requests(candidates, now_s):
            reply = homes[request.home_slot].handle(request, "instance-1", now_s)
            replies.append((now_s + ROUND_TRIP_S, reply))
            if now_s >= 2.0 + TOKENS_WARM_UP_S:
                traffic.add(
                    entries=len(request.demands),
                    sent_bytes=len(messages.encoded(request)),
                    received_bytes=len(messages.encoded(reply)),
                )
        now_s += STEP_S
    return traffic


class _UsedService:
    """An instance's view of a service, with the home of the service."""

    def __init__(self, name: str) -> None:
        targets = [f"target-{number + 6000}" for number in range(TARGETS_PER_SERVICE)]
        self.view = ServiceView(service=name, data_centre="dc-1")
        self.view.configure(targets, 4)
        self.last_request_s = float("-inf")
        self._home = messages.warm_home(TARGETS_PER_SERVICE)
        self.handle_at_home(self.view.build_report(0.0), 0.0)

    def handle_at_home(self, report, now_s: float) -> int:
        """Let the home handle a report, apply its reply, and return the size of the reply."""
        # An instance confirms the rights of its homes several times a second.
        self._home._confirmed_at_s = now_s
        reply = self._home.handle_report(report, memory.peer(1), True, now_s)
        self.view.apply(reply, now_s)
        return len(messages.encoded(reply))


def report_traffic(services: int) -> Traffic:
    """Run the views of an instance for requests that are spread evenly over some services."""
    random = Random(1)
    used_services = [_UsedService(f"service-{number}") for number in range(services)]
    traffic = Traffic()
    now_s = 2.0
    while now_s < 2.0 + REPORTS_END_S:
        for _ in range(_arrivals(random, REQUESTS_PER_S * TICK_S)):
            state = random.choice(used_services)
            state.last_request_s = now_s
            pick = state.view.pick(now_s, random)
            if pick is not None:
                took_s = MEDIAN_SERVICE_TIME_S * math.exp(random.gauss(0.0, SERVICE_TIME_SIGMA))
                state.view.done(pick, Outcome.SUCCESS, now_s + took_s)
        for state in used_services:
            if now_s - state.last_request_s > ACTIVE_S:
                continue
            report = state.view.due_report(now_s)
            if report is None:
                continue
            received_bytes = state.handle_at_home(report, now_s)
            if now_s >= 2.0 + REPORTS_WARM_UP_S:
                traffic.add(
                    entries=len(report.targets),
                    sent_bytes=len(messages.encoded(report)),
                    received_bytes=received_bytes,
                )
        now_s += TICK_S
    return traffic


def _arrivals(random: Random, mean: float) -> int:
    return int(mean) + (random.random() < mean % 1)


def _datagram_cost(size_bytes: int) -> float:
    """Measure sending one datagram through the peer link, without receiving it."""
    link = PeerLink(
        address="127.0.0.1:0", sender=messages.SENDER, codec=messages.CODEC, clock=HybridClock()
    )
    port = link._socket.getsockname()[1]
    message = messages.exchange(32, with_loan=True)
    message.data_centre = "d" * size_bytes
    cost_us = cpu_us(lambda: link.send(f"127.0.0.1:{port}", message))
    link.stop()
    return cost_us


def _rendezvous_order_cost(slot_count: int) -> float:
    numbers = iter(range(1 << 40))
    return cpu_us(lambda: rendezvous_order(b"w:workspace-%d" % next(numbers), slot_count))


def _home_slot_cost(slot_count: int) -> float:
    candidates = SlotSet(range(slot_count))
    rendezvous_key = service_rendezvous_key("service-1")
    return cpu_us(lambda: home_slot(rendezvous_key, candidates, slot_count))


def _traffic_slopes(
    prefix: str, entry_unit: str, per: str, rates: dict[int, dict[str, float]]
) -> Iterator[Slope]:
    """Fit a line to each counter of some traffic.

    :param rates: counters per second, by the number of workspaces or services in use.
    """
    for counter, unit in (
        ("messages", "messages/s"),
        ("entries", entry_unit),
        ("sent_bytes", "bytes/s"),
        ("received_bytes", "bytes/s"),
    ):
        yield measure(
            f"{prefix}_{counter}",
            unit,
            f"{per} in use at an instance with 143 requests/s",
            tuple(rates),
            lambda size, counter=counter: rates[size][counter],
        )


def slopes() -> Iterator[Slope]:
    """Measure the messages of an instance by the number of workspaces or services in use."""
    tokens = {size: token_traffic(size).per_s() for size in (25, 100, 400, 1600, 6400, 51_000)}
    yield from _traffic_slopes("tokens", "asks/s", "workspace", tokens)
    reports = {
        size: report_traffic(size).per_s(REPORTS_END_S - REPORTS_WARM_UP_S)
        for size in (24, 49, 98, 195, 390)
    }
    yield from _traffic_slopes("reports", "targets/s", "service", reports)
    yield measure("cpu_send_datagram", "us", "byte", (16, 32, 64, 128, 256, 512), _datagram_cost)
    yield measure("cpu_rank", "us", "slot", (32, 64, 96, 128, 256), _rendezvous_order_cost)
    yield measure("cpu_home_slot_cached", "us", "slot", doubling(32), _home_slot_cost)
