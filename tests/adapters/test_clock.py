"""Tests of adapters.clock."""

import curio

from samphirevale import claims
from samphirevale.adapters import clock
from tests import base, fakes, test_claims


class HangingStore(fakes.FakeStore):
    """Takes a write and never answers."""

    async def create(self, kind, name, value):
        await super().create(kind, name, value)
        await curio.sleep(100)


class MonotonicClockTest(base.TestCase):
    """Time limits on curio."""

    async def test_a_limit_ends_the_block(self):
        monotonic = clock.MonotonicClock()
        began = monotonic.now()
        with self.assertRaises(TimeoutError):
            async with monotonic.limit(0.05):
                await monotonic.sleep(100)
        self.assertLess(monotonic.now() - began, 5)

    async def test_a_claim_over_a_store_that_hangs_is_given_up(self):
        store = HangingStore()
        monotonic = clock.MonotonicClock()
        decision = await claims.acquire_claim(
            store, test_claims.CLAIM, monotonic.now() + 0.05, monotonic
        )
        self.assertEqual(decision, claims.GiveUp(outstanding=True))
        await claims.release_claim(store, test_claims.CLAIM, monotonic)
        stored = store.objects[("claims", test_claims.NAME)].value
        self.assertEqual(stored["state"], "released")
