"""Tests of the explain command."""

import io
import json
import tempfile
import unittest
from pathlib import Path

from rich.console import Console
from tanagerreach_cli.__main__ import run


def line(at_s, instance, event, **fields):
    return json.dumps(
        {"timestamp": at_s, "instance": instance, "message_type": event, "level": "info", **fields}
    )


LINES = [
    line(1.0, "i1", "dependency lost", dependency="store", reason="status 503"),
    line(99.0, "i2", "target outcome", target="t1", outcome="broken_before_head"),
    line(99.5, "i3", "target outcome", target="t2", outcome="timeout"),
    line(100.0, "i1", "try failed", request_id="r1", target="t1", placed_by="i2"),
    line(100.1, "i1", "request refused", request_id="r1", status=502, reason="upstream-failed"),
    line(100.2, "i1", "request refused", request_id="r2", status=429, reason="rate-exceeded"),
    "Traceback (most recent call last):",
    '{"timestamp": 100.3, "message_ty',
]


class ExplainTest(unittest.TestCase):
    """The explain command reads the log files of several instances."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "fleet.log"
        self.path.write_text("\n".join(LINES), encoding="utf-8")

    def explain(self, *arguments):
        output = io.StringIO()
        console = Console(file=output, width=300)
        code = run(["explain", *arguments], output=console, messages=console)
        return code, output.getvalue()

    def test_request_and_related_events(self):
        """Guards against a request id whose output lacks the cause or has unrelated lines."""
        code, text = self.explain("r1", str(self.path))
        self.assertEqual(code, 0)
        self.assertIn("reason=upstream-failed", text)
        self.assertIn("target=t1 outcome=broken_before_head", text)
        for other in ("r2", "t2", "status 503"):
            self.assertNotIn(other, text)

    def test_unknown_request(self):
        """Guards against empty output for an unknown id, which looks like an uneventful request."""
        code, text = self.explain("r9", str(self.path))
        self.assertEqual(code, 1)
        self.assertIn("no log line names request r9", text)

    def test_missing_file(self):
        """Guards against a traceback for a path that does not exist."""
        code, text = self.explain("r1", str(self.path) + "x")
        self.assertEqual(code, 2)
        self.assertIn("name a log file", text)


if __name__ == "__main__":
    unittest.main()
