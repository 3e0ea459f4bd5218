"""A proxying entry in a process of its own that gets SIGTERM in tests."""

import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import curio

from samphirevale import errors
from samphirevale.adapters import web_client
from samphirevale.platform import node_file
from standins import metadata_store, servers
from tests import base
from tests.platform import sessions

SERVERS = ("model1", "model2", "first1", "first2", "plain1")

# The host of the entry. The port of its metrics is fixed, and several runs may
# go on at once.
HOST = f"127.0.1.{1 + os.getpid() % 250}"

# How long callers send requests before the signal, in seconds.
BEFORE_SECONDS = 1.5

# The pauses of callers between two requests, in seconds.
PAUSE_SECONDS = (0.0, 0.3)

# The time that the process may take to become ready, and to end after the grace
# period, in seconds.
START_SECONDS = 10.0

DEADLINE_MS = 12000

# The interval at which the delays of a play are recorded, in seconds.
WATCH_SECONDS = 0.02


class Outcome(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        attempt: the id of the request.
        path: the path of the request.
        sent_at: when its last byte was sent, monotonic, in seconds.
        ended_at: when its answer or its connection ended, likewise.
        deadline_at: when its deadline ended, likewise.
        status: the status; 0 without an answer.
        complete: whether the answer was complete.
        body: the body as far as it was read.
    """

    attempt: str
    path: str
    sent_at: float
    ended_at: float
    deadline_at: float
    status: int
    complete: bool
    body: bytes = b""


def build_node_file(port, ready_port, peer_port, store_port, grace_seconds=4.0):
    """Returns the text of the settings file of a process."""
    return f"""
node_name = "entry1"
zone = "a"
ip = "{HOST}"
port_range = [{peer_port}, {peer_port}]
[listen]
frontend = "{HOST}:{port}"
readiness = "{HOST}:{ready_port}"
[limits]
file_descriptors = 4100
memory_mb = 300
[bounds]
revoke_ms = 5000
contact_ms = 3000
drain_ms = 2000
grace_s = {grace_seconds}
retry_ratio = 0.2
retry_allowance = 500
retry_window_s = 10
[platform]
address = "127.0.0.1:{store_port}"
"""


class StoppingProcessTestCase(base.TestCase):
    """Callers keep their connections until the process has gone.

    Attributes:
        grace_seconds: the time from SIGTERM to SIGKILL.
        caller_count: the number of callers.
        command: the arguments of the interpreter that run the process.
    """

    grace_seconds = 4.0
    caller_count = 24
    command = ("-m", "samphirevale.platform")

    def setUp(self):
        self.rng = random.Random(1)
        self.attempts = itertools.count(1)
        self.outcomes = []
        self.signalled_at = float("inf")
        self.longest_delay = 0.0
        self.waited = 0.0

    def build_server(self, name):
        """Returns the stand-in of a server."""
        return servers.Server(name)

    def build_manifest(self):
        """Returns the manifest, whose routes leave the time of a deadline."""
        manifest = sessions.build_manifest()
        for route in manifest["routes"]:
            route["timeout_ms"] = DEADLINE_MS
        return manifest

    @contextlib.asynccontextmanager
    async def run_process(self):
        """Runs the store, the servers and the entry's process."""
        self.store = metadata_store.MetadataStore()
        self.servers = {name: self.build_server(name) for name in SERVERS}
        async with contextlib.AsyncExitStack() as stack:
            for name, server in self.servers.items():
                port = await sessions.serve(stack, server.handle)
                self.store.put(
                    "servers", name, sessions.build_registration(name, port)
                )
            self.store.put("config", "main", self.build_manifest())
            store_port = await sessions.serve(stack, self.store.handle)
            ports = [base.find_free_port() for _ in range(3)]
            self.port = ports[0]
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            path = pathlib.Path(folder, "node.toml")
            path.write_text(
                build_node_file(*ports, store_port, self.grace_seconds)
            )
            self.log_path = pathlib.Path(folder, "log")
            log = stack.enter_context(self.log_path.open("wb"))
            self.process = subprocess.Popen(
                [sys.executable, *self.command],
                env=os.environ | {node_file.PATH_VARIABLE: str(path)},
                stdout=log,
            )
            stack.callback(self.process.wait)
            stack.callback(self.process.kill)
            await self.wait_until_ready(ports[1])
            yield

    async def wait_until_ready(self, port):
        async with curio.timeout_after(START_SECONDS):
            while True:
                with contextlib.suppress(errors.TransportError):
                    url = f"http://{HOST}:{port}"
                    status, *_ = await web_client.call_json(
                        url, "GET", "/readyz"
                    )
                    if status == 200:
                        return
                await curio.sleep(0.05)

    def compute_time(self):
        return time.monotonic() - self.signalled_at

    async def open_connection(self):
        """Opens a connection to the entry."""
        return await web_client.open_connection(HOST, self.port)

    async def send_until_gone(self):
        """Sends requests on kept connections until none can be opened."""
        connection = None
        while True:
            try:
                if connection is None:
                    connection = await self.open_connection()
                outcome = await self.send(connection)
            except errors.ConnectError:
                return
            self.outcomes.append(outcome)
            if not outcome.complete or not connection.is_reusable():
                await connection.close()
                connection = None
            await curio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def send(self, connection):
        """Sends one request and returns its outcome."""
        return await self.send_request(
            connection,
            "/write/x",
            DEADLINE_MS / 1000,
            {
                "Samphirevale-Prefix-Hash": "p:10,q:5",
                "Samphirevale-Chunk-Count": "2,1",
                "Samphirevale-Chunk-Key": "ck",
            },
        )

    async def send_request(
        self, connection, path, deadline_seconds, more_headers, body=b""
    ):
        attempt = f"a{next(self.attempts)}"
        begun_at = time.monotonic()
        status = 0
        complete = False
        data = bytearray()
        headers = {
            "Samphirevale-Attempt-Id": attempt,
            "Samphirevale-Deadline-Ms": str(round(deadline_seconds * 1000)),
            "Samphirevale-Key": "k1",
            **more_headers,
        }
        with contextlib.suppress(errors.AnswerLostError):
            answer = await connection.request(
                "POST", path, body, tuple(headers.items()), "h.example"
            )
            status = answer.status
            async with contextlib.aclosing(answer.read_parts()) as parts:
                async for part in parts:
                    data += part
            complete = True
        sent_at = getattr(connection, "sent_at", begun_at)
        return Outcome(
            attempt,
            path,
            sent_at,
            time.monotonic(),
            sent_at + deadline_seconds,
            status,
            complete,
            bytes(data),
        )

    def read_waited(self):
        """Returns the seconds for which the process has waited to run."""
        path = pathlib.Path(f"/proc/{self.process.pid}/schedstat")
        with contextlib.suppress(OSError):
            return int(path.read_text().split()[1]) / 1e9
        return self.waited

    async def watch_delays(self):
        """Records how late the tasks of the test itself get their turn."""
        while True:
            begun_at = time.monotonic()
            await curio.sleep(WATCH_SECONDS)
            late = time.monotonic() - begun_at - WATCH_SECONDS
            self.longest_delay = max(self.longest_delay, late)
            self.waited = self.read_waited()

    def describe_delays(self):
        """Returns how far other processes may have caused a late answer."""
        return (
            f"the process has waited {self.waited:.2f} s in all to run, "
            f"a task of the test up to {self.longest_delay:.2f} s at a time"
        )

    async def play(self):
        """Sends requests, and SIGTERM while they run; returns the lines."""
        watch = await curio.spawn(self.watch_delays, daemon=True)
        try:
            return await self._play()
        finally:
            await watch.cancel()

    async def _play(self):
        async with base.open_group() as group:
            for _ in range(self.caller_count):
                await group.spawn(self.send_until_gone)
            await curio.sleep(BEFORE_SECONDS)
            self.signalled_at = time.monotonic()
            self.process.send_signal(signal.SIGTERM)
            while (
                self.process.poll() is None
                and self.compute_time() < self.grace_seconds
            ):
                await curio.sleep(0.02)
            self.process.kill()
        self.ended_at = self.compute_time()
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def list_lost(self, lines):
        """Returns the requests that were read and got no whole answer."""
        accepted = {
            line["request"]
            for line in lines
            if line["event"] == "request_accepted"
        }
        return [
            outcome
            for outcome in self.outcomes
            if not outcome.complete and outcome.attempt in accepted
        ]
