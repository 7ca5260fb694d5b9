"""Tests of the operator tool against operator listeners on loopback."""

import io
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import cappa
from fake_fleet import CREDENTIAL, FakeFleet
from rich.console import Console
from tanagerreach_cli.__main__ import run
from tanagerreach_core.config import Change, hash_key
from tanagerreachd._configuration_provider import StoreUnavailable
from tanagerreachd._fleet_status import KnownInstance

OK, FAILED, INVALID, CONFLICT, UNREACHABLE, UNKNOWN = range(6)
NOWHERE = "http://127.0.0.1:1"
DOCUMENT = """
[[workspace]]
name = "acme"
labels = { tier = "gold" }

[[limit]]
name = "all"
rate_per_s = 10.0
burst = 20.0

[[data-centre]]
name = "east"

[[data-centre]]
name = "west"

[[service]]
name = "matcher"
floor = 1
targets = [
  { name = "m-1", address = "127.0.0.1:9001", data_centre = "east" },
  { name = "m-2", address = "127.0.0.1:9002", data_centre = "west" },
]

[[route]]
name = "match"
service = "matcher"
workspaces = "tier=gold"
"""


class CommandCase(unittest.TestCase):
    """Runs the tool in a temporary folder against two instances."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet = FakeFleet(2)
        self.addCleanup(self.fleet.stop)
        environment = {
            "TANAGERREACH_INSTANCES": ",".join(self.urls()),
            "TANAGERREACH_CREDENTIAL": CREDENTIAL,
            "TANAGERREACH_OPERATOR": "ann",
        }
        patch = mock.patch.dict(os.environ, environment)
        patch.start()
        self.addCleanup(patch.stop)

    def urls(self):
        return [instance.address for instance in self.fleet.instances]

    def run_tool(self, *arguments, expect=OK):
        """Run the tool and return its output: results, then messages."""
        output, messages = io.StringIO(), io.StringIO()
        with mock.patch("sys.stderr", messages), mock.patch("sys.stdout", output):
            try:
                code = run(
                    list(arguments),
                    output=Console(file=output, width=200),
                    messages=Console(file=messages, width=200),
                )
            except cappa.Exit as error:
                code = error.code
        text = output.getvalue() + messages.getvalue()
        self.assertEqual(code, expect, text)
        self.output = output.getvalue()
        return text

    def run_json(self, *arguments, expect=OK):
        self.run_tool("--json", *arguments, expect=expect)
        return json.loads(self.output)

    def write(self, text, name="fleet.toml"):
        path = self.folder / name
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return str(path)

    def apply(self, text=DOCUMENT, *arguments, expect=OK):
        return self.run_tool("apply", self.write(text), *arguments, expect=expect)

    def current(self):
        return self.fleet.configuration.current


class ChangeTest(CommandCase):
    """A change must be made once, be in force when the tool ends, and never be misreported."""

    def test_apply_get_and_apply_again(self):
        """Guards against documents that cannot be read back, and against needless revisions."""
        text = self.apply()
        self.assertIn("6 objects changed", text)
        self.assertIn("revision 1 in force on 2 of 2 instances", text)
        self.run_tool("get", "--output", "toml")
        self.assertIn("nothing to change", self.apply(self.output))
        self.assertEqual(self.current().revision, 1)
        self.assertEqual(self.current().workspaces["acme"].changed_by, "ann")
        text = self.run_tool("get", "workspace", "--selector", "tier=gold")
        self.assertIn("tier=gold", text)
        self.assertEqual(self.run_json("get", "limit", "all")["objects"][0]["burst"], 20)

    def test_dry_run_shows_difference_and_picks(self):
        """Guards against a dry run that changes something or hides an empty selector."""
        self.apply()
        changed = DOCUMENT.replace("20.0", "40.0").replace('"tier=gold"', '"tier=silver"')
        text = self.apply(changed, "--dry-run")
        self.assertIn("burst: 20.0 -> 40.0", text)
        self.assertRegex(text, r"route +match +workspaces +tier=silver +nothing")
        self.assertIn("workspaces: tier=gold -> tier=silver", text)
        self.assertRegex(text, r"data_centres +state!=out +east, west")
        self.assertIn("warning", text)
        self.assertIn(
            "target m-2: address=127.0.0.1:9002 data_centre=west -> address=127.0.0.1:9009",
            self.apply(DOCUMENT.replace("9002", "9009"), "--dry-run"),
        )
        cleared = DOCUMENT.replace('labels = { tier = "gold" }', "")
        self.assertIn('labels: {"tier": "gold"} -> {}', self.apply(cleared, "--dry-run"))
        self.assertEqual(self.current().revision, 1)

    def test_change_with_lost_response_is_made_once(self):
        """Guards against a change that is made twice when it is retried after a lost response."""
        self.fleet.instances[0].lost_response_count = 2
        self.apply()
        self.assertEqual(self.fleet.configuration.commit_count, 1)

    def test_unknown_outcome(self):
        """Guards against "failed" for a change that may have been made."""
        for instance in self.fleet.instances:
            instance.lost_response_count = 99
        text = self.apply(DOCUMENT, "--wait-s", "0.3", expect=UNKNOWN)
        self.assertIn("may or may not have taken effect", text)
        for instance in self.fleet.instances:
            instance.lost_response_count = 0
        lost = [StoreUnavailable(detail="no response", may_have_taken_effect=True)]
        down = [StoreUnavailable(detail="down", may_have_taken_effect=False)] * 99
        self.fleet.configuration.outages = lost + down
        self.run_tool("label", "workspace", "acme", "x=y", "--wait-s", "0.3", expect=UNKNOWN)
        self.fleet.configuration.outages = down
        arguments = ("label", "workspace", "acme", "x=y", "--wait-s", "0.3")
        text = self.run_tool(*arguments, expect=FAILED)
        self.assertIn("has not taken effect", text)
        self.assertIn("when 'tanagerreach status' shows the store as available", text)

    def test_long_waits_show_progress(self):
        """Guards against a long wait without progress messages where the output is no terminal."""
        down = [StoreUnavailable(detail="down", may_have_taken_effect=False)] * 99
        self.fleet.configuration.outages = down
        with mock.patch("tanagerreach_cli._progress.LINE_INTERVAL_S", 0.1):
            text = self.apply(DOCUMENT, "--wait-s", "1.2", expect=FAILED)
            self.assertIn("sending the change again: the store is unavailable: down", text)
            self.fleet.configuration.outages = []
            self.fleet.instances[1].lag_s = 0.8
            waits = [line for line in self.apply().splitlines() if "not yet: i-02" in line]
        self.assertGreater(len(waits), 1)

    def test_instances_that_do_not_answer(self):
        """Guards against giving up at the first silent instance, or not listing those tried."""
        self.apply()
        first, second = self.urls()
        self.fleet.instances[0].stop()
        with mock.patch.object(self.fleet.instances[0], "stop"):
            text = self.run_tool("status", "--instance", NOWHERE, "--instance", second)
            self.assertIn("i-02", text)
        text = self.run_tool("status", "--instance", NOWHERE, expect=UNREACHABLE)
        self.assertIn("127.0.0.1:1", text)
        error = self.run_json("delete", "route", "match", "--instance", NOWHERE, expect=UNREACHABLE)
        self.assertEqual((error["exit_code"], error["tried"]), (UNREACHABLE, [NOWHERE]))
        self.fleet.instances.pop(0)

    def test_wait_reports_silent_and_lagging_instances(self):
        """Guards against "in force" while a reachable instance still has the old revision."""
        self.fleet.silent.append(
            KnownInstance(name="i-07", operator_address="127.0.0.1:1", heard_age_s=40.0)
        )
        self.fleet.instances[1].lag_s = 0.5
        text = self.apply()
        self.assertIn("revision 1 in force on 2 of 3 instances", text)
        self.assertIn("not yet: i-07 (not heard from for 40 s)", text)
        self.fleet.instances[1].lag_s = 60.0
        report = self.run_json("delete", "route", "match", "--wait-s", "0.5", expect=FAILED)
        self.assertEqual(report["in_force"], 1)
        self.assertIn("i-02", [member["name"] for member in report["not_yet"]])

    def test_racing_operators(self):
        """Guards against a change that overwrites another operator's."""
        self.apply()

        def race():
            limit = self.current().limits["all"]
            change = Change(
                kind=limit.kind, name="all", base_version=1, object=limit, changed_by="bob"
            )
            self.fleet.configuration.commit(
                [change], transaction_id="bob", changed_by="bob", dry_run=False
            )

        self.fleet.configuration.before_commit.append(race)
        text = self.run_tool("label", "limit", "all", "x=y", expect=CONFLICT)
        for part in ("limit all", "bob", "revision 2", "repeat the change"):
            self.assertIn(part, text)
        stale = DOCUMENT.replace("burst = 20.0", "burst = 30.0\nversion = 1")
        self.apply(stale, expect=CONFLICT)
        self.apply(stale, "--dry-run", expect=CONFLICT)

    def test_prune(self):
        """Guards against pruning kinds that the documents do not hold."""
        self.apply()
        rest = DOCUMENT[: DOCUMENT.index("[[data-centre]]")].replace('"acme"', '"umbra"')
        self.apply(rest, "--prune")
        self.assertEqual(set(self.current().workspaces), {"umbra"})
        self.assertIn("match", self.current().routes)


