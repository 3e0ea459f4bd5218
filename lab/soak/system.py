"""Starts the processes of a play, and does to them what the plan says."""

import contextlib
import itertools
import os
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import curio

from lab import processes
from lab.soak import plans, records
from samphirevale import errors
from samphirevale.adapters import web_client
from samphirevale.platform import node_file
from standins import manifests, metadata_store

HOST = "h.example"
KEY = "k1"

# The path prefixes of the routes.
STREAMS = "/write/"
STAGED = "/staged/"
REPEATABLE = "/read/"
ONCE = "/once/"

# The time that the entries may take to become ready, and each entry to end
# after SIGTERM, in seconds.
START_SECONDS = 60.0
END_SECONDS = 8.0
POLL_SECONDS = 0.05

# The interval at which the store looks for changes, in seconds for each entry,
# so that the watches of a large fleet leave it time.
POLL_RATIO = 0.0005

# How long requests may last, in milliseconds.
TIMEOUT_MS = 15_000

# The largest number of connections to an endpoint.
CONNECTIONS = 100

# The number of the endpoints' address, above those of the entries.
HOSTS_NUMBER = 50_000


def build_manifest() -> dict[str, Any]:
    """Returns routes of each kind, with stages for some of the streams."""
    manifest = manifests.build_manifest(keys=[KEY])
    for route in manifest["routes"]:
        route |= {"timeout_ms": TIMEOUT_MS, "max_attempts": 3}
        if route["name"] == STREAMS:
            staged = {**route, "name": STAGED, "path_prefix": STAGED}
            del route["phases"]
    for service in manifest["services"]:
        service["max_connections"] = CONNECTIONS
    manifest["routes"].append(staged)
    return manifest


def build_host(number: int) -> str:
    """Returns an address of this machine that only this process's play uses.

    The entries' metrics have the same port everywhere, and the ports of
    endpoints are closed for a while.
    """
    block = 2 + os.getpid() % 240
    return f"127.{block}.{number // 200}.{1 + number % 200}"


class Entry:
    """The processes of one entry, one after another.

    Attributes:
        name: its name in the log lines.
        host: its address.
        process: the present process; None while it is replaced.
    """

    def __init__(self, number: int):
        self.name = f"entry{number}"
        self.host = build_host(number)
        self.process: processes.Process | None = None
        self.lock = curio.Lock()


