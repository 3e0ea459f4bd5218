"""A whole sidecar on curio, with a fake endpoint and a linked entry."""

import contextlib
import hashlib
import json

import curio

from samphirevale import (
    configuration,
    invariants,
    lifecycle,
    messages,
    settings,
    sidecar,
)
from samphirevale.adapters import link, web
from tests import base

SECRET = "a-secret-between-processes"
ANSWER = ["a", "b", "c", "d"]


def digest_tokens(tokens):
    text = "".join(f"{token}\n" for token in tokens)
    return hashlib.sha256(text.encode()).hexdigest()


def build_lines(tokens, offset=0):
    lines = [
        {"sequence": number, "tokens": [token]}
        for number, token in enumerate(tokens)
        if number >= offset
    ]
    return [*lines, build_end(tokens)]


def build_end(tokens):
    return {
        "done": True,
        "count": len(tokens),
        "digest": digest_tokens(tokens),
        "busy_ms": 1.0,
    }


class FakeEndpoint:
    """An endpoint whose answers wait for `gate` and follow `lines`."""

    def __init__(self):
        self.port = base.find_free_port()
        self.runs = []
        self.cancelled = []
        self.orders = []
        self.batches = ["b1"]
        self.gate = curio.Event()
        self.gate_after_first = False
        self.lines = build_lines(ANSWER)
        self.status = 200
        self.break_runs = False
        self.task = None

    async def start(self):
        self.task = await curio.spawn(
            web.serve, self.answer, "127.0.0.1", self.port
        )

    async def stop(self):
        await self.task.cancel()

    async def answer(self, request):
        fixed = {
            "/health": {"incarnation": "one"},
            "/load": {"running": 0, "waiting": 0, "slots": 4, "age_ms": 5},
            "/cache-events": {"events": []},
            "/state": {"batches": self.batches, "role": "", "fencing": 0},
        }
        if request.path in fixed:
            return web.build_json(200, fixed[request.path])
        body = json.loads(request.body)
        if request.path == "/cancel":
            self.cancelled.append(body["attempt"])
            return web.build_json(200, {})
        if request.path == "/orders":
            self.orders.append(body)
            return web.build_json(200, {})
        return await self.run(request.path, body)

    async def run(self, path, body):
        self.runs.append(body["attempt"])
        if self.status != 200:
            return web.build_json(self.status, {"error": "on purpose"})
        if path == "/generate":
            return web.StreamedResponse(200, self.stream())
        await self.gate.wait()
        if self.break_runs:
            return web.StreamedResponse(200, self.break_off())
        return web.build_json(200, {"result": body["input"], "busy_ms": 2})

    async def break_off(self):
        yield b'{"result": '
        raise OSError("broken on purpose")

    async def stream(self):
        if not self.gate_after_first:
            await self.gate.wait()
        for number, line in enumerate(self.lines):
            if number == 1 and self.gate_after_first:
                await self.gate.wait()
            yield json.dumps(line).encode() + b"\n"
        if self.break_runs:
            raise OSError("broken on purpose")


class SidecarTestCase(base.TestCase):
    """Starts a sidecar beside a fake endpoint."""

    @contextlib.asynccontextmanager
    async def running(self, kind="engine", **changes):
        self.endpoint = FakeEndpoint()
        await self.endpoint.start()
        common = settings.CommonSettings(
            instance="sidecar-1",
            data_centre="dc1",
            host="127.0.0.1",
            admin_port=base.find_free_port(),
            store_url=f"http://127.0.0.1:{base.find_free_port()}",
            peer_secret=SECRET,
            heartbeat_seconds=0.1,
            suspect_seconds=5.0,
            drain_seconds=5.0,
            fatal_invariants=True,
        )
        self.settings = settings.SidecarSettings(
            common=common,
            peer_port=base.find_free_port(),
            endpoint="endpoint-1",
            endpoint_url=f"http://127.0.0.1:{self.endpoint.port}",
            endpoint_kind=kind,
            pool="pool-1",
            load_seconds=0.05,
            **changes,
        )
        invariants.set_fatal(True)
        self.life = lifecycle.Lifecycle()
        self.sidecar = sidecar.Sidecar(self.settings)
        task = await curio.spawn(self.sidecar.run, self.life)
        try:
            yield
        finally:
            await self.endpoint.gate.set()
            await self.life.request_stop("test")
            await task.join()
            await self.endpoint.stop()

    @contextlib.asynccontextmanager
    async def connected(self, revision=1):
        """Dials as an entry, hands the configuration over, waits for health."""
        connection = await self._dial()
        async with connection as entry:
            await entry.send(
                messages.Hello("entry-1", "token", "entry", "dc1", "", ""), 0
            )
            value = self.build_configuration(revision)
            await entry.send(messages.Snapshot(revision, value), revision)
            while True:
                frame = await entry.receive()
                if (
                    isinstance(frame.message, messages.Heartbeat)
                    and frame.message.healthy
                    and frame.revision >= revision
                ):
                    break
            yield entry

    async def _dial(self):
        for _ in range(100):
            with contextlib.suppress(Exception):
                async with link.dial(
                    "127.0.0.1", self.settings.peer_port, SECRET
                ):
                    break
            await curio.sleep(0.02)
        return link.dial("127.0.0.1", self.settings.peer_port, SECRET)

    def build_configuration(self, revision, state="serving", draining=()):
        return configuration.ConfigurationValue(
            revision=revision,
            pipelines={},
            accounts={},
            batches={
                "b1": configuration.BatchConfiguration(
                    model="m",
                    version="1",
                    adapter="",
                    pool="pool-1",
                    state=state,
                    order=1,
                )
            },
            draining=list(draining),
            orders=[],
        )

    def build_handover(self, attempt="a1", **changes):
        handover = messages.Handover(
            request="r1",
            stage="generate",
            attempt=attempt,
            pipeline="p",
            account="account-1",
            payload={"input": "hello", "prior": None},
            remaining_ms=5000,
            priority=0,
            repeatable=True,
            key="",
            batch="b1",
            offset=0,
            fingerprint="f1",
            stream=True,
        )
        return handover._replace(**changes)

    async def hand_over(self, entry, **changes):
        await entry.send(self.build_handover(**changes), 1)

    async def receive(self, entry, *types):
        while True:
            frame = await entry.receive()
            if isinstance(frame.message, types):
                return frame.message

    async def receive_ending(self, entry):
        """Returns the tokens that came, and the result or the refusal."""
        tokens = []
        while True:
            message = (await entry.receive()).message
            if isinstance(message, messages.Chunk):
                self.assertEqual(message.sequence, len(tokens))
                tokens += message.tokens
            if isinstance(message, messages.Result | messages.Refusal):
                return tokens, message

    async def wait_for_runs(self, count):
        while len(self.endpoint.runs) < count:
            await curio.sleep(0.01)


class PathTest(SidecarTestCase):
    """The path of one attempt."""

    async def test_streams_an_engines_answer(self):
        async with self.running(), self.connected() as entry:
            await self.endpoint.gate.set()
            await self.hand_over(entry)
            tokens, ending = await self.receive_ending(entry)
            self.assertEqual(tokens, ANSWER)
            self.assertEqual(ending.count, 4)
            self.assertEqual(ending.digest, digest_tokens(ANSWER))

    async def test_gives_a_stages_result(self):
        async with self.running("stage"), self.connected() as entry:
            await self.endpoint.gate.set()
            await self.hand_over(entry, batch="")
            _, ending = await self.receive_ending(entry)
            self.assertEqual(ending.payload, "hello")
