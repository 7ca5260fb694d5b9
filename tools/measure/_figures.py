"""Measured figures with their goals, verdicts and spread over several runs."""

import math
import statistics
from typing import Any

import msgspec

MET = "met"
NOT_MET = "not met"
NO_VERDICT = "no verdict"


class Figure(msgspec.Struct, kw_only=True):
    """One value, measured in one run.

    ``limit`` is the greatest value that meets the goal, or the least when ``is_floor``.
    ``no_verdict`` gives the reason why the value can't be judged, for example too few samples.
    """

    measure: str
    name: str
    value: float | None
    unit: str = ""
    goal: str = ""
    limit: float | None = None
    is_floor: bool = False
    no_verdict: str = ""
    note: str = ""

    def verdict(self) -> str:
        """Compare the value with its limit."""
        if self.limit is None or self.no_verdict or self.value is None:
            return NO_VERDICT if self.goal else ""
        met = self.value >= self.limit if self.is_floor else self.value <= self.limit
        return MET if met else NOT_MET


class Summary(msgspec.Struct, kw_only=True):
    """One figure over all runs."""

    measure: str
    name: str
    unit: str
    goal: str
    verdict: str
    limit: float | None
    is_floor: bool
    median: float | None
    least: float | None
    greatest: float | None
    values: list[float | None]
    notes: list[str]


def summarize(figures: list[Figure]) -> list[Summary]:
    """Summarize the figures of several runs; the verdict is that of the worst run."""
    groups: dict[tuple[str, str], list[Figure]] = {}
    for figure in figures:
        groups.setdefault((figure.measure, figure.name), []).append(figure)
    return [_summarize(group) for group in groups.values()]


def _summarize(group: list[Figure]) -> Summary:
    values = [figure.value for figure in group if _is_number(figure.value)]
    verdicts = [figure.verdict() for figure in group]
    order = (NOT_MET, NO_VERDICT, MET, "")
    notes = [
        "; ".join(part for part in (figure.no_verdict, figure.note) if part) for figure in group
    ]
    return Summary(
        measure=group[0].measure,
        name=group[0].name,
        unit=group[0].unit,
        goal=group[0].goal,
        verdict=min(verdicts, key=order.index),
        limit=group[0].limit,
        is_floor=group[0].is_floor,
        median=statistics.median(values) if values else None,
        least=min(values, default=None),
        greatest=max(values, default=None),
        values=[figure.value for figure in group],
        notes=notes,
    )


def goal_shares(summaries: list[Summary]) -> dict[str, float]:
    """Return the worst value of each figure as a share of its goal.

    Figures without a verdict are left out, as are goals for which a share means nothing: a goal of
    0, and a lower bound such as a success rate, which is close to its goal in any case.
    """
    return {
        f"{item.measure}: {item.name}": item.greatest / item.limit
        for item in summaries
        if item.verdict in (MET, NOT_MET)
        and item.limit
        and not item.is_floor
        and item.greatest is not None
    }


def _is_number(value: float | None) -> bool:
    return value is not None and math.isfinite(value)


def format_value(value: float | None) -> str:
    """Format a value for a table cell."""
    if value is None:
        return "–"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def render_tables(summaries: list[Summary]) -> str:
    """Render one Markdown table for each measurement."""
    lines: list[str] = []
    measure = ""
    for item in summaries:
        if item.measure != measure:
            measure = item.measure
            lines += ["", f"### {measure}", ""]
            lines += ["| figure | median | least to greatest | goal | verdict | remarks |"]
            lines += ["|---|---|---|---|---|---|"]
        spread = f"{format_value(item.least)} to {format_value(item.greatest)}"
        note = next((note for note in reversed(item.notes) if note), "")
        lines.append(
            f"| {item.name} | {format_value(item.median)} {item.unit} | {spread} | "
            f"{item.goal} | {item.verdict} | {note} |"
        )
    return "\n".join(lines) + "\n"


def to_json(content: Any) -> bytes:
    """Encode results as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(content), indent=1) + b"\n"
