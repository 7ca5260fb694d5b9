"""Tests of log output to a reader that is slow, stopped or closed."""

import os
import time
import unittest

import gevent
from tanagerreachd._line_stream import MAX_WAITING_BYTES, LineStream


class LineStreamTest(unittest.TestCase):
    """A stream that writes to a pipe."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.stream = LineStream(self.writer)
        self.addCleanup(self.stream.close)

    def test_lines_arrive_in_order(self):
        """Guards against lines that are lost or reordered."""
        for number in range(100):
            self.stream.write(f"line {number}\n")
        gevent.sleep(0.05)
        received = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual(received, [f"line {number}" for number in range(100)])

    def test_stopped_reader_blocks_nobody(self):
        """Guards against a stopped log reader that blocks requests or makes memory grow."""
        line = "x" * 1023 + "\n"
        started_s = time.monotonic()
        for _ in range(2000):
            self.stream.write(line)
            gevent.sleep(0)
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.assertGreater(self.stream.dropped_count, 1000)
        self.assertLessEqual(self.stream._waiting_bytes, MAX_WAITING_BYTES)
        text = b""
        for _ in range(200):
            gevent.sleep(0.005)
            os.set_blocking(self.reader, False)
            try:
                text += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                continue
        self.assertIn(b"log lines dropped", text)

    def test_gone_reader_is_survived(self):
        """Guards against a closed log reader that ends the writing greenlet."""
        os.close(self.reader)
        self.stream.write("a\n")
        gevent.sleep(0.02)
        self.stream.write("b\n")
        gevent.sleep(0.02)
        self.assertFalse(self.stream._greenlet.dead)


if __name__ == "__main__":
    unittest.main()
