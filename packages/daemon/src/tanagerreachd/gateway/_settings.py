"""Settings of a gateway instance."""

from dataclasses import dataclass

from tanagerreach_core.placement import RolloutLimits

from .._option_kinds import Address
from ._retry_budgets import RetryAllowance


@dataclass(slots=True, kw_only=True, frozen=True)
class GatewaySettings:
    """Settings that are fixed while an instance runs.

    :param peer_udp_port: port for datagrams between instances, the same on all machines.
    :param peer_http_port: port of the state server, the same on all machines.
    :param peer_seed_hosts: hosts of some instances, which may be down.
    :param floor_share: minimum share of a service's targets to keep in use while requests fail.
    :param stop_limit_s: time from SIGTERM until the process is killed.
    :param places_by_cost: whether requests are placed by their expected cost, for the services
        whose configuration calls for it; the same on all machines.
    :param rollout_limits: bounds on the exposure of a version that is rolled out, ``None`` where
        versions of targets are not distinguished.
    :param memory_bytes: memory of the process's machine.
    :param max_sockets: sockets that the process may open.
    """

    instance_name: str
    data_centre: str
    host: str
    callers_address: Address
    ready_address: Address
    peer_udp_port: int
    peer_http_port: int
    metrics_port: int
    peer_seed_hosts: tuple[str, ...]
    fleet_secret: str
    retry_allowance: RetryAllowance
    target_heartbeat_s: float
    floor_share: float
    stop_limit_s: float
    memory_bytes: float
    max_sockets: float
    log_level: str = "info"
    places_by_cost: bool = True
    rollout_limits: RolloutLimits | None = None
