"""Tests of the validation of whole configurations."""

import unittest

import msgspec
from config_samples import make_objects, make_service, objects
from hypothesis import given
from hypothesis import strategies as st
from tanagerreach_core._validation import is_address
from tanagerreach_core.config import (
    ApiKey,
    Configuration,
    DataCentre,
    Limit,
    Resolver,
    Route,
    Service,
    Target,
    Workspace,
    check_configuration,
    decode_chunk,
    encode_chunks,
    errors_of,
    hash_key,
)

HASH = hash_key("x" * 20)


def target(**fields):
    """Build a service with one target."""
    defaults = {"name": "t", "address": "10.0.0.1:80", "data_centre": "a"}
    return Service(name="s", targets=(Target(**(defaults | fields)),))


ERRORS = [
    (Workspace(name="bad name"), "workspace bad name: name = 'bad name': allowed is 1 to 63"),
    (Workspace(name="w", labels={"a b": "c"}), "workspace w: labels = 'a b'"),
    (Workspace(name="w", labels={"name": "c"}), "any label but 'name'"),
    (Workspace(name="w", labels={"a": ""}), "workspace w: labels.a = ''"),
    (ApiKey(name="k", key_hash="XY", workspace="acme"), "key k: key_hash = 'XY'"),
    (ApiKey(name="k", key_hash=HASH, workspace="w"), "key k: workspace = 'w': allowed is the name"),
    (ApiKey(name="k", key_hash=hash_key("kf-live-0000000000000001"), workspace="acme"), "acme-1"),
    (make_service(floor=3), "service catalogue: floor = 3: allowed is 0 to 2"),
    (Service(name="s"), "service s: floor = 1: allowed is 0 to 0"),
    (make_service(slots_per_target=0), "service catalogue: slots_per_target = 0"),
    (
        make_service(cold_concurrency=5),
        "service catalogue: cold_concurrency = 5: allowed is 1 to 4",
    ),
    (make_service(timeout_s=0.0), "service catalogue: timeout_s = 0.0"),
    (make_service(timeout_s=float("nan")), "service catalogue: timeout_s = nan"),
    (make_service(data_centres="a="), "at position 3, expected a value"),
    (target(address="localhost:80"), "targets.t.address = 'localhost:80': allowed is an IP"),
    (target(data_centre="c"), "targets.t.data_centre = 'c': allowed is the name of an existing"),
    (target(labels={"": "x"}), "service s: targets.t.labels"),
    (Route(name="r", service="gone"), "route r: service = 'gone': allowed is the name"),
    (Route(name="r", service=""), "route r: service = ''"),
    (Route(name="r", service="!x", path_prefix="/a/../b"), "route r: path_prefix"),
    (Route(name="r", service="!x", path_prefix="/a%2f"), "route r: path_prefix"),
    (Route(name="r", service="!x", path_prefix="a"), "route r: path_prefix"),
    (Route(name="r", service="!x", path_prefix="/a/"), "route r: path_prefix"),
    (Route(name="r", service="!x", host="A:80"), "route r: host = 'A:80'"),
    (Route(name="r", service="!x", methods=("get",)), "route r: methods = 'get'"),
    (Route(name="r", service="!x", max_body_bytes=-1), "route r: max_body_bytes = -1"),
    (Route(name="r", service="!x", path_prefix="/catalogue"), "route catalogue doesn't have"),
    (Limit(name="l", rate_per_s=0.0, burst=1.0), "limit l: rate_per_s = 0.0: allowed is above 0"),
    (Limit(name="l", rate_per_s=-1.0, burst=1.0), "limit l: rate_per_s = -1.0"),
    (Limit(name="l", rate_per_s=float("nan"), burst=1.0), "limit l: rate_per_s = nan"),
    (Limit(name="l", rate_per_s=1.0, burst=0.0), "limit l: burst = 0.0"),
    (Limit(name="all", rate_per_s=1.0, burst=1.0, workspaces="tier=x"), "workspace acme: labels"),
]

