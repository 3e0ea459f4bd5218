"""Tests of the retry budget over all entries."""

import hypothesis
from hypothesis import strategies

from samphirevale import retry_budgets
from tests import base

LIMITS = retry_budgets.RetryBudgetLimits(
    ratio=0.2, allowance=50, window_seconds=10.0
)


class RetryBudgetTest(base.TestCase):
    """Tests the shares of entries."""

    def test_first_sends_raise_the_budget(self):
        budget = retry_budgets.RetryBudget(LIMITS)
        before = budget.compute_remaining("s", 4, 100.0)
        for _ in range(100):
            budget.record_first_send("s", 100.0)
        self.assertGreater(budget.compute_remaining("s", 4, 100.0), before + 10)

    def test_budget_recovers_after_the_window(self):
        budget = retry_budgets.RetryBudget(LIMITS)
        while budget.take("s", 4, 100.0):
            pass
        self.assertFalse(budget.take("s", 4, 109.9))
        self.assertTrue(budget.take("s", 4, 110.1))

    def test_exhausted_shares_stay_within_the_limit(self):
        entries = [retry_budgets.RetryBudget(LIMITS) for _ in range(4)]
        taken = sum(
            entry.take("s", 4, 100.0) for entry in entries for _ in range(99)
        )
        self.assertLessEqual(taken, 50)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.booleans(),
                strategies.floats(0, 0.5),
            ),
            max_size=400,
        )
    )
    def test_all_entries_together_stay_within_the_limit(self, calls):
        entries = [retry_budgets.RetryBudget(LIMITS) for _ in range(4)]
        now = 100.0
        retries, first_sends = [], []
        for index, first, pause in calls:
            now += pause
            if first:
                entries[index].record_first_send("s", now)
                first_sends.append(now)
            elif entries[index].take("s", 4, now):
                retries.append(now)
            window = now - LIMITS.window_seconds
            retries_in_window = sum(at >= window for at in retries)
            requests = sum(at >= window for at in first_sends)
            self.assertLessEqual(retries_in_window, 50 + 0.2 * requests)
