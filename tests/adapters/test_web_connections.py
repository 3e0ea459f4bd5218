"""Tests of the HTTP server: slow readers, memory, descriptors and JSON."""

import contextlib
import json
import os
import resource
import socket
import time

import curio

from samphirevale import errors
from samphirevale.adapters import web, web_client, web_server
from tests import base

CHUNK_BYTES = 64 * 1024

# Number of chunks that exceeds the buffers of a loopback connection.
CHUNKS_LIMIT = 1000

LIMITS = web.Limits(write_seconds=0.2)

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"

# The head of a request with a body of three bytes.
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"


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
            web_server.serve, answer.handle, "127.0.0.1", port, LIMITS
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
            web_server.serve, answer, "127.0.0.1", port, web.Limits(), state
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
            web_server.serve, wait, "127.0.0.1", port, limits, state
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
            web_server.serve, answer.handle, "127.0.0.1", port, LIMITS
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


class ServedTestCase(base.TestCase):
    """A server and its reports of closed connections."""

    def setUp(self):
        self.closed = []
        self.port = base.find_free_port()

    @contextlib.asynccontextmanager
    async def serve(self, limits=LIMITS, handler=None):
        async def answer(_):
            return web.Response(200)

        state = web.ServerState(self.closed.append)
        serving = await curio.spawn(
            web_server.serve,
            handler or answer,
            "127.0.0.1",
            self.port,
            limits,
            state,
        )
        try:
            yield state
        finally:
            await serving.cancel()

    async def connect(self):
        while True:
            with contextlib.suppress(OSError):
                return await curio.open_connection("127.0.0.1", self.port)
            await curio.sleep(0.01)

    async def send(self, data):
        """Sends data on a new connection; returns what the server reports."""
        stream = await self.connect()
        try:
            await stream.sendall(data)
            return await self.wait_for_report()
        finally:
            await stream.close()

    async def wait_for_report(self):
        while not self.closed:
            await curio.sleep(0.01)
        return self.closed.pop()


