"""Tests of sessions with servers that name a limit on their requests."""

import itertools
import time

import curio

from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "plain3")

# How long callers send requests, and how often each one does, in seconds.
PLAY_SECONDS = 6.0
REQUEST_SECONDS = 0.05

# The time in which entries tell each other of a limit, in seconds.
TELLING_SECONDS = 1.0

# In any such time a server may get this multiple of its limit, and some more.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXCESS = 5


class LimitedServerTest(sessions.SessionTestCase):
    """Two entries and three servers of a service, one of them in need."""

    async def send_requests(self, port, ends_at):
        """Sends requests one after the other; returns their statuses."""
        statuses = []
        while time.monotonic() < ends_at:
            statuses.append(await self.read_at(port))
            await curio.sleep(REQUEST_SECONDS)
        return statuses

    async def read_at(self, port):
        self.port, port = port, self.port
        call = self.call("/read/x")
        try:
            return (await call)[0]
        finally:
            self.port = port

    def count_in_windows(self, name, begin):
        """Returns the most requests that a server got in any window."""
        times = [call.at for call in self.servers[name].arrivals]
        times = [at for at in times if at >= begin]
        return max(
            sum(begin <= at < begin + WINDOW_SECONDS for at in times)
            for begin in times
        )

    async def play(self, ports, seconds=PLAY_SECONDS):
        """Sends requests to all ports; returns all statuses."""
        ends_at = time.monotonic() + seconds
        async with curio.TaskGroup() as group:
            for port in ports:
                await group.spawn(self.send_requests, port, ends_at)
        return list(itertools.chain(*group.results))

    def check_limit(self, name, limit, begin):
        allowed = LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_EXCESS
        count = self.count_in_windows(name, begin + TELLING_SECONDS)
        self.assertLessEqual(count, allowed)

    async def test_server_that_names_a_limit_gets_more_from_two_entries(self):
        async with self.run_all(SERVERS), self.run_second_entry() as port:
            begin = time.monotonic()
            self.servers["plain1"].limit = "1.1"
            statuses = await self.play([self.port, port])
            self.assertEqual({200}, set(statuses))
            self.check_limit("plain1", 1.1, begin)
