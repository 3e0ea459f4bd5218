"""Tests of adapters.clock."""

import curio

from samphirevale import claims
from samphirevale.adapters import clock
from tests import base, fakes, test_claims


class HangingStore(fakes.FakeStore):
    """A store that executes writes but never answers them."""

    async def create(self, kind, name, value):
        await super().create(kind, name, value)
        await curio.sleep(100)


class MonotonicClockTest(base.TestCase):
    """Timeouts on curio."""

    async def test_a_timeout_ends_the_block(self):
        monotonic = clock.MonotonicClock()
        started_at = monotonic.now()
        with self.assertRaises(TimeoutError):
            async with monotonic.timeout(0.05):
                await monotonic.sleep(100)
        self.assertLess(monotonic.now() - started_at, 5)

    async def test_acquiring_a_claim_from_a_hanging_store_is_given_up(self):
        store = HangingStore()
        monotonic = clock.MonotonicClock()
        decision = await claims.acquire_claim(
            store, test_claims.CLAIM, monotonic.now() + 0.05, monotonic
        )
        self.assertEqual(decision, claims.GivenUp(outstanding=True))
        await claims.release_claim(store, test_claims.CLAIM, monotonic)
        stored = store.objects[("claims", test_claims.NAME)].value
        self.assertEqual(stored["state"], "released")
