"""Tests of calls to the platform's endpoints over sockets."""

import contextlib

import curio

from samphirevale import errors
from samphirevale.adapters import web
from samphirevale.platform import endpoints
from samphirevale.ports import proxies
from tests import base, proxy_fakes

LEAVING = ("Server-Leaving", "1")
NOT_EXECUTED = ("Samphirevale-Not-Executed", "1")


class FakeListener:
    """Allows calls as preset and records notices."""

    def __init__(self):
        self.allowed = True
        self.notices = []

    def may_call(self, endpoint):
        return self.allowed

    async def handle_notice(self, endpoint, notice):
        self.notices.append((endpoint.name, notice))


class PlatformEndpointsTest(base.TestCase):
    """Tests which calls are made, and what is learnt from their answers."""

    @contextlib.asynccontextmanager
    async def run_server(self, status, *headers):
        """Runs a server that gives the same answer to all calls."""
        self.targets = []
        self.connected = 0
        self.listener = FakeListener()
        self.endpoints = endpoints.PlatformEndpoints(self.listener)

        async def answer(request):
            self.targets.append(request.path)
            return web.Response(status, b'{"free_mb": 3}', headers)

        port = base.find_free_port()
        task = await curio.spawn(
            web.serve, answer, "127.0.0.1", port, daemon=True
        )
        self.endpoint = proxy_fakes.build_endpoint(host="127.0.0.1", port=port)
        try:
            yield
        finally:
            await self.endpoints.close_idle(self.endpoint)
            await task.cancel()

    def count_connected(self):
        self.connected += 1

    def list_calls(self):
        """Returns a function for each kind of call."""
        send = proxy_fakes.build_send_parameters()
        items = [proxy_fakes.build_item()]
        return [
            lambda: self.endpoints.send(
                self.endpoint,
                proxy_fakes.build_request(),
                send,
                self.count_connected,
            ),
            lambda: self.endpoints.run_batch(self.endpoint, items, 100.0),
            lambda: self.endpoints.release(self.endpoint, ["r1"]),
            lambda: self.endpoints.read_free_memory(self.endpoint),
        ]

    async def test_nothing_is_sent_if_a_pause_begins_during_the_connect(self):
        async with self.run_server(200):
            self.listener.allowed = False
            for call in self.list_calls():
                with self.assertRaises(errors.NotAcceptingError):
                    await call()
            self.assertEqual([], self.targets)
            self.assertEqual(0, self.connected)

    async def test_sender_learns_that_its_connection_is_open(self):
        async with self.run_server(200):
            with self.assertRaises(errors.ProtocolError):
                await self.list_calls()[0]()
            self.assertEqual(1, self.connected)

    async def test_every_kind_of_call_learns_of_a_pause_and_of_leaving(self):
        pause = ("Retry-After", "0.5")
        async with self.run_server(503, LEAVING, NOT_EXECUTED, pause):
            for call in self.list_calls():
                with self.assertRaises(errors.NotExecutedError) as raised:
                    await call()
                self.assertTrue(raised.exception.asks_pause)
            notice = proxies.EndpointNotice(leaving=True, pause_seconds=0.5)
            self.assertEqual([("e1", notice)] * 4, self.listener.notices)

    async def test_callers_do_not_learn_that_an_endpoint_leaves(self):
        attempt = ("Samphirevale-Attempt-Id", "a1")
        seal = ("Samphirevale-Response-Seal", "s")
        async with self.run_server(200, LEAVING, attempt, seal):
            answer = await self.list_calls()[0]()
            names = {name.lower() for name, _ in answer.headers}
            await answer.close()
            self.assertIn(b"samphirevale-response-seal", names)
            self.assertNotIn(b"server-leaving", names)

    async def test_connection_to_an_endpoint_that_leaves_is_not_kept(self):
        async with self.run_server(200, LEAVING):
            await self.endpoints.read_free_memory(self.endpoint)
            self.assertEqual({}, self.endpoints._idle)
        async with self.run_server(200):
            await self.endpoints.read_free_memory(self.endpoint)
            self.assertEqual(1, len(self.endpoints._idle))