class System:
    """The store, the hosts of endpoints and the entries."""

    def __init__(self, group: processes.Group, play: plans.Play):
        self.entries = [Entry(number) for number in range(play.entries)]
        self.caller_port = processes.choose_port()
        self._group = group
        self._play = play
        self._ready_port = processes.choose_port()
        self._peer_port = processes.choose_port()
        self._names = itertools.count(play.servers + 1)
        self._store: processes.Process | None = None
        self._host: processes.Process | None = None

    async def start(self) -> None:
        """Starts all processes and waits until the entries are ready."""
        poll_seconds = max(
            metadata_store.POLL_SECONDS, POLL_RATIO * self._play.entries
        )
        self._store = self._start_program(
            "store", "--poll-seconds", str(poll_seconds)
        )
        await self._call(
            self._store,
            "/objects/config",
            {"metadata": {"name": "main"}, "spec": build_manifest()},
        )
        self._host = self._start_program(
            "endpoints",
            "--store-port",
            str(self._store.port),
            "--closing",
            str(self._play.closing),
            "--faults",
            str(self._play.faults),
            "--wrong-reports",
            str(self._play.wrong_reports),
            "--report-fault",
            self._play.report_fault,
            "--endpoint-host",
            build_host(HOSTS_NUMBER),
        )
        for number in range(1, self._play.servers + 1):
            await self._start_endpoint("model", number, "v1")
        for number in range(1, 1 + plans.count_others(self._play)):
            await self._start_endpoint("plain", number, "")
            await self._start_endpoint("first", number, "")
        for entry in self.entries:
            self._start_entry(entry)
        async with curio.timeout_after(START_SECONDS):
            for entry in self.entries:
                while not await self._is_ready(entry):
                    await curio.sleep(POLL_SECONDS)
        for _ in range(self._play.load):
            self._group.start("busy", "lab.soak.busy", wait=False)

    def _start_program(self, kind: str, *arguments: str) -> processes.Process:
        port = processes.choose_port()
        return self._group.start(
            kind,
            f"lab.soak.{kind}",
            "--port",
            str(port),
            *arguments,
            port=port,
        )

    async def _start_endpoint(
        self, service: str, number: int, version: str
    ) -> None:
        name = f"{service}{number}"
        value = {"name": name, "service": service, "version": version}
        await self._call(self._host, "/start", value)

    async def _call(
        self, process: processes.Process, path: str, value: Any
    ) -> Any:
        status, answer, _ = await web_client.call_json(
            process.url, "GET" if value is None else "POST", path, value
        )
        if status != 200:
            raise processes.ProcessError(f"{path}: status {status}: {answer}")
        return answer

    def _start_entry(self, entry: Entry) -> None:
        path = self._group.directory / f"{entry.name}.toml"
        path.write_text(self._build_node_file(entry))
        entry.process = self._group.start(
            entry.name,
            "samphirevale.platform",
            environment=os.environ | {node_file.PATH_VARIABLE: str(path)},
            wait=False,
        )

    def _build_node_file(self, entry: Entry) -> str:
        return f"""
node_name = "{entry.name}"
zone = "a"
ip = "{entry.host}"
port_range = [{self._peer_port}, {self._peer_port}]
[listen]
frontend = "{entry.host}:{self.caller_port}"
readiness = "{entry.host}:{self._ready_port}"
[limits]
file_descriptors = 4100
memory_mb = 300
[bounds]
revoke_ms = 5000
contact_ms = 3000
drain_ms = 2000
grace_s = 4
retry_ratio = 0.2
retry_allowance = 500
retry_window_s = 10
[platform]
address = "127.0.0.1:{self._store.port}"
"""

    async def _is_ready(self, entry: Entry) -> bool:
        with contextlib.suppress(errors.TransportError):
            url = f"http://{entry.host}:{self._ready_port}"
            status, *_ = await web_client.call_json(url, "GET", "/readyz")
            return status == 200
        return False

    async def apply(self, event: plans.Event) -> None:
        """Lets an event happen; returns when it is over."""
        if event.kind == plans.RESTART:
            await self._restart_endpoint(event)
        elif event.kind == plans.STORE:
            switches = {event.target: True, "seconds": event.seconds}
            await self._call(self._store, "/faults", switches)
        else:
            entry = self.entries[event.target]
            # Of two events at one entry the second waits.
            async with entry.lock:
                await self._disturb(entry, event)

    async def _restart_endpoint(self, event: plans.Event) -> None:
        name = f"model{next(self._names)}" if event.new_id else ""
        value = {
            "place": event.target,
            "name": name,
            "version": event.version,
            "down_seconds": event.seconds,
            "register_seconds": event.register_seconds,
        }
        await self._call(self._host, "/restart", value)

    async def _disturb(self, entry: Entry, event: plans.Event) -> None:
        process = entry.process
        if event.kind == plans.PAUSE:
            process.freeze()
            await curio.sleep(event.seconds)
            process.resume()
            return
        entry.process = None
        if event.kind == plans.STOP:
            process.stop()
            async with curio.ignore_after(END_SECONDS):
                while process.exit_status is None:
                    await curio.sleep(POLL_SECONDS)
        process.kill()
        while process.exit_status is None:
            await curio.sleep(POLL_SECONDS)
        await curio.sleep(event.seconds)
        self._start_entry(entry)

    async def read_seen(self) -> tuple[list[records.Start], list[records.Run]]:
        """Returns what the endpoints have seen."""
        seen = await self._call(self._host, "/seen", None)
        return (
            [records.Start(*values) for values in seen["starts"]],
            sorted(
                (records.Run(*values) for values in seen["runs"]),
                key=lambda run: run.at,
            ),
        )

    def list_dead(self) -> list[str]:
        """Returns the names of entries that have ended by themselves."""
        return [
            entry.name
            for entry in self.entries
            if entry.process is not None
            and entry.process.exit_status is not None
        ]


@contextlib.asynccontextmanager
async def run_system(
    play: plans.Play, folder: pathlib.Path
) -> AsyncIterator[System]:
    """Runs all processes during the block; their logs stay in the folder."""
    with processes.open_group(folder) as group:
        system = System(group, play)
        await system.start()
        yield system
