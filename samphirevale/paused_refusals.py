"""Refuses requests while all endpoints of a service pause."""

from collections.abc import Iterator

from samphirevale import (
    catalogue,
    endpoint_choice,
    proxy_context,
    proxy_requests,
    return_times,
    stage_times,
)


def compute_spread(
    context: proxy_context.ProxyContext,
    accepted: proxy_requests.AcceptedRequest,
    endpoints: endpoint_choice.EndpointChoice,
) -> float:
    """Returns how long after a pause a refused caller should come back.

    Args:
        context: knows which endpoints pause.
        accepted: the request that is refused.
        endpoints: the endpoints that may get it after its stages.

    Returns:
        The time in seconds after the end of the pause that ends last among the
        first ones of each service; 0 if no service pauses.
    """
    paused_services = dict(_list_paused(context, accepted, endpoints))
    if not paused_services:
        return 0.0
    ends = {
        service: min(endpoint.ends_at for endpoint in paused)
        for service, paused in paused_services.items()
    }
    service = max(ends, key=ends.__getitem__)
    return_at = context.returns.plan_return(
        service,
        paused_services[service],
        len(context.cluster_state.members),
        accepted.deadline_at,
        context.clock.now(),
        context.rng,
    )
    return return_at - ends[service]


def _list_paused(
    context: proxy_context.ProxyContext,
    accepted: proxy_requests.AcceptedRequest,
    endpoints: endpoint_choice.EndpointChoice,
) -> Iterator[tuple[str, list[return_times.PausedEndpoint]]]:
    """Yields each service of a request whose endpoints all pause."""
    cluster = context.cluster_state
    now = context.clock.now()
    needed = [(endpoints.service, endpoints.wanted, 1)]
    stages_wanted = endpoints.wanted.without_version()
    for index, stage in enumerate(accepted.route.stages):
        counts = accepted.request.item_counts
        items = stage_times.get_item_count(counts, index)
        if items:
            needed.append((stage.service, stages_wanted, items))
    for service, wanted, items in needed:
        pauses = cluster.list_pauses(service, now, wanted)
        if pauses:
            yield (
                service,
                [
                    return_times.PausedEndpoint(
                        now + seconds, _compute_rate(context, endpoint, items)
                    )
                    for endpoint, seconds in pauses
                ],
            )


def _compute_rate(
    context: proxy_context.ProxyContext,
    endpoint: catalogue.Endpoint,
    items: int,
) -> float:
    """Returns how many requests an endpoint can take per second.

    Args:
        context: knows the service of the endpoint.
        endpoint: the endpoint.
        items: the number of items of a request, if the service is batched.
    """
    limits = context.cluster_state.find_batch_limits(endpoint.service)
    if limits is None:
        seconds = context.returns.get_duration(endpoint.service)
        return max(endpoint.slots, 1) / seconds
    seconds = stage_times.estimate_call_seconds(limits, limits.items)
    return limits.concurrency * limits.items / seconds / items
