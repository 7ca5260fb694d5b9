"""Control plane cost of idle fleets of several sizes, without targets."""

import time

from tanagerreach_standins.fleet import Fleet
from tanagerreach_standins.processes import ProcessGroup

from ._cost import (
    PERCENT,
    SENT_LIMIT_KB_PER_S,
    Usage,
    call_rates,
    describe_rates,
    store_calls,
)
from ._deployment import Deployment
from ._evaluation import quantile
from ._figures import Figure
from ._testbed import SLOT_COUNT, SLOTS_TIMEOUT_S, Scale, Testbed

NAME = "scaling"
SIZES = (4, 8, 16, 32)
SETTLE_S = 5.0


def run_standalone(deployment: Deployment, scale: Scale, seed: int) -> list[Figure]:
    """Start and measure a fleet of each size, one after the other."""
    figures = []
    for size in SIZES:
        with ProcessGroup() as group:
            fleet = Fleet(group=group, data_centres=deployment.data_centres)
            testbed = Testbed(
                group=group, deployment=deployment, scale=scale, seed=seed, fleet=fleet
            )
            figures += _idle_fleet(testbed, size)
    return figures


def _idle_fleet(testbed: Testbed, size: int) -> list[Figure]:
    fleet = testbed.fleet
    fleet.start_store()
    fleet.start_instances(size)
    fleet.wait_for_revision(fleet.apply_document(testbed.deployment.document))
    fleet.wait_for_slots(SLOT_COUNT, SLOTS_TIMEOUT_S)
    time.sleep(SETTLE_S)
    before = [Usage(testbed, instance) for instance in fleet.running()]
    calls = store_calls(testbed)
    time.sleep(testbed.scale.phase_s)
    calls_after = store_calls(testbed)
    after = [Usage(testbed, instance) for instance in fleet.running()]
    used = [late.since(early) for late, early in zip(after, before, strict=True)]
    elapsed_s = after[0].at_s - before[0].at_s
    rates = call_rates(calls, calls_after, elapsed_s)
    cpu_s = [late.cpu_s - early.cpu_s for late, early in zip(after, before, strict=True)]
    return [
        Figure(
            measure=NAME,
            name=f"store calls, {size} instances",
            value=sum(rates.values()),
            unit="1/s",
            note=describe_rates(rates),
        ),
        Figure(
            measure=NAME,
            name=f"sent to peers by an instance, median, {size} instances",
            value=quantile([item["sent_kb_per_s"] for item in used], 0.5),
            unit="KB/s",
            goal=f"{SENT_LIMIT_KB_PER_S:g} KB/s",
            limit=SENT_LIMIT_KB_PER_S,
            note="datagram payloads only",
        ),
        Figure(
            measure=NAME,
            name=f"processor time of an instance, median, {size} instances",
            value=PERCENT * quantile(cpu_s, 0.5) / elapsed_s,
            unit="% of a core",
        ),
    ]
