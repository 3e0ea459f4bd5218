"""An upper bound of the requests that the endpoints could have served.

Each pool is taken alone, as one fluid server that works at the full speed
of its endpoints (best concurrency, every prefix cached, failing ones left
out, slowed ones at their speed) on requests of the run's mean work. A
request may use it from when its earlier stages, run alone, can have ended
until its later stages, run alone, can no longer end before its deadline.
Serving in order of these latest times is then the best that any policy can
do; all requests that do not use the pool count as whole. The
smallest of the pools' bounds is taken. A policy that knew the lengths of
answers beforehand could pass it by serving the short ones; none does.
"""

import heapq

from lab import sites, workload

# Step of the fluid model, in seconds.
STEP_SECONDS = 0.02


def bound_attainment(
    site: sites.Site,
    scenario: workload.Scenario,
    requests: list[workload.Request],
) -> float:
    """Returns the largest share of requests that can be whole in time."""
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
    """Returns how many of a pool's users a fluid server can serve."""
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
        room = STEP_SECONDS * _read_capacity(site, scenario, pool, now) / mean
        while queue and queue[0][0] < now:
            heapq.heappop(queue)
        while queue and room > 0:
            part = min(room, queue[0][2])
            queue[0][2] -= part
            room -= part
            served += part
            if queue[0][2] <= 0:
                heapq.heappop(queue)
    return served


def _read_lead(request: workload.Request, pool: str) -> float:
    """Returns the work of the stages before a pool."""
    pools = sites.KINDS[request.kind]
    before = pools[: pools.index(pool)]
    return sum(_read_work(request, earlier) for earlier in before)


def _read_latest(request: workload.Request, pool: str) -> float:
    """Returns when the stages after a pool must begin."""
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
    """Returns the pool's work a second; those replaced count throughout."""
    count = sites.count_endpoints(site, pool)
    speeds = dict.fromkeys(range(count), 1.0)
    for fault in scenario.faults:
        if fault.pool == pool and not fault.leaves and fault.at <= now:
            speeds[fault.number] = fault.speed
    return sum(speeds.values()) * sites.read_capacity(pool)
