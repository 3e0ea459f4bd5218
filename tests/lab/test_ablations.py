"""Checks that the source texts that the ablations replace still exist."""

from lab import ablations, mechanisms
from tests import base


class AblationsTest(base.TestCase):
    """Checks the tables of ablations."""

    def test_each_text_is_found_once(self):
        known = ablations.TEST_ABLATIONS + mechanisms.PROOF_ABLATIONS
        found = ablations.list_mismatches(ablations.ROOT, known)
        self.assertEqual([], found)

    def test_each_has_a_proof(self):
        names = [item.name for item in ablations.TEST_ABLATIONS]
        self.assertEqual(len(set(names)), len(names))
        self.assertTrue(all(item.tests for item in ablations.TEST_ABLATIONS))
        self.assertTrue(
            all(item.invariant for item in mechanisms.PROOF_ABLATIONS)
        )
