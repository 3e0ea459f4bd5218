"""The simulated deployments, and the work that their requests need.

The brief gives the numbers of data centres, engines and services. Assumed
are the number of entries, the numbers of encoders, retrievers and rerankers
(as many as endpoints of a service), all service times and the mix of
requests.
"""

from typing import NamedTuple

from samphirevale import configuration

# The slots of an engine, and the slowdown that each further attempt causes.
ENGINE_SLOTS = 8
ENGINE_SLOWDOWN = 0.06

# The work of generating a token and of processing a prompt whose prefix is
# not cached or cached, in seconds at an otherwise idle engine.
TOKEN_SECONDS = 0.008
PROMPT_SECONDS = 0.060
CACHED_PROMPT_SECONDS = 0.015

# The number of prompt prefixes in use, and the number that an engine caches.
PREFIXES = 40
CACHED_PREFIXES = 12

# The gamma distribution of an answer's number of tokens.
TOKENS_SHAPE = 3.0
TOKENS_MEAN = 60.0

# The number of concurrent attempts that an endpoint of another pool runs at
# full speed, the maximum number that it runs, and the shape of the gamma
# distribution of their work.
STAGE_CORES = 2
STAGE_SLOTS = 4
STAGE_SHAPE = 4.0

# The mean work of one attempt in each pool that generates no tokens, in
# seconds.
STAGE_SECONDS = {
    "encoders": 0.020,
    "retrievers": 0.060,
    "rerankers": 0.070,
    "booking": 0.080,
}

# The callers' deadline, in seconds.
DEADLINE_SECONDS = 3.0

# The maximum number of attempts of one stage in flight from one entry.
STAGE_LIMIT = 200

# The accounts and their shares of the load.
ACCOUNTS = {"a": 3.0, "b": 2.0, "c": 1.0, "d": 1.0, "e": 1.0}

# For each kind of request, the pools that it passes through and its share of
# the usual mix.
KINDS = {
    "answer": ("encoders", "retrievers", "rerankers", "engines"),
    "search": ("encoders", "retrievers", "rerankers"),
    "draft": ("engines",),
    "confirm": ("booking",),
}
MIX = {"answer": 0.55, "search": 0.15, "draft": 0.2, "confirm": 0.1}


class Site(NamedTuple):
    """The size of a deployment.

    Attributes:
        name: the deployment's name.
        data_centres: the number of data centres.
        engines: the number of engines.
        endpoints: the number of endpoints in each other pool.
        entries: the number of entries.
    """

    name: str
    data_centres: int
    engines: int
    endpoints: int
    entries: int


SITES = (Site("sul-br", 4, 9, 4, 4), Site("tw-north", 3, 5, 3, 3))


def count_endpoints(site: Site, pool: str) -> int:
    """Returns the number of endpoints in a pool."""
    return site.engines if pool == "engines" else site.endpoints


def compute_work_seconds(pool: str) -> float:
    """Returns the mean work of an attempt whose prefix is cached."""
    if pool == "engines":
        return CACHED_PROMPT_SECONDS + TOKENS_MEAN * TOKEN_SECONDS
    return STAGE_SECONDS[pool]


def compute_rate(pool: str, running: int) -> float:
    """Returns the speed of each of `running` concurrent attempts.

    The speed of a single attempt is 1.
    """
    if pool == "engines":
        return 1 / (1 + ENGINE_SLOWDOWN * (running - 1))
    return min(1.0, STAGE_CORES / running)


def get_slots(pool: str) -> int:
    """Returns the maximum number of concurrent attempts of an endpoint."""
    return ENGINE_SLOTS if pool == "engines" else STAGE_SLOTS


def compute_capacity(pool: str) -> float:
    """Returns the maximum work that an endpoint does per second."""
    slots = get_slots(pool)
    return max(n * compute_rate(pool, n) for n in range(1, slots + 1))


def compute_engine_capacity(site: Site) -> float:
    """Returns the engines' capacity, in requests of the mix per second."""
    per_engine = compute_capacity("engines") / compute_work_seconds("engines")
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
            expected_ms=1000 * compute_work_seconds(pool),
        )
        for pool in KINDS[kind]
    ]
