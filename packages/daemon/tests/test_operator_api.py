"""Tests of the operator API, with a real configuration manager and a store with faults."""

import io
import json
import threading
import time
import unittest
from wsgiref.simple_server import WSGIRequestHandler, make_server
from wsgiref.util import setup_testing_defaults

import msgspec
from fake_store import FakeStore, Fault
from tanagerreach_core.config import Freshness
from tanagerreach_core.operator_responses import InstanceStatus
from tanagerreachd import _operator_api
from tanagerreachd._config_manager import ConfigManager
from tanagerreachd._configuration_provider import ManagedConfiguration
from tanagerreachd._configuration_state import HEAD_KEY
from tanagerreachd._fleet_status import (
    FleetCollector,
    InstanceProvider,
    KnownInstance,
)
from tanagerreachd._metrics import Metrics
from tanagerreachd._operator_api import OperatorApi
from tanagerreachd._timeline import Timeline

CREDENTIAL = "operator-credential-0123456789"
LIMIT = {"name": "all", "rate_per_s": 10.0, "burst": 20.0}


class FakeInstance(InstanceProvider):
    """Instance with peers set by the test."""

    def __init__(self, name="i-01"):
        self.current = InstanceStatus(name=name, incarnation=1, data_centre="a", state="live")
        self.peers = []

    def status(self):
        """Return the status."""
        return self.current

    def known_instances(self):
        """Return the peers."""
        return self.peers


class SilentHandler(WSGIRequestHandler):
    """Handler that logs nothing."""

    def log_message(self, *arguments):
        """Log nothing."""


class OperatorApiCase(unittest.TestCase):
    """Calls the application without a network."""

    def setUp(self):
        self.store = FakeStore()
        self.held_after = 0
        self.slept_s = []
        self.instance = FakeInstance()
        self.metrics = Metrics()
        self.timeline = Timeline(instance="i-01", incarnation=1, event_limit=100)
        manager = ConfigManager(
            store=self.store,
            now_s=time.monotonic,
            freshness=Freshness(slot_count=5),
            on_event=lambda name, details: None,
            sleep=lambda delay_s: None,
        )
        self.api = OperatorApi(
            credential=CREDENTIAL,
            configuration=ManagedConfiguration(
                manager=manager, held_by_majority=self.is_held, sleep=self.slept_s.append
            ),
            instance=self.instance,
            fleet=FleetCollector(provider=self.instance, credential=CREDENTIAL, timeout_s=0.5),
            timeline=self.timeline,
            metrics=self.metrics,
        )
        self.app = self.api.application()

    def is_held(self, revision):
        """Return whether holders of half of the slots have a revision."""
        return len(self.slept_s) >= self.held_after

    def call(self, method, path, body=b"", credential=f"Bearer {CREDENTIAL}", **environ):
        """Call the application; return the status and the decoded response."""
        path, _, query = path.partition("?")
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "QUERY_STRING": query, **environ}
        environ["wsgi.input"] = io.BytesIO(body)
        environ.setdefault("CONTENT_LENGTH", str(len(body)))
        if credential is not None:
            environ["HTTP_AUTHORIZATION"] = credential
        setup_testing_defaults(environ)
        environ["wsgi.errors"] = io.StringIO()
        seen = []
        response = b"".join(self.app(environ, lambda status, *rest: seen.append(status)))
        status = int(seen[0].split()[0])
        return status, json.loads(response) if response.startswith(b"{") else response.decode()

    def change(self, *changes, transaction_id="transaction-1", changed_by="ann", **fields):
        """Post changes."""
        body = {"transaction_id": transaction_id, "changed_by": changed_by, **fields}
        body["changes"] = list(changes)
        return self.call("POST", "/v1/changes", json.dumps(body).encode())

    def create_limit(self):
        """Create the limit that the tests change."""
        status, response = self.change({"kind": "limit", "name": "all", "object": LIMIT})
        self.assertEqual((status, response["revision"]), (200, 1))


