"""Types of proxied requests and answers, which pass through unchanged."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from samphirevale import catalogue, routes
from samphirevale.adapters import web

# The retry delay sent with a refusal whose cause should pass soon, in seconds.
RETRY_AFTER_SECONDS = 0.5


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share.

    Attributes:
        name: the identifier of the part; equal parts have equal names.
        tokens: the length in tokens.
    """

    name: str
    tokens: int


class ProxiedRequest(NamedTuple):
    """A caller's request with its decoded properties.

    Attributes:
        attempt: the id of this attempt of the caller.
        method: the HTTP method, such as `POST`.
        target: the path and query as received.
        path: the path alone as received.
        host: the `Host` header as received.
        headers: the headers to pass on.
        body: the whole body.
        key: the key that identifies the account; empty if absent.
        received_at: the time at which the whole request had been read.
        wait_seconds: how long the caller waits from that time on.
        prompt: the parts of the prompt in order; only the last one belongs to
            this request alone.
        item_counts: the number of items of each stage; 0 skips a stage.
        item_key: the key of the input data of the first stages' items.
        last_event: the number of the last event that the caller has received;
            None if there is none.
        first_attempt: the id of the attempt that brought the first event of the
            stream that the caller takes up; empty if absent.
    """

    attempt: str
    method: str
    target: str
    path: str
    host: str
    headers: web.RawHeaders
    body: bytes
    key: str
    received_at: float
    wait_seconds: float
    prompt: tuple[PromptPart, ...]
    item_counts: tuple[int, ...]
    item_key: str
    last_event: int | None
    first_attempt: str


class AcceptedRequest(NamedTuple):
    """An accepted request with the parameters of its run.

    Attributes:
        request: the request as received.
        route: the route that matches the request.
        service: the service to which the request is sent.
        account: the name of the account; empty for an anonymous route.
        rank: the priority; 0 is the most urgent.
        deadline_at: the time by which the request must be answered.
        fingerprint: identifies the input across retries.
        returned: whether the caller retries after a refusal. A stream that
            its caller takes up has not been refused.
        data_centres: the data centres of the regions that may serve it; None
            for any.
    """

    request: ProxiedRequest
    route: routes.Route
    service: str
    account: str
    rank: int
    deadline_at: float
    fingerprint: str
    returned: bool
    data_centres: frozenset[str] | None = None


class SendParameters(NamedTuple):
    """The parameters that the system sets when it sends a request.

    Attributes:
        account: the name of the account; empty for an anonymous route.
        wait_seconds: the timeout for the answer.
        last_event: the number of the event after which a stream continues;
            None to start with the first event.
        results: the names of the results of the last stages; empty if the
            route has no stages.
        ask_seconds: the timeout of the question beforehand which start of the
            endpoint is there; None to ask nothing.
        start_required: whether only the start that is known gets the request.
    """

    account: str
    wait_seconds: float
    last_event: int | None
    results: tuple[str, ...]
    ask_seconds: float | None = None
    start_required: bool = False


class CompleteAnswer(NamedTuple):
    """An endpoint's answer with a complete body."""

    status: int
    headers: web.RawHeaders
    body: bytes


class StreamBeginning(NamedTuple):
    """What is known of the start of an endpoint that began a stream.

    Attributes:
        endpoint: the endpoint as it was listed.
        started: the start that it has named on the connection of the stream;
            None if it has named none.
        sent_at: when the request was sent.
    """

    endpoint: catalogue.Endpoint
    started: int | None
    sent_at: float


class StreamedAnswer(NamedTuple):
    """An endpoint's event stream, after its first event."""

    status: int
    headers: web.RawHeaders
    chunks: AsyncIterator[bytes]
    beginning: StreamBeginning


class Refusal(NamedTuple):
    """An answer of the entry itself, sent if no endpoint has answered.

    Attributes:
        status: the HTTP status; 503 is used only if the request has not run
            and never will.
        reason: the reason as words joined by `_`.
        retry_seconds: the delay before a retry; None if a retry is pointless.
    """

    status: int
    reason: str
    retry_seconds: float | None = None


Answer = CompleteAnswer | StreamedAnswer | Refusal
