"""Tests of the copies that a proxying entry holds."""

from samphirevale import cluster_state, ownership
from tests import base, proxy_fakes


class ClusterStateTest(base.TestCase):
    """Tests versions of routes and owners of endpoints."""

    def setUp(self):
        self.cluster = cluster_state.ClusterState(
            5.0, ownership.Member("me", "a")
        )

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
