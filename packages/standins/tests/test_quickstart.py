"""Tests of the quick start's error handling."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tanagerreach_standins import quickstart
from tanagerreach_standins._quickstart_console import QuickstartError


class FailedStepTest(unittest.TestCase):
    """A quick start with a failed step."""

    def test_exits_with_a_message(self):
        """Guards against a failed step that ends with success or with a stack trace."""
        messages = io.StringIO()
        with (
            tempfile.TemporaryDirectory() as directory,
            mock.patch.object(
                quickstart, "prepare_fleet", side_effect=QuickstartError("not within 25 s: x")
            ),
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(messages),
        ):
            status = quickstart.run(Path(directory), keep=False)
        self.assertEqual(status, quickstart.EXIT_FAILED)
        self.assertEqual(messages.getvalue(), "quickstart: failed: not within 25 s: x\n")


if __name__ == "__main__":
    unittest.main()
