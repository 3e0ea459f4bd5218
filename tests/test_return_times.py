"""Tests of the spread of callers that are refused in pauses."""

import random

import hypothesis
from hypothesis import strategies

from samphirevale import return_times
from tests import base

NOW = 100.0
ENDS_AT = NOW + 2.0
DEADLINE_AT = NOW + 60.0

PAUSED = return_times.PausedEndpoint(ENDS_AT, 10.0)

_paused = strategies.lists(
    strategies.builds(
        return_times.PausedEndpoint,
        strategies.floats(NOW, NOW + 10.0),
        strategies.floats(0.1, 1000.0),
    ),
    min_size=1,
    max_size=5,
)


class ComputeReturnTest(base.TestCase):
    """Tests the time that endpoints need for requests after their pauses."""

    def compute(self, rank, *paused):
        return return_times.compute_return(paused, rank)

    def test_requests_take_their_time_after_the_end_of_a_pause(self):
        self.assertEqual(ENDS_AT, self.compute(0.0, PAUSED))
        self.assertAlmostEqual(ENDS_AT + 0.5, self.compute(5.0, PAUSED))

    def test_later_endpoints_take_requests_from_their_ends_on(self):
        later = return_times.PausedEndpoint(ENDS_AT + 1.0, 30.0)
        self.assertAlmostEqual(ENDS_AT + 1.0, self.compute(10.0, later, PAUSED))
        self.assertAlmostEqual(ENDS_AT + 1.5, self.compute(30.0, later, PAUSED))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_paused, strategies.floats(0.0, 1000.0))
    def test_no_more_requests_return_than_endpoints_take(self, paused, rank):
        at = return_times.compute_return(paused, rank)
        taken = sum(
            max(at - endpoint.ends_at, 0.0) * endpoint.rate
            for endpoint in paused
        )
        self.assertAlmostEqual(rank, taken, delta=1e-6 * (1 + rank))


class ReturnScheduleTest(base.TestCase):
    """Tests what the callers of one entry are told."""

    def setUp(self):
        self.schedule = return_times.ReturnSchedule()
        self.rng = random.Random(1)

    def plan(self, now=NOW, paused=(PAUSED,), entries=1, deadline_at=None):
        return self.schedule.plan_return(
            "s", paused, entries, deadline_at or DEADLINE_AT, now, self.rng
        )

    def test_callers_return_as_fast_as_the_service_takes_them(self):
        for number in range(50):
            return_at = self.plan()
            self.assertGreaterEqual(return_at, ENDS_AT + number * 0.1)
            self.assertLess(return_at, ENDS_AT + (number + 1) * 0.1)

    def test_callers_of_all_entries_return_as_fast(self):
        schedules = [return_times.ReturnSchedule() for _ in range(8)]
        returns = []
        for self.schedule in schedules:
            returns += [self.plan(entries=8) for _ in range(10)]
        for seconds in range(8):
            begin = ENDS_AT + seconds
            count = sum(begin <= at < begin + 1.0 for at in returns)
            self.assertLess(abs(count - 10), 6)

    def test_callers_that_are_back_take_no_place(self):
        for _ in range(20):
            self.plan()
        ends_at = ENDS_AT + 10.0
        paused = (return_times.PausedEndpoint(ends_at, 10.0),)
        self.assertLess(self.plan(ENDS_AT + 5.0, paused), ends_at + 0.1)

    def test_callers_return_with_time_left(self):
        deadline_at = ENDS_AT + 2.0
        for _ in range(100):
            self.assertLessEqual(
                self.plan(deadline_at=deadline_at), ENDS_AT + 1.0
            )

    def test_many_callers_do_not_return_together_at_the_last_moment(self):
        returns = [self.plan(deadline_at=ENDS_AT + 2.0) for _ in range(200)]
        late = [at for at in returns if at > ENDS_AT + 0.9]
        self.assertLess(len(late), 40)

    def test_duration_of_requests_is_learned(self):
        self.assertEqual(
            return_times.INITIAL_SECONDS, self.schedule.get_duration("s")
        )
        for _ in range(200):
            self.schedule.record_duration("s", 2.0)
        self.assertAlmostEqual(2.0, self.schedule.get_duration("s"), places=3)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 5.0),
                _paused,
                strategies.floats(0.0, 30.0),
            ),
            max_size=20,
        ),
        strategies.integers(1, 60),
        strategies.randoms(use_true_random=False),
    )
    def test_nobody_returns_before_the_first_pause_ends(
        self, refusals, entries, rng
    ):
        schedule = return_times.ReturnSchedule()
        now = NOW
        for seconds, paused, remaining in refusals:
            now += seconds
            deadline_at = now + remaining
            return_at = schedule.plan_return(
                "s", paused, entries, deadline_at, now, rng
            )
            first_end = min(endpoint.ends_at for endpoint in paused)
            self.assertGreaterEqual(return_at, first_end)
            self.assertLessEqual(return_at, max(first_end, deadline_at))
