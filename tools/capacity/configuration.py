"""Time, memory and bytes of loading, changing and following a configuration."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from tanagerreach_core.config import (
    Change,
    ChunkReference,
    Configuration,
    Head,
    Resolver,
    TransactionRecord,
    apply_changes,
    check_configuration,
    configuration_from_chunks,
    decode_chunk,
    encode_chunks,
    encode_head,
)

from . import objects
from .fitting import Slope, allocated_bytes, cpu_us, doubling, fit

SIZES = doubling(3200)
TRANSACTIONS = 128


@dataclass(slots=True, kw_only=True)
class LoadedConfiguration:
    """A configuration with one key for each workspace, in stored and loaded form."""

    data: list[tuple[bytes, str]]
    configuration: Configuration
    chunks: list
    resolver: Resolver

    @classmethod
    def of_size(cls, workspaces: int) -> "LoadedConfiguration":
        """Make and load a configuration with the given number of workspaces."""
        objects_made = [
            *objects.base_objects(),
            objects.service(16),
            *objects.workspaces(workspaces),
            *objects.keys(workspaces, workspaces),
        ]
        data = objects.encoded_chunks(objects_made)
        chunks, resolver = objects.load(data)
        return cls(
            data=data, configuration=resolver.configuration, chunks=chunks, resolver=resolver
        )

    def change(self) -> Change:
        """Make a change to the labels of one workspace."""
        old = self.configuration.workspaces["workspace-77"]
        new = msgspec.structs.replace(old, labels={"tier": "gold"})
        return Change(kind=old.kind, name=old.name, base_version=1, object=new, changed_by="ben")

    def head_bytes(self) -> int:
        """Return the size of an encoded head with a full list of transactions."""
        references = tuple(ChunkReference(chunk.hash, 1_000_000) for chunk in self.chunks)
        transactions = tuple(TransactionRecord(f"{n:032x}", n) for n in range(TRANSACTIONS))
        return len(encode_head(Head(revision=1, chunks=references, transactions=transactions)))


class _MeasuredChange:
    """One change, as processed by the committing instance and by a following one."""

    def __init__(self, loaded: LoadedConfiguration) -> None:
        self._loaded = loaded
        self._after = apply_changes(loaded.configuration, [loaded.change()]).unwrap()
        self._encoded = self._encode()
        known = {chunk.hash for chunk in loaded.chunks}
        self.written = [chunk for chunk in self._encoded if chunk.hash not in known]

    def _encode(self) -> list:
        return encode_chunks(self._after, self._loaded.chunks, self._loaded.configuration)

    def commit(self) -> None:
        """Do the computation of the committing instance."""
        before = self._loaded.configuration
        after = apply_changes(before, [self._loaded.change()]).unwrap()
        check_configuration(after, before)
        encode_chunks(after, self._loaded.chunks, before)

    def follow(self) -> tuple[Configuration, Resolver]:
        """Do the computation of a following instance."""
        written = {chunk.hash: decode_chunk(chunk.data) for chunk in self.written}
        joined = configuration_from_chunks(
            2,
            [written.get(chunk.hash, chunk) for chunk in self._encoded],
            self._loaded.configuration,
            self._loaded.chunks,
        )
        return joined, Resolver(joined, self._loaded.resolver)


def slopes() -> Iterator[Slope]:
    """Measure costs by the number of workspaces, each with one key."""
    figures: dict[str, list[tuple[float, float]]] = {}

    def record_point(name: str, size: int, value: float) -> None:
        figures.setdefault(name, []).append((size, value))

    for size in SIZES:
        loaded = LoadedConfiguration.of_size(size)
        change = _MeasuredChange(loaded)
        record_point("bytes_configuration_stored", size, sum(len(item) for item, _ in loaded.data))
        record_point("bytes_head", size, loaded.head_bytes())
        record_point("bytes_change_chunks", size, sum(len(chunk.data) for chunk in change.written))
        record_point("cpu_load", size, cpu_us(lambda data=loaded.data: objects.load(data)))
        record_point("cpu_commit", size, cpu_us(change.commit))
        record_point("cpu_follow", size, cpu_us(change.follow))
        record_point(
            "memory_load", size, allocated_bytes(lambda data=loaded.data: objects.load(data))
        )
        record_point("memory_replace", size, allocated_bytes(change.follow))
    for name, points in figures.items():
        unit = "us" if name.startswith("cpu") else "bytes"
        yield fit(name, unit, "workspace with one key", points)
