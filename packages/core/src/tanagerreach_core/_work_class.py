"""Classes of requests that are likely to take the same time, and the services they matter to."""

import zlib

from ._objects import Configuration

KIB = 1024
# Work classes are numbered from 1; 0 means that a request has none.
CLASS_NUMBERS = 65_535
SIZE_CLASS_MAX = 7
SIZE_CLASS_UNKNOWN = SIZE_CLASS_MAX + 1
SEGMENTS_MAX = 7
MIN_ROUTES = 2


def work_class(route: str, method: str, body_bytes: int | None) -> int:
    """Return the work class of a request, from 1 to 65,535.

    :param body_bytes: size of the body, ``None`` when it is not known before it was read.
    """
    size_class = SIZE_CLASS_UNKNOWN
    if body_bytes is not None:
        # Sizes of one class differ by a factor of 4 at most.
        size_class = min(SIZE_CLASS_MAX, ((body_bytes // KIB).bit_length() + 1) // 2)
    text = f"{route} {method} {size_class}"
    return 1 + zlib.crc32(text.encode("utf-8")) % CLASS_NUMBERS


def path_shape(raw_target: str) -> int:
    """Return the shape of a path and its query, from 0 to 15.

    It tells the number of segments and whether there is a query; names would need a table that
    grows with the callers' paths.
    """
    path, separator, _ = raw_target.partition("?")
    return 2 * min(SEGMENTS_MAX, path.count("/")) + bool(separator)


def services_placed_by_cost(configuration: Configuration) -> frozenset[str]:
    """Return the services whose requests are placed by their expected cost.

    These are the services that several routes lead to, so that their requests may differ, and
    whose targets have no request rate while they are cold. A target that turns cold without notice
    bears a number of requests, whatever each of them costs.
    """
    route_counts = dict.fromkeys(configuration.services, 0)
    for route in configuration.routes.values():
        for service in {route.service, *route.split}:
            if service in route_counts:
                route_counts[service] += 1
    return frozenset(
        name
        for name, count in route_counts.items()
        if count >= MIN_ROUTES and configuration.services[name].cold_rate_per_s <= 0
    )
