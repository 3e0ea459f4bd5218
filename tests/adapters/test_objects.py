"""Tests of adapters.objects against a server with fixed answers."""

import json
from unittest import mock

import curio

from samphirevale import errors
from samphirevale.adapters import clock, objects, web, web_client, web_server
from tests import base

OBJECT = {"kind": "k", "name": "a/b", "version": 3, "value": {"x": 1}}


# A value that is nested too deeply for a parser.
DEEP = b"[" * 99_999 + b"]" * 99_999

# What another writer may leave in place of an object.
ODD_ITEMS = (
    b'{"kind":"k","name":"odd","version":3,"value":%s}' % (b"9" * 5000),
    b'{"kind":"k","name":"odd","version":3,"value":%s}' % DEEP,
    b'{"kind":"k","name":"odd","version":3,"value":"\xff"}',
    b'{"kind":"k","name":7,"version":3,"value":1}',
    b'{"kind":"k","name":"\\ud800","version":3,"value":1}',
    b'{"kind":"k","name":"odd","version":"3","value":1}',
    b'{"kind":"k","name":"odd","version":3}',
    b"[]",
    b"null",
)


class HttpObjectStoreTest(base.TestCase):
    """Results and errors for the store's answers and broken connections."""

    async def start(self, answer):
        self.requests = []

        async def handle(request):
            self.requests.append(request)
            return answer

        port = base.find_free_port()
        server = await curio.spawn(web_server.serve, handle, "127.0.0.1", port)
        self.store = objects.HttpObjectStore(f"http://127.0.0.1:{port}")
        await curio.sleep(0.05)
        return server

    async def check_error(self, response, expected, call):
        server = await self.start(response)
        with self.assertRaises(expected) as caught:
            await call()
        await server.cancel()
        return caught.exception

    async def test_each_read_opens_a_connection(self):
        """What a store writes behind an answer is not that of the next call."""
        server = await self.start(web.build_json(200, OBJECT))
        opened = mock.patch.object(
            web_client, "open_connection", wraps=web_client.open_connection
        )
        with opened as open_connection:
            for number in range(1, 4):
                found = await self.store.get("k", "a/b")
                self.assertEqual(number, open_connection.call_count)
        self.assertEqual(found.value, {"x": 1})
        await server.cancel()

    async def test_a_write_carries_its_condition(self):
        server = await self.start(web.build_json(200, OBJECT))
        await self.store.update("k", "a/b", {"x": 1}, 2)
        self.assertEqual(self.requests[0].headers["if-match"], "2")
        await server.cancel()

    async def test_refusals(self):
        for status, expected in (
            (503, errors.StoreUnavailableError),
            (429, errors.StoreUnavailableError),
            (412, errors.StoreConflictError),
            (500, errors.StoreUnknownError),
            (400, errors.StoreError),
        ):
            response = web.build_json(status, {}, ("Retry-After", "1.5"))
            error = await self.check_error(
                response, expected, lambda: self.store.create("k", "n", 1)
            )
            if expected is errors.StoreUnavailableError:
                self.assertEqual(error.retry_after_seconds, 1.5)

    async def list_beside(self, template, odd, call):
        """Calls a store whose answer has an odd item between two sound ones."""
        sound = [OBJECT | {"name": name} for name in ("a", "b")]
        first, second = (json.dumps(item).encode() for item in sound)
        body = template % b",".join([first, odd, second])
        server = await self.start(web.Response(200, body))
        found = await call()
        await server.cancel()
        return [item.name for item in found]

    async def test_list_holds_all_but_the_object_that_cannot_be_read(self):
        for odd in ODD_ITEMS:
            with self.subTest(odd[:60]):
                names = await self.list_beside(
                    b'{"objects":[%s],"version":3}',
                    odd,
                    lambda: self.store.list_kind("k"),
                )
                self.assertEqual(["a", "b"], names)

    async def test_watch_goes_on_beside_an_object_that_cannot_be_read(self):
        async def watch():
            events = await self.store.watch("k", 2, 0.1)
            self.assertEqual(7, events.version)
            return events.objects

        for odd in ODD_ITEMS:
            with self.subTest(odd[:60]):
                template = b'{"objects":[%s],"version":7}'
                names = await self.list_beside(template, odd, watch)
                self.assertEqual(["a", "b"], names)

    async def test_instances_are_listed_beside_one_that_cannot_be_read(self):
        instance = {
            "name": "a",
            "host": "127.0.0.1",
            "peer_port": 7,
            "state": "live",
        }
        odd_values = [{"peer_port": 70000}, {"peer_port": "7"}, {"host": 1}]
        odd_values += [{"host": "a b"}, {"name": None}, {"state": []}]
        items = [json.dumps(instance | odd).encode() for odd in odd_values]
        sound = json.dumps(instance).encode()
        for odd in (*items, DEEP, b"null"):
            with self.subTest(odd[:60]):
                body = b'{"instances":[%s,%s]}' % (odd, sound)
                server = await self.start(web.Response(200, body))
                (listed,) = await self.store.list_instances()
                await server.cancel()
                self.assertEqual(7, listed.peer_port)

    async def test_answer_without_objects_is_no_answer(self):
        for body in (b"[]", b'{"objects":{}}', b'{"version":3}', b"9" * 5000):
            with self.subTest(body[:60]):
                for call in (
                    lambda: self.store.list_kind("k"),
                    lambda: self.store.watch("k", 2, 0.1),
                    lambda: self.store.get("k", "a"),
                    lambda: self.store.list_instances(),
                ):
                    await self.check_error(
                        web.Response(200, body),
                        errors.StoreUnavailableError,
                        call,
                    )

    async def test_a_watch_from_an_expired_version(self):
        await self.check_error(
            web.build_json(410, {}),
            errors.StoreWatchExpiredError,
            lambda: self.store.watch("k", 1, 0.1),
        )

    async def test_no_server_is_unavailable(self):
        port = base.find_free_port()
        store = objects.HttpObjectStore(f"http://127.0.0.1:{port}")
        with self.assertRaises(errors.StoreUnavailableError):
            await store.create("k", "n", 1)

    async def test_a_write_on_a_connection_that_breaks_is_unknown(self):
        async def close_unanswered(client, _):
            await client.recv(100)

        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, close_unanswered
        )
        await curio.sleep(0.05)
        store = objects.HttpObjectStore(f"http://127.0.0.1:{port}")
        with self.assertRaises(errors.StoreUnknownError):
            await store.create("k", "n", 1)
        with self.assertRaises(errors.StoreUnavailableError):
            await store.get("k", "n")
        await server.cancel()

    async def test_an_outer_timeout_ends_hanging_calls(self):
        async def hang(_):
            await curio.sleep(100)

        port = base.find_free_port()
        server = await curio.spawn(web_server.serve, hang, "127.0.0.1", port)
        await curio.sleep(0.05)
        store = objects.HttpObjectStore(f"http://127.0.0.1:{port}")
        monotonic = clock.MonotonicClock()
        with self.assertRaises(TimeoutError):
            async with monotonic.timeout(0.1):
                await store.create("k", "n", 1)
        with self.assertRaises(TimeoutError):
            async with monotonic.timeout(0.1):
                await store.get("k", "n")
        await server.cancel()
