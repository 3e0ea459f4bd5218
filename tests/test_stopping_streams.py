"""Tests of broken streams while the process stops."""

import curio

from samphirevale import errors, routes
from tests import proxy_fakes, test_event_streams

STAGES = (routes.Stage("stage", (), 100),)


class StoppingStreamTest(test_event_streams.SilenceTestCase):
    """The caller of a stream can take it up at another entry."""

    def setUp(self):
        super().setUp()
        self.use_stream_route(attempts_limit=9, stages=STAGES)
        self.script = (
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER),
            self.build_stream(b"id: 2\n\n"),
        )

    async def break_before_end(self, seconds):
        """Begins a stream that breaks some seconds before the end."""
        answer = await self.answer(*self.script, item_counts=(1,))
        self.process_end.at = self.clock.now() + seconds
        return await self.read_stream(answer)

    async def test_stream_that_cannot_go_on_before_the_end_breaks_at_once(
        self,
    ):
        with self.assertRaises(errors.AnswerLostError):
            await self.break_before_end(1.0)
        self.assertEqual(1, len(self.endpoints.sends))
        self.assertEqual(1, self.runner.item_count)

    async def test_stream_that_can_go_on_before_the_end_does(self):
        body = await self.break_before_end(4.0)
        self.assertEqual(b"id: 1\n\nid: 2\n\n", body)

    async def test_new_request_is_given_no_more_time_than_the_process_has(
        self,
    ):
        self.process_end.at = self.clock.now() + 3.0
        answer = await self.answer(*self.script, item_counts=(1,))
        await answer.chunks.aclose()
        ((_, _, parameters),) = self.endpoints.sends
        self.assertAlmostEqual(3.0, parameters.wait_seconds, 1)

    async def test_stream_that_begins_as_requests_are_ended_breaks(self):
        pause = proxy_fakes.Silence(0.05)
        stream = self.build_stream(b"id: 1\n\n", pause, b"id: 2\n\n")
        proxy = self.build_proxy(stream)

        async def tell_and_end(*_):
            await proxy.end_requests()

        # The other entries are told once the stream has begun.
        self.links.tell_origin = tell_and_end
        answer = await proxy.answer(proxy_fakes.build_request(item_counts=(1,)))
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_caller_of_a_request_that_was_ended_leaves_unnoticed(self):
        proxy = self.build_proxy(
            self.build_stream(proxy_fakes.Silence(9.0), b"id: 1\n\n")
        )

        async def answer_and_write():
            answer = await proxy.answer(
                proxy_fakes.build_request(item_counts=(1,))
            )
            self.assertEqual(504, answer.status)
            await curio.sleep(9.0)

        task = await curio.spawn(answer_and_write)
        await curio.sleep(0.1)
        await proxy.end_requests()
        await curio.sleep(0.1)
        async with curio.timeout_after(1.0):
            await task.cancel()
