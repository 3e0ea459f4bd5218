"""Tests of the limits that endpoints name to several entries."""

import random

import hypothesis
from hypothesis import strategies

from samphirevale import catalogue, endpoint_limits
from tests import base

NOW = 100.0
START = catalogue.EndpointStart("e1", 1)

# In any such time, in seconds, an endpoint may get this multiple of its limit
# from the entries that it told half a second before, and some more.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXCESS = 5
TOLD_SECONDS = 0.5

# How long after the first answer with a limit it must hold, in seconds.
CONTACT_SECONDS = 3.0


def told(limit, at):
    return endpoint_limits.Told(limit, at)


class EndpointLimitsTest(base.TestCase):
    """Tests the share of one entry."""

    def setUp(self):
        self.limits = endpoint_limits.EndpointLimits("me")

    def compute_wait(self, seconds=0.0):
        return self.limits.compute_wait(START, NOW + seconds)

    def adopt(self, limit, *names, at=NOW):
        for name in names:
            self.limits.adopt_report(name, [(START, told(limit, at))], at)

    def test_endpoint_without_a_limit_is_called_at_once(self):
        self.assertFalse(self.limits.record_answer(START, None, NOW))
        self.limits.record_call(START, NOW)
        self.assertEqual(0.0, self.compute_wait())
        self.assertFalse(self.limits)

    def test_calls_wait_for_the_share_of_the_limit(self):
        self.assertTrue(self.limits.record_answer(START, 2.0, NOW))
        self.assertFalse(self.limits.record_answer(START, 2.0, NOW))
        self.assertEqual(0.5, self.compute_wait())
        self.assertEqual(0.0, self.compute_wait(0.5))
        self.limits.record_call(START, NOW + 0.5)
        self.assertAlmostEqual(0.4, self.compute_wait(0.6))

    def test_limit_is_divided_among_the_entries_told(self):
        self.limits.record_answer(START, 2.0, NOW)
        self.adopt(2.0, "a", "b", "c")
        self.assertEqual(2.0, self.compute_wait())

    def test_limit_that_another_entry_was_told_holds_here(self):
        self.adopt(2.0, "a")
        self.assertEqual(1.0, self.compute_wait())

    def test_entry_that_was_told_long_ago_has_no_share(self):
        self.limits.record_answer(START, 2.0, NOW)
        self.adopt(2.0, "a")
        later = endpoint_limits.SHARING_SECONDS
        self.limits.record_answer(START, 2.0, NOW + later)
        self.limits.record_call(START, NOW + later)
        self.assertEqual(0.5, self.compute_wait(later))

    def test_low_limit_is_shared_by_a_part_of_a_large_fleet(self):
        names = [f"n{i}" for i in range(60)]
        included = 0
        for me in names:
            limits = endpoint_limits.EndpointLimits(me)
            limits.record_answer(START, 1.0, NOW)
            for name in names:
                limits.adopt_report(name, [(START, told(1.0, NOW))], NOW)
            included += limits.compute_wait(START, NOW + 10.0) == 0
        self.assertEqual(endpoint_limits.LEAST_SHARERS + 2, included)

    def test_newest_answer_ends_the_limit_for_all(self):
        self.limits.record_answer(START, 2.0, NOW)
        self.adopt(0.0, "a", at=NOW + 0.1)
        self.assertEqual(0.0, self.compute_wait(0.1))
        self.limits.record_answer(START, 1.0, NOW + 0.2)
        self.assertEqual(1.0, self.limits.get_limit(START, NOW + 0.2))
        self.assertTrue(self.limits.record_answer(START, None, NOW + 0.3))
        self.assertEqual(0.0, self.compute_wait(0.3))
        ((_, value),) = self.limits.list_told(NOW + 0.3)
        self.assertEqual(0.0, value.limit)

    def test_limit_ends_with_the_start_of_the_endpoint(self):
        self.limits.record_answer(START, 1.0, NOW)
        restarted = START._replace(started=2)
        self.assertEqual(0.0, self.limits.compute_wait(restarted, NOW))

    def test_limit_nobody_hears_of_is_forgotten(self):
        self.limits.record_answer(START, 1.0, NOW)
        self.limits.remove_expired(NOW + endpoint_limits.LIMIT_SECONDS)
        self.assertFalse(self.limits)
        self.assertEqual([], self.limits.list_told(NOW))

    def test_extreme_limits_are_capped(self):
        for limit, expected in (
            (0.0, endpoint_limits.LEAST_LIMIT),
            (float("inf"), endpoint_limits.MOST_LIMIT),
        ):
            self.limits.record_answer(START, limit, NOW)
            self.assertEqual(expected, self.limits.get_limit(START, NOW))
            self.compute_wait()


