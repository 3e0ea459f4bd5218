"""Chooses endpoints for the items of stages and estimates their times."""

import math
import random
from collections.abc import Collection, Sequence

from samphirevale import (
    batching,
    catalogue,
    cluster_state,
    item_runners,
    routes,
    stage_admission,
    stage_times,
)
from samphirevale.availability import eligibility

# Entries that decide on the same reports would all choose the same endpoint.
# To prevent this, each entry above FEW_ENTRIES adds JITTER_SHARE of a call's
# fixed time to the range of the random jitter on the endpoints' costs, up to
# JITTER_CALLS calls.
FEW_ENTRIES = 4
JITTER_SHARE = 0.1
JITTER_CALLS = 1.0

# The cost of an endpoint in another data centre than that of the entry, in
# seconds. Entries of different data centres then prefer different endpoints.
REMOTE_SECONDS = 0.05


def choose_endpoint(
    runner: item_runners.ItemRunner,
    known: cluster_state.ClusterState,
    stage: routes.Stage,
    items: int,
    transfers: Sequence[tuple[str, int]],
    late: bool,
    now: float,
    rng: random.Random | None = None,
    excluded: Collection[str] = (),
    wanted: eligibility.Eligibility = eligibility.ANY,
) -> tuple[catalogue.Endpoint, float] | None:
    """Chooses the endpoint with the lowest cost.

    The cost is the estimated completion time plus the cost of transfers
    between data centres.

    Args:
        runner: estimates completion times at the endpoints.
        known: provides the endpoints and their limits.
        stage: the stage to run.
        items: the number of items to run.
        transfers: pairs of a data centre and the number of bytes that each
            item fetches from there or sends there.
        late: whether the items are queued behind those that can still meet
            their target.
        now: the present time.
        rng: adds jitter, so that several entries do not all choose the same
            endpoint; None for no jitter.
        excluded: names of endpoints that are not chosen.
        wanted: the conditions of the request for the endpoints of its stages.

    Returns:
        The endpoint and its estimated completion time in seconds from now;
        None if no endpoint accepts work.
    """
    limits = known.find_batch_limits(stage.service)
    if limits is None:
        return None
    work = batching.NewItems(items, items * stage.result_bytes, late)
    jitter_range = 0.0
    if rng is not None:
        jitter_range = compute_jitter_range(limits, len(known.members))
    best = None
    best_cost = 0.0
    for endpoint in known.list_usable(stage.service, now, wanted):
        if endpoint.name in excluded:
            continue
        seconds = runner.estimate_seconds(endpoint, limits, work, now)
        cost = seconds + items * stage_times.compute_transfer_cost(
            endpoint, transfers
        )
        if endpoint.data_centre != known.data_centre:
            cost += REMOTE_SECONDS
        if jitter_range:
            cost += rng.uniform(0, jitter_range)
        if best is None or cost < best_cost:
            best, best_cost = (endpoint, seconds), cost
    return best


def compute_jitter_range(limits: routes.BatchLimits, entries: int) -> float:
    """Returns the range of the jitter on endpoint costs, in seconds."""
    excess = max(entries - FEW_ENTRIES, 0)
    return min(excess * JITTER_SHARE, JITTER_CALLS) * limits.call_seconds


def has_endpoints(
    known: cluster_state.ClusterState,
    route: routes.Route,
    counts: Sequence[int],
    now: float,
    wanted: eligibility.Eligibility = eligibility.ANY,
) -> bool:
    """Returns whether each stage with items has an endpoint."""
    return all(
        known.find_batch_limits(stage.service) is not None
        and known.list_usable(stage.service, now, wanted)
        for index, stage in enumerate(route.stages)
        if stage_times.get_item_count(counts, index)
    )


def estimate_stages(
    runner: item_runners.ItemRunner,
    known: cluster_state.ClusterState,
    route: routes.Route,
    counts: Sequence[int],
    late: bool,
    now: float,
    wanted: eligibility.Eligibility = eligibility.ANY,
) -> stage_admission.StagesEstimate:
    """Returns the estimated completion time of all stages and their queues.

    The time is relative to now, and infinite if a stage has no endpoint. A late
    request is queued behind others only in its first stages. Later stages are
    not delayed, as the results that they take occupy memory.
    """
    ends: list[float] = []
    waits: list[stage_admission.StageWait] = []
    for index, stage in enumerate(route.stages):
        start = max((ends[i] for i in stage.after), default=0.0)
        count = stage_times.get_item_count(counts, index)
        if not count:
            ends.append(start)
            continue
        chosen = choose_endpoint(
            runner,
            known,
            stage,
            count,
            (),
            late and not stage.after,
            now,
            wanted=wanted,
        )
        if chosen is None:
            return stage_admission.StagesEstimate(math.inf, ())
        ends.append(start + chosen[1])
        limits = known.find_batch_limits(stage.service)
        call_seconds = stage_times.estimate_call_seconds(limits, count)
        waits.append(
            stage_admission.StageWait(
                stage.service, chosen[1] - call_seconds, bool(stage.after)
            )
        )
    return stage_admission.StagesEstimate(max(ends, default=0.0), tuple(waits))
