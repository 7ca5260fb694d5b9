"""Client for the health endpoint of targets."""

import http.client

import gevent
import msgspec

from ._peer_link import split_address
from ._upstream_connection import TargetConnection

# Only the home of its service probes a target, as each probe costs the target 25 ms.
HEALTH_INTERVAL_S = 5.0
HEALTH_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 4096
HEALTH_PATH = "/healthz"


class TargetHealth(msgspec.Struct, kw_only=True):
    """State that a target announces; both fields may be outdated or wrong."""

    warming: bool = False
    draining: bool = False


class HealthClient:
    """Sends health probes to targets."""

    __slots__ = ()

    def probe(self, address: str) -> TargetHealth | None:
        """Return the state that a target announces.

        :returns: ``None`` without a valid response, which says nothing about the target's state.
        """
        # The timeouts of the socket start anew with each part that arrives.
        with gevent.Timeout(HEALTH_TIMEOUT_S, False):
            return self._probe(address)
        return None

    @staticmethod
    def _probe(address: str) -> TargetHealth | None:
        host, port = split_address(address)
        connection = TargetConnection(
            host, port, connect_timeout_s=HEALTH_TIMEOUT_S, idle_timeout_s=HEALTH_TIMEOUT_S
        )
        try:
            connection.connect()
            connection.send_request("GET", HEALTH_PATH, {}, None)
            response = connection.next_response()
            content = response.read(MAX_RESPONSE_BYTES)
            if response.length:
                return None
            return msgspec.json.decode(content, type=TargetHealth)
        except (http.client.HTTPException, OSError, msgspec.DecodeError, RecursionError):
            return None
        finally:
            # The connection is not reused, as the rest of a longer response may still arrive on it.
            connection.abandon()
