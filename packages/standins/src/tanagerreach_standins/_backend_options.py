"""Command line options of the backend server stand-in."""

from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(name="backend")
@dataclass(slots=True, kw_only=True)
class BackendOptions:
    """Run a backend server stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help="port on 127.0.0.1; 0 selects a free one")] = 0
    name: Annotated[str, cappa.Arg(long=True, help="name of the target")] = "backend"
    service: Annotated[str, cappa.Arg(long=True, help="name of the target's service")] = "service"
    data_centre: Annotated[str, cappa.Arg(long=True, help="data centre of the target")] = "dc-1"
    slots: Annotated[int, cappa.Arg(long=True, help="concurrent requests when warm")] = 4
    queue: Annotated[int, cappa.Arg(long=True, help="requests that may wait for a slot")] = 4
    service_time_ms: Annotated[float, cappa.Arg(long=True, help="mean service time")] = 5.0
    distribution: Annotated[
        str,
        cappa.Arg(long=True, help="distribution of service times: fixed, exponential or lognormal"),
    ] = "fixed"
    seed: Annotated[int, cappa.Arg(long=True, help="seed of all random draws")] = 0
    cold_start_s: Annotated[
        float, cappa.Arg(long=True, help="duration of the cold start; 0 starts warm")
    ] = 0.0
    cold_concurrency: Annotated[
        int, cappa.Arg(long=True, help="initial limit of the cold start")
    ] = 1
    cold_ramp: Annotated[
        str, cappa.Arg(long=True, help="how the limit rises: doubling or fixed")
    ] = "doubling"
    max_connections: Annotated[
        int, cappa.Arg(long=True, help="connections beyond this are closed")
    ] = 330
    connection_cost_ms: Annotated[float, cappa.Arg(long=True, help="delay of a new connection")] = (
        0.0
    )
    probe_cost_ms: Annotated[float, cappa.Arg(long=True, help="delay of GET /healthz")] = 0.0
    drain_notice_s: Annotated[
        float, cappa.Arg(long=True, help="time from SIGTERM to the first closed connection")
    ] = 0.0
    drain_limit_s: Annotated[
        float, cappa.Arg(long=True, help="longest wait for requests after that")
    ] = 30.0