WARNINGS = [
    (Limit(name="l", rate_per_s=1.0, burst=1.0, workspaces="tier=x"), "limit l: workspaces"),
    (Route(name="r", service="kind=x"), "route r: service"),
    (Route(name="r", service="catalogue", workspaces="tier=x"), "route r: workspaces"),
    (make_service(data_centres="state=x"), "service catalogue: data_centres"),
]


def check(*added, removed=()):
    """Check the sample configuration with objects added, replaced or removed."""
    before = Configuration.from_objects(1, make_objects())
    kept = [item for item in before if item.name not in removed]
    after = Configuration.from_objects(2, [*kept, *added])
    findings = check_configuration(after, before)
    if [str(item) for item in check_configuration(after)] != [str(item) for item in findings]:
        # Without the earlier configuration, findings differ only in the note about removals.
        assert removed
    return findings


class ValidationTest(unittest.TestCase):
    """An accepted configuration is in force everywhere within seconds, so faults must be found."""

    def test_valid_configuration(self):
        """Guards against checks that refuse a valid configuration."""
        self.assertEqual(check(), [])

    def test_errors(self):
        """Guards against errors that are accepted or not explained."""
        for item, expected in ERRORS:
            with self.subTest(item=item):
                errors = [str(finding) for finding in errors_of(check(item))]
                self.assertTrue(any(expected in text for text in errors), errors)

    def test_warnings(self):
        """Guards against a dry run without a warning about a selector that picks nothing."""
        for item, expected in WARNINGS:
            with self.subTest(item=item):
                findings = check(item)
                self.assertEqual(errors_of(findings), [])
                self.assertIn(expected, str(findings[0]))
                self.assertIn("picks nothing", str(findings[0]))

    def test_ambiguous_service(self):
        """Guards against a route whose requests could go to either of two services."""
        two = [make_service("s1", labels={"x": "y"}), make_service("s2", labels={"x": "y"})]
        errors = errors_of(check(*two, Route(name="r", service="x=y", path_prefix="/r")))
        self.assertIn("it picks s1, s2", str(errors[0]))

    def test_removal_of_an_object_in_use(self):
        """Guards against removals that break other objects."""
        for name, user in (("acme", "key acme-1"), ("a", "service"), ("all", "workspace acme")):
            errors = errors_of(check(removed=[name]))
            self.assertTrue(str(errors[0]).startswith(user), errors)
            if name != "all":
                self.assertIn(f"{name} is in use here and can't be removed", str(errors[0]))
        without_service = errors_of(check(removed=["catalogue"]))
        self.assertEqual(without_service, [])
        route = Route(name="r", service="catalogue")
        errors = errors_of(check(route, removed=["catalogue"]))
        self.assertIn("service catalogue is in use here", str(errors[0]))

    def test_overlapping_routes(self):
        """Guards against two routes for the same request."""
        get = Route(name="r1", service="catalogue", path_prefix="/x", methods=("GET",))
        post = msgspec.structs.replace(get, name="r2", methods=("POST",))
        every = msgspec.structs.replace(get, name="r3", methods=())
        self.assertEqual(check(get, post), [])
        for pair in ((get, every), (every, get), (get, msgspec.structs.replace(get, name="r4"))):
            self.assertEqual(len(errors_of(check(*pair))), 1)

    def test_addresses(self):
        """Guards against targets that cannot be reached, or names that need a resolver."""
        for text in ("10.0.0.1:80", "[fd00::1]:65535"):
            self.assertTrue(is_address(text), text)
        for text in ("10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "fd00::1:80", "[10.0.0.1]:80"):
            self.assertFalse(is_address(text), text)
        for text in ("", ":80", "10.0.0.1: 80", "10.0.0.1:+80", "[fe80::1%1]:80", "a:80", "1:08"):
            self.assertFalse(is_address(text), text)

    @given(st.lists(objects))
    def test_accepted_configurations_can_be_used(self, made):
        """Guards against configurations that are accepted but cannot be stored or indexed."""
        centres = {item.data_centre for o in made if isinstance(o, Service) for item in o.targets}
        made += [DataCentre(name=name) for name in centres]
        configuration = Configuration.from_objects(1, made)
        if errors_of(check_configuration(configuration)):
            return
        Resolver(configuration)
        for chunk in encode_chunks(configuration):
            decode_chunk(chunk.data, chunk.hash)
