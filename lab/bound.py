"""Computes an upper bound of the requests that a deployment could serve.

The model treats each pool separately, as one fluid server that works at the
full speed of its endpoints: with the best concurrency, with every prefix
cached, without the failing endpoints, and with slow endpoints at their
speed. Every request has the mean work of the run's requests. The server may
work on a request once the request's earlier stages could have ended on idle
endpoints, and as long as its later stages could still end before the
deadline on idle endpoints. Under these assumptions, serving requests in
order of these latest times is optimal. Requests that do not use the pool
count as served. The result is the smallest bound of any pool.

A policy that knew the lengths of answers in advance could exceed the bound
by preferring short ones. No policy here has that knowledge.
"""

import heapq

from lab import sites, workload

# The time step of the fluid model, in seconds.
STEP_SECONDS = 0.02


def bound_attainment(
    site: sites.Site,
    scenario: workload.Scenario,
    requests: list[workload.Request],
) -> float:
    """Returns the maximum share of requests that can be served in time."""
    possible = [
        request
        for request in requests
        if not (scenario.store_down and request.kind == "confirm")
    ]
    pools = ("engines", *sites.STAGE_SECONDS)
    served = min(_bound_pool(site, scenario, possible, p) for p in pools)
    return served / len(requests)


def _bound_pool(
    site: sites.Site,
    scenario: workload.Scenario,
    requests: list[workload.Request],
    pool: str,
) -> float:
    users = [item for item in requests if pool in sites.KINDS[item.kind]]
    if not users:
        return float(len(requests))
    mean = sum(_read_work(item, pool) for item in users) / len(users)
    served = _serve(site, scenario, users, pool, mean)
    return len(requests) - len(users) + served


def _serve(
    site: sites.Site,
    scenario: workload.Scenario,
    users: list[workload.Request],
    pool: str,
    mean: float,
) -> float:
    """Returns how many of a pool's requests the fluid server can serve."""
    ready = sorted((item.at + _read_lead(item, pool), item) for item in users)
    queue: list[list[float]] = []
    served = 0.0
    now = 0.0
    position = 0
    while position < len(ready) or queue:
        while position < len(ready) and ready[position][0] <= now:
            latest = _read_latest(ready[position][1], pool)
            heapq.heappush(queue, [latest, position, 1.0])
            position += 1
        now += STEP_SECONDS
        capacity = (
            STEP_SECONDS * _read_capacity(site, scenario, pool, now) / mean
        )
        while queue and queue[0][0] < now:
            heapq.heappop(queue)
        while queue and capacity > 0:
            part = min(capacity, queue[0][2])
            queue[0][2] -= part
            capacity -= part
            served += part
            if queue[0][2] <= 0:
                heapq.heappop(queue)
    return served


def _read_lead(request: workload.Request, pool: str) -> float:
    """Returns the work of a request's stages before a pool, in seconds."""
    pools = sites.KINDS[request.kind]
    before = pools[: pools.index(pool)]
    return sum(_read_work(request, earlier) for earlier in before)


def _read_latest(request: workload.Request, pool: str) -> float:
    """Returns the latest time at which the stages after a pool can start."""
    pools = sites.KINDS[request.kind]
    after = pools[pools.index(pool) + 1 :]
    needed = sum(_read_work(request, later) for later in after)
    return request.at + sites.DEADLINE_SECONDS - needed


def _read_work(request: workload.Request, pool: str) -> float:
    if pool == "engines":
        tokens = request.tokens * sites.TOKEN_SECONDS
        return sites.CACHED_PROMPT_SECONDS + tokens
    return request.work[pool]


def _read_capacity(
    site: sites.Site, scenario: workload.Scenario, pool: str, now: float
) -> float:
    """Returns the work that a pool can do per second.

    Endpoints that are replaced during the run count for the whole run.
    """
    count = sites.count_endpoints(site, pool)
    speeds = dict.fromkeys(range(count), 1.0)
    for fault in scenario.faults:
        if fault.pool == pool and not fault.leaves and fault.at <= now:
            speeds[fault.number] = fault.speed
    return sum(speeds.values()) * sites.compute_capacity(pool)
