"""Client of the platform's key-value store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from urllib3.util import parse_url

from ._strict_pool import StrictPool

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 1.0
# The store counts as unavailable this long after a watch's own timeout. Slot holders have to report
# that to each other within the freshness limit of 3 s.
WATCH_RESPONSE_TIMEOUT_S = 0.5
POOL_SIZE = 8
LEASE_ENDED_STATUSES = (404, 409, 410)
MAX_VALUE_RESPONSE_BYTES = 2_000_000
MAX_LIST_RESPONSE_BYTES = 64_000_000


class StoreError(Exception):
    """A call to the store that failed."""


class StoreUnavailableError(StoreError):
    """The store did not execute the call."""


class ResponseLostError(StoreError):
    """The call got no usable response: a write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The key is not at the expected revision; ``current_revision`` is 0 if the key is absent."""

    def __init__(self, key: str, expected_revision: int, current_revision: int) -> None:
        super().__init__(
            f"store key {key} is at revision {current_revision}, not {expected_revision}"
        )
        self.key = key
        self.current_revision = current_revision


class LeaseLostError(StoreError):
    """The lease has ended or never existed."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredValue:
    """Value of a key, with the revision at which it was written."""

    key: str
    value: bytes
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreInstance:
    """Entry of the platform's list of instances; ``state`` is ``live`` or ``leaving``."""

    name: str
    peer_address: str
    state: str


class ConfigurationStore(ABC):
    """Key-value store with compare-and-swap, leases and watches.

    The store never gives a key the same revision twice, even if the key is deleted and created
    again. Each method raises :class:`StoreUnavailableError` if the call was not executed. Methods
    that write raise :class:`ResponseLostError` if that is unknown.
    """

    @abstractmethod
    def read(self, key: str) -> StoredValue | None:
        """Read a key; return ``None`` if it is absent."""

    @abstractmethod
    def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str | None = None
    ) -> int:
        """Write a key if it is at the expected revision; 0 requires that the key is absent.

        :param lease_id: lease whose end deletes the key.
        :returns: the new revision.
        :raises StoreConflictError: when the key is at another revision.
        :raises LeaseLostError: when the lease has ended.
        """

    @abstractmethod
    def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it is at the expected revision.

        :raises StoreConflictError: when the key is at another revision, or absent.
        """

    @abstractmethod
    def list_keys(self, prefix: str) -> list[StoredValue]:
        """Read all keys that start with a prefix."""

    @abstractmethod
    def watch(self, key: str, after_revision: int, timeout_s: float) -> StoredValue | None:
        """Wait until a key has a revision above the given one.

        :returns: the value, or ``None`` if the key was unchanged at some time after the call
            began.
        """

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease_id: str) -> bool:
        """Restart a lease's term.

        :returns: false if the lease has ended.
        """

    @abstractmethod
    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys; does nothing if the lease has ended."""

    @abstractmethod
    def list_instances(self) -> list[StoreInstance]:
        """Read the platform's list of instances, which may be out of date."""

    @abstractmethod
    def register_instance(self, instance: StoreInstance) -> None:
        """Add an instance to the platform's list, or update its entry."""


class _Value(msgspec.Struct):
    revision: int
    value: bytes
    key: str = ""


class _Entries(msgspec.Struct):
    entries: list[_Value]


class _Revision(msgspec.Struct):
    revision: int = 0


class _Lease(msgspec.Struct):
    lease: str | int


class _Instance(msgspec.Struct):
    name: str
    peer_address: str
    state: str


class _Instances(msgspec.Struct):
    instances: list[_Instance]


