"""Tests of a proxying entry in a process of its own that gets SIGTERM."""

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

# The grace period, and how long callers send requests before and after the
# signal, in seconds.
GRACE_SECONDS = 4.0
BEFORE_SECONDS = 1.5

CALLERS = 24

# The pauses of callers between two requests, in seconds.
PAUSE_SECONDS = (0.0, 0.3)

# The time that the process may take to become ready, and to end after the grace
# period, in seconds.
START_SECONDS = 10.0
END_SECONDS = 3.0

DEADLINE_MS = 12000


class Outcome(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        attempt: the id of the request.
        sent_at: when it was sent, in seconds from the signal.
        ended_at: when its answer or its connection ended, likewise.
        status: the status; 0 without an answer.
        complete: whether the answer was complete.
    """

    attempt: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool


def build_node_file(port, ready_port, peer_port, store_port):
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
grace_s = {GRACE_SECONDS}
retry_ratio = 0.2
retry_allowance = 500
retry_window_s = 10
[platform]
address = "127.0.0.1:{store_port}"
"""


class StoppingProcessTest(base.TestCase):
    """Callers keep their connections until the process has gone."""

    def setUp(self):
        self.rng = random.Random(1)
        self.attempts = itertools.count(1)
        self.outcomes = []
        self.signalled_at = float("inf")

    @contextlib.asynccontextmanager
    async def run_process(self):
        """Runs the store, the servers and the entry's process."""
        self.store = metadata_store.MetadataStore()
        self.servers = {name: servers.Server(name) for name in SERVERS}
        async with contextlib.AsyncExitStack() as stack:
            for name, server in self.servers.items():
                port = await sessions.serve(stack, server.handle)
                self.store.put(
                    "servers", name, sessions.build_registration(name, port)
                )
            manifest = sessions.build_manifest()
            for route in manifest["routes"]:
                route["timeout_ms"] = DEADLINE_MS
            self.store.put("config", "main", manifest)
            store_port = await sessions.serve(stack, self.store.handle)
            ports = [base.find_free_port() for _ in range(3)]
            self.port = ports[0]
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            path = pathlib.Path(folder, "node.toml")
            path.write_text(build_node_file(*ports, store_port))
            self.log_path = pathlib.Path(folder, "log")
            log = stack.enter_context(self.log_path.open("wb"))
            self.process = subprocess.Popen(
                [sys.executable, "-m", "samphirevale.platform"],
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

    async def send_until_gone(self):
        """Sends requests on kept connections until none can be opened."""
        connection = None
        while True:
            try:
                if connection is None:
                    connection = await web_client.open_connection(
                        HOST, self.port
                    )
                outcome = await self.send(connection)
            except errors.ConnectError:
                return
            self.outcomes.append(outcome)
            if not outcome.complete or not connection.is_reusable():
                await connection.close()
                connection = None
            await curio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def send(self, connection):
        attempt = f"a{next(self.attempts)}"
        sent_at = time.monotonic()
        status = 0
        complete = False
        headers = {
            "Samphirevale-Attempt-Id": attempt,
            "Samphirevale-Deadline-Ms": str(DEADLINE_MS),
            "Samphirevale-Key": "k1",
            "Samphirevale-Prefix-Hash": "p:10,q:5",
            "Samphirevale-Chunk-Count": "2,1",
            "Samphirevale-Chunk-Key": "ck",
        }
        with contextlib.suppress(errors.AnswerLostError):
            answer = await connection.request(
                "POST", "/write/x", b"", tuple(headers.items()), "h.example"
            )
            status = answer.status
            await answer.read_body()
            complete = True
        return Outcome(attempt, sent_at, time.monotonic(), status, complete)

    async def play(self):
        """Sends requests, and SIGTERM while they run; returns the lines."""
        async with curio.TaskGroup() as group:
            for _ in range(CALLERS):
                await group.spawn(self.send_until_gone)
            await curio.sleep(BEFORE_SECONDS)
            self.signalled_at = time.monotonic()
            self.process.send_signal(signal.SIGTERM)
            while (
                self.process.poll() is None
                and self.compute_time() < GRACE_SECONDS
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

    async def test_requests_in_their_stages_are_answered_as_the_process_ends(
        self,
    ):
        async with self.run_process():
            for name in ("first1", "first2"):
                self.servers[name].call_seconds = 1.5
            lines = await self.play()
            self.assertEqual([], self.list_lost(lines))
            statuses = {outcome.status for outcome in self.outcomes}
            self.assertLessEqual(statuses, {0, 200, 503, 504})
            self.assertEqual(0, self.process.returncode)
