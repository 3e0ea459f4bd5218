"""Tests of callers that read their last answer slowly as a process ends."""

import contextlib
import signal
import time

import curio

from samphirevale import errors
from standins import servers
from tests.platform import stopping_processes

# The size of an answer that the sockets hold, and of one that they do not, in
# bytes.
SMALL_BYTES = 10_000
LARGE_BYTES = 8_000_000

# How long a caller waits before the signal, in seconds.
WAIT_SECONDS = 0.5


class LargeServer(servers.Server):
    """A server whose answers are as large as the request says."""

    async def _answer(self, request):
        response = await super()._answer(request)
        size = request.headers.get("x-bytes")
        return response._replace(body=b"b" * int(size)) if size else response


class SlowReaderTest(stopping_processes.StoppingProcessTestCase):
    """A caller reads its answer after the process has ended."""

    grace_seconds = 2.0

    def build_server(self, name):
        return LargeServer(name)

    async def read_after_end(self, size):
        """Returns the bytes that are read of an answer, and if it is whole."""
        data = bytearray()
        complete = False
        async with self.run_process():
            connection = await self.open_connection()
            with contextlib.suppress(errors.AnswerLostError):
                answer = await connection.request(
                    "POST",
                    "/once/x",
                    b"",
                    (
                        ("Samphirevale-Attempt-Id", "a1"),
                        ("Samphirevale-Key", "k1"),
                        ("X-Bytes", str(size)),
                    ),
                    "h.example",
                )
                self.assertEqual(200, answer.status)
                await curio.sleep(WAIT_SECONDS)
                signalled_at = time.monotonic()
                self.process.send_signal(signal.SIGTERM)
                while self.process.poll() is None:
                    await curio.sleep(0.02)
                self.assertLess(
                    time.monotonic() - signalled_at, self.grace_seconds
                )
                async with contextlib.aclosing(answer.read_parts()) as parts:
                    async for part in parts:
                        data += part
                complete = True
            await connection.close()
        self.assertEqual(0, self.process.returncode)
        return len(data), complete

    async def test_answer_that_the_sockets_hold_is_cut_at_the_end(self):
        self.assertEqual(
            (SMALL_BYTES, True), await self.read_after_end(SMALL_BYTES)
        )

    async def test_answer_that_the_sockets_do_not_hold_is_taken_for_whole(self):
        size, complete = await self.read_after_end(LARGE_BYTES)
        self.assertFalse(complete)
        self.assertLess(size, LARGE_BYTES)
