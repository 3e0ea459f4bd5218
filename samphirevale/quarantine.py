"""Quarantine of inputs that crash the endpoints that run them.

A fingerprint that has crashed two attempts is refused. One that has crashed
a single attempt may run again only as a trial, which is reserved in the
store before it starts: crashes and trials together are at most two, over all
entries. While the store is down no trial can be reserved, so that one crash
is enough to refuse.

Copies of one input that were running already when its first crash became
known are cancelled by the entries (sidecars.PeerTable.suspect_input); those
that crash before the notice has come count all the same.
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

# The kind of the objects that hold crashes.
OBJECT_KIND = "quarantine"

# Crashed attempts after which a fingerprint is refused.
CRASHES_LIMIT = 2

# How long a crash counts, in seconds.
WINDOW_SECONDS = 3600.0

# The most fingerprints that an entry remembers.
FINGERPRINTS_LIMIT = 10_000


class CrashRecord(TypedDict):
    """The stored value.

    Keys:
        attempts: the crashed attempts' ids.
        trials: attempts that were let run after a crash and may crash too.
        expires_at: wall-clock seconds.
    """

    attempts: list[str]
    trials: list[str]
    expires_at: float


class Verdict(enum.Enum):
    """Whether an input may run."""

    ALLOWED = "allowed"
    TRIAL = "trial"  # after `begin_trial`, inside `hold_trial`
    BUSY = "busy"  # a trial runs here; refuse for now
    REFUSED = "refused"


class _Suspect(NamedTuple):
    """What an entry knows of a fingerprint that has crashed an attempt."""

    attempts: frozenset[str]
    last_at: float


def compute_fingerprint(account: str, value: Any) -> str:
    """Returns the digest of an account and its input.

    The order of the keys in the input's maps makes no difference.
    """
    text = json.dumps(
        [account, value], sort_keys=True, separators=(",", ":"), default=repr
    )
    return hashlib.sha256(text.encode()).hexdigest()


class Quarantine:
    """The crashes that one entry knows of, in bounded memory."""

    def __init__(
        self,
        window_seconds: float = WINDOW_SECONDS,
        fingerprints_limit: int = FINGERPRINTS_LIMIT,
    ):
        """Starts with no crash known.

        Args:
            window_seconds: how long a crash counts.
            fingerprints_limit: most fingerprints that are remembered; the
                one that crashed longest ago is forgotten first.
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
        """Counts crashed attempts, each once; returns how many are known."""
        known = self.list_crashes(fingerprint, now)
        together = known.union(attempts)
        if together != known:
            self._suspects[fingerprint] = _Suspect(together, now)
            self._suspects.move_to_end(fingerprint)
        self._forget_old(now)
        return len(together)

    def list_crashes(self, fingerprint: str, now: float) -> frozenset[str]:
        """Returns the crashed attempts that count."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_old(suspect, now):
            return frozenset()
        return suspect.attempts

    def forget(self, fingerprint: str) -> None:
        """Drops what is known of an input, as an endpoint has answered it."""
        self._suspects.pop(fingerprint, None)

    def list_newest(
        self, count: int, now: float
    ) -> list[tuple[str, frozenset[str]]]:
        """Returns the fingerprints that crashed last, with their attempts."""
        newest = list(self._suspects.items())[-count:]
        return [
            (fingerprint, suspect.attempts)
            for fingerprint, suspect in newest
            if not self._is_old(suspect, now)
        ]

    def decide(self, fingerprint: str, now: float) -> Verdict:
        """Decides about an attempt, also about one that is a retry."""
        crashes = len(self.list_crashes(fingerprint, now))
        if crashes == 0:
            return Verdict.ALLOWED
        if crashes >= CRASHES_LIMIT:
            return Verdict.REFUSED
        return Verdict.BUSY if fingerprint in self._trials else Verdict.TRIAL

    @contextlib.contextmanager
    def hold_trial(self, fingerprint: str) -> Iterator[None]:
        """Keeps other trials of a fingerprint from starting here."""
        if fingerprint in self._trials:
            raise ValueError("a trial of this fingerprint is running")
        self._trials.add(fingerprint)
        try:
            yield
        finally:
            self._trials.discard(fingerprint)

    def adopt_record(self, stored: objects.StoredObject, now: float) -> None:
        """Takes over what the store says, as a watch or a list gives it."""
        if stored.value is not None:
            self.add_crashes(stored.name, stored.value["attempts"], now)

    def count(self) -> int:
        """Returns how many fingerprints are remembered."""
        return len(self._suspects)

    def _is_old(self, suspect: _Suspect, now: float) -> bool:
        return now - suspect.last_at > self._window_seconds

    def _forget_old(self, now: float) -> None:
        while self._suspects:
            oldest = next(iter(self._suspects))
            full = len(self._suspects) > self._fingerprints_limit
            if not full and not self._is_old(self._suspects[oldest], now):
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
    """Records a crashed attempt; the same one any number of times.

    Goes on through outages until `deadline` (monotonic seconds).

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

    for_ever = _Patience(deadline, through_outages=True)
    return await _change_record(store, fingerprint, add, for_ever, clock)


