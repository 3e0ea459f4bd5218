"""What connections cost at rest, and calls of the store at rest."""

import itertools
import json
import time
from collections.abc import Sequence

import curio

from lab import bench, figures, partners, usage
from samphirevale import messages, monitors, prefixes, statuses

# The window in which calls to the store at rest are counted, in seconds: a
# watch is called again after 20 s.
REST_SECONDS = 21.0

# The interval between slow heartbeats, in seconds.
SLOW_SECONDS = 2.0

# The window in which they are measured, in seconds: all connections are made
# at about the same moment, so that it has to hold whole intervals.
SLOW_WINDOW_SECONDS = 2 * SLOW_SECONDS

# The flags of a node with slow heartbeats; the proportion between the two
# settings is that of the defaults.
SLOW_FLAGS = ("--heartbeat-seconds", "2", "--suspect-seconds", "6")

# The prefixes of a full cache.
CACHED = monitors.PREFIXES_LIMIT

# The platform's names of its calls. A watch counts as a read.
READS = ("get", "list", "watch", "instances")
WRITES = ("put", "delete")


async def record_rest(
    recorder: figures.Recorder,
    x: float,
    watched: Sequence[figures.Watched],
    window_seconds: float = figures.WINDOW_SECONDS,
) -> None:
    """Records what processes use in one window, per second."""
    await curio.sleep(figures.SETTLE_SECONDS)
    started_at = time.monotonic()
    readings = [bench.Reading(item.process) for item in watched]
    counts = [
        (item.traffic.read_bytes(), item.traffic.read_frames())
        for item in watched
    ]
    await curio.sleep(window_seconds)
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


async def _measure_entry(
    counts: Sequence[int],
    heartbeat_seconds: float,
    window_seconds: float,
    flags: Sequence[str] = (),
) -> figures.Points:
    """Measures entries at rest before engines with full caches."""
    recorder = figures.Recorder()
    traffic = {f"entry-{n}": partners.Traffic() for n in range(figures.REPEATS)}
    async with bench.open_bench() as site:
        fakes = await site.start_fake_sidecars(
            counts[-1], "engines", traffic, heartbeat_seconds, CACHED
        )
        watched = [
            figures.Watched(await site.start_entry(name, *flags), counted)
            for name, counted in traffic.items()
        ]
        for count in counts:
            await site.list_sidecars(fakes[:count])
            await record_rest(recorder, count, watched, window_seconds)
            await _record_statuses(site, recorder)
    return recorder.points


@figures.register(
    *_list_rest_figures("sidecar held by an entry"),
    figures.Figure("status", "kB of a status", "sidecar held by an entry"),
)
async def measure_entry_per_sidecar() -> figures.Points:
    """An entry at rest, with more and more sidecars of engines."""
    return await _measure_entry(
        (0, 25, 50, 100, 150, 200),
        partners.HEARTBEAT_SECONDS,
        figures.WINDOW_SECONDS,
    )


@figures.register(*_list_rest_figures("sidecar held, a beat in 2 s"))
async def measure_entry_per_slow_sidecar() -> figures.Points:
    """The same with slower heartbeats on both sides."""
    return await _measure_entry(
        (0, 50, 100, 200), SLOW_SECONDS, SLOW_WINDOW_SECONDS, SLOW_FLAGS
    )


async def _record_statuses(
    site: bench.Bench, recorder: figures.Recorder
) -> None:
    """Records the sizes of the entries' statuses, some seconds old."""
    found = await site.call("GET", f"/objects/{statuses.OBJECT_KIND}")
    for stored in found["objects"]:
        status = stored["value"]
        size = len(json.dumps(status)) / figures.KB
        recorder.add("status", len(status["sidecars"]), size)


async def _measure_sidecar(pool: str, cached: int) -> figures.Points:
    recorder = figures.Recorder()
    traffic = [partners.Traffic() for _ in range(figures.REPEATS)]
    async with bench.open_bench() as site:
        endpoint = await site.start_fake_endpoint(cached)
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
    return await _measure_sidecar("engines", CACHED)


@figures.register(
    figures.Figure("first", "bytes of the first heartbeat", "cached prefix"),
    figures.Figure("rest", "bytes of a heartbeat at rest", "cached prefix"),
    figures.Figure("changed", "bytes of a heartbeat", "changed prefix"),
)
async def measure_heartbeat_per_prefix() -> figures.Points:
    """The size of an engine's heartbeats, encoded here.

    With a full cache half of the changed prefixes are new ones and half are
    those that went for them.
    """
    recorder = figures.Recorder()
    for count in (0, 16, 32, 48, CACHED):
        sender = prefixes.Sender()
        held = partners.list_prefixes(count)
        recorder.add("first", count, _measure_beat(sender, held))
        recorder.add("rest", count, _measure_beat(sender, held))
        full = partners.list_prefixes(CACHED)
        sender = prefixes.Sender()
        _measure_beat(sender, full)
        moved = partners.list_prefixes(CACHED, count // 2)
        recorder.add("changed", count, _measure_beat(sender, moved))
    return recorder.points


def _measure_beat(sender: prefixes.Sender, held: list[str]) -> int:
    """Returns the bytes of a heartbeat of an engine that holds so much."""
    beat = messages.Heartbeat(1000, False, 8, 8, 8, 31.5, 12, 300, ["b1"], held)
    return len(messages.encode_frame(sender.reduce(beat), 1000))


async def _count_rest(
    recorder: figures.Recorder, role: str, count: int
) -> None:
    """Counts the calls of processes at rest, watches apart."""
    async with bench.open_bench() as site:
        endpoint = await site.start_fake_endpoint(CACHED)
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
