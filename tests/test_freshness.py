"""Tests of the age of copied data."""

from samphirevale import freshness
from tests import base


class FreshnessTest(base.TestCase):
    """Tests the age of one kind of object."""

    def setUp(self):
        self.age = freshness.Freshness(5.0)

    def confirm(self, *started_at):
        for one in started_at:
            self.age.confirm(one)

    def test_missing_copy_is_not_usable(self):
        self.assertFalse(self.age.is_usable(0.0))

    def test_copy_is_usable_for_less_than_the_limit(self):
        self.confirm(100.0)
        self.assertTrue(self.age.is_usable(103.7))
        self.assertFalse(self.age.is_usable(103.9))

    def test_late_answer_to_an_older_call_has_no_effect(self):
        self.confirm(100.0, 98.0)
        self.assertEqual(100.0, self.age.confirmed_at)

    def test_answers_in_a_grace_period_use_no_more_than_the_margin(self):
        self.confirm(100.0)
        self.age.start_grace_period(104.0)
        self.confirm(101.0, 102.0, 103.9)
        # The limit after the last answer before the period.
        self.assertTrue(self.age.is_usable(104.9))
        self.assertFalse(self.age.is_usable(105.1))

    def test_answer_after_a_grace_period_confirms(self):
        self.confirm(100.0)
        self.age.start_grace_period(104.0)
        self.confirm(103.0, 104.0)
        self.assertEqual(104.0, self.age.confirmed_at)

    def test_grace_period_without_an_answer_before_it_confirms_nothing(self):
        self.age.start_grace_period(104.0)
        self.confirm(103.0)
        self.assertFalse(self.age.is_usable(103.1))
