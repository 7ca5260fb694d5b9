"""Messages that are sent only while a roll-out of a service's version is ordered."""

import msgspec

from ._placement_messages import PlacementRequest

RouteCounts = list[tuple[str, int, int]]
"""Route, number of responses, number of bad ones."""


class RoutedPlacementRequest(PlacementRequest, kw_only=True, array_like=True, tag=40):
    """A placement request that names its route, by which versions are compared."""

    route: str = ""


class RolloutProgress(msgspec.Struct, kw_only=True, array_like=True, tag=41):
    """Sends a home's progress of a roll-out to the instance that would be the service's next home.

    ``age_ms`` is the time since the order. ``old_counts`` and ``new_counts`` have the responses of
    both versions, the latter by route and target. ``late_after_ms`` is the latency from which a
    response is late, by route.
    """

    service: str
    to_version: str
    order_revision: int
    stage: int
    age_ms: int
    request_count: int
    exposed_count: int
    shift_step: int = 0
    old_counts: RouteCounts = msgspec.field(default_factory=list)
    new_counts: list[tuple[str, str, int, int]] = msgspec.field(default_factory=list)
    late_after_ms: dict[str, int] = msgspec.field(default_factory=dict)
