"""Tells operators where a request would go now, on the metrics listener."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from tanagerreach_core.config import Resolver, Route
from tanagerreach_core.messages import PlacementRequest
from tanagerreach_core.operator_responses import PlacementPreview, RefusalResponse
from tanagerreach_core.placement import Peer, PeerTable, path_shape, work_class
from tanagerreach_core.rights import service_rendezvous_key
from tanagerreach_core.traffic import is_idempotent

from .. import _clock
from ._home_server import HomeServer
from ._request import DEFAULT_CALLER_WAIT_S

PREVIEW_PATH = "/placement-preview"
MS_PER_S = 1000.0
MAX_SIZE_DIGITS = 12


class _QueryError(Exception):
    """The query names something that does not exist; the message says what to change."""


class PlacementPreviews:
    """WSGI application that previews the placement of a request at each service of its route.

    :param host: this instance's host.
    :param metrics_port: port of the metrics listener, the same on all machines.
    :param places_by_cost: whether a service's requests are placed by their expected cost.
    """

    def __init__(
        self,
        *,
        own_name: str,
        data_centre: str,
        host: str,
        metrics_port: int,
        resolver: Callable[[], Resolver | None],
        peer_table: PeerTable,
        homes: HomeServer,
        places_by_cost: Callable[[str], bool],
    ) -> None:
        self._own_name = own_name
        self._data_centre = data_centre
        self._host = host
        self._metrics_port = metrics_port
        self._resolver = resolver
        self._peer_table = peer_table
        self._homes = homes
        self._places_by_cost = places_by_cost

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Respond with a list of previews, or with an error."""
        status = "200 OK"
        try:
            response: Any = self._previews(dict(parse_qsl(environ.get("QUERY_STRING", ""))))
        except _QueryError as error:
            status = "400 Bad Request"
            response = RefusalResponse(error=str(error))
        body = msgspec.json.encode(response)
        start_response(
            status, [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        )
        return [body]

    def _previews(self, query: dict[str, str]) -> list[PlacementPreview]:
        resolver = self._resolver()
        if resolver is None:
            raise _QueryError("the instance has no configuration yet; ask another one")
        route = resolver.configuration.routes.get(query.get("route", ""))
        if route is None:
            raise _QueryError(
                f"no route is named {query.get('route', '')!r}; the configuration lists the names"
            )
        services = sorted(route.split) or [route.service]
        return [self._preview(resolver, route, service, query) for service in services]

    def _preview(
        self, resolver: Resolver, route: Route, service: str, query: dict[str, str]
    ) -> PlacementPreview:
        request = self._placement_request(resolver, route, service, query)
        homes = self._peer_table.homes(service_rendezvous_key(service), _clock.now_s(), most=1)
        home: Peer | None = homes[0] if homes else None
        if home is None:
            preview = self._homes.preview(self._own_name, request)
            preview.home = self._own_name
            preview.home_address = f"{self._host}:{self._metrics_port}"
            return preview
        return PlacementPreview(
            service=service,
            home=home.name,
            home_address=f"{home.address.rpartition(':')[0]}:{self._metrics_port}",
            is_decided_here=False,
        )

    def _placement_request(
        self, resolver: Resolver, route: Route, service: str, query: dict[str, str]
    ) -> PlacementRequest:
        method = query.get("method", "GET")
        path = query.get("path", route.path_prefix)
        size = query.get("size", "0")
        if not size.isdecimal() or len(size) > MAX_SIZE_DIGITS:
            raise _QueryError(f"size {size!r} is not a number of bytes; write digits")
        workspace = query.get("workspace", "")
        known = resolver.configuration.workspaces.get(workspace)
        if workspace and known is None:
            raise _QueryError(f"no workspace is named {workspace!r}")
        remaining_s = route.timeout_s or DEFAULT_CALLER_WAIT_S
        objective_s = min(remaining_s, route.latency_objective_s or remaining_s)
        priority = route.priority if known is None or known.priority is None else known.priority
        is_retryable = is_idempotent(method) if route.idempotent is None else route.idempotent
        tells_work = self._places_by_cost(service)
        return PlacementRequest(
            call_id=0,
            service=service,
            workspace=workspace,
            priority=priority,
            remaining_ms=int(MS_PER_S * remaining_s),
            objective_ms=int(MS_PER_S * objective_s),
            is_retryable=is_retryable,
            is_retry=False,
            data_centre=self._data_centre,
            fingerprint=b"",
            work_class=work_class(route.name, method, int(size)) if tells_work else 0,
            path_shape=path_shape(path) if tells_work else 0,
        )
