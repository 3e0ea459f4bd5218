"""A stand-in of the users' servers: plain, streaming and batching ones."""

import json
from collections.abc import AsyncIterator

import curio

from samphirevale import errors
from samphirevale.adapters import web

EVENTS = 5

# Longer than any test waits, in seconds.
MUTE_SECONDS = 100.0


class Server:
    """One server, which keeps what it was asked.

    Attributes:
        name: its id; another expected one is answered 421.
        faults: how the next answers go wrong, in order: `full`, `cut`,
            `other` (the answer of another request), `error`, `mute` or
            empty.
        seen: the headers of each request that it ran.
        items: all pieces that it made.
        freed: the results that it was told to free.
    """

    def __init__(self, name: str):
        self.name = name
        self.faults: list[str] = []
        self.seen: list[dict[str, str]] = []
        self.items: list[dict] = []
        self.freed: list[str] = []

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Answers one call."""
        expected = request.headers.get("samphirevale-expect-instance")
        if expected not in (None, self.name):
            return web.Response(421)
        if request.path == "/stage-run":
            return self._make_pieces(json.loads(request.body)["items"])
        if request.path == "/stage-free":
            self.freed += json.loads(request.body)["handles"]
            return web.build_json(200, {})
        return await self._run(request)

    def _make_pieces(self, items: list[dict]) -> web.Response:
        self.items += items
        made = [
            {"handle": f"{self.name}/{i['id']}/{i['phase']}/{i['segment']}"}
            for i in items
        ]
        return web.build_json(200, {"items": made})

    async def _run(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "mute":
            await curio.sleep(MUTE_SECONDS)
        attempt = request.headers["samphirevale-attempt-id"]
        given = [
            ("Samphirevale-Attempt-Id", "x" if fault == "other" else attempt),
            ("Samphirevale-Response-Seal", f"seal-of-{self.name}"),
        ]
        if fault == "full":
            given.append(("Samphirevale-Not-Executed", "1"))
            return web.Response(503, b"", tuple(given))
        self.seen.append(request.headers)
        if "samphirevale-prefix-hash" not in request.headers:
            status = 500 if fault == "error" else 200
            return web.Response(status, request.body, tuple(given))
        given.append(("Content-Type", "text/event-stream"))
        first = int(request.headers.get("last-event-id", "0")) + 1
        return web.StreamedResponse(
            200, _produce(first, fault == "cut"), tuple(given)
        )


async def _produce(first: int, cut: bool) -> AsyncIterator[bytes]:
    for number in range(first, EVENTS + 1):
        if cut and number == 3:
            yield b"id: 3\nda"
            raise errors.AnswerLostError("cut by a fault")
        yield b"id: %d\ndata: e%d\n\n" % (number, number)
