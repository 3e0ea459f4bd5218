"""Callers that read streams and take them up, and send plain requests."""

import contextlib
import itertools
import random
import time

import curio

from lab.soak import records, system
from samphirevale import errors
from samphirevale.adapters import web_client

# The longest time for one request, in seconds. Entries are paused for less.
LEG_SECONDS = 12.0

# The largest number of requests for one stream.
LEGS_LIMIT = 12

# How long after the play streams are taken up, in seconds.
REST_SECONDS = 3.0

# The share of requests after some events of which the caller leaves.
LEAVING_SHARE = 0.35

# The share of requests on a new connection.
NEW_SHARE = 0.2

# The pauses between two requests for a stream, and after a refusal, in seconds.
PAUSE_SECONDS = (0.0, 0.3)
REFUSED_SECONDS = (0.05, 0.5)


class _Progress:
    """What has come of the answer to one request so far."""

    def __init__(self):
        self.status = 0
        self.events: list[tuple[int, str]] = []
        self.text = b""


class Caller:
    """One caller with its open connections."""

    def __init__(
        self,
        name: str,
        entries: list[system.Entry],
        port: int,
        events: int,
        seed: str,
        legs: list[records.Leg],
    ):
        """Initializes it.

        Args:
            name: the prefix of the ids of its requests.
            entries: the entries that it sends to.
            port: their port for callers.
            events: the number of events of a whole stream.
            seed: the seed of what it does.
            legs: gets its requests.
        """
        self._name = name
        self._entries = entries
        self._port = port
        self._events = events
        self._rng = random.Random(seed)
        self._legs = legs
        self._numbers = itertools.count(1)
        self._kept: dict[str, web_client.ClientConnection] = {}

    async def read_streams(self, until: float) -> None:
        """Reads streams until a time, and takes the last one up for longer."""
        while time.monotonic() < until:
            await self._read_stream(until + REST_SECONDS)
            await self._pause(PAUSE_SECONDS)
        await self._close()

    async def _read_stream(self, until: float) -> None:
        prefix = self._rng.choice((system.STREAMS, system.STAGED))
        # No two streams share a part, as parts that endpoints seem to crash
        # under are refused.
        part = f"{self._name}-{next(self._numbers)}"
        common = {"Samphirevale-Prefix-Hash": f"{part}:10,{part}-q:5"}
        if prefix == system.STAGED:
            common["Samphirevale-Chunk-Count"] = "2"
            common["Samphirevale-Chunk-Key"] = part
        stream = ""
        last = 0
        for _ in range(LEGS_LIMIT):
            attempt = f"{self._name}-{next(self._numbers)}"
            taking_up = {"Last-Event-Id": str(last), "Resumes": stream}
            extra = common | taking_up if last else common
            leaves_after = None
            if self._rng.random() < LEAVING_SHARE:
                leaves_after = self._rng.randrange(1, self._events)
            leg = await self._send(
                stream or attempt,
                attempt,
                prefix + "x",
                last,
                extra,
                leaves_after,
            )
            if leg.events:
                stream = stream or attempt
                last = leg.events[-1][0]
            if leg.end == records.COMPLETE or last >= self._events:
                return
            if time.monotonic() > until:
                return
            refused = leg.end in (records.REFUSED, records.UNREACHABLE)
            await self._pause(REFUSED_SECONDS if refused else PAUSE_SECONDS)

    async def send_plain(self, until: float) -> None:
        """Sends plain requests until a time."""
        while time.monotonic() < until:
            prefix = self._rng.choice((system.REPEATABLE, system.ONCE))
            attempt = f"{self._name}-{next(self._numbers)}"
            # No two requests are the same, as those under which endpoints seem
            # to crash are refused.
            path = f"{prefix}{attempt}"
            await self._send(attempt, attempt, path, 0, {}, None)
            await self._pause(PAUSE_SECONDS)
        await self._close()

    async def _pause(self, seconds: tuple[float, float]) -> None:
        await curio.sleep(self._rng.uniform(*seconds))

    async def _send(
        self,
        stream: str,
        attempt: str,
        path: str,
        last: int,
        extra: dict[str, str],
        leaves_after: int | None,
    ) -> records.Leg:
        """Sends one request and records what came of it."""
        entry = self._rng.choice(self._entries)
        headers = {
            "Samphirevale-Attempt-Id": attempt,
            "Samphirevale-Deadline-Ms": str(system.TIMEOUT_MS),
            "Samphirevale-Key": system.KEY,
            **extra,
        }
        sent_at = time.time()
        progress = _Progress()
        end = records.UNREACHABLE
        text = ""
        kept = False
        connection = None
        is_open = False
        try:
            connection, kept = await self._connect(entry)
            async with curio.timeout_after(LEG_SECONDS):
                end = records.BROKEN
                end = await self._read_answer(
                    connection, path, headers, progress, leaves_after
                )
            is_open = end != records.LEFT and connection.is_reusable()
        except curio.TaskTimeout:
            end = records.SILENT
        except errors.TransportError as error:
            text = f"{type(error).__name__}: {error}"
        finally:
            if is_open:
                self._kept[entry.host] = connection
            elif connection is not None:
                await connection.close()
        leg = records.Leg(
            stream,
            attempt,
            path,
            entry.name,
            sent_at,
            time.time(),
            progress.status,
            last,
            tuple(progress.events),
            end,
            text or progress.text.decode(errors="replace")[:200],
            kept,
        )
        self._legs.append(leg)
        return leg

    async def _connect(
        self, entry: system.Entry
    ) -> tuple[web_client.ClientConnection, bool]:
        """Returns a connection, and whether it was open before."""
        kept = self._kept.pop(entry.host, None)
        if kept is not None:
            if not kept.is_stale() and self._rng.random() >= NEW_SHARE:
                return kept, True
            await kept.close()
        return await web_client.open_connection(entry.host, self._port), False

    async def _read_answer(
        self,
        connection: web_client.ClientConnection,
        path: str,
        headers: dict[str, str],
        progress: _Progress,
        leaves_after: int | None,
    ) -> str:
        """Reads an answer, and returns how it ended."""
        answer = await connection.request(
            "POST", path, b"", tuple(headers.items()), system.HOST
        )
        progress.status = answer.status
        content = answer.headers.get("content-type", "")
        is_stream = content.startswith("text/event-stream")
        async with contextlib.aclosing(answer.read_parts()) as parts:
            async for part in parts:
                progress.text += part
                if not is_stream:
                    continue
                *texts, progress.text = progress.text.split(b"\n\n")
                progress.events += map(parse_event, texts)
                if leaves_after is not None and (
                    len(progress.events) >= leaves_after
                ):
                    return records.LEFT
        return records.COMPLETE if answer.status == 200 else records.REFUSED

    async def _close(self) -> None:
        """Closes the open connections."""
        for connection in self._kept.values():
            await connection.close()


def parse_event(text: bytes) -> tuple[int, str]:
    """Returns the number and the version of an event.

    What is no event of an endpoint has the number 0 and its text as version.
    """
    match text.decode(errors="replace").split():
        case ["id:", number, "data:", name, version] if name == f"e{number}":
            return int(number), version
    return 0, text.decode(errors="replace")[:80]
