"""Computes how long the stages of a route take without queueing."""

from collections.abc import Sequence

from samphirevale import catalogue, routes

# Cost of transfers between data centres when an endpoint is chosen, in seconds
# per megabyte.
REMOTE_SECONDS_PER_MB = 0.06


def get_item_count(counts: Sequence[int], index: int) -> int:
    """Returns the number of items of a stage."""
    return counts[index] if index < len(counts) else 0


def estimate_call_seconds(limits: routes.BatchLimits, items: int) -> float:
    """Returns the expected duration of a call with this number of items."""
    return limits.call_seconds + items * limits.item_seconds


def compute_item_cost(limits: routes.BatchLimits) -> float:
    """Returns an endpoint's time for one item of a full call, in seconds."""
    return limits.call_seconds / limits.items + limits.item_seconds


def compute_bare_seconds(
    table: routes.RouteTable, route: routes.Route, counts: Sequence[int]
) -> float:
    """Returns the duration of all stages at idle endpoints, in seconds."""
    ends: list[float] = []
    for index, stage in enumerate(route.stages):
        start = max((ends[i] for i in stage.after), default=0.0)
        limits = table.find_batch_limits(stage.service)
        count = get_item_count(counts, index)
        seconds = 0.0
        if limits is not None and count:
            seconds = estimate_call_seconds(limits, count)
        ends.append(start + seconds)
    return max(ends, default=0.0)


def compute_shared_queueing(table: routes.RouteTable) -> dict[str, float]:
    """Returns the shortest queueing time of the routes that use each service.

    It is the time that the target of a route leaves for queues and for the
    model, if each of its stages has one item.
    """
    shortest: dict[str, float] = {}
    for host_routes in table.routes.values():
        for route in host_routes:
            counts = [1] * len(route.stages)
            seconds = route.target_seconds - compute_bare_seconds(
                table, route, counts
            )
            for stage in route.stages:
                before = shortest.get(stage.service, seconds)
                shortest[stage.service] = min(before, seconds)
    return shortest


def compute_transfer_cost(
    endpoint: catalogue.Endpoint, transfers: Sequence[tuple[str, int]]
) -> float:
    """Returns the cost of one item's transfers, in seconds."""
    remote_bytes = sum(
        moved_bytes
        for data_centre, moved_bytes in transfers
        if data_centre != endpoint.data_centre
    )
    return remote_bytes / 1e6 * REMOTE_SECONDS_PER_MB
