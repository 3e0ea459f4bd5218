"""Tests of broken streams while the process stops."""

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
