"""The request path of a gateway, with scripted homes and targets."""

import io
import unittest
from unittest import mock

import gevent
from gevent import socket
from tanagerreach_core.config import Configuration, Resolver, Route, Service
from tanagerreach_core.messages import PlacementReply, PlacementRequest, PlacementState
from tanagerreach_core.traffic import Outcome
from tanagerreachd._caller_watch import CallerDisconnectedError, CallerWatch
from tanagerreachd._http_head import HeaderFields
from tanagerreachd._upstream_errors import LoadShedError
from tanagerreachd.gateway import CallerLimits, Dialect
from tanagerreachd.gateway._application import GatewayApplication
from tanagerreachd.gateway._placement_client import Placement
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


class SlowHomes:
    """Places the first try at once, and each further one after a wait."""

    def __init__(self):
        self.placed_count = 0
        self.outcomes = []

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

    def start_request(self, connection):
        environ = {
            "REQUEST_METHOD": "POST",
            "HTTP_HOST": "h",
            "CONTENT_LENGTH": "1",
            "wsgi.input": io.BytesIO(b"x"),
            "tanagerreach.raw_target": "/a",
            "tanagerreach.socket": connection,
            "tanagerreach.handler": mock.Mock(headers=HeaderFields([("Host", "h")])),
        }
        return gevent.spawn(self.application, environ, lambda *_arguments: None)

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


if __name__ == "__main__":
    unittest.main()
