"""Runs the test modules with nose2 and prints one summary line.

The result of a test that ``KNOWN-RED.txt`` lists is printed but doesn't change the exit status,
since such a test may fail in some runs only. A listed test that doesn't exist fails the run, so
that the list can't become outdated.
"""

import argparse
import concurrent.futures
import os
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TEST_DIRECTORIES = (
    "packages/core/tests",
    "packages/daemon/tests",
    "packages/cli/tests",
    "packages/standins/tests",
    "platform/tests",
    "tools/tests",
    "tests",
)
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "
DIRECTORY_TIMEOUT_S = 1800
# Process tests measure time, so they run after the others. Each module starts a fleet of about ten
# processes of its own; three modules at once made tests miss their time limits.
PROCESS_TEST_DIRECTORY = "tests"
PROCESS_TEST_WORKERS = 2
UNIT_TEST_WORKERS = 5
# Modules that bound what a process under attack uses; each runs alone, one module at a time.
SOLO_MODULES = ("test_caller_crowds",)
# The slowest modules start first, so that the run doesn't end with one of them and idle workers.
LONG_MODULES = (
    "test_planned_faults",
    "test_answers_under_faults",
    "test_planned_work",
    "test_gateway",
    "test_quickstart",
    "test_placement",
    "test_rights_invariants",
    "test_quota_moves",
)


@dataclass(slots=True, kw_only=True)
class DirectoryResult:
    """Outcome of the tests of one directory or module."""

    directory: str
    output: str = ""
    passed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    skipped: set[str] = field(default_factory=set)


def known_red_tests() -> set[str]:
    """Read the names of the tests that ``KNOWN-RED.txt`` lists."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def run_directory(directory: str, module: str = "") -> DirectoryResult:
    """Run the tests of a directory, or of one module in it, in a separate process."""
    result = DirectoryResult(directory=directory)
    path = ROOT / directory
    if not any(path.glob("test_*.py")):
        return result
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.xml"
        completed = subprocess.run(
            [
                *(sys.executable, "-m", "nose2", "--config", str(ROOT / "tools/nose2.cfg")),
                *("-s", str(path), "-t", str(path)),
                *("--plugin", "nose2.plugins.junitxml", "--junit-xml"),
                *("--junit-xml-path", str(report)),
                *([module] if module else []),
            ],
            cwd=path,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=DIRECTORY_TIMEOUT_S,
            check=False,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )
        result.output = completed.stdout
        if not report.exists():
            result.failed.add(f"{directory}: nose2 wrote no report")
            return result
        read_report(report, result)
    if completed.returncode != 0 and not result.failed:
        result.failed.add(f"{directory}: nose2 exited with status {completed.returncode}")
    return result


def read_report(report: Path, result: DirectoryResult) -> None:
    """Sort the test cases of a JUnit report by outcome."""
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            result.failed.add(name)
        elif case.find("skipped") is not None:
            result.skipped.add(name)
        else:
            result.passed.add(name)


def test_of_subtest(name: str) -> str:
    """Return the test of a failed subtest, which is reported as ``test (parameters)``."""
    return name.partition(" (")[0]


def list_modules(directories: list[str]) -> list[tuple[str, str]]:
    """List the directory and name of each test module, the slowest modules first."""
    found = [
        (directory, path.stem)
        for directory in directories
        for path in sorted((ROOT / directory).glob("test_*.py"))
    ]
    return sorted(found, key=lambda entry: entry[1] not in LONG_MODULES)


def run_modules(modules: list[tuple[str, str]], worker_count: int) -> list[DirectoryResult]:
    """Run test modules in parallel."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=worker_count) as pool:
        return list(pool.map(lambda entry: run_directory(*entry), modules))


def run_all(directories: list[str]) -> list[DirectoryResult]:
    """Run the unit tests, then the process tests, each in parallel, then the solo modules."""
    unit = [name for name in directories if name != PROCESS_TEST_DIRECTORY]
    modules = list_modules(unit)
    solo = [entry for entry in modules if entry[1] in SOLO_MODULES]
    results = run_modules(
        [entry for entry in modules if entry[1] not in SOLO_MODULES], UNIT_TEST_WORKERS
    )
    if PROCESS_TEST_DIRECTORY in directories:
        results += run_modules(list_modules([PROCESS_TEST_DIRECTORY]), PROCESS_TEST_WORKERS)
    return results + run_modules(solo, 1)


def report_results(results: list[DirectoryResult], is_full_run: bool) -> int:
    """Print failures and the summary line, and return the exit status.

    :param is_full_run: whether all test directories ran, so that each listed test must have run.
    """
    passed = set().union(*(result.passed for result in results))
    failed = set().union(*(result.failed for result in results))
    skipped = set().union(*(result.skipped for result in results))
    listed = known_red_tests()
    for result in results:
        if result.failed:
            print(result.output)
    unexpected = {name for name in failed if test_of_subtest(name) not in listed}
    for name in sorted(failed - unexpected):
        print(f"known red: {name}")
    for name in sorted(passed & listed):
        print(f"known red, passed in this run: {name}")
    stale = sorted(listed - set(map(test_of_subtest, failed)) - passed) if is_full_run else []
    for name in stale:
        print(f"KNOWN-RED.txt lists {name}, but no such test ran: correct or remove the entry")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(unexpected)} failed, {len(skipped)} skipped")
    return 1 if unexpected or stale or not passed else 0


def main() -> int:
    """Run the given test directories, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directories", nargs="*", default=list(TEST_DIRECTORIES))
    arguments = parser.parse_args()
    is_full_run = set(arguments.directories) == set(TEST_DIRECTORIES)
    return report_results(run_all(arguments.directories), is_full_run)


if __name__ == "__main__":
    sys.exit(main())
