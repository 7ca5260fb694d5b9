"""State of the store stand-in: entries, leases and the list of instances. It does no I/O."""

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


class RevisionConflictError(Exception):
    """The entry's revision differs from the expected one.

    :param revision: current revision of the entry, 0 when it does not exist.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"the entry is at revision {revision}; read it and try again")
        self.revision = revision


class LeaseExpiredError(Exception):
    """The lease has expired, was ended or never existed; a new one has to be created."""


@dataclass(slots=True, kw_only=True)
class Entry:
    """Value of one key with its revision; ``value`` is kept in base64 as received."""

    revision: int
    value: str
    lease: str | None = None


@dataclass(slots=True, kw_only=True)
class Lease:
    """Lease whose keys are deleted when it ends or expires."""

    ttl_s: float
    ends_at_s: float
    keys: set[str] = field(default_factory=set)


class StoreState:
    """Entries, leases and instances; all entries share one increasing revision.

    :param clock: returns the current monotonic time in seconds.
    :param on_change: called after each change of an entry.
    """

    def __init__(self, *, clock: Callable[[], float], on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._entries: dict[str, Entry] = {}
        self._deleted_at: dict[str, int] = {}
        self._leases: dict[str, Lease] = {}
        self._lease_numbers = itertools.count(1)
        self._instances: dict[str, dict[str, str]] = {}
        self._instance_history: deque[tuple[float, list[dict[str, str]]]] = deque()
        self._instance_history.append((float("-inf"), []))
        self.revision = 0

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, ``None`` when there is none."""
        self.expire_leases()
        return self._entries.get(key)

    def entries(self, prefix: str) -> list[tuple[str, Entry]]:
        """Return the entries whose key starts with ``prefix``, sorted by key."""
        self.expire_leases()
        return sorted(
            (item for item in self._entries.items() if item[0].startswith(prefix)),
            key=lambda item: item[0],
        )

    def changed_after(self, key: str, revision: int) -> bool:
        """Tell whether a key was written or deleted after ``revision``."""
        entry = self.get(key)
        changed_at = entry.revision if entry else self._deleted_at.get(key, 0)
        return changed_at > revision

    def put(self, key: str, value: str, expected_revision: int, lease_id: str | None) -> int:
        """Write an entry.

        :param expected_revision: revision that the entry must have; 0 when it must not exist.
        :param lease_id: lease to attach the entry to, if any.
        :returns: the new revision.
        :raises RevisionConflictError: when the entry has another revision.
        :raises LeaseExpiredError: when the lease does not exist.
        """
        self.expire_leases()
        self._check_revision(key, expected_revision)
        if lease_id is not None and lease_id not in self._leases:
            raise LeaseExpiredError
        self._detach_from_lease(key)
        self.revision += 1
        self._entries[key] = Entry(revision=self.revision, value=value, lease=lease_id)
        self._deleted_at.pop(key, None)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
        self._on_change()
        return self.revision

    def delete(self, key: str, expected_revision: int) -> int:
        """Delete an entry.

        :returns: the store's revision after the deletion.
        :raises RevisionConflictError: when the entry has another revision.
        """
        self.expire_leases()
        self._check_revision(key, expected_revision)
        if key in self._entries:
            self._remove(key)
        return self.revision

    def create_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""
        lease_id = f"lease-{next(self._lease_numbers)}"
        self._leases[lease_id] = Lease(ttl_s=ttl_s, ends_at_s=self._clock() + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: str) -> float:
        """Restart the term of a lease and return the term in seconds.

        :raises LeaseExpiredError: when the lease does not exist.
        """
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseExpiredError
        lease.ends_at_s = self._clock() + lease.ttl_s
        return lease.ttl_s

    def end_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys.

        :raises LeaseExpiredError: when the lease does not exist.
        """
        self.expire_leases()
        if lease_id not in self._leases:
            raise LeaseExpiredError
        self._remove_lease(lease_id)

    def expire_leases(self) -> None:
        """Remove the leases whose term is over, with their keys."""
        now_s = self._clock()
        expired = [name for name, lease in self._leases.items() if lease.ends_at_s <= now_s]
        for lease_id in expired:
            self._remove_lease(lease_id)

    def load_instances(self, instances: list[dict[str, str]]) -> None:
        """Set the initial list of instances, which is visible at once whatever the lag."""
        self._instances = {item["name"]: {"state": "live", **item} for item in instances}
        self._instance_history[0] = (float("-inf"), self._listed_instances())

    def set_instance(self, name: str, peer_address: str, state: str) -> None:
        """Add or update an instance in the list."""
        self._instances[name] = {"name": name, "peer_address": peer_address, "state": state}
        self._record_instances()

    def remove_instance(self, name: str) -> None:
        """Remove an instance from the list."""
        self._instances.pop(name, None)
        self._record_instances()

    def instances(self, lag_s: float) -> list[dict[str, str]]:
        """Return the list of instances as it was ``lag_s`` ago."""
        as_of_s = self._clock() - lag_s
        listed: list[dict[str, str]] = []
        for changed_at_s, content in self._instance_history:
            if changed_at_s > as_of_s:
                break
            listed = content
        return listed

    def _check_revision(self, key: str, expected_revision: int) -> None:
        entry = self._entries.get(key)
        current = entry.revision if entry else 0
        if current != expected_revision:
            raise RevisionConflictError(current)

    def _detach_from_lease(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry is not None and entry.lease is not None:
            self._leases[entry.lease].keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_from_lease(key)
        del self._entries[key]
        self.revision += 1
        self._deleted_at[key] = self.revision
        self._on_change()

    def _remove_lease(self, lease_id: str) -> None:
        for key in sorted(self._leases[lease_id].keys):
            self._remove(key)
        del self._leases[lease_id]

    def _record_instances(self) -> None:
        self._instance_history.append((self._clock(), self._listed_instances()))

    def _listed_instances(self) -> list[dict[str, str]]:
        return sorted(self._instances.values(), key=lambda item: item["name"])
