"""Fuzzes the answers of endpoints, and what comes behind, before and between.

An answer is handed to its own call or to none; a promise that a call has not
run is kept; no error but that of a transport reaches the caller; a result that
is handed on can be named in a header.
"""

import contextlib
import json

import curio
import hypothesis
from hypothesis import strategies

from samphirevale import errors
from samphirevale.platform import endpoints, manifest
from tests import base, odd_values, proxy_fakes
from tests.fuzz import inputs, test_stored_objects
from tests.platform import test_endpoints

# The timeout of each call, in seconds; an endpoint may never answer.
CALL_SECONDS = 0.3

ODD_BYTES = strategies.one_of(
    strategies.binary(max_size=30),
    strategies.sampled_from(
        [
            b"\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 999 \xff\r\n\r\n",
            b"HTTP/2.0 200 OK\r\n\r\n",
        ]
    ),
)

ODD_BODIES = strategies.one_of(
    odd_values.VALUES.map(test_stored_objects.encode),
    test_stored_objects.RAW_TEXTS,
    odd_values.VALUES.map(
        lambda value: json.dumps({"items": [value]}).encode()
    ),
    strategies.tuples(
        strategies.sampled_from(["handle", "reason"]), odd_values.VALUES
    ).map(lambda item: json.dumps({"items": [dict([item])]}).encode()),
    test_stored_objects.RAW_TEXTS.map(lambda text: b'{"free_mb":%s}' % text),
)

# What an endpoint does with one call: what it writes before and behind the
# answer, also before it has read the call, whether it writes an earlier answer
# once more, what it answers, and where it cuts that off.
STEPS = strategies.fixed_dictionaries(
    {
        "kind": strategies.sampled_from(
            ["run", "run", "refuse", "odd body", "odd bytes", "close"]
        ),
        "before": strategies.sampled_from(["", "", "", "earlier", "early"]),
        "cut": strategies.one_of(
            strategies.none(), strategies.integers(0, 300)
        ),
        "behind": strategies.sampled_from(["", "", "copy", "odd"]),
        "odd": ODD_BYTES,
        "body": ODD_BODIES,
    }
)

CALLS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["batch", "batch", "send", "free", "report"]),
        STEPS,
    ),
    min_size=2,
    max_size=5,
)


class FaultyEndpoint:
    """Answers calls on all connections by a script, and knows what ran."""

    def __init__(self, steps):
        self._steps = list(steps)
        self.ran = set()
        # The calls that were answered as calls of their kind are.
        self.sound = set()
        self.number = 0

    async def serve(self, client, address):
        earlier = b""
        with contextlib.suppress(OSError):
            async with client:
                if self._steps and self._steps[0]["before"] == "early":
                    await client.sendall(self._steps[0]["odd"])
                while data := await client.recv(65536):
                    if not self._steps:
                        return
                    step = self._steps.pop(0)
                    answer = self.build_answer(step, data)
                    if not answer:
                        return
                    before = earlier if step["before"] == "earlier" else b""
                    behind = {"": b"", "copy": answer, "odd": step["odd"]}
                    written = before + answer + behind[step["behind"]]
                    await client.sendall(written[: step["cut"]])
                    if step["cut"] is not None:
                        return
                    earlier = answer

    def build_answer(self, step, data):
        """Returns the answer to a call; empty to close the connection."""
        number = self.number
        attempt = ("Samphirevale-Attempt-Id", f"a{number}")
        if step["kind"] == "refuse":
            named = (attempt,) if data.startswith(b"POST /p/") else ()
            return test_endpoints.encode_answer(
                503, {}, test_endpoints.NOT_EXECUTED, *named
            )
        if step["kind"] == "close":
            return b""
        self.ran.add(number)
        if step["kind"] == "odd bytes":
            return step["odd"]
        if step["kind"] == "odd body":
            body = step["body"]
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            return head + body
        self.sound.add(number)
        seal = ("Samphirevale-Response-Seal", "s")
        value = {"items": [{"handle": f"h{number}"}]}
        if data.startswith(b"GET /report"):
            value = {"free_mb": number}
        elif data.startswith(b"POST /stage-free"):
            value = {}
        return test_endpoints.encode_answer(200, value, attempt, seal)


class AnswersTest(base.TestCase):
    """Tests calls of all kinds to one endpoint, one after the other."""

    @inputs.limit_inputs
    @hypothesis.given(CALLS)
    def test_answers(self, calls):
        curio.run(self.check_calls, calls)

    async def test_answer_before_a_release_is_taken_for_its_own(self):
        """Seed 1600000: it has no body, and comes once the call is sent."""
        step = {"kind": "close", "cut": None, "behind": "", "body": b""}
        early = {**step, "before": "early", "odd": b"HTTP/0.0 200\n\n"}
        late = {**step, "kind": "run", "before": "", "odd": b""}
        await self.check_calls([("free", early), ("free", late)])

    async def check_calls(self, calls):
        faulty = FaultyEndpoint(step for _, step in calls)
        server = curio.network.tcp_server_socket("127.0.0.1", 0)
        port = server.getsockname()[1]
        task = await curio.spawn(
            curio.network.run_server, server, faulty.serve, daemon=True
        )
        self.client = endpoints.PlatformEndpoints(test_endpoints.FakeListener())
        self.endpoint = proxy_fakes.build_endpoint(host="127.0.0.1", port=port)
        try:
            for number, (kind, _) in enumerate(calls):
                faulty.number = number
                await self.check_call(kind, number, faulty)
        finally:
            await self.client.close_idle(self.endpoint)
            await task.cancel()

    async def check_call(self, kind, number, faulty):
        try:
            async with curio.timeout_after(CALL_SECONDS):
                await self.call(kind, number, faulty)
        except errors.NotExecutedError:
            self.assertNotIn(number, faulty.ran)
        except (errors.TransportError, curio.TaskTimeout):
            pass

    async def call(self, kind, number, faulty):
        """Makes a call, and checks that what comes back is its own."""
        if kind == "batch":
            items = [proxy_fakes.build_item()]
            (found,) = await self.client.run_batch(self.endpoint, items, 100.0)
            self.assertEqual(bool(found.result), not found.reason)
            text = found.result + found.reason
            self.assertTrue(text.isascii() and text.isprintable(), text)
            self.assertNotIn(",", found.result)
            self.assertLessEqual(len(text), 256)
            if found.result.startswith("h") and found.result[1:].isdigit():
                self.assertEqual(f"h{number}", found.result)
        elif kind == "send":
            answer = await self.client.send(
                self.endpoint,
                proxy_fakes.build_request(attempt=f"a{number}"),
                proxy_fakes.build_send_parameters(),
                lambda started: None,
            )
            async with contextlib.aclosing(answer.read_parts()) as parts:
                body = b"".join([part async for part in parts])
            await answer.close()
            self.assertIn(b'"h%d"' % number, body)
        elif kind == "free":
            await self.client.release(self.endpoint, ["h"])
            self.assertIn(number, faulty.ran)
        else:
            free_bytes = await self.client.read_free_memory(self.endpoint)
            if number in faulty.sound:
                self.assertEqual(number * manifest.MEGABYTE, free_bytes)
            self.assertIn(number, faulty.ran)
