"""Tests of endpoints that end and start again as real processes do."""

import contextlib
import json
import time

import curio

from lab.soak import endpoints
from samphirevale import errors
from samphirevale.adapters import web, web_client
from standins import metadata_store
from tests import base
from tests.platform import sessions

DOWN_SECONDS = 0.2
REGISTER_SECONDS = 0.3


class EndpointsTest(base.TestCase):
    """One endpoint and the store, in this process."""

    @contextlib.asynccontextmanager
    async def run_endpoint(self, **settings):
        self.store = metadata_store.MetadataStore()
        async with contextlib.AsyncExitStack() as stack:
            store_port = await sessions.serve(stack, self.store.handle)
            self.host = endpoints.HostProgram(
                endpoints.Settings(0, store_port, 3, 0.3, **settings)
            )
            value = {"name": "e1", "service": "model", "version": "v1"}
            await self.call("POST", "/start", value)
            self.port = int(self.read_registration("e1")["address"][10:])
            yield

    async def call(self, method, path, value=None):
        body = json.dumps(value).encode()
        request = web.Request(method, path, {}, {}, body)
        response = await self.host.handle(request)
        self.assertEqual(200, response.status)
        return json.loads(response.body)

    async def restart(self, name):
        value = {
            "place": 0,
            "name": name,
            "version": "v2",
            "down_seconds": DOWN_SECONDS,
            "register_seconds": REGISTER_SECONDS,
        }
        await self.call("POST", "/restart", value)

    def read_registration(self, name):
        return self.store.read("servers", name)

    async def read_stream(self):
        """Returns the events that come before the stream ends or breaks."""
        data = b""
        headers = (
            ("Samphirevale-Attempt-Id", "a1"),
            ("Samphirevale-Prefix-Hash", "p:1"),
            ("Samphirevale-Expect-Instance", "e1"),
        )
        with contextlib.suppress(errors.AnswerLostError):
            async with web_client.connect("127.0.0.1", self.port) as connection:
                answer = await connection.request("POST", "/x", b"", headers)
                data = str(answer.status).encode()
                async with contextlib.aclosing(answer.read_parts()) as parts:
                    async for part in parts:
                        data += part
        return data.decode()

    async def test_restart_breaks_streams_and_is_registered_late(self):
        async with self.run_endpoint():
            reader = await curio.spawn(self.read_stream)
            await curio.sleep(0.4)
            began_at = time.monotonic()
            await self.restart("")
            self.assertEqual("200id: 1\ndata: e1 v1\n\n", await reader.join())
            self.assertLess(time.monotonic() - began_at, DOWN_SECONDS)
            with self.assertRaises(errors.ConnectRefusedError):
                await self.read_stream()
            await curio.sleep(DOWN_SECONDS + 0.1)
            self.assertIn("e3 v2", await self.read_stream())
            self.assertEqual("v2", self.read_registration("e1")["version"])
            seen = await self.call("GET", "/seen")
            first, second = seen["starts"]
            self.assertEqual(["e1", 1, "v1"], first[1:4])
            self.assertEqual(["e1", 2, "v2"], second[1:4])
            self.assertLess(first[6] + DOWN_SECONDS, second[4] + 0.01)
            self.assertLess(second[4] + REGISTER_SECONDS, second[5] + 0.01)
            self.assertEqual(
                [["a1", 0], ["a1", 1]],
                [[run[0], run[4]] for run in seen["runs"]],
            )

    async def test_former_registration_stays_until_the_new_one(self):
        async with self.run_endpoint():
            await self.restart("e2")
            await curio.sleep(DOWN_SECONDS + 0.1)
            self.assertEqual(["e1"], self.store.list_names("servers"))
            self.assertEqual("421", await self.read_stream())
            await curio.sleep(REGISTER_SECONDS + 0.1)
            self.assertEqual(["e2"], self.store.list_names("servers"))

    async def test_report_behind_which_the_connection_is_closed(self):
        for closing in (0.0, 1.0):
            async with (
                self.run_endpoint(closing=closing),
                web_client.connect("127.0.0.1", self.port) as connection,
            ):
                answer = await connection.request("GET", "/report")
                report = json.loads(await answer.read_body())
                self.assertEqual(1, report["born"])
                self.assertEqual(not closing, connection.is_reusable())
