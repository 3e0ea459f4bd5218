"""The measurements of `make slopes`: points per peer, request, token, ...

Each gives points of one or more figures. Processor time is of the measured
process alone, so that a busy machine changes it little.
"""

import itertools
import json
import math
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import curio

from lab import bench, fits, partners, processes, usage
from samphirevale import messages
from samphirevale.adapters import web

# Real processes that are measured side by side.
REPEATS = 2

# How long a change settles before a window begins, in seconds.
SETTLE_SECONDS = 2.5

# How long a window lasts, in seconds.
WINDOW_SECONDS = 3.0

# The window in which calls to the store at rest are counted, in seconds: a
# watch is called again after 20 s.
REST_SECONDS = 21.0

# The longest wait for what should happen at once, in seconds.
WAIT_SECONDS = 20.0

# The interval between looks at what is waited for, in seconds.
POLL_SECONDS = 0.005

# The time between two tokens of one answer, in seconds.
TOKEN_SECONDS = 0.038

# Connections of callers that send one request after another.
CALLERS = 8

# Requests of one point.
REQUESTS = 160

# Bytes of a kilobyte, as in the page.
KB = 1000

Points = dict[str, list[fits.Point]]
Measure = Callable[[], Awaitable[Points]]


class Figure(NamedTuple):
    """One line to be fitted.

    Attributes:
        name: the figure's name.
        unit: of the slope.
        per: what one step of `x` is.
    """

    name: str
    unit: str
    per: str


class Measurement(NamedTuple):
    """A registered measurement and the figures that it gives."""

    measure: Measure
    figures: tuple[Figure, ...]


MEASUREMENTS: dict[str, Measurement] = {}


def register(*figures: Figure) -> Callable[[Measure], Measure]:
    """Adds a measurement under its function's name, without the verb."""

    def add(measure: Measure) -> Measure:
        name = measure.__name__.removeprefix("measure_")
        MEASUREMENTS[name] = Measurement(measure, figures)
        return measure

    return add


class Recorder:
    """Collects the points of a measurement."""

    def __init__(self):
        self.points: Points = {}

    def add(self, name: str, x: float, y: float) -> None:
        """Adds a point of a figure."""
        self.points.setdefault(name, []).append(fits.Point(x, y))


class Watched(NamedTuple):
    """A real process and what crosses its connections."""

    process: processes.Process
    traffic: partners.Traffic