class Fleet:
    """Entries that call one endpoint as often as they may.

    Attributes:
        calls: the calls that count, each as its time.
    """

    STEP_SECONDS = 0.05

    def __init__(self, rng, size, limit, report_seconds):
        self.rng = rng
        self.limit = limit
        self.report_seconds = report_seconds
        self.names = [f"n{i}" for i in range(size)]
        self.entries = {}
        self.first_told = {}
        self.cut = set()
        self.calls = []
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        self.entries[name] = endpoint_limits.EndpointLimits(name)
        self.first_told.pop(name, None)

    def run(self, now, seconds, demand):
        """Runs the fleet for a time.

        Args:
            now: the time at the start.
            seconds: the duration.
            demand: the probability that an entry wants to call in a step.
        """
        next_report = now
        end = now + seconds
        while now < end:
            for name in self.names:
                if self.rng.random() < demand:
                    self.call(name, now)
            if now >= next_report:
                self.report(now)
                next_report = now + self.report_seconds
            now += self.STEP_SECONDS

    def call(self, name, now):
        limits = self.entries[name]
        if limits.compute_wait(START, now) > 0:
            return
        limits.record_call(START, now)
        if name not in self.cut and now >= (
            self.first_told.get(name, now) + TOLD_SECONDS
        ):
            self.calls.append(now)
        limits.record_answer(START, self.limit, now)
        self.first_told.setdefault(name, now)

    def report(self, now):
        """Lets all entries that are not cut off report to each other."""
        linked = [name for name in self.names if name not in self.cut]
        for name in linked:
            report = self.entries[name].list_told(now)
            for other in linked:
                if other != name:
                    self.entries[other].adopt_report(name, report, now)

    def count_most(self, begin):
        """Returns the most calls that count in any window."""
        calls = [at for at in self.calls if at >= begin]
        return max(
            (
                sum(at <= other < at + WINDOW_SECONDS for other in calls)
                for at in calls
            ),
            default=0,
        )


class FleetTest(base.TestCase):
    """Tests any fleet, limit and demand, with entries cut off."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        size=strategies.integers(1, 24),
        limit=strategies.floats(0.2, 12.0),
        demand=strategies.sampled_from((0.02, 0.2, 1.0)),
        report_seconds=strategies.sampled_from((0.1, 0.5, 1.1)),
        seed=strategies.integers(0, 1000),
    )
    def test_endpoint_never_gets_more_than_allowed(
        self, size, limit, demand, report_seconds, seed
    ):
        fleet = Fleet(random.Random(seed), size, limit, report_seconds)
        fleet.run(NOW, 8.0, demand)
        if size > 2:
            fleet.cut = {fleet.names[0]}
        fleet.run(NOW + 8.0, 6.0, demand)
        allowed = LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_EXCESS
        most = fleet.count_most(NOW + CONTACT_SECONDS)
        self.assertLessEqual(most, allowed)

    def test_half_of_the_limit_is_used_at_least(self):
        for size in (1, 4, 24):
            fleet = Fleet(random.Random(1), size, 2.0, 0.1)
            fleet.run(NOW, 20.0, 1.0)
            calls = sum(at >= NOW + 4.0 for at in fleet.calls)
            self.assertGreaterEqual(calls, 16.0 * 2.0 / 2)
