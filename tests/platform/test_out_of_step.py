"""Tests of streams taken up at an entry that has not learned of a release."""

import contextlib

import curio

from standins import programs
from tests.platform import sessions, test_versions

MODELS = {"model1": "v1", "model2": "v1"}
SERVERS = ("plain1", "first1", "model1", "model2")

# How often a call that is cut off is looked at, in seconds.
POLL_SECONDS = 0.01


class OutOfStepTest(test_versions.VersionSessionTestCase):
    """Two entries, of which the second is cut off from the store at times.

    Guards against streams whose parts are of two versions.
    """

    @contextlib.asynccontextmanager
    async def run_both(self, names=SERVERS):
        """Runs the store, the servers and both entries during the block."""
        self.cut = False
        async with (
            self.run_all(names, MODELS),
            contextlib.AsyncExitStack() as s,
        ):
            self.store_port = await sessions.serve(s, self.pass_on)
            async with self.run_second_entry() as port:
                self.second_port = port
                yield
                self.cut = False

    async def pass_on(self, request):
        """Passes a call of the second entry on to the store."""
        call = await curio.spawn(self.store.handle, request)
        try:
            while not call.terminated:
                if self.cut:
                    raise programs.AnswerDroppedError
                await curio.sleep(POLL_SECONDS)
            return await call.join()
        finally:
            await call.cancel()

    def restart_server(self, name, version):
        """Starts a server again under its id, with another version."""
        self.servers[name].version = version
        self.servers[name].born += 1
        self.change_server(name, born=self.servers[name].born)

    def has_learned(self, entry, name, version):
        endpoint = entry.cluster_state.catalogue.find(name)
        return endpoint is not None and endpoint.version == version

    async def restart_unseen(self, name, version):
        """Starts a server again while the second entry is cut off."""
        self.cut = True
        await curio.sleep(2 * POLL_SECONDS)
        self.restart_server(name, version)
        await self.wait_until(
            lambda: self.has_learned(self.gateway, name, version)
        )
        self.assertFalse(self.has_learned(self.second, name, version))

    async def take_up_at_second(self, number):
        first_port, self.port = self.port, self.second_port
        try:
            return await self.take_up(number)
        finally:
            self.port = first_port

    async def test_stream_of_a_version_that_only_others_know_is_not_joined(
        self,
    ):
        async with self.run_both(SERVERS):
            await self.restart_unseen("model1", "v2")
            self.change_server("model2", state="draining")
            await self.wait_until_accepting("model1")
            self.assertEqual("v2", await self.begin(0))
            status, _, body = await self.take_up_at_second(0)
            self.assertNotIn(b"v1", body)
            if status == 200:
                self.assertEqual({"v2"}, test_versions.list_versions(body))

    async def test_stream_does_not_go_on_at_a_server_that_has_changed(self):
        """An id that is known may be that of another version by now."""
        async with self.run_both(("plain1", "first1", "model1")):
            self.assertEqual("v1", await self.begin(0))
            await self.restart_unseen("model1", "v2")
            runs = len(self.servers["model1"].seen_headers)
            status, _, body = await self.take_up_at_second(0)
            self.assertEqual((503, b""), (status, b"" if status else body))
            self.assertEqual(runs, len(self.servers["model1"].seen_headers))

    async def test_stream_goes_on_at_the_server_that_has_not_changed(self):
        async with self.run_both():
            self.assertEqual("v1", await self.begin(0))
            await self.restart_unseen("model1", "v2")
            status, _, body = await self.take_up_at_second(0)
            self.assertEqual(200, status)
            self.assertEqual({"v1"}, test_versions.list_versions(body))
