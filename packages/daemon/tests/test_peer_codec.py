"""Tests of the peer codec and the replay guard."""

import unittest
from random import Random

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st
from tanagerreach_core.messages import (
    Envelope,
    Exchange,
    InstanceIncarnation,
    Loan,
    PeerState,
    ServiceReport,
    SlotSet,
    TargetReport,
    TokenDemand,
    TokenRequest,
)
from tanagerreach_core.placement import (
    CrashStreaks,
    FleetNews,
    PeerTable,
    PlacementTarget,
    Rollout,
    RolloutLimits,
    RolloutOrder,
    ServicePlacement,
    TargetNotice,
    digest_parts,
)
from tanagerreach_core.traffic import Outcome
from tanagerreachd._peer_codec import (
    MAC_BYTES,
    MAX_DATAGRAM_BYTES,
    AuthenticationError,
    PeerCodec,
    PeerCodecError,
)
from tanagerreachd._peer_link import REPLAY_WINDOW_BITS, ReplayGuard

SECRET = b"a fleet secret of thirty-two bytes"
SENDER = InstanceIncarnation(instance_id="instance-1", incarnation=7)
MESSAGES = [
    Exchange(
        sequence=2**61,
        revision_age_s=float("inf"),
        loan=Loan(
            lender_slots=SlotSet([1, 95]),
            home_slots=SlotSet([3]),
            candidates=SlotSet(range(96)),
            term_s=8.0,
        ),
    ),
    TokenRequest(
        request_id=1, home_slot=3, demands=[TokenDemand(workspace="w", wanted=2, settled={9: 1})]
    ),
    ServiceReport(
        request_id=1,
        service="s",
        data_centre="d",
        targets=[TargetReport(target="t", latency_counts=[0, 1])],
    ),
]


def envelope(message):
    return Envelope(sender=SENDER, counter=1, message=message)


def fullest_news(instance_count, name="instance-of-a-data-centre"):
    """Return the states of a fleet whose instances all suspect some and saw requests crash."""
    table = PeerTable(own_name="i", heartbeat_s=1.0)
    news = FleetNews(own_name="i", own_data_centre="dc", peer_table=table, random=Random(1))
    for number in range(instance_count):
        state = PeerState(
            name=f"{name}-{number}",
            beat=2**40,
            address="10.100.100.100:7100",
            configuration_version=2**32,
            suspected_names=[f"{name}-{other}" for other in range(8)],
            crash_reports=[(bytes(16), 2**32, 2500)] * 16,
        )
        table.record_state(state, data_centre="dc", heard_s=0.0, now_s=0.0, news_delay_s=0.0)
    return news.complete_news(0.0)


def fullest_digest(name_format="target-{:012}"):
    """Return the parts of the digest of a home whose requests mostly broke connections.

    All of its many targets named a limit, and every other one leaves.
    """
    crashes = CrashStreaks(own_name="front-data-centre-a-100")
    home = ServicePlacement(floor_share=0.7, crashes=crashes)
    home.configure(
        [
            PlacementTarget(
                name=name_format.format(number),
                address=f"10.0.{number % 256}.1:80",
                data_centre="a",
                slot_count=4,
            )
            for number in range(1000)
        ],
        0.0,
    )
    for number in range(1000):
        fingerprint = number.to_bytes(16, "big")
        for call_id in range(3):
            key = (f"front-data-centre-a-{100 + call_id}", 2**62 + call_id)
            crashes.observe(fingerprint, key, Outcome.BROKEN_BEFORE_HEAD, 0.0)
    for number in range(1000):
        notice = TargetNotice(limit_per_s=3.25, is_leaving=number % 2 == 0)
        home.record_notice(("i", number), name_format.format(number), notice, 0.0, 50.0)
    return digest_parts(home.digest("service", 50.0))


