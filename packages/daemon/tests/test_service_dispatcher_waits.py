"""Tests of requests that wait for a target."""

import time
import unittest
from random import Random
from types import SimpleNamespace

import gevent
from tanagerreach_core.config import Configuration
from tanagerreach_core.membership import MemberTable
from tanagerreach_core.messages import MemberRecord, ServiceReply, SlotSet
from tanagerreachd._service_dispatcher import ServiceDispatcher

SLOT_COUNT = 5
# Long enough for one request to send a report while another waits.
WAIT_S = 1.2
JOIN_S = 3.0
# A third request would wake the sleeping one and hide the failure.
REQUEST_COUNT = 2


class PickWaitTest(unittest.TestCase):
    """This instance is the service's home, and the only target never becomes usable."""

    def setUp(self):
        targets = (SimpleNamespace(name="t-1"),)
        resolver = SimpleNamespace(
            configuration=Configuration(), eligible_targets=lambda _name: targets
        )
        own = MemberRecord(
            instance_id="i-1",
            incarnation=1,
            peer_address="127.0.0.1:9",
            data_centre="dc-1",
            slots=SlotSet(range(SLOT_COUNT)),
        )
        self.dispatcher = ServiceDispatcher(
            instance_id="i-1",
            data_centre="dc-1",
            slot_count=SLOT_COUNT,
            resolver=lambda: resolver,
            members=MemberTable(own=own, heartbeat_timeout_s=1.0),
            send=lambda _address, _report: None,
            handle_own=lambda report: ServiceReply(
                request_id=report.request_id, service=report.service, is_home=True
            ),
            now_s=time.monotonic,
            random=Random(1),
        )

    def test_waiting_requests_end_in_time(self):
        """Guards against a request that waits forever after another has sent a report.

        Both wait on the same gevent event. A greenlet that sets it and waits on it again keeps the
        other one from waking up.
        """
        state = self.dispatcher.state("catalogue")
        ends_s = time.monotonic() + WAIT_S
        waiting = [
            gevent.spawn(self.dispatcher.pick, state, exclude=(), wait_until_s=ends_s)
            for _ in range(REQUEST_COUNT)
        ]
        gevent.joinall(waiting, timeout=JOIN_S)
        states = [repr(g.exception) if g.dead else "waits" for g in waiting]
        self.assertEqual(states, ["None"] * REQUEST_COUNT)
        self.assertEqual([greenlet.value for greenlet in waiting], [None] * REQUEST_COUNT)


if __name__ == "__main__":
    unittest.main()
