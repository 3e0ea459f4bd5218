"""Tests of the connections used for calls to an endpoint."""

import itertools
from unittest import mock

import curio

from samphirevale.adapters import endpoints, web, web_client, web_server
from samphirevale.ports import endpoints as ports
from tests import base, raw_answers

CALL = ports.Call(
    request="r",
    attempt="a",
    input="x",
    prior=None,
    key="k",
    batch="",
    offset=0,
    priority=0,
    repeatable=True,
)


class ConnectionTest(base.TestCase):
    """Calls to a service that keeps connections alive."""

    async def test_each_attempt_opens_a_connection(self):
        async def handle(_):
            return web.build_json(200, {"result": "done"})

        port = base.find_free_port()
        server = await curio.spawn(web_server.serve, handle, "127.0.0.1", port)
        await curio.sleep(0.05)
        service = endpoints.build_endpoint(
            "service", f"http://127.0.0.1:{port}", 1.0
        )
        opened = mock.patch.object(
            web_client, "open_connection", wraps=web_client.open_connection
        )
        with opened as open_connection:
            for number, repeatable in enumerate((True, True, False), 1):
                call = CALL._replace(repeatable=repeatable)
                (item,) = [item async for item in service.run(call)]
                self.assertEqual("done", item.payload)
                self.assertEqual(number, open_connection.call_count)
        await server.cancel()

    async def test_endpoint_that_ends_before_a_call_has_not_run_it(self):
        async def handle(_):
            return web.build_json(200, {"result": "done"})

        port = base.find_free_port()
        server = await curio.spawn(web_server.serve, handle, "127.0.0.1", port)
        await curio.sleep(0.05)
        service = endpoints.build_endpoint(
            "service", f"http://127.0.0.1:{port}", 1.0
        )
        (item,) = [item async for item in service.run(CALL, server.cancel)]
        self.assertEqual("nothing_sent", item.phase)

    async def test_result_written_twice_is_that_of_one_attempt(self):
        """The result of an attempt is not handed to the next one."""

        async def serve(client, address):
            copy = b""
            async with client:
                while await client.recv(65536):
                    body = b'{"result": %d}' % next(numbers)
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                    answer = head % len(body) + body
                    await client.sendall(copy + answer)
                    copy = answer

        numbers = itertools.count()
        port = base.find_free_port()
        server = await curio.spawn(curio.tcp_server, "127.0.0.1", port, serve)
        await curio.sleep(0.05)
        service = endpoints.build_endpoint(
            "service", f"http://127.0.0.1:{port}", 1.0
        )
        results = [
            item.payload for _ in range(3) async for item in service.run(CALL)
        ]
        await server.cancel()
        self.assertEqual([0, 1, 2], results)

    async def test_report_written_twice_is_that_of_one_read(self):
        """The report of a moment ago is not that of now, in either order."""

        async def serve_at_once(client, address):
            async with client:
                while await client.recv(65536):
                    await client.sendall(encode_load(next(numbers)) * 2)

        async def serve_after_the_next(client, address):
            copy = b""
            async with client:
                while await client.recv(65536):
                    answer = encode_load(next(numbers))
                    await client.sendall(copy + answer)
                    copy = answer

        for serve in (serve_at_once, serve_after_the_next):
            with self.subTest(serve.__name__):
                numbers = itertools.count()
                port = base.find_free_port()
                server = await curio.spawn(
                    curio.tcp_server, "127.0.0.1", port, serve
                )
                await curio.sleep(0.05)
                service = endpoints.build_endpoint(
                    "service", f"http://127.0.0.1:{port}", 1.0
                )
                reports = [await service.read_load() for _ in range(3)]
                await server.cancel()
                self.assertEqual(
                    [0, 1, 2], [report.running for report in reports]
                )


def encode_load(running):
    """Returns the answer with a report of the load."""
    body = b'{"running": %d, "waiting": 0}' % running
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


TOKEN = b'{"sequence": 0, "tokens": ["a"]}\n'
ENDING = b'{"done": true, "count": 1, "digest": "d", "busy_ms": 1}\n'
ERROR_HEAD = b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nno\n"


class OddStreamTest(base.TestCase):
    """Tests an engine that writes something else than its answer."""

    async def run_engine(self, data):
        """Returns the items of an attempt whose answer is these bytes."""
        async with raw_answers.run_server() as server:
            server.script = [raw_answers.RawAnswer(data)]
            engine = endpoints.build_endpoint(
                "engine", f"http://127.0.0.1:{server.ports[0]}", 1.0
            )
            return [item async for item in engine.run(CALL)]

    async def test_error_inside_a_stream_is_neither_a_token_nor_its_end(self):
        for text, framing in itertools.product(
            (
                ERROR_HEAD,
                b"engine failed\n",
                b'{"error": "x"}\n',
                b"500\n",
                b'"x"\n',
                b"null\n",
                b'{"cancelled": true}\n',
                b'{"done": true}\n',
            ),
            raw_answers.FRAMINGS,
        ):
            for body in (TOKEN + text, text, TOKEN + text + TOKEN):
                with self.subTest((body, framing)):
                    data = raw_answers.build_answer(body, framing)
                    *items, ending = await self.run_engine(data)
                    self.assertIsInstance(ending, ports.Failed)
                    self.assertIn(ending.phase, ("lost", "failed"))
                    for item in items:
                        self.assertEqual(ports.Tokens(0, ["a"]), item)

    async def test_head_inside_chunks_is_neither_a_token_nor_the_end(self):
        whole = raw_answers.build_answer(TOKEN, "chunks")
        data = whole[: -len(b"0\r\n\r\n")] + ERROR_HEAD
        tokens, ending = await self.run_engine(data)
        self.assertEqual(ports.Tokens(0, ["a"]), tokens)
        self.assertEqual("lost", ending.phase)

    async def test_answer_without_its_ending_is_lost(self):
        for body, framing in itertools.product(
            (b"", TOKEN, TOKEN + ENDING[:-1], TOKEN + ENDING[:10]),
            raw_answers.FRAMINGS,
        ):
            with self.subTest((body, framing)):
                data = raw_answers.build_answer(body, framing)
                *_, ending = await self.run_engine(data)
                self.assertEqual("lost", ending.phase)

    async def test_status_of_a_failure_counts_whatever_its_body_is(self):
        phases = {400: "failed", 500: "failed", 503: "refused"}
        for (status, phase), framing in itertools.product(
            phases.items(), raw_answers.FRAMINGS
        ):
            data = raw_answers.build_answer(TOKEN + ENDING, framing, status)
            (ending,) = await self.run_engine(data)
            self.assertEqual(phase, ending.phase)