class TaskTest(CommandCase):
    """The commands of each task page of the documentation must do what the page says."""

    def setUp(self):
        super().setUp()
        self.apply()

    def test_key_is_shown_once_and_only_hashed(self):
        """Guards against keys in the store, and against an unusable printed key."""
        created = self.run_json("key", "create", "acme")
        stored = self.current().keys[created["name"]]
        self.assertEqual(stored.key_hash, hash_key(created["key"]))
        self.assertNotIn(created["key"], self.run_tool("get", "key", "--output", "json"))
        self.run_tool("key", "withdraw", created["name"])
        self.assertTrue(self.current().keys[created["name"]].withdrawn)
        self.assertIn("nothing to change", self.run_tool("key", "withdraw", created["name"]))

    def test_key_with_bad_names(self):
        """Guards against keys of missing workspaces, invalid names and overwritten keys."""
        self.assertIn("doesn't exist", self.run_tool("key", "create", "acm", expect=FAILED))
        self.run_tool("key", "create", "acme", "--name", "my key", expect=INVALID)
        self.run_tool("key", "withdraw", "my key", expect=FAILED)
        self.run_tool("key", "create", "acme", "--name", "k1")
        before = self.current().keys["k1"]
        text = self.run_tool("key", "create", "acme", "--name", "k1", expect=CONFLICT)
        self.assertIn("choose another --name", text)
        self.assertNotIn("repeat the change", text)
        self.assertEqual(self.current().keys["k1"], before)

    def test_key_of_unknown_outcome_is_not_shown(self):
        """Guards against printing a key that may not exist."""
        lost = StoreUnavailable(detail="no response", may_have_taken_effect=True)
        self.fleet.configuration.outages = [lost] * 99
        text = self.run_tool("key", "create", "acme", "--wait-s", "0.3", expect=UNKNOWN)
        self.assertNotIn("tgr_", text)

    def test_data_centre_out_and_back(self):
        """Guards against taking out the last targets of a service without --force."""
        self.run_tool("take-out", "east")
        self.assertEqual(self.current().data_centres["east"].labels, {"state": "out"})
        text = self.run_tool("take-out", "west", expect=FAILED)
        self.assertIn("matcher (0 left, floor 1)", text)
        self.run_tool("take-out", "west", "--force")
        self.run_tool("bring-back", "east")
        self.run_tool("bring-back", "east")
        self.assertEqual(self.current().data_centres["east"].labels, {})
        self.run_tool("take-out", "north", expect=FAILED)

    def test_labels(self):
        """Guards against lost labels and accepted malformed ones."""
        self.run_tool("label", "workspace", "acme", "a=b", "tier-")
        self.assertEqual(self.current().workspaces["acme"].labels, {"a": "b"})
        self.run_tool("label", "target", "matcher/m-1", "state=leaving")
        targets = self.current().services["matcher"].targets
        self.assertEqual([target.leaving for target in targets], [True, False])
        for labels in (["a"], ["=b"], ["a="], ["-"], ["a=1", "a-"], ["a=1", "a=2"], ["a=b c"]):
            self.run_tool("label", "workspace", "acme", *labels, expect=INVALID)
        self.run_tool("label", "workspace", "acme", expect=INVALID)
        self.run_tool("label", "target", "matcher", "a=b", expect=INVALID)
        self.run_tool("label", "target", "matcher/m-9", "a=b", expect=FAILED)

    def test_status_and_metrics(self):
        """Guards against a status that hides silent instances or ejected targets."""
        self.fleet.silent.append(
            KnownInstance(name="i-07", operator_address="127.0.0.1:1", heard_age_s=None)
        )
        self.fleet.instances[0].target_states = {"matcher": {"m-1": "ejected", "m-2": "warm"}}
        text = self.run_tool("status")
        self.assertRegex(text, "i-07 +never heard; connection refused")
        self.assertIn("ejected 1 (m-1), warm 1", text)
        metrics = self.fleet.instances[0].metrics
        metrics.counter("refused_total", "Refused.", ("reason",)).add(3, "rate")
        metrics.latency("request_seconds", "Total.").record(0.1)
        self.assertRegex(self.run_tool("metrics"), r"refused_total +reason=rate +3")
        self.assertIn('refused_total{reason="rate"} 3', self.run_tool("metrics", "--prometheus"))

    def test_timeline_merges_in_causal_order(self):
        """Guards against effects that precede their causes in the merged timeline."""
        first, second = self.fleet.instances
        cause = first.timeline.record("store-unavailable", {"detail": "[bold]\x1b[31m"})
        second.timeline.observe(first.timeline.clock.tick())
        second.timeline.record("service-degraded", {}, cause)
        lines = self.run_tool("timeline", "--since", "1h").splitlines()
        positions = [
            next(number for number, line in enumerate(lines) if kind in line)
            for kind in ("store-unavailable", "service-degraded")
        ]
        self.assertLess(*positions)
        self.assertIn(f"<- {cause} (store-unavailable)", lines[positions[1]])
        self.assertNotIn("\x1b", "".join(lines))
        text = self.run_tool("timeline", "--kind", "service-degraded", "--json")
        self.assertEqual(json.loads(text)["cause"], cause)
        self.run_tool("timeline", "--since", "yesterday", expect=INVALID)


