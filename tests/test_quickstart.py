"""The quick start as users run it, as a process."""

import os
import re
import subprocess
import sys
import unittest

TIMEOUT_S = 170.0
MAX_DURATION_S = 120.0
STEPS = (
    "starting 3 instances in 3 data centres",
    "creating services, workspaces, limits and keys",
    "ejected after",
    "warm after",
    "no new request reached dc-3",
    "every instance refuses it (401)",
    "merged into one time line",
    "instance-3 exited with 0",
)


class QuickstartTest(unittest.TestCase):
    """One complete run of the quick start."""

    def test_all_steps_succeed(self):
        """Guards against a quick start that fails, skips a step or takes more than two minutes."""
        completed = subprocess.run(
            [sys.executable, "-m", "tanagerreach_standins.quickstart"],
            env=dict(os.environ),
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        output = completed.stdout + completed.stderr
        self.assertEqual(completed.returncode, 0, output)
        for step in STEPS:
            self.assertIn(step, completed.stdout)
        duration_s = float(re.search(r"\[ *([0-9.]+) s\] done", completed.stdout)[1])
        self.assertLess(duration_s, MAX_DURATION_S)


if __name__ == "__main__":
    unittest.main()
