"""Decides whether a request that may have run may be sent again."""

from samphirevale import (
    catalogue,
    crash_reports,
    input_fingerprints,
    request_context,
    request_sends,
)


class Resends:
    """The decisions on further sends of one request."""

    def __init__(
        self,
        shared: request_context.RequestContext,
        sends: request_sends.RequestSends,
    ):
        self._sends = sends
        self._context = shared.proxy
        self._accepted = shared.accepted
        self._request = shared.request
        self._route = shared.route
        self._endpoints = shared.endpoints

    def may_send_again(self) -> bool:
        """Returns whether a request that may have run may be sent again.

        If so, this takes a retry from the budget.
        """
        return not self.find_obstacle() and self.take_retry(
            self._endpoints.service
        )

    def find_obstacle(self) -> str:
        """Returns why a request that may have run may not be sent again.

        Returns:
            The reason as words joined by `_`; empty if it may be sent again.
        """
        if not self._route.may_run_again():
            return "not_resumable" if self._route.streamed else "not_repeatable"
        if self._sends.runs >= self._route.attempts_limit:
            return "no_attempt_left"
        crashes = input_fingerprints.count_input_crashes(
            self._context, self._accepted.fingerprint
        )
        if crashes >= input_fingerprints.CRASHES_LIMIT:
            return "input_crashes_endpoints"
        if self._context.crashes.refuses(self._request):
            return crash_reports.REASON
        if not self._has_retry(self._endpoints.service):
            return "no_retry_left"
        return ""

    def outlasts_pauses(self) -> bool:
        """Returns whether the request waits while all endpoints pause.

        A stream that may have run does, as its caller cannot be told to come
        back.
        """
        return bool(self._sends.runs) and self._route.resumable

    def _has_retry(self, service: str) -> bool:
        cluster = self._context.cluster_state
        return self._context.budget.has_retry(
            service, len(cluster.members), self._context.clock.now()
        )

    def take_retry(self, service: str) -> bool:
        """Takes a retry from the budget; returns whether one was left."""
        cluster = self._context.cluster_state
        return self._context.budget.take(
            service, len(cluster.members), self._context.clock.now()
        )

    def record_crash(self, endpoint: catalogue.Endpoint) -> None:
        """Records a broken answer, as the endpoint may have crashed."""
        self._context.quarantine.add_crashes(
            self._accepted.fingerprint,
            [f"{self._request.attempt}/{endpoint.name}"],
            self._context.clock.now(),
        )
