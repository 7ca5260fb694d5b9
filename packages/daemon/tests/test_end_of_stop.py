"""Requests that are not answered yet when the time of a stop ends."""

import json
import unittest
from unittest import mock

import gevent
from gevent import socket as green_socket
from scripted_target import ScriptedTarget
from tanagerreach_core.config import Configuration, Resolver, Route, Service, Workspace
from tanagerreach_core.messages import PlacementReply, PlacementState, QuotaReply
from tanagerreach_core.placement import CrashStreaks
from tanagerreach_core.rights import workspace_rendezvous_key
from tanagerreach_core.traffic import Outcome
from tanagerreachd import _clock
from tanagerreachd._caller_watch import CallerWatch
from tanagerreachd._http_server import CallerServer, HttpLimits
from tanagerreachd._refusals import render_failure, render_minimal
from tanagerreachd._upstream import UpstreamClient
from tanagerreachd.gateway import _instance
from tanagerreachd.gateway._application import GatewayApplication
from tanagerreachd.gateway._peer_calls import PeerCalls
from tanagerreachd.gateway._pipelined_requests import PipelinedRequest
from tanagerreachd.gateway._placement_client import PlacementClient
from test_gateway_application import DIALECT, LIMITS

# From SIGTERM to SIGKILL, and what is left of it when the requests have to end.
STOP_LIMIT_S = 1.0
MARGIN_S = 0.7
NOTICE_S = 0.1
# Longer than the stop.
SLOW_S = 3.0
# Time that a quick target takes, and within which nothing else happens in a test.
SHORT_S = 0.05
# Time within which something happens also on a busy machine.
PATIENCE_S = 5.0
POLL_S = 0.005
TRY_TIMEOUT_S = 5.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nRequest-Id: {id}\r\n\r\nx"
WORKSPACE = Workspace(name="w")


class QueueingHomes:
    """Home server of the instance, which queues placement requests until the test grants them."""

    def __init__(self):
        self.waiting = []
        self.completions = []
        self.returned = []
        # Addresses of the targets of the first placements; further ones are queued.
        self.addresses = []

    def place(self, _requester, placement_request, send_reply):
        self.waiting.append((placement_request, send_reply))
        if self.addresses:
            self.grant(self.addresses.pop(0))
        else:
            call_id = placement_request.call_id
            send_reply(PlacementReply(call_id=call_id, state=PlacementState.QUEUED))

    def grant(self, address):
        """Grant the placement that waits longest."""
        placement_request, send_reply = self.waiting.pop(0)
        send_reply(
            PlacementReply(
                call_id=placement_request.call_id,
                state=PlacementState.GRANTED,
                target="t",
                address=address,
                service="s",
                # No search for a replacement of a late try begins within a test.
                try_timeout_ms=int(1000 * TRY_TIMEOUT_S),
            )
        )

    def complete(self, _requester, message):
        self.completions.append((message.target, message.outcome))

    def take_quota(self, quota_request, *, is_own_part=False):
        return QuotaReply(call_id=quota_request.call_id, is_granted=True)

    def take_back_quota(self, message):
        self.returned.append(message.workspace)

    def record_refusal(self, service):
        pass


