"""Tests of the copies that a proxying entry holds."""

import hypothesis
from hypothesis import strategies

from samphirevale import (
    catalogue,
    copy_guard,
    ownership,
)
from samphirevale.availability import cordons, eligibility
from tests import base, proxy_fakes

NOW = 100.0


class ClusterStateTest(base.TestCase):
    """Tests versions of routes and owners of endpoints."""

    def setUp(self):
        self.cluster = proxy_fakes.build_cluster_state()

    def test_older_version_is_not_adopted(self):
        self.assertTrue(
            self.cluster.adopt_table(proxy_fakes.build_table([], 7))
        )
        self.assertFalse(
            self.cluster.adopt_table(proxy_fakes.build_table([], 5))
        )
        self.assertEqual(7, self.cluster.table.version)

    def test_owners_follow_the_live_entries(self):
        self.cluster.adopt_table(proxy_fakes.build_table([]))
        endpoint = proxy_fakes.build_endpoint(data_centre="b")
        self.cluster.catalogue.put(endpoint)
        self.assertEqual("me", self.cluster.find_owner(endpoint))
        self.cluster.adopt_members([ownership.Member("other", "b")])
        self.assertEqual("other", self.cluster.find_owner(endpoint))
        self.cluster.adopt_members([])
        self.assertEqual("me", self.cluster.find_owner(endpoint))

    def test_routes_older_than_those_of_another_entry_are_not_confirmed(self):
        self.cluster.adopt_table(proxy_fakes.build_table([], 7))
        self.cluster.confirm_routes(100.0, 3)
        self.cluster.note_routes_version(8)
        self.cluster.confirm_routes(101.0, 4)
        self.assertEqual(100.0, self.cluster.routes_age.confirmed_at)
        self.assertEqual(3, self.cluster.routes_era)
        self.cluster.adopt_table(proxy_fakes.build_table([], 8))
        self.cluster.confirm_routes(102.0, 4)
        self.assertEqual(102.0, self.cluster.routes_age.confirmed_at)
        self.assertEqual(4, self.cluster.routes_era)

    def test_settled_era_confirms_the_routes(self):
        self.cluster.start_first_era(100.0)
        self.cluster.adopt_table(proxy_fakes.build_table([], 7))
        self.cluster.confirm_routes(100.5, 4)
        self.assertFalse(self.cluster.routes_age.is_usable(101.0))
        self.cluster.settle_era()
        self.assertEqual(100.5, self.cluster.routes_age.confirmed_at)

    def test_settled_era_confirms_no_routes_older_than_another_entrys(self):
        self.cluster.start_first_era(100.0)
        self.cluster.adopt_table(proxy_fakes.build_table([], 7))
        self.cluster.confirm_routes(100.5, 4)
        self.cluster.note_routes_version(8)
        self.cluster.settle_era()
        self.assertFalse(self.cluster.routes_age.is_usable(101.0))
        self.cluster.adopt_table(proxy_fakes.build_table([], 8))
        self.cluster.confirm_routes(102.0, 4)
        self.assertTrue(self.cluster.routes_age.is_usable(102.5))

    def test_endpoints_that_a_copy_lacks_stay_usable_for_a_while(self):
        endpoint = proxy_fakes.build_endpoint()
        self.cluster.catalogue.put(endpoint)
        self.cluster.start_era(100.0)
        self.cluster.catalogue.replace([], 100.5)
        self.assertTrue(self.cluster.catalogue.is_accepting(endpoint))
        self.cluster.catalogue.remove_expired(110.0)
        self.assertFalse(self.cluster.catalogue.is_accepting(endpoint))