class BadInputTest(CommandCase):
    """Each error message must tell a new user what to write instead."""

    def test_documents(self):
        """Guards against invalid documents that are accepted or not explained."""
        duplicate = '[[workspace]]\nname = "acme"\n'
        cases = {
            "[[workspace]\n": "TOML",
            '[[workspaec]]\nname = "x"': "workspace",
            '[[workspace]]\nname = "x"\nlabel = {}': "labels",
            '[[limit]]\nname = "x"\nrate_per_s = "fast"\nburst = 1': "rate_per_s",
            '[[workspace]]\nname = "a b"': "a b",
            duplicate + duplicate: "a name used once",
            DOCUMENT.replace("9001", "90010"): "127.0.0.1:90010",
            DOCUMENT.replace('"tier=gold"', '"tier=="'): "position",
            "": "no objects",
            b"\xff\xfe": "UTF-8",
        }
        for text, expected in cases.items():
            with self.subTest(text=text[:40]):
                self.assertIn(expected, self.apply(text, expect=INVALID))
        self.assertEqual(self.current().revision, 0)
        self.run_tool("apply", str(self.folder / "none.toml"), expect=INVALID)
        self.run_tool("apply", expect=INVALID)

    def test_check_works_offline(self):
        """Guards against a check that needs a fleet or skips a file."""
        self.fleet.stop()
        self.fleet.instances.clear()
        self.run_tool("check", self.write(DOCUMENT))
        warning = self.run_tool("check", self.write(DOCUMENT.replace('"tier=gold"', '"tier=x"')))
        self.assertIn("picks nothing", warning)
        self.write(DOCUMENT)
        self.write('instance_name = "i 01"\n', "instance.toml")
        self.write(DOCUMENT, "copy.toml")
        text = self.run_tool("check", str(self.folder), expect=INVALID)
        self.assertIn("instance_name", text)
        self.assertIn("limit all is also in", text)
        self.run_tool("check", str(self.folder / "none"), expect=INVALID)
        self.assertIn("TOML", self.run_tool("check", self.write("a = "), expect=INVALID))
        self.assertIn("neither", self.run_tool("check", self.write("a = 1"), expect=INVALID))
        report = self.run_json("check", self.write('[[route]]\nname = "r"'), expect=INVALID)
        self.assertIn("service", report["errors"][0])

    def test_arguments(self):
        """Guards against invalid arguments that do not end with the exit code for invalid input."""
        cases = [
            (),
            ("aply",),
            ("get", "nothing"),
            ("get", "key", "--selector", "a=="),
            ("get", "--output", "yaml"),
            ("status", "--instance", "127.0.0.1:99999"),
            ("status", "--instance", "127.0.0.1"),
            ("status", "--instance", "ftp://127.0.0.1:80"),
            ("status", "--credential-file", str(self.folder / "none")),
            ("status", "--credential-file", self.write("two words")),
            ("status", "--timeout-s", "nan"),
            ("status", "--wait-s", "-1"),
            ("take-out",),
        ]
        for arguments in cases:
            with self.subTest(arguments=arguments):
                self.run_tool(*arguments, expect=INVALID)

    def test_unknown_kind_names_the_kinds(self):
        """Guards against errors that show a Python type instead of the kinds, or ignore --json."""
        for command in (
            ("get", "gadget"),
            ("label", "gadget", "x", "a=b"),
            ("delete", "gadget", "x"),
        ):
            with self.subTest(command=command):
                text = " ".join(self.run_tool(*command, expect=INVALID).split())
                self.assertIn("'data-centre'", text)
                self.assertNotIn("Literal", text)
        self.assertIn("gadget", self.run_json("get", "gadget", expect=INVALID)["error"])

    def test_numbers_that_json_lacks(self):
        """Guards against an error that hides the value, since JSON represents NaN as null."""
        for value in ("nan", "-inf", "1e400", '"nan"', "0", "-5.0"):
            with self.subTest(value=value):
                text = self.apply(DOCUMENT.replace("10.0", value), expect=INVALID)
                self.assertRegex(text, r"limit all: rate_per_s = '?[-a-z0-9.]+'?: ")
        self.assertEqual(self.current().revision, 0)

    def test_objects_in_use_are_kept(self):
        """Guards against references to deleted objects, and a refusal that suggests no remedy."""
        self.apply()
        self.run_tool("key", "create", "acme", "--name", "k1")
        for kind, name, user in (
            ("workspace", "acme", "key k1"),
            ("service", "matcher", "route match"),
            ("data-centre", "east", "service matcher"),
        ):
            with self.subTest(kind=kind):
                text = self.run_tool("delete", kind, name, expect=INVALID)
                self.assertIn(f"{user}: ", text)
                self.assertIn(f"first change or delete this {user.split()[0]}", text)
        self.run_tool("delete", "limit", "all", expect=INVALID)
        self.assertEqual(self.current().revision, 2)

    def test_credential(self):
        """Guards against errors that do not name a wrong or missing credential or instance."""
        text = self.run_tool("status", "--credential-file", self.write("wrong"), expect=FAILED)
        self.assertIn("credential", text)
        del os.environ["TANAGERREACH_CREDENTIAL"]
        self.assertIn("--credential-file", self.run_tool("status", expect=INVALID))
        del os.environ["TANAGERREACH_INSTANCES"]
        self.assertIn("--instance", self.run_tool("status", expect=INVALID))
