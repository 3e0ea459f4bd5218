"""Tests of the connections that a server has open at once."""

import curio

from samphirevale.adapters import listener
from tests import base

CONNECTIONS = 5


class GateTest(base.TestCase):
    """Callers connect to a server that keeps their connections open."""

    async def test_server_opens_more_connections_than_its_limit(self):
        gate = listener.Gate()
        gate.limit = 2
        served = []

        async def serve(client, _):
            served.append(gate.open)
            await client.recv(1)

        port = base.find_free_port()
        serving = await curio.spawn(
            listener.serve, serve, "127.0.0.1", port, gate
        )
        await curio.sleep(0.05)
        streams = [
            await curio.open_connection("127.0.0.1", port)
            for _ in range(CONNECTIONS)
        ]
        await curio.sleep(0.1)
        self.assertEqual(2, len(served))
        for stream in streams:
            await stream.close()
        await curio.sleep(0.2)
        self.assertEqual(CONNECTIONS, len(served))
        self.assertEqual((2, 0), (max(served), gate.open))
        await serving.cancel()
