"""A test double of a model engine with continuous batching."""

import contextlib
import json
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

from samphirevale import errors
from samphirevale.adapters import web, web_client
from standins import (
    endpoints,
    faults,
    generation,
    programs,
    records,
    slots,
)

# The fraction of the prefill time that remains if the prefix is cached.
CACHED_PREFILL_SHARE = 0.25

# The number of prompt characters that count as one token.
CHARACTERS_PER_TOKEN = 4


class Settings(NamedTuple):
    """Runs a model engine.

    Args:
        port: the port to listen on.
        host: the address to listen on.
        batches: the batches loaded initially, as `id=model/version[/adapter]`.
        slots: the number of requests that run concurrently.
        waiting_limit: the maximum queue length; further requests are refused.
        prefill_seconds_per_token: the prefill time per prompt token.
        seconds_per_token: the decode time per token for a single request.
        growth_per_running: the fraction by which each other running request
            increases the decode time.
        tokens_per_chunk: the number of tokens per chunk of a stream.
        tokens: the number of tokens of every answer; 0 draws the number at
            random, seeded by the prompt.
        tokens_least: the minimum number of tokens that is drawn.
        tokens_most: the maximum number of tokens that is drawn.
        cache_prefixes: the capacity of the prefix cache.
        cache_event_lag_seconds: the delay until a cache event is published.
        cache_event_loss: the fraction of cache events that are never
            published.
        load_lag_seconds: the age of load reports.
        load_seconds: the duration of loading a batch.
        weights_url: the URL of the weight store; empty for none.
        checks_fencing: refuse orders with an outdated fencing token.
        seed: the seed of all random values except the answers.
        journal: the file that the record is written to; empty for none.
    """

    port: int
    host: str = "127.0.0.1"
    batches: list[str] = []
    slots: int = 8
    waiting_limit: int = 32
    prefill_seconds_per_token: float = 0.0002
    seconds_per_token: float = 0.002
    growth_per_running: float = 0.05
    tokens_per_chunk: int = 4
    tokens: int = 0
    tokens_least: int = 24
    tokens_most: int = 64
    cache_prefixes: int = 64
    cache_event_lag_seconds: float = 0.5
    cache_event_loss: float = 0.05
    load_lag_seconds: float = 0.3
    load_seconds: float = 0.3
    weights_url: str = ""
    checks_fencing: bool = True
    seed: int = 1
    journal: str = ""


class _Job(slots.Waiter):
    """A running or waiting request."""

    def __init__(self, fields: dict[str, Any], batch: generation.Batch):
        super().__init__(fields.get("priority", 0))
        self.fields = fields
        self.batch = batch
        self.prompt: str = fields["prompt"]
        self.offset: int = fields.get("offset", 0)


class _Chunk(NamedTuple):
    sequence: int
    tokens: list[str]


class _BrokenStreamError(OSError):
    """Closes the connection in the middle of a stream."""


_OrderHandler = Callable[["Engine", dict[str, Any]], Awaitable[web.Response]]

_orders: dict[str, _OrderHandler] = {}


def _register_order(name: str) -> Callable[[_OrderHandler], _OrderHandler]:
    def add(order: _OrderHandler) -> _OrderHandler:
        _orders[name] = order
        return order

    return add


