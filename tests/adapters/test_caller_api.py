"""Tests of what callers get of a stream that breaks off."""

import contextlib
import types

import curio

from samphirevale import callers
from samphirevale.adapters import caller_api, web_server
from tests import base, raw_answers

REFUSAL = callers.Refusal("not_completed", 502, "endpoint_failed", "broken")
ANSWER = callers.CompleteAnswer("x", 2, "d", ())


class FakeService:
    """Emits two tokens and ends with a preset answer."""

    def __init__(self, answer):
        self._answer = answer

    async def execute(self, request, emit):
        await emit(0, ["a"])
        await emit(1, ["b"])
        return self._answer


class BrokenStreamTest(base.TestCase):
    """A stream ends with the event `end` only if it is whole."""

    async def read_stream(self, answer, version):
        api = caller_api.CallerApi(FakeService(answer))
        request = types.SimpleNamespace(id="r1")

        async def handle(_):
            return await api._answer_stream(request)

        port = base.find_free_port()
        task = await curio.spawn(
            web_server.serve, handle, "127.0.0.1", port, daemon=True
        )
        await curio.sleep(0.05)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(task.cancel)
            head = (
                f"GET / HTTP/{version}\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
            return await raw_answers.read_answer(port, head.encode())

    async def test_stream_that_breaks_off_ends_with_an_error(self):
        for version in ("1.1", "1.0"):
            for answer, name in ((REFUSAL, b"error"), (ANSWER, b"end")):
                read = await self.read_stream(answer, version)
                names = [
                    event.partition(b"\n")[0]
                    for event in read.body.split(b"\n\n")[:-1]
                ]
                self.assertEqual(
                    [b"event: chunk", b"event: chunk", b"event: " + name],
                    names,
                )
                self.assertTrue(read.complete)
