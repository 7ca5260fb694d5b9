"""HTTP API for operators.

Every request needs the operator credential. Responses are JSON, except metrics in the Prometheus
format. A response that is not a success has the field ``error``, which states the problem and the
remedy. Under gevent, ``threading`` must be patched before bottle is imported, since bottle keeps
the current request in a thread-local.
"""

import hmac
import re
from collections.abc import Callable, Iterable
from typing import Any

import bottle
import msgspec
from result import Err
from tanagerreach_core.config import (
    Change,
    ConfigObject,
    ConflictError,
    Kind,
    Selector,
    SelectorError,
    ValidationError,
    objects_from_tables,
)
from tanagerreach_core.operator_responses import ChangesResponse, ObjectsResponse, TimelineResponse

from ._configuration_provider import ChangeRefusal, ConfigurationProvider, InvalidChange
from ._fleet_status import FleetCollector, InstanceProvider
from ._metrics import Metrics
from ._timeline import Timeline

BODY_LIMIT_BYTES = 32 * 1024 * 1024
CONFLICT_REMEDY = "read the object again and repeat the change on its current version"
UNAVAILABLE_REMEDY = "repeat the change with the same transaction id, which makes it at most once"
RECORDED_CHANGE_LIMIT = 20
STARTING = "starting"
_TRANSACTION_ID = re.compile(r"[A-Za-z0-9_-]{8,64}")
_REVISION = re.compile(r"[0-9]{1,18}")
_AUTHOR = re.compile(r"[\x21-\x7e]([\x20-\x7e]{0,61}[\x21-\x7e])?")


class _ChangeBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    kind: Kind
    name: str
    base_version: int | None = None
    object: dict[str, Any] | None = None


class _ChangesBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    transaction_id: str
    changed_by: str
    changes: list[_ChangeBody]
    dry_run: bool = False


