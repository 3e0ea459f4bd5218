"""Tests of sessions with servers that name a limit on their requests."""

import itertools
import math
import time

import curio

from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "plain3", "first2")

# How long callers send requests, and how often each one does, in seconds.
PLAY_SECONDS = 6.0
REQUEST_SECONDS = 0.05

# The time in which entries tell each other of a limit, in seconds.
TELLING_SECONDS = 1.0

# The number of requests with stages.
WRITES = 25

# In any such time a server may get this multiple of its limit, and some more.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXCESS = 5


# The time of a stage call that makes a server clearly slower, in seconds.
SLOW_SECONDS = 0.15


class LimitedServerTest(sessions.SessionTestCase):
    """Two entries and three servers of a service, one of them in need."""

    async def send_requests(self, port, ends_at):
        """Sends requests one after the other; returns their statuses."""
        statuses = []
        while time.monotonic() < ends_at:
            status, _, _ = await self.call("/read/x", port=port)
            statuses.append(status)
            await curio.sleep(REQUEST_SECONDS)
        return statuses

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

    async def test_server_that_names_no_limit_any_more_is_used_again(self):
        async with self.run_all(SERVERS), self.run_second_entry() as port:
            self.servers["plain1"].limit = "0.5"
            await self.play([self.port, port], 1.0)
            self.servers["plain1"].limit = ""
            await self.play([self.port, port], 4.5)
            begin = time.monotonic()
            await self.play([self.port, port], 1.0)
            arrivals = self.servers["plain1"].list_arrivals(begin, begin + 1.0)
            self.assertGreater(len(arrivals), 3)

    async def test_callers_are_refused_at_once_if_all_servers_are_limited(self):
        async with self.run_all(SERVERS):
            for server in self.servers.values():
                server.limit = "1"
            begin = time.monotonic()
            statuses = await self.play([self.port])
            self.assertEqual({200, 503}, set(statuses))
            for name in ("plain1", "plain2", "plain3"):
                self.check_limit(name, 1.0, begin)
            async with curio.timeout_after(0.3):
                while (await self.call("/read/x"))[0] == 200:
                    pass
            status, headers, _ = await self.call("/read/x")
            self.assertEqual(503, status)
            self.assertLess(0.0, float(headers["retry-after"]))

    async def test_stage_calls_keep_within_a_limit(self):
        async with self.run_all(SERVERS):
            # The other server is the second choice.
            self.servers["first2"].call_seconds = SLOW_SECONDS
            await self.check_stream()
            self.servers["first1"].limit = "2"
            begin = time.monotonic()
            for _ in range(WRITES):
                await self.check_stream()
                await curio.sleep(0.1)
            self.check_limit("first1", 2.0, begin)
            calls = self.servers["first2"].list_arrivals(begin, math.inf)
            self.assertGreater(len(calls), WRITES)

    async def test_entry_that_restarts_keeps_within_the_limit(self):
        async with self.run_all(SERVERS):
            self.servers["plain1"].limit = "1.1"
            begin = time.monotonic()
            for _ in range(2):
                async with self.run_second_entry() as port:
                    await self.play([self.port, port], 3.0)
            self.check_limit("plain1", 1.1, begin)

    async def test_server_that_names_a_limit_gets_more_from_two_entries(self):
        async with self.run_all(SERVERS), self.run_second_entry() as port:
            begin = time.monotonic()
            self.servers["plain1"].limit = "1.1"
            statuses = await self.play([self.port, port])
            self.assertEqual({200}, set(statuses))
            self.check_limit("plain1", 1.1, begin)
