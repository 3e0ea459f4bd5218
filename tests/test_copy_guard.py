"""Tests of what a copy of the store may not bring back."""

import hypothesis
from hypothesis import strategies

from samphirevale import catalogue, copy_guard
from tests import base, proxy_fakes

ENDPOINT = proxy_fakes.build_endpoint(started=7)


class CopyGuardTest(base.TestCase):
    """Tests lists of a new era."""

    def setUp(self):
        self.guard = copy_guard.CopyGuard()

    def start_era(self, *known, departed=(), now=100.0):
        for endpoint in departed:
            change = catalogue.Change(endpoint, None)
            self.guard.record_change(change, now - 1.0)
        self.guard.start_era(known, now)

    def test_departed_endpoint_does_not_come_back(self):
        self.start_era(departed=[ENDPOINT])
        self.assertEqual([], self.guard.filter_listed([ENDPOINT], 100.5))
        self.assertEqual([], self.guard.filter_listed([ENDPOINT], 101.5))

    def test_departed_endpoint_that_starts_again_is_used(self):
        self.start_era(departed=[ENDPOINT])
        restarted = ENDPOINT._replace(started=8)
        self.assertEqual(
            [restarted], self.guard.filter_listed([restarted], 100.5)
        )

    def test_departed_endpoint_that_writes_again_is_used(self):
        self.start_era(departed=[ENDPOINT])
        self.guard.filter_listed([ENDPOINT], 100.5)
        self.guard.record_write(ENDPOINT.name)
        self.assertEqual(
            [ENDPOINT], self.guard.filter_listed([ENDPOINT], 101.5)
        )
        self.assertEqual([], self.guard.release_held(200.0))

    def test_endpoint_that_came_back_in_time_is_not_departed(self):
        change = catalogue.Change(None, ENDPOINT)
        self.guard.record_change(catalogue.Change(ENDPOINT, None), 99.0)
        self.guard.record_change(change, 99.5)
        self.guard.start_era([ENDPOINT], 100.0)
        self.assertEqual(
            [ENDPOINT], self.guard.filter_listed([ENDPOINT], 100.5)
        )

    def test_endpoint_that_came_back_stays_in_its_later_state(self):
        restarted = ENDPOINT._replace(started=8)
        self.guard.record_change(catalogue.Change(ENDPOINT, None), 99.0)
        self.guard.record_change(catalogue.Change(None, restarted), 99.5)
        self.guard.start_era([restarted], 100.0)
        self.assertEqual(
            [restarted], self.guard.filter_listed([ENDPOINT], 100.5)
        )

    def test_draining_endpoint_does_not_accept_work_again(self):
        draining = ENDPOINT._replace(accepting=False)
        self.start_era(draining)
        self.assertEqual(
            [draining], self.guard.filter_listed([ENDPOINT], 100.5)
        )

    def test_later_start_is_not_replaced_by_an_earlier_one(self):
        restarted = ENDPOINT._replace(started=8)
        self.start_era(restarted)
        self.assertEqual(
            [restarted], self.guard.filter_listed([ENDPOINT], 100.5)
        )

    def test_registration_that_stays_in_the_store_is_used(self):
        self.start_era(departed=[ENDPOINT])
        self.guard.filter_listed([ENDPOINT], 101.0)
        self.guard.filter_listed([ENDPOINT], 105.0)
        until = 101.0 + copy_guard.HOLD_SECONDS
        self.assertEqual([], self.guard.release_held(until - 0.1))
        self.assertEqual([ENDPOINT], self.guard.release_held(until))
        self.assertEqual([], self.guard.release_held(until))

    def test_registration_that_expires_is_not_used(self):
        self.start_era(departed=[ENDPOINT])
        self.guard.filter_listed([ENDPOINT], 101.0)
        self.guard.record_write(ENDPOINT.name)
        self.assertEqual([], self.guard.release_held(200.0))

    def test_second_new_era_does_not_bring_it_back_either(self):
        self.start_era(departed=[ENDPOINT])
        self.guard.filter_listed([ENDPOINT], 100.5)
        self.guard.start_era([], 101.0)
        self.assertEqual([], self.guard.filter_listed([ENDPOINT], 101.5))

    def test_old_departures_are_forgotten(self):
        self.start_era(departed=[ENDPOINT])
        self.guard.start_era([], 100.0 + copy_guard.DEPARTED_SECONDS)
        self.assertEqual([ENDPOINT], self.guard.filter_listed([ENDPOINT], 161))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["start", "drain", "leave", "write"])
            | strategies.integers(0, 4),
            max_size=20,
        )
    )
    def test_copy_of_any_age_makes_no_endpoint_accept_work_again(self, steps):
        """Walks through the life of an endpoint; a number is a copy's age."""
        guard, known = copy_guard.CopyGuard(), catalogue.Catalogue()
        known.put(ENDPOINT)
        history = [None, ENDPOINT]
        for now, step in enumerate(steps):
            if isinstance(step, int):
                guard.start_era(known.list_all(), now)
                listed = list(filter(None, [history[-1 - step :][0]]))
                current = guard.filter_listed(listed, now)
                changes = known.replace(current, now)
            else:
                history.append(change_state(history[-1], step, now))
                guard.record_write(ENDPOINT.name)
                if history[-1] is None:
                    changes = known.remove(ENDPOINT.name, now)
                else:
                    changes = known.put(history[-1])
            for change in changes:
                guard.record_change(change, now)
            accepting = known.list_accepting(ENDPOINT.service)
            if accepting:
                self.assertEqual([history[-1]], accepting)


def change_state(state, step, now):
    """Returns the next state of an endpoint; None if it has gone."""
    if step == "start":
        return ENDPOINT._replace(started=ENDPOINT.started + 1 + now)
    if step == "leave":
        return None
    if step == "drain" and state is not None:
        return state._replace(accepting=False)
    return state
