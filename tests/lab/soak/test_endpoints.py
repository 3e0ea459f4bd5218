"""Tests of endpoints that end and start again as real processes do."""

import contextlib
import json

import curio

from lab.soak import endpoints, records
from samphirevale import errors
from samphirevale.adapters import web, web_client
from standins import metadata_store, servers
from tests import base
from tests.platform import sessions

DOWN_SECONDS = 0.6
REGISTER_SECONDS = 0.6

# The number of starts whose reports are drawn.
STARTS = 200

# The times of what is seen are this exact, in seconds.
SLACK_SECONDS = 0.01


class EndpointsTest(base.TestCase):
    """One endpoint and the store, in this process."""

    @contextlib.asynccontextmanager
    async def run_endpoint(self, **settings):
        self.store = metadata_store.MetadataStore()
        async with contextlib.AsyncExitStack() as stack:
            store_port = await sessions.serve(stack, self.store.handle)
            self.host = endpoints.HostProgram(
                endpoints.Settings(0, store_port, 3, 0.25, **settings)
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
        """Reads until the stream ends or breaks; returns status and text."""
        self.events = b""
        status = 0
        headers = (
            ("Samphirevale-Attempt-Id", "a1"),
            ("Samphirevale-Prefix-Hash", "p:1"),
            ("Samphirevale-Expect-Instance", "e1"),
        )
        with contextlib.suppress(errors.AnswerLostError):
            async with web_client.connect("127.0.0.1", self.port) as connection:
                answer = await connection.request("POST", "/x", b"", headers)
                status = answer.status
                async with contextlib.aclosing(answer.read_parts()) as parts:
                    async for part in parts:
                        self.events += part
        return status, self.events.decode()

    async def read_when_back(self):
        """Reads a stream as soon as the port is open again."""
        while True:
            with contextlib.suppress(errors.ConnectRefusedError):
                return await self.read_stream()
            await curio.sleep(0.01)

    async def test_restart_breaks_streams_and_is_registered_late(self):
        async with self.run_endpoint():
            reader = await curio.spawn(self.read_stream)
            while not getattr(self, "events", b""):
                await curio.sleep(0.01)
            await self.restart("")
            broken = await reader.join()
            self.assertEqual((200, "id: 1\ndata: e1 v1\n\n"), broken)
            with self.assertRaises(errors.ConnectRefusedError):
                while True:
                    # It may still be accepted, and is broken.
                    status, _ = await self.read_stream()
                    self.assertEqual(0, status)
            self.assertEqual("v1", self.read_registration("e1")["version"])
            _, text = await self.read_when_back()
            self.assertIn("e3 v2", text)
            self.assertEqual("v2", self.read_registration("e1")["version"])
            seen = await self.call("GET", "/seen")
            first, second = [records.Start(*s) for s in seen["starts"]]
            self.assertEqual(("e1", 1, "v1"), first[1:4])
            self.assertEqual(("e1", 2, "v2"), second[1:4])
            pause = second.began_at - first.ended_at
            self.assertGreater(pause, DOWN_SECONDS - SLACK_SECONDS)
            delay = second.registered_at - second.began_at
            self.assertGreater(delay, REGISTER_SECONDS - SLACK_SECONDS)
            runs = [records.Run(*run) for run in seen["runs"]]
            self.assertEqual(
                [("a1", 0), ("a1", 1)],
                [(run.attempt, run.start) for run in runs],
            )

    async def list_report_faults(self, **settings):
        """Returns what is wrong with the reports of each of many starts."""
        async with self.run_endpoint(**settings):
            return [
                self.host._build_lifetime("e", 1, "v1")._server.report_fault
                for _ in range(STARTS)
            ]

    async def test_share_of_starts_has_wrong_reports(self):
        found = await self.list_report_faults()
        self.assertEqual({""}, {*found})
        found = await self.list_report_faults(
            wrong_reports=0.5, report_fault="cut"
        )
        self.assertEqual({"", "cut"}, {*found})
        found = await self.list_report_faults(wrong_reports=1.0)
        self.assertEqual(servers.REPORT_FAULTS.keys(), {*found})

    async def test_former_registration_stays_until_the_new_one(self):
        async with self.run_endpoint():
            await self.restart("e2")
            while True:
                names = self.store.list_names("servers")
                if names != ["e1"]:
                    break
                with contextlib.suppress(errors.ConnectRefusedError):
                    # It is broken, or answered by another id.
                    self.assertIn((await self.read_stream())[0], (0, 421))
                await curio.sleep(0.01)
            while names != ["e2"]:
                await curio.sleep(0.01)
                names = self.store.list_names("servers")

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

    async def test_stream_with_a_fault(self):
        statuses = set()
        async with self.run_endpoint(faults=1.0):
            while statuses != {200, 503}:
                status, text = await self.read_stream()
                statuses.add(status)
                self.assertEqual(status == 503, not text)
