"""Tests of the parts of prompts that crash endpoints."""

import random

import hypothesis
from hypothesis import strategies

from samphirevale import crashing_parts
from tests import base

NOW = 100.0

GROUP = frozenset({"x"})

# A time after which a request is sent to the next endpoint, in seconds.
STEP_SECONDS = 0.1


def build_start(number):
    return crashing_parts.Start(f"e{number}", 1)


class CrashingPartsTest(base.TestCase):
    """Tests what one entry concludes."""

    def setUp(self):
        self.known = crashing_parts.CrashingParts()
        self.now = NOW
        self.crashes = 0

    def crash(self, *parts, count=1):
        """Records crashes one after the other, each of a later request."""
        for _ in range(count):
            sent = dict.fromkeys(parts, self.now)
            self.now += STEP_SECONDS
            self.crashes += 1
            start = build_start(self.crashes)
            self.known.record_crash(start, self.now, sent)
            self.now += STEP_SECONDS

    def answer(self, *parts):
        return self.known.record_answer(parts, self.now)

    def is_refused(self, *parts):
        return self.known.find_group(parts, self.now) is not None

    def test_part_is_refused_after_three_crashes(self):
        self.crash("x", count=2)
        self.assertFalse(self.is_refused("x"))
        self.crash("x")
        self.assertTrue(self.is_refused("x"))
        self.assertTrue(self.is_refused("p", "x", "other"))
        self.assertFalse(self.is_refused("p", "other"))

    def test_part_that_was_answered_is_not_refused_with_the_other(self):
        self.answer("p")
        self.crash("p", "x", count=5)
        self.assertEqual({GROUP}, self.known.list_groups(self.now))

    def test_parts_that_only_crash_together_are_refused_together(self):
        self.crash("a", "x", count=3)
        self.assertTrue(self.is_refused("a", "x"))
        self.assertFalse(self.is_refused("a", "y"))
        self.assertFalse(self.is_refused("x"))
        self.answer("a", "y")
        self.assertTrue(self.is_refused("x"))
        self.assertFalse(self.is_refused("a"))

    def test_two_parts_that_crash_endpoints_are_both_refused(self):
        self.crash("x", count=4)
        self.crash("y", count=3)
        groups = {GROUP, frozenset({"y"})}
        self.assertEqual(groups, self.known.list_groups(self.now))

    def test_endpoints_that_crash_at_once_accuse_a_part_once(self):
        sent_at = self.now - 1.0
        for number in range(5):
            self.known.record_crash(
                build_start(number), self.now + 0.01 * number, {"a": sent_at}
            )
        self.assertFalse(self.is_refused("a"))

    def test_endpoint_that_is_heard_later_has_not_crashed(self):
        self.crash("x", count=3)
        heard_at = self.now + crashing_parts.ARRIVAL_SECONDS
        self.assertFalse(self.known.record_heard(build_start(9), heard_at))
        self.assertTrue(self.known.record_heard(build_start(3), heard_at))
        self.assertFalse(self.is_refused("x"))
        self.assertFalse(
            self.known.record_crash(build_start(3), NOW, {"x": NOW})
        )
        self.crash("x")
        self.assertTrue(self.is_refused("x"))

    def test_one_start_of_an_endpoint_accuses_once(self):
        for _ in range(5):
            self.known.record_crash(build_start(1), NOW, {"x": NOW})
            self.known.record_crash(build_start(1), NOW + 1, {"x": NOW + 0.5})
        self.assertFalse(self.is_refused("x"))

    def test_part_is_accepted_again_after_a_time(self):
        self.crash("x", count=3)
        self.now += crashing_parts.CRASH_SECONDS
        self.assertFalse(self.is_refused("x"))
        self.assertEqual([], self.known.list_crashes())

    def test_part_that_was_once_answered_is_refused_for_a_short_time(self):
        self.answer("p")
        self.now += crashing_parts.CLEARED_SECONDS + 1.0
        self.crash("p", count=3)
        self.assertTrue(self.is_refused("p"))
        self.now += crashing_parts.ANSWERED_CRASH_SECONDS
        self.assertFalse(self.is_refused("p"))

    def test_answer_lifts_the_refusal_and_is_told(self):
        self.crash("a", "x", count=3)
        self.assertEqual(["a"], self.answer("a", "b"))
        self.assertEqual([], self.answer("a", "b"))
        self.assertEqual({"a", "x"}, self.known.list_accused())
        self.assertEqual(
            [("a", self.now)], self.known.list_answered(["x", "a"])
        )

    def test_group_from_the_store_is_refused_until_its_end(self):
        self.known.adopt_group(GROUP, self.now + 5.0, self.now)
        self.assertTrue(self.is_refused("x"))
        self.now += 5.0
        self.assertFalse(self.is_refused("x"))

    def test_answered_group_from_the_store_is_not_adopted_again(self):
        self.known.adopt_group(GROUP, self.now + 50.0, self.now)
        self.now += 1.0
        self.assertEqual(["x"], self.answer("x"))
        self.known.adopt_group(GROUP, self.now + 50.0, self.now)
        self.assertFalse(self.is_refused("x"))

    def test_memory_is_bounded(self):
        limit = crashing_parts.ENDPOINTS_LIMIT
        parts = [f"p{i}" for i in range(2 * crashing_parts.PARTS_LIMIT)]
        self.crash(*parts, count=limit + 5)
        crashes = self.known.list_crashes()
        self.assertEqual(limit, len(crashes))
        self.assertEqual(
            {crashing_parts.PARTS_LIMIT},
            {len(crash.sent) for _, crash in crashes},
        )
        self.answer(*(f"a{i}" for i in range(crashing_parts.ANSWERED_LIMIT)))
        self.assertLessEqual(
            len(self.known._answered), crashing_parts.ANSWERED_LIMIT
        )