class EndOfStopTest(unittest.TestCase):
    """Requests that were read and whose connections end without a response."""

    def setUp(self):
        self.homes = QueueingHomes()
        self.calls = PeerCalls(send=lambda _address, _message: None)
        self.quota_homes = [None]
        self.client = PlacementClient(
            own_name="i",
            peer_table=mock.Mock(
                homes=lambda key, *_arguments, **_named: (
                    self.quota_homes if key == workspace_rendezvous_key("w") else [None]
                ),
                uses_own_part=lambda *_: False,
                suspected_names=lambda *_: [],
            ),
            calls=self.calls,
            homes=self.homes,
            crashes=CrashStreaks(),
            on_home_lost=mock.Mock(),
            log=mock.Mock(),
        )
        route = Route(
            name="r",
            service="s",
            host="h",
            path_prefix="/",
            open=True,
            max_tries=3,
            idempotent=True,
        )
        resolver = Resolver(Configuration.from_objects(1, [route, Service(name="s")]))
        upstream = UpstreamClient(connect_timeout_s=0.5, idle_timeout_s=5.0)
        self.addCleanup(upstream.close)
        self.application = GatewayApplication(
            own_data_centre="dc",
            dialect=DIALECT,
            resolver=lambda: resolver,
            limits=lambda: LIMITS,
            placement_client=self.client,
            retry_budgets=mock.MagicMock(),
            upstream=upstream,
            watch=CallerWatch(),
            traffic=mock.Mock(),
            log=mock.Mock(),
        )
        workspace = mock.patch.object(self.application, "_find_workspace", return_value=WORKSPACE)
        workspace.start()
        self.addCleanup(workspace.stop)
        self.failures = []
        self.server = CallerServer(
            listener=("127.0.0.1", 0),
            application=self.application,
            limits=HttpLimits(header_bytes=2048, header_time_s=1.0, idle_time_s=5.0),
            render_refusal=lambda error: render_minimal(error.status, "bad", error.detail),
            on_refused=self.failures.append,
            on_failure=self.failures.append,
            failure_response=render_failure(),
            handler_class=PipelinedRequest,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def target(self, *script):
        target = ScriptedTarget(list(script))
        self.addCleanup(target.stop)
        return target

    def send(self, *paths):
        """Send requests on a connection, and return what it receives from then on."""
        connection = green_socket.create_connection(self.server.address)
        self.addCleanup(connection.close)
        received = bytearray()

        def read():
            while data := connection.recv(65536):
                received.extend(data)

        reader = gevent.spawn(read)
        self.addCleanup(reader.kill)
        for path in paths:
            head = f"GET {path} HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 10000\r\n\r\n"
            connection.sendall(head.encode())
        return received

    def wait_for(self, condition):
        """Wait until a condition holds."""
        ends_s = _clock.now_s() + PATIENCE_S
        while not condition():
            self.assertLess(_clock.now_s(), ends_s)
            gevent.sleep(POLL_S)

    def stop(self):
        """Stop the instance, up to the moment at which its process ends."""
        gateway = _instance.Gateway.__new__(_instance.Gateway)
        gateway._settings = mock.Mock(stop_limit_s=STOP_LIMIT_S)
        gateway._application, gateway._callers = self.application, self.server
        for name in ("membership", "peer_table", "log", "loops", "link"):
            setattr(gateway, f"_{name}", mock.Mock())
        gateway._send_digests = gateway._send_handovers = mock.Mock()
        started_s = _clock.now_s()
        with (
            mock.patch.object(_instance, "STOP_MARGIN_S", MARGIN_S),
            mock.patch.object(_instance, "DRAIN_NOTICE_S", NOTICE_S),
        ):
            gateway._stop()
        gateway._log.failure.assert_not_called()
        self.assertEqual(self.failures, [])
        # The process is killed then.
        self.assertLess(_clock.now_s() - started_s, STOP_LIMIT_S)

    def assert_refused(self, received, status=503, kind="stopping"):
        """Check that a response is a refusal of a stopping instance."""
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(f"HTTP/1.1 {status} ".encode()), head)
        problem = json.loads(body)
        self.assertEqual(problem["type"], f"urn:tanagerreach:{kind}")
        self.assertEqual(problem["executed"], "not-run" if status == 503 else "unknown")
        self.assertEqual(b"Retry-After: 0.10" in head, status == 503)
        self.assertIn(b"Connection: close", head)

    def test_request_waiting_for_a_placement_gets_no_response(self):
        """Guards against a caller that cannot know that its request did not run."""
        received = self.send("/a")
        self.wait_for(lambda: self.homes.waiting)
        self.stop()
        self.assert_refused(received)
        self.assertEqual(self.homes.completions, [("", Outcome.CANCELLED)])
        self.assertEqual(self.homes.returned, ["w"])

    def test_request_waiting_for_quota_gets_no_response(self):
        """Guards against the same while homes of the workspace do not reply."""
        self.quota_homes = [mock.Mock(address="h", suspected_until_s=0.0) for _ in range(3)]
        with mock.patch("tanagerreachd.gateway._peer_calls.REPLY_TIMEOUT_S", SLOW_S):
            received = self.send("/a")
            self.wait_for(lambda: self.calls._waiting)
            self.stop()
        self.assert_refused(received)
        self.assertEqual((self.homes.waiting, len(self.calls._waiting)), ([], 0))

    def test_request_waiting_for_its_retry_gets_no_response(self):
        """Guards against the same after a try that may have run, which must not say `not run`."""
        self.homes.addresses = [self.target(None).address]
        received = self.send("/a")
        self.wait_for(lambda: self.homes.waiting)
        self.stop()
        self.assert_refused(received, 502, "upstream-failed")
        self.assertEqual(self.homes.returned, [])

    def end_and_grant(self, *, grants_first, left_s=0.0):
        """End the requests and grant a placement in one turn; return what the caller receives."""
        self.homes.completions.clear()
        self.slow = self.target(SHORT_S, RESPONSE)
        received = self.send("/a")
        self.wait_for(lambda: self.homes.waiting)
        now_s = _clock.now_s()
        self.application.begin_stop(accepts_until_s=now_s + 1.0, ends_s=now_s + left_s)
        self.server.draining = True
        if grants_first:
            self.homes.grant(self.slow.address)
        self.application.end_requests()
        if not grants_first:
            self.homes.grant(self.slow.address)
        self.wait_for(lambda: received)
        gevent.sleep(2 * SHORT_S)
        return received

    def test_refused_request_is_sent(self):
        """Guards against a run of a request whose placement is granted while it is refused."""
        self.assert_refused(self.end_and_grant(grants_first=False, left_s=2 * TRY_TIMEOUT_S))
        self.assertEqual(self.homes.completions, [("t", Outcome.CANCELLED)])
        self.assertEqual(self.slow.heads, [])

    def test_request_is_sent_when_the_time_has_ended(self):
        """Guards against the same if the placement is granted just before."""
        self.assert_refused(self.end_and_grant(grants_first=True))
        self.assertEqual(self.homes.completions, [("t", Outcome.CANCELLED)])
        self.assertEqual(self.slow.heads, [])

    def test_request_is_refused_when_it_has_been_sent(self):
        """Guards against a refusal that reaches a request after its placement was granted."""
        received = self.end_and_grant(grants_first=True, left_s=2 * TRY_TIMEOUT_S)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        self.assertEqual(self.homes.completions, [("t", Outcome.SUCCESS)])

    def test_request_begins_to_wait_when_the_time_has_ended(self):
        """Guards against a request that waits once the others were refused."""
        self.application.end_requests()
        gevent.sleep(0)
        self.server.draining = True
        received = self.send("/a")
        self.wait_for(lambda: received)
        self.assert_refused(received)
        self.assertEqual(self.homes.waiting, [])

    def test_request_at_a_target_is_given_up(self):
        """Guards against an answer in place of one that its target may still give."""
        target = self.target(4 * SHORT_S, RESPONSE)
        self.homes.addresses = [target.address]
        received = self.send("/a")
        self.wait_for(lambda: target.heads)
        self.application.end_requests()
        self.wait_for(lambda: received)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

    def send_behind(self, *scripts):
        """Send a request for each script of a target; the last one is queued without a script."""
        targets = [self.target(*script) for script in scripts if script]
        self.homes.addresses = [target.address for target in targets]
        received = self.send(*(f"/{number}" for number in range(len(scripts))))
        self.wait_for(lambda: all(target.heads for target in targets))
        self.wait_for(lambda: len(self.homes.waiting) == len(scripts) - len(targets))
        return received

    @staticmethod
    def responses(received):
        """Return the status and the reason of each response; the reason of a target's is empty."""
        found = []
        for part in bytes(received).split(b"HTTP/1.1 ")[1:]:
            body = part.partition(b"\r\n\r\n")[2]
            kind = "" if body == b"x" else json.loads(body)["type"].rpartition(":")[2]
            found.append((int(part[:3]), kind))
        return found

    def test_ready_response_behind_a_slow_one_is_dropped(self):
        """Guards against responses of targets that are lost with a slow one before them."""
        slow, ready = [SLOW_S, RESPONSE], [RESPONSE]
        received = self.send_behind(slow, slow, ready, slow)
        self.wait_for(lambda: self.homes.completions)
        self.stop()
        cut = (502, "upstream-stopping")
        self.assertEqual(self.responses(received), [cut, cut, (200, "")])
        # The last request is not broken off, as no response waits for its response.
        outcomes = [outcome for _target, outcome in self.homes.completions]
        self.assertEqual(outcomes.count(Outcome.CANCELLED), 2)

    def test_refusal_behind_a_slow_response_is_dropped(self):
        """Guards against a request that was refused at the end, and whose caller is not told."""
        received = self.send_behind([SLOW_S, RESPONSE], [])
        self.stop()
        self.assertEqual(self.responses(received), [(502, "upstream-stopping"), (503, "stopping")])


if __name__ == "__main__":
    unittest.main()
