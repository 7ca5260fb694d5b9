"""Tests of path normalisation and of the lookups of keys, routes, limits and targets."""

import random
import unittest
from urllib.parse import unquote

import msgspec
from config_samples import KEY_TEXT, make_objects, make_service
from hypothesis import given, settings
from hypothesis import strategies as st
from tanagerreach_core.config import (
    ApiKey,
    Configuration,
    DataCentre,
    Limit,
    PathError,
    RefusalReason,
    Resolver,
    Route,
    Selector,
    Target,
    Workspace,
    hash_key,
    normalise_path,
)

REFUSED_PATHS = [
    *("", "a", "*", "http://host/a", "//host/a", "/a//b", "/a/./b", "/a/../b", "/..", "/."),
    *("/a/..;x=1/b", "/a/.;/b", "/;/a", "/a/;x/b", "/a/%2e%2e/b", "/a/.%2E/b", "/a/%2e/b"),
    *("/a%2fb", "/a%2Fb", "/a%5cb", "/a\\b", "/a%00", "/a\x00", "/a\n", "/a%0a", "/a%7f"),
    *("/a/%252e%252e/b", "/a%252fb", "/a%25252fb", "/a/%25%32%65%2e/b", "/a%25255c", "/a%2500"),
    *("/a%", "/a%2", "/a%zz", "/a b", "/a?b", "/a#b", "/ä", "/a/%3B/b", "/a/..%3Bx/b"),
    *("/%c0%ae%c0%ae/a", "/a%c0%afb", "/a%e0%80%afb", "/a%25c0%25afb"),
    "/a" * 5000,
]

ACCEPTED_PATHS = [
    ("/", "/"),
    ("/a/b/", "/a/b/"),
    ("/%61%2d%7E", "/a-~"),
    ("/a%c3%a4", "/a%C3%A4"),
    ("/a;v=1/b", "/a;v=1/b"),
    ("/100%25", "/100%25"),
    ("/.well-known/a..b/...", "/.well-known/a..b/..."),
]


def resolver_of(*added):
    """Index the sample configuration with objects added or replaced."""
    return Resolver(Configuration.from_objects(1, [*make_objects(), *added]))


def route(name, prefix, **fields):
    """Build a route to the sample service."""
    return Route(name=name, path_prefix=prefix, service="catalogue", **fields)


class PathTest(unittest.TestCase):
    """An ambiguous path could pass one route's check and reach another route's service."""

    def test_refused_paths(self):
        """Guards against path traversal in any encoding."""
        for path in REFUSED_PATHS:
            with self.subTest(path=path), self.assertRaises(PathError):
                normalise_path(path)

    def test_accepted_paths(self):
        """Guards against valid paths that are refused or changed."""
        for path, expected in ACCEPTED_PATHS:
            with self.subTest(path=path):
                self.assertEqual(normalise_path(path), expected)

    @settings(max_examples=500)
    @given(
        st.lists(
            st.sampled_from(["/", ".", "%2e", "%2F", "%5c", "%25", "2e", "2f", "a", ";", "%00"]),
            max_size=9,
        ).map("".join)
        | st.text(max_size=9)
    )
    def test_no_reading_of_an_accepted_path_escapes(self, suffix):
        """Guards against dot or empty segments after any number of decodings."""
        raw = "/" + suffix
        try:
            path = normalise_path(raw)
        except PathError:
            return
        self.assertEqual(normalise_path(path), path)
        for _ in range(8):
            names = [segment.split(";")[0] for segment in path.split("/")]
            self.assertFalse({".", ".."} & set(names) or "" in names[1:-1], path)
            self.assertFalse({"\\", "\0"} & set(path))
            self.assertEqual(path.count("/"), raw.count("/"))
            path = unquote(path)


