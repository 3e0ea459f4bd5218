"""Tests which versions of a service's software count as known."""

from samphirevale import catalogue, service_versions
from tests import base, proxy_fakes

OLD = proxy_fakes.build_endpoint("e1", "lm", version="v1")
NEW = proxy_fakes.build_endpoint("e2", "lm", version="v2")


class ServiceVersionsTest(base.TestCase):
    """Tests the only version of a service."""

    def setUp(self):
        self.versions = service_versions.ServiceVersions()

    def find_only(self, *endpoints, since=100.0):
        return self.versions.find_only("lm", endpoints, since)

    def test_one_version(self):
        self.assertEqual("v1", self.find_only(OLD))
        self.assertIsNone(self.find_only(OLD, NEW))
        self.assertIsNone(self.find_only())

    def test_version_that_has_just_gone_counts(self):
        self.versions.record_change(catalogue.Change(OLD, None), 100.0)
        self.assertIsNone(self.find_only(NEW))
        self.assertEqual("v2", self.find_only(NEW, since=100.1))
        self.assertEqual("v1", self.find_only(OLD))

    def test_restart_with_another_version_counts(self):
        restarted = OLD._replace(version="v2", started=2)
        self.versions.record_change(catalogue.Change(OLD, restarted), 100.0)
        self.assertIsNone(self.find_only(restarted))

    def test_new_or_draining_endpoint_is_no_other_version(self):
        self.versions.record_change(catalogue.Change(None, OLD), 100.0)
        draining = OLD._replace(accepting=False)
        self.versions.record_change(catalogue.Change(OLD, draining), 100.0)
        self.assertEqual("v2", self.find_only(NEW))

    def test_versions_of_other_services_do_not_count(self):
        other = OLD._replace(service="other")
        self.versions.record_change(catalogue.Change(other, None), 100.0)
        self.assertEqual("v2", self.find_only(NEW))
