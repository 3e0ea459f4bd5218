"""Tests of the log lines."""

import logging

from samphirevale import logs
from tests import base


class LogsTest(base.TestCase):
    """The format of a line."""

    def test_pairs(self):
        self.assertEqual(
            'event=lost peer=10.0.0.1:70 why="a \\"b\\"" age=0.25 none=""',
            logs.format_pairs(
                event="lost", peer="10.0.0.1:70", why='a "b"', age=0.25, none=""
            ),
        )

    def test_line(self):
        record = logging.LogRecord(
            "absl", logging.INFO, "", 0, "two\nlines", (), None
        )
        record.created = 0.5
        self.assertEqual(
            "time=1970-01-01T00:00:00.500+00:00 level=info instance=e-1 "
            'event=message text="two\\nlines"',
            logs.LineFormatter("e-1").format(record),
        )
