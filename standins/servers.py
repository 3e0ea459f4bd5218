"""A test double of the users' servers: plain, streaming and batching."""

import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import curio

from samphirevale import errors
from samphirevale.adapters import web

# The number of events in a stream, if nothing else is said.
EVENTS = 5

# The delay of the fault `mute`, in seconds, longer than any test's timeout.
HANG_SECONDS = 100.0

# The delay of a slow report, in seconds.
SLOW_SECONDS = 0.6

# The header that says that a request did not run and never will.
NOT_EXECUTED = ("Samphirevale-Not-Executed", "1")


# Answers a request for a report that is wrong in some way, given a sound one.
ReportFault = Callable[
    [dict[str, object]], Awaitable[web.Response | web.StreamedResponse]
]


class Arrival(NamedTuple):
    """A call that reached a server.

    Attributes:
        at: the time of the arrival, monotonic, in seconds.
        path: the path of the call.
        attempt: the id of the caller's attempt; empty for a stage call.
    """

    at: float
    path: str
    attempt: str


class Pause(NamedTuple):
    """A time during which a server refuses all calls.

    Attributes:
        began_at: the begin of the time, monotonic, in seconds.
        ends_at: the end of the time, monotonic, in seconds.
        retry_after: the text sent in `Retry-After`, which may be malformed.
    """

    began_at: float
    ends_at: float
    retry_after: str


class ColdTime(NamedTuple):
    """A time during which a server bears few calls.

    Attributes:
        ends_at: the end of the time, monotonic, in seconds.
        most_calls: the largest number of calls in a second.
        stated: whether all answers state the rest of the time.
    """

    ends_at: float
    most_calls: int
    stated: bool