async def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Waits for a condition.

    Raises:
        processes.ProcessError: the time is up.
    """
    give_up_at = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > give_up_at:
            raise processes.ProcessError(f"waited in vain for {what}")
        await curio.sleep(POLL_SECONDS)


async def record_rest(
    recorder: Recorder, x: float, watched: Sequence[Watched]
) -> None:
    """Records what processes use in one window, per second."""
    await curio.sleep(SETTLE_SECONDS)
    started_at = time.monotonic()
    readings = [bench.Reading(item.process) for item in watched]
    counts = [
        (item.traffic.read_bytes(), item.traffic.read_frames())
        for item in watched
    ]
    await curio.sleep(WINDOW_SECONDS)
    seconds = time.monotonic() - started_at
    for item, reading, (sent, frames) in zip(
        watched, readings, counts, strict=True
    ):
        recorder.add("cpu", x, reading.read_cpu_ms() / seconds)
        memory = usage.read_resident_bytes(item.process.pid)
        recorder.add("memory", x, memory / KB)
        used = item.traffic.read_bytes() - sent
        recorder.add("bytes", x, used / KB / seconds)
        used = item.traffic.read_frames() - frames
        recorder.add("frames", x, used / seconds)


def _list_rest_figures(per: str) -> tuple[Figure, ...]:
    return (
        Figure("cpu", "ms of processor/s", per),
        Figure("memory", "kB", per),
        Figure("bytes", "kB/s", per),
        Figure("frames", "frames/s", per),
    )


@register(*_list_rest_figures("sidecar held by an entry"))
async def measure_entry_per_sidecar() -> Points:
    """An entry at rest, with more and more sidecars."""
    recorder = Recorder()
    traffic = {f"entry-{n}": partners.Traffic() for n in range(REPEATS)}
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(200, "stages", traffic)
        watched = [
            Watched(await site.start_entry(name), counted)
            for name, counted in traffic.items()
        ]
        for count in (0, 25, 50, 100, 150, 200):
            await site.list_sidecars(fakes[:count])
            await record_rest(recorder, count, watched)
    return recorder.points


async def _measure_sidecar(pool: str, prefixes: int) -> Points:
    recorder = Recorder()
    traffic = [partners.Traffic() for _ in range(REPEATS)]
    async with bench.open_bench() as site:
        endpoint = await site.start_fake_endpoint(prefixes)
        watched = [
            Watched(
                await site.start_sidecar(f"{pool}-{n}", pool, endpoint.url),
                counted,
            )
            for n, counted in enumerate(traffic)
        ]
        held = 0
        for count in (0, 5, 10, 20, 40, 60):
            for item, number in itertools.product(watched, range(held, count)):
                fake = partners.FakeEntry(
                    f"entry-{number}",
                    item.process.port,
                    site.secret,
                    item.traffic,
                )
                await site.spawn(fake.run)
            held = count
            await record_rest(recorder, count, watched)
    return recorder.points


@register(*_list_rest_figures("entry held by a stage's sidecar"))
async def measure_stage_sidecar_per_entry() -> Points:
    """A sidecar of a stage at rest, with more and more entries."""
    return await _measure_sidecar("stages", 0)


@register(*_list_rest_figures("entry held by an engine's sidecar"))
async def measure_engine_sidecar_per_entry() -> Points:
    """A sidecar of an engine with a full cache, with more entries."""
    return await _measure_sidecar("engines", 64)


@register(Figure("bytes", "bytes of a heartbeat", "cached prefix"))
async def measure_heartbeat_per_prefix() -> Points:
    """The size of an engine's heartbeat, encoded here."""
    recorder = Recorder()
    for count in (0, 16, 32, 48, 64):
        beat = messages.Heartbeat(
            1000, False, 8, 8, 8, 31.5, 12.5, 300.0, ["b1"], ["0" * 64] * count
        )
        size = len(messages.encode_frame(beat, 1000))
        recorder.add("bytes", count, size)
    return recorder.points


class Request(NamedTuple):
    """What a caller sends.

    Attributes:
        pipeline: the pipeline's name.
        input: the input.
        stream: ask for events.
        account: the account's number.
        key: the idempotency key; empty for none.
    """

    pipeline: str
    input: Any
    stream: bool = False
    account: int = 0
    key: str = ""


async def send_request(
    connection: web.ClientConnection, request: Request
) -> None:
    """Sends a request and reads its whole answer.

    Raises:
        processes.ProcessError: the answer is not 200.
    """
    token = bench.name_token(f"account-{request.account}")
    headers = [("Authorization", f"Bearer {token}")]
    if request.key:
        headers.append(("Idempotency-Key", request.key))
    body = {
        "input": request.input,
        "stream": request.stream,
        "idempotent": not request.key,
    }
    answer = await connection.request(
        "POST",
        f"/v1/pipelines/{request.pipeline}/requests",
        json.dumps(body).encode(),
        tuple(headers),
    )
    data = await answer.read_body()
    if answer.status != 200 or b"event: error" in data:
        raise processes.ProcessError(f"{answer.status}: {data[:200]!r}")


async def send_all(
    entry: processes.Process, requests: Sequence[Request], callers: int
) -> None:
    """Sends requests over some connections, each one after another."""

    async def send_share(number: int) -> None:
        async with web.connect(bench.HOST, entry.port) as connection:
            for request in requests[number::callers]:
                await send_request(connection, request)
                if not connection.is_reusable():
                    raise processes.ProcessError("a connection was closed")

    async with curio.TaskGroup(wait=all) as group:
        for number in range(callers):
            await group.spawn(send_share, number)


