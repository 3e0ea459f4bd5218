"""Accepts or refuses proxied requests and returns one answer to each."""

import contextlib
from collections.abc import AsyncIterator

import curio

from samphirevale import (
    crash_reports,
    input_fingerprints,
    metrics,
    proxy_context,
    proxy_requests,
    proxy_runs,
    retry_detection,
    routes,
)

# The retry delay sent by an entry that shuts down, in seconds. It is short, as
# the retry goes to another entry.
SHUTDOWN_RETRY_SECONDS = 0.05


class _EndedError(curio.CancelledError):
    """The process ends, and so does the wait for an answer.

    It is no OSError, which would count as one of a connection.
    """


class Proxy:
    """Answers proxied requests.

    Attributes:
        closed: whether new requests are refused because the process may end
            before they are answered.
    """

    def __init__(self, context: proxy_context.ProxyContext):
        self.closed = False
        self._context = context
        self._wait_history = retry_detection.WaitHistory()
        # The tasks of the requests whose answers have not begun.
        self._unanswered: set[curio.Task] = set()
        # Those of them that were ended.
        self._ended: set[curio.Task] = set()

    async def end_requests(self) -> None:
        """Ends the requests whose answers have not begun, as at a deadline."""
        for task in list(self._unanswered):
            if not task.cancelled:
                self._ended.add(task)
                await task.cancel(
                    exc=_EndedError("the process ends"), blocking=False
                )

    def has_unanswered(self) -> bool:
        """Returns whether there are requests whose answers have not begun."""
        return bool(self._unanswered)

    async def answer(
        self, request: proxy_requests.ProxiedRequest
    ) -> proxy_requests.Answer:
        """Returns the answer to a request, at its deadline at the latest."""
        accepted = self._accept(request)
        if isinstance(accepted, proxy_requests.Refusal):
            self._record_answer(request, "", accepted)
            return accepted
        self._context.journal.record_request(
            "request_accepted",
            request=request.attempt,
            route=accepted.route.name,
            service=accepted.service,
            account=accepted.account,
            wait_seconds=round(request.wait_seconds, 3),
            returned=accepted.returned,
            last_event=request.last_event,
            first_attempt=request.first_attempt,
            routes_version=self._context.cluster_state.table.version,
            routes_age=self._compute_routes_age(),
        )
        run = proxy_runs.ProxyRun(self._context, accepted)
        timeout = accepted.deadline_at - self._context.clock.now()
        try:
            async with (
                self._waiting_for_answer(),
                self._context.clock.timeout(timeout),
            ):
                answer = await run.run()
        except (TimeoutError, _EndedError):
            answer = run.build_timeout_refusal()
        self._record_answer(request, accepted.route.get_kind(), answer)
        return answer

    @contextlib.asynccontextmanager
    async def _waiting_for_answer(self) -> AsyncIterator[None]:
        """Lets end_requests() end the block, and nothing after it."""
        task = await curio.current_task()
        self._unanswered.add(task)
        try:
            yield
        finally:
            self._unanswered.discard(task)
            if task in self._ended:
                self._ended.discard(task)
                # An end that is still to come would break off the answer.
                with contextlib.suppress(_EndedError):
                    await curio.check_cancellation(_EndedError)
                # The caller may still leave; curio cancels a task only once.
                task.cancelled = False

    def _record_answer(
        self,
        request: proxy_requests.ProxiedRequest,
        kind: str,
        answer: proxy_requests.Answer,
    ) -> None:
        reason = ""
        if isinstance(answer, proxy_requests.Refusal):
            reason = answer.reason
            self._log_refusal(request, answer)
        metrics.PROXIED_REQUESTS.labels(
            kind=kind, status=answer.status, reason=reason
        ).inc()
        seconds = self._context.clock.now() - request.received_at
        metrics.PROXIED_SECONDS.labels(kind=kind).observe(seconds)

    def _log_refusal(
        self,
        request: proxy_requests.ProxiedRequest,
        refusal: proxy_requests.Refusal,
    ) -> None:
        now = self._context.clock.now()
        table = self._context.cluster_state.table
        self._context.journal.record_failure(
            "request_refused",
            request=request.attempt,
            status=refusal.status,
            reason=refusal.reason,
            seconds=round(now - request.received_at, 3),
            retry_seconds=refusal.retry_seconds,
            routes_version=table.version if table is not None else None,
            routes_age=self._compute_routes_age(),
        )

    def _compute_routes_age(self) -> float:
        """Returns the age of the route table in seconds, for the log."""
        now = self._context.clock.now()
        return round(self._context.cluster_state.routes_age.compute_age(now), 3)

    def _accept(
        self, request: proxy_requests.ProxiedRequest
    ) -> proxy_requests.AcceptedRequest | proxy_requests.Refusal:
        """Accepts a request with its parameters, or refuses it."""
        cluster = self._context.cluster_state
        now = self._context.clock.now()
        if self.closed:
            return proxy_requests.Refusal(
                503, "leaving", SHUTDOWN_RETRY_SECONDS
            )
        if cluster.table is None:
            return proxy_requests.Refusal(
                503, "no_routes", proxy_requests.RETRY_AFTER_SECONDS
            )
        if not cluster.cordons.is_known():
            return proxy_requests.Refusal(
                503, "cordons_unknown", proxy_requests.RETRY_AFTER_SECONDS
            )
        if not cluster.routes_age.is_usable(now):
            return proxy_requests.Refusal(
                503, "routes_outdated", proxy_requests.RETRY_AFTER_SECONDS
            )
        route = cluster.table.find_route(request.host, request.path)
        if route is None:
            return proxy_requests.Refusal(404, "no_route")
        account = None
        if cluster.table.accounts is not None and not route.anonymous:
            account = cluster.table.accounts.get(request.key)
            if account is None:
                return proxy_requests.Refusal(401, "unknown_key")
        name = account.name if account is not None else ""
        fingerprint = input_fingerprints.compute_fingerprint(name, request)
        if (
            input_fingerprints.count_input_crashes(self._context, fingerprint)
            >= input_fingerprints.CRASHES_LIMIT
        ):
            return proxy_requests.Refusal(503, "input_crashes_endpoints")
        if self._context.crashes.refuses(request):
            return proxy_requests.Refusal(503, crash_reports.REASON)
        wait_seconds = min(request.wait_seconds, route.timeout_seconds)
        retried = self._wait_history.record_wait(
            route.name, request.wait_seconds
        )
        return proxy_requests.AcceptedRequest(
            request,
            route,
            routes.choose_service(route, self._context.rng.random()),
            name,
            cluster.table.compute_rank(route, account),
            min(
                request.received_at + wait_seconds,
                self._context.process_end.at,
            ),
            fingerprint,
            retried and not (route.streamed and request.last_event),
            cluster.find_data_centres(routes.find_regions(route, account)),
        )
