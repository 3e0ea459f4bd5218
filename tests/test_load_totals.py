"""Tests of the sum of the load of other entries."""

from samphirevale import load_totals
from tests import base


class LoadTotalsTest(base.TestCase):
    """Tests the sum of the loads that other entries report."""

    def setUp(self):
        self.totals = load_totals.LoadTotals()

    def test_reports_of_several_entries_add_up(self):
        self.totals.replace({}, {"e1": load_totals.Load(2, 500)})
        self.totals.replace({}, {"e1": load_totals.Load(1, 0)})
        self.assertEqual(load_totals.Load(3, 500), self.totals.get("e1"))
        self.assertEqual(load_totals.Load(0, 0), self.totals.get("e2"))

    def test_a_new_report_replaces_the_last_one(self):
        first = {"e1": load_totals.Load(2, 500), "e2": load_totals.Load(1, 0)}
        self.totals.replace({}, first)
        self.totals.replace(first, {"e1": load_totals.Load(1, 100)})
        self.assertEqual(load_totals.Load(1, 100), self.totals.get("e1"))
        self.assertEqual(load_totals.Load(0, 0), self.totals.get("e2"))
