"""Measures the cost of requests, tokens and claims for an entry."""

import itertools
import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import curio

from lab import bench, fake_peers, figures, processes
from samphirevale.adapters import web_client

# The number of callers, each of which sends requests one after another.
CALLERS = 8

# The number of requests per point.
REQUESTS = 160

# The number of repeats for each number of stages; the points scatter.
STAGE_REPEATS = 4


class Request(NamedTuple):
    """A caller's request.

    Attributes:
        pipeline: the pipeline's name.
        input: the input.
        stream: whether to request a stream of events.
        account: the account's number.
        key: the idempotency key; empty for none.
    """

    pipeline: str
    input: Any
    stream: bool = False
    account: int = 0
    key: str = ""


async def send_request(
    connection: web_client.ClientConnection, request: Request
) -> None:
    """Sends a request and reads its whole answer.

    Raises:
        processes.ProcessError: the status is not 200, or the stream contains
            an error.
    """
    token = bench.build_token(f"account-{request.account}")
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
    """Sends requests over several connections, one at a time on each."""

    async def send_share(number: int) -> None:
        async with web_client.connect(bench.HOST, entry.port) as connection:
            for request in requests[number::callers]:
                await send_request(connection, request)
                if not connection.is_reusable():
                    raise processes.ProcessError("a connection was closed")

    async with curio.TaskGroup(wait=all) as group:
        for number in range(callers):
            await group.spawn(send_share, number)


async def record_requests(
    recorder: figures.Recorder,
    x: float,
    entry: processes.Process,
    requests: Sequence[Request],
    callers: int = CALLERS,
) -> None:
    """Records the mean processor time per request."""
    reading = bench.Reading(entry)
    await send_all(entry, requests, callers)
    recorder.add("cpu", x, reading.read_cpu_ms() / len(requests))


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "stage of a request")
)
async def measure_entry_per_stage() -> figures.Points:
    """Measures requests with one to six stages without tokens."""
    recorder = figures.Recorder()
    traffic = {"entry-0": fake_peers.Traffic()}
    async with bench.open_bench() as testbed:
        fakes = await testbed.start_fake_sidecars(4, "stages", traffic)
        entry = await testbed.start_joined_entry(fakes, "entry-0")
        await send_all(entry, [Request("stages-6", "warm")] * 50, CALLERS)
        for count in (1, 2, 3, 4, 5, 6) * STAGE_REPEATS:
            requests = [Request(f"stages-{count}", "an input")] * REQUESTS
            await record_requests(recorder, count, entry, requests)
    return recorder.points


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "candidate of a stage")
)
async def measure_entry_per_candidate() -> figures.Points:
    """Measures requests of one stage with growing numbers of endpoints."""
    recorder = figures.Recorder()
    traffic = {"entry-0": fake_peers.Traffic()}
    async with bench.open_bench() as testbed:
        fakes = await testbed.start_fake_sidecars(100, "stages", traffic)
        entry = await testbed.start_joined_entry(fakes[:5], "entry-0")
        for count in (5, 10, 25, 50, 100):
            await testbed.list_sidecars(fakes[:count])
            await curio.sleep(figures.SETTLE_SECONDS)
            for _ in range(figures.REPEATS):
                requests = [Request("stages-1", "an input")] * REQUESTS
                await record_requests(recorder, count, entry, requests)
    return recorder.points


async def _measure_entry_tokens(
    plans: Sequence[tuple[float, dict]],
) -> figures.Points:
    recorder = figures.Recorder()
    traffic = {"entry-0": fake_peers.Traffic()}
    async with bench.open_bench() as testbed:
        fakes = await testbed.start_fake_sidecars(2, "engines", traffic)
        entry = await testbed.start_joined_entry(fakes, "entry-0")
        warm = Request("engine", figures.plan_tokens(8, 1, 0.0), True)
        await send_all(entry, [warm] * 30, CALLERS)
        for x, plan in plans * figures.REPEATS:
            requests = [Request("engine", plan, True)] * 16
            await record_requests(recorder, x, entry, requests, 16)
    return recorder.points


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "token frame")
)
async def measure_entry_per_frame() -> figures.Points:
    """Measures streamed requests with growing numbers of one-token frames."""
    plans = [
        (count, figures.plan_tokens(count, 1, figures.TOKEN_SECONDS))
        for count in (8, 16, 24, 32, 48)
    ]
    return await _measure_entry_tokens(plans)


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "token in 16 frames")
)
async def measure_entry_per_token() -> figures.Points:
    """Measures streamed requests of 16 frames with growing sizes."""
    plans = [
        (
            16 * size,
            figures.plan_tokens(16, size, figures.TOKEN_SECONDS),
        )
        for size in (1, 4, 8, 16, 32)
    ]
    return await _measure_entry_tokens(plans)


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "account in use")
)
async def measure_request_per_account() -> figures.Points:
    """Measures requests of one stage from growing numbers of accounts."""
    recorder = figures.Recorder()
    traffic = {"entry-0": fake_peers.Traffic()}
    async with bench.open_bench(accounts=2800) as testbed:
        fakes = await testbed.start_fake_sidecars(4, "stages", traffic)
        entry = await testbed.start_joined_entry(fakes, "entry-0")
        for count in (1, 50, 100, 200, 400):
            requests = [
                Request("stages-1", "an input", account=number % count)
                for number in range(400)
            ]
            await send_all(entry, requests, CALLERS)
            await record_requests(recorder, count, entry, requests)
    return recorder.points


@figures.register(
    figures.Figure("reads", "reads of the store", "keyed request"),
    figures.Figure("writes", "writes to the store", "keyed request"),
    figures.Figure("cpu", "ms of the entry's processor", "keyed request"),
)
async def measure_store_per_keyed_request() -> figures.Points:
    """Measures keyed requests, which must not be repeated, to one service."""
    recorder = figures.Recorder()
    traffic = {"entry-0": fake_peers.Traffic()}
    numbers = itertools.count()
    async with bench.open_bench() as testbed:
        fakes = await testbed.start_fake_sidecars(2, "services", traffic)
        entry = await testbed.start_joined_entry(fakes, "entry-0")
        for count in (10, 20, 40, 60, 80):
            before = await testbed.read_counts()
            requests = [
                Request("service", "x", key=f"key-{next(numbers)}")
                for _ in range(count)
            ]
            reading = bench.Reading(entry)
            await send_all(entry, requests, 2)
            await curio.sleep(0.5)
            recorder.add("cpu", count, reading.read_cpu_ms())
            after = await testbed.read_counts()
            for name, call in (("reads", "get"), ("writes", "put")):
                calls = after.get(call, 0) - before.get(call, 0)
                recorder.add(name, count, calls)
    return recorder.points
