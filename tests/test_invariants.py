"""Tests of invariants."""

import prometheus_client
from absl import logging

from samphirevale import errors, invariants
from tests import base


class CheckTest(base.TestCase):
    """Violations are counted and logged, and raise in fatal mode."""

    def setUp(self):
        self.addCleanup(invariants.set_fatal, False)
        self.before = invariants.count_violations()[invariants.OWN_RESULT]

    def test_a_violation_is_counted_and_logged(self):
        with self.assertLogs(logging.get_absl_logger()) as logs:
            result = invariants.check(
                invariants.OWN_RESULT, False, request="r1"
            )
        self.assertFalse(result)
        self.assertIn("request='r1'", logs.output[0])
        count = invariants.count_violations()[invariants.OWN_RESULT]
        self.assertEqual(count, self.before + 1)
        sample = prometheus_client.REGISTRY.get_sample_value(
            "samphirevale_invariant_violations_total",
            {"invariant": invariants.OWN_RESULT},
        )
        self.assertEqual(sample, count)

    def test_fatal_mode_raises(self):
        invariants.set_fatal(True)
        with (
            self.assertLogs(logging.get_absl_logger()),
            self.assertRaises(errors.InvariantError),
        ):
            invariants.check(invariants.OWN_RESULT, False)

    def test_a_true_condition_is_not_counted(self):
        self.assertTrue(invariants.check(invariants.OWN_RESULT, True))
        count = invariants.count_violations()[invariants.OWN_RESULT]
        self.assertEqual(count, self.before)

    def test_an_undeclared_name_is_an_error(self):
        with self.assertRaises(KeyError):
            invariants.check("misspelt", True)
