"""The manifest allows longer heads, while clients keep their channels."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

HOST = "pule25.example"
KEY = "key1"
CHANNELS = 24

# The limit before and after the change, in bytes.
FORMER_LIMIT = 16_384
LIMIT = 65_536

# A head of this size comes in two parts of a link, in bytes.
LONG_VALUE = "y" * 20_000
PART_BYTES = 17_000

# How long after the acknowledgement the long heads are sent, in seconds;
# config_apply_ms is 2,000 and contact_ms 3,000.
AFTER_ACK_SECONDS = 3.5

# The rule allows so many, and one in OF of all requests.
ALLOWED = 5
OF = 500


def build_manifest(version, limit):
    """Returns a manifest with a limit of the heads of requests."""
    route = rig2.build_route("r-look", "/bobo563/", "idempotent", "desk")
    limits = {
        "max_header_bytes": limit,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return rig2.build_manifest(version, [route], ["desk"], limits=limits)


async def play(bed, trouble):
    """Plays the case."""
    for _ in range(2):
        await bed.add_engine("desk")
    bed.put_manifest(build_manifest(7, FORMER_LIMIT if trouble else LIMIT))
    await bed.start_entries(2)
    await asyncio.sleep(3.5)
    channels = [
        await rig2.Channel(bed, bed.entries[number % 2]).open()
        for number in range(CHANNELS)
    ]
    statuses = []
    for channel in channels:
        headers = bed.build_headers(HOST, KEY, 2500)
        answer = await channel.send("POST", "/bobo563/2f", headers, b"{}")
        statuses.append(answer.status)
    if trouble:
        bed.put_manifest(build_manifest(9, LIMIT))
    await asyncio.sleep(AFTER_ACK_SECONDS)
    denied = 0
    for channel in channels:
        headers = bed.build_headers(HOST, KEY, 2500, X_Trace=LONG_VALUE)
        answer = await channel.send(
            "POST",
            "/bobo563/2f",
            headers,
            b"{}",
            rate=2_000_000,
            piece=PART_BYTES,
        )
        statuses.append(answer.status)
        denied += answer.status == 431
        channel.close()
    bed.record.write("denied", number=denied, of=len(statuses))
    if set(statuses) - {200, 431}:
        raise rig2.NotRunError(f"statuses {sorted(set(statuses))}")
    if denied <= ALLOWED + len(statuses) / OF:
        return []
    return [f"DENIED: {denied} of {len(statuses)} requests were answered 431"]


rig2.run(FOLDER, play)
