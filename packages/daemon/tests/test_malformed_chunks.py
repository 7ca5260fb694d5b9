"""Tests of the upstream client against targets that send malformed chunks."""

import itertools
import unittest

from scripted_target import ScriptedTarget
from tanagerreachd._upstream import UpstreamClient, UpstreamRequest
from tanagerreachd._upstream_errors import IncompleteResponseError

TIME_LIMIT_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
MALFORMED_SIZES = (
    *(b"+2", b"-1", b"-2", b"0x2", b"0X2", b"0_2", b" 2", b"\t2", b"2\r", b"2\x0b", b"2\x0c"),
    *(b"2\x00", b"", b"z", b"2 2", b"2;a\x00b", b"2;a\rb", b"2\x00;a", b"1" + 15 * b"0"),
)
MALFORMED_LAST_SIZES = (b"-0", b"+0", b"0x0", b"0_0", b" 0", b"0\r", b"0\x0b", b"0;\x00")
# Data behind which the line does not end: longer than its size, or with another end.
MALFORMED_DATA = (b"okXX", b"okay", b"ok\n\r", b"ok\r\r", b"ok\n\n", b"ok\x00\x00", b"ok  ")
MALFORMED_TRAILERS = (
    *(b"Odd Name: x", b"Odd-Name : x", b"Odd\x01Name: x", b"Odd-Name", b": x", b" x"),
    *(b"From Odd: x", b"Odd-Name: x\ry"),
)
# The first is read before any of it is forwarded, the second is forwarded in parts.
BEGINNINGS = {"small": b"", "large": b"".join(b"8000\r\n" + b"x" * 0x8000 + b"\r\n" for _ in "abc")}


class MalformedChunksTest(unittest.TestCase):
    """A chunked body with a line that is not HTTP is no whole body."""

    def read(self, body):
        """Return the body of a response that was taken for whole."""
        # The connection stays open, so that only the bytes decide.
        target = ScriptedTarget([HEAD, 0.002, body])
        self.addCleanup(target.stop)
        client = UpstreamClient(connect_timeout_s=0.5, idle_timeout_s=1.0)
        self.addCleanup(client.close)
        request = UpstreamRequest(
            method="GET", target_path="/", headers={"Host": "x"}, body=None, request_id="r1"
        )
        request.headers["Request-Id"] = "r1"
        response = client.send(
            target="t", address=target.address, request=request, time_limit_s=TIME_LIMIT_S
        )
        return response.body if response.stream is None else b"".join(response.stream)

    def assert_incomplete(self, bodies):
        for (kind, beginning), body in itertools.product(BEGINNINGS.items(), bodies):
            with self.subTest(kind=kind, body=body), self.assertRaises(IncompleteResponseError):
                self.read(beginning + body)

    def test_malformed_size_makes_a_body(self):
        """Guards against sizes that ``int`` takes for hexadecimal numbers."""
        sized = (size + b"\r\nok\r\n" + LAST_CHUNK for size in MALFORMED_SIZES)
        self.assert_incomplete(sized)
        self.assert_incomplete(size + b"\r\n\r\n" for size in MALFORMED_LAST_SIZES)

    def test_bytes_behind_a_chunk_are_skipped(self):
        """Guards against a body without the bytes that its target sent beyond a chunk's size."""
        self.assert_incomplete(b"2\r\n" + data + LAST_CHUNK for data in MALFORMED_DATA)

    def test_malformed_trailer_is_skipped(self):
        """Guards against a body behind which its target sends something else."""
        self.assert_incomplete(
            b"2\r\nok\r\n0\r\n" + line + b"\r\n\r\n" for line in MALFORMED_TRAILERS
        )

    def test_well_formed_chunks_are_refused(self):
        """Guards against a check that refuses chunks which targets may send."""
        for (kind, beginning), chunks in itertools.product(
            BEGINNINGS.items(),
            (
                b"2\r\nok\r\n" + LAST_CHUNK,
                b"0002\r\nok\r\n0000\r\n\r\n",
                b'2;name=value;other="a b"\r\nok\r\n0;last\r\n\r\n',
                b"2 ; name = value\r\nok\r\n" + LAST_CHUNK,
                b"2 \r\nok\r\n" + LAST_CHUNK,
                b"1\r\no\r\n1\r\nk\r\n" + LAST_CHUNK,
                b"2\r\nok\r\n0\r\nTrailer: x\r\nOther: a\r\n b\r\n\r\n",
                20 * b"0" + b"2\r\nok\r\n" + LAST_CHUNK,
                b"2\nok\r\n0\n\n",
            ),
        ):
            with self.subTest(kind=kind, chunks=chunks):
                body = self.read(beginning + chunks)
                self.assertEqual(body, b"x" * (len(beginning) // 0x8000 * 0x8000) + b"ok")


if __name__ == "__main__":
    unittest.main()
