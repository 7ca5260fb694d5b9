"""Tests of the registry of crash requests."""

import unittest

from tanagerreach_core.traffic import CrashRequestRegistry, fingerprint


def key(**changes):
    """Return a fingerprint that differs from the default one by the given fields."""
    fields = {"workspace": "w", "route": "r", "method": "GET", "path": "/a", **changes}
    return fingerprint(**fields)


class FingerprintTest(unittest.TestCase):
    """A fingerprint identifies a request that its caller sends again."""

    def test_fields_separate_requests(self):
        """Guards against harmless requests refused for sharing a crash request's fingerprint."""
        prints = {
            key(),
            key(workspace="wr", route=""),
            key(workspace="x"),
            key(method="POST"),
            key(path="/b"),
            key(body_hash=b"1"),
            key(idempotency_key="1"),
        }
        self.assertEqual(len(prints), 7)

    def test_key_outranks_body(self):
        """Guards against a retry with the same key that is not recognised."""
        self.assertEqual(
            key(idempotency_key="k", body_hash=b"1"), key(idempotency_key="k", body_hash=b"2")
        )


class RegistryTest(unittest.TestCase):
    """A crash request is refused after two targets, for 60 s, on every instance."""

    def setUp(self):
        self.registry = CrashRequestRegistry(max_entries=10)

    def test_refused_after_two_targets_for_60_s(self):
        """Guards against a third crashed target, and against a refusal that does not end."""
        self.registry.record_break(key(), "a", 0.0)
        self.registry.record_break(key(), "a", 1.0)
        self.assertFalse(self.registry.is_refused(key(), 1.0))
        self.registry.record_break(key(), "b", 2.0)
        self.assertTrue(self.registry.is_refused(key(), 61.9))
        self.assertFalse(self.registry.is_refused(key(), 62.0))

    def test_response_clears_suspicion(self):
        """Guards against a harmless request refused because two targets were restarted."""
        self.registry.record_break(key(), "a", 0.0)
        self.registry.record_response(key())
        self.registry.record_break(key(), "b", 1.0)
        self.assertFalse(self.registry.is_refused(key(), 1.0))

    def test_notices_merge_targets(self):
        """Guards against a caller that crashes one target through each instance."""
        other = CrashRequestRegistry()
        notice = other.record_break(key(), "b", 500.0)
        self.registry.record_break(key(), "a", 0.0)
        self.assertTrue(self.registry.merge(notice, 1.0))
        self.assertTrue(self.registry.is_refused(key(), 1.0))
        self.assertFalse(self.registry.merge(notice, 2.0))

    def test_notices_are_repeated(self):
        """Guards against a lost notice, and endless notices of a crashed target's requests."""
        self.registry.record_break(key(), "a", 0.0)
        self.registry.record_break(key(), "b", 0.0)
        for index in range(3):
            self.registry.record_break(key(path=f"/{index}"), "a", 1.0)
        self.assertEqual(len(self.registry.notices(2.0)), 4)
        self.assertEqual(len(self.registry.notices(2.0, limit=2)), 2)
        self.assertEqual([notice.fingerprint for notice in self.registry.notices(30.0)], [key()])

    def test_notices_do_not_circulate_for_ever(self):
        """Guards against a refusal that instances extend without end by relaying it."""
        registries = [CrashRequestRegistry(), CrashRequestRegistry()]
        registries[0].record_break(key(), "a", 0.0)
        registries[0].record_break(key(), "b", 0.0)
        now_s = 0.0
        while any(registry.is_refused(key(), now_s) for registry in registries):
            now_s += 0.5
            for sender, receiver in (registries, registries[::-1]):
                for notice in sender.notices(now_s):
                    receiver.merge(notice, now_s + 0.4)
            self.assertLess(now_s, 70.0)

    def test_memory_is_bounded_and_keeps_refusals(self):
        """Guards against memory that grows, and refusals evicted by new crash suspects."""
        self.registry.record_break(key(), "a", 0.0)
        self.registry.record_break(key(), "b", 0.0)
        for index in range(50):
            self.registry.record_break(key(path=f"/{index}"), "a", 1.0)
        self.assertEqual(len(self.registry), 10)
        self.assertTrue(self.registry.is_refused(key(), 1.0))
