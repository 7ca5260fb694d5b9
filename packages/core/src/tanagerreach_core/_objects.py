"""Configuration objects.

The objects are :class:`msgspec.Struct` classes with slots. They are not tracked by the garbage
collector (``gc=False``), since a collection over 100,000 tracked objects pauses all requests.
Selectors are stored as strings; :meth:`Selector.parse` caches its results.
"""

import hashlib
import hmac
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec

from ._selectors import Selector

KEY_MIN_CHARS = 16
KEY_MAX_CHARS = 200
DEFAULT_SERVICE_TIMEOUT_S = 30.0
DEFAULT_DATA_CENTRES = "state!=out"
STATE_LABEL = "state"
STATE_OUT = "out"
STATE_LEAVING = "leaving"

_KEY_TEXT = re.compile(rf"[\x21-\x7e]{{{KEY_MIN_CHARS},{KEY_MAX_CHARS}}}")


class Kind(StrEnum):
    """Kind of a configuration object, with its name in documents."""

    WORKSPACE = "workspace"
    KEY = "key"
    SERVICE = "service"
    DATA_CENTRE = "data-centre"
    ROUTE = "route"
    LIMIT = "limit"


class ConfigObject(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    gc=False,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag_field="kind",
):
    """Base class with the fields of every object.

    Chunks with unknown fields are refused, so that an instance never ignores a restriction. A new
    field may be used only after all instances know it; until then it is absent from chunks, since
    defaults are omitted.

    ``version`` is the revision of the commit that last changed the object. A version is therefore
    never reused, even when an object is removed and created again.
    """

    name: str
    labels: dict[str, str] = {}
    version: int = 0
    changed_by: str = ""

    @property
    def kind(self) -> Kind:
        """Kind of the object."""
        return Kind(self.__struct_config__.tag)


class Workspace(ConfigObject, tag="workspace", kw_only=True):
    """A customer account; its ``priority`` overrides that of routes, and 0 is the highest."""

    priority: int | None = None


class ApiKey(ConfigObject, tag="key", kw_only=True):
    """A key of a workspace; ``key_hash`` is the SHA-256 of the key in hexadecimal."""

    key_hash: str
    workspace: str
    withdrawn: bool = False


