"""Configurations of any size, with objects like those of ``tools/measure_configuration.py``."""

import measure_configuration as full_size
from tanagerreach_core.config import (
    ApiKey,
    Chunk,
    Configuration,
    DataCentre,
    Limit,
    Resolver,
    Route,
    Service,
    Target,
    Workspace,
    configuration_from_chunks,
    decode_chunk,
    encode_chunks,
    hash_key,
)


def workspaces(count: int) -> list[object]:
    """Make workspaces."""
    return [
        Workspace(
            name=f"workspace-{number}",
            labels={"tier": full_size.TIERS[number % 3], "region": f"r{number % 20}"},
            version=1,
            changed_by="ann",
        )
        for number in range(count)
    ]


def keys(count: int, workspace_count: int) -> list[object]:
    """Make keys, distributed evenly over workspaces."""
    return [
        ApiKey(
            name=f"key-{number}",
            key_hash=hash_key(full_size.key_text(number)),
            workspace=f"workspace-{number % workspace_count}",
            version=1,
            changed_by="ann",
        )
        for number in range(count)
    ]


def service(target_count: int) -> Service:
    """Make a service with the given number of targets."""
    return Service(
        name="service-0",
        targets=tuple(
            Target(
                name=f"target-{target}",
                address=f"10.{target >> 8}.{target & 255}.1:8080",
                data_centre="dc-0",
            )
            for target in range(target_count)
        ),
    )


def routes(count: int) -> list[object]:
    """Make routes to one service."""
    return [
        Route(
            name=f"route-{number}",
            host=f"host-{number % 40}.example" if number % 4 else None,
            path_prefix=f"/v1/part-{number}/items",
            service="service-0",
            workspaces=f"tier in (gold,{full_size.TIERS[number % 3]})",
        )
        for number in range(count)
    ]


def base_objects() -> list[object]:
    """Make the data centre and the limit that each configuration has."""
    return [DataCentre(name="dc-0"), Limit(name="all", rate_per_s=10.0, burst=20.0)]


def encoded_chunks(objects: list[object]) -> list[tuple[bytes, str]]:
    """Encode a configuration as chunks, and return their bytes with their hashes."""
    chunks = encode_chunks(Configuration.from_objects(1, objects))
    return [(chunk.data, chunk.hash) for chunk in chunks]


def load(data: list[tuple[bytes, str]]) -> tuple[list[Chunk], Resolver]:
    """Decode stored chunks and build the resolver, as an instance does."""
    chunks = [decode_chunk(*item) for item in data]
    return chunks, Resolver(configuration_from_chunks(1, chunks))
