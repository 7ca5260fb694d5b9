"""Console output of the quick start, and its calls of the operator tool."""

import os
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

TOOL_NAME = "tanagerreach"
TOOL_MODULE = "tanagerreach_cli"
TOOL_TIMEOUT_S = 60.0
INDENT = "    "


class QuickstartError(Exception):
    """A step of the quick start failed."""


class Console:
    """Prints step headings with the time since the start, and their output."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()

    def step(self, text: str) -> None:
        """Print the heading of a step."""
        elapsed_s = time.monotonic() - self._started_s
        print(f"\n[{elapsed_s:5.1f} s] {text}", flush=True)

    def print_lines(self, text: str) -> None:
        """Print indented lines."""
        for line in text.splitlines():
            print(f"{INDENT}{line}".rstrip(), flush=True)


class OperatorTool:
    """Runs the operator tool as a child process.

    :param console: console on which commands and their output are printed.
    :param environment: environment variables with the instances and the credential file.
    """

    def __init__(self, *, console: Console, environment: dict[str, str]) -> None:
        self._console = console
        self.environment = environment

    def show(self, *arguments: str) -> str:
        """Run a command and print it with its output.

        :returns: the standard output of the command.
        :raises QuickstartError: when the command fails.
        """
        self._console.print_lines(f"$ {TOOL_NAME} {' '.join(arguments)}")
        output = self._run(arguments)
        self._console.print_lines(output)
        return output

    def read(self, *arguments: str) -> Any:
        """Run a command with ``--json`` and return its decoded output without printing it."""
        return msgspec.json.decode(self._run([*arguments, "--json"]))

    def _run(self, arguments: Sequence[str]) -> str:
        completed = subprocess.run(
            [*tool_command(), *arguments],
            env={**os.environ, **self.environment},
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=TOOL_TIMEOUT_S,
            check=False,
        )
        if completed.returncode != 0:
            raise QuickstartError(
                f"'{TOOL_NAME} {' '.join(arguments)}' exited with {completed.returncode}: "
                f"{completed.stderr.strip() or completed.stdout.strip()}"
            )
        return completed.stdout


def tool_command() -> list[str]:
    """Return the command line of the installed tool, or of its module if it is not installed."""
    installed = Path(sys.executable).parent / TOOL_NAME
    if installed.exists():
        return [str(installed)]
    return [sys.executable, "-m", TOOL_MODULE]
