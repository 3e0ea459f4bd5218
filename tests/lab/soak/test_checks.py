"""Tests of the checks of what callers and endpoints have seen."""

from lab.soak import checks, records
from tests import base

EVENTS = 4


def build_leg(attempt, events, end, stream="a", path="/write/x", **changes):
    """Returns a request that got events, such as `1:v1 2:v1`."""
    pairs = [event.split(":") for event in events.split()]
    leg = records.Leg(
        stream,
        attempt,
        path,
        "entry0",
        sent_at=1.0,
        ended_at=2.0,
        status=200,
        last_event=0,
        events=tuple((int(number), version) for number, version in pairs),
        end=end,
        text="",
        kept=False,
    )
    return leg._replace(**changes)


def build_seen(legs, runs=(), versions=()):
    """Returns what was seen of endpoints e0, e1 and so on."""
    starts = [
        records.Start(number, f"e{number}", 1, version, 0.0, 0.1, None)
        for number, version in enumerate(versions)
    ]
    return checks.Seen(legs, starts, list(runs), EVENTS)


def build_run(attempt, at, last_event, start, path="/write/x"):
    return records.Run(attempt, path, at, last_event, start)


def build_line(attempt, at, endpoint, version):
    return {
        "event": "request_sent",
        "request": attempt,
        "time": at,
        "endpoint": endpoint,
        "version": version,
    }


class RulesTest(base.TestCase):
    """Tests that each broken rule is found, and nothing else."""

    def list_kinds(self, *legs, runs=()):
        return [item.kind for item in checks.check_all(build_seen(legs, runs))]

    def test_stream_that_was_taken_up_breaks_no_rule(self):
        kinds = self.list_kinds(
            build_leg("a", "1:v1 2:v1", records.BROKEN),
            build_leg("b", "", records.REFUSED, status=503),
            build_leg("c", "3:v1 4:v1", records.COMPLETE),
        )
        self.assertEqual([], kinds)

    def test_two_versions(self):
        kinds = self.list_kinds(
            build_leg("a", "1:v1 2:v1", records.LEFT),
            build_leg("b", "3:v2", records.LEFT),
        )
        self.assertEqual(["joined"], kinds)

    def test_event_that_is_missing_or_comes_twice(self):
        for events in ("1:v1 3:v1", "1:v1 1:v1", "2:v1", "0:text"):
            leg = build_leg("a", events, records.BROKEN)
            self.assertEqual(["numbers"], self.list_kinds(leg))

    def test_stream_that_ends_as_complete_before_its_last_event(self):
        for events in ("1:v1 2:v1 3:v1", ""):
            leg = build_leg("a", events, records.COMPLETE)
            self.assertEqual(["short"], self.list_kinds(leg))

    def test_other_text_in_a_stream_that_ends_as_complete(self):
        events = "1:v1 2:v1 3:v1 4:v1"
        leg = build_leg("a", events, records.COMPLETE, text="oops")
        self.assertEqual(["other text"], self.list_kinds(leg))

    def test_unrepeatable_request_that_runs_twice_or_though_refused(self):
        once = "/once/x"
        run = build_run("a", 1.0, 0, 0, once)
        leg = build_leg("a", "", records.COMPLETE, path=once)
        self.assertEqual([], self.list_kinds(leg, runs=[run]))
        self.assertEqual(["twice"], self.list_kinds(leg, runs=[run, run]))
        for status in sorted(records.NOT_RUN):
            refused = leg._replace(status=status, end=records.REFUSED)
            self.assertEqual([], self.list_kinds(refused))
            self.assertEqual(["refused"], self.list_kinds(refused, runs=[run]))

    def test_repeatable_request_may_run_twice(self):
        run = build_run("a", 1.0, 0, 0, "/read/x")
        leg = build_leg("a", "", records.COMPLETE, path="/read/x")
        self.assertEqual([], self.list_kinds(leg, runs=[run, run]))

    def test_unexpected_error_in_an_entry(self):
        leg = build_leg("a", "", records.REFUSED, status=500)
        self.assertEqual(["error"], self.list_kinds(leg))

    def test_entry_that_has_ended_by_itself(self):
        seen = build_seen([])._replace(dead=["entry1"])
        self.assertEqual("dead", checks.check_all(seen)[0].kind)


