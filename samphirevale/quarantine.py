"""Quarantine of inputs that crash the endpoints that run them.

An input whose fingerprint has crashed two attempts is refused. An input that
has crashed one attempt may run again only as a trial, which is reserved in the
store before it starts. Crashes and trials together are limited to two over all
entries. While the store is down, no trial can be reserved and one crash is
enough to refuse an input.

When the first crash of an input becomes known, the entries cancel other
attempts with the same input (sidecars.PeerTable.notify_input_crash). Attempts
that crash before this notice arrives are counted as well.
"""

import collections
import contextlib
import enum
import hashlib
import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple, TypedDict

from samphirevale import backoff, errors
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The kind of the stored objects that record crashes.
OBJECT_KIND = "quarantine"

# The number of crashed attempts after which a fingerprint is refused.
CRASHES_LIMIT = 2

# How long a crash counts, in seconds.
WINDOW_SECONDS = 3600.0

# The largest number of fingerprints that an entry keeps in memory.
FINGERPRINTS_LIMIT = 10_000


class CrashRecord(TypedDict):
    """The stored record of an input's crashes.

    Keys:
        attempts: the ids of crashed attempts.
        trials: the ids of attempts that were admitted after a crash and may
            crash as well.
        expires_at: the expiry time in wall-clock seconds.
    """

    attempts: list[str]
    trials: list[str]
    expires_at: float


class Verdict(enum.Enum):
    """Whether an input may run."""

    ALLOWED = "allowed"
    TRIAL = "trial"  # allowed after `begin_trial`, inside `hold_trial`
    BUSY = "busy"  # refused while a trial of this input runs here
    REFUSED = "refused"


class _Suspect(NamedTuple):
    """The known crashes of a fingerprint and the time of the latest one."""

    attempts: frozenset[str]
    last_at: float


def compute_fingerprint(account: str, value: Any) -> str:
    """Returns the digest of an account and its input.

    The digest does not depend on the order of keys in the input's maps.
    """
    text = json.dumps(
        [account, value], sort_keys=True, separators=(",", ":"), default=repr
    )
    return hashlib.sha256(text.encode()).hexdigest()


