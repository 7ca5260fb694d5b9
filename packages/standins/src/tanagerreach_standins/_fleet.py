"""Starts a small fleet of instances with their store, for tests, the quick start and measurements.

The store and the instances run as separate processes on 127.0.0.1. Configuration changes and status
reads go over HTTP to the operator listener, as those of the operator tool do.
"""

import secrets
import sys
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from ._processes import LOOPBACK, ProcessGroup, StartedProcess, free_port

FLEET_SECRET = "stand-in-fleet-secret-0123456789abcdef"
OPERATOR_CREDENTIAL = "stand-in-operator-credential-0123"
OPERATOR_NAME = "fleet-stand-in"
TRANSACTION_ID_BYTES = 8
POLL_S = 0.05
CALL_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 30.0
# States in which an instance serves callers; "out" while its data centre is taken out of service.
SERVING_STATES = ("live", "out")
# Object kinds, in the order in which the tables of a document are sent.
OBJECT_KINDS = ("data-centre", "workspace", "key", "service", "route", "limit")


class FleetTimeoutError(Exception):
    """The fleet did not reach an expected condition within the timeout."""


@dataclass(slots=True, kw_only=True)
class FleetInstance:
    """One instance process and its addresses."""

    name: str
    data_centre: str
    callers_address: str
    operator_address: str
    peer_udp_address: str
    peer_http_address: str
    settings_path: Path
    process: StartedProcess | None = None


