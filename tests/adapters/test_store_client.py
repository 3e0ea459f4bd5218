"""Tests of the client of the object store over sockets."""

import curio

from samphirevale import errors
from samphirevale.adapters import store_client
from tests import base

READ_SECONDS = 0.3


class RepeatedAnswersTest(base.TestCase):
    """Tests a store that writes an answer once more.

    Guards against an answer that is taken for that of the next call.
    """

    async def serve(self, connection, address):
        """Answers each request with its target, and once more a bit later."""
        async with connection:
            while data := await connection.recv(65536):
                body = b'"%s"' % data.split(b" ")[1]
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                answer = head % len(body) + body
                await connection.sendall(answer)
                await curio.sleep(0.02)
                await connection.sendall(answer)

    async def test_copy_that_comes_between_two_calls_is_no_answer(self):
        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, self.serve, daemon=True
        )
        client = store_client.StoreClient(f"http://127.0.0.1:{port}")
        await curio.sleep(0.05)
        for target in ("/a", "/b", "/c"):
            self.assertEqual(target, (await client.read(target)).value)
            await curio.sleep(0.1)
        await client.close()
        await server.cancel()


class SilentConnectionsTest(base.TestCase):
    """Tests kept connections that fall silent for good."""

    async def answer_once(self, connection, address):
        """Answers one request of a connection, then nothing any more."""
        async with connection:
            await connection.recv(65536)
            await connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            )
            await curio.sleep(50.0)

    async def test_read_after_a_silent_one_takes_a_new_connection(self):
        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, self.answer_once, daemon=True
        )
        client = store_client.StoreClient(
            f"http://127.0.0.1:{port}", READ_SECONDS
        )
        await curio.sleep(0.05)
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(client.read, "/objects")
        with self.assertRaises(errors.StoreUnavailableError):
            await client.read("/objects")
        self.assertEqual(200, (await client.read("/objects")).status)
        await client.close()
        await server.cancel()