async def begin_trial(
    store: objects.ObjectStore,
    fingerprint: str,
    attempt: str,
    crashes: Iterable[str],
    wall_now: float,
    deadline: float,
    clock: clocks.Clock,
) -> bool:
    """Reserves the run of a suspect input, and records its known crashes.

    Args:
        store: the platform's store.
        fingerprint: the input's.
        attempt: the attempt that is to run.
        crashes: from `Quarantine.list_crashes`.
        wall_now: wall-clock seconds.
        deadline: monotonic seconds after which it is refused.
        clock: the present time and sleeps.

    Returns:
        Whether it may run. False also when the store is down or its answer
        stays unknown; a reservation that was made all the same then counts
        until it expires.
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

    patience = _Patience(deadline, through_outages=False)
    record = await _change_record(store, fingerprint, add, patience, clock)
    return record is not None and attempt in record["trials"]


async def end_trial(
    store: objects.ObjectStore,
    fingerprint: str,
    attempt: str,
    wall_now: float,
    deadline: float,
    clock: clocks.Clock,
) -> None:
    """Frees the reservation of a trial that has not crashed its endpoint."""
    sent = False

    def remove(record: CrashRecord) -> CrashRecord | None:
        nonlocal sent
        if attempt in record["trials"]:
            sent = True
            trials = set(record["trials"]) - {attempt}
            return _build_record(set(record["attempts"]), trials, wall_now)
        if not sent:
            raise errors.StoreConflictError("a state before the trial began")
        return None

    patience = _Patience(deadline, through_outages=True)
    await _change_record(store, fingerprint, remove, patience, clock)


def _build_record(
    attempts: set[str], trials: set[str], wall_now: float
) -> CrashRecord:
    return CrashRecord(
        attempts=sorted(attempts),
        trials=sorted(trials - attempts),
        expires_at=wall_now + WINDOW_SECONDS,
    )


class _Patience(NamedTuple):
    """How long a change is tried."""

    deadline: float
    through_outages: bool


async def _change_record(
    store: objects.ObjectStore,
    fingerprint: str,
    change: Change,
    patience: _Patience,
    clock: clocks.Clock,
) -> CrashRecord | None:
    """Returns the record once it is as the change wants it, else None."""
    tries = 0
    while clock.now() < patience.deadline:
        try:
            return await _change_once(store, fingerprint, change)
        except errors.StoreUnavailableError:
            if not patience.through_outages:
                return None
        except errors.StoreError:
            # Lost or in conflict: the next reading tells what is there.
            pass
        await clock.sleep(backoff.compute_pause(tries))
        tries += 1
    return None


async def _change_once(
    store: objects.ObjectStore, fingerprint: str, change: Change
) -> CrashRecord:
    stored = await store.get(OBJECT_KIND, fingerprint)
    empty = CrashRecord(attempts=[], trials=[], expires_at=0.0)
    record = stored.value if stored else empty
    wanted = change(record)
    if wanted is None:
        return record
    if stored is None:
        await store.create(OBJECT_KIND, fingerprint, wanted)
    else:
        await store.update(OBJECT_KIND, fingerprint, wanted, stored.version)
    return wanted
