"""The request path of a gateway, with scripted homes and targets."""

import dataclasses
import gc
import io
import unittest
from unittest import mock

import gevent
from gevent import socket
from scripted_target import ScriptedTarget
from tanagerreach_core.config import Configuration, Resolver, Route, Service, Workspace
from tanagerreach_core.messages import (
    PlacementReply,
    PlacementRequest,
    PlacementState,
    QuotaReply,
    RefusalCause,
)
from tanagerreach_core.placement import InstanceRetryBudget
from tanagerreach_core.traffic import Outcome
from tanagerreachd import _clock
from tanagerreachd._caller_watch import CallerDisconnectedError, CallerWatch
from tanagerreachd._http_head import HeaderFields
from tanagerreachd._upstream import UpstreamClient
from tanagerreachd._upstream_errors import BrokenConnectionError, LoadShedError
from tanagerreachd.gateway import CallerLimits, Dialect
from tanagerreachd.gateway._application import GatewayApplication
from tanagerreachd.gateway._placement_client import Placement, QuotaUnit
from tanagerreachd.targets import TargetDialect

LIMITS = CallerLimits(header_bytes=1000, body_bytes=1000, header_time_s=1.0, idle_time_s=1.0)
DIALECT = Dialect(
    request_id="Request-Id",
    deadline_ms="Deadline-Ms",
    key="Key",
    workspace="Workspace",
    expected_target="Expect-Target",
    own_headers=frozenset(),
    targets=TargetDialect(),
)
# Time that the second placement waits in the queue of its home.
QUEUE_S = 0.6
# Usual time of a try by its placement, and the time that the slow target takes.
USUAL_S = 0.3
SLOW_S = 1.2


def made_resolver(revision, service):
    """Return the resolver of a configuration with the service "s" and a route to a service."""
    route = Route(
        name="r",
        service=service,
        host="h",
        path_prefix="/",
        open=True,
        max_tries=3,
        idempotent=True,
    )
    return Resolver(Configuration.from_objects(revision, [route, Service(name="s")]))


class SlowHomes:
    """Places the first try at once, and each further one after a wait."""

    def __init__(self):
        self.placed_count = 0
        self.outcomes = []
        self.returned_units = []

    def acquire(self, make_request):
        placement_request = make_request(self.placed_count, False)
        assert isinstance(placement_request, PlacementRequest)
        if self.placed_count:
            gevent.sleep(QUEUE_S)
        self.placed_count += 1
        reply = PlacementReply(
            call_id=0,
            state=PlacementState.GRANTED,
            target=f"t{self.placed_count}",
            address="127.0.0.1:1",
            service="s",
        )
        return Placement(placement_request=placement_request, reply=reply, home=None)

    def complete(self, placement, outcome, latency_s, *, notice=None, notice_age_s=0.0):
        self.outcomes.append(outcome)

    def report_refusal(self, service):
        pass

    def take_quota(self, workspace):
        reply = QuotaReply(call_id=7, is_granted=True)
        return QuotaUnit(reply=reply, workspace=workspace, home=None)

    def return_quota(self, unit):
        self.returned_units.append(unit)


