"""Tests of the fair queue and the concurrency limit."""

import heapq
import itertools
import random
import statistics
import unittest

from tanagerreach_core.traffic import (
    ConcurrencyLimit,
    DeficitRoundRobin,
    Outcome,
    QueueRefusal,
    TicketState,
)


class FixedLimit(ConcurrencyLimit):
    """A limit that does not adapt, to test the queue on its own."""

    def finish(self, outcome, now_s):
        super().finish(Outcome.CANCELLED, now_s)


def queue(limit=1, **settings):
    """Return a queue with a fixed limit."""
    return DeficitRoundRobin(limit=FixedLimit(initial_limit=limit), **settings)


def run_workspaces(rates_per_s, *, slots=8, duration_s=30.0, seed=1):
    """Run workspaces against a server with slots; return waits and refusals by workspace."""
    draw = random.Random(seed)
    fair = queue(limit=slots)
    events, order = [], itertools.count()
    waits = {name: [] for name in rates_per_s}
    refused = dict.fromkeys(rates_per_s, 0)

    def schedule(at_s, kind, subject):
        heapq.heappush(events, (at_s, next(order), kind, subject))

    for name, rate in rates_per_s.items():
        schedule(draw.expovariate(rate), "offer", name)
    while events[0][0] < duration_s:
        now_s, _, kind, subject = heapq.heappop(events)
        if kind == "offer":
            schedule(now_s + draw.expovariate(rates_per_s[subject]), "offer", subject)
            ticket = fair.offer(subject, deadline_s=now_s + 0.5, now_s=now_s)
            refused[subject] += ticket.refusal is not None
        else:
            fair.finished(subject, Outcome.SUCCESS, now_s)
        while (ticket := fair.next(now_s)) is not None:
            waits[ticket.workspace].append(now_s - ticket.offered_at_s)
            schedule(now_s + draw.expovariate(50.0), "end", ticket)
        for ticket in fair.take_refused(now_s):
            refused[ticket.workspace] += 1
    return waits, refused


class FairnessTest(unittest.TestCase):
    """A workspace gets its share regardless of what the others send."""

    def test_flood_leaves_others_alone(self):
        """Guards against a workspace starved by another that sends ten times its share."""
        names = [f"w{index}" for index in range(8)]
        for seed in (1, 2, 3):
            rates = dict.fromkeys(names, 25.0)
            quiet, _ = run_workspaces(rates, seed=seed)
            rates["w0"] = 500.0
            waits, refused = run_workspaces(rates, seed=seed)
            for name in names[1:]:
                served = len(waits[name])
                self.assertLess(refused[name], 0.001 * served + 1, name)
                self.assertLess(statistics.fmean(waits[name]), 0.03, name)
            self.assertGreater(refused["w0"], 1000)
            self.assertLess(max(max(waits[name]) for name in names[1:]), 0.2)
            self.assertGreater(len(quiet["w0"]), 500)

    def test_cost_counts(self):
        """Guards against a workspace that gains by sending fewer, larger requests."""
        fair = queue(limit=1)
        served = {"large": 0.0, "small": 0.0}
        now_s = 0.0
        for _ in range(400):
            for name, cost in (("large", 3.0), ("small", 1.0)):
                while fair._queues.get(name) is None or fair._queues[name].waiting < 3:
                    fair.offer(name, deadline_s=1e9, now_s=now_s, cost=cost)
            ticket = fair.next(now_s)
            served[ticket.workspace] += ticket.cost
            now_s += 0.01
            fair.finished(ticket, Outcome.SUCCESS, now_s)
        self.assertLess(abs(served["large"] - served["small"]), 0.05 * served["large"])


