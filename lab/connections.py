"""What connections cost at rest, and calls of the store at rest."""

import itertools
import json
import time
from collections.abc import Sequence

import curio

from lab import bench, figures, partners, usage
from samphirevale import messages, statuses

# The window in which calls to the store at rest are counted, in seconds: a
# watch is called again after 20 s.
REST_SECONDS = 21.0

# A cached prefix as a heartbeat names it.
PREFIX = "0" * messages.PREFIX_DIGITS


# The platform's names of its calls. A watch counts as a read.
READS = ("get", "list", "watch", "instances")
WRITES = ("put", "delete")


async def record_rest(
    recorder: figures.Recorder,
    x: float,
    watched: Sequence[figures.Watched],
) -> None:
    """Records what processes use in one window, per second."""
    await curio.sleep(figures.SETTLE_SECONDS)
    started_at = time.monotonic()
    readings = [bench.Reading(item.process) for item in watched]
    counts = [
        (item.traffic.read_bytes(), item.traffic.read_frames())
        for item in watched
    ]
    await curio.sleep(figures.WINDOW_SECONDS)
    seconds = time.monotonic() - started_at
    for item, reading, (sent, frames) in zip(
        watched, readings, counts, strict=True
    ):
        recorder.add("cpu", x, reading.read_cpu_ms() / seconds)
        memory = usage.read_resident_bytes(item.process.pid)
        recorder.add("memory", x, memory / figures.KB)
        used = item.traffic.read_bytes() - sent
        recorder.add("bytes", x, used / figures.KB / seconds)
        used = item.traffic.read_frames() - frames
        recorder.add("frames", x, used / seconds)


def _list_rest_figures(per: str) -> tuple[figures.Figure, ...]:
    return (
        figures.Figure("cpu", "ms of processor/s", per),
        figures.Figure("memory", "kB", per),
        figures.Figure("bytes", "kB/s", per),
        figures.Figure("frames", "frames/s", per),
    )


@figures.register(
    *_list_rest_figures("sidecar held by an entry"),
    figures.Figure("status", "kB of a status", "sidecar held by an entry"),
)
async def measure_entry_per_sidecar() -> figures.Points:
    """An entry at rest, with more and more sidecars."""
    recorder = figures.Recorder()
    traffic = {f"entry-{n}": partners.Traffic() for n in range(figures.REPEATS)}
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(200, "stages", traffic)
        watched = [
            figures.Watched(await site.start_entry(name), counted)
            for name, counted in traffic.items()
        ]
        for count in (0, 25, 50, 100, 150, 200):
            await site.list_sidecars(fakes[:count])
            await record_rest(recorder, count, watched)
            await _record_statuses(site, recorder)
    return recorder.points


async def _record_statuses(
    site: bench.Bench, recorder: figures.Recorder
) -> None:
    """Records the sizes of the entries' statuses, some seconds old."""
    found = await site.call("GET", f"/objects/{statuses.OBJECT_KIND}")
    for stored in found["objects"]:
        status = stored["value"]
        size = len(json.dumps(status)) / figures.KB
        recorder.add("status", len(status["sidecars"]), size)


async def _measure_sidecar(pool: str, prefixes: int) -> figures.Points:
    recorder = figures.Recorder()
    traffic = [partners.Traffic() for _ in range(figures.REPEATS)]
    async with bench.open_bench() as site:
        endpoint = await site.start_fake_endpoint(prefixes)
        watched = [
            figures.Watched(
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


@figures.register(*_list_rest_figures("entry held by a stage's sidecar"))
async def measure_stage_sidecar_per_entry() -> figures.Points:
    """A sidecar of a stage at rest, with more and more entries."""
    return await _measure_sidecar("stages", 0)


@figures.register(*_list_rest_figures("entry held by an engine's sidecar"))
async def measure_engine_sidecar_per_entry() -> figures.Points:
    """A sidecar of an engine with a full cache, with more entries."""
    return await _measure_sidecar("engines", 64)


@figures.register(
    figures.Figure("bytes", "bytes of a heartbeat", "cached prefix")
)
async def measure_heartbeat_per_prefix() -> figures.Points:
    """The size of an engine's heartbeat, encoded here."""
    recorder = figures.Recorder()
    for count in (0, 16, 32, 48, 64):
        beat = messages.Heartbeat(
            1000, False, 8, 8, 8, 31.5, 12.5, 300.0, ["b1"], [PREFIX] * count
        )
        size = len(messages.encode_frame(beat, 1000))
        recorder.add("bytes", count, size)
    return recorder.points


async def _count_rest(
    recorder: figures.Recorder, role: str, count: int
) -> None:
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
        await curio.sleep(figures.SETTLE_SECONDS)
        before = await site.read_counts()
        await curio.sleep(REST_SECONDS)
        after = await site.read_counts()
    for name, calls in (("reads", READS), ("writes", WRITES)):
        made = sum(after.get(call, 0) - before.get(call, 0) for call in calls)
        recorder.add(f"{role}_{name}", count, made / REST_SECONDS)


@figures.register(
    figures.Figure("entry_reads", "reads of the store/s", "entry at rest"),
    figures.Figure("entry_writes", "writes to the store/s", "entry at rest"),
    figures.Figure("sidecar_reads", "reads of the store/s", "sidecar at rest"),
    figures.Figure(
        "sidecar_writes", "writes to the store/s", "sidecar at rest"
    ),
)
async def measure_store_at_rest() -> figures.Points:
    """Calls of the store while nothing happens."""
    recorder = figures.Recorder()
    async with curio.TaskGroup(wait=all) as group:
        for role in ("entry", "sidecar"):
            for count in (1, 2, 4):
                await group.spawn(_count_rest, recorder, role, count)
    return recorder.points


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "sidecar dialled")
)
async def measure_entry_per_join() -> figures.Points:
    """A fresh entry that finds its sidecars at once, with a heartbeat each."""
    recorder = figures.Recorder()
    for count in (10, 50, 100, 150, 200):
        traffic = {"entry-0": partners.Traffic()}
        async with bench.open_bench() as site:
            fakes = await site.start_fake_sidecars(count, "stages", traffic)
            entry = await site.start_entry("entry-0")
            reading = bench.Reading(entry)
            await site.list_sidecars(fakes)
            await _record_joined(recorder, count, reading, traffic["entry-0"])
    return recorder.points


@figures.register(
    figures.Figure("cpu", "ms of the sidecar's processor", "entry dialling")
)
async def measure_sidecar_per_join() -> figures.Points:
    """A sidecar that all its entries dial at once."""
    recorder = figures.Recorder()
    for count in (10, 20, 40, 80, 120):
        async with bench.open_bench() as site:
            endpoint = await site.start_fake_endpoint(0)
            process = await site.start_sidecar("one", "stages", endpoint.url)
            reading = bench.Reading(process)
            traffic = partners.Traffic()
            for number in range(count):
                fake = partners.FakeEntry(
                    f"entry-{number}", process.port, site.secret, traffic
                )
                await site.spawn(fake.run)
            await _record_joined(recorder, count, reading, traffic)
    return recorder.points


async def _record_joined(
    recorder: figures.Recorder,
    count: int,
    reading: bench.Reading,
    traffic: partners.Traffic,
) -> None:
    """Records the processor time until all connections have carried beats."""
    await figures.wait_for(
        lambda: traffic.counts["heartbeat"] >= 2 * count, "all to join"
    )
    recorder.add("cpu", count, reading.read_cpu_ms())
