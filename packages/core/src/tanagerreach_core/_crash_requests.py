"""Registry of requests that may crash the targets that run them."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from ._messages import CrashSuspectNotice

REFUSAL_S = 60.0
REFUSED_AFTER_TARGETS = 2
# A suspect of one target is told again for this long, in case the first notice of it was lost. A
# target that dies makes suspects of all its requests, so they are not told for ever.
NOTICE_REPEAT_S = 6.0
MAX_ENTRIES = 2000
FINGERPRINT_BYTES = 16
# Time in transit is not part of a notice's age; a second per hop keeps notices that are passed on
# in a circle from living for ever.
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
    """Identify a request that is sent again, by its idempotency key or else by its body.

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
    """Suspects seen by this instance or reported by others.

    :param max_entries: suspects kept; beyond it the oldest suspect that is not refused goes first.
    """

    __slots__ = ("_max_entries", "_suspects")

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._suspects: OrderedDict[bytes, _CrashSuspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def record_break(self, key: bytes, target: str, now_s: float) -> CrashSuspectNotice:
        """Record that a target's connection broke before the response head.

        :returns: the notice to send to slot holders.
        """
        notice = self._add(key, {target}, now_s, now_s)
        notice.age_s = 0.0
        return notice

    def record_response(self, key: bytes) -> None:
        """Drop a suspect that was answered; a refusal in force is kept."""
        suspect = self._suspects.get(key)
        if suspect is not None and not suspect.refused:
            del self._suspects[key]

    def is_refused(self, key: bytes, now_s: float) -> bool:
        """Tell whether the request is refused: 60 s after the latest of two or more targets."""
        suspect = self._live(key, now_s)
        return suspect is not None and suspect.refused

    def merge(self, notice: CrashSuspectNotice, now_s: float) -> bool:
        """Add a peer's notice.

        :returns: whether it told something new, so that it should be passed on.
        """
        latest_s = now_s - max(0.0, notice.age_s) - TRANSIT_ALLOWANCE_S
        if now_s - latest_s >= REFUSAL_S or not notice.targets:
            return False
        known = self._live(notice.fingerprint, now_s)
        if known is not None and known.targets >= set(notice.targets):
            return False
        self._add(notice.fingerprint, set(notice.targets), latest_s, now_s)
        return True

    def notices(self, now_s: float, limit: int = MAX_ENTRIES) -> list[CrashSuspectNotice]:
        """Return what to repeat to peers: requests that are refused, and other new suspects.

        :param limit: the latest suspects of this number.
        """
        live = [key for key in list(self._suspects) if self._live(key, now_s) is not None]
        repeated = [key for key in live if self._is_repeated(self._suspects[key], now_s)]
        return [self._notice(key, now_s) for key in repeated[-limit:]]

    @staticmethod
    def _is_repeated(suspect: _CrashSuspect, now_s: float) -> bool:
        return suspect.refused or now_s - suspect.latest_s < NOTICE_REPEAT_S

    def _live(self, key: bytes, now_s: float) -> _CrashSuspect | None:
        suspect = self._suspects.get(key)
        if suspect is not None and now_s - suspect.latest_s >= REFUSAL_S:
            del self._suspects[key]
            return None
        return suspect

    def _add(
        self, key: bytes, targets: set[str], latest_s: float, now_s: float
    ) -> CrashSuspectNotice:
        suspect = self._live(key, now_s)
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
            victim = next(
                (key for key in self._suspects if not self._suspects[key].refused), oldest
            )
            del self._suspects[victim]

    def _notice(self, key: bytes, now_s: float) -> CrashSuspectNotice:
        suspect = self._suspects[key]
        return CrashSuspectNotice(
            fingerprint=key,
            targets=sorted(suspect.targets),
            age_s=max(0.0, now_s - suspect.latest_s),
        )
