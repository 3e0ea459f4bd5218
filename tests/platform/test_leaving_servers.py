"""Tests of sessions with servers that leave or ask for a pause."""

import time
from unittest import mock

import curio

from tests import base
from tests.platform import sessions

# The time in which entries tell each other what they have learnt, in seconds.
TELLING_SECONDS = 1.0

# The difference allowed between the time left of a pause and the delay that a
# caller is told, in seconds: little below, and some above to spread callers.
EARLY_SECONDS = 0.1
LATE_SECONDS = 0.5

SERVERS = (*sessions.SERVERS, "first2")


class ServersTestCase(sessions.SessionTestCase):
    """Two servers of each service."""

    def find_reached(self, service):
        """Returns the first server of a service that was reached."""
        return next(
            server
            for name, server in self.servers.items()
            if name[:-1] == service and server.arrivals
        )


class LeavingServerTest(ServersTestCase):
    """A server says in its answers that it leaves."""

    async def test_a_server_that_leaves_gets_no_more_requests(self):
        async with self.run_all():
            self.servers["plain1"].leaving = True
            await self.read_until_reached("plain1")
            await self.check_unused("plain1")

    async def test_a_server_that_leaves_with_a_refusal_is_not_used(self):
        async with self.run_all():
            self.servers["plain1"].leaving = True
            self.servers["plain1"].faults = ["full"] * sessions.REQUESTS
            await self.read_until_reached("plain1")
            await self.check_unused("plain1")

    async def test_a_server_that_leaves_with_a_stream_is_not_used(self):
        async with self.run_all():
            await self.check_stream()
            leaving = self.find_reached("model")
            run = leaving._run

            def run_and_leave(request, fault):
                leaving.leaving = True
                return run(request, fault)

            leaving._run = run_and_leave
            for _ in range(sessions.REQUESTS):
                await self.check_stream()
            paths = [arrival.path for arrival in leaving.arrivals]
            self.assertEqual(["/report", "/write/x"] * 2, paths)

    async def test_a_server_that_leaves_with_a_report_is_not_used(self):
        async with self.run_all():
            await self.check_stream()
            leaving = self.find_reached("model")
            leaving.leaving = True
            for _ in range(sessions.REQUESTS):
                await self.check_stream()
            paths = [arrival.path for arrival in leaving.arrivals]
            self.assertEqual(["/report", "/write/x", "/report"], paths)

    async def test_a_server_that_leaves_with_a_stage_call_is_not_used(self):
        async with self.run_all(SERVERS):
            await self.check_stream()
            leaving = self.find_reached("first")
            await self.wait_until(lambda: len(leaving.freed) == 3)
            leaving.leaving = True
            leaving.arrivals.clear()
            for _ in range(sessions.REQUESTS):
                await self.check_stream()
            calls = [c for c in leaving.arrivals if c.path == "/stage-run"]
            self.assertEqual(1, len(calls))

    async def test_a_stage_whose_input_server_has_left_is_not_refused(self):
        async with self.run_all(SERVERS):
            stage_servers = [self.servers["first1"], self.servers["first2"]]
            for server in stage_servers:
                server.silence_seconds = 0.2
                server.faults = ["silent"]
            async with base.open_group() as group:
                await group.spawn(self.check_stream)
                await self.wait_until(
                    lambda: any(server.arrivals for server in stage_servers)
                )
                leaving = self.find_reached("first")
                stage_servers.remove(leaving)
                (other,) = stage_servers
                leaving.leaving = True
                other.faults = []
                other.ended.add(leaving.name)
            self.assertEqual(2, len(leaving.items))
            self.assertEqual(
                [1, 0, 0, 1], [item["phase"] for item in other.items]
            )

    async def test_a_server_that_left_is_used_again_after_its_restart(self):
        async with self.run_all():
            self.servers["plain1"].leaving = True
            await self.read_until_reached("plain1")
            await self.check_unused("plain1")
            self.servers["plain1"].leaving = False
            self.change_server("plain1", born=2)
            await self.read_until_reached("plain1")

    async def test_callers_are_not_told_that_a_server_leaves(self):
        async with self.run_all():
            for name in ("plain1", "plain2"):
                self.servers[name].leaving = True
            self.assertNotIn("server-leaving", await self.read())

    async def test_another_entry_learns_that_a_server_leaves(self):
        async with self.run_all(), self.run_second_entry() as second_port:
            self.servers["plain1"].leaving = True
            await self.read_until_reached("plain1")
            await curio.sleep(TELLING_SECONDS)
            self.port = second_port
            await self.check_unused("plain1")

    async def test_a_server_that_has_long_gone_is_forgotten(self):
        notices = "samphirevale.endpoint_notices.LEAVING_SECONDS"
        with mock.patch(notices, 0.2):
            async with self.run_all():
                known = self.gateway.cluster_state.notices
                self.servers["plain1"].leaving = True
                await self.read_until_reached("plain1")
                await curio.sleep(TELLING_SECONDS)
                self.assertEqual(1, len(known.list_leaving()))
                self.store.remove("servers", "plain1")
                await self.wait_until(lambda: not known.list_leaving())


