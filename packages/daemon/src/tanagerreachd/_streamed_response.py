"""Forwards a target's response in parts."""

from collections.abc import Callable

from tanagerreach_core.traffic import Outcome

from ._upstream import ResponseStream
from ._upstream_errors import IncompleteResponseError


class StreamedResponse:
    """WSGI response body that forwards a target's response in parts.

    :param outcome: outcome of a response that is forwarded completely.
    :param on_end: called once with the outcome, to release the resources of the request.
    """

    __slots__ = ("_on_end", "_outcome", "_stream")

    def __init__(
        self, *, stream: ResponseStream, outcome: Outcome, on_end: Callable[[Outcome], None]
    ) -> None:
        self._stream = stream
        self._outcome = outcome
        self._on_end: Callable[[Outcome], None] | None = on_end

    def __iter__(self) -> "StreamedResponse":
        return self

    def __next__(self) -> bytes:
        """Return the next part.

        :raises IncompleteResponseError: when the target's response ends early.
        """
        try:
            return next(self._stream)
        except StopIteration:
            self._end(self._outcome)
            raise
        except IncompleteResponseError:
            self._end(Outcome.BROKEN_AFTER_HEAD)
            raise

    def close(self) -> None:
        """Cancel the response if it was not forwarded completely."""
        self._stream.close()
        self._end(Outcome.CANCELLED)

    def _end(self, outcome: Outcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome)
