"""Decides on a further send or the caller's answer after a failed exchange."""

from samphirevale import (
    catalogue,
    crash_reports,
    errors,
    exchange_races,
    paused_refusals,
    proxy_requests,
    request_context,
    request_sends,
    request_stages,
    resends,
)


class SendFailures:
    """The failed exchanges of one request.

    Attributes:
        failure: the last failure that an endpoint has answered.
    """

    def __init__(
        self,
        shared: request_context.RequestContext,
        sends: request_sends.RequestSends,
        request_resends: resends.Resends,
        stages: request_stages.RequestStages,
    ):
        self.failure: proxy_requests.CompleteAnswer | None = None
        self._connection_failures = 0
        self._sends = sends
        self._resends = request_resends
        self._stages = stages
        self._context = shared.proxy
        self._accepted = shared.accepted
        self._endpoints = shared.endpoints

    def find_answer(
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
            self.failure = outcome
            if (
                self._endpoints.choose() is not None
                and self._resends.may_send_again()
            ):
                return None
            return outcome
        self._sends.record_failure(finished.endpoint, outcome)
        return self._find_error_refusal(finished.endpoint, outcome)

    def _find_error_refusal(
        self, endpoint: catalogue.Endpoint, error: errors.TransportError
    ) -> proxy_requests.Refusal | None:
        """Returns the refusal after an error; None to send again."""
        if isinstance(error, errors.InputRefusedError):
            status = 502 if self._sends.runs else 503
            return proxy_requests.Refusal(status, crash_reports.REASON)
        if isinstance(error, errors.ConnectError):
            self._connection_failures += errors.is_unreachable(error)
            if (
                self._connection_failures
                >= request_sends.CONNECT_FAILURES_LIMIT
            ):
                return self.build_refusal("unreachable")
            return None
        if isinstance(error, errors.NotExecutedError):
            return self._find_rejection_refusal(error)
        if isinstance(error, errors.UnconfirmedRefusalError):
            reason = "refusal_unconfirmed"
        else:
            reason = "answer_lost"
            self._resends.record_crash(endpoint)
        if not self._resends.may_send_again():
            return proxy_requests.Refusal(502, reason)
        return None

    def _find_rejection_refusal(
        self, error: errors.NotExecutedError
    ) -> proxy_requests.Refusal | None:
        """Returns the refusal after an endpoint's own; None to send again."""
        if self._resends.outlasts_pauses():
            return self._find_repeat_refusal(error)
        if self._endpoints.all_pause():
            return self.build_refusal("endpoints_paused")
        return self._find_repeat_refusal(error)

    def _find_repeat_refusal(
        self, error: errors.NotExecutedError
    ) -> proxy_requests.Refusal | None:
        """Takes a retry after an endpoint's refusal.

        Returns:
            A refusal if no retry is left or would help; None to send again.
        """
        if not self._resends.take_retry(self._endpoints.service):
            return self.build_refusal("refused_by_endpoint")
        if error.lacks_results and not self._stages.repeating:
            if self._stages.repeated:
                return self.build_refusal("results_gone")
            self._stages.repeated = self._stages.lacks_results = True
        return None

    def build_refusal(self, reason: str) -> proxy_requests.Refusal:
        """Returns the refusal of a request that gets no answer."""
        if self._sends.runs:
            return proxy_requests.Refusal(502, reason)
        seconds = self.compute_pause() or proxy_requests.RETRY_AFTER_SECONDS
        seconds += paused_refusals.compute_spread(
            self._context, self._accepted, self._endpoints
        )
        return proxy_requests.Refusal(503, reason, seconds)

    def compute_pause(self) -> float:
        """Returns when all services are usable again, in seconds from now.

        It is 0 if no service has endpoints that all pause.
        """
        return max(
            self._endpoints.compute_pause(), self._stages.compute_pause()
        )
