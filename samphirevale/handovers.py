"""Runs one stage of a request: hands attempts over until one has a result."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, NoReturn

from samphirevale import (
    answers,
    callers,
    candidates,
    configuration,
    deadlines,
    errors,
    invariants,
    messages,
    metrics,
    node,
    progress,
    quarantine,
    retries,
    sidecars,
    suspects,
)
from samphirevale.ports import endpoints

# Sends tokens to the caller: the first one's number, and the tokens.
Emit = Callable[[int, list[str]], Awaitable[None]]

# The first characters of a prompt, whose digest names its cached prefix.
PREFIX_CHARACTERS = 64


class StageOutcome(NamedTuple):
    """The result of a stage.

    Attributes:
        payload: what the next stage gets as `prior`.
        count: tokens generated; 0 for a stage that generates none.
        digest: their digest; empty for a stage that generates none.
        use: what it took.
    """

    payload: Any
    count: int
    digest: str
    use: callers.StageUse


def digest_prefix(value: Any) -> str:
    """Returns the name of a prompt's prefix in heartbeats."""
    prompt = endpoints.build_prompt(value)
    digest = hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()
    return digest[: messages.PREFIX_DIGITS]


class StageRun:
    """One stage of one request."""

    def __init__(
        self,
        entry_node: node.Node,
        request: callers.CallerRequest,
        stage: configuration.StageConfiguration,
        payload: dict,
        deadline_at: float,
        shared: progress.Progress,
        emit: Emit | None,
        limit_attempt: Callable[[float], float] | None = None,
    ):
        """Prepares the stage.

        Args:
            entry_node: what the entry knows and holds.
            request: the checked request.
            stage: the stage's configuration.
            payload: `{"input": ..., "prior": ...}` for the endpoint.
            deadline_at: the request's deadline, in monotonic seconds.
            shared: what the request's stages have handed over.
            emit: called with tokens as they come; None to keep them.
            limit_attempt: returns when an attempt that begins now must have
                ended, so that the stages after it fit; None for the
                request's deadline.
        """
        self._limit_attempt = limit_attempt or (lambda now: deadline_at)
        self._node = entry_node
        self._request = request
        self._stage = stage
        self._payload = payload
        self._deadline_at = deadline_at
        self._attempt_deadline_at = deadline_at
        self._progress = shared
        self._emit = emit
        self._repeatable = callers.is_repeatable(stage, request.idempotent)
        self._buffer = answers.TokenBuffer()
        self._batch = ""
        self._tried: set[str] = set()
        self._refused_batches: set[str] = set()
        self._started_at = entry_node.clock.now()
        self._busy_ms = 0.0
        self._wasted_ms = 0.0
        self._wasted_tokens = 0
        self._attempts = 0
        self._completed = 0
        self._asked_late = False
        # An attempt was handed over and is not known not to have run.
        self._is_open = False

    async def run(self) -> StageOutcome:
        """Returns the stage's outcome.

        Raises:
            errors.RequestRefusedError: there will be none.
        """
        self._node.retries.note_first(self._stage["name"])
        ending = None
        while not isinstance(ending, messages.Result):
            endpoint = self._choose_endpoint(ending)
            ending = await self._run_checked(endpoint)
            if isinstance(ending, messages.Refusal):
                self._take_refusal(endpoint, ending)
        self._busy_ms = ending.busy_ms
        self._completed = 1
        use = self.read_use()
        if self._stage["kind"] != "engine":
            return StageOutcome(ending.payload, 0, "", use)
        # The tokens are told too, so that a caller can check the digest.
        tokens = self._buffer.tokens
        payload = {"text": "".join(tokens), "tokens": tokens}
        return StageOutcome(payload, ending.count, ending.digest, use)

    def read_use(self) -> callers.StageUse:
        """Returns what the stage has taken so far, also if it failed."""
        return callers.StageUse(
            self._stage["name"],
            self._node.clock.now() - self._started_at,
            self._busy_ms,
            self._wasted_ms,
            self._attempts,
            self._attempts - self._completed,
            len(self._buffer.tokens),
            self._wasted_tokens,
        )

    def _choose_endpoint(self, last: messages.Refusal | None) -> str:
        now = self._node.clock.now()
        self._attempt_deadline_at = self._limit_attempt(now)
        if deadlines.should_cancel(self._attempt_deadline_at, now):
            self._progress.refuse(
                "late",
                f"stage {self._stage['name']} would end too late",
                progress.DEFAULT_RETRY_SECONDS,
            )
        choice = self._node.router.choose(
            self._list_candidates(now),
            now,
            prefix=self._read_prefix(),
            exclude=self._tried,
            remaining_seconds=self._attempt_deadline_at - now,
        )
        if choice is None:
            self._refuse_unserved(last)
        return choice.endpoint

    def _refuse_unserved(self, last: messages.Refusal | None) -> NoReturn:
        if last is not None:
            self._refuse_as(last)
        self._progress.refuse(
            "no_endpoint",
            f"no endpoint of {self._stage['pool']} takes work",
            progress.DEFAULT_RETRY_SECONDS,
        )

    def _list_candidates(self, now: float) -> list[str]:
        value = self._node.holder.held.value
        ready = candidates.list_ready(
            self._node.peers, value, self._stage["pool"], now
        )
        if self._stage["kind"] != "engine":
            return candidates.list_endpoints(ready, None)
        self._choose_batch(ready, value)
        return candidates.list_endpoints(ready, self._batch)

    def _choose_batch(
        self,
        ready: list[sidecars.Peer],
        value: configuration.ConfigurationValue,
    ) -> None:
        """Takes the newest batch that serves; tokens held bind to theirs."""
        if self._buffer.tokens:
            gone = self._batch in self._refused_batches or self._is_recalled()
            if not gone:
                return
            self._drop_tokens("the batch that began the answer is recalled")
        self._batch = candidates.choose_batch(
            ready, value, self._stage, self._refused_batches
        )

    def _drop_tokens(self, reason: str) -> None:
        """Starts the answer anew, which only works unseen by the caller."""
        if self._emit is not None:
            self._progress.refuse(
                "broken_answer", reason, progress.DEFAULT_RETRY_SECONDS
            )
        self._wasted_tokens += len(self._buffer.tokens)
        self._buffer = answers.TokenBuffer()

    def _read_prefix(self) -> str:
        if self._stage["kind"] != "engine":
            return ""
        return digest_prefix(self._payload["input"])

    async def _run_checked(
        self, endpoint: str
    ) -> messages.Result | messages.Refusal:
        """Runs an attempt; that of a suspect input only as a trial."""
        attempt = secrets.token_hex(8)
        verdict = self._node.quarantine.decide(
            self._request.fingerprint, self._node.clock.now()
        )
        if verdict is quarantine.Verdict.ALLOWED:
            return await self._run_attempt(endpoint, attempt)
        if verdict is not quarantine.Verdict.TRIAL:
            self._refuse_quarantined(verdict)
        async with suspects.hold_trial(
            self._node, self._request.fingerprint, attempt
        ) as trial:
            if trial is None:
                self._refuse_quarantined(verdict)
            # The reservation took time, in which the endpoint may have gone.
            if endpoint in self._list_candidates(self._node.clock.now()):
                trial.ending = await self._run_attempt(endpoint, attempt)
            else:
                trial.ending = self._skip_attempt(attempt)
        return trial.ending

    def _skip_attempt(self, attempt: str) -> messages.Refusal:
        """Returns the refusal of an attempt that is not handed over."""
        # Whoever takes in the refusal takes this back.
        self._progress.note_handed(self._repeatable)
        return self._build_refusal(
            self._build_handover(attempt, self._node.clock.now()),
            "not_run",
            "unreachable",
            "the endpoint takes no work any more",
        )

    def _refuse_quarantined(self, verdict: quarantine.Verdict) -> NoReturn:
        seconds = quarantine.WINDOW_SECONDS
        if verdict is quarantine.Verdict.BUSY:
            seconds = progress.DEFAULT_RETRY_SECONDS
        self._progress.refuse(
            "quarantined",
            "this input has crashed an endpoint that ran it",
            seconds,
        )

    async def _run_attempt(
        self, endpoint: str, attempt: str
    ) -> messages.Result | messages.Refusal:
        now = self._node.clock.now()
        handover = self._build_handover(attempt, now)
        peer = self._node.peers.find(endpoint)
        self._attempts += 1
        self._node.router.note_sent(
            endpoint, handover.attempt, now, prefix=self._read_prefix()
        )
        self._check_handover(peer, now)
        self._progress.note_handed(self._repeatable)
        # What holds if this block is left by the deadline.
        noted = "slow"
        busy_seconds = None
        try:
            async with peer.open_exchange(handover) as exchange:
                ending = await self._follow(exchange)
            noted = _name_ending(ending)
            busy_seconds = ending.busy_ms / 1000 or None
        except errors.PeerClosedError as error:
            noted = "failed"
            return self._build_refusal(
                handover, "not_run", "unreachable", str(error)
            )
        finally:
            self._node.router.note_ended(
                endpoint,
                handover.attempt,
                self._node.clock.now(),
                busy_seconds,
                noted,
            )
        return ending

    def _check_handover(self, peer: sidecars.Peer, now: float) -> None:
        suspect_seconds = self._node.settings.common.suspect_seconds
        invariants.check(
            invariants.LEAVING_GETS_NO_WORK,
            peer.may_take_work(now, suspect_seconds),
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
            self._repeatable or not self._is_open,
            request=self._request.id,
            stage=self._stage["name"],
        )
        self._is_open = True

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

    async def _follow(
        self, exchange: sidecars.Exchange
    ) -> messages.Result | messages.Refusal:
        """Takes in an attempt's messages until it has ended."""
        while True:
            message = await exchange.receive()
            match message:
                case messages.Refusal():
                    if not self._is_outcome_due(message):
                        return message
                    self._asked_late = True
                    await exchange.deliver(sidecars.LinkLost())
                case messages.Chunk() | messages.Result():
                    try:
                        if await self._take_answer(message):
                            return message
                    except answers.BrokenStreamError as error:
                        return self._build_broken(exchange, str(error))
                case sidecars.LinkLost() if not self._repeatable:
                    if not await self._reattach(exchange):
                        return self._build_lost(exchange)
                case sidecars.LinkLost():
                    return self._build_lost(exchange)
                case sidecars.PeerSuspected() if self._repeatable:
                    return self._build_lost(exchange)
                case sidecars.InputSuspected() if self._repeatable:
                    return self._build_refusal(
                        exchange.handover,
                        "failed",
                        "crashed",
                        "its input has crashed another endpoint",
                    )

    def _is_outcome_due(self, refusal: messages.Refusal) -> bool:
        """Tells whether the sidecar will know the outcome later.

        At the deadline it tells that the outcome is unknown, and keeps the
        outcome, once known, for the same attempt handed over again.
        """
        if self._repeatable or refusal.outcome != "unknown":
            return False
        return refusal.reason == "late" and not self._asked_late

    async def _take_answer(
        self, message: messages.Chunk | messages.Result
    ) -> bool:
        """Takes in a part of the answer; returns whether it is whole."""
        if self._is_recalled():
            raise answers.BrokenStreamError(f"{self._batch} was recalled")
        if isinstance(message, messages.Chunk):
            first = len(self._buffer.tokens)
            fresh = self._buffer.add(message.sequence, message.tokens)
            if self._emit is not None and fresh:
                await self._emit(first, fresh)
            return False
        if self._stage["kind"] == "engine":
            self._buffer.check_whole(message.count, message.digest)
            invariants.check(
                invariants.WHOLE_ANSWER,
                message.batch == self._batch,
                request=self._request.id,
                batch=message.batch,
                wanted=self._batch,
            )
        return True

    def _is_recalled(self) -> bool:
        batch = self._node.holder.held.value["batches"].get(self._batch)
        return batch is not None and batch["state"] == "recalled"

    async def _reattach(self, exchange: sidecars.Exchange) -> bool:
        """Asks the same process again for an attempt's ending.

        The sidecar accepts an attempt once, so that handing the same one
        over again runs nothing twice. Ends by the request's deadline.
        """
        while True:
            await exchange.peer.connected.wait()
            if exchange.peer.incarnation != exchange.incarnation:
                return False
            try:
                await exchange.send_again()
            except errors.PeerClosedError:
                continue
            return True

    def _take_refusal(self, endpoint: str, refusal: messages.Refusal) -> None:
        """Notes a refusal; ends the request unless it may be tried again."""
        self._wasted_ms += refusal.busy_ms
        metrics.REFUSALS.labels(
            stage=self._stage["name"], reason=refusal.reason
        ).inc()
        if refusal.outcome == "not_run":
            self._is_open = False
            self._progress.note_not_run(self._repeatable)
        if refusal.reason == "recalled":
            # This entry may not know of the recall yet.
            self._refused_batches.add(self._batch)
        else:
            self._tried.add(endpoint)
        ending = retries.Ending(
            self._stage["name"],
            self._repeatable,
            refusal.outcome,
            refusal.reason,
            self._attempts,
        )
        now = self._node.clock.now()
        names = [
            name
            for name in self._list_candidates(now)
            if name not in self._tried
        ]
        verdict = self._node.retries.decide(
            ending,
            self._node.router.expect_seconds(names, now),
            self._deadline_at - now,
        )
        if not verdict.retry:
            self._refuse_as(refusal)
        metrics.RETRIES.labels(stage=self._stage["name"]).inc()

    def _refuse_as(self, refusal: messages.Refusal) -> NoReturn:
        seconds = refusal.retry_after_ms / 1000
        self._progress.refuse(
            refusal.reason,
            refusal.detail,
            seconds or progress.DEFAULT_RETRY_SECONDS,
        )

    def _build_lost(self, exchange: sidecars.Exchange) -> messages.Refusal:
        return self._build_refusal(
            exchange.handover,
            "failed" if self._repeatable else "unknown",
            "unreachable",
            f"lost the connection to {exchange.peer.address}",
        )

    def _build_broken(
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


def _name_ending(ending: messages.Result | messages.Refusal) -> str:
    """Returns the router's word for how an attempt ended."""
    if isinstance(ending, messages.Result):
        return "ok"
    return "refused" if ending.outcome == "not_run" else "failed"
