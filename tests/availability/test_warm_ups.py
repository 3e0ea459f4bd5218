"""Tests of the limits on calls to cold endpoints."""

import random

import hypothesis
from hypothesis import strategies

from samphirevale import routes
from samphirevale.availability import warm_ups
from tests import base, proxy_fakes

NOW = 100.0
ENDPOINT = proxy_fakes.build_endpoint("e1")
RESTARTED = ENDPOINT._replace(started=2)
LIMIT = routes.ColdLimit(3.0, 8.0)
BOUND = warm_ups.ColdBound(1.5, 5.0)

# The number of entries that know another list than the rest, and how many
# names each of them lacks.
DEVIANTS = 8
LACKING = 8


def build_warm_ups(me="me", names=("me",), limit=LIMIT, bound=BOUND):
    return warm_ups.WarmUps(
        me, bound, lambda service: limit, lambda endpoint: names
    )


class WarmUpsTest(base.TestCase):
    """Tests what makes an endpoint cold, and the share of one entry."""

    def setUp(self):
        self.cold = build_warm_ups()

    def test_endpoint_of_the_first_list_is_not_cold(self):
        self.assertFalse(self.cold.record_registered(ENDPOINT, True, NOW))
        self.assertFalse(self.cold)
        self.assertEqual(0.0, self.cold.compute_wait(ENDPOINT, NOW))

    def test_new_start_is_cold_for_the_time_of_its_service(self):
        self.cold.record_registered(ENDPOINT, True, NOW)
        self.assertTrue(self.cold.record_registered(RESTARTED, False, NOW))
        self.assertTrue(self.cold.is_cold(RESTARTED, NOW + 2.9))
        self.assertFalse(self.cold.is_cold(RESTARTED, NOW + 3.0))

    def test_start_that_is_named_before_its_registration_is_cold_once(self):
        self.cold.record_registered(ENDPOINT, True, NOW)
        self.assertTrue(self.cold.record_named(ENDPOINT, 2, NOW))
        self.assertFalse(self.cold.record_named(ENDPOINT, 2, NOW + 1.0))
        registered_at = NOW + 2.0
        self.cold.record_registered(RESTARTED, False, registered_at)
        self.assertFalse(self.cold.is_cold(RESTARTED, NOW + 3.0))

    def test_endpoint_that_is_back_after_an_outage_is_not_cold(self):
        self.cold.record_registered(ENDPOINT, False, NOW)
        later = NOW + 60.0
        self.assertFalse(self.cold.record_registered(ENDPOINT, False, later))
        self.assertFalse(self.cold.is_cold(ENDPOINT, later))

    def test_endpoint_is_cold_for_as_long_as_it_says(self):
        self.assertTrue(self.cold.record_cold(ENDPOINT, 7.0, NOW))
        self.assertFalse(self.cold.record_cold(ENDPOINT, 1.0, NOW))
        self.assertEqual(2.0, self.cold.compute_rest(ENDPOINT, NOW + 5.0))

    def test_endpoint_that_refuses_connects_will_be_cold(self):
        self.assertTrue(self.cold.record_refused(ENDPOINT, NOW))
        self.assertTrue(self.cold.is_cold(RESTARTED, NOW + 2.9))

    def test_nothing_is_limited_without_a_bound_or_a_limit(self):
        for cold in (build_warm_ups(bound=None), build_warm_ups(limit=None)):
            cold.record_registered(ENDPOINT, False, NOW)
            cold.record_cold(ENDPOINT, 5.0, NOW)
            self.assertEqual(0.0, cold.compute_wait(ENDPOINT, NOW))

    def test_calls_wait_for_the_share_while_cold(self):
        self.cold.record_cold(ENDPOINT, 3.0, NOW)
        self.assertEqual(0.0, self.cold.compute_wait(ENDPOINT, NOW))
        self.cold.record_call(ENDPOINT, NOW)
        self.assertEqual(0.125, self.cold.compute_wait(ENDPOINT, NOW))

    def test_wait_ends_with_the_cold_time(self):
        self.cold = build_warm_ups(names=("other",))
        self.cold.record_cold(ENDPOINT, 0.05, NOW)
        wait = self.cold.compute_wait(ENDPOINT, NOW)
        self.assertAlmostEqual(0.05, wait)

    def test_entry_that_knows_no_entries_has_no_share(self):
        self.cold = build_warm_ups(names=())
        self.cold.record_cold(ENDPOINT, 3.0, NOW)
        self.assertEqual(3.0, self.cold.compute_wait(ENDPOINT, NOW))

    def test_share_follows_the_list_of_entries(self):
        names = ["me"]
        self.cold = build_warm_ups(names=names)
        self.cold.record_cold(ENDPOINT, 3.0, NOW)
        self.cold.record_call(ENDPOINT, NOW)
        self.cold.compute_wait(ENDPOINT, NOW)
        names.append("other")
        self.cold.invalidate_shares()
        self.assertEqual(0.25, self.cold.compute_wait(ENDPOINT, NOW))

    def test_cold_time_that_is_over_is_forgotten(self):
        self.cold.record_cold(ENDPOINT, 3.0, NOW)
        self.cold.remove_expired(NOW + 2.9)
        self.assertTrue(self.cold)
        self.cold.remove_expired(NOW + 3.0)
        self.assertFalse(self.cold)


