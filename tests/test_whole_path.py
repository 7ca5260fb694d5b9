"""Requests from caller to backend server through separate processes."""

import unittest

from fleet_case import KEY, WITHDRAWN_KEY, FleetCase


class WholePathTest(FleetCase):
    """A fleet without faults."""

    def test_request_is_answered_without_the_key(self):
        """Guards against forwarding a caller's key to a backend server."""
        for instance in self.fleet.instances:
            response = self.get(instance)
            self.assertEqual(response.status, 200, response.body)
        entries = self.ledger()
        self.assertTrue(entries)
        self.assertFalse(any(entry["had_authorization"] for entry in entries))

    def test_wrong_keys_do_not_run(self):
        """Guards against running requests without a valid key."""
        before = len(self.ledger())
        for key in (None, "no-such-key-0123456789", WITHDRAWN_KEY, "a b", "x"):
            response = self.get(self.fleet.instances[1], key=key)
            self.assertEqual(response.status, 401, key)
            self.assertEqual(response.executed, "not-run")
        self.assertEqual(len(self.ledger()), before)

    def test_idempotency_key_runs_once(self):
        """Guards against a second run of a reservation that is resent to another instance."""
        headers = {"Idempotency-Key": "reservation-1"}
        first, second = (
            self.fleet.request(
                instance, "POST", "/catalogue/reserve", key=KEY, headers=headers, body=b"x"
            )
            for instance in self.fleet.instances[:2]
        )
        self.assertEqual(first.status, 200, first.body)
        self.assertEqual(second.status, 409, second.body)
        self.assertEqual(second.executed, "unknown")
        posts = [entry for entry in self.ledger() if entry["path"] == "/catalogue/reserve"]
        self.assertEqual(len(posts), 1)

    def test_unknown_route(self):
        """Guards against requests that reach a target although no route matches."""
        for path in ("/nowhere", "/catalogue/../admin", "/catalogue/%2e%2e/admin"):
            response = self.get(self.fleet.instances[0], path=path)
            self.assertIn(response.status, (400, 404), path)
            self.assertEqual(response.executed, "not-run")


if __name__ == "__main__":
    unittest.main()
