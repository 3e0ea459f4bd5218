"""How old what is known may be."""

from samphirevale import freshness
from tests import base


class FreshnessTest(base.TestCase):
    """The age of one kind of knowledge."""

    def test_nothing_known_is_never_usable(self):
        self.assertFalse(freshness.Freshness(5.0).is_usable(0.0))

    def test_it_is_usable_for_less_than_the_limit(self):
        age = freshness.Freshness(5.0)
        age.confirm(100.0)
        self.assertTrue(age.is_usable(103.7))
        self.assertFalse(age.is_usable(103.9))

    def test_a_late_answer_to_an_older_call_changes_nothing(self):
        age = freshness.Freshness(5.0)
        age.confirm(100.0)
        age.confirm(98.0)
        self.assertEqual(100.0, age.confirmed_at)
