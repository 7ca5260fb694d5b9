"""Writes log lines without ever blocking the process."""

import contextlib
from collections import deque

import gevent
from gevent import os as gevent_os
from gevent.event import Event

MAX_WAITING_BYTES = 256 * 1024
"""Lines that wait for a slow reader; further lines are dropped and counted."""
CLOSE_TIME_S = 0.2


class LineStream:
    """Text stream over a file descriptor whose reader may be slow or gone.

    Lines wait in memory up to a bound. When lines were dropped, a line says how many.

    :param descriptor: where the lines go.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._news = Event()
        self._untold_count = 0
        self.dropped_count = 0
        gevent_os.make_nonblocking(descriptor)
        self._greenlet = gevent.spawn(self._run)

    def write(self, text: str) -> int:
        """Take a line.

        :raises TypeError: when it is no text.
        """
        if not isinstance(text, str):
            raise TypeError("a line is a text")
        data = text.encode("utf-8", "backslashreplace")
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped_count += 1
            self._untold_count += 1
            return len(text)
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._news.set()
        return len(text)

    def flush(self) -> None:
        """Leave the writing to the stream's own greenlet."""

    def close(self) -> None:
        """Write what waits, for a moment at most."""
        with gevent.Timeout(CLOSE_TIME_S, False):
            while self._waiting:
                gevent.sleep(0.01)
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            self._news.wait()
            self._news.clear()
            while self._waiting:
                data = self._waiting.popleft()
                # A reader that is gone takes no lines; there is nobody to tell.
                with contextlib.suppress(OSError):
                    self._write_all(data)
                self._waiting_bytes -= len(data)
            if self._untold_count:
                count, self._untold_count = self._untold_count, 0
                self.write(f'{{"message_type": "log lines dropped", "count": {count}}}\n')

    def _write_all(self, data: bytes) -> None:
        while data:
            data = data[gevent_os.nb_write(self._descriptor, data) :]
