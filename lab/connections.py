"""Measures the cost of idle connections and the store calls at rest."""

import itertools
import json
import time
from collections.abc import Sequence

import curio

from lab import bench, fake_peers, figures, usage
from samphirevale import messages, monitors, prefixes, statuses

# The duration for which store calls at rest are counted, in seconds. It is
# longer than 20 s, after which a watch is repeated.
REST_SECONDS = 21.0

# The slower interval between heartbeats, in seconds.
SLOW_SECONDS = 2.0

# The duration of measurements with slow heartbeats, in seconds. All
# connections open at about the same time, so it must be a multiple of the
# interval.
SLOW_WINDOW_SECONDS = 2 * SLOW_SECONDS

# The flags of a node with slow heartbeats. The ratio of the two settings is
# that of their defaults.
SLOW_FLAGS = ("--heartbeat-seconds", "2", "--suspect-seconds", "6")

# The number of prefixes in a full cache.
CACHED = monitors.PREFIXES_LIMIT

# The platform's names for its calls. Watches count as reads.
READS = ("get", "list", "watch", "instances")
WRITES = ("put", "delete")


async def record_idle_use(
    recorder: figures.Recorder,
    x: float,
    measured: Sequence[figures.MeasuredProcess],
    window_seconds: float = figures.WINDOW_SECONDS,
) -> None:
    """Records the resource use per second of idle processes."""
    await curio.sleep(figures.SETTLE_SECONDS)
    started_at = time.monotonic()
    readings = [bench.Reading(item.process) for item in measured]
    counts = [
        (item.traffic.read_bytes(), item.traffic.read_frames())
        for item in measured
    ]
    await curio.sleep(window_seconds)
    seconds = time.monotonic() - started_at
    for item, reading, (sent, frames) in zip(
        measured, readings, counts, strict=True
    ):
        recorder.add("cpu", x, reading.read_cpu_ms() / seconds)
        memory = usage.read_resident_bytes(item.process.pid)
        recorder.add("memory", x, memory / figures.KB)
        used = item.traffic.read_bytes() - sent
        recorder.add("bytes", x, used / figures.KB / seconds)
        used = item.traffic.read_frames() - frames
        recorder.add("frames", x, used / seconds)


def _list_idle_figures(per: str) -> tuple[figures.Figure, ...]:
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
    """Measures idle entries connected to engines with full caches."""
    recorder = figures.Recorder()
    traffic = {
        f"entry-{n}": fake_peers.Traffic() for n in range(figures.REPEATS)
    }
    async with bench.open_bench() as testbed:
        fakes = await testbed.start_fake_sidecars(
            counts[-1], "engines", traffic, heartbeat_seconds, CACHED
        )
        measured = [
            figures.MeasuredProcess(
                await testbed.start_entry(name, *flags), entry_traffic
            )
            for name, entry_traffic in traffic.items()
        ]
        for count in counts:
            await testbed.list_sidecars(fakes[:count])
            await record_idle_use(recorder, count, measured, window_seconds)
            await _record_statuses(testbed, recorder)
    return recorder.points


@figures.register(
    *_list_idle_figures("sidecar held by an entry"),
    figures.Figure("status", "kB of a status", "sidecar held by an entry"),
)
async def measure_entry_per_sidecar() -> figures.Points:
    """Measures an idle entry with growing numbers of engines' sidecars."""
    return await _measure_entry(
        (0, 25, 50, 100, 150, 200),
        fake_peers.HEARTBEAT_SECONDS,
        figures.WINDOW_SECONDS,
    )


@figures.register(*_list_idle_figures("sidecar held, a beat in 2 s"))
async def measure_entry_per_slow_sidecar() -> figures.Points:
    """Measures an idle entry with slower heartbeats on both sides."""
    return await _measure_entry(
        (0, 50, 100, 200), SLOW_SECONDS, SLOW_WINDOW_SECONDS, SLOW_FLAGS
    )


async def _record_statuses(
    testbed: bench.Bench, recorder: figures.Recorder
) -> None:
    """Records the sizes of the entries' statuses in the store.

    The statuses may be some seconds old, so the number of sidecars is taken
    from the status itself.
    """
    listing = await testbed.call("GET", f"/objects/{statuses.OBJECT_KIND}")
    for stored in listing["objects"]:
        status = stored["value"]
        size = len(json.dumps(status)) / figures.KB
        recorder.add("status", len(status["sidecars"]), size)


async def _measure_sidecar(pool: str, cached: int) -> figures.Points:
    recorder = figures.Recorder()
    traffic = [fake_peers.Traffic() for _ in range(figures.REPEATS)]
    async with bench.open_bench() as testbed:
        endpoint = await testbed.start_fake_endpoint(cached)
        measured = [
            figures.MeasuredProcess(
                await testbed.start_sidecar(f"{pool}-{n}", pool, endpoint.url),
                entry_traffic,
            )
            for n, entry_traffic in enumerate(traffic)
        ]
        started = 0
        for count in (0, 5, 10, 20, 40, 60):
            for item, number in itertools.product(
                measured, range(started, count)
            ):
                fake = fake_peers.FakeEntry(
                    f"entry-{number}",
                    item.process.port,
                    testbed.secret,
                    item.traffic,
                )
                await testbed.spawn(fake.run)
            started = count
            await record_idle_use(recorder, count, measured)
    return recorder.points


