"""Tests of calls to the platform's endpoints over sockets."""

import contextlib
import itertools
import json
from unittest import mock

import curio

from samphirevale import errors
from samphirevale.adapters import web, web_server
from samphirevale.platform import endpoints, manifest
from samphirevale.ports import proxies
from tests import base, proxy_fakes

LEAVING = ("Server-Leaving", "1")
NOT_EXECUTED = ("Samphirevale-Not-Executed", "1")


class FakeListener:
    """Allows calls as preset and records notices."""

    def __init__(self):
        self.allowed = True
        self.notices = []
        self.calls = []
        self.other_starts = []
        self.unnamed_starts = []

    def may_call(self, endpoint):
        return self.allowed

    def record_call(self, endpoint):
        self.calls.append(endpoint.name)

    def handle_other_start(self, endpoint, started):
        self.other_starts.append((endpoint.name, started))

    def handle_refused_connect(self, endpoint):
        pass

    def handle_unnamed_start(self, endpoint, error):
        self.unnamed_starts.append(endpoint.name)

    async def handle_notice(self, endpoint, notice):
        self.notices.append((endpoint.name, notice))


class PlatformEndpointsTest(base.TestCase):
    """Tests which calls are made, and what is learnt from their answers."""

    @contextlib.asynccontextmanager
    async def run_server(self, status, *headers, body=b'{"free_mb": 3}'):
        """Runs a server that gives the same answer to all calls."""
        self.targets = []
        self.connected = 0
        self.headers = list(headers)
        self.listener = FakeListener()
        self.endpoints = endpoints.PlatformEndpoints(self.listener)

        async def answer(request):
            self.targets.append(request.path)
            return web.Response(status, body, tuple(self.headers))

        port = base.find_free_port()
        task = await curio.spawn(
            web_server.serve, answer, "127.0.0.1", port, daemon=True
        )
        # The server listens from its first turn on.
        await curio.sleep(0)
        self.endpoint = proxy_fakes.build_endpoint(host="127.0.0.1", port=port)
        try:
            yield
        finally:
            await self.endpoints.close_idle(self.endpoint)
            await task.cancel()

    def count_connected(self, started):
        self.connected += 1

    def list_calls(self):
        """Returns a function for each kind of call."""
        send = proxy_fakes.build_send_parameters()
        items = [proxy_fakes.build_item()]
        return [
            lambda: self.endpoints.send(
                self.endpoint,
                proxy_fakes.build_request(),
                send,
                self.count_connected,
            ),
            lambda: self.endpoints.run_batch(self.endpoint, items, 100.0),
            lambda: self.endpoints.release(self.endpoint, ["r1"]),
            lambda: self.endpoints.read_free_memory(self.endpoint),
        ]

    async def test_call_is_recorded_before_it_is_sent(self):
        async with self.run_server(200):
            self.listener.allowed = False
            with self.assertRaises(errors.NotAcceptingError):
                await self.endpoints.read_free_memory(self.endpoint)
            self.assertEqual([], self.listener.calls)
            self.listener.allowed = True
            await self.endpoints.read_free_memory(self.endpoint)
            self.assertEqual(["e1"], self.listener.calls)

    async def test_nothing_is_sent_if_a_pause_begins_during_the_connect(self):
        async with self.run_server(200):
            self.listener.allowed = False
            for call in self.list_calls():
                with self.assertRaises(errors.NotAcceptingError):
                    await call()
            self.assertEqual([], self.targets)
            self.assertEqual(0, self.connected)

    async def test_sender_learns_that_its_connection_is_open(self):
        async with self.run_server(200):
            with self.assertRaises(errors.ProtocolError):
                await self.list_calls()[0]()
            self.assertEqual(1, self.connected)

    async def test_every_kind_of_call_learns_of_a_pause_and_of_leaving(self):
        pause = ("Retry-After", "0.5")
        async with self.run_server(503, LEAVING, NOT_EXECUTED, pause):
            for call in self.list_calls():
                with self.assertRaises(errors.NotExecutedError) as raised:
                    await call()
                self.assertTrue(raised.exception.asks_pause)
            notice = proxies.EndpointNotice(leaving=True, pause_seconds=0.5)
            self.assertEqual([("e1", notice)] * 4, self.listener.notices)

    async def test_results_that_no_header_takes_are_none(self):
        """A name with a line break or comma broke a later request's header."""
        for item, reason in (
            ({"handle": "a\nb"}, "error"),
            ({"handle": "a,b"}, "error"),
            ({"handle": "x" * 300}, "error"),
            ({"reason": "\ud800"}, "error"),
            ({"reason": ["x"] * 99}, "error"),
            ({"reason": "gone"}, "gone"),
        ):
            body = json.dumps({"items": [item]}).encode()
            async with self.run_server(200, body=body):
                (found,) = await self.list_calls()[1]()
            self.assertEqual(proxies.ItemResult("", reason), found)

    async def test_refusal_of_another_request_promises_nothing(self):
        """An earlier refusal, written once more, is not this request's."""
        other = ("Samphirevale-Attempt-Id", "other")
        async with self.run_server(503, NOT_EXECUTED, other):
            with self.assertRaises(errors.ProtocolError):
                await self.list_calls()[0]()
        async with self.run_server(503, NOT_EXECUTED):
            with self.assertRaises(errors.NotExecutedError):
                await self.list_calls()[0]()

    async def ask_start(
        self,
        status,
        value,
        *headers,
        delay=0.0,
        seconds=0.5,
        required=False,
    ):
        """Sends a request to an endpoint that gives a report beforehand.

        Args:
            status: the status of the report.
            value: the value of the report.
            headers: the headers of the report.
            delay: the time that the endpoint takes for it, in seconds.
            seconds: the timeout of the question.
            required: whether only the listed start may get the request.

        Returns:
            The paths of the calls on each connection.
        """
        connections = self.asked_on = []
        self.asked_heads = []
        self.named = []

        async def serve(client, address):
            paths = []
            connections.append(paths)
            async with client:
                while data := await client.recv(65536):
                    paths.append(data.split(b" ")[1].decode())
                    self.asked_heads.append(data)
                    if paths[-1] == "/report":
                        await curio.sleep(delay)
                    answer = encode_answer(status, value, *headers)
                    if paths[-1] != "/report":
                        attempt = ("Samphirevale-Attempt-Id", "a1")
                        seal = ("Samphirevale-Response-Seal", "s")
                        answer = encode_answer(200, {}, attempt, seal)
                    await client.sendall(answer)

        port = base.find_free_port()
        server = await curio.spawn(curio.tcp_server, "127.0.0.1", port, serve)
        await curio.sleep(0.05)
        self.asked_listener = FakeListener()
        calls = endpoints.PlatformEndpoints(self.asked_listener)
        try:
            answer = await calls.send(
                proxy_fakes.build_endpoint(
                    host="127.0.0.1", port=port, started=7
                ),
                proxy_fakes.build_request(),
                proxy_fakes.build_send_parameters(
                    ask_seconds=seconds, start_required=required
                ),
                self.named.append,
            )
            await answer.close()
        finally:
            await server.cancel()
        return connections

    async def test_endpoint_is_asked_on_the_connection_of_the_request(self):
        """It cannot be another one by the time the request arrives."""
        connections = await self.ask_start(200, {"born": 7})
        self.assertEqual([["/report", "/p/x"]], connections)
        self.assertEqual([7], self.named)

    async def test_time_of_the_question_is_not_handed_to_the_endpoint(self):
        """The endpoint would go on after the caller has left."""
        await self.ask_start(200, {"born": 7}, delay=0.3)
        _, head = self.asked_heads
        (line,) = [
            line for line in head.split(b"\r\n") if b"Deadline-Ms" in line
        ]
        seconds = proxy_fakes.build_send_parameters().wait_seconds - 0.3
        self.assertLessEqual(int(line.split()[1]), 1000 * seconds)

    async def test_endpoint_that_confirms_nothing_in_time_gets_nothing(self):
        with self.assertRaises(errors.ConnectTimeoutError):
            await self.ask_start(
                200, {"born": 7}, delay=0.3, seconds=0.1, required=True
            )
        self.assertEqual(1, len(self.asked_heads))

    async def check_sent_unnamed(self, *arguments, reports=1, **options):
        """Checks that a request is sent, or is not if a start is required.

        Args:
            arguments: those of ask_start().
            reports: the number of connections with a report only.
            options: those of ask_start().
        """
        connections = await self.ask_start(*arguments, **options)
        self.assertEqual([["/report"]] * reports + [["/p/x"]], connections)
        self.assertEqual([None], self.named)
        self.assertEqual(["e1"], self.asked_listener.unnamed_starts)
        with self.assertRaises(errors.START_ERRORS):
            await self.ask_start(*arguments, **options, required=True)
        self.assertEqual([["/report"]] * reports, self.asked_on)
        self.assertEqual([], self.named)

    async def test_request_begins_at_an_endpoint_that_is_slow_to_report(self):
        await self.check_sent_unnamed(
            200, {"born": 7}, delay=0.3, seconds=0.1, reports=1
        )

    async def test_question_for_the_start_takes_no_part_of_a_limit(self):
        """The request would wait for the next time that it may be sent."""
        await self.ask_start(200, {"born": 7})
        self.assertEqual(["e1"], self.asked_listener.calls)

    async def test_endpoint_that_cannot_be_reached_is_connected_to_once(self):
        """A second connect would hold the request up for as long again."""
        for error in (errors.ConnectTimeoutError, errors.ConnectRefusedError):
            opening = mock.AsyncMock(side_effect=error("no connection"))
            with (
                mock.patch.object(
                    endpoints.web_client, "open_connection", opening
                ),
                self.assertRaises(error),
            ):
                await self.send_refused()
            self.assertEqual(1, opening.await_count)
            self.assertEqual([], self.asked_listener.unnamed_starts)

    async def send_refused(self):
        self.asked_listener = FakeListener()
        await endpoints.PlatformEndpoints(self.asked_listener).send(
            proxy_fakes.build_endpoint(),
            proxy_fakes.build_request(),
            proxy_fakes.build_send_parameters(ask_seconds=0.5),
            lambda started: None,
        )

    async def test_endpoint_that_has_started_again_gets_nothing(self):
        for started in (8, 0):
            with self.assertRaises(errors.NotAcceptingError):
                await self.ask_start(200, {"born": started}, required=True)
            self.assertEqual([], self.named)
            self.assertEqual(
                [("e1", started)], self.asked_listener.other_starts
            )
        await self.check_sent_unnamed(421, {}, reports=2)
        self.assertEqual([("e1", None)] * 2, self.asked_listener.other_starts)

    async def test_request_that_begins_reaches_the_start_that_was_named(self):
        connections = await self.ask_start(200, {"born": 8})
        self.assertEqual([["/report", "/p/x"]], connections)
        self.assertEqual([8], self.named)

    async def test_report_that_does_not_say_a_start_confirms_none(self):
        for value in ({}, {"born": "x"}, {"born": True}, [], None):
            await self.check_sent_unnamed(200, value, reports=2)
        await self.check_sent_unnamed(404, {}, reports=2)

    async def test_start_that_is_written_as_a_decimal_is_compared(self):
        await self.ask_start(200, {"born": 7.0}, required=True)
        with self.assertRaises(errors.NotAcceptingError):
            await self.ask_start(200, {"born": 8.0}, required=True)

    async def test_notice_of_another_start_is_not_that_of_the_known_one(self):
        with self.assertRaises(errors.NotAcceptingError):
            await self.ask_start(200, {"born": 8}, LEAVING, required=True)
        self.assertEqual([], self.asked_listener.notices)

    async def test_refused_report_confirms_no_start(self):
        """Another start may answer on the next connection."""
        await self.check_sent_unnamed(503, {}, reports=2)

    async def test_start_is_asked_for_on_each_connection(self):
        """Another start may answer on the next connection."""
        closing = ("Connection", "close")
        await self.check_sent_unnamed(200, {"born": 7}, closing, reports=2)

    async def test_callers_do_not_learn_that_an_endpoint_leaves(self):
        attempt = ("Samphirevale-Attempt-Id", "a1")
        seal = ("Samphirevale-Response-Seal", "s")
        async with self.run_server(200, LEAVING, attempt, seal):
            answer = await self.list_calls()[0]()
            names = {name.lower() for name, _ in answer.headers}
            await answer.close()
            self.assertIn(b"samphirevale-response-seal", names)
            self.assertNotIn(b"server-leaving", names)

    async def test_report_of_an_impossible_size_is_no_report(self):
        """A number too large is an error of the endpoint, not of the entry."""
        for text in (b"1e999", b"9" * 400, b"9" * 5000, b"NaN", b"[]"):
            async with self.run_server(200, body=b'{"free_mb": %s}' % text):
                with self.assertRaises(errors.ProtocolError):
                    await self.endpoints.read_free_memory(self.endpoint)

    async def test_connection_to_an_endpoint_that_leaves_is_not_kept(self):
        async with self.run_server(200, LEAVING):
            await self.endpoints.read_free_memory(self.endpoint)
            self.assertEqual({}, self.endpoints._idle)
        async with self.run_server(200):
            await self.endpoints.read_free_memory(self.endpoint)
            self.assertEqual(1, len(self.endpoints._idle))

    async def test_idle_connections_to_an_endpoint_that_leaves_are_closed(self):
        async with self.run_server(200):
            await self.endpoints.read_free_memory(self.endpoint)
            idle = self.endpoints._idle
            self.assertEqual(1, len(idle))
            self.headers.append(LEAVING)
            with self.assertRaises(errors.ProtocolError):
                await self.list_calls()[0]()
            self.assertEqual({}, idle)