class Quarantine:
    """The crashes that one entry knows, in bounded memory."""

    def __init__(
        self,
        window_seconds: float = WINDOW_SECONDS,
        fingerprints_limit: int = FINGERPRINTS_LIMIT,
    ):
        """Initializes a quarantine without crashes.

        Args:
            window_seconds: how long a crash counts.
            fingerprints_limit: the largest number of fingerprints to keep;
                the one with the oldest crash is evicted first.
        """
        self._window_seconds = window_seconds
        self._fingerprints_limit = fingerprints_limit
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._trials: set[str] = set()

    def add_crashes(
        self, fingerprint: str, attempts: Iterable[str], now: float
    ) -> int:
        """Adds crashed attempts and returns the number of distinct ones."""
        known_attempts = self.list_crashes(fingerprint, now)
        all_attempts = known_attempts.union(attempts)
        if all_attempts != known_attempts:
            self._suspects[fingerprint] = _Suspect(all_attempts, now)
            self._suspects.move_to_end(fingerprint)
        self._evict_expired(now)
        return len(all_attempts)

    def list_crashes(self, fingerprint: str, now: float) -> frozenset[str]:
        """Returns the crashed attempts that have not expired."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_expired(suspect, now):
            return frozenset()
        return suspect.attempts

    def remove(self, fingerprint: str) -> None:
        """Removes an input that an endpoint has answered."""
        self._suspects.pop(fingerprint, None)

    def list_newest(
        self, count: int, now: float
    ) -> list[tuple[str, frozenset[str]]]:
        """Returns the fingerprints with the latest crashes, with attempts."""
        newest = list(self._suspects.items())[-count:]
        return [
            (fingerprint, suspect.attempts)
            for fingerprint, suspect in newest
            if not self._is_expired(suspect, now)
        ]

    def decide(self, fingerprint: str, now: float) -> Verdict:
        """Returns the verdict on a new attempt or on a retry."""
        crashes = len(self.list_crashes(fingerprint, now))
        if crashes == 0:
            return Verdict.ALLOWED
        if crashes >= CRASHES_LIMIT:
            return Verdict.REFUSED
        return Verdict.BUSY if fingerprint in self._trials else Verdict.TRIAL

    @contextlib.contextmanager
    def hold_trial(self, fingerprint: str) -> Iterator[None]:
        """Prevents concurrent trials of a fingerprint in this entry."""
        if fingerprint in self._trials:
            raise ValueError("a trial of this fingerprint is running")
        self._trials.add(fingerprint)
        try:
            yield
        finally:
            self._trials.discard(fingerprint)

    def adopt_record(self, stored: objects.StoredObject, now: float) -> None:
        """Adopts a stored record from a list or a watch, if it is one."""
        value = stored.value
        attempts = value.get("attempts") if isinstance(value, dict) else None
        if isinstance(attempts, list):
            found = [name for name in attempts if isinstance(name, str)]
            self.add_crashes(stored.name, found, now)

    def count(self) -> int:
        """Returns the number of fingerprints in memory."""
        return len(self._suspects)

    def _is_expired(self, suspect: _Suspect, now: float) -> bool:
        return now - suspect.last_at > self._window_seconds

    def _evict_expired(self, now: float) -> None:
        while self._suspects:
            oldest = next(iter(self._suspects))
            over_limit = len(self._suspects) > self._fingerprints_limit
            if not over_limit and not self._is_expired(
                self._suspects[oldest], now
            ):
                return
            del self._suspects[oldest]


Change = Callable[[CrashRecord], CrashRecord | None]


async def record_crash(
    store: objects.ObjectStore,
    fingerprint: str,
    attempt: str,
    wall_now: float,
    deadline: float,
    clock: clocks.Clock,
) -> CrashRecord | None:
    """Records a crashed attempt in the store; repeated calls are harmless.

    Retries through outages of the store until `deadline` (monotonic seconds).

    Returns:
        The record, for `Quarantine.add_crashes`; None if it is not stored.
    """

    def add(record: CrashRecord) -> CrashRecord | None:
        if attempt in record["attempts"]:
            return None
        return _build_record(
            {*record["attempts"], attempt},
            set(record["trials"]) - {attempt},
            wall_now,
        )

    retry_limits = _RetryLimits(deadline, through_outages=True)
    return await _change_record(store, fingerprint, add, retry_limits, clock)


async def begin_trial(
    store: objects.ObjectStore,
    fingerprint: str,
    attempt: str,
    crashes: Iterable[str],
    wall_now: float,
    deadline: float,
    clock: clocks.Clock,
) -> bool:
    """Reserves a trial of a suspect input and records its known crashes.

    Args:
        store: the platform's store.
        fingerprint: the fingerprint of the input.
        attempt: the id of the attempt to run.
        crashes: the crashed attempts from `Quarantine.list_crashes`.
        wall_now: the present wall-clock time in seconds.
        deadline: the time in monotonic seconds after which the trial is
            refused.
        clock: the source of the present time, which also sleeps.

    Returns:
        Whether the attempt may run. False also if the store is down or its
        answer remains unknown. A reservation that was made nevertheless then
        counts until it expires.
    """
    crashed = set(crashes)

    def add(record: CrashRecord) -> CrashRecord | None:
        attempts = crashed.union(record["attempts"])
        trials = set(record["trials"])
        if len(attempts | trials | {attempt}) <= CRASHES_LIMIT:
            trials.add(attempt)
        if attempts == set(record["attempts"]) and trials == set(
            record["trials"]
        ):
            return None
        return _build_record(attempts, trials, wall_now)

    retry_limits = _RetryLimits(deadline, through_outages=False)
    record = await _change_record(store, fingerprint, add, retry_limits, clock)
    return record is not None and attempt in record["trials"]


async def end_trial(
    store: objects.ObjectStore,
    fingerprint: str,
    attempt: str,
    wall_now: float,
    deadline: float,
    clock: clocks.Clock,
) -> None:
    """Removes the reservation of a trial that did not crash its endpoint."""
    removal_sent = False

    def remove(record: CrashRecord) -> CrashRecord | None:
        nonlocal removal_sent
        if attempt in record["trials"]:
            removal_sent = True
            trials = set(record["trials"]) - {attempt}
            return _build_record(set(record["attempts"]), trials, wall_now)
        if not removal_sent:
            raise errors.StoreConflictError(
                "stale state from before the trial began"
            )
        return None

    retry_limits = _RetryLimits(deadline, through_outages=True)
    await _change_record(store, fingerprint, remove, retry_limits, clock)


def _build_record(
    attempts: set[str], trials: set[str], wall_now: float
) -> CrashRecord:
    return CrashRecord(
        attempts=sorted(attempts),
        trials=sorted(trials - attempts),
        expires_at=wall_now + WINDOW_SECONDS,
    )


class _RetryLimits(NamedTuple):
    """How long a change of a record is retried.

    Attributes:
        deadline: the end of retries in monotonic seconds.
        through_outages: whether to retry while the store is unavailable.
    """

    deadline: float
    through_outages: bool


async def _change_record(
    store: objects.ObjectStore,
    fingerprint: str,
    change: Change,
    retry_limits: _RetryLimits,
    clock: clocks.Clock,
) -> CrashRecord | None:
    """Applies a change to the stored record, with retries.

    Returns:
        The record after the change; None if the change did not succeed.
    """
    failures = 0
    while clock.now() < retry_limits.deadline:
        try:
            return await _change_once(store, fingerprint, change)
        except errors.StoreUnavailableError:
            if not retry_limits.through_outages:
                return None
        except errors.StoreError:
            # The answer was lost or the update conflicted. The next read
            # shows the present record.
            pass
        await clock.sleep(backoff.compute_pause(failures))
        failures += 1
    return None


async def _change_once(
    store: objects.ObjectStore, fingerprint: str, change: Change
) -> CrashRecord:
    stored = await store.get(OBJECT_KIND, fingerprint)
    empty = CrashRecord(attempts=[], trials=[], expires_at=0.0)
    record = stored.value if stored else empty
    changed = change(record)
    if changed is None:
        return record
    if stored is None:
        await store.create(OBJECT_KIND, fingerprint, changed)
    else:
        await store.update(OBJECT_KIND, fingerprint, changed, stored.version)
    return changed
