"""Resumes the broken or silent stream of one request at other endpoints."""

from samphirevale import (
    catalogue,
    errors,
    exchanges,
    request_context,
    request_sends,
    request_stages,
    resends,
    silence_limits,
    stream_waits,
)

# A stream that breaks as the process is about to end goes on only if there is
# this multiple of the time to its next event, and a time for the others, in
# seconds. Its caller can take it up at another entry.
END_FACTOR = 2.0
END_SECONDS = 1.0


class StreamResumption:
    """Implements event_streams.StreamRun."""

    def __init__(
        self,
        shared: request_context.RequestContext,
        sends: request_sends.RequestSends,
        request_resends: resends.Resends,
        stages: request_stages.RequestStages,
    ):
        # When the caller got the last events.
        self._last_event_at = shared.request.received_at
        self._sends = sends
        self._resends = request_resends
        self._stages = stages
        self._shared = shared
        self._context = shared.proxy
        self._accepted = shared.accepted
        self._request = shared.request
        self._route = shared.route
        self._endpoints = shared.endpoints

    async def resume(self, last_event: int | None) -> exchanges.Exchange:
        """Resumes a stream at another endpoint.

        The stages run again, as their results were released after the first
        event. A failed connection takes no retry, as it hands nothing over.
        While all endpoints pause, the stream waits if its caller does.

        Raises:
            errors.AnswerLostError: the stream may not be resumed, or no
                endpoint accepts it.
        """
        results: tuple[str, ...] | None = None
        connection_failures = 0
        retry_taken = False
        while True:
            obstacle = self._find_obstacle(results is None, retry_taken)
            if obstacle:
                raise errors.AnswerLostError(obstacle)
            endpoint = await self.wait_for_endpoint(results is None)
            if not retry_taken and not self._resends.may_send_again():
                raise errors.AnswerLostError(self._resends.find_obstacle())
            if results is None:
                results = await self._run_stages_for_resume()
                endpoint = await self.wait_for_endpoint(needs_stages=False)
            self._endpoints.record_send(endpoint)
            try:
                return await self._open_resumed(endpoint, results, last_event)
            except errors.ConnectError as error:
                self._sends.record_failure(endpoint, error)
                retry_taken = True
                connection_failures += errors.is_unreachable(error)
                if connection_failures >= request_sends.CONNECT_FAILURES_LIMIT:
                    raise errors.AnswerLostError("unreachable") from error
            except errors.TransportError as error:
                self._sends.record_failure(endpoint, error)
                retry_taken = False
                if getattr(error, "lacks_results", False):
                    results = None

    def _find_obstacle(self, needs_stages: bool, retry_taken: bool) -> str:
        """Returns why the stream may not go on; empty if it may.

        An answer of another route may be a stream too. It may be made once
        more, but not be joined of two.
        """
        if not self._route.resumable:
            return "not_resumable"
        if not self._shared.has_known_version():
            return "unknown_version"
        stream = self._build_broken_stream(needs_stages)
        needed = END_FACTOR * stream.resumption_seconds + END_SECONDS
        if self._context.clock.now() + needed > self._context.process_end.at:
            return "process_ends"
        return "" if retry_taken else self._resends.find_obstacle()

    async def wait_for_endpoint(self, needs_stages: bool) -> catalogue.Endpoint:
        """Returns an endpoint that goes on, after a pause of all if need be.

        Args:
            needs_stages: whether the stages have to run before.

        Raises:
            errors.AnswerLostError: there is none, or the caller would leave.
        """
        while seconds := self._compute_resumption_wait(needs_stages):
            stream = self._build_broken_stream(needs_stages)
            now = self._context.clock.now()
            if not stream_waits.may_wait(stream, seconds, now):
                raise errors.AnswerLostError("endpoints_paused")
            self._shared.log_step(
                "stream_waits", wait_seconds=round(seconds, 3)
            )
            await self._context.clock.sleep(seconds)
        endpoint = self._endpoints.choose()
        if endpoint is None:
            raise errors.AnswerLostError(self._endpoints.explain_none())
        return endpoint

    def _compute_resumption_wait(self, needs_stages: bool) -> float:
        """Returns when all pauses end in the way, in seconds from now."""
        seconds = self._endpoints.compute_wait()
        if needs_stages:
            seconds = max(seconds, self._stages.compute_pause())
        return seconds

    def _build_broken_stream(
        self, needs_stages: bool
    ) -> stream_waits.BrokenStream:
        prompt_speed = self._context.selector.prompt_speed
        seconds = prompt_speed.estimate_first_event(self._shared.prompt_tokens)
        if needs_stages:
            seconds += self._stages.compute_bare_seconds()
        return stream_waits.BrokenStream(
            self._route,
            self._last_event_at,
            self._accepted.deadline_at,
            seconds,
        )

    async def _run_stages_for_resume(self) -> tuple[str, ...]:
        await self._stages.release_results()
        try:
            return await self._stages.run_again()
        except errors.EarlierStageError as error:
            raise errors.AnswerLostError(str(error)) from error

    async def _open_resumed(
        self,
        endpoint: catalogue.Endpoint,
        results: tuple[str, ...],
        last_event: int | None,
    ) -> exchanges.Exchange:
        """Resumes a stream at one endpoint.

        Raises:
            errors.TransportError: the endpoint does not go on.
        """
        exchange = self._sends.build_exchange(endpoint)
        try:
            await self._sends.open(exchange, endpoint, results, last_event)
            if not exchange.answer.streamed:
                raise errors.ProtocolError(
                    f"status {exchange.answer.status}, not a stream"
                )
        except BaseException as error:
            exchange.record_broken(error)
            await exchange.close(failed=errors.is_endpoint_failure(error))
            raise
        return exchange

    def record_events(self) -> None:
        """Records that the caller gets events."""
        self._last_event_at = self._context.clock.now()

    def record_left(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a silent endpoint was left.

        It gets the request again if no other endpoint accepts it.
        """
        self._endpoints.record_silent(endpoint)

    def log_silence(self, last: int | None, outcome: str) -> None:
        """Logs that the endpoint was silent, and what came of it."""
        now = self._context.clock.now()
        self._context.journal.record_failure(
            "stream_silent",
            request=self._request.attempt,
            outcome=outcome,
            last_event=last,
            seconds=round(now - self._request.received_at, 3),
        )

    def log_stream_end(self, outcome: str, last: int | None) -> None:
        """Logs the end of a stream."""
        now = self._context.clock.now()
        write_line = self._context.journal.record_request
        if outcome != "complete":
            write_line = self._context.journal.record_failure
        write_line(
            "stream_ended",
            request=self._request.attempt,
            outcome=outcome,
            last_event=last,
            seconds=round(now - self._request.received_at, 3),
        )

    def record_crash(self, endpoint: catalogue.Endpoint) -> None:
        """Records a broken answer, as the endpoint may have crashed."""
        self._resends.record_crash(endpoint)

    async def release_results(self) -> None:
        """Releases the results of the stages."""
        await self._stages.release_results()

    def compute_overlap(self, exchange: exchanges.Exchange) -> float:
        """Returns how long a further endpoint has had the request."""
        return self._sends.compute_overlap(exchange)

    def compute_event_timeout(self, begun: bool) -> float:
        """Returns the timeout for the next event of a stream, in seconds."""
        return silence_limits.compute_event_timeout(
            self._route,
            self._sends.runs,
            self.compute_remaining_seconds(),
            begun,
        )

    def compute_remaining_seconds(self) -> float:
        """Returns the time until the request's deadline, in seconds."""
        return self._shared.compute_remaining_seconds()
