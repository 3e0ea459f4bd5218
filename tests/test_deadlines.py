"""Tests of deadlines."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import deadlines
from tests import base


class DeadlinesTest(base.TestCase):
    """The arithmetic of remaining time."""

    @given(st.floats(0, 1e6), st.floats(0, 1e6))
    @settings(derandomize=True, max_examples=50)
    def test_encoding_never_extends_the_deadline(self, deadline_at, now):
        sent = deadlines.encode_remaining_ms(deadline_at, now, 0.001)
        self.assertGreaterEqual(sent, 0)
        received = deadlines.decode_remaining_ms(sent, now)
        self.assertLessEqual(received, max(deadline_at, now) + 1e-6)

    def test_split_is_proportional(self):
        self.assertEqual(deadlines.split_remaining(4.0, [1, 3]), [1.0, 3.0])
        self.assertEqual(deadlines.split_remaining(4.0, [0, 0]), [2.0, 2.0])

    def test_reserves_time_for_later_stages(self):
        self.assertEqual(deadlines.compute_stage_deadline(5.0, [1.0, 1.0]), 3.0)
        margin = deadlines.SERVICE_MARGIN
        self.assertAlmostEqual(
            deadlines.compute_stage_deadline(5.0, [1.0], [0.5]),
            4.0 - margin / 2,
        )

    def test_cancels_work_without_enough_time(self):
        self.assertTrue(deadlines.should_cancel(1.0, 1.0))
        self.assertTrue(deadlines.should_cancel(1.0, 0.5, 0.6))
        self.assertFalse(deadlines.should_cancel(1.0, 0.5, 0.4))
