"""HTTP routes of the store stand-in."""

from typing import TYPE_CHECKING, Any

import bottle
import msgspec

from ._http import read_body
from ._store_faults import MODES, StoreFaults
from ._store_state import Entry, LeaseExpiredError, RevisionConflictError, StoreState

if TYPE_CHECKING:
    from ._store_app import StoreApplication

MAX_VALUE_BYTES = 1_000_000
# Room for a value of 1 MB in base64 and for the JSON object around it.
MAX_BODY_BYTES = MAX_VALUE_BYTES * 4 // 3 + 1_000
MAX_WATCH_S = 300.0


class KvWrite(msgspec.Struct, kw_only=True):
    """Request body of a write to a key."""

    value: str
    lease: str | None = None


class LeaseRequest(msgspec.Struct, kw_only=True):
    """Request body for the creation of a lease."""

    ttl_s: float


class InstanceWrite(msgspec.Struct, kw_only=True):
    """Request body of a change to the list of instances."""

    peer_address: str
    state: str = "live"


def json_response(content: object, code: int = 200) -> bottle.HTTPResponse:
    """Build a JSON response."""
    return bottle.HTTPResponse(
        body=msgspec.json.encode(content),
        status=code,
        headers={"Content-Type": "application/json"},
    )


def entry_response(state: StoreState, entry: Entry | None) -> bottle.HTTPResponse:
    """Build the response for an entry, or 404 with the revision after which to watch the key."""
    if entry is None:
        return json_response({"revision": state.revision}, 404)
    return json_response({"revision": entry.revision, "value": entry.value})


def decode_body(kind: type) -> Any:
    """Decode the JSON body of the current request.

    :raises bottle.HTTPResponse: 413 when the body is too large, 400 when it is not valid.
    """
    body = read_body(bottle.request.environ, MAX_BODY_BYTES)
    if len(body) > MAX_BODY_BYTES:
        raise json_response({"error": f"values may have up to {MAX_VALUE_BYTES} bytes"}, 413)
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise json_response({"error": str(error)}, 400) from error


def expected_revision() -> int:
    """Return the value of the ``If-Revision`` header.

    :raises bottle.HTTPResponse: 400 when the header is missing or not a decimal number.
    """
    value = bottle.request.headers.get("If-Revision", "")
    if not value.isdecimal():
        message = f"If-Revision is {value!r}; give the entry's revision, or 0 to create it"
        raise json_response({"error": message}, 400)
    return int(value)


def query_number(name: str, default: float) -> float:
    """Return a number from the query string.

    :raises bottle.HTTPResponse: 400 when the value is not a number.
    """
    text = bottle.request.query.get(name, str(default))
    try:
        return float(text)
    except ValueError as error:
        raise json_response({"error": f"{name} is {text!r}; give a number"}, 400) from error


def build_routes(store: "StoreApplication") -> bottle.Bottle:
    """Build the bottle application with all routes."""
    routes = bottle.Bottle()
    add_kv_routes(routes, store)
    add_watch_route(routes, store)
    add_lease_routes(routes, store)
    add_instance_routes(routes, store)
    add_control_routes(routes, store)
    return routes


def add_kv_routes(routes: bottle.Bottle, store: "StoreApplication") -> None:
    """Add the routes that read and write keys."""

    @routes.get("/v1/kv")
    def list_entries() -> bottle.HTTPResponse:
        store.admit_call("kv_list")
        found = store.state.entries(bottle.request.query.get("prefix", ""))
        entries = [
            {"key": key, "revision": entry.revision, "value": entry.value} for key, entry in found
        ]
        return json_response({"entries": entries})

    @routes.get("/v1/kv/<key:path>")
    def get(key: str) -> bottle.HTTPResponse:
        store.admit_call("kv_get")
        return entry_response(store.state, store.state.get(key))

    @routes.put("/v1/kv/<key:path>")
    def put(key: str) -> bottle.HTTPResponse:
        store.admit_call("kv_put")
        expected = expected_revision()
        write = decode_body(KvWrite)
        if len(write.value) * 3 // 4 > MAX_VALUE_BYTES:
            return json_response({"error": f"values may have up to {MAX_VALUE_BYTES} bytes"}, 413)
        try:
            revision = store.state.put(key, write.value, expected, write.lease)
        except RevisionConflictError as conflict:
            return json_response({"revision": conflict.revision}, 409)
        except LeaseExpiredError:
            return json_response({"error": "the lease has lapsed; acquire a new one"}, 410)
        store.mark_lost_response()
        return json_response({"revision": revision})

    @routes.delete("/v1/kv/<key:path>")
    def delete(key: str) -> bottle.HTTPResponse:
        store.admit_call("kv_delete")
        try:
            revision = store.state.delete(key, expected_revision())
        except RevisionConflictError as conflict:
            return json_response({"revision": conflict.revision}, 409)
        store.mark_lost_response()
        return json_response({"revision": revision})


