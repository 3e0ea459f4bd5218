"""Tests of admission."""

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import admission
from tests import base

INFINITE = float("inf")


def build_stage(name="s", limit=2):
    return {"name": name, "pool": name, "limit": limit, "expected_ms": 100.0}


def admit(
    subject, account="x", expected=0.1, now=0.0, request="r", stages=None
):
    stages = stages or [build_stage()]
    return subject.admit(request, account, stages, 1.0, [expected], now)


class DecisionTest(base.TestCase):
    """Admission decisions, and the retry delays after a refusal."""

    def test_refuses_what_would_be_late(self):
        subject = admission.Admission("deadline")
        self.assertTrue(admit(subject).admitted)
        decision = admit(subject, expected=1.5)
        self.assertEqual(decision.reason, "late")
        self.assertGreaterEqual(decision.retry_after_seconds, 0.5)

    def test_refuses_when_no_endpoint_accepts_work(self):
        decision = admit(admission.Admission("deadline"), expected=INFINITE)
        self.assertEqual(decision.reason, "unavailable")

    def test_one_is_admitted_as_a_probe_while_all_are_late(self):
        subject = admission.Admission("deadline")
        times = [0.1 * number for number in range(12)]
        decisions = [admit(subject, expected=9.0, now=at) for at in times]
        probes = [
            at
            for at, decision in zip(times, decisions, strict=True)
            if decision.admitted
        ]
        self.assertEqual([times[5], times[11]], probes)
        self.assertTrue(decisions[5].is_probe)
        # Other admitted requests update the estimates: no probe is needed.
        for at in (2.0, 2.4, 2.8, 3.2):
            self.assertFalse(admit(subject, expected=9.0, now=at).admitted)
            self.assertTrue(admit(subject, now=at).admitted)

    def test_the_baseline_admits_all(self):
        subject = admission.Admission("none")
        self.assertTrue(admit(subject, expected=INFINITE).admitted)

    def test_longer_queues_mean_longer_retry_delays(self):
        subject = admission.Admission("deadline")
        short = subject.estimate_retry_seconds(0.5, 0.0)
        long = subject.estimate_retry_seconds(5.0, 0.0)
        self.assertLess(short, long)

    def test_unknown_policy(self):
        with self.assertRaises(ValueError):
            admission.Admission("none such")

    def test_estimates_that_prove_too_low_are_scaled_up(self):
        subject = admission.Admission("deadline")
        for number in range(200):
            name = f"r{number}"
            admit(subject, expected=0.5, request=name)
            subject.record_end(name, 0.9, whole=True)
        self.assertFalse(admit(subject, expected=0.6).admitted)

    @given(st.floats(0, 100), st.floats(0, 1000))
    @settings(derandomize=True, max_examples=50)
    def test_retry_time_is_bounded(self, excess, now):
        subject = admission.Admission("deadline")
        seconds = subject.estimate_retry_seconds(excess, now)
        self.assertLessEqual(seconds, admission.MAX_RETRY_SECONDS)
        self.assertGreater(seconds, 0)


class StageLimitTest(base.TestCase):
    """The limit of one stage does not affect another."""

    def test_full_stage_refuses_only_requests_that_use_it(self):
        subject = admission.Admission("deadline")
        full, free = build_stage("full"), build_stage("free")
        self.assertTrue(subject.acquire_slot(full, 0.0))
        self.assertTrue(subject.acquire_slot(full, 0.0))
        self.assertFalse(subject.acquire_slot(full, 0.0))
        self.assertEqual(admit(subject, stages=[full]).reason, "stage_limit")
        self.assertTrue(admit(subject, stages=[free]).admitted)
        subject.release_slot(full, 0.0)
        self.assertTrue(admit(subject, stages=[full]).admitted)


class SharesTest(base.TestCase):
    """Fair shares, and the use of idle capacity."""

    def build_greedy(self):
        subject = admission.Admission("deadline", {"x": 1.0, "y": 1.0})
        admit(subject, account="y", request="y")
        for number in range(20):
            admit(subject, account="x", request=f"x{number}")
        return subject

    def test_greedy_account_is_refused_first(self):
        subject = self.build_greedy()
        self.assertEqual(admit(subject, "x", expected=0.8).reason, "share")
        self.assertTrue(admit(subject, "y", expected=0.8).admitted)

    def test_greedy_account_may_use_idle_capacity(self):
        self.assertTrue(admit(self.build_greedy(), "x", expected=0.3).admitted)

    def test_the_only_active_account_has_no_limit(self):
        subject = self.build_greedy()
        later = 1.0 + admission.ACTIVE_SECONDS
        self.assertTrue(admit(subject, "x", expected=0.8, now=later).admitted)
