"""Tests of the command-line tool with a fake HTTP server."""

import contextlib
import io
import json
import os
import socket
import tempfile
import threading
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import curio

from samphirevale import client, cmdline, token_buffers
from samphirevale.adapters import web, web_server
from tests import base, test_settings

TOKENS = ["ripe", " grapes", " in", " row", " 4"]
COMPLETE_ANSWER = {
    "request": "r1",
    "outcome": "whole",
    "result": {"text": "".join(TOKENS), "tokens": TOKENS},
    "count": len(TOKENS),
    "digest": token_buffers.digest_tokens(TOKENS),
    "stages": [{"stage": "generation", "seconds": 0.25, "attempts": 1}],
}
CONFIGURATION = {
    "pipelines": {
        "filing": {
            "stages": [
                {
                    "name": "file",
                    "pool": "filing",
                    "kind": "service",
                    "repeatable": False,
                    "model": "",
                    "limit": 4,
                    "expected_ms": 20.0,
                }
            ],
            "deadline_ms": 3000,
            "stopped": False,
        }
    },
    "accounts": {"brewer": {"token_digest": "0" * 64, "share": 1.0}},
    "batches": {},
    "draining": [],
}


class FakeServer:
    """Sends the responses that a test configured for each path.

    Attributes:
        answers: a list of responses by path, of which the last is repeated.
            None closes the connection after a few bytes.
        requests: the requests received.
    """

    def __init__(self):
        self.answers: dict[str, list[web.Response | None]] = {}
        self.requests: list[web.Request] = []

    async def handle(self, request: web.Request) -> Any:
        self.requests.append(request)
        responses = self.answers.get(request.path, [web.build_json(404, {})])
        answer = responses.pop(0) if len(responses) > 1 else responses[0]
        if answer is None:
            return web.StreamedResponse(200, _cut())
        if isinstance(answer, bytes):
            kind = ("Content-Type", "text/event-stream")
            return web.StreamedResponse(200, _send_parts(answer), (kind,))
        return answer


async def _send_parts(data: bytes):
    """Yields the data in parts that are not aligned with the events."""
    for start in range(0, len(data), 7):
        yield data[start : start + 7]


async def _cut():
    """Yields a byte and then closes the connection."""
    yield b"{"
    raise ConnectionResetError("the test cuts this connection")


@contextlib.contextmanager
def serve_in_thread(handler: web.Handler) -> Iterator[str]:
    """Serves HTTP in another thread and yields the URL."""
    port = base.find_free_port()
    stop = curio.UniversalEvent()

    async def run() -> None:
        task = await curio.spawn(web_server.serve, handler, "127.0.0.1", port)
        await stop.wait()
        await task.cancel()

    thread = threading.Thread(target=curio.run, args=(run,))
    thread.start()
    try:
        _wait_for_port(port)
        yield f"http://127.0.0.1:{port}"
    finally:
        stop.set()
        thread.join()


def _wait_for_port(port: int) -> None:
    for _ in range(200):
        with contextlib.suppress(OSError):
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        time.sleep(0.01)
    raise TimeoutError("the fake server did not start")


def build_events(*events: tuple[str, Any]) -> bytes:
    """Returns the bytes of server-sent events."""
    return b"".join(
        f"event: {name}\ndata: {json.dumps(value)}\n\n".encode()
        for name, value in events
    )


