"""Tests of answers with malformed or cut heads, from the store and from other instances."""

import contextlib
import socketserver
import threading
import unittest
from unittest import mock

import msgspec
from tanagerreach_core.messages import InstanceIncarnation
from tanagerreachd._fleet_status import FleetCollector, KnownInstance
from tanagerreachd._peer_http import MAC_HEADER, PeerAuthenticator, PeerHttpClient
from tanagerreachd._store_client import HttpStore, ResponseLostError, StoreUnavailableError
from tanagerreachd.gateway._peer_state import OPERATOR_PATH, PeerStateClient

MALFORMED_LINES = (
    b"Odd Name: x",
    b"Odd-Name : x",
    b"Odd\x01Name: x",
    b"Odd\rName: x",
    b"Odd-Name: x\rServer: y",
    b"From Odd: x",
    b": x",
    b"Odd-Name",
)
AUTHENTICATOR = PeerAuthenticator(secret=b"secret")


class _RawAnswer(socketserver.StreamRequestHandler):
    """Sends the server's answer to one request, and closes the connection."""

    def handle(self):
        fields = {}
        self.rfile.readline()
        while (line := self.rfile.readline()) not in (b"", b"\r\n"):
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.lower()] = value.strip()
        self.rfile.read(int(fields.get("content-length", 0)))
        with contextlib.suppress(OSError):
            self.wfile.write(self.server.answer(fields))


class MalformedAnswerTest(unittest.TestCase):
    """An answer whose head holds a malformed line is no answer, whoever sends it."""

    def setUp(self):
        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), _RawAnswer)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def set_answer(self, body, *, line=None, fields=lambda _received: b""):
        """Set the server's answer.

        :param line: malformed line at the end of the head.
        :param fields: returns further fields of the head, from those of the request.
        """
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n" % len(body)
        end = b"\r\n" if line is None else line + b"\r\n\r\n"
        self.server.answer = lambda received: head + fields(received) + end + body

    def test_answer_of_the_store_is_read(self):
        """Guards against a value, or the result of a write, with a head that is not understood."""
        store = HttpStore(base_url=f"http://{self.address}")
        self.addCleanup(store.close)
        body = b'{"value": "eA==", "revision": 4}'
        for line in MALFORMED_LINES:
            self.set_answer(body, line=line)
            with self.subTest(line=line, call="read"), self.assertRaises(StoreUnavailableError):
                store.read("k")
            with self.subTest(line=line, call="write"), self.assertRaises(ResponseLostError):
                store.compare_and_swap("k", b"x", 3)
        self.set_answer(body)
        self.assertEqual(store.read("k").revision, 4)
        self.assertEqual(store.compare_and_swap("k", b"x", 3), 4)

    def test_cut_head_renews_a_lease(self):
        """Guards against the status of an answer whose head is cut, with the fields behind it."""
        store = HttpStore(base_url=f"http://{self.address}")
        self.addCleanup(store.close)
        answer = b"HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 0\r\n\r\n"
        for length in range(len(answer)):
            self.server.answer = lambda _received, length=length: answer[:length]
            with self.subTest(length=length), self.assertRaises(ResponseLostError):
                store.renew_lease("l")
        self.server.answer = lambda _received: answer
        self.assertTrue(store.renew_lease("l"))

    def test_malformed_chunks_renew_a_lease(self):
        """Guards against an answer whose body does not end as its chunks tell."""
        store = HttpStore(base_url=f"http://{self.address}")
        self.addCleanup(store.close)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        for body in (
            *(b"+2\r\n{}\r\n0\r\n\r\n", b"2\r\n{}!!0\r\n\r\n", b"2\r\n{}\r\n-0\r\n\r\n"),
            *(b"2\r\n{}\r\n0\r\nOdd Name: x\r\n\r\n", b"2\r\n{}\r\n0\r\n"),
        ):
            self.server.answer = lambda _received, body=body: head + body
            with self.subTest(body=body), self.assertRaises(ResponseLostError):
                store.renew_lease("l")
        self.server.answer = lambda _received: head + b"2\r\n{}\r\n0\r\n\r\n"
        self.assertTrue(store.renew_lease("l"))

    def test_listing_of_a_peer_is_read(self):
        """Guards against state with a head that is not understood."""
        client = PeerStateClient(addresses=lambda: [self.address], log=mock.Mock())
        body = msgspec.msgpack.encode([[], 48])
        for line in MALFORMED_LINES:
            self.set_answer(body, line=line)
            with self.subTest(line=line):
                self.assertIsNone(client.read(OPERATOR_PATH))
        self.set_answer(body)
        self.assertEqual(client.read(OPERATOR_PATH).revision, 48)

    def test_content_of_a_peer_is_read(self):
        """Guards against configuration with a head that is not understood."""
        identity = InstanceIncarnation(instance_id="i-1", incarnation=1)
        client = PeerHttpClient(identity=identity, authenticator=AUTHENTICATOR)

        def mac(received):
            value = AUTHENTICATOR.mac(received[MAC_HEADER.lower()].encode(), b"content")
            return f"{MAC_HEADER}: {value}\r\n".encode()

        for line in MALFORMED_LINES:
            self.set_answer(b"content", line=line, fields=mac)
            with self.subTest(line=line):
                self.assertIsNone(client.fetch_content(self.address, "head"))
        self.set_answer(b"content", fields=mac)
        self.assertEqual(client.fetch_content(self.address, "head"), b"content")

    def test_status_of_a_peer_is_read(self):
        """Guards against the status of an instance with a head that is not understood."""
        peer = KnownInstance(name="i-2", operator_address=self.address, heard_age_s=0.1)
        collector = FleetCollector(provider=mock.Mock(), credential="c")
        for line in MALFORMED_LINES:
            self.set_answer(b"{}", line=line)
            with self.subTest(line=line):
                self.assertIn("no complete answer", collector._fetch_member(peer).error)
        self.set_answer(b"{}")
        self.assertIn("another kind of document", collector._fetch_member(peer).error)


if __name__ == "__main__":
    unittest.main()
