"""Requests with an idempotency key: one run, and the same answer again."""

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

# The longest that the store may take to decide a claim, in seconds.
ACQUIRE_SECONDS = 2.0

# How long an entry goes on writing an outcome to the store, in seconds.
WRITE_SECONDS = 60.0

# When to come back for an outcome that is not known yet, in seconds.
RUNNING_RETRY_SECONDS = 1.0

# When to come back while the store cannot be reached, in seconds.
STORE_RETRY_SECONDS = 2.0

# The largest outcome that is kept for re-sends, in bytes of JSON. The store
# holds values up to a megabyte.
OUTCOME_BYTES_LIMIT = 900_000


class KeptOutcome(NamedTuple):
    """What a claim tells of a keyed request.

    Attributes:
        state: `done`, `running` or `unknown`.
        outcome: the answer as describe_whole built it, for `done`.
    """

    state: str
    outcome: Any


class Keeper:
    """Holds this entry's claims, and tells re-sends their first answer."""

    def __init__(
        self,
        store: objects.ObjectStore,
        clock: clocks.Clock,
        window_seconds: float,
        read_wall_clock: Callable[[], float] = time.time,
    ):
        """Prepares the keeper.

        Args:
            store: the platform's store.
            clock: monotonic time and sleeps.
            window_seconds: how long a claim is kept after its deadline.
            read_wall_clock: returns wall-clock seconds.
        """
        self._store = store
        self._clock = clock
        self._window_seconds = window_seconds
        self._read_wall_clock = read_wall_clock
        self._background: set[curio.Task] = set()

    async def find(self, account: str, key: str) -> KeptOutcome | None:
        """Returns what is known of a key, or None for an unused one.

        Raises:
            errors.StoreError: the store does not tell now.
        """
        name = claims.name_claim(account, key)
        stored = await self._store.get(claims.OBJECT_KIND, name)
        if stored is None or stored.value["state"] == "released":
            return None
        held = stored.value
        return _describe_held(
            claims.answer_held(
                held, held["input_digest"], self._read_wall_clock()
            )
        )

    async def replay(
        self, request: callers.CallerRequest
    ) -> callers.Answer | None:
        """Returns the answer that a used key binds to, or None.

        This only spares the earlier stages' work: `acquire` decides.
        """
        name = claims.name_claim(request.account, request.key)
        try:
            stored = await self._store.get(claims.OBJECT_KIND, name)
        except errors.StoreError:
            return refuse_store("the store cannot hold a claim now")
        if stored is None or stored.value["state"] == "released":
            return None
        return self._answer_held(request, stored.value)

    async def acquire(
        self, request: callers.CallerRequest, deadline_at: float
    ) -> claims.Won:
        """Takes the key for this attempt.

        Whatever was written for an attempt that ends without the claim is
        released in the background, so that the key is free again.

        Raises:
            errors.KeyHeldError: another attempt holds the key; it carries
                what the caller is told of that one.
            errors.RequestRefusedError: the store did not decide.
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
            seen = await claims.acquire_claim(
                self._store, claim, give_up_at, self._clock
            )
            decided = not isinstance(seen, claims.GiveUp) or (
                not seen.outstanding
            )
        finally:
            if not decided:
                await self._release(claim)
        if isinstance(seen, claims.Won):
            return seen
        if isinstance(seen, claims.Held):
            raise errors.KeyHeldError(self._answer_held(request, seen.claim))
        raise errors.RequestRefusedError(
            refuse_store(
                "the store did not decide a claim", seen.retry_after_seconds
            )
        )

    async def settle(
        self,
        request: callers.CallerRequest,
        won: claims.Won,
        answer: callers.Answer,
        handed_over: bool,
    ) -> None:
        """Keeps an outcome for re-sends, in the background.

        Args:
            request: the request.
            won: its claim.
            answer: what the caller is answered.
            handed_over: a stage that may not be repeated may have run.
        """
        if not handed_over:
            await self._release(won.claim)
            return
        state, outcome = "unknown", None
        if isinstance(answer, callers.Whole):
            state = "done"
            outcome = _bound(callers.describe_whole(request.id, answer))
        await self.spawn(
            claims.write_outcome,
            self._store,
            won,
            state,
            outcome,
            self._clock.now() + WRITE_SECONDS,
            self._clock,
        )

    async def finish(self) -> None:
        """Waits for what runs in the background."""
        for task in list(self._background):
            await task.wait()

    async def _release(self, claim: claims.Claim) -> None:
        await self.spawn(claims.release_claim, self._store, claim, self._clock)

    async def spawn(self, function: Any, *args: Any) -> None:
        """Runs a task that outlives its request; `finish` waits for it."""
        await self.keep(await curio.spawn(function, *args, daemon=True))

    async def keep(self, task: curio.Task) -> None:
        """Lets a task outlive its request; `finish` waits for it."""
        self._background = {
            held for held in self._background if not held.terminated
        }
        self._background.add(task)

    def _answer_held(
        self, request: callers.CallerRequest, held: claims.Claim
    ) -> callers.Answer:
        """Returns what a re-send is answered from another attempt's claim."""
        told = claims.answer_held(
            held, digest_request(request), self._read_wall_clock()
        )
        match told:
            case claims.Replay():
                return _rebuild_whole(told.outcome)
            case claims.KeyReused():
                finding = errors.Finding(
                    "header Idempotency-Key",
                    "a key that was not used with another input",
                    request.key,
                )
                return callers.Refused(
                    "invalid",
                    422,
                    "key_reused",
                    "the key belongs to another input",
                    findings=(finding,),
                )
            case claims.Running():
                return callers.Refused(
                    "unknown",
                    409,
                    "running",
                    "the first attempt is at work; ask for its outcome",
                    RUNNING_RETRY_SECONDS,
                )
        return callers.Refused(
            "unknown",
            409,
            "outcome_unknown",
            "an earlier attempt may have run; it is never run again",
        )


def digest_request(request: callers.CallerRequest) -> str:
    """Returns the digest of what a key stands for: pipeline and input."""
    text = json.dumps([request.pipeline, request.fingerprint])
    return hashlib.sha256(text.encode()).hexdigest()


def refuse_store(detail: str, retry_after_seconds: float = 0.0) -> Any:
    """Returns the refusal of a request that needs the store."""
    return callers.Refused(
        "not_run",
        503,
        "store_unavailable",
        detail,
        retry_after_seconds or STORE_RETRY_SECONDS,
    )


def _describe_held(told: Any) -> KeptOutcome:
    if isinstance(told, claims.Replay):
        return KeptOutcome("done", told.outcome)
    if isinstance(told, claims.Running):
        return KeptOutcome("running", None)
    return KeptOutcome("unknown", None)


def _bound(outcome: dict) -> dict:
    """Returns an outcome that fits into the store."""
    if len(json.dumps(outcome)) <= OUTCOME_BYTES_LIMIT:
        return outcome
    return {**outcome, "result": None, "result_dropped": True}


def _rebuild_whole(outcome: dict) -> callers.Answer:
    if outcome.get("result_dropped"):
        return callers.Refused(
            "unknown",
            409,
            "answer_not_kept",
            "the request ran whole; its answer was too large to keep",
        )
    return callers.Whole(
        outcome["result"],
        outcome["count"],
        outcome["digest"],
        tuple(callers.StageUse(**use) for use in outcome["stages"]),
        replayed=True,
    )
