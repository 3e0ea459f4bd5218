"""Tests of endpoints that leave or have asked for a pause."""

import hypothesis
from hypothesis import strategies

from samphirevale import catalogue, endpoint_notices
from tests import base, proxy_fakes

NOW = 100.0

NAMES = ("e1", "e2", "e3")
STARTS = (1, 2)

ENDPOINT = proxy_fakes.build_endpoint("e1")
START = catalogue.get_start(ENDPOINT)
RESTARTED = ENDPOINT._replace(started=2)


class EndpointNoticesTest(base.TestCase):
    """Tests the notices of single endpoints."""

    def setUp(self):
        self.notices = proxy_fakes.build_cluster_state().notices

    def is_available(self, endpoint, seconds=0.0):
        return self.notices.is_available(endpoint, NOW + seconds)

    def test_endpoint_that_leaves_is_available_again_after_a_restart(self):
        self.assertTrue(self.notices.record_leaving(START, NOW))
        self.assertFalse(self.notices.record_leaving(START, NOW))
        self.assertFalse(self.is_available(ENDPOINT, 1e6))
        self.assertTrue(self.is_available(RESTARTED))

    def test_endpoint_that_leaves_is_remembered_after_it_has_gone(self):
        self.notices.record_leaving(START, NOW)
        ends_at = NOW + 5.0 + endpoint_notices.LEAVING_SECONDS
        self.notices.remove_expired(lambda start: True, NOW + 5.0)
        self.notices.remove_expired(lambda start: False, ends_at - 0.1)
        self.assertFalse(self.is_available(ENDPOINT))
        self.notices.remove_expired(lambda start: False, ends_at)
        self.assertEqual([], self.notices.list_leaving())

    def test_pause_ends_by_time_or_with_a_restart(self):
        self.assertTrue(self.notices.record_pause(START, 2.0, NOW))
        self.assertFalse(self.is_available(ENDPOINT, 1.9))
        self.assertTrue(self.is_available(ENDPOINT, 2.0))
        self.assertTrue(self.is_available(RESTARTED))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.notices.record_pause(START, 2.0, NOW)
        self.assertFalse(self.notices.record_pause(START, 0.5, NOW + 1.0))
        self.assertFalse(self.is_available(ENDPOINT, 1.9))

    def test_huge_pause_is_shortened(self):
        self.notices.record_pause(START, 1e300, NOW)
        limit = endpoint_notices.PAUSE_SECONDS_LIMIT
        self.assertEqual(limit, self.notices.compute_pause(ENDPOINT, NOW))

    def test_pause_for_another_entry_does_not_bind_this_one(self):
        self.notices.record_pause_elsewhere(START, 2.0, NOW)
        self.assertTrue(self.is_available(ENDPOINT))
        self.assertEqual([], self.notices.list_pauses(NOW))
        self.assertEqual(
            2.0, self.notices.compute_pause_elsewhere(ENDPOINT, NOW)
        )
        kept = self.notices.exclude_paused_elsewhere([ENDPOINT, RESTARTED], NOW)
        self.assertEqual([RESTARTED], kept)


class NoticesModel:
    """What must hold for each start, kept without the code under test."""

    def __init__(self):
        self.now = NOW
        self.left = set()
        self.paused_until = {}
        self.registered = {}

    def is_usable(self, name):
        start = (name, self.registered[name])
        return (
            start not in self.left
            and self.paused_until.get(start, 0.0) <= self.now
        )


_names = strategies.sampled_from(NAMES)
_starts = strategies.sampled_from(STARTS)
_seconds = strategies.floats(0.01, 30.0)
_listed = strategies.dictionaries(_names, _starts)

_steps = strategies.one_of(
    strategies.tuples(strategies.just("leave"), _names, _starts),
    strategies.tuples(strategies.just("pause"), _names, _starts, _seconds),
    strategies.tuples(strategies.just("list"), _listed),
    strategies.tuples(strategies.just("wait"), _seconds),
    strategies.tuples(strategies.just("reload")),
)


class AnyOrderTest(base.TestCase):
    """Tests any order of notices, lists, restarts, reloads and time."""

    def take_step(self, kind, *values):
        model = self.model
        if kind == "leave":
            model.left.add(values)
            start = catalogue.EndpointStart(*values)
            self.cluster.notices.record_leaving(start, model.now)
        elif kind == "pause":
            *start, seconds = values
            before = model.paused_until.get(tuple(start), 0.0)
            model.paused_until[tuple(start)] = max(before, model.now + seconds)
            self.cluster.notices.record_pause(
                catalogue.EndpointStart(*start), seconds, model.now
            )
        elif kind == "list":
            (model.registered,) = values
            listed = [
                proxy_fakes.build_endpoint(name, started=started)
                for name, started in model.registered.items()
            ]
            self.cluster.catalogue.replace(listed, model.now)
        elif kind == "wait":
            model.now += values[0]
        else:
            self.version += 1
            self.cluster.adopt_table(proxy_fakes.build_table([], self.version))

    def check(self):
        model = self.model
        usable = {
            endpoint.name: endpoint.started
            for endpoint in self.cluster.list_usable("stage", model.now)
        }
        expected = {
            name: started
            for name, started in model.registered.items()
            if model.is_usable(name)
        }
        self.assertEqual(expected, usable)
        for name in model.registered:
            endpoint = self.cluster.catalogue.find(name)
            self.assertEqual(
                name in expected, self.cluster.is_usable(endpoint, model.now)
            )
        self.assertEqual(
            self.compute_first_end(),
            self.cluster.compute_pause("stage", model.now),
        )

    def compute_first_end(self):
        """Returns the rest of the first pause to end, if all must wait."""
        model = self.model
        ends = [
            model.paused_until.get(start, 0.0)
            for start in model.registered.items()
            if start not in model.left
        ]
        return max(min(ends, default=0.0) - model.now, 0.0)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1000)
    @hypothesis.given(strategies.lists(_steps, max_size=25))
    def test_no_order_makes_an_endpoint_usable_too_early(self, steps):
        self.model = NoticesModel()
        self.version = 0
        self.cluster = proxy_fakes.build_cluster_state()
        for step in steps:
            self.take_step(*step)
            # Time may pass by a minute in all, in which nothing is forgotten.
            if self.model.now < NOW + endpoint_notices.LEAVING_SECONDS:
                self.cluster.notices.remove_expired(
                    self.cluster.is_registered, self.model.now
                )
            self.check()
        self.cluster.catalogue.replace([], self.model.now)
        later = self.model.now + 2 * endpoint_notices.LEAVING_SECONDS
        self.cluster.notices.remove_expired(self.cluster.is_registered, later)
        self.assertEqual([], self.cluster.notices.list_leaving())
        self.assertEqual([], self.cluster.notices.list_pauses(NOW))
