"""Tests of the division of a rate among entries."""

from samphirevale.availability import call_shares
from tests import base

NAMES = [f"n{i}" for i in range(40)]


class DivideRateTest(base.TestCase):
    """Tests the shares of entries with the same list."""

    def divide(self, me, names=NAMES, rate=8.0, most=6):
        return call_shares.divide_rate("e1", names, me, rate, most)

    def test_the_rate_is_divided_among_the_largest_number(self):
        included = [name for name in NAMES if self.divide(name).included]
        self.assertEqual(6, len(included))
        self.assertEqual(0.75, self.divide(included[0]).interval)

    def test_few_entries_have_it_all(self):
        share = self.divide("n1", ["n1", "n2"])
        self.assertEqual(call_shares.CallShare(0.25, True), share)

    def test_next_call_waits_for_the_interval(self):
        share = call_shares.CallShare(2.0, True)
        self.assertEqual(0.0, share.compute_wait(float("-inf"), 100.0))
        self.assertEqual(0.5, share.compute_wait(98.5, 100.0))
        self.assertEqual(0.0, share.compute_wait(97.0, 100.0))

    def test_entry_without_a_share_always_waits(self):
        share = call_shares.CallShare(2.0, False)
        self.assertEqual(2.0, share.compute_wait(90.0, 100.0))
