"""Reads what targets announce in their health endpoint."""

import msgspec
import urllib3

HEALTH_INTERVAL_S = 5.0
"""Each target is asked this often, by the home of its service only; a probe costs it 25 ms."""
HEALTH_TIMEOUT_S = 0.5
ANSWER_LIMIT_BYTES = 4096
POOL_COUNT = 32


class TargetHealth(msgspec.Struct, kw_only=True):
    """What a target announces; both may lag or be wrong."""

    warming: bool = False
    draining: bool = False


class HealthClient:
    """Asks targets for their health."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools = urllib3.PoolManager(
            num_pools=POOL_COUNT,
            retries=False,
            timeout=urllib3.Timeout(total=HEALTH_TIMEOUT_S),
        )

    def probe(self, address: str) -> TargetHealth | None:
        """Read a target's announcements.

        :returns: ``None`` when there is no valid answer, which is no announcement.
        """
        try:
            answer = self._pools.request(
                "GET", f"http://{address}/healthz", preload_content=False, redirect=False
            )
        except urllib3.exceptions.HTTPError:
            return None
        try:
            content = answer.read(ANSWER_LIMIT_BYTES, decode_content=False)
            return msgspec.json.decode(content, type=TargetHealth)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None
        finally:
            # A connection is not kept: the rest of a longer answer would be read from it.
            answer.close()
