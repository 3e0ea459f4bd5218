"""Tests of the concurrency slots."""

import curio

from standins import slots
from tests import base


class SlotPoolTest(base.TestCase):
    """Tests that slots are not leaked and that priorities are respected."""

    async def hold(self, pool, waiter, name, order):
        try:
            async with pool.hold(waiter):
                order.append(name)
        except slots.WaitCancelledError:
            order.append(f"{name} cancelled")

    async def test_most_urgent_call_runs_first(self):
        pool, order = slots.SlotPool(1, 2), []
        async with pool.hold(slots.Waiter()):
            tasks = [
                await curio.spawn(
                    self.hold, pool, slots.Waiter(priority), priority, order
                )
                for priority in (2, 1)
            ]
            await curio.sleep(0)
        for task in tasks:
            await task.join()
        self.assertEqual(order, [1, 2])

    async def test_slot_is_not_leaked_when_call_is_cancelled(self):
        for cancel_first in (True, False):
            pool, order, waiter = slots.SlotPool(1, 1), [], slots.Waiter()
            async with pool.hold(slots.Waiter()):
                task = await curio.spawn(self.hold, pool, waiter, "b", order)
                await curio.sleep(0)
                if cancel_first:
                    await pool.cancel_wait(waiter)
            await pool.cancel_wait(waiter)
            await task.join()
            self.assertEqual(order, ["b cancelled" if cancel_first else "b"])
            self.assertEqual(pool.loads.latest, slots.Load(0, 0))
