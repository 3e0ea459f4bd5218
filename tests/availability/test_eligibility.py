"""Tests of the conditions that a request sets for its endpoints."""

from samphirevale.availability import eligibility
from tests import base, proxy_fakes

ENDPOINT = proxy_fakes.build_endpoint(version="v1", data_centre="a")


class EligibilityTest(base.TestCase):
    """Tests the conditions for one endpoint."""

    def check(self, permitted, version, data_centres):
        wanted = eligibility.Eligibility(version, data_centres)
        self.assertEqual(permitted, wanted.permits(ENDPOINT))

    def test_any_endpoint_is_permitted_without_conditions(self):
        self.assertTrue(eligibility.ANY.permits(ENDPOINT))

    def test_version_and_data_centre_both_bind(self):
        self.check(True, "v1", frozenset("ab"))
        self.check(False, "v2", frozenset("ab"))
        self.check(False, "v1", frozenset("b"))
        self.check(False, None, frozenset())

    def test_stages_are_not_bound_to_the_version(self):
        wanted = eligibility.Eligibility("v2", frozenset("a"))
        self.assertTrue(wanted.without_version().permits(ENDPOINT))
        self.assertFalse(
            eligibility.Eligibility("v1", frozenset("b"))
            .without_version()
            .permits(ENDPOINT)
        )
