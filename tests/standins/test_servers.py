"""Tests of the test double of the users' servers."""

import json
import time

import curio

from samphirevale.adapters import web
from standins import servers
from tests import base

# The duration of the silences, in seconds.
SHORT_SECONDS = 0.1

# The duration of a pause that does not end during a test, in seconds.
LONG_SECONDS = 60.0


class ServerTest(base.TestCase):
    """Tests what a server says of itself, and its pauses and silences."""

    def setUp(self):
        self.server = servers.Server("s1", "v1")
        self.server.silence_seconds = SHORT_SECONDS

    async def call(self, path, value=None, **headers):
        headers = {"samphirevale-attempt-id": "a1", **headers}
        body = b"" if value is None else json.dumps(value).encode()
        return await self.server.handle(
            web.Request("POST", path, {}, headers, body)
        )

    async def stream(self, **headers):
        return await self.call(
            "/x", **{"samphirevale-prefix-hash": "p:1", **headers}
        )

    async def call_each(self):
        """Returns the answers to one call of each kind."""
        self.server.faults = [""] * 3 + ["full"]
        return [
            await self.call("/report"),
            await self.call("/stage-run", {"items": []}),
            await self.call("/stage-free", {"handles": []}),
            await self.call("/x"),
            await self.stream(),
            await self.call("/x"),
            await self.call("/x", **{"samphirevale-expect-instance": "s2"}),
        ]

    async def list_delays(self, answer):
        """Returns the delay of each event, in silences."""
        delays = []
        began_at = time.monotonic()
        async for _ in answer.chunks:
            now = time.monotonic()
            delays.append(int((now - began_at) / self.server.silence_seconds))
            began_at = now
        return delays

    async def test_all_answers_say_that_the_server_leaves(self):
        for leaving, expected in ((False, None), (True, "1")):
            self.server.leaving = leaving
            answers = await self.call_each()
            self.assertEqual(
                [200, 200, 200, 200, 200, 503, 421],
                [answer.status for answer in answers],
            )
            self.assertEqual(
                [expected] * 7,
                [dict(a.headers).get("Server-Leaving") for a in answers],
            )

    async def test_pause_refuses_all_calls_and_records_them(self):
        began_at = time.monotonic()
        self.server.begin_pause(LONG_SECONDS, began_at)
        answers = await self.call_each()
        self.assertEqual(
            [503] * 6 + [421], [answer.status for answer in answers]
        )
        for answer in answers[:6]:
            headers = dict(answer.headers)
            self.assertLessEqual(float(headers["Retry-After"]), LONG_SECONDS)
            self.assertIn("Samphirevale-Not-Executed", headers)
        self.assertEqual([], self.server.seen_headers)
        end = began_at + LONG_SECONDS
        self.assertEqual(
            ["/report", "/stage-run", "/stage-free", "/x", "/x", "/x", "/x"],
            [call.path for call in self.server.list_arrivals(began_at, end)],
        )
        self.assertEqual([], self.server.list_arrivals(end, end + 1))

    async def test_pause_ends(self):
        now = time.monotonic()
        self.server.begin_pause(LONG_SECONDS, now - LONG_SECONDS)
        self.assertEqual(200, (await self.call("/x")).status)

    async def test_pause_states_the_given_text(self):
        for text in ("0.25", "-1", "soon"):
            self.server.begin_pause(1.0, time.monotonic(), text)
            headers = dict((await self.call("/x")).headers)
            self.assertEqual(text, headers["Retry-After"])

    async def test_events_name_the_version_that_wrote_them(self):
        answer = await self.stream(resumes="a0", **{"last-event-id": "3"})
        self.assertEqual(
            [b"id: 4\ndata: e4 v1\n\n", b"id: 5\ndata: e5 v1\n\n"],
            [event async for event in answer.chunks],
        )
        self.assertEqual("a0", self.server.seen_headers[0]["resumes"])

    async def test_stream_goes_on_after_a_silence(self):
        self.server.silence_seconds = 5 * SHORT_SECONDS
        for fault, expected in (
            ("", [0, 0, 0, 0, 0]),
            ("late", [1, 0, 0, 0, 0]),
            ("stall", [0, 0, 1, 0, 0]),
        ):
            self.server.faults = [fault]
            answer = await self.stream()
            self.assertEqual(expected, await self.list_delays(answer))

    async def test_silence_holds_up_the_other_calls(self):
        self.server.faults = ["silent"]
        began_at = time.monotonic()
        first = await curio.spawn(self.call, "/x")
        await curio.sleep(SHORT_SECONDS / 2)
        await self.call("/report")
        self.assertGreaterEqual(time.monotonic() - began_at, SHORT_SECONDS)
        await first.join()

    async def test_stage_call_is_answered_after_a_silence(self):
        self.server.faults = ["silent"]
        began_at = time.monotonic()
        item = {"id": "a1", "phase": 0, "segment": 0}
        answer = await self.call("/stage-run", {"items": [item]})
        self.assertGreaterEqual(time.monotonic() - began_at, SHORT_SECONDS)
        self.assertEqual(
            [{"handle": "s1/a1/0/0"}], json.loads(answer.body)["items"]
        )

    async def test_report_states_the_free_memory(self):
        self.server.free_mb = 2.5
        report = json.loads((await self.call("/report")).body)
        expected = {"queued": 0, "busy": False, "free_mb": 2.5, "born": 1}
        self.assertEqual(expected, report)
