"""Tests of the registration of an entry in each era of the store."""

import contextlib
import random

import curio

from samphirevale import errors, registrar, registrations, store_eras
from tests import base, proxy_fakes

ME = registrations.Registration("me", "10.0.0.1", 7000, "token")

# More turns of the scheduler than any step of the registrar takes.
TURNS = 50


class FakeStore:
    """Records writes, and answers with the next element of a script.

    The last element answers all further writes.
    """

    def __init__(self, clock, script):
        self.clock = clock
        self.script = script
        self.written_at = []

    async def replace(self, kind, name, value):
        self.written_at.append(self.clock.now())
        answer = self.script[0]
        if len(self.script) > 1:
            self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class RegistrarTest(base.TestCase):
    """Tests one entry, whose clock advances only by its own pauses."""

    @contextlib.asynccontextmanager
    async def run_registrar(self, *script, seen=None, seed=1):
        self.clock = proxy_fakes.FakeClock()
        self.journal = proxy_fakes.FakeJournal()
        self.store = FakeStore(self.clock, list(script))
        self.eras = store_eras.StoreEras(lambda now: None, self.journal)
        await self.eras.observe(seen, store_eras.STORE, 99.0)
        runner = registrar.Registrar(
            self.store,
            ME,
            self.eras,
            self.clock,
            random.Random(seed),
            self.journal,
        )
        task = await curio.spawn(runner.run, daemon=True)
        await self.take_turns()
        yield
        await task.cancel()

    async def take_turns(self):
        for _ in range(TURNS):
            await curio.sleep(0)

    async def test_registration_is_written_once_in_an_era(self):
        async with self.run_registrar(3):
            await self.eras.observe(3, store_eras.STORE, 100.0)
            await self.take_turns()
            self.assertEqual([100.0], self.store.written_at)

    async def test_registration_is_written_again_soon_in_a_new_era(self):
        async with self.run_registrar(3, 4):
            self.clock.seconds = 200.0
            await self.eras.observe(4, "other", 200.0)
            await self.take_turns()
            _, second_at = self.store.written_at
            self.assertGreater(second_at, 200.0)
            self.assertLess(second_at, 202.0)

    async def test_writes_of_a_fleet_are_spread(self):
        drawn = set()
        for seed in range(5):
            async with self.run_registrar(3, 4, seed=seed):
                self.clock.seconds = 200.0
                await self.eras.observe(4, "other", 200.0)
                await self.take_turns()
                drawn.add(self.store.written_at[-1])
        self.assertEqual(5, len(drawn))

    async def test_answer_of_a_write_announces_a_new_era(self):
        async with self.run_registrar(4, seen=3):
            self.assertEqual(1, len(self.store.written_at))
            self.assertEqual(4, self.eras.newest)
            self.assertIn("store_era_changed", self.journal.list_events())

    async def test_failed_write_is_retried(self):
        async with self.run_registrar(errors.StoreUnavailableError("cut"), 3):
            self.assertEqual(2, len(self.store.written_at))
            self.assertIn("not_registered", self.journal.list_events())

    async def test_late_answer_of_an_older_era_is_followed_by_a_write(self):
        async with self.run_registrar(3, 3, 4):
            await self.eras.observe(4, "other", 100.0)
            await self.take_turns()
            self.assertEqual(3, len(self.store.written_at))
            self.assertEqual(4, self.eras.newest)

    async def test_store_without_eras_gets_one_write(self):
        async with self.run_registrar(None):
            self.assertEqual([100.0], self.store.written_at)

    async def test_malformed_era_causes_no_loop_of_writes(self):
        async with self.run_registrar(None):
            await self.eras.observe(3, store_eras.STORE, 100.0)
            await self.take_turns()
            self.assertEqual(2, len(self.store.written_at))
