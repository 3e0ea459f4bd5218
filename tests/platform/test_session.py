"""Tests of a proxying entry with the platform's test doubles over sockets."""

import contextlib

import curio

from samphirevale import errors, gateway
from samphirevale.adapters import web_client, web_server
from standins import metadata_store
from tests import base
from tests.platform import sessions


class SessionTest(sessions.SessionTestCase):
    """Requests through one entry, and changes in the store."""

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
            self.assertEqual((200, sessions.STREAM), (status, body))
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
            self.assertEqual([sessions.STREAM] * 3, bodies)

    async def test_a_stream_is_not_taken_up_at_another_version(self):
        async with self.run_all():
            self.register_server("model2", self.ports["model2"], version="v2")
            catalogue = self.gateway.cluster_state.catalogue
            await self.wait_until(
                lambda: catalogue.find("model2").version == "v2"
            )
            began = {}
            for number in range(8):
                attempt = f"b{number}"
                await self.write(
                    **{
                        "Samphirevale-Attempt-Id": attempt,
                        "Samphirevale-Prefix-Hash": f"{number}:10,q:5",
                    }
                )
                began[attempt] = self.find_server_of(attempt)
            for attempt, server in began.items():
                again = f"again-{attempt}"
                status, _, body = await self.write(
                    **{
                        "Samphirevale-Attempt-Id": again,
                        "Last-Event-Id": "3",
                        "Resumes": attempt,
                    }
                )
                self.assertEqual((200, sessions.REST_OF_STREAM), (status, body))
                self.assertEqual(server, self.find_server_of(again))

    async def test_a_stream_of_unknown_version_is_refused_beside_others(self):
        async with self.run_all():
            status, _, body = await self.take_up_unknown_stream("x1")
            self.assertEqual((200, sessions.REST_OF_STREAM), (status, body))
            self.register_server("model2", self.ports["model2"], version="v2")
            catalogue = self.gateway.cluster_state.catalogue
            await self.wait_until(
                lambda: catalogue.find("model2").version == "v2"
            )
            status, headers, _ = await self.take_up_unknown_stream("x2")
            self.assertEqual(503, status)
            self.assertGreater(float(headers["retry-after"]), 0)

    async def take_up_unknown_stream(self, first_attempt):
        return await self.write(
            **{"Last-Event-Id": "3", "Resumes": first_attempt}
        )

    def find_server_of(self, attempt):
        return [
            name
            for name, server in self.servers.items()
            for headers in server.seen_headers
            if headers["samphirevale-attempt-id"] == attempt
        ]

    async def check_status_at_the_end_of_the_grace_period(self, path, status):
        async with self.run_all():
            for server in self.servers.values():
                server.faults = ["mute"] * 9
            send = self.write if path == "/write/x" else self.call
            arguments = () if path == "/write/x" else (path,)
            request = await curio.spawn(send, *arguments)
            await self.wait_until(self.gateway.is_busy)
            await curio.sleep(0.2)
            self.gateway.settings = self.gateway.settings._replace(
                grace_seconds=1.0
            )
            await self.gateway.stop.set()
            self.assertEqual(status, (await request.join())[0])
            await self.task.join()

    async def test_sent_request_is_answered_at_the_end_of_the_grace_period(
        self,
    ):
        await self.check_status_at_the_end_of_the_grace_period("/once/x", 504)

    async def test_unsent_request_is_refused_at_the_end_of_the_grace_period(
        self,
    ):
        await self.check_status_at_the_end_of_the_grace_period("/write/x", 503)

    async def test_connection_that_ends_inside_a_request_is_logged(self):
        async with self.run_all():
            await (await curio.open_connection("127.0.0.1", self.port)).close()
            await self.call("/read/x", b"body")
            self.assertNotIn("connection_closed", self.log.list_events())
            stream = await curio.open_connection("127.0.0.1", self.port)
            await stream.sendall(b"POST /read/x HTTP/1.1\r\n")
            await stream.close()
            await self.wait_until(
                lambda: "connection_closed" in self.log.list_events()
            )

    async def test_an_answer_of_another_request_is_not_forwarded(self):
        async with self.run_all():
            for name in ("plain1", "plain2"):
                self.servers[name].faults = ["other"]
            status, headers, _ = await self.call("/once/x")
            self.assertEqual(502, status)
            self.assertNotIn("samphirevale-response-seal", headers)

    async def test_a_refusal_of_another_request_refuses_nothing(self):
        """A request that runs gets no promise that it has not run."""
        async with self.run_all():
            for name in ("plain1", "plain2"):
                self.servers[name].faults = ["other refused"]
            status, _, _ = await self.call("/once/x")
            self.assertEqual(1, len(self.list_received_headers("plain")))
            self.assertEqual(502, status)

    async def check_claimed(self, path, runs):
        """Checks the answer to a request that has run and is refused.

        Args:
            path: the path of the request.
            runs: the number of its runs.
        """
        for status in (408, 429, 503):
            for name in ("plain1", "plain2", "model1", "model2"):
                self.servers[name].faults = [f"claimed {status}"]
                self.servers[name].seen_headers.clear()
            answer = self.write() if path == "/write/x" else self.call(path)
            answered, headers, _ = await answer
            self.assertEqual(502, answered)
            self.assertNotIn("samphirevale-response-seal", headers)
            service = "model" if path == "/write/x" else "plain"
            self.assertEqual(runs, len(self.list_received_headers(service)))

    async def test_a_request_that_has_run_is_not_answered_as_not_run(self):
        """Its caller would send it once more, and it would run twice."""
        async with self.run_all():
            await self.check_claimed("/once/x", 1)

    async def test_a_request_that_may_run_again_is_not_answered_as_not_run(
        self,
    ):
        async with self.run_all():
            await self.check_claimed("/read/x", 2)

    async def test_a_stream_that_has_run_is_not_answered_as_not_run(self):
        async with self.run_all():
            await self.check_claimed("/write/x", 2)

    async def test_a_request_to_a_silent_server_is_retried_elsewhere(self):
        async with self.run_all():
            self.servers["plain1"].faults = ["mute"] * 9
            for _ in range(4):
                self.assertEqual(200, (await self.call("/read/x"))[0])
            self.assertEqual([], self.servers["plain1"].seen_headers)

    async def test_numbers_of_any_length_are_no_error_of_the_program(self):
        """A caller gets an answer to what it asks, however much that is."""
        async with self.run_all():
            for name, prefix, statuses in (
                ("Samphirevale-Chunk-Count", "", {503}),
                ("Samphirevale-Deadline-Ms", "", {200}),
                ("Samphirevale-Prefix-Hash", "p:", {503}),
                ("Last-Event-Id", "", {200, 503}),
            ):
                for digits in ("9" * 400, "9" * 5000, "0" * 5000 + "9" * 20):
                    headers = {name: prefix + digits}
                    with contextlib.suppress(errors.TransportError):
                        status, *_ = await self.write(**headers)
                        self.assertIn(status, statuses, name)

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
            self.store.put("config", "main", sessions.build_manifest(2, ["k2"]))
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

    async def test_malformed_routes_are_ignored(self):
        async with self.run_all():
            self.store.put("config", "main", {"version": 2, "routes": 7})
            await self.wait_until(
                lambda: "routes_malformed" in self.log.list_events()
            )
            self.assertEqual(200, (await self.call("/read/x"))[0])
            self.store.put(
                "config", "main", sessions.build_manifest(3, keys=("k3",))
            )
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
            store.put("config", "main", sessions.build_manifest())
            serving = await curio.spawn(
                web_server.serve,
                store.handle,
                "127.0.0.1",
                store_port,
                daemon=True,
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
            async with curio.timeout_after(sessions.TIMEOUT_SECONDS):
                for text in (b"odd\r\n\r\n", b"POST / HTTP/1.1\r\n\r\n"):
                    client = await curio.open_connection("127.0.0.1", self.port)
                    await client.sendall(text)
                    self.assertIn(b" 400 ", await client.recv(1000))
                    await client.close()
            self.assertEqual(200, (await self.call("/read/x"))[0])

    async def test_an_incomplete_head_times_out(self):
        async with self.run_all():
            limits = {"max_body_bytes": 10000, "header_timeout_ms": 100}
            self.store.put(
                "config", "main", sessions.build_manifest(2, limits=limits)
            )
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            client = await curio.open_connection("127.0.0.1", self.port)
            async with client, curio.timeout_after(sessions.TIMEOUT_SECONDS):
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
            store_port = await sessions.serve(stack, store.handle)
            self.gateway = self.build_gateway(store_port)
            task = await curio.spawn(gateway.run, self.gateway)
            stack.push_async_callback(task.cancel)
            await self.wait_until(
                lambda: store.list_names("samphirevale-entries")
            )
            age = self.gateway.cluster_state.endpoints_age
            await self.wait_until(lambda: age.confirmed_at is not None)
            self.assertFalse(self.gateway.is_ready())
            store.put("config", "main", sessions.build_manifest())
            await self.wait_until(self.gateway.is_ready)

    async def test_a_graceful_stop_closes_connections_after_their_answers(self):
        async with self.run_all():
            await self.gateway.stop.set()
            self.assertFalse(self.gateway.is_ready())
            status, headers, _ = await self.call("/read/x")
            self.assertEqual((200, "close"), (status, headers["connection"]))
