"""Tests of callers on kept connections beside changes and silences."""

import collections
import contextlib
import itertools
import random
import time

import curio

from samphirevale import errors
from samphirevale.adapters import web_client
from tests import base
from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "plain3", "model3", "first2")

CALLERS = 20

# How long callers send requests, in seconds.
PLAY_SECONDS = 5.0

# The idle timeouts between which the operator changes, in milliseconds.
IDLE_TIMEOUTS_MS = (300, 2000)

# The timeouts of routes, in milliseconds, longer than the silences that a
# request may meet.
ROUTE_TIMEOUTS_MS = (7000, 8000)

# The share of changes that remove a route.
REMOVED_SHARE = 0.3

# The share of the shortest idle timeout that callers use.
IDLE_SHARE = 0.8

# The durations of silences, and of the pauses between them, in seconds.
SILENCE_SECONDS = (0.4, 1.4)
PAUSE_SECONDS = (0.02, 0.3)


class KeptConnection:
    """A caller's connection, which is opened again when it has ended."""

    def __init__(self, port):
        self._port = port
        self._connection = None

    async def request(self, path, headers):
        """Returns the status and the whole body of the answer."""
        if self._connection is None:
            self._connection = await web_client.open_connection(
                "127.0.0.1", self._port
            )
        connection, self._connection = self._connection, None
        try:
            answer = await connection.request(
                "POST", path, b"body", headers, "h.example"
            )
            body = await answer.read_body()
        except errors.TransportError:
            await connection.close()
            raise
        if connection.is_reusable():
            self._connection = connection
        else:
            await connection.close()
        return answer.status, body

    async def close(self):
        if self._connection is not None:
            await self._connection.close()


class ChangingFleetTest(sessions.SessionTestCase):
    """Each request is answered whole, or refused."""

    def setUp(self):
        self.rng = random.Random(1)
        self.ends = collections.Counter()
        self.attempts = itertools.count()
        self.lost = []

    async def send_requests(self, ends_at):
        connection = KeptConnection(self.port)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(connection.close)
            while time.monotonic() < ends_at:
                path = self.rng.choice(("/read/x", "/once/x", "/write/x"))
                await self.send_request(connection, path)
                longest = IDLE_SHARE * IDLE_TIMEOUTS_MS[0] / 1000
                await curio.sleep(self.rng.uniform(0, longest))

    async def send_request(self, connection, path):
        attempt = f"c{next(self.attempts)}"
        headers = {
            "Samphirevale-Attempt-Id": attempt,
            "Samphirevale-Deadline-Ms": "8000",
            "Samphirevale-Key": "k1",
        }
        if path == "/write/x":
            headers |= {
                "Samphirevale-Prefix-Hash": f"p:10,{attempt}:5",
                "Samphirevale-Chunk-Count": "2,1",
                "Samphirevale-Chunk-Key": "ck",
            }
        try:
            status, body = await connection.request(
                path, tuple(headers.items())
            )
        except errors.TransportError as error:
            self.lost.append((attempt, path, str(error)))
            return
        if status == 200:
            whole = sessions.STREAM if path == "/write/x" else b"body"
            self.assertEqual(whole, body)
        self.ends[path, status] += 1

    async def fall_silent(self, ends_at):
        while time.monotonic() < ends_at:
            server = self.rng.choice(list(self.servers.values()))
            if not server.faults:
                server.silence_seconds = self.rng.uniform(*SILENCE_SECONDS)
                server.faults = [self.rng.choice(("silent", "late", "stall"))]
            await curio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def change_manifest(self, ends_at):
        version = 2
        while time.monotonic() < ends_at:
            version += self.rng.randint(1, 3)
            self.put_manifest(version)
            await curio.sleep(self.rng.uniform(0.05, 0.5))

    def put_manifest(self, version):
        """Changes the timeouts, and removes or adds a route."""
        manifest = sessions.build_manifest(version)
        manifest["limits"]["idle_timeout_ms"] = self.rng.choice(
            IDLE_TIMEOUTS_MS
        )
        for route in manifest["routes"]:
            route["timeout_ms"] = self.rng.choice(ROUTE_TIMEOUTS_MS)
        if self.rng.random() < REMOVED_SHARE:
            manifest["routes"].remove(self.rng.choice(manifest["routes"]))
        self.store.put("config", "main", manifest)

    async def test_each_request_gets_an_answer_or_a_refusal(self):
        async with self.run_all(SERVERS):
            self.put_manifest(2)
            await self.wait_until(
                lambda: self.gateway.cluster_state.get_routes_version() == 2
            )
            ends_at = time.monotonic() + PLAY_SECONDS
            async with base.open_group() as group:
                for _ in range(CALLERS):
                    await group.spawn(self.send_requests, ends_at)
                await group.spawn(self.fall_silent, ends_at)
                await group.spawn(self.change_manifest, ends_at)
        self.assertEqual([], self.lost)
        self.assertGreater(self.ends["/write/x", 200], CALLERS)
        self.assertLessEqual(
            {status for _, status in self.ends}, {200, 404, 503}
        )
        self.assertNotIn("message", self.log.list_events())
