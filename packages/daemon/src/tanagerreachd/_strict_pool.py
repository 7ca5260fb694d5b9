"""Connection pools of urllib3 whose responses are :class:`StrictResponse`.

urllib3 only logs the defects that the parser found in a head, and returns the response.
"""

from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from ._strict_response import StrictResponse


class _StrictConnection(HTTPConnection):
    response_class = StrictResponse


class StrictPool(urllib3.HTTPConnectionPool):
    """Pool of connections to one server."""

    ConnectionCls = _StrictConnection


class StrictPoolManager(urllib3.PoolManager):
    """Pools of connections to several servers; knows no other scheme than ``http``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": StrictPool}
