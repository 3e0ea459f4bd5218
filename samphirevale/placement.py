"""Placement: which endpoint an entry hands a request to, without a sidecar.

What an entry knows of an endpoint's load is what it has sent itself and what
came back. Prompts that share a part go to one endpoint, which keeps it in
memory, unless that one has clearly more to do than another.
"""

import hashlib
import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from samphirevale import catalogue, proxied, registry

# Prompt tokens that a model engine reads in a second.
PROMPT_TOKENS_PER_SECOND = 112_000.0

# What a request in progress adds to the time of a new one, in seconds.
RUNNING_SECONDS = 0.004

# How much more time the endpoint that has a prompt's shared part may take
# than the best one, in seconds, besides what reading the part takes.
AFFINITY_SECONDS = 0.15

# What results from another data centre count against an endpoint: seconds for
# each megabyte.
REMOTE_SECONDS_PER_MB = 0.05

# Failures in a row after which an endpoint is avoided, and for how long, in
# seconds: doubled with each further one up to the limit.
FAILURES_LIMIT = 2
AVOID_SECONDS = 0.5
AVOID_SECONDS_LIMIT = 8.0

# How long an endpoint is avoided to which no connection was made, in seconds.
UNREACHABLE_SECONDS = 2.0

# The largest share of a service's endpoints that is avoided at once.
AVOIDED_SHARE_LIMIT = 0.5


class Demand(NamedTuple):
    """What a choice looks at besides the endpoints.

    Attributes:
        prompt: the parts of the prompt; empty for a plain request.
        result_bytes: by data centre, the results that are to be fetched.
        tried: names of endpoints that have had the request.
        running_limit: most requests in progress at an endpoint, each on a
            connection of its own; 0 if it says none.
    """

    prompt: tuple[proxied.PromptPart, ...] = ()
    result_bytes: tuple[tuple[str, int], ...] = ()
    tried: frozenset[str] = frozenset()
    running_limit: int = 0


class Load:
    """What one entry has in progress at one endpoint.

    Attributes:
        running: requests.
        unread_tokens: of prompts whose first event has not come.
        failures: in a row.
        avoided_until: no new work before that time.
    """

    def __init__(self):
        self.running = 0
        self.unread_tokens = 0
        self.failures = 0
        self.avoided_until = 0.0


Policy = Callable[["Placer", list[catalogue.Endpoint], Demand], str]

policies: registry.Registry[Policy] = registry.Registry("placement policy")


def _read_no_load(name: str) -> tuple[int, int]:
    """Stands for other entries where there are none."""
    return 0, 0


