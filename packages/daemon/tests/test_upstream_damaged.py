"""Tests of the upstream client against targets whose responses are cut, repeated or endless."""

import itertools
import resource
import unittest

import gevent
from scripted_target import EndlessTarget, ScriptedTarget
from tanagerreachd._upstream import TargetDialect, UpstreamClient, UpstreamRequest
from tanagerreachd._upstream_errors import LoadShedError, UpstreamError, WrongTargetError

SEAL = b"Seal: x\r\n"
ID = b"Request-Id: {id}\r\n"
TIME_LIMIT_S = 2.0
# An endless response has to end well before the process would be killed for its memory.
MEMORY_LIMIT_KIB = 40 * 1024


def sheds_load(status, headers):
    return status == 421 or "Load-Shed" in headers


DIALECTS = {
    "own": TargetDialect(),
    "platform": TargetDialect(
        sheds_load=sheds_load,
        accepts_unframed=True,
        max_foreign_responses=2,
        requires_request_id=True,
        success_header="Seal",
        accepts_encoded=False,
    ),
}
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Content-Length: 2\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Content-Length: 0\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Transfer-Encoding: chunked\r\n\r\n",
    "length last": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + SEAL + ID + b"\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Connection: close\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n" + ID + SEAL + b"\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\n" + ID + b"\r\n",
    "error": b"HTTP/1.1 500 Error\r\n" + ID + b"Content-Length: 0\r\n\r\n",
    "shed": b"HTTP/1.1 503 Full\r\nLoad-Shed: not-started\r\n" + ID + b"Content-Length: 0\r\n\r\n",
    "wrong target": b"HTTP/1.1 421 Wrong\r\nLoad-Shed: not-started\r\n"
    + ID
    + b"Content-Length: 0\r\n\r\n",
    "interim": b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
    + ID
    + SEAL
    + b"Content-Length: 0\r\n\r\n",
}
OK = b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Content-Length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 Full\r\nLoad-Shed: not-started\r\nContent-Length: 0\r\n\r\n"
WRONG_TARGET = b"HTTP/1.1 421 Wrong\r\nLoad-Shed: not-started\r\nContent-Length: 0\r\n\r\n"


