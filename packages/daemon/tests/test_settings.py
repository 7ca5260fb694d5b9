"""Tests of the settings schema."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from tanagerreachd.settings import Address, load_settings, settings_reference

DOCS = Path(__file__).resolve().parents[3] / "docs" / "operators"
EXAMPLE = (DOCS / "settings-example.toml").read_text(encoding="utf-8")


class SettingsTest(unittest.TestCase):
    """An invalid setting must be reported at start by name, not cause a failure later."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def load(self, text, **replacements):
        for key, line in replacements.items():
            lines = [old for old in text.splitlines() if not old.startswith(f"{key} =")]
            text = "\n".join([*lines, line]) + "\n"
        path = self.folder / "instance.toml"
        path.write_bytes(text.encode() if isinstance(text, str) else text)
        return load_settings(path)

    def fault(self, **replacements):
        """Return the only error of the example with some lines replaced."""
        faults = self.load(EXAMPLE, **replacements).unwrap_err()
        self.assertEqual(len(faults), 1, faults)
        self.assertIn("instance.toml", str(faults[0]))
        return faults[0]

    def test_example_is_valid(self):
        """Guards against an invalid example file."""
        settings = self.load(EXAMPLE).unwrap()
        self.assertEqual(settings.peer_udp_address, Address(host="127.0.0.1", port=8082))
        self.assertEqual(settings.slot_count, 32)

    def test_reference_page_is_current(self):
        """Guards against a reference page that differs from the schema."""
        page = (DOCS / "settings.md").read_text(encoding="utf-8")
        self.assertEqual(page, settings_reference())

    def test_unknown_key_names_nearest(self):
        """Guards against a misspelt option whose default is used silently."""
        fault = self.fault(slot_cuont="slot_cuont = 32")
        self.assertEqual(fault.key, "slot_cuont")
        self.assertIn('"slot_count"', fault.allowed)

    def test_bad_values_are_named(self):
        """Guards against accepting, or not explaining, values of a wrong type or range."""
        cases = {
            "callers_address": ["'127.0.0.1:65536'", "'127.0.0.1:0'", "'localhost:80'", "8080"],
            "operator_address": ["'0.0.0.0:8081'", "'::1:80'", "'127.0.0.1'", "'127.0.0.1:٣'"],
            "peer_seeds": ["'127.0.0.1:8182'", "['nowhere']", "[1]"],
            "slot_count": ["4", "2000", "true", "32.0", "'32'"],
            "loan_term_s": ["nan", "inf", "-1", "false", "[]"],
            "instance_name": ["''", "'i 01'", "'I-01'", "'i-01\\n'", "'../i'", "1"],
            "log_level": ["'verbose'", "1", "[]"],
        }
        for key, values in cases.items():
            for value in values:
                with self.subTest(key=key, value=value):
                    fault = self.fault(**{key: f"{key} = {value}"})
                    self.assertEqual(fault.key, key)
                    self.assertTrue(fault.seen.startswith("saw "))

    def test_all_faults_are_reported_at_once(self):
        """Guards against reporting only one error per start."""
        faults = self.load('slot_count = 1\nstor_address = "x"\n').unwrap_err()
        keys = {fault.key for fault in faults}
        self.assertLessEqual({"slot_count", "stor_address", "instance_name", "store_address"}, keys)
        self.assertLessEqual({"fleet_secret", "operator_credential"}, keys)

    def test_unreadable_files(self):
        """Guards against a traceback for a path that is missing, a directory or not TOML."""
        self.assertIn("cannot be read", str(load_settings(self.folder / "none.toml").unwrap_err()))
        self.assertIn("cannot be read", str(load_settings(self.folder).unwrap_err()))
        self.assertIn("line 1", str(self.load("a = \nb = 1").unwrap_err()[0]))
        self.assertIn("not valid TOML", str(self.load("a = 1\na = 2").unwrap_err()[0]))
        path = self.folder / "latin1.toml"
        path.write_bytes(b"a = '\xe9'")
        self.assertIn("UTF-8", str(load_settings(path).unwrap_err()[0]))

    def test_secret_is_never_shown(self):
        """Guards against secrets in error messages and in the settings' text form."""
        fault = self.fault(fleet_secret="fleet_secret = 'hunter2'")
        self.assertNotIn("hunter2", str(fault))
        settings = self.load(EXAMPLE).unwrap()
        self.assertNotIn(settings.fleet_secret, repr(settings))
        self.assertNotIn(settings.operator_credential, repr(settings))

    def test_secret_files(self):
        """Guards against accepting a secret that is missing, empty or set twice."""
        secret = self.folder / "fleet"
        line = "fleet_secret_file = 'fleet'"
        self.assertIn("cannot be read", self.fault(fleet_secret=line).seen)
        secret.write_text("\n")
        self.assertIn("empty", self.fault(fleet_secret=line).seen)
        secret.write_text("short")
        self.assertEqual(self.fault(fleet_secret=line).key, "fleet_secret_file")
        secret.write_text("s" * 40 + "\n")
        self.assertEqual(self.load(EXAMPLE, fleet_secret=line).unwrap().fleet_secret, "s" * 40)
        self.assertIn("together", self.fault(fleet_secret_file=line).seen)

    def test_dependent_options(self):
        """Guards against terms that end between two exchanges, and against shared addresses."""
        self.assertIn("at least 5", self.fault(loan_term_s="loan_term_s = 4").allowed)
        self.assertIn("at least 16", self.fault(slot_lease_s="slot_lease_s = 10").allowed)
        fault = self.fault(freshness_limit_s="freshness_limit_s = 2")
        self.assertEqual(fault.key, "freshness_limit_s")
        fault = self.fault(store_address="store_address = '127.0.0.1:8081'")
        self.assertIn("operator_address", fault.seen)

    @given(
        st.ip_addresses().filter(lambda address: "%" not in str(address)),
        st.integers(min_value=1, max_value=65535),
    )
    def test_address_round_trip(self, host, port):
        """Guards against addresses that are altered by parsing and formatting."""
        address = Address(host=str(host), port=port)
        self.assertEqual(Address.parse(str(address)), address)