class CmdlineTest(base.TestCase):
    """The requests, the output and the exit code of each command."""

    def setUp(self):
        self.server = FakeServer()
        self.url = self.enterContext(serve_in_thread(self.server.handle))
        environment = {
            "SAMPHIREVALE_URL": self.url,
            "SAMPHIREVALE_ADMIN_URL": self.url,
            "SAMPHIREVALE_STORE_URL": self.url,
            "SAMPHIREVALE_TOKEN": "account-token",
            "SAMPHIREVALE_OPERATOR_TOKEN": "operator-token",
        }
        self.enterContext(mock.patch.dict(os.environ, environment))
        self.out = self.enterContext(contextlib.redirect_stdout(io.StringIO()))
        self.err = self.enterContext(contextlib.redirect_stderr(io.StringIO()))

    def run_tool(self, *argv: str) -> int:
        with self.assertRaises(SystemExit) as caught:
            cmdline.main(list(argv))
        return caught.exception.code

    def set_answers(self, path: str, *responses: Any) -> None:
        self.server.answers[path] = list(responses)

    def set_request_answer(self, answer: Any) -> None:
        self.set_answers("/v1/pipelines/harvest/requests", answer)

    def send(self, *flags: str) -> int:
        return self.run_tool(
            "send", "--pipeline", "harvest", "--input", '"hi"', *flags
        )

    def test_plain_answer(self):
        self.set_request_answer(web.build_json(200, COMPLETE_ANSWER))
        self.assertEqual(0, self.send("--key", "k1", "--once"))
        self.assertEqual(
            "ripe grapes in row 4\n"
            "stage       seconds  attempts\n"
            "generation     0.25         1\n"
            f"whole: 5 tokens, digest {COMPLETE_ANSWER['digest']}\n",
            self.out.getvalue(),
        )
        (request,) = self.server.requests
        self.assertEqual("k1", request.headers["idempotency-key"])
        self.assertEqual(
            "Bearer account-token", request.headers["authorization"]
        )
        self.assertEqual(
            {"input": "hi", "idempotent": False}, json.loads(request.body)
        )

    def test_request_from_file(self):
        self.set_request_answer(web.build_json(200, COMPLETE_ANSWER))
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            value = {
                "account": "farm",
                "pipeline": "harvest",
                "idempotency_key": "k2",
                "request": {"input": 1, "deadline_ms": 9},
            }
            json.dump(value, file)
            file.flush()
            code = self.run_tool(
                "send", "--file", file.name, "--deadline-ms", "500", "--json"
            )
        self.assertEqual(0, code)
        self.assertEqual(COMPLETE_ANSWER, json.loads(self.out.getvalue()))
        (request,) = self.server.requests
        self.assertEqual("k2", request.headers["idempotency-key"])
        body = json.loads(request.body)
        self.assertEqual({"input": 1, "deadline_ms": 500}, body)

    def test_incomplete_plain_answer(self):
        for change in ({"count": 4}, {"digest": "0" * 64}):
            with self.subTest(change):
                self.set_request_answer(
                    web.build_json(200, COMPLETE_ANSWER | change)
                )
                self.assertEqual(5, self.send())
                self.assertIn("not whole", self.err.getvalue())

    def test_stream(self):
        self.set_request_answer(
            build_events(
                ("chunk", {"sequence": 0, "tokens": TOKENS[:2]}),
                ("chunk", {"sequence": 2, "tokens": TOKENS[2:]}),
                ("end", COMPLETE_ANSWER),
            )
        )
        self.assertEqual(0, self.send("--stream"))
        self.assertTrue(
            self.out.getvalue().startswith("ripe grapes in row 4\n")
        )

    def test_incomplete_stream(self):
        first = ("chunk", {"sequence": 0, "tokens": TOKENS[:2]})
        gap = ("chunk", {"sequence": 3, "tokens": TOKENS[3:]})
        for events, code in (
            ((first, ("end", COMPLETE_ANSWER)), 5),
            ((first, gap, ("end", COMPLETE_ANSWER)), 5),
            ((first, first, ("end", COMPLETE_ANSWER)), 5),
            ((first,), 4),
            ((first, ("error", {"outcome": "unknown", "status": 504})), 4),
            ((first, ("error", {"outcome": "not_completed"})), 3),
        ):
            with self.subTest(events):
                self.set_request_answer(build_events(*events))
                self.assertEqual(code, self.send("--stream"))
        self.assertNotIn("Exception ignored", self.err.getvalue())

    def test_refusals(self):
        finding = {"place": "body.input", "expected": "a value", "got": ""}
        for outcome, status, code in (
            ("not_run", 503, 3),
            ("not_completed", 504, 3),
            ("unknown", 504, 4),
            ("invalid", 400, 2),
        ):
            with self.subTest(outcome):
                problem = {
                    "outcome": outcome,
                    "detail": "why",
                    "retry_after_seconds": 1.5,
                    "findings": [finding],
                }
                self.set_request_answer(web.build_json(status, problem))
                self.assertEqual(code, self.send())
                self.assertIn(
                    f"{outcome}: why\nretry after 1.5 s\n"
                    "body.input: expected a value\n",
                    self.err.getvalue(),
                )

    def test_connection_refused(self):
        url = f"http://127.0.0.1:{base.find_free_port()}"
        self.assertEqual(1, self.send("--url", url))
        self.assertIn("nothing was sent", self.err.getvalue())

    def test_wrong_input(self):
        self.assertEqual(2, self.run_tool("send", "--input", "{"))
        path = self.write_json({"pipeline": 1, "request": [], "other": 2})
        self.assertEqual(2, self.run_tool("send", "--file", path))
        self.assertEqual(5, len(self.err.getvalue().splitlines()))
        self.assertEqual(2, self.send("--url", "nowhere"))
        self.assertEqual(2, self.run_tool("query", "drain a"))
        self.assertEqual(2, self.run_tool("order", "drain a; drain b"))
        self.assertEqual(2, self.run_tool("order", "drain"))
        with mock.patch.dict(os.environ, {"SAMPHIREVALE_TOKEN": ""}):
            self.assertEqual(2, self.send())
        self.assertEqual([], self.server.requests)

    def test_outcome(self):
        for state, outcome, code, text in (
            ("done", COMPLETE_ANSWER, 0, "ripe grapes in row 4\n"),
            ("running", None, 4, "running\n"),
            ("unknown", None, 4, "unknown\n"),
        ):
            with self.subTest(state):
                self.out.truncate(0)
                self.out.seek(0)
                stored = {"key": "k1", "state": state, "outcome": outcome}
                self.set_answers("/v1/requests/k1", web.build_json(200, stored))
                self.assertEqual(code, self.run_tool("outcome", "k1"))
                self.assertTrue(self.out.getvalue().startswith(text))
        self.assertEqual(1, self.run_tool("outcome", "k2"))

    def test_query(self):
        table = {"columns": ["name", "busy"], "rows": [["a", 1], ["bc", 20]]}
        self.set_answers("/query", web.build_json(200, table))
        self.assertEqual(0, self.run_tool("query", "show endpoints"))
        self.assertEqual(
            "name  busy\na        1\nbc      20\n", self.out.getvalue()
        )
        body = json.loads(self.server.requests[0].body)
        self.assertEqual("show endpoints", body["text"])

    def test_order(self):
        for outcome, status, code in (
            ("accepted", 200, 0),
            ("refused", 409, 3),
        ):
            with self.subTest(outcome):
                order = {"id": "o", "outcome": outcome, "revision": 7}
                self.set_answers(
                    "/query", web.build_json(status, {"order": order})
                )
                self.assertEqual(code, self.run_tool("order", "drain a"))

    def test_order_with_lost_answer_is_looked_up(self):
        row = ["o-1", "drain a", 7]
        table = {"columns": ["id", "text", "revision"], "rows": [row]}
        self.set_answers("/query", None, web.build_json(200, table))
        code = self.run_tool("order", "drain a", "--order-id", "o-1", "--json")
        self.assertEqual(0, code)
        value = json.loads(self.out.getvalue())
        self.assertEqual(7, value["order"]["revision"])
        texts = [json.loads(r.body)["text"] for r in self.server.requests]
        self.assertEqual(["drain a", 'show orders where id = "o-1"'], texts)

    def test_order_without_effect_is_sent_again(self):
        empty = web.build_json(200, {"columns": ["id"], "rows": []})
        order = {"id": "o-1", "outcome": "accepted", "revision": 8}
        self.set_answers(
            "/query", None, empty, web.build_json(200, {"order": order})
        )
        code = self.run_tool("order", "drain a", "--order-id", "o-1")
        self.assertEqual(0, code)
        bodies = [json.loads(r.body) for r in self.server.requests]
        self.assertEqual(["o-1", "", "o-1"], [b["order_id"] for b in bodies])

    def test_order_result_remains_unknown(self):
        failed = web.build_json(500, {"status": 500, "title": "failed"})
        no_delay = mock.patch.object(client, "ORDER_RETRY_SECONDS", 0.0)
        for answer in (failed, None):
            with self.subTest(answer), no_delay:
                self.set_answers("/query", answer)
                self.assertEqual(4, self.run_tool("order", "drain a"))

    def test_dump(self):
        self.set_answers("/dump", web.build_json(200, {"process": {}}))
        self.assertEqual(0, self.run_tool("dump"))
        self.assertEqual({"process": {}}, json.loads(self.out.getvalue()))

    def test_check_settings(self):
        flags = []
        for name, text in test_settings.FLAGS.items():
            flags += ["--" + name.replace("_", "-"), text]
        with mock.patch.dict(os.environ, test_settings.SECRETS):
            code = self.run_tool("check-settings", "entry", *flags)
        self.assertEqual(0, code)
        self.assertNotIn(test_settings.SECRET, self.out.getvalue())
        code = self.run_tool("check-settings", "entry", "--host", "x")
        self.assertEqual(2, code)

    def write_json(self, value: Any) -> str:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = os.path.join(directory, "input.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file)
        return path

    def test_check_configuration(self):
        path = self.write_json(CONFIGURATION)
        self.assertEqual(0, self.run_tool("check-configuration", path))
        wrong = CONFIGURATION | {"draining": 5, "batches": []}
        path = self.write_json(wrong)
        self.assertEqual(2, self.run_tool("check-configuration", path))
        self.assertEqual(2, len(self.err.getvalue().splitlines()))
        self.assertEqual(2, self.run_tool("check-configuration", path + "x"))

    def test_load_configuration(self):
        path = self.write_json(CONFIGURATION)
        stored = {
            "kind": "configuration",
            "name": "current",
            "version": 1,
            "value": {},
        }
        absent = web.build_json(404, {"error": "none"})
        self.set_answers(
            "/objects/configuration/current",
            absent,
            absent,
            web.build_json(201, stored),
        )
        self.assertEqual(0, self.run_tool("load-configuration", path))
        self.assertEqual("accepted: revision 1\n", self.out.getvalue())
        request = self.server.requests[-1]
        self.assertEqual("*", request.headers["if-none-match"])
        written = json.loads(request.body)
        self.assertEqual(CONFIGURATION["pipelines"], written["pipelines"])
        self.assertEqual(1, len(written["orders"]))
