"""Measures the configuration modules at the size that the design page expects in two years.

Prints build times, memory use, stored sizes and lookup times of one process as JSON.
"""

import argparse
import gc
import json
import random
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from tanagerreach_core.config import (
    ApiKey,
    Change,
    ChunkReference,
    Configuration,
    DataCentre,
    Freshness,
    Head,
    Limit,
    Resolver,
    Route,
    Service,
    Target,
    TransactionRecord,
    Workspace,
    apply_changes,
    check_configuration,
    configuration_from_chunks,
    decode_chunk,
    encode_chunks,
    encode_head,
    hash_key,
)

WORKSPACES = 51_000
ROUTES = 1_700
SERVICES = 390
TARGETS = 7_300
DATA_CENTRES = 6
LOOKUPS = 20_000
TIERS = ("gold", "silver", "bronze")


def make_objects() -> list[object]:
    """Make the objects of a configuration of that size."""
    objects: list[object] = [DataCentre(name=f"dc-{number}") for number in range(DATA_CENTRES)]
    for number in range(WORKSPACES):
        labels = {"tier": TIERS[number % 3], "region": f"r{number % 20}"}
        objects.append(
            Workspace(name=f"workspace-{number}", labels=labels, version=1, changed_by="ann")
        )
        objects.append(
            ApiKey(
                name=f"key-{number}",
                key_hash=hash_key(key_text(number)),
                workspace=f"workspace-{number}",
                version=1,
                changed_by="ann",
            )
        )
    for number in range(SERVICES):
        objects.append(make_service(number))
    for number in range(ROUTES):
        objects.append(
            Route(
                name=f"route-{number}",
                host=f"host-{number % 40}.example" if number % 4 else None,
                path_prefix=f"/v1/part-{number}/items",
                service=f"service-{number % SERVICES}",
                workspaces=f"tier in (gold,{TIERS[number % 3]})",
            )
        )
    objects.append(Limit(name="all", rate_per_s=10.0, burst=20.0))
    for number in range(60):
        selector = f"tier={TIERS[number % 3]},region=r{number % 20}"
        objects.append(
            Limit(name=f"limit-{number}", workspaces=selector, rate_per_s=50.0, burst=100.0)
        )
    return objects


