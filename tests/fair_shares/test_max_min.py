"""Tests of max-min fair shares."""

import hypothesis
from hypothesis import strategies

from samphirevale.fair_shares import max_min
from tests import base

AMOUNTS = strategies.floats(0, 100)


class ComputeLevelTest(base.TestCase):
    """Tests the largest share of an account."""

    def test_what_small_accounts_leave_is_divided(self):
        demands = {"a": 1.0, "b": 2.0, "c": 9.0, "d": 20.0}
        self.assertEqual(4.5, max_min.compute_level(demands, 12.0))

    def test_all_get_what_they_ask_for_if_there_is_enough(self):
        demands = {"a": 1.0, "b": 2.0}
        self.assertEqual(float("inf"), max_min.compute_level(demands, 3.0))
        self.assertEqual(float("inf"), max_min.compute_level({}, 0.0))

    @hypothesis.given(
        strategies.dictionaries(strategies.text(), AMOUNTS), AMOUNTS
    )
    def test_shares_use_the_capacity_and_none_could_get_more(
        self, demands, capacity
    ):
        level = max_min.compute_level(demands, capacity)
        given = [min(demand, level) for demand in demands.values()]
        total = sum(demands.values())
        self.assertAlmostEqual(min(total, capacity), sum(given), places=6)