class ClosedConnectionTest(ServedTestCase):
    """What a server reports of each connection that has ended."""

    async def test_idle_timeout(self):
        async with self.serve(web.Limits(idle_seconds=0.1)):
            closed = await self.send(GET)
        self.assertEqual((web.IDLE, 0, 1, 1), closed[:4])
        self.assertEqual(0.1, closed.idle_seconds)
        self.assertRegex(closed.address, r"^127\.0\.0\.1:\d+$")

    async def test_head_timeout(self):
        async with self.serve(web.Limits(head_seconds=0.1)):
            closed = await self.send(GET + b"GET / HTT")
        self.assertEqual((web.HEAD_TIMEOUT, 9, 1, 1), closed[:4])

    async def test_body_timeout(self):
        async with self.serve(web.Limits(idle_seconds=0.1)):
            closed = await self.send(POST + b"b")
        self.assertEqual((web.BODY_TIMEOUT, len(POST) + 1, 0, 0), closed[:4])

    async def test_refused_head(self):
        async with self.serve():
            closed = await self.send(b"GET\r\n\r\n")
        self.assertEqual((web.HEAD_REFUSED, 7, 0, 0), closed[:4])

    async def test_refused_body(self):
        async with self.serve(web.Limits(body_bytes=1)):
            closed = await self.send(POST + b"bb")
        self.assertEqual(web.BODY_REFUSED, closed.reason)

    async def test_connection_limit(self):
        async with self.serve(web.Limits(connections=0)):
            closed = await self.send(b"")
        self.assertEqual((web.CONNECTION_LIMIT, 0, 0, 0), closed[:4])

    async def test_last_answer(self):
        async with self.serve():
            closed = await self.send(
                b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
        self.assertEqual((web.LAST_ANSWER, 0, 1, 1), closed[:4])

    async def test_draining(self):
        async with self.serve() as state:
            state.draining = True
            closed = await self.send(GET)
        self.assertEqual((web.DRAINING, 0, 1, 1), closed[:4])

    async def test_broken_answer(self):
        async def answer(_):
            return web.StreamedResponse(200, produce())

        async def produce():
            yield b"a"
            raise errors.AnswerLostError("broken")

        async with self.serve(handler=answer):
            closed = await self.send(GET)
        self.assertEqual((web.ANSWER_BROKEN, 0, 1, 0), closed[:4])

    async def test_write_timeout(self):
        async with self.serve(handler=EndlessAnswer().handle):
            closed = await self.send(GET)
        self.assertEqual((web.WRITE_TIMEOUT, 0, 1, 0), closed[:4])

    async def test_caller_that_leaves(self):
        async with self.serve():
            await (await self.connect()).close()
            closed = await self.wait_for_report()
        self.assertEqual((web.CALLER_LEFT, 0, 0, 0), closed[:4])

    async def test_end_of_the_server(self):
        entered = curio.Event()

        async def wait(_):
            await entered.set()
            await curio.sleep(60)

        async with self.serve(handler=wait):
            stream = await self.connect()
            await stream.sendall(GET)
            await entered.wait()
        await stream.close()
        closed = await self.wait_for_report()
        self.assertEqual((web.CANCELLED, 0, 1, 0), closed[:4])

    async def test_unexpected_error_is_named_and_logged(self):
        async def fail(_):
            raise OSError("odd")

        with self.assertLogs("curio", "ERROR"):
            async with self.serve(handler=fail):
                closed = await self.send(GET)
        self.assertEqual((web.UNEXPECTED_ERROR, 0, 1, 0), closed[:4])
        self.assertEqual("OSError: odd", closed.error)

    async def test_bytes_that_were_never_read(self):
        released = curio.Event()

        async def wait(_):
            await released.wait()
            return web.Response(200, b"", (("Connection", "close"),))

        async with self.serve(handler=wait):
            stream = await self.connect()
            await stream.sendall(GET)
            await curio.sleep(0.1)
            await stream.sendall(GET)
            await curio.sleep(0.1)
            await released.set()
            closed = await self.wait_for_report()
            await stream.close()
        self.assertEqual((web.LAST_ANSWER, len(GET), 1, 1), closed[:4])


class FailedHandlerTest(ServedTestCase):
    """A handler that fails still leads to an answer."""

    async def check_answered(self, handler, error):
        async with self.serve(handler=handler):
            stream = await self.connect()
            await stream.sendall(GET)
            self.assertIn(b" 500 ", await stream.recv(1000))
            await stream.close()
            self.assertIn(error, (await self.wait_for_report()).error)

    async def test_timeout_that_escapes_a_handler_is_answered(self):
        async def fail(_):
            raise curio.TaskTimeout(1.0)

        await self.check_answered(fail, "TaskTimeout")

    async def test_response_with_illegal_header_is_answered(self):
        async def answer(_):
            return web.Response(200, b"", (("A", "b\nc"),))

        with self.assertLogs("curio", "ERROR"):
            await self.check_answered(answer, "Illegal header")

    async def test_stream_with_illegal_header_is_answered(self):
        async def answer(request):
            response = await EndlessAnswer().handle(request)
            return response._replace(headers=(("A", "b\nc"),))

        with self.assertLogs("curio", "ERROR"):
            await self.check_answered(answer, "Illegal header")


class IdleTimeoutTest(ServedTestCase):
    """Requests on connections that have been idle."""

    LIMITS = web.Limits(idle_seconds=0.3)

    async def test_raised_timeout_holds_for_a_connection_that_is_idle(self):
        async with self.serve(self.LIMITS) as state:
            stream = await self.connect()
            await stream.sendall(GET)
            await stream.recv(1000)
            await curio.sleep(0.1)
            state.limits = web.Limits(idle_seconds=5.0)
            await curio.sleep(0.4)
            await stream.sendall(GET)
            self.assertIn(b" 200 ", await stream.recv(1000))
            await stream.close()

    async def test_request_that_arrives_as_the_timeout_fires_is_answered(self):
        async with self.serve(self.LIMITS):
            await (await self.connect()).close()
            stream = socket.create_connection(("127.0.0.1", self.port))
            stream.settimeout(1.0)
            await curio.sleep(0.1)
            sending = await curio.spawn(self.send_late, stream)
            await curio.sleep(0)
            # Both timers expire in one pass of the loop, that of `sending`
            # first.
            time.sleep(0.4)
            await sending.join()
            await curio.sleep(0.1)
            with contextlib.closing(stream):
                self.assertIn(b" 200 ", stream.recv(1000))

    async def send_late(self, stream):
        await curio.sleep(0.01)
        stream.sendall(GET)


class LingeringTest(ServedTestCase):
    """Refusals reach callers who have sent more than the server has read."""

    async def read_all(self, stream):
        data = b""
        while part := await stream.recv(web.READ_BYTES):
            data += part
        await stream.close()
        return data

    async def test_refusal_of_a_body_that_is_still_being_sent(self):
        size = 4 * 1024 * 1024
        async with self.serve(web.Limits(body_bytes=1000)):
            stream = await self.connect()
            await stream.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                % size
                + bytes(size)
            )
            self.assertIn(b" 413 ", await self.read_all(stream))

    async def test_refusal_of_a_body_that_arrives_late(self):
        async with self.serve(web.Limits(idle_seconds=0.1)):
            stream = await self.connect()
            await stream.sendall(POST)
            await self.wait_for_report()
            for part in (b"b", b"b", b"b"):
                await stream.sendall(part)
                await curio.sleep(0.05)
            self.assertIn(b" 408 ", await self.read_all(stream))

    async def test_refusal_at_the_connection_limit(self):
        async with self.serve(web.Limits(connections=0)):
            stream = await self.connect()
            await self.wait_for_report()
            for _ in range(3):
                await stream.sendall(GET)
                await curio.sleep(0.05)
            self.assertIn(b" 503 ", await self.read_all(stream))

    async def test_refused_connections_that_linger_are_bounded(self):
        async with self.serve(web.Limits(connections=0)):
            streams = [
                await self.connect()
                for _ in range(web_server.LINGERING_REFUSED_LIMIT + 1)
            ]
            for stream in streams:
                self.assertIn(b" 503 ", await stream.recv(1000))
            await streams[-1].sendall(GET)
            with self.assertRaises(OSError):
                await curio.sleep(0.1)
                await streams[-1].sendall(GET)
            for stream in streams:
                await stream.close()