class RefusalTest(unittest.TestCase):
    """A request that will not be served in time is refused at once, and never sent."""

    def test_expected_wait_beyond_deadline(self):
        """Guards against requests that wait only to be refused at their deadline."""
        fair = queue(limit=1)
        for _ in range(30):
            fair.offer("w", deadline_s=100.0, now_s=0.0)
        ticket = fair.offer("w", deadline_s=0.1, now_s=0.0)
        self.assertIs(ticket.refusal, QueueRefusal.WAIT_TOO_LONG)
        other = fair.offer("other", deadline_s=0.1, now_s=0.0)
        self.assertIsNone(other.refusal)

    def test_bounds_displace_the_longest_queue(self):
        """Guards against unbounded memory, and a full queue that refuses other workspaces."""
        fair = queue(limit=1, max_queued_per_workspace=50, max_queued_total=60)
        flood = [fair.offer("flood", deadline_s=1e9, now_s=0.0) for _ in range(70)]
        self.assertEqual(sum(t.refusal is QueueRefusal.QUEUE_FULL for t in flood), 20)
        small = [fair.offer("small", deadline_s=1e9, now_s=0.0) for _ in range(15)]
        self.assertTrue(all(ticket.refusal is None for ticket in small))
        self.assertEqual(len(fair), 60)
        self.assertEqual(len(fair.take_refused(0.0)), 5)

    def test_start_at_once_overtakes_nobody(self):
        """Guards against a request that starts beyond the limit, before others, or too late."""
        fair = queue(limit=1)
        self.assertIsNone(fair.start_at_once("a", deadline_s=1.0, now_s=1.0))
        first = fair.start_at_once("a", deadline_s=9.0, now_s=0.0)
        self.assertIs(first.state, TicketState.RUNNING)
        self.assertIsNone(fair.start_at_once("a", deadline_s=9.0, now_s=0.0))
        waiting = fair.offer("b", deadline_s=9.0, now_s=0.0)
        fair.finished(first, Outcome.SUCCESS, 0.1)
        self.assertIsNone(fair.start_at_once("a", deadline_s=9.0, now_s=0.1))
        self.assertIs(fair.next(0.1), waiting)

    def test_each_ticket_ends_once(self):
        """Guards against a ticket that is served and refused, or lost, or served after cancel."""
        draw = random.Random(4)
        fair = queue(limit=3)
        tickets, served, refused, cancelled, now_s = [], [], [], [], 0.0
        for _ in range(5000):
            now_s += draw.expovariate(1000)
            deadline_s = now_s + draw.uniform(0.0, 0.5)
            tickets.append(fair.offer(f"w{draw.randrange(5)}", deadline_s=deadline_s, now_s=now_s))
            if draw.random() < 0.1:
                waiting = draw.choice(tickets[-20:])
                if waiting.state is TicketState.QUEUED:
                    fair.cancel(waiting)
                    cancelled.append(waiting)
            while (ticket := fair.next(now_s)) is not None:
                self.assertGreater(ticket.deadline_s, now_s)
                served.append(ticket)
            for ticket in served[-5:]:
                if draw.random() < 0.3:
                    fair.finished(ticket, Outcome.SUCCESS, now_s)
            refused += fair.take_refused(now_s)
        refused += fair.take_refused(now_s + 10)
        refused += [t for t in tickets if t.refusal is not None and t not in refused]
        self.assertEqual(len(served) + len(refused) + len(cancelled), len(tickets))
        self.assertEqual(len({id(t) for t in served + refused + cancelled}), len(tickets))
        self.assertEqual(len(fair), 0)


class ConcurrencyLimitTest(unittest.TestCase):
    """The limit adapts to the capacity of the targets."""

    def test_settles_near_capacity(self):
        """Guards against a limit that stays far from the targets' capacity, or collapses."""
        limit = ConcurrencyLimit(initial_limit=64)
        capacity, now_s, seen = 20, 0.0, []
        for step in range(4000):
            while limit.has_room:
                limit.start()
            outcome = Outcome.SHED if limit.running > capacity else Outcome.SUCCESS
            now_s += 0.02 / capacity
            limit.finish(outcome, now_s)
            if step > 1000:
                seen.append(limit.limit)
        self.assertTrue(0.7 * capacity <= statistics.fmean(seen) <= 1.2 * capacity)
        self.assertGreaterEqual(min(seen), 1)

    def test_late_second_end_is_ignored(self):
        """Guards against a wrong count of running requests after a request ends twice."""
        fair = queue(limit=2)
        fair.offer("w", deadline_s=1.0, now_s=0.0)
        ticket = fair.next(0.0)
        fair.finished(ticket, Outcome.SUCCESS, 0.1)
        fair.finished(ticket, Outcome.SUCCESS, 0.2)
        self.assertEqual(fair.limit.running, 0)
