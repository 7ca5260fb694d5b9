"""What a target asks of its callers in its responses: a rate limit, a pause, or no new requests.

Load pattern: a target that can take little names a limit for the whole fleet, while its homes move
or reply late, so that one home counts without knowing what another one knows. An instance that has
passed on a notice is bound by it whoever places its requests: it returns a placement of a home that
did not know the notice, and tells that home.
"""

from dataclasses import dataclass

from ._placement_messages import NO_NOTICE, PlacementReply, TargetNotice

MS_PER_S = 1000.0
# A limit that was not confirmed for this long no longer decides at an instance; the homes know
# more recent responses.
LIMIT_EXPIRY_S = 10.0
# Longer pauses than this are cut.
PAUSE_MAX_S = 600.0
# A target that leaves exits within minutes.
LEAVING_EXPIRY_S = 600.0
# Targets whose notices an instance keeps, more than a large deployment has.
TARGETS_MAX = 2048


@dataclass(slots=True, kw_only=True)
class _Known:
    """Notices of one run of a target."""

    started_ms: int
    heard_s: float
    limit_per_s: float = 0.0
    is_leaving: bool = False
    paused_until_s: float = float("-inf")

    def is_expired(self, now_s: float) -> bool:
        if now_s < self.paused_until_s:
            return False
        return now_s - self.heard_s > (LEAVING_EXPIRY_S if self.is_leaving else LIMIT_EXPIRY_S)


class TargetNotices:
    """Notices in the responses that one instance got."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def record(self, target: str, started_ms: int, notice: TargetNotice, now_s: float) -> None:
        """Record a response.

        :param started_ms: start time of the target, which distinguishes its runs.
        """
        known = self._of(target, started_ms)
        if known is None:
            if notice == NO_NOTICE:
                return
            known = _Known(started_ms=started_ms, heard_s=now_s)
            self._drop_oldest(now_s)
        self._known.pop(target, None)
        self._known[target] = known
        known.heard_s = now_s
        known.limit_per_s = notice.limit_per_s
        known.is_leaving |= notice.is_leaving
        if notice.pause_s > 0:
            known.paused_until_s = now_s + min(PAUSE_MAX_S, notice.pause_s)

    def violated_by(self, reply: PlacementReply, now_s: float) -> TargetNotice | None:
        """Return the notice that a placement violates, else ``None``.

        A limit is violated when the home that placed the request has no response of the target as
        recent as this instance.
        """
        known = self._of(reply.target, reply.started_ms)
        if known is None or known.is_expired(now_s):
            return None
        pause_s = max(0.0, known.paused_until_s - now_s)
        is_unknown_limit = known.limit_per_s > 0 and (
            reply.response_age_ms < 0 or now_s - reply.response_age_ms / MS_PER_S < known.heard_s
        )
        if not (known.is_leaving or pause_s or is_unknown_limit):
            return None
        return TargetNotice(
            limit_per_s=known.limit_per_s, is_leaving=known.is_leaving, pause_s=pause_s
        )

    def age_s(self, target: str, now_s: float) -> float:
        """Return the time since the latest recorded response of a target."""
        return now_s - self._known[target].heard_s

    def _of(self, target: str, started_ms: int) -> _Known | None:
        known = self._known.get(target)
        return known if known is not None and known.started_ms == started_ms else None

    def _drop_oldest(self, now_s: float) -> None:
        """Make room for a further target."""
        if len(self._known) < TARGETS_MAX:
            return
        expired = [name for name, known in self._known.items() if known.is_expired(now_s)]
        for name in expired or [next(iter(self._known))]:
            del self._known[name]
