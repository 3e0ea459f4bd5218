"""Checks that the source texts that the ablations replace still exist."""

from lab import ablations, mechanisms
from tests import base


class AblationsTest(base.TestCase):
    """Checks the tables of ablations."""

    def test_each_text_occurs_once(self):
        all_ablations = ablations.TEST_ABLATIONS + mechanisms.PROOF_ABLATIONS
        mismatches = ablations.list_mismatches(ablations.ROOT, all_ablations)
        self.assertEqual([], mismatches)

    def test_each_names_the_tests_or_invariant_that_detect_it(self):
        names = [ablation.name for ablation in ablations.TEST_ABLATIONS]
        self.assertEqual(len(set(names)), len(names))
        self.assertTrue(
            all(ablation.tests for ablation in ablations.TEST_ABLATIONS)
        )
        self.assertTrue(
            all(ablation.invariant for ablation in mechanisms.PROOF_ABLATIONS)
        )
