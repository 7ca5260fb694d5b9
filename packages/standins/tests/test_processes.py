"""Tests of process groups and port allocation."""

import json
import subprocess
import sys
import unittest

from tanagerreach_standins.processes import ProcessGroup, ProcessStartError, free_port


class ProcessGroupTest(unittest.TestCase):
    """A process that outlives its test would disturb later tests."""

    def test_failed_start_shows_the_log(self):
        """Guards against a start failure whose message lacks the reason."""
        with ProcessGroup() as group:
            process = group.start("broken", [sys.executable, "-c", "exit('no such thing')"])
            process.address = f"127.0.0.1:{free_port()}"
            with self.assertRaisesRegex(ProcessStartError, "no such thing"):
                process.wait_ready(None)

    def test_all_processes_end(self):
        """Guards against processes that survive their group, as paused or ignoring SIGTERM."""
        ignores_sigterm = (
            "import signal,time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print('up',"
        )
        ignores_sigterm += "flush=True); time.sleep(60)"
        with self.assertRaises(ZeroDivisionError), ProcessGroup() as group:
            paused = group.start_standin("store")
            paused.pause()
            other = group.start("stubborn", [sys.executable, "-c", ignores_sigterm])
            while "up" not in other.log():
                pass
            other.terminate(timeout_s=0.2)
            raise ZeroDivisionError
        self.assertFalse(paused.is_running() or other.is_running())

    def test_ports_are_allocated_once(self):
        """Guards against two processes of one test on the same port."""
        ports = [free_port() for _ in range(50)]
        self.assertEqual(len(set(ports)), 50)

    def test_processes_side_by_side_get_different_ports(self):
        """Guards against a port that another test run takes before it is bound."""
        # With the same process id, all of them start their search at the same port.
        code = (
            "import os; os.getpid = lambda: 1\n"
            "from tanagerreach_standins.processes import free_port\n"
            "print([free_port() for _ in range(120)], flush=True); input()"
        )
        runs = [
            subprocess.Popen(
                [sys.executable, "-c", code],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        ports = [json.loads(run.stdout.readline()) for run in runs]
        for run in runs:
            run.communicate("\n")
        self.assertEqual(len(set().union(*ports)), 3 * 120)
