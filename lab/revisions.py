"""Measures the cost of configuration changes and their distribution."""

import itertools
import json
import time
from collections.abc import Sequence

import curio

from lab import bench, fake_peers, figures, processes, usage
from samphirevale import messages


def _list_size_figures(per: str) -> tuple[figures.Figure, ...]:
    return (
        figures.Figure("bytes", "bytes of configuration", per),
        figures.Figure(
            "entry_cpu", "ms of the entry's processor", f"revision, {per}"
        ),
        figures.Figure("entry_memory", "kB", per),
        figures.Figure(
            "sidecar_cpu", "ms of the sidecar's processor", f"revision, {per}"
        ),
        figures.Figure("sidecar_memory", "kB", per),
        figures.Figure("sidecar_delay", "ms until in force", per),
    )


async def _measure_sizes(name: str, sizes: Sequence[int]) -> figures.Points:
    recorder = figures.Recorder()
    for size in sizes:
        async with bench.open_bench(**{name: size}) as testbed:
            await _measure_size(testbed, recorder, {name: size}, size)
    return recorder.points


async def _measure_size(
    testbed: bench.Bench,
    recorder: figures.Recorder,
    sizes: dict[str, int],
    x: int,
) -> None:
    """Records the cost of configuration changes at an entry and a sidecar."""
    endpoint = await testbed.start_fake_endpoint(0)
    entry = await testbed.start_entry("entry-0")
    sidecar = await testbed.start_sidecar("measured", "stages", endpoint.url)
    fake = fake_peers.FakeEntry(
        "fake", sidecar.port, testbed.secret, fake_peers.Traffic()
    )
    await testbed.spawn(fake.run)
    await figures.wait_for(lambda: 1 in fake.revision_at, "the first revision")
    await curio.sleep(1.0)
    value = bench.build_configuration(1, **sizes)
    recorder.add("bytes", x, len(json.dumps(value)))
    changes = 3
    idle_rates = await _read_idle_ms([entry, sidecar])
    started_at = time.monotonic()
    readings = [bench.Reading(process) for process in (entry, sidecar)]
    for revision in range(2, 2 + changes):
        value = bench.build_configuration(revision, **sizes)
        await testbed.put_configuration(value)
        sent_at = time.monotonic()
        await fake.send_snapshot(revision, value)
        await figures.wait_for(
            lambda expected=revision: expected in fake.revision_at,
            "a revision",
        )
        seconds = fake.revision_at[revision] - sent_at
        recorder.add("sidecar_delay", x, 1000 * seconds)
    await curio.sleep(1.0)
    seconds = time.monotonic() - started_at
    for role, reading, idle_ms, process in zip(
        ("entry", "sidecar"),
        readings,
        idle_rates,
        (entry, sidecar),
        strict=True,
    ):
        used = reading.read_cpu_ms() - idle_ms * seconds
        recorder.add(f"{role}_cpu", x, used / changes)
        memory = usage.read_resident_bytes(process.pid)
        recorder.add(f"{role}_memory", x, memory / figures.KB)


async def _read_idle_ms(measured: Sequence[processes.Process]) -> list[float]:
    """Returns the processor time of idle processes, in ms per second."""
    readings = [bench.Reading(process) for process in measured]
    started_at = time.monotonic()
    await curio.sleep(1.0)
    seconds = time.monotonic() - started_at
    return [reading.read_cpu_ms() / seconds for reading in readings]


@figures.register(*_list_size_figures("account"))
async def measure_configuration_per_account() -> figures.Points:
    """Measures configurations with growing numbers of accounts."""
    return await _measure_sizes("accounts", (1, 1400, 2800, 4200))


@figures.register(*_list_size_figures("batch"))
async def measure_configuration_per_batch() -> figures.Points:
    """Measures configurations with growing numbers of batches."""
    return await _measure_sizes("batches", (1, 700, 1400, 2000))


