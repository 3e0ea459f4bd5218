"""Draws the events of a play from its seed."""

import random
from typing import NamedTuple

# The kinds of events.
RESTART = "restart"
KILL = "kill"
STOP = "stop"
PAUSE = "pause"
STORE = "store"

# The parts of a play in which releases begin, one after another.
RELEASES_AT = (0.15, 0.5)

# The mean times between two events of a kind, in seconds.
CRASH_SECONDS = 1.5
ENTRY_SECONDS = 1.5

# How long a port is closed, and from a start to its registration, in seconds.
DOWN_SECONDS = (0.0, 0.2)
REGISTER_SECONDS = (0.0, 0.6)

# How long an entry is paused, is down after a kill, and the store is away.
PAUSE_SECONDS = (0.3, 2.0)
KILLED_SECONDS = (0.1, 1.0)
STORE_SECONDS = (0.5, 1.5)

# The duration of a release, if it is a burst and if it is not, in seconds.
BURST_SECONDS = (0.05, 1.0)
ROLLING_SECONDS = (2.0, 6.0)

# How long before the second release the store is away, in seconds.
OUTAGE_LEAD_SECONDS = 1.0

# The share of the endpoints that a release replaces.
RELEASED_SHARE = (0.5, 1.0)


class Play(NamedTuple):
    """The settings of a play.

    Attributes:
        seed: the seed of all that is drawn.
        entries: the number of entries.
        servers: the number of model endpoints.
        seconds: the duration of the load.
        callers: the number of callers that read streams.
        plain: the number of callers that send plain requests.
        new_ids: the share of starts with a new version that have a new id.
        load: the number of processes that only keep processors busy.
        closing: the share of reports of endpoints behind which they close the
            connection.
        mass_kills: how often all entries are killed at once.
        faults: the share of streams at endpoints that have a fault.
        others: how often endpoints of stages and plain services start again.
        wrong_reports: the share of starts of endpoints whose reports are wrong.
        report_fault: what is wrong with them, a name in servers.REPORT_FAULTS;
            `any` for one of these each.
        outage: how long the store is away in the second release, in seconds;
            0 for not at all.
    """

    seed: int
    entries: int = 8
    servers: int = 30
    seconds: float = 20.0
    callers: int = 100
    plain: int = 8
    new_ids: float = 0.0
    load: int = 0
    closing: float = 0.0
    mass_kills: int = 0
    faults: float = 0.0
    others: int = 0
    wrong_reports: float = 0.0
    report_fault: str = "any"
    outage: float = 0.0


class Event(NamedTuple):
    """Something that happens to the system.

    Attributes:
        at: when it begins, in seconds from the begin of the play.
        kind: one of the constants above.
        target: the number of the entry or endpoint, model endpoints first, or
            the store's switch.
        seconds: how long it lasts; of a restart, how long its port is closed.
        register_seconds: from the start of an endpoint to its registration.
        version: the version of a start; empty for that of the former one.
        new_id: whether it has a new id.
    """

    at: float
    kind: str
    target: int | str
    seconds: float
    register_seconds: float = 0.0
    version: str = ""
    new_id: bool = False


def draw_events(play: Play) -> list[Event]:
    """Returns the events of a play in their order."""
    rng = random.Random(play.seed)
    events = []
    for number, part in enumerate(RELEASES_AT):
        begin = part * play.seconds + rng.uniform(-0.5, 0.5)
        events += _draw_release(play, rng, begin, f"v{number + 2}")
    for at in _draw_times(play, rng, CRASH_SECONDS):
        target = rng.randrange(play.servers)
        events.append(_draw_restart(rng, at, target, "", False))
    for at in _draw_times(play, rng, ENTRY_SECONDS):
        kind = rng.choice((KILL, STOP, PAUSE))
        seconds = PAUSE_SECONDS if kind == PAUSE else KILLED_SECONDS
        target = rng.randrange(play.entries)
        events.append(Event(at, kind, target, rng.uniform(*seconds)))
    for switch in rng.sample(("away", "drops", "away"), 2):
        at = rng.uniform(0.1, 0.9) * play.seconds
        events.append(Event(at, STORE, switch, rng.uniform(*STORE_SECONDS)))
    for _ in range(play.mass_kills):
        at = rng.uniform(0.15, 0.8) * play.seconds
        for target in range(play.entries):
            seconds = rng.uniform(*KILLED_SECONDS)
            events.append(Event(at, KILL, target, seconds))
    for _ in range(play.others):
        at = rng.uniform(0.1, 0.9) * play.seconds
        target = play.servers + rng.randrange(2 * count_others(play))
        events.append(_draw_restart(rng, at, target, "", False))
    if play.outage:
        at = RELEASES_AT[1] * play.seconds - OUTAGE_LEAD_SECONDS
        events.append(Event(at, STORE, "away", play.outage))
    return sorted(events, key=lambda event: event.at)


def count_others(play: Play) -> int:
    """Returns the number of endpoints of each other service."""
    return 1 + play.servers // 10


def _draw_release(
    play: Play, rng: random.Random, begin: float, version: str
) -> list[Event]:
    targets = rng.sample(
        range(play.servers),
        round(rng.uniform(*RELEASED_SHARE) * play.servers),
    )
    length = rng.uniform(*rng.choice((BURST_SECONDS, ROLLING_SECONDS)))
    return [
        _draw_restart(
            rng,
            begin + length * place / len(targets),
            target,
            version,
            rng.random() < play.new_ids,
        )
        for place, target in enumerate(targets)
    ]


def _draw_restart(
    rng: random.Random, at: float, target: int, version: str, new_id: bool
) -> Event:
    down, register = rng.uniform(*DOWN_SECONDS), rng.uniform(*REGISTER_SECONDS)
    return Event(at, RESTART, target, down, register, version, new_id)


def _draw_times(play: Play, rng: random.Random, mean: float) -> list[float]:
    times = []
    at = rng.expovariate(1 / mean)
    while at < 0.9 * play.seconds:
        times.append(at)
        at += rng.expovariate(1 / mean)
    return times