class PausingServerTest(ServersTestCase):
    """A server asks for a pause with a refusal."""

    async def pause(self, seconds):
        """Returns a server that has refused a request and asked for a pause."""
        plain = self.servers["plain1"]
        plain.begin_pause(seconds, time.monotonic())
        await self.read_until_reached("plain1")
        return plain

    async def test_a_server_gets_no_requests_until_its_pause_ends(self):
        async with self.run_all():
            plain = await self.pause(1.0)
            await self.read_until_pause_ends("plain1")
            self.assertEqual(1, len(plain.arrivals))
            await self.read_until_reached("plain1")
            self.assertEqual(1, len(plain.seen_headers))

    async def test_another_entry_prefers_servers_that_do_not_pause(self):
        async with self.run_all(), self.run_second_entry() as second_port:
            plain = await self.pause(2.0 + TELLING_SECONDS)
            await curio.sleep(TELLING_SECONDS)
            self.port = second_port
            await self.check_unused("plain1")
            self.assertLess(time.monotonic(), plain.pause.ends_at)

    async def test_a_pause_outlives_a_new_manifest(self):
        async with self.run_all():
            plain = await self.pause(1.5)
            manifest = sessions.build_manifest(2)
            self.store.put("config", "main", manifest)
            known = self.gateway.cluster_state
            await self.wait_until(lambda: known.table.version == 2)
            await self.read_until_pause_ends("plain1")
            self.assertEqual(1, len(plain.arrivals))

    async def test_a_pause_ends_with_a_restart(self):
        async with self.run_all():
            plain = await self.pause(3.0)
            await self.check_unused("plain1")
            plain.pause = None
            self.change_server("plain1", born=2)
            await self.read_until_reached("plain1")

    async def test_a_stage_server_gets_no_calls_until_its_pause_ends(self):
        async with self.run_all(SERVERS):
            await self.check_stream()
            first = [self.servers["first1"], self.servers["first2"]]
            await self.wait_until(
                lambda: sum(len(server.freed) for server in first) == 3
            )
            # The one that was called last is the faster one, so that it would
            # get the next call.
            pausing = max(first, key=self.find_last_run)
            pausing.arrivals.clear()
            pausing.begin_pause(2.5, time.monotonic())
            while time.monotonic() < pausing.pause.ends_at - 0.1:
                await self.check_stream()
                await curio.sleep(0.02)
            self.assertEqual(1, len(pausing.arrivals))

    def find_last_run(self, server):
        """Returns when a stage call last reached a server; 0 if none has."""
        runs = [c.at for c in server.arrivals if c.path == "/stage-run"]
        return max(runs, default=0.0)

    async def test_callers_are_refused_at_once_while_all_servers_pause(self):
        async with self.run_all():
            now = time.monotonic()
            self.servers["plain1"].begin_pause(1.5, now)
            self.servers["plain2"].begin_pause(4.0, now)
            for _ in range(sessions.REQUESTS):
                status, headers, _ = await self.call("/once/x")
                self.assertEqual(503, status)
                left = 1.5 - (time.monotonic() - now)
                delay = float(headers["retry-after"])
                self.assertGreater(delay, left - EARLY_SECONDS)
                self.assertLess(delay, left + LATE_SECONDS)
            for name in ("plain1", "plain2"):
                self.assertEqual(1, len(self.servers[name].arrivals))

    async def test_a_broken_stream_waits_for_the_end_of_a_pause(self):
        async with self.run_all():
            self.servers["model1"].faults = ["cut"]
            pausing = self.servers["model2"]
            pausing.begin_pause(1.0, time.monotonic())
            await self.check_stream()
            # It is asked for its start before the stream goes on there.
            first, *later = pausing.arrivals
            self.assertLess(first.at, pausing.pause.ends_at)
            self.assertEqual(
                ["/report", "/write/x"], [call.path for call in later]
            )
            for call in later:
                self.assertGreaterEqual(call.at, pausing.pause.ends_at)

    async def test_a_malformed_pause_is_ignored(self):
        async with self.run_all():
            plain = self.servers["plain1"]
            date = "Wed, 21 Oct 2026 07:28:00 GMT"
            for text in ("soon", "-1", "nan", date):
                plain.begin_pause(0.2, time.monotonic(), text)
                await self.read_until_reached("plain1")
                await self.read_until_pause_ends("plain1")
                await curio.sleep(0.1)
                await self.read_until_reached("plain1")