class Server:
    """A server that records its requests.

    Attributes:
        name: the server's id. A request that expects another id gets the
            status 421.
        version: the version of the server's software, which it registers and
            writes in each event; empty for none.
        born: identifies the server's start; None if its reports do not say it.
        leaving: whether all answers say that the server leaves.
        limit: the requests a second that all answers say the server takes, as
            the text of the header; empty for none.
        cold: the cold time; None if the server is not cold. More calls in a
            second than it bears crash the server.
        pause: the latest pause; None if there was none.
        report_fault: what is wrong with all reports, a name in REPORT_FAULTS;
            empty if nothing is.
        faults: the faults of the next runs and stage calls, in order: `full`,
            `cut`, `other` (the answer to another request), `other refused` (a
            run, and the refusal of another request), `claimed 503` and the
            like (a run, and that status), `error`, `mute`,
            `silent` (a silence before the answer), `late` (a silence before
            the first event), `stall` (a silence in the middle of a stream) or
            empty. Of these, only `full`, `mute` and `silent` affect stage
            calls.
        silence_seconds: the duration of a silence, in which none of the
            server's calls and streams goes on.
        events: the number of events in a stream.
        event_seconds: the time to make an event of a stream.
        call_seconds: the time that a stage call takes.
        item_faults: the reasons of the next items that are not made, in order.
        free_mb: the free memory for results that the server reports.
        ended: the names of servers whose results are gone.
        arrivals: all calls that reached the server, in order.
        seen_headers: the headers of each request that was run.
        items: all items that were run.
        freed: the results that were freed.
        crashing_part: the part of a prompt that crashes the server when it
            begins to answer; empty for none. The last part never does.
        starts: the number of times that the server has started. A crash ends
            all its streams and is followed by a start.
    """

    def __init__(self, name: str, version: str = ""):
        self.name = name
        self.version = version
        self.born: int | None = 1
        self.leaving = False
        self.limit = ""
        self.cold: ColdTime | None = None
        self.pause: Pause | None = None
        self.report_fault = ""
        self.faults: list[str] = []
        self.silence_seconds = 1.2
        self.events = EVENTS
        self.event_seconds = 0.0
        self.call_seconds = 0.0
        self.item_faults: list[str] = []
        self.free_mb = 100.0
        self.ended: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.seen_headers: list[dict[str, str]] = []
        self.items: list[dict] = []
        self.freed: list[str] = []
        self.crashing_part = ""
        self.starts = 1
        self._silent_until = 0.0

    def begin_pause(
        self, seconds: float, now: float, retry_after: str = ""
    ) -> None:
        """Refuses all calls for `seconds`.

        Args:
            seconds: the duration of the pause.
            now: the present time, monotonic, in seconds.
            retry_after: the text sent in `Retry-After`; empty for the time
                that is left of the pause.
        """
        self.pause = Pause(now, now + seconds, retry_after)

    def list_arrivals(self, begin: float, end: float) -> list[Arrival]:
        """Returns the calls that arrived from `begin` on and before `end`."""
        return [call for call in self.arrivals if begin <= call.at < end]

    async def handle(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Handles one call."""
        attempt = request.headers.get("samphirevale-attempt-id", "")
        now = time.monotonic()
        self.arrivals.append(Arrival(now, request.path, attempt))
        cold_rest = self.cold.ends_at - now if self.cold else 0.0
        if cold_rest > 0 and (
            len(self.list_arrivals(now - 1.0, now)) >= self.cold.most_calls
        ):
            self._start_again()
            raise errors.AnswerLostError("the cold server has crashed")
        await self._wait_for_silence_end()
        response = self._refuse(request, time.monotonic())
        if response is None:
            response = await self._answer(request)
        notices = []
        if self.leaving:
            notices.append(("Server-Leaving", "1"))
        if self.limit:
            notices.append(("Server-Limit", self.limit))
        if cold_rest > 0 and self.cold.stated:
            rest_ms = str(int(cold_rest * 1000))
            notices.append(("Samphirevale-Cold-Ms", rest_ms))
        return response._replace(headers=(*response.headers, *notices))

    def _refuse(self, request: web.Request, now: float) -> web.Response | None:
        expected = request.headers.get("samphirevale-expect-instance")
        if expected not in (None, self.name):
            return web.Response(421)
        if self.pause is None or now >= self.pause.ends_at:
            return None
        seconds = self.pause.ends_at - now
        retry_after = self.pause.retry_after or f"{seconds:.3f}"
        return web.Response(
            503, b"", (NOT_EXECUTED, ("Retry-After", retry_after))
        )

    async def _answer(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        if request.path == "/report":
            report = {"queued": 0, "busy": False, "free_mb": self.free_mb}
            if self.born is not None:
                report["born"] = self.born
            if not self.report_fault:
                return web.build_json(200, report)
            return await REPORT_FAULTS[self.report_fault](report)
        if request.path == "/stage-free":
            self.freed += json.loads(request.body)["handles"]
            return web.build_json(200, {})
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "mute":
            await curio.sleep(HANG_SECONDS)
        if fault == "silent":
            await self._fall_silent()
        if request.path == "/stage-run":
            if fault == "full":
                return web.Response(503, b"", (NOT_EXECUTED,))
            await curio.sleep(self.call_seconds)
            return self._run_items(json.loads(request.body)["items"])
        return self._run(request, fault)

    def _run_items(self, items: list[dict]) -> web.Response:
        self.items += items
        return web.build_json(200, {"items": list(map(self._run_item, items))})

    def _run_item(self, item: dict) -> dict[str, str]:
        if self.item_faults:
            return {"reason": self.item_faults.pop(0)}
        inputs = item.get("inputs", ())
        if self.ended & {name.partition("/")[0] for name in inputs}:
            return {"reason": "gone"}
        parts = (item["id"], item["phase"], item["segment"])
        return {"handle": "/".join(map(str, (self.name, *parts)))}

    def _run(
        self, request: web.Request, fault: str
    ) -> web.Response | web.StreamedResponse:
        attempt = request.headers["samphirevale-attempt-id"]
        headers = [
            (
                "Samphirevale-Attempt-Id",
                "x" if fault.startswith("other") else attempt,
            ),
            ("Samphirevale-Response-Seal", f"seal-of-{self.name}"),
        ]
        if fault == "full":
            headers.append(NOT_EXECUTED)
            return web.Response(503, b"", tuple(headers))
        self.seen_headers.append(request.headers)
        if fault.startswith("claimed"):
            status = int(fault.split()[-1])
            return web.Response(status, request.body, tuple(headers))
        if fault == "other refused":
            return web.Response(503, b"", (*headers, NOT_EXECUTED))
        if "samphirevale-prefix-hash" not in request.headers:
            status = 500 if fault == "error" else 200
            return web.Response(status, request.body, tuple(headers))
        headers.append(("Content-Type", "text/event-stream"))
        events = self._stream_events(request.headers, fault)
        return web.StreamedResponse(200, events, tuple(headers))

    async def _stream_events(
        self, request_headers: dict[str, str], fault: str
    ) -> AsyncIterator[bytes]:
        start = self.starts
        first = int(request_headers.get("last-event-id", "0")) + 1
        if fault == "late":
            await self._fall_silent()
        if self.crashing_part in _list_shared_parts(request_headers):
            self._start_again()
        for number in range(first, self.events + 1):
            if self.starts != start:
                raise errors.AnswerLostError("the server has crashed")
            if fault == "cut" and number == 3:
                yield b"id: 3\nda"
                raise errors.AnswerLostError("cut by a fault")
            if fault == "stall" and number == 3:
                await self._fall_silent()
            await curio.sleep(self.event_seconds)
            await self._wait_for_silence_end()
            yield build_event(number, self.version)

    def _start_again(self) -> None:
        """Ends all streams; the reports say another start from now on."""
        self.starts += 1
        if self.born is not None:
            self.born += 1

    async def _fall_silent(self) -> None:
        self._silent_until = time.monotonic() + self.silence_seconds
        await self._wait_for_silence_end()

    async def _wait_for_silence_end(self) -> None:
        """Returns when no silence is left."""
        while (left := self._silent_until - time.monotonic()) > 0:
            await curio.sleep(left)


def _answer_with(*arguments: object, **options: object) -> ReportFault:
    """Returns a fault that gives the same answer for each report."""

    async def answer(report: dict[str, object]) -> web.Response:
        return web.Response(*arguments, **options)

    return answer


def _change(**changes: object) -> ReportFault:
    """Returns a fault that changes fields of a report; None removes one."""

    async def answer(report: dict[str, object]) -> web.Response:
        fields = {**report, **changes}
        kept = {name: fields[name] for name in fields if fields[name]}
        return web.build_json(200, kept)

    return answer


async def _break_off(report: dict[str, object]) -> web.StreamedResponse:
    """Ends the connection within the answer."""

    async def write() -> AsyncIterator[bytes]:
        yield json.dumps(report).encode()[:-1]
        raise errors.AnswerLostError("cut by a fault")

    return web.StreamedResponse(200, write())


async def _close(report: dict[str, object]) -> web.Response:
    raise errors.AnswerLostError("closed by a fault")


async def _close_behind(report: dict[str, object]) -> web.Response:
    answer = web.build_json(200, report)
    closing = ("Connection", "close")
    return answer._replace(headers=(*answer.headers, closing))


async def _delay(report: dict[str, object]) -> web.Response:
    await curio.sleep(SLOW_SECONDS)
    return web.build_json(200, report)


async def _hang(report: dict[str, object]) -> web.Response:
    await curio.sleep(HANG_SECONDS)
    return web.build_json(200, report)


# The faults of reports by name.
REPORT_FAULTS: dict[str, ReportFault] = {
    "refused": _answer_with(503, b"", (NOT_EXECUTED,)),
    "failed": _answer_with(500),
    "overloaded": _answer_with(429, b"", (NOT_EXECUTED,)),
    "absent": _answer_with(404),
    "not allowed": _answer_with(405),
    "misdirected": _answer_with(421, b"", (NOT_EXECUTED,)),
    "closed": _close,
    "cut": _break_off,
    "empty": _answer_with(200),
    "unreadable": _answer_with(200, b"{\xff"),
    "no object": _answer_with(200, b"[]"),
    "no start": _change(born=None),
    "odd start": _change(born="soon"),
    "other start": _change(born=987654321),
    "closing": _close_behind,
    "silent": _hang,
    "slow": _delay,
}


def _list_shared_parts(request_headers: dict[str, str]) -> list[str]:
    """Returns the parts of a request's prompt but the last one."""
    prompt = request_headers.get("samphirevale-prefix-hash", "")
    return [part.partition(":")[0] for part in prompt.split(",")[:-1]]


def build_event(number: int, version: str = "") -> bytes:
    """Returns an event of a stream as written by a server of that version."""
    text = f"e{number} {version}".rstrip()
    return f"id: {number}\ndata: {text}\n\n".encode()
