"""Requests with an idempotency key: run once, with a repeatable answer."""

import hashlib
import json
import secrets
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from samphirevale import callers, claims, errors
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# Timeout for acquiring a claim from the store.
ACQUIRE_SECONDS = 2.0

# How long an entry retries to write an outcome to the store.
WRITE_SECONDS = 60.0

# Retry delay told to callers while the first attempt is running.
RUNNING_RETRY_SECONDS = 1.0

# Retry delay told to callers while the store is unavailable.
STORE_RETRY_SECONDS = 2.0

# Maximum size of an outcome stored for repeated requests, in bytes of JSON. The
# store accepts values of up to one megabyte.
OUTCOME_BYTES_LIMIT = 900_000


class StoredOutcome(NamedTuple):
    """The outcome of a keyed request, according to its claim.

    Attributes:
        state: `done`, `running` or `unknown`.
        outcome: the answer as describe_answer built it, for `done`.
    """

    state: str
    outcome: Any


class ClaimManager:
    """Manages an entry's claims and answers repeated requests from them."""

    def __init__(
        self,
        store: objects.ObjectStore,
        clock: clocks.Clock,
        window_seconds: float,
        read_wall_clock: Callable[[], float] = time.time,
    ):
        """Initializes the manager.

        Args:
            store: the platform's store.
            clock: source of monotonic time and of sleeps.
            window_seconds: how long a claim is kept after its deadline.
            read_wall_clock: returns the present time in wall-clock seconds.
        """
        self._store = store
        self._clock = clock
        self._window_seconds = window_seconds
        self._read_wall_clock = read_wall_clock
        self._background_tasks: set[curio.Task] = set()

    async def find(self, account: str, key: str) -> StoredOutcome | None:
        """Returns the outcome stored for a key, or None for an unused key.

        Raises:
            errors.StoreError: the store did not answer the read.
        """
        name = claims.build_claim_name(account, key)
        stored = await self._store.get(claims.OBJECT_KIND, name)
        if stored is None or stored.value["state"] == "released":
            return None
        claim = stored.value
        return _build_stored_outcome(
            claims.resolve_held_claim(
                claim, claim["input_digest"], self._read_wall_clock()
            )
        )

    async def find_answer(
        self, request: callers.CallerRequest
    ) -> callers.Answer | None:
        """Returns the answer for a key that is in use, or None.

        The answer is a refusal if the store does not answer the read. This
        check only avoids running the earlier stages in vain; `acquire`
        decides whether the key is in use.
        """
        name = claims.build_claim_name(request.account, request.key)
        try:
            stored = await self._store.get(claims.OBJECT_KIND, name)
        except errors.StoreError:
            return build_store_refusal("the store cannot hold a claim now")
        if stored is None or stored.value["state"] == "released":
            return None
        return self._build_held_answer(request, stored.value)

    async def acquire(
        self, request: callers.CallerRequest, deadline_at: float
    ) -> claims.Acquired:
        """Acquires the claim on the request's key.

        If the attempt ends without knowing whether its claim was written, a
        background task releases it to free the key.

        Raises:
            errors.KeyHeldError: another attempt holds the key; the error
                carries the answer to the caller.
            errors.RequestRefusedError: the store did not decide in time.
        """
        now = self._clock.now()
        claim = claims.build_claim(
            request.account,
            request.key,
            digest_request(request),
            secrets.token_hex(16),
            self._read_wall_clock(),
            max(deadline_at - now, 0.0),
            self._window_seconds,
        )
        give_up_at = min(deadline_at, now + ACQUIRE_SECONDS)
        decided = False
        try:
            result = await claims.acquire_claim(
                self._store, claim, give_up_at, self._clock
            )
            decided = not isinstance(result, claims.GivenUp) or (
                not result.outstanding
            )
        finally:
            if not decided:
                await self._release(claim)
        if isinstance(result, claims.Acquired):
            return result
        if isinstance(result, claims.HeldByOther):
            raise errors.KeyHeldError(
                self._build_held_answer(request, result.claim)
            )
        raise errors.RequestRefusedError(
            build_store_refusal(
                "the store did not decide a claim", result.retry_after_seconds
            )
        )

    async def record_outcome(
        self,
        request: callers.CallerRequest,
        acquired: claims.Acquired,
        answer: callers.Answer,
        handed_over: bool,
    ) -> None:
        """Writes the outcome to the claim, or releases it, in the background.

        Args:
            request: the request.
            acquired: the request's claim.
            answer: the answer to the caller.
            handed_over: whether a stage that may not be repeated may have
                run.
        """
        if not handed_over:
            await self._release(acquired.claim)
            return
        state, outcome = "unknown", None
        if isinstance(answer, callers.CompleteAnswer):
            state = "done"
            outcome = _limit_outcome_size(
                callers.describe_answer(request.id, answer)
            )
        await self.spawn_background_task(
            claims.write_outcome,
            self._store,
            acquired,
            state,
            outcome,
            self._clock.now() + WRITE_SECONDS,
            self._clock,
        )

    async def wait_for_background_tasks(self) -> None:
        """Waits for the background tasks."""
        for task in list(self._background_tasks):
            await task.wait()

    async def _release(self, claim: claims.Claim) -> None:
        await self.spawn_background_task(
            claims.release_claim, self._store, claim, self._clock
        )

    async def spawn_background_task(self, function: Any, *args: Any) -> None:
        """Starts a task that outlives its request.

        `wait_for_background_tasks` waits for it.
        """
        await self.add_background_task(
            await curio.spawn(function, *args, daemon=True)
        )

    async def add_background_task(self, task: curio.Task) -> None:
        """Adds a task that outlives its request.

        `wait_for_background_tasks` waits for it.
        """
        self._background_tasks = {
            pending
            for pending in self._background_tasks
            if not pending.terminated
        }
        self._background_tasks.add(task)

    def _build_held_answer(
        self, request: callers.CallerRequest, claim: claims.Claim
    ) -> callers.Answer:
        """Returns the answer to a repeated request, according to its claim."""
        decision = claims.resolve_held_claim(
            claim, digest_request(request), self._read_wall_clock()
        )
        match decision:
            case claims.Replay():
                return _rebuild_answer(decision.outcome)
            case claims.KeyReused():
                finding = errors.Finding(
                    "header Idempotency-Key",
                    "a key that was not used with another input",
                    request.key,
                )
                return callers.Refusal(
                    "invalid",
                    422,
                    "key_reused",
                    "the key belongs to another input",
                    findings=(finding,),
                )
            case claims.Running():
                return callers.Refusal(
                    "unknown",
                    409,
                    "running",
                    "the first attempt is at work; ask for its outcome",
                    RUNNING_RETRY_SECONDS,
                )
        return callers.Refusal(
            "unknown",
            409,
            "outcome_unknown",
            "an earlier attempt may have run; it is never run again",
        )