class RouteTest(unittest.TestCase):
    """A request must reach the service that operators chose, or none."""

    def setUp(self):
        self.resolver = resolver_of(
            route("root", "/", host="shop.example"),
            route("deep", "/catalogue/items/new", methods=("GET",), idempotent=False),
            route("post", "/catalogue/items/new", methods=("POST",), timeout_s=2.0),
            route("dollar", "/price$list"),
            Route(name="nothing", path_prefix="/nothing", service="release=none"),
        )

    def name_of(self, path, method="GET", host="any"):
        """Return the name of the route found, or the reason for the refusal."""
        found = self.resolver.find_route(host, method, path)
        return found.ok_value.route.name if found.is_ok() else found.err_value.reason

    def test_longest_prefix_on_segment_boundaries(self):
        """Guards against requests that match a route with a similar prefix."""
        for path, expected in (
            ("/catalogue", "catalogue"),
            ("/catalogue/", "catalogue"),
            ("/%63atalogue/x", "catalogue"),
            ("/catalogue;v=1/items/new", "deep"),
            ("/catalogue/items/newer", "catalogue"),
            ("/catalogue/items/new/a/b/c/d", "deep"),
            ("/catalogue%3Bv=1/items/new", "deep"),
            ("/price$list", "dollar"),
            ("/price%24list", "dollar"),
            ("/cataloguer", RefusalReason.NO_ROUTE),
            ("/Catalogue", RefusalReason.NO_ROUTE),
            ("/", RefusalReason.NO_ROUTE),
            ("/catalogue/../x", RefusalReason.BAD_PATH),
        ):
            with self.subTest(path=path):
                self.assertEqual(self.name_of(path), expected)

    def test_path_without_the_last_slash_of_a_prefix_matches(self):
        """Guards against the path /browse that goes to the route of /browse/ instead of /."""
        resolver = resolver_of(
            route("all", "/", host="h"),
            route("below", "/browse/", host="h"),
            route("deep", "/browse/a/b/", host="h"),
            route("exact", "/browse/a", host="h"),
        )
        for path, expected in (
            ("/browse", "all"),
            ("/browser/x", "all"),
            ("/browse/", "below"),
            ("/browse/x/", "below"),
            ("/browse/a", "exact"),
            ("/browse/a/b", "exact"),
            ("/browse/a/b/", "deep"),
            ("/browse/a/b/c/d", "deep"),
            ("/browse/ab", "below"),
        ):
            with self.subTest(path=path):
                found = resolver.find_route("h", "POST", path)
                self.assertEqual(found.ok_value.route.name, expected)

    def test_encoded_path_matches_a_prefix_that_does_not_begin_it(self):
        """Guards against a path that goes to a route whose prefix it only has once decoded.

        A platform that passes paths on unchanged selects the route by the path as received.
        """
        routes = [route("all", "/", host="h"), route("below", "/browse/", host="h")]
        configuration = Configuration.from_objects(1, [*make_objects(), *routes])
        for decodes_paths, expected in ((False, "all"), (True, "below")):
            resolver = Resolver(configuration, decodes_paths=decodes_paths)
            for path in ("/%62rowse/x", "/browse;v=1/x"):
                with self.subTest(path=path, decodes_paths=decodes_paths):
                    found = resolver.find_route("h", "GET", path)
                    self.assertEqual(found.ok_value.route.name, expected)

    def test_prefixes_that_differ_in_the_last_slash_share_a_route(self):
        """Guards against the routes /a and /a/ that replace each other."""
        routes = [route("at", "/a", host="h"), route("below", "/a/", host="h")]
        for added in (routes, routes[::-1]):
            resolver = resolver_of(*added)
            for path, expected in (("/a", "at"), ("/a/", "below"), ("/a/b", "below")):
                found = resolver.find_route("h", "GET", path)
                self.assertEqual(found.ok_value.route.name, expected)

    def test_methods_do_not_fall_through(self):
        """Guards against a method that falls through to a shorter prefix with other rules."""
        self.assertEqual(self.name_of("/catalogue/items/new", "POST"), "post")
        self.assertEqual(
            self.name_of("/catalogue/items/new", "PUT"), RefusalReason.METHOD_NOT_ALLOWED
        )
        refusal = self.resolver.find_route("any", "PUT", "/catalogue/items/new").err_value
        self.assertEqual(refusal.allowed_methods, ("GET", "POST"))

    def test_hosts(self):
        """Guards against routes of a host that are missed due to case, port or trailing dot."""
        for host in ("shop.example", "SHOP.example:8080", "shop.example."):
            self.assertEqual(self.name_of("/catalogue", host=host), "root")
        for host in ("other", "", "[::1]:80", "shop.example.evil"):
            self.assertEqual(self.name_of("/catalogue", host=host), "catalogue")

    def test_match_details(self):
        """Guards against a non-idempotent request that is treated as idempotent."""
        for path, method, idempotent, timeout_s in (
            ("/catalogue", "GET", True, 30.0),
            ("/catalogue", "POST", False, 30.0),
            ("/catalogue", "PATCH", False, 30.0),
            ("/catalogue/items/new", "GET", False, 30.0),
            ("/catalogue/items/new", "POST", False, 2.0),
        ):
            found = self.resolver.find_route("any", method, path).ok_value
            self.assertEqual((found.idempotent, found.timeout_s), (idempotent, timeout_s))
        self.assertIsNone(self.resolver.find_route("any", "GET", "/nothing").ok_value.service)

    @given(
        st.lists(st.text("ab/", max_size=5).map(lambda text: "/" + text), unique=True), st.data()
    )
    def test_agrees_with_a_scan(self, prefixes, data):
        """Guards against prefixes that the index misses."""
        prefixes = [prefix for prefix in prefixes if "//" not in prefix]
        made = [route(f"r{number}", prefix) for number, prefix in enumerate(prefixes)]
        resolver = Resolver(Configuration.from_objects(1, made))
        parts = data.draw(st.lists(st.sampled_from("abc"), max_size=5))
        path = "/" + "/".join(parts) + ("/" if parts and data.draw(st.booleans()) else "")
        found = resolver.find_route("", "GET", path)
        matching = [
            prefix
            for prefix in prefixes
            if path == prefix or path.startswith(prefix.removesuffix("/") + "/")
            if path != prefix.removesuffix("/") or not prefix.endswith("/") or prefix == "/"
        ]
        if not matching:
            self.assertTrue(found.is_err())
            return
        expected = prefixes.index(max(matching, key=len))
        self.assertEqual(found.ok_value.route.name, f"r{expected}")


