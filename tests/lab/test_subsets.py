"""Tests of the subsets of sidecars."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from lab import subsets
from tests import base


class SubsetsTest(base.TestCase):
    """Tests deal_subsets and compute_imbalance."""

    @given(st.integers(1, 40), st.integers(1, 40), st.data())
    def test_dealt_subsets_are_even(self, entries, sidecars, data):
        size = data.draw(st.integers(1, sidecars))
        rng = random.Random(1)
        dealt = subsets.deal_subsets(entries, sidecars, size, rng)
        self.assertEqual(entries, len(dealt))
        for subset in dealt:
            self.assertEqual(size, len(set(subset)))
        entries_of = collections.Counter(number for s in dealt for number in s)
        counts = [entries_of[number] for number in range(sidecars)]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_imbalance(self):
        self.assertEqual(1.0, subsets.compute_imbalance([[0], [1]], 2))
        self.assertEqual(2.0, subsets.compute_imbalance([[0], [0]], 2))
        self.assertEqual(1.5, subsets.compute_imbalance([[0], [0, 1]], 2))