class OperatorApi:
    """Routes of the operator listener.

    :param credential: bearer credential that each request must carry.
    :param configuration: reads and changes the configuration.
    :param instance: status of this instance.
    :param fleet: collects the status of all instances.
    :param timeline: events of this instance.
    :param metrics: metrics of this instance.
    """

    def __init__(
        self,
        *,
        credential: str,
        configuration: ConfigurationProvider,
        instance: InstanceProvider,
        fleet: FleetCollector,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._authorization = f"Bearer {credential}".encode()
        self._configuration = configuration
        self._instance = instance
        self._fleet = fleet
        self._timeline = timeline
        self._metrics = metrics

    def application(self) -> bottle.Bottle:
        """Build the WSGI application."""
        app = bottle.Bottle()
        app.add_hook("before_request", self._check_credential)
        app.default_error_handler = _error_body
        routes: list[tuple[str, str, Callable[[], bytes]]] = [
            ("GET", "/v1/config", self._get_config),
            ("POST", "/v1/changes", self._post_changes),
            ("GET", "/v1/status", self._get_status),
            ("GET", "/v1/fleet", self._get_fleet),
            ("GET", "/v1/timeline", self._get_timeline),
            ("GET", "/v1/metrics", self._get_metrics),
        ]
        for method, path, handler in routes:
            app.route(path, method, handler)
        return app

    def _check_credential(self) -> None:
        given = bottle.request.environ.get("HTTP_AUTHORIZATION", "").encode("latin-1")
        if not hmac.compare_digest(given, self._authorization):
            raise _refusal(
                401,
                "the operator credential is missing or wrong; "
                "send it in the header Authorization: Bearer <credential>",
                headers={"WWW-Authenticate": "Bearer"},
            )

    def _get_config(self) -> bytes:
        query = bottle.request.query.decode()
        _check_query(query, {"kind", "name", "selector"})
        kinds = [_parse_kind(query.kind)] if query.kind else list(Kind)
        try:
            selector = Selector.parse(query.selector)
        except SelectorError as error:
            raise _refusal(422, str(error)) from error
        if self._instance.status().state == STARTING:
            # The empty initial configuration must not be mistaken for the fleet's.
            raise _refusal(
                503, "this instance has no confirmed configuration yet; ask another instance"
            )
        configuration = self._configuration.configuration()
        objects: list[ConfigObject] = []
        for kind in kinds:
            mapping = configuration.of_kind(kind)
            named = [mapping[query.name]] if query.name in mapping else []
            candidates: Iterable[ConfigObject] = named if query.name else mapping.values()
            objects.extend(item for item in candidates if selector.picks(item))
        return _json(ObjectsResponse(revision=configuration.revision, objects=objects))

    def _post_changes(self) -> bytes:
        body = _decode_changes(_read_body())
        changes = _parse_changes(body)
        outcome = self._configuration.commit(
            changes,
            transaction_id=body.transaction_id,
            changed_by=body.changed_by,
            dry_run=body.dry_run,
        )
        if isinstance(outcome, Err):
            raise _commit_refusal(outcome.err_value)
        receipt = outcome.ok_value
        if not body.dry_run:
            self._record_change(body, receipt.revision)
        return _json(
            ChangesResponse(
                revision=receipt.revision, dry_run=body.dry_run, warnings=receipt.warnings
            )
        )

    def _record_change(self, body: _ChangesBody, revision: int) -> None:
        objects = [f"{change.kind} {change.name}" for change in body.changes]
        self._timeline.record(
            "change-accepted",
            {
                "revision": revision,
                "changed_by": body.changed_by,
                "transaction_id": body.transaction_id,
                "object_count": len(objects),
                "objects": objects[:RECORDED_CHANGE_LIMIT],
            },
        )

    def _get_status(self) -> bytes:
        query = bottle.request.query.decode()
        _check_query(query, {"targets"})
        status = self._instance.status()
        if query.targets == "no":
            status = msgspec.structs.replace(status, target_states={})
        return _json(status)

    def _get_fleet(self) -> bytes:
        query = bottle.request.query.decode()
        _check_query(query, {"below_revision"})
        text = query.below_revision or "0"
        if not _REVISION.fullmatch(text):
            raise _refusal(422, f'below_revision "{text}" is not a whole number from 0')
        return _json(self._fleet.collect(int(text)))

    def _get_timeline(self) -> bytes:
        query = bottle.request.query.decode()
        _check_query(query, {"since"})
        page = self._timeline.since(query.since or None)
        return _json(
            TimelineResponse(
                instance=self._instance.status().name,
                is_complete=page.is_complete,
                events=[event.to_entry() for event in page.events],
            )
        )

    def _get_metrics(self) -> bytes:
        query = bottle.request.query.decode()
        _check_query(query, {"format"})
        if query.format == "json":
            return _json(self._metrics.to_json())
        if query.format not in ("", "prometheus"):
            raise _refusal(422, f'format "{query.format}" is unknown; use json or prometheus')
        bottle.response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        return self._metrics.to_prometheus().encode()


def _json(value: Any) -> bytes:
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(value)


def _refusal(
    status: int, error: str, *, headers: dict[str, str] | None = None, **fields: Any
) -> bottle.HTTPResponse:
    return bottle.HTTPResponse(
        body=msgspec.json.encode({"error": error, **fields}, enc_hook=str),
        status=status,
        headers={"Content-Type": "application/json", **(headers or {})},
    )


def _error_body(error: bottle.HTTPError) -> bytes:
    """Render errors that bottle itself raises, such as for an unknown path."""
    bottle.response.content_type = "application/json"
    return msgspec.json.encode({"error": str(error.body)})


def _check_query(query: Iterable[str], known: set[str]) -> None:
    for name in query:
        if name not in known:
            allowed = ", ".join(sorted(known))
            raise _refusal(422, f'query parameter "{name}" is unknown; known: {allowed}')


def _parse_kind(text: str) -> Kind:
    try:
        return Kind(text)
    except ValueError as error:
        allowed = ", ".join(Kind)
        raise _refusal(422, f'kind "{text}" is unknown; known: {allowed}') from error


def _read_body() -> bytes:
    if bottle.request.content_length > BODY_LIMIT_BYTES:
        raise _body_too_large()
    # A body without a Content-Length is read up to the limit.
    body = bottle.request.body.read(BODY_LIMIT_BYTES + 1)
    if len(body) > BODY_LIMIT_BYTES:
        raise _body_too_large()
    return body


def _body_too_large() -> bottle.HTTPResponse:
    return _refusal(
        413, f"the request is larger than {BODY_LIMIT_BYTES} bytes; send the changes in parts"
    )


def _decode_changes(data: bytes) -> _ChangesBody:
    try:
        body = msgspec.json.decode(data, type=_ChangesBody)
    except msgspec.ValidationError as error:
        raise _invalid([str(error)]) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise _refusal(400, f"the request is not a JSON document: {error}") from error
    faults = []
    if not _TRANSACTION_ID.fullmatch(body.transaction_id):
        faults.append("transaction_id: allowed are 8 to 64 letters, digits, hyphens, underscores")
    if not _AUTHOR.fullmatch(body.changed_by):
        faults.append("changed_by: allowed are 1 to 63 printable ASCII characters")
    if not body.changes:
        faults.append("changes: the list is empty; send at least one change")
    if faults:
        raise _invalid(faults)
    return body


def _parse_changes(body: _ChangesBody) -> list[Change]:
    changes: list[Change] = []
    faults: list[str] = []
    seen: set[tuple[Kind, str]] = set()
    for item in body.changes:
        label = f"{item.kind} {item.name}"
        if (item.kind, item.name) in seen:
            faults.append(f"{label}: changed twice in one request; send one change per object")
        seen.add((item.kind, item.name))
        try:
            new = _parse_object(item)
        except ValidationError as error:
            faults.extend(str(finding) for finding in error.findings)
            continue
        if new is not None and new.name != item.name:
            faults.append(f"{label}: the object has the name {new.name!r}; names must be equal")
        changes.append(
            Change(
                kind=item.kind,
                name=item.name,
                base_version=item.base_version,
                object=new,
                changed_by=body.changed_by,
            )
        )
    if faults:
        raise _invalid(faults)
    return changes


def _parse_object(item: _ChangeBody) -> ConfigObject | None:
    if item.object is None:
        return None
    fields = {key: value for key, value in item.object.items() if key != "kind"}
    return objects_from_tables({item.kind: [fields]})[0]


def _invalid(faults: list[str]) -> bottle.HTTPResponse:
    return _refusal(422, "; ".join(faults[:3]), errors=faults)


def _commit_refusal(error: ChangeRefusal) -> bottle.HTTPResponse:
    if isinstance(error, ConflictError):
        return _conflict_refusal(error)
    if isinstance(error, InvalidChange):
        return _invalid(error.errors)
    return _refusal(
        503,
        f"the store is unavailable: {error.detail}",
        headers={"Retry-After": "1"},
        may_have_taken_effect=error.may_have_taken_effect,
        remedy=UNAVAILABLE_REMEDY,
    )


def _conflict_refusal(error: ConflictError) -> bottle.HTTPResponse:
    current = error.current
    return _refusal(
        409,
        str(error),
        kind=error.change.kind,
        name=error.change.name,
        base_version=error.change.base_version,
        current_version=None if current is None else current.version,
        changed_by=None if current is None else current.changed_by,
        remedy=CONFLICT_REMEDY,
    )