class GatewayApplicationTest(unittest.TestCase):
    """A target sheds the first try of a request that may not be retried once it has run."""

    def setUp(self):
        route = Route(name="r", service="s", host="h", path_prefix="/", open=True, max_tries=3)
        objects = [route, Service(name="s")]
        resolver = Resolver(Configuration.from_objects(1, objects))
        self.homes = SlowHomes()
        self.sent = []
        self.watch = CallerWatch()
        self.application = GatewayApplication(
            own_data_centre="dc",
            dialect=DIALECT,
            resolver=lambda: resolver,
            limits=lambda: LIMITS,
            placement_client=self.homes,
            retry_budgets=mock.MagicMock(),
            upstream=mock.Mock(send=self.send),
            watch=self.watch,
            traffic=mock.Mock(),
            log=mock.Mock(),
        )
        sweeps = gevent.spawn(self.watch.run)
        self.addCleanup(sweeps.kill)

    def send(self, *, target, **_fields):
        self.sent.append(target)
        raise LoadShedError(target, "shed the request before starting it")

    def start_request(self, connection, on_status=lambda status: None):
        environ = {
            "REQUEST_METHOD": "POST",
            "HTTP_HOST": "h",
            "CONTENT_LENGTH": "1",
            "wsgi.input": io.BytesIO(b"x"),
            "tanagerreach.raw_target": "/a",
            "tanagerreach.socket": connection,
            "tanagerreach.handler": mock.Mock(headers=HeaderFields([("Host", "h")])),
        }
        return gevent.spawn(self.application, environ, lambda status, _headers: on_status(status))

    def test_request_is_sent_again_after_its_caller_left(self):
        """Guards against a further try of a request whose caller left while it was queued again.

        After a try that a target did not start, the caller has to be watched again.
        """
        caller, connection = socket.socketpair()
        self.addCleanup(connection.close)
        request = self.start_request(connection)
        gevent.sleep(0.1)
        self.assertEqual(self.sent, ["t1"])
        caller.close()
        request.join(timeout=2.0)
        self.assertIsInstance(request.exception, CallerDisconnectedError)
        self.assertEqual(self.sent, ["t1"])
        self.assertEqual(self.homes.outcomes, [Outcome.SHED])
        self.assertEqual(len(self.watch), 0)

    def test_request_that_did_not_run_uses_up_the_quota(self):
        """Guards against a workspace that loses its quota to requests that its targets shed."""
        outcomes = ((LoadShedError("t1", "shed"), 1), (BrokenConnectionError("t1", "broke"), 0))
        for error, returned_count in outcomes:
            with self.subTest(error=type(error).__name__):
                self.homes.returned_units.clear()
                with (
                    mock.patch.object(
                        self.application, "_find_workspace", return_value=Workspace(name="w")
                    ),
                    mock.patch.object(self.application._upstream, "send", side_effect=error),
                    mock.patch(f"{__name__}.QUEUE_S", 0.0),
                ):
                    here, there = socket.socketpair()
                    self.addCleanup(here.close)
                    self.addCleanup(there.close)
                    self.start_request(here).get(timeout=5.0)
                self.assertEqual(len(self.homes.returned_units), returned_count)

    def test_service_goes_after_a_try_that_may_have_run(self):
        """Guards against a 503 for a request that ran before the configuration changed."""
        targets = TargetDialect(not_run_statuses=frozenset({503}))
        self.application._dialect = dataclasses.replace(DIALECT, targets=targets)
        statuses = []
        for error, status in (
            (BrokenConnectionError("t1", "broke"), "502 Bad Gateway"),
            (LoadShedError("t1", "shed"), "503 Service Unavailable"),
        ):
            with self.subTest(error=type(error).__name__):
                resolvers = [made_resolver(1, "s"), made_resolver(2, "gone")]
                self.application._resolver = lambda found=resolvers: found[0]

                def send(error=error, resolvers=resolvers, **_fields):
                    del resolvers[0]
                    raise error

                self.application._upstream.send = send
                here, there = socket.socketpair()
                self.addCleanup(here.close)
                self.addCleanup(there.close)
                with mock.patch(f"{__name__}.QUEUE_S", 0.0):
                    self.start_request(here, statuses.append).get(timeout=5.0)
                self.assertEqual(statuses.pop(), status)


