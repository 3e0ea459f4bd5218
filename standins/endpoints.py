"""What the endpoints share: record of runs, places to run, faults."""

import collections
import contextlib
import hashlib
import heapq
import itertools
import json
import os
import random
import time
from collections.abc import AsyncIterator
from typing import Any, NamedTuple, TypedDict

import curio

from samphirevale import errors
from samphirevale.adapters import web
from standins import faults, histories, programs

# The most runs, and the most orders, that a record keeps.
RECORD_LIMIT = 200_000


class Run(TypedDict):
    """One run, as the record shows it.

    Keys:
        request, attempt, key, batch: as the caller gave them.
        input_digest: SHA-256 in hex of the input's canonical JSON.
        started, ended: on the machine's monotonic clock, in seconds.
        status: `running`, `done`, `failed`, `cancelled`, `lost` (the answer
            was not sent on purpose) or `broken` (it could not be sent).
        count: tokens in the whole answer; 0 where it has none.
        digest: SHA-256 in hex over the answer.
    """

    request: str
    attempt: str
    key: str
    input_digest: str
    batch: str
    started: float
    ended: float | None
    status: str
    count: int
    digest: str


class OrderRecord(TypedDict):
    """One order, as the record shows it; `at` as in Run."""

    order: str
    batch: str
    fencing: int
    accepted: bool
    at: float


def compute_digest(value: Any) -> str:
    """Returns SHA-256 in hex of a JSON value in canonical form."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return hashlib.sha256(text.encode()).hexdigest()


class Record:
    """Everything that an endpoint ran."""

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        """Forgets all."""
        self._runs = collections.deque(maxlen=RECORD_LIMIT)
        self._orders = collections.deque(maxlen=RECORD_LIMIT)

    def begin(
        self, fields: dict[str, Any], value: Any, batch: str, now: float
    ) -> Run:
        """Adds a run of the input `value` that begins now."""
        run = Run(
            request=fields.get("request", ""),
            attempt=fields.get("attempt", ""),
            key=fields.get("key", ""),
            input_digest=compute_digest(value),
            batch=batch,
            started=now,
            ended=None,
            status="running",
            count=0,
            digest="",
        )
        self._runs.append(run)
        return run

    def add_order(
        self, order: str, batch: str, fencing: int, accepted: bool, now: float
    ) -> None:
        """Adds an order."""
        self._orders.append(
            OrderRecord(
                order=order,
                batch=batch,
                fencing=fencing,
                accepted=accepted,
                at=now,
            )
        )

    def describe(self) -> dict[str, list]:
        """Returns all of it as JSON."""
        return {"runs": list(self._runs), "orders": list(self._orders)}


class PlacesFullError(Exception):
    """As many wait as may."""


class WaitCancelledError(Exception):
    """The wait for a place was cancelled."""


class Load(NamedTuple):
    """How many run and wait."""

    running: int
    waiting: int


class Ticket:
    """One wait for a place; priority 0 is the most urgent."""

    def __init__(self, priority: int = 0):
        self.priority = priority
        self.cancelled = False
        self.called = curio.Event()


class Places:
    """A number of places to run in, and a queue by priority before them."""

    def __init__(self, count: int, waiting_limit: int):
        self.count = count
        self.loads = histories.History(Load(0, 0), time.monotonic())
        self._waiting_limit = waiting_limit
        self._running = 0
        self._queue: list[tuple[int, int, Ticket]] = []
        self._numbers = itertools.count()

    def is_full(self) -> bool:
        """Tells whether nothing more may wait."""
        return (
            self._running >= self.count
            and len(self._queue) >= self._waiting_limit
        )

    @contextlib.asynccontextmanager
    async def hold(self, ticket: Ticket) -> AsyncIterator[None]:
        """Holds a place for the block; waits for one if there is none.

        Raises:
            PlacesFullError: too many wait already.
            WaitCancelledError: `cancel_wait` was called.
        """
        if self.is_full():
            raise PlacesFullError
        await self._take(ticket)
        try:
            yield
        finally:
            await self._give_back()

    async def cancel_wait(self, ticket: Ticket) -> None:
        """Ends the ticket's wait, if it waits."""
        ticket.cancelled = True
        if self._leave_queue(ticket):
            await ticket.called.set()

    async def _take(self, ticket: Ticket) -> None:
        if self._running < self.count:
            self._running += 1
            self._note_load()
            return
        entry = (ticket.priority, next(self._numbers), ticket)
        heapq.heappush(self._queue, entry)
        self._note_load()
        try:
            await ticket.called.wait()
        except BaseException:
            if not self._leave_queue(ticket) and not ticket.cancelled:
                await self._give_back()
            raise
        if ticket.cancelled:
            raise WaitCancelledError

    def _leave_queue(self, ticket: Ticket) -> bool:
        rest = [entry for entry in self._queue if entry[2] is not ticket]
        found = len(rest) < len(self._queue)
        self._queue = rest
        heapq.heapify(self._queue)
        self._note_load()
        return found

    async def _give_back(self) -> None:
        if self._queue:
            _, _, ticket = heapq.heappop(self._queue)
            await ticket.called.set()
        else:
            self._running -= 1
        self._note_load()

    def _note_load(self) -> None:
        load = Load(self._running, len(self._queue))
        self.loads.put(load, time.monotonic())


