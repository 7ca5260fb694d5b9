"""Tests of the backend server stand-in, run as a process."""

import concurrent.futures
import hashlib
import http.client
import time
import unittest

from tanagerreach_standins.processes import ProcessGroup

SLOTS = 2
QUEUE = 1


class Response:
    """One response; ``status`` is 0 without a response, and ``body`` is the received part."""

    def __init__(self, status=0, headers=None, body=b"", is_short=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_short = is_short

    @property
    def is_intact(self):
        """Whether the body matches the ``Body-Sha256`` header."""
        return hashlib.sha256(self.body).hexdigest() == self.headers.get("Body-Sha256")


def call(backend, path="/work", *, method="GET", body=None, timeout_s=10, **headers):
    """Send one request on a new connection."""
    connection = http.client.HTTPConnection(backend.address, timeout=timeout_s)
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.request(method, path, body=body, headers=names)
        response = connection.getresponse()
        return Response(response.status, response.headers, response.read())
    except http.client.IncompleteRead as short:
        return Response(response.status, response.headers, short.partial, is_short=True)
    except (OSError, http.client.HTTPException):
        return Response()
    finally:
        connection.close()


class BackendTest(unittest.TestCase):
    """The stand-in fails as the platform's backend servers do.

    A stand-in with fewer or milder failures would hide faults of the fleet.
    """

    @classmethod
    def setUpClass(cls):
        """Start one warm server whose requests take 50 ms."""
        cls.group = ProcessGroup()
        cls.addClassCleanup(cls.group.stop_all)
        cls.backend = cls.group.start_standin(
            "backend", slots=SLOTS, queue=QUEUE, service_time_ms=50
        )
        cls.pool = concurrent.futures.ThreadPoolExecutor(max_workers=8)
        cls.addClassCleanup(cls.pool.shutdown)

    def setUp(self):
        """Switch all faults off."""
        self.set_mode("ok")
        self.backend.call("PUT", "/control/health", {})
        self.backend.call("PUT", "/control/draining", {"draining": False})

    def set_mode(self, mode, **parameters):
        """Switch the server's mode."""
        self.backend.call("PUT", "/control/mode", {"mode": mode, **parameters})

    def counts(self, backend=None):
        """Return the server's counts."""
        return (backend or self.backend).call("GET", "/control/counts")

    def ledger(self):
        """Return the server's ledger."""
        return self.backend.call("GET", "/control/ledger")["entries"]

    def test_response_and_ledger(self):
        """Guards against responses that can't be checked, and requests missing from the ledger."""
        upload = b"x" * 300_000
        response = call(
            self.backend,
            "/upload",
            method="POST",
            body=upload,
            Request_Id="r-1",
            Caller_Token="t-1",
            Idempotency_Key="k-1",
            Authorization="Bearer secret",
        )
        self.assertEqual((response.status, response.headers["Request-Id"]), (200, "r-1"))
        self.assertTrue(response.is_intact)
        self.assertIn(hashlib.sha256(upload).hexdigest().encode(), response.body)
        self.assertIn(b'"token":"t-1"', response.body)
        entry = self.ledger()[-1]
        self.assertEqual((entry["idempotency_key"], entry["outcome"]), ("k-1", "finished"))
        self.assertEqual((entry["method"], entry["path"]), ("POST", "/upload"))
        self.assertEqual((entry["had_authorization"], entry["body_size_bytes"]), (True, 300_000))
        self.assertIn("authorization", entry["header_names"])
        self.assertGreater(entry["ended_at_s"], entry["started_at_s"])

    def test_sheds_over_slots_and_queue(self):
        """Guards against shed requests that ran, and more concurrent requests than slots."""
        before = self.counts()
        responses = list(self.pool.map(lambda _: call(self.backend), range(6)))
        shed = [response for response in responses if response.status == 503]
        self.assertEqual(len(shed), 6 - SLOTS - QUEUE)
        self.assertTrue(all(response.headers["Load-Shed"] == "not-started" for response in shed))
        after = self.counts()
        self.assertEqual(after["started"] - before["started"], SLOTS + QUEUE)
        self.assertLessEqual(after["max_in_flight"], SLOTS)

    def test_deadline_stops_work(self):
        """Guards against requests that run on past their deadline."""
        response = call(self.backend, Request_Deadline_Ms="20")
        self.assertEqual(response.status, 504)
        self.assertEqual(self.ledger()[-1]["outcome"], "deadline")

    def test_closed_connection_cancels(self):
        """Guards against a slot that is still held after its caller has disconnected."""
        self.set_mode("hanging")
        before = self.counts().get("cancelled", 0)
        self.assertEqual(call(self.backend, timeout_s=0.1, Request_Deadline_Ms="50").status, 0)
        self.set_mode("ok")
        self.assertEqual(call(self.backend).status, 200)
        counts = self.counts()
        self.assertEqual((counts["cancelled"] - before, counts["in_flight"]), (1, 0))

    def test_gray_failures(self):
        """Guards against gray failures that a caller could not tell from a correct response."""
        call(self.backend, Request_Id="other", Caller_Token="other")
        self.set_mode("short_body")
        response = call(self.backend)
        self.assertTrue(response.is_short and not response.is_intact)
        self.set_mode("crossed")
        response = call(self.backend, Request_Id="own", Caller_Token="own")
        self.assertNotEqual(response.headers["Request-Id"], "own")
        self.assertNotIn(b'"token":"own"', response.body)
        self.set_mode("erring", status=502)
        self.assertEqual(call(self.backend).status, 502)
        self.set_mode("flapping", flap_to="erring", period_s=100)
        self.assertEqual(call(self.backend).status, 500)

    def test_slow_and_late(self):
        """Guards against a slow mode without delay, and a late response before the deadline."""
        for mode, parameters, least_s in (("slow", {"factor": 4}, 0.2), ("late", {}, 0.3)):
            self.set_mode(mode, **parameters)
            started_at_s = time.monotonic()
            response = call(self.backend, Request_Deadline_Ms="300")
            self.assertEqual(response.status, 200, mode)
            self.assertGreaterEqual(time.monotonic() - started_at_s, least_s, mode)

    def test_ratio_affects_a_share(self):
        """Guards against a ratio that is not drawn for each request."""
        self.set_mode("erring", ratio=0.5, immediate=True)
        statuses = {call(self.backend).status for _ in range(20)}
        self.assertEqual(statuses, {200, 500})

    def test_crash_request_breaks_all_connections(self):
        """Guards against a crash that leaves the connections of other requests open."""
        self.set_mode("crash_on", marker="poison")
        other_request = self.pool.submit(call, self.backend)
        time.sleep(0.02)
        body = b"-" * 70_000 + b"poison"
        self.assertEqual(call(self.backend, method="POST", body=body).status, 0)
        self.assertEqual(other_request.result().status, 0)
        outcomes = [entry["outcome"] for entry in self.ledger()[-2:]]
        self.assertEqual(outcomes, ["crashed", "crashed"])
        self.assertEqual(call(self.backend).status, 200)

    def test_crash_exit_and_connection_limit(self):
        """Guards against a ``crash_exit`` without exit, and connections beyond the limit."""
        backend = self.group.start_standin("backend", max_connections=2)
        backend.call("PUT", "/control/mode", {"mode": "crash_on", "crash_exit": True})
        held = [http.client.HTTPConnection(backend.address) for _ in range(2)]
        for connection in held:
            connection.request("GET", "/work")
            connection.getresponse().read()
        self.assertEqual(call(backend).status, 0)
        for connection in held:
            connection.close()
        time.sleep(0.1)
        self.assertEqual(call(backend, Crash_Me="1").status, 0)
        self.assertEqual(backend.wait(5), 70)

    def test_cold_overload_fails(self):
        """Guards against a cold server that admits more requests than its limit."""
        backend = self.group.start_standin(
            "backend", cold_start_s=30, cold_ramp="fixed", service_time_ms=100
        )
        self.assertTrue(backend.call("GET", "/healthz")["warming"])
        statuses = sorted(response.status for response in self.pool.map(call, [backend] * 2))
        self.assertEqual(statuses, [200, 500])
        counts = self.counts(backend)
        self.assertEqual((counts["cold_overloads"], counts["max_concurrency_cold"]), (1, 2))

    def test_turns_cold_unannounced(self):
        """Guards against a health endpoint that reports an unannounced cold start."""
        backend = self.group.start_standin("backend", cold_start_s=0.5)
        time.sleep(0.6)
        self.assertFalse(self.counts(backend)["is_cold"])
        backend.call("PUT", "/control/mode", {"mode": "cold_again"})
        self.assertTrue(self.counts(backend)["is_cold"])
        self.assertFalse(backend.call("GET", "/healthz")["warming"])

    def test_health_and_load_mislead(self):
        """Guards against health switches (lag, load factor, overrides) without effect."""
        self.backend.call("PUT", "/control/health", {"lag_s": 0.5, "load_factor": 3})
        self.backend.call("PUT", "/control/draining", {"draining": True})
        self.assertFalse(self.backend.call("GET", "/healthz")["draining"])
        time.sleep(0.7)
        self.assertTrue(self.backend.call("GET", "/healthz")["draining"])
        self.backend.call("PUT", "/control/health", {"draining": False, "load_factor": 3})
        self.assertFalse(self.backend.call("GET", "/healthz")["draining"])
        running = self.pool.submit(call, self.backend)
        time.sleep(0.02)
        self.assertEqual(self.backend.call("GET", "/load")["in_flight"], 3)
        self.assertEqual(running.result().headers["Draining"], "true")

    def test_sigterm_finishes_requests(self):
        """Guards against a graceful stop that breaks off a request."""
        backend = self.group.start_standin("backend", service_time_ms=400, drain_notice_s=0.3)
        running = self.pool.submit(call, backend)
        time.sleep(0.15)
        backend.begin_stop()
        time.sleep(0.1)
        late = call(backend)
        self.assertEqual((running.result().status, late.status), (200, 200))
        self.assertEqual((late.headers["Draining"], late.headers["Connection"]), ("true", "close"))
        self.assertEqual(backend.wait(5), 0)