class ScriptedHomes(SlowHomes):
    """Places the first try at a slow target; further ones as scripted, after a wait.

    :param answers: a target's address or ``None`` for a refusal, for each further placement; the
        last one is repeated.
    """

    def __init__(self, first_address, *answers, wait_s=0.0):
        super().__init__()
        self.addresses = [first_address, *answers]
        self.wait_s = wait_s
        self.requests = []
        self.refusals = 0

    def acquire(self, make_request):
        placement_request = make_request(self.placed_count, False)
        self.requests.append(placement_request)
        number = min(self.placed_count, len(self.addresses) - 1)
        self.placed_count += 1
        if number:
            gevent.sleep(self.wait_s)
        address = self.addresses[number]
        reply = PlacementReply(
            call_id=0,
            state=PlacementState.REFUSED if address is None else PlacementState.GRANTED,
            cause=RefusalCause.NO_ROOM if address is None else RefusalCause.NONE,
            target=f"t{number}",
            address=address or "",
            service="s",
            try_timeout_ms=int(1000 * USUAL_S),
        )
        return Placement(placement_request=placement_request, reply=reply, home=None)

    def complete(self, placement, outcome, latency_s, *, notice=None, notice_age_s=0.0):
        self.outcomes.append((placement.reply.target, outcome))

    def report_refusal(self, service):
        self.refusals += 1