class DamagedResponseTest(unittest.TestCase):
    """What a target sends is a response to the request only if all of it arrived."""

    def client(self, dialect):
        client = UpstreamClient(
            connect_timeout_s=0.5, idle_timeout_s=1.0, dialect=DIALECTS[dialect]
        )
        self.addCleanup(client.close)
        return client

    def target(self, *scripts):
        target = ScriptedTarget(*scripts)
        self.addCleanup(target.stop)
        return target

    def send(self, client, target, *, method="GET", request_id="r1"):
        """Send a request, and read the whole response."""
        response = client.send(
            target="t",
            address=target.address,
            request=UpstreamRequest(
                method=method,
                target_path="/a",
                headers={"Request-Id": request_id},
                body=None,
                request_id=request_id,
            ),
            time_limit_s=TIME_LIMIT_S,
        )
        body = response.body if response.stream is None else b"".join(response.stream)
        return response.status, body

    def test_answer_cut_in_its_head_is_passed_on(self):
        """Guards against a whole response, or a refusal, that is made of a cut head.

        Each head is cut at each of its bytes, and the connection closed.
        """
        for dialect, (kind, head), method in itertools.product(
            DIALECTS, HEADS.items(), ("GET", "HEAD")
        ):
            client = self.client(dialect)
            for length in range(len(head)):
                with self.subTest(dialect=dialect, kind=kind, method=method, length=length):
                    target = self.target([head[:length], None])
                    with self.assertRaises(UpstreamError) as caught:
                        self.send(client, target, method=method)
                    self.assertTrue(caught.exception.may_have_started)
                    target.stop()

    def test_answer_cut_in_its_chunks_is_passed_on(self):
        """Guards against a cut line of a chunk that looks like the last chunk."""
        body = b"0002\r\nok\r\n0002\r\nok\r\n0000\r\nTrailer: x\r\n\r\n"
        for dialect in DIALECTS:
            client = self.client(dialect)
            for length in range(len(body)):
                with self.subTest(dialect=dialect, length=length):
                    target = self.target([HEADS["chunked"], 0.002, body[:length], None])
                    with self.assertRaises(UpstreamError):
                        self.send(client, target)
                    target.stop()
            self.assertEqual(
                self.send(client, self.target([HEADS["chunked"], body])), (200, b"okok")
            )

    def test_refusal_repeated_on_a_kept_connection_is_believed(self):
        """Guards against 'not run' for a request that runs, by the refusal of another request.

        The refusal arrives before or after the request is sent, with or without an identifier, and
        the response to the request follows, or the connection closes.
        """
        foreign = b"Request-Id: other\r\nContent-Length: 0"
        for dialect, refusal in (("own", SHED), ("platform", SHED), ("platform", WRONG_TARGET)):
            for repeated in (refusal, refusal.replace(b"Content-Length: 0", foreign)):
                for ending in (OK, None):
                    with self.subTest(dialect=dialect, repeated=repeated, ending=ending):
                        client = self.client(dialect)
                        target = self.target([OK], [repeated, 0.01, ending])
                        self.assertEqual(self.send(client, target), (200, b"ok"))
                        try:
                            status, body = self.send(client, target, request_id="r2")
                        except UpstreamError as error:
                            self.assertTrue(error.may_have_started)
                        else:
                            self.assertEqual((status, body), (200, b"ok"))

    def test_refusal_on_a_new_connection_is_believed(self):
        """Guards against a refusal without an identifier that is never retried."""
        for dialect in DIALECTS:
            with self.assertRaises(LoadShedError):
                self.send(self.client(dialect), self.target([SHED]))
        with self.assertRaises(WrongTargetError):
            self.send(self.client("platform"), self.target([WRONG_TARGET]))

    def test_endless_answer_ends(self):
        """Guards against bytes without end that stop or exhaust an instance."""
        chunked = HEADS["chunked"].replace(b"{id}", b"r1")
        foreign = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
        cases = {
            "status line": (b"", b"x"),
            "status line of HTTP": (b"HTTP/1.1 200 ", b"x"),
            "header line": (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
            "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: " + b"x" * 1000 + b"\r\n"),
            "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
            "100 responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "headers of interim": (b"HTTP/1.1 102 Processing\r\n", b"X: y\r\n"),
            "chunk line": (chunked, b"1"),
            "chunk extension": (chunked + b"2;", b"x"),
            "trailers": (chunked + b"0\r\n", b"X: y\r\n"),
            "chunks": (chunked, b"2\r\nok\r\n"),
            "large chunk": (chunked + b"fffffffffff\r\n", b"x"),
            "length": (
                OK.partition(b"Content")[0].replace(b"{id}", b"r1")
                + b"Content-Length: 99999999999999\r\n\r\n",
                b"x",
            ),
            "unframed": (HEADS["unframed"].replace(b"{id}", b"r1"), b"x"),
            "foreign length": (foreign + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
            "foreign chunks": (foreign + b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\nok\r\n"),
            "foreign responses": (b"", foreign + b"Content-Length: 0\r\n\r\n"),
        }
        for dialect, (kind, (beginning, repeated)) in itertools.product(DIALECTS, cases.items()):
            with self.subTest(dialect=dialect, kind=kind):
                target = EndlessTarget(beginning, repeated)
                self.addCleanup(target.stop)
                before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                with (
                    gevent.Timeout(2 * TIME_LIMIT_S, AssertionError("the answer does not end")),
                    self.assertRaises(UpstreamError),
                ):
                    self.read_in_parts(self.client(dialect), target)
                used_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kib
                self.assertLess(used_kib, MEMORY_LIMIT_KIB)
                gevent.sleep(0.05)
                self.assertTrue(target.is_closed)

    def read_in_parts(self, client, target):
        response = client.send(
            target="t",
            address=target.address,
            request=UpstreamRequest(
                method="GET",
                target_path="/a",
                headers={"Request-Id": "r1"},
                body=None,
                request_id="r1",
            ),
            time_limit_s=TIME_LIMIT_S,
        )
        if response.stream is not None:
            for _ in response.stream:
                pass


if __name__ == "__main__":
    unittest.main()
