"""Tests of sessions in which one part of the prompts crashes servers."""

import contextlib
import itertools
from unittest import mock

import curio

from samphirevale import (
    crashing_part_store,
    crashing_parts,
    entries,
    errors,
    gateway,
    registrations,
    settled_era,
)
from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "model3", "model4")

# How long a crashed server is gone, in seconds.
RESTART_SECONDS = 0.1

# The number of crashes after which the part must be known.
CRASHES = 5

# The time in which entries tell each other what they have learnt, in seconds.
TELLING_SECONDS = 1.0

# The largest number of requests with the part that may reach servers later.
LATE_LIMIT = 3

REQUESTS = 10


async def wait_forever(*arguments):
    """Replaces a function that links entries."""
    await curio.sleep(1000)


class CrashingPartTest(sessions.SessionTestCase):
    """Two entries; each server crashes as it begins to answer on part `x`."""

    def setUp(self):
        self.numbers = itertools.count(1)

    @contextlib.asynccontextmanager
    async def run_crashing(self):
        """Runs two entries and the servers; yields the entries' ports."""
        async with self.run_all(SERVERS):
            for name, server in self.servers.items():
                if name.startswith("model"):
                    server.crashing_part = "x"
            restarter = await curio.spawn(self.restart_crashed, daemon=True)
            try:
                async with self.run_second_entry() as port:
                    yield self.port, port
            finally:
                await restarter.cancel()

    async def restart_crashed(self):
        """Registers each crashed server again, as a new start."""
        starts = dict.fromkeys(self.servers, 1)
        while True:
            await curio.sleep(0.01)
            for name, server in self.servers.items():
                if server.starts != starts[name]:
                    starts[name] = server.starts
                    self.store.remove("servers", name)
                    await curio.sleep(RESTART_SECONDS)
                    self.change_server(name)

    @contextlib.asynccontextmanager
    async def run_alone(self):
        """Runs another entry that is linked to none; yields its port."""
        links = mock.patch.object(entries.EntryTable, "run_link", wait_forever)
        with links:
            first_port, first_log = self.port, self.log
            other = self.build_gateway(self.store_port, "entry3")
            port, self.port = self.port, first_port
            self.log = first_log
            task = await curio.spawn(gateway.run, other)
            try:
                await self.wait_until(other.is_ready)
                await curio.sleep(TELLING_SECONDS)
                yield port
            finally:
                await task.cancel()

    async def write_at(self, port, prompt):
        """Sends a request that no other one equals; returns the status."""
        number = next(self.numbers)
        changes = {
            "Samphirevale-Attempt-Id": f"a{number}",
            "Samphirevale-Prefix-Hash": f"{prompt},q{number}:5",
        }
        status, _, _ = await self.write(port=port, **changes)
        return status

    def count_crashes(self):
        return sum(server.starts - 1 for server in self.servers.values())

    def count_runs(self):
        return sum(
            "x:5" in headers["samphirevale-prefix-hash"]
            for headers in self.list_received_headers("model")
        )

    async def crash_servers(self, ports):
        """Sends requests with the part until the servers have crashed.

        No more are sent once none of the entries passes it on.
        """
        crashes, known = 0, -1
        while crashes < crashing_parts.CRASHES_LIMIT or known < crashes:
            if crashes >= CRASHES:
                break
            known = crashes
            for port in ports:
                await self.write_at(port, "p:10,x:5")
                await self.write_at(port, "p:10,s:5")
            crashes = self.count_crashes()

    async def check_refused(self, ports):
        """Checks that requests with the part reach servers no more."""
        await curio.sleep(TELLING_SECONDS)
        known = self.count_runs()
        for port in itertools.islice(itertools.cycle(ports), REQUESTS):
            await self.write_at(port, "p:10,x:5")
        self.assertLessEqual(self.count_runs() - known, LATE_LIMIT)

    async def check_served(self, ports):
        """Checks that sound requests get their answer at the first attempt."""
        for port in itertools.islice(itertools.cycle(ports), REQUESTS):
            status = await self.write_at(port, "p:10,s:5")
            self.assertEqual(200, status)

    async def test_part_is_known_to_an_entry_that_is_linked_to_none(self):
        async with self.run_crashing() as ports:
            await self.crash_servers(ports)
            await self.wait_until(self.is_stored)
            async with self.run_alone() as port:
                await self.check_refused([port])
                await self.check_served([port])

    def is_stored(self):
        kind = registrations.KIND
        return crashing_part_store.NAME in self.store.list_names(kind)

    async def test_part_is_known_after_a_store_drill(self):
        async with self.run_crashing() as ports:
            await self.wait_until(lambda: len(self.list_entries()) == 2)
            copy = self.store.take_copy()
            await self.crash_servers(ports)
            await self.wait_until(self.is_stored)
            self.store.restore_copy(copy)
            self.assertFalse(self.is_stored())
            await self.wait_until(self.is_stored)
            await self.check_refused(ports)

    def list_entries(self):
        names = self.store.list_names(registrations.KIND)
        return [name for name in names if name != settled_era.NAME]

    async def test_part_that_crashes_servers_reaches_them_in_new_requests(self):
        async with self.run_crashing() as ports:
            await self.crash_servers(ports)
            await self.check_refused(ports)
            await self.check_served(ports)


class CrashEvidenceTest(sessions.SessionTestCase):
    """Each server that crashes is back before its entry is written again."""

    @contextlib.asynccontextmanager
    async def run_crashing(self, names):
        """Runs the servers, and a route whose streams cannot be resumed."""
        async with self.run_all(("plain1", "first1", *names)):
            manifest = sessions.build_manifest(version=2)
            say = {**manifest["routes"][2], "name": "/say/"}
            say["path_prefix"] = "/say/"
            del say["phases"], say["resumable"]
            manifest["routes"].append(say)
            self.store.put("config", "main", manifest)
            cluster = self.gateway.cluster_state
            await self.wait_until(lambda: cluster.table.version == 2)
            models = [self.servers[name] for name in names]
            for server in models:
                server.crashing_part = "x"
            yield models

    async def test_crash_is_not_forgotten_as_the_next_start_answers(self):
        async with self.run_crashing(("model1", "model2", "model3")) as models:
            for number in range(40):
                await self.try_call("/write/x", f"w{number}", "p:10,x:5")
            self.assertEqual([2] * 3, [server.starts for server in models])
            parts = self.gateway._crashes.parts
            self.assertEqual(3, len(parts.list_crashes()))
            for server in models:
                server.crashing_part = ""
            await curio.sleep(0.4)
            for number in range(30):
                await self.try_call("/say/x", f"s{number}", "o:10,s:5")
            self.assertEqual(3, len(parts.list_crashes()))

    async def test_crashes_of_starts_that_are_not_listed_do_not_count_as_one(
        self,
    ):
        async with self.run_crashing(("model1", "model2")) as models:
            for number in range(12):
                await self.try_call("/say/x", f"s{number}", "p:10,x:5")
            crashes = sum(server.starts - 1 for server in models)
            self.assertLessEqual(crashes, crashing_parts.CRASHES_LIMIT + 1)

    async def try_call(self, path, attempt, prompt):
        """Sends a request, whose answer may break off."""
        headers = {
            "Samphirevale-Attempt-Id": attempt,
            "Samphirevale-Prefix-Hash": f"{prompt},{attempt}:5",
            "Samphirevale-Chunk-Count": "2,1",
            "Samphirevale-Chunk-Key": "ck",
        }
        with contextlib.suppress(errors.TransportError):
            await self.call(path, **headers)
