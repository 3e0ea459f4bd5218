"""Tests of several entries that are killed at once during a release."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import curio

from samphirevale import errors
from samphirevale.adapters import web_client
from samphirevale.platform import node_file
from standins import metadata_store, servers
from tests import base
from tests.platform import sessions, stopping_processes, test_versions

HOSTS = [f"127.0.2{number}.{1 + os.getpid() % 250}" for number in range(3)]
MODELS = {"model1": "v1", "model2": "v1", "model3": "v2"}

# The number of callers, each of which begins one stream.
CALLERS = 24

# The time that a server takes for an event, in seconds. The entries are killed
# after each stream's first one and before its last one.
EVENT_SECONDS = 0.5

# The time that the processes may take to become ready, in seconds.
START_SECONDS = 10.0

# How long after the start of the streams the entries are killed, in seconds.
KILL_SECONDS = 1.3


class KilledEntriesTest(base.TestCase):
    """All entries are processes of their own, killed with SIGKILL."""

    @contextlib.asynccontextmanager
    async def run_all(self):
        """Runs the store, servers of two versions and the entries."""
        self.store = metadata_store.MetadataStore()
        names = ("first1", *MODELS)
        self.server_ports = {}
        self.servers = {
            name: servers.Server(name, MODELS.get(name, "")) for name in names
        }
        async with contextlib.AsyncExitStack() as stack:
            self.stack = stack
            for name, server in self.servers.items():
                server.event_seconds = EVENT_SECONDS
                self.server_ports[name] = await sessions.serve(
                    stack, server.handle
                )
                self.register(name)
            manifest = sessions.build_manifest()
            for route in manifest["routes"]:
                route["timeout_ms"] = 20000
            # All callers may be at one server, as all take up at once.
            for service in manifest["services"]:
                service["max_connections"] = CALLERS
            self.store.put("config", "main", manifest)
            self.store_port = await sessions.serve(stack, self.store.handle)
            self.folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.ports = {
                host: [base.find_free_port() for _ in range(3)]
                for host in HOSTS
            }
            await self.start_entries()
            yield

    def register(self, name):
        """Registers a server as it is now."""
        server = self.servers[name]
        registration = sessions.build_registration(
            name,
            self.server_ports[name],
            version=server.version,
            slots=CALLERS,
            born=server.born,
        )
        self.store.put("servers", name, registration)

    async def start_entries(self):
        self.processes = []
        for number, host in enumerate(HOSTS):
            text = stopping_processes.build_node_file(
                *self.ports[host], self.store_port
            )
            text = text.replace(stopping_processes.HOST, host)
            text = text.replace("entry1", f"entry{number}")
            path = pathlib.Path(self.folder, f"{host}.toml")
            path.write_text(text)
            process = subprocess.Popen(
                [sys.executable, "-m", "samphirevale.platform"],
                env=os.environ | {node_file.PATH_VARIABLE: str(path)},
                stdout=subprocess.DEVNULL,
            )
            self.stack.callback(process.wait)
            self.stack.callback(process.kill)
            self.processes.append(process)
        async with curio.timeout_after(START_SECONDS):
            for host in HOSTS:
                while not await self.is_ready(host):
                    await curio.sleep(0.05)

    async def is_ready(self, host):
        with contextlib.suppress(errors.TransportError):
            async with web_client.connect(host, self.ports[host][1]) as probe:
                answer = await probe.request("GET", "/readyz", b"", (), host)
                return answer.status == 200
        return False

    async def write(self, number, events=servers.EVENTS, **headers):
        """Sends a request; returns its status and the events that came.

        Args:
            number: the number of the prompt, which tells the entry.
            events: the number of events after which the caller leaves.
            headers: further headers.
        """
        host = HOSTS[number % len(HOSTS)]
        headers = {
            "Samphirevale-Deadline-Ms": "20000",
            "Samphirevale-Key": "k1",
            "Samphirevale-Prefix-Hash": f"p{number}:10,q:5",
            **headers,
        }
        body = b""
        status = 0
        with contextlib.suppress(errors.TransportError):
            async with web_client.connect(
                host, self.ports[host][0]
            ) as connection:
                answer = await connection.request(
                    "POST", "/write/x", b"", tuple(headers.items()), "h.example"
                )
                status = answer.status
                async with contextlib.aclosing(answer.read_parts()) as parts:
                    async for part in parts:
                        body += part
                        if body.count(b"id:") >= events:
                            break
        return status, body[: body.rfind(b"\n\n") + 2]

    async def begin(self, number):
        return await self.write(
            number, **{"Samphirevale-Attempt-Id": f"a{number}"}
        )

    async def take_up(self, number, events):
        last = events.count(b"id:")
        return await self.write(
            number + 1,
            **{
                "Samphirevale-Attempt-Id": f"b{number}",
                "Last-Event-Id": str(last),
                "Resumes": f"a{number}",
            },
        )

    async def test_joined_texts_are_of_one_version(self):
        async with self.run_all():
            async with curio.TaskGroup() as callers:
                for number in range(CALLERS):
                    await callers.spawn(self.begin, number)
                await curio.sleep(KILL_SECONDS)
                for process in self.processes:
                    process.kill()
            begun = callers.results
            began_at = set()
            await self.start_entries()
            for status, events in begun:
                self.assertEqual(200, status)
                self.assertIn(events.count(b"id:"), range(1, servers.EVENTS))
                began_at |= test_versions.list_versions(events)
            async with curio.TaskGroup() as callers:
                for number, (_, events) in enumerate(begun):
                    await callers.spawn(self.take_up, number, events)
            for (status, rest), (_, events) in zip(
                callers.results, begun, strict=True
            ):
                self.assertEqual(200, status)
                versions = test_versions.list_versions(events + rest)
                self.assertEqual(1, len(versions), events + rest)
                self.assertEqual(servers.EVENTS, (events + rest).count(b"id:"))
            self.assertEqual({"v1", "v2"}, began_at)

    async def begin_elsewhere(self, number):
        """Begins a stream at an entry that goes on, and leaves it."""
        status, events = await self.write(
            number,
            2,
            **{
                "Samphirevale-Attempt-Id": f"a{number}",
                "Samphirevale-Prefix-Hash": f"p{number}:10,q:5",
            },
        )
        self.assertEqual(200, status)
        return events

    async def take_up_at_last(self, number, events):
        """Takes a stream up at the entry that has stood still."""
        return await self.write(
            len(HOSTS) - 1,
            **{
                "Samphirevale-Attempt-Id": f"b{number}",
                "Samphirevale-Prefix-Hash": f"p{number}:10,q:5",
                "Last-Event-Id": str(events.count(b"id:")),
                "Resumes": f"a{number}",
            },
        )

    async def test_entry_that_stood_still_during_a_release_joins_nothing(self):
        """Servers start again under their ids, with a version unknown to it."""
        numbers = [n for n in range(CALLERS) if n % len(HOSTS) != 2]
        async with self.run_all():
            for server in self.servers.values():
                server.event_seconds = 0.02
            self.servers["model3"].version = "v1"
            self.register("model3")
            await curio.sleep(1.0)
            before = [await self.begin_elsewhere(n) for n in numbers]
            self.processes[-1].send_signal(signal.SIGSTOP)
            for name in ("model2", "model3"):
                self.servers[name].version = "v2"
                self.servers[name].born = 2
                self.register(name)
            await curio.sleep(1.0)
            after = [await self.begin_elsewhere(n + CALLERS) for n in numbers]
            began = dict(zip(numbers, before, strict=True))
            began |= {
                n + CALLERS: events
                for n, events in zip(numbers, after, strict=True)
            }
            # The requests are there as it wakes, before what it has missed.
            async with curio.TaskGroup() as callers:
                for number, events in began.items():
                    await callers.spawn(self.take_up_at_last, number, events)
                await curio.sleep(0.2)
                self.processes[-1].send_signal(signal.SIGCONT)
            refused = {}
            for (status, rest), (number, events) in zip(
                callers.results, began.items(), strict=True
            ):
                self.assertIn(status, (200, 503))
                if status == 200:
                    self.check_one_version(events + rest)
                else:
                    refused[number] = events
            # Once it has learned of the release, all of them go on.
            await curio.sleep(1.0)
            for number, events in refused.items():
                status, rest = await self.take_up_at_last(number, events)
                self.assertEqual(200, status)
                self.check_one_version(events + rest)

    def check_one_version(self, events):
        self.assertEqual(1, len(test_versions.list_versions(events)), events)
        self.assertEqual(servers.EVENTS, events.count(b"id:"))
