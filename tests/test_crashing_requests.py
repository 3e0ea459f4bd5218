"""Tests of proxied requests with a part of a prompt that crashes endpoints."""

from unittest import mock

from samphirevale import crash_reports, errors, proxy_requests
from tests import proxy_fakes, test_proxying

PROMPT = tuple(proxy_requests.PromptPart(name, 5) for name in ("p", "x", "q1"))
EVENTS = (b"id: 1\n\n", b"id: 2\n\n")
REFUSED = (503, crash_reports.REASON)


class CrashingRequestTest(test_proxying.ProxyTestCase):
    """Tests a resumable stream of a model."""

    def setUp(self):
        super().setUp()
        self.use_stream_route()

    def crash(self, count):
        """Records crashes of endpoints under requests with the part."""
        sent = proxy_fakes.build_request(prompt=PROMPT)
        for number in range(count):
            endpoint = proxy_fakes.build_endpoint(f"gone{number}")
            self.crashes.record_crash(endpoint, sent, self.clock.seconds)
            self.clock.seconds += 0.1

    async def send(self, *script):
        return await self.answer(*script, prompt=PROMPT)

    async def read_stream(self, answer):
        return b"".join([chunk async for chunk in answer.chunks])

    def build_broken(self, *parts):
        return self.build_stream(*parts, proxy_fakes.LOST_ANSWER)

    def list_accused(self):
        return self.crashes.parts.list_accused()

    async def test_new_request_with_the_part_is_refused_as_not_run(self):
        self.crash(3)
        self.assertEqual(REFUSED, (await self.send())[:2])
        self.assertNotIn("request_accepted", self.journal.list_events())

    async def test_request_is_not_sent_once_its_part_is_known(self):
        refuses = mock.patch.object(
            self.crashes, "refuses", side_effect=[False, True]
        )
        with refuses:
            answer = await self.send()
        self.assertEqual(REFUSED, answer[:2])
        self.assertEqual([], self.endpoints.sends)

    async def test_request_that_crashes_the_third_endpoint_is_not_repeated(
        self,
    ):
        self.crash(2)
        answer = await self.send(self.build_broken())
        self.assertEqual((502, "answer_lost"), answer[:2])
        self.assertEqual(1, len(self.endpoints.sends))

    async def test_answer_that_breaks_off_at_its_begin_accuses_the_parts(self):
        await self.send(self.build_broken(), self.build_broken())
        self.assertEqual({"p", "x"}, self.list_accused())

    async def test_stream_that_has_gone_on_clears_the_parts(self):
        pause = proxy_fakes.Pause(self.clock, crash_reports.GOES_ON_SECONDS)
        answer = await self.send(
            self.build_broken(EVENTS[0], pause, EVENTS[1]),
            self.build_stream(b"id: 3\n\n"),
        )
        await self.read_stream(answer)
        self.assertEqual(set(), self.list_accused())
        self.crash(5)
        self.assertFalse(
            self.crashes.refuses(proxy_fakes.build_request(prompt=PROMPT))
        )

    def build_unframed(self, *parts):
        stream = self.build_stream(*parts)
        stream.framed = False
        return stream

    async def test_stream_that_ends_with_its_connection_before_an_event_broke(
        self,
    ):
        answer = await self.send(self.build_unframed(), self.build_unframed())
        self.assertEqual((502, "answer_lost"), answer[:2])
        self.assertEqual({"p", "x"}, self.list_accused())

    async def test_end_of_a_connection_clears_no_part(self):
        self.crash(1)
        answer = await self.send(self.build_unframed(EVENTS[0]))
        self.assertEqual(EVENTS[0], await self.read_stream(answer))
        self.assertEqual({"p", "x"}, self.list_accused())
        self.crash(3)
        self.assertEqual(REFUSED, (await self.send())[:2])

    async def test_error_that_is_no_crash_accuses_no_part(self):
        error = errors.ProtocolError("no answer")
        await self.send(error, error)
        self.assertEqual(set(), self.list_accused())
