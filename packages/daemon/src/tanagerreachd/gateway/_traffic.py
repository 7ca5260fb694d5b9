"""Counts the bytes to and from peers and targets, and the calls to the platform's store.

Both have a price: bytes between data centres, and each call.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from .._logs import InstanceLog
from .._metrics import Metrics

REQUESTS = "requests"
RESPONSES = "responses"
# A header field has a colon, a space and a line end besides its name and value.
FIELD_OVERHEAD_BYTES = 4


def message_bytes(headers: Iterable[tuple[str, str]], body: bytes | None) -> int:
    """Return the size of an HTTP message without its first line.

    :param body: the body, ``None`` when there is none or its length is not known.
    """
    fields_bytes = sum(len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in headers)
    return fields_bytes + len(body or b"")


class TrafficCounts:
    """Bytes of messages to peers, requests to targets and their responses; calls to the store.

    :param own_data_centre: data centre of this instance.
    :param peer_data_centre: returns the data centre of the peer with an address, empty when it is
        not known.
    """

    __slots__ = (
        "_bytes",
        "_calls",
        "_log",
        "_own_data_centre",
        "_peer_data_centre",
        "_reported_bytes",
        "_reported_calls",
    )

    def __init__(
        self,
        *,
        own_data_centre: str,
        peer_data_centre: Callable[[str], str],
        metrics: Metrics,
        log: InstanceLog,
    ) -> None:
        self._own_data_centre = own_data_centre
        self._peer_data_centre = peer_data_centre
        self._log = log
        self._bytes = metrics.counter(
            "tanagerreach_traffic_bytes_total",
            "Bytes to peers and targets and from targets",
            ("kind", "data_centre"),
        )
        self._calls = metrics.counter(
            "tanagerreach_store_calls_total", "Calls to the platform's store", ("kind", "part")
        )
        self._reported_bytes: Counter[str] = Counter()
        self._reported_calls: Counter[str] = Counter()

    def add_message(self, address: str, message: object, size_bytes: int) -> None:
        """Count a message to the peer with an address."""
        self._add(type(message).__name__, self._peer_data_centre(address), size_bytes)

    def add_request(self, data_centre: str, size_bytes: int) -> None:
        """Count a request to a target."""
        self._add(REQUESTS, data_centre, size_bytes)

    def add_response(self, data_centre: str, size_bytes: int) -> None:
        """Count the response of a target."""
        self._add(RESPONSES, data_centre, size_bytes)

    def add_call(self, kind: str, part: str) -> None:
        """Count a call to the store."""
        self._calls.add(1, kind, part)
        self._reported_calls[f"{kind} {part}".strip()] += 1

    def report(self) -> None:
        """Log the bytes between data centres and the calls to the store since the last report."""
        if self._reported_bytes or self._reported_calls:
            self._log.info(
                "traffic",
                data_centre_bytes=dict(self._reported_bytes),
                store_calls=dict(self._reported_calls),
            )
            self._reported_bytes.clear()
            self._reported_calls.clear()

    def _add(self, kind: str, data_centre: str, size_bytes: int) -> None:
        self._bytes.add(size_bytes, kind, data_centre)
        if data_centre != self._own_data_centre:
            self._reported_bytes[kind] += size_bytes
