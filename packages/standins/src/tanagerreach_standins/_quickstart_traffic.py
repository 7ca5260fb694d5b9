"""Background traffic of the quick start."""

import itertools
import threading
from collections import Counter

import urllib3

from ._fleet import Fleet

PATHS = ("/catalogue/items", "/catalogue/pages", "/reservations/list")
CALLER_COUNT = 6
PAUSE_S = 0.05
NO_RESPONSE = 0


class Traffic:
    """Threads that send GET requests through all instances in turn and count the responses.

    :param fleet: the running fleet.
    :param key: API key of the workspace.
    """

    def __init__(self, *, fleet: Fleet, key: str) -> None:
        self._fleet = fleet
        self._key = key
        self._lock = threading.Lock()
        self._statuses: Counter[int] = Counter()
        self._stopping = threading.Event()
        self._callers = [
            threading.Thread(target=self._run_caller, args=(number,), daemon=True)
            for number in range(CALLER_COUNT)
        ]

    def __enter__(self) -> "Traffic":
        for caller in self._callers:
            caller.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stopping.set()
        for caller in self._callers:
            caller.join()

    def take_counts(self) -> Counter[int]:
        """Return the responses since the last call by status, and reset the counts."""
        with self._lock:
            counts, self._statuses = self._statuses, Counter()
        return counts

    def summary(self) -> str:
        """Describe the responses since the last call, and reset the counts."""
        return describe_counts(self.take_counts())

    def _run_caller(self, number: int) -> None:
        for turn in itertools.count(number):
            if self._stopping.wait(PAUSE_S):
                return
            status = self._send(turn)
            with self._lock:
                self._statuses[status] += 1

    def _send(self, turn: int) -> int:
        instances = self._fleet.instances
        path = PATHS[turn // len(instances) % len(PATHS)]
        try:
            instance = instances[turn % len(instances)]
            return self._fleet.request(instance, "GET", path, key=self._key).status
        except urllib3.exceptions.HTTPError:
            return NO_RESPONSE


def describe_counts(counts: Counter[int]) -> str:
    """Describe response counts by status."""
    parts = [
        f"{count} x {'no response' if status == NO_RESPONSE else status}"
        for status, count in sorted(counts.items())
    ]
    return f"{counts.total()} requests: {', '.join(parts) or 'none'}"