class EndOfServerTest(ServedTestCase):
    """Requests that arrive while the server ends."""

    # The passes of the loop after which a caller sends.
    PASSES = range(6)

    async def end_and_run(self, function, passes):
        """Ends a server; returns what the caller's function returns."""

        async def run_later():
            for _ in range(passes):
                await curio.sleep(0)
            return function()

        async with self.serve():
            await (await self.connect()).close()
            await self.wait_for_report()
            self.stream = socket.create_connection(("127.0.0.1", self.port))
            self.stream.settimeout(1.0)
            self.stream.sendall(GET)
            await curio.sleep(0.05)
            self.assertIn(b" 200 ", self.stream.recv(1000))
            running = await curio.spawn(run_later)
        self.port = base.find_free_port()
        return await running.join()

    def receive(self, stream):
        with contextlib.closing(stream):
            return stream.recv(1000)

    async def test_request_that_arrives_on_an_idle_connection_is_answered(self):
        reasons = set()
        for passes in self.PASSES:
            await self.end_and_run(lambda: self.stream.sendall(GET), passes)
            self.assertRegex(self.receive(self.stream), b"HTTP/1.1 (200|503) ")
            reasons.add(self.closed.pop().reason)
        self.assertIn(web.REFUSED_AT_END, reasons)

    async def test_request_on_a_new_connection_is_answered(self):
        for passes in self.PASSES:
            stream = await self.end_and_run(self.connect_and_send, passes)
            self.receive(self.stream)
            if stream is not None:
                answer = self.receive(stream)
                self.assertRegex(answer, b"HTTP/1.1 (200|503) ")

    def connect_and_send(self):
        """Returns a connection with a request; None if it is refused."""
        try:
            stream = socket.create_connection(("127.0.0.1", self.port))
        except ConnectionRefusedError:
            return None
        stream.settimeout(1.0)
        stream.sendall(GET)
        return stream

    async def test_idle_connection_is_closed_without_an_answer(self):
        await self.end_and_run(lambda: None, 0)
        self.assertEqual(b"", self.receive(self.stream))
        self.assertEqual((web.CANCELLED, 0, 1, 1), self.closed.pop()[:4])

    async def end_in_progress(self, handler, draining=True):
        """Ends a server whose handler is at work; returns what was sent."""
        entered = curio.Event()

        async def handle(request):
            await entered.set()
            return await handler(request)

        async with self.serve(handler=handle) as state:
            stream = await self.connect()
            await stream.sendall(GET)
            await entered.wait()
            await curio.sleep(0.05)
            state.draining = draining
        received = b""
        while data := await stream.recv(1000):
            received += data
        await stream.close()
        return received

    async def test_request_in_progress_is_cut_or_refused(self):
        async def wait(_):
            await curio.sleep(60)

        head, _, body = (await self.end_in_progress(wait)).partition(
            b"\r\n\r\n"
        )
        # A 503 would say that it has not run.
        self.assertTrue(head.startswith(b"HTTP/1.1 504 "), head)
        self.assertIn(b"Content-Length: %d" % len(body), head)
        self.assertEqual(504, json.loads(body)["status"])

    async def test_server_that_fails_answers_a_request_in_progress(self):
        async def wait(_):
            await curio.sleep(60)

        self.assertEqual(b"", await self.end_in_progress(wait, draining=False))
        self.assertEqual((web.CANCELLED, 0, 1, 0), self.closed.pop()[:4])

    async def test_stream_in_progress_looks_complete(self):
        async def produce():
            yield b"x"
            await curio.sleep(60)

        async def stream(_):
            return web.StreamedResponse(200, produce())

        received = await self.end_in_progress(stream)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        self.assertTrue(received.endswith(b"\r\n1\r\nx\r\n"), received)


class JsonTest(base.TestCase):
    """Data that is not JSON or is nested too deeply."""

    def test_is_a_protocol_error(self):
        for data in (b"{", b"[" * 100_000):
            with self.assertRaises(errors.ProtocolError):
                web_client.read_json(data)