@figures.register(*_list_idle_figures("entry held by a stage's sidecar"))
async def measure_stage_sidecar_per_entry() -> figures.Points:
    """Measures an idle sidecar of a stage with growing numbers of entries."""
    return await _measure_sidecar("stages", 0)


@figures.register(*_list_idle_figures("entry held by an engine's sidecar"))
async def measure_engine_sidecar_per_entry() -> figures.Points:
    """Measures an idle sidecar whose engine has a full cache."""
    return await _measure_sidecar("engines", CACHED)


@figures.register(
    figures.Figure("first", "bytes of the first heartbeat", "cached prefix"),
    figures.Figure("rest", "bytes of a heartbeat at rest", "cached prefix"),
    figures.Figure("changed", "bytes of a heartbeat", "changed prefix"),
)
async def measure_heartbeat_per_prefix() -> figures.Points:
    """Measures the size of an engine's heartbeats, encoded in this process.

    With a full cache, half of the changed prefixes are new and the other half
    were evicted for them.
    """
    recorder = figures.Recorder()
    for count in (0, 16, 32, 48, CACHED):
        encoder = prefixes.PrefixEncoder()
        cached = fake_peers.list_prefixes(count)
        recorder.add("first", count, _measure_heartbeat(encoder, cached))
        recorder.add("rest", count, _measure_heartbeat(encoder, cached))
        full = fake_peers.list_prefixes(CACHED)
        encoder = prefixes.PrefixEncoder()
        _measure_heartbeat(encoder, full)
        changed = fake_peers.list_prefixes(CACHED, count // 2)
        recorder.add("changed", count, _measure_heartbeat(encoder, changed))
    return recorder.points


def _measure_heartbeat(
    encoder: prefixes.PrefixEncoder, cached: list[str]
) -> int:
    """Returns the encoded size of an engine's heartbeat, in bytes."""
    heartbeat = messages.Heartbeat(
        1000, False, 8, 8, 8, 31.5, 12, 300, ["b1"], cached
    )
    return len(messages.encode_frame(encoder.encode(heartbeat), 1000))


async def _record_idle_calls(
    recorder: figures.Recorder, role: str, count: int
) -> None:
    """Records the rates of store calls of idle processes."""
    async with bench.open_bench() as testbed:
        endpoint = await testbed.start_fake_endpoint(CACHED)
        for number in range(count):
            if role == "entry":
                await testbed.start_entry(f"entry-{number}")
            else:
                await testbed.start_sidecar(
                    f"engine-{number}", "engines", endpoint.url
                )
        await curio.sleep(figures.SETTLE_SECONDS)
        before = await testbed.read_counts()
        await curio.sleep(REST_SECONDS)
        after = await testbed.read_counts()
    for name, kinds in (("reads", READS), ("writes", WRITES)):
        calls = sum(after.get(call, 0) - before.get(call, 0) for call in kinds)
        recorder.add(f"{role}_{name}", count, calls / REST_SECONDS)


@figures.register(
    figures.Figure("entry_reads", "reads of the store/s", "entry at rest"),
    figures.Figure("entry_writes", "writes to the store/s", "entry at rest"),
    figures.Figure("sidecar_reads", "reads of the store/s", "sidecar at rest"),
    figures.Figure(
        "sidecar_writes", "writes to the store/s", "sidecar at rest"
    ),
)
async def measure_store_at_rest() -> figures.Points:
    """Measures the store calls of idle entries and sidecars."""
    recorder = figures.Recorder()
    async with curio.TaskGroup(wait=all) as group:
        for role in ("entry", "sidecar"):
            for count in (1, 2, 4):
                await group.spawn(_record_idle_calls, recorder, role, count)
    return recorder.points


@figures.register(
    figures.Figure("cpu", "ms of the entry's processor", "sidecar dialled")
)
async def measure_entry_per_join() -> figures.Points:
    """Measures a new entry that connects to all its sidecars at once."""
    recorder = figures.Recorder()
    for count in (10, 50, 100, 150, 200):
        traffic = {"entry-0": fake_peers.Traffic()}
        async with bench.open_bench() as testbed:
            fakes = await testbed.start_fake_sidecars(count, "stages", traffic)
            entry = await testbed.start_entry("entry-0")
            reading = bench.Reading(entry)
            await testbed.list_sidecars(fakes)
            await _record_joined(recorder, count, reading, traffic["entry-0"])
    return recorder.points


@figures.register(
    figures.Figure("cpu", "ms of the sidecar's processor", "entry dialling")
)
async def measure_sidecar_per_join() -> figures.Points:
    """Measures a sidecar to which all its entries connect at once."""
    recorder = figures.Recorder()
    for count in (10, 20, 40, 80, 120):
        async with bench.open_bench() as testbed:
            endpoint = await testbed.start_fake_endpoint(0)
            process = await testbed.start_sidecar("one", "stages", endpoint.url)
            reading = bench.Reading(process)
            traffic = fake_peers.Traffic()
            for number in range(count):
                fake = fake_peers.FakeEntry(
                    f"entry-{number}", process.port, testbed.secret, traffic
                )
                await testbed.spawn(fake.run)
            await _record_joined(recorder, count, reading, traffic)
    return recorder.points


async def _record_joined(
    recorder: figures.Recorder,
    count: int,
    reading: bench.Reading,
    traffic: fake_peers.Traffic,
) -> None:
    """Records the processor time until all connections carry heartbeats."""
    await figures.wait_for(
        lambda: traffic.counts["heartbeat"] >= 2 * count, "all to join"
    )
    recorder.add("cpu", count, reading.read_cpu_ms())
