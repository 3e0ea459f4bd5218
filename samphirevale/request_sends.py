"""Sends one request to endpoints and counts the sends that may have run."""

from samphirevale import (
    catalogue,
    errors,
    exchanges,
    proxy_requests,
    request_context,
)

# The largest number of failed connections for one request. They do not count
# against the retry budget, as a failed connection hands nothing over.
CONNECT_FAILURES_LIMIT = 3

# How long an endpoint may take to name its start before a stream goes on there,
# in seconds.
GOING_ON_ASK_SECONDS = 0.5

# How long all endpoints together may take for that before a request begins, in
# seconds. Then it is sent all the same.
BEGIN_ASK_SECONDS = 0.25


class RequestSends:
    """The sends of one request.

    Attributes:
        runs: the number of sends that an endpoint may have executed.
    """

    def __init__(self, shared: request_context.RequestContext):
        self.runs = 0
        # When the last question for a start began, None if none was put, and
        # what all of them have taken, in seconds.
        self._asked_at: float | None = None
        self._asking_seconds = 0.0
        # The exchange that was opened last; None if it has failed.
        self._newest: exchanges.Exchange | None = None
        self._shared = shared
        self._context = shared.proxy
        self._accepted = shared.accepted
        self._request = shared.request
        self._endpoints = shared.endpoints

    def start(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a further exchange begins before the first event."""
        self._endpoints.record_send(endpoint)
        self._newest = None

    def build_exchange(
        self, endpoint: catalogue.Endpoint
    ) -> exchanges.Exchange:
        """Returns a new exchange with an endpoint."""
        return exchanges.Exchange(
            self._context, endpoint, self._shared.prompt_tokens
        )

    async def open(
        self,
        exchange: exchanges.Exchange,
        endpoint: catalogue.Endpoint,
        results: tuple[str, ...],
        last_event: int | None,
    ) -> None:
        """Sends the request and reads the head of the answer.

        Args:
            exchange: the exchange with the endpoint.
            endpoint: the endpoint to send to.
            results: the names of the results that the request needs.
            last_event: the last event that the caller has, if the stream is
                resumed; None otherwise.

        Raises:
            errors.InputRefusedError: endpoints crash under the request.
            errors.TransportError: the endpoint does not answer.
            TimeoutError: the request's deadline has passed.
        """
        now = self._context.clock.now()
        remaining = self._accepted.deadline_at - now
        if remaining <= 0:
            raise TimeoutError("the request's deadline has passed")
        if not self._context.cluster_state.is_usable(endpoint, now):
            raise errors.NotAcceptingError(
                f"{endpoint.name} accepts no new work"
            )
        if not self._context.cluster_state.permits(
            endpoint, self._endpoints.widen(), now
        ):
            raise errors.NotAcceptingError(
                f"{endpoint.name} may not serve the request"
            )
        self._check_listed(endpoint)
        if self._context.crashes.refuses(self._request):
            raise errors.InputRefusedError("endpoints crash under its parts")
        parameters = proxy_requests.SendParameters(
            self._accepted.account,
            remaining,
            self._request.last_event if last_event is None else last_event,
            results,
            self._compute_ask_timeout(endpoint, now, remaining),
            self._endpoints.wanted.version is not None,
        )
        self._asked_at = now if parameters.ask_seconds is not None else None
        # It counts while the endpoint is connected to, as another exchange may
        # begin meanwhile. One that is cancelled after that may have run.
        self.runs += 1
        self._newest = exchange
        try:
            await exchange.open(self._request, parameters, self._check_start)
        except BaseException as error:
            if self._newest is exchange:
                self._newest = None
            not_executed = isinstance(error, errors.NotExecutedError)
            if not_executed or not exchange.may_have_sent():
                self.runs -= 1
            raise
        self._shared.log_step(
            "request_sent",
            endpoint=endpoint.name,
            service=endpoint.service,
            version=endpoint.version,
            started=endpoint.started,
            asked=parameters.ask_seconds is not None,
            named=exchange.started,
            status=exchange.answer.status,
            last_event=last_event,
        )

    def _compute_ask_timeout(
        self, endpoint: catalogue.Endpoint, now: float, remaining: float
    ) -> float | None:
        """Returns how long an endpoint may take to name its start.

        Args:
            endpoint: the endpoint.
            now: the present time.
            remaining: the time until the request's deadline, in seconds.

        Returns:
            The time in seconds; None if the start does not matter, or if a
            request begins that would only be held up.
        """
        wanted = self._endpoints.wanted
        if wanted.version is not None:
            return min(GOING_ON_ASK_SECONDS, remaining)
        unnamed = self._context.cluster_state.unnamed_starts
        if not wanted.needs_start() or unnamed.is_marked(endpoint, now):
            return None
        left = BEGIN_ASK_SECONDS - self._asking_seconds
        return min(left, remaining) if left > 0 else None

    def _check_listed(self, endpoint: catalogue.Endpoint) -> None:
        """Checks that no other endpoint is better for a request that begins.

        Raises:
            errors.NotAcceptingError: the endpoint has started again since it
                was listed, and another one has not.
        """
        now = self._context.clock.now()
        ended = self._context.cluster_state.ended_starts
        if (
            self._endpoints.wanted.needs_start()
            and ended.is_marked(endpoint, now)
            and self._endpoints.has_listed()
        ):
            self._endpoints.record_silent(endpoint)
            raise errors.NotAcceptingError(f"{endpoint.name} has started again")

    def _check_start(
        self, endpoint: catalogue.Endpoint, started: int | None
    ) -> None:
        """Checks that a request may begin at the start of an endpoint.

        Args:
            endpoint: the endpoint.
            started: the start that it has named; None if it has named none.

        Raises:
            errors.NotAcceptingError: another endpoint is better, or the stream
                could not be marked as one of no known version.
        """
        wanted = self._endpoints.wanted
        was_asked = self._asked_at is not None
        if was_asked:
            self._asking_seconds += self._context.clock.now() - self._asked_at
        if started == endpoint.started or not wanted.needs_start():
            return
        self._check_listed(endpoint)
        if started is None and was_asked and self._endpoints.has_naming():
            self._endpoints.record_silent(endpoint)
            raise errors.NotAcceptingError(f"{endpoint.name} names no start")
        if wanted.recorded and not self._context.recorder.expect_unknown(
            endpoint.service
        ):
            raise errors.NotAcceptingError("the store takes no records")

    def compute_overlap(self, exchange: exchanges.Exchange | None) -> float:
        """Returns how long a further endpoint has had the request.

        Args:
            exchange: the exchange with the present endpoint; None before the
                first event.

        Returns:
            The time in seconds; 0 if there is none, or if it has refused the
            request.
        """
        if self._newest is None or self._newest is exchange:
            return 0.0
        return self._newest.compute_age()

    def record_failure(
        self, endpoint: catalogue.Endpoint, error: Exception
    ) -> None:
        """Records a send that failed.

        An endpoint that may only be silent can be connected to again.
        """
        self._context.journal.record_failure(
            "send_failed",
            request=self._request.attempt,
            endpoint=endpoint.name,
            handed_over=bool(self.runs),
            error=f"{type(error).__name__}: {error}",
        )
        if isinstance(error, errors.ConnectTimeoutError):
            self._endpoints.record_silent(endpoint)
