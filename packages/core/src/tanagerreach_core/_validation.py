"""Validation of a whole configuration."""

import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import IntEnum

import msgspec

from ._limits import LimitIndex
from ._objects import (
    ApiKey,
    ConfigObject,
    Configuration,
    Kind,
    Limit,
    Route,
    Service,
    Target,
)
from ._selectors import NAME_LABEL, LabelIndex, Selector, SelectorError

MAX_LABELS = 32
# A service with this many targets takes about 100 KB; a chunk holds at most 900 KB.
MAX_TARGETS = 1000

MAX_TIMEOUT_S = 3600.0
MAX_SLOTS_PER_TARGET = 100_000
MAX_RATE_PER_S = 10_000_000.0
MAX_PREFIX_CHARS = 1000
MAX_BODY_BYTES = 1 << 40
MAX_PRIORITY = 1_000_000
MAX_SHOWN_FINDINGS = 20

NAME_RULE = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
LABEL_RULE = "1 to 63 letters, digits, '.', '_', '/' or '-', starting with a letter or digit"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")
_HOST = re.compile(r"[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?")
_METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
_PREFIX = re.compile(r"/|(/[A-Za-z0-9_.~!$&'()*+,=:@-]+)+")
_DOT_SEGMENT = re.compile(r"/\.\.?(/|$)")


class Severity(IntEnum):
    """Severity of a finding; a configuration with an error is refused."""

    WARNING = 0
    ERROR = 1


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """An invalid or questionable field of an object."""

    kind: str
    name: str
    field: str
    value: object
    allowed: str
    note: str = ""
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        label = f"{self.kind} {self.name}".rstrip()
        note = f"{self.note}; " if self.note else ""
        if self.value is None:
            return f"{label}: {self.field}: {note}allowed is {self.allowed}"
        return f"{label}: {self.field} = {_short_repr(self.value)}: {note}allowed is {self.allowed}"


MAX_SHOWN_VALUE_CHARS = 80


