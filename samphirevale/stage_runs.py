"""Runs one stage of a request, with retries until an attempt has a result."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, NoReturn

from samphirevale import (
    callers,
    candidates,
    configuration,
    deadlines,
    entry_context,
    errors,
    handover_counts,
    invariants,
    messages,
    metrics,
    quarantine,
    quarantine_trials,
    retries,
    sidecars,
    token_buffers,
)
from samphirevale.ports import endpoints

# Sends tokens to the caller: the sequence number of the first, and the tokens.
Emit = Callable[[int, list[str]], Awaitable[None]]

# Length of the prompt prefix whose digest identifies it in prefix caches.
PREFIX_CHARACTERS = 64


class StageOutcome(NamedTuple):
    """The result of a stage.

    Attributes:
        payload: the result that the next stage gets as `prior`.
        count: number of generated tokens; 0 if the stage generates none.
        digest: digest of the tokens; empty if the stage generates none.
        use: resources that the stage used.
    """

    payload: Any
    count: int
    digest: str
    use: callers.StageUsage


def digest_prefix(value: Any) -> str:
    """Returns the digest that identifies a prompt's prefix in heartbeats."""
    prompt = endpoints.build_prompt(value)
    digest = hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()
    return digest[: messages.PREFIX_DIGITS]


class StageRun:
    """The execution of one stage for one request."""

    def __init__(
        self,
        context: entry_context.EntryContext,
        request: callers.CallerRequest,
        stage: configuration.StageConfiguration,
        payload: dict,
        deadline_at: float,
        handover_counts: handover_counts.HandoverCounts,
        emit: Emit | None,
        compute_attempt_deadline: Callable[[float], float] | None = None,
    ):
        """Initializes the run.

        Args:
            context: the entry's collaborators.
            request: the validated request.
            stage: the stage's configuration.
            payload: `{"input": ..., "prior": ...}` for the endpoint.
            deadline_at: the request's deadline, in monotonic seconds.
            handover_counts: counts of the attempts that the request's stages
                have handed over.
            emit: called with tokens as they arrive; None to only collect
                them.
            compute_attempt_deadline: returns the deadline of an attempt that
                starts at the given time, so that time is left for the later
                stages; None to use the request's deadline.
        """
        self._compute_attempt_deadline = compute_attempt_deadline or (
            lambda now: deadline_at
        )
        self._context = context
        self._request = request
        self._stage = stage
        self._payload = payload
        self._deadline_at = deadline_at
        self._attempt_deadline_at = deadline_at
        self._handover_counts = handover_counts
        self._emit = emit
        self._repeatable = callers.is_repeatable(stage, request.idempotent)
        self._buffer = token_buffers.TokenBuffer()
        self._batch = ""
        self._tried_endpoints: set[str] = set()
        self._refused_batches: set[str] = set()
        self._started_at = context.clock.now()
        self._busy_ms = 0.0
        self._wasted_ms = 0.0
        self._wasted_tokens = 0
        self._attempt_count = 0
        self._completed_count = 0
        self._late_outcome_requested = False
        # Whether an attempt was handed over that may have run.
        self._may_have_run = False

    async def run(self) -> StageOutcome:
        """Runs attempts until one succeeds, and returns the stage's outcome.

        Raises:
            errors.RequestRefusedError: the stage failed.
        """
        self._context.retries.record_first_attempt(self._stage["name"])
        ending = None
        while not isinstance(ending, messages.Result):
            endpoint = self._choose_endpoint(ending)
            ending = await self._run_with_quarantine(endpoint)
            if isinstance(ending, messages.Refusal):
                self._handle_refusal(endpoint, ending)
        self._busy_ms = ending.busy_ms
        self._completed_count = 1
        use = self.get_use()
        if self._stage["kind"] != "engine":
            return StageOutcome(ending.payload, 0, "", use)
        # The tokens are included so that the caller can verify the digest.
        tokens = self._buffer.tokens
        payload = {"text": "".join(tokens), "tokens": tokens}
        return StageOutcome(payload, ending.count, ending.digest, use)

    def get_use(self) -> callers.StageUsage:
        """Returns the resources used so far, also after a failure."""
        return callers.StageUsage(
            self._stage["name"],
            self._context.clock.now() - self._started_at,
            self._busy_ms,
            self._wasted_ms,
            self._attempt_count,
            self._attempt_count - self._completed_count,
            len(self._buffer.tokens),
            self._wasted_tokens,
        )

    def _choose_endpoint(self, last_refusal: messages.Refusal | None) -> str:
        now = self._context.clock.now()
        self._attempt_deadline_at = self._compute_attempt_deadline(now)
        if deadlines.should_cancel(self._attempt_deadline_at, now):
            self._handover_counts.refuse(
                "late",
                f"stage {self._stage['name']} would end too late",
                handover_counts.DEFAULT_RETRY_SECONDS,
            )
        choice = self._context.router.choose(
            self._list_candidates(now),
            now,
            prefix=self._compute_prefix_digest(),
            exclude=self._tried_endpoints,
            remaining_seconds=self._attempt_deadline_at - now,
        )
        if choice is None:
            self._refuse_without_endpoint(last_refusal)
        return choice.endpoint

    def _refuse_without_endpoint(
        self, last_refusal: messages.Refusal | None
    ) -> NoReturn:
        if last_refusal is not None:
            self._refuse_request(last_refusal)
        self._handover_counts.refuse(
            "no_endpoint",
            f"no endpoint of {self._stage['pool']} takes work",
            handover_counts.DEFAULT_RETRY_SECONDS,
        )

    def _list_candidates(self, now: float) -> list[str]:
        value = self._context.holder.held.value
        ready = candidates.list_ready(
            self._context.peers, value, self._stage["pool"], now
        )
        if self._stage["kind"] != "engine":
            return candidates.filter_by_batch(ready, None)
        self._choose_batch(ready, value)
        return candidates.filter_by_batch(ready, self._batch)

    def _choose_batch(
        self,
        ready: list[sidecars.Peer],
        value: configuration.ConfigurationValue,
    ) -> None:
        """Chooses the newest serving batch.

        Tokens already received bind the stage to the batch that generated
        them. If that batch can no longer serve, the tokens are dropped.
        """
        if self._buffer.tokens:
            unusable = (
                self._batch in self._refused_batches or self._is_recalled()
            )
            if not unusable:
                return
            self._drop_tokens("the batch that began the answer is recalled")
        self._batch = candidates.choose_batch(
            ready, value, self._stage, self._refused_batches
        )

    def _drop_tokens(self, reason: str) -> None:
        """Drops the received tokens, so the next attempt starts over.

        Raises:
            errors.RequestRefusedError: tokens are streamed to the caller, so
                the answer cannot start over.
        """
        if self._emit is not None:
            self._handover_counts.refuse(
                "broken_answer", reason, handover_counts.DEFAULT_RETRY_SECONDS
            )
        self._wasted_tokens += len(self._buffer.tokens)
        self._buffer = token_buffers.TokenBuffer()

    def _compute_prefix_digest(self) -> str:
        if self._stage["kind"] != "engine":
            return ""
        return digest_prefix(self._payload["input"])

    async def _run_with_quarantine(
        self, endpoint: str
    ) -> messages.Result | messages.Refusal:
        """Runs an attempt; a suspect input runs only as a quarantine trial."""
        attempt = secrets.token_hex(8)
        verdict = self._context.quarantine.decide(
            self._request.fingerprint, self._context.clock.now()
        )
        if verdict is quarantine.Verdict.ALLOWED:
            return await self._run_attempt(endpoint, attempt)
        if verdict is not quarantine.Verdict.TRIAL:
            self._refuse_quarantined(verdict)
        async with quarantine_trials.reserve_trial(
            self._context, self._request.fingerprint, attempt
        ) as trial:
            if trial is None:
                self._refuse_quarantined(verdict)
            # The endpoint may have become unavailable during the reservation.
            if endpoint in self._list_candidates(self._context.clock.now()):
                trial.ending = await self._run_attempt(endpoint, attempt)
            else:
                trial.ending = self._skip_attempt(attempt)
        return trial.ending

    def _skip_attempt(self, attempt: str) -> messages.Refusal:
        """Returns the refusal of an attempt that is not handed over."""
        # `_handle_refusal` subtracts this again, as the attempt did not run.
        self._handover_counts.record_handover(self._repeatable)
        return self._build_refusal(
            self._build_handover(attempt, self._context.clock.now()),
            "not_run",
            "unreachable",
            "the endpoint takes no work any more",
        )

    def _refuse_quarantined(self, verdict: quarantine.Verdict) -> NoReturn:
        seconds = quarantine.WINDOW_SECONDS
        if verdict is quarantine.Verdict.BUSY:
            seconds = handover_counts.DEFAULT_RETRY_SECONDS
        self._handover_counts.refuse(
            "quarantined",
            "this input has crashed an endpoint that ran it",
            seconds,
        )

    async def _run_attempt(
        self, endpoint: str, attempt: str
    ) -> messages.Result | messages.Refusal:
        now = self._context.clock.now()
        handover = self._build_handover(attempt, now)
        peer = self._context.peers.find(endpoint)
        self._attempt_count += 1
        self._context.router.record_sent(
            endpoint,
            handover.attempt,
            now,
            prefix=self._compute_prefix_digest(),
        )
        self._check_invariants(peer, now)
        self._handover_counts.record_handover(self._repeatable)
        # Outcome to record if the deadline cancels this block.
        outcome = "slow"
        busy_seconds = None
        try:
            async with peer.open_exchange(handover) as exchange:
                ending = await self._receive_outcome(exchange)
            outcome = _name_outcome(ending)
            busy_seconds = ending.busy_ms / 1000 or None
        except errors.PeerClosedError as error:
            outcome = "failed"
            return self._build_refusal(
                handover, "not_run", "unreachable", str(error)
            )
        finally:
            self._context.router.record_end(
                endpoint,
                handover.attempt,
                self._context.clock.now(),
                busy_seconds,
                outcome,
            )
        return ending

    def _check_invariants(self, peer: sidecars.Peer, now: float) -> None:
        suspect_seconds = self._context.settings.common.suspect_seconds
        invariants.check(
            invariants.LEAVING_GETS_NO_WORK,
            peer.may_get_work(now, suspect_seconds),
            request=self._request.id,
            endpoint=peer.endpoint,
        )
        invariants.check(
            invariants.RECALLED_IS_NOT_SERVED,
            not self._is_recalled(),
            request=self._request.id,
            batch=self._batch,
        )
        invariants.check(
            invariants.AT_MOST_ONCE,
            self._repeatable or not self._may_have_run,
            request=self._request.id,
            stage=self._stage["name"],
        )
        self._may_have_run = True

    def _build_handover(self, attempt: str, now: float) -> messages.Handover:
        request = self._request
        return messages.Handover(
            request=request.id,
            stage=self._stage["name"],
            attempt=attempt,
            pipeline=request.pipeline,
            account=request.account,
            payload=self._payload,
            remaining_ms=deadlines.encode_remaining_ms(
                self._attempt_deadline_at, now
            ),
            priority=request.priority,
            repeatable=self._repeatable,
            key=request.key,
            batch=self._batch,
            offset=len(self._buffer.tokens),
            fingerprint=request.fingerprint,
            stream=self._stage["kind"] == "engine",
        )

    async def _receive_outcome(
        self, exchange: sidecars.Exchange
    ) -> messages.Result | messages.Refusal:
        """Processes an attempt's messages until it has ended."""
        while True:
            message = await exchange.receive()
            match message:
                case messages.Refusal():
                    if not self._is_outcome_expected_later(message):
                        return message
                    self._late_outcome_requested = True
                    await exchange.deliver(sidecars.LinkLost())
                case messages.Chunk() | messages.Result():
                    try:
                        if await self._process_answer(message):
                            return message
                    except token_buffers.BrokenStreamError as error:
                        return self._build_broken_refusal(exchange, str(error))
                case sidecars.LinkLost() if not self._repeatable:
                    if not await self._reattach(exchange):
                        return self._build_lost_refusal(exchange)
                case sidecars.LinkLost():
                    return self._build_lost_refusal(exchange)
                case sidecars.PeerSuspected() if self._may_move(exchange):
                    return self._build_lost_refusal(exchange)
                case sidecars.InputCrashed() if self._repeatable:
                    return self._build_refusal(
                        exchange.handover,
                        "failed",
                        "crashed",
                        "its input has crashed another endpoint",
                    )

    def _may_move(self, exchange: sidecars.Exchange) -> bool:
        """Returns whether another endpoint may run the stage again now."""
        candidate_names = set(self._list_candidates(self._context.clock.now()))
        candidate_names.discard(exchange.peer.endpoint)
        return self._repeatable and bool(candidate_names)

    def _is_outcome_expected_later(self, refusal: messages.Refusal) -> bool:
        """Returns whether the sidecar will know the outcome later.

        At the deadline, the sidecar reports an unknown outcome. It keeps the
        outcome, once known, until the same attempt is handed over again.
        """
        if self._repeatable or refusal.outcome != "unknown":
            return False
        return refusal.reason == "late" and not self._late_outcome_requested

    async def _process_answer(
        self, message: messages.Chunk | messages.Result
    ) -> bool:
        """Processes a part of the answer; returns whether it is complete.

        Raises:
            token_buffers.BrokenStreamError: the batch was recalled, or the
                tokens do not form a complete answer.
        """
        if self._is_recalled():
            raise token_buffers.BrokenStreamError(f"{self._batch} was recalled")
        if isinstance(message, messages.Chunk):
            first = len(self._buffer.tokens)
            new_tokens = self._buffer.add(message.sequence, message.tokens)
            if self._emit is not None and new_tokens:
                await self._emit(first, new_tokens)
            return False
        if self._stage["kind"] == "engine":
            self._buffer.check_complete(message.count, message.digest)
            invariants.check(
                invariants.WHOLE_ANSWER,
                message.batch == self._batch,
                request=self._request.id,
                batch=message.batch,
                wanted=self._batch,
            )
        return True

    def _is_recalled(self) -> bool:
        batch = self._context.holder.held.value["batches"].get(self._batch)
        return batch is not None and batch["state"] == "recalled"

    async def _reattach(self, exchange: sidecars.Exchange) -> bool:
        """Hands the same attempt over again, to get its outcome.

        A sidecar accepts each attempt only once, so the second handover does
        not run it again. The caller ends the wait at the deadline.

        Returns:
            False if the sidecar's process was replaced by another one.
        """
        while True:
            await exchange.peer.connected.wait()
            if exchange.peer.incarnation != exchange.incarnation:
                return False
            try:
                await exchange.resend()
            except errors.PeerClosedError:
                continue
            return True

    def _handle_refusal(self, endpoint: str, refusal: messages.Refusal) -> None:
        """Records a refusal and returns if the stage may be retried.

        Raises:
            errors.RequestRefusedError: the stage is not retried.
        """
        self._wasted_ms += refusal.busy_ms
        metrics.REFUSALS.labels(
            stage=self._stage["name"], reason=refusal.reason
        ).inc()
        if refusal.outcome == "not_run":
            self._may_have_run = False
            self._handover_counts.record_not_run(self._repeatable)
        if refusal.reason == "recalled":
            # This entry may not have the configuration with the recall yet.
            self._refused_batches.add(self._batch)
        else:
            self._tried_endpoints.add(endpoint)
        failure = retries.AttemptFailure(
            self._stage["name"],
            self._repeatable,
            refusal.outcome,
            refusal.reason,
            self._attempt_count,
        )
        now = self._context.clock.now()
        names = [
            name
            for name in self._list_candidates(now)
            if name not in self._tried_endpoints
        ]
        decision = self._context.retries.decide(
            failure,
            self._context.router.estimate_best_seconds(names, now),
            self._deadline_at - now,
        )
        if not decision.retry:
            self._refuse_request(refusal)
        metrics.RETRIES.labels(stage=self._stage["name"]).inc()

    def _refuse_request(self, refusal: messages.Refusal) -> NoReturn:
        seconds = refusal.retry_after_ms / 1000
        self._handover_counts.refuse(
            refusal.reason,
            refusal.detail,
            seconds or handover_counts.DEFAULT_RETRY_SECONDS,
        )

    def _build_lost_refusal(
        self, exchange: sidecars.Exchange
    ) -> messages.Refusal:
        return self._build_refusal(
            exchange.handover,
            "failed" if self._repeatable else "unknown",
            "unreachable",
            f"lost the connection to {exchange.peer.address}",
        )

    def _build_broken_refusal(
        self, exchange: sidecars.Exchange, detail: str
    ) -> messages.Refusal:
        if self._buffer.tokens:
            self._drop_tokens(detail)
        return self._build_refusal(
            exchange.handover, "failed", "endpoint_failed", detail
        )

    def _build_refusal(
        self,
        handover: messages.Handover,
        outcome: str,
        reason: str,
        detail: str,
    ) -> messages.Refusal:
        return messages.Refusal(
            handover.request,
            handover.stage,
            handover.attempt,
            outcome,
            reason,
            detail,
            0,
            0.0,
        )


def _name_outcome(ending: messages.Result | messages.Refusal) -> str:
    """Returns the router's name for the outcome of an attempt."""
    if isinstance(ending, messages.Result):
        return "ok"
    return "refused" if ending.outcome == "not_run" else "failed"
