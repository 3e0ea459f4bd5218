"""Runs one accepted request: stages, sends, retries and the answer."""

from collections.abc import Sequence
from typing import NamedTuple

from samphirevale import (
    batch_dispatch,
    catalogue,
    errors,
    event_streams,
    exchanges,
    input_fingerprints,
    placement,
    proxy_context,
    proxy_requests,
    routes,
    stage_admission,
    stage_times,
    stages,
)

# The largest number of failed connections for one request. They do not count
# against the retry budget, as a failed connection hands nothing over.
CONNECT_FAILURES_LIMIT = 3

# The retry delay sent with a refusal whose cause should pass soon, in seconds.
RETRY_AFTER_SECONDS = 0.5

# Timeout for a whole answer or the first event of a stream, as a factor of the
# route's target time. It applies if the request may run again elsewhere.
ANSWER_TIMEOUT_FACTOR = 2.0

# Timeout between two events of a stream that may be resumed, in seconds.
EVENT_TIMEOUT_SECONDS = 1.2


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
        returned: whether the caller retries after a refusal.
    """

    request: proxy_requests.ProxiedRequest
    route: routes.Route
    service: str
    account: str
    rank: int
    deadline_at: float
    fingerprint: str
    returned: bool


class ProxyRun:
    """Runs one accepted request."""

    def __init__(
        self, context: proxy_context.ProxyContext, accepted: AcceptedRequest
    ):
        self._context = context
        self._accepted = accepted
        self._request = accepted.request
        self._route = accepted.route
        self._prompt_tokens = sum(part.tokens for part in self._request.prompt)
        self._tried: set[str] = set()
        # The number of sends that an endpoint may have executed.
        self._runs = 0
        # Whether an endpoint may have executed this request.
        self._handed_over = False
        self._stages: stages.StageSequenceRun | None = None
        # Whether the items are queued behind those that are on time.
        self._late = accepted.returned

    async def run(self) -> proxy_requests.Answer:
        """Runs the stages, sends the request and returns the answer."""
        results: list[batch_dispatch.StageResult] = []
        if self._route.stages:
            refusal = self._refuse_overload()
            if refusal is not None:
                return refusal
            self._stages = self._build_stages()
            try:
                async with stages.release_on_error(self._stages):
                    results = await self._stages.run()
            except errors.EarlierStageError as error:
                return self._build_failure_refusal(str(error).replace(" ", "_"))
        if results:
            self._log_step(
                "stages_done",
                results=len(results),
                endpoints=sorted(
                    {stage_result.endpoint.name for stage_result in results}
                ),
                wanted_data_centre=self._stages.get_data_centre(),
            )
        self._context.budget.record_first_send(
            self._accepted.service, self._context.clock.now()
        )
        try:
            return await self._send_until_answered(results)
        except errors.EarlierStageError as error:
            return self._build_failure_refusal(str(error).replace(" ", "_"))
        finally:
            await self.release_results()

    def build_timeout_refusal(self) -> proxy_requests.Refusal:
        """Returns the answer to a request whose deadline has passed."""
        if self._handed_over:
            return proxy_requests.Refusal(504, "no_answer_in_time")
        return proxy_requests.Refusal(
            503, "not_sent_in_time", RETRY_AFTER_SECONDS
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
                bare_seconds=stage_times.compute_bare_seconds(
                    self._context.cluster_state.table,
                    self._route,
                    self._request.item_counts,
                ),
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
        bare_seconds = stage_times.compute_bare_seconds(
            cluster.table, self._route, self._request.item_counts
        )
        return (
            stages.has_endpoints(
                cluster, self._route, self._request.item_counts, now
            )
            and cluster.compute_pause(self._accepted.service, now)
            <= bare_seconds
        )

    def _estimate_stages(self, late: bool) -> stage_admission.StagesEstimate:
        """Estimates the completion time of the stages and their queues."""
        return stages.estimate_stages(
            self._context.item_runner,
            self._context.cluster_state,
            self._route,
            self._request.item_counts,
            late,
            self._context.clock.now(),
        )

    def _estimate_model_seconds(self) -> float:
        """Estimates the time from the stages' results to the first event."""
        endpoint = self._choose_endpoint(())
        if endpoint is None:
            return 0.0
        selector = self._context.selector
        return selector.prompt_speed.estimate_first_event(
            self._prompt_tokens
        ) + selector.estimate_delay(endpoint.name)

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
        endpoint = self._choose_endpoint(())
        return endpoint.data_centre if endpoint is not None else ""

    def _take_retry(self, service: str) -> bool:
        cluster = self._context.cluster_state
        return self._context.budget.take(
            service, len(cluster.members), self._context.clock.now()
        )

    def _choose_endpoint(
        self, result_bytes: tuple[tuple[str, int], ...]
    ) -> catalogue.Endpoint | None:
        """Returns the endpoint to send to, or None if there is none.

        Those that pause for other entries are the last choice.
        """
        cluster = self._context.cluster_state
        service = self._accepted.service
        now = self._context.clock.now()
        request = placement.PlacementRequest(
            self._request.prompt,
            result_bytes,
            frozenset(self._tried),
            cluster.find_connections_limit(service),
        )
        choose = self._context.selector.choose
        return choose(
            cluster.list_usable(service, now), request, now
        ) or choose(cluster.list_available(service, now), request, now)

    def _all_endpoints_pause(self) -> bool:
        """Returns whether the service has only endpoints that pause."""
        return (
            self._context.cluster_state.compute_pause(
                self._accepted.service, self._context.clock.now()
            )
            > 0
        )

    def _explain_no_endpoint(self) -> str:
        if self._all_endpoints_pause():
            return "endpoints_paused"
        available = self._context.cluster_state.list_available(
            self._accepted.service, self._context.clock.now()
        )
        if all(endpoint.name in self._tried for endpoint in available):
            return "no_endpoint"
        return "no_connection_left"

    def _compute_pause(self) -> float:
        """Returns when all services are usable again, in seconds from now.

        It is 0 if no service has endpoints that all pause.
        """
        now = self._context.clock.now()
        services = [
            stage.service
            for index, stage in enumerate(self._route.stages)
            if stage_times.get_item_count(self._request.item_counts, index)
        ]
        return max(
            self._context.cluster_state.compute_pause(service, now)
            for service in [self._accepted.service, *services]
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
        names = tuple(stage_result.name for stage_result in results)
        sizes = self._list_result_sizes(results)
        connection_failures = 0
        stages_repeated = False
        while True:
            endpoint = self._choose_endpoint(sizes)
            if endpoint is None:
                return self._build_failure_refusal(self._explain_no_endpoint())
            self._tried.add(endpoint.name)
            try:
                answer = await self._send_once(endpoint, names)
            except errors.NotAcceptingError as error:
                self._log_send_failure(endpoint, error)
                continue
            except errors.ConnectError as error:
                self._log_send_failure(endpoint, error)
                connection_failures += 1
                if connection_failures >= CONNECT_FAILURES_LIMIT:
                    return self._build_failure_refusal("unreachable")
                continue
            except errors.NotExecutedError as error:
                self._log_send_failure(endpoint, error)
                if self._all_endpoints_pause():
                    return self._build_failure_refusal("endpoints_paused")
                if not self._take_retry(self._accepted.service):
                    return self._build_failure_refusal("refused_by_endpoint")
                if error.lacks_results:
                    if stages_repeated:
                        return self._build_failure_refusal("results_gone")
                    stages_repeated = True
                    names = await self._run_stages_again()
                continue
            except errors.TransportError as error:
                self._handed_over = True
                self.record_crash(endpoint)
                self._log_send_failure(endpoint, error)
                if not self._may_send_again():
                    return proxy_requests.Refusal(502, "answer_lost")
                continue
            failed = (
                isinstance(answer, proxy_requests.CompleteAnswer)
                and answer.status >= 500
            )
            if failed and self._may_send_again():
                continue
            if isinstance(answer, proxy_requests.CompleteAnswer):
                self._log_step("request_answered", status=answer.status)
            if not failed:
                self._context.quarantine.remove(self._accepted.fingerprint)
            return answer

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

    def _build_failure_refusal(self, reason: str) -> proxy_requests.Refusal:
        if self._handed_over:
            return proxy_requests.Refusal(502, reason)
        return proxy_requests.Refusal(
            503, reason, self._compute_pause() or RETRY_AFTER_SECONDS
        )

    def _log_send_failure(
        self, endpoint: catalogue.Endpoint, error: Exception
    ) -> None:
        self._context.journal.record_failure(
            "send_failed",
            request=self._request.attempt,
            endpoint=endpoint.name,
            handed_over=self._handed_over,
            error=f"{type(error).__name__}: {error}",
        )

    def _may_send_again(self) -> bool:
        """Returns whether a request that may have run may be sent again.

        If so, this takes a retry from the budget.
        """
        crashes = input_fingerprints.count_input_crashes(
            self._context, self._accepted.fingerprint
        )
        return (
            crashes < input_fingerprints.CRASHES_LIMIT
            and self._route.may_run_again()
            and self._runs < self._route.attempts_limit
            and self._take_retry(self._accepted.service)
        )

    async def _send_once(
        self, endpoint: catalogue.Endpoint, results: tuple[str, ...]
    ) -> proxy_requests.Answer:
        """Sends the request to one endpoint and returns its answer."""
        exchange = exchanges.Exchange(
            self._context, endpoint, self._prompt_tokens
        )
        try:
            async with self._context.clock.timeout(
                self._compute_answer_timeout()
            ):
                return await self._exchange_once(exchange, endpoint, results)
        except TimeoutError as error:
            await exchange.close(failed=True)
            if self.compute_remaining_seconds() <= 0:
                raise
            raise errors.AnswerLostError("silent for too long") from error
        except errors.NotAcceptingError:
            await exchange.close(failed=False)
            raise
        except errors.ConnectError:
            self._context.selector.record_unreachable(
                endpoint.name, self._context.clock.now()
            )
            await exchange.close(failed=True)
            raise
        except BaseException as error:
            await exchange.close(failed=errors.is_endpoint_failure(error))
            raise

    async def _exchange_once(
        self,
        exchange: exchanges.Exchange,
        endpoint: catalogue.Endpoint,
        results: tuple[str, ...],
    ) -> proxy_requests.Answer:
        await self._open(exchange, endpoint, results, None)
        if exchange.answer.streamed:
            return await self._begin_stream(exchange)
        body = await exchange.read_body()
        answer = exchange.answer
        await exchange.close(failed=answer.status >= 500)
        return proxy_requests.CompleteAnswer(
            answer.status, answer.headers, body
        )

    def _compute_answer_timeout(self) -> float:
        """Returns the timeout for a whole answer or the first event.

        It is shorter than the remaining time only if the request may run again
        after this send.
        """
        remaining = self.compute_remaining_seconds()
        if not self._route.may_run_again():
            return remaining
        if self._runs + 1 >= self._route.attempts_limit:
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
        # A request that is cancelled while it is sent may have been executed.
        previously_handed_over = self._handed_over
        self._handed_over = True
        try:
            await exchange.open(self._request, parameters)
        except (errors.ConnectError, errors.NotExecutedError):
            self._handed_over = previously_handed_over
            raise
        finally:
            self._runs += self._handed_over
        self._log_step(
            "request_sent",
            endpoint=endpoint.name,
            service=endpoint.service,
            status=exchange.answer.status,
            last_event=last_event,
        )

    async def _begin_stream(
        self, exchange: exchanges.Exchange
    ) -> proxy_requests.StreamedAnswer:
        """Returns the streamed answer after its first event has arrived."""
        stream = event_streams.EventStream(
            self, exchange, self._request.last_event
        )
        await stream.read_first()
        await self.release_results()
        answer = exchange.answer
        return proxy_requests.StreamedAnswer(
            answer.status, answer.headers, stream
        )

    async def resume(self, last_event: int | None) -> exchanges.Exchange:
        """Resumes a stream at another endpoint.

        The stages run again, as their results were released after the first
        event.

        Raises:
            errors.AnswerLostError: the stream may not be resumed, or no
                endpoint accepts it.
        """
        while self._may_send_again():
            try:
                results = await self._run_stages_again()
            except errors.EarlierStageError as error:
                raise errors.AnswerLostError(str(error)) from error
            endpoint = self._choose_endpoint(())
            if endpoint is None:
                break
            self._tried.add(endpoint.name)
            exchange = exchanges.Exchange(
                self._context, endpoint, self._prompt_tokens
            )
            try:
                await self._open(exchange, endpoint, results, last_event)
                if exchange.answer.streamed:
                    return exchange
                await exchange.close(failed=True)
            except errors.TransportError as error:
                self._log_send_failure(endpoint, error)
                await exchange.close(failed=errors.is_endpoint_failure(error))
            except BaseException:
                await exchange.close(failed=False)
                raise
        raise errors.AnswerLostError("the stream cannot be resumed")

    async def _run_stages_again(self) -> tuple[str, ...]:
        """Runs the stages again.

        Raises:
            errors.EarlierStageError: an item could not be done.
        """
        if not self._route.stages:
            return ()
        if self._stages is not None:
            await self._stages.release_all()
        self._stages = self._build_stages()
        results = await self._stages.run()
        return tuple(stage_result.name for stage_result in results)

    async def release_results(self) -> None:
        """Releases the results of the stages."""
        if self._stages is not None:
            await self._stages.release_all()

    def compute_event_timeout(self) -> float:
        """Returns the timeout for the next event of a stream, in seconds."""
        remaining = self.compute_remaining_seconds()
        if self._route.resumable and self._runs < self._route.attempts_limit:
            return min(remaining, EVENT_TIMEOUT_SECONDS)
        return remaining

    def compute_remaining_seconds(self) -> float:
        """Returns the time until the request's deadline, in seconds."""
        return self._accepted.deadline_at - self._context.clock.now()

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
