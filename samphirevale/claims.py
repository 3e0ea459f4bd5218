"""Claims: a keyed request runs at most once.

Before the first hand-over of a stage that may not be repeated, the entry
creates one object for (account, key), under a condition that only one
attempt can meet. An answer of the store that is lost is resolved by sending
the same conditional write again and comparing the stored token.

A claim that is given up is marked `released` and kept until it expires. Were
it deleted, a write of the same attempt that is still on its way could create
it again, and nobody would be left to release it.
"""

import hashlib
import json
from typing import Any, NamedTuple, TypedDict

from samphirevale import backoff, errors, expiry, invariants
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The kind of the objects that hold claims.
OBJECT_KIND = "claims"


class Claim(TypedDict):
    """The stored value.

    Keys:
        account: the client account.
        key: the caller's idempotency key.
        input_digest: digest of the request's input.
        token: the attempt's own random token.
        state: `claimed`, `done`, `unknown` or `released`.
        outcome: what the caller was answered, once the state is `done`.
        deadline_at: wall-clock seconds; a claim that is still `claimed`
            after it has an unknown outcome.
        expires_at: wall-clock seconds; the claim is kept until then.
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
    """The store took the own write, under this version."""

    version: int


class Conflicted(NamedTuple):
    """The condition did not hold; what is stored now, None for nothing."""

    stored: objects.StoredObject | None


class Unavailable(NamedTuple):
    """The store did nothing; when it asks to be called again, in seconds."""

    retry_after_seconds: float


class Unanswered(NamedTuple):
    """The write may have taken effect, or may still do so."""


Seen = Acknowledged | Conflicted | Unavailable | Unanswered


class Won(NamedTuple):
    """This attempt may hand over, once.

    Attributes:
        claim: the claim as stored.
        version: the object's version, for `write_outcome`.
    """

    claim: Claim
    version: int


class Held(NamedTuple):
    """Another attempt holds the key; answer from its claim."""

    claim: Claim


class Retry(NamedTuple):
    """Send the write again.

    Attributes:
        version: of the released claim to replace; None to create.
    """

    version: int | None


class GiveUp(NamedTuple):
    """Refuse as `not_run`, and never hand over.

    Attributes:
        outstanding: a write may have taken effect: call `release_claim`.
        retry_after_seconds: when to come back; 0 if the store did not say.
    """

    outstanding: bool
    retry_after_seconds: float = 0.0


Decision = Won | Held | Retry | GiveUp


class Replay(NamedTuple):
    """Give the first answer again."""

    outcome: Any


class Running(NamedTuple):
    """The first attempt is still at work."""


class OutcomeUnknown(NamedTuple):
    """Whether the first attempt ran is not known, and may never be."""


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
        wall_now: wall-clock seconds.
        deadline_seconds: time left for the request.
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


def name_claim(account: str, key: str) -> str:
    """Returns the name of the object for (account, key)."""
    text = json.dumps([account, key])
    return hashlib.sha256(text.encode()).hexdigest()


def decide_claim(
    claim: Claim, seen: Seen, outstanding: bool, now: float, deadline: float
) -> Decision:
    """Decides after each answer of the store.

    Args:
        claim: the own claim.
        seen: what the last try showed.
        outstanding: an earlier write of this attempt was left unanswered.
        now: monotonic seconds.
        deadline: monotonic seconds after which the attempt gives up, also
            when it has just won.
    """
    if isinstance(seen, Conflicted) and _is_held_by_another(claim, seen):
        return Held(seen.stored.value)
    if now >= deadline:
        return GiveUp(outstanding=not _did_nothing(seen, outstanding))
    if isinstance(seen, Acknowledged):
        return Won(claim, seen.version)
    if isinstance(seen, Conflicted):
        return _decide_conflict(claim, seen.stored)
    if isinstance(seen, Unavailable) and not outstanding:
        return GiveUp(False, seen.retry_after_seconds)
    return Retry(None)


def _did_nothing(seen: Seen, outstanding: bool) -> bool:
    return isinstance(seen, Unavailable) and not outstanding


def _is_held_by_another(claim: Claim, seen: Conflicted) -> bool:
    if seen.stored is None:
        return False
    value = seen.stored.value
    return value["token"] != claim["token"] and value["state"] != "released"


def _decide_conflict(
    claim: Claim, stored: objects.StoredObject | None
) -> Decision:
    if stored is None:
        return Retry(None)
    if stored.value["token"] != claim["token"]:
        return Retry(stored.version)
    if stored.value["state"] == "claimed":
        return Won(stored.value, stored.version)
    return GiveUp(outstanding=False)


def answer_held(
    held: Claim, input_digest: str, wall_now: float
) -> Replay | Running | OutcomeUnknown | KeyReused:
    """Returns what a re-send is told from the claim of the first attempt."""
    if held["input_digest"] != input_digest:
        return KeyReused()
    if held["state"] == "done":
        return Replay(held["outcome"])
    late = wall_now > held["deadline_at"] + expiry.CLOCK_SKEW_SECONDS
    if held["state"] == "claimed" and not late:
        return Running()
    return OutcomeUnknown()


async def acquire_claim(
    store: objects.ObjectStore,
    claim: Claim,
    deadline: float,
    clock: clocks.Clock,
) -> Won | Held | GiveUp:
    """Creates the claim, or learns who holds it.

    After `GiveUp` with `outstanding`, the caller starts `release_claim` in a
    task that outlives the request.

    Args:
        store: the platform's store.
        claim: the own claim, with a token used for no other call.
        deadline: monotonic seconds; refused from then on.
        clock: the present time and sleeps.
    """
    try:
        async with clock.limit(deadline - clock.now()):
            return await _try_until_decided(store, claim, deadline, clock)
    except TimeoutError:
        return GiveUp(outstanding=True)


async def _try_until_decided(
    store: objects.ObjectStore,
    claim: Claim,
    deadline: float,
    clock: clocks.Clock,
) -> Won | Held | GiveUp:
    outstanding = False
    version = None
    tries = 0
    while True:
        seen = await _try_write(store, claim, version)
        outstanding = outstanding or isinstance(seen, Unanswered)
        decision = decide_claim(claim, seen, outstanding, clock.now(), deadline)
        if not isinstance(decision, Retry):
            return decision
        if isinstance(seen, Conflicted):
            version = decision.version
        await clock.sleep(backoff.compute_pause(tries))
        tries += 1


async def _try_write(
    store: objects.ObjectStore, claim: Claim, version: int | None
) -> Seen:
    """Writes the claim; on conflict, reads what is there."""
    name = name_claim(claim["account"], claim["key"])
    try:
        if version is None:
            stored = await store.create(OBJECT_KIND, name, claim)
        else:
            stored = await store.update(OBJECT_KIND, name, claim, version)
        return Acknowledged(stored.version)
    except errors.StoreUnknownError:
        return Unanswered()
    except errors.StoreUnavailableError as error:
        return Unavailable(error.retry_after_seconds)
    except errors.StoreConflictError:
        pass
    try:
        return Conflicted(await store.get(OBJECT_KIND, name))
    except errors.StoreError:
        # The conflict may be with the own earlier write: not decided.
        return Unanswered()


async def release_claim(
    store: objects.ObjectStore, claim: Claim, clock: clocks.Clock
) -> None:
    """Makes sure that a claim that was given up holds the key no longer.

    Runs until the store has decided, through outages of any length: once it
    returns, no write of this attempt can take effect any more.
    """
    tries = 0
    while True:
        try:
            if await _release_once(store, claim):
                return
        except errors.StoreError:
            pass
        await clock.sleep(backoff.compute_pause(tries))
        tries += 1


async def _release_once(store: objects.ObjectStore, claim: Claim) -> bool:
    """Returns whether it is decided."""
    name = name_claim(claim["account"], claim["key"])
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
        # The own replacement of this version may still be on its way; a
        # higher version keeps it from taking effect.
        await store.update(OBJECT_KIND, name, value, stored.version)
    return True


async def write_outcome(
    store: objects.ObjectStore,
    won: Won,
    state: str,
    outcome: Any,
    deadline: float,
    clock: clocks.Clock,
) -> bool:
    """Records how the attempt ended, so that a re-send is told the same.

    Args:
        store: the platform's store.
        won: what `acquire_claim` returned.
        state: `done` or `unknown`.
        outcome: the answer to replay; None for `unknown`.
        deadline: monotonic seconds after which it stops trying.
        clock: the present time and sleeps.

    Returns:
        Whether the outcome is known to be stored.
    """
    name = name_claim(won.claim["account"], won.claim["key"])
    wanted = Claim(**{**won.claim, "state": state, "outcome": outcome})
    version = won.version
    tries = 0
    while clock.now() < deadline:
        try:
            await store.update(OBJECT_KIND, name, wanted, version)
            return True
        except errors.StoreConflictError:
            found = await _read_quietly(store, name)
            # An older version than one known is a stale reading.
            if found is not None and found.version >= version:
                if not _may_replace(found.value, wanted):
                    return found.value["state"] == state
                version = found.version
        except errors.StoreError:
            pass
        await clock.sleep(backoff.compute_pause(tries))
        tries += 1
    return False


async def _read_quietly(
    store: objects.ObjectStore, name: str
) -> objects.StoredObject | None:
    try:
        return await store.get(OBJECT_KIND, name)
    except errors.StoreError:
        return None


def _may_replace(stored: Claim, wanted: Claim) -> bool:
    """Tells whether an outcome may be written over what is stored."""
    own = invariants.check(
        invariants.AT_MOST_ONCE,
        stored["token"] == wanted["token"] and stored["state"] != "released",
        stored=stored["token"],
        own=wanted["token"],
    )
    if not own or stored["state"] == "done":
        return False
    return stored["state"] != wanted["state"]