def digest_request(request: callers.CallerRequest) -> str:
    """Returns the digest of the pipeline and input that a key is bound to."""
    text = json.dumps([request.pipeline, request.fingerprint])
    return hashlib.sha256(text.encode()).hexdigest()


def build_store_refusal(detail: str, retry_after_seconds: float = 0.0) -> Any:
    """Returns the refusal of a request because the store is unavailable."""
    return callers.Refusal(
        "not_run",
        503,
        "store_unavailable",
        detail,
        retry_after_seconds or STORE_RETRY_SECONDS,
    )


def _build_stored_outcome(decision: Any) -> StoredOutcome:
    if isinstance(decision, claims.Replay):
        return StoredOutcome("done", decision.outcome)
    if isinstance(decision, claims.Running):
        return StoredOutcome("running", None)
    return StoredOutcome("unknown", None)


def _limit_outcome_size(outcome: dict) -> dict:
    """Returns the outcome, without its result if too large for the store."""
    if len(json.dumps(outcome)) <= OUTCOME_BYTES_LIMIT:
        return outcome
    return {**outcome, "result": None, "result_dropped": True}


def _rebuild_answer(outcome: dict) -> callers.Answer:
    if outcome.get("result_dropped"):
        return callers.Refusal(
            "unknown",
            409,
            "answer_not_kept",
            "the request ran whole; its answer was too large to keep",
        )
    return callers.CompleteAnswer(
        outcome["result"],
        outcome["count"],
        outcome["digest"],
        tuple(callers.StageUsage(**use) for use in outcome["stages"]),
        replayed=True,
    )