class CountsTest(base.TestCase):
    """Tests how the ends of requests are counted."""

    def test_ends_and_refused_take_ups(self):
        refused = build_leg("b", "", records.REFUSED, status=503, text="full\n")
        legs = [
            build_leg("a", "1:v1", records.LEFT),
            refused._replace(last_event=1),
            refused,
            build_leg("c", "", records.BROKEN, status=0, kept=True),
        ]
        self.assertEqual(
            {
                "/write/ left 200": 1,
                "/write/ no answer on an open connection": 1,
                "/write/ refused 503": 2,
            },
            checks.count_ends(legs),
        )
        self.assertEqual({"full": 1}, checks.count_refusals(legs))
        self.assertEqual({"full": 1}, checks.count_refusals(legs, False))

    def test_shares_of_answered_streams_that_were_served(self):
        refused = build_leg("b", "", records.REFUSED, status=503)
        legs = [
            build_leg("a", "1:v1", records.LEFT),
            build_leg("a", "2:v1", records.LEFT)._replace(last_event=1),
            refused,
            refused._replace(last_event=1),
            refused._replace(last_event=1),
            build_leg("c", "", records.BROKEN, status=0),
        ]
        expected = {
            "begun_share": 0.5,
            "begun_answered": 2,
            "taken_up_share": 0.3333,
            "taken_up_answered": 3,
        }
        self.assertEqual(expected, checks.compute_served(legs))


class CausesTest(base.TestCase):
    """Tests why a stream was joined: e0 and e1 are of v1, e2 of v2."""

    def find_cause(self, legs, runs, *lines):
        seen = build_seen(legs, runs, ("v1", "v1", "v2"))
        by_request = {}
        for line in lines:
            by_request.setdefault(line["request"], []).append(line)
        return checks.find_cause(legs, seen, by_request)

    def test_stream_that_began_at_an_unknown_start(self):
        legs = [
            build_leg("a", "1:v2", records.LEFT),
            build_leg("b", "2:v1", records.LEFT),
        ]
        runs = [build_run("a", 1.0, 0, 2), build_run("b", 2.0, 1, 0)]
        lines = [build_line("a", 1.0, "e2", "v1")]
        lines.append(build_line("b", 2.0, "e0", "v1"))
        self.assertEqual(checks.BEGIN, self.find_cause(legs, runs, *lines))

    def test_run_that_broke_before_the_first_event_does_not_count(self):
        legs = [build_leg("a", "1:v2 2:v1", records.LEFT)]
        runs = [
            build_run("a", 1.0, 0, 0),
            build_run("a", 2.0, 0, 2),
            build_run("a", 3.0, 1, 1),
        ]
        lines = [
            build_line("a", 1.0, "e0", "v1"),
            build_line("a", 2.0, "e2", "v1"),
            build_line("a", 3.0, "e1", "v1"),
        ]
        self.assertEqual(checks.BEGIN, self.find_cause(legs, runs, *lines))

    def test_run_that_overlaps_with_the_first_events_does_not_count(self):
        legs = [
            build_leg("a", "1:v1 2:v1", records.LEFT),
            build_leg("b", "3:v2", records.LEFT),
        ]
        runs = [
            build_run("a", 1.0, 0, 0),
            build_run("a", 1.2, 0, 2),
            build_run("b", 3.0, 2, 2),
        ]
        lines = [build_line("a", 1.0, "e0", "v1")]
        lines.append(build_line("b", 3.0, "e2", "v1"))
        self.assertEqual(checks.BETWEEN, self.find_cause(legs, runs, *lines))

    def test_origin_taken_for_one_of_another_version(self):
        legs = [
            build_leg("a", "1:v1", records.LEFT),
            build_leg("b", "2:v2", records.LEFT),
        ]
        runs = [build_run("a", 1.0, 0, 0), build_run("b", 2.0, 1, 2)]
        lines = [build_line("a", 1.0, "e0", "v1")]
        lines.append(build_line("b", 2.0, "e2", "v2"))
        self.assertEqual(checks.ORIGIN, self.find_cause(legs, runs, *lines))
        lines[1]["version"] = "v1"
        self.assertEqual(checks.BETWEEN, self.find_cause(legs, runs, *lines))

    def test_cause_is_unknown_without_lines(self):
        legs = [build_leg("a", "1:v1 2:v2", records.LEFT)]
        runs = [build_run("a", 1.0, 0, 0), build_run("a", 2.0, 1, 2)]
        self.assertEqual(checks.UNKNOWN, self.find_cause(legs, runs))

    def test_trace_tells_how_old_a_start_was(self):
        legs = [build_leg("a", "1:v1", records.LEFT)]
        seen = build_seen(legs, [build_run("a", 1.05, 0, 0)], ("v1",))
        seen.starts[0] = seen.starts[0]._replace(registered_at=1.25)
        rows = checks.build_trace(legs, seen, {})
        self.assertEqual(
            [
                "  +0.000 caller  sends a to entry0",
                "  +0.050 server  e0 born 1 v1, 1.050 s old, "
                "0.200 s before its registration, runs a after 0",
                "  +1.000 caller  left 200 1:v1 ",
            ],
            rows,
        )
