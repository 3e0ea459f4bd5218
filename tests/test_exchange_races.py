"""Tests exchanges of one request with several endpoints."""

import curio

from samphirevale import errors, exchange_races, proxy_requests
from tests import base, proxy_fakes

FIRST = proxy_fakes.build_endpoint("e1")
SECOND = proxy_fakes.build_endpoint("e2")


class FakeChunks:
    """The chunks of a streamed answer."""

    def __init__(self):
        self.closed = False

    async def aclose(self):
        self.closed = True


def build_answer(endpoint):
    return proxy_requests.CompleteAnswer(200, (), endpoint.name.encode())


class ExchangeRaceTest(base.TestCase):
    """Tests that the first outcome counts and the rest is cancelled."""

    def setUp(self):
        self.cancelled = []

    async def hang(self, endpoint):
        try:
            await curio.sleep(50.0)
        except curio.CancelledError:
            self.cancelled.append(endpoint.name)
            raise

    async def answer(self, endpoint):
        return build_answer(endpoint)

    async def refuse_connection(self, endpoint):
        raise errors.ConnectError("down")

    async def test_answer_of_the_later_endpoint_may_come_first(self):
        async with exchange_races.open_race() as race:
            await race.start(FIRST, self.hang)
            self.assertIsNone(await race.wait(0.02))
            await race.start(SECOND, self.answer)
            finished = await race.wait(5.0)
            self.assertEqual((SECOND, build_answer(SECOND)), finished)
            self.assertEqual(1, race.running)
        self.assertEqual(["e1"], self.cancelled)

    async def test_error_of_one_endpoint_leaves_the_other(self):
        async with exchange_races.open_race() as race:
            await race.start(FIRST, self.hang)
            await race.start(SECOND, self.refuse_connection)
            finished = await race.wait(5.0)
            self.assertIsInstance(finished.outcome, errors.ConnectError)
            self.assertEqual([], self.cancelled)

    async def test_unexpected_error_ends_the_race(self):
        async def crash(endpoint):
            raise ValueError("bug")

        async with exchange_races.open_race() as race:
            await race.start(FIRST, crash)
            with self.assertRaises(ValueError):
                await race.wait(1.0)

    async def test_unexpected_error_does_not_leave_the_request_waiting(self):
        for error in (KeyError("odd"), curio.TaskTimeout(1.0)):

            async def break_down(endpoint, error=error):
                raise error

            async with exchange_races.open_race() as race:
                await race.start(FIRST, break_down)
                with self.assertRaises(type(error)):
                    await race.wait(5.0)

    async def keep_second(self, race, send):
        """Starts two exchanges, and keeps the second one, which hangs."""
        await race.start(FIRST, send)
        await race.start(SECOND, self.hang)
        await curio.sleep(0.01)
        await race.keep_last()

    async def test_exchange_that_ended_before_its_cancellation_counts(self):
        async with exchange_races.open_race() as race:
            await self.keep_second(race, self.answer)
            self.assertEqual(2, race.running)
            finished = await race.wait(5.0)
            self.assertEqual(FIRST, finished.endpoint)
            self.assertEqual(1, race.running)

    async def test_cancelled_exchange_does_not_count(self):
        async with exchange_races.open_race() as race:
            await self.keep_second(race, self.hang)
            self.assertEqual(1, race.running)
            self.assertEqual(["e1"], self.cancelled)

    async def test_stream_that_nobody_reads_is_closed(self):
        chunks = FakeChunks()

        async def begin(endpoint):
            return proxy_requests.StreamedAnswer(200, (), chunks, None)

        async with exchange_races.open_race() as race:
            await race.start(FIRST, self.answer)
            await race.start(SECOND, begin)
            finished = await race.wait(5.0)
            self.assertEqual(FIRST, finished.endpoint)
            await curio.sleep(0.01)
        self.assertTrue(chunks.closed)
