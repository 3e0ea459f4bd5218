"""Tests of an entry in a process of its own that is paused or killed."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import curio

from samphirevale import errors
from samphirevale.adapters import web_client
from samphirevale.platform import node_file
from standins import metadata_store, servers
from tests import base
from tests.platform import sessions, stopping_processes, test_cordons

# The time that the process may take to become ready, and how long it is paused,
# in seconds.
START_SECONDS = 10.0
PAUSE_SECONDS = 1.5

# How long after a pause requests may still go where the entry sent them before,
# in seconds. The watch of the cordons has an answer by then.
WAKE_SECONDS = 0.5

COLD_SECONDS = 3.0
RATE = 8.0
MOST_CALLS = 17


BOUNDS = """[bounds]
evacuation_ms = 5000
cold_overshoot = 1.5
cold_allowance = 5
"""
REGIONS = """[zones]
a = "north"
b = "north"
"""


def build_node_file(ports, store_port):
    """Returns the text of the settings file of a process."""
    text = stopping_processes.build_node_file(*ports, store_port)
    return text.replace("[bounds]\n", REGIONS + BOUNDS)


class OneEntryTest(base.TestCase):
    """One entry, with a server of each service in two data centres."""

    @contextlib.asynccontextmanager
    async def run_all(self):
        """Runs the store and the servers, and prepares the entry."""
        self.store = metadata_store.MetadataStore()
        names = ("plain1", "plain2")
        self.servers = {name: servers.Server(name) for name in names}
        self.server_ports = {}
        async with contextlib.AsyncExitStack() as stack:
            for name, server in self.servers.items():
                port = await sessions.serve(stack, server.handle)
                self.server_ports[name] = port
                self.register(name)
            manifest = sessions.build_manifest()
            for service in manifest["services"]:
                service["cold_start_s"] = COLD_SECONDS
                service["cold_per_s"] = RATE
            self.store.put("config", "main", manifest)
            store_port = await sessions.serve(stack, self.store.handle)
            self.ports = [base.find_free_port() for _ in range(3)]
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.path = pathlib.Path(folder, "node.toml")
            self.path.write_text(build_node_file(self.ports, store_port))
            self.stack = stack
            yield

    def register(self, name, **changes):
        zone = "a" if name.endswith("1") else "b"
        port = self.server_ports[name]
        changes = {"zone": zone, **changes}
        self.store.put(
            "servers", name, sessions.build_registration(name, port, **changes)
        )

    async def start_entry(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "samphirevale.platform"],
            env=os.environ | {node_file.PATH_VARIABLE: str(self.path)},
            stdout=subprocess.DEVNULL,
        )
        self.stack.callback(self.process.wait)
        self.stack.callback(self.process.kill)
        async with curio.timeout_after(START_SECONDS):
            while await self.call(self.ports[1], "GET", "/readyz") != 200:
                await curio.sleep(0.05)

    async def call(self, port, method, path):
        """Returns the status of a call; 0 without an answer."""
        headers = (
            ("Host", "h.example"),
            ("Samphirevale-Attempt-Id", "a1"),
            ("Samphirevale-Deadline-Ms", "3000"),
            ("Samphirevale-Key", "k1"),
        )
        with contextlib.suppress(errors.TransportError):
            async with web_client.connect(
                stopping_processes.HOST, port
            ) as connection:
                answer = await connection.request(
                    method, path, b"", headers[1:], "h.example"
                )
                await answer.read_body()
                return answer.status
        return 0

    async def read_for(self, seconds, callers=4):
        """Sends requests one after the other from each caller."""
        ends_at = time.monotonic() + seconds

        async def read_again():
            while time.monotonic() < ends_at:
                await self.call(self.ports[0], "POST", "/read/x")

        async with base.open_group() as group:
            for _ in range(callers):
                await group.spawn(read_again)

    async def test_entry_paused_over_a_cordon_heeds_it_as_it_wakes(self):
        async with self.run_all():
            await self.start_entry()
            await self.read_for(0.3)
            self.process.send_signal(signal.SIGSTOP)
            self.store.put(test_cordons.KIND, "a", {})
            await curio.sleep(PAUSE_SECONDS)
            self.process.send_signal(signal.SIGCONT)
            await self.read_for(WAKE_SECONDS)
            woken_at = time.monotonic()
            await self.read_for(1.0)
            cordoned, other = self.servers["plain1"], self.servers["plain2"]
            end = time.monotonic()
            self.assertEqual([], cordoned.list_arrivals(woken_at, end))
            self.assertTrue(other.list_arrivals(woken_at, end))

    async def test_entry_killed_during_a_cold_return_heeds_the_limit(self):
        async with self.run_all():
            await self.start_entry()
            ends_at = time.monotonic() + COLD_SECONDS
            for name, server in self.servers.items():
                server.cold = servers.ColdTime(ends_at, MOST_CALLS, False)
                rest_ms = int(COLD_SECONDS * 1000)
                self.register(name, born=2, cold_remaining_ms=rest_ms)
            self.process.kill()
            await self.start_entry()
            await self.read_for(max(ends_at - time.monotonic(), 0.5))
            for server in self.servers.values():
                self.assertEqual(1, server.starts)
                self.assertTrue(server.arrivals)
