"""Command line options of the backend server stand-in."""

from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(name="backend")
@dataclass(slots=True, kw_only=True)
class BackendOptions:
    """Run a backend server stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help="port on 127.0.0.1; 0 is a free one")] = 0
    name: Annotated[str, cappa.Arg(long=True, help="name of the target")] = "backend"
    service: Annotated[str, cappa.Arg(long=True, help="name of its service")] = "service"
    data_centre: Annotated[str, cappa.Arg(long=True, help="label of its data centre")] = "dc-1"
    slots: Annotated[int, cappa.Arg(long=True, help="concurrent requests")] = 4
    queue: Annotated[int, cappa.Arg(long=True, help="waiting requests before it sheds")] = 4
    service_time_ms: Annotated[float, cappa.Arg(long=True, help="mean")] = 5.0
    distribution: Annotated[
        str, cappa.Arg(long=True, help="of service times: fixed, exponential or lognormal")
    ] = "fixed"
    seed: Annotated[int, cappa.Arg(long=True, help="seed of all draws")] = 0
    cold_start_s: Annotated[float, cappa.Arg(long=True, help="0 starts warm")] = 0.0
    cold_concurrency: Annotated[int, cappa.Arg(long=True, help="concurrency_limit at first")] = 1
    cold_ramp: Annotated[str, cappa.Arg(long=True, help="doubling or fixed")] = "doubling"
    max_connections: Annotated[int, cappa.Arg(long=True, help="further ones are closed")] = 330
    connection_cost_ms: Annotated[float, cappa.Arg(long=True, help="time of a new one")] = 0.0
    probe_cost_ms: Annotated[float, cappa.Arg(long=True, help="time of GET /healthz")] = 0.0
    drain_notice_s: Annotated[float, cappa.Arg(long=True, help="least time on SIGTERM")] = 0.0
    drain_limit_s: Annotated[float, cappa.Arg(long=True, help="longest wait on SIGTERM")] = 30.0
