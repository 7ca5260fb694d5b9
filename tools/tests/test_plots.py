"""Tests of the charts."""

import sys
import tempfile
import unittest
from pathlib import Path
from xml.etree import ElementTree

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from measure._figures import Figure, goal_shares, summarize
from plots import line_chart, share_chart, write_chart


class ChartTest(unittest.TestCase):
    """Contents of the written SVG files."""

    def written(self, chart):
        """Write a chart and return its text."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "plots" / "chart.svg"
            write_chart(chart, path)
            return path.read_text(encoding="utf-8")

    def texts(self, chart):
        """Return the texts in a chart."""
        root = ElementTree.fromstring(self.written(chart))
        return {element.text for element in root.iter() if element.text}

    def chart_with_gap(self):
        """Make a chart with a gap in one of its lines."""
        return line_chart(
            title="matcher",
            x_title="threshold",
            y_title="s",
            x_values=[6, 8],
            lines={"errors": [0.5, None]},
            counts={"false": [3, 0]},
        )

    def test_series_are_drawn(self):
        """Guards against a chart that leaves out a series."""
        self.assertLessEqual(
            {"matcher", "threshold", "errors", "false", "0.5"}, self.texts(self.chart_with_gap())
        )

    def test_equal_results_give_equal_files(self):
        """Guards against charts that differ by version or date although the results are equal."""
        self.assertEqual(self.written(self.chart_with_gap()), self.written(self.chart_with_gap()))
        self.assertNotIn("<!--", self.written(self.chart_with_gap()))

    def test_shares_of_goals(self):
        """Guards against hiding a missed goal by showing the median or leaving the figure out."""
        figures = [
            Figure(measure="m", name="missed once", value=value, goal="2 s", limit=2.0)
            for value in (1.0, 3.0)
        ]
        figures.append(Figure(measure="m", name="no goal", value=1.0))
        figures.append(Figure(measure="m", name="zero", value=0.0, goal="0", limit=0.0))
        shares = goal_shares(summarize(figures))
        self.assertEqual(shares, {"m: missed once": 1.5})
        self.assertIn("1.5", self.texts(share_chart(title="m", shares=shares)))


if __name__ == "__main__":
    unittest.main()
