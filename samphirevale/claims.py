"""Claims: ensure that a request with an idempotency key runs at most once.

Before the first handover of a stage that may not be repeated, the entry
creates one object in the store for (account, key). The write is conditional,
so only one attempt can succeed. If the store's response is lost, the entry
sends the same conditional write again and compares the stored token with its
own.

A claim that is given up is marked `released` and kept until it expires. If it
were deleted instead, a delayed write of the same attempt could create it
again, and nothing would release it.
"""

import hashlib
import json
from typing import Any, NamedTuple, TypedDict

from samphirevale import backoff, errors, expiry, invariants
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# Kind of the stored objects that hold claims.
OBJECT_KIND = "claims"


class Claim(TypedDict):
    """The stored value of a claim.

    Keys:
        account: the client account.
        key: the caller's idempotency key.
        input_digest: digest of the request's input.
        token: random token, unique to the attempt.
        state: `claimed`, `done`, `unknown` or `released`.
        outcome: the answer to the caller, once the state is `done`.
        deadline_at: the request's deadline, in wall-clock seconds; a claim
            that is still `claimed` after it has an unknown outcome.
        expires_at: time until which the claim is kept, in wall-clock seconds.
    """

    account: str
    key: str
    input_digest: str
    token: str
    state: str
    outcome: Any
    deadline_at: float
    expires_at: float


class Acknowledged(NamedTuple):
    """The store accepted the write and assigned this version."""

    version: int


class Conflicted(NamedTuple):
    """The write's condition failed; `stored` is the present object, or None."""

    stored: objects.StoredObject | None


class Unavailable(NamedTuple):
    """The store did not execute the write, and asks for a retry later."""

    retry_after_seconds: float


class ResponseLost(NamedTuple):
    """The response was lost: the write may have taken effect, or still may."""


WriteResult = Acknowledged | Conflicted | Unavailable | ResponseLost


class Acquired(NamedTuple):
    """The attempt holds the claim and may hand over the stage once.

    Attributes:
        claim: the claim as stored.
        version: the object's version, for `write_outcome`.
    """

    claim: Claim
    version: int


class HeldByOther(NamedTuple):
    """Another attempt holds the key, and its claim determines the answer."""

    claim: Claim


class Retry(NamedTuple):
    """The write is to be sent again.

    Attributes:
        version: version of the released claim to replace; None to create the
            claim.
    """

    version: int | None


class GivenUp(NamedTuple):
    """The request is refused as `not_run`, without any handover.

    Attributes:
        outstanding: whether a write may have taken effect, so
            `release_claim` must be called.
        retry_after_seconds: retry delay; 0 if the store named none.
    """

    outstanding: bool
    retry_after_seconds: float = 0.0


Decision = Acquired | HeldByOther | Retry | GivenUp


class Replay(NamedTuple):
    """The first attempt's answer is returned again."""

    outcome: Any


class Running(NamedTuple):
    """The first attempt is still running."""


class OutcomeUnknown(NamedTuple):
    """It is unknown, perhaps permanently, whether the first attempt ran."""


class KeyReused(NamedTuple):
    """The key was used with another input: the request is invalid."""


def build_claim(
    account: str,
    key: str,
    input_digest: str,
    token: str,
    wall_now: float,
    deadline_seconds: float,
    window_seconds: float,
) -> Claim:
    """Returns a new claim.

    Args:
        account: the client account.
        key: the caller's idempotency key.
        input_digest: digest of the request's input.
        token: a random token, new for each attempt.
        wall_now: the present time, in wall-clock seconds.
        deadline_seconds: time left before the request's deadline.
        window_seconds: how long the claim is kept after the deadline.
    """
    deadline_at = wall_now + deadline_seconds
    return Claim(
        account=account,
        key=key,
        input_digest=input_digest,
        token=token,
        state="claimed",
        outcome=None,
        deadline_at=deadline_at,
        expires_at=deadline_at + window_seconds,
    )


