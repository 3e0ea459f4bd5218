"""Measures the cost of attempts and tokens for a sidecar."""

import time
from collections.abc import Sequence
from typing import Any

import curio

from lab import bench, fake_peers, figures
from samphirevale import messages

# The interval between tokens of an engine that generates 400 tokens in 2.5 s,
# in seconds.
FAST_TOKEN_SECONDS = 0.006

# The duration of the measurement of an idle sidecar, in seconds.
IDLE_SECONDS = 0.5

# The number of concurrent streams of an engine.
STREAMS = 10


async def _measure_sidecar_load(
    pool: str, loads: Sequence[tuple[float, int, Any]], batch: str
) -> figures.Points:
    """Hands over attempts to a real sidecar, all of one load concurrently.

    Args:
        pool: the sidecar's pool.
        loads: for each load, the value of `x`, the number of attempts and
            their input.
        batch: the batch of the attempts; empty without a model.
    """
    recorder = figures.Recorder()
    async with bench.open_bench() as testbed:
        endpoint = await testbed.start_fake_endpoint(0)
        process = await testbed.start_sidecar("measured", pool, endpoint.url)
        fake = fake_peers.FakeEntry(
            "entry-0", process.port, testbed.secret, fake_peers.Traffic()
        )
        await testbed.spawn(fake.run)
        await curio.sleep(figures.SETTLE_SECONDS)
        await _hand_over_all(fake, 20, batch, loads[-1][2])
        for x, count, plan in loads * figures.REPEATS:
            idle_reading = bench.Reading(process)
            started_at = time.monotonic()
            await curio.sleep(IDLE_SECONDS)
            idle = idle_reading.read_cpu_ms() / (time.monotonic() - started_at)
            reading = bench.Reading(process)
            started_at = time.monotonic()
            await _hand_over_all(fake, count, batch, plan)
            used = reading.read_cpu_ms()
            used -= idle * (time.monotonic() - started_at)
            recorder.add("cpu", x, used)
    return recorder.points


async def _hand_over_all(
    fake: fake_peers.FakeEntry, count: int, batch: str, plan: Any
) -> None:
    async with curio.TaskGroup(wait=all) as group:
        for _ in range(count):
            await group.spawn(fake.hand_over, "stage", batch, plan)


@figures.register(
    figures.Figure("cpu", "ms of the sidecar's processor", "attempt of a stage")
)
async def measure_sidecar_per_attempt() -> figures.Points:
    """Measures a stage's sidecar with growing numbers of attempts."""
    loads = [(n, n, "an input") for n in (50, 100, 200, 300, 400)]
    return await _measure_sidecar_load("stages", loads, "")


@figures.register(
    figures.Figure("cpu", "ms of the sidecar's processor", "token frame")
)
async def measure_sidecar_per_frame() -> figures.Points:
    """Measures a sidecar whose engine sends one token per line."""
    loads = [
        (
            16 * frames,
            16,
            figures.plan_tokens(frames, 1, figures.TOKEN_SECONDS),
        )
        for frames in (8, 16, 24, 32, 48)
    ]
    return await _measure_sidecar_load("engines", loads, fake_peers.BATCH)


@figures.register(
    figures.Figure("cpu", "ms of the sidecar's processor", "token in 16 frames")
)
async def measure_sidecar_per_token() -> figures.Points:
    """Measures a sidecar whose engine sends 16 lines per answer."""
    loads = [
        (
            16 * 16 * size,
            16,
            figures.plan_tokens(16, size, figures.TOKEN_SECONDS),
        )
        for size in (1, 4, 8, 16, 32)
    ]
    return await _measure_sidecar_load("engines", loads, fake_peers.BATCH)


@figures.register(
    figures.Figure("cpu", "ms of the sidecar's processor", "token, 6 ms apart"),
    figures.Figure("frames", "frames to the entry", "token, 6 ms apart"),
)
async def measure_sidecar_per_fast_token() -> figures.Points:
    """Measures a sidecar whose engine generates 400 tokens in 2.5 s."""
    recorder = figures.Recorder()
    async with bench.open_bench() as testbed:
        endpoint = await testbed.start_fake_endpoint(0)
        process = await testbed.start_sidecar(
            "measured", "engines", endpoint.url
        )
        traffic = fake_peers.Traffic()
        fake = fake_peers.FakeEntry(
            "entry-0", process.port, testbed.secret, traffic
        )
        await testbed.spawn(fake.run)
        await curio.sleep(figures.SETTLE_SECONDS)
        for frames in (25, 50, 100, 200, 300) * figures.REPEATS:
            plan = figures.plan_tokens(frames, 1, FAST_TOKEN_SECONDS)
            reading = bench.Reading(process)
            before = traffic.counts[messages.Chunk.tag]
            await _hand_over_all(fake, STREAMS, fake_peers.BATCH, plan)
            tokens = STREAMS * frames
            recorder.add("cpu", tokens, reading.read_cpu_ms())
            sent = traffic.counts[messages.Chunk.tag] - before
            recorder.add("frames", tokens, sent)
    return recorder.points
