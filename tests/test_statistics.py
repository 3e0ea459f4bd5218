"""Tests of the counts of ended requests."""

from samphirevale import callers, errors, metrics, statistics
from tests import base

COMPLETE_ANSWER = callers.CompleteAnswer({}, 3, "", ())
USE = callers.StageUsage("generation", 0.1, 40.0, 5.0, 2, 1, 3, 2)


class StatisticsTest(base.TestCase):
    """The counts per request and their sums."""

    def setUp(self):
        self.counts = statistics.Statistics()

    def record(self, answer, seconds=0.5, account="farm", pipeline="harvest"):
        if isinstance(answer, str):
            answer = callers.Refusal(answer, 503, "overloaded", "")
        request = callers.CallerRequest(
            "r1", account, pipeline, {}, 1000, False, True, "", 9, "f"
        )
        self.counts.record_request(request, answer, (USE,), seconds)

    def test_outcomes(self):
        self.record(COMPLETE_ANSWER)
        self.record(COMPLETE_ANSWER, seconds=1.5)
        for outcome in ("not_run", "not_completed", "unknown", "invalid"):
            self.record(outcome)
        counts = self.counts.sum_outcomes()
        self.assertEqual(counts, (5, 1, 1, 1, 1))
        self.assertEqual(counts.attainment, 0.2)
        self.assertIsNone(statistics.OutcomeCounts().attainment)

    def test_work_without_answer_in_time_is_wasted(self):
        self.record(COMPLETE_ANSWER)
        cost = self.counts.sum_cost_by_stage()["generation"]
        self.assertEqual(cost, (2, 1, 40.0, 5.0, 3, 2))
        self.record(COMPLETE_ANSWER, 1.5, "other farm")
        self.record("unknown", 0.5, "other farm")
        cost = self.counts.sum_cost_by_account()["other farm"]
        self.assertEqual(cost, (4, 2, 0.0, 90.0, 0, 10))

    def test_counts_of_entries_are_summed(self):
        self.record(COMPLETE_ANSWER)
        self.record(COMPLETE_ANSWER, account="brewer", pipeline="filing")
        value = self.counts.to_value()
        merged = statistics.Statistics.from_value(value)
        self.assertEqual(merged.to_value(), value)
        merged.merge(self.counts)
        self.assertEqual(merged.sum_outcomes().requests, 4)
        self.assertEqual(merged.sum_by_pipeline()["filing"].in_time, 2)
        self.assertEqual(merged.sum_by_account()["brewer"].requests, 2)
        self.assertEqual(merged.sum_cost_by_stage()["generation"].attempts, 8)

    def test_memory_is_bounded(self):
        limit = statistics.KEYS_LIMIT
        for number in range(limit + 10):
            self.record(COMPLETE_ANSWER, account=f"account-{number}")
        self.assertEqual(len(self.counts.to_value()["outcomes"]), limit + 1)
        self.assertEqual(self.counts.sum_outcomes().requests, limit + 10)
        self.assertEqual(self.counts.sum_by_account()["other"].requests, 10)

    def test_invalid_values_are_rejected(self):
        for value in (
            None,
            {"outcomes": [["a", "b", "c"]], "costs": []},
            {"outcomes": [], "costs": [["a", "b"] + ["1"] * 6]},
            {"outcomes": [["a", "b"] + [1] * 9], "costs": []},
        ):
            with self.assertRaises(errors.InvalidInputError):
                statistics.Statistics.from_value(value)

    def test_metrics(self):
        self.record("unknown", pipeline="metered")
        with statistics.count_running("metered"):
            text = metrics.render().decode()
        head = 'samphirevale_requests_{}pipeline="metered"}} 1.0'
        self.assertIn(head.format("running{"), text)
        self.assertIn(head.format('total{outcome="unknown",'), text)
