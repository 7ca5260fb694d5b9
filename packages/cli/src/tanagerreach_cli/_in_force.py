"""Report of the instances on which a revision is in force."""

from dataclasses import dataclass
from typing import Any

from tanagerreach_core.operator_responses import FleetMember, FleetStatus

# By then the loans of a silent instance have ended too, so the wait need not include it
# (docs/design.md, section 6).
SILENT_AFTER_S = 8.0


@dataclass(slots=True, kw_only=True)
class InForceReport:
    """Number of instances on which a revision is in force, and the instances where it is not."""

    revision: int
    in_force_count: int
    instance_count: int
    after_s: float
    not_yet: list[FleetMember]
    is_settled: bool

    def to_json(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "revision": self.revision,
            "in_force": self.in_force_count,
            "instances": self.instance_count,
            "after_s": round(self.after_s, 3),
            "not_yet": [
                {"name": member.name, "reason": not_yet_reason(member)} for member in self.not_yet
            ],
        }

    def __str__(self) -> str:
        text = (
            f"revision {self.revision} in force on {self.in_force_count} of "
            f"{self.instance_count} instances after {self.after_s:.1f} s"
        )
        if self.not_yet:
            names = ", ".join(
                f"{member.name} ({not_yet_reason(member)})" for member in self.not_yet
            )
            text += f"; not yet: {names}"
        return text


def in_force_report(fleet: FleetStatus, revision: int, after_s: float) -> InForceReport:
    """Count the instances on which a revision is in force.

    The report is settled when the only missing instances have been silent for so long that
    waiting for them is of no use.
    """
    not_yet = [
        member
        for member in fleet.members
        if member.status is None or member.status.revision < revision
    ]
    return InForceReport(
        revision=revision,
        in_force_count=len(fleet.members) - len(not_yet),
        instance_count=len(fleet.members),
        after_s=after_s,
        not_yet=not_yet,
        is_settled=all(_is_silent(member) for member in not_yet),
    )


def not_yet_reason(member: FleetMember) -> str:
    """Describe why a revision is not known to be in force on an instance."""
    if member.status is not None:
        return f"has revision {member.status.revision}, state {member.status.state}"
    if member.heard_age_s is None:
        return f"not heard from; {member.error}"
    if _is_silent(member):
        return f"not heard from for {member.heard_age_s:.0f} s"
    return f"operator listener: {member.error}"


def _is_silent(member: FleetMember) -> bool:
    is_old = member.heard_age_s is None or member.heard_age_s >= SILENT_AFTER_S
    return member.status is None and is_old
