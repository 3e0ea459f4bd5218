"""Plays the events of a plan under load and collects what was seen."""

import collections
import json
import pathlib
import time
from typing import Any

import curio

from lab.soak import callers, checks, endpoints, plans, records, system
from samphirevale import log_analysis

# The number of events of a stream.
EVENTS = endpoints.Settings._field_defaults["events"]

# The file in the folder of the logs with what was seen.
SEEN_NAME = "seen.json"

# How long the last requests may take after the play, in seconds.
REST_SECONDS = 15.0

# The pause from the start of the fleet to its load, in seconds, in which the
# entries find each other.
SETTLING_SECONDS = 1.0


async def play_all(play: plans.Play, folder: pathlib.Path) -> checks.Seen:
    """Plays all events under load and returns what was seen.

    Args:
        play: the settings.
        folder: the folder for the logs of all processes.
    """
    legs: list[records.Leg] = []
    async with system.run_system(play, folder) as running:
        await curio.sleep(SETTLING_SECONDS)
        began_at = time.monotonic()
        until = began_at + play.seconds
        async with curio.TaskGroup() as group:
            tasks = []
            for number in range(play.callers + play.plain):
                caller = callers.Caller(
                    f"c{number}",
                    running.entries,
                    running.caller_port,
                    EVENTS,
                    f"{play.seed} {number}",
                    legs,
                )
                send = caller.read_streams
                if number >= play.callers:
                    send = caller.send_plain
                tasks.append(await group.spawn(send, until))
            for event in plans.draw_events(play):
                pause = began_at + event.at - time.monotonic()
                await curio.sleep(max(pause, 0.0))
                tasks.append(await group.spawn(running.apply, event))
            rest = max(until - time.monotonic(), 0.0) + REST_SECONDS
            async with curio.ignore_after(rest):
                for task in tasks:
                    await task.wait()
            await group.cancel_remaining()
        starts, runs = await running.read_seen()
        dead = running.list_dead()
    seen = checks.Seen(legs, starts, runs, EVENTS, dead)
    (folder / SEEN_NAME).write_text(json.dumps(seen))
    return seen


def read_seen(folder: pathlib.Path) -> checks.Seen:
    """Returns what was seen in a former play."""
    legs, starts, runs, *rest = json.loads((folder / SEEN_NAME).read_text())
    return checks.Seen(
        [_build_leg(values) for values in legs],
        [records.Start(*values) for values in starts],
        [records.Run(*values) for values in runs],
        *rest,
    )


def _build_leg(values: list[Any]) -> records.Leg:
    leg = records.Leg(*values)
    return leg._replace(events=tuple(map(tuple, leg.events)))


def read_lines(folder: pathlib.Path) -> dict[str, list[dict[str, Any]]]:
    """Returns the entries' log lines by request, in order."""
    texts = [path.read_text() for path in folder.glob("*-entry*.log")]
    by_request: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for line in log_analysis.parse_lines("\n".join(texts).splitlines()):
        by_request[line.get("request", "")].append(line)
    return by_request
