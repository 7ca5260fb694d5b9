"""Tests of the JSON Lines log."""

import ast
import io
import json
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from tanagerreachd import _logs
from tanagerreachd._logs import InstanceLog, SecretFilter

KEY = "k3y-of-a-caller-0123456789"
SECRET = "fleet-secret-0123456789-0123456789"


class LogsTest(unittest.TestCase):
    """Log lines must be parseable JSON and must not contain keys or secrets."""

    def open(self, **options):
        stream = io.StringIO()
        log = InstanceLog(stream=stream, secrets=[SECRET], fields={"instance": "i-01"}, **options)
        self.addCleanup(log.close)
        return log, stream

    def test_line_is_one_json_object(self):
        """Guards against lines that log collectors cannot parse."""
        log, stream = self.open()
        log.info("store:unavailable", detail="line\nbreak", revision=3)
        lines = stream.getvalue().splitlines()
        self.assertEqual(len(lines), 1)
        line = json.loads(lines[0])
        self.assertEqual(line["message_type"], "store:unavailable")
        self.assertEqual((line["instance"], line["level"], line["revision"]), ("i-01", "info", 3))

    def test_call_names_a_field_of_the_log(self):
        """Guards against calls that fail, or whose field is replaced by the log's own."""
        own = {"message_type", "level", "timestamp", "task_uuid", "task_level", "event", "instance"}
        found = []
        for file in Path(_logs.__file__).parent.rglob("*.py"):
            for call in ast.walk(ast.parse(file.read_text())):
                if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute):
                    continue
                is_log_call = call.func.attr in ("debug", "info", "warning", "error")
                if is_log_call and own & {keyword.arg for keyword in call.keywords}:
                    found.append(f"{file.name}:{call.lineno}")
        self.assertEqual(found, [])

    def test_level(self):
        """Guards against lines below the configured level."""
        log, stream = self.open(level="warning")
        log.info("a:b")
        log.debug("a:b")
        self.assertEqual(stream.getvalue(), "")
        log.error("a:b")
        self.assertIn("error", stream.getvalue())

    def test_keys_and_secrets_are_replaced(self):
        """Guards against keys in headers, texts, bytes, exceptions, nested values and names."""
        log, stream = self.open()
        error = ValueError(f"bad header: Authorization: Bearer {KEY}")
        cases = [
            {"headers": {"Authorization": f"Bearer {KEY}"}},
            {"headers": [("x", f"bearer  {KEY}")]},
            {"detail": f"sent {SECRET} to peer"},
            {"detail": f"made tgr_{KEY}"},
            {"body": f"Bearer {KEY}".encode()},
            {"error": error},
            {"api_key": KEY, "operator_credential": KEY, "Set-Cookie": KEY},
            {"nested": [{"deep": ({f"Bearer {KEY}": {f"Bearer {KEY}"}},)}]},
        ]
        for case in cases:
            with self.subTest(case=case):
                log.info("request:refused", **case)
                self.assertNotIn(KEY, stream.getvalue())
                self.assertNotIn(SECRET, stream.getvalue())
        self.assertEqual(len(stream.getvalue().splitlines()), len(cases))

    @given(
        st.recursive(
            st.text(max_size=20).map(lambda text: f"{text}{SECRET}{text}"),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner) | st.tuples(inner),
        )
    )
    def test_secret_is_found_anywhere(self, value):
        """Guards against nested values that the filter does not clean."""
        cleaned = SecretFilter(secrets=[SECRET]).clean(value)
        self.assertNotIn(SECRET, json.dumps(cleaned))

    def test_deep_value_ends(self):
        """Guards against infinite recursion on a value that contains itself."""
        value = []
        value.append(value)
        json.dumps(SecretFilter().clean(value))
