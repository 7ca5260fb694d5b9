"""Failures of requests to backend servers; each says whether the request may have started."""


class UpstreamError(Exception):
    """A request that got no usable answer from a backend server.

    :param may_have_started: false only when the backend server certainly did not start it.
    """

    kind = "failed"
    may_have_started = True

    def __init__(self, target: str, detail: str) -> None:
        super().__init__(f"target {target}: {detail}")
        self.target = target
        self.detail = detail


class ConnectFailedError(UpstreamError):
    """No connection could be opened, so nothing was sent."""

    kind = "connect-failed"
    may_have_started = False


class LoadShedError(UpstreamError):
    """The backend server refused the request before starting it."""

    kind = "load-shed"
    may_have_started = False


class WrongTargetError(UpstreamError):
    """Another target has the address now; it did not start the request."""

    kind = "wrong-target"
    may_have_started = False


class ResponseTimeoutError(UpstreamError):
    """No answer arrived before the deadline."""

    kind = "timeout"


class HeadTimeoutError(ResponseTimeoutError):
    """The head of the answer did not arrive within the limit of one try."""


class BrokenConnectionError(UpstreamError):
    """The connection broke before the head of the answer arrived."""

    kind = "broken-connection"


class IncompleteResponseError(UpstreamError):
    """The answer ended before its announced length, or its length cannot be checked."""

    kind = "incomplete-answer"


class WrongAnswerError(UpstreamError):
    """The answer carries the identifier of another request, or its head is malformed."""

    kind = "wrong-answer"