class Target(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    gc=False,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """A backend server of a service; the label ``state=leaving`` marks a leaving target."""

    name: str
    address: str
    data_centre: str
    labels: dict[str, str] = {}

    @property
    def leaving(self) -> bool:
        """Whether the target gets no new work."""
        return self.labels.get(STATE_LABEL) == STATE_LEAVING


class Service(ConfigObject, tag="service", kw_only=True):
    """A group of targets that serve the same requests.

    ``data_centres`` selects the data centres whose targets may get new work. A cold target can
    take ``cold_rate_per_s`` requests per second; 0 means that only its concurrency is bounded.
    """

    targets: tuple[Target, ...] = ()
    floor: int = 1
    slots_per_target: int = 4
    cold_concurrency: int = 1
    cold_rate_per_s: float = 0.0
    timeout_s: float = DEFAULT_SERVICE_TIMEOUT_S
    data_centres: str = DEFAULT_DATA_CENTRES


class DataCentre(ConfigObject, tag="data-centre", kw_only=True):
    """A data centre; the label ``state=out`` takes it out of service."""

    @property
    def out(self) -> bool:
        """Whether the data centre is taken out of service."""
        return self.labels.get(STATE_LABEL) == STATE_OUT


class Route(ConfigObject, tag="route", kw_only=True):
    """Maps requests by host, path prefix and method to a service.

    ``service`` is a service's name, or a selector that picks one service. ``workspaces`` selects
    the workspaces that may use the route, and ``open`` admits requests without a key. Empty
    ``methods`` means all methods. ``None`` in ``timeout_s`` means the service's timeout, in
    ``max_body_bytes`` the daemon's limit, and in ``idempotent`` that the method decides. ``split``
    gives the weights of several services among which requests are distributed; ``service`` is
    then the first of them. A response within ``latency_objective_s`` has its full value.
    ``priority`` orders queued requests, and 0 is the highest; ``max_tries`` bounds the targets
    that one request is sent to.
    """

    service: str
    host: str | None = None
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    workspaces: str = ""
    open: bool = False
    idempotent: bool | None = None
    timeout_s: float | None = None
    max_body_bytes: int | None = None
    split: dict[str, float] = {}
    latency_objective_s: float | None = None
    priority: int = 0
    max_tries: int | None = None


class Limit(ConfigObject, tag="limit", kw_only=True):
    """Rate and burst of each workspace that ``workspaces`` selects.

    With ``workspace`` it applies to the workspace of that name only, which may have any characters;
    ``workspaces`` is empty then.

    Of several limits that select a workspace, the one with the highest ``priority`` wins, then
    the one whose selector has more requirements, then the one whose name sorts first. A
    configuration with a workspace that no limit selects is refused: without a limit the workspace
    could use up the capacity of all others, and a default limit would hide a wrong selector.
    """

    workspaces: str = ""
    rate_per_s: float
    burst: float
    priority: int = 0
    workspace: str | None = None

    def selector(self) -> Selector:
        """Return the selector of the workspaces.

        :raises SelectorError: when ``workspaces`` cannot be parsed.
        """
        if self.workspace is not None:
            return Selector.of_name(self.workspace)
        return Selector.parse(self.workspaces)


AnyObject = Workspace | ApiKey | Service | DataCentre | Route | Limit

OBJECT_TYPES: dict[Kind, type[ConfigObject]] = {
    Kind.WORKSPACE: Workspace,
    Kind.KEY: ApiKey,
    Kind.SERVICE: Service,
    Kind.DATA_CENTRE: DataCentre,
    Kind.ROUTE: Route,
    Kind.LIMIT: Limit,
}

_KIND_FIELDS = {
    Kind.WORKSPACE: "workspaces",
    Kind.KEY: "keys",
    Kind.SERVICE: "services",
    Kind.DATA_CENTRE: "data_centres",
    Kind.ROUTE: "routes",
    Kind.LIMIT: "limits",
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """All objects of one revision by kind and name; the mappings must not be modified."""

    revision: int = 0
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    keys: Mapping[str, ApiKey] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    data_centres: Mapping[str, DataCentre] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    limits: Mapping[str, Limit] = field(default_factory=dict)

    def of_kind(self, kind: Kind) -> Mapping[str, ConfigObject]:
        """Return the objects of a kind by name."""
        return getattr(self, _KIND_FIELDS[kind])

    def with_objects(
        self, revision: int, objects: Mapping[Kind, Mapping[str, ConfigObject]]
    ) -> "Configuration":
        """Copy the configuration with the mappings of some kinds replaced."""
        fields = {_KIND_FIELDS[kind]: mapping for kind, mapping in objects.items()}
        return replace(self, revision=revision, **fields)

    @classmethod
    def from_objects(cls, revision: int, objects: Iterable[ConfigObject]) -> "Configuration":
        """Build a configuration; the last of several objects with equal kind and name wins."""
        mappings: dict[str, dict[str, ConfigObject]] = {}
        by_type = {
            object_type: mappings.setdefault(_KIND_FIELDS[kind], {})
            for kind, object_type in OBJECT_TYPES.items()
        }
        for item in objects:
            by_type[type(item)][item.name] = item
        return cls(revision=revision, **mappings)

    def __iter__(self) -> Iterator[ConfigObject]:
        for kind in Kind:
            yield from self.of_kind(kind).values()


def hash_key(key_text: str) -> str:
    """Hash a key.

    :returns: the SHA-256 in hexadecimal.
    :raises ValueError: when the text does not have the format of a key.
    """
    if not is_key_text(key_text):
        raise ValueError(
            f"a key has {KEY_MIN_CHARS} to {KEY_MAX_CHARS} printable ASCII characters, no spaces"
        )
    return hashlib.sha256(key_text.encode("ascii")).hexdigest()


def is_key_text(key_text: str) -> bool:
    """Return whether a string has the format of a key."""
    return _KEY_TEXT.fullmatch(key_text) is not None


def same_hash(left: str, right: str) -> bool:
    """Compare two hashes in constant time."""
    return hmac.compare_digest(left, right)
