"""Tests of limits on how often a finding is logged."""

from samphirevale import log_limits
from tests import base

NOW = 100.0


class LogLimiterTest(base.TestCase):
    """Tests the lines that are permitted."""

    def setUp(self):
        self.limiter = log_limits.LogLimiter()

    def test_same_subject_is_logged_once_in_a_while(self):
        later = NOW + log_limits.INTERVAL_SECONDS
        self.assertTrue(self.limiter.permits("a", NOW))
        self.assertFalse(self.limiter.permits("a", later - 0.1))
        self.assertTrue(self.limiter.permits("b", later - 0.1))
        self.assertTrue(self.limiter.permits("a", later))

    def test_number_of_subjects_is_limited(self):
        numbers = range(log_limits.SUBJECTS_LIMIT)
        self.assertTrue(all(self.limiter.permits(i, NOW) for i in numbers))
        self.assertFalse(self.limiter.permits("a", NOW))
        later = NOW + log_limits.INTERVAL_SECONDS
        self.assertTrue(self.limiter.permits("a", later))
