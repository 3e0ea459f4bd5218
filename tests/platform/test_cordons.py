"""Tests of sessions in which the operator takes a data centre out of use."""

import time

import curio

from tests import base
from tests.platform import sessions

KIND = "evacuations"

# The bound of the settings for a cordon, and the time in which a watch or a
# report of another entry brings it, in seconds.
CORDON_SECONDS = 5.0
TOLD_SECONDS = 1.5

# The time in which a request comes to wait in a queue, in seconds.
QUEUED_SECONDS = 0.1

SERVERS = (*sessions.SERVERS, "first2")


class CordonTestCase(sessions.SessionTestCase):
    """One server of each service in each of two data centres, `a` and `b`."""

    settings = {"cordon_seconds": CORDON_SECONDS}

    def register_server(self, name, port, **changes):
        changes = {"zone": "a" if name.endswith("1") else "b", **changes}
        super().register_server(name, port, **changes)

    async def cordon(self, data_centre="a"):
        self.store.put(KIND, data_centre, {})
        await self.wait_until_cordoned(data_centre)

    async def wait_until_cordoned(self, *data_centres):
        known = self.gateway.cluster_state.cordons
        await self.wait_until(
            lambda: known.list_cordoned(self.now()) == {*data_centres}
        )

    @staticmethod
    def now():
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def list_reached_since(self, marks):
        """Returns the servers that were called since `marks` was taken."""
        return {
            name
            for name, server in self.servers.items()
            if len(server.arrivals) > marks[name]
        }

    def take_marks(self):
        return {
            name: len(server.arrivals) for name, server in self.servers.items()
        }


class CordonTest(CordonTestCase):
    """One entry, whose store tells it of the cordon."""

    async def test_cordoned_data_centre_gets_nothing_until_it_is_taken_back(
        self,
    ):
        async with self.run_all(SERVERS):
            await self.check_stream()
            await self.cordon()
            marks = self.take_marks()
            for _ in range(sessions.REQUESTS):
                await self.read()
                await self.check_stream()
            self.assertEqual(
                {"plain2", "model2", "first2"}, self.list_reached_since(marks)
            )
            self.store.remove(KIND, "a")
            await self.wait_until_cordoned()
            await self.read_until_reached("plain1")

    async def test_running_work_in_a_cordoned_data_centre_goes_on(self):
        async with self.run_all(SERVERS):
            self.store.put(KIND, "b", {})
            await self.wait_until_cordoned("b")
            self.servers["model1"].event_seconds = 0.2
            async with base.open_group() as group:
                await group.spawn(self.check_stream)
                await self.wait_until(
                    lambda: self.servers["model1"].seen_headers
                )
                self.store.put(KIND, "a", {})
                self.store.remove(KIND, "b")
                await self.wait_until_cordoned("a")
            self.assertEqual(1, len(self.servers["model1"].seen_headers))
            self.assertEqual([], self.servers["model2"].seen_headers)

    async def test_stream_that_breaks_goes_on_in_another_data_centre(self):
        async with self.run_all(SERVERS):
            self.store.put(KIND, "b", {})
            await self.wait_until_cordoned("b")
            model = self.servers["model1"]
            model.event_seconds = 0.2
            model.faults = ["cut"]
            async with base.open_group() as group:
                await group.spawn(self.check_stream)
                await self.wait_until(lambda: model.seen_headers)
                self.store.put(KIND, "a", {})
                self.store.remove(KIND, "b")
                await self.wait_until_cordoned("a")
            paths = [arrival.path for arrival in model.arrivals]
            self.assertEqual(["/report", "/write/x"], paths)
            self.assertEqual(1, len(self.servers["model2"].seen_headers))

    async def test_queued_items_move_to_another_data_centre(self):
        async with self.run_all(SERVERS):
            first, other = self.servers["first1"], self.servers["first2"]
            self.store.put(KIND, "b", {})
            await self.wait_until_cordoned("b")
            manifest = sessions.build_manifest(2)
            manifest["services"][-1]["segments"]["call_ms"] = 300.0
            manifest["routes"][-1]["ttft_target_ms"] = 3000
            self.store.put("config", "main", manifest)
            known = self.gateway.cluster_state
            await self.wait_until(lambda: known.table.version == 2)
            # The call is not overdue before it ends.
            first.call_seconds = 0.9
            async with base.open_group() as group:
                await group.spawn(self.check_stream)
                await self.wait_until(lambda: first.arrivals)
                await group.spawn(self.check_stream)
                await curio.sleep(QUEUED_SECONDS)
                self.store.put(KIND, "a", {})
                self.store.remove(KIND, "b")
                await self.wait_until_cordoned("a")
                marks = self.take_marks()
                ordered_at = time.monotonic()
                await self.wait_until(lambda: other.items)
                moved_in = time.monotonic() - ordered_at
            self.assertLess(moved_in, first.call_seconds / 2)
            self.assertNotIn("first1", self.list_reached_since(marks))

    async def test_callers_are_refused_as_not_run_if_all_is_cordoned(self):
        async with self.run_all(SERVERS):
            for data_centre in ("a", "b"):
                self.store.put(KIND, data_centre, {})
            await self.wait_until_cordoned("a", "b")
            for call in (lambda: self.call("/once/x"), self.write):
                status, headers, _ = await call()
                self.assertEqual(503, status)
                self.assertGreater(float(headers["retry-after"]), 0)

    async def test_cordon_survives_a_store_that_is_back_from_a_copy(self):
        async with self.run_all(SERVERS):
            copy = self.store.take_copy()
            await self.cordon()
            self.store.restore_copy(copy)
            era = self.store.era
            await self.wait_until(
                lambda: self.gateway.cluster_watch.eras.newest == era
            )
            self.store.put(KIND, "a", {})
            marks = self.take_marks()
            for _ in range(sessions.REQUESTS):
                await self.read()
                await curio.sleep(0.2)
            self.assertEqual({"plain2"}, self.list_reached_since(marks))

    async def test_entry_that_has_not_learned_the_cordons_is_not_ready(self):
        async with self.run_all(SERVERS):
            self.gateway.cluster_state.cordons._known = False
            self.assertFalse(self.gateway.is_ready())
            status, *_ = await self.call("/read/x")
            self.assertEqual(503, status)


class ToldCordonTest(CordonTestCase):
    """Two entries; the second one learns nothing from the store."""

    async def test_entry_cut_off_from_the_store_is_told_by_the_other(self):
        async with self.run_all(SERVERS), self.run_second_entry() as port:
            watch = self.second.cluster_watch.cordon_watch
            watch._adopt_watched = lambda names: None
            await self.cordon()
            await curio.sleep(TOLD_SECONDS)
            marks = self.take_marks()
            for _ in range(sessions.REQUESTS):
                status, *_ = await self.call("/read/x", port=port)
                self.assertEqual(200, status)
            self.assertEqual({"plain2"}, self.list_reached_since(marks))


class NotConfiguredTest(sessions.SessionTestCase):
    """The settings state no bound for cordons."""

    async def test_cordons_are_neither_read_nor_applied(self):
        async with self.run_all():
            self.store.put(KIND, "a", {})
            await curio.sleep(0.3)
            await self.read()
            self.assertIsNone(self.gateway.cluster_watch.cordon_watch.watcher)
