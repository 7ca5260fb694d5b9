"""Errors of requests to backend servers; each states whether the request may have started."""

from tanagerreach_core.placement import NO_NOTICE, TargetNotice


class UpstreamError(Exception):
    """A request got no usable response from a backend server.

    :param may_have_started: false only when the backend server certainly did not start it.
    """

    kind = "failed"
    may_have_started = True

    def __init__(self, target: str, detail: str) -> None:
        super().__init__(f"target {target}: {detail}")
        self.target = target
        self.detail = detail


class ConnectFailedError(UpstreamError):
    """No connection could be opened, so nothing was sent to the target."""

    kind = "connect-failed"
    may_have_started = False


class LoadShedError(UpstreamError):
    """The backend server refused the request before starting it.

    :param notice: what the backend server asks of its callers.
    """

    kind = "load-shed"
    may_have_started = False

    def __init__(self, target: str, detail: str, *, notice: TargetNotice = NO_NOTICE) -> None:
        super().__init__(target, detail)
        self.notice = notice


class UnmarkedRefusalError(UpstreamError):
    """The status says that the request did not run, but the backend server does not state it.

    :param notice: what the backend server asks of its callers.
    """

    kind = "unmarked-refusal"

    def __init__(self, target: str, detail: str, *, notice: TargetNotice = NO_NOTICE) -> None:
        super().__init__(target, detail)
        self.notice = notice


class WrongTargetError(UpstreamError):
    """The address now belongs to another target, which did not start the request."""

    kind = "wrong-target"
    may_have_started = False


class ResponseTimeoutError(UpstreamError):
    """No response arrived before the deadline."""

    kind = "timeout"


class HeadTimeoutError(ResponseTimeoutError):
    """The response head did not arrive within the try timeout."""


class TryAbortedError(ResponseTimeoutError):
    """The try was aborted before its response head arrived."""


class BrokenConnectionError(UpstreamError):
    """The connection broke before the response head arrived."""

    kind = "broken-connection"


class IncompleteResponseError(UpstreamError):
    """The response ended before its announced length, or its length cannot be verified."""

    kind = "incomplete-answer"


class InvalidResponseError(UpstreamError):
    """The response has the identifier of another request, or its head is unusable."""

    kind = "wrong-answer"