class OperatorApiTest(OperatorApiCase):
    """Responses must be correct, above all after a failure, since operators rely on them."""

    def test_credential_is_required_everywhere(self):
        """Guards against a path, known or not, that can be read without the credential."""
        wrong = [None, "", "Bearer", f"Bearer {CREDENTIAL}x", f"bearer {CREDENTIAL}", "Bearer é"]
        paths = ["/v1/config", "/v1/status", "/v1/fleet", "/v1/timeline", "/v1/metrics", "/none"]
        for path in paths:
            for credential in wrong:
                status, response = self.call("GET", path, credential=credential)
                self.assertEqual(status, 401, (path, credential))
                self.assertIn("credential", response["error"])
        self.assertEqual(self.call("POST", "/v1/changes", credential=None)[0], 401)
        self.assertEqual(self.call("GET", "/v1/status?targets=no")[1]["target_states"], {})
        self.assertEqual(self.call("GET", "/none")[0], 404)
        self.assertEqual(self.call("GET", "/v1/changes")[0], 405)

    def test_change_and_read_back(self):
        """Guards against objects that differ from what was sent."""
        self.create_limit()
        status, response = self.call("GET", "/v1/config?kind=limit&selector=name=all")
        self.assertEqual((status, response["revision"]), (200, 1))
        found = response["objects"][0]
        self.assertEqual((found["name"], found["changed_by"], found["version"]), ("all", "ann", 1))
        self.assertEqual(self.call("GET", "/v1/config?kind=limit&name=x")[1]["objects"], [])
        event = self.timeline.since().events[0]
        self.assertEqual((event.kind, event.detail["objects"]), ("change-accepted", ["limit all"]))

    def test_acceptance_waits_for_a_majority(self):
        """Guards against losing an accepted change if this instance fails."""
        self.held_after = 5
        self.create_limit()
        self.assertEqual(len(self.slept_s), 5)
        self.held_after = 1_000_000
        workspace = {"kind": "workspace", "name": "alpha", "object": {"name": "alpha"}}
        status, response = self.change(workspace, transaction_id="transaction-2")
        self.assertEqual(status, 200, response)
        self.assertIn("revision 2 is in the store", response["warnings"][-1])

    def test_repeated_transaction_is_made_once(self):
        """Guards against a change that is committed twice after its response was lost."""
        self.create_limit()
        self.create_limit()

    def test_conflict_names_object_author_and_remedy(self):
        """Guards against overwriting the change of another operator."""
        self.create_limit()
        update = {"kind": "limit", "name": "all", "base_version": 1, "object": LIMIT}
        self.assertEqual(self.change(update, transaction_id="t-bob-001", changed_by="bob")[0], 200)
        status, response = self.change(update, transaction_id="t-eve-001", changed_by="eve")
        self.assertEqual(status, 409)
        self.assertEqual((response["kind"], response["name"]), ("limit", "all"))
        self.assertEqual((response["changed_by"], response["current_version"]), ("bob", 2))
        self.assertIn("read the object again", response["remedy"])
        status, response = self.change(
            {"kind": "limit", "name": "all", "object": LIMIT}, transaction_id="t-eve-002"
        )
        self.assertEqual(status, 409)

    def test_dry_run_changes_nothing(self):
        """Guards against a dry run that takes effect, or that misses errors."""
        create = {"kind": "limit", "name": "all", "object": LIMIT}
        status, response = self.change(create, dry_run=True)
        self.assertEqual((status, response["revision"], response["dry_run"]), (200, 0, True))
        self.assertEqual(self.store.values, {})
        self.assertEqual(self.timeline.since().events, [])
        bad = {"kind": "key", "name": "k", "object": {"name": "k", "key_hash": "0" * 64}}
        bad["object"]["workspace"] = "nobody"
        self.assertEqual(self.change(bad, dry_run=True)[0], 422)

    def test_all_errors_are_listed(self):
        """Guards against reporting only one error at a time."""
        status, response = self.change(
            {"kind": "limit", "name": "all", "object": {**LIMIT, "brust": 3}},
            {"kind": "key", "name": "k 1", "object": {"name": "k 1", "key_hash": 7}},
            {"kind": "workspace", "name": "x", "object": {"name": "y"}},
            {"kind": "workspace", "name": "x", "object": {"name": "x"}},
        )
        self.assertEqual(status, 422)
        text = "\n".join(response["errors"])
        for part in ("brust", "burst", "key_hash", "workspace", "names must be equal", "twice"):
            self.assertIn(part, text)
        status, response = self.change(
            {"kind": "limit", "name": "a b", "object": {**LIMIT, "name": "a b", "burst": -1}}
        )
        self.assertEqual((status, len(response["errors"])), (422, 2))

    def test_bad_requests(self):
        """Guards against a traceback, or an accepted change, for a malformed request."""
        deep = b'{"changes":[{"object":{"a":' + b"[" * 100_000
        good = {"transaction_id": "transaction-1", "changed_by": "ann", "changes": []}
        cases = [
            (b"", 400),
            (b"{", 400),
            (b"[" * 100_000, 422),
            (deep, 400),
            (b"\xff", 400),
            (b"[]", 422),
            (b"{}", 422),
            (json.dumps(good).encode(), 422),
            (json.dumps({**good, "transaction_id": "x y"}).encode(), 422),
            (json.dumps({**good, "changed_by": "a\nb"}).encode(), 422),
            (json.dumps({**good, "changes": [{"kind": "nothing", "name": "x"}]}).encode(), 422),
            (json.dumps({**good, "dry_rum": True}).encode(), 422),
        ]
        for body, expected in cases:
            with self.subTest(body=body[:80]):
                status, response = self.call("POST", "/v1/changes", body)
                self.assertEqual(status, expected)
                self.assertTrue(response["error"])
        too_large = str(_operator_api.BODY_LIMIT_BYTES + 1)
        self.assertEqual(self.call("POST", "/v1/changes", CONTENT_LENGTH=too_large)[0], 413)
        for query in ("kind=targets", "selector=a%3D%3D", "knd=key"):
            self.assertEqual(self.call("GET", f"/v1/config?{query}")[0], 422, query)
        self.assertEqual(self.call("GET", "/v1/metrics?format=xml")[0], 422)

    def test_store_unavailable(self):
        """Guards against "has not taken effect" for a change that may have been made."""
        create = {"kind": "limit", "name": "all", "object": LIMIT}
        self.store.choose_fault = lambda method, key: Fault.DOWN
        status, response = self.change(create)
        self.assertEqual((status, response["may_have_taken_effect"]), (503, False))
        lost = []

        def lose_head_answer(method, key):
            if lost:
                return Fault.DOWN
            if (method, key) == ("put", HEAD_KEY):
                lost.append(key)
                return Fault.LOST_AFTER
            return None

        self.store.choose_fault = lose_head_answer
        status, response = self.change(create)
        self.assertEqual((status, response["may_have_taken_effect"]), (503, True))
        self.store.choose_fault = lambda method, key: None
        status, response = self.change(create)
        self.assertEqual((status, response["revision"]), (200, 1))

    def test_starting_instance_gives_no_configuration(self):
        """Guards against mistaking an empty initial configuration for the fleet's."""
        self.instance.current = msgspec.structs.replace(self.instance.current, state="starting")
        status, response = self.call("GET", "/v1/config")
        self.assertEqual(status, 503)
        self.assertIn("ask another instance", response["error"])

    def test_timeline_and_metrics(self):
        """Guards against readers that miss events, and metrics that cannot be parsed."""
        first = self.timeline.record("start", {})
        second = self.timeline.record("slot-acquired", {"slot": 3}, first)
        status, response = self.call("GET", f"/v1/timeline?since={first}")
        self.assertEqual([event["id"] for event in response["events"]], [second])
        self.metrics.counter("requests_total", "Requests.").add(2)
        self.assertIn("requests_total 2", self.call("GET", "/v1/metrics")[1])
        response = self.call("GET", "/v1/metrics?format=json")[1]
        self.assertEqual(response["requests_total"]["series"][0]["value"], 2)