def encode_answer(status, value, *headers):
    """Returns the bytes of a whole answer."""
    body = json.dumps(value).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {text}" for name, text in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


REFUSAL = encode_answer(503, {}, NOT_EXECUTED)


class RepeatedAnswersTest(base.TestCase):
    """An endpoint writes an earlier answer of a connection once more.

    Guards against an answer, or a promise that a call has not run, that is
    handed to another call.
    """

    @contextlib.asynccontextmanager
    async def run_server(self, first, at_once):
        """Runs a server that repeats its first answer on each connection.

        Args:
            first: the answer to the first call.
            at_once: whether the copy follows that answer; otherwise it comes
                once the next call has been read.
        """
        self.answers = iter([first])
        self.ran = 0

        async def serve(client, address):
            copy = b""
            async with client:
                while await client.recv(65536):
                    answer = next(self.answers, None)
                    if answer is None:
                        self.ran += 1
                        answer = build_results(self.ran)
                    await client.sendall(copy + answer)
                    copy = b"" if copy else first
                    if at_once:
                        await client.sendall(copy)
                        copy = b""

        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, serve, daemon=True
        )
        await curio.sleep(0.05)
        self.calls = endpoints.PlatformEndpoints(FakeListener())
        self.endpoint = proxy_fakes.build_endpoint(host="127.0.0.1", port=port)
        try:
            yield
        finally:
            await self.calls.close_idle(self.endpoint)
            await server.cancel()

    async def run_batch(self):
        items = [proxy_fakes.build_item()]
        (result,) = await self.calls.run_batch(self.endpoint, items, 100.0)
        return result.result

    async def test_refusal_written_twice_refuses_one_call(self):
        """A call that runs does not count as refused."""
        for at_once in (True, False):
            with self.subTest(at_once=at_once):
                async with self.run_server(REFUSAL, at_once):
                    with self.assertRaises(errors.NotExecutedError):
                        await self.run_batch()
                    self.assertEqual("h1", await self.run_batch())
                    self.assertEqual("h2", await self.run_batch())

    async def test_results_written_twice_are_those_of_one_call(self):
        """The results of a call are not handed to the next one."""
        for at_once in (True, False):
            with self.subTest(at_once=at_once):
                async with self.run_server(build_results(0), at_once):
                    self.assertEqual("h0", await self.run_batch())
                    self.assertEqual("h1", await self.run_batch())
                    self.assertEqual("h2", await self.run_batch())

    async def test_results_written_twice_are_no_results_after_a_release(self):
        for at_once in (True, False):
            with self.subTest(at_once=at_once):
                async with self.run_server(build_results(0), at_once):
                    self.assertEqual("h0", await self.run_batch())
                    with contextlib.suppress(errors.ProtocolError):
                        await self.calls.release(self.endpoint, ["h0"])
                    self.assertNotEqual("h0", await self.run_batch())