# Sound requests have these parts, besides the one that is common to all.
_sound_parts = strategies.sampled_from(("a", "b", "c", "d"))
_requests = strategies.tuples(strategies.booleans(), _sound_parts)


class FleetTest(base.TestCase):
    """Tests entries that tell each other what they see, in any order."""

    ENTRIES = 3

    def setUp(self):
        self.entries = [
            crashing_parts.CrashingParts() for _ in range(self.ENTRIES)
        ]
        self.facts = []

    def see(self, entry, fact):
        """Records a fact at one entry, to be told to the others."""
        apply(self.entries[entry], fact)
        self.facts.append(fact)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(_requests, min_size=20, max_size=60),
        strategies.randoms(use_true_random=False),
    )
    def test_only_requests_with_the_crashing_part_are_refused(
        self, requests, rng
    ):
        self.setUp()
        now = NOW
        crashes = 0
        for part in ("a", "b", "c", "d"):
            self.see(rng.randrange(self.ENTRIES), ("answer", part, now))
        for has_x, part in requests:
            entry = rng.randrange(self.ENTRIES)
            parts = ("p", part, "x") if has_x else ("p", part)
            sent_at, now = now, now + STEP_SECONDS
            if self.entries[entry].find_group(parts, now):
                self.assertTrue(has_x)
                continue
            if has_x:
                crashes += 1
                fact = ("crash", build_start(crashes), now, parts, sent_at)
                self.see(entry, fact)
            else:
                self.see(entry, ("answer", part, now))
                self.see(entry, ("answer", "p", now))
            now += STEP_SECONDS
        self.tell_all(rng)
        for known in self.entries:
            refused = known.find_group(("p", "a", "x"), now) is not None
            self.assertEqual(crashes >= crashing_parts.CRASHES_LIMIT, refused)
            for part in ("a", "b", "c", "d"):
                self.assertIsNone(known.find_group(("p", part), now))

    def tell_all(self, rng: random.Random):
        """Tells each entry all facts, in any order, some of them twice."""
        for known in self.entries:
            for fact in rng.sample(self.facts, len(self.facts)):
                for _ in range(rng.choice((1, 2))):
                    apply(known, fact)


def apply(known, fact):
    """Records a fact at an entry."""
    kind, *values = fact
    if kind == "answer":
        part, at = values
        known.record_answer([part], at)
    else:
        start, at, parts, sent_at = values
        known.record_crash(start, at, dict.fromkeys(parts, sent_at))
