"""Tests of the parts of prompts that the store keeps."""

import random
import time

import curio

from samphirevale import (
    crash_reports,
    crashing_part_store,
    errors,
    proxy_requests,
    registrations,
)
from samphirevale.ports import objects
from tests import base, proxy_fakes

GROUP = frozenset({"x"})
REQUEST = proxy_fakes.build_request(
    prompt=(
        proxy_requests.PromptPart("x", 5),
        proxy_requests.PromptPart("q", 5),
    )
)

# More turns of the scheduler than a comparison with the store takes.
TURNS = 20


class FakeStore:
    """Keeps the written values; fails while `error` is set."""

    def __init__(self):
        self.values = []
        self.error = None

    async def replace(self, kind, name, value):
        if self.error is not None:
            raise self.error
        self.values.append((kind, name, value))


class CrashingPartStoreTest(base.TestCase):
    """Tests the object of one entry."""

    def setUp(self):
        self.clock = proxy_fakes.FakeClock()
        self.journal = proxy_fakes.FakeJournal()
        self.store = FakeStore()
        self.reports = crash_reports.CrashReports(
            None, self.clock, self.journal
        )
        self.kept = crashing_part_store.CrashingPartStore(
            self.store,
            self.reports,
            self.clock,
            random.Random(1),
            self.journal,
        )

    def crash(self):
        for number in range(3):
            endpoint = proxy_fakes.build_endpoint(f"e{number}")
            sent_at = self.clock.seconds
            self.clock.seconds += 0.1
            self.reports.record_crash(endpoint, REQUEST, sent_at)

    async def run_checks(self):
        task = await curio.spawn(self.kept.run, daemon=True)
        for _ in range(TURNS):
            await curio.sleep(0)
        await task.cancel()

    async def test_refused_parts_are_written_once(self):
        self.kept.adopt_object(None)
        self.crash()
        await self.run_checks()
        ((kind, name, value),) = self.store.values
        self.assertEqual(registrations.KIND, kind)
        self.assertEqual(crashing_part_store.NAME, name)
        self.assertEqual({GROUP}, set(crashing_part_store.decode_groups(value)))

    async def test_nothing_is_written_before_the_store_was_read(self):
        self.crash()
        await self.run_checks()
        self.assertEqual([], self.store.values)

    async def test_groups_of_others_are_kept(self):
        other = {frozenset({"a", "b"}): time.time() + 50.0}
        self.kept.adopt_object(crashing_part_store.encode_groups(other))
        self.crash()
        await self.run_checks()
        groups = crashing_part_store.decode_groups(self.store.values[0][2])
        self.assertEqual({GROUP, *other}, set(groups))

    async def test_failed_write_is_logged_and_repeated(self):
        self.kept.adopt_object(None)
        self.crash()
        self.store.error = errors.StoreUnavailableError("down")
        await self.run_checks()
        self.assertIn("parts_not_stored", self.journal.list_events())
        self.store.error = None
        await self.run_checks()
        self.assertEqual(1, len(self.store.values))

    async def test_stored_group_is_refused_by_an_entry_that_starts(self):
        stored = {GROUP: time.time() + 50.0, frozenset({"y"}): time.time() - 1}
        self.kept.adopt_object(crashing_part_store.encode_groups(stored))
        self.assertTrue(self.reports.refuses(REQUEST))
        self.assertEqual([GROUP], self.reports.list_lasting_groups())

    async def test_answered_group_is_removed(self):
        stored = {GROUP: time.time() + 50.0}
        self.kept.adopt_object(crashing_part_store.encode_groups(stored))
        self.clock.seconds += 1.0
        self.reports.record_answer(REQUEST)
        await self.run_checks()
        self.assertEqual({"groups": []}, self.store.values[-1][2])

    def test_malformed_objects_are_left_out(self):
        for value in (
            None,
            7,
            {"groups": 3},
            {"groups": [3, {}, {"parts": [1], "ends_at": 2}]},
            {"groups": [{"parts": [], "ends_at": 2}]},
            {"groups": [{"parts": ["x"], "ends_at": "soon"}]},
            {"groups": [{"parts": ["x"], "ends_at": 10**400}]},
            {"groups": [{"parts": ["x"], "ends_at": float("nan")}]},
            {"groups": [{"parts": ["x"], "ends_at": True}]},
            {"groups": [{"parts": ["\ud800"], "ends_at": 2}]},
            objects.UNREADABLE,
        ):
            self.assertEqual({}, crashing_part_store.decode_groups(value))
