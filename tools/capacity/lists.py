"""Size of the store responses that each instance reads regularly."""

from collections.abc import Iterator

import msgspec
from tanagerreach_standins._store_state import StoreState
from tanagerreachd._slot_lease_client import SLOT_KEY_PREFIX, SlotRecord

from .fitting import Slope, doubling, measure


def _instance_list_bytes(count: int) -> int:
    state = StoreState(clock=lambda: 0.0, on_change=lambda *_: None)
    for number in range(count):
        address = f"10.0.{number >> 8}.{number & 255}:7001"
        state.set_instance(f"instance-{number}", address, "live")
    return len(msgspec.json.encode({"instances": state.instances(0.0)}))


def _holder_list_bytes(count: int) -> int:
    entries = []
    for number in range(count):
        record = SlotRecord(
            instance_id=f"instance-{number}",
            incarnation=1_764_800_000_000,
            peer_address=f"10.0.{number >> 8}.{number & 255}:7001",
            data_centre="dc-1",
        )
        key = f"{SLOT_KEY_PREFIX}{number}"
        value = msgspec.json.encode(record)
        entries.append({"key": key, "value": value, "revision": 1_000_000 + number})
    return len(msgspec.json.encode({"entries": entries}))


def slopes() -> Iterator[Slope]:
    """Measure the lists of instances and of slot holders."""
    yield measure("bytes_instance_list", "bytes", "instance", doubling(42), _instance_list_bytes)
    yield measure("bytes_holder_list", "bytes", "slot", doubling(32), _holder_list_bytes)
