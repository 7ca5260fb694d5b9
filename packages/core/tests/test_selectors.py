"""Tests of label selectors."""

import random
import unittest

from config_samples import labels, words
from hypothesis import given
from hypothesis import strategies as st
from tanagerreach_core.config import LabelIndex, Selector, SelectorError, Workspace

MATCHES = [
    ("", {}, True),
    ("tier=gold", {"tier": "gold"}, True),
    ("tier=gold", {}, False),
    ("env!=test", {}, True),
    ("env!=test", {"env": "test"}, False),
    ("region in (a, b)", {"region": "b"}, True),
    ("region in (a,b)", {"region": "c"}, False),
    ("region notin (a,b)", {"region": "a"}, False),
    ("region notin (a,b)", {}, True),
    ("legacy", {"legacy": "x"}, True),
    ("!legacy", {"legacy": "x"}, False),
    ("in in (in)", {"in": "in"}, True),
    ("tier=gold,region in (a,b),!legacy,env!=test", {"tier": "gold", "region": "a"}, True),
    ("tier=gold,region in (a,b),!legacy,env!=test", {"tier": "gold", "region": "x"}, False),
    ("name=acme", {}, True),
    ("name!=acme", {}, False),
]

ERRORS = [
    ("tier=", 6, "a value"),
    ("tier=gold,", 11, "a label name"),
    (",", 1, "a label name"),
    ("tier in a", 9, "'('"),
    ("tier in (a", 11, "',' or ')'"),
    ("tier in ()", 10, "a value"),
    ("tier is (a)", 6, "'in ('"),
    ("!", 2, "a label name"),
    ("a=b c", 5, "','"),
    ("a=b)", 4, "','"),
    ("a==b", 3, "a value"),
]


class SelectorTest(unittest.TestCase):
    """A selector that picks the wrong objects gives a workspace another one's limit or route."""

    def test_matches(self):
        """Guards against conditions that are evaluated wrongly."""
        for text, given_labels, expected in MATCHES:
            with self.subTest(text=text, labels=given_labels):
                self.assertEqual(Selector.parse(text).matches(given_labels, "acme"), expected)

    def test_errors_name_the_position(self):
        """Guards against errors that do not help to correct the selector."""
        for text, position, expected in ERRORS:
            with self.subTest(text=text), self.assertRaises(SelectorError) as caught:
                Selector.parse(text)
            self.assertEqual(caught.exception.position, position)
            self.assertIn(expected, str(caught.exception))

    @given(st.text(alphabet="ab=!,() in\t\x00é", max_size=20) | st.text())
    def test_fuzz(self, text):
        """Guards against exceptions other than SelectorError from the parser."""
        try:
            Selector.parse(text).matches({"a": "b"}, "ab")
        except SelectorError as error:
            self.assertLessEqual(error.position, len(text) + 1)

    @given(st.dictionaries(words, labels, max_size=6), st.integers())
    def test_index_agrees_with_a_scan(self, labels_by_name, seed):
        """Guards against an index that misses objects or returns wrong ones."""
        rng = random.Random(seed)
        workspaces = {
            name: Workspace(name=name, labels=given_labels)
            for name, given_labels in labels_by_name.items()
        }
        pairs = [pair for item in workspaces.values() for pair in item.labels.items()]
        pairs += [("name", name) for name in workspaces] + [("absent", "x")]
        parts = []
        for key, value in rng.choices(pairs, k=rng.randrange(3)):
            other = rng.choice(pairs)[1]
            forms = [f"{key}={value}", f"{key}!={value}", f"{key} in ({value},{other})", f"!{key}"]
            parts.append(rng.choice(forms))
        selector = Selector.parse(",".join(parts))
        picked = sorted(item.name for item in LabelIndex(workspaces).picked(selector))
        self.assertEqual(
            picked, sorted(name for name, item in workspaces.items() if selector.picks(item))
        )
