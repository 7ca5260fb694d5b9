"""Stages of a roll-out: canary, shifting, draining, and the verdict.

Load pattern: a version that fails part of its requests, or answers late, at once or after a while,
while hundreds of requests per second could go to it. Until the verdict it gets a small share of the
requests, counted against those of the whole service. The verdict comes late in the order's time,
so that a version that turns bad meanwhile has got little; then the traffic moves in few steps,
each of which is watched.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from ._message_parts import MESSAGE_BYTES_MAX, Entry, divide
from ._outcomes import Outcome
from ._rollout_messages import RolloutProgress
from ._version_comparison import Assessment, RequestKey, Side, VersionComparison

# Share of the allowed exposure that is used before the verdict: requests are under way when it
# comes, and a version may turn bad while traffic moves.
CANARY_SHARE_USED = 0.8
SLACK_SHARE_USED = 0.5
# Part of that which is used while all targets of the canary are cold: their latency says nothing.
COLD_SHARE_USED = 0.35
# The slack is given out over this time, so that the first responses are known before most of it.
SLACK_RAMP_S = 2.0
# Each route with at least this share of the requests gets as many canary requests as the others.
ROUTE_SHARE_MIN = 0.05
# Routes differ by so many canary requests, while there are enough requests of each.
ROUTE_LEAD_MAX = 2
# So much of the exposure that requests of a rare route didn't use is free for all routes.
UNUSED_EXPOSURE_MIN = 6
# The canary uses this share of the new targets, and at least a few.
CANARY_TARGET_SHARE = 0.1
CANARY_TARGETS_MIN = 6
# The canary lasts for this share of the order's time, but leaves time for the shift.
CANARY_TIME_SHARE = 0.6
SHIFT_RESERVE_S = 5.0
# From this time before the deadline, weaker evidence decides.
LATEST_SHIFT_S = 4.0
LATEST_DRAIN_S = 3.0
LATEST_COMPLETION_S = 1.0
WEAK_RESPONSES_MIN = 8
WEAK_SUSPICION_MAX = 0.4
# Shares of the requests that the new version gets while traffic moves. The last one leaves enough
# to the old version to compare with it.
SHIFT_SHARES = (0.2, 0.5, 0.9)
SHIFT_STEP_MIN_S = 0.6
SHIFT_STEP_MAX_S = 1.2
# The first step lasts until late responses would be known as such, but not longer than this.
FIRST_STEP_MAX_S = 1.6
FIRST_STEP_LATENESS_RATIO = 1.3
# Responses that a step needs before the next one.
STEP_RESPONSES_MIN = 15
# No step is made with more evidence against the version.
STEP_SUSPICION_MAX = 0.35
# Requests at old targets are waited for so long.
DRAIN_MIN_S = 0.3
DRAIN_MAX_S = 3.0
# While less of the fleet than this uses the home, traffic moves only when the deadline is near.
WHOLE_FLEET_SHARE = 0.9
ASSESSMENT_INTERVAL_S = 0.1
# Share of its slots that the new version's targets may need before traffic moves.
NEW_LOAD_MAX = 0.8
# Part of the order's time that counts as used when the time of the order is not known.
UNKNOWN_AGE_SHARE = 0.5
# Each list of a progress message gets this part of a datagram; what is most frequent comes first.
PROGRESS_LIST_BYTES_MAX = MESSAGE_BYTES_MAX // 3


class RolloutStage(IntEnum):
    """Stage of a roll-out at an instance."""

    UNKNOWN = 0
    """The status was not read yet."""
    CANARY = 1
    SHIFTING = 2
    DRAINING = 3
    COMPLETED = 4
    ROLLED_BACK = 5


FINAL_STAGES = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)


@dataclass(slots=True, kw_only=True, frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    :param duration_s: time within which it has to be completed or rolled back.
    :param revision: revision of the order in the store.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int

    def is_repeat_of(self, other: "RolloutOrder") -> bool:
        """Return whether another order asks for the same."""
        return (self.service, self.to_version, self.duration_s) == (
            other.service,
            other.to_version,
            other.duration_s,
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class RolloutLimits:
    """Bounds on the exposure of a version without a verdict.

    :param share: share of a service's requests that it may get, from 0 to 1.
    :param slack: requests that it may get beyond that.
    """

    share: float
    slack: float


@dataclass(slots=True, kw_only=True)
class RolloutFacts:
    """State of the service at its home.

    :param old_in_flight_count: requests under way at targets of the old version.
    :param in_flight_count: requests under way at all targets.
    :param new_slot_count: slots of the new version's targets that are not cold.
    :param user_share: share of the instances heard that use this home.
    :param lent_share: share of the fleet that lends this home its rights.
    """

    old_in_flight_count: int = 0
    in_flight_count: int = 0
    new_slot_count: int = 0
    user_share: float = 1.0
    lent_share: float = 1.0


@dataclass(slots=True, kw_only=True)
class StageChange:
    """A change of stage and what it rests on, for the log."""

    stage: RolloutStage
    reason: str
    age_s: float
    exposed_count: int
    request_count: int
    assessment: Assessment


class Rollout:
    """Roll-out of one order at an instance.

    :param ordered_s: time at which this instance learned of the order.
    :param is_age_known: whether the order is new; otherwise it may be as old as its time.
    """

    __slots__ = (
        "_assessed_s",
        "_assessment",
        "_is_continued",
        "_limits",
        "_ordered_s",
        "_route_counts",
        "_stage_results",
        "_stage_s",
        "_step_counts",
        "comparison",
        "exposed_count",
        "lent_share",
        "order",
        "request_count",
        "shift_step",
        "stage",
    )

    def __init__(
        self, *, order: RolloutOrder, limits: RolloutLimits, ordered_s: float, is_age_known: bool
    ) -> None:
        self.order = order
        self._limits = limits
        self._ordered_s = ordered_s
        if not is_age_known:
            self._ordered_s -= UNKNOWN_AGE_SHARE * order.duration_s
        # Whether another home may have used the exposure's slack.
        self._is_continued = not is_age_known
        self.comparison = VersionComparison()
        self.stage = RolloutStage.UNKNOWN
        self.shift_step = 0
        self.request_count = 0
        self.exposed_count = 0
        self.lent_share = 1.0
        # Requests of a route: all, and those to the new version.
        self._route_counts: dict[str, list[int]] = {}
        # Requests of the present step: all, and those to the new version.
        self._step_counts = [0, 0]
        self._stage_s = ordered_s
        self._stage_results = 0
        self._assessment = Assessment()
        self._assessed_s = float("-inf")

    def age_s(self, now_s: float) -> float:
        """Return the time since the order."""
        return now_s - self._ordered_s

    @property
    def is_final(self) -> bool:
        """Whether there is a verdict."""
        return self.stage in FINAL_STAGES

    @property
    def new_share(self) -> float:
        """Share of the requests that the new version is to get, beside the canary."""
        if self.stage is RolloutStage.SHIFTING:
            return SHIFT_SHARES[self.shift_step]
        return 1.0 if self.stage in (RolloutStage.DRAINING, RolloutStage.COMPLETED) else 0.0

    def repeat(self, order: RolloutOrder) -> None:
        """Go on with an order that was written again unchanged."""
        self.order = order

    def begin(self, *, is_continued: bool) -> None:
        """Start the canary, as the status says that there is no verdict.

        :param is_continued: whether another home may have begun it before.
        """
        if self.stage is RolloutStage.UNKNOWN:
            self.stage = RolloutStage.CANARY
            self._is_continued |= is_continued

    def forget_stage(self) -> bool:
        """Use the present version only until the status is known again.

        :returns: whether this changes anything.
        """
        if self.is_final or self.stage is RolloutStage.UNKNOWN:
            return False
        self.stage = RolloutStage.UNKNOWN
        self.shift_step = 0
        self._is_continued = True
        return True

    def end(self, stage: RolloutStage) -> None:
        """Take over the verdict that the status has."""
        self.stage = stage

    # Placement

    def is_for_minor(self, route: str, now_s: float, *, is_cold: bool = False) -> bool:
        """Return whether the next request is for the version that gets fewer requests.

        :param is_cold: whether all targets that it could go to are cold.
        """
        if self.stage is RolloutStage.CANARY:
            return self._is_for_canary(route, COLD_SHARE_USED if is_cold else 1.0, now_s)
        if self.stage is not RolloutStage.SHIFTING:
            return False
        sent_count, new_count = self._step_counts
        is_for_new = new_count < self.new_share * (sent_count + 1)
        return is_for_new == (self.new_share <= 0.5)

    def _is_for_canary(self, route: str, used_share: float, now_s: float) -> bool:
        slack = 0.0
        if not self._is_continued:
            ramp = min(1.0, max(0.0, self.age_s(now_s)) / SLACK_RAMP_S)
            slack = ramp * SLACK_SHARE_USED * self._limits.slack
        share = CANARY_SHARE_USED * self._limits.share
        limit = used_share * self.lent_share * (share * self.request_count + slack)
        unused = limit - self.exposed_count
        if unused < 1:
            return False
        if unused >= UNUSED_EXPOSURE_MIN:
            return True
        least = ROUTE_SHARE_MIN * self.request_count
        lowest = min(
            (new for count, new in self._route_counts.values() if count >= least), default=0
        )
        _, new_count = self._route_counts.get(route, (0, 0))
        return new_count <= lowest + ROUTE_LEAD_MAX

    def record_sent(
        self,
        key: RequestKey,
        side: Side,
        target: str,
        route: str,
        now_s: float,
        *,
        counts_latency: bool,
    ) -> None:
        """Count a request that is sent to a target."""
        if self.is_final:
            return
        is_new = side is Side.NEW
        counts = self._route_counts.setdefault(route, [0, 0])
        counts[0] += 1
        counts[1] += is_new
        self._step_counts[0] += 1
        self._step_counts[1] += is_new
        self.request_count += 1
        self.exposed_count += is_new
        self.comparison.record_sent(key, side, target, route, now_s, counts_latency=counts_latency)

    def record_result(
        self, key: RequestKey, outcome: Outcome, latency_s: float, now_s: float
    ) -> None:
        """Record the end of a request."""
        self.comparison.record_result(key, outcome, latency_s, now_s)

    # Stages

    def advance(self, facts: RolloutFacts, now_s: float) -> StageChange | None:
        """Judge the version and move to the next stage or step, if it is time."""
        self.lent_share = facts.lent_share
        is_due = now_s - self._assessed_s >= ASSESSMENT_INTERVAL_S
        if self.is_final or self.stage is RolloutStage.UNKNOWN or not is_due:
            return None
        self._assessed_s = now_s
        self._assessment = self.comparison.assess(now_s)
        if self._assessment.suspicion >= 1:
            return self._enter(RolloutStage.ROLLED_BACK, "more bad answers", now_s)
        if self.stage is RolloutStage.CANARY:
            return self._advance_canary(facts, now_s)
        if self.stage is RolloutStage.SHIFTING:
            return self._advance_shift(now_s)
        return self._advance_drain(facts, now_s)

    def _left_s(self, now_s: float) -> float:
        return self.order.duration_s - self.age_s(now_s)

    def _advance_canary(self, facts: RolloutFacts, now_s: float) -> StageChange | None:
        duration_s = self.order.duration_s
        begin_s = min(CANARY_TIME_SHARE * duration_s, duration_s - SHIFT_RESERVE_S)
        new_count, _ = self.comparison.count(Side.NEW)
        has_room = facts.in_flight_count <= NEW_LOAD_MAX * facts.new_slot_count
        is_whole = facts.lent_share >= WHOLE_FLEET_SHARE
        confidence = self._assessment.confidence
        if self.age_s(now_s) >= begin_s and confidence >= 1 and has_room and is_whole:
            return self._enter(RolloutStage.SHIFTING, "as good as the old version", now_s)
        if self._left_s(now_s) > LATEST_SHIFT_S:
            return None
        is_usable = facts.new_slot_count > 0 and facts.user_share >= WHOLE_FLEET_SHARE
        is_no_worse = (
            self._assessment.overall_confidence > 0
            and self._assessment.suspicion <= WEAK_SUSPICION_MAX
            and new_count >= WEAK_RESPONSES_MIN
        )
        if is_usable and is_no_worse:
            return self._enter(RolloutStage.SHIFTING, "no worse so far", now_s)
        if self._left_s(now_s) <= LATEST_COMPLETION_S:
            return self._enter(RolloutStage.ROLLED_BACK, "no verdict in time", now_s)
        return None

    def _advance_shift(self, now_s: float) -> StageChange | None:
        in_step_s = now_s - self._stage_s
        results = self.comparison.count(Side.NEW)[0] - self._stage_results
        is_late = self._left_s(now_s) <= LATEST_DRAIN_S
        is_known = results >= STEP_RESPONSES_MIN or in_step_s >= SHIFT_STEP_MAX_S or is_late
        is_quiet = self._assessment.suspicion <= STEP_SUSPICION_MAX
        least_s = SHIFT_STEP_MIN_S
        if self.shift_step == 0:
            known_s = FIRST_STEP_LATENESS_RATIO * self.comparison.late_after_max_s()
            least_s = max(least_s, min(FIRST_STEP_MAX_S, known_s))
        if in_step_s < least_s and not is_late:
            return None
        if not is_known or not (is_quiet or is_late):
            return None
        if self.shift_step + 1 < len(SHIFT_SHARES) and not is_late:
            self.shift_step += 1
            return self._enter(RolloutStage.SHIFTING, "next step", now_s)
        return self._enter(RolloutStage.DRAINING, "traffic moved", now_s)

    def _advance_drain(self, facts: RolloutFacts, now_s: float) -> StageChange | None:
        in_stage_s = now_s - self._stage_s
        is_empty = facts.old_in_flight_count == 0 and in_stage_s >= DRAIN_MIN_S
        is_late = self._left_s(now_s) <= LATEST_COMPLETION_S and in_stage_s >= DRAIN_MIN_S
        if is_empty or is_late or in_stage_s >= DRAIN_MAX_S:
            reason = "old targets idle" if is_empty else "drain time over"
            return self._enter(RolloutStage.COMPLETED, reason, now_s)
        return None

    def _enter(self, stage: RolloutStage, reason: str, now_s: float) -> StageChange:
        self.stage = stage
        self._stage_s = now_s
        self._step_counts = [0, 0]
        self._stage_results = self.comparison.count(Side.NEW)[0]
        return StageChange(
            stage=stage,
            reason=reason,
            age_s=self.age_s(now_s),
            exposed_count=self.exposed_count,
            request_count=self.request_count,
            assessment=self._assessment,
        )

    # Moves of the home

    def progress(self, now_s: float) -> RolloutProgress:
        """Return what the next home needs to go on."""
        return RolloutProgress(
            service=self.order.service,
            to_version=self.order.to_version,
            order_revision=self.order.revision,
            stage=int(self.stage),
            age_ms=int(1000 * self.age_s(now_s)),
            request_count=self.request_count,
            exposed_count=self.exposed_count,
            shift_step=self.shift_step,
            old_counts=_fitting(self.comparison.old_counts()),
            new_counts=_fitting(self.comparison.new_counts()),
            late_after_ms=dict(_fitting(self.comparison.late_after_ms().items())),
        )

    def adopt(self, progress: RolloutProgress, now_s: float, *, is_active: bool) -> bool:
        """Go on from the progress of another home.

        :param is_active: whether this instance places requests of the service itself; it then
            takes over a verdict only.
        :returns: whether the stage or the step changed.
        """
        is_same = progress.to_version == self.order.to_version
        if not is_same or progress.order_revision < self.order.revision or self.is_final:
            return False
        stage = RolloutStage(progress.stage)
        if stage is RolloutStage.UNKNOWN or (is_active and stage not in FINAL_STAGES):
            return False
        is_changed = (stage, progress.shift_step) != (self.stage, self.shift_step)
        if is_changed:
            self.stage, self.shift_step = stage, progress.shift_step
            self._stage_s = now_s
            self._step_counts = [0, 0]
        self._ordered_s = now_s - progress.age_ms / 1000.0
        self._is_continued = False
        self.request_count = progress.request_count
        self.exposed_count = progress.exposed_count
        self.comparison.adopt(progress.old_counts, progress.new_counts, progress.late_after_ms)
        self._stage_results = self.comparison.count(Side.NEW)[0]
        return is_changed


def _fitting(entries: Iterable[Entry]) -> list[Entry]:
    """Return the first entries that fit into their part of a progress message."""
    parts = divide(entries, most_bytes=PROGRESS_LIST_BYTES_MAX)
    return parts[0] if parts else []
