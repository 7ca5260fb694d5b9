"""Bodies of callers that stall while a target gets them."""

import unittest

import gevent
from gevent import socket
from tanagerreachd._caller_body import CallerBody
from tanagerreachd._http_server import BoundedInput

FIRST_PART = b"first part;"
REST = b"0123456789"
NEXT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


class TryTimeout(BaseException):
    """Ends a try, as the timers of the client of targets do."""


class CallerBodyTest(unittest.TestCase):
    """A body that is sent again has to be the same."""

    def setUp(self):
        self.caller, connection = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(connection.close)
        length = len(FIRST_PART) + len(REST)
        self.body = CallerBody(
            stream=BoundedInput(connection.makefile("rb"), length),
            content_length=length,
            chunked=False,
            limit_bytes=1000,
            part_time_limit_s=2.0,
            buffered_bytes=len(FIRST_PART),
        )
        self.caller.sendall(FIRST_PART)
        self.body.read_first_part()

    def stall_in_the_rest(self):
        """Begin to send the body to a target, which ends while its caller stalls."""
        self.caller.sendall(REST[:4])
        parts = self.body.parts()
        self.assertEqual(next(parts), FIRST_PART)
        with self.assertRaises(TryTimeout), gevent.Timeout(0.1, TryTimeout):
            next(parts)

    def test_interrupted_body_is_sent_again_without_a_piece(self):
        """Guards against a retry whose body lacks what the first try had read of its next part."""
        self.stall_in_the_rest()
        # A further request follows on the connection.
        self.caller.sendall(REST[4:] + NEXT_REQUEST)
        if self.body.replayable:
            self.assertEqual(b"".join(self.body.parts()), FIRST_PART + REST)

    def test_body_that_was_not_read_on_is_not_sent_again(self):
        """Guards against a refused retry although nothing beyond the first part was read."""
        parts = self.body.parts()
        self.assertEqual(next(parts), FIRST_PART)
        self.assertTrue(self.body.replayable)
        self.caller.sendall(REST)
        self.assertEqual(b"".join(self.body.parts()), FIRST_PART + REST)
        self.assertFalse(self.body.replayable)


if __name__ == "__main__":
    unittest.main()