class LookupTest(unittest.TestCase):
    """Lookups of keys, limits and targets must match the objects exactly."""

    def test_keys(self):
        """Guards against requests with a withdrawn, unknown or malformed key."""
        resolver = resolver_of(
            ApiKey(name="old", key_hash=hash_key("o" * 20), workspace="acme", withdrawn=True)
        )
        self.assertEqual(resolver.workspace_of_key(KEY_TEXT).name, "acme")
        for text in ("o" * 20, "x" * 20, "", KEY_TEXT + " ", " " + KEY_TEXT, "ä" * 20, "k" * 999):
            self.assertIsNone(resolver.workspace_of_key(text))
        for text in ("short", "with space in the key", "ä" * 20, "k" * 201):
            with self.assertRaises(ValueError):
                hash_key(text)

    def test_route_admits_selected_workspaces(self):
        """Guards against a route that admits another workspace."""
        resolver = resolver_of()
        gold = route("r", "/r", workspaces="tier=gold")
        self.assertTrue(resolver.may_use(gold, Workspace(name="x", labels={"tier": "gold"})))
        self.assertFalse(resolver.may_use(gold, Workspace(name="x")))
        self.assertTrue(resolver.may_use(route("r", "/r"), Workspace(name="x")))

    def test_eligible_targets(self):
        """Guards against new work for leaving targets and data centres out of service."""
        service = make_service(count=4)
        leaving = msgspec.structs.replace(service.targets[0], labels={"state": "leaving"})
        service = msgspec.structs.replace(service, targets=(leaving, *service.targets[1:]))
        for centres, expected in (
            ([], [1, 2, 3]),
            ([DataCentre(name="b", labels={"state": "out"})], [2]),
            ([DataCentre(name="b", labels={"state": "standby"})], [1, 2, 3]),
        ):
            found = resolver_of(service, *centres).eligible_targets("catalogue")
            self.assertEqual([item.name for item in found], [f"catalogue-{n}" for n in expected])
        only_a = resolver_of(make_service(data_centres="name=a")).eligible_targets("catalogue")
        self.assertEqual([item.data_centre for item in only_a], ["a"])

    @settings(max_examples=150)
    @given(st.integers())
    def test_limits_agree_with_a_scan(self, seed):
        """Guards against a limit of another workspace, or one of lower precedence."""
        rng = random.Random(seed)
        texts = ["", "a=1", "a=2", "a in (1,2)", "a=1,b=1", "!a", "a!=1", "name=w1", "b,name=w2"]
        texts += ["name!=w3"] * rng.choice([0, 0, 9])
        made = [
            Limit(
                name=f"l{number}",
                workspaces=rng.choice(texts),
                priority=rng.randrange(2),
                rate_per_s=1.0,
                burst=1.0,
            )
            for number in range(rng.randrange(8))
        ]
        made += [
            Workspace(name=f"w{n}", labels={k: rng.choice("12") for k in "ab" if n & ord(k)})
            for n in range(12)
        ]
        configuration = Configuration.from_objects(1, made)
        resolver = Resolver(configuration)
        for workspace in configuration.workspaces.values():
            matching = [
                (-limit.priority, -len(selector.requirements), limit.name)
                for limit in configuration.limits.values()
                if (selector := Selector.parse(limit.workspaces)).picks(workspace)
            ]
            found = resolver.limit_of(workspace.name)
            self.assertEqual(found and found.name, min(matching)[2] if matching else None)

    def test_reused_indexes_equal_fresh_ones(self):
        """Guards against lookups that return results of an earlier revision."""
        rng = random.Random(3)
        keys = [f"key-{number}-aaaaaaaaaaaaaaaa" for number in range(6)]
        current = {(item.kind, item.name): item for item in make_objects()}
        resolver = None
        for revision in range(300):
            for item in random_objects(rng, keys):
                current[item.kind, item.name] = item
            if rng.random() < 0.3:
                current.pop(rng.choice(list(current)))
            configuration = Configuration.from_objects(revision, current.values())
            resolver = Resolver(configuration, resolver)
            fresh = Resolver(configuration)
            self.assertEqual(lookup_results(resolver, keys), lookup_results(fresh, keys))


