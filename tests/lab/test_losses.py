"""Tests of the table that shows where requests lost time."""

from lab import losses
from tests import base


def build_lines(request, wait, *events):
    """Returns the lines of an accepted request, one second apart."""
    names = ("request_accepted", *events)
    return [
        {
            "event": event,
            "request": request,
            "route": "r",
            "wait_seconds": wait,
            "bare_seconds": 0.4,
            "seconds": float(number),
            "outcome": "complete",
        }
        for number, event in enumerate(names)
    ]


WHOLE = ("stages_begun", "stages_done", "request_sent", "stream_ended")


class LossesTest(base.TestCase):
    """Tests the rows that are computed from log lines."""

    def build_rows(self, *requests):
        lines = [line for request_lines in requests for line in request_lines]
        return losses.build_rows(losses.collect_request_times(lines))

    def test_times_of_each_part(self):
        (row,) = self.build_rows(build_lines("a", 10.0, *WHOLE))
        self.assertEqual(("r", "first", 1, 1, 0, 0, 0), row[:7])
        self.assertEqual((2.0, 1.6, 1.0, 4.0), row[7:])

    def test_returned_requests_have_their_own_row(self):
        first, returned = self.build_rows(
            build_lines("a", 10.0, "stages_overloaded", "request_refused"),
            build_lines("b", 6.0, *WHOLE),
            build_lines("c", 6.0, "stages_begun"),
        )
        self.assertEqual(("first", 1, 0, 1, 0, 0), first[1:7])
        self.assertEqual(("returned", 2, 1, 0, 0, 1), returned[1:7])

    def test_other_lines_are_ignored(self):
        self.assertEqual([], self.build_rows([{"event": "queue"}]))

    def test_table_has_a_line_for_each_row(self):
        rows = self.build_rows(build_lines("a", 10.0, "request_answered"))
        self.assertEqual(2, len(losses.format_table(rows).splitlines()))