class FleetTest(OperatorApiCase):
    """The fleet's status must list each unreachable instance, in bounded time."""

    def serve(self, app):
        """Serve an application on loopback and return its address."""
        server = make_server("127.0.0.1", 0, app, handler_class=SilentHandler)
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def peer(self, name, address, heard_age_s=0.5):
        self.instance.peers.append(
            KnownInstance(name=name, operator_address=address, heard_age_s=heard_age_s)
        )

    def test_fleet_names_silent_instances(self):
        """Guards against counting or omitting bad peers, and calling good ones needlessly."""
        release = threading.Event()

        def response(body, status="200 OK"):
            def app(environ, start_response):
                start_response(status, [])
                return [body]

            return app

        def hang(environ, start_response):
            release.wait(5)
            return response(b"{}")(environ, start_response)

        status = InstanceStatus(
            name="i-02", incarnation=1, data_centre="b", state="live", revision=2
        )
        seen = []

        def count(environ, start_response):
            seen.append(1)
            return response(msgspec.json.encode(status))(environ, start_response)

        self.peer("i-02", self.serve(count))
        self.peer("i-03", "127.0.0.1:1", heard_age_s=40.0)
        self.peer("i-04", self.serve(hang), heard_age_s=None)
        self.peer("i-05", self.serve(response(b"<html>")))
        self.peer("i-06", self.serve(response(msgspec.json.encode(status))))
        self.peer("i-07", self.serve(response(b"", "401 Unauthorized")))
        # Runs before the servers' own cleanups, which wait for the hanging response.
        self.addCleanup(release.set)
        started_s = time.monotonic()
        _, fleet = self.call("GET", "/v1/fleet")
        self.assertLess(time.monotonic() - started_s, 2.0)
        members = {member["name"]: member for member in fleet["members"]}
        self.assertEqual(sorted(members), [f"i-0{number}" for number in range(1, 8)])
        responding = [name for name, member in members.items() if member["status"]]
        self.assertEqual(responding, ["i-01", "i-02"])
        self.assertEqual(members["i-03"]["heard_age_s"], 40.0)
        self.assertIn("belongs to i-02", members["i-06"]["error"])
        self.assertIn("401", members["i-07"]["error"])
        for revision, expected in ((2, 1), (3, 2), (-1, 2)):
            self.call("GET", f"/v1/fleet?below_revision={revision}")
            self.assertEqual(len(seen), expected, revision)
        self.assertTrue(all(members[name]["error"] for name in members if name not in responding))