def random_objects(rng, keys):
    """Make random objects, which may replace earlier ones."""
    kind = rng.randrange(6)
    number = rng.randrange(3)
    state = {"state": rng.choice(["out", "in"])}
    if kind == 0:
        yield Workspace(name=f"w{number}", labels=state)
    elif kind == 1:
        withdrawn = rng.random() < 0.5
        key_hash = hash_key(rng.choice(keys))
        yield ApiKey(name=key_hash[:9], key_hash=key_hash, workspace="acme", withdrawn=withdrawn)
    elif kind == 2:
        centre = rng.choice("ab")
        target = Target(name="t", address="10.0.0.1:1", data_centre=centre)
        yield make_service(f"s{number}", labels=state)
        yield msgspec.structs.replace(make_service("t"), targets=(target,))
    elif kind == 3:
        yield DataCentre(name=rng.choice("ab"), labels=state)
    elif kind == 4:
        service = rng.choice(["s0", "t", "state=in,name=s1"])
        yield Route(name=f"r{number}", path_prefix=f"/p{rng.randrange(3)}", service=service)
    else:
        text = rng.choice(["", "state=out", "name=w1"])
        yield Limit(name=f"l{number}", workspaces=text, rate_per_s=1.0, burst=1.0)


def lookup_results(resolver, keys):
    """Collect the results of all lookups."""
    names = ["acme", "w0", "w1", "w2"]
    return [
        [resolver.workspace_of_key(key) for key in keys],
        [resolver.limit_of(name) for name in names],
        [resolver.find_route("", "GET", f"/p{number}") for number in range(3)],
        [resolver.eligible_targets(name) for name in ("s0", "s1", "t", "catalogue")],
    ]
