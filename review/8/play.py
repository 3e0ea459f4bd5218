"""A request that crashes model engines comes again, beside sound ones."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

HOST = "pule25.example"
POISON = b'{"notice":"row 7"}'
KEY = "key1"

# The last part of a prompt belongs to the request itself.
OWN_PARTS = itertools.count(1)

CONTACT_SECONDS = 3.0

# How often the request comes again, at each machine, and how long, in seconds.
COMES_SECONDS = 3.5
PLAY_SECONDS = 30.0

# How long sound requests are served before it comes first, in seconds.
BEFORE_SECONDS = 4.0

# How long an engine is away after a crash, in seconds.
AWAY_SECONDS = 2.0

# When the store removes its former entry: three intervals of heartbeat_ms.
LAPSE_SECONDS = 3.6


class CrashingEngine(rig2.Engine):
    """An engine that one request crashes as it begins to run it."""

    trouble = True
    away = False
    tasks = []
    crashes = []

    async def answer(self, head, body, writer):
        """Answers a request, or crashes."""
        poison = body == POISON and head.first[1].startswith("/bobo563/")
        if not (self.trouble and poison):
            return await super().answer(head, body, writer)
        attempt = head.headers["samphirevale-attempt-id"]
        self.crashes.append((time.monotonic(), attempt))
        self.bed.record.write(
            "engine_crashes", engine=self.name, attempt=attempt
        )
        if not self.away:
            self.away = True
            self.tasks.append(asyncio.create_task(self._crash()))
        return False

    async def _crash(self):
        former = self.name
        await self.close()
        await asyncio.sleep(AWAY_SECONDS)
        # Most restarts bring a new id (PROTOCOL, Engines).
        self.name = f"i-{self.service}-{next(rig2.Engine.ids)}"
        self.born = int(time.time() * 1000)
        await self.open()
        self.register()
        self.away = False
        await asyncio.sleep(LAPSE_SECONDS - AWAY_SECONDS)
        self.bed.store.remove("servers", former)


def build_headers(bed):
    """Returns the headers of a request, whose last part is its own."""
    own = f"e44{next(OWN_PARTS):05x}:250"
    return bed.build_headers(
        HOST,
        KEY,
        5000,
        Samphirevale_Model_Name="m",
        Samphirevale_Token_Counts="1050,50",
        Samphirevale_Prefix_Hash=f"5c1e07a2:800,{own}",
    )


async def come_again(bed, entry, ends_at):
    """Sends the same request at one machine, again and again."""
    await asyncio.sleep(BEFORE_SECONDS)
    next_at = time.monotonic()
    while next_at < ends_at:
        headers = build_headers(bed)
        channel = await rig2.Channel(bed, entry).open()
        await channel.send("POST", "/bobo563/lo7/2f", headers, POISON)
        channel.close()
        next_at += COMES_SECONDS
        await asyncio.sleep(max(next_at - time.monotonic(), 0))


async def work(bed, entry, ends_at, lost):
    """Sends sound requests, which share the engines with the other one."""
    while time.monotonic() < ends_at:
        headers = build_headers(bed)
        channel = await rig2.Channel(bed, entry).open()
        answer = await channel.send(
            "POST", "/once400/2f", headers, b'{"notice":"row 8"}'
        )
        channel.close()
        broken_off = answer.status == 200 and not answer.complete
        if broken_off or answer.status in (0, 500, 502, 504):
            lost.append(dict(headers)["Samphirevale-Attempt-Id"])
        await asyncio.sleep(0.2)


async def play(bed, trouble):
    """Plays the case."""
    CrashingEngine.trouble = trouble
    for _ in range(6):
        engine = CrashingEngine(
            bed, f"{bed.prefix}.2", "pool", events=10, event_seconds=0.1
        )
        await engine.open()
        engine.register()
        bed.engines.append(engine)
    found = [
        rig2.build_route(
            "r-draft", "/bobo563/", "streaming", "pool", resumable=True
        ),
        rig2.build_route(
            "r-review", "/once400/", "streaming", "pool", max_attempts=1
        ),
    ]
    bed.put_manifest(rig2.build_manifest(7, found, ["pool"]))
    await bed.start_entries(3)
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    ends_at = time.monotonic() + PLAY_SECONDS
    lost = []
    await asyncio.gather(
        *(come_again(bed, entry, ends_at) for entry in bed.entries),
        *(work(bed, entry, ends_at, lost) for entry in bed.entries),
    )
    crashes = CrashingEngine.crashes
    broken = []
    if len(crashes) > 3:
        third = crashes[2][0]
        late = [at for at, _ in crashes if at > third + CONTACT_SECONDS]
        bed.record.write(
            "crashes",
            number=len(crashes),
            later=[round(at - third, 2) for at in late],
            other_requests_lost=len(lost),
        )
        if len(late) > 3:
            broken.append(
                f"BUDGET: the request reached engines {len(late)} times later "
                "than contact_ms after it had crashed the third"
            )
    return broken


rig2.run(FOLDER, play)