def add_watch_route(routes: bottle.Bottle, store: "StoreApplication") -> None:
    """Add the route that watches a key; one watch counts as one call, however long it waits."""

    @routes.get("/v1/watch/<key:path>")
    def watch(key: str) -> bottle.HTTPResponse:
        store.admit_call("watch")
        after = int(query_number("after", 0))
        timeout_s = query_number("timeout_s", MAX_WATCH_S)
        if not store.watch(key, after, timeout_s):
            return bottle.HTTPResponse(status=204)
        return entry_response(store.state, store.state.get(key))


def add_lease_routes(routes: bottle.Bottle, store: "StoreApplication") -> None:
    """Add the routes that create, renew and end leases."""

    @routes.post("/v1/leases")
    def create() -> bottle.HTTPResponse:
        store.admit_call("lease_create")
        request = decode_body(LeaseRequest)
        if request.ttl_s <= 0:
            return json_response({"error": f"ttl_s is {request.ttl_s}; give more than 0"}, 400)
        lease_id = store.state.create_lease(request.ttl_s)
        store.mark_lost_response()
        return json_response({"lease": lease_id})

    @routes.put("/v1/leases/<lease_id>")
    def renew(lease_id: str) -> bottle.HTTPResponse:
        store.admit_call("lease_renew")
        try:
            ttl_s = store.state.renew_lease(lease_id)
        except LeaseExpiredError:
            return json_response({"error": "the lease has lapsed; acquire a new one"}, 404)
        store.mark_lost_response()
        return json_response({"lease": lease_id, "ttl_s": ttl_s})

    @routes.delete("/v1/leases/<lease_id>")
    def end(lease_id: str) -> bottle.HTTPResponse:
        store.admit_call("lease_end")
        try:
            store.state.end_lease(lease_id)
        except LeaseExpiredError:
            return json_response({"error": "the lease has lapsed already"}, 404)
        store.mark_lost_response()
        return json_response({})


def add_instance_routes(routes: bottle.Bottle, store: "StoreApplication") -> None:
    """Add the routes of the list of instances.

    Reads lag by ``lag_s``. The response to a change of the list is never lost.
    """

    @routes.get("/v1/instances")
    def list_instances() -> bottle.HTTPResponse:
        store.admit_call("instances_get")
        return json_response({"instances": store.state.instances(store.faults.lag_s)})

    @routes.put("/v1/instances/<name>")
    def set_instance(name: str) -> bottle.HTTPResponse:
        store.admit_call("instances_put")
        write = decode_body(InstanceWrite)
        if write.state not in ("live", "leaving"):
            return json_response({"error": f"state is {write.state!r}; use live or leaving"}, 400)
        store.state.set_instance(name, write.peer_address, write.state)
        return json_response({})

    @routes.delete("/v1/instances/<name>")
    def remove_instance(name: str) -> bottle.HTTPResponse:
        store.admit_call("instances_delete")
        store.state.remove_instance(name)
        return json_response({})


def add_control_routes(routes: bottle.Bottle, store: "StoreApplication") -> None:
    """Add the routes for the fault switches and the call counts, which work in every mode."""

    @routes.get("/control/state")
    def get_state() -> bottle.HTTPResponse:
        state = msgspec.structs.asdict(store.faults)
        return json_response({**state, "revision": store.state.revision})

    @routes.put("/control/state")
    def put_state() -> bottle.HTTPResponse:
        changes = decode_body(dict[str, Any])
        merged = {**msgspec.structs.asdict(store.faults), **changes}
        try:
            faults = msgspec.convert(merged, StoreFaults)
        except msgspec.ValidationError as error:
            return json_response({"error": str(error)}, 400)
        if faults.mode not in MODES:
            message = f"mode is {faults.mode!r}; use one of {', '.join(MODES)}"
            return json_response({"error": message}, 400)
        store.set_faults(faults)
        return get_state()

    @routes.get("/control/counts")
    def get_counts() -> bottle.HTTPResponse:
        return json_response({"calls": store.calls, "unanswered": store.unanswered})
