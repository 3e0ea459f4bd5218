"""Tests of retries."""

from samphirevale import messages, retries
from tests import base


def build_failure(**fields):
    values = {
        "stage": "s",
        "repeatable": True,
        "outcome": "failed",
        "reason": "endpoint_failed",
        "attempts": 1,
    }
    return retries.AttemptFailure(**(values | fields))


class PolicyTest(base.TestCase):
    """The rules of the default retry policy."""

    def decide(self, expected=0.1, remaining=1.0, **fields):
        subject = retries.RetryController()
        failure = build_failure(**fields)
        return subject.decide(failure, expected, remaining)

    def test_failure_is_retried(self):
        self.assertTrue(self.decide().retry)

    def test_overload_is_not_retried(self):
        for reason in retries.OVERLOAD_REASONS:
            decision = self.decide(reason=reason, outcome="not_run")
            self.assertEqual(decision.reason, "overload")

    def test_unrepeatable_stage_is_retried_only_if_nothing_ran(self):
        for outcome, retry in (
            ("not_run", True),
            ("failed", False),
            ("unknown", False),
        ):
            decision = self.decide(
                repeatable=False, outcome=outcome, reason="unreachable"
            )
            self.assertEqual(decision.retry, retry, outcome)

    def test_no_retry_past_the_deadline(self):
        self.assertEqual(self.decide(expected=2.0).reason, "late")

    def test_no_retry_past_the_attempt_limit(self):
        self.assertEqual(self.decide(attempts=3).reason, "attempts")

    def test_every_reason_is_part_of_the_protocol(self):
        reasons = retries.OVERLOAD_REASONS | retries.FINAL_REASONS
        self.assertLessEqual(reasons, messages.REFUSAL_REASONS)


class BudgetTest(base.TestCase):
    """The retry budget of a stage."""

    def test_failing_stage_gets_little_more_than_its_usual_load(self):
        subject = retries.RetryController()
        retry_count = 0
        for _ in range(1000):
            subject.record_first_attempt("s")
            retry_count += subject.decide(build_failure(), 0.1, 1.0).retry
        limit = 1000 * retries.BUDGET_SHARE + retries.BUDGET_LIMIT
        self.assertLessEqual(retry_count, limit)

    def test_stages_do_not_share_a_budget(self):
        subject = retries.RetryController()
        for _ in range(100):
            last = subject.decide(build_failure(), 0.1, 1.0)
        self.assertEqual(last.reason, "budget")
        other = build_failure(stage="t")
        self.assertTrue(subject.decide(other, 0.1, 1.0).retry)

    def test_unknown_policy(self):
        with self.assertRaises(ValueError):
            retries.RetryController("none such")
