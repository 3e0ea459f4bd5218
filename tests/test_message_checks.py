"""Tests of what is left out of the messages of other entries."""

import math
import time

from samphirevale import entry_messages, message_checks, messages
from tests import base

REPORT = entry_messages.EntryReport(
    queues=[["first1", 3, 300, 0, 0, -5, 0.25, 0.5, 1.0]],
    loads=[["plain1", 2, 500]],
    crashed=[["f1", "a1"]],
    pauses=[["plain2", 1, 700]],
    limits=[["model2", 1, 1.5, 20], ["model1", 1, 0, 20]],
    store_era=4,
    routes_version=7,
    demands=[["plain", "acme", 250], ["plain", "", 20]],
    cordoned=["a"],
    cordons_version=9,
)

ITEMS = entry_messages.ItemsRequest(
    3, "first1", "a9", 0, [0, 1], "ck", [], 1000, -5, 2000, 0, [["a", 100]]
)


class MessageChecksTest(base.TestCase):
    """Tests messages with values that no entry sends."""

    def test_sound_messages_are_unchanged(self):
        for message in (REPORT, ITEMS, messages.Hello("o", "", "", "", "", "")):
            self.assertIs(message, message_checks.check(message))

    def test_odd_rows_end_nothing_and_leave_the_others(self):
        """Each row ended the link, or was adopted and passed on."""
        odd_rows = {
            "queues": [[], ["q"], [5, *REPORT.queues[0][1:]]],
            "loads": [["x", 2], ["x", math.nan, 1], ["x", -1, 1], [[], 1, 1]],
            "crashed": [[], [[], "a"], ["f", 5], ["f"] * 99],
            "pauses": [["x", 1, math.nan], ["x", 1, -5], ["x", 2**70, 5]],
            "limits": [["x", 1, 1e-9, 5], ["x", 1, math.inf, 5], ["x"]],
            "demands": [["p", "a", -1], ["p", [], 1], ["p", "a", 10**400]],
            "cordoned": ["x" * 257, "\n"],
        }
        for name, rows in odd_rows.items():
            sound = getattr(REPORT, name)
            for row in rows:
                odd = REPORT._replace(**{name: [row, *sound]})
                self.assertEqual(REPORT, message_checks.check(odd), row)

    def test_no_more_rows_are_looked_at_than_a_fleet_has(self):
        """A message of the largest size took a second."""
        odd = REPORT._replace(
            loads=[["x", 1, -1]] * 200_000, queues=REPORT.queues
        )
        began_at = time.process_time()
        found = message_checks.check(odd)
        self.assertLess(time.process_time() - began_at, 0.05)
        self.assertEqual([], found.loads)
        self.assertEqual(REPORT.queues, found.queues)

    def test_odd_state_of_the_store_is_not_learned(self):
        """An era or version that none can reach hid all later ones."""
        for era in (10**9, 2**64, -2):
            found = message_checks.check(REPORT._replace(store_era=era))
            self.assertEqual(entry_messages.NO_ERA, found.store_era)
            self.assertEqual(entry_messages.NO_CORDONS, found.cordons_version)
        found = message_checks.check(REPORT._replace(routes_version=2**63))
        self.assertEqual(entry_messages.NO_ROUTES, found.routes_version)

    def test_routes_are_not_confirmed_in_the_future(self):
        """A negative age made old routes count as current for ever."""
        for age in (-1.0, math.nan, math.inf, 10**400):
            answer = entry_messages.RoutesAge(1, 7, age, 4)
            self.assertIsNone(message_checks.check(answer))

    def test_odd_items_are_not_run(self):
        """An empty list, or a time too large for a float, got no answer."""
        for changes in (
            {"indices": []},
            {"indices": [-1]},
            {"due_ms": 10**400},
            {"remaining_ms": -(10**400)},
            {"result_bytes": -1},
            {"inputs": ["a,b"]},
            {"inputs": ["a\nb"]},
        ):
            self.assertIsNone(message_checks.check(ITEMS._replace(**changes)))
        odd = ITEMS._replace(transfers=[["a", 100], ["b"], 5 * ["b"]])
        self.assertEqual(ITEMS, message_checks.check(odd))

    def test_results_that_no_header_takes_are_none(self):
        """Fewer reasons than results raised an error in a sound request."""
        answer = entry_messages.ItemsResult(
            1, "e1", ["h1", "a,b", "c\n", ""], ["x", "", "", "room"], []
        )
        found = message_checks.check(answer)
        self.assertEqual(["h1", "", "", ""], found.results)
        self.assertEqual(["", "error", "error", "room"], found.reasons)
        self.assertIsNone(message_checks.check(answer._replace(reasons=[])))

    def test_evidence_of_crashes_that_have_not_happened_is_left_out(self):
        """A crash in the future was remembered for ever."""
        odd = entry_messages.CrashEvidence(
            [["e", 1, -5, ["p"], [5]], ["e", 1, 5, ["p", "q"], [5]]],
            [["p", math.nan], [[], 5]],
            [["e", 1, -1e300], ["e"]],
        )
        found = message_checks.check(odd)
        self.assertEqual(entry_messages.CrashEvidence([], [], []), found)

    def test_an_entry_has_a_name(self):
        for name in ("", "a\n", "x" * 300):
            hello = messages.Hello(name, "", "entry", "a", "", "")
            self.assertIsNone(message_checks.check(hello))