async def record_requests(
    recorder: Recorder,
    x: float,
    entry: processes.Process,
    requests: Sequence[Request],
    callers: int = CALLERS,
) -> None:
    """Records the processor time of each request."""
    reading = bench.Reading(entry)
    await send_all(entry, requests, callers)
    recorder.add("cpu", x, reading.read_cpu_ms() / len(requests))


async def _start_joined_entry(
    site: bench.Bench, fakes: list[partners.FakeSidecar], name: str
) -> processes.Process:
    """Starts an entry that holds the fake sidecars."""
    await site.list_sidecars(fakes)
    entry = await site.start_entry(name)
    await curio.sleep(SETTLE_SECONDS)
    return entry


@register(Figure("cpu", "ms of the entry's processor", "stage of a request"))
async def measure_entry_per_stage() -> Points:
    """A request through one to six stages without tokens."""
    recorder = Recorder()
    traffic = {"entry-0": partners.Traffic()}
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(4, "stages", traffic)
        entry = await _start_joined_entry(site, fakes, "entry-0")
        await send_all(entry, [Request("stages-6", "warm")] * 50, CALLERS)
        for count in (1, 2, 3, 4, 5, 6) * REPEATS:
            requests = [Request(f"stages-{count}", "an input")] * REQUESTS
            await record_requests(recorder, count, entry, requests)
    return recorder.points


@register(Figure("cpu", "ms of the entry's processor", "candidate of a stage"))
async def measure_entry_per_candidate() -> Points:
    """A request of one stage, whose pool grows."""
    recorder = Recorder()
    traffic = {"entry-0": partners.Traffic()}
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(100, "stages", traffic)
        entry = await _start_joined_entry(site, fakes[:5], "entry-0")
        for count in (5, 10, 25, 50, 100):
            await site.list_sidecars(fakes[:count])
            await curio.sleep(SETTLE_SECONDS)
            for _ in range(REPEATS):
                requests = [Request("stages-1", "an input")] * REQUESTS
                await record_requests(recorder, count, entry, requests)
    return recorder.points


def _plan_tokens(frames: int, size: int, pause: float) -> dict:
    return {"frames": frames, "size": size, "pause": pause}


async def _measure_entry_tokens(
    plans: Sequence[tuple[float, dict]], stream: bool
) -> Points:
    recorder = Recorder()
    traffic = {"entry-0": partners.Traffic()}
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(2, "engines", traffic)
        entry = await _start_joined_entry(site, fakes, "entry-0")
        warm = Request("engine", _plan_tokens(8, 1, 0.0), stream)
        await send_all(entry, [warm] * 30, CALLERS)
        for x, plan in plans * REPEATS:
            requests = [Request("engine", plan, stream)] * 16
            await record_requests(recorder, x, entry, requests, 16)
    return recorder.points


@register(Figure("cpu", "ms of the entry's processor", "streamed token frame"))
async def measure_entry_per_frame() -> Points:
    """A streamed request with more and more frames of one token."""
    plans = [
        (count, _plan_tokens(count, 1, TOKEN_SECONDS))
        for count in (8, 16, 24, 32, 48)
    ]
    return await _measure_entry_tokens(plans, stream=True)


@register(Figure("cpu", "ms of the entry's processor", "kept token frame"))
async def measure_entry_per_kept_frame() -> Points:
    """The same for a caller that takes the answer as one value."""
    plans = [
        (count, _plan_tokens(count, 1, TOKEN_SECONDS))
        for count in (8, 16, 24, 32, 48)
    ]
    return await _measure_entry_tokens(plans, stream=False)


