"""Tests of the places to run in."""

import curio

from standins import places
from tests import base


class PlacesTest(base.TestCase):
    """Tests that no place is lost and that priorities are kept."""

    async def hold(self, held, ticket, name, order):
        try:
            async with held.hold(ticket):
                order.append(name)
        except places.WaitCancelledError:
            order.append(f"{name} cancelled")

    async def test_the_most_urgent_is_called_first(self):
        held, order = places.Places(1, 2), []
        async with held.hold(places.Ticket()):
            tasks = [
                await curio.spawn(
                    self.hold, held, places.Ticket(priority), priority, order
                )
                for priority in (2, 1)
            ]
            await curio.sleep(0)
        for task in tasks:
            await task.join()
        self.assertEqual(order, [1, 2])

    async def test_a_place_is_not_lost_when_its_holder_is_cancelled(self):
        for cancel_first in (True, False):
            held, order, ticket = places.Places(1, 1), [], places.Ticket()
            async with held.hold(places.Ticket()):
                task = await curio.spawn(self.hold, held, ticket, "b", order)
                await curio.sleep(0)
                if cancel_first:
                    await held.cancel_wait(ticket)
            await held.cancel_wait(ticket)
            await task.join()
            self.assertEqual(order, ["b cancelled" if cancel_first else "b"])
            self.assertEqual(held.loads.latest, places.Load(0, 0))
