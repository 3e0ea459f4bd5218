"""Tests of a proxying entry with the platform's test doubles over sockets."""

import contextlib

import curio

from samphirevale import (
    gateway,
    gateway_settings,
    journal,
    log_schema,
    retry_budgets,
    routes_freshness,
)
from samphirevale.adapters import clock, web, web_client
from samphirevale.platform import __main__ as program
from samphirevale.platform import node_file
from standins import metadata_store, servers
from tests import base

# Timeout of waits, in seconds.
TIMEOUT_SECONDS = 5.0

# The entry's memory in its settings. A fifth of it holds ten of the largest
# request bodies.
MEMORY_BYTES = 500_000

STREAM = b"".join(b"id: %d\ndata: e%d\n\n" % (i, i) for i in range(1, 6))


def build_manifest(version=1, keys=("k1",), **changes):
    """Returns a manifest with a route of each kind."""

    def build_route(path, kind, service, **fields):
        return {
            "name": path,
            "host": "h.example",
            "path_prefix": path,
            "kind": kind,
            "timeout_ms": 3000,
            "ttft_target_ms": 1000,
            "priority": 0,
            "service": service,
            "max_attempts": 2,
            "anonymous": False,
            **fields,
        }

    stage = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 10.0,
        "item_ms": 1.0,
        "headroom_mb": 1.0,
        "handle_ttl_s": 4.0,
        "link_mbps": 1000,
    }
    return {
        "version": version,
        "routes": [
            build_route("/read/", "idempotent", "plain", ttft_target_ms=200),
            build_route("/once/", "non_idempotent", "plain"),
            build_route(
                "/write/",
                "streaming",
                "model",
                resumable=True,
                phases=[
                    {"service": "first", "after": [], "length": 1000},
                    {"service": "first", "after": [0], "length": 1000},
                ],
            ),
        ],
        "services": [
            {"name": "plain", "max_connections": 10},
            {"name": "model", "max_connections": 10, "backend": {"slots": 4}},
            {"name": "first", "max_connections": 10, "segments": stage},
        ],
        "limits": {"max_body_bytes": 10000},
        "tenants": [{"name": "acme", "api_keys": list(keys)}],
        **changes,
    }