def _short_repr(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[:MAX_SHOWN_VALUE_CHARS] + "…"


class ValidationError(ValueError):
    """A document or configuration is invalid.

    :param findings: the errors, at least one.
    """

    def __init__(self, findings: list[Finding]) -> None:
        shown = [str(item) for item in findings[:MAX_SHOWN_FINDINGS]]
        if len(findings) > len(shown):
            shown.append(f"and {len(findings) - len(shown)} more")
        super().__init__("\n".join(shown))
        self.findings = findings


def check_configuration(
    configuration: Configuration,
    previous: Configuration | None = None,
    pause: Callable[[], None] = lambda: None,
) -> list[Finding]:
    """Check a configuration.

    Objects that are identical in ``previous``, which must be valid, are not checked again on
    their own. References between objects always are, except those of keys when neither keys nor
    workspaces have changed.

    :param pause: called between the steps, which take up to 50 ms each with 51,000 workspaces,
        so that the caller can do other work.
    :returns: errors and warnings; a configuration with an error must not be accepted.
    """
    before = previous or Configuration()
    findings = list(_object_findings(configuration, before))
    pause()
    findings.extend(_key_findings(configuration, before))
    pause()
    workspaces = LabelIndex(configuration.workspaces)
    pause()
    findings.extend(_service_findings(configuration, before))
    findings.extend(_route_findings(configuration, before, workspaces))
    pause()
    findings.extend(_limit_findings(configuration, workspaces))
    return findings


def errors_of(findings: Iterable[Finding]) -> list[Finding]:
    """Return the findings that make a configuration invalid."""
    return [item for item in findings if item.severity is Severity.ERROR]


def _object_findings(configuration: Configuration, before: Configuration) -> Iterator[Finding]:
    for kind in Kind:
        previous_mapping = before.of_kind(kind)
        mapping = configuration.of_kind(kind)
        if mapping is previous_mapping:
            continue
        for name, item in mapping.items():
            if previous_mapping.get(name) is not item:
                yield from _check_object(item)


def _check_object(item: ConfigObject) -> Iterator[Finding]:
    if not _NAME.fullmatch(item.name):
        yield _error(item, "name", item.name, NAME_RULE)
    yield from _check_labels(item, "labels", item.labels)
    if isinstance(item, ApiKey):
        if not _HASH.fullmatch(item.key_hash):
            allowed = "the SHA-256 of the key as 64 lower-case hexadecimal digits"
            yield _error(item, "key_hash", item.key_hash, allowed)
    elif isinstance(item, Service):
        yield from _check_service(item)
    elif isinstance(item, Route):
        yield from _check_route(item)
    elif isinstance(item, Limit):
        yield from _check_limit(item)


def _check_labels(item: ConfigObject, field: str, labels: Mapping[str, str]) -> Iterator[Finding]:
    if len(labels) > MAX_LABELS:
        yield _error(item, field, len(labels), f"at most {MAX_LABELS} labels")
    for key, value in labels.items():
        if not _LABEL.fullmatch(key):
            yield _error(item, field, key, f"a label name of {LABEL_RULE}")
        if key == NAME_LABEL:
            yield _error(item, field, key, "any label but 'name', which every object has")
        if not _LABEL.fullmatch(value):
            yield _error(item, f"{field}.{key}", value, LABEL_RULE)


def _check_service(service: Service) -> Iterator[Finding]:
    yield from _check_range(service, "floor", service.floor, 0, len(service.targets))
    if len(service.targets) > MAX_TARGETS:
        yield _error(service, "targets", len(service.targets), f"at most {MAX_TARGETS} targets")
    yield from _check_range(
        service, "slots_per_target", service.slots_per_target, 1, MAX_SLOTS_PER_TARGET
    )
    yield from _check_range(
        service, "cold_concurrency", service.cold_concurrency, 1, service.slots_per_target
    )
    yield from _check_timeout(service, service.timeout_s)
    yield from _check_selector(service, "data_centres", service.data_centres)
    seen_names: set[str] = set()
    seen_addresses: set[str] = set()
    for target in service.targets:
        yield from _check_target(service, target)
        if target.name in seen_names:
            yield _error(service, f"targets.{target.name}", target.name, "a name used once")
        if target.address in seen_addresses:
            allowed = "an address used once in the service"
            yield _error(service, f"targets.{target.name}.address", target.address, allowed)
        seen_names.add(target.name)
        seen_addresses.add(target.address)


def _check_target(service: Service, target: Target) -> Iterator[Finding]:
    field = f"targets.{target.name}"
    if not _NAME.fullmatch(target.name):
        yield _error(service, f"{field}.name", target.name, NAME_RULE)
    if not is_address(target.address):
        allowed = "an IP address and port, such as 10.0.0.1:8080 or [fd00::1]:8080"
        yield _error(service, f"{field}.address", target.address, allowed)
    yield from _check_labels(service, f"{field}.labels", target.labels)


def is_address(text: str) -> bool:
    """Return whether a string is an IP address with a port from 1 to 65535."""
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > 65_535:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return bracketed == (address.version == 6) and "%" not in host


def _check_route(route: Route) -> Iterator[Finding]:
    if route.host is not None and not _HOST.fullmatch(route.host):
        yield _error(route, "host", route.host, "a lower-case host name without a port")
    prefix = route.path_prefix
    is_plain = _PREFIX.fullmatch(prefix) and not _DOT_SEGMENT.search(prefix)
    if not is_plain or len(prefix) > MAX_PREFIX_CHARS:
        allowed = f"'/' or segments such as /a/b, not encoded, up to {MAX_PREFIX_CHARS} characters"
        yield _error(route, "path_prefix", prefix, allowed)
    for method in route.methods:
        if not _METHOD.fullmatch(method):
            yield _error(route, "methods", method, "a method name in capitals")
    yield from _check_selector(route, "workspaces", route.workspaces)
    if not route.service:
        yield _error(route, "service", route.service, "a service's name or a selector")
    yield from _check_selector(route, "service", route.service)
    if route.timeout_s is not None:
        yield from _check_timeout(route, route.timeout_s)
    if route.max_body_bytes is not None:
        yield from _check_range(route, "max_body_bytes", route.max_body_bytes, 0, MAX_BODY_BYTES)


def _check_limit(limit: Limit) -> Iterator[Finding]:
    rate = limit.rate_per_s
    if not (math.isfinite(rate) and 0 < rate <= MAX_RATE_PER_S):
        yield _error(limit, "rate_per_s", rate, f"above 0, at most {MAX_RATE_PER_S:.0f}")
    if not (math.isfinite(limit.burst) and 1 <= limit.burst <= MAX_RATE_PER_S):
        yield _error(limit, "burst", limit.burst, f"1 to {MAX_RATE_PER_S:.0f}")
    yield from _check_range(limit, "priority", limit.priority, -MAX_PRIORITY, MAX_PRIORITY)
    yield from _check_selector(limit, "workspaces", limit.workspaces)
    if limit.workspace is not None and limit.workspaces:
        yield _error(limit, "workspaces", limit.workspaces, "empty, as the limit names a workspace")


def _check_range(
    item: ConfigObject, field: str, value: int, lowest: int, highest: int
) -> Iterator[Finding]:
    if not lowest <= value <= highest:
        yield _error(item, field, value, f"{lowest} to {highest}")


def _check_timeout(item: ConfigObject, value: float) -> Iterator[Finding]:
    if not (math.isfinite(value) and 0 < value <= MAX_TIMEOUT_S):
        yield _error(item, "timeout_s", value, f"above 0, at most {MAX_TIMEOUT_S:.0f} seconds")


def _check_selector(item: ConfigObject, field: str, text: str) -> Iterator[Finding]:
    try:
        Selector.parse(text)
    except SelectorError as error:
        allowed = f"a selector; at position {error.position}, expected {error.expected}"
        yield _error(item, field, text, allowed)


def _key_findings(configuration: Configuration, before: Configuration) -> Iterator[Finding]:
    keys, workspaces = configuration.keys, configuration.workspaces
    if keys is before.keys and workspaces is before.workspaces:
        return
    owners: dict[str, str] = {}
    for key in keys.values():
        if key.workspace not in workspaces:
            yield _missing_reference(key, "workspace", key.workspace, Kind.WORKSPACE, before)
        other = owners.setdefault(key.key_hash, key.name)
        if other != key.name:
            yield _error(key, "key_hash", key.key_hash, f"a key that is not also key {other}")


def _service_findings(configuration: Configuration, before: Configuration) -> Iterator[Finding]:
    centres = configuration.data_centres
    index = LabelIndex(centres)
    for service in configuration.services.values():
        for target in service.targets:
            if target.data_centre not in centres:
                field = f"targets.{target.name}.data_centre"
                yield _missing_reference(
                    service, field, target.data_centre, Kind.DATA_CENTRE, before
                )
        selector = _parse_or_none(service.data_centres)
        if selector is not None and _picks_nothing(index, selector):
            yield _empty_selector_warning(service, "data_centres", service.data_centres)


def _route_findings(
    configuration: Configuration, before: Configuration, workspaces: LabelIndex
) -> Iterator[Finding]:
    services = LabelIndex(configuration.services)
    picks_nothing: dict[str, bool] = {}
    methods_by_prefix: dict[tuple[str | None, str], dict[str, str]] = {}
    for route in configuration.routes.values():
        yield from _check_route_service(route, configuration, before, services)
        yield from _check_route_conflict(route, methods_by_prefix)
        selector = _parse_or_none(route.workspaces)
        if selector is None or route.open:
            continue
        if selector.text not in picks_nothing:
            picks_nothing[selector.text] = _picks_nothing(workspaces, selector)
        if picks_nothing[selector.text]:
            yield _empty_selector_warning(route, "workspaces", route.workspaces)


def _check_route_service(
    route: Route, configuration: Configuration, before: Configuration, services: LabelIndex
) -> Iterator[Finding]:
    if route.service in configuration.services:
        return
    if _NAME.fullmatch(route.service):
        yield _missing_reference(route, "service", route.service, Kind.SERVICE, before)
        return
    selector = _parse_or_none(route.service)
    if selector is None or not selector.text:
        return
    picked = sorted(item.name for item in services.picked(selector))
    if not picked:
        yield _empty_selector_warning(route, "service", route.service)
    if len(picked) > 1:
        allowed = f"a selector that picks one service; it picks {', '.join(picked[:5])}"
        yield _error(route, "service", route.service, allowed)


def _check_route_conflict(
    route: Route, methods_by_prefix: dict[tuple[str | None, str], dict[str, str]]
) -> Iterator[Finding]:
    """Check that no other route has the same host, prefix and method."""
    route_by_method = methods_by_prefix.setdefault((route.host, route.path_prefix), {})
    methods = route.methods or ("",)
    conflicting = route_by_method if "" in methods else ("", *methods)
    other = next(
        (route_by_method[method] for method in conflicting if method in route_by_method), None
    )
    if other is not None:
        allowed = f"a host, prefix and method that route {other} doesn't have"
        yield _error(route, "path_prefix", route.path_prefix, allowed)
    for method in methods:
        route_by_method[method] = route.name


def _limit_findings(configuration: Configuration, workspaces: LabelIndex) -> Iterator[Finding]:
    for limit in configuration.limits.values():
        if _parse_or_none(limit.workspaces) is None:
            return
        if not _picks_nothing(workspaces, limit.selector()):
            continue
        if limit.workspace is None:
            yield _empty_selector_warning(limit, "workspaces", limit.workspaces)
        else:
            yield _empty_selector_warning(limit, "workspace", limit.workspace)
    limits = LimitIndex(configuration.limits.values())
    for workspace in configuration.workspaces.values():
        if limits.find(workspace) is None:
            allowed = "labels that some limit selects; add a limit with an empty selector for all"
            yield _error(workspace, "labels", dict(workspace.labels), allowed)


def _missing_reference(
    item: ConfigObject, field: str, name: str, kind: Kind, before: Configuration
) -> Finding:
    """Build the error about a reference to an object that does not exist or was removed."""
    removed = name in before.of_kind(kind)
    return Finding(
        kind=item.kind.value,
        name=item.name,
        field=field,
        value=name,
        allowed=f"the name of an existing {kind}",
        note=(
            f"{kind} {name} is in use here and can't be removed; "
            f"first change or delete this {item.kind}"
            if removed
            else ""
        ),
    )


def _parse_or_none(text: str) -> Selector | None:
    try:
        return Selector.parse(text)
    except SelectorError:
        return None


def _picks_nothing(index: LabelIndex, selector: Selector) -> bool:
    return next(index.picked(selector), None) is None


def _error(item: ConfigObject, field: str, value: object, allowed: str) -> Finding:
    return Finding(kind=item.kind.value, name=item.name, field=field, value=value, allowed=allowed)


def _empty_selector_warning(item: ConfigObject, field: str, text: str) -> Finding:
    return Finding(
        kind=item.kind.value,
        name=item.name,
        field=field,
        value=text,
        allowed="a selector that picks something; this one picks nothing",
        severity=Severity.WARNING,
    )
