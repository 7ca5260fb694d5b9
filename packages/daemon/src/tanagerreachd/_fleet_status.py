"""Collects the status of the fleet for operators."""

import concurrent.futures
import math
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec
import urllib3
from tanagerreach_core.operator_responses import FleetMember, FleetStatus, InstanceStatus

from ._strict_pool import StrictPoolManager

FLEET_TIMEOUT_S = 1.5
# More concurrent calls delay callers' requests on the collecting instance and are not faster.
FLEET_CONCURRENCY = 16
# Maximum age of a response that proves that an instance has reached a revision.
RESPONSE_MAX_AGE_S = 60.0
STATUS_LIMIT_BYTES = 64 * 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class KnownInstance:
    """What this instance knows of another one without a call.

    ``heard_age_s`` is the time since its last exchange, ``None`` if there was none.
    """

    name: str
    operator_address: str
    heard_age_s: float | None


class InstanceProvider(ABC):
    """Status of this instance and list of its peers, for the operator listener."""

    @abstractmethod
    def status(self) -> InstanceStatus:
        """Return the status of this instance."""

    @abstractmethod
    def known_instances(self) -> list[KnownInstance]:
        """Return the other instances that this one knows."""


class FleetCollector:
    """Collects the status of known instances from their operator listeners in parallel.

    :param provider: this instance and its peers.
    :param credential: operator credential, which is the same in the whole fleet.
    :param timeout_s: time to wait for all responses.
    """

    def __init__(
        self, *, provider: InstanceProvider, credential: str, timeout_s: float = FLEET_TIMEOUT_S
    ) -> None:
        self._provider = provider
        self._headers = {"Authorization": f"Bearer {credential}"}
        self._timeout_s = timeout_s
        self._last_responses: dict[str, tuple[float, FleetMember]] = {}

    def collect(self, below_revision: int = 0) -> FleetStatus:
        """Collect the status of all known instances, within about the timeout.

        :param below_revision: if above 0, instances that recently reported this revision or a
            higher one are not called again. Revisions never decrease, so an operator who waits for
            a revision costs each instance little more than one response.
        """
        own = self._provider.status()
        peers = [peer for peer in self._provider.known_instances() if peer.name != own.name]
        members = self._recent_members(peers, below_revision) if below_revision else {}
        missing = [peer for peer in peers if peer.name not in members]
        if missing:
            members |= {member.name: member for member in self._fetch_members(missing)}
        members[own.name] = FleetMember(
            name=own.name, operator_address=own.operator_address, heard_age_s=0.0, status=own
        )
        return FleetStatus(
            answered_by=own.name, members=sorted(members.values(), key=lambda member: member.name)
        )

    def _recent_members(self, peers: list[KnownInstance], revision: int) -> dict[str, FleetMember]:
        oldest_s = time.monotonic() - RESPONSE_MAX_AGE_S
        self._last_responses = {
            name: entry for name, entry in self._last_responses.items() if entry[0] > oldest_s
        }
        found = (self._last_responses.get(peer.name) for peer in peers)
        return {
            entry[1].name: entry[1]
            for entry in found
            if entry is not None and entry[1].status.revision >= revision
        }

    def _fetch_members(self, peers: list[KnownInstance]) -> list[FleetMember]:
        # Instances that are probably down are called last, so that they do not use up the time.
        peers = sorted(peers, key=_heard_age_s)
        executor = concurrent.futures.ThreadPoolExecutor(min(FLEET_CONCURRENCY, len(peers)))
        futures = {executor.submit(self._fetch_member, peer): peer for peer in peers}
        done, _ = concurrent.futures.wait(futures, timeout=self._timeout_s)
        executor.shutdown(wait=False, cancel_futures=True)
        members = [
            future.result()
            if future in done
            else _failed_member(peer, "no answer within the time limit")
            for future, peer in futures.items()
        ]
        now_s = time.monotonic()
        self._last_responses.update(
            (member.name, (now_s, member)) for member in members if member.status is not None
        )
        return members

    def _fetch_member(self, peer: KnownInstance) -> FleetMember:
        try:
            status = msgspec.json.decode(self._fetch_status(peer), type=InstanceStatus)
        except _UnexpectedStatusError as error:
            return _failed_member(peer, str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _failed_member(peer, _error_text(error))
        except (msgspec.DecodeError, RecursionError):
            return _failed_member(peer, "answered with another kind of document")
        if status.name != peer.name:
            return _failed_member(peer, f"the address now belongs to {status.name}")
        return FleetMember(
            name=peer.name,
            operator_address=peer.operator_address,
            heard_age_s=peer.heard_age_s,
            status=status,
        )

    def _fetch_status(self, peer: KnownInstance) -> bytes:
        # Connections are not reused, since a pool per peer would outlive replaced instances.
        timeout = urllib3.Timeout(total=self._timeout_s)
        with StrictPoolManager(timeout=timeout) as pools:
            response = pools.request(
                "GET",
                f"http://{peer.operator_address}/v1/status?targets=no",
                headers=self._headers,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            body = response.read(STATUS_LIMIT_BYTES)
            response.close()
        if response.status != 200:
            raise _UnexpectedStatusError(f"answered with status {response.status}")
        return body


class _UnexpectedStatusError(Exception):
    """A peer responded with an HTTP status that is not a success."""


def _error_text(error: Exception) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "connection refused or no route"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no answer within the time limit"
    return f"no complete answer ({type(error).__name__})"


def _heard_age_s(peer: KnownInstance) -> float:
    return math.inf if peer.heard_age_s is None else peer.heard_age_s


def _failed_member(peer: KnownInstance, error: str) -> FleetMember:
    return FleetMember(
        name=peer.name,
        operator_address=peer.operator_address,
        heard_age_s=peer.heard_age_s,
        error=error,
    )