class Placer:
    """Chooses endpoints for one entry."""

    def __init__(
        self,
        rng: random.Random,
        read_other_load: Callable[[str], tuple[int, int]] = _read_no_load,
        policy: str = "affinity",
    ):
        """Prepares a placer.

        Args:
            rng: breaks ties.
            read_other_load: takes an endpoint's name; returns the requests
                and the unread prompt tokens that other entries have there.
            policy: a registered name.
        """
        self.rng = rng
        self._read_other_load = read_other_load
        self._choose = policies.get(policy)
        self._loads: dict[str, Load] = {}

    def read_load(self, name: str) -> Load:
        """Returns what is in progress at an endpoint."""
        return self._loads.setdefault(name, Load())

    def choose(
        self,
        endpoints: Collection[catalogue.Endpoint],
        demand: Demand,
        now: float,
    ) -> catalogue.Endpoint | None:
        """Returns the endpoint for a request, or None if there is none."""
        fresh = [
            item
            for item in endpoints
            if item.name not in demand.tried
            and self._has_connection(item.name, demand)
        ]
        candidates = self._leave_out_avoided(fresh, now)
        if not candidates:
            return None
        name = self._choose(self, candidates, demand)
        return next(item for item in candidates if item.name == name)

    def _has_connection(self, name: str, demand: Demand) -> bool:
        limit = demand.running_limit
        return not limit or self.count_running(name) < limit

    def _leave_out_avoided(
        self, endpoints: list[catalogue.Endpoint], now: float
    ) -> list[catalogue.Endpoint]:
        trusted = [
            item
            for item in endpoints
            if self.read_load(item.name).avoided_until <= now
        ]
        if len(trusted) >= len(endpoints) * (1 - AVOIDED_SHARE_LIMIT):
            return trusted
        return endpoints

    def note_sent(self, name: str, tokens: int) -> None:
        """Counts a request that is handed to an endpoint."""
        load = self.read_load(name)
        load.running += 1
        load.unread_tokens += tokens

    def note_read(self, name: str, tokens: int) -> None:
        """Counts a request whose prompt has been read, or never will be."""
        self.read_load(name).unread_tokens -= tokens

    def note_ended(self, name: str, failed: bool, now: float) -> None:
        """Counts the end of a request at an endpoint."""
        load = self.read_load(name)
        load.running -= 1
        if not failed:
            load.failures = 0
            return
        load.failures += 1
        excess = load.failures - FAILURES_LIMIT
        if excess >= 0:
            seconds = min(AVOID_SECONDS * 2**excess, AVOID_SECONDS_LIMIT)
            load.avoided_until = now + seconds

    def note_unreachable(self, name: str, now: float) -> None:
        """Avoids an endpoint to which no connection was made."""
        load = self.read_load(name)
        load.avoided_until = max(load.avoided_until, now + UNREACHABLE_SECONDS)

    def forget(self, name: str) -> None:
        """Drops what is known of an endpoint that is gone."""
        load = self._loads.get(name)
        if load is not None and load.running <= 0:
            del self._loads[name]

    def estimate_seconds(self, name: str) -> float:
        """Returns how much longer a request takes there than when idle."""
        load = self.read_load(name)
        running, unread = self._read_other_load(name)
        reading = (load.unread_tokens + unread) / PROMPT_TOKENS_PER_SECOND
        return reading + (load.running + running) * RUNNING_SECONDS

    def count_running(self, name: str) -> int:
        """Returns the requests in progress at an endpoint, of all entries."""
        return self.read_load(name).running + self._read_other_load(name)[0]

    def describe_loads(self) -> list[list]:
        """Returns this entry's own loads, for its report."""
        return [
            [name, load.running, load.unread_tokens]
            for name, load in self._loads.items()
            if load.running
        ]


@policies.register("least_running")
def choose_least_running(
    placer: Placer, endpoints: list[catalogue.Endpoint], demand: Demand
) -> str:
    """The baseline: the endpoint with the fewest requests."""

    def rank(endpoint: catalogue.Endpoint) -> tuple[int, float]:
        return placer.count_running(endpoint.name), placer.rng.random()

    return min(endpoints, key=rank).name


@policies.register("affinity")
def choose_affine(
    placer: Placer, endpoints: list[catalogue.Endpoint], demand: Demand
) -> str:
    """The endpoint that has the prompt's shared part, unless it is loaded."""
    if not demand.prompt:
        return choose_least_running(placer, endpoints, demand)
    costs = {
        endpoint.name: placer.estimate_seconds(endpoint.name)
        + _compute_fetch_seconds(endpoint, demand.result_bytes)
        for endpoint in endpoints
    }
    shared = demand.prompt[:-1] or demand.prompt
    allowed = min(costs.values()) + AFFINITY_SECONDS
    allowed += sum(p.tokens for p in shared) / PROMPT_TOKENS_PER_SECOND
    for name in rank_by_part(shared[-1].name, list(costs)):
        if costs[name] <= allowed:
            return name
    return min(costs, key=costs.__getitem__)


def rank_by_part(part: str, names: Sequence[str]) -> list[str]:
    """Returns names in an order that only the part's name decides."""

    def draw(name: str) -> bytes:
        text = f"{part}/{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=draw)


def _compute_fetch_seconds(
    endpoint: catalogue.Endpoint, result_bytes: tuple[tuple[str, int], ...]
) -> float:
    remote = sum(
        size
        for data_centre, size in result_bytes
        if data_centre != endpoint.data_centre
    )
    return remote / 1e6 * REMOTE_SECONDS_PER_MB