@dataclass(slots=True, kw_only=True)
class Response:
    """HTTP response to a caller's request."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def executed(self) -> str | None:
        """Value of the ``Executed`` header of a refusal."""
        return self.headers.get("Executed")


@dataclass(slots=True, kw_only=True)
class Fleet:
    """A store and several instances.

    :param group: group in which the processes are started.
    :param data_centres: names of the data centres; instances are assigned to them in turn.
    :param settings: additional settings for all instances.
    :param store_address: address at which instances reach the store; when empty,
        :meth:`start_store` sets it to the address of the store that it starts.
    """

    group: ProcessGroup
    data_centres: Sequence[str] = ("dc-1", "dc-2", "dc-3")
    settings: Mapping[str, object] = field(default_factory=dict)
    store_address: str = ""
    store: StartedProcess | None = None
    instances: list[FleetInstance] = field(default_factory=list)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(num_pools=64, maxsize=64, retries=False)
    )

    def start_store(self, **options: object) -> StartedProcess:
        """Start the store stand-in."""
        self.store = self.group.start_standin("store", label="store", **options)
        self.store_address = self.store_address or self.store.address
        return self.store

    def start_instances(self, count: int) -> None:
        """Add and start instances, and wait until all of them accept connections."""
        added = [self.add_instance() for _ in range(count)]
        for instance in added:
            self.start_instance(instance, wait=False)
        for instance in added:
            instance.process.wait_ready(None)

    def add_instance(self, **settings: object) -> FleetInstance:
        """Allocate the addresses of another instance and write its settings file."""
        number = len(self.instances) + 1
        instance = FleetInstance(
            name=f"instance-{number}",
            data_centre=self.data_centres[(number - 1) % len(self.data_centres)],
            callers_address=f"{LOOPBACK}:{free_port()}",
            operator_address=f"{LOOPBACK}:{free_port()}",
            peer_udp_address=f"{LOOPBACK}:{free_port()}",
            peer_http_address=f"{LOOPBACK}:{free_port()}",
            settings_path=self.group.log_directory / f"instance-{number}.toml",
        )
        self.instances.append(instance)
        self._write_settings(instance, settings)
        return instance

    def start_instance(self, instance: FleetInstance, *, wait: bool = True) -> StartedProcess:
        """Start or restart the process of an instance."""
        instance.process = self.group.start(
            instance.name,
            [sys.executable, "-m", "tanagerreachd", "--settings", str(instance.settings_path)],
            address=instance.callers_address,
        )
        if wait:
            instance.process.wait_ready(None)
        return instance.process

    def apply_document(self, text: str) -> int:
        """Create or update the objects of a TOML document.

        :returns: the new configuration revision.
        """
        document = tomllib.loads(text)
        self.wait_for_live()
        current = self.operator("GET", "/v1/config")["objects"]
        versions = {(item["kind"], item["name"]): item["version"] for item in current}
        changes = [
            {
                "kind": kind,
                "name": table["name"],
                "base_version": versions.get((kind, table["name"])),
                "object": table,
            }
            for kind in OBJECT_KINDS
            for table in document.get(kind, [])
        ]
        return self.change(changes)

    def change(self, changes: list[dict[str, Any]]) -> int:
        """Commit changes through the first running instance.

        :returns: the new configuration revision.
        """
        content = {
            "transaction_id": secrets.token_hex(TRANSACTION_ID_BYTES),
            "changed_by": OPERATOR_NAME,
            "changes": changes,
        }
        return self.operator("POST", "/v1/changes", content)["revision"]

    def update_object(self, kind: str, name: str, **fields: object) -> int:
        """Update some fields of one object.

        :returns: the new configuration revision.
        """
        objects = self.operator("GET", f"/v1/config?kind={kind}&name={name}")["objects"]
        current = objects[0]
        version = current.pop("version")
        current.pop("changed_by", None)
        return self.change(
            [{"kind": kind, "name": name, "base_version": version, "object": current | fields}]
        )

    def running(self) -> list[FleetInstance]:
        """Return the instances whose process is running."""
        return [
            instance
            for instance in self.instances
            if instance.process is not None and instance.process.is_running()
        ]

    def operator(
        self,
        method: str,
        path: str,
        content: object = None,
        *,
        instance: FleetInstance | None = None,
    ) -> Any:
        """Call an operator listener, by default that of the first running instance.

        :raises ValueError: when the response status is not 200.
        """
        chosen = instance or self.running()[0]
        response = self.http.request(
            method,
            f"http://{chosen.operator_address}{path}",
            headers={"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"},
            body=None if content is None else msgspec.json.encode(content),
            timeout=CALL_TIMEOUT_S,
        )
        if response.status != 200:
            raise ValueError(f"{method} {path}: {response.status} {response.data.decode()}")
        return msgspec.json.decode(response.data)

    def request(
        self,
        instance: FleetInstance,
        method: str,
        path: str,
        *,
        key: str | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response:
        """Send a caller's request to one instance."""
        request_headers = dict(headers or {})
        if key is not None:
            request_headers["Authorization"] = f"Bearer {key}"
        response = self.http.request(
            method,
            f"http://{instance.callers_address}{path}",
            headers=request_headers,
            body=body,
            timeout=timeout_s,
            redirect=False,
        )
        return Response(status=response.status, headers=response.headers, body=response.data)

    def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Poll a condition until it holds.

        :param description: names the condition in the error message.
        :returns: the elapsed time in seconds.
        :raises FleetTimeoutError: when the condition does not hold within the timeout.
        """
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise FleetTimeoutError(f"timed out after {timeout_s} s waiting for: {description}")
            time.sleep(POLL_S)
        return time.monotonic() - started_s

    def wait_for_live(self, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until all running instances serve callers.

        An instance serves once the store or a peer has confirmed its configuration revision.
        """
        return self.wait_until(
            lambda: all(
                self.operator("GET", "/v1/status", instance=instance)["state"] in SERVING_STATES
                for instance in self.running()
            ),
            "all instances live",
            timeout_s,
        )

    def wait_for_revision(self, revision: int, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until all running instances have reached a configuration revision."""
        return self.wait_until(
            lambda: all(
                self.operator("GET", "/v1/status", instance=instance)["revision"] >= revision
                for instance in self.running()
            ),
            f"revision {revision} on all instances",
            timeout_s,
        )

    def wait_for_slots(self, slot_count: int, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until the running instances hold all slots, and each home a loan of each slot."""
        statuses: dict[str, tuple[list[int], int]] = {}

        def all_held_and_lent() -> bool:
            statuses.clear()
            for instance in self.running():
                status = self.operator("GET", "/v1/status", instance=instance)
                statuses[instance.name] = status["slots"], status["lender_count"]
            held = {slot for slots, _ in statuses.values() for slot in slots}
            lenders = [lender_count for slots, lender_count in statuses.values() if slots]
            return len(held) == slot_count and min(lenders, default=0) == slot_count

        try:
            return self.wait_until(
                all_held_and_lent, f"{slot_count} slots held and lent", timeout_s
            )
        except FleetTimeoutError as error:
            raise FleetTimeoutError(f"{error}; slots and lender counts: {statuses}") from None

    def _write_settings(
        self, instance: FleetInstance, extra_settings: Mapping[str, object]
    ) -> None:
        seeds = [other.peer_udp_address for other in self.instances[:3]]
        options: dict[str, object] = {
            "instance_name": instance.name,
            "data_centre": instance.data_centre,
            "callers_address": instance.callers_address,
            "operator_address": instance.operator_address,
            "peer_udp_address": instance.peer_udp_address,
            "peer_http_address": instance.peer_http_address,
            "peer_seeds": seeds,
            "store_address": self.store_address,
            "fleet_secret": FLEET_SECRET,
            "operator_credential": OPERATOR_CREDENTIAL,
            **self.settings,
            **extra_settings,
        }
        lines = [f"{name} = {_toml_value(value)}" for name, value in options.items()]
        instance.settings_path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def _toml_value(value: object) -> str:
    # Strings, numbers, booleans and lists of these have the same syntax in JSON and in TOML.
    return msgspec.json.encode(value).decode()
