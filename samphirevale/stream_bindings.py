"""Binds streams to the service and the version that began them."""

from samphirevale import (
    catalogue,
    endpoint_choice,
    paused_refusals,
    proxy_context,
    proxy_requests,
    stream_origins,
)


async def bind_stream(
    context: proxy_context.ProxyContext,
    accepted: proxy_requests.AcceptedRequest,
    endpoints: endpoint_choice.EndpointChoice,
) -> proxy_requests.Refusal | None:
    """Binds a stream that its caller takes up to where it began.

    Args:
        context: knows where streams began.
        accepted: the request that takes the stream up.
        endpoints: the endpoints that may get the request, which are limited.

    Returns:
        A refusal if it is unknown where the stream began, or if it cannot go on
        there.
    """
    services = {split.service for split in accepted.route.splits}
    first_attempt = accepted.request.first_attempt
    origin = await context.origins.find(first_attempt)
    remembered = origin is not None
    if not remembered:
        origin = await context.recorder.find(
            first_attempt, accepted.route.name, services
        )
    if origin is None:
        return proxy_requests.Refusal(
            503, "unknown_version", proxy_requests.RETRY_AFTER_SECONDS
        )
    context.journal.record_request(
        "stream_bound",
        request=accepted.request.attempt,
        first_attempt=first_attempt,
        service=origin.service,
        version=origin.version,
        remembered=remembered,
    )
    if origin.service not in services:
        return proxy_requests.Refusal(503, "service_replaced")
    endpoints.service = origin.service
    endpoints.bind_version(origin.version)
    if endpoints.all_pause():
        seconds = endpoints.compute_pause()
        seconds += paused_refusals.compute_spread(context, accepted, endpoints)
        return proxy_requests.Refusal(503, "endpoints_paused", seconds)
    if not endpoints.list_available():
        return proxy_requests.Refusal(
            503, "no_endpoint_of_version", proxy_requests.RETRY_AFTER_SECONDS
        )
    return None


async def record_origin(
    context: proxy_context.ProxyContext,
    accepted: proxy_requests.AcceptedRequest,
    endpoint: catalogue.Endpoint,
) -> None:
    """Records where a stream began, before its caller has an event.

    A stream that its caller has taken up is known by its first attempt.
    """
    if not accepted.route.resumable:
        return
    request = accepted.request
    first_attempt = request.attempt
    if request.last_event and request.first_attempt:
        first_attempt = request.first_attempt
    origin = stream_origins.StreamOrigin(endpoint.service, endpoint.version)
    until = request.received_at + request.wait_seconds
    await context.recorder.record_stream(first_attempt, origin, until)
    await context.origins.record(first_attempt, origin, until)