class Engine(endpoints.Endpoint):
    """The engine's HTTP server."""

    ROUTES = programs.Routes(endpoints.Endpoint.ROUTES)
    FAULTS = faults.Registry(endpoints.Endpoint.FAULTS)
    FAULTS.declare("break_stream_after", faults.COUNT)
    FAULTS.declare("duplicate_chunks", faults.FLAG)
    FAULTS.declare("reorder_chunks", faults.FLAG)

    def __init__(self, settings: Settings):
        super().__init__(settings.journal)
        self._settings = settings
        loaded = map(generation.parse_batch, settings.batches)
        self._batches = {batch.id: batch for batch in loaded}
        self._cache = generation.PrefixCache(
            settings.cache_prefixes,
            settings.cache_event_loss,
            settings.cache_event_lag_seconds,
            settings.seed,
        )
        self._slot_pool = slots.SlotPool(settings.slots, settings.waiting_limit)
        self._jobs: dict[str, _Job] = {}
        self._role = "generate"
        self._fencing = 0

    @ROUTES.add("POST", "/generate")
    async def generate(
        self, request: web.Request
    ) -> web.Response | web.StreamedResponse:
        """Generates an answer and streams it."""
        programs.read_fields(
            request, request=str, attempt=str, prompt=str, batch=str
        )
        fields = web_client.read_json(request.body)
        batch = self._batches.get(fields["batch"])
        if batch is None:
            return programs.build_error(409, "the batch is not loaded")
        if self._slot_pool.is_full():
            return programs.build_error(503, "the queue is full")
        job = _Job(fields, batch)
        if self.read_fault("fail"):
            return self._fail(job)
        return web.StreamedResponse(
            200,
            self._run_when_slot_free(job),
            (("Content-Type", "application/x-ndjson"),),
        )

    def _begin(self, job: _Job) -> records.Run:
        return self.record.begin(
            job.fields, job.prompt, job.batch.id, time.monotonic()
        )

    def _fail(self, job: _Job) -> web.Response:
        run = self._begin(job)
        run["status"] = "failed"
        run["ended"] = run["started"]
        self.record.record_end(run)
        return programs.build_error(500, "failed by a fault switch")

    async def _run_when_slot_free(self, job: _Job) -> AsyncIterator[bytes]:
        try:
            async with self._hold_slot(job), self._record_run(job) as run:
                lines = self._run(job, run)
                async with contextlib.aclosing(lines):
                    async for line in lines:
                        yield line
        except slots.WaitCancelledError:
            yield _build_line(cancelled=True)

    @contextlib.asynccontextmanager
    async def _hold_slot(self, job: _Job) -> AsyncIterator[None]:
        attempt = job.fields["attempt"]
        self._jobs[attempt] = job
        try:
            async with self._slot_pool.hold(job):
                yield
        finally:
            if self._jobs.get(attempt) is job:
                del self._jobs[attempt]

    @contextlib.asynccontextmanager
    async def _record_run(self, job: _Job) -> AsyncIterator[records.Run]:
        run = self._begin(job)
        try:
            yield run
        finally:
            if run["status"] == "running":
                run["status"] = "broken"
            run["ended"] = time.monotonic()
            self.record.record_end(run)

    async def _run(self, job: _Job, run: records.Run) -> AsyncIterator[bytes]:
        tokens = self._compute_answer_tokens(job)
        await self._prefill(job)
        loses_answer = self.read_fault("lose_answer")
        chunks = self._decode_chunks(job, tokens)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                if not loses_answer:
                    yield _build_line(**chunk._asdict())
        if job.cancelled:
            run["status"] = "cancelled"
            yield _build_line(cancelled=True)
            return
        run["count"] = len(tokens)
        run["digest"] = generation.compute_tokens_digest(tokens)
        if loses_answer:
            run["status"] = "lost"
            raise _BrokenStreamError
        run["status"] = "done"
        yield _build_end_line(run, time.monotonic())

    def _compute_answer_tokens(self, job: _Job) -> list[str]:
        settings = self._settings
        return generation.compute_answer(
            job.batch,
            job.prompt,
            settings.tokens or settings.tokens_least,
            settings.tokens or settings.tokens_most,
        )

    async def _decode_chunks(
        self, job: _Job, tokens: list[str]
    ) -> AsyncIterator[_Chunk]:
        chunks = self._arrange_chunks(job, tokens)
        sent = 0
        for index, chunk in enumerate(chunks):
            await self._decode(len(chunk.tokens))
            if index >= len(chunks) // 2:
                self.crash_if_matching(job.prompt, job.fields["attempt"])
            if job.cancelled:
                return
            yield chunk
            sent += len(chunk.tokens)
            if sent >= (self.read_fault("break_stream_after") or math.inf):
                raise _BrokenStreamError

    async def _prefill(self, job: _Job) -> None:
        length = len(job.prompt) / CHARACTERS_PER_TOKEN + job.offset
        seconds = length * self._settings.prefill_seconds_per_token
        prefix = generation.compute_prefix(job.prompt)
        if self._cache.use(prefix, time.monotonic()):
            seconds *= CACHED_PREFILL_SHARE
        await self.sleep_scaled(seconds)

    async def _decode(self, count: int) -> None:
        others = self._slot_pool.loads.latest.running - 1
        growth = 1 + self._settings.growth_per_running * others
        await self.sleep_scaled(
            count * self._settings.seconds_per_token * growth
        )

    def _arrange_chunks(self, job: _Job, tokens: list[str]) -> list[_Chunk]:
        size = self._settings.tokens_per_chunk
        chunks = [
            _Chunk(start, tokens[start : start + size])
            for start in range(job.offset, len(tokens), size)
        ]
        if self.read_fault("reorder_chunks"):
            pairs = [chunks[i : i + 2] for i in range(0, len(chunks), 2)]
            chunks = [chunk for pair in pairs for chunk in reversed(pair)]
        if self.read_fault("duplicate_chunks"):
            chunks = [chunk for chunk in chunks for _ in range(2)]
        return chunks

    @ROUTES.add("POST", "/cancel")
    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a running or waiting attempt."""
        (attempt,) = programs.read_fields(request, attempt=str)
        job = self._jobs.get(attempt)
        if job is not None:
            await self._slot_pool.cancel_wait(job)
        return web.build_json(200, {"cancelled": job is not None})

    @ROUTES.add("GET", "/load")
    async def show_load(self, request: web.Request) -> web.Response:
        """Returns the load as of `load_lag_seconds` ago."""
        lag_seconds = self._settings.load_lag_seconds
        load = self._slot_pool.loads.get(time.monotonic() - lag_seconds)
        return web.build_json(
            200,
            {
                **load._asdict(),
                "slots": self._slot_pool.count,
                "age_ms": lag_seconds * 1000,
            },
        )

    @ROUTES.add("GET", "/cache-events")
    async def show_cache_events(self, request: web.Request) -> web.Response:
        """Returns the published cache events, delayed and with gaps."""
        after = programs.read_integer(request, "after", 0)
        events = [
            {"number": e.number, "prefix": e.prefix, "cached": e.cached}
            for e in self._cache.list_events(after, time.monotonic())
        ]
        return web.build_json(200, {"events": events})

    @ROUTES.add("GET", "/state")
    async def show_state(self, request: web.Request) -> web.Response:
        """Returns the loaded batches, the role and the fencing token."""
        return web.build_json(
            200,
            {
                "batches": sorted(self._batches),
                "role": self._role,
                "fencing": self._fencing,
            },
        )

    @ROUTES.add("POST", "/orders")
    async def handle_order(self, request: web.Request) -> web.Response:
        """Runs an order, unless its fencing token is outdated."""
        order, fencing = programs.read_fields(request, order=str, fencing=int)
        body = web_client.read_json(request.body)
        run_order = _orders.get(order)
        if run_order is None:
            known = ", ".join(sorted(_orders))
            raise errors.InvalidInputError(
                [errors.Finding("order", f"one of {known}", order[:80])]
            )
        if self._is_fenced(fencing):
            response = programs.build_error(409, "fenced")
        else:
            self._fencing = max(self._fencing, fencing)
            response = await run_order(self, body)
        self.record.add_order(
            order,
            (body.get("batch") or {}).get("id", ""),
            fencing,
            response.status == 200,
            time.monotonic(),
        )
        return response

    def _is_fenced(self, fencing: int) -> bool:
        return self._settings.checks_fencing and fencing < self._fencing

    @_register_order("load")
    async def load(self, body: dict[str, Any]) -> web.Response:
        """Loads a batch, which takes time and a fetch from the weight store."""
        batch = _read_order_batch(body)
        if self._batches.get(batch.id) == batch:
            return web.build_json(200, {})
        refusal = await self._fetch_weights(batch)
        if refusal is not None:
            return refusal
        await self.sleep_scaled(self._settings.load_seconds)
        if self._is_fenced(body["fencing"]):
            return programs.build_error(409, "fenced")
        self._batches[batch.id] = batch
        return web.build_json(200, {})

    async def _fetch_weights(
        self, batch: generation.Batch
    ) -> web.Response | None:
        url = self._settings.weights_url
        if not url:
            return None
        target = f"/weights/{batch.model}/{batch.version}"
        try:
            status, _, headers = await web_client.call_json(url, "GET", target)
        except errors.TransportError as error:
            return programs.build_error(503, f"weight store: {error}")
        if status == 200:
            return None
        if status != 429:
            return programs.build_error(503, f"weight store: {status}")
        retry_after = ("Retry-After", headers.get("retry-after", "1"))
        return programs.build_error(429, "weight store", retry_after)

    @_register_order("unload")
    async def unload(self, body: dict[str, Any]) -> web.Response:
        """Unloads a batch; requests that run on it continue to the end."""
        self._batches.pop(_read_order_batch(body).id, None)
        return web.build_json(200, {})

    @_register_order("role")
    async def change_role(self, body: dict[str, Any]) -> web.Response:
        """Changes the engine's role."""
        self._role = str(body.get("role", ""))
        return web.build_json(200, {})


def _build_line(**fields: Any) -> bytes:
    return json.dumps(fields).encode() + b"\n"


def _build_end_line(run: records.Run, now: float) -> bytes:
    return _build_line(
        done=True,
        count=run["count"],
        digest=run["digest"],
        busy_ms=(now - run["started"]) * 1000,
    )


def _read_order_batch(body: dict[str, Any]) -> generation.Batch:
    batch = body.get("batch")
    fields = batch if isinstance(batch, dict) else {}
    findings = [
        errors.Finding(f"batch.{name}", "a text", repr(fields.get(name))[:80])
        for name in generation.Batch._fields
        if not isinstance(fields.get(name), str)
    ]
    if findings:
        raise errors.InvalidInputError(findings)
    return generation.Batch(*map(fields.get, generation.Batch._fields))


if __name__ == "__main__":
    programs.run(Engine, Settings)
