"""Decides which queued items move to an endpoint that has become free.

The load that this answers: items wait for a call or for memory at one endpoint
while another endpoint of the service has neither work nor results. An item is
bound to an endpoint when it comes, and the queues change with each call since.

Items only move to an endpoint that can start them at once, so none moves back
and forth.
"""

from collections.abc import Sequence
from typing import NamedTuple

from samphirevale import batching, catalogue, stage_times

# Items move if they are done earlier by this share of a call's fixed time.
MOVE_GAIN_CALLS = 0.25


class QueuedEndpoint(NamedTuple):
    """An endpoint and its queue."""

    endpoint: catalogue.Endpoint
    queue: batching.BatchQueue


def pull_items(
    free: QueuedEndpoint, others: Sequence[QueuedEndpoint], now: float
) -> None:
    """Moves items to the queue of a free endpoint, up to a full call.

    The items of one ticket move together, those first that would wait longest,
    if they gain more than their transfers cost.

    Args:
        free: the endpoint, which has no call in flight.
        others: the endpoints from which items may come.
        now: the present time.
    """
    by_wait = sorted(
        others, key=lambda other: _estimate_all(other.queue, now), reverse=True
    )
    for other in by_wait:
        while group := _find_gaining_group(free, other, now):
            ticket = group[0].ticket
            other.queue.withdraw(ticket)
            for item in group:
                free.queue.add(item)
            ticket.endpoint = free.endpoint


def _find_gaining_group(
    free: QueuedEndpoint, other: QueuedEndpoint, now: float
) -> list[batching.Item]:
    """Returns the items of one ticket that should move; none if none should."""
    queue = free.queue
    group = other.queue.find_last_group(
        queue.limits.items - len(queue),
        queue.compute_free_memory(now) - queue.count_waiting_bytes(),
        now,
    )
    if not group:
        return []
    work = batching.NewItems(
        len(group), sum(item.result_bytes for item in group), True
    )
    seconds_here = batching.estimate_seconds(
        queue.build_state(now), queue.limits, work
    )
    transfers = group[0].transfers
    cost = stage_times.compute_transfer_cost(
        free.endpoint, transfers
    ) - stage_times.compute_transfer_cost(other.endpoint, transfers)
    gained = _estimate_all(other.queue, now) - seconds_here - len(group) * cost
    worth_it = gained > queue.limits.call_seconds * MOVE_GAIN_CALLS
    return group if worth_it else []


def _estimate_all(queue: batching.BatchQueue, now: float) -> float:
    """Returns when all queued items are done, in seconds from now.

    It is 0 if none is queued.
    """
    if not len(queue):
        return 0.0
    work = batching.NewItems(0, 0, True)
    return batching.estimate_seconds(queue.build_state(now), queue.limits, work)
