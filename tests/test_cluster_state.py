"""Tests of the copies that a proxying entry holds."""

from samphirevale import endpoint_notices, ownership
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

    def list_names(self, service):
        return [
            endpoint.name for endpoint in self.cluster.list_usable(service, NOW)
        ]

    def pause(self, name, seconds):
        start = endpoint_notices.EndpointStart(name, 1)
        self.notices.record_pause(start, seconds, NOW)

    def pause_elsewhere(self, name, seconds=1.0):
        start = endpoint_notices.EndpointStart(name, 1)
        self.notices.record_pause_elsewhere(start, seconds, NOW)

    def leave(self, name):
        start = endpoint_notices.EndpointStart(name, 1)
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
