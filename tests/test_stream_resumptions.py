"""Tests of broken streams that go on at other endpoints."""

from samphirevale import errors, routes
from tests import proxy_fakes, test_event_streams


class BrokenStreamTest(test_event_streams.SilenceTestCase):
    """Tests streams whose next endpoint cannot be reached."""

    def setUp(self):
        super().setUp()
        self.add_endpoint("p3")
        self.script = (
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER),
            errors.ConnectError("down"),
            self.build_stream(b"id: 2\n\n"),
        )

    async def test_failed_connection_is_not_an_attempt_of_a_stream(self):
        self.use_stream_route(attempts_limit=2)
        answer = await self.answer(*self.script)
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_broken_stream_connects_again_after_a_silence(self):
        self.use_stream_route()
        for name in ("p2", "p3"):
            self.cluster.catalogue.remove(name, test_event_streams.NOW)
        proxy = self.build_proxy(
            self.build_stream(b"id: 1\n\n", proxy_fakes.LOST_ANSWER),
            errors.ConnectTimeoutError("no connection"),
            self.build_stream(b"id: 2\n\n"),
        )
        answer = await proxy.answer(proxy_fakes.build_request())
        self.add_endpoint("p2")
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_failed_connection_takes_no_retry_of_a_stream(self):
        self.use_stream_route(attempts_limit=9)
        self.budget_limits = test_event_streams.ONE_RETRY
        answer = await self.answer(*self.script)
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_failed_connections_of_a_stream_are_limited(self):
        self.use_stream_route(attempts_limit=9)
        self.add_endpoint("p4")
        self.add_endpoint("p5")
        broken, down, resumed = self.script
        answer = await self.answer(broken, *[down] * 3, resumed)
        with self.assertRaises(errors.AnswerLostError):
            await self.read_stream(answer)
        self.assertEqual(4, len(self.endpoints.sends))

    async def test_refused_stream_goes_on_at_a_further_endpoint(self):
        self.use_stream_route(attempts_limit=9)
        broken, _, resumed = self.script
        answer = await self.answer(
            broken, errors.NotExecutedError("full"), resumed
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))

    async def test_lost_results_of_a_stream_are_computed_again(self):
        self.use_stream_route(
            attempts_limit=9, stages=(routes.Stage("stage", (), 100),)
        )
        broken, _, resumed = self.script
        answer = await self.answer(
            broken,
            errors.NotExecutedError("gone", lacks_results=True),
            resumed,
            item_counts=(1,),
        )
        self.assertEqual(b"id: 1\n\nid: 2\n\n", await self.read_stream(answer))
        self.assertEqual(3, self.runner.item_count)
