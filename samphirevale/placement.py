"""Chooses the endpoint of a request in an entry that has no sidecar.

An entry estimates the load of an endpoint from the requests that it has sent
there itself, the answers to them, and the reports of other entries. Prompts
that share a part go to the same endpoint, which keeps that part in memory,
unless its load is clearly higher than that of another endpoint.
"""

import random
from collections.abc import Callable, Collection
from typing import NamedTuple

from samphirevale import (
    catalogue,
    hash_order,
    prompt_speed,
    proxy_requests,
    registry,
)

# The time that each request in flight adds to a new one, in seconds.
REQUEST_DELAY_SECONDS = 0.004

# An endpoint that has the shared part of a prompt in memory is chosen if its
# cost exceeds the lowest one by at most this many seconds plus the time to read
# that part.
AFFINITY_SECONDS = 0.15

# Cost of results that are fetched from another data centre, in seconds per
# megabyte.
REMOTE_SECONDS_PER_MB = 0.05

# An endpoint is avoided after FAILURES_LIMIT consecutive failures, at first for
# AVOID_SECONDS. The time doubles with each further failure up to the limit.
FAILURES_LIMIT = 2
AVOID_SECONDS = 0.5
AVOID_SECONDS_LIMIT = 8.0

# How long an endpoint is avoided after a failed connection, in seconds.
UNREACHABLE_SECONDS = 2.0

# The largest share of a service's endpoints that may be avoided at once. If it
# is exceeded, no endpoint is avoided.
AVOIDED_SHARE_LIMIT = 0.5


class PlacementRequest(NamedTuple):
    """The properties of a request that decide its placement.

    Attributes:
        prompt: the parts of the prompt; empty for a plain request.
        result_bytes: pairs of a data centre and the bytes of a result that
            is fetched from there.
        tried: names of the endpoints to which the request was sent before.
        running_limit: the largest number of requests in flight at an
            endpoint, each on a connection of its own; 0 for no limit.
    """

    prompt: tuple[proxy_requests.PromptPart, ...] = ()
    result_bytes: tuple[tuple[str, int], ...] = ()
    tried: frozenset[str] = frozenset()
    running_limit: int = 0


class Load:
    """The load that one entry has placed on one endpoint.

    Attributes:
        running: the number of requests in flight.
        unread_tokens: the prompt tokens of requests whose first event has not
            arrived yet.
        failures: the number of consecutive failures.
        avoided_until: the time until which the endpoint is avoided.
    """

    def __init__(self):
        self.running = 0
        self.unread_tokens = 0
        self.failures = 0
        self.avoided_until = 0.0


Policy = Callable[
    ["EndpointSelector", list[catalogue.Endpoint], PlacementRequest], str
]

policies: registry.Registry[Policy] = registry.Registry("placement policy")


def _get_no_load(name: str) -> tuple[int, int]:
    """Returns the load of other entries if there are none."""
    return 0, 0


