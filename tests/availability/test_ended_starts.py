"""Tests of what is remembered of listed starts that are over."""

from samphirevale import catalogue
from samphirevale.availability import ended_starts
from tests import base, proxy_fakes

NOW = 100.0
ENDPOINT = proxy_fakes.build_endpoint("e1", started=1)
START = catalogue.get_start(ENDPOINT)


class EndedStartsTest(base.TestCase):
    """Tests how long a start counts as over."""

    def setUp(self):
        self.ended = ended_starts.EndedStarts()

    def test_start_is_over_until_another_one_is_listed(self):
        self.assertTrue(self.ended.record(START, NOW))
        self.assertFalse(self.ended.record(START, NOW + 0.1))
        self.assertTrue(self.ended.is_over(ENDPOINT, NOW + 1.0))
        self.assertFalse(
            self.ended.is_over(ENDPOINT._replace(started=2), NOW + 1.0)
        )
        self.ended.remove_expired(lambda start: False, NOW + 1.0)
        self.assertFalse(self.ended)

    def test_report_that_was_wrong_counts_for_a_while_only(self):
        self.ended.record(START, NOW)
        later = NOW + ended_starts.ENDED_SECONDS
        self.assertFalse(self.ended.is_over(ENDPOINT, later))
        self.ended.remove_expired(lambda start: True, later - 0.1)
        self.assertTrue(self.ended)
        self.ended.remove_expired(lambda start: True, later)
        self.assertFalse(self.ended)
        self.assertTrue(self.ended.record(START, later))