class HttpStore(ConfigurationStore):
    """Store client over HTTP and JSON.

    :param base_url: such as ``http://127.0.0.1:9000``.
    :param response_timeout_s: time to wait for a response.
    :param watch_response_timeout_s: time to wait for a watch's response beyond its own timeout.
    """

    __slots__ = ("_response_timeout_s", "_pool", "_watch_response_timeout_s")

    def __init__(
        self,
        *,
        base_url: str,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
        watch_response_timeout_s: float = WATCH_RESPONSE_TIMEOUT_S,
    ) -> None:
        url = parse_url(base_url)
        self._pool = StrictPool(url.host, url.port, maxsize=POOL_SIZE, retries=False)
        self._response_timeout_s = response_timeout_s
        self._watch_response_timeout_s = watch_response_timeout_s

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def read(self, key: str) -> StoredValue | None:
        """Read a key, see the base class."""
        status, body = self._call("GET", _key_path(key))
        if status == 404:
            return None
        return _stored_value(key, self._decode(status, body, _Value))

    def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str | None = None
    ) -> int:
        """Write a key, see the base class."""
        status, body = self._call(
            "PUT",
            _key_path(key),
            content={"value": value, "lease": lease_id},
            expected_revision=expected_revision,
        )
        if status == 409:
            raise _conflict(key, expected_revision, body)
        if status == 410:
            raise LeaseLostError(f"lease {lease_id} has ended; acquire a new one")
        return self._decode(status, body, _Revision, writes=True).revision

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key, see the base class."""
        status, body = self._call("DELETE", _key_path(key), expected_revision=expected_revision)
        if status in (404, 409):
            raise _conflict(key, expected_revision, body)
        self._check(status, body, writes=True)

    def list_keys(self, prefix: str) -> list[StoredValue]:
        """Read keys by prefix, see the base class."""
        path = f"/v1/kv?{urlencode({'prefix': prefix})}"
        status, body = self._call("GET", path, limit_bytes=MAX_LIST_RESPONSE_BYTES)
        entries = self._decode(status, body, _Entries).entries
        return [_stored_value(entry.key, entry) for entry in entries]

    def watch(self, key: str, after_revision: int, timeout_s: float) -> StoredValue | None:
        """Wait for a change of a key, see the base class."""
        query = urlencode({"after": after_revision, "timeout_s": timeout_s})
        path = f"/v1/watch/{quote(key)}?{query}"
        status, body = self._call("GET", path, timeout_s=timeout_s + self._watch_response_timeout_s)
        if status == 204 or (status == 404 and after_revision == 0):
            return None
        return _stored_value(key, self._decode(status, body, _Value))

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease, see the base class."""
        status, body = self._call("POST", "/v1/leases", content={"ttl_s": ttl_s})
        return str(self._decode(status, body, _Lease, writes=True).lease)

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease, see the base class."""
        status, body = self._call("PUT", f"/v1/leases/{quote(lease_id)}", content={})
        if status in LEASE_ENDED_STATUSES:
            return False
        self._check(status, body, writes=True)
        return True

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease, see the base class."""
        status, body = self._call("DELETE", f"/v1/leases/{quote(lease_id)}")
        if status not in LEASE_ENDED_STATUSES:
            self._check(status, body, writes=True)

    def list_instances(self) -> list[StoreInstance]:
        """Read the list of instances, see the base class."""
        status, body = self._call("GET", "/v1/instances", limit_bytes=MAX_LIST_RESPONSE_BYTES)
        found = self._decode(status, body, _Instances).instances
        return [
            StoreInstance(name=item.name, peer_address=item.peer_address, state=item.state)
            for item in found
        ]

    def register_instance(self, instance: StoreInstance) -> None:
        """Register an instance, see the base class."""
        content = {
            "name": instance.name,
            "peer_address": instance.peer_address,
            "state": instance.state,
        }
        path = f"/v1/instances/{quote(instance.name, safe='')}"
        status, body = self._call("PUT", path, content=content)
        self._check(status, body, writes=True)

    def _call(
        self,
        method: str,
        path: str,
        *,
        content: dict[str, object] | None = None,
        expected_revision: int | None = None,
        timeout_s: float | None = None,
        limit_bytes: int = MAX_VALUE_RESPONSE_BYTES,
    ) -> tuple[int, bytes]:
        """Send a request and read the whole response.

        :raises StoreUnavailableError: when the request was not executed.
        :raises ResponseLostError: when it may have been executed.
        """
        writes = method != "GET"
        headers = {"Content-Type": "application/json"}
        if expected_revision is not None:
            headers["If-Revision"] = str(expected_revision)
        read_timeout_s = self._response_timeout_s if timeout_s is None else timeout_s
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=None if content is None else msgspec.json.encode(content),
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
                preload_content=False,
            )
            body = response.read(limit_bytes + 1)
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreUnavailableError("the store refuses connections or has no route") from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise StoreUnavailableError(
                f"the store accepted no connection within {CONNECT_TIMEOUT_S:g} s"
            ) from error
        except urllib3.exceptions.TimeoutError as error:
            raise _call_error(
                writes, f"the store gave no answer within {read_timeout_s:g} s"
            ) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _call_error(
                writes, "the store closed the connection without an answer"
            ) from error
        if len(body) > limit_bytes:
            response.close()
            raise _call_error(writes, f"the store's answer exceeds {limit_bytes} bytes")
        response.release_conn()
        return response.status, body

    @staticmethod
    def _check(status: int, body: bytes, *, writes: bool) -> None:
        """Raise an error unless the status is a success."""
        if 200 <= status < 300:
            return
        if status == 429:
            raise StoreUnavailableError("the store refused the call because of its call rate")
        text = body[:200].decode("utf-8", "replace")
        raise _call_error(
            writes and status >= 500, f"the store answered with status {status}: {text}"
        )

    def _decode(self, status: int, body: bytes, response_type: type, *, writes: bool = False):
        self._check(status, body, writes=writes)
        try:
            return msgspec.json.decode(body, type=response_type)
        except (msgspec.DecodeError, RecursionError) as error:
            raise _call_error(writes, f"the store's answer can't be decoded: {error}") from error


def _call_error(writes: bool, text: str) -> StoreError:
    return ResponseLostError(text) if writes else StoreUnavailableError(text)


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _stored_value(key: str, found: _Value) -> StoredValue:
    return StoredValue(key=key, value=found.value, revision=found.revision)


def _conflict(key: str, expected_revision: int, body: bytes) -> StoreConflictError:
    try:
        current_revision = msgspec.json.decode(body, type=_Revision).revision
    except (msgspec.DecodeError, RecursionError):
        current_revision = 0
    return StoreConflictError(key, expected_revision, current_revision)
