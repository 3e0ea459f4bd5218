"""Tests of the HTTP client over sockets."""

import contextlib
import socket
import threading

import curio

from samphirevale import errors
from samphirevale.adapters import web_client
from tests import base

CONNECT_SECONDS = 0.2


class OpenConnectionTest(base.TestCase):
    """Tests how a connection that cannot be opened is told."""

    async def check_failure(self, port):
        """Returns the error of a connect."""
        with self.assertRaises(errors.ConnectError) as caught:
            await web_client.open_connection("127.0.0.1", port, CONNECT_SECONDS)
        return caught.exception

    async def test_server_that_accepts_nothing_does_not_count_as_down(self):
        with contextlib.ExitStack() as stack:
            server = stack.enter_context(socket.socket())
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            for _ in range(4):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(server.getsockname())
            error = await self.check_failure(server.getsockname()[1])
        self.assertIsInstance(error, errors.ConnectTimeoutError)

    async def test_connection_to_an_address_takes_a_thread(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            before = threading.active_count()
            port = server.getsockname()[1]
            async with web_client.connect("127.0.0.1", port):
                self.assertEqual(before, threading.active_count())

    async def test_server_that_is_down_refuses_connections(self):
        error = await self.check_failure(base.find_free_port())
        self.assertNotIsInstance(error, errors.ConnectTimeoutError)


class KeptConnectionTest(base.TestCase):
    """Tests which connections can carry another request."""

    async def test_connection_with_bytes_behind_the_answer_cannot(self):
        """What comes behind an answer is not read as the next one."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        for extra, reusable in ((b"", True), (answer, False), (b"\r\n", False)):
            near, far = curio.socket.socketpair()
            async with near, far:
                connection = web_client.ClientConnection(near, "h", 80)
                await far.sendall(answer + extra)
                await (await connection.request("GET", "/")).read_body()
                self.assertEqual(reusable, connection.is_reusable())

    async def test_connection_that_has_ended_with_its_answer_cannot(self):
        near, far = curio.socket.socketpair()
        async with near, far:
            connection = web_client.ClientConnection(near, "h", 80)
            await far.sendall(b"HTTP/1.1 200 OK\r\n\r\n{}")
            await far.shutdown(socket.SHUT_WR)
            await (await connection.request("GET", "/")).read_body()
            self.assertFalse(connection.is_reusable())
