"""A registration that cannot be read ends every process, again and again.

Two machines serve a plain service. Another writer puts an entry into the list
of engines whose port cannot be read: in one digit the highest bit is set, so
that the byte of `2` has become that of a superscript two. The platform starts
each process again shortly after it has ended.
"""

import asyncio
import pathlib

from review import rig

# When the unreadable entry is written, how long it stays, and the end of the
# play, in seconds after both machines are ready. An entry lapses after three
# status report intervals of 1.2 s if nobody writes it again; the writer of this
# one goes on for a while.
WRITTEN_AT = 4.0
STAYS_SECONDS = 15.0
PLAY_SECONDS = 30.0

# The pause before a process that has ended is started again, in seconds.
RESTART_SECONDS = 0.5

# The pause between two requests of a client, in seconds.
PAUSE_SECONDS = 0.1

# The rule: on two machines processes end by themselves three times.
ENDS_LIMIT = 3
MACHINES_LIMIT = 2


async def _supervise(record: rig.Record, entry: rig.Entry, ends: list) -> None:
    """Starts a process again whenever it has ended by itself."""
    while True:
        status = await entry.wait()
        ends.append(status)
        reason = [line["error"] for line in entry.find_lines("failed")][-1:]
        record.add(f"{entry.name} ended by itself: {status} {reason}")
        await asyncio.sleep(RESTART_SECONDS)
        await entry.start()
        record.add(f"the platform starts {entry.name} again")


async def _run_client(
    record: rig.Record, entry: rig.Entry, ends_at: float, statuses: list
) -> None:
    client = rig.Client(record, "key-1")
    while record.now() < ends_at:
        _, status, _ = await client.send(entry, "/read/1")
        statuses.append(status)
        await asyncio.sleep(PAUSE_SECONDS)


async def play(
    record: rig.Record, troubled: bool, folder: pathlib.Path
) -> bool:
    """Plays the case; returns whether the rule held."""
    store = rig.Store(record)
    await store.server.start()
    engines = [rig.Engine(record, "desk", "127.0.0.1") for _ in range(3)]
    for engine in engines:
        await engine.start()
        store.put("servers", engine.name, engine.describe())
    store.put("config", "main", _build_manifest())
    entries = [
        rig.Entry(folder, name, host, f"127.0.0.1:{store.server.port}")
        for name, host in zip(
            ("edge-1", "edge-2"), rig.choose_hosts(2), strict=True
        )
    ]
    ends: dict[str, list[int]] = {entry.name: [] for entry in entries}
    statuses: list[int] = []
    async with rig.ending(record, *entries):
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_ready()
        began_at = record.now()
        tasks = [
            asyncio.create_task(_supervise(record, entry, ends[entry.name]))
            for entry in entries
        ]
        clients = [
            asyncio.create_task(
                _run_client(record, entry, began_at + PLAY_SECONDS, statuses)
            )
            for entry in entries
        ]
        await asyncio.sleep(WRITTEN_AT)
        if troubled:
            value = engines[0].describe() | {"address": "127.0.0.1:874\u00b2"}
            record.add(f"another writer registers {value}")
            store.put("servers", "i-0badc0de00", value)
            await asyncio.sleep(STAYS_SECONDS)
            record.add("the entry of the other writer has lapsed")
            store.remove("servers", "i-0badc0de00")
        await asyncio.gather(*clients)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    counts = {name: len(found) for name, found in ends.items()}
    lost = statuses.count(0)
    record.add(
        f"processes ended by themselves: {counts}; {len(statuses)} requests,"
        f" {statuses.count(200)} served, {lost} without an answer"
    )
    if not statuses.count(200):
        raise rig.CannotRunError("nothing was served")
    failed = [name for name, count in counts.items() if count >= ENDS_LIMIT]
    return len(failed) < MACHINES_LIMIT


def _build_manifest() -> dict:
    return rig.build_manifest(
        1,
        [rig.build_route("/read/", "idempotent", "desk")],
        [{"name": "desk", "max_connections": 96}],
        {"tenant-1": ["key-1"]},
    )


if __name__ == "__main__":
    rig.run_case(play, __file__)
