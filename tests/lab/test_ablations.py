"""The ablations' texts still match the tree, so that they do not rot."""

from lab import ablations, mechanisms
from tests import base


class AblationsTest(base.TestCase):
    """The tables of mechanisms."""

    def test_each_text_is_found_once(self):
        known = ablations.TESTED + mechanisms.PROVED
        found = ablations.list_mismatches(ablations.ROOT, known)
        self.assertEqual([], found)

    def test_each_has_a_proof(self):
        names = [item.name for item in ablations.TESTED]
        self.assertEqual(len(set(names)), len(names))
        self.assertTrue(all(item.tests for item in ablations.TESTED))
        self.assertTrue(all(item.invariant for item in mechanisms.PROVED))