@register(Figure("cpu", "ms of the entry's processor", "token in 16 frames"))
async def measure_entry_per_token() -> Points:
    """A streamed request of 16 frames, with more tokens in each."""
    plans = [
        (16 * size, _plan_tokens(16, size, TOKEN_SECONDS))
        for size in (1, 4, 8, 16, 32)
    ]
    return await _measure_entry_tokens(plans, stream=True)


async def _measure_sidecar_load(
    pool: str, loads: Sequence[tuple[float, int, Any]], batch: str
) -> Points:
    """Hands attempts to a real sidecar, all of a load at once."""
    recorder = Recorder()
    async with bench.open_bench() as site:
        endpoint = await site.start_fake_endpoint(0)
        process = await site.start_sidecar("measured", pool, endpoint.url)
        fake = partners.FakeEntry(
            "entry-0", process.port, site.secret, partners.Traffic()
        )
        await site.spawn(fake.run)
        await curio.sleep(SETTLE_SECONDS)
        await _hand_over_all(fake, 20, batch, loads[-1][2])
        for x, count, plan in loads * REPEATS:
            rest = bench.Reading(process)
            started_at = time.monotonic()
            await curio.sleep(1.0)
            idle = rest.read_cpu_ms() / (time.monotonic() - started_at)
            reading = bench.Reading(process)
            started_at = time.monotonic()
            await _hand_over_all(fake, count, batch, plan)
            used = reading.read_cpu_ms()
            used -= idle * (time.monotonic() - started_at)
            recorder.add("cpu", x, used)
    return recorder.points


async def _hand_over_all(
    fake: partners.FakeEntry, count: int, batch: str, plan: Any
) -> None:
    async with curio.TaskGroup(wait=all) as group:
        for _ in range(count):
            await group.spawn(fake.hand_over, "stage", batch, plan)


@register(Figure("cpu", "ms of the sidecar's processor", "attempt of a stage"))
async def measure_sidecar_per_attempt() -> Points:
    """A sidecar of a stage, with more and more attempts at once."""
    loads = [(n, n, "an input") for n in (50, 100, 200, 300, 400)]
    return await _measure_sidecar_load("stages", loads, "")


@register(Figure("cpu", "ms of the sidecar's processor", "token frame"))
async def measure_sidecar_per_frame() -> Points:
    """A sidecar of an engine that sends one token a line."""
    loads = [
        (16 * frames, 16, _plan_tokens(frames, 1, TOKEN_SECONDS))
        for frames in (8, 16, 32, 48, 64)
    ]
    return await _measure_sidecar_load("engines", loads, partners.BATCH)


@register(Figure("cpu", "ms of the sidecar's processor", "token in 16 frames"))
async def measure_sidecar_per_token() -> Points:
    """A sidecar of an engine that sends 16 lines an answer."""
    loads = [
        (16 * 16 * size, 16, _plan_tokens(16, size, TOKEN_SECONDS))
        for size in (1, 4, 8, 16, 32)
    ]
    return await _measure_sidecar_load("engines", loads, partners.BATCH)


def _list_size_figures(per: str) -> tuple[Figure, ...]:
    return (
        Figure("bytes", "bytes of configuration", per),
        Figure("entry_cpu", "ms of the entry's processor", f"revision, {per}"),
        Figure("entry_memory", "kB", per),
        Figure(
            "sidecar_cpu", "ms of the sidecar's processor", f"revision, {per}"
        ),
        Figure("sidecar_memory", "kB", per),
        Figure("sidecar_delay", "ms until in force", per),
    )


async def _measure_sizes(name: str, sizes: Sequence[int]) -> Points:
    recorder = Recorder()
    for size in sizes:
        async with bench.open_bench(**{name: size}) as site:
            await _measure_size(site, recorder, {name: size}, size)
    return recorder.points


