"""Tests of what brings the cordons to an entry."""

from samphirevale import watchers
from samphirevale.availability import cordon_watch, cordons
from samphirevale.ports import objects
from tests import base, proxy_fakes


class FakeWatcher:
    """A watcher with the version that it has read last."""

    version = 1


class CordonWatchTest(base.TestCase):
    """Tests one entry."""

    def setUp(self):
        self.known = cordons.Cordons(required=True)
        self.journal = proxy_fakes.FakeJournal()
        self.watch = cordon_watch.CordonWatch(
            self.known, proxy_fakes.FakeClock(), self.journal
        )
        self.watch.watcher = FakeWatcher()
        self.callbacks = self.watch.build_callbacks(lambda now: None)

    def build_object(self, name, value):
        return objects.StoredObject("cordons", name, 1, value)

    def replace(self, version, *names):
        self.watch.watcher.version = version
        self.callbacks.replace_all(
            [self.build_object(name, {}) for name in names], 100.0
        )

    def change(self, version, name, value):
        self.watch.watcher.version = version
        self.callbacks.apply_changes([self.build_object(name, value)], 100.0)

    def list_cordoned(self):
        return sorted(self.known.list_cordoned(100.0))

    def test_lists_and_changes_of_the_store_are_adopted(self):
        self.replace(5, "a")
        self.change(6, "b", {})
        self.assertEqual(["a", "b"], self.list_cordoned())
        self.change(7, "a", None)
        self.assertEqual(["b"], self.list_cordoned())

    def test_report_that_is_newer_than_the_watch_holds(self):
        self.replace(5, "a")
        self.watch.adopt_report("other", cordons.CordonList(9, frozenset("b")))
        self.assertEqual(["b"], self.list_cordoned())
        self.change(8, "b", {})
        self.change(9, "a", None)
        self.assertEqual(["b"], self.list_cordoned())
        self.change(10, "b", None)
        self.assertEqual([], self.list_cordoned())

    def test_report_of_an_entry_that_knows_none_changes_nothing(self):
        self.watch.adopt_report("other", cordons.UNKNOWN_LIST)
        self.assertFalse(self.known.is_known())

    def test_changes_are_logged_once_with_their_source(self):
        self.replace(5, "a")
        self.replace(6, "a")
        self.watch.adopt_report("other", cordons.CordonList(9, frozenset("b")))
        logged = [fields for _, _, fields in self.journal.lines]
        self.assertEqual(
            [(["a"], "store"), (["b"], "other")],
            [(line["data_centres"], line["source"]) for line in logged],
        )

    def test_entries_that_others_tell_wait_longer(self):
        often = cordon_watch.compute_watch(4.0, quiet=False)
        self.assertEqual(
            4.0,
            often.wait_seconds
            + watchers.LATE_ANSWER_SECONDS
            + watchers.RECOVERY_SECONDS,
        )
        quiet = cordon_watch.compute_watch(4.0, quiet=True)
        self.assertGreater(quiet.wait_seconds, often.wait_seconds)
