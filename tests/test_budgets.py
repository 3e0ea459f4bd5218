"""The budget of repeats over all entries."""

import hypothesis
from hypothesis import strategies

from samphirevale import budgets
from tests import base

TERMS = budgets.BudgetTerms(ratio=0.2, allowance=50, window_seconds=10.0)


class RetryBudgetTest(base.TestCase):
    """One entry's part."""

    def test_firsts_add_to_it(self):
        budget = budgets.RetryBudget(TERMS)
        before = budget.read_left("s", 4, 100.0)
        for _ in range(100):
            budget.note_first("s", 100.0)
        self.assertGreater(budget.read_left("s", 4, 100.0), before + 10)

    def test_it_comes_back_after_the_window(self):
        budget = budgets.RetryBudget(TERMS)
        while budget.take("s", 4, 100.0):
            pass
        self.assertFalse(budget.take("s", 4, 109.9))
        self.assertTrue(budget.take("s", 4, 110.1))

    def test_entries_that_take_all_they_can_keep_the_bound(self):
        entries = [budgets.RetryBudget(TERMS) for _ in range(4)]
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
    def test_all_entries_together_keep_the_bound(self, calls):
        entries = [budgets.RetryBudget(TERMS) for _ in range(4)]
        now = 100.0
        repeats, firsts = [], []
        for index, first, pause in calls:
            now += pause
            if first:
                entries[index].note_first("s", now)
                firsts.append(now)
            elif entries[index].take("s", 4, now):
                repeats.append(now)
            window = now - TERMS.window_seconds
            used = sum(at >= window for at in repeats)
            asked = sum(at >= window for at in firsts)
            self.assertLessEqual(used, 50 + 0.2 * asked)