class Endpoint(programs.Program):
    """An endpoint: keeps a record and has the faults that all share."""

    ROUTES = programs.Routes(programs.Program.ROUTES)
    FAULTS = faults.Registry(programs.Program.FAULTS)
    FAULTS.declare("slow_factor", faults.POSITIVE)
    FAULTS.declare("fail", faults.FLAG)
    FAULTS.declare("crash_on", faults.TEXT)
    FAULTS.declare("lose_answer", faults.FLAG)

    def __init__(self):
        super().__init__()
        self.record = Record()

    @staticmethod
    @FAULTS.guard("refuse", faults.FLAG)
    async def refuse(value: Any) -> web.Response:
        """Refuses all calls."""
        return programs.build_error(503, "refused by a fault switch")

    @staticmethod
    @FAULTS.guard("hang", faults.FLAG)
    async def hang(value: Any) -> None:
        """Never answers."""
        await programs.hang()

    async def pace(self, seconds: float) -> None:
        """Sleeps, longer while the endpoint is slowed."""
        await curio.sleep(seconds * (self.read_fault("slow_factor") or 1))

    def crash_if_told(self, value: Any) -> None:
        """Ends the process at once if the input holds the fatal text."""
        text = self.read_fault("crash_on")
        if text and text in json.dumps(value, ensure_ascii=False):
            os._exit(1)

    @ROUTES.add("GET", "/record", control=True)
    async def show_record(self, request: web.Request) -> web.Response:
        """Answers everything that was run."""
        return web.build_json(200, self.record.describe())

    @ROUTES.add("DELETE", "/record", control=True)
    async def clear_record(self, request: web.Request) -> web.Response:
        """Forgets what was run."""
        self.record.clear()
        return web.build_json(200, self.record.describe())


class Pool(NamedTuple):
    """The workers of an endpoint and how long they take.

    Attributes:
        workers: calls that run at once.
        waiting_limit: calls that wait at most; others are refused.
        base_seconds: least time of one call.
        jitter_seconds: most that is added to it.
        seed: seed of what is drawn.
    """

    workers: int
    waiting_limit: int
    base_seconds: float
    jitter_seconds: float
    seed: int


class PooledEndpoint(Endpoint):
    """An endpoint whose calls each take a worker for a time."""

    ROUTES = programs.Routes(Endpoint.ROUTES)

    def __init__(self, pool: Pool):
        super().__init__()
        self.places = Places(pool.workers, pool.waiting_limit)
        self._pool = pool
        self._generator = random.Random(pool.seed)

    def build_result(self, fields: dict[str, Any]) -> Any:
        """Returns the result of a run."""
        raise NotImplementedError

    async def run_call(self, request: web.Request) -> web.Response:
        """Runs a call when a worker is free, or refuses it."""
        programs.read_fields(request, request=str, attempt=str)
        fields = web.read_json(request.body)
        if "input" not in fields:
            raise errors.InvalidInputError(
                [errors.Finding("input", "a JSON value")]
            )
        try:
            async with self.places.hold(Ticket()):
                return await self._run_held(fields)
        except PlacesFullError:
            return programs.build_error(503, "the queue is full")

    def _draw_seconds(self) -> float:
        jitter = self._generator.uniform(0, self._pool.jitter_seconds)
        return self._pool.base_seconds + jitter

    async def _run_held(self, fields: dict[str, Any]) -> web.Response:
        started = time.monotonic()
        run = self.record.begin(fields, fields["input"], "", started)
        half_seconds = self._draw_seconds() / 2
        await self.pace(half_seconds)
        self.crash_if_told(fields["input"])
        await self.pace(half_seconds)
        now = time.monotonic()
        run["ended"] = now
        if self.read_fault("fail"):
            run["status"] = "failed"
            return programs.build_error(500, "failed by a fault switch")
        result = self.build_result(fields)
        run["digest"] = compute_digest(result)
        if self.read_fault("lose_answer"):
            run["status"] = "lost"
            raise programs.AnswerDroppedError
        run["status"] = "done"
        busy_ms = (now - started) * 1000
        return web.build_json(200, {"result": result, "busy_ms": busy_ms})