class UsableEndpointsTest(base.TestCase):
    """Tests which endpoints of a plain and of a batched service are usable."""

    def setUp(self):
        self.cluster = proxy_fakes.build_cluster_state()
        self.cluster.adopt_table(proxy_fakes.build_table([]))
        self.notices = self.cluster.notices
        for service in ("plain", "stage"):
            for number in (1, 2):
                self.cluster.catalogue.put(
                    proxy_fakes.build_endpoint(f"{service}{number}", service)
                )

    def test_endpoints_in_cordoned_data_centres_are_in_no_list(self):
        elsewhere = proxy_fakes.build_endpoint(
            "plain3", "plain", data_centre="b"
        )
        self.cluster.catalogue.put(elsewhere)
        self.cluster.cordons.adopt(cordons.CordonList(1, frozenset("a")))
        self.assertEqual(["plain3"], self.list_names("plain"))
        self.assertEqual([elsewhere], self.cluster.list_available("plain", NOW))
        self.pause("plain3", 2.0)
        pauses = self.cluster.list_pauses("plain", NOW)
        self.assertEqual([(elsewhere, 2.0)], pauses)
        cordoned = proxy_fakes.build_endpoint("plain1", "plain")
        self.assertFalse(self.cluster.is_usable(cordoned, NOW))
        self.assertIsNone(self.cluster.compute_call_delay(cordoned, NOW))

    def test_endpoints_outside_the_home_regions_are_in_no_list(self):
        elsewhere = proxy_fakes.build_endpoint(
            "plain3", "plain", data_centre="b"
        )
        self.cluster.catalogue.put(elsewhere)
        wanted = eligibility.Eligibility(None, frozenset("b"))
        usable = self.cluster.list_usable("plain", NOW, wanted)
        self.assertEqual([elsewhere], usable)

    def test_endpoint_that_has_started_again_gets_only_plain_requests(self):
        (endpoint, other) = self.cluster.list_usable("plain", NOW)
        start = catalogue.get_start(endpoint)
        self.cluster.ended_starts.record(start, NOW)
        for wanted in (
            eligibility.Eligibility("v1"),
            eligibility.Eligibility(recorded=True),
            eligibility.Eligibility(shared_parts=True),
        ):
            usable = self.cluster.list_usable("plain", NOW, wanted)
            self.assertEqual([other], usable)
            self.assertFalse(self.cluster.permits(endpoint, wanted, NOW))
            self.assertTrue(self.cluster.permits(other, wanted, NOW))
            listed = endpoint._replace(started=2)
            self.assertTrue(self.cluster.permits(listed, wanted, NOW))
        for wanted in (
            eligibility.ANY,
            eligibility.Eligibility(None, frozenset("a")),
            eligibility.Eligibility("v1").without_version(),
        ):
            usable = self.cluster.list_usable("plain", NOW, wanted)
            self.assertEqual([endpoint, other], usable)

    def list_names(self, service):
        return [
            endpoint.name for endpoint in self.cluster.list_usable(service, NOW)
        ]

    def pause(self, name, seconds):
        start = catalogue.EndpointStart(name, 1)
        self.notices.record_pause(start, seconds, NOW)

    def pause_elsewhere(self, name, seconds=1.0):
        start = catalogue.EndpointStart(name, 1)
        self.notices.record_pause_elsewhere(start, seconds, NOW)

    def leave(self, name):
        start = catalogue.EndpointStart(name, 1)
        self.notices.record_leaving(start, NOW)

    def test_endpoints_that_leave_or_pause_are_not_usable(self):
        self.pause("plain1", 1.0)
        self.assertEqual(["plain2"], self.list_names("plain"))
        self.leave("plain2")
        self.assertEqual([], self.list_names("plain"))
        for name in ("plain1", "plain2"):
            endpoint = self.cluster.catalogue.find(name)
            self.assertFalse(self.cluster.is_usable(endpoint, NOW))

    def test_first_pause_to_end_is_that_of_the_service(self):
        self.pause("plain1", 3.0)
        self.assertEqual(0.0, self.cluster.compute_pause("plain", NOW))
        self.pause("plain2", 1.0)
        self.assertEqual(1.0, self.cluster.compute_pause("plain", NOW))
        self.leave("plain2")
        self.assertEqual(3.0, self.cluster.compute_pause("plain", NOW))
        self.leave("plain1")
        self.assertEqual(0.0, self.cluster.compute_pause("plain", NOW))

    def test_pause_elsewhere_moves_requests_only_while_others_are_left(self):
        self.pause_elsewhere("plain1")
        self.assertEqual(["plain2"], self.list_names("plain"))
        self.pause("plain2", 1.0)
        self.assertEqual(["plain1"], self.list_names("plain"))
        self.assertEqual(0.0, self.cluster.compute_pause("plain", NOW))

    def test_pause_for_the_owner_ends_items_to_a_batched_endpoint(self):
        for name in ("stage1", "stage2"):
            self.pause_elsewhere(name, 1.5)
        self.assertEqual([], self.list_names("stage"))
        self.assertEqual(1.5, self.cluster.compute_pause("stage", NOW))

    def test_calls_wait_for_the_end_of_a_pause_and_end_with_leaving(self):
        endpoint = self.cluster.catalogue.find("stage1")
        self.assertEqual(0.0, self.cluster.compute_call_delay(endpoint, NOW))
        self.pause("stage1", 1.5)
        self.assertEqual(1.5, self.cluster.compute_call_delay(endpoint, NOW))
        self.leave("stage1")
        self.assertIsNone(self.cluster.compute_call_delay(endpoint, NOW))


NAMES = ("e1", "e2")

_names = strategies.sampled_from(NAMES)
_seconds = strategies.floats(0.01, 2.0)

_steps = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["start", "drain", "go"]),
        _names,
        strategies.booleans(),
    ),
    strategies.tuples(strategies.sampled_from(["leave", "renew"]), _names),
    strategies.tuples(strategies.just("pause"), _names, _seconds),
    strategies.tuples(strategies.just("return"), strategies.integers(0, 5)),
    strategies.tuples(strategies.just("list")),
    strategies.tuples(strategies.just("wait"), _seconds),
)


