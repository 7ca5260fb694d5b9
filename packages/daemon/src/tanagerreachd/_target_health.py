"""Client for the health endpoint of targets."""

import msgspec
import urllib3

# Only the home of its service probes a target, as each probe costs the target 25 ms.
HEALTH_INTERVAL_S = 5.0
HEALTH_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 4096
POOL_COUNT = 32


class TargetHealth(msgspec.Struct, kw_only=True):
    """State that a target announces; both fields may be outdated or wrong."""

    warming: bool = False
    draining: bool = False


class HealthClient:
    """Sends health probes to targets."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools = urllib3.PoolManager(
            num_pools=POOL_COUNT,
            retries=False,
            timeout=urllib3.Timeout(total=HEALTH_TIMEOUT_S),
        )

    def probe(self, address: str) -> TargetHealth | None:
        """Return the state that a target announces.

        :returns: ``None`` without a valid response, which says nothing about the target's state.
        """
        try:
            response = self._pools.request(
                "GET", f"http://{address}/healthz", preload_content=False, redirect=False
            )
        except urllib3.exceptions.HTTPError:
            return None
        try:
            content = response.read(MAX_RESPONSE_BYTES, decode_content=False)
            return msgspec.json.decode(content, type=TargetHealth)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None
        finally:
            # The connection is not reused, as the rest of a longer response may still arrive on it.
            response.close()
