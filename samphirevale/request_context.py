"""What the parts of the run of one accepted request share."""

from samphirevale import (
    endpoint_choice,
    proxy_context,
    proxy_requests,
    stream_origins,
)


class RequestContext:
    """One accepted request with its endpoints and its log.

    Attributes:
        proxy: the services of the entry.
        accepted: the accepted request.
        request: the request as the caller sent it.
        route: the route of the request.
        endpoints: the endpoints that may get the request.
        prompt_tokens: the number of tokens of the prompt.
        beginning: where its stream began; None before that.
    """

    def __init__(
        self,
        proxy: proxy_context.ProxyContext,
        accepted: proxy_requests.AcceptedRequest,
    ):
        self.proxy = proxy
        self.accepted = accepted
        self.request = accepted.request
        self.route = accepted.route
        self.endpoints = endpoint_choice.EndpointChoice(
            proxy,
            accepted.request,
            accepted.service,
            accepted.data_centres,
            recorded=self.route.streamed and self.route.resumable,
        )
        self.beginning: proxy_requests.StreamBeginning | None = None
        self.prompt_tokens = sum(part.tokens for part in self.request.prompt)

    def bind_beginning(self, beginning: proxy_requests.StreamBeginning) -> None:
        """Limits the endpoints to those that may go on with a stream."""
        self.beginning = beginning
        self.endpoints.bind_version(
            self.proxy.beginnings.find_version(beginning)
        )

    def has_known_version(self) -> bool:
        """Returns whether the version that began the stream is known now."""
        if self.endpoints.wanted.version == stream_origins.UNKNOWN_VERSION:
            self.bind_beginning(self.beginning)
        return self.endpoints.wanted.version != stream_origins.UNKNOWN_VERSION

    def compute_remaining_seconds(self) -> float:
        """Returns the time until the request's deadline, in seconds."""
        return self.accepted.deadline_at - self.proxy.clock.now()

    def log_step(self, event: str, **fields: object) -> None:
        """Logs a step of the request with the time since its arrival."""
        now = self.proxy.clock.now()
        self.proxy.journal.record_request(
            event,
            request=self.request.attempt,
            seconds=round(now - self.request.received_at, 3),
            **fields,
        )
