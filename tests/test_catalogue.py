"""Tests of the catalogue of endpoints."""

from samphirevale import catalogue
from tests import base, proxy_fakes

ENDPOINT = proxy_fakes.build_endpoint()


class CatalogueTest(base.TestCase):
    """Tests the catalogue of one entry."""

    def setUp(self):
        self.catalogue = catalogue.Catalogue()
        self.catalogue.replace([ENDPOINT], 100.0)

    def test_draining_endpoint_accepts_no_new_work(self):
        self.catalogue.put(ENDPOINT._replace(accepting=False))
        self.assertEqual([], self.catalogue.list_accepting("stage"))
        self.assertFalse(self.catalogue.is_accepting(ENDPOINT))

    def test_another_start_under_the_same_name_is_another_endpoint(self):
        self.catalogue.put(ENDPOINT._replace(started=2))
        self.assertFalse(self.catalogue.is_accepting(ENDPOINT))

    def test_endpoint_with_a_changed_address_is_not_used(self):
        self.catalogue.put(ENDPOINT._replace(host="10.0.0.9"))
        self.assertFalse(self.catalogue.is_accepting(ENDPOINT))

    def test_endpoint_missing_from_a_list_is_removed(self):
        changes = self.catalogue.replace([], 101.0)
        self.assertEqual([catalogue.Change(ENDPOINT, None)], changes)

    def test_expired_endpoints_stay_usable_after_an_outage(self):
        self.catalogue.start_grace_period(101.0)
        self.assertEqual([], self.catalogue.replace([], 101.0))
        self.assertTrue(self.catalogue.is_accepting(ENDPOINT))
        self.assertEqual([], self.catalogue.remove_expired(102.9))
        self.assertEqual(
            [catalogue.Change(ENDPOINT, None)],
            self.catalogue.remove_expired(103.0),
        )

    def test_expired_endpoint_that_returns_is_kept(self):
        self.catalogue.start_grace_period(101.0)
        self.catalogue.remove(ENDPOINT.name, 101.5)
        self.catalogue.put(ENDPOINT)
        self.assertEqual([], self.catalogue.remove_expired(110.0))
        self.assertTrue(self.catalogue.is_accepting(ENDPOINT))

    def test_endpoint_is_not_listed_under_its_previous_service(self):
        self.catalogue.put(ENDPOINT._replace(service="other"))
        self.assertEqual([], self.catalogue.list_service("stage"))
