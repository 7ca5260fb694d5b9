"""In-memory store with fault injection, for tests."""

import contextlib
from collections.abc import Callable
from enum import Enum

from tanagerreachd._store_client import (
    ConfigurationStore,
    ResponseLostError,
    StoreConflictError,
    StoredValue,
    StoreInstance,
    StoreUnavailableError,
)


class Fault(Enum):
    """Fault that a call meets."""

    DOWN = "not executed"
    LOST_BEFORE = "request lost"
    LOST_AFTER = "executed, response lost"
    LATE = "executed later, response lost"


class FakeStore(ConfigurationStore):
    """Store with one revision counter over all keys.

    :ivar choose_fault: called with the method's name and the key before each call.
    """

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.revision = 0
        self.choose_fault: Callable[[str, str], Fault | None] = lambda method, key: None
        self.before_call: Callable[[str, str], None] = lambda method, key: None
        self.late_writes: list[Callable[[], object]] = []

    def read(self, key):
        """Read a key."""
        self._begin("read", key)
        return self.values.get(key)

    def compare_and_swap(self, key, value, expected_revision, lease_id=None):
        """Write a key at its expected revision."""
        return self._write("put", key, lambda: self._put(key, value, expected_revision))

    def delete(self, key, expected_revision):
        """Delete a key at its expected revision."""
        self._write("delete", key, lambda: self._delete(key, expected_revision))

    def list_keys(self, prefix):
        """Read keys by prefix."""
        self._begin("list", prefix)
        return [value for key, value in self.values.items() if key.startswith(prefix)]

    def watch(self, key, after_revision, timeout_s):
        """Return at once, without waiting for a change."""
        self._begin("watch", key)
        found = self.values.get(key)
        return found if found is not None and found.revision > after_revision else None

    def grant_lease(self, ttl_s):
        """Not used by these tests."""
        raise NotImplementedError

    def renew_lease(self, lease_id):
        """Not used by these tests."""
        raise NotImplementedError

    def revoke_lease(self, lease_id):
        """Not used by these tests."""
        raise NotImplementedError

    def list_instances(self):
        """Return an empty list."""
        return []

    def register_instance(self, instance: StoreInstance):
        """Not used by these tests."""
        raise NotImplementedError

    def deliver_late_writes(self) -> None:
        """Execute the writes that were delayed."""
        writes, self.late_writes = self.late_writes, []
        for write in writes:
            with contextlib.suppress(StoreConflictError):
                write()

    def _begin(self, method: str, key: str) -> Fault | None:
        self.before_call(method, key)
        fault = self.choose_fault(method, key)
        if fault is Fault.DOWN or (fault is not None and method in ("read", "list", "watch")):
            raise StoreUnavailableError("the store is down")
        return fault

    def _write(self, method: str, key: str, write: Callable[[], int | None]) -> int | None:
        fault = self._begin(method, key)
        if fault is None:
            return write()
        if fault is Fault.LATE:
            self.late_writes.append(write)
        if fault is Fault.LOST_AFTER:
            with contextlib.suppress(StoreConflictError):
                write()
        raise ResponseLostError("no response from the store")

    def _put(self, key: str, value: bytes, expected_revision: int) -> int:
        self._check(key, expected_revision)
        self.revision += 1
        self.values[key] = StoredValue(key=key, value=value, revision=self.revision)
        return self.revision

    def _delete(self, key: str, expected_revision: int) -> None:
        if key not in self.values:
            raise StoreConflictError(key, expected_revision, 0)
        self._check(key, expected_revision)
        del self.values[key]

    def _check(self, key: str, expected_revision: int) -> None:
        found = self.values.get(key)
        current_revision = 0 if found is None else found.revision
        if current_revision != expected_revision:
            raise StoreConflictError(key, expected_revision, current_revision)
