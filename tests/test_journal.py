"""Tests of the journal, its limits and its non-blocking writes."""

import json
import os

from samphirevale import journal
from tests import base


class JournalTest(base.TestCase):
    """Tests lines that are written to a pipe."""

    def setUp(self):
        self.now = 100.0
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.journal = journal.Journal("here", lambda: self.now, self.writer)

    def read_lines(self):
        data = os.read(self.reader, 1 << 20)
        return [json.loads(line) for line in data.splitlines()]

    def test_line_contains_its_fields(self):
        self.journal.record_event("entry_up", entry="b")
        (line,) = self.read_lines()
        self.assertIsInstance(line.pop("time"), float)
        expected = {
            "at": 100.0,
            "instance": "here",
            "event": "entry_up",
            "entry": "b",
        }
        self.assertEqual(expected, line)

    def test_limit_of_one_kind_does_not_affect_others(self):
        for _ in range(1000):
            self.journal.record_request("request_sent")
        self.journal.record_failure("request_refused")
        lines = self.read_lines()
        self.assertEqual(journal.LINES_PER_SECOND["request"] + 1, len(lines))
        self.assertEqual("request_refused", lines[-1]["event"])
        self.assertEqual(
            1000 - journal.LINES_PER_SECOND["request"],
            lines[-1]["lines_left_out"],
        )

    def test_stuck_reader_neither_blocks_writes_nor_breaks_lines(self):
        written = 0
        for second in range(400):
            self.now = 100.0 + second
            for _ in range(journal.LINES_PER_SECOND["failure"]):
                self.journal.record_failure("request_refused", text="x" * 100)
                written += 1
        lines = self.read_lines()
        self.assertLess(len(lines), written)
        self.now += 1
        self.journal.record_failure("after")
        rest = os.read(self.reader, 1 << 20).splitlines()
        self.assertEqual("after", json.loads(rest[-1])["event"])
        self.assertGreater(json.loads(rest[-1])["lines_left_out"], 0)
