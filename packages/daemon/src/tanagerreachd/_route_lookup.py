"""Route lookup by WSGI environment."""

import random
from typing import Any

from result import Err
from tanagerreach_core.config import Resolver, RouteMatch

from ._proxy_refusals import route_refusal


def find_route(resolver: Resolver, environ: dict[str, Any]) -> RouteMatch:
    """Return the route that a request matches, with its service.

    :raises RefusalError: when it matches no route.
    """
    raw_path = environ["tanagerreach.raw_target"].partition("?")[0]
    found = resolver.find_route(
        environ.get("HTTP_HOST", ""), environ["REQUEST_METHOD"], raw_path, random.random()
    )
    if isinstance(found, Err):
        raise route_refusal(found.err_value)
    return found.ok_value
