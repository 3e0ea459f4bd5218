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

    def test_answers_in_a_grace_period_use_no_more_than_the_margin(self):
        age = freshness.Freshness(5.0)
        age.confirm(100.0)
        age.start_grace_period(104.0)
        for started_at in (101.0, 102.0, 103.9):
            age.confirm(started_at)
        # The limit after the last answer before the period.
        self.assertTrue(age.is_usable(104.9))
        self.assertFalse(age.is_usable(105.1))

    def test_answer_after_a_grace_period_confirms(self):
        age = freshness.Freshness(5.0)
        age.confirm(100.0)
        age.start_grace_period(104.0)
        age.confirm(103.0)
        age.confirm(104.0)
        self.assertEqual(104.0, age.confirmed_at)

    def test_grace_period_without_an_answer_before_it_confirms_nothing(self):
        age = freshness.Freshness(5.0)
        age.start_grace_period(104.0)
        age.confirm(103.0)
        self.assertFalse(age.is_usable(103.1))
