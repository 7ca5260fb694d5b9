"""Header names that callers and targets of one platform use."""

from dataclasses import dataclass

from .._upstream import TargetDialect


@dataclass(slots=True, kw_only=True, frozen=True)
class Dialect:
    """Header names, given by the platform's adapter.

    :param request_id: identifies one request of a caller, and its response.
    :param deadline_ms: time that the caller waits; towards targets, the time that remains.
    :param key: the caller's key; it is never passed on.
    :param workspace: the key's workspace, set for the target.
    :param expected_target: the name of the target that a request is meant for.
    :param own_headers: names in lower case that callers cannot set for targets.
    :param targets: how responses of targets are read.
    :param decodes_paths: whether paths are decoded to find their route.
    """

    request_id: str
    deadline_ms: str
    key: str
    workspace: str
    expected_target: str
    own_headers: frozenset[str]
    targets: TargetDialect
    decodes_paths: bool = True
