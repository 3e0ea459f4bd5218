"""Tests of the usage of services by accounts."""

import hypothesis
from hypothesis import strategies

from samphirevale.fair_shares import usage
from tests import base

NOW = 100.0


def reported(account, seconds, service="s"):
    return usage.ReportedUsage(service, account, seconds)


class ServiceUsageTest(base.TestCase):
    """Tests the usage that one entry knows."""

    def setUp(self):
        self.usage = usage.ServiceUsage()

    def sum_up(self, seconds=0.0, service="s"):
        return self.usage.sum_up(service, NOW + seconds)

    def test_usage_adds_up_and_decays(self):
        self.usage.record("s", "a", 0.5, NOW)
        self.usage.record("s", "a", 0.5, NOW)
        self.usage.record("other", "a", 3.0, NOW)
        self.assertEqual({"a": 1.0}, self.sum_up())
        later = self.sum_up(usage.DECAY_SECONDS)["a"]
        self.assertAlmostEqual(0.368, later, places=3)

    def test_usage_of_other_entries_counts_until_they_are_gone(self):
        self.usage.record("s", "a", 0.5, NOW)
        self.usage.adopt_report(
            "other", [reported("a", 1.0), reported("b", 2.0)], NOW
        )
        self.assertEqual({"a": 1.5, "b": 2.0}, self.sum_up())
        self.usage.remove_entry("other")
        self.usage.record("s", "a", 0.0, NOW)
        self.assertEqual({"a": 0.5}, self.sum_up())

    def test_report_of_a_silent_entry_decays(self):
        self.usage.adopt_report("other", [reported("a", 1.0)], NOW)
        self.assertLess(self.sum_up(10.0)["a"], 1e-3)

    def test_newer_report_replaces_the_older_one(self):
        self.usage.adopt_report("other", [reported("a", 1.0)], NOW)
        self.usage.adopt_report("other", [reported("b", 1.0)], NOW)
        self.usage.adopt_report("third", [], NOW)
        self.assertEqual({"b": 1.0}, self.sum_up())

    def test_usage_that_is_over_is_forgotten(self):
        self.usage.record("s", "a", 1.0, NOW)
        self.assertEqual([], self.usage.list_largest(NOW + 60.0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 60), strategies.floats(0.01, 5)
            )
        )
    )
    def test_report_is_bounded_and_lacks_nothing(self, calls):
        known = usage.ServiceUsage()
        for number, seconds in calls:
            known.record("s", f"account{number}", seconds, NOW)
        largest = known.list_largest(NOW)
        self.assertLessEqual(len(largest), usage.REPORTED_ACCOUNTS + 1)
        total = sum(used.seconds for used in largest)
        self.assertAlmostEqual(sum(seconds for _, seconds in calls), total)