class EndpointSelector:
    """Chooses endpoints for one entry.

    Attributes:
        rng: the source of random numbers to break ties.
        prompt_speed: the learned time to read prompts, over all endpoints.
    """

    def __init__(
        self,
        rng: random.Random,
        get_other_load: Callable[[str], tuple[int, int]] = _get_no_load,
        policy: str = "affinity",
    ):
        """Initializes a selector without any load.

        Args:
            rng: the source of random numbers to break ties.
            get_other_load: takes the name of an endpoint and returns the
                numbers of requests in flight and of unread prompt tokens that
                other entries have placed there.
            policy: the name of a registered placement policy.
        """
        self.rng = rng
        self.prompt_speed = prompt_speed.PromptSpeed()
        self._get_other_load = get_other_load
        self._choose = policies.get(policy)
        self._loads: dict[str, Load] = {}

    def get_load(self, name: str) -> Load:
        """Returns the load that this entry has placed on an endpoint."""
        return self._loads.setdefault(name, Load())

    def choose(
        self,
        endpoints: Collection[catalogue.Endpoint],
        request: PlacementRequest,
        now: float,
    ) -> catalogue.Endpoint | None:
        """Returns the endpoint for a request, or None if there is none."""
        untried = [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in request.tried
            and self._has_free_connection(endpoint.name, request)
        ]
        candidates = self._exclude_avoided(untried, now)
        if not candidates:
            return None
        name = self._choose(self, candidates, request)
        return next(
            endpoint for endpoint in candidates if endpoint.name == name
        )

    def _has_free_connection(
        self, name: str, request: PlacementRequest
    ) -> bool:
        limit = request.running_limit
        return not limit or self.count_running(name) < limit

    def _exclude_avoided(
        self, endpoints: list[catalogue.Endpoint], now: float
    ) -> list[catalogue.Endpoint]:
        not_avoided = [
            endpoint
            for endpoint in endpoints
            if self.get_load(endpoint.name).avoided_until <= now
        ]
        if len(not_avoided) >= len(endpoints) * (1 - AVOIDED_SHARE_LIMIT):
            return not_avoided
        return endpoints

    def record_sent(self, name: str, tokens: int) -> None:
        """Records that a request is sent to an endpoint."""
        load = self.get_load(name)
        load.running += 1
        load.unread_tokens += tokens

    def record_prompt_read(self, name: str, tokens: int) -> None:
        """Records that a prompt has been read or will not be read any more."""
        self.get_load(name).unread_tokens -= tokens

    def record_end(self, name: str, failed: bool, now: float) -> None:
        """Records the end of a request at an endpoint.

        Failures while the endpoint is avoided do not count, as most of them are
        of requests that were sent before.
        """
        load = self.get_load(name)
        load.running -= 1
        if not failed:
            load.failures = 0
            return
        if now < load.avoided_until:
            return
        load.failures += 1
        excess = load.failures - FAILURES_LIMIT
        if excess >= 0:
            seconds = min(AVOID_SECONDS * 2**excess, AVOID_SECONDS_LIMIT)
            load.avoided_until = now + seconds

    def record_unreachable(self, name: str, now: float) -> None:
        """Records a failed connection, after which an endpoint is avoided."""
        load = self.get_load(name)
        load.avoided_until = max(load.avoided_until, now + UNREACHABLE_SECONDS)

    def remove_endpoint(self, name: str) -> None:
        """Removes the load of an endpoint that no longer exists."""
        load = self._loads.get(name)
        if load is not None and load.running <= 0:
            del self._loads[name]

    def estimate_delay(self, name: str) -> float:
        """Returns the delay that the load adds to a new request, in seconds."""
        load = self.get_load(name)
        running = load.running + self._get_other_load(name)[0]
        reading = self.prompt_speed.estimate_reading(self.count_unread(name))
        return reading + running * REQUEST_DELAY_SECONDS

    def count_unread(self, name: str) -> int:
        """Returns the number of unread prompt tokens from all entries."""
        return self.get_load(name).unread_tokens + self._get_other_load(name)[1]

    def count_running(self, name: str) -> int:
        """Returns the number of requests in flight from all entries."""
        return self.get_load(name).running + self._get_other_load(name)[0]

    def describe_loads(self) -> list[list]:
        """Returns the loads that this entry has placed, for its report."""
        return [
            [name, load.running, load.unread_tokens]
            for name, load in self._loads.items()
            if load.running
        ]


@policies.register("least_running")
def choose_least_running(
    selector: EndpointSelector,
    endpoints: list[catalogue.Endpoint],
    request: PlacementRequest,
) -> str:
    """Chooses the endpoint with the fewest requests; the baseline policy."""

    def rank(endpoint: catalogue.Endpoint) -> tuple[int, float]:
        return selector.count_running(endpoint.name), selector.rng.random()

    return min(endpoints, key=rank).name


@policies.register("affinity")
def choose_by_affinity(
    selector: EndpointSelector,
    endpoints: list[catalogue.Endpoint],
    request: PlacementRequest,
) -> str:
    """Chooses the endpoint that has the shared part of the prompt in memory.

    If the load of that endpoint is too high, the next one in the hash order
    is considered.
    """
    if not request.prompt:
        return choose_least_running(selector, endpoints, request)
    costs = {
        endpoint.name: selector.estimate_delay(endpoint.name)
        + _compute_fetch_seconds(endpoint, request.result_bytes)
        for endpoint in endpoints
    }
    shared = request.prompt[:-1] or request.prompt
    cost_limit = min(costs.values()) + AFFINITY_SECONDS
    cost_limit += selector.prompt_speed.estimate_reading(
        sum(part.tokens for part in shared)
    )
    for name in hash_order.order_by_hash(shared[-1].name, list(costs)):
        if costs[name] <= cost_limit:
            return name
    return min(costs, key=costs.__getitem__)


def _compute_fetch_seconds(
    endpoint: catalogue.Endpoint, result_bytes: tuple[tuple[str, int], ...]
) -> float:
    remote_bytes = sum(
        size
        for data_centre, size in result_bytes
        if data_centre != endpoint.data_centre
    )
    return remote_bytes / 1e6 * REMOTE_SECONDS_PER_MB
