"""Charts of measurements as SVG files."""

import re
from collections.abc import Mapping, Sequence
from pathlib import Path

import pygal
from pygal.style import CleanStyle

# pygal adds its version and the date in a comment; without it, equal results give equal files.
COMMENT = re.compile(r"<!--.*?-->", re.DOTALL)
WIDTH_PX = 900
LINE_HEIGHT_PX = 450
BAR_HEIGHT_PX = 28
MARGIN_HEIGHT_PX = 120
SHARE_LABEL = "value / goal"


def line_chart(
    *,
    title: str,
    x_title: str,
    y_title: str,
    x_values: Sequence[float],
    lines: Mapping[str, Sequence[float | None]],
    counts: Mapping[str, Sequence[float]],
) -> pygal.Line:
    """Draw several lines over the same x values.

    :param lines: series by name, on the left axis; ``None`` leaves a gap.
    :param counts: series by name, on the right axis.
    """
    chart = pygal.Line(
        title=title,
        x_title=x_title,
        y_title=y_title,
        width=WIDTH_PX,
        height=LINE_HEIGHT_PX,
        js=[],
        style=CleanStyle,
        legend_at_bottom=True,
        range=(0, None),
        secondary_range=(0, max(1, *(max(values) for values in counts.values()))),
    )
    chart.x_labels = [f"{value:g}" for value in x_values]
    for name, values in lines.items():
        chart.add(name, list(values))
    for name, values in counts.items():
        chart.add(name, list(values), secondary=True, stroke_style={"dasharray": "4, 4"})
    return chart


def share_chart(*, title: str, shares: Mapping[str, float]) -> pygal.HorizontalBar:
    """Draw a bar for each figure, with its value relative to its goal.

    :param shares: value divided by the goal, by name of the figure; above 1 the goal is missed.
    """
    chart = pygal.HorizontalBar(
        title=title,
        x_title=f"{SHARE_LABEL}; above 1 the goal is missed",
        width=WIDTH_PX,
        height=MARGIN_HEIGHT_PX + BAR_HEIGHT_PX * len(shares),
        js=[],
        style=CleanStyle,
        show_legend=False,
        print_values=True,
        value_formatter=lambda value: f"{value:.2g}",
        range=(0, max(1.0, *shares.values())),
    )
    # The first bar is drawn at the bottom.
    names = list(reversed(shares))
    chart.x_labels = names
    chart.add(
        SHARE_LABEL,
        [
            {"value": shares[name], "color": "#b3261e" if shares[name] > 1 else "#2e7d32"}
            for name in names
        ],
    )
    return chart


def write_chart(chart: pygal.graph.graph.Graph, path: Path) -> None:
    """Write a chart as an SVG file."""
    chart.no_prefix = True
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(COMMENT.sub("", chart.render(is_unicode=True)) + "\n", encoding="utf-8")
