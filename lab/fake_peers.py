"""Fake peers of measured processes, which run as tasks in this process.

A fake sidecar answers a handover according to the handover's input. A fake
entry hands over attempts to a real sidecar. A fake endpoint serves a real
sidecar.
"""

import collections
import contextlib
import itertools
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import curio

from samphirevale import errors, messages, prefixes, token_buffers
from samphirevale.adapters import link as links
from samphirevale.adapters import web, web_server

HOST = "127.0.0.1"

# The interval between heartbeats, in seconds; the default of the settings.
HEARTBEAT_SECONDS = 0.5

# The batch that fake engines report as loaded.
BATCH = "b1"

# The result of a fake stage or service.
RESULT = {"items": ["one", "two", "three"]}


def list_prefixes(count: int, first: int = 0) -> list[str]:
    """Returns different prefixes in the format of heartbeats."""
    digits = messages.PREFIX_DIGITS
    return [f"{number:0{digits}x}" for number in range(first, first + count)]


class Traffic:
    """Counts the traffic on the connections of one real process.

    Attributes:
        counts: the number of frames in both directions, by message type.
    """

    def __init__(self):
        self.counts: collections.Counter[str] = collections.Counter()
        self._links: list[links.Link] = []

    def add_link(self, link: links.Link) -> None:
        """Adds a connection whose bytes are counted."""
        self._links.append(link)

    def read_bytes(self) -> int:
        """Returns the bytes in both directions, with websocket headers."""
        return sum(
            link.bytes_sent + link.bytes_received for link in self._links
        )

    def read_frames(self) -> int:
        """Returns the number of frames in both directions."""
        return self.counts.total()