def make_service(number: int) -> Service:
    """Make a service with its share of the targets."""
    targets = range(number * TARGETS // SERVICES, (number + 1) * TARGETS // SERVICES)
    return Service(
        name=f"service-{number}",
        targets=tuple(
            Target(
                name=f"target-{target}",
                address=f"10.{target >> 8}.{target & 255}.1:8080",
                data_centre=f"dc-{target % DATA_CENTRES}",
            )
            for target in targets
        ),
    )


def key_text(number: int) -> str:
    """Make the text of an API key."""
    return f"kf-live-{number:032d}"


def record_duration(action: Callable[[], object], figures: dict[str, float], name: str) -> object:
    """Run an action and record its duration in milliseconds as a figure."""
    start_s = time.perf_counter()
    result = action()
    figures[f"{name}_ms"] = round((time.perf_counter() - start_s) * 1000, 2)
    return result


def mean_lookup_us(lookup: Callable[[int], object]) -> float:
    """Return the mean duration of a lookup with random workspace numbers, in microseconds."""
    rng = random.Random(1)
    numbers = [rng.randrange(WORKSPACES) for _ in range(LOOKUPS)]
    start_s = time.perf_counter()
    for number in numbers:
        lookup(number)
    return round((time.perf_counter() - start_s) / LOOKUPS * 1_000_000, 2)


def measure_lookups(resolver: Resolver, figures: dict[str, float]) -> None:
    """Measure the lookups that an instance makes for a request."""

    def find_route(number: int) -> object:
        route = number % ROUTES
        host = f"host-{route % 40}.example"
        return resolver.find_route(host, "GET", f"/v1/part-{route}/items/{number}/a")

    figures["lookup_key_us"] = mean_lookup_us(lambda n: resolver.workspace_of_key(key_text(n)))
    figures["lookup_route_us"] = mean_lookup_us(find_route)
    figures["lookup_limit_first_us"] = mean_lookup_us(lambda n: resolver.limit_of(f"workspace-{n}"))
    figures["lookup_limit_us"] = mean_lookup_us(lambda n: resolver.limit_of(f"workspace-{n}"))
    figures["lookup_targets_us"] = mean_lookup_us(
        lambda n: resolver.eligible_targets(f"service-{n % SERVICES}")
    )
    freshness = Freshness(slot_count=32)
    freshness.adopt(1)
    freshness.confirm_from_store(1, 0.0)
    figures["lookup_fresh_us"] = mean_lookup_us(lambda n: freshness.may_serve_keyed(1.0))


def measure(figures: dict[str, float]) -> None:
    """Measure checking, storing, loading and changing a configuration."""
    data = write_configuration(figures)
    gc.collect()
    before_bytes = resident_bytes()
    loaded = record_duration(lambda: [decode_chunk(*item) for item in data], figures, "decode_all")
    configuration = record_duration(lambda: configuration_from_chunks(1, loaded), figures, "join")
    resolver = record_duration(lambda: Resolver(configuration), figures, "resolver")
    gc.collect()
    figures["resident_growth_bytes"] = resident_bytes() - before_bytes
    measure_lookups(resolver, figures)
    figures["resident_growth_with_limits_bytes"] = resident_bytes() - before_bytes
    measure_change(configuration, resolver, loaded, figures)


def write_configuration(figures: dict[str, float]) -> list[tuple[bytes, str]]:
    """Measure checking and encoding a configuration, and return its chunks with their hashes."""
    configuration = Configuration.from_objects(1, make_objects())
    record_duration(lambda: check_configuration(configuration), figures, "check_all")
    chunks = record_duration(lambda: encode_chunks(configuration), figures, "encode_all")
    data = [(chunk.data, chunk.hash) for chunk in chunks]
    figures["chunk_count"] = len(data)
    figures["stored_bytes"] = sum(len(item) for item, _ in data)
    figures["largest_chunk_bytes"] = max(len(item) for item, _ in data)
    weighted = sum(len(chunk.data) * len(chunk.objects) for chunk in chunks)
    objects = sum(len(chunk.objects) for chunk in chunks)
    figures["mean_rewritten_chunk_bytes"] = weighted // objects
    references = tuple(ChunkReference(chunk.hash, 1_000_000) for chunk in chunks)
    transactions = tuple(TransactionRecord(f"{n:032x}", n) for n in range(128))
    head = Head(revision=1, chunks=references, transactions=transactions)
    figures["head_bytes"] = len(encode_head(head))
    return data


def measure_change(configuration, resolver, chunks, figures: dict[str, float]) -> None:
    """Measure a change of one workspace, at the committing instance and at a following one."""
    old = configuration.workspaces["workspace-77"]
    new = msgspec.structs.replace(old, labels={"tier": "gold"})
    change = Change(kind=old.kind, name=old.name, base_version=1, object=new, changed_by="ben")
    after = record_duration(lambda: apply_changes(configuration, [change]), figures, "change_apply")
    after = after.unwrap()
    record_duration(lambda: check_configuration(after, configuration), figures, "change_check")
    encoded = record_duration(
        lambda: encode_chunks(after, chunks, configuration), figures, "change_encode"
    )
    known = {chunk.hash for chunk in chunks}
    written = [chunk for chunk in encoded if chunk.hash not in known]
    figures["change_chunks"] = len(written)
    figures["change_bytes"] = sum(len(chunk.data) for chunk in written)
    by_hash = {chunk.hash: chunk for chunk in chunks}
    for chunk in written:
        by_hash[chunk.hash] = record_duration(
            lambda chunk=chunk: decode_chunk(chunk.data), figures, "follow_decode"
        )
    joined = record_duration(
        lambda: configuration_from_chunks(
            2, [by_hash[chunk.hash] for chunk in encoded], configuration, chunks
        ),
        figures,
        "follow_join",
    )
    record_duration(lambda: Resolver(joined, resolver), figures, "follow_resolver")


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def measure_allocations(figures: dict[str, float]) -> None:
    """Measure the memory allocated by a loaded configuration.

    This is a separate pass, since tracing allocations slows down the other measurements.
    """
    chunks = encode_chunks(Configuration.from_objects(1, make_objects()))
    data = [(chunk.data, chunk.hash) for chunk in chunks]
    del chunks
    gc.collect()
    tracemalloc.start()
    loaded = [decode_chunk(*item) for item in data]
    resolver = Resolver(configuration_from_chunks(1, loaded))
    figures["allocated_bytes"] = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del resolver


def main() -> int:
    """Run the measurements and print the figures."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    figures: dict[str, float] = {}
    measure(figures)
    measure_allocations(figures)
    print(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
