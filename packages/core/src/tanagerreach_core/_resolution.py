"""Indexed lookups of keys, routes, limits and targets in a configuration."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote

from result import Err, Ok, Result

from ._limits import LimitIndex
from ._objects import (
    ApiKey,
    Configuration,
    DataCentre,
    Limit,
    Route,
    Service,
    Target,
    Workspace,
    same_hash,
)
from ._paths import PathError, normalise_path
from ._selectors import LabelIndex, Selector

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class RefusalReason(Enum):
    """Why no route was found."""

    BAD_PATH = "bad path"
    NO_ROUTE = "no route"
    METHOD_NOT_ALLOWED = "method not allowed"


@dataclass(slots=True, kw_only=True, frozen=True)
class RouteRefusal:
    """A request that has no route; ``allowed_methods`` is set when only the method is wrong."""

    reason: RefusalReason
    detail: str
    allowed_methods: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class RouteMatch:
    """The route of a request.

    ``path`` is the normalised path, which is forwarded to the target. ``service`` is ``None``
    when the route's selector currently picks no service.
    """

    route: Route
    service: Service | None
    path: str
    idempotent: bool
    timeout_s: float


class Resolver:
    """Indexes over one configuration.

    :param configuration: a valid configuration.
    :param previous: resolver of an earlier revision; an index whose objects are the same is
        reused.
    :param decodes_paths: whether paths are compared with prefixes decoded and without path
        parameters, or as received.
    """

    __slots__ = (
        "_decodes_paths",
        "_host_tables",
        "_key_names",
        "_limit_index",
        "_route_services",
        "_targets",
        "configuration",
    )

    def __init__(
        self,
        configuration: Configuration,
        previous: "Resolver | None" = None,
        *,
        decodes_paths: bool = True,
    ) -> None:
        self.configuration = configuration
        self._decodes_paths = decodes_paths
        self._key_names = _index_keys(configuration.keys, previous)
        self._index_limits(previous)
        self._index_routes(previous)
        self._index_targets(previous)

    @property
    def revision(self) -> int:
        """Revision of the configuration."""
        return self.configuration.revision

    def workspace_of_key(self, key_text: str) -> Workspace | None:
        """Find the workspace of a key that is not withdrawn."""
        key = self.find_key(key_text)
        if key is None or key.withdrawn:
            return None
        return self.configuration.workspaces.get(key.workspace)

    def find_key(self, key_text: str) -> ApiKey | None:
        """Find a key, including a withdrawn one.

        :param key_text: the key as a header value, each character of which stands for a byte.
        """
        try:
            key_hash = hashlib.sha256(key_text.encode("latin-1")).hexdigest()
        except UnicodeEncodeError:
            return None
        name = self._key_names.get(key_hash)
        key = None if name is None else self.configuration.keys[name]
        if key is None or not same_hash(key.key_hash, key_hash):
            return None
        return key

    def find_route(
        self, host: str, method: str, raw_path: str, draw: float = 0.0
    ) -> Result[RouteMatch, RouteRefusal]:
        """Find the route of a request.

        Routes with the request's host take precedence over those without a host. Among them the
        longest prefix that ends on a segment boundary wins. If its routes do not allow the method,
        the request is refused; shorter prefixes are not tried.

        :param host: the ``Host`` header.
        :param raw_path: the path as received, not decoded, without the query.
        :param draw: random number from 0 to 1 that picks the service of a route with a split.
        """
        try:
            path = normalise_path(raw_path)
        except PathError as error:
            return Err(RouteRefusal(reason=RefusalReason.BAD_PATH, detail=str(error)))
        compared = _without_parameters(unquote(path)) if self._decodes_paths else raw_path
        table = self._host_tables.get(normalise_host(host))
        methods = None if table is None else table.find(compared)
        if methods is None and (general := self._host_tables.get(None)) is not None:
            methods = general.find(compared)
        if methods is None:
            return Err(RouteRefusal(reason=RefusalReason.NO_ROUTE, detail="no route has the path"))
        route = methods.get(method) or methods.get("")
        if route is None:
            return Err(
                RouteRefusal(
                    reason=RefusalReason.METHOD_NOT_ALLOWED,
                    detail=f"the route does not allow {method[:32]}",
                    allowed_methods=tuple(sorted(methods)),
                )
            )
        return Ok(self._match(route, method, path, draw))

    def may_use(self, route: Route, workspace: Workspace) -> bool:
        """Return whether a route's selector admits a workspace."""
        return not route.workspaces or Selector.parse(route.workspaces).picks(workspace)

    def limit_of(self, workspace_name: str) -> Limit | None:
        """Find the limit of a workspace, or ``None`` when the workspace does not exist."""
        workspace = self.configuration.workspaces.get(workspace_name)
        if workspace is None:
            return None
        return self._limit_index.find(workspace)

    def eligible_targets(self, service_name: str) -> tuple[Target, ...]:
        """Return the targets that may get new work: not leaving, in a selected data centre."""
        found = self._targets.get(service_name)
        return () if found is None else found[1]

    def is_in_service(self, data_centre: str) -> bool:
        """Return whether a data centre is in service, which one without an object is."""
        found = self.configuration.data_centres.get(data_centre)
        return found is None or not found.out

    def _match(self, route: Route, method: str, path: str, draw: float) -> RouteMatch:
        name = self._route_services.get(route.name, "")
        if route.split:
            name = split_service(route.split, draw)
        service = self.configuration.services.get(name)
        idempotent = route.idempotent
        if idempotent is None:
            idempotent = method in IDEMPOTENT_METHODS
        timeout_s = route.timeout_s
        if timeout_s is None:
            timeout_s = 0.0 if service is None else service.timeout_s
        return RouteMatch(
            route=route, service=service, path=path, idempotent=idempotent, timeout_s=timeout_s
        )

    def _index_limits(self, previous: "Resolver | None") -> None:
        limits = self.configuration.limits
        if previous is not None and _same_objects(limits, previous.configuration.limits):
            self._limit_index = previous._limit_index
        else:
            self._limit_index = LimitIndex(limits.values())

    def _index_routes(self, previous: "Resolver | None") -> None:
        routes, services = self.configuration.routes, self.configuration.services
        if previous is not None and _same_objects(routes, previous.configuration.routes):
            self._host_tables = previous._host_tables
            if _same_objects(services, previous.configuration.services):
                self._route_services = previous._route_services
                return
        else:
            self._host_tables = _index_hosts(routes.values())
        index = LabelIndex(services)
        self._route_services = {
            route.name: service_name(route, services, index)
            for route in routes.values()
            if not route.split
        }

    def _index_targets(self, previous: "Resolver | None") -> None:
        centres = self.configuration.data_centres
        previous_targets: Mapping[str, tuple[Service, tuple[Target, ...]]] = {}
        if previous is not None and _same_objects(centres, previous.configuration.data_centres):
            previous_targets = previous._targets
        self._targets = {}
        for name, service in self.configuration.services.items():
            entry = previous_targets.get(name)
            if entry is None or entry[0] is not service:
                entry = (service, eligible_targets(service, centres))
            self._targets[name] = entry


