"""Tests of marks on listed starts."""

from samphirevale import catalogue
from samphirevale.availability import start_marks
from tests import base, proxy_fakes

NOW = 100.0
ENDPOINT = proxy_fakes.build_endpoint("e1", started=1)
START = catalogue.get_start(ENDPOINT)


class StartMarksTest(base.TestCase):
    """Tests how long a start is marked."""

    def setUp(self):
        self.marks = start_marks.StartMarks()

    def test_start_is_marked_until_another_one_is_listed(self):
        self.assertTrue(self.marks.record(START, NOW))
        self.assertFalse(self.marks.record(START, NOW + 0.1))
        self.assertTrue(self.marks.is_marked(ENDPOINT, NOW + 1.0))
        self.assertFalse(
            self.marks.is_marked(ENDPOINT._replace(started=2), NOW + 1.0)
        )
        self.marks.remove_expired(lambda start: False, NOW + 1.0)
        self.assertFalse(self.marks)

    def test_report_that_was_wrong_counts_for_a_while_only(self):
        self.marks.record(START, NOW)
        later = NOW + start_marks.MARK_SECONDS
        self.assertFalse(self.marks.is_marked(ENDPOINT, later))
        self.marks.remove_expired(lambda start: True, later - 0.1)
        self.assertTrue(self.marks)
        self.marks.remove_expired(lambda start: True, later)
        self.assertFalse(self.marks)
        self.assertTrue(self.marks.record(START, later))
