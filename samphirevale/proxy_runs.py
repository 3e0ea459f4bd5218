"""Runs one accepted request: its stages and its exchanges with endpoints."""

import contextlib
from collections.abc import AsyncIterator, Sequence

import curio

from samphirevale import (
    batch_dispatch,
    catalogue,
    errors,
    event_streams,
    exchange_races,
    exchanges,
    proxy_context,
    proxy_requests,
    request_context,
    request_sends,
    request_stages,
    resends,
    send_failures,
    silence_limits,
    stream_bindings,
    stream_resumptions,
)


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
        self._shared = request_context.RequestContext(context, accepted)
        self._endpoints = self._shared.endpoints
        self._sends = request_sends.RequestSends(self._shared)
        self._resends = resends.Resends(self._shared, self._sends)
        self._stages = request_stages.RequestStages(self._shared, self._resends)
        self._failures = send_failures.SendFailures(
            self._shared, self._sends, self._resends, self._stages
        )
        self._resumption = stream_resumptions.StreamResumption(
            self._shared, self._sends, self._resends, self._stages
        )
        # The answer that is returned, if it is a stream.
        self._stream: proxy_requests.StreamedAnswer | None = None
        # The endpoints that have been silent for too long.
        self._silent: frozenset[str] = frozenset()
        # The results of the stages.
        self._result_names: tuple[str, ...] = ()
        self._result_sizes: tuple[tuple[str, int], ...] = ()

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
            refusal = self._refuse_stages()
            if refusal is not None:
                return refusal
            try:
                results = await self._stages.run()
            except errors.EarlierStageError as error:
                return self._failures.build_refusal(
                    str(error).replace(" ", "_")
                )
        self._context.budget.record_first_send(
            self._endpoints.service, self._context.clock.now()
        )
        async with self._closing_unread_stream():
            try:
                return await self._send_until_answered(results)
            finally:
                await self._stages.release_results()

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
        if self._sends.runs:
            return proxy_requests.Refusal(504, "no_answer_in_time")
        return proxy_requests.Refusal(
            503, "not_sent_in_time", proxy_requests.RETRY_AFTER_SECONDS
        )

    def _refuse_stages(self) -> proxy_requests.Refusal | None:
        """Returns a refusal if the stages cannot run or take too long."""
        if not self._stages.has_endpoints():
            paused = self._failures.compute_pause()
            return self._failures.build_refusal(
                "endpoints_paused" if paused else "no_endpoint"
            )
        return self._stages.refuse_overload()

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
                fallback = self._failures.find_answer(finished)
                if fallback is None:
                    fallback = await self._start_exchange(race)
        if self._failures.failure is None:
            return fallback
        self._shared.log_step(
            "request_answered", status=self._failures.failure.status
        )
        return self._failures.failure

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

    def _compute_answer_timeout(self) -> float:
        """Returns the wait for a whole answer or the first event."""
        return silence_limits.compute_answer_timeout(
            self._route,
            self._sends.runs,
            self._shared.compute_remaining_seconds(),
        )

    async def _wait_overlapping(
        self, race: exchange_races.ExchangeRace
    ) -> exchange_races.FinishedExchange | None:
        """Waits while two endpoints have a stream that has not begun.

        Returns:
            The next exchange that ends; None if the earlier endpoint was left.

        Raises:
            TimeoutError: the request's deadline has passed.
        """
        while self._shared.compute_remaining_seconds() > 0:
            finished = await race.wait(event_streams.RESUMPTION_CHECK_SECONDS)
            if finished is not None:
                return finished
            overlap = self._sends.compute_overlap(None)
            if overlap >= event_streams.OVERLAP_SECONDS:
                for endpoint in await race.keep_last():
                    self._endpoints.record_silent(endpoint)
                return None
        raise TimeoutError("no answer before the deadline")

    async def _start_exchange(
        self, race: exchange_races.ExchangeRace
    ) -> proxy_requests.Refusal | None:
        """Sends the request to a further endpoint.

        Returns:
            A refusal if no endpoint accepts it.
        """
        if self._stages.repeating:
            # The request is sent with their results.
            return None
        endpoint = self._endpoints.choose(self._result_sizes)
        if (
            endpoint is None
            and self._resends.outlasts_pauses()
            and not race.running
        ):
            try:
                endpoint = await self._resumption.wait_for_endpoint(
                    needs_stages=False
                )
            except errors.AnswerLostError as error:
                return self._failures.build_refusal(str(error))
        if endpoint is None:
            return self._failures.build_refusal(self._endpoints.explain_none())
        self._sends.start(endpoint)
        send = self._send_once
        if self._stages.lacks_results:
            self._stages.lacks_results = False
            self._stages.repeating = True
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
            self._result_names = await self._stages.run_again()
        except errors.EarlierStageError as error:
            return self._failures.build_refusal(str(error).replace(" ", "_"))
        finally:
            self._stages.repeating = False
        return await self._send_once(endpoint)

    async def _handle_silence(self, race: exchange_races.ExchangeRace) -> None:
        """Sends the request to a further endpoint if that is allowed.

        Raises:
            TimeoutError: the request's deadline has passed.
        """
        self._silent = frozenset(self._endpoints.tried)
        if self._shared.compute_remaining_seconds() <= 0:
            raise TimeoutError("no answer before the deadline")
        if self._stages.repeating:
            return
        if self._endpoints.choose() is None:
            return
        if not self._resends.may_send_again():
            return
        self._shared.log_step("endpoint_silent", exchanges=race.running)
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
            self._shared.log_step("request_answered", status=answer.status)
        else:
            self._stream = answer
            self._shared.bind_beginning(answer.beginning)
            await stream_bindings.record_origin(
                self._context, self._accepted, answer.beginning
            )
            await self._stages.release_results()
        return answer

    async def _send_once(
        self, endpoint: catalogue.Endpoint
    ) -> proxy_requests.Answer:
        """Sends the request to one endpoint and returns its answer."""
        exchange = self._sends.build_exchange(endpoint)
        try:
            return await self._exchange_once(exchange, endpoint)
        except BaseException as error:
            if errors.is_unreachable(error):
                self._context.selector.record_unreachable(
                    endpoint.name, self._context.clock.now()
                )
            exchange.record_broken(error)
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
        await self._sends.open(exchange, endpoint, self._result_names, None)
        answer = exchange.answer
        if answer.streamed:
            stream = event_streams.EventStream(
                self._resumption, exchange, self._request.last_event
            )
            await stream.read_first()
            return proxy_requests.StreamedAnswer(
                answer.status,
                answer.headers,
                stream,
                exchange.build_beginning(),
            )
        body = await exchange.read_body()
        if answer.status < 500:
            exchange.record_answered()
        await exchange.close(failed=answer.status >= 500)
        return proxy_requests.CompleteAnswer(
            answer.status, answer.headers, body
        )
