"""Tests of the demands of accounts for services."""

import hypothesis
from hypothesis import strategies

from samphirevale.fair_shares import demands
from tests import base

NOW = 100.0


def reported(account, seconds, service="s"):
    return demands.ReportedDemand(service, account, seconds)


class ServiceDemandsTest(base.TestCase):
    """Tests the demands that one entry knows."""

    def setUp(self):
        self.demands = demands.ServiceDemands()

    def sum_up(self, seconds=0.0, service="s"):
        return self.demands.sum_up(service, NOW + seconds)

    def test_demands_add_up_and_decay(self):
        self.demands.record("s", "a", 0.5, NOW)
        self.demands.record("s", "a", 0.5, NOW)
        self.demands.record("other", "a", 3.0, NOW)
        self.assertEqual({"a": 1.0}, self.sum_up())
        later = self.sum_up(demands.DECAY_SECONDS)["a"]
        self.assertAlmostEqual(0.368, later, places=3)

    def test_demands_at_other_entries_count_until_they_are_gone(self):
        self.demands.record("s", "a", 0.5, NOW)
        self.demands.adopt_report(
            "other", [reported("a", 1.0), reported("b", 2.0)], NOW
        )
        self.assertEqual({"a": 1.5, "b": 2.0}, self.sum_up())
        self.demands.remove_entry("other")
        self.demands.record("s", "a", 0.0, NOW)
        self.assertEqual({"a": 0.5}, self.sum_up())

    def test_report_of_a_silent_entry_decays(self):
        self.demands.adopt_report("other", [reported("a", 1.0)], NOW)
        self.assertLess(self.sum_up(10.0)["a"], 1e-3)

    def test_newer_report_replaces_the_older_one(self):
        self.demands.adopt_report("other", [reported("a", 1.0)], NOW)
        self.demands.adopt_report("other", [reported("b", 1.0)], NOW)
        self.demands.adopt_report("third", [], NOW)
        self.assertEqual({"b": 1.0}, self.sum_up())

    def test_demand_that_is_over_is_forgotten(self):
        self.demands.record("s", "a", 1.0, NOW)
        self.assertEqual([], self.demands.list_largest(NOW + 60.0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 60), strategies.floats(0.01, 5)
            )
        )
    )
    def test_report_is_bounded_and_lacks_nothing(self, calls):
        known = demands.ServiceDemands()
        for number, seconds in calls:
            known.record("s", f"account{number}", seconds, NOW)
        largest = known.list_largest(NOW)
        self.assertLessEqual(len(largest), demands.REPORTED_ACCOUNTS + 1)
        total = sum(asked.seconds for asked in largest)
        self.assertAlmostEqual(sum(seconds for _, seconds in calls), total)