def play_calls(fleet, arrivals):
    """Returns when an endpoint that turns cold at NOW is called.

    Each arrival is a pair of a time and an entry, which calls the endpoint if
    it may do so then.
    """
    for cold in fleet:
        cold.record_cold(ENDPOINT, 10.0, NOW)
    calls = []
    for at, index in sorted(arrivals):
        if not fleet[index].compute_wait(ENDPOINT, at):
            fleet[index].record_call(ENDPOINT, at)
            calls.append(at)
    return calls


def count_most(calls):
    """Returns the largest number of calls in any second."""
    return max(
        (sum(begin <= at < begin + 1.0 for at in calls) for begin in calls),
        default=0,
    )


def draw_arrivals(rng, entries, rate, seconds):
    """Returns the arrivals at all entries, most of them at the begin."""
    count = int(rate * seconds)
    times = [NOW + rng.random() * seconds for _ in range(count)]
    times += [NOW + rng.random() * 0.05 for _ in range(count)]
    return [(at, rng.randrange(entries)) for at in times]


class ColdBoundTest(base.TestCase):
    """Tests how many entries may share a rate."""

    def test_number_of_sharers(self):
        for entries, rate, sharers in (
            (31, 8.0, 12),
            (4, 8.0, 4),
            (31, 100.0, 29),
            (31, 0.5, 4),
        ):
            found = BOUND.count_sharers(rate, entries)
            self.assertEqual(sharers, found, (entries, rate))

    def test_few_entries_share_less_than_all_of_them_could(self):
        bound = warm_ups.ColdBound(1.25, 3.0)
        self.assertEqual(5, bound.count_sharers(9.0, 8))


class FleetTest(base.TestCase):
    """Entries that all prefer an endpoint that has just started."""

    @hypothesis.example(8, 9.0, 1.25, 3, 1)
    @hypothesis.given(
        strategies.integers(1, 60),
        strategies.floats(0.5, 20.0),
        strategies.floats(1.2, 3.0),
        strategies.integers(3, 20),
        strategies.integers(0, 1000),
    )
    def test_no_second_brings_more_than_the_bound(
        self, entries, rate, factor, allowance, seed
    ):
        rng = random.Random(seed)
        bound = warm_ups.ColdBound(factor, allowance)
        limit = routes.ColdLimit(10.0, rate)
        names = [f"n{i}" for i in range(entries)]
        fleet = [build_warm_ups(me, names, limit, bound) for me in names]
        calls = play_calls(fleet, draw_arrivals(rng, entries, 200.0, 4.0))
        self.assertLessEqual(count_most(calls), rate * factor + allowance)

    def test_lists_that_lack_some_names_stay_within_the_bound(self):
        names = [f"n{i}" for i in range(31)]
        for seed in range(40):
            rng = random.Random(seed)
            fleet = [
                build_warm_ups(me, rng.sample(names, 31 - LACKING))
                if index < DEVIANTS
                else build_warm_ups(me, names)
                for index, me in enumerate(names)
            ]
            calls = play_calls(fleet, draw_arrivals(rng, 31, 800.0, 2.0))
            with self.subTest(seed=seed):
                self.assertLessEqual(count_most(calls), 17)

    def test_most_of_the_rate_is_used_where_no_limit_breaks_the_bound(self):
        names = [f"n{i}" for i in range(31)]
        arrivals = draw_arrivals(random.Random(1), 31, 200.0, 4.0)
        limited = play_calls(
            [build_warm_ups(me, names) for me in names], arrivals
        )
        unlimited = play_calls(
            [build_warm_ups(me, names, bound=None) for me in names], arrivals
        )
        self.assertGreater(count_most(unlimited), 17)
        self.assertGreater(len(limited) / 4.0, 0.8 * LIMIT.rate)
