"""A test double of the users' servers: plain, streaming and batching."""

import json
from collections.abc import AsyncIterator

import curio

from samphirevale import errors
from samphirevale.adapters import web

# The number of events in a stream.
EVENTS = 5

# The delay of the fault `mute`, in seconds, longer than any test's timeout.
HANG_SECONDS = 100.0


class Server:
    """A server that records its requests.

    Attributes:
        name: the server's id. A request that expects another id gets the
            status 421.
        faults: the faults of the next answers, in order: `full`, `cut`,
            `other` (the answer to another request), `error`, `mute` or empty.
        seen_headers: the headers of each request that was run.
        items: all items that were run.
        freed: the results that were freed.
    """

    def __init__(self, name: str):
        self.name = name
        self.faults: list[str] = []
        self.seen_headers: list[dict[str, str]] = []
        self.items: list[dict] = []
        self.freed: list[str] = []

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Handles one call."""
        expected = request.headers.get("samphirevale-expect-instance")
        if expected not in (None, self.name):
            return web.Response(421)
        if request.path == "/stage-run":
            return self._run_items(json.loads(request.body)["items"])
        if request.path == "/stage-free":
            self.freed += json.loads(request.body)["handles"]
            return web.build_json(200, {})
        return await self._run(request)

    def _run_items(self, items: list[dict]) -> web.Response:
        self.items += items
        results = [
            {"handle": f"{self.name}/{i['id']}/{i['phase']}/{i['segment']}"}
            for i in items
        ]
        return web.build_json(200, {"items": results})

    async def _run(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "mute":
            await curio.sleep(HANG_SECONDS)
        attempt = request.headers["samphirevale-attempt-id"]
        headers = [
            ("Samphirevale-Attempt-Id", "x" if fault == "other" else attempt),
            ("Samphirevale-Response-Seal", f"seal-of-{self.name}"),
        ]
        if fault == "full":
            headers.append(("Samphirevale-Not-Executed", "1"))
            return web.Response(503, b"", tuple(headers))
        self.seen_headers.append(request.headers)
        if "samphirevale-prefix-hash" not in request.headers:
            status = 500 if fault == "error" else 200
            return web.Response(status, request.body, tuple(headers))
        headers.append(("Content-Type", "text/event-stream"))
        first = int(request.headers.get("last-event-id", "0")) + 1
        return web.StreamedResponse(
            200, _stream_events(first, fault == "cut"), tuple(headers)
        )


async def _stream_events(first: int, cut: bool) -> AsyncIterator[bytes]:
    for number in range(first, EVENTS + 1):
        if cut and number == 3:
            yield b"id: 3\nda"
            raise errors.AnswerLostError("cut by a fault")
        yield b"id: %d\ndata: e%d\n\n" % (number, number)
