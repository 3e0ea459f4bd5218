"""Tests of the eras of the store."""

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import store_eras
from tests import base, proxy_fakes


class StoreErasTest(base.TestCase):
    """Tests the newest era that an entry has seen."""

    def setUp(self):
        self.changed_at = []
        self.journal = proxy_fakes.FakeJournal()
        self.eras = store_eras.StoreEras(self.changed_at.append, self.journal)

    async def observe(self, era, now=100.0):
        return await self.eras.observe(era, store_eras.STORE, now)

    async def test_first_era_is_no_change(self):
        await self.observe(3)
        self.assertEqual([], self.changed_at)

    async def test_first_era_may_lack_writes_until_it_is_settled(self):
        """A process may start while the store returns from a copy."""
        self.assertEqual(float("-inf"), self.eras.get_rewrite_end())
        await self.observe(3, 107.0)
        self.assertEqual(
            107.0 + store_eras.REWRITE_SECONDS, self.eras.get_rewrite_end()
        )
        self.eras.settle()
        self.assertEqual(float("-inf"), self.eras.get_rewrite_end())
        await self.observe(4, 109.0)
        self.assertEqual(
            109.0 + store_eras.REWRITE_SECONDS, self.eras.get_rewrite_end()
        )

    async def test_newer_era_is_logged_counted_and_announced(self):
        await self.observe(3)
        counted = base.read_counter("store_era_changes")
        self.assertEqual(
            store_eras.Relation.NEWER, await self.eras.observe(4, "b", 107.0)
        )
        self.assertEqual([107.0], self.changed_at)
        fields = {"era": 4, "previous": 3, "learned_from": "b"}
        self.assertEqual(
            [("change", "store_era_changed", fields)], self.journal.lines
        )
        self.assertEqual(counted + 1, base.read_counter("store_era_changes"))

    async def test_older_era_changes_nothing(self):
        await self.observe(4)
        self.assertEqual(store_eras.Relation.OLDER, await self.observe(3))
        self.assertEqual(4, self.eras.newest)
        self.assertEqual([], self.changed_at)

    async def test_missing_era_counts_as_current(self):
        self.assertEqual(store_eras.Relation.CURRENT, await self.observe(None))
        await self.observe(4)
        self.assertEqual(store_eras.Relation.CURRENT, await self.observe(None))
        self.assertEqual(4, self.eras.newest)

    async def test_store_lacks_its_last_writes_for_a_while(self):
        await self.observe(3)
        await self.observe(4, 107.0)
        self.assertEqual(
            107.0 + store_eras.REWRITE_SECONDS, self.eras.get_rewrite_end()
        )

    async def test_those_that_wait_for_a_newer_era_go_on(self):
        await self.observe(3)
        task = await curio.spawn(self.eras.wait_newer, 3)
        await curio.sleep(0)
        await self.observe(3)
        await curio.sleep(0)
        self.assertFalse(task.terminated)
        await self.observe(4)
        await task.join()
        await self.eras.wait_newer(3)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(strategies.none() | strategies.integers(3, 4))
    )
    def test_answers_of_two_eras_in_any_order(self, answered):
        curio.run(self.check_answers, answered)

    async def check_answers(self, answered):
        changed_at = []
        eras = store_eras.StoreEras(
            changed_at.append, proxy_fakes.FakeJournal()
        )
        for number, era in enumerate(answered):
            relation = await eras.observe(era, store_eras.STORE, number)
            seen = [one for one in answered[: number + 1] if one is not None]
            newest = max(seen, default=None)
            self.assertEqual(newest, eras.newest)
            # Only an answer of the newest era seen may change anything.
            self.assertEqual(
                era in (None, newest),
                relation is not store_eras.Relation.OLDER,
            )
            self.assertEqual((era or 0) < (newest or 0), eras.is_outdated(era))
        stated = [era for era in answered if era is not None]
        rises = 3 in stated and 4 in stated[stated.index(3) :]
        starts_with_older = bool(stated) and stated[0] == 3
        self.assertEqual(int(rises and starts_with_older), len(changed_at))
