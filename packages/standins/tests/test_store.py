"""Tests of the store stand-in, run as a process."""

import http.client
import json
import threading
import time
import unittest

import urllib3
from tanagerreach_standins.processes import ProcessGroup


class Response:
    """Status and JSON body of a response."""

    def __init__(self, status, content):
        self.status = status
        self.content = content


class StoreTest(unittest.TestCase):
    """The stand-in follows the rules of the platform's store.

    A stand-in with other rules would hide faults of the instances that use it.
    """

    @classmethod
    def setUpClass(cls):
        """Start one store."""
        group = ProcessGroup()
        cls.addClassCleanup(group.stop_all)
        cls.store = group.start_standin("store")
        cls.pool = urllib3.PoolManager(maxsize=8)
        cls.addClassCleanup(cls.pool.clear)

    def setUp(self):
        """Switch all faults off."""
        self.control(
            mode="up", lose_answers=0, lag_s=0.0, writes_per_s=0, reads_per_s=0, delay_s=0.5
        )

    def control(self, **changes):
        """Change fault switches of the store."""
        return self.store.call("PUT", "/control/state", changes)

    def call(self, method, path, json=None, revision=None, timeout_s=10):
        """Make a call and return its status with the decoded body."""
        headers = {} if revision is None else {"If-Revision": str(revision)}
        response = self.pool.request(
            method,
            self.store.url + path,
            json=json,
            headers=headers,
            retries=False,
            timeout=timeout_s,
        )
        return Response(response.status, response.json() if response.data else None)

    def put(self, key, value="YQ==", revision=0, lease=None):
        """Write a key."""
        return self.call("PUT", f"/v1/kv/{key}", {"value": value, "lease": lease}, revision)

    def test_compare_and_swap(self):
        """Guards against a write that overwrites that of another writer."""
        first = self.put("cas/a/b").content["revision"]
        conflict = self.put("cas/a/b", revision=first + 5)
        self.assertEqual((conflict.status, conflict.content), (409, {"revision": first}))
        self.assertEqual(self.put("cas/a/b").status, 409)
        second = self.put("cas/a/b", "Yg==", first).content["revision"]
        self.assertGreater(second, first)
        read = self.call("GET", "/v1/kv/cas/a/b").content
        self.assertEqual(read, {"revision": second, "value": "Yg=="})
        self.assertEqual(self.call("DELETE", "/v1/kv/cas/a/b", revision=first).status, 409)
        self.assertEqual(self.call("DELETE", "/v1/kv/cas/a/b", revision=second).status, 200)
        self.assertEqual(self.call("GET", "/v1/kv/cas/a/b").status, 404)
        self.assertEqual(self.call("PUT", "/v1/kv/cas/a/b", {"value": ""}).status, 400)

    def test_one_of_many_writers_wins(self):
        """Guards against two writers that both succeed in creating a key."""
        statuses = []
        threads = [
            threading.Thread(target=lambda: statuses.append(self.put("race").status))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(statuses), [200] + [409] * 7)

    def test_prefix_list(self):
        """Guards against listed keys that don't have the prefix."""
        for key in ("list/b", "list/a", "lists"):
            self.put(key)
        entries = self.call("GET", "/v1/kv?prefix=list/").content["entries"]
        self.assertEqual([entry["key"] for entry in entries], ["list/a", "list/b"])

    def test_watch_reports_writes_and_deletes(self):
        """Guards against a missed change, and against a watch that counts as several calls."""
        revision = self.put("watched").content["revision"]
        before = self.store.call("GET", "/control/counts")["calls"].get("watch", 0)
        idle = self.call("GET", f"/v1/watch/watched?after={revision}&timeout_s=0.1")
        self.assertEqual(idle.status, 204)
        write = threading.Timer(0.1, self.put, ("watched", "Yg==", revision))
        write.start()
        changed = self.call("GET", f"/v1/watch/watched?after={revision}&timeout_s=5")
        write.join()
        self.assertEqual((changed.status, changed.content["value"]), (200, "Yg=="))
        revision = changed.content["revision"]
        self.call("DELETE", "/v1/kv/watched", revision=revision)
        deleted = self.call("GET", f"/v1/watch/watched?after={revision}&timeout_s=5")
        self.assertEqual(deleted.status, 404)
        after = deleted.content["revision"]
        idle = self.call("GET", f"/v1/watch/watched?after={after}&timeout_s=0.1")
        self.assertEqual(idle.status, 204)
        counts = self.store.call("GET", "/control/counts")["calls"]
        self.assertEqual(counts["watch"] - before, 4)

    def test_keys_are_deleted_with_their_lease(self):
        """Guards against a slot that stays with a holder whose lease has expired."""
        lease = self.call("POST", "/v1/leases", {"ttl_s": 0.3}).content["lease"]
        revision = self.put("leased", lease=lease).content["revision"]
        time.sleep(0.2)
        self.assertEqual(self.call("PUT", f"/v1/leases/{lease}").status, 200)
        time.sleep(0.2)
        self.assertEqual(self.call("GET", "/v1/kv/leased").status, 200)
        deleted = self.call("GET", f"/v1/watch/leased?after={revision}&timeout_s=5")
        self.assertEqual(deleted.status, 404)
        self.assertEqual(self.call("PUT", f"/v1/leases/{lease}").status, 404)
        self.assertEqual(self.put("leased", lease=lease).status, 410)
        lease = self.call("POST", "/v1/leases", {"ttl_s": 60}).content["lease"]
        self.put("leased", lease=lease)
        self.assertEqual(self.call("DELETE", f"/v1/leases/{lease}").status, 200)
        self.assertEqual(self.call("GET", "/v1/kv/leased").status, 404)

    def test_lost_response_keeps_the_write(self):
        """Guards against a write that is lost together with its response."""
        self.control(lose_answers=1)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.put("lost")
        self.assertEqual(self.call("GET", "/v1/kv/lost").status, 200)
        self.assertEqual(self.put("lost2").status, 200)

    def test_outages(self):
        """Guards against a store that responds in mode down or hang, or without delay in slow."""
        self.control(mode="down")
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call("GET", "/v1/kv/any")
        self.control(mode="hang")
        with self.assertRaises(urllib3.exceptions.TimeoutError):
            self.call("GET", "/v1/kv/any", timeout_s=0.2)
        self.control(mode="slow", delay_s=0.3)
        started_at_s = time.monotonic()
        self.assertEqual(self.call("GET", "/v1/kv/any").status, 404)
        self.assertGreaterEqual(time.monotonic() - started_at_s, 0.3)

    def test_outage_ends_a_waiting_watch(self):
        """Guards against a watch that keeps waiting when the store goes down."""
        connection = http.client.HTTPConnection(self.store.address, timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", "/v1/watch/quiet?after=0&timeout_s=20")
        time.sleep(0.1)
        self.control(mode="down")
        with self.assertRaises((OSError, http.client.HTTPException)):
            connection.getresponse()

    def test_instances_lag(self):
        """Guards against a list of instances without the lag of the platform's store."""
        self.control(lag_s=0.4)
        change = {"peer_address": "127.0.0.1:1", "state": "leaving"}
        self.call("PUT", "/v1/instances/i1", change)
        self.assertEqual(self.call("GET", "/v1/instances").content, {"instances": []})
        time.sleep(0.45)
        listed = self.call("GET", "/v1/instances").content["instances"]
        self.assertEqual(listed, [{"name": "i1", **change}])

    def test_initial_content(self):
        """Guards against a store that starts without the content of ``--content``."""
        with ProcessGroup() as group:
            content = group.log_directory / "content.json"
            instance = {"name": "i1", "peer_address": "127.0.0.1:1", "state": "live"}
            content.write_text(json.dumps({"entries": {"a/b": "YQ=="}, "instances": [instance]}))
            store = group.start_standin("store", content=content, lag_s=5)
            self.assertEqual(store.call("GET", "/v1/kv/a/b")["value"], "YQ==")
            self.assertEqual(store.call("GET", "/v1/instances"), {"instances": [instance]})

    def test_limits(self):
        """Guards against a store with a higher rate limit or value size than the platform's."""
        self.control(writes_per_s=5)
        statuses = [self.put(f"limited/{number}").status for number in range(12)]
        self.assertIn(statuses.count(200), (5, 6))
        self.control(writes_per_s=0)
        largest = "A" * (1_000_000 // 3 * 4)
        self.assertEqual(self.put("large", largest).status, 200)
        self.assertEqual(self.put("larger", largest + "AAAAAAAA").status, 413)