@figures.register(
    figures.Figure(
        "seconds", "ms until the last holds it", "sidecar of one entry"
    ),
    figures.Figure(
        "cpu", "ms of the entry's processor", "sidecar of one entry"
    ),
    figures.Figure("bytes", "kB", "sidecar of one entry"),
)
async def measure_spread_per_sidecar() -> figures.Points:
    """Measures the distribution of a revision to one entry's sidecars.

    The configuration has 2,800 accounts.
    """
    recorder = figures.Recorder()
    traffic = {"entry-0": fake_peers.Traffic()}
    async with bench.open_bench(accounts=2800, pipelines=24) as testbed:
        fakes = await testbed.start_fake_sidecars(40, "stages", traffic)
        entry = await testbed.start_joined_entry(fakes[:1], "entry-0")
        revisions = itertools.count(2)
        for count in (5, 10, 20, 30, 40):
            await testbed.list_sidecars(fakes[:count])
            await curio.sleep(figures.SETTLE_SECONDS)
            await figures.wait_for(
                lambda n=count: len({f.revision for f in fakes[:n]}) == 1,
                "the sidecars to join",
            )
            await _record_spread(
                testbed,
                recorder,
                figures.MeasuredProcess(entry, traffic["entry-0"]),
                fakes[:count],
                next(revisions),
            )
    return recorder.points


async def _record_spread(
    testbed: bench.Bench,
    recorder: figures.Recorder,
    measured: figures.MeasuredProcess,
    fakes: Sequence[fake_peers.FakeSidecar],
    revision: int,
) -> None:
    value = bench.build_configuration(revision, accounts=2800, pipelines=24)
    reading = bench.Reading(measured.process)
    sent = measured.traffic.read_bytes()
    started_at = time.monotonic()
    await testbed.put_configuration(value)
    await figures.wait_for(
        lambda: all(revision in fake.adopted_at for fake in fakes),
        f"revision {revision}",
    )
    last = max(fake.adopted_at[revision] for fake in fakes)
    recorder.add("seconds", len(fakes), 1000 * (last - started_at))
    recorder.add("cpu", len(fakes), reading.read_cpu_ms())
    used = measured.traffic.read_bytes() - sent
    recorder.add("bytes", len(fakes), used / figures.KB)


@figures.register(
    figures.Figure(
        "requests", "snapshots asked for", "entry held by a sidecar"
    ),
    figures.Figure(
        "cpu", "ms of the sidecar's processor", "entry held by a sidecar"
    ),
)
async def measure_snapshots_per_entry() -> figures.Points:
    """Measures a sidecar to which all entries announce a new revision.

    The configuration has 2,800 accounts.
    """
    recorder = figures.Recorder()
    value = bench.build_configuration(2, accounts=2800, pipelines=24)
    for count in (10, 20, 40, 60):
        async with bench.open_bench(accounts=2800, pipelines=24) as testbed:
            traffic = fake_peers.Traffic()
            endpoint = await testbed.start_fake_endpoint(0)
            process = await testbed.start_sidecar("one", "stages", endpoint.url)
            fakes = [
                fake_peers.FakeEntry(
                    f"entry-{n}", process.port, testbed.secret, traffic
                )
                for n in range(count)
            ]
            for fake in fakes:
                await testbed.spawn(fake.run)
                # Spreads the heartbeats over time, as with real entries.
                await curio.sleep(fake_peers.HEARTBEAT_SECONDS / count)
            await curio.sleep(figures.SETTLE_SECONDS)
            reading = bench.Reading(process)
            for fake in fakes:
                fake.revision, fake.value = 2, value
            await figures.wait_for(
                lambda f=fakes[0]: 2 in f.revision_at, "revision 2"
            )
            await curio.sleep(1.0)
            requests = traffic.counts[messages.SnapshotRequest.tag]
            recorder.add("requests", count, requests)
            recorder.add("cpu", count, reading.read_cpu_ms())
    return recorder.points
