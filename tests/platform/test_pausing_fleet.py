"""Tests of many callers while servers ask for pauses again and again."""

import collections
import random
import time

import curio

from samphirevale import errors
from tests import base
from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "plain3", "model3", "first2")

CALLERS = 20

# How long callers send requests, and how long servers pause, in seconds.
PLAY_SECONDS = 5.0
PAUSE_SECONDS = (0.8, 2.0)

# All servers of this service pause at once at the start.
PAUSED_SERVICE = "plain"

# The largest number of requests that may reach a server in a pause, later than
# ALLOWED_SECONDS after its first refusal.
LATE_LIMIT = 2
ALLOWED_SECONDS = 0.5


class PausingFleetTest(sessions.SessionTestCase):
    """Servers of each kind pause at random times, drawn by a seed."""

    def setUp(self):
        self.rng = random.Random(1)
        self.pauses = []
        self.answers = collections.Counter()

    async def send_requests(self, ends_at):
        while time.monotonic() < ends_at:
            send = self.write if self.rng.random() < 0.4 else self.read_once
            try:
                status, _, _ = await send()
            except errors.AnswerLostError:
                status = "lost"
            self.answers[status] += 1
            await curio.sleep(self.rng.uniform(0, 0.05))

    async def read_once(self):
        return await self.call("/read/x")

    async def begin_pauses(self, ends_at):
        for name, server in self.servers.items():
            if name.startswith(PAUSED_SERVICE):
                self.begin_pause(server, PAUSE_SECONDS[1], time.monotonic())
        while time.monotonic() < ends_at:
            server = self.rng.choice(list(self.servers.values()))
            now = time.monotonic()
            if server.pause is None or server.pause.ends_at < now:
                seconds = self.rng.uniform(*PAUSE_SECONDS)
                self.begin_pause(server, seconds, now)
            await curio.sleep(self.rng.uniform(0.05, 0.3))

    def begin_pause(self, server, seconds, now):
        server.begin_pause(seconds, now)
        self.pauses.append((server, server.pause))

    def count_late_arrivals(self, server, pause):
        refused = server.list_arrivals(pause.began_at, pause.ends_at)
        if not refused:
            return 0
        late_from = refused[0].at + ALLOWED_SECONDS
        return len(server.list_arrivals(late_from, pause.ends_at))

    async def test_pausing_servers_get_no_late_requests(self):
        async with self.run_all(SERVERS):
            ends_at = time.monotonic() + PLAY_SECONDS
            async with base.open_group() as group:
                for _ in range(CALLERS):
                    await group.spawn(self.send_requests, ends_at)
                await group.spawn(self.begin_pauses, ends_at - PAUSE_SECONDS[1])
        for server, pause in self.pauses:
            self.assertLessEqual(
                self.count_late_arrivals(server, pause), LATE_LIMIT, server.name
            )
        self.assertGreater(self.answers[200], CALLERS)
        self.assertEqual({200, 503}, set(self.answers))
