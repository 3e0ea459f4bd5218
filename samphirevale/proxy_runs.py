"""Runs one accepted request: stages, sends, retries and the answer."""

import contextlib
from collections.abc import AsyncIterator, Sequence

import curio

from samphirevale import (
    batch_dispatch,
    catalogue,
    endpoint_choice,
    errors,
    event_streams,
    exchange_races,
    exchanges,
    input_fingerprints,
    paused_refusals,
    proxy_context,
    proxy_requests,
    stage_admission,
    stage_placement,
    stage_times,
    stages,
    stream_bindings,
    stream_waits,
)

# The largest number of failed connections for one request. They do not count
# against the retry budget, as a failed connection hands nothing over.
CONNECT_FAILURES_LIMIT = 3

# The silence before a whole answer or the first event of a stream, as a factor
# of the route's target time, after which the request is sent to another
# endpoint if it may run again.
ANSWER_TIMEOUT_FACTOR = 2.0

# The silence after which a stream may go on at another endpoint, in seconds. An
# endpoint that works may be silent for about a second.
SILENCE_SECONDS = 2.0


class ProxyRun:
    """Runs one accepted request."""

    def __init__(
        self,
        context: proxy_context.ProxyContext,
        accepted: proxy_requests.AcceptedRequest,
    ):
        self._context = context
        self._accepted = accepted
        self._request = accepted.request
        self._route = accepted.route
        self._prompt_tokens = sum(part.tokens for part in self._request.prompt)
        self._endpoints = endpoint_choice.EndpointChoice(
            context, accepted.request, accepted.service
        )
        # The number of sends that an endpoint may have executed.
        self._runs = 0
        # The last failure that an endpoint has answered.
        self._failure: proxy_requests.CompleteAnswer | None = None
        # The answer that is returned, if it is a stream.
        self._stream: proxy_requests.StreamedAnswer | None = None
        # The exchange that was opened last; None if it has failed.
        self._newest: exchanges.Exchange | None = None
        self._connection_failures = 0
        # The endpoints that have been silent for too long.
        self._silent: frozenset[str] = frozenset()
        # The results of the stages, and whether they have to run again, do so
        # now or have done so.
        self._result_names: tuple[str, ...] = ()
        self._result_sizes: tuple[tuple[str, int], ...] = ()
        self._lacks_results = False
        self._repeating_stages = False
        self._stages_repeated = False
        # The runs of the stages; an endpoint may need results of any.
        self._stage_runs: list[stages.StageSequenceRun] = []
        # When the caller got the last events.
        self._last_event_at = accepted.request.received_at
        # Whether the items are queued behind those that are on time.
        self._late = accepted.returned

    async def run(self) -> proxy_requests.Answer:
        """Runs the stages, sends the request and returns the answer."""
        if self._route.streamed and self._request.last_event:
            refusal = await stream_bindings.bind_stream(
                self._context, self._accepted, self._endpoints
            )
            if refusal is not None:
                return refusal
        results: list[batch_dispatch.StageResult] = []
        if self._route.stages:
            refusal = self._refuse_overload()
            if refusal is not None:
                return refusal
            stage_run = self._add_stage_run()
            try:
                async with stages.release_on_error(stage_run):
                    results = await stage_run.run()
            except errors.EarlierStageError as error:
                return self._build_failure_refusal(str(error).replace(" ", "_"))
        if results:
            self._log_step(
                "stages_done",
                results=len(results),
                endpoints=sorted(
                    {stage_result.endpoint.name for stage_result in results}
                ),
                wanted_data_centre=stage_run.get_data_centre(),
            )
        self._context.budget.record_first_send(
            self._endpoints.service, self._context.clock.now()
        )
        async with self._closing_unread_stream():
            try:
                return await self._send_until_answered(results)
            finally:
                await self.release_results()

    @contextlib.asynccontextmanager
    async def _closing_unread_stream(self) -> AsyncIterator[None]:
        """Closes the stream of the answer if the block raises an exception."""
        try:
            yield
        except BaseException:
            if self._stream is not None:
                await self._stream.chunks.aclose()
            raise

    def build_timeout_refusal(self) -> proxy_requests.Refusal:
        """Returns the answer to a request whose deadline has passed."""
        if self._runs:
            return proxy_requests.Refusal(504, "no_answer_in_time")
        return proxy_requests.Refusal(
            503, "not_sent_in_time", proxy_requests.RETRY_AFTER_SECONDS
        )

    def _refuse_overload(self) -> proxy_requests.Refusal | None:
        """Returns a refusal if the stages would take too long.

        Otherwise sets whether the request is queued as a late one.
        """
        if not self._has_endpoints():
            return self._build_failure_refusal(
                "endpoints_paused" if self._compute_pause() else "no_endpoint"
            )
        decision = stage_admission.decide(
            stage_admission.AdmissionRequest(
                bare_seconds=self._compute_bare_seconds(),
                shared_queueing=self._context.cluster_state.shared_queueing,
                target_seconds=self._route.target_seconds,
                remaining_seconds=self.compute_remaining_seconds(),
                model_seconds=self._estimate_model_seconds(),
                rank=self._accepted.rank,
                returned=self._accepted.returned,
            ),
            self._estimate_stages,
        )
        fields = {
            name: round(value, 3) for name, value in decision._asdict().items()
        }
        if decision.admitted:
            self._late = decision.late
            self._log_step("stages_begun", **fields)
            return None
        self._context.journal.record_failure(
            "stages_overloaded",
            request=self._request.attempt,
            rank=self._accepted.rank,
            returned=self._accepted.returned,
            **fields,
        )
        return proxy_requests.Refusal(
            503, "stages_overloaded", decision.compute_retry_seconds()
        )

    def _has_endpoints(self) -> bool:
        """Returns whether each service has an endpoint when it is needed."""
        cluster = self._context.cluster_state
        now = self._context.clock.now()
        bare_seconds = self._compute_bare_seconds()
        return (
            stage_placement.has_endpoints(
                cluster, self._route, self._request.item_counts, now
            )
            and self._endpoints.compute_pause() <= bare_seconds
        )

    def _compute_bare_seconds(self) -> float:
        """Returns the duration of all stages at idle endpoints."""
        return stage_times.compute_bare_seconds(
            self._context.cluster_state.table,
            self._route,
            self._request.item_counts,
        )

    def _estimate_stages(self, late: bool) -> stage_admission.StagesEstimate:
        """Estimates the completion time of the stages and their queues."""
        return stage_placement.estimate_stages(
            self._context.item_runner,
            self._context.cluster_state,
            self._route,
            self._request.item_counts,
            late,
            self._context.clock.now(),
        )

    def _estimate_model_seconds(self) -> float:
        """Estimates the time from the stages' results to the first event."""
        endpoint = self._endpoints.choose()
        if endpoint is None:
            return 0.0
        selector = self._context.selector
        return selector.prompt_speed.estimate_first_event(
            self._prompt_tokens
        ) + selector.estimate_delay(endpoint.name)

    def _add_stage_run(self) -> stages.StageSequenceRun:
        """Returns a new run of the stages, which release_results() releases."""
        stage_run = self._build_stages()
        self._stage_runs.append(stage_run)
        return stage_run

    def _build_stages(self) -> stages.StageSequenceRun:
        model_seconds = self._estimate_model_seconds()
        due_at = self._request.received_at
        if not self._late:
            due_at += self._route.target_seconds - model_seconds
        constraints = stages.StageConstraints(
            due_at=due_at,
            deadline_at=self._accepted.deadline_at - model_seconds,
            rank=self._accepted.rank,
            data_centre=self._choose_data_centre(),
            late=self._late,
        )
        return stages.StageSequenceRun(
            self._context.item_runner,
            self._context.cluster_state,
            self._context.clock,
            self._request,
            self._route,
            constraints,
            self._take_retry,
            self._context.rng,
        )

    def _choose_data_centre(self) -> str:
        """Returns the data centre to which the request would be sent now."""
        endpoint = self._endpoints.choose()
        return endpoint.data_centre if endpoint is not None else ""

    def _has_retry(self, service: str) -> bool:
        cluster = self._context.cluster_state
        return self._context.budget.has_retry(
            service, len(cluster.members), self._context.clock.now()
        )

    def _take_retry(self, service: str) -> bool:
        cluster = self._context.cluster_state
        return self._context.budget.take(
            service, len(cluster.members), self._context.clock.now()
        )

    def _compute_pause(self) -> float:
        """Returns when all services are usable again, in seconds from now.

        It is 0 if no service has endpoints that all pause.
        """
        return max(
            self._endpoints.compute_pause(), self._compute_stages_pause()
        )

    def _compute_stages_pause(self) -> float:
        """Returns when the stages can run, in seconds from now."""
        now = self._context.clock.now()
        services = [
            stage.service
            for index, stage in enumerate(self._route.stages)
            if stage_times.get_item_count(self._request.item_counts, index)
        ]
        cluster = self._context.cluster_state
        return max(
            (cluster.compute_pause(service, now) for service in services),
            default=0.0,
        )

    def _list_result_sizes(
        self, results: Sequence[batch_dispatch.StageResult]
    ) -> tuple[tuple[str, int], ...]:
        return tuple(
            (stage_result.endpoint.data_centre, stage_result.size)
            for stage_result in results
        )

    async def _send_until_answered(
        self, results: Sequence[batch_dispatch.StageResult]
    ) -> proxy_requests.Answer:
        """Sends the request until an endpoint answers or none is left."""
        self._result_names = tuple(result.name for result in results)
        self._result_sizes = self._list_result_sizes(results)
        async with exchange_races.open_race() as race:
            # What the caller gets if no exchange in progress brings an answer.
            fallback = await self._start_exchange(race)
            while race.running:
                finished = await self._wait_for_exchange(race)
                if finished is None:
                    continue
                if self._is_final(finished.outcome):
                    return await self._accept_answer(finished)
                fallback = self._find_failure(finished)
                if fallback is None:
                    fallback = await self._start_exchange(race)
        if self._failure is None:
            return fallback
        self._log_step("request_answered", status=self._failure.status)
        return self._failure

    async def _wait_for_exchange(
        self, race: exchange_races.ExchangeRace
    ) -> exchange_races.FinishedExchange | None:
        """Returns the next exchange that ends, or None after a silence.

        Raises:
            TimeoutError: the request's deadline has passed.
        """
        if self._route.streamed and race.running > 1:
            return await self._wait_overlapping(race)
        finished = await race.wait(self._compute_answer_timeout())
        if finished is None:
            await self._handle_silence(race)
        return finished

    async def _wait_overlapping(
        self, race: exchange_races.ExchangeRace
    ) -> exchange_races.FinishedExchange | None:
        """Waits while two endpoints have a stream that has not begun.

        Returns:
            The next exchange that ends; None if the earlier endpoint was left.

        Raises:
            TimeoutError: the request's deadline has passed.
        """
        while self.compute_remaining_seconds() > 0:
            finished = await race.wait(event_streams.RESUMPTION_CHECK_SECONDS)
            if finished is not None:
                return finished
            if self.compute_overlap(None) >= event_streams.OVERLAP_SECONDS:
                for endpoint in await race.keep_last():
                    self.record_left(endpoint)
                return None
        raise TimeoutError("no answer before the deadline")

    async def _start_exchange(
        self, race: exchange_races.ExchangeRace
    ) -> proxy_requests.Refusal | None:
        """Sends the request to a further endpoint.

        Returns:
            A refusal if no endpoint accepts it.
        """
        if self._repeating_stages:
            # The request is sent with their results.
            return None
        endpoint = self._endpoints.choose(self._result_sizes)
        if endpoint is None and self._outlasts_pauses() and not race.running:
            try:
                endpoint = await self._wait_for_endpoint(needs_stages=False)
            except errors.AnswerLostError as error:
                return self._build_failure_refusal(str(error))
        if endpoint is None:
            return self._build_failure_refusal(self._endpoints.explain_none())
        self._endpoints.record_send(endpoint)
        self._newest = None
        send = self._send_once
        if self._lacks_results:
            self._lacks_results = False
            self._repeating_stages = True
            send = self._send_with_new_results
        await race.start(endpoint, send)
        return None

    async def _send_with_new_results(
        self, endpoint: catalogue.Endpoint
    ) -> proxy_requests.Answer:
        """Runs the stages again and sends the request with their results.

        The former results are kept for endpoints that have the request already.
        """
        try:
            self._result_names = await self._run_stages_again()
        except errors.EarlierStageError as error:
            return self._build_failure_refusal(str(error).replace(" ", "_"))
        finally:
            self._repeating_stages = False
        return await self._send_once(endpoint)

    def _outlasts_pauses(self) -> bool:
        """Returns whether the request waits while all endpoints pause.

        A stream that may have run does, as its caller cannot be told to come
        back.
        """
        return bool(self._runs) and self._route.resumable

    async def _handle_silence(self, race: exchange_races.ExchangeRace) -> None:
        """Sends the request to a further endpoint if that is allowed.

        Raises:
            TimeoutError: the request's deadline has passed.
        """
        self._silent = frozenset(self._endpoints.tried)
        if self.compute_remaining_seconds() <= 0:
            raise TimeoutError("no answer before the deadline")
        if self._repeating_stages:
            return
        if self._endpoints.choose() is None or not self.may_send_again():
            return
        self._log_step("endpoint_silent", exchanges=race.running)
        await self._start_exchange(race)

    def _is_final(self, outcome: proxy_requests.Answer | Exception) -> bool:
        """Returns whether an outcome is an answer that is no failure."""
        if isinstance(outcome, proxy_requests.CompleteAnswer):
            return outcome.status < 500
        return isinstance(outcome, proxy_requests.StreamedAnswer)

    async def _accept_answer(
        self, finished: exchange_races.FinishedExchange
    ) -> proxy_requests.Answer:
        answer = finished.outcome
        self._context.quarantine.remove(self._accepted.fingerprint)
        if isinstance(answer, proxy_requests.CompleteAnswer):
            self._log_step("request_answered", status=answer.status)
        else:
            self._stream = answer
            self._endpoints.version = finished.endpoint.version
            await stream_bindings.record_origin(
                self._context, self._accepted, finished.endpoint
            )
            await self.release_results()
        return answer

    def _find_failure(
        self, finished: exchange_races.FinishedExchange
    ) -> proxy_requests.Answer | None:
        """Returns the caller's answer after an exchange without a good one.

        Returns:
            None if the request may be sent to another endpoint.
        """
        outcome = finished.outcome
        if isinstance(outcome, TimeoutError):
            raise outcome
        if isinstance(outcome, proxy_requests.Refusal):
            return outcome
        if isinstance(outcome, proxy_requests.CompleteAnswer):
            self._failure = outcome
            if self._endpoints.choose() is not None and self.may_send_again():
                return None
            return outcome
        self._log_send_failure(finished.endpoint, outcome)
        return self._find_error_refusal(finished.endpoint, outcome)

    def _find_error_refusal(
        self, endpoint: catalogue.Endpoint, error: errors.TransportError
    ) -> proxy_requests.Refusal | None:
        """Returns the refusal after an error; None to send again."""
        if isinstance(error, errors.NotAcceptingError):
            return None
        if isinstance(error, errors.ConnectError):
            self._note_unanswered(endpoint, error)
            self._connection_failures += 1
            if self._connection_failures >= CONNECT_FAILURES_LIMIT:
                return self._build_failure_refusal("unreachable")
            return None
        if isinstance(error, errors.NotExecutedError):
            return self._find_rejection_refusal(error)
        self.record_crash(endpoint)
        if not self.may_send_again():
            return proxy_requests.Refusal(502, "answer_lost")
        return None

    def _note_unanswered(
        self, endpoint: catalogue.Endpoint, error: errors.ConnectError
    ) -> None:
        """Lets an endpoint that may only be silent be connected to again."""
        if isinstance(error, errors.ConnectTimeoutError):
            self._endpoints.record_silent(endpoint)

    def _find_rejection_refusal(
        self, error: errors.NotExecutedError
    ) -> proxy_requests.Refusal | None:
        """Returns the refusal after an endpoint's own; None to send again."""
        if self._outlasts_pauses():
            return self._find_repeat_refusal(error)
        if self._endpoints.all_pause():
            return self._build_failure_refusal("endpoints_paused")
        return self._find_repeat_refusal(error)

    def _find_repeat_refusal(
        self, error: errors.NotExecutedError
    ) -> proxy_requests.Refusal | None:
        """Takes a retry after an endpoint's refusal.

        Returns:
            A refusal if no retry is left or would help; None to send again.
        """
        if not self._take_retry(self._endpoints.service):
            return self._build_failure_refusal("refused_by_endpoint")
        if error.lacks_results and not self._repeating_stages:
            if self._stages_repeated:
                return self._build_failure_refusal("results_gone")
            self._stages_repeated = self._lacks_results = True
        return None

    def _log_step(self, event: str, **fields: object) -> None:
        """Logs a step of the request with the time since its arrival."""
        now = self._context.clock.now()
        self._context.journal.record_request(
            event,
            request=self._request.attempt,
            seconds=round(now - self._request.received_at, 3),
            **fields,
        )

    def record_crash(self, endpoint: catalogue.Endpoint) -> None:
        """Records a broken answer, as the endpoint may have crashed."""
        self._context.quarantine.add_crashes(
            self._accepted.fingerprint,
            [f"{self._request.attempt}/{endpoint.name}"],
            self._context.clock.now(),
        )

    def record_left(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a silent endpoint was left.

        It gets the request again if no other endpoint accepts it.
        """
        self._endpoints.record_silent(endpoint)

    def _build_failure_refusal(self, reason: str) -> proxy_requests.Refusal:
        if self._runs:
            return proxy_requests.Refusal(502, reason)
        seconds = self._compute_pause() or proxy_requests.RETRY_AFTER_SECONDS
        seconds += paused_refusals.compute_spread(
            self._context, self._accepted, self._endpoints
        )
        return proxy_requests.Refusal(503, reason, seconds)

    def _log_send_failure(
        self, endpoint: catalogue.Endpoint, error: Exception
    ) -> None:
        self._context.journal.record_failure(
            "send_failed",
            request=self._request.attempt,
            endpoint=endpoint.name,
            handed_over=bool(self._runs),
            error=f"{type(error).__name__}: {error}",
        )

    def may_send_again(self) -> bool:
        """Returns whether a request that may have run may be sent again.

        If so, this takes a retry from the budget.
        """
        return not self._find_resend_obstacle() and self._take_retry(
            self._endpoints.service
        )

    def _find_resend_obstacle(self) -> str:
        """Returns why a request that may have run may not be sent again.

        Returns:
            The reason as words joined by `_`; empty if it may be sent again.
        """
        if not self._route.may_run_again():
            return "not_resumable" if self._route.streamed else "not_repeatable"
        if self._runs >= self._route.attempts_limit:
            return "no_attempt_left"
        crashes = input_fingerprints.count_input_crashes(
            self._context, self._accepted.fingerprint
        )
        if crashes >= input_fingerprints.CRASHES_LIMIT:
            return "input_crashes_endpoints"
        if not self._has_retry(self._endpoints.service):
            return "no_retry_left"
        return ""

    async def _send_once(
        self, endpoint: catalogue.Endpoint
    ) -> proxy_requests.Answer:
        """Sends the request to one endpoint and returns its answer."""
        exchange = exchanges.Exchange(
            self._context, endpoint, self._prompt_tokens
        )
        try:
            return await self._exchange_once(exchange, endpoint)
        except BaseException as error:
            if _is_unreachable(error):
                self._context.selector.record_unreachable(
                    endpoint.name, self._context.clock.now()
                )
            await exchange.close(failed=self._is_failure(endpoint, error))
            raise

    def _is_failure(
        self, endpoint: catalogue.Endpoint, error: BaseException
    ) -> bool:
        """Returns whether the end of a send tells against the endpoint.

        A send is cancelled if its caller leaves, or if another endpoint has
        answered after a silence.
        """
        if isinstance(error, curio.CancelledError):
            return endpoint.name in self._silent
        return errors.is_endpoint_failure(error)

    async def _exchange_once(
        self, exchange: exchanges.Exchange, endpoint: catalogue.Endpoint
    ) -> proxy_requests.Answer:
        await self._open(exchange, endpoint, self._result_names, None)
        answer = exchange.answer
        if answer.streamed:
            stream = event_streams.EventStream(
                self, exchange, self._request.last_event
            )
            await stream.read_first()
            return proxy_requests.StreamedAnswer(
                answer.status, answer.headers, stream
            )
        body = await exchange.read_body()
        await exchange.close(failed=answer.status >= 500)
        return proxy_requests.CompleteAnswer(
            answer.status, answer.headers, body
        )

    def _compute_answer_timeout(self) -> float:
        """Returns the wait for a whole answer or the first event.

        It is shorter than the remaining time only if the request may run again
        after this send.
        """
        remaining = self.compute_remaining_seconds()
        if not self._route.may_run_again():
            return remaining
        if self._runs >= self._route.attempts_limit:
            return remaining
        return min(
            remaining, ANSWER_TIMEOUT_FACTOR * self._route.target_seconds
        )

    async def _open(
        self,
        exchange: exchanges.Exchange,
        endpoint: catalogue.Endpoint,
        results: tuple[str, ...],
        last_event: int | None,
    ) -> None:
        now = self._context.clock.now()
        remaining = self._accepted.deadline_at - now
        if remaining <= 0:
            raise TimeoutError("the request's deadline has passed")
        if not self._context.cluster_state.is_usable(endpoint, now):
            raise errors.NotAcceptingError(
                f"{endpoint.name} accepts no new work"
            )
        parameters = proxy_requests.SendParameters(
            self._accepted.account,
            remaining,
            self._request.last_event if last_event is None else last_event,
            results,
        )
        # It counts while the endpoint is connected to, as another exchange may
        # begin meanwhile. One that is cancelled after that may have run.
        self._runs += 1
        self._newest = exchange
        try:
            await exchange.open(self._request, parameters)
        except BaseException as error:
            if self._newest is exchange:
                self._newest = None
            not_executed = isinstance(error, errors.NotExecutedError)
            if not_executed or not exchange.may_have_sent():
                self._runs -= 1
            raise
        self._log_step(
            "request_sent",
            endpoint=endpoint.name,
            service=endpoint.service,
            version=endpoint.version,
            status=exchange.answer.status,
            last_event=last_event,
        )

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
            obstacle = "" if retry_taken else self._find_resend_obstacle()
            if obstacle:
                raise errors.AnswerLostError(obstacle)
            endpoint = await self._wait_for_endpoint(results is None)
            if not retry_taken and not self.may_send_again():
                raise errors.AnswerLostError(self._find_resend_obstacle())
            if results is None:
                results = await self._run_stages_for_resume()
                endpoint = await self._wait_for_endpoint(needs_stages=False)
            self._endpoints.record_send(endpoint)
            try:
                return await self._open_resumed(endpoint, results, last_event)
            except errors.ConnectError as error:
                self._log_send_failure(endpoint, error)
                self._note_unanswered(endpoint, error)
                retry_taken = True
                connection_failures += _is_unreachable(error)
                if connection_failures >= CONNECT_FAILURES_LIMIT:
                    raise errors.AnswerLostError("unreachable") from error
            except errors.TransportError as error:
                self._log_send_failure(endpoint, error)
                retry_taken = False
                if getattr(error, "lacks_results", False):
                    results = None

    async def _wait_for_endpoint(
        self, needs_stages: bool
    ) -> catalogue.Endpoint:
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
            self._log_step("stream_waits", wait_seconds=round(seconds, 3))
            await self._context.clock.sleep(seconds)
        endpoint = self._endpoints.choose()
        if endpoint is None:
            raise errors.AnswerLostError(self._endpoints.explain_none())
        return endpoint

    def _compute_resumption_wait(self, needs_stages: bool) -> float:
        """Returns when all pauses end in the way, in seconds from now."""
        seconds = self._endpoints.compute_wait()
        if needs_stages:
            seconds = max(seconds, self._compute_stages_pause())
        return seconds

    def _build_broken_stream(
        self, needs_stages: bool
    ) -> stream_waits.BrokenStream:
        prompt_speed = self._context.selector.prompt_speed
        seconds = prompt_speed.estimate_first_event(self._prompt_tokens)
        if needs_stages:
            seconds += self._compute_bare_seconds()
        return stream_waits.BrokenStream(
            self._route,
            self._last_event_at,
            self._accepted.deadline_at,
            seconds,
        )

    async def _run_stages_for_resume(self) -> tuple[str, ...]:
        await self.release_results()
        try:
            return await self._run_stages_again()
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
        exchange = exchanges.Exchange(
            self._context, endpoint, self._prompt_tokens
        )
        try:
            await self._open(exchange, endpoint, results, last_event)
            if not exchange.answer.streamed:
                raise errors.ProtocolError(
                    f"status {exchange.answer.status}, not a stream"
                )
        except BaseException as error:
            await exchange.close(failed=errors.is_endpoint_failure(error))
            raise
        return exchange

    async def _run_stages_again(self) -> tuple[str, ...]:
        """Runs the stages again.

        Raises:
            errors.EarlierStageError: an item could not be done.
        """
        if not self._route.stages:
            return ()
        stage_run = self._add_stage_run()
        async with stages.release_on_error(stage_run):
            results = await stage_run.run()
        return tuple(stage_result.name for stage_result in results)

    def record_events(self) -> None:
        """Records that the caller gets events."""
        self._last_event_at = self._context.clock.now()

    async def release_results(self) -> None:
        """Releases the results of the stages."""
        for stage_run in self._stage_runs:
            await stage_run.release_all()

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

    def compute_event_timeout(self, begun: bool) -> float:
        """Returns the timeout for the next event of a stream, in seconds.

        Args:
            begun: whether the present endpoint has sent an event.
        """
        remaining = self.compute_remaining_seconds()
        if (
            not self._route.resumable
            or self._runs >= self._route.attempts_limit
        ):
            return remaining
        if begun:
            return min(remaining, SILENCE_SECONDS)
        first = ANSWER_TIMEOUT_FACTOR * self._route.target_seconds
        return min(remaining, max(first, SILENCE_SECONDS))

    def compute_remaining_seconds(self) -> float:
        """Returns the time until the request's deadline, in seconds."""
        return self._accepted.deadline_at - self._context.clock.now()

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


def _is_unreachable(error: BaseException) -> bool:
    """Returns whether an endpoint could not be connected to."""
    return isinstance(error, errors.ConnectError) and not isinstance(
        error, errors.NotAcceptingError
    )