def split_service(split: Mapping[str, float], draw: float) -> str:
    """Pick a service at random, in proportion to the weights.

    :param draw: random number from 0 to 1; the same number always picks the same service.
    """
    remaining = draw * sum(split.values())
    for name, weight in split.items():
        remaining -= weight
        if remaining < 0:
            return name
    return next(reversed(split))


def service_name(route: Route, services: Mapping[str, Service], index: LabelIndex) -> str:
    """Return the name of the service that a route names or selects, or an empty string."""
    if route.service in services:
        return route.service
    picked = index.picked(Selector.parse(route.service))
    return min((item.name for item in picked), default="")


def eligible_targets(service: Service, centres: Mapping[str, DataCentre]) -> tuple[Target, ...]:
    """Filter the targets of a service that may get new work."""
    selector = Selector.parse(service.data_centres)
    selected = {name for name, centre in centres.items() if selector.picks(centre)}
    return tuple(
        target
        for target in service.targets
        if target.data_centre in selected and not target.leaving
    )


def normalise_host(host: str) -> str:
    """Convert a ``Host`` header to lower case and remove the port and the trailing dot."""
    name = host.lower()
    if not name.startswith("["):
        name = name.partition(":")[0]
    return name.rstrip(".")


def _without_parameters(path: str) -> str:
    """Remove path parameters, since a backend server may ignore them."""
    if ";" not in path:
        return path
    return "/".join(part.partition(";")[0] for part in path.split("/"))


class _PrefixTable:
    """Routes of one host, indexed by path prefix and method.

    A prefix without a last slash matches a path that equals it and the paths below it, a prefix
    with one only the latter.
    """

    __slots__ = ("_by_prefix", "_max_depth")

    def __init__(self) -> None:
        self._by_prefix: dict[str, dict[str, Route]] = {}
        self._max_depth = 0

    def add(self, route: Route) -> None:
        prefix = "" if route.path_prefix == "/" else route.path_prefix
        methods = self._by_prefix.setdefault(prefix, {})
        for method in route.methods or ("",):
            methods[method] = route
        self._max_depth = max(self._max_depth, prefix.count("/"))

    def find(self, path: str) -> Mapping[str, Route] | None:
        """Find the routes of the longest matching prefix, by method."""
        parts = path.split("/", self._max_depth + 1)
        prefix = "/".join(parts[: self._max_depth + 1])
        while True:
            methods = self._by_prefix.get(prefix)
            if methods is not None:
                return methods
            if not prefix:
                return None
            # "/a/b" is followed by "/a/", and that by "/a".
            end = len(prefix) - 1 if prefix.endswith("/") else prefix.rindex("/") + 1
            prefix = prefix[:end]


def _index_hosts(routes: Iterable[Route]) -> dict[str | None, _PrefixTable]:
    tables: dict[str | None, _PrefixTable] = {}
    for route in routes:
        tables.setdefault(route.host, _PrefixTable()).add(route)
    return tables


def _index_keys(keys: Mapping[str, ApiKey], previous: Resolver | None) -> dict[str, str]:
    """Map key hashes to names, updating a copy of the earlier index where there is one."""
    if previous is None:
        return {key.key_hash: name for name, key in keys.items()}
    old = previous.configuration.keys
    if old is keys:
        return previous._key_names
    changed = [key for name, key in keys.items() if old.get(name) is not key]
    removed = [key for name, key in old.items() if keys.get(name) is not key]
    if not changed and not removed:
        return previous._key_names
    index = dict(previous._key_names)
    for key in removed:
        index.pop(key.key_hash, None)
    index.update((key.key_hash, key.name) for key in changed)
    return index


def _same_objects(left: Mapping[str, object], right: Mapping[str, object]) -> bool:
    """Return whether two mappings hold identical objects, not just equal ones."""
    if left is right:
        return True
    return len(left) == len(right) and all(right.get(name) is item for name, item in left.items())
