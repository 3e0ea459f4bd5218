"""Tests of the client of the object store over sockets."""

import curio

from samphirevale import errors
from samphirevale.adapters import store_client
from tests import base

READ_SECONDS = 0.3


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