async def _measure_size(
    site: bench.Bench, recorder: Recorder, sizes: dict[str, int], x: int
) -> None:
    """Changes a configuration some times, at an entry and a sidecar."""
    endpoint = await site.start_fake_endpoint(0)
    entry = await site.start_entry("entry-0")
    sidecar = await site.start_sidecar("measured", "stages", endpoint.url)
    fake = partners.FakeEntry(
        "fake", sidecar.port, site.secret, partners.Traffic()
    )
    await site.spawn(fake.run)
    await wait_for(lambda: 1 in fake.revision_at, "the first revision")
    await curio.sleep(1.0)
    value = bench.build_configuration(1, **sizes)
    recorder.add("bytes", x, len(json.dumps(value)))
    changes = 3
    idle = await _read_idle_ms([entry, sidecar])
    started_at = time.monotonic()
    readings = [bench.Reading(process) for process in (entry, sidecar)]
    for revision in range(2, 2 + changes):
        value = bench.build_configuration(revision, **sizes)
        await site.put_configuration(value)
        sent_at = time.monotonic()
        await fake.send_snapshot(revision, value)
        await wait_for(
            lambda wanted=revision: wanted in fake.revision_at, "a revision"
        )
        seconds = fake.revision_at[revision] - sent_at
        recorder.add("sidecar_delay", x, 1000 * seconds)
    await curio.sleep(1.0)
    seconds = time.monotonic() - started_at
    for role, reading, rest, process in zip(
        ("entry", "sidecar"), readings, idle, (entry, sidecar), strict=True
    ):
        used = reading.read_cpu_ms() - rest * seconds
        recorder.add(f"{role}_cpu", x, used / changes)
        memory = usage.read_resident_bytes(process.pid)
        recorder.add(f"{role}_memory", x, memory / KB)


async def _read_idle_ms(watched: Sequence[processes.Process]) -> list[float]:
    """Returns the processor time at rest, in milliseconds a second."""
    readings = [bench.Reading(process) for process in watched]
    started_at = time.monotonic()
    await curio.sleep(1.0)
    seconds = time.monotonic() - started_at
    return [reading.read_cpu_ms() / seconds for reading in readings]


@register(*_list_size_figures("account"))
async def measure_configuration_per_account() -> Points:
    """Configurations with more and more accounts."""
    return await _measure_sizes("accounts", (1, 700, 1400, 2800, 4200))


@register(*_list_size_figures("batch"))
async def measure_configuration_per_batch() -> Points:
    """Configurations with more and more batches."""
    return await _measure_sizes("batches", (1, 500, 1000, 1500, 2000))


@register(Figure("cpu", "ms of the entry's processor", "account in use"))
async def measure_request_per_account() -> Points:
    """A request of one stage, from more and more accounts."""
    recorder = Recorder()
    traffic = {"entry-0": partners.Traffic()}
    async with bench.open_bench(accounts=2800) as site:
        fakes = await site.start_fake_sidecars(4, "stages", traffic)
        entry = await _start_joined_entry(site, fakes, "entry-0")
        for count in (1, 50, 100, 200, 400):
            requests = [
                Request("stages-1", "an input", account=number % count)
                for number in range(400)
            ]
            await send_all(entry, requests, CALLERS)
            await record_requests(recorder, count, entry, requests)
    return recorder.points


@register(
    Figure("seconds", "ms until the last holds it", "sidecar of one entry"),
    Figure("cpu", "ms of the entry's processor", "sidecar of one entry"),
    Figure("bytes", "kB", "sidecar of one entry"),
)
async def measure_spread_per_sidecar() -> Points:
    """A revision of 2,800 accounts goes to all sidecars of one entry."""
    recorder = Recorder()
    traffic = {"entry-0": partners.Traffic()}
    async with bench.open_bench(accounts=2800, pipelines=24) as site:
        fakes = await site.start_fake_sidecars(40, "stages", traffic)
        entry = await _start_joined_entry(site, fakes[:1], "entry-0")
        revisions = itertools.count(2)
        for count in (5, 10, 20, 30, 40):
            await site.list_sidecars(fakes[:count])
            await curio.sleep(SETTLE_SECONDS)
            await wait_for(
                lambda n=count: len({f.revision for f in fakes[:n]}) == 1,
                "the sidecars to join",
            )
            await _record_spread(
                site,
                recorder,
                Watched(entry, traffic["entry-0"]),
                fakes[:count],
                next(revisions),
            )
    return recorder.points


