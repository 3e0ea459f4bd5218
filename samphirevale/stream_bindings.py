"""Binds streams to the service and the version that began them."""

from samphirevale import (
    endpoint_choice,
    paused_refusals,
    proxy_context,
    proxy_requests,
    stream_origins,
)

# How long the store may take for a record before another entry's memory is
# enough, and how often the record is looked at, in seconds.
STORE_SECONDS = 0.5
MARK_CHECK_SECONDS = 0.01


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
    if origin is None or not origin.is_known():
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
    beginning: proxy_requests.StreamBeginning,
) -> None:
    """Records where a stream began, before its caller has an event.

    A stream that its caller has taken up is known by its first attempt. One of
    no known version is marked as such, so that nobody infers a version for it.
    """
    if not accepted.route.resumable:
        return
    request = accepted.request
    first_attempt = request.attempt
    if request.last_event and request.first_attempt:
        first_attempt = request.first_attempt
    service = beginning.endpoint.service
    version = context.beginnings.find_version(beginning)
    origin = stream_origins.StreamOrigin(service, version)
    until = request.received_at + request.wait_seconds
    await context.recorder.record_stream(first_attempt, origin, until)
    await context.origins.record(first_attempt, origin, until)
    if origin.is_known():
        return
    context.beginnings.add(first_attempt, beginning, until)
    await _wait_for_mark(context, first_attempt, service)


async def _wait_for_mark(
    context: proxy_context.ProxyContext, first_attempt: str, service: str
) -> None:
    """Waits until all entries could know that a stream has no known version.

    The mark in the store is for all streams of a service, and mostly there.
    While the store takes no writes, the word of another entry is enough.
    """
    recorder, clock = context.recorder, context.clock
    store_until = clock.now() + STORE_SECONDS
    while not recorder.expects_unknown(service):
        store_is_late = recorder.is_failing() or clock.now() >= store_until
        if store_is_late and await context.origins.find_elsewhere(
            first_attempt
        ):
            return
        await clock.sleep(MARK_CHECK_SECONDS)
