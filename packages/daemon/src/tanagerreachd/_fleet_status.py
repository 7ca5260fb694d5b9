"""Status of one instance and of the fleet, as operators see them."""

import concurrent.futures
import math
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec
import urllib3
from tanagerreach_core.operator_responses import FleetMember, FleetStatus, InstanceStatus

FLEET_TIMEOUT_S = 1.5
# More at once delay callers' requests on the asking instance without being faster.
FLEET_CONCURRENCY = 16
# Time for which an answer shows that an instance has reached a revision.
SEEN_TERM_S = 60.0
STATUS_LIMIT_BYTES = 64 * 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class KnownInstance:
    """What an instance knows of another without asking it.

    ``heard_age_s`` is the time since its last exchange, ``None`` when there was none.
    """

    name: str
    operator_address: str
    heard_age_s: float | None


class InstanceProvider(ABC):
    """What the operator listener needs to know of its instance and its peers."""

    @abstractmethod
    def status(self) -> InstanceStatus:
        """Return the status of this instance."""

    @abstractmethod
    def known_instances(self) -> list[KnownInstance]:
        """Return the other instances that this one knows."""


class FleetCollector:
    """Collects the status of known instances from their operator listeners in parallel.

    :param provider: the own instance and its peers.
    :param credential: operator credential, which is the same in the whole fleet.
    :param timeout_s: time after which missing answers are given up.
    """

    def __init__(
        self, *, provider: InstanceProvider, credential: str, timeout_s: float = FLEET_TIMEOUT_S
    ) -> None:
        self._provider = provider
        self._headers = {"Authorization": f"Bearer {credential}"}
        self._timeout_s = timeout_s
        self._last_answers: dict[str, tuple[float, FleetMember]] = {}

    def collect(self, below_revision: int = 0) -> FleetStatus:
        """Ask known instances; takes at most about the time limit.

        :param below_revision: when above 0, instances that were lately seen with this revision or
            a higher one are not asked again. Revisions only rise, so an operator who waits for a
            revision costs each instance little more than one answer.
        """
        own = self._provider.status()
        peers = [peer for peer in self._provider.known_instances() if peer.name != own.name]
        members = self._seen_lately(peers, below_revision) if below_revision else {}
        missing = [peer for peer in peers if peer.name not in members]
        if missing:
            members |= {member.name: member for member in self._ask_all(missing)}
        members[own.name] = FleetMember(
            name=own.name, operator_address=own.operator_address, heard_age_s=0.0, status=own
        )
        return FleetStatus(
            answered_by=own.name, members=sorted(members.values(), key=lambda member: member.name)
        )

    def _seen_lately(self, peers: list[KnownInstance], revision: int) -> dict[str, FleetMember]:
        oldest_s = time.monotonic() - SEEN_TERM_S
        self._last_answers = {
            name: answer for name, answer in self._last_answers.items() if answer[0] > oldest_s
        }
        found = (self._last_answers.get(peer.name) for peer in peers)
        return {
            answer[1].name: answer[1]
            for answer in found
            if answer is not None and answer[1].status.revision >= revision
        }

    def _ask_all(self, peers: list[KnownInstance]) -> list[FleetMember]:
        # Instances that are probably down are asked last, so that they don't use up the time.
        peers = sorted(peers, key=_heard_age_s)
        executor = concurrent.futures.ThreadPoolExecutor(min(FLEET_CONCURRENCY, len(peers)))
        futures = {executor.submit(self._ask, peer): peer for peer in peers}
        done, _ = concurrent.futures.wait(futures, timeout=self._timeout_s)
        executor.shutdown(wait=False, cancel_futures=True)
        members = [
            future.result() if future in done else _silent(peer, "no answer within the time limit")
            for future, peer in futures.items()
        ]
        now_s = time.monotonic()
        self._last_answers.update(
            (member.name, (now_s, member)) for member in members if member.status is not None
        )
        return members

    def _ask(self, peer: KnownInstance) -> FleetMember:
        try:
            status = msgspec.json.decode(self._fetch_status(peer), type=InstanceStatus)
        except _UnexpectedStatusError as error:
            return _silent(peer, str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _silent(peer, _fault_text(error))
        except (msgspec.DecodeError, RecursionError):
            return _silent(peer, "answered with another kind of document")
        if status.name != peer.name:
            return _silent(peer, f"the address now belongs to {status.name}")
        return FleetMember(
            name=peer.name,
            operator_address=peer.operator_address,
            heard_age_s=peer.heard_age_s,
            status=status,
        )

    def _fetch_status(self, peer: KnownInstance) -> bytes:
        # Connections are not kept, since a pool per peer would outlive replaced instances.
        with urllib3.connection_from_url(
            f"http://{peer.operator_address}", timeout=urllib3.Timeout(total=self._timeout_s)
        ) as pool:
            response = pool.request(
                "GET",
                "/v1/status?targets=no",
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
    """A peer refused to tell its status."""


def _fault_text(error: Exception) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "connection refused or no route"
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return "no answer within the time limit"
    return f"no complete answer ({type(error).__name__})"


def _heard_age_s(peer: KnownInstance) -> float:
    return math.inf if peer.heard_age_s is None else peer.heard_age_s


def _silent(peer: KnownInstance, error: str) -> FleetMember:
    return FleetMember(
        name=peer.name,
        operator_address=peer.operator_address,
        heard_age_s=peer.heard_age_s,
        error=error,
    )
