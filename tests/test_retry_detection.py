"""Tests of the detection of retries after a refusal."""

import random

from samphirevale import retry_detection
from tests import base


class WaitHistoryTest(base.TestCase):
    """Tests waits of one route and of another one."""

    def setUp(self):
        self.history = retry_detection.WaitHistory()

    def test_much_shorter_wait_is_a_retry(self):
        self.assertFalse(self.history.record_wait("r", 10.0))
        self.assertFalse(self.history.record_wait("r", 8.5))
        self.assertTrue(self.history.record_wait("r", 6.0))

    def test_waits_are_recorded_by_route(self):
        self.history.record_wait("r", 10.0)
        self.assertFalse(self.history.record_wait("other", 2.0))

    def test_varying_first_waits_are_not_retries(self):
        rng = random.Random(1)
        for _ in range(500):
            self.assertFalse(
                self.history.record_wait("r", rng.uniform(8.5, 10))
            )
            self.assertTrue(self.history.record_wait("r", rng.uniform(5, 6.5)))

    def test_effect_of_one_long_wait_decays(self):
        self.history.record_wait("r", 60.0)
        self.assertTrue(self.history.record_wait("r", 10.0))
        for _ in range(500):
            self.history.record_wait("r", 10.0)
        self.assertFalse(self.history.record_wait("r", 10.0))