def build_claim_name(account: str, key: str) -> str:
    """Returns the name of the object for (account, key)."""
    text = json.dumps([account, key])
    return hashlib.sha256(text.encode()).hexdigest()


def decide_claim(
    claim: Claim,
    result: WriteResult,
    outstanding: bool,
    now: float,
    deadline: float,
) -> Decision:
    """Decides what to do after a response of the store.

    Args:
        claim: this attempt's claim.
        result: the result of the last write.
        outstanding: whether the response to any write of this attempt was
            lost.
        now: the present time, in monotonic seconds.
        deadline: time from which the attempt gives up, in monotonic seconds,
            even if it has just acquired the claim.
    """
    if isinstance(result, Conflicted) and _is_held_by_another(claim, result):
        return HeldByOther(result.stored.value)
    if now >= deadline:
        return GivenUp(
            outstanding=not _is_certainly_unwritten(result, outstanding)
        )
    if isinstance(result, Acknowledged):
        return Acquired(claim, result.version)
    if isinstance(result, Conflicted):
        return _decide_conflict(claim, result.stored)
    if isinstance(result, Unavailable) and not outstanding:
        return GivenUp(False, result.retry_after_seconds)
    return Retry(None)


def _is_certainly_unwritten(result: WriteResult, outstanding: bool) -> bool:
    return isinstance(result, Unavailable) and not outstanding


def _is_held_by_another(claim: Claim, result: Conflicted) -> bool:
    if result.stored is None:
        return False
    value = result.stored.value
    return value["token"] != claim["token"] and value["state"] != "released"


def _decide_conflict(
    claim: Claim, stored: objects.StoredObject | None
) -> Decision:
    if stored is None:
        return Retry(None)
    if stored.value["token"] != claim["token"]:
        return Retry(stored.version)
    if stored.value["state"] == "claimed":
        return Acquired(stored.value, stored.version)
    return GivenUp(outstanding=False)


def resolve_held_claim(
    claim: Claim, input_digest: str, wall_now: float
) -> Replay | Running | OutcomeUnknown | KeyReused:
    """Returns the answer to a repeated request, according to its claim."""
    if claim["input_digest"] != input_digest:
        return KeyReused()
    if claim["state"] == "done":
        return Replay(claim["outcome"])
    late = wall_now > claim["deadline_at"] + expiry.CLOCK_SKEW_SECONDS
    if claim["state"] == "claimed" and not late:
        return Running()
    return OutcomeUnknown()


async def acquire_claim(
    store: objects.ObjectStore,
    claim: Claim,
    deadline: float,
    clock: clocks.Clock,
) -> Acquired | HeldByOther | GivenUp:
    """Creates the claim, or returns the one that holds the key.

    After `GivenUp` with `outstanding`, the caller must start `release_claim`
    in a task that outlives the request.

    Args:
        store: the platform's store.
        claim: this attempt's claim, with a token used for no other call.
        deadline: time from which the result is `GivenUp`, in monotonic
            seconds.
        clock: source of the present time and of sleeps.
    """
    try:
        async with clock.timeout(deadline - clock.now()):
            return await _write_until_decided(store, claim, deadline, clock)
    except TimeoutError:
        return GivenUp(outstanding=True)


async def _write_until_decided(
    store: objects.ObjectStore,
    claim: Claim,
    deadline: float,
    clock: clocks.Clock,
) -> Acquired | HeldByOther | GivenUp:
    outstanding = False
    version = None
    retry_count = 0
    while True:
        result = await _try_write(store, claim, version)
        outstanding = outstanding or isinstance(result, ResponseLost)
        decision = decide_claim(
            claim, result, outstanding, clock.now(), deadline
        )
        if not isinstance(decision, Retry):
            return decision
        if isinstance(result, Conflicted):
            version = decision.version
        await clock.sleep(backoff.compute_pause(retry_count))
        retry_count += 1


