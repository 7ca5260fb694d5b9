"""Checks that the fault matrix names existing tests and has no empty cell."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "fault-matrix.md"
PROMISES = [f"P{number}" for number in range(1, 12)]
TEST_NAME = re.compile(r"\btest_\w+\.\w+\.\w+")
STATED_REASON = re.compile(r"not (proved|concerned): \w+")


def existing_tests():
    """Return the names of all tests as ``module.Class.method``."""
    names = set()
    for path in [*ROOT.glob("tests/test_*.py"), *ROOT.glob("packages/*/tests/test_*.py")]:
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if isinstance(node, ast.ClassDef):
                names.update(
                    f"{path.stem}.{node.name}.{item.name}"
                    for item in node.body
                    if isinstance(item, ast.FunctionDef) and item.name.startswith("test")
                )
    return names


def tables():
    """Return the page's tables as lists of rows of cells, without delimiter rows."""
    found = [[]]
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        if not line.startswith("|"):
            if found[-1]:
                found.append([])
        elif not line.startswith("|---"):
            found[-1].append([cell.strip() for cell in line.strip("|").split("|")])
    return [table for table in found if table]


class FaultMatrixTest(unittest.TestCase):
    """The fault matrix page against the test modules."""

    def test_every_named_test_exists(self):
        """Guards against a page that names missing tests as proof of a promise."""
        named = set(TEST_NAME.findall(PAGE.read_text(encoding="utf-8")))
        self.assertTrue(named)
        self.assertEqual(named - existing_tests(), set())

    def test_every_cell_names_a_test_or_a_reason(self):
        """Guards against a promise or fault without a test or a stated reason."""
        matrix, variants = tables()
        self.assertEqual([row[0].split()[0] for row in matrix[1:]], PROMISES)
        self.assertEqual([row[0].split()[0] for row in variants[1:]], PROMISES)
        for row in matrix[1:]:
            self.assertEqual(len(row), len(matrix[0]), row[0])
            for cell, fault in zip(row[1:], matrix[0][1:], strict=True):
                is_filled = TEST_NAME.search(cell) or STATED_REASON.match(cell)
                self.assertTrue(is_filled, f"{row[0]}, {fault}: {cell!r}")
        for promise, cell in variants[1:]:
            self.assertTrue(cell == "none" or TEST_NAME.search(cell), promise)


if __name__ == "__main__":
    unittest.main()
