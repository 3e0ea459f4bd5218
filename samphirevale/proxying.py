"""Drives one proxied request: stages, sends, repeats, and its one answer."""

import contextlib
import hashlib
import random
from typing import NamedTuple

import curio

from samphirevale import (
    budgets,
    catalogue,
    errors,
    events,
    journal,
    knowledge,
    metrics,
    placement,
    proxied,
    quarantine,
    routes,
    stages,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# The largest answer that is held back until it is whole, in bytes.
WHOLE_BYTES_LIMIT = 8 * 1024 * 1024

# Tries to connect to other endpoints, which hand nothing over.
CONNECTS_LIMIT = 3

# When to come back after a refusal that should pass soon, in seconds.
RETRY_SECONDS = 0.5

# When to come back to another entry, in seconds.
LEAVING_RETRY_SECONDS = 0.05

# How long a request may always wait for its stages, in seconds.
STAGES_SECONDS = 0.2

# The share of the wait that is allowed one rank above.
RANK_SHARE = 0.6

# When to come back after a refusal for overload, in seconds: who comes back
# sooner meets the same queue.
OVERLOAD_RETRY_SECONDS = 3.0

# From a request's arrival at an idle model engine to its first event, besides
# reading its prompt, in seconds.
FIRST_EVENT_SECONDS = 0.05

# How long a stream that may be resumed may be silent, in seconds.
SILENCE_SECONDS = 1.2


# Crashes after which an input is not run any more, and how long they count,
# in seconds.
CRASHES_LIMIT = 3
CRASHES_SECONDS = 60.0


class ProxyNode(NamedTuple):
    """The collaborators of a proxying entry.

    Attributes:
        knowledge: the routes, the endpoints and the other entries.
        placer: chooses endpoints.
        group: does the pieces of stages.
        budget: of repeats.
        quarantine: the inputs that have crashed endpoints, at any entry.
        endpoints: the calls to endpoints.
        clock: the present time, counted also while suspended.
        rng: the source of every random draw.
        journal: the log.
    """

    knowledge: knowledge.Knowledge
    placer: placement.Placer
    group: stages.StageGroup
    budget: budgets.RetryBudget
    quarantine: quarantine.Quarantine
    endpoints: proxies.ProxyEndpoints
    clock: clocks.Clock
    rng: random.Random
    journal: journal.Journal


class _Accepted(NamedTuple):
    """A request that may run, and the terms."""

    request: proxied.ProxiedRequest
    route: routes.Route
    service: str
    account: str
    rank: int
    deadline_at: float
    fingerprint: str


Answer = proxied.WholeAnswer | proxied.StreamedAnswer | proxied.Refusal


def compute_fingerprint(account: str, request: proxied.ProxiedRequest) -> str:
    """Returns the digest of what a caller sends again, whole."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account, request.host, request.target, repr(request.prompt)):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def count_crashes(node: ProxyNode, fingerprint: str) -> int:
    """Returns how many attempts of an input have crashed endpoints."""
    return len(node.quarantine.list_crashes(fingerprint, node.clock.now()))


class Proxy:
    """Answers proxied requests.

    Attributes:
        closed: no new request is taken, as it could not be ended in time.
    """

    def __init__(self, node: ProxyNode):
        self.closed = False
        self._node = node

    async def answer(self, request: proxied.ProxiedRequest) -> Answer:
        """Returns the request's one answer, at its deadline at the latest."""
        accepted = self._accept(request)
        if isinstance(accepted, proxied.Refusal):
            self._note_answer(request, "", accepted)
            return accepted
        self._node.journal.note_request(
            "request_accepted",
            request=request.attempt,
            route=accepted.route.name,
            service=accepted.service,
            account=accepted.account,
            wait_seconds=round(request.wait_seconds, 3),
            routes_version=self._node.knowledge.table.version,
            routes_age=self._read_routes_age(),
        )
        run = _Run(self._node, accepted)
        limit = accepted.deadline_at - self._node.clock.now()
        try:
            async with self._node.clock.limit(limit):
                answer = await run.run()
        except TimeoutError:
            answer = run.refuse_timeout()
        self._note_answer(request, accepted.route.describe_kind(), answer)
        return answer

    def _note_answer(
        self, request: proxied.ProxiedRequest, kind: str, answer: Answer
    ) -> None:
        reason = ""
        if isinstance(answer, proxied.Refusal):
            reason = answer.reason
            self._log_refusal(request, answer)
        metrics.PROXIED_REQUESTS.labels(
            kind=kind, status=answer.status, reason=reason
        ).inc()
        seconds = self._node.clock.now() - request.received_at
        metrics.PROXIED_SECONDS.labels(kind=kind).observe(seconds)

    def _log_refusal(
        self, request: proxied.ProxiedRequest, refusal: proxied.Refusal
    ) -> None:
        now = self._node.clock.now()
        table = self._node.knowledge.table
        self._node.journal.note_failure(
            "request_refused",
            request=request.attempt,
            status=refusal.status,
            reason=refusal.reason,
            seconds=round(now - request.received_at, 3),
            retry_seconds=refusal.retry_seconds,
            routes_version=table.version if table is not None else None,
            routes_age=self._read_routes_age(),
        )

    def _read_routes_age(self) -> float:
        """Returns the age of what is known of routes, for the log."""
        now = self._node.clock.now()
        return round(self._node.knowledge.routes_age.read_age(now), 3)

    def _accept(
        self, request: proxied.ProxiedRequest
    ) -> _Accepted | proxied.Refusal:
        """Returns the terms of a request, or why it is not taken."""
        known = self._node.knowledge
        now = self._node.clock.now()
        if self.closed:
            return proxied.Refusal(503, "leaving", LEAVING_RETRY_SECONDS)
        if known.table is None:
            return proxied.Refusal(503, "no_routes", RETRY_SECONDS)
        if not known.routes_age.is_usable(now):
            return proxied.Refusal(503, "routes_outdated", RETRY_SECONDS)
        route = known.table.find_route(request.host, request.path)
        if route is None:
            return proxied.Refusal(404, "no_route")
        account = None
        if known.table.accounts is not None and not route.anonymous:
            account = known.table.accounts.get(request.key)
            if account is None:
                return proxied.Refusal(401, "unknown_key")
        name = account.name if account is not None else ""
        fingerprint = compute_fingerprint(name, request)
        if count_crashes(self._node, fingerprint) >= CRASHES_LIMIT:
            return proxied.Refusal(503, "input_crashes_endpoints")
        wait_seconds = min(request.wait_seconds, route.timeout_seconds)
        return _Accepted(
            request,
            route,
            routes.choose_service(route, self._node.rng.random()),
            name,
            known.table.compute_rank(route, account),
            request.received_at + wait_seconds,
            fingerprint,
        )


class _Run:
    """One accepted request."""

    def __init__(self, node: ProxyNode, accepted: _Accepted):
        self._node = node
        self._accepted = accepted
        self._request = accepted.request
        self._route = accepted.route
        self._tokens = sum(part.tokens for part in self._request.prompt)
        self._tried: set[str] = set()
        self._runs = 0
        # Something may have run for this request.
        self._handed_over = False
        self._stages: stages.StageRun | None = None

    async def run(self) -> Answer:
        """Returns the answer."""
        results = []
        if self._route.stages:
            refusal = self._refuse_overload()
            if refusal is not None:
                return refusal
            self._stages = self._build_stages()
            try:
                async with stages.hold(self._stages):
                    results = await self._stages.run()
            except errors.StageError as error:
                return proxied.Refusal(
                    503, str(error).replace(" ", "_"), RETRY_SECONDS
                )
        if results:
            self._note(
                "stages_done",
                results=len(results),
                endpoints=sorted({made.endpoint.name for made in results}),
                wanted_data_centre=self._stages.read_data_centre(),
            )
        self._node.budget.note_first(
            self._accepted.service, self._node.clock.now()
        )
        try:
            return await self._send_until_answered(results)
        except errors.StageError as error:
            return self._refuse_failed(str(error).replace(" ", "_"))
        finally:
            await self.release_results()

    def refuse_timeout(self) -> proxied.Refusal:
        """Returns the answer at the end of the time that the request has."""
        if self._handed_over:
            return proxied.Refusal(504, "no_answer_in_time")
        return proxied.Refusal(503, "not_sent_in_time", RETRY_SECONDS)

    def _refuse_overload(self) -> proxied.Refusal | None:
        """Returns a refusal if the stages would not be done in time."""
        now = self._node.clock.now()
        seconds = stages.estimate_stages(
            self._node.group,
            self._node.knowledge,
            self._route,
            self._request.piece_counts,
            now,
        )
        if seconds is None:
            return proxied.Refusal(503, "no_endpoint", RETRY_SECONDS)
        limit = self._route.target_seconds - self._estimate_model()
        bare = stages.compute_bare_seconds(
            self._node.knowledge, self._route, self._request.piece_counts
        )
        share = RANK_SHARE**self._accepted.rank
        allowed = bare + max(limit - bare, STAGES_SECONDS) * share
        if seconds <= allowed:
            self._note(
                "stages_begun",
                expected_seconds=round(seconds, 3),
                allowed_seconds=round(allowed, 3),
                bare_seconds=round(bare, 3),
            )
            return None
        self._node.journal.note_failure(
            "stages_overloaded",
            request=self._request.attempt,
            seconds=round(seconds, 3),
            allowed_seconds=round(allowed, 3),
            bare_seconds=round(bare, 3),
            rank=self._accepted.rank,
        )
        return proxied.Refusal(503, "stages_overloaded", OVERLOAD_RETRY_SECONDS)

    def _estimate_model(self) -> float:
        """Returns the time to the first event once the results are there."""
        endpoint = self._choose_endpoint(())
        if endpoint is None:
            return 0.0
        reading = self._tokens / placement.PROMPT_TOKENS_PER_SECOND
        waiting = self._node.placer.estimate_seconds(endpoint.name)
        return FIRST_EVENT_SECONDS + reading + waiting

    def _build_stages(self) -> stages.StageRun:
        terms = stages.Terms(
            due_at=self._request.received_at
            + self._route.target_seconds
            - self._estimate_model(),
            deadline_at=self._accepted.deadline_at,
            rank=self._accepted.rank,
            data_centre=self._choose_data_centre(),
        )
        return stages.StageRun(
            self._node.group,
            self._node.knowledge,
            self._node.clock,
            self._request,
            self._route,
            terms,
            self._may_repeat,
        )

    def _choose_data_centre(self) -> str:
        """Returns where the request would be sent now."""
        endpoint = self._choose_endpoint(())
        return endpoint.data_centre if endpoint is not None else ""

    def _may_repeat(self, service: str) -> bool:
        known = self._node.knowledge
        return self._node.budget.take(
            service, len(known.members), self._node.clock.now()
        )

    def _choose_endpoint(
        self, result_bytes: tuple[tuple[str, int], ...]
    ) -> catalogue.Endpoint | None:
        known = self._node.knowledge
        return self._node.placer.choose(
            known.catalogue.list_accepting(self._accepted.service),
            placement.Demand(
                self._request.prompt, result_bytes, frozenset(self._tried)
            ),
            self._node.clock.now(),
        )

    def _measure_results(self, results) -> tuple[tuple[str, int], ...]:
        return tuple((made.endpoint.data_centre, made.size) for made in results)

    async def _send_until_answered(self, results) -> Answer:
        names = tuple(made.name for made in results)
        sizes = self._measure_results(results)
        connects = 0
        made_again = False
        while True:
            endpoint = self._choose_endpoint(sizes)
            if endpoint is None:
                return self._refuse_failed("no_endpoint")
            self._tried.add(endpoint.name)
            try:
                answer = await self._send_once(endpoint, names)
            except errors.ConnectError as error:
                self._log_failed(endpoint, error)
                connects += 1
                if connects >= CONNECTS_LIMIT:
                    return self._refuse_failed("unreachable")
                continue
            except errors.NotExecutedError as error:
                self._log_failed(endpoint, error)
                if not self._may_repeat(self._accepted.service):
                    return self._refuse_failed("refused_by_endpoint")
                if error.lacks_results:
                    if made_again:
                        return self._refuse_failed("results_gone")
                    made_again = True
                    names = await self._make_results_again()
                continue
            except errors.TransportError as error:
                self._handed_over = True
                self.note_crash(endpoint)
                self._log_failed(endpoint, error)
                if not self._may_send_again():
                    return proxied.Refusal(502, "answer_lost")
                continue
            failed = (
                isinstance(answer, proxied.WholeAnswer) and answer.status >= 500
            )
            if failed and self._may_send_again():
                continue
            if isinstance(answer, proxied.WholeAnswer):
                self._note("request_answered", status=answer.status)
            if not failed:
                self._node.quarantine.forget(self._accepted.fingerprint)
            return answer

    def _note(self, event: str, **fields: object) -> None:
        """Logs a decision that goes well, with the time since its arrival."""
        now = self._node.clock.now()
        self._node.journal.note_request(
            event,
            request=self._request.attempt,
            seconds=round(now - self._request.received_at, 3),
            **fields,
        )

    def note_crash(self, endpoint: catalogue.Endpoint) -> None:
        """Counts an answer that broke off: its endpoint may have crashed."""
        self._node.quarantine.add_crashes(
            self._accepted.fingerprint,
            [f"{self._request.attempt}/{endpoint.name}"],
            self._node.clock.now(),
        )

    def _refuse_failed(self, reason: str) -> proxied.Refusal:
        if self._handed_over:
            return proxied.Refusal(502, reason)
        return proxied.Refusal(503, reason, RETRY_SECONDS)

    def _log_failed(
        self, endpoint: catalogue.Endpoint, error: Exception
    ) -> None:
        self._node.journal.note_failure(
            "send_failed",
            request=self._request.attempt,
            endpoint=endpoint.name,
            handed_over=self._handed_over,
            error=f"{type(error).__name__}: {error}",
        )

    def _may_send_again(self) -> bool:
        """Tells whether what may have run may be sent to another endpoint."""
        crashes = count_crashes(self._node, self._accepted.fingerprint)
        return (
            crashes < CRASHES_LIMIT
            and self._route.may_run_again()
            and self._runs < self._route.attempts_limit
            and self._may_repeat(self._accepted.service)
        )

    async def _send_once(
        self, endpoint: catalogue.Endpoint, results: tuple[str, ...]
    ) -> Answer:
        """Hands the request to one endpoint; returns its answer."""
        exchange = _Exchange(self._node, endpoint, self._tokens)
        try:
            await self._open(exchange, endpoint, results, None)
            if exchange.answer.streamed:
                return await self._begin_stream(exchange)
            body = await exchange.read_whole()
            answer = exchange.answer
            await exchange.close(failed=answer.status >= 500)
            return proxied.WholeAnswer(answer.status, answer.headers, body)
        except errors.ConnectError:
            self._node.placer.note_unreachable(
                endpoint.name, self._node.clock.now()
            )
            await exchange.close(failed=True)
            raise
        except BaseException as error:
            await exchange.close(failed=isinstance(error, Exception))
            raise

    async def _open(
        self,
        exchange: "_Exchange",
        endpoint: catalogue.Endpoint,
        results: tuple[str, ...],
        last_event: int | None,
    ) -> None:
        now = self._node.clock.now()
        left = self._accepted.deadline_at - now
        if left <= 0:
            raise TimeoutError("no time is left")
        if not self._node.knowledge.catalogue.is_accepting(endpoint):
            raise errors.ConnectError(f"{endpoint.name} takes no new work")
        send = proxied.Send(
            self._accepted.account,
            left,
            self._request.last_event if last_event is None else last_event,
            results,
        )
        # A request that is cancelled on its way may have been handed over.
        before = self._handed_over
        self._handed_over = True
        try:
            await exchange.open(self._request, send)
        except (errors.ConnectError, errors.NotExecutedError):
            self._handed_over = before
            raise
        finally:
            self._runs += self._handed_over
        self._note(
            "request_sent",
            endpoint=endpoint.name,
            service=endpoint.service,
            status=exchange.answer.status,
            last_event=last_event,
        )

    async def _begin_stream(
        self, exchange: "_Exchange"
    ) -> proxied.StreamedAnswer:
        """Returns the stream once its first event has come."""
        stream = _Stream(self, exchange, self._request.last_event)
        await stream.read_first()
        await self.release_results()
        answer = exchange.answer
        return proxied.StreamedAnswer(answer.status, answer.headers, stream)

    async def resume(self, last_event: int | None) -> "_Exchange":
        """Goes on with a stream at another endpoint.

        The results of its stages were freed with its first event, so that
        they are made again.

        Raises:
            errors.AnswerLostError: it may not, or no endpoint takes it.
        """
        while self._may_send_again():
            try:
                results = await self._make_results_again()
            except errors.StageError as error:
                raise errors.AnswerLostError(str(error)) from error
            endpoint = self._choose_endpoint(())
            if endpoint is None:
                break
            self._tried.add(endpoint.name)
            exchange = _Exchange(self._node, endpoint, self._tokens)
            try:
                await self._open(exchange, endpoint, results, last_event)
                if exchange.answer.streamed:
                    return exchange
                await exchange.close(failed=True)
            except errors.TransportError as error:
                self._log_failed(endpoint, error)
                await exchange.close(failed=True)
            except BaseException:
                await exchange.close(failed=False)
                raise
        raise errors.AnswerLostError("the stream cannot be resumed")

    async def _make_results_again(self) -> tuple[str, ...]:
        """Runs the stages once more.

        Raises:
            errors.StageError: some piece could not be done.
        """
        if not self._route.stages:
            return ()
        if self._stages is not None:
            await self._stages.release_all()
        self._stages = self._build_stages()
        results = await self._stages.run()
        return tuple(made.name for made in results)

    async def release_results(self) -> None:
        """Frees what the stages have made."""
        if self._stages is not None:
            await self._stages.release_all()

    def read_limit(self) -> float:
        """Returns how long the next event of a stream is waited for."""
        left = self.read_left()
        if self._route.resumable and self._runs < self._route.attempts_limit:
            return min(left, SILENCE_SECONDS)
        return left

    def read_left(self) -> float:
        """Returns the time that the request has left, in seconds."""
        return self._accepted.deadline_at - self._node.clock.now()

    def note_stream_end(self, outcome: str, last: int | None) -> None:
        """Logs how a stream has ended."""
        now = self._node.clock.now()
        note = self._node.journal.note_request
        if outcome != "complete":
            note = self._node.journal.note_failure
        note(
            "stream_ended",
            request=self._request.attempt,
            outcome=outcome,
            last_event=last,
            seconds=round(now - self._request.received_at, 3),
        )


class _Exchange:
    """One send to one endpoint, counted in its load until it ends."""

    def __init__(
        self, node: ProxyNode, endpoint: catalogue.Endpoint, tokens: int
    ):
        self._node = node
        self.endpoint = endpoint
        self._tokens = tokens
        self._unread = False
        self._counted = False
        self.answer: proxies.EndpointAnswer | None = None

    async def open(
        self, request: proxied.ProxiedRequest, send: proxied.Send
    ) -> None:
        """Hands the request over and reads the head of its answer."""
        self._counted = self._unread = True
        self._node.placer.note_sent(self.endpoint.name, self._tokens)
        self.answer = await self._node.endpoints.send(
            self.endpoint, request, send
        )

    async def read_whole(self) -> bytes:
        """Returns the whole body."""
        body = bytearray()
        async with contextlib.aclosing(self.answer.read_parts()) as parts:
            async for part in parts:
                body += part
                if len(body) > WHOLE_BYTES_LIMIT:
                    raise errors.ProtocolError("the answer is too large")
        return bytes(body)

    def note_read(self) -> None:
        """Takes note that the prompt has been read."""
        if self._unread:
            self._unread = False
            self._node.placer.note_read(self.endpoint.name, self._tokens)

    async def close(self, failed: bool) -> None:
        """Ends the exchange; more calls do nothing."""
        self.note_read()
        if self._counted:
            self._counted = False
            self._node.placer.note_ended(
                self.endpoint.name, failed, self._node.clock.now()
            )
        if self.answer is not None:
            answer, self.answer = self.answer, None
            await answer.close()


class _Stream:
    """The chunks of a streamed answer: whole events, over several runs."""

    def __init__(
        self,
        run: _Run,
        exchange: _Exchange,
        last_event: int | None,
    ):
        self._run = run
        self._exchange = exchange
        self._order = events.EventOrder(last_event)
        self._cutter = events.EventCutter()
        self._parts = exchange.answer.read_parts()
        self._first = b""
        self._ended = False

    async def read_first(self) -> None:
        """Reads the first event, or the end of a stream that has none."""
        while not self._first and not self._ended:
            self._first = await self._read_chunk()

    def __aiter__(self) -> "_Stream":
        """Returns itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next whole events."""
        if self._first:
            first, self._first = self._first, b""
            return first
        while not self._ended:
            chunk = await self._read_or_resume()
            if chunk:
                return chunk
        self._run.note_stream_end("complete", self._order.last)
        await self._exchange.close(failed=False)
        raise StopAsyncIteration

    async def _read_or_resume(self) -> bytes:
        """Returns the next events; none after it has gone on elsewhere."""
        try:
            async with curio.timeout_after(max(self._run.read_limit(), 0)):
                return await self._read_chunk()
        except (errors.TransportError, curio.TaskTimeout) as error:
            if isinstance(error, errors.TransportError):
                self._run.note_crash(self._exchange.endpoint)
            await self._parts.aclose()
            await self._exchange.close(failed=True)
            reason = f"{type(error).__name__}: {error}"
            if isinstance(error, curio.TaskTimeout):
                reason = "silent for too long"
        try:
            async with curio.timeout_after(max(self._run.read_left(), 0)):
                self._exchange = await self._run.resume(self._order.last)
        except (errors.AnswerLostError, curio.TaskTimeout) as error:
            self._run.note_stream_end(reason, self._order.last)
            raise errors.AnswerLostError(reason) from error
        self._cutter = events.EventCutter()
        self._parts = self._exchange.answer.read_parts()
        return b""

    async def _read_chunk(self) -> bytes:
        """Returns the whole events that came next; sets the end."""
        try:
            part = await self._parts.__anext__()
        except StopAsyncIteration:
            if self._cutter.has_rest():
                raise errors.AnswerLostError(
                    "the stream ended inside an event"
                ) from None
            self._ended = True
            return b""
        self._exchange.note_read()
        await self._run.release_results()
        return b"".join(
            event.data
            for event in self._cutter.feed(part)
            if self._order.accept(event)
        )

    async def aclose(self) -> None:
        """Ends the stream; the endpoint drops what it still does."""
        await self._parts.aclose()
        await self._exchange.close(failed=False)
        await self._run.release_results()