def build_results(number):
    """Returns the answer to a call of one item."""
    return encode_answer(200, {"items": [{"handle": f"h{number}"}]})


class SharedConnectionsTest(base.TestCase):
    """Calls of different kinds to an endpoint that writes one answer twice.

    Guards against an answer that is handed to another call: the free memory of
    a moment ago, or a release that counts as done and was refused.
    """

    @contextlib.asynccontextmanager
    async def run_server(self, at_once, copied=True):
        """Runs a server that writes its first answer twice.

        Args:
            at_once: whether the copy follows that answer; otherwise it comes
                once the next call on the connection has been read.
            copied: whether there is a copy.
        """
        numbers = itertools.count()
        self.connections = 0

        async def serve(client, address):
            self.connections += 1
            copy = b""
            async with client:
                while data := await client.recv(65536):
                    number = next(numbers) if copied else 0
                    answer = build_answer(data, number)
                    await client.sendall(copy + answer)
                    copy = answer if copied and not number else b""
                    if at_once:
                        await client.sendall(copy)
                        copy = b""

        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, serve, daemon=True
        )
        await curio.sleep(0.05)
        self.calls = endpoints.PlatformEndpoints(FakeListener())
        self.endpoint = proxy_fakes.build_endpoint(host="127.0.0.1", port=port)
        try:
            yield
        finally:
            await self.calls.close_idle(self.endpoint)
            await server.cancel()

    async def call(self, kind):
        """Makes a call; returns the number in its answer, if any."""
        if kind == "report":
            free_bytes = await self.calls.read_free_memory(self.endpoint)
            return free_bytes // manifest.MEGABYTE
        if kind == "release":
            return await self.calls.release(self.endpoint, ["h0"])
        items = [proxy_fakes.build_item()]
        (result,) = await self.calls.run_batch(self.endpoint, items, 100.0)
        return int(result.result[1:])

    async def check_second(self, first, second, at_once):
        """Checks that the second kind of call never gets the first answer."""
        async with self.run_server(at_once):
            await self.call(first)
            for number in (1, 2):
                if second == "release":
                    with self.assertRaises(errors.TransportError):
                        await self.call(second)
                    continue
                try:
                    self.assertEqual(number, await self.call(second))
                except errors.ProtocolError:
                    self.assertEqual((1, False), (number, at_once))

    async def test_answer_written_twice_is_that_of_one_call(self):
        kinds = ("batch", "report", "release")
        for first, second in itertools.product(kinds, kinds):
            for at_once in (True, False):
                with self.subTest(f"{first}, {second}", at_once=at_once):
                    await self.check_second(first, second, at_once)

    async def test_release_uses_the_connection_of_results(self):
        """A release costs no connection where results have just come."""
        async with self.run_server(at_once=False, copied=False):
            for _ in range(3):
                await self.call("batch")
                await self.call("report")
                await self.call("release")
            self.assertEqual(3, self.connections)
            self.assertEqual([], sum(self.calls._idle.values(), []))


