"""Tests of a service's queue, concurrency limit and reports."""

import random
import unittest

from tanagerreach_core.config import Configuration, DataCentre, Resolver, Service, Target
from tanagerreach_core.messages import REPORT_POLL_ID, ServiceReply, SlotSet
from tanagerreach_core.traffic import Outcome
from tanagerreachd._service_dispatcher import ServiceDispatcher


class Members:
    """Member table by which this instance is the home of every service."""

    instance_id = "own"

    def candidates(self, _now_s):
        """Return the only slot."""
        return SlotSet([0])

    def holder_of(self, _slot, _now_s):
        """Return this instance."""
        return self


class ServiceDispatcherTest(unittest.TestCase):
    """A dispatcher with a simulated clock."""

    def setUp(self):
        self.now_s = 100.0
        self.reports = []
        targets = tuple(
            Target(name=f"t{number}", address=f"127.0.0.1:{number + 1}", data_centre="a")
            for number in range(10)
        )
        resolver = Resolver(
            Configuration(
                services={"s": Service(name="s", targets=targets, slots_per_target=4)},
                data_centres={"a": DataCentre(name="a")},
            )
        )
        self.dispatcher = ServiceDispatcher(
            instance_id="own",
            data_centre="a",
            slot_count=1,
            resolver=lambda: resolver,
            members=Members(),
            send=None,
            handle_own=self.reports.append,
            now_s=lambda: self.now_s,
            random=random.Random(1),
        )
        self.state = self.dispatcher.state("s")

    def test_long_requests_are_reported(self):
        """Guards against long-running requests that are not reported to the home."""
        ticket = self.dispatcher.enter(self.state, "w", start_by_s=self.now_s + 60)
        self.now_s += 30
        self.dispatcher.tick()
        self.assertEqual(len(self.reports), 1)
        self.dispatcher.leave(self.state, ticket, Outcome.SUCCESS)
        self.now_s += 30
        self.dispatcher.tick()
        self.assertEqual(len(self.reports), 1)

    def test_home_polls_for_a_report(self):
        """Guards against verdicts that reach an instance only after its next regular report."""
        self.dispatcher.tick()
        self.dispatcher.handle_reply(
            ServiceReply(request_id=REPORT_POLL_ID, service="s", is_home=True)
        )
        self.assertEqual(len(self.reports), 1)

    def test_limit_starts_at_the_slots_of_the_service(self):
        """Guards against refusals under load at the start, while targets have free capacity."""
        self.assertEqual(self.state.queue.limit.limit, 40)


if __name__ == "__main__":
    unittest.main()
