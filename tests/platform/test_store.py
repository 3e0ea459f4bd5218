"""Tests of the client of the platform's store: eras, conditional writes."""

import contextlib

import curio

from samphirevale import errors
from samphirevale.adapters import web_server
from samphirevale.platform import store
from samphirevale.ports import objects
from standins import metadata_store
from tests import base


class StoreTestCase(base.TestCase):
    """Runs a store over a loopback socket."""

    @contextlib.asynccontextmanager
    async def run_store(self):
        self.store = metadata_store.MetadataStore()
        self.returns_after_each_answer = False
        port = base.find_free_port()
        task = await curio.spawn(
            web_server.serve, self.handle, "127.0.0.1", port, daemon=True
        )
        await curio.sleep(0.05)
        self.client = store.PlatformStore(f"http://127.0.0.1:{port}")
        yield
        await task.cancel()

    async def handle(self, request):
        response = await self.store.handle(request)
        if self.returns_after_each_answer:
            self.store.restore_copy(self.store.take_copy())
        return response


class WriteTest(StoreTestCase):
    """Tests writes on condition of a version."""

    async def test_an_object_is_replaced_only_at_its_version(self):
        async with self.run_store():
            replace = self.client.replace_version
            first = await replace("k", "name", 1, None)
            second = await replace("k", "name", 2, first)
            for version in (None, first, second + 1):
                with self.assertRaises(errors.StoreConflictError):
                    await replace("k", "name", 3, version)
            with self.assertRaises(errors.StoreConflictError):
                await replace("k", "missing", 3, second)
            (stored,) = (await self.client.list_at("k")).objects
            self.assertEqual((2, second), (stored.value, stored.version))


class OddObjectTest(StoreTestCase):
    """Tests answers with objects that another writer has left."""

    # What no parser takes.
    odd = metadata_store.RawText(b"9" * 5000)

    async def test_list_holds_all_others(self):
        async with self.run_store():
            for name in ("a", "b", "c", "d"):
                self.store.put("k", name, {"x": name})
            self.store.put("k", "b", self.odd)
            listed = (await self.client.list_at("k")).objects
            self.assertEqual(
                [
                    ("a", {"x": "a"}),
                    ("b", objects.UNREADABLE),
                    ("c", {"x": "c"}),
                    ("d", {"x": "d"}),
                ],
                [(stored.name, stored.value) for stored in listed],
            )

    async def test_list_goes_on_after_names_that_are_no_names(self):
        async with self.run_store():
            for name in ("a", "b\ud800", "c", "d\n", "e"):
                self.store.put("k", name, 1)
            listed = (await self.client.list_at("k")).objects
            self.assertEqual(
                ["a", "c", "e"], [stored.name for stored in listed]
            )

    async def test_page_without_a_name_is_no_end_of_the_list(self):
        async with self.run_store():
            for name in ("a", "b", "c", "d", "e"):
                self.store.put("k", name, 1)
            for name in ("c", "d"):
                self.store.change_metadata("k", name, self.odd)
            with self.assertRaises(errors.StoreUnavailableError):
                await self.client.list_at("k")

    async def test_watch_tells_that_an_object_has_become_unreadable(self):
        async with self.run_store():
            version = (await self.client.list_at("k")).version
            self.store.put("k", "a", self.odd)
            self.store.put("k", "b", 1)
            self.store.remove("k", "a")
            events = await self.client.watch("k", version, 0)
            self.assertEqual(
                [("a", objects.UNREADABLE), ("b", 1), ("a", None)],
                [(stored.name, stored.value) for stored in events.objects],
            )

    async def test_change_of_an_unknown_object_asks_for_a_list(self):
        async with self.run_store():
            self.store.put("k", "a", 1)
            version = (await self.client.list_at("k")).version
            self.store.put("k", "b", 1)
            self.store.change_metadata("k", "b", self.odd)
            with self.assertRaises(errors.StoreWatchExpiredError):
                await self.client.watch("k", version, 0)

    async def test_object_without_a_value_is_not_deleted(self):
        async with self.run_store():
            version = (await self.client.list_at("k")).version
            self.store.put("k", "a", None)
            (stored,) = (await self.client.watch("k", version, 0)).objects
            self.assertIsNotNone(stored.value)


class EraTest(StoreTestCase):
    """Tests the era in answers of a store."""

    async def test_answers_state_the_era(self):
        async with self.run_store():
            listing = await self.client.list_at("k")
            self.assertEqual(1, listing.era)
            self.store.restore_copy(self.store.take_copy())
            events = await self.client.watch("k", listing.version, 0)
            self.assertEqual(2, events.era)
            self.assertEqual(2, await self.client.replace("k", "new", 1))
            self.assertEqual(2, await self.client.replace("k", "new", 2))

    async def test_malformed_era_is_none_logged_and_counted(self):
        texts = ("odd", "-1", "1.5", "1 2", "9" * 30)
        async with self.run_store():
            for text in texts:
                self.store.era_header = text
                counted = base.read_counter("store_eras_malformed")
                with self.assertLogs(level="WARNING"):
                    listing = await self.client.list_at("k")
                self.assertIsNone(listing.era)
                self.assertEqual(
                    counted + 1, base.read_counter("store_eras_malformed")
                )

    async def test_malformed_era_is_logged_once_in_a_while(self):
        async with self.run_store():
            self.store.era_header = "odd"
            counted = base.read_counter("store_eras_malformed")
            with self.assertLogs(level="WARNING") as logged:
                for _ in range(20):
                    await self.client.list_at("k")
            self.assertEqual(1, len(logged.records))
            self.assertEqual(
                counted + 20, base.read_counter("store_eras_malformed")
            )

    async def test_store_without_eras_states_none(self):
        async with self.run_store():
            self.store.era_header = ""
            self.assertIsNone((await self.client.list_at("k")).era)
            self.assertIsNone(await self.client.replace("k", "new", 1))

    async def test_pages_of_two_eras_are_no_list(self):
        async with self.run_store():
            for number in range(metadata_store.PAGE_SIZE + 1):
                self.store.put("k", f"o{number}", number)
            self.returns_after_each_answer = True
            with self.assertRaises(errors.StoreUnavailableError):
                await self.client.list_at("k")
