"""Tests of reports on requests and causes of failures from log lines."""

import json

from samphirevale import log_analysis
from tests import base


def build_line(time, event, **fields):
    return json.dumps({"time": time, "instance": "e", "event": event, **fields})


LINES = [
    "12.5 e2 "
    + build_line(2.0, "batch_failed", requests=["a1", "a2"], error="cut"),
    build_line(1.0, "request_accepted", request="a1", seconds=0.0),
    "no log line",
    '{"broken": ',
    build_line(3.0, "request_refused", request="a1", reason="no_endpoint"),
    build_line(4.0, "request_refused", request="a2", reason="no_endpoint"),
    build_line(4.0, "stream_ended", request="a3", outcome="complete"),
    build_line(4.0, "stream_ended", request="a4", outcome="AnswerLostError"),
]


class LogAnalysisTest(base.TestCase):
    """Tests the rows that operators see."""

    def test_events_of_a_request_are_ordered_across_processes(self):
        rows = log_analysis.list_request_events(
            log_analysis.parse_lines(LINES), "a1"
        )
        self.assertEqual(
            ["request_accepted", "batch_failed", "request_refused"],
            [row["event"] for row in rows],
        )
        self.assertEqual("error=cut", rows[1]["because"])

    def test_each_cause_has_an_example(self):
        rows = log_analysis.count_causes(log_analysis.parse_lines(LINES))
        self.assertEqual(
            [("no_endpoint", 2, "a1"), ("AnswerLostError", 1, "a4")],
            [(row["cause"], row["count"], row["request"]) for row in rows],
        )
