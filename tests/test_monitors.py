"""Tests of the view of an engine's cache, built from its events."""

import time

import curio

from samphirevale import monitors, stage_runs
from samphirevale.adapters import endpoints as http_endpoints
from samphirevale.adapters import web, web_server
from samphirevale.ports import endpoints
from standins import generation
from tests import base


def build_events(*items):
    return [endpoints.CacheEvent(*item) for item in items]


class CacheViewTest(base.TestCase):
    """The prefixes that the view lists as cached."""

    def setUp(self):
        super().setUp()
        self.view = monitors.CacheView()

    def test_follows_insertions_and_evictions(self):
        self.view.apply_events(
            build_events((1, "a", True), (2, "b", True), (3, "a", False))
        )
        self.assertEqual(self.view.list_prefixes(), ["b"])

    def test_sorts_events_and_drops_known_ones(self):
        self.view.apply_events(build_events((2, "a", False), (1, "a", True)))
        self.view.apply_events(build_events((1, "a", True)))
        self.assertEqual(self.view.list_prefixes(), [])
        self.assertEqual(self.view.gaps, 0)

    def test_forgets_prefixes_cached_before_a_gap(self):
        self.view.apply_events(build_events((1, "a", True)))
        self.view.apply_events(build_events((3, "b", True)))
        self.assertEqual(self.view.list_prefixes(), ["b"])
        self.assertEqual(self.view.gaps, 1)

    def test_keeps_only_the_newest_prefixes(self):
        count = monitors.PREFIXES_LIMIT + 5
        self.view.apply_events(
            build_events(*((n, f"p{n}", True) for n in range(1, count + 1)))
        )
        prefixes = self.view.list_prefixes()
        self.assertEqual(len(prefixes), monitors.PREFIXES_LIMIT)
        self.assertEqual(prefixes[-1], f"p{count}")

    def test_lists_the_digests_that_entries_compute(self):
        prompt = "x" * 100
        digest = generation.compute_prefix(prompt)
        self.view.apply_events(build_events((1, digest, True)))
        wanted = [stage_runs.digest_prefix(prompt)]
        self.assertEqual(wanted, self.view.list_prefixes())


class SilentEndpointTest(base.TestCase):
    """Tests an engine that answers nothing for a while and goes on."""

    async def answer(self, request):
        await curio.sleep(max(self.silent_until - time.monotonic(), 0))
        values = {
            "/health": {"incarnation": "one"},
            "/state": {"batches": ["b1"], "role": "", "fencing": 0},
        }
        return web.build_json(200, values[request.path])

    async def test_briefly_silent_engine_keeps_its_batches(self):
        self.silent_until = 0.0
        port = base.find_free_port()
        server = await curio.spawn(
            web_server.serve, self.answer, "127.0.0.1", port, daemon=True
        )
        await curio.sleep(0.1)
        monitor = monitors.EndpointMonitor(
            http_endpoints.build_endpoint(
                "engine", f"http://127.0.0.1:{port}", 1.0
            ),
            0.05,
        )
        self.assertTrue(await monitor.probe())
        self.assertEqual({"b1"}, monitor.batches)
        self.silent_until = time.monotonic() + 1.5
        await monitor.probe()
        await server.cancel()
        self.assertTrue(monitor.healthy)
        self.assertEqual({"b1"}, monitor.batches)


class CrashTest(base.TestCase):
    """What a broken call tells of an endpoint that has started again."""

    async def start_endpoint(self, incarnation):
        """Returns a task that serves until it is cancelled."""

        async def answer(request):
            return web.build_json(200, {"incarnation": incarnation})

        server = await curio.spawn(
            web_server.serve, answer, "127.0.0.1", self.port, daemon=True
        )
        await curio.sleep(0.1)
        return server

    async def test_start_before_a_call_is_no_crash_of_its_input(self):
        """The endpoint has started again since the last probe."""
        self.port = base.find_free_port()
        server = await self.start_endpoint("one")
        monitor = monitors.EndpointMonitor(
            http_endpoints.build_endpoint(
                "service", f"http://127.0.0.1:{self.port}", 1.0
            ),
            1.0,
        )
        await monitor.probe()
        self.assertEqual("one", await monitor.learn_incarnation())
        await server.cancel()
        server = await self.start_endpoint("two")
        # A call begins, as an executor has it, and breaks.
        known = await monitor.learn_incarnation()
        self.assertFalse(await monitor.has_crashed(known))
        await server.cancel()
        server = await self.start_endpoint("three")
        self.assertTrue(await monitor.has_crashed(known))
        await server.cancel()
