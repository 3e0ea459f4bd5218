"""Tests of the connections used for calls to an endpoint."""

from unittest import mock

import curio

from samphirevale.adapters import endpoints, web, web_client, web_server
from samphirevale.ports import endpoints as ports
from tests import base

CALL = ports.Call(
    request="r",
    attempt="a",
    input="x",
    prior=None,
    key="k",
    batch="",
    offset=0,
    priority=0,
    repeatable=True,
)


class ConnectionTest(base.TestCase):
    """Calls to a service that keeps connections alive."""

    async def test_unrepeatable_calls_open_a_new_connection(self):
        async def handle(_):
            return web.build_json(200, {"result": "done"})

        port = base.find_free_port()
        server = await curio.spawn(web_server.serve, handle, "127.0.0.1", port)
        await curio.sleep(0.05)
        service = endpoints.build_endpoint(
            "service", f"http://127.0.0.1:{port}", 1.0
        )
        opened = mock.patch.object(
            web_client, "open_connection", wraps=web_client.open_connection
        )
        with opened as open_connection:
            for repeatable, connections in ((True, 1), (True, 1), (False, 2)):
                call = CALL._replace(repeatable=repeatable)
                (item,) = [item async for item in service.run(call)]
                self.assertEqual("done", item.payload)
                self.assertEqual(connections, open_connection.call_count)
        await server.cancel()
