"""Tests of the example deployments in ``examples``."""

import tomllib
import unittest
from pathlib import Path

from tanagerreach_core.config import Configuration, Resolver, check_configuration, read_document
from tanagerreach_standins.load import read_plan
from tanagerreach_standins.processes import ProcessGroup, free_port
from tanagerreachd.settings import load_settings

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
# Section 1.1 of the design.
TARGETS = {
    "kranfind": {"catalogue": 7, "reservations": 14, "intake": 6, "matcher": 6},
    "lakeshore": {"stockboard": 6, "tillhouse": 13, "laundrylog": 6, "rooftopmap": 6},
}
SLOTS = {"kranfind": 4, "lakeshore": 2}


def read(name):
    """Read a configuration document."""
    path = EXAMPLES / name / "configuration.toml"
    return tomllib.loads(path.read_text(encoding="utf-8"))


class ExamplesTest(unittest.TestCase):
    """Measurements on an example hold only if it has the size of its deployment."""

    def test_sizes(self):
        """Guards against a deployment whose size differs from the design."""
        for name, targets in TARGETS.items():
            document = read(name)
            services = document["service"]
            target_counts = {service["name"]: len(service["targets"]) for service in services}
            self.assertEqual(target_counts, targets)
            self.assertEqual({service["slots_per_target"] for service in services}, {SLOTS[name]})
            self.assertEqual((len(document["workspace"]), len(document["data-centre"])), (8, 3))

    def test_addresses_are_unique_and_local(self):
        """Guards against two processes of the examples with the same port."""
        addresses = []
        for name in TARGETS:
            for service in read(name)["service"]:
                addresses += [target["address"] for target in service["targets"]]
            for number in (1, 2, 3):
                path = EXAMPLES / name / f"instance-{number}.toml"
                settings = tomllib.loads(path.read_text(encoding="utf-8"))
                listeners = ("callers", "operator", "peer_udp", "peer_http")
                addresses += [settings[f"{listener}_address"] for listener in listeners]
        self.assertEqual(len(addresses), len(set(addresses)))
        self.assertTrue(all(address.startswith("127.0.0.1:") for address in addresses))

    def test_load_matches_configuration(self):
        """Guards against a load plan with a key, path or rate that the configuration refuses."""
        for name in TARGETS:
            text = (EXAMPLES / name / "configuration.toml").read_text(encoding="utf-8")
            resolver = Resolver(Configuration.from_objects(1, read_document(text)))
            plan = read_plan(EXAMPLES / name / "load.toml")
            self.assertEqual(len(plan.workspaces), 8)
            for caller in plan.workspaces:
                workspace = resolver.workspace_of_key(caller.key)
                self.assertEqual(workspace.name, caller.name)
                self.assertLess(caller.rate_per_s, resolver.limit_of(caller.name).rate_per_s / 2)
                for kind in plan.kinds_of(caller):
                    path = kind.path.replace("{n}", "1")
                    match = resolver.find_route("localhost", kind.method, path).unwrap()
                    self.assertTrue(resolver.may_use(match.route, workspace), kind.name)
                    self.assertEqual(match.idempotent, not kind.idempotency_key, kind.name)

    def test_instances_accept_the_examples(self):
        """Guards against a configuration or settings that the instances refuse."""
        for name in TARGETS:
            text = (EXAMPLES / name / "configuration.toml").read_text(encoding="utf-8")
            configuration = Configuration.from_objects(1, read_document(text))
            self.assertEqual(check_configuration(configuration), [])
            for number in (1, 2, 3):
                settings = load_settings(EXAMPLES / name / f"instance-{number}.toml")
                self.assertTrue(settings.is_ok(), settings)

    def test_backends_of_a_document(self):
        """Guards against backend servers whose options differ from the configuration."""
        with ProcessGroup() as group:
            document = group.log_directory / "small.toml"
            document.write_text(
                '[[service]]\nname = "s"\nslots_per_target = 3\n[[service.targets]]\n'
                f'name = "s-1"\naddress = "127.0.0.1:{free_port()}"\ndata_centre = "dc-2"\n'
            )
            started = group.start_backends(document)
            self.assertEqual(started["s-1"].call("GET", "/load")["slots"], 3)
            self.assertEqual(started["s-1"].call("GET", "/x")["data_centre"], "dc-2")
