"""The deployments that are measured, and what their requests need.

The brief gives the number of data centres, engines and services. Assumed
are the entries, the encoders, retrievers and rerankers (as many as
endpoints of a service), all service times and the mix of requests.
"""

from typing import NamedTuple

from samphirevale import configuration

# Slots of an engine, and how much each further attempt slows the others.
ENGINE_SLOTS = 8
ENGINE_SLOWDOWN = 0.06

# Work of one generated token, and of reading a prompt, in seconds alone.
TOKEN_SECONDS = 0.008
PROMPT_SECONDS = 0.060
CACHED_PROMPT_SECONDS = 0.015

# Prompt prefixes in use, and how many an engine caches.
PREFIXES = 40
CACHED_PREFIXES = 12

# Tokens of an answer: gamma distributed.
TOKENS_SHAPE = 3.0
TOKENS_MEAN = 60.0

# Attempts that a stage's endpoint runs at full speed, and at most.
STAGE_CORES = 2
STAGE_SLOTS = 4
STAGE_SHAPE = 4.0

# Mean work of one attempt in each pool without tokens, in seconds.
STAGE_SECONDS = {
    "encoders": 0.020,
    "retrievers": 0.060,
    "rerankers": 0.070,
    "booking": 0.080,
}

# Time that callers give, in seconds.
DEADLINE_SECONDS = 3.0

# The most attempts of one stage that one entry has in flight.
STAGE_LIMIT = 200

# Accounts and their shares.
ACCOUNTS = {"a": 3.0, "b": 2.0, "c": 1.0, "d": 1.0, "e": 1.0}

# Each kind of request: the pools that it passes through, and its part.
KINDS = {
    "answer": ("encoders", "retrievers", "rerankers", "engines"),
    "search": ("encoders", "retrievers", "rerankers"),
    "draft": ("engines",),
    "confirm": ("booking",),
}
MIX = {"answer": 0.55, "search": 0.15, "draft": 0.2, "confirm": 0.1}


class Site(NamedTuple):
    """One deployment's size.

    Attributes:
        name: its name.
        data_centres: how many it has.
        engines: how many it has.
        endpoints: endpoints in each other pool.
        entries: entry instances.
    """

    name: str
    data_centres: int
    engines: int
    endpoints: int
    entries: int


SITES = (Site("sul-br", 4, 9, 4, 4), Site("tw-north", 3, 5, 3, 3))


def count_endpoints(site: Site, pool: str) -> int:
    """Returns how many endpoints a pool has."""
    return site.engines if pool == "engines" else site.endpoints


def read_work_seconds(pool: str) -> float:
    """Returns the mean work of one attempt, every prefix cached."""
    if pool == "engines":
        return CACHED_PROMPT_SECONDS + TOKENS_MEAN * TOKEN_SECONDS
    return STAGE_SECONDS[pool]


def read_rate(pool: str, running: int) -> float:
    """Returns the speed of each attempt while so many run; 1 is alone."""
    if pool == "engines":
        return 1 / (1 + ENGINE_SLOWDOWN * (running - 1))
    return min(1.0, STAGE_CORES / running)


def read_slots(pool: str) -> int:
    """Returns how many attempts an endpoint runs at once."""
    return ENGINE_SLOTS if pool == "engines" else STAGE_SLOTS


def read_capacity(pool: str) -> float:
    """Returns the most work that one endpoint does a second."""
    slots = read_slots(pool)
    return max(n * read_rate(pool, n) for n in range(1, slots + 1))


def read_engine_capacity(site: Site) -> float:
    """Returns requests of the usual mix a second that the engines hold."""
    per_engine = read_capacity("engines") / read_work_seconds("engines")
    share = sum(MIX[kind] for kind in MIX if "engines" in KINDS[kind])
    return site.engines * per_engine / share


def build_stages(kind: str) -> list[configuration.StageConfiguration]:
    """Returns the stages of one kind of request."""
    return [
        configuration.StageConfiguration(
            name=pool,
            pool=pool,
            kind="engine" if pool == "engines" else "stage",
            repeatable=kind != "confirm",
            model="",
            limit=STAGE_LIMIT,
            expected_ms=1000 * read_work_seconds(pool),
        )
        for pool in KINDS[kind]
    ]
