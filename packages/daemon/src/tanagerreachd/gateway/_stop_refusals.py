"""Refuses requests without a response when the time of a stop ends."""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent
from gevent import get_hub

from .._refusals import RefusalError


@dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class _RefusableRequest:
    greenlet: gevent.Greenlet
    refusal: Callable[[], RefusalError]
    is_due: Callable[[], bool]


class StopRefusals:
    """Raises a refusal in each greenlet whose request may be refused at the end of a stop."""

    __slots__ = ("_has_ended", "_requests")

    def __init__(self) -> None:
        self._has_ended = False
        self._requests: dict[_RefusableRequest, None] = {}

    @contextlib.contextmanager
    def refusable(
        self, refusal: Callable[[], RefusalError], *, is_due: Callable[[], bool] = lambda: True
    ) -> Iterator[None]:
        """Let the current greenlet's request be refused while the context lasts.

        :param refusal: builds the refusal.
        :param is_due: whether the request is to be refused.
        :raises RefusalError: at any switch of greenlets; at once after the end of the stop.
        """
        if self._has_ended and is_due():
            raise refusal()
        request = _RefusableRequest(greenlet=gevent.getcurrent(), refusal=refusal, is_due=is_due)
        self._requests[request] = None
        try:
            yield
        finally:
            self._requests.pop(request, None)

    def refuse(self) -> None:
        """Refuse all requests for which it is due, and each that would begin to wait later."""
        self._has_ended = True
        # Only the hub may raise in other greenlets at once. A raise that is scheduled for each
        # could reach a request that is at a target by then.
        get_hub().loop.run_callback(self._refuse_all)

    def _refuse_all(self) -> None:
        for request in list(self._requests):
            if request in self._requests and request.is_due():
                del self._requests[request]
                request.greenlet.throw(request.refusal())