class FakeSidecar:
    """A fake sidecar to which real entries connect.

    Attributes:
        adopted_at: the arrival time of each revision's snapshot, in
            monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        port: int,
        secret: str,
        traffic: dict[str, Traffic],
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
        cached: int = 0,
    ):
        """Initialises the sidecar without serving yet.

        Args:
            name: the endpoint's name.
            pool: the endpoint's pool.
            port: the port on which it accepts entries.
            secret: the secret shared by the processes.
            traffic: the counters of the connections, by the entry's instance.
            heartbeat_seconds: the interval between its heartbeats.
            cached: the number of prompt prefixes that its endpoint has
                cached.
        """
        self.port = port
        self.name = name
        self.revision = 0
        self.adopted_at: dict[int, float] = {}
        self._pool = pool
        self._secret = secret
        self._traffic = traffic
        self._heartbeat_seconds = heartbeat_seconds
        self._prefixes = list_prefixes(cached)

    async def serve(self) -> None:
        """Serves entries until cancelled."""
        await links.serve(self._serve_entry, HOST, self.port, self._secret)

    async def _serve_entry(self, link: links.Link) -> None:
        hello = messages.Hello(
            f"sidecar-{self.name}",
            "1",
            "sidecar",
            "dc1",
            self.name,
            self._pool,
        )
        await link.send(hello, self.revision)
        frame = await link.receive()
        traffic = self._traffic[frame.message.instance]
        traffic.add_link(link)
        sender = _Sender(link, traffic)
        async with _running(self._send_heartbeats, sender):
            while True:
                frame = await link.receive()
                traffic.counts[frame.message.tag] += 1
                await self._handle_frame(frame, sender)

    async def _send_heartbeats(self, sender: "_Sender") -> None:
        encoder = prefixes.PrefixEncoder()
        for number in itertools.count():
            heartbeat = messages.Heartbeat(
                number,
                False,
                limit=1000,
                service_ms=5.0,
                batches=[BATCH],
                prefixes=self._prefixes,
            )
            await sender.send(encoder.encode(heartbeat), self.revision)
            await curio.sleep(self._heartbeat_seconds)

    async def _handle_frame(
        self, frame: messages.Frame, sender: "_Sender"
    ) -> None:
        message = frame.message
        if isinstance(message, messages.Handover):
            await curio.spawn(self._answer, message, sender, daemon=True)
        elif isinstance(message, messages.Snapshot):
            self.revision = max(self.revision, message.revision)
            self.adopted_at.setdefault(message.revision, time.monotonic())
        elif frame.revision > self.revision:
            request = messages.SnapshotRequest(self.revision)
            await sender.send(request, self.revision)

    async def _answer(
        self, handover: messages.Handover, sender: "_Sender"
    ) -> None:
        tokens = []
        if handover.stream:
            async for chunk in _draw_chunks(handover):
                tokens += chunk.tokens
                await sender.send(chunk, self.revision)
        result = messages.Result(
            handover.request,
            handover.stage,
            handover.attempt,
            None if handover.stream else RESULT,
            len(tokens),
            token_buffers.digest_tokens(tokens) if tokens else "",
            1.0,
            handover.batch,
        )
        await sender.send(result, self.revision)


async def _draw_chunks(
    handover: messages.Handover,
) -> AsyncIterator[messages.Chunk]:
    """Yields `frames` chunks of `size` tokens, `pause` seconds apart."""
    plan = handover.payload["input"]
    for number in range(plan["frames"]):
        await curio.sleep(plan["pause"])
        yield messages.Chunk(
            handover.request,
            handover.stage,
            handover.attempt,
            number * plan["size"],
            [" token"] * plan["size"],
        )


class _Sender:
    """Sends messages on a link and counts them."""

    def __init__(self, link: links.Link, traffic: Traffic):
        self._link = link
        self._traffic = traffic

    async def send(self, message: Any, revision: int) -> None:
        """Sends a message, or drops it if the link is closed."""
        self._traffic.counts[message.tag] += 1
        with contextlib.suppress(errors.PeerClosedError):
            await self._link.send(message, revision)


class FakeEntry:
    """A fake entry that connects to a real sidecar.

    Attributes:
        revision: the highest configuration revision that it has.
        revision_at: the time at which each revision was first seen in a frame
            of the sidecar, in monotonic seconds.
        value: the configuration that it sends to a sidecar on request.
    """

    def __init__(self, name: str, port: int, secret: str, traffic: Traffic):
        self.revision = 0
        self.revision_at: dict[int, float] = {}
        self.value: Any = None
        self._name = name
        self._port = port
        self._secret = secret
        self._traffic = traffic
        self._numbers = itertools.count()
        self._end_events: dict[str, curio.Event] = {}
        self._sender: _Sender | None = None

    async def run(self) -> None:
        """Connects and handles frames until cancelled."""
        async with links.dial(HOST, self._port, self._secret) as link:
            self._sender = _Sender(link, self._traffic)
            self._traffic.add_link(link)
            hello = messages.Hello(self._name, "1", "entry", "dc1", "", "")
            await link.send(hello, 0)
            async with _running(self._send_heartbeats):
                while True:
                    await self._handle_frame(await link.receive())

    async def _send_heartbeats(self) -> None:
        for number in itertools.count():
            heartbeat = messages.Heartbeat(number, False)
            await self._sender.send(heartbeat, self.revision)
            await curio.sleep(HEARTBEAT_SECONDS)

    async def _handle_frame(self, frame: messages.Frame) -> None:
        message = frame.message
        self._traffic.counts[message.tag] += 1
        self.revision_at.setdefault(frame.revision, time.monotonic())
        if isinstance(message, messages.Result | messages.Refusal):
            await self._end_events[message.attempt].set()
        elif isinstance(message, messages.SnapshotRequest) and self.value:
            await self.send_snapshot(self.revision, self.value)

    async def send_snapshot(self, revision: int, value: Any) -> None:
        """Sends a configuration to the sidecar."""
        self.revision = max(self.revision, revision)
        await self._sender.send(messages.Snapshot(revision, value), revision)

    async def hand_over(self, stage: str, batch: str, plan: Any) -> None:
        """Hands over a repeatable attempt and waits until it has ended."""
        attempt = f"{self._name}-{next(self._numbers)}"
        self._end_events[attempt] = curio.Event()
        handover = messages.Handover(
            attempt,
            stage,
            attempt,
            "pipeline",
            "account",
            {"input": plan, "prior": None},
            60_000,
            9,
            True,
            "",
            batch,
            0,
            "0" * 64,
            bool(batch),
        )
        await self._sender.send(handover, self.revision)
        await self._end_events[attempt].wait()
        del self._end_events[attempt]


class FakeEndpoint:
    """A fake engine or stage that a real sidecar calls."""

    def __init__(self, port: int, cached: int):
        """Initialises the endpoint without serving yet.

        Args:
            port: the port that it serves on.
            cached: the number of prompt prefixes that it has cached.
        """
        self.url = f"http://{HOST}:{port}"
        self._port = port
        events = [
            {"number": number + 1, "prefix": f"{number:064x}", "cached": True}
            for number in range(cached)
        ]
        load = {"running": 0, "waiting": 0, "slots": 1000, "age_ms": 5}
        self._answers = {
            "/health": {"incarnation": "one"},
            "/load": load,
            "/state": {"batches": [BATCH], "role": "", "fencing": 0},
            "/run": {"result": RESULT, "busy_ms": 1.0},
            "/cancel": {},
            "/orders": {},
        }
        self._events = events

    async def serve(self) -> None:
        """Serves until cancelled."""
        await web_server.serve(self._answer, HOST, self._port)

    async def _answer(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        if request.path == "/cache-events":
            after = int(request.query.get("after", "0"))
            return web.build_json(200, {"events": self._events[after:]})
        if request.path == "/generate":
            plan = json.loads(json.loads(request.body)["prompt"])
            return web.StreamedResponse(200, _write_tokens(plan))
        return web.build_json(200, self._answers[request.path])


async def _write_tokens(plan: dict) -> AsyncIterator[bytes]:
    tokens = [" token"] * plan["size"]
    for number in range(plan["frames"]):
        await curio.sleep(plan["pause"])
        line = {"sequence": number * plan["size"], "tokens": tokens}
        yield json.dumps(line).encode() + b"\n"
    count = plan["frames"] * plan["size"]
    end = {
        "done": True,
        "count": count,
        "digest": token_buffers.digest_tokens([" token"] * count),
        "busy_ms": 1.0,
    }
    yield json.dumps(end).encode() + b"\n"


@contextlib.asynccontextmanager
async def _running(function: Any, *args: Any) -> AsyncIterator[None]:
    """Runs a task for the duration of the block."""
    task = await curio.spawn(function, *args, daemon=True)
    try:
        yield
    finally:
        await task.cancel()