class LateTryTest(unittest.TestCase):
    """The first try of a request takes longer than usual."""

    def setUp(self):
        self.slow = self.target(SLOW_S, b"slow")
        self.fast = self.target(0.0, b"fast")
        self.log = mock.Mock()

    def target(self, time_s, body):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: {id}\r\n\r\n"
        target = ScriptedTarget([time_s, head + body])
        self.addCleanup(target.stop)
        return target

    def build(self, homes, *, budget_ratio=1.0, max_tries=2, is_idempotent=True, timeout_s=3.0):
        route = Route(
            name="r",
            service="s",
            host="h",
            path_prefix="/",
            open=True,
            max_tries=max_tries,
            idempotent=is_idempotent,
            timeout_s=timeout_s,
        )
        resolver = Resolver(Configuration.from_objects(1, [route, Service(name="s")]))
        self.homes = homes
        self.budget = InstanceRetryBudget(
            ratio=budget_ratio, allowance=0.0, window_s=10.0, fleet_size=lambda _now_s: 1
        )
        self.upstream = UpstreamClient(connect_timeout_s=0.5, idle_timeout_s=5.0)
        self.addCleanup(self.upstream.close)
        self.application = GatewayApplication(
            own_data_centre="dc",
            dialect=DIALECT,
            resolver=lambda: resolver,
            limits=lambda: LIMITS,
            placement_client=homes,
            retry_budgets=mock.Mock(of=lambda _service: self.budget),
            upstream=self.upstream,
            watch=CallerWatch(),
            traffic=mock.Mock(),
            log=self.log,
        )

    def start(self, method="GET", body=b"", deadline_ms="2500"):
        environ = {
            "REQUEST_METHOD": method,
            "HTTP_HOST": "h",
            "HTTP_DEADLINE_MS": deadline_ms,
            "wsgi.input": io.BytesIO(body),
            "tanagerreach.raw_target": "/a",
            "tanagerreach.handler": mock.Mock(headers=HeaderFields([("Host", "h")])),
        }
        if body:
            environ["CONTENT_LENGTH"] = str(len(body))
        return gevent.spawn(lambda: b"".join(self.application(environ, mock.Mock())))

    def reasons(self):
        """Return what was decided about late tries, ``None`` for a replaced one."""
        decided = [call.args[2] for call in self.log.try_late.call_args_list]
        return [obstacle and obstacle.value for obstacle in decided]

    def assert_nothing_reserved(self):
        use = self.budget.use(_clock.now_s())
        self.assertLessEqual(use.retries, len(self.homes.outcomes) - 1)
        self.assertEqual(self.budget._reserved_count, 0)

    def test_try_is_given_up_before_its_replacement_is_in_hand(self):
        """Guards against a target's work that is lost as no other target takes the request."""
        self.build(ScriptedHomes(self.slow.address, None))
        self.assertEqual(self.start().get(timeout=3.0), b"slow")
        self.assertEqual(self.homes.outcomes, [("t0", Outcome.SUCCESS)])
        self.assertEqual(self.reasons(), ["placement"])
        # The request is not refused, so that its home must not count it as such.
        self.assertEqual(self.homes.refusals, 0)
        self.assertTrue(all(sent.is_in_flight for sent in self.homes.requests[1:]))
        self.assertGreater(len(self.homes.requests), 2)
        self.assert_nothing_reserved()

    def test_try_is_given_up_without_a_right_to_retry(self):
        """Guards against a target's work that is lost as the retry budget is used up."""
        self.build(ScriptedHomes(self.slow.address, self.fast.address), budget_ratio=0.2)
        self.assertEqual(self.start().get(timeout=3.0), b"slow")
        self.assertEqual(self.reasons(), ["budget"])
        self.assertEqual((len(self.homes.requests), self.homes.refusals), (1, 0))
        self.assert_nothing_reserved()

    def test_late_try_is_not_replaced(self):
        """Guards against a request that waits for a target that hangs."""
        self.build(ScriptedHomes(self.slow.address, self.fast.address))
        self.assertEqual(self.start().get(timeout=SLOW_S - 0.2), b"fast")
        self.assertEqual(self.homes.outcomes, [("t0", Outcome.TIMEOUT), ("t1", Outcome.SUCCESS)])
        self.assertEqual(self.homes.requests[1].excluded, ["t0"])
        self.assertTrue(self.homes.requests[1].is_retry)
        self.assertEqual(self.reasons(), [None])
        self.assert_nothing_reserved()

    def test_replacement_that_comes_later_is_not_used(self):
        """Guards against a request that asks for a replacement only once."""
        homes = ScriptedHomes(self.slow.address, None, self.fast.address)
        self.build(homes)
        self.assertEqual(self.start().get(timeout=SLOW_S - 0.1), b"fast")
        self.assertEqual(self.reasons(), ["placement", None])

    def test_replacement_of_an_ended_try_is_held(self):
        """Guards against a placement and a retry that stay reserved after the response came."""
        homes = ScriptedHomes(self.slow.address, self.fast.address, wait_s=SLOW_S)
        self.build(homes)
        self.assertEqual(self.start().get(timeout=3.0), b"slow")
        gevent.sleep(SLOW_S)
        self.assertEqual(homes.outcomes, [("t0", Outcome.SUCCESS)])
        self.assert_nothing_reserved()

    def test_failed_try_loses_what_its_search_has_reserved(self):
        """Guards against a refusal for a used-up budget, whose last right the search holds."""
        error = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\nRequest-Id: {id}\r\n\r\n"
        for end in (None, error):
            with self.subTest(end=end):
                failing = ScriptedTarget([0.5, end])
                self.addCleanup(failing.stop)
                homes = ScriptedHomes(failing.address, self.fast.address, wait_s=0.5)
                self.build(homes)
                self.assertEqual(self.start().get(timeout=3.0), b"fast")
                self.assertEqual(homes.outcomes[1], ("t1", Outcome.SUCCESS))
                self.assertFalse(homes.requests[-1].is_in_flight)
                self.assert_nothing_reserved()

    def test_search_goes_on_after_the_head(self):
        """Guards against a slot and a retry for a request whose response has begun."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: {id}\r\n\r\n"
        slow_body = ScriptedTarget([0.1, head, SLOW_S, b"slow"])
        self.addCleanup(slow_body.stop)
        self.build(ScriptedHomes(slow_body.address, self.fast.address))
        self.assertEqual(self.start().get(timeout=3.0), b"slow")
        self.assertEqual((len(self.homes.requests), self.reasons()), (1, []))
        self.assert_nothing_reserved()

    def test_replacement_comes_too_late(self):
        """Guards against a try that is given up for one that has too little time."""
        homes = ScriptedHomes(self.slow.address, self.slow.address, wait_s=SLOW_S - USUAL_S - 0.1)
        self.build(homes, timeout_s=SLOW_S + 0.05)
        self.assertEqual(self.start().get(timeout=3.0), b"slow")
        self.assertEqual(self.reasons(), ["time"])
        self.assertIn(("t0", Outcome.SUCCESS), homes.outcomes)
        self.assert_nothing_reserved()

    def test_error_response_is_left_open(self):
        """Guards against a connection to a target that stays open behind a replaced error."""
        head = b"HTTP/1.1 500 X\r\nContent-Length: 100000\r\nRequest-Id: {id}\r\n\r\n"
        failing = ScriptedTarget([head + b"x"])
        self.addCleanup(failing.stop)
        self.build(ScriptedHomes(failing.address, self.fast.address))
        gc.disable()
        self.addCleanup(gc.enable)
        self.assertEqual(self.start().get(timeout=3.0), b"fast")
        ends_s = _clock.now_s() + 1.0
        while not failing.closed_at_s and _clock.now_s() < ends_s:
            gevent.sleep(0.02)
        self.assertTrue(failing.closed_at_s)

    def test_cancelled_request_holds_a_replacement(self):
        """Guards against a placement that stays reserved when the caller left meanwhile."""
        self.build(ScriptedHomes(self.slow.address, self.fast.address, wait_s=SLOW_S))
        running = self.start()
        gevent.sleep(USUAL_S + 0.1)
        running.kill(CallerDisconnectedError())
        gevent.sleep(SLOW_S)
        self.assertEqual(self.homes.outcomes, [("t0", Outcome.CANCELLED)])
        self.assert_nothing_reserved()

    def test_stopping_instance_gives_a_try_up(self):
        """Guards against a try that a stopping instance aborts, whose replacement may fail.

        The stop begins before the request, or while a replacement is searched.
        """
        for wait_s, stop_after_s in ((0.0, 0.0), (0.3, USUAL_S + 0.1)):
            with self.subTest(stop_after_s=stop_after_s):
                self.log.try_late.reset_mock()
                homes = ScriptedHomes(self.slow.address, self.fast.address, wait_s=wait_s)
                self.build(homes)
                running = self.start()
                gevent.sleep(stop_after_s)
                now_s = _clock.now_s()
                self.application.begin_stop(accepts_until_s=now_s + 3.0, ends_s=now_s + 5.0)
                self.assertEqual(running.get(timeout=3.0), b"slow")
                self.assertEqual(self.reasons(), ["stopping"])
                self.assertIn(("t0", Outcome.SUCCESS), homes.outcomes)
                self.assertNotIn(("t1", Outcome.SUCCESS), homes.outcomes)
                self.assert_nothing_reserved()

    def test_request_that_may_not_be_replaced_is_given_up(self):
        """Guards against a request with one target only that is cut at the usual time."""
        for fields, method, reason in (
            ({"max_tries": 1}, "GET", "tries_used"),
            ({"is_idempotent": False}, "POST", "not_retryable"),
            ({"timeout_s": SLOW_S + 0.1}, "GET", "placement"),
        ):
            with self.subTest(reason=reason):
                self.log.try_late.reset_mock()
                self.build(ScriptedHomes(self.slow.address, None), **fields)
                self.assertEqual(self.start(method).get(timeout=3.0), b"slow")
                self.assertEqual(self.reasons()[:1], [reason])
                self.assertEqual(self.homes.outcomes, [("t0", Outcome.SUCCESS)])

    def test_replacement_gets_too_little_time(self):
        """Guards against a try that is given up although its replacement could not end in time."""
        self.build(ScriptedHomes(self.slow.address, self.fast.address))
        deadline_ms = int(1000 * (1.4 * USUAL_S))
        self.assertNotIn(b"fast", self.start(deadline_ms=str(deadline_ms)).get(timeout=1.0))
        self.assertEqual(self.reasons(), ["time"])
        self.assertEqual(self.homes.outcomes, [("t0", Outcome.TIMEOUT)])

    def test_deadline_that_has_passed_starts_a_search(self):
        """Guards against a search for a request without time."""
        for deadline_ms in ("0", "1"):
            self.build(ScriptedHomes(self.slow.address, self.fast.address))
            self.start(deadline_ms=deadline_ms).get(timeout=1.0)
            self.assertLessEqual(len(self.homes.requests), 1)
            self.assert_nothing_reserved()


if __name__ == "__main__":
    unittest.main()
