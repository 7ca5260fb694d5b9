"""Tests how the test runner treats the tests that ``KNOWN-RED.txt`` lists."""

import contextlib
import io
import unittest
from unittest import mock

import run_tests


class KnownRedTest(unittest.TestCase):
    """Guards against a listed test that fails the run, and another that does not."""

    def report(self, *, failed=(), passed=()):
        result = run_tests.DirectoryResult(
            directory="d", failed=set(failed), passed={"m.T.test_other", *passed}
        )
        with (
            mock.patch.object(run_tests, "known_red_tests", return_value={"m.T.test_a"}),
            contextlib.redirect_stdout(io.StringIO()),
        ):
            return run_tests.report_results([result], is_full_run=True)

    def test_listed_test_passes(self):
        self.assertEqual(self.report(passed=["m.T.test_a"]), 0)

    def test_listed_test_fails(self):
        self.assertEqual(self.report(failed=["m.T.test_a"]), 0)

    def test_subtests_of_a_listed_test_fail(self):
        self.assertEqual(self.report(failed=["m.T.test_a (n=1)", "m.T.test_a (n=2)"]), 0)

    def test_subtest_of_another_test_fails(self):
        failed = ["m.T.test_ab (n=1)"]
        self.assertEqual(self.report(failed=failed, passed=["m.T.test_a"]), 1)

    def test_listed_test_did_not_run(self):
        self.assertEqual(self.report(), 1)


if __name__ == "__main__":
    unittest.main()
