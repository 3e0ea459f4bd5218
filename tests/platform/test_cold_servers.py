"""Tests of sessions with servers that are cold after their start."""

import time

from samphirevale.availability import warm_ups
from standins import servers
from tests import base
from tests.platform import sessions

RATE = 8.0
COLD_SECONDS = 1.5
BOUND = warm_ups.ColdBound(1.5, 5.0)
MOST_CALLS = int(RATE * BOUND.factor + BOUND.allowance)

# The callers of an entry that send requests one after the other. The other
# server has connections for those of two entries.
CALLERS = 4


class ColdServerTestCase(sessions.SessionTestCase):
    """Two servers of each service; the plain one has a cold limit."""

    settings = {"cold_bound": BOUND}

    def build_manifest(self, version=1, cold_seconds=COLD_SECONDS):
        manifest = sessions.build_manifest(version)
        for service in manifest["services"]:
            if service["name"] in ("plain", "model"):
                service["cold_start_s"] = cold_seconds
                service["cold_per_s"] = RATE
        (plain, *_) = manifest["routes"]
        manifest["routes"].append(
            {**plain, "name": "/ask/", "path_prefix": "/ask/"}
            | {"service": "model"}
        )
        return manifest

    async def adopt_cold_limits(self):
        self.store.put("config", "main", self.build_manifest(2))
        known = self.gateway.cluster_state
        await self.wait_until(lambda: known.table.version == 2)

    def start_cold(self, name, stated=False, seconds=COLD_SECONDS):
        self.servers[name].cold = servers.ColdTime(
            time.monotonic() + seconds, MOST_CALLS, stated
        )

    async def call_for(self, seconds, *ports, path="/read/x"):
        """Sends requests without a pause; returns the statuses."""
        statuses = []
        ends_at = time.monotonic() + seconds

        async def call_again(port):
            while time.monotonic() < ends_at:
                status, *_ = await self.call(path, port=port)
                statuses.append(status)

        async with base.open_group() as group:
            for _ in range(CALLERS):
                for port in ports or (self.port,):
                    await group.spawn(call_again, port)
        return statuses

    def count_calls(self, name):
        return len(self.servers[name].arrivals)


class ColdServerTest(ColdServerTestCase):
    """One entry."""

    async def test_server_that_has_started_gets_no_more_than_it_bears(self):
        async with self.run_all():
            await self.adopt_cold_limits()
            self.start_cold("plain1")
            self.change_server("plain1", born=2)
            await self.wait_until(lambda: self.gateway.cluster_state.warm_ups)
            statuses = await self.call_for(1.0)
            self.assertEqual({200}, set(statuses))
            self.assertEqual(1, self.servers["plain1"].starts)
            self.assertGreater(self.count_calls("plain1"), RATE / 2)
            await self.call_for(COLD_SECONDS)
            self.assertGreater(self.count_calls("plain1"), 3 * MOST_CALLS)

    async def test_cold_time_of_a_registration_holds(self):
        async with self.run_all():
            await self.adopt_cold_limits()
            self.start_cold("plain1")
            self.change_server("plain1", cold_remaining_ms=1500)
            await self.wait_until(lambda: self.gateway.cluster_state.warm_ups)
            await self.call_for(1.0)
            self.assertEqual(1, self.servers["plain1"].starts)

    async def test_cold_time_of_an_answer_holds(self):
        async with self.run_all():
            await self.adopt_cold_limits()
            self.start_cold("plain1", stated=True)
            await self.read_until_reached("plain1")
            await self.call_for(1.0)
            self.assertEqual(1, self.servers["plain1"].starts)

    async def test_start_that_a_report_names_is_cold(self):
        """The server has started again and is registered as before."""
        async with self.run_all():
            await self.adopt_cold_limits()
            self.start_cold("model1")
            self.servers["model1"].born += 1
            while not self.servers["model1"].arrivals:
                await self.check_stream()
            statuses = await self.call_for(1.0, path="/ask/x")
            self.assertEqual({200}, set(statuses))
            self.assertEqual(1, self.servers["model1"].starts)
            self.assertIn("endpoint_cold", self.log.list_events())

    async def test_callers_are_told_when_to_return_if_all_are_cold(self):
        async with self.run_all():
            await self.adopt_cold_limits()
            for name in ("plain1", "plain2"):
                self.start_cold(name)
                self.change_server(name, born=2)
            cold = self.gateway.cluster_state.warm_ups
            await self.wait_until(lambda: len(cold._cold_until) == 2)
            statuses = await self.call_for(0.5)
            self.assertEqual({200, 503}, set(statuses))
            for name in ("plain1", "plain2"):
                self.assertEqual(1, self.servers[name].starts)

    async def test_malformed_cold_times_are_ignored(self):
        async with self.run_all():
            await self.adopt_cold_limits()
            for value in (-1, "soon", None, [], True):
                self.change_server("plain2", cold_remaining_ms=value)
            await self.wait_until_accepting("plain1", "plain2")
            self.assertEqual({200}, set(await self.call_for(0.3)))


class ColdServerOfTwoEntriesTest(ColdServerTestCase):
    """Two entries share what a cold server bears."""

    async def test_both_together_send_no_more_than_it_bears(self):
        async with self.run_all(), self.run_second_entry() as second_port:
            await self.adopt_cold_limits()
            known = self.second.cluster_state
            await self.wait_until(lambda: known.table.version == 2)
            self.start_cold("plain1")
            self.change_server("plain1", born=2)
            await self.wait_until(lambda: self.gateway.cluster_state.warm_ups)
            await self.wait_until(lambda: self.second.cluster_state.warm_ups)
            statuses = await self.call_for(1.0, self.port, second_port)
            self.assertEqual({200}, set(statuses))
            self.assertEqual(1, self.servers["plain1"].starts)
