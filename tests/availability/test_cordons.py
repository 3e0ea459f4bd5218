"""Tests of the cordons that an entry knows."""

import hypothesis
from hypothesis import strategies

from samphirevale import store_eras
from samphirevale.availability import cordons
from tests import base

NOW = 100.0
REWRITTEN = NOW + store_eras.REWRITE_SECONDS

DATA_CENTRES = ("a", "b", "c")


def listed(version, *names):
    return cordons.CordonList(version, frozenset(names))


class CordonsTest(base.TestCase):
    """Tests the cordons of one entry."""

    def setUp(self):
        self.cordons = cordons.Cordons(required=True)

    def list_cordoned(self, now=NOW):
        return sorted(self.cordons.list_cordoned(now))

    def test_nothing_is_known_before_the_first_list(self):
        self.assertFalse(self.cordons.is_known())
        self.assertTrue(cordons.Cordons(required=False).is_known())
        self.cordons.adopt(listed(5))
        self.assertTrue(self.cordons.is_known())

    def test_cordon_holds_until_it_is_removed(self):
        self.assertTrue(self.cordons.adopt(listed(5, "a")))
        self.assertTrue(self.cordons.is_cordoned("a", NOW + 1e6))
        self.assertFalse(self.cordons.is_cordoned("b", NOW))
        self.assertTrue(self.cordons.adopt(listed(6)))
        self.assertFalse(self.cordons.is_cordoned("a", NOW))

    def test_older_list_changes_nothing(self):
        self.cordons.adopt(listed(5, "a"))
        self.assertFalse(self.cordons.adopt(listed(4)))
        self.assertEqual(["a"], self.list_cordoned())

    def test_copy_that_lacks_a_cordon_does_not_end_it_at_once(self):
        self.cordons.adopt(listed(5, "a"))
        self.cordons.start_era(NOW)
        self.assertEqual(["a"], self.list_cordoned())
        self.cordons.adopt(listed(3, "b"))
        self.assertEqual(["a", "b"], self.list_cordoned())
        self.assertEqual(["b"], self.list_cordoned(REWRITTEN))

    def test_cordon_holds_until_the_new_era_is_read(self):
        self.cordons.adopt(listed(5, "a"))
        self.cordons.start_era(NOW)
        self.assertEqual(["a"], self.list_cordoned(REWRITTEN + 10.0))
        self.cordons.adopt(listed(1))
        self.assertEqual([], self.list_cordoned(REWRITTEN + 10.0))

    def test_watched_cordons_follow_the_changes(self):
        watched = cordons.WatchedCordons()
        self.assertEqual({"a"}, watched.replace(["a"]))
        self.assertEqual({"a", "b"}, watched.change("b", True))
        self.assertEqual({"b"}, watched.change("a", False))
        self.assertEqual({"b"}, watched.change("a", False))


@strategies.composite
def draw_history(draw):
    """Returns lists in the order of their versions."""
    names = strategies.sets(strategies.sampled_from(DATA_CENTRES))
    return [
        listed(version, *draw(names))
        for version in range(1, draw(strategies.integers(2, 8)))
    ]


class AnyOrderTest(base.TestCase):
    """Lists arrive from the store and from entries in any order."""

    @hypothesis.given(draw_history(), strategies.data())
    def test_newest_list_that_arrived_holds(self, history, data):
        known = cordons.Cordons()
        arrivals = data.draw(
            strategies.lists(strategies.sampled_from(history), min_size=1)
        )
        for arrival in arrivals:
            known.adopt(arrival)
            seen = arrivals[: arrivals.index(arrival) + 1]
            self.assertGreaterEqual(known.newest, max(seen))
        self.assertEqual(max(arrivals).names, known.list_cordoned(NOW))

    @hypothesis.given(draw_history(), draw_history(), strategies.data())
    def test_nothing_cordoned_is_used_while_a_copy_is_rewritten(
        self, before, after, data
    ):
        known = cordons.Cordons()
        for arrival in data.draw(strategies.permutations(before)):
            known.adopt(arrival)
        cordoned = known.list_cordoned(NOW)
        known.start_era(NOW)
        for arrival in data.draw(strategies.permutations(after)):
            known.adopt(arrival)
            self.assertLessEqual(cordoned, known.list_cordoned(NOW + 1.0))
        self.assertEqual(after[-1].names, known.list_cordoned(REWRITTEN))