class SessionTest(base.TestCase):
    """One entry, one or two servers per service, and the store."""

    @contextlib.asynccontextmanager
    async def run_all(self):
        """Runs the store, the servers and the entry during the block."""
        self.store = metadata_store.MetadataStore()
        self.servers = {
            name: servers.Server(name)
            for name in ("plain1", "plain2", "model1", "model2", "first1")
        }
        async with contextlib.AsyncExitStack() as stack:
            for name, server in self.servers.items():
                port = await self.serve(stack, server.handle)
                self.register_server(name, port)
            self.store.put("config", "main", build_manifest())
            store_port = await self.serve(stack, self.store.handle)
            self.gateway = self.build_gateway(store_port)
            task = await curio.spawn(gateway.run, self.gateway)
            stack.push_async_callback(task.cancel)
            await self.wait_until(self.gateway.is_ready)
            self.task = task
            yield
        self.assertEqual([], self.log.faults)

    async def serve(self, stack, handle):
        port = base.find_free_port()
        task = await curio.spawn(
            web.serve, handle, "127.0.0.1", port, daemon=True
        )
        stack.push_async_callback(task.cancel)
        return port

    def register_server(self, name, port, **changes):
        self.store.put(
            "servers",
            name,
            {
                "service": name[:-1],
                "address": f"127.0.0.1:{port}",
                "zone": "a",
                "version": self.servers[name].version,
                "slots": 4,
                "state": "ready",
                "sequence": 1,
                "born": 1,
                **changes,
            },
        )

    def build_gateway(self, store_port):
        self.port = base.find_free_port()
        settings = gateway_settings.GatewaySettings(
            "entry1",
            "a",
            "127.0.0.1",
            self.port,
            "127.0.0.1",
            base.find_free_port(),
            "127.0.0.1",
            base.find_free_port(),
            base.find_free_port(),
            4100,
            MEMORY_BYTES,
            5.0,
            3.0,
            2.0,
            8.0,
            retry_budgets.RetryBudgetLimits(0.2, 50, 10.0),
        )
        file = node_file.NodeFile(settings, f"http://127.0.0.1:{store_port}")
        machine_clock = clock.BootClock()
        self.log = RecordingJournal(
            "entry1", machine_clock.now, NullDescriptor.open()
        )
        return gateway.Gateway(
            settings,
            program.build_platform_adapters(file),
            machine_clock,
            self.log,
        )

    async def wait_until(self, condition):
        async with curio.timeout_after(TIMEOUT_SECONDS):
            while not condition():
                await curio.sleep(0.01)

    async def call(self, path, body=b"", key="k1", **extra_headers):
        """Sends a request and returns status, headers and body."""
        headers = {
            "Samphirevale-Attempt-Id": "a1",
            "Samphirevale-Deadline-Ms": "3000",
            "Samphirevale-Key": key,
            **extra_headers,
        }
        async with web_client.connect("127.0.0.1", self.port) as connection:
            answer = await connection.request(
                "POST", path, body, tuple(headers.items()), "h.example"
            )
            return answer.status, answer.headers, await answer.read_body()

    async def write(self, **extra_headers):
        return await self.call(
            "/write/x",
            **{
                "Samphirevale-Prefix-Hash": "p:10,q:5",
                "Samphirevale-Chunk-Count": "2,1",
                "Samphirevale-Chunk-Key": "ck",
                **extra_headers,
            },
        )

    def list_received_headers(self, service):
        return [
            headers
            for name, server in self.servers.items()
            if name.startswith(service)
            for headers in server.seen_headers
        ]

    async def test_a_plain_request(self):
        async with self.run_all():
            status, headers, body = await self.call("/read/x", b"body")
            self.assertEqual((200, b"body"), (status, body))
            self.assertIn("samphirevale-response-seal", headers)
            received_headers = self.list_received_headers("plain")[0]
            self.assertEqual(
                "acme", received_headers["samphirevale-tenant-name"]
            )
            self.assertNotIn("samphirevale-key", received_headers)
            self.assertLessEqual(
                int(received_headers["samphirevale-deadline-ms"]), 3000
            )

    async def test_headers_set_by_the_proxy_are_not_taken_from_callers(self):
        async with self.run_all():
            await self.call(
                "/read/x",
                **{"Samphirevale-Pin-Ms": "9", "Kv-From": "x", "X-Own": "1"},
            )
            received_headers = self.list_received_headers("plain")[0]
            self.assertNotIn("samphirevale-pin-ms", received_headers)
            self.assertNotIn("kv-from", received_headers)
            self.assertEqual("1", received_headers["x-own"])

    async def test_a_stream_with_stages(self):
        async with self.run_all():
            status, _, body = await self.write()
            self.assertEqual((200, STREAM), (status, body))
            input_results = self.list_received_headers("model")[0][
                "samphirevale-input-count"
            ]
            self.assertEqual("first1/a1/1/0", input_results)
            stage = self.servers["first1"]
            self.assertEqual(
                ["first1/a1/0/0", "first1/a1/0/1"], stage.items[2]["inputs"]
            )
            await self.wait_until(lambda: len(stage.freed) == 3)

    async def test_a_broken_stream_resumes_at_another_server(self):
        async with self.run_all():
            self.servers["model1"].faults = ["cut"]
            self.servers["model2"].faults = ["", "cut"]
            bodies = [(await self.write())[2] for _ in range(3)]
            self.assertEqual([STREAM] * 3, bodies)

    async def test_an_answer_of_another_request_is_not_forwarded(self):
        async with self.run_all():
            for name in ("plain1", "plain2"):
                self.servers[name].faults = ["other"]
            status, headers, _ = await self.call("/once/x")
            self.assertEqual(502, status)
            self.assertNotIn("samphirevale-response-seal", headers)

    async def test_a_request_to_a_silent_server_is_retried_elsewhere(self):
        async with self.run_all():
            self.servers["plain1"].faults = ["mute"] * 9
            for _ in range(4):
                self.assertEqual(200, (await self.call("/read/x"))[0])
            self.assertEqual([], self.servers["plain1"].seen_headers)

    async def test_a_full_server_leads_to_a_refusal_with_retry_after(self):
        async with self.run_all():
            for name in ("plain1", "plain2"):
                self.servers[name].faults = ["full"]
            status, headers, _ = await self.call("/once/x")
            self.assertEqual(503, status)
            self.assertGreater(float(headers["retry-after"]), 0)
            self.assertEqual([], self.list_received_headers("plain"))

    async def test_a_revoked_key_is_refused(self):
        async with self.run_all():
            self.store.put("config", "main", build_manifest(2, ["k2"]))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version > 1
            )
            self.assertEqual(401, (await self.call("/read/x"))[0])
            self.assertEqual(200, (await self.call("/read/x", key="k2"))[0])

    async def test_a_draining_server_gets_no_requests(self):
        async with self.run_all():
            self.register_server("plain1", 1, state="draining")
            catalogue = self.gateway.cluster_state.catalogue
            await self.wait_until(
                lambda: len(catalogue.list_accepting("plain")) == 1
            )
            for _ in range(4):
                self.assertEqual(200, (await self.call("/read/x"))[0])
            self.assertEqual([], self.servers["plain1"].seen_headers)

    async def test_lost_history_and_a_malformed_object(self):
        async with self.run_all():
            self.store.remove("servers", "plain1")
            self.store.put("servers", "odd", {"state": 7})
            self.store.drop_history()
            catalogue = self.gateway.cluster_state.catalogue
            await self.wait_until(lambda: catalogue.find("plain1") is None)
            self.assertEqual(200, (await self.call("/read/x"))[0])

    async def return_from_copy(self, copy):
        """Lets the store return from a copy; waits until that is known."""
        self.store.restore_copy(copy)
        await self.wait_for_event("store_era_changed")

    async def wait_for_event(self, event):
        await self.wait_until(lambda: event in self.log.list_events())

    async def test_store_that_lost_its_writes_brings_nothing_back(self):
        async with self.run_all():
            copy = self.store.take_copy()
            self.store.put("config", "main", build_manifest(2, ["k2"]))
            self.store.remove("servers", "plain1")
            table = self.gateway.cluster_state.catalogue
            await self.wait_until(
                lambda: (
                    table.find("plain1") is None
                    and self.gateway.cluster_state.table.version == 2
                )
            )
            await self.return_from_copy(copy)
            held = self.gateway.cluster_state.copy_guard
            await self.wait_until(lambda: held.is_held("plain1"))
            for _ in range(4):
                status = (await self.call("/read/x", key="k2"))[0]
                self.assertEqual(200, status)
            self.assertEqual([], self.servers["plain1"].seen_headers)
            self.assertEqual(401, (await self.call("/read/x"))[0])
            self.register_server("plain1", 1, slots=5)
            await self.wait_until(lambda: table.find("plain1") is not None)

    async def test_store_that_lost_an_endpoint_does_not_take_it_away(self):
        async with self.run_all():
            catalogue = self.gateway.cluster_state.catalogue
            port = catalogue.find("plain2").port
            self.store.remove("servers", "plain2")
            copy = self.store.take_copy()
            self.register_server("plain2", port, born=2)
            await self.wait_until(lambda: catalogue.find("plain2").started == 2)
            await self.return_from_copy(copy)
            # Its revision is that of plain2 in the era before.
            self.register_server("plain1", port, slots=5)
            await self.wait_until(lambda: catalogue.find("plain1").slots == 5)
            self.assertIsNotNone(catalogue.find("plain2"))
            await self.wait_until(lambda: catalogue.find("plain2") is None)

    async def test_change_with_a_revision_given_out_again_is_not_skipped(self):
        async with self.run_all():
            catalogue = self.gateway.cluster_state.catalogue
            ports = {
                name: catalogue.find(name).port for name in ("plain1", "plain2")
            }
            copy = self.store.take_copy()
            self.register_server("plain2", ports["plain2"], born=2)
            await self.wait_until(lambda: catalogue.find("plain2").started == 2)
            self.store.restore_copy(copy)
            # The watch continues after the revision that the first one gets.
            self.register_server("plain1", ports["plain1"], born=3)
            self.register_server("plain2", ports["plain2"], born=3)
            await self.wait_until(lambda: catalogue.find("plain2").started == 3)
            await self.wait_until(lambda: catalogue.find("plain1").started == 3)

    async def test_entry_registers_again_in_a_new_era(self):
        async with self.run_all():
            kind = "samphirevale-entries"
            await self.wait_until(lambda: self.store.list_names(kind))
            self.store.remove(kind, "entry1")
            copy = self.store.take_copy()
            await self.return_from_copy(copy)
            async with curio.timeout_after(2.0):
                await self.wait_until(lambda: self.store.list_names(kind))

    async def test_store_that_lost_an_entry_does_not_unregister_it(self):
        async with self.run_all():
            table = self.gateway.table
            copy = self.store.take_copy()
            self.register_entry("a1")
            await self.wait_until(lambda: table.is_registered("a1"))
            await self.return_from_copy(copy)
            self.register_entry("a2")
            await self.wait_until(lambda: table.is_registered("a2"))
            self.assertTrue(table.is_registered("a1"))

    def register_entry(self, name):
        value = {"host": "127.0.0.1", "port": 1, "token": "t"}
        self.store.put("samphirevale-entries", name, value)

    async def test_cut_off_entry_learns_a_new_era_from_another(self):
        async with self.run_all():
            self.store.away = True
            await self.gateway.cluster_watch.adopt_report(
                "other", routes_freshness.StoreKnowledge(2, 1)
            )
            await self.wait_for_event("store_era_changed")
            # The store answers once more as it was before.
            self.store.away = False
            self.store.put("config", "main", build_manifest(2))
            await curio.sleep(1.0)
            version = self.gateway.cluster_state.table.version
            self.assertEqual(1, version)
            self.store.restore_copy(self.store.take_copy())
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )

    async def test_drill_refuses_no_request(self):
        async with self.run_all():
            copy = self.store.take_copy()
            self.store.put("config", "main", build_manifest(2))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            self.store.away = True
            await curio.sleep(1.0)
            self.store.restore_copy(copy)
            statuses = set()
            for _ in range(45):
                statuses.add((await self.call("/read/x"))[0])
                await curio.sleep(0.1)
            self.assertEqual({200}, statuses)
            self.assertIn("store_era_changed", self.log.list_events())

    async def test_malformed_era_is_ignored(self):
        async with self.run_all():
            self.store.era_header = "odd"
            self.store.put("config", "main", build_manifest(2))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            self.store.era_header = "-4"
            self.store.put("config", "main", build_manifest(3))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 3
            )
            self.assertEqual(200, (await self.call("/read/x"))[0])
            self.assertNotIn("store_era_changed", self.log.list_events())

    async def test_malformed_routes_are_ignored(self):
        async with self.run_all():
            self.store.put("config", "main", {"version": 2, "routes": 7})
            await self.wait_until(
                lambda: "routes_malformed" in self.log.list_events()
            )
            self.assertEqual(200, (await self.call("/read/x"))[0])
            self.store.put("config", "main", build_manifest(3, keys=("k3",)))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 3
            )

    async def test_a_store_that_is_unreachable_at_the_start(self):
        async with contextlib.AsyncExitStack() as stack:
            store_port = base.find_free_port()
            self.gateway = self.build_gateway(store_port)
            task = await curio.spawn(gateway.run, self.gateway)
            stack.push_async_callback(task.cancel)
            await self.wait_until(
                lambda: "store_lost" in self.log.list_events()
            )
            self.assertFalse(self.gateway.is_ready())
            status, headers, body = await self.call("/read/x")
            self.assertEqual((503, b"no_routes\n"), (status, body))
            self.assertGreater(float(headers["retry-after"]), 0)
            store = metadata_store.MetadataStore()
            store.put("config", "main", build_manifest())
            serving = await curio.spawn(
                web.serve, store.handle, "127.0.0.1", store_port, daemon=True
            )
            stack.push_async_callback(serving.cancel)
            await self.wait_until(self.gateway.is_ready)
            await self.wait_until(
                lambda: store.list_names("samphirevale-entries")
            )

    async def test_input_over_the_operators_limits(self):
        async with self.run_all():
            status, headers, _ = await self.call("/read/x", bytes(10001))
            self.assertEqual((413, "close"), (status, headers["connection"]))
            long = {"X-Long": "x" * 20000}
            self.assertEqual(431, (await self.call("/read/x", **long))[0])
            self.assertEqual([], self.list_received_headers("plain"))
            self.assertEqual(200, (await self.call("/read/x"))[0])

    async def test_input_that_is_not_http_is_refused(self):
        async with self.run_all():
            async with curio.timeout_after(TIMEOUT_SECONDS):
                for text in (b"odd\r\n\r\n", b"POST / HTTP/1.1\r\n\r\n"):
                    client = await curio.open_connection("127.0.0.1", self.port)
                    await client.sendall(text)
                    self.assertIn(b" 400 ", await client.recv(1000))
                    await client.close()
            self.assertEqual(200, (await self.call("/read/x"))[0])

    async def test_an_incomplete_head_times_out(self):
        async with self.run_all():
            limits = {"max_body_bytes": 10000, "header_timeout_ms": 100}
            self.store.put("config", "main", build_manifest(2, limits=limits))
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            client = await curio.open_connection("127.0.0.1", self.port)
            async with client, curio.timeout_after(TIMEOUT_SECONDS):
                await client.sendall(b"POST /read/x HTTP/1.1\r\n")
                self.assertIn(b" 408 ", await client.recv(1000))

    async def test_connections_stay_within_the_endpoints_limit(self):
        async with self.run_all():
            self.store.remove("servers", "plain2")
            catalogue = self.gateway.cluster_state.catalogue
            await self.wait_until(lambda: catalogue.find("plain2") is None)
            plain = self.servers["plain1"]
            plain.faults += ["mute"] * 10
            waiting = [
                await curio.spawn(self.call, "/once/x") for _ in range(10)
            ]
            await self.wait_until(lambda: not plain.faults)
            status, headers, body = await self.call("/once/x")
            self.assertEqual((503, b"no_connection_left\n"), (status, body))
            self.assertIn("retry-after", headers)
            for task in waiting:
                await task.cancel()

    async def test_the_entry_is_registered(self):
        async with self.run_all():
            await self.wait_until(
                lambda: self.store.list_names("samphirevale-entries")
            )

    async def test_a_disconnected_callers_results_are_freed(self):
        async with self.run_all():
            connection = await web_client.open_connection(
                "127.0.0.1", self.port
            )
            sending = await curio.spawn(
                connection.request,
                "POST",
                "/write/x",
                b"",
                (
                    ("Samphirevale-Attempt-Id", "a1"),
                    ("Samphirevale-Key", "k1"),
                    ("Samphirevale-Prefix-Hash", "p:10,q:5"),
                    ("Samphirevale-Chunk-Count", "1,1"),
                ),
                "h.example",
            )
            await curio.sleep(0.005)
            await sending.cancel()
            await connection.close()
            await self.wait_until(
                lambda: (
                    len(self.servers["first1"].freed)
                    == len(self.servers["first1"].items)
                )
            )

    async def test_a_disconnected_callers_request_is_cancelled_at_once(self):
        async with self.run_all():
            for name in ("plain1", "plain2"):
                self.servers[name].faults.append("mute")
            sending = await curio.spawn(self.call, "/once/x")
            plain = [self.servers["plain1"], self.servers["plain2"]]
            await self.wait_until(
                lambda: sum(len(server.faults) for server in plain) == 1
            )
            await sending.cancel()
            async with curio.timeout_after(0.5):
                while self.gateway.is_busy():
                    await curio.sleep(0.01)

    async def test_not_ready_before_the_first_routes(self):
        async with contextlib.AsyncExitStack() as stack:
            store = metadata_store.MetadataStore()
            store_port = await self.serve(stack, store.handle)
            self.gateway = self.build_gateway(store_port)
            task = await curio.spawn(gateway.run, self.gateway)
            stack.push_async_callback(task.cancel)
            await self.wait_until(
                lambda: store.list_names("samphirevale-entries")
            )
            age = self.gateway.cluster_state.endpoints_age
            await self.wait_until(lambda: age.confirmed_at is not None)
            self.assertFalse(self.gateway.is_ready())
            store.put("config", "main", build_manifest())
            await self.wait_until(self.gateway.is_ready)

    async def test_a_graceful_stop_closes_connections_after_their_answers(self):
        async with self.run_all():
            await self.gateway.stop.set()
            self.assertFalse(self.gateway.is_ready())
            status, headers, _ = await self.call("/read/x")
            self.assertEqual((200, "close"), (status, headers["connection"]))


class RecordingJournal(journal.Journal):
    """A journal that also records event names and faulty lines."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._events = []
        self.faults = []

    def _record(self, kind, event, fields):
        self._events.append(event)
        line = {"time": 0, "at": 0, "instance": "", "event": event, **fields}
        self.faults += log_schema.find_deviations(line)
        super()._record(kind, event, fields)

    def list_events(self):
        """Returns the events' names in order."""
        return self._events


class NullDescriptor:
    """A descriptor of /dev/null, for the log lines of the tests."""

    _file = None

    @classmethod
    def open(cls):
        if cls._file is None:
            cls._file = open("/dev/null", "wb")  # noqa: SIM115
        return cls._file.fileno()