class PeerCodecTest(unittest.TestCase):
    """A message that is misread, or accepted from outside the fleet, could grant rights twice."""

    def test_news_of_a_large_fleet_exceed_a_datagram(self):
        """Guards against states of a whole fleet that are never sent, as they exceed the limit."""
        codec = PeerCodec(secret=SECRET)
        for instance_count in (32, 292, 680):
            messages = fullest_news(instance_count)
            sizes = [len(codec.encode(envelope(message))) for message in messages]
            self.assertLessEqual(max(sizes), MAX_DATAGRAM_BYTES)
            found = sum(len(states) for message in messages for states in message.states.values())
            self.assertEqual(found, instance_count)

    def test_fullest_digest_exceeds_a_datagram(self):
        """Guards against a home whose next home learns nothing, as the digest cannot be sent."""
        codec = PeerCodec(secret=SECRET)
        for name_format in ("target-{:012}", "{:0100}", "{:04}" + 32 * "\N{SNOWMAN}"):
            with self.subTest(name_format=name_format):
                parts = fullest_digest(name_format)
                names = {name_format.format(number) for number in range(1000)}
                sizes = [len(codec.encode(envelope(part))) for part in parts]
                self.assertLessEqual(max(sizes), MAX_DATAGRAM_BYTES)
                found = [name for part in parts for name in part.failure_probabilities]
                self.assertEqual(sorted(found), sorted(names))
                limits = {name for part in parts for name in part.limits_per_s}
                self.assertEqual(limits, names)
                self.assertEqual(sum(len(part.leaving) for part in parts), 500)
                self.assertEqual(sum(len(part.crash_streaks) for part in parts), 32)
                self.assertEqual([part.part for part in parts], list(range(len(parts))))

    def test_news_with_names_of_many_bytes(self):
        """Guards against news whose size is estimated by characters, of which some take 4 bytes."""
        codec = PeerCodec(secret=SECRET)
        messages = fullest_news(100, name="\N{OIL DRUM}" * 40)
        sizes = [len(codec.encode(envelope(message))) for message in messages]
        self.assertLessEqual(max(sizes), MAX_DATAGRAM_BYTES)

    def test_progress_of_a_rollout_exceeds_a_datagram(self):
        """Guards against a roll-out that begins anew at the next home, as it has many routes."""
        order = RolloutOrder(service="s", to_version="v2", duration_s=60.0, revision=1)
        limits = RolloutLimits(share=0.1, slack=50.0)
        rollout = Rollout(order=order, limits=limits, ordered_s=0.0, is_age_known=True)
        routes = [f"route-{number:064}" for number in range(2000)]
        rollout.comparison.adopt(
            [(route, number + 1, 0) for number, route in enumerate(routes)],
            [("t" * 100, route, number + 1, 0) for number, route in enumerate(routes)],
            dict.fromkeys(routes, 900),
        )
        progress = rollout.progress(50.0)
        PeerCodec(secret=SECRET).encode(envelope(progress))
        self.assertEqual(progress.old_counts[0], (routes[-1], 2000, 0))
        self.assertEqual(progress.new_counts[0], ("t" * 100, routes[-1], 2000, 0))
        self.assertIn(routes[0], progress.late_after_ms)

    def setUp(self):
        self.codec = PeerCodec(secret=SECRET)

    def test_round_trip(self):
        """Guards against fields lost by the encoding."""
        for message in MESSAGES:
            self.assertEqual(
                self.codec.decode(self.codec.encode(envelope(message))), envelope(message)
            )

    def test_works_in_a_switched_greenlet(self):
        """Guards against a codec that crashes the process outside the main greenlet."""

        def decode_after_switch():
            gevent.sleep(0.001)
            with self.assertRaises(PeerCodecError):
                self.codec.decode(self.forge(b"\xc1"))
            return self.codec.decode(self.codec.encode(envelope(MESSAGES[1])))

        self.assertEqual(gevent.spawn(decode_after_switch).get(), envelope(MESSAGES[1]))

    def test_other_secret(self):
        """Guards against accepting messages from outside the fleet."""
        datagram = PeerCodec(secret=b"another secret of thirty-two byte").encode(
            envelope(MESSAGES[0])
        )
        with self.assertRaises(AuthenticationError):
            self.codec.decode(datagram)

    def test_every_changed_bit_and_truncation(self):
        """Guards against accepting messages that were altered or truncated in transit."""
        datagram = self.codec.encode(envelope(MESSAGES[1]))
        for index in range(len(datagram)):
            changed = bytearray(datagram)
            changed[index] ^= 1
            with self.assertRaises(PeerCodecError):
                self.codec.decode(bytes(changed))
            with self.assertRaises(PeerCodecError):
                self.codec.decode(datagram[:index])

    def test_too_large(self):
        """Guards against datagrams that the receiver would truncate."""
        with self.assertRaises(PeerCodecError):
            self.codec.encode(envelope(Exchange(sequence=1, peer_address="x" * MAX_DATAGRAM_BYTES)))

    @given(st.binary(max_size=300))
    @settings(max_examples=500, deadline=None, derandomize=True)
    def test_authentic_garbage(self, payload):
        """Guards against a faulty peer that crashes the receiver with an untyped error."""
        try:
            self.codec.decode(self.forge(payload))
        except PeerCodecError:
            return

    @given(st.sampled_from(MESSAGES), st.integers(0, 10_000), st.binary(min_size=1, max_size=4))
    @settings(max_examples=500, deadline=None, derandomize=True)
    def test_authentic_message_with_changed_bytes(self, message, position, replacement):
        """Guards against nearly valid messages that raise an untyped error."""
        payload = bytearray(self.codec.encode(envelope(message))[MAC_BYTES:])
        start = position % len(payload)
        payload[start : start + len(replacement)] = replacement
        try:
            self.codec.decode(self.forge(bytes(payload)))
        except PeerCodecError:
            return

    def forge(self, payload):
        return self.codec._mac(payload) + payload


class ReplayGuardTest(unittest.TestCase):
    """A replayed message could settle, grant or release a right a second time."""

    def setUp(self):
        self.guard = ReplayGuard()

    def test_each_counter_once_in_any_order(self):
        """Guards against replays, and against dropping messages that arrive out of order."""
        for counter in (1, 3, 2, REPLAY_WINDOW_BITS):
            self.assertTrue(self.guard.accept(SENDER, counter))
            self.assertFalse(self.guard.accept(SENDER, counter))

    def test_older_than_the_window(self):
        """Guards against replays of messages older than the window."""
        self.assertTrue(self.guard.accept(SENDER, REPLAY_WINDOW_BITS + 5))
        self.assertFalse(self.guard.accept(SENDER, 5))
        self.assertTrue(self.guard.accept(SENDER, 6))

    def test_earlier_incarnation(self):
        """Guards against messages of an earlier incarnation of the sender."""
        later = InstanceIncarnation(instance_id=SENDER.instance_id, incarnation=8)
        self.assertTrue(self.guard.accept(later, 1))
        self.assertFalse(self.guard.accept(SENDER, 2))


if __name__ == "__main__":
    unittest.main()