def get_start(endpoint):
    return catalogue.EndpointStart(endpoint.name, endpoint.started)


class Fleet:
    """Endpoints, and a store that may return from a copy of itself.

    Attributes:
        now: the present time.
        current: the present state of each endpoint; None if it has gone.
        stored: their states in the store.
    """

    def __init__(self):
        self.now = NOW
        self.current = dict.fromkeys(NAMES)
        self.stored = dict.fromkeys(NAMES)
        self._copies = [dict(self.stored)]
        self._starts = 0

    def start(self, name):
        self._starts += 1
        endpoint = proxy_fakes.build_endpoint(name, started=self._starts)
        self._write(name, endpoint)

    def drain(self, name):
        if self.current[name] is not None:
            self._write(name, self.current[name]._replace(accepting=False))

    def go(self, name):
        self._write(name, None)

    def renew(self, name):
        self._write(name, self.current[name])

    def _write(self, name, endpoint):
        self.current[name] = self.stored[name] = endpoint
        self._copies.append(dict(self.stored))

    def return_from_copy(self, age):
        self.stored = dict(self._copies[-1 - min(age, len(self._copies) - 1)])


class AnyOrderTest(base.TestCase):
    """Tests lives of endpoints, notices, lists and eras in any order."""

    def take_step(self, kind, *values):
        fleet, notices = self.fleet, self.cluster.notices
        if kind == "wait":
            fleet.now += values[0]
        elif kind == "return":
            fleet.return_from_copy(*values)
            self.cluster.start_era(fleet.now)
            self.read_list()
        elif kind == "list":
            self.read_list()
        elif kind == "renew":
            fleet.renew(*values)
            self.read_event(*values)
        elif kind in ("start", "drain", "go"):
            name, watched = values
            getattr(fleet, kind)(name)
            if watched:
                self.read_event(name)
        elif fleet.current[values[0]] is not None:
            start = get_start(fleet.current[values[0]])
            if kind == "leave":
                self.left.add(start)
                notices.record_leaving(start, fleet.now)
            else:
                ends_at = fleet.now + values[1]
                before = self.paused_until.get(start, 0.0)
                self.paused_until[start] = max(before, ends_at)
                notices.record_pause(start, values[1], fleet.now)

    def read_event(self, name):
        """Reads the last change of an endpoint by a watch."""
        endpoint = self.fleet.stored[name]
        self.cluster.copy_guard.record_write(name)
        if endpoint is None:
            changes = self.cluster.catalogue.remove(name, self.fleet.now)
        else:
            changes = self.cluster.catalogue.put(endpoint)
        self.record_changes(changes)

    def read_list(self):
        now = self.fleet.now
        listed = [one for one in self.fleet.stored.values() if one is not None]
        current = self.cluster.copy_guard.filter_listed(listed, now)
        self.record_changes(self.cluster.catalogue.replace(current, now))

    def record_changes(self, changes):
        for change in changes:
            self.cluster.copy_guard.record_change(change, self.fleet.now)
            if change.after is not None:
                name, started = change.after.name, change.after.started
                self.assertGreaterEqual(started, self.last_started.get(name, 0))
                self.last_started[name] = started
                if not change.after.accepting:
                    self.drained.add(get_start(change.after))

    def check(self):
        for endpoint in self.cluster.list_usable("stage", self.fleet.now):
            start = get_start(endpoint)
            self.assertNotIn(start, self.left)
            self.assertNotIn(start, self.drained)
            self.assertLessEqual(
                self.paused_until.get(start, 0.0), self.fleet.now
            )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(strategies.lists(_steps, max_size=30))
    def test_no_order_brings_an_endpoint_back(self, steps):
        self.fleet = Fleet()
        self.cluster = proxy_fakes.build_cluster_state()
        self.left, self.drained, self.paused_until = set(), set(), {}
        self.last_started = {}
        for step in steps:
            # A registration that a copy brings back is used after HOLD_SECONDS.
            if self.fleet.now < NOW + copy_guard.HOLD_SECONDS:
                self.take_step(*step)
                self.check()
        self.check_renewed()

    def check_renewed(self):
        """Checks that what is alive is used once all have written again."""
        for name in NAMES:
            self.take_step("renew", name)
        self.fleet.now += catalogue.GRACE_SECONDS + 2.0
        self.record_changes(
            self.cluster.catalogue.remove_expired(self.fleet.now)
        )
        expected = {
            endpoint
            for endpoint in self.fleet.current.values()
            if endpoint is not None
            and endpoint.accepting
            and get_start(endpoint) not in self.left
        }
        usable = self.cluster.list_usable("stage", self.fleet.now)
        self.assertEqual(expected, set(usable))
