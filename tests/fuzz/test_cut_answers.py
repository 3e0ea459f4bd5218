"""Cuts answers of all kinds at each byte, and closes or resets the connection.

What is cut off is never taken for a whole answer, unless its head is whole, it
has no length and its connection was closed in order.
"""

import contextlib
import itertools

from samphirevale import errors
from samphirevale.adapters import endpoints as sidecar_endpoints
from samphirevale.adapters import objects as object_store
from samphirevale.platform import endpoints
from samphirevale.platform import store as platform_store
from samphirevale.ports import endpoints as ports
from tests import base, proxy_fakes, raw_answers
from tests.adapters import test_endpoints as test_sidecar_endpoints
from tests.platform import test_endpoints

HEADERS = (
    b"Samphirevale-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
    b"Store-Era: 3\r\n"
)

EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
TOKENS = b'{"sequence": 0, "tokens": ["a"]}\n'
ENDING = b'{"done": true, "count": 1, "digest": "d"}\n'
LISTING = b'{"items": [{"metadata": {"name": "n"}, "spec": {}}], "at": 7}'
CHANGES = b'{"events": [], "at": 7}'
OBJECT = b'{"kind": "k", "name": "n", "version": 1, "value": {}}'


class CutAnswersTest(base.TestCase):
    """Each kind of call, with an answer that is cut anywhere."""

    async def check(
        self, body, call, takes_prefix=False, takes_head=False, status=200
    ):
        """Checks a kind of call.

        Args:
            body: the body of the whole answer.
            call: makes the call on the raw server; returns what is taken for a
                whole answer.
            takes_prefix: whether the body that came before an orderly close is
                a whole one, if the answer has no length.
            takes_head: whether that holds only for an empty body.
            status: the status.
        """
        async with raw_answers.run_server() as self.raw:
            for framing, ends_by in itertools.product(
                raw_answers.FRAMINGS, ("close", "reset")
            ):
                whole = raw_answers.build_answer(body, framing, status, HEADERS)
                whole = whole.replace(b"{attempt}", b"a1")
                head = whole.index(b"\r\n\r\n") + 4
                # The head is cut everywhere in one framing.
                first = 0 if framing == "length" else head - 3
                for size in range(first, len(whole)):
                    found = await self.call(call, whole[:size], ends_by)
                    closed = framing == "none" and ends_by == "close"
                    if size < head or not closed:
                        self.assertIsNone(found, (framing, ends_by, size))
                    elif takes_prefix:
                        self.assertEqual(whole[head:size], found)
                    elif size > head or not takes_head:
                        self.assertIsNone(found, (framing, ends_by, size))
                ends_by = "close" if framing == "none" else ""
                found = await self.call(call, whole, ends_by, 1)
                self.assertIsNotNone(found, framing)

    async def call(self, call, data, ends_by, reports=2):
        """Returns the result of a call; None if it fails.

        Args:
            call: makes the call.
            data: the answer.
            ends_by: how the connection ends behind it.
            reports: the number of questions for a report with that answer.
        """
        answer = raw_answers.RawAnswer(data, ends_by)
        self.raw.script, self.raw.reports = [answer], [answer] * reports
        try:
            return await call()
        except (errors.TransportError, errors.StoreError):
            return None

    def build_endpoint(self):
        return proxy_fakes.build_endpoint(
            host="127.0.0.1", port=self.raw.ports[0], started=raw_answers.BORN
        )

    async def send(self):
        """Sends a request and returns the whole body of its answer."""
        client = endpoints.PlatformEndpoints(test_endpoints.FakeListener())
        answer = await client.send(
            self.build_endpoint(),
            proxy_fakes.build_request(attempt="a1"),
            proxy_fakes.build_send_parameters(),
            lambda started: None,
        )
        try:
            async with contextlib.aclosing(answer.read_parts()) as parts:
                return b"".join([part async for part in parts])
        finally:
            await answer.close()

    async def test_answers_of_requests(self):
        for status in (200, 500):
            await self.check(EVENTS, self.send, True, status=status)

    async def test_answers_of_stage_calls(self):
        async def run():
            client = endpoints.PlatformEndpoints(test_endpoints.FakeListener())
            items = [proxy_fakes.build_item()]
            try:
                return await client.run_batch(
                    self.build_endpoint(), items, 100.0
                )
            finally:
                await client.close_idle(self.build_endpoint())

        await self.check(b'{"items": [{"handle": "h"}]}', run)

    async def test_answers_of_releases(self):
        async def run():
            client = endpoints.PlatformEndpoints(test_endpoints.FakeListener())
            try:
                await client.release(self.build_endpoint(), ["h"])
            finally:
                await client.close_idle(self.build_endpoint())
            return "done"

        await self.check(b'{"a": 1}', run, takes_head=True)

    async def test_reports(self):
        async def run():
            client = endpoints.PlatformEndpoints(test_endpoints.FakeListener())
            try:
                return await client.read_free_memory(self.build_endpoint())
            finally:
                await client.close_idle(self.build_endpoint())

        await self.check(raw_answers.REPORT, run)

    async def test_reports_before_a_stream_goes_on(self):
        """Nothing is sent to an endpoint that may have started again."""

        async def run():
            client = endpoints.PlatformEndpoints(test_endpoints.FakeListener())
            self.raw.requests.clear()
            self.raw.script = [raw_answers.RawAnswer(sound, "close")]
            try:
                answer = await client.send(
                    self.build_endpoint(),
                    proxy_fakes.build_request(attempt="a1"),
                    proxy_fakes.build_send_parameters(
                        ask_seconds=0.5, start_required=True
                    ),
                    lambda started: None,
                )
            except errors.ConnectError:
                self.assertEqual([], self.raw.requests)
                return None
            await answer.close()
            return "sent"

        sound = raw_answers.build_answer(b"{}", "length", 200, HEADERS)
        sound = sound.replace(b"{attempt}", b"a1")
        await self.check(raw_answers.REPORT, run)

    def build_store(self, kind):
        return kind(f"http://127.0.0.1:{self.raw.ports[0]}")

    async def test_answers_of_the_platforms_store(self):
        """The status of an answer to a write says that it was done."""
        for body, writes, call in (
            (LISTING, False, lambda store: store.list_at("k")),
            (CHANGES, False, lambda store: store.watch("k", 1, 0)),
            (b'{"a": 1}', True, lambda store: store.create("k", "n", {})),
            (b'{"a": 1}', True, lambda store: store.replace("k", "n", {})),
        ):

            async def run(call=call):
                store = self.build_store(platform_store.PlatformStore)
                await call(store)
                return "done"

            await self.check(body, run, takes_head=writes)

    async def test_answers_of_the_object_store(self):
        for body, call in (
            (OBJECT, lambda store: store.get("k", "n")),
            (b'{"objects": []}', lambda store: store.list_kind("k")),
            (OBJECT, lambda store: store.update("k", "n", {}, 1)),
        ):

            async def run(call=call):
                store = self.build_store(object_store.HttpObjectStore)
                return await call(store)

            await self.check(body, run)

    def build_sidecar_endpoint(self, kind):
        url = f"http://127.0.0.1:{self.raw.ports[0]}"
        return sidecar_endpoints.build_endpoint(kind, url, 1.0)

    async def test_answers_to_a_sidecar(self):
        for kind, body in (
            ("stage", b'{"result": {"a": 1}}'),
            ("service", b'{"result": "x"}'),
            ("engine", TOKENS + ENDING),
        ):

            async def run(kind=kind):
                call = test_sidecar_endpoints.CALL
                endpoint = self.build_sidecar_endpoint(kind)
                *_, ending = [item async for item in endpoint.run(call)]
                if isinstance(ending, ports.Failed):
                    self.assertEqual("lost", ending.phase)
                    return None
                return ending

            await self.check(body, run)
