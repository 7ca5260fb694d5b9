"""Registry of requests that may crash the targets that run them."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from ._messages import CrashSuspectNotice

REFUSAL_S = 60.0
REFUSED_AFTER_TARGETS = 2
# Notices of a crash suspect that broke one target are repeated for this long, in case the first one
# was lost. They end, since a target that dies makes all its requests crash suspects.
NOTICE_REPEAT_S = 6.0
MAX_ENTRIES = 2000
FINGERPRINT_BYTES = 16
# The age in a notice leaves out its time in transit; a second per hop lets notices expire that
# instances relay in a circle.
TRANSIT_ALLOWANCE_S = 1.0


def fingerprint(
    *,
    workspace: str,
    route: str,
    method: str,
    path: str = "",
    idempotency_key: str | None = None,
    body_hash: bytes = b"",
) -> bytes:
    """Return the fingerprint of a request, from its idempotency key or else its path and body.

    :param path: path and query; without it all requests of a route without a body would share one
        fingerprint.
    """
    digest = hashlib.blake2s(digest_size=FINGERPRINT_BYTES)
    if idempotency_key is not None:
        identity = (b"key", idempotency_key.encode())
    else:
        identity = (b"body", path.encode(), body_hash)
    for part in (workspace.encode(), route.encode(), method.upper().encode(), *identity):
        digest.update(len(part).to_bytes(4, "little"))
        digest.update(part)
    return digest.digest()


@dataclass(slots=True, kw_only=True)
class _CrashSuspect:
    targets: set[str] = field(default_factory=set)
    latest_s: float

    @property
    def refused(self) -> bool:
        return len(self.targets) >= REFUSED_AFTER_TARGETS


class CrashRequestRegistry:
    """Crash suspects that this instance recorded or received from others.

    :param max_entries: most crash suspects to keep; beyond it the oldest one that is not refused is
        evicted.
    """

    __slots__ = ("_max_entries", "_suspects")

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._suspects: OrderedDict[bytes, _CrashSuspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def record_break(self, key: bytes, target: str, now_s: float) -> CrashSuspectNotice:
        """Record that a target's connection broke before the response head.

        :returns: the notice to send to the slots' lease holders.
        """
        notice = self._add(key, {target}, now_s, now_s)
        notice.age_s = 0.0
        return notice

    def record_response(self, key: bytes) -> None:
        """Remove a crash suspect that got a response; a refusal in force stays."""
        suspect = self._suspects.get(key)
        if suspect is not None and not suspect.refused:
            del self._suspects[key]

    def is_refused(self, key: bytes, now_s: float) -> bool:
        """Return whether the request is refused: 60 s after the latest of two or more targets."""
        suspect = self._unexpired(key, now_s)
        return suspect is not None and suspect.refused

    def merge(self, notice: CrashSuspectNotice, now_s: float) -> bool:
        """Add a peer's notice.

        :returns: whether it held new targets, so that it should be relayed.
        """
        latest_s = now_s - max(0.0, notice.age_s) - TRANSIT_ALLOWANCE_S
        if now_s - latest_s >= REFUSAL_S or not notice.targets:
            return False
        known = self._unexpired(notice.fingerprint, now_s)
        if known is not None and known.targets >= set(notice.targets):
            return False
        self._add(notice.fingerprint, set(notice.targets), latest_s, now_s)
        return True

    def notices(self, now_s: float, limit: int = MAX_ENTRIES) -> list[CrashSuspectNotice]:
        """Return the notices to repeat: of refused requests and of recent crash suspects.

        :param limit: maximum number of notices; the latest are kept.
        """
        unexpired = [key for key in list(self._suspects) if self._unexpired(key, now_s) is not None]
        repeated = [key for key in unexpired if self._is_repeated(self._suspects[key], now_s)]
        return [self._notice(key, now_s) for key in repeated[-limit:]]

    @staticmethod
    def _is_repeated(suspect: _CrashSuspect, now_s: float) -> bool:
        return suspect.refused or now_s - suspect.latest_s < NOTICE_REPEAT_S

    def _unexpired(self, key: bytes, now_s: float) -> _CrashSuspect | None:
        suspect = self._suspects.get(key)
        if suspect is not None and now_s - suspect.latest_s >= REFUSAL_S:
            del self._suspects[key]
            return None
        return suspect

    def _add(
        self, key: bytes, targets: set[str], latest_s: float, now_s: float
    ) -> CrashSuspectNotice:
        suspect = self._unexpired(key, now_s)
        if suspect is None:
            suspect = self._suspects[key] = _CrashSuspect(latest_s=latest_s)
        if not targets <= suspect.targets:
            suspect.latest_s = max(suspect.latest_s, latest_s)
        suspect.targets |= targets
        self._suspects.move_to_end(key)
        notice = self._notice(key, now_s)
        self._evict()
        return notice

    def _evict(self) -> None:
        while len(self._suspects) > self._max_entries:
            keys = iter(self._suspects)
            oldest = next(keys)
            evicted = next(
                (key for key in self._suspects if not self._suspects[key].refused), oldest
            )
            del self._suspects[evicted]

    def _notice(self, key: bytes, now_s: float) -> CrashSuspectNotice:
        suspect = self._suspects[key]
        return CrashSuspectNotice(
            fingerprint=key,
            targets=sorted(suspect.targets),
            age_s=max(0.0, now_s - suspect.latest_s),
        )