async def _try_write(
    store: objects.ObjectStore, claim: Claim, version: int | None
) -> WriteResult:
    """Writes the claim; after a conflict, reads the stored one."""
    name = build_claim_name(claim["account"], claim["key"])
    try:
        if version is None:
            stored = await store.create(OBJECT_KIND, name, claim)
        else:
            stored = await store.update(OBJECT_KIND, name, claim, version)
        return Acknowledged(stored.version)
    except errors.StoreUnknownError:
        return ResponseLost()
    except errors.StoreUnavailableError as error:
        return Unavailable(error.retry_after_seconds)
    except errors.StoreConflictError:
        pass
    try:
        return Conflicted(await store.get(OBJECT_KIND, name))
    except errors.StoreError:
        # The conflict may be with an earlier write of this attempt, so the
        # result is still unknown.
        return ResponseLost()


async def release_claim(
    store: objects.ObjectStore, claim: Claim, clock: clocks.Clock
) -> None:
    """Ensures that a claim that was given up does not block its key.

    The coroutine retries through store outages of any length. Once it
    returns, no write of this attempt can take effect any more.
    """
    retry_count = 0
    while True:
        try:
            if await _try_release(store, claim):
                return
        except errors.StoreError:
            pass
        await clock.sleep(backoff.compute_pause(retry_count))
        retry_count += 1


async def _try_release(store: objects.ObjectStore, claim: Claim) -> bool:
    """Tries once to release the claim; returns True unless it raises.

    Raises:
        errors.StoreError: the store did not execute a call, or the result is
            unknown.
    """
    name = build_claim_name(claim["account"], claim["key"])
    stored = await store.get(OBJECT_KIND, name)
    released = Claim(**{**claim, "state": "released"})
    if stored is None:
        await store.create(OBJECT_KIND, name, released)
        return True
    value = stored.value
    if value["token"] == claim["token"]:
        if value["state"] == "claimed":
            await store.update(OBJECT_KIND, name, released, stored.version)
        return True
    if value["state"] == "released":
        # A delayed write of this attempt may still replace this version. A
        # higher version makes its condition fail.
        await store.update(OBJECT_KIND, name, value, stored.version)
    return True


async def write_outcome(
    store: objects.ObjectStore,
    acquired: Acquired,
    state: str,
    outcome: Any,
    deadline: float,
    clock: clocks.Clock,
) -> bool:
    """Records how the attempt ended, for answers to repeated requests.

    Args:
        store: the platform's store.
        acquired: the result of `acquire_claim`.
        state: `done` or `unknown`.
        outcome: the answer to replay; None for `unknown`.
        deadline: time after which it stops retrying, in monotonic seconds.
        clock: source of the present time and of sleeps.

    Returns:
        Whether the outcome is known to be stored.
    """
    name = build_claim_name(acquired.claim["account"], acquired.claim["key"])
    new_claim = Claim(**{**acquired.claim, "state": state, "outcome": outcome})
    version = acquired.version
    retry_count = 0
    while clock.now() < deadline:
        try:
            await store.update(OBJECT_KIND, name, new_claim, version)
            return True
        except errors.StoreConflictError:
            current = await _read_or_none(store, name)
            # A version below the last known one means that the read was stale.
            if current is not None and current.version >= version:
                if not _may_replace(current.value, new_claim):
                    return current.value["state"] == state
                version = current.version
        except errors.StoreError:
            pass
        await clock.sleep(backoff.compute_pause(retry_count))
        retry_count += 1
    return False


async def _read_or_none(
    store: objects.ObjectStore, name: str
) -> objects.StoredObject | None:
    try:
        return await store.get(OBJECT_KIND, name)
    except errors.StoreError:
        return None


def _may_replace(stored: Claim, new_claim: Claim) -> bool:
    """Returns whether an outcome may replace the stored claim."""
    own = invariants.check(
        invariants.AT_MOST_ONCE,
        stored["token"] == new_claim["token"] and stored["state"] != "released",
        stored=stored["token"],
        own=new_claim["token"],
    )
    if not own or stored["state"] == "done":
        return False
    return stored["state"] != new_claim["state"]