async def _record_spread(
    site: bench.Bench,
    recorder: Recorder,
    watched: Watched,
    fakes: Sequence[partners.FakeSidecar],
    revision: int,
) -> None:
    value = bench.build_configuration(revision, accounts=2800, pipelines=24)
    reading = bench.Reading(watched.process)
    sent = watched.traffic.read_bytes()
    started_at = time.monotonic()
    await site.put_configuration(value)
    await wait_for(
        lambda: all(revision in fake.adopted_at for fake in fakes),
        f"revision {revision}",
    )
    last = max(fake.adopted_at[revision] for fake in fakes)
    recorder.add("seconds", len(fakes), 1000 * (last - started_at))
    recorder.add("cpu", len(fakes), reading.read_cpu_ms())
    used = watched.traffic.read_bytes() - sent
    recorder.add("bytes", len(fakes), used / KB)


@register(
    Figure("reads", "reads of the store", "keyed request"),
    Figure("writes", "writes to the store", "keyed request"),
    Figure("cpu", "ms of the entry's processor", "keyed request"),
)
async def measure_store_per_keyed_request() -> Points:
    """Requests that may not be repeated, through one service."""
    recorder = Recorder()
    traffic = {"entry-0": partners.Traffic()}
    numbers = itertools.count()
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(2, "services", traffic)
        entry = await _start_joined_entry(site, fakes, "entry-0")
        for count in (10, 20, 40, 60, 80):
            before = await site.read_counts()
            requests = [
                Request("service", "x", key=f"key-{next(numbers)}")
                for _ in range(count)
            ]
            reading = bench.Reading(entry)
            await send_all(entry, requests, 2)
            await curio.sleep(0.5)
            recorder.add("cpu", count, reading.read_cpu_ms())
            after = await site.read_counts()
            for name, call in (("reads", "get"), ("writes", "put")):
                calls = after.get(call, 0) - before.get(call, 0)
                recorder.add(name, count, calls)
    return recorder.points


async def _count_rest(recorder: Recorder, role: str, count: int) -> None:
    """Counts the calls of processes at rest, watches apart."""
    async with bench.open_bench() as site:
        endpoint = await site.start_fake_endpoint(64)
        for number in range(count):
            if role == "entry":
                await site.start_entry(f"entry-{number}")
            else:
                await site.start_sidecar(
                    f"engine-{number}", "engines", endpoint.url
                )
        await curio.sleep(SETTLE_SECONDS)
        before = await site.read_counts()
        await curio.sleep(REST_SECONDS)
        after = await site.read_counts()
    calls = sum(after.values()) - sum(before.values())
    recorder.add(role, count, calls / REST_SECONDS)


@register(
    Figure("entry", "calls of the store/s", "entry at rest"),
    Figure("sidecar", "calls of the store/s", "engine's sidecar at rest"),
)
async def measure_store_at_rest() -> Points:
    """Calls of the store while nothing happens."""
    recorder = Recorder()
    async with curio.TaskGroup(wait=all) as group:
        for role in ("entry", "sidecar"):
            for count in (1, 2, 4):
                await group.spawn(_count_rest, recorder, role, count)
    return recorder.points


def summarize(name: str) -> dict[str, fits.Fit]:
    """Runs one measurement and returns the fits by figure.

    Raises:
        processes.ProcessError: a process did not do as it should.
    """
    measurement = MEASUREMENTS[name]
    points = curio.run(measurement.measure)
    return {
        figure.name: fits.fit_line(points[figure.name])
        for figure in measurement.figures
    }


def format_number(value: float) -> str:
    """Returns a number with three significant digits."""
    if not value:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{min(digits, 5)}f}"
