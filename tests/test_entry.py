"""Tests of an entry's failed start and of its shutdown."""

import socket
import types

import curio

from samphirevale import entry, errors, invariants, lifecycle
from samphirevale.adapters import web
from tests import base, nodes


class StartTest(base.TestCase):
    """An entry that cannot listen on its port."""

    async def test_ends_with_the_error(self):
        with socket.socket() as occupied:
            occupied.bind(("127.0.0.1", 0))
            occupied.listen()
            common = nodes.SETTINGS.common._replace(
                host="127.0.0.1",
                admin_port=base.find_free_port(),
                store_url=f"http://127.0.0.1:{base.find_free_port()}",
            )
            entry_settings = nodes.SETTINGS._replace(
                common=common, caller_port=occupied.getsockname()[1]
            )
            with self.assertRaises(OSError):
                await entry.run(entry_settings, lifecycle.Lifecycle())


class DrainTest(nodes.EntryTestCase):
    """An entry that stops with a request in flight and an outcome to write."""

    async def drain(self, drain_seconds: float) -> None:
        common = types.SimpleNamespace(drain_seconds=drain_seconds)
        stopping_entry = types.SimpleNamespace(
            _server=self.server,
            _settings=types.SimpleNamespace(common=common),
            context=self.context,
        )
        await entry.Entry.drain(stopping_entry)

    def setUp(self):
        super().setUp()
        self.server = web.ServerState()
        self.server.busy = 1
        self.written = False

    async def test_waits_for_requests_and_then_for_outcomes(self):
        async def answer():
            await curio.sleep(0.05)
            await self.context.claim_manager.spawn_background_task(write)
            self.server.busy = 0

        async def write():
            await curio.sleep(0.05)
            self.written = True

        task = await curio.spawn(answer)
        await self.drain(10.0)
        self.assertEqual((0, True), (self.server.busy, self.written))
        self.assertTrue(self.server.draining)
        self.assertTrue(self.context.peers.leaving)
        await task.join()

    async def test_a_request_in_flight_after_the_drain_is_a_violation(self):
        invariants.set_fatal(True)
        self.addCleanup(invariants.set_fatal, False)
        with self.assertRaises(errors.InvariantError):
            await self.drain(0.05)
