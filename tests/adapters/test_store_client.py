"""Tests of the client of the object store over sockets."""

import contextlib

import curio

from samphirevale import errors
from samphirevale.adapters import store_client
from tests import base

READ_SECONDS = 0.3


def encode_answer(target):
    """Returns an answer that names the target of its request."""
    body = b'"%s"' % target
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class ConnectionTest(base.TestCase):
    """Reads from a store that does something odd with its connections."""

    @contextlib.asynccontextmanager
    async def run_store(self, serve):
        """Runs `serve` for each connection, and counts them."""
        self.connections = 0

        async def serve_connection(connection, address):
            self.connections += 1
            async with connection:
                await serve(connection)

        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, serve_connection, daemon=True
        )
        await curio.sleep(0.05)
        self.client = store_client.StoreClient(
            f"http://127.0.0.1:{port}", READ_SECONDS
        )
        yield
        await server.cancel()

    async def check_own_answers(self, pause_seconds):
        for target in ("/a", "/b", "/c"):
            self.assertEqual(target, (await self.client.read(target)).value)
            await curio.sleep(pause_seconds)

    async def test_copy_of_an_answer_is_no_answer_to_the_next_read(self):
        """The copy comes at once, or once the next request has come."""

        async def write_at_once(connection):
            while data := await connection.recv(65536):
                await connection.sendall(encode_answer(data.split(b" ")[1]) * 2)

        async def write_after_the_next(connection):
            copy = b""
            while data := await connection.recv(65536):
                answer = encode_answer(data.split(b" ")[1])
                await connection.sendall(copy + answer)
                copy = answer

        for serve in (write_at_once, write_after_the_next):
            with self.subTest(serve.__name__):
                async with self.run_store(serve):
                    await self.check_own_answers(0)

    async def test_copy_that_comes_between_two_calls_is_no_answer(self):
        async def serve(connection):
            while data := await connection.recv(65536):
                answer = encode_answer(data.split(b" ")[1])
                await connection.sendall(answer)
                await curio.sleep(0.02)
                with contextlib.suppress(OSError):
                    await connection.sendall(answer)

        async with self.run_store(serve):
            await self.check_own_answers(0.1)

    async def test_connections_that_fall_silent_are_not_used_again(self):
        async def answer_once(connection):
            data = await connection.recv(65536)
            await connection.sendall(encode_answer(data.split(b" ")[1]))
            await curio.sleep(50.0)

        async with self.run_store(answer_once):
            async with base.open_group() as group:
                for _ in range(3):
                    await group.spawn(self.client.read, "/objects")
            await self.check_own_answers(0)

    async def test_read_whose_connection_is_lost_is_made_once_more(self):
        """An unreachable store is asked once only."""
        lost = iter([False, True, False, True, True, True, False])

        async def serve(connection):
            data = await connection.recv(65536)
            if not next(lost):
                await connection.sendall(encode_answer(data.split(b" ")[1]))

        async with self.run_store(serve):
            counts = []
            for target in ("/a", "/b", "/c", "/d", "/e"):
                answered = True
                try:
                    await self.client.read(target)
                except errors.StoreUnavailableError:
                    answered = False
                counts.append((answered, self.connections))
        self.assertEqual(
            [(True, 1), (True, 3), (False, 5), (False, 6), (True, 7)], counts
        )
