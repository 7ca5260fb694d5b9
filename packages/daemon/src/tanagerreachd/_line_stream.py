"""Non-blocking output of log lines."""

import contextlib
from collections import deque

import gevent
from gevent import os as gevent_os
from gevent.event import Event

# When a slow reader leaves this many bytes waiting, further lines are dropped and counted.
MAX_WAITING_BYTES = 256 * 1024
CLOSE_TIME_S = 0.2


class LineStream:
    """Text stream to a file descriptor whose reader may be slow or closed.

    Lines are buffered in memory up to a limit. A line with the count reports dropped lines.

    :param descriptor: file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._lines_queued = Event()
        self._unreported_count = 0
        self.dropped_count = 0
        gevent_os.make_nonblocking(descriptor)
        self._greenlet = gevent.spawn(self._run)

    def write(self, text: str) -> int:
        """Queue a line for writing, or drop it when the buffer is full.

        :raises TypeError: when it is not a string.
        """
        if not isinstance(text, str):
            raise TypeError("log line must be a str")
        data = text.encode("utf-8", "backslashreplace")
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped_count += 1
            self._unreported_count += 1
            return len(text)
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._lines_queued.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as the stream's own greenlet writes the lines."""

    def close(self) -> None:
        """Write the buffered lines, with a short time limit."""
        with gevent.Timeout(CLOSE_TIME_S, False):
            while self._waiting:
                gevent.sleep(0.01)
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            self._lines_queued.wait()
            self._lines_queued.clear()
            while self._waiting:
                data = self._waiting.popleft()
                # Without a reader, there is nowhere to report the error.
                with contextlib.suppress(OSError):
                    self._write_all(data)
                self._waiting_bytes -= len(data)
            if self._unreported_count:
                count, self._unreported_count = self._unreported_count, 0
                self.write(f'{{"message_type": "log lines dropped", "count": {count}}}\n')

    def _write_all(self, data: bytes) -> None:
        while data:
            data = data[gevent_os.nb_write(self._descriptor, data) :]
