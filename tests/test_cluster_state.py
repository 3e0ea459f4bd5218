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