def build_answer(request, number):
    """Returns the answer to a call; only the first release is executed."""
    if b"/report" in request:
        return encode_answer(200, {"free_mb": number})
    if b"/stage-free" in request:
        return REFUSAL if number else encode_answer(200, {})
    return build_results(number)


class SilentConnectionsTest(base.TestCase):
    """Tests kept connections that fall silent for good."""

    async def answer_once(self, client, address):
        """Answers one request of a connection, then nothing any more."""
        async with client:
            await client.sendall(build_answer(await client.recv(65536), 0))
            await curio.sleep(50.0)

    async def test_call_after_a_silent_one_takes_a_new_connection(self):
        port = base.find_free_port()
        server = await curio.spawn(
            curio.tcp_server, "127.0.0.1", port, self.answer_once, daemon=True
        )
        calls = endpoints.PlatformEndpoints(FakeListener())
        endpoint = proxy_fakes.build_endpoint(host="127.0.0.1", port=port)
        await curio.sleep(0.05)
        async with base.open_group() as group:
            for _ in range(2):
                await group.spawn(calls.read_free_memory, endpoint)
        async with curio.ignore_after(0.3) as silent:
            await calls.release(endpoint, ["h0"])
        async with curio.ignore_after(0.3) as later:
            await calls.release(endpoint, ["h0"])
        await calls.close_idle(endpoint)
        await server.cancel()
        self.assertEqual([True, False], [silent.expired, later.expired])
