"""Tests of changes and differences."""

import unittest

from config_samples import make_objects
from result import Err
from tanagerreach_core.config import (
    Change,
    Configuration,
    DifferenceType,
    Kind,
    Workspace,
    apply_changes,
    changes_from_objects,
    diff_configurations,
)


def change(name, base_version, item, changed_by="ann"):
    """Build a change of a workspace."""
    return Change(
        kind=Kind.WORKSPACE,
        name=name,
        base_version=base_version,
        object=item,
        changed_by=changed_by,
    )


class ChangesTest(unittest.TestCase):
    """A change must not overwrite another operator's concurrent change."""

    def setUp(self):
        self.configuration = Configuration.from_objects(4, make_objects())

    def apply(self, *changes):
        """Apply changes, and keep the new configuration when there is no conflict."""
        result = apply_changes(self.configuration, changes)
        if not isinstance(result, Err):
            self.configuration = result.ok_value
        return result

    def test_versions_are_not_reused(self):
        """Guards against a change of a removed object that is applied to its namesake."""
        self.apply(change("new", None, Workspace(name="new")))
        self.assertEqual(self.configuration.workspaces["new"].version, 5)
        self.apply(change("new", 5, None))
        self.apply(change("new", None, Workspace(name="new")))
        self.assertEqual(self.configuration.workspaces["new"].version, 7)
        result = self.apply(change("new", 5, None))
        self.assertIn("changed by ann in revision 7", str(result.err_value))

    def test_conflicts_change_nothing(self):
        """Guards against commits that are only partly applied."""
        good = change("new", None, Workspace(name="new"))
        for bad in (
            change("acme", 3, Workspace(name="acme")),
            change("acme", None, Workspace(name="acme")),
            change("gone", 1, None),
        ):
            with self.subTest(bad=bad):
                result = self.apply(good, bad)
                self.assertIs(result.err_value.change, bad)
                self.assertIn(f"workspace {bad.name}: ", str(result.err_value))
                self.assertEqual(self.configuration.revision, 4)
                self.assertNotIn("new", self.configuration.workspaces)

    def test_kind_of_the_object(self):
        """Guards against an object that is stored under another kind."""
        with self.assertRaises(ValueError):
            self.apply(change("all", None, self.configuration.limits["all"]))

    def test_differences_and_changes_from_objects(self):
        """Guards against a dry run whose differences are not those of the commit."""
        before = self.configuration
        wanted = [
            Workspace(name="acme", labels={"tier": "silver"}),
            Workspace(name="new"),
            before.limits["all"],
        ]
        self.apply(*changes_from_objects(before, wanted, "ben"))
        self.apply(change("new", 5, None), change("other", None, Workspace(name="other")))
        found = diff_configurations(before, self.configuration)
        summary = [(item.name, item.type, [field.field for field in item.fields]) for item in found]
        self.assertEqual(summary[0], ("acme", DifferenceType.CHANGED, ["labels"]))
        self.assertEqual(summary[1][:2], ("other", DifferenceType.ADDED))
        self.assertEqual(found[0].fields[0].after, {"tier": "silver"})
        back = diff_configurations(self.configuration, before)
        self.assertEqual(back[1].type, DifferenceType.REMOVED)
        self.assertEqual(diff_configurations(before, before), [])

    def test_document_with_an_old_version_conflicts(self):
        """Guards against an edited export that silently undoes later changes."""
        self.apply(change("acme", 0, Workspace(name="acme", labels={"x": "1"})))
        old = Workspace(name="acme", labels={"x": "2"}, version=3)
        result = self.apply(*changes_from_objects(self.configuration, [old], "ben"))
        self.assertIsInstance(result, Err)
