"""Tests that the log lines of a proxying entry match the schema."""

import ast
import logging
import os
import pathlib
import re

from samphirevale import journal, log_analysis, log_schema
from tests import base

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG_METHODS = {"record_event", "record_failure", "record_request", "log_step"}

# Events whose calls pass further fields as one mapping.
OPEN_EVENTS = {
    "connection_closed",
    "queue",
    "stages_begun",
    "stages_overloaded",
}

# Fields that RequestContext.log_step adds to each line.
HELPER_FIELDS = {"request", "seconds"}


def find_log_calls():
    """Returns the event and the fields of each call that writes a line."""
    found = []
    for path in (ROOT / "samphirevale").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute | ast.Name)
                and getattr(node.func, "attr", getattr(node.func, "id", ""))
                in LOG_METHODS | {"write_line"}
                and node.args
                and isinstance(node.args[0], ast.Constant)
            ):
                fields = {keyword.arg for keyword in node.keywords}
                found.append((node.args[0].value, fields - {None}))
    return [
        (event, fields)
        for event, fields in found
        if event not in journal.LINES_PER_SECOND
    ]


class SchemaTest(base.TestCase):
    """Tests the calls in the source, the operators' page and lines."""

    def test_each_call_matches_the_schema(self):
        wrong = []
        for event, fields in find_log_calls():
            known = log_schema.EVENTS.get(event, frozenset())
            missing = known - fields - HELPER_FIELDS
            if fields - known or (missing and event not in OPEN_EVENTS):
                wrong.append((event, fields ^ known))
        self.assertEqual([], wrong)

    def test_each_event_has_a_call(self):
        written = {event for event, _ in find_log_calls()}
        self.assertEqual(set(log_schema.EVENTS), written)

    def test_operators_page_names_each_event(self):
        text = (ROOT / "docs/OPERATIONS.md").read_text()
        section = text.partition("## Logs of a proxying entry")[2]
        cells = re.findall(r"^\| (`.*?) \|", section, re.MULTILINE)
        named = {n for cell in cells for n in re.findall(r"`(\w+)`", cell)}
        self.assertEqual(set(), set(log_schema.EVENTS) - named)

    def test_deviations_are_described(self):
        line = {"time": 1.0, "at": 1.0, "instance": "i", "event": "entry_up"}
        self.assertEqual(
            ["entry_up lacks entry"], log_schema.find_deviations(line)
        )
        line |= {"entry": "b", "odd": 1, log_schema.DROPPED_LINES_FIELD: 3}
        self.assertEqual(["entry_up has odd"], log_schema.find_deviations(line))
        self.assertEqual(
            ["unknown event 'x'"], log_schema.find_deviations({"event": "x"})
        )


class VolumeTest(base.TestCase):
    """Tests ten times the limit of each kind for ten seconds."""

    def setUp(self):
        self.now = 100.0
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.writer, False)
        self.journal = journal.Journal("here", lambda: self.now, self.writer)
        self.data = b""

    def test_lines_per_second_stay_within_the_limit(self):
        methods = (
            self.journal.record_event,
            self.journal.record_failure,
            self.journal.record_request,
        )
        budget = sum(journal.LINES_PER_SECOND.values())
        for second in range(10):
            self.now = 100.0 + second
            for number in range(budget * 10):
                methods[number % 3]("entry_up", entry=f"e{number}")
                if number % 50 == 0:
                    self.read_available()
            self.read_available()
        lines = log_analysis.parse_lines(self.data.decode().splitlines())
        for line in lines:
            self.assertEqual([], log_schema.find_deviations(line))
        self.assertEqual(budget * 10, len(lines))
        reported = sum(line.get("lines_left_out", 0) for line in lines)
        dropped = reported + self.journal.dropped_lines
        self.assertEqual(budget * 10 * 10, len(lines) + dropped)

    def read_available(self):
        os.set_blocking(self.reader, False)
        try:
            self.data += os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return

    def test_library_log_record_is_a_line(self):
        logger = logging.Logger("curio")
        logger.addHandler(journal.JournalHandler(self.journal))
        try:
            raise ValueError("odd")
        except ValueError:
            logger.error("Task Crash", exc_info=True)
        self.read_available()
        (line,) = log_analysis.parse_lines(self.data.decode().splitlines())
        self.assertEqual([], log_schema.find_deviations(line))
        self.assertEqual("Task Crash: ValueError('odd')", line["text"])
