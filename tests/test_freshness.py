"""Tests of the age of copied data."""

from samphirevale import freshness
from tests import base


class FreshnessTest(base.TestCase):
    """Tests the age of one kind of object."""

    def test_missing_copy_is_not_usable(self):
        self.assertFalse(freshness.Freshness(5.0).is_usable(0.0))

    def test_copy_is_usable_for_less_than_the_limit(self):
        age = freshness.Freshness(5.0)
        age.confirm(100.0)
        self.assertTrue(age.is_usable(103.7))
        self.assertFalse(age.is_usable(103.9))

    def test_late_answer_to_an_older_call_has_no_effect(self):
        age = freshness.Freshness(5.0)
        age.confirm(100.0)
        age.confirm(98.0)
        self.assertEqual(100.0, age.confirmed_at)
