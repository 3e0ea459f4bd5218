"""Tests of the HTTP server: slow readers, memory, descriptors and JSON."""

import contextlib
import os
import resource

import curio

from samphirevale import errors
from samphirevale.adapters import web, web_client
from tests import base

CHUNK_BYTES = 64 * 1024

# Number of chunks that exceeds the buffers of a loopback connection.
CHUNKS_LIMIT = 1000

LIMITS = web.Limits(write_seconds=0.2)


class EndlessAnswer:
    """A handler with an endless answer that records the answer's end."""

    def __init__(self):
        self.chunks = 0
        self.closed = curio.Event()

    async def handle(self, request: web.Request) -> web.StreamedResponse:
        return web.StreamedResponse(200, self._produce())

    async def _produce(self):
        try:
            while True:
                self.chunks += 1
                yield bytes(CHUNK_BYTES)
        finally:
            await self.closed.set()


class ServerTest(base.TestCase):
    """A server's handling of callers that do not read and of full limits."""

    async def test_a_caller_that_stops_reading_is_disconnected(self):
        answer = EndlessAnswer()
        port = base.find_free_port()
        serving = await curio.spawn(
            web.serve, answer.handle, "127.0.0.1", port, LIMITS
        )
        connection = await self.connect(port)
        try:
            await connection.request("GET", "/")
            await answer.closed.wait()
            self.assertLess(answer.chunks, CHUNKS_LIMIT)
        finally:
            await connection.close()
            await serving.cancel()

    async def test_raised_head_limit_holds_for_a_head_in_two_reads(self):
        async def answer(request):
            return web.Response(200)

        port = base.find_free_port()
        state = web.ServerState()
        state.limits = web.Limits(head_bytes=64 * 1024)
        serving = await curio.spawn(
            web.serve, answer, "127.0.0.1", port, web.Limits(), state
        )
        await (await self.connect(port)).close()
        stream = await curio.open_connection("127.0.0.1", port)
        try:
            padding = b"x" * 10_000
            await stream.sendall(
                b"GET / HTTP/1.1\r\nHost: h\r\nA: %b\r\nB: %b\r\n"
                % (padding, padding)
            )
            await curio.sleep(0.2)
            await stream.sendall(b"\r\n")
            self.assertIn(b" 200 ", await stream.recv(100))
        finally:
            await stream.close()
            await serving.cancel()

    async def test_bodies_over_the_shared_memory_limit_are_refused(self):
        released = curio.Event()

        async def wait(request):
            await released.wait()
            return web.Response(200)

        port = base.find_free_port()
        limits = web.Limits(body_bytes=100, all_bodies_bytes=150)
        state = web.ServerState()
        serving = await curio.spawn(
            web.serve, wait, "127.0.0.1", port, limits, state
        )
        connections = [await self.connect(port) for _ in range(2)]
        try:
            first = await curio.spawn(
                connections[0].request, "POST", "/", bytes(100)
            )
            while not state.busy:
                await curio.sleep(0.01)
            refused = await connections[1].request("POST", "/", bytes(60))
            self.assertEqual(503, refused.status)
            self.assertIn("retry-after", refused.headers)
            await released.set()
            self.assertEqual(200, (await first.join()).status)
            while state.busy:
                await curio.sleep(0.01)
            self.assertEqual(0, state.body_bytes)
        finally:
            for connection in connections:
                await connection.close()
            await serving.cancel()

    async def test_accepting_continues_after_a_failure(self):
        port = base.find_free_port()
        answer = EndlessAnswer()
        serving = await curio.spawn(
            web.serve, answer.handle, "127.0.0.1", port, LIMITS
        )
        await (await self.connect(port)).close()
        with self.without_free_files():
            waiting = await self.connect(port)
            await curio.sleep(0.1)
        try:
            got = await waiting.request("GET", "/")
            self.assertEqual(200, got.status)
        finally:
            await waiting.close()
            await serving.cancel()

    @contextlib.contextmanager
    def without_free_files(self):
        """Leaves this process one free file descriptor during the block."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        with open(os.devnull) as file:
            # Allows one more than the lowest free descriptor, for the client.
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (file.fileno() + 1, hard)
            )
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    async def connect(self, port: int) -> web_client.ClientConnection:
        while True:
            with contextlib.suppress(Exception):
                return await web_client.open_connection("127.0.0.1", port)
            await curio.sleep(0.01)


class JsonTest(base.TestCase):
    """Data that is not JSON or is nested too deeply."""

    def test_is_a_protocol_error(self):
        for data in (b"{", b"[" * 100_000):
            with self.assertRaises(errors.ProtocolError):
                web_client.read_json(data)
