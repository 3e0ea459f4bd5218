"""Tests of the test double of the users' platform store."""

import json

import curio

from samphirevale.adapters import web
from standins import metadata_store, programs
from tests import base


class MetadataStoreTest(base.TestCase):
    """Tests the era of the store and what a restored copy changes."""

    def setUp(self):
        self.store = metadata_store.MetadataStore()

    async def call(self, method, path, value=None, **query):
        body = b"" if value is None else json.dumps(value).encode()
        return await self.store.handle(
            web.Request(method, path, query, {}, body)
        )

    async def watch(self, since, wait_ms=0):
        response = await self.call(
            "GET", "/objects/k", watch=str(since), wait_ms=str(wait_ms)
        )
        if response.status != 200:
            return response.status
        events = json.loads(response.body)["events"]
        return [event["object"]["spec"] for event in events]

    async def list_eras(self):
        """Returns the values of the header in answers of each kind."""
        body = {"metadata": {"name": "a"}, "spec": 1}
        answers = [
            await self.call("GET", "/objects/k"),
            await self.call("GET", "/objects/k", watch="0", wait_ms="0"),
            await self.call("GET", "/objects/k", watch="1", wait_ms="0"),
            await self.call("POST", "/objects/k", body),
            await self.call("POST", "/objects/k", body),
            await self.call("DELETE", "/objects/k/a"),
            await self.call("DELETE", "/objects/k/a"),
        ]
        statuses = [answer.status for answer in answers]
        self.assertEqual([200, 410, 200, 200, 409, 200, 404], statuses)
        self.store.refusal_status = 503
        answers.append(await self.call("GET", "/objects/k"))
        self.store.refusal_status = 0
        return [dict(answer.headers).get("Store-Era") for answer in answers]

    async def test_all_answers_state_the_era(self):
        self.assertEqual(["1"] * 8, await self.list_eras())

    async def test_era_header_is_malformed_or_missing_on_demand(self):
        self.store.era_header = "odd"
        self.assertEqual(["odd"] * 8, await self.list_eras())
        self.store.era_header = ""
        self.assertEqual([None] * 8, await self.list_eras())

    async def test_restored_copy_gives_revisions_out_again(self):
        self.store.put("k", "a", "old")
        copy = self.store.take_copy()
        for name in "abc":
            self.store.put("k", name, "lost")
        self.store.restore_copy(copy)
        listing = await self.call("GET", "/objects/k")
        value = json.loads(listing.body)
        self.assertEqual(2, value["at"])
        self.assertEqual(["old"], [item["spec"] for item in value["items"]])
        self.assertEqual("2", dict(listing.headers)["Store-Era"])
        self.assertEqual([], await self.watch(2))
        self.assertEqual([410, 410], [await self.watch(n) for n in (3, 5)])
        self.store.put("k", "d", "new")
        self.assertEqual([], await self.watch(3))
        self.assertEqual(["new"], await self.watch(2))

    async def test_copy_is_restored_more_than_once(self):
        copy = self.store.take_copy()
        for era in (2, 3):
            self.store.put("k", "a", era)
            self.store.restore_copy(copy)
            self.assertEqual([], self.store.list_names("k"))
            self.assertEqual(era, self.store.era)

    async def test_waiting_watch_is_cut_when_copy_is_restored(self):
        copy = self.store.take_copy()
        watch = await curio.spawn(self.watch, 1, 5000)
        await curio.sleep(0.03)
        self.store.restore_copy(copy)
        with self.assertRaises(curio.TaskError) as raised:
            await watch.join()
        self.assertIsInstance(
            raised.exception.__cause__, programs.AnswerDroppedError
        )

    async def test_calls_and_waiting_watches_fail_while_store_is_away(self):
        copy = self.store.take_copy()
        watch = await curio.spawn(self.watch, 1, 5000)
        await curio.sleep(0.03)
        self.store.away = True
        with self.assertRaises(curio.TaskError):
            await watch.join()
        with self.assertRaises(programs.AnswerDroppedError):
            await self.call("GET", "/objects/k")
        self.store.restore_copy(copy)
        answer = await self.call("GET", "/objects/k")
        self.assertEqual(200, answer.status)
